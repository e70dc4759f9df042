"""The grouped writer: many small conditional writes in few transactions.

Changes that arrive within a short time go out as one transaction. A change
whose conditions fail is taken out and the rest is sent again. A transaction
without an answer is sent again unchanged: its conditions let at most one copy
take effect, and reading the rows back tells whether an earlier copy did, since
every value that is written is unique to its writer.

The part is importable on its own; it needs a `Table`.
"""

import asyncio
import sys
from typing import Final

import attrs

from cranberrycleat import errors
from cranberrycleat.clock import Clock, MonotonicClock
from cranberrycleat.table import Check, Put, Row, Table, Transaction

MAX_BATCH_CHANGES: Final = 128
MAX_ATTEMPTS: Final = 3
FAILURE_BACKOFF_S: Final = 1.0
"""How long nothing new is tried after the table gave no answer, in seconds."""


@attrs.frozen(kw_only=True)
class Change:
    """One conditional write of one row.

    Attributes:
        check: The row's condition.
        put: The same row's new value, unlike any other writer's.
    """

    check: Check
    put: Put


@attrs.frozen(kw_only=True)
class Committed:
    """The change took effect; the row now has this version."""

    version: int


@attrs.frozen(kw_only=True)
class Conflicted:
    """The condition did not hold; the row that is there, if any."""

    row: Row | None


@attrs.frozen(kw_only=True)
class OutcomeUnknown:
    """No answer; the change may have taken effect, or may yet."""


@attrs.frozen(kw_only=True)
class NotAttempted(OutcomeUnknown):
    """No answer to others lately, so that this change was not even sent."""


WriteResult = Committed | Conflicted | OutcomeUnknown


@attrs.define(kw_only=True, eq=False)
class _QueuedChange:
    change: Change
    result: "asyncio.Future[WriteResult]"


@attrs.define(kw_only=True, eq=False)
class BatchingWriter:
    """Groups changes from many tasks into transactions.

    Attributes:
        table: The table to write to.
        gather_s: How long changes are gathered before a transaction leaves.
        most: How many changes one transaction holds, a check and a put each.
        most_bytes: How many bytes of values it holds, unless one alone has more.
        transactions: How many transactions were sent.
        clock: Where it gets the time from.
    """

    table: Table
    clock: Clock = attrs.field(factory=MonotonicClock)
    batch_window_s: float = 0.002
    max_changes: int = MAX_BATCH_CHANGES
    max_bytes: int = sys.maxsize
    transactions: int = 0
    _queue: list[_QueuedChange] = attrs.field(factory=list)
    _sender: "asyncio.Task[None] | None" = None
    _failed_at: float = float("-inf")

    async def write(self, change: Change) -> WriteResult:
        """Make one change, together with whatever else is waiting.

        For a short while after the table gave no answer, changes are not even
        tried: who asks then is told at once instead of waiting as well.
        """
        if self.clock.now() - self._failed_at < FAILURE_BACKOFF_S:
            return NotAttempted()
        fut: "asyncio.Future[WriteResult]" = asyncio.get_running_loop().create_future()
        self._queue.append(_QueuedChange(change=change, result=fut))
        if self._sender is None or self._sender.done():
            self._sender = asyncio.create_task(self._send_all())
        return await fut

    async def _send_all(self) -> None:
        while self._queue:
            await asyncio.sleep(self.batch_window_s)
            await self._send(self._next_batch())

    def _next_batch(self) -> list[_QueuedChange]:
        """Take the next changes, no two of the same row."""
        batch: list[_QueuedChange] = []
        left: list[_QueuedChange] = []
        keys: set[str] = set()
        size = 0
        for each in self._queue:
            key = each.change.put.key
            more = len(each.change.put.value)
            full = len(batch) >= self.max_changes or (
                batch and size + more > self.max_bytes
            )
            if key in keys or full:
                left.append(each)
            else:
                keys.add(key)
                batch.append(each)
                size += more
        self._queue = left
        return batch

    async def _send(self, batch: list[_QueuedChange]) -> None:
        tries = 0
        while batch:
            try:
                batch = await self._send_once(batch)
            except errors.TableUnavailable:
                tries += 1
                self._failed_at = self.clock.now()
                if tries >= MAX_ATTEMPTS:
                    self._resolve(batch, OutcomeUnknown())
                    return

    async def _send_once(self, batch: list[_QueuedChange]) -> list[_QueuedChange]:
        """Send one transaction; return the changes to be sent again."""
        self.transactions += 1
        reply = await self.table.commit(
            Transaction(
                checks=tuple(each.change.check for each in batch),
                puts=tuple(each.change.put for each in batch),
            )
        )
        if reply.committed:
            self._resolve(batch, Committed(version=reply.version))
            return []
        lost = [each for each in batch if each.change.put.key in reply.conflicts]
        rows = await self.table.read(keys=tuple(each.change.put.key for each in lost))
        found = {row.key: row for row in rows}
        for each in lost:
            self._resolve([each], _conflict_result(each.change, found))
        return [each for each in batch if each not in lost]

    @staticmethod
    def _resolve(batch: list[_QueuedChange], result: WriteResult) -> None:
        for each in batch:
            if not each.result.done():
                each.result.set_result(result)


def _conflict_result(change: Change, found: dict[str, Row]) -> WriteResult:
    row = found.get(change.put.key)
    if row is not None and row.value == change.put.value:
        return Committed(version=row.version)
    return Conflicted(row=row)
