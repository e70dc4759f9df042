"""An in-memory table that also serves its change history."""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat import errors
from cranberrycleat.standins.table import MemoryTable
from cranberrycleat.table import CommitReply, Row, Transaction
from cranberrycleat.workflow.ports import Feed, HistoryExpired, Snapshot, TableChange

POLL_S: Final = 0.005


@attrs.define(kw_only=True)
class MemoryFeedTable(MemoryTable):
    """A table in memory that keeps its history.

    Attributes:
        history: Every change, with its version.
        kept_from: Changes up to this version are no longer available.
    """

    history: list[tuple[int, TableChange]] = attrs.field(factory=list)
    kept_from: int = 0

    def apply(self, txn: Transaction) -> CommitReply:
        """Apply the transaction and record its changes."""
        reply = MemoryTable.apply(self, txn)
        if reply.committed:
            for put in txn.puts:
                change = TableChange(key=put.key, row=self.rows[put.key])
                self.history.append((reply.version, change))
            for key in txn.deletes:
                self.history.append((reply.version, TableChange(key=key, row=None)))
        return reply

    def hold_back(self, txn: Transaction) -> Callable[[], None]:
        """Give a transaction its version, and return what makes it visible.

        Later transactions may be visible before, with higher versions.
        """
        self.revision += 1
        version = self.revision

        def show() -> None:
            for put in txn.puts:
                row = Row(key=put.key, version=version, value=put.value)
                self.rows[put.key] = row
                self.history.append((version, TableChange(key=put.key, row=row)))
            self.history.sort(key=lambda change: change[0])

        return show

    def forget_history(self) -> None:
        """Discard all history, as the platform may do at any time."""
        self.history.clear()
        self.kept_from = self.revision

    def _check_feed(self, table: str) -> None:
        if table in self.faults.unreadable_feeds:
            raise errors.TableUnavailable(f"{table} cannot be read")

    async def snapshot(self, *, table: str) -> Snapshot:
        """Return a table's rows and the newest version."""
        self._check_feed(table)
        rows: tuple[Row, ...] = await self.scan(prefix=f"{table}/")
        return Snapshot(rows=rows, version=self.revision)

    async def follow(
        self, *, table: str, after: int, wait_s: float, max_bytes: int | None = None
    ) -> Feed:
        """Return the changes after a version; wait for one if there are none."""
        await self._apply_faults()
        self._check_feed(table)
        left_s = wait_s
        while True:
            if after < self.kept_from:
                raise HistoryExpired(table)
            found = [
                change
                for version, change in self.history
                if version > after and change.key.startswith(f"{table}/")
            ]
            if found or left_s <= 0:
                return Feed(changes=tuple(found), version=self.revision)
            await asyncio.sleep(POLL_S)
            left_s -= POLL_S
