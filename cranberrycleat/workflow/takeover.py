"""What a successor reads before it decides anything.

Everything that lasts stands in the table; after the takeover's write nothing of
an earlier owner can be stored any more, so that what is read then is the truth
but for what workers tell.
"""

import asyncio
import contextlib
import logging
from typing import Any, Final

import attrs

from cranberrycleat import codec, errors, events
from cranberrycleat.lease import OwnershipLease
from cranberrycleat.logs import emit, part_logger
from cranberrycleat.table import Row
from cranberrycleat.workflow import options, rows
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.directory import WorkerDirectory
from cranberrycleat.workflow.ports import FeedTable

LOG: Final[logging.Logger] = part_logger("takeover")


@attrs.frozen(kw_only=True)
class StoredRows:
    """The rows of an earlier owner and of the doors."""

    specs: tuple[Row, ...]
    jobs: tuple[Row, ...]
    inbox: tuple[Row, ...]


async def read_all(
    lease: OwnershipLease, store: FeedTable, directory: WorkerDirectory
) -> StoredRows:
    """Read every row and the list of workers, however long that takes.

    Raises:
        Deposed: Another process holds the lease by now.
    """
    while True:
        reading = asyncio.ensure_future(_read(store, directory))
        await _renew_while(lease, reading)
        try:
            return reading.result()
        except errors.TableUnavailable as exc:
            LOG.warning("The takeover waits for the table: %s", exc)
            await asyncio.sleep(options.STORE_RETRY_INTERVAL_S)
            await _renew(lease)


async def _read(store: FeedTable, directory: WorkerDirectory) -> StoredRows:
    specs, jobs, inbox, _ = await asyncio.gather(
        store.scan(prefix=f"{rows.SPECS}/"),
        store.scan(prefix=f"{rows.JOBS}/"),
        store.scan(prefix=f"{rows.INBOX}/"),
        directory.read_all(),
    )
    return StoredRows(specs=specs, jobs=jobs, inbox=inbox)


async def _renew_while(lease: OwnershipLease, reading: "asyncio.Future[Any]") -> None:
    """Keep the lease while rows are read.

    Rows that take longer to read than a lease lasts would otherwise make each
    successor lose the ownership in its takeover.
    """
    try:
        while not reading.done():
            await asyncio.wait({reading}, timeout=options.LEASE_RENEW_INTERVAL_S)
            await _renew(lease)
    finally:
        reading.cancel()


async def _renew(lease: OwnershipLease) -> None:
    # Without an answer the next renewal settles it; a lost lease is raised.
    with contextlib.suppress(errors.TableUnavailable):
        await lease.commit()


def restore(cluster_state: ClusterState, stored: StoredRows) -> None:
    """Take in every job; a row that cannot be read is logged with its place."""
    specs = {row.key.partition("/")[2]: row for row in stored.specs}
    for row in stored.jobs:
        job_id = row.key.partition("/")[2]
        try:
            _restore_job(cluster_state, job_id, row, specs.get(job_id))
        except errors.FindingsError as exc:
            cluster_state.unreadable.add(job_id)
            emit(events.RowUnreadable(findings=str(exc)))


def _restore_job(
    cluster_state: ClusterState, job_id: str, row: Row, spec: Row | None
) -> None:
    job_row = rows.decode_job_row(row.value, row.key)
    if job_row.spec is not None:
        cluster_state.restore(rows.restore(job_id, job_row.spec, job_row))
        return
    if spec is None:
        cluster_state.restore(rows.ended_job(job_id, job_row))
        return
    spec_row = codec.decode(spec.value, rows.SpecRow, place=spec.key)
    cluster_state.restore(rows.restore(job_id, spec_row, job_row))
