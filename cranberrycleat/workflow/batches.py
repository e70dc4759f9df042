"""Batches an owner's writes to the table and releases effects once they are stored.

This is the owner's write-ahead rule: `take_batch` collects the dirty jobs of the
cluster state into one transaction, and `note_stored` releases what had to wait for it:
starts, acknowledgements of task ends, and the job states shown to callers.
"""

import heapq
import itertools
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from cranberrycleat import events
from cranberrycleat.logs import emit
from cranberrycleat.table import Put, value_bytes
from cranberrycleat.workflow import announcements, rows
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.fleet import Placement, job_of
from cranberrycleat.workflow.options import MAX_BATCH_BYTES, MAX_DELETES_PER_BATCH
from cranberrycleat.workflow.rows import JobWrite
from cranberrycleat.workflow.state import FINAL_STATES, Job, JobState, OrphanedAttempt

RESERVED_ENTRIES: Final = 4
"""Entries of a transaction for the owner's row: its condition and its write."""
MAX_DELETES_BESIDE_JOBS: Final = 24
"""Rows deleted in a transaction that stores jobs. A job takes one to three entries
until it has ended and one more when it is forgotten, so that a quarter of the entries
keeps up with as many jobs as the others store."""
MAX_ENTRIES: Final = 96
"""A transaction holds 100 entries, one of which is the owner's row. A job needs one to
three. A fixed limit of 30 jobs per transaction was too low for a slow table, which
takes 0.45 s per transaction, at 50 jobs per second with three writes each."""


@attrs.frozen(kw_only=True)
class Batch:
    """The content of one transaction.

    Attributes:
        jobs: The jobs whose rows it writes, each with the state stored.
        puts: The rows to write.
        deletes: The keys of the rows to delete.
        placements: Placements that it stores.
        acknowledgeable: By worker, the number up to which task ends may be acknowledged
            once it is stored.
        pages_before: Pages of a job that a single transaction does not hold, by
            transaction; they are to be written before it.
        written: The rows of its jobs.
    """

    jobs: tuple[tuple[Job, JobState], ...]
    puts: tuple[Put, ...]
    deletes: tuple[str, ...]
    placements: tuple[Placement, ...]
    acknowledgeable: tuple[tuple[str, int], ...]
    pages_before: tuple[tuple[Put, ...], ...] = ()
    written: tuple[tuple[Job, JobWrite], ...] = ()


def take_batch(cluster_state: ClusterState, most_bytes: int = MAX_BATCH_BYTES) -> Batch:
    """Return the next transaction's content; the remaining jobs stay dirty.

    The pages of a single job that do not fit into it are written in earlier ones.

    Args:
        cluster_state: The owner's in-memory state.
        most_bytes: Maximum bytes of values; a single job may exceed it.
    """
    limits = cluster_state.table_limits
    max_entries = min(MAX_ENTRIES, limits.entries - RESERVED_ENTRIES)
    isolating = cluster_state.rejections.most_jobs is not None
    deletes = [] if isolating else _discarded(cluster_state, MAX_DELETES_BESIDE_JOBS)
    chosen: list[tuple[Job, JobWrite]] = []
    puts: list[Put] = []
    pages_before: tuple[tuple[Put, ...], ...] = ()
    size = 0
    for job in _storable(cluster_state):
        write = _job_write(cluster_state, job)
        wanted = [write.put, *write.pages]
        if job.verdict is None and not job.spec_stored and not job.spec_inline:
            wanted.append(rows.spec_put(job))
        ended = job.verdict is not None and not job.spec_inline
        entries = len(puts) + len(deletes) + len(wanted) + ended
        more = sum(value_bytes(each.value) for each in wanted)
        is_full = entries > max_entries or size + more > most_bytes
        if chosen and is_full:
            break
        if is_full and write.pages:
            pages_before = _transactions(write.pages, max_entries, most_bytes)
            wanted = [each for each in wanted if each not in write.pages]
        size += more
        del cluster_state.dirty[job.job_id]
        job.sent_to_table = True
        job.last_page = write.last_page
        chosen.append((job, write))
        puts += wanted
        if ended:
            deletes.append(rows.spec_key(job.job_id))
        if len(chosen) == cluster_state.rejections.most_jobs:
            break
    room = max_entries - len(puts) - len(deletes)
    if room > 0 and size <= most_bytes and not isolating:
        if cluster_state.announcements.unstored:
            put = cluster_state.announcements.take_put(limits.row_bytes)
            puts, room = [*puts, put], room - 1
        puts += _speed_puts(cluster_state, room)
    if not puts:
        deletes = _discarded(cluster_state, MAX_DELETES_PER_BATCH)
    return Batch(
        jobs=tuple((job, job.state()) for job, _ in chosen),
        puts=tuple(puts),
        deletes=tuple(deletes),
        placements=tuple(
            _unstored_placements(cluster_state, (job for job, _ in chosen))
        ),
        acknowledgeable=tuple(_acknowledgeable_ends(cluster_state)),
        pages_before=pages_before,
        written=tuple(chosen),
    )


