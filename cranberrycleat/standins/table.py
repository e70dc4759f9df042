"""An in-memory stand-in for the platform's table, with fault switches.

`standin platform` serves it over HTTP, and tests pass it to the coordination parts
directly. Tests check write budgets against its counters.
"""

import asyncio

import attrs

from cranberrycleat import errors
from cranberrycleat.table import ABSENT, CommitReply, Row, TableLimits, Transaction


@attrs.define(kw_only=True)
class TableFaults:
    """The faults that can be injected.

    Attributes:
        down: Every call fails without effect.
        slow_s: Seconds added to every call.
        lose_replies: How many of the next commits take effect but give no answer.
        unreadable_feeds: Tables that can neither be followed nor be read as a whole,
            while all else works.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0
    unreadable_feeds: set[str] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class TableCounts:
    """How often each operation was carried out."""

    reads: int = 0
    writes: int = 0
    refused: int = 0


@attrs.define(kw_only=True)
class MemoryTable:
    """A table held in memory.

    Attributes:
        rows: The rows by key.
        revision: The version of the newest row.
        limits: The limits of a transaction sent with `commit`.
        faults: The injected faults.
        counts: How often each operation was carried out.
        rejected: Why transactions were rejected for good, in order.
    """

    rows: dict[str, Row] = attrs.field(factory=dict)
    revision: int = 0
    limits: TableLimits = TableLimits()
    rejected: list[str] = attrs.field(factory=list)
    faults: TableFaults = attrs.field(factory=TableFaults)
    counts: TableCounts = attrs.field(factory=TableCounts)

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Return the rows that exist among the keys."""
        await self._apply_faults()
        self.counts.reads += 1
        return tuple(self.rows[key] for key in keys if key in self.rows)

    async def scan(self, *, prefix: str) -> tuple[Row, ...]:
        """Return every row whose key starts with the prefix."""
        await self._apply_faults()
        self.counts.reads += 1
        found = [row for key, row in self.rows.items() if key.startswith(prefix)]
        return tuple(sorted(found, key=lambda row: row.key))

    async def commit(self, txn: Transaction) -> CommitReply:
        """Apply the transaction, then fail without an answer if that fault is on."""
        await self._apply_faults()
        violation = self.limits.violation(txn)
        if violation:
            self.rejected.append(violation)
            raise errors.TableRejected(violation)
        reply = self.apply(txn)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            raise errors.TableUnavailable("reply lost")
        return reply

    def apply(self, txn: Transaction) -> CommitReply:
        """Apply the transaction immediately, ignoring injected faults."""
        conflicts = tuple(
            check.key
            for check in txn.checks
            if self.version(check.key) != check.version
        )
        if conflicts:
            self.counts.refused += 1
            return CommitReply(committed=False, conflicts=conflicts)
        self.counts.writes += 1
        self.revision += 1
        for put in txn.puts:
            self.rows[put.key] = Row(
                key=put.key, version=self.revision, value=put.value
            )
        for key in txn.deletes:
            self.rows.pop(key, None)
        return CommitReply(committed=True, version=self.revision)

    def version(self, key: str) -> int:
        """Return the row's version, or `ABSENT`."""
        row = self.rows.get(key)
        return ABSENT if row is None else row.version

    async def _apply_faults(self) -> None:
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.down:
            raise errors.TableUnavailable("down")
