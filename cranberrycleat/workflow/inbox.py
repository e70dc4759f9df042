"""The owner's side of the inbox: jobs that doors stored themselves.

A door leaves a job there when no owner answers in time. The owner takes it in
with the time of its acceptance, and removes the row once the job has rows of its
own; until then the job is found again by whoever owns next.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat import codec, errors, events
from cranberrycleat.logs import emit, part_logger
from cranberrycleat.table import Row, Transaction
from cranberrycleat.workflow import options, rows
from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.ports import FeedTable

AGAIN_S: Final = 0.1
"""The pause after a look that found jobs. Where owners change, doors leave jobs
before they know whom to tell; the next owner finds the first, and others follow."""

LOG: Final[logging.Logger] = part_logger("inbox")


@attrs.define(kw_only=True, eq=False)
class Inbox:
    """Takes in what doors left, and clears it away.

    Attributes:
        board: The owner's memory.
        store: The platform's table.
        changed: Told when the board has changed.
        due: Set when a door has left a job.
    """

    board: Board
    store: FeedTable
    changed: Callable[[], None]
    due: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self) -> None:
        """Look when told, and now and then."""
        while True:
            try:
                found = await self._look()
            except errors.TableUnavailable as exc:
                LOG.debug("The inbox was not read: %s", exc)
                await asyncio.sleep(options.INBOX_S)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(AGAIN_S if found else options.INBOX_S):
                    await self.due.wait()
            self.due.clear()

    async def _look(self) -> bool:
        """Take in what is new; return whether anything was."""
        await self._clear()
        found = await self.store.scan(prefix=f"{rows.INBOX}/")
        known = self.board.inbox
        fresh = [row for row in found if row.key.partition("/")[2] not in known]
        if fresh:
            self.take(tuple(fresh))
            self.changed()
        return bool(fresh)

    async def _clear(self) -> None:
        """Remove the rows of jobs that have been stored as jobs."""
        stored = [each for each in self.board.inbox if each in self.board.shown]
        if not stored:
            return
        taken = stored[: options.FORGET_AT_ONCE]
        deletes = tuple(rows.inbox_key(job_id) for job_id in taken)
        await self.store.commit(Transaction(deletes=deletes))
        self.board.inbox.difference_update(taken)

    def take(self, found: tuple[Row, ...]) -> None:
        """Take in jobs; a row that cannot be read is logged with its place."""
        for row in found:
            job_id = row.key.partition("/")[2]
            try:
                kept = codec.decode(row.value, rows.SpecRow, place=row.key)
            except errors.FindingsError as exc:
                emit(events.RowUnreadable(findings=str(exc)))
                continue
            job = self.board.accept(
                job_id,
                kept.queue,
                kept.spec,
                accepted_s=kept.accepted_s,
                workspace=kept.workspace,
            )
            self.board.inbox.add(job_id)
            self.board.dirty[job_id] = job
            emit(events.JobFound(job=job_id))
