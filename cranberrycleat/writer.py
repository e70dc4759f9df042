"""Batching writer: many small conditional writes in few transactions.

Changes that arrive within a short window are sent as one transaction. Changes
whose condition fails are removed from the batch and the rest is resent. A
transaction without a reply is resent unchanged: its conditions let at most one
copy commit, and reading the rows back shows whether an earlier copy did, since
every written value is unique to its writer.

This module can be imported on its own; it needs a `Table`.
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
"""After the table did not reply, new changes are refused for this long."""


@attrs.frozen(kw_only=True)
class Change:
    """One conditional write of one row.

    Attributes:
        check: The row's condition.
        put: The same row's new value, different from any other writer's.
    """

    check: Check
    put: Put


@attrs.frozen(kw_only=True)
class Committed:
    """The change was committed; the row now has this version."""

    version: int


@attrs.frozen(kw_only=True)
class Conflicted:
    """The condition failed; `row` is the existing row, if any."""

    row: Row | None


@attrs.frozen(kw_only=True)
class OutcomeUnknown:
    """No reply; the change may have been committed or may still be."""


@attrs.frozen(kw_only=True)
class NotAttempted(OutcomeUnknown):
    """Not sent, because the table recently did not reply to other changes."""


@attrs.frozen(kw_only=True)
class Rejected(OutcomeUnknown):
    """Not written: the table will never take the change."""


WriteResult = Committed | Conflicted | OutcomeUnknown


@attrs.define(kw_only=True, eq=False)
class _QueuedChange:
    change: Change
    result: "asyncio.Future[WriteResult]"


@attrs.define(kw_only=True, eq=False)
class BatchingWriter:
    """Batches changes from many tasks into transactions.

    Attributes:
        table: The table to write to.
        batch_window_s: How long changes are collected before a transaction is sent.
        max_changes: Maximum changes per transaction, with one check and one put each.
        max_bytes: Maximum bytes of values per transaction, unless a single value is
            larger.
        transactions: Number of transactions sent.
        clock: The time source.
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
        """Write one change, batched with whatever else is queued.

        For `FAILURE_BACKOFF_S` after the table did not reply, changes are not sent:
        callers get `NotAttempted` immediately instead of waiting for another timeout.
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
        """Dequeue the next batch, with at most one change per row."""
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
            except errors.TableRejected:
                await self._send_apart(batch)
                return
            except errors.TableUnavailable:
                tries += 1
                self._failed_at = self.clock.now()
                if tries >= MAX_ATTEMPTS:
                    self._resolve(batch, OutcomeUnknown())
                    return

    async def _send_apart(self, batch: list[_QueuedChange]) -> None:
        """Send each change by itself, as the table rejected them together."""
        if len(batch) == 1:
            self._resolve(batch, Rejected())
            return
        for each in batch:
            await self._send([each])

    async def _send_once(self, batch: list[_QueuedChange]) -> list[_QueuedChange]:
        """Send one transaction; return the changes to be resent."""
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
