"""Routing policies: which endpoint a request is sent to.

A policy is a plug-in with one method, `pick`. The default samples two endpoints at
random and picks the less loaded one, preferring its own data centre.
"""

import random
from typing import Final, Protocol

import attrs

from cranberrycleat.endpoints import EndpointState, ServiceEndpoints
from cranberrycleat.registry import PluginKind, register

SAMPLE_SIZE: Final = 2
DEFAULT_POLICY: Final = "least-of-two"


class RoutingPolicy(Protocol):
    """Interface of a routing policy."""

    def pick(
        self, service: ServiceEndpoints, *, now: float, tried: frozenset[str]
    ) -> EndpointState | None:
        """Pick an endpoint that may get a new request now.

        Args:
            service: The service's endpoints.
            now: The current clock time.
            tried: URLs that this request was already sent to.

        Returns:
            An endpoint, or None if no usable endpoint has a free slot.
        """


@register(PluginKind.ROUTING, DEFAULT_POLICY)
@attrs.define(kw_only=True, eq=False)
class LeastOfTwo:
    """Picks the faster of two random usable endpoints, local ones first."""

    rng: random.Random = attrs.field(factory=random.Random)

    def pick(
        self, service: ServiceEndpoints, *, now: float, tried: frozenset[str]
    ) -> EndpointState | None:
        """Pick an endpoint that may get a new request now."""
        for group in (service.local, service.remote):
            usable = [
                each
                for each in group
                if each.usable(now) and each.endpoint.url not in tried
            ]
            if usable:
                return self._least_loaded(usable)
        return None

    def _least_loaded(self, usable: list[EndpointState]) -> EndpointState:
        if len(usable) > SAMPLE_SIZE:
            usable = self.rng.sample(usable, SAMPLE_SIZE)
        return min(usable, key=EndpointState.expected_latency_s)


@register(PluginKind.ROUTING, "round-robin")
@attrs.define(kw_only=True, eq=False)
class RoundRobin:
    """Picks the usable endpoints in turn, whatever their data centre."""

    turn: int = 0

    def pick(
        self, service: ServiceEndpoints, *, now: float, tried: frozenset[str]
    ) -> EndpointState | None:
        """Pick the next endpoint that may get a new request now."""
        everyone = service.all()
        for _ in everyone:
            self.turn = (self.turn + 1) % len(everyone)
            state = everyone[self.turn]
            if state.usable(now) and state.endpoint.url not in tried:
                return state
        return None
