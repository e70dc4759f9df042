"""Admission control: which requests queue for a slot, and which are refused.

Each service has an admission controller. A request gets a slot, waits in a bounded
queue of its class until its deadline at most, or is refused immediately with a
Retry-After. The expected wait is estimated from the queue length: a request that
could not be served in time is not queued. The most urgent class is served first;
when the queue is full, the newest request of the least urgent class is refused.
"""

import asyncio
import enum
import math
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat import errors
from cranberrycleat.clock import Clock
from cranberrycleat.endpoints import EndpointState, ServiceEndpoints

MIN_RETRY_AFTER_S: Final = 1.0
INTERVAL_SMOOTHING: Final = 0.05


class RequestClass(enum.IntEnum):
    """Priority class of a request; lower numbers are served first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


PickEndpoint = Callable[[frozenset[str]], EndpointState | None]


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """One request waiting for a slot."""

    rank: RequestClass
    tried: frozenset[str]
    slot: "asyncio.Future[EndpointState]"


@attrs.define(kw_only=True, eq=False)
class AdmissionController:
    """Controls admission to one service.

    Attributes:
        pick: Returns an endpoint with a free slot, or None.
        max_waiters: Maximum number of queued requests.
        clock: The time source.
    """

    pick: PickEndpoint
    max_waiters: int
    clock: Clock
    _release_interval_s: float = 0.0
    _last_release_at: float = math.inf
    _queues: dict[RequestClass, deque[Waiter]] = attrs.field(
        factory=lambda: {rank: deque() for rank in RequestClass}
    )

    def waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    async def acquire_slot(
        self,
        *,
        service: ServiceEndpoints,
        rank: RequestClass,
        tried: frozenset[str],
        wait_s: float,
    ) -> EndpointState:
        """Acquire a slot; the caller returns it with `release_slot`.

        Args:
            service: The service's endpoints.
            rank: The request's class.
            tried: URLs that the request was already sent to.
            wait_s: Maximum time in the queue, in seconds.

        Raises:
            ProblemError: The request was refused and not run; carries a Retry-After.
        """
        if not self._count_ahead(rank):
            state = self.pick(tried)
            if state is not None:
                state.share.in_flight += 1
                return state
        expected = self._expected_wait_s(service, rank)
        if expected > wait_s or not self._ensure_queue_space(rank):
            raise _overloaded(expected)
        return await self._wait(rank, tried, wait_s, expected)

    def release_slot(self, state: EndpointState) -> None:
        """Return a slot and pass it to the next queued request."""
        state.share.in_flight -= 1
        self._update_release_interval()
        self.admit_waiting()

    def _update_release_interval(self) -> None:
        """Update the mean interval between slot releases while requests are queued."""
        now = self.clock.now()
        if not self.waiting():
            self._last_release_at = math.inf
            return
        if now >= self._last_release_at:
            gap = now - self._last_release_at
            self._release_interval_s += INTERVAL_SMOOTHING * (
                gap - self._release_interval_s
            )
        self._last_release_at = now

    def admit_waiting(self) -> None:
        """Assign free slots to queued requests, the most urgent class first."""
        for queue in self._queues.values():
            while queue:
                waiter = queue[0]
                if waiter.slot.done():
                    queue.popleft()
                    continue
                state = self.pick(waiter.tried)
                if state is None:
                    return
                queue.popleft()
                state.share.in_flight += 1
                waiter.slot.set_result(state)

    def _count_ahead(self, rank: RequestClass) -> int:
        """Count the queued requests that go before a new request of this class."""
        return sum(len(q) for each, q in self._queues.items() if each <= rank)

    def _expected_wait_s(self, service: ServiceEndpoints, rank: RequestClass) -> float:
        """Estimate the wait from the slots available and the observed release rate."""
        by_slots = service.took_s / max(1, service.capacity())
        return (self._count_ahead(rank) + 1) * max(by_slots, self._release_interval_s)

    def _ensure_queue_space(self, rank: RequestClass) -> bool:
        """Make space for one more request, if needed by refusing a less urgent one."""
        if self.waiting() < self.max_waiters:
            return True
        for lower in reversed(RequestClass):
            if lower <= rank:
                return False
            if self._queues[lower]:
                waiter = self._queues[lower].pop()
                if not waiter.slot.done():
                    waiter.slot.set_exception(_overloaded(MIN_RETRY_AFTER_S))
                return True
        return False

    async def _wait(
        self,
        rank: RequestClass,
        tried: frozenset[str],
        wait_s: float,
        expected_s: float,
    ) -> EndpointState:
        loop = asyncio.get_running_loop()
        waiter = Waiter(rank=rank, tried=tried, slot=loop.create_future())
        queue = self._queues[rank]
        queue.append(waiter)
        timer = loop.call_later(wait_s, _time_out, waiter, queue, expected_s)
        try:
            return await waiter.slot
        finally:
            timer.cancel()
            self._return_if_cancelled(waiter)

    def _return_if_cancelled(self, waiter: Waiter) -> None:
        """Return the slot of a request that was cancelled as it was assigned one."""
        task = asyncio.current_task()
        cancelled = task is not None and task.cancelling()
        if not cancelled:
            return
        if waiter.slot.done() and not waiter.slot.cancelled():
            if waiter.slot.exception() is None:
                self.release_slot(waiter.slot.result())


def _time_out(waiter: Waiter, queue: deque[Waiter], expected_s: float) -> None:
    if not waiter.slot.done():
        waiter.slot.set_exception(_overloaded(expected_s))
        if waiter in queue:
            queue.remove(waiter)


def _overloaded(expected_s: float) -> errors.ProblemError:
    return errors.ProblemError(
        status=503,
        code=errors.OVERLOADED,
        retry_after_s=max(MIN_RETRY_AFTER_S, expected_s),
    )
