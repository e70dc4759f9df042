"""Reads the stored rows at a takeover, before the new owner schedules anything.

All durable state is in the table. Once the takeover's write has succeeded, no earlier
owner can store anything more, so the rows read after it are current; only what the
workers report can be newer.
"""

import asyncio
import contextlib
import logging
from collections.abc import Iterable, Mapping
from typing import Any, Final

import attrs

from cranberrycleat import codec, errors, events
from cranberrycleat.lease import OwnershipLease
from cranberrycleat.logs import emit, part_logger
from cranberrycleat.table import Row
from cranberrycleat.workflow import options, rows
from cranberrycleat.workflow.announcements import ANNOUNCED
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.directory import WorkerDirectory
from cranberrycleat.workflow.job_pages import PAGES, split_page_key
from cranberrycleat.workflow.ports import FeedTable

LOG: Final[logging.Logger] = part_logger("takeover")
SPEEDS_TIMEOUT_S: Final = 0.05
"""How long a takeover waits for the learned speeds after all other rows were read. All
are requested at once, and a takeover without speeds is better than a late one."""
MAX_SPEEDS_AGE_S: Final = 60.0
"""Older speeds are not used: a worker may have been replaced since by one of the same
kind on another machine."""


@attrs.frozen(kw_only=True)
class StoredRows:
    """The rows stored by earlier owners and by front ends."""

    specs: tuple[Row, ...]
    jobs: tuple[Row, ...]
    inbox: tuple[Row, ...]
    announced: tuple[Row, ...] = ()
    speeds: tuple[Row, ...] = ()
    pages: tuple[Row, ...] = ()


async def read_all(
    lease: OwnershipLease,
    store: FeedTable,
    directory: WorkerDirectory,
    *,
    with_speeds: bool = False,
) -> StoredRows:
    """Read all rows and the list of workers, retrying while the table is unavailable.

    Args:
        lease: The ownership lease, renewed while reading.
        store: The platform's table.
        directory: Reads the list of workers.
        with_speeds: Whether learned speeds are read as well.

    Raises:
        Deposed: Another process has acquired the lease.
    """
    while True:
        reading = asyncio.ensure_future(_read(store, directory, with_speeds))
        await _renew_while(lease, reading)
        try:
            return reading.result()
        except errors.TableUnavailable as exc:
            LOG.warning("takeover: table unavailable, will retry: %s", exc)
            await asyncio.sleep(options.STORE_RETRY_INTERVAL_S)
            await _renew(lease)


async def _read(
    store: FeedTable, directory: WorkerDirectory, with_speeds: bool
) -> StoredRows:
    speeds = asyncio.ensure_future(_read_speeds(store)) if with_speeds else None
    try:
        specs, jobs, pages, inbox, announced, _ = await asyncio.gather(
            store.scan(prefix=f"{rows.SPECS}/"),
            store.scan(prefix=f"{rows.JOBS}/"),
            store.scan(prefix=f"{PAGES}/"),
            store.scan(prefix=f"{rows.INBOX}/"),
            store.scan(prefix=f"{ANNOUNCED}/"),
            directory.read_all(),
        )
        found = await _speeds_read_by_now(speeds)
    finally:
        if speeds is not None:
            speeds.cancel()
    return StoredRows(
        specs=specs,
        jobs=jobs,
        pages=pages,
        inbox=inbox,
        announced=announced,
        speeds=found,
    )


async def _speeds_read_by_now(
    reading: "asyncio.Future[tuple[Row, ...]] | None",
) -> tuple[Row, ...]:
    """Return the learned speeds if they have been read soon after all other rows."""
    if reading is None:
        return ()
    await asyncio.wait({reading}, timeout=SPEEDS_TIMEOUT_S)
    if reading.done():
        return reading.result()
    emit(events.SpeedsIgnored(key=f"{rows.SPEEDS}/", reason="not read in time"))
    return ()


async def _read_speeds(store: FeedTable) -> tuple[Row, ...]:
    """Read the learned speeds; without an answer, the owner starts without them."""
    try:
        return await store.scan(prefix=f"{rows.SPEEDS}/")
    except (errors.TableUnavailable, errors.FindingsError) as exc:
        emit(events.SpeedsIgnored(key=f"{rows.SPEEDS}/", reason=str(exc)))
        return ()


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
    pages: dict[str, dict[int, str]] = {}
    for row in stored.pages:
        job_id, number = split_page_key(row.key)
        pages.setdefault(job_id, {})[number] = row.value
    for row in stored.jobs:
        job_id = row.key.partition("/")[2]
        try:
            _restore_job(
                cluster_state, job_id, row, specs.get(job_id), pages.get(job_id, {})
            )
        except errors.FindingsError as exc:
            cluster_state.unreadable.add(job_id)
            emit(events.RowUnreadable(findings=str(exc)))
    _discard_unnamed_pages(cluster_state, stored.pages)
    fair_share = cluster_state.load.fair_share
    if fair_share is not None:
        fair_share.record_restored(cluster_state.jobs.values())


def restore_announced(directory: WorkerDirectory, stored: StoredRows) -> None:
    """Have the workers leave that announced it to an earlier owner."""
    if not stored.announced:
        directory.announced.store_again()
    for row in stored.announced:
        try:
            directory.restore_announced(row.value, row.key)
        except errors.FindingsError as exc:
            emit(events.RowUnreadable(findings=str(exc)))


def restore_speeds(cluster_state: ClusterState, stored: StoredRows) -> None:
    """Adopt the learned speeds of earlier owners; unusable rows are logged."""
    speeds = cluster_state.load.speeds
    if speeds is None:
        return
    for row in stored.speeds:
        try:
            written_s, summary = rows.decode_speeds(row.value, row.key)
        except errors.FindingsError as exc:
            emit(events.SpeedsIgnored(key=row.key, reason=str(exc)))
            continue
        # The clock of the host that wrote it may have been ahead.
        age_s = max(0.0, cluster_state.time_of_day() - written_s)
        if age_s > MAX_SPEEDS_AGE_S:
            reason = f"written {age_s:.0f} s ago"
            emit(events.SpeedsIgnored(key=row.key, reason=reason))
            continue
        pool = row.key.partition("/")[2]
        speeds.restore(pool, summary, now=cluster_state.now(), age_s=age_s)
        emit(
            events.SpeedsRestored(
                pool=pool, workers=len(summary), age_s=round(age_s, 1)
            )
        )


def _restore_job(
    cluster_state: ClusterState,
    job_id: str,
    row: Row,
    spec: Row | None,
    pages: Mapping[int, str],
) -> None:
    job_row, sections = rows.decode_whole_job(row.value, pages, row.key)
    if job_row.spec is not None:
        job = rows.restore(job_id, job_row.spec, job_row)
    elif spec is None:
        job = rows.ended_job(job_id, job_row)
    else:
        spec_row = codec.decode(spec.value, rows.SpecRow, place=spec.key)
        job = rows.restore(job_id, spec_row, job_row)
    job.sections, job.last_page = sections, max(pages, default=0)
    cluster_state.restore(job)


def _discard_unnamed_pages(cluster_state: ClusterState, pages: Iterable[Row]) -> None:
    """Have the pages deleted that an earlier owner wrote and no head names."""
    named = {key for job in cluster_state.jobs.values() for key in rows.page_keys(job)}
    for row in pages:
        job_id, _ = split_page_key(row.key)
        if row.key not in named and job_id not in cluster_state.unreadable:
            cluster_state.discarded[row.key] = None
