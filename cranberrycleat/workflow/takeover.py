"""Reads the stored rows at a takeover, before the new owner schedules anything.

All durable state is in the table. Once the takeover's write has succeeded, no earlier
owner can store anything more, so the rows read after it are current; only what the
workers report can be newer.
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
    """The rows stored by earlier owners and by front ends."""

    specs: tuple[Row, ...]
    jobs: tuple[Row, ...]
    inbox: tuple[Row, ...]


async def read_all(
    lease: OwnershipLease, store: FeedTable, directory: WorkerDirectory
) -> StoredRows:
    """Read all rows and the list of workers, retrying while the table is unavailable.

    Raises:
        Deposed: Another process has acquired the lease.
    """
    while True:
        reading = asyncio.ensure_future(_read(store, directory))
        await _renew_while(lease, reading)
        try:
            return reading.result()
        except errors.TableUnavailable as exc:
            LOG.warning("takeover: table unavailable, will retry: %s", exc)
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
    """Keep renewing the lease while the rows are read.

    If reading takes longer than the lease lasts, every successor would otherwise lose
    the ownership during its takeover.
    """
    try:
        while not reading.done():
            await asyncio.wait({reading}, timeout=options.LEASE_RENEW_INTERVAL_S)
            await _renew(lease)
    finally:
        reading.cancel()


async def _renew(lease: OwnershipLease) -> None:
    # An unanswered renewal is settled by the next one; a lost lease raises `LeaseLost`.
    with contextlib.suppress(errors.TableUnavailable):
        await lease.commit()


def restore(cluster_state: ClusterState, stored: StoredRows) -> None:
    """Add every stored job; rows that cannot be decoded are logged with their keys."""
    specs = {row.key.partition("/")[2]: row for row in stored.specs}
    for row in stored.jobs:
        job_id = row.key.partition("/")[2]
        try:
            _restore_job(cluster_state, job_id, row, specs.get(job_id))
        except errors.FindingsError as exc:
            cluster_state.unreadable.add(job_id)
            emit(events.RowUnreadable(findings=str(exc)))
    fair_share = cluster_state.load.fair_share
    if fair_share is not None:
        fair_share.record_restored(cluster_state.jobs.values())


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
