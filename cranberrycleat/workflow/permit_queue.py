"""Queues permit calls by urgency and distributes them over the hosts.

The permit service processes one call at a time per calling host. At base load a
single host would keep it busy for 0.9 s of each second, and the service rejects calls
when too many wait. Calls are therefore queued here in order of urgency, and each host
has at most two in flight: one being processed and one on its way.
"""

import asyncio
import heapq
import itertools
import math
from collections.abc import Callable
from typing import Final, NamedTuple

import attrs

from cranberrycleat import events
from cranberrycleat.backoff import Backoff
from cranberrycleat.clock import Clock
from cranberrycleat.logs import emit
from cranberrycleat.workflow.decisions.ordering import Urgency
from cranberrycleat.workflow.peering import PeerClient, PermitRequest
from cranberrycleat.workflow.permits import StepPermits
from cranberrycleat.workflow.ports import (
    MAX_WORKERS_PER_PERMIT_CALL,
    Permit,
    PermitClient,
    PermitUnavailable,
)

MAX_CALLS_PER_HOST: Final = 2
MAX_WORK_AHEAD_S: Final = 0.1
"""With `yield_to_urgent`, a call is sent behind another through the same host only if
that one takes at most this long. A short step whose call waited behind one for a wide
gang (1.3 s) had used up its slack of 0.65 s."""
RERANK_INTERVAL_S: Final = 0.1
"""How often waiting calls are ranked anew, since ranking thousands takes tens of
milliseconds. A step's urgency changes over seconds."""
MAX_ATTEMPTS: Final = 3
ANSWER_SLACK_S: Final = 0.5
"""Added to the expected processing time when setting a call's timeout."""
HOST_BACKOFF_S: Final = 2.0
"""How long a host is skipped after a call through it failed."""
FAILURES_BEFORE_PAUSE: Final = 2
"""Consecutive failures of direct calls after which they pause: one may be by chance."""
FIRST_PAUSE_S: Final = 0.1
MAX_PAUSE_S: Final = 0.5
"""Longest pause between direct calls while no host gets an answer. Short steps have
0.5 s to spare when the service is back."""


class _Waiter(NamedTuple):
    """A call that waits for a host; sorts by urgency, then by arrival."""

    urgency: Urgency
    sequence: int
    step: str
    fut: "asyncio.Future[str]"


