"""Limits the orders to one worker that are under way at a time.

Each order under way needs a connection. A worker holds a limited number of them, from
all hosts together, and resets those beyond it. Connections of a host that lost power
count for as long as the worker does not notice, so that each change of owner may leave
as many behind as one owner opens.
"""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator
from typing import Final

import attrs

MAX_ORDERS: Final = 4
"""With the connection for syncs, twelve owners in a row may lose power before they fill
a worker that holds 64 connections. An answer takes a few milliseconds, so that a group
of 40 starts for one worker is under way within a tenth of a second."""

Waiting = collections.deque["asyncio.Future[None]"]


@attrs.define(kw_only=True, eq=False)
class OrderSlots:
    """Hands out slots for orders to one worker; orders beyond the limit wait.

    Attributes:
        limit: Maximum number of orders under way.
    """

    limit: int = MAX_ORDERS
    _used: int = 0
    _urgent: Waiting = attrs.field(factory=collections.deque)
    _other: Waiting = attrs.field(factory=collections.deque)

    @contextlib.asynccontextmanager
    async def slot(self, *, urgent: bool = False) -> AsyncIterator[None]:
        """Hold a slot; urgent orders are served before all others, then in turn."""
        await self._acquire(self._urgent if urgent else self._other)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, waiting: Waiting) -> None:
        if self._used < self.limit:
            self._used += 1
            return
        fut = asyncio.get_running_loop().create_future()
        waiting.append(fut)
        try:
            await fut
        except asyncio.CancelledError:
            if not fut.cancelled():
                # The slot was handed over just before the wait was cancelled.
                self._release()
            raise

    def _release(self) -> None:
        for waiting in (self._urgent, self._other):
            while waiting:
                fut = waiting.popleft()
                if not fut.done():
                    fut.set_result(None)
                    return
        self._used -= 1