def _discarded(cluster_state: ClusterState, most: int) -> list[str]:
    return list(itertools.islice(cluster_state.discarded, most))


def has_storable(cluster_state: ClusterState) -> bool:
    """Return whether any changes are to be stored now."""
    return next(_storable(cluster_state), None) is not None


def _storable(cluster_state: ClusterState) -> Iterator[Job]:
    """Yield the dirty jobs but those that were put aside."""
    now = cluster_state.now()
    for job in list(cluster_state.dirty.values()):
        if not cluster_state.rejections.is_put_aside(job.job_id, now):
            yield job


def _job_write(cluster_state: ClusterState, job: Job) -> JobWrite:
    left = tuple(_orphaned_attempts(cluster_state, job))
    unanswered = cluster_state.late_starts.unanswered_of(job.job_id)
    row_bytes = cluster_state.table_limits.row_bytes
    return rows.job_write(job, left, unanswered, row_bytes)


def _transactions(
    pages: Iterable[Put], max_entries: int, most_bytes: int
) -> tuple[tuple[Put, ...], ...]:
    """Return pages divided into transactions of bounded size."""
    found: list[list[Put]] = []
    size = 0
    for page in pages:
        size += value_bytes(page.value)
        if not found or len(found[-1]) == max_entries or size > most_bytes:
            found.append([])
            size = value_bytes(page.value)
        found[-1].append(page)
    return tuple(map(tuple, found))


def _speed_puts(cluster_state: ClusterState, max_puts: int) -> Iterable[Put]:
    """Return the summaries of learned speeds that are due, with room in the batch.

    One of 176 workers takes about 10 KB; a transaction has room for that beside its
    jobs (1 MB against `MAX_BATCH_BYTES`).
    """
    speeds = cluster_state.load.speeds
    if speeds is None:
        return ()
    due = speeds.take_due_summaries(cluster_state.fleet.newest, cluster_state.now())
    now_s = cluster_state.time_of_day()
    row_bytes = cluster_state.table_limits.row_bytes
    return (
        rows.speeds_put(pool, summary, now_s, row_bytes)
        for pool, summary in itertools.islice(due, max_puts)
    )


def _orphaned_attempts(
    cluster_state: ClusterState, job: Job
) -> Iterator[OrphanedAttempt]:
    """Yield attempts that still count but that the job's row shows as not placed."""
    for worker, placement in cluster_state.placements_of(job.job_id):
        if job.verdict is None and placement.is_current:
            continue
        yield OrphanedAttempt(
            task=placement.task,
            attempt=placement.attempt,
            worker=worker.name,
            needs=placement.needs,
        )


