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
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.ports import FeedTable

RESCAN_INTERVAL_S: Final = 0.1
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

    cluster_state: ClusterState
    store: FeedTable
    changed: Callable[[], None]
    scan_requested: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self) -> None:
        """Look when told, and now and then."""
        while True:
            try:
                found = await self._scan()
            except errors.TableUnavailable as exc:
                LOG.debug("The inbox was not read: %s", exc)
                await asyncio.sleep(options.INBOX_POLL_INTERVAL_S)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    RESCAN_INTERVAL_S if found else options.INBOX_POLL_INTERVAL_S
                ):
                    await self.scan_requested.wait()
            self.scan_requested.clear()

    async def _scan(self) -> bool:
        """Take in what is new; return whether anything was."""
        await self._delete_stored()
        found = await self.store.scan(prefix=f"{rows.INBOX}/")
        known = self.cluster_state.inbox
        new_rows = [row for row in found if row.key.partition("/")[2] not in known]
        if new_rows:
            self.accept_rows(tuple(new_rows))
            self.changed()
        return bool(new_rows)

    async def _delete_stored(self) -> None:
        """Remove the rows of jobs that have been stored as jobs."""
        stored = [
            each
            for each in self.cluster_state.inbox
            if each in self.cluster_state.reported
        ]
        if not stored:
            return
        batch = stored[: options.MAX_DELETES_PER_BATCH]
        deletes = tuple(rows.inbox_key(job_id) for job_id in batch)
        await self.store.commit(Transaction(deletes=deletes))
        self.cluster_state.inbox.difference_update(batch)

    def accept_rows(self, found: tuple[Row, ...]) -> None:
        """Take in jobs; a row that cannot be read is logged with its place."""
        for row in found:
            job_id = row.key.partition("/")[2]
            try:
                spec_row = codec.decode(row.value, rows.SpecRow, place=row.key)
            except errors.FindingsError as exc:
                emit(events.RowUnreadable(findings=str(exc)))
                continue
            job = self.cluster_state.accept(
                job_id,
                spec_row.queue,
                spec_row.spec,
                accepted_s=spec_row.accepted_s,
                workspace=spec_row.workspace,
            )
            self.cluster_state.inbox.add(job_id)
            self.cluster_state.dirty[job_id] = job
            emit(events.JobFound(job=job_id))