@attrs.define(kw_only=True, eq=False)
class PermitQueue:
    """Calls the permit service directly or through other hosts.

    Attributes:
        own: Client for direct calls from this host.
        own_address: This host's address among the peers.
        peer_client: Client for calls through other hosts.
        peers: Returns the addresses of the other hosts, preferred ones first.
        clock: The owner's clock.
        yield_to_urgent: Whether a host is kept available for more urgent calls while
            it processes a long one.
        current_urgency: Returns the present urgency of a step, or None if it needs no
            permits any more; without it, calls keep the urgency they were queued with.
        rerank_interval_s: The minimum time between two rankings of the waiting calls.
    """

    own: PermitClient
    own_address: str
    peer_client: PeerClient
    peers: Callable[[], tuple[str, ...]]
    clock: Clock
    yield_to_urgent: bool = False
    current_urgency: Callable[[str], Urgency | None] | None = None
    rerank_interval_s: float = RERANK_INTERVAL_S
    _work_in_flight_s: dict[str, float] = attrs.field(factory=dict)
    _calls_in_flight: dict[str, int] = attrs.field(factory=dict)
    _backoff_until: dict[str, float] = attrs.field(factory=dict)
    _waiters: "list[_Waiter]" = attrs.field(factory=list)
    _sequence: "itertools.count[int]" = attrs.field(factory=itertools.count)
    _reranked_at: float = float("-inf")
    _own_failures: int = 0
    _own_pauses: Backoff = attrs.field(
        factory=lambda: Backoff(first_s=FIRST_PAUSE_S, max_s=MAX_PAUSE_S)
    )
    _own_retry_at: float = float("-inf")

    async def ask(
        self,
        step: str,
        workers: tuple[str, ...],
        permits: StepPermits,
        urgency: Urgency,
    ) -> bool:
        """Request permits for some workers and record the answers.

        While no host gets an answer, most requests fail without a call: this host
        calls the service directly, with growing pauses, until it answers.

        Returns:
            Whether all calls were answered.
        """
        permits.calls_in_flight += 1
        permits.asked.update(workers)
        try:
            parts = _split_workers(workers)
            done = await asyncio.gather(
                *(self._ask_part(step, part, permits, urgency) for part in parts)
            )
            return all(done)
        finally:
            permits.calls_in_flight -= 1

    async def _ask_part(
        self,
        step: str,
        workers: tuple[str, ...],
        permits: StepPermits,
        urgency: Urgency,
    ) -> bool:
        work_s = permits.expected_answer_s(len(workers))
        queued_at = self.clock.now()
        for _ in range(MAX_ATTEMPTS):
            host = await self._acquire_host(step, urgency)
            if not host:
                break
            sent_at = self.clock.now()
            limit_s = (
                self._work_in_flight_s.get(host, 0.0) + 1.5 * work_s + ANSWER_SLACK_S
            )
            self._work_in_flight_s[host] = (
                self._work_in_flight_s.get(host, 0.0) + work_s
            )
            try:
                found = await self._send(host, step, workers, limit_s)
            except PermitUnavailable as exc:
                emit(events.PermitsFailed(step=step, via=host, reason=str(exc)))
                self._record_failure(host)
                continue
            finally:
                self._work_in_flight_s[host] -= work_s
                self._release_host(host)
            if host == self.own_address:
                self._own_failures = 0
                self._own_pauses.reset()
            permits.record_answer(workers, found, self.clock.now())
            emit(
                events.PermitsHad(
                    step=step,
                    asked=len(workers),
                    allowed=len(found),
                    via=host,
                    waited_s=round(sent_at - queued_at, 4),
                    took_s=round(self.clock.now() - sent_at, 4),
                )
            )
            return True
        permits.failed(workers)
        return False

    def _record_failure(self, host: str) -> None:
        """Skip a host for a while; pause direct calls if they keep failing."""
        now = self.clock.now()
        self._backoff_until[host] = now + HOST_BACKOFF_S
        if host != self.own_address:
            return
        self._own_failures += 1
        # A call that was in flight beside a failed one does not lengthen the pause.
        if self._own_failures >= FAILURES_BEFORE_PAUSE and now >= self._own_retry_at:
            self._own_retry_at = now + self._own_pauses.next_s()

    def _is_paused(self) -> bool:
        """Return whether no host may be called: all failed, and no retry is due."""
        now = self.clock.now()
        return now < self._own_retry_at and not self._good_hosts(now)

    # --- per-host call limit -----------------------------------------------------

    async def _acquire_host(self, step: str, urgency: Urgency) -> str:
        """Wait, in order of urgency, for a host below its call limit and reserve it.

        Returns:
            The host; empty if the step needs no permits any more, or if no host may
            be called at present.
        """
        if self._is_paused():
            return ""
        host = self._least_loaded_host()
        if host is not None and not self._waiters:
            self._calls_in_flight[host] = self._calls_in_flight.get(host, 0) + 1
            return host
        fut: "asyncio.Future[str]" = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, _Waiter(urgency, next(self._sequence), step, fut))
        self._grant_waiters()
        try:
            return await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled() and fut.result():
                self._release_host(fut.result())
            raise

    def _release_host(self, host: str) -> None:
        self._calls_in_flight[host] -= 1
        self._grant_waiters()

    def _grant_waiters(self) -> None:
        """Assign available hosts to waiting calls, the most urgent first."""
        if self._is_paused():
            waiters, self._waiters = self._waiters, []
            for waiter in waiters:
                if not waiter.fut.done():
                    waiter.fut.set_result("")
            return
        self._rerank_waiters()
        while self._waiters:
            host = self._least_loaded_host()
            if host is None:
                return
            fut = heapq.heappop(self._waiters).fut
            if not fut.done():
                self._calls_in_flight[host] = self._calls_in_flight.get(host, 0) + 1
                fut.set_result(host)

    def _rerank_waiters(self) -> None:
        """Rank waiting calls by their present urgency; drop those no longer needed."""
        now = self.clock.now()
        if self.current_urgency is None:
            return
        if now < self._reranked_at + self.rerank_interval_s:
            return
        self._reranked_at = now
        remaining = []
        for waiter in self._waiters:
            urgency = self.current_urgency(waiter.step)
            if waiter.fut.done():
                continue
            if urgency is None:
                waiter.fut.set_result("")
            else:
                remaining.append(waiter._replace(urgency=urgency))
        heapq.heapify(remaining)
        self._waiters = remaining

    def _least_loaded_host(self) -> str | None:
        good = self._good_hosts(self.clock.now())
        free = [host for host in good or [self.own_address] if self._may_call(host)]
        # Ties go to the first host: it is the nearest, and calls between data centres
        # are expensive.
        return min(
            free,
            key=lambda host: round(self._work_in_flight_s.get(host, 0.0), 4),
            default=None,
        )

    def _good_hosts(self, now: float) -> list[str]:
        """Return the hosts through which no call failed recently."""
        hosts = dict.fromkeys((self.own_address, *self.peers()))
        return [host for host in hosts if self._backoff_until.get(host, 0.0) <= now]

    def _may_call(self, host: str) -> bool:
        calls = self._calls_in_flight.get(host, 0)
        if calls and self.yield_to_urgent:
            work_s = self._work_in_flight_s.get(host, 0.0)
            return calls < MAX_CALLS_PER_HOST and work_s <= MAX_WORK_AHEAD_S
        return calls < MAX_CALLS_PER_HOST

    async def _send(
        self, host: str, step: str, workers: tuple[str, ...], limit_s: float
    ) -> tuple[Permit, ...]:
        if host == self.own_address:
            return await self.own.ask(step=step, workers=workers, timeout_s=limit_s)
        req = PermitRequest(step=step, workers=workers, timeout_s=limit_s)
        return await self.peer_client.permits(host, req)


def _split_workers(workers: tuple[str, ...]) -> list[tuple[str, ...]]:
    """Split workers into chunks of similar size, since a step waits for the largest."""
    count = math.ceil(len(workers) / MAX_WORKERS_PER_PERMIT_CALL)
    return [workers[number::count] for number in range(count)]
