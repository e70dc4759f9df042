"""Asks for placement permits: the most urgent first, spread over the hosts.

The permit service answers one call at a time for each calling host; at base
load one host alone would keep it busy for 0.9 s of each second, and it refuses
when too many wait. So calls wait here, in the order of their urgency, and each
host has at most two of them under way: one at work, one on its way.
"""

import asyncio
import heapq
import itertools
import math
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat import events
from cranberrycleat.clock import Clock
from cranberrycleat.logs import emit
from cranberrycleat.workflow.ordering import Urgency
from cranberrycleat.workflow.peering import PeerClient, PermitRequest
from cranberrycleat.workflow.permits import StepPermits
from cranberrycleat.workflow.ports import (
    PERMITS_MOST_WORKERS,
    Permit,
    PermitClient,
    PermitUnavailable,
)

LANE_DEPTH: Final = 2
TRIES: Final = 3
SLACK_S: Final = 0.5
"""What an answer may take beyond the service's own times."""
BAD_HOST_S: Final = 2.0
"""A host that gave no answer is passed over this long."""


@attrs.define(kw_only=True, eq=False)
class PermitQueue:
    """Asks the permit service, from this host or through another.

    Attributes:
        own: The service, as called from this host.
        own_address: This host's address among the peers.
        peer_client: Calls to other hosts.
        peers: Tells the addresses of the other hosts, the best to ask first.
        clock: The owner's clock.
    """

    own: PermitClient
    own_address: str
    peer_client: PeerClient
    peers: Callable[[], tuple[str, ...]]
    clock: Clock
    _under_way: dict[str, float] = attrs.field(factory=dict)
    _calls: dict[str, int] = attrs.field(factory=dict)
    _bad_until: dict[str, float] = attrs.field(factory=dict)
    _waiting: "list[tuple[Urgency, int, asyncio.Future[str]]]" = attrs.field(
        factory=list
    )
    _numbers: "itertools.count[int]" = attrs.field(factory=itertools.count)

    async def ask(
        self,
        step: str,
        workers: tuple[str, ...],
        permits: StepPermits,
        urgency: Urgency,
    ) -> bool:
        """Ask about some workers and take in the answer.

        Returns:
            Whether an answer came.
        """
        permits.calls += 1
        permits.asked.update(workers)
        try:
            parts = _parts(workers)
            done = await asyncio.gather(
                *(self._ask_part(step, part, permits, urgency) for part in parts)
            )
            return all(done)
        finally:
            permits.calls -= 1

    async def _ask_part(
        self,
        step: str,
        workers: tuple[str, ...],
        permits: StepPermits,
        urgency: Urgency,
    ) -> bool:
        work_s = permits.answer_s(len(workers))
        came_at = self.clock.now()
        for _ in range(TRIES):
            host = await self._lane(urgency)
            sent_at = self.clock.now()
            limit_s = self._under_way.get(host, 0.0) + 1.5 * work_s + SLACK_S
            self._under_way[host] = self._under_way.get(host, 0.0) + work_s
            try:
                found = await self._send(host, step, workers, limit_s)
            except PermitUnavailable as exc:
                emit(events.PermitsFailed(step=step, via=host, reason=str(exc)))
                self._bad_until[host] = self.clock.now() + BAD_HOST_S
                continue
            finally:
                self._under_way[host] -= work_s
                self._leave(host)
            permits.take(workers, found, self.clock.now())
            emit(
                events.PermitsHad(
                    step=step,
                    asked=len(workers),
                    allowed=len(found),
                    via=host,
                    waited_s=round(sent_at - came_at, 4),
                    took_s=round(self.clock.now() - sent_at, 4),
                )
            )
            return True
        permits.failed(workers)
        return False

    # --- lanes ------------------------------------------------------------------

    async def _lane(self, urgency: Urgency) -> str:
        """Wait, in the order of urgency, for a host with a free lane."""
        host = self._free_host()
        if host is not None and not self._waiting:
            self._calls[host] = self._calls.get(host, 0) + 1
            return host
        fut: "asyncio.Future[str]" = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (urgency, next(self._numbers), fut))
        self._serve()
        try:
            return await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                self._leave(fut.result())
            raise

    def _leave(self, host: str) -> None:
        self._calls[host] -= 1
        self._serve()

    def _serve(self) -> None:
        """Give free lanes to those that wait, the most urgent first."""
        while self._waiting:
            host = self._free_host()
            if host is None:
                return
            _, _, fut = heapq.heappop(self._waiting)
            if not fut.done():
                self._calls[host] = self._calls.get(host, 0) + 1
                fut.set_result(host)

    def _free_host(self) -> str | None:
        now = self.clock.now()
        hosts = dict.fromkeys((self.own_address, *self.peers()))
        good = [host for host in hosts if self._bad_until.get(host, 0.0) <= now]
        free = [
            host
            for host in good or [self.own_address]
            if self._calls.get(host, 0) < LANE_DEPTH
        ]
        # Among like hosts the first is taken: calls between data centres are dear.
        return min(
            free,
            key=lambda host: round(self._under_way.get(host, 0.0), 4),
            default=None,
        )

    async def _send(
        self, host: str, step: str, workers: tuple[str, ...], limit_s: float
    ) -> tuple[Permit, ...]:
        if host == self.own_address:
            return await self.own.ask(step=step, workers=workers, timeout_s=limit_s)
        req = PermitRequest(step=step, workers=workers, timeout_s=limit_s)
        return await self.peer_client.permits(host, req)


def _parts(workers: tuple[str, ...]) -> list[tuple[str, ...]]:
    """Return parts of like length, since the longest call is waited for."""
    count = math.ceil(len(workers) / PERMITS_MOST_WORKERS)
    return [workers[number::count] for number in range(count)]
