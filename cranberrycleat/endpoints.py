"""The endpoints known to one gateway, with their load and health.

Schedulers publish one endpoint set per data centre, ordered by epoch and revision.
An older set never replaces a newer one, and the last known set is used until a
newer one arrives. A URL identifies one attempt of one task, so once any source has
reported it as leaving, it stays marked as leaving.
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
    """Result of a request to an endpoint, as input to its health tracking."""

    GOOD = "good"
    BAD = "bad"
    FULL = "full"


@attrs.define(kw_only=True, eq=False)
class EndpointState:
    """One endpoint's state at this gateway.

    Attributes:
        endpoint: The endpoint as published by its scheduler.
        share: How many requests this gateway may have in flight there.
        leaving: Whether any source reported it as leaving.
        failures: Consecutive failures.
        ejected_until: Clock time until which it is ejected.
        ejections: Consecutive ejections.
        took_s: Smoothed request latency, in seconds.
    """

    endpoint: Endpoint
    share: SlotShare
    leaving: bool = False
    failures: int = 0
    ejected_until: float = float("-inf")
    ejections: int = 0
    took_s: float = INITIAL_LATENCY_S

    def record_latency(self, seconds: float) -> None:
        """Update the latency with a request's duration, or the time waited for it."""
        self.took_s += LATENCY_SMOOTHING * (seconds - self.took_s)

    def expected_latency_s(self) -> float:
        """Estimate the latency of one more request."""
        return self.took_s * (1 + self.share.in_flight / self.share.share)

    def usable(self, now: float) -> bool:
        """Return whether it may get a new request now."""
        return not self.leaving and now >= self.ejected_until and self.share.has_room()


@attrs.define(kw_only=True, eq=False)
class ServiceEndpoints:
    """The endpoints of one service.

    Attributes:
        local: Those in this gateway's data centre.
        remote: Those in other data centres.
        took_s: Smoothed request latency, in seconds.
    """

    local: list[EndpointState] = attrs.field(factory=list)
    remote: list[EndpointState] = attrs.field(factory=list)
    took_s: float = INITIAL_LATENCY_S

    def all(self) -> list[EndpointState]:
        """Return the local and the remote endpoints."""
        return self.local + self.remote

    def capacity(self) -> int:
        """Return how many requests this gateway may have in flight."""
        return sum(int(e.share.allowed) for e in self.all() if not e.leaving)

    def record_latency(self, seconds: float) -> None:
        """Update the latency with a request's duration."""
        self.took_s += LATENCY_SMOOTHING * (seconds - self.took_s)


@attrs.define(kw_only=True, eq=False)
class EndpointCatalog:
    """Every endpoint known to a gateway.

    Attributes:
        gateway_name: This gateway's name.
        data_centre: Its data centre.
        members: The names of the live gateways in its data centre.
        total_gateways: Number of live gateways in all data centres.
        services: The endpoints of each service, by the service's name.
        leaving: URLs of the listed endpoints that are leaving.
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
        """Return the epoch and revision of each endpoint set held."""
        return tuple(
            EndpointSetVersion(
                data_centre=each.data_centre, epoch=each.epoch, revision=each.revision
            )
            for each in self._sets.values()
        )

    def sets(self) -> tuple[EndpointSet, ...]:
        """Return the newest set of each data centre, to pass to peers."""
        return tuple(self._sets.values())

    def merge_set(self, offered: EndpointSet) -> bool:
        """Store a set if it is newer than the one known; return whether it was."""
        known = self._sets.get(offered.data_centre)
        if known is not None:
            if (offered.epoch, offered.revision) <= (known.epoch, known.revision):
                return False
        self._sets[offered.data_centre] = offered
        self._rebuild()
        return True

    def update_gateways(self, members: tuple[str, ...], total_gateways: int) -> None:
        """Update the list of live gateways and resize the slot shares."""
        if members != self.members or total_gateways != self.total_gateways:
            self.members, self.total_gateways = members, total_gateways
            for state in self._states.values():
                state.share.resize(self._share(state.endpoint))

    def mark_leaving(self, urls: tuple[str, ...]) -> None:
        """Mark endpoints as leaving, on a report from any source."""
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
        # Requests from other data centres are the exception, so the slots are
        # divided evenly over all gateways.
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
    """Record a request's result, and eject the endpoint if it keeps failing.

    At most the share `cfg.eject_most` of a service's endpoints is ejected at once,
    so that a fault common to all of them does not leave the service with none.
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
    # After its return a single failure is enough to eject it again.
    state.failures = cfg.eject_after - 1
