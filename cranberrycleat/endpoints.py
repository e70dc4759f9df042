"""The endpoints as one gateway knows them: where, how loaded, how well.

Sets come from the schedulers, one a data centre, ordered by epoch and revision;
an older one never replaces a newer one, and the last known one is used for as
long as nothing newer comes. A URL names one attempt of one task, so a sign that
it is leaving, from whichever source, is never taken back.
"""

import enum
from typing import Final

import attrs

from cranberrycleat.config import RoutingConfig
from cranberrycleat.messages import Endpoint, EndpointSet, EndpointSetVersion
from cranberrycleat.slots import SlotShare, slot_share

LATENCY_SMOOTHING: Final = 0.1
INITIAL_LATENCY_S: Final = 0.05
MAX_EJECTION_S: Final = 60.0


class EndpointResult(enum.Enum):
    """How a request at an endpoint went, for its health."""

    GOOD = "good"
    BAD = "bad"
    FULL = "full"


@attrs.define(kw_only=True, eq=False)
class EndpointState:
    """One endpoint as this gateway knows it.

    Attributes:
        endpoint: What its scheduler says of it.
        share: What this gateway may have in flight there.
        leaving: Whether any source said that it is leaving.
        failures: Failures in a row.
        ejected_until: Left out until this clock time.
        ejections: Ejections in a row.
        took_s: The smoothed time that a request takes there, in seconds.
    """

    endpoint: Endpoint
    share: SlotShare
    leaving: bool = False
    failures: int = 0
    ejected_until: float = float("-inf")
    ejections: int = 0
    took_s: float = INITIAL_LATENCY_S

    def record_latency(self, seconds: float) -> None:
        """Take in how long a request took, or how long it was waited for."""
        self.took_s += LATENCY_SMOOTHING * (seconds - self.took_s)

    def expected_latency_s(self) -> float:
        """Return about how long one more request would take."""
        return self.took_s * (1 + self.share.in_flight / self.share.share)

    def usable(self, now: float) -> bool:
        """Tell whether it may get new work now."""
        return not self.leaving and now >= self.ejected_until and self.share.has_room()


@attrs.define(kw_only=True, eq=False)
class ServiceEndpoints:
    """The endpoints of one service.

    Attributes:
        near: Those in this gateway's data centre.
        far: The others.
        took_s: The smoothed time that a request takes, in seconds.
    """

    local: list[EndpointState] = attrs.field(factory=list)
    remote: list[EndpointState] = attrs.field(factory=list)
    took_s: float = INITIAL_LATENCY_S

    def all(self) -> list[EndpointState]:
        """Return every endpoint."""
        return self.local + self.remote

    def capacity(self) -> int:
        """Return how many requests this gateway may have in flight."""
        return sum(int(e.share.allowed) for e in self.all() if not e.leaving)

    def record_latency(self, seconds: float) -> None:
        """Take in how long a request took."""
        self.took_s += LATENCY_SMOOTHING * (seconds - self.took_s)


@attrs.define(kw_only=True, eq=False)
class EndpointCatalog:
    """Every endpoint that a gateway knows.

    Attributes:
        me: This gateway's name.
        data_centre: Its data centre.
        members: The names of the live gateways of its data centre.
        total: How many gateways live in all data centres.
    """

    gateway_name: str
    data_centre: str
    members: tuple[str, ...] = ()
    total_gateways: int = 1
    services: dict[str, ServiceEndpoints] = attrs.field(factory=dict)
    leaving: set[str] = attrs.field(factory=set)
    _sets: dict[str, EndpointSet] = attrs.field(factory=dict)
    _states: dict[str, EndpointState] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.members = self.members or (self.gateway_name,)

    def seen(self) -> tuple[EndpointSetVersion, ...]:
        """Return which sets this gateway has."""
        return tuple(
            EndpointSetVersion(
                data_centre=each.data_centre, epoch=each.epoch, revision=each.revision
            )
            for each in self._sets.values()
        )

    def sets(self) -> tuple[EndpointSet, ...]:
        """Return the newest set of each data centre, to hand to peers."""
        return tuple(self._sets.values())

    def merge_set(self, offered: EndpointSet) -> bool:
        """Take in a set; return whether it was newer than what was known."""
        known = self._sets.get(offered.data_centre)
        if known is not None:
            if (offered.epoch, offered.revision) <= (known.epoch, known.revision):
                return False
        self._sets[offered.data_centre] = offered
        self._rebuild()
        return True

    def update_gateways(self, members: tuple[str, ...], total_gateways: int) -> None:
        """Take in the list of live gateways."""
        if members != self.members or total_gateways != self.total_gateways:
            self.members, self.total_gateways = members, total_gateways
            for state in self._states.values():
                state.share.resize(self._share(state.endpoint))

    def mark_leaving(self, urls: tuple[str, ...]) -> None:
        """Take in signs that endpoints are leaving, from any source."""
        for url in urls:
            state = self._states.get(url)
            if state is not None and not state.leaving:
                state.leaving = True
                self.leaving.add(url)

    def _share(self, endpoint: Endpoint) -> int:
        if endpoint.data_centre == self.data_centre:
            return slot_share(
                slots=endpoint.slots,
                members=self.members,
                gateway_name=self.gateway_name,
                endpoint=endpoint.url,
            )
        # Work from afar is the exception: it takes an even part of the whole.
        return max(1, endpoint.slots // max(1, self.total_gateways))

    def _rebuild(self) -> None:
        listed = [e for each in self._sets.values() for e in each.endpoints]
        states = {e.url: self._state(e) for e in listed}
        self._states = states
        self.leaving = {url for url, state in states.items() if state.leaving}
        took = {name: each.took_s for name, each in self.services.items()}
        self.services = {}
        for state in states.values():
            name = state.endpoint.service
            service = self.services.setdefault(
                name, ServiceEndpoints(took_s=took.get(name, INITIAL_LATENCY_S))
            )
            local = state.endpoint.data_centre == self.data_centre
            (service.local if local else service.remote).append(state)

    def _state(self, endpoint: Endpoint) -> EndpointState:
        known = self._states.get(endpoint.url)
        if known is None:
            share = SlotShare(share=self._share(endpoint))
            known = EndpointState(endpoint=endpoint, share=share)
        known.endpoint = endpoint
        known.leaving = known.leaving or endpoint.leaving
        return known


def record_result(
    service: ServiceEndpoints,
    state: EndpointState,
    result: EndpointResult,
    *,
    now: float,
    cfg: RoutingConfig,
) -> None:
    """Take in how a request went, and leave the endpoint out if it fails.

    At most `cfg.eject_most` of a service's endpoints are left out at once, so
    that a fault they share does not leave the service with none.
    """
    match result:
        case EndpointResult.GOOD:
            state.failures = 0
            state.ejections = 0
            state.share.answered()
        case EndpointResult.FULL:
            state.share.refused()
        case EndpointResult.BAD:
            state.failures += 1
            if state.failures >= cfg.eject_after and _may_eject(service, now, cfg):
                _eject(state, now, cfg)


def _may_eject(service: ServiceEndpoints, now: float, cfg: RoutingConfig) -> bool:
    everyone = service.all()
    ejected = sum(1 for each in everyone if each.ejected_until > now)
    return ejected + 1 <= cfg.eject_most * len(everyone)


def _eject(state: EndpointState, now: float, cfg: RoutingConfig) -> None:
    state.ejections += 1
    length = min(MAX_EJECTION_S, cfg.eject_s * 2 ** min(10, state.ejections - 1))
    state.ejected_until = now + length
    # One failure after its return is enough to leave it out again.
    state.failures = cfg.eject_after - 1