def _acknowledgeable_ends(cluster_state: ClusterState) -> Iterator[tuple[str, int]]:
    """Yield the number up to which each worker may forget ends after this batch.

    An end may be acknowledged when its job is no longer dirty. Waiting until no job
    is dirty would delay acknowledgements for a long time in a backlog. The end of a job
    whose row this process cannot read is kept by its worker. An end that a late start
    of its task may follow is kept as well (see `late_starts`).
    """
    for worker in cluster_state.fleet.workers.values():
        upto = worker.ended_upto
        for number, task in worker.unstored_ends:
            job_id = job_of(task)
            if job_id in cluster_state.dirty or job_id in cluster_state.unreadable:
                break
            if cluster_state.keeps_end(worker, task):
                break
            upto = number
        if upto > worker.ended_upto:
            yield worker.name, upto


def _unstored_placements(
    cluster_state: ClusterState, chosen: Iterable[Job]
) -> Iterator[Placement]:
    for job in chosen:
        for _, placement in cluster_state.placements_of(job.job_id):
            if not placement.stored:
                yield placement


def note_stored(cluster_state: ClusterState, batch: Batch) -> None:
    """Record that a batch was stored, and release what waited for it."""
    for key in batch.deletes:
        cluster_state.discarded.pop(key, None)
    for job, write in batch.written:
        job.sections = write.sections
        cluster_state.discarded.update(dict.fromkeys(write.deletes))
    cluster_state.row_sizes.stored(
        batch.puts, batch.deletes, cluster_state.table_limits.row_bytes
    )
    cluster_state.rejections.stored([job.job_id for job, _ in batch.jobs])
    for job, state in batch.jobs:
        _log_stored(cluster_state, job, state)
        job.spec_stored = True
        cluster_state.reported[job.job_id] = state
    for placement in batch.placements:
        placement.stored = True
    for name, number in batch.acknowledgeable:
        worker = cluster_state.fleet.workers.get(name)
        if worker is not None:
            worker.acknowledge(number)


def note_rejected(cluster_state: ClusterState, batch: Batch) -> None:
    """Take back a batch of which the table will never take any part."""
    jobs = [job for job, _ in batch.jobs]
    if jobs and any(put.key == announcements.KEY for put in batch.puts):
        cluster_state.announcements.unstored = True
    cluster_state.rejections.rejected([job.job_id for job in jobs], cluster_state.now())
    first = {job.job_id: job for job in jobs}
    later = {
        job_id: job
        for job_id, job in cluster_state.dirty.items()
        if job_id not in first
    }
    cluster_state.dirty.clear()
    # A job put aside goes behind the others, which it would hold up when it returns.
    cluster_state.dirty.update(later | first if len(jobs) == 1 else first | later)
    for pages in batch.pages_before:
        cluster_state.discarded.update(dict.fromkeys(put.key for put in pages))
    for job in jobs:
        job.sent_to_table = job.spec_stored
    if not jobs:
        # They hold no job; what is left of them is deleted by the next owner.
        for key in batch.deletes:
            cluster_state.discarded.pop(key, None)


def _log_stored(cluster_state: ClusterState, job: Job, state: JobState) -> None:
    now_s = cluster_state.time_of_day()
    if not job.spec_stored:
        after_s = round(now_s - job.accepted_s, 4)
        emit(events.JobStored(job=job.job_id, after_s=after_s))
    if state in FINAL_STATES and cluster_state.reported.get(job.job_id) is not state:
        after_s = round(now_s - job.ended_s, 4)
        reported = events.JobShown(
            job=job.job_id, state=state.value, after_end_s=after_s
        )
        emit(reported)


def purge_ended_jobs(
    cluster_state: ClusterState, before_s: float, max_jobs: int
) -> tuple[str, ...]:
    """Drop jobs that ended before a Unix time; return the keys of their rows."""
    old: list[str] = []
    pages: list[str] = []
    while (
        cluster_state.ended
        and cluster_state.ended[0][0] < before_s
        and len(old) < max_jobs
    ):
        _, job_id = heapq.heappop(cluster_state.ended)
        job = cluster_state.jobs.pop(job_id, None)
        if job is not None:
            old.append(job_id)
            pages += rows.page_keys(job)
        if cluster_state.load.fair_share is not None:
            cluster_state.load.fair_share.forget(job_id)
        cluster_state.reported.pop(job_id, None)
    return (*(rows.job_key(job_id) for job_id in old), *pages)
