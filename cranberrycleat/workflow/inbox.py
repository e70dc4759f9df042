"""The owner's side of the inbox: jobs that front ends stored themselves.

A front end stores a job in the inbox when no owner answers in time. The owner accepts
the job with its original acceptance time and deletes the inbox row once the job has
rows of its own; until then, the next owner finds the job there again.
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
"""The pause after a scan that found jobs.

While the ownership changes, front ends store jobs without knowing which owner to
notify; once the new owner has found the first of them, more are likely to follow.
"""

LOG: Final[logging.Logger] = part_logger("inbox")


@attrs.define(kw_only=True, eq=False)
class Inbox:
    """Accepts jobs from the inbox and deletes their inbox rows.

    Attributes:
        cluster_state: The owner's in-memory state.
        store: The platform's table.
        changed: Called when the cluster state has changed.
        scan_requested: Set when a front end reports that it stored a job.
    """

    cluster_state: ClusterState
    store: FeedTable
    changed: Callable[[], None]
    scan_requested: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self) -> None:
        """Scan the inbox on request, and periodically."""
        while True:
            try:
                found = await self._scan()
            except errors.TableUnavailable as exc:
                LOG.debug("could not read the inbox: %s", exc)
                await asyncio.sleep(options.INBOX_POLL_INTERVAL_S)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    RESCAN_INTERVAL_S if found else options.INBOX_POLL_INTERVAL_S
                ):
                    await self.scan_requested.wait()
            self.scan_requested.clear()

    async def _scan(self) -> bool:
        """Accept the jobs that are new; return whether there were any."""
        await self._delete_stored()
        found = await self.store.scan(prefix=f"{rows.INBOX}/")
        known = self.cluster_state.inbox
        new_rows = [row for row in found if row.key.partition("/")[2] not in known]
        if new_rows:
            self.accept_rows(tuple(new_rows))
            self.changed()
        return bool(new_rows)

    async def _delete_stored(self) -> None:
        """Delete the inbox rows of jobs that have rows of their own."""
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
        """Accept jobs; rows that cannot be decoded are logged with their keys."""
        decoded: list[tuple[str, rows.SpecRow]] = []
        for row in found:
            job_id = row.key.partition("/")[2]
            try:
                spec_row = codec.decode(row.value, rows.SpecRow, place=row.key)
            except errors.FindingsError as exc:
                emit(events.RowUnreadable(findings=str(exc)))
                continue
            decoded.append((job_id, spec_row))
        if self.cluster_state.load.fair_share is not None:
            # Jobs take the tokens of their workspace in order of acceptance.
            decoded.sort(key=lambda each: (each[1].accepted_s, each[0]))
        for job_id, spec_row in decoded:
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
