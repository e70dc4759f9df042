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

MAX_GROUP: Final = 128
SETTLE_TRIES: Final = 3
REST_S: Final = 1.0
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
class Won:
    """The change took effect; the row now has this version."""

    version: int


@attrs.frozen(kw_only=True)
class Lost:
    """The condition did not hold; the row that is there, if any."""

    row: Row | None


@attrs.frozen(kw_only=True)
class Unsettled:
    """No answer; the change may have taken effect, or may yet."""


@attrs.frozen(kw_only=True)
class Untried(Unsettled):
    """No answer to others lately, so that this change was not even sent."""


WriteResult = Won | Lost | Unsettled


@attrs.define(kw_only=True, eq=False)
class _Waiting:
    change: Change
    result: "asyncio.Future[WriteResult]"


@attrs.define(kw_only=True, eq=False)
class GroupedWriter:
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
    gather_s: float = 0.002
    most: int = MAX_GROUP
    most_bytes: int = sys.maxsize
    transactions: int = 0
    _waiting: list[_Waiting] = attrs.field(factory=list)
    _sender: "asyncio.Task[None] | None" = None
    _failed_at: float = float("-inf")

    async def write(self, change: Change) -> WriteResult:
        """Make one change, together with whatever else is waiting.

        For a short while after the table gave no answer, changes are not even
        tried: who asks then is told at once instead of waiting as well.
        """
        if self.clock.now() - self._failed_at < REST_S:
            return Untried()
        fut: "asyncio.Future[WriteResult]" = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(change=change, result=fut))
        if self._sender is None or self._sender.done():
            self._sender = asyncio.create_task(self._send_all())
        return await fut

    async def _send_all(self) -> None:
        while self._waiting:
            await asyncio.sleep(self.gather_s)
            await self._send(self._next_group())

    def _next_group(self) -> list[_Waiting]:
        """Take the next changes, no two of the same row."""
        group: list[_Waiting] = []
        left: list[_Waiting] = []
        keys: set[str] = set()
        size = 0
        for each in self._waiting:
            key = each.change.put.key
            more = len(each.change.put.value)
            full = len(group) >= self.most or (group and size + more > self.most_bytes)
            if key in keys or full:
                left.append(each)
            else:
                keys.add(key)
                group.append(each)
                size += more
        self._waiting = left
        return group

    async def _send(self, group: list[_Waiting]) -> None:
        tries = 0
        while group:
            try:
                group = await self._send_once(group)
            except errors.TableUnavailable:
                tries += 1
                self._failed_at = self.clock.now()
                if tries >= SETTLE_TRIES:
                    self._resolve(group, Unsettled())
                    return

    async def _send_once(self, group: list[_Waiting]) -> list[_Waiting]:
        """Send one transaction; return the changes to be sent again."""
        self.transactions += 1
        reply = await self.table.commit(
            Transaction(
                checks=tuple(each.change.check for each in group),
                puts=tuple(each.change.put for each in group),
            )
        )
        if reply.committed:
            self._resolve(group, Won(version=reply.version))
            return []
        lost = [each for each in group if each.change.put.key in reply.conflicts]
        rows = await self.table.read(keys=tuple(each.change.put.key for each in lost))
        found = {row.key: row for row in rows}
        for each in lost:
            self._resolve([each], _verdict(each.change, found))
        return [each for each in group if each not in lost]

    @staticmethod
    def _resolve(group: list[_Waiting], result: WriteResult) -> None:
        for each in group:
            if not each.result.done():
                each.result.set_result(result)


def _verdict(change: Change, found: dict[str, Row]) -> WriteResult:
    row = found.get(change.put.key)
    if row is not None and row.value == change.put.value:
        return Won(version=row.version)
    return Lost(row=row)
