"""What an owner stores next, and what it may do once the table has it.

The two ends of 'intent before effect': `take_batch` turns what is dirty on the
board into one transaction, `note_stored` releases what waited for it: starts,
acknowledgements of ends, and the states that callers are told.
"""

import heapq
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from cranberrycleat import events
from cranberrycleat.logs import emit
from cranberrycleat.table import Put
from cranberrycleat.workflow import rows
from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.fleet import Placement
from cranberrycleat.workflow.options import MOST_BATCH_BYTES
from cranberrycleat.workflow.state import FINAL, Job, JobState, LeftAttempt

MOST_ENTRIES: Final = 96
"""A transaction holds 100 entries, one of them the owner's row. A job needs one
to three: 30 jobs a transaction, whatever they need, were too few in a slow store,
which takes 0.45 s for each, at 50 jobs a second with three writes each."""


@attrs.frozen(kw_only=True)
class Batch:
    """What one transaction stores.

    Attributes:
        jobs: The jobs whose rows it writes, and the state it stores of each.
        puts: The writes.
        deletes: Rows that go away.
        placements: Placements that are stored by it.
        heard: The ends that may be acknowledged after it, by worker.
    """

    jobs: tuple[tuple[Job, JobState], ...]
    puts: tuple[Put, ...]
    deletes: tuple[str, ...]
    placements: tuple[Placement, ...]
    heard: tuple[tuple[str, int], ...]


def take_batch(board: Board, most_bytes: int = MOST_BATCH_BYTES) -> Batch:
    """Return what to store next; the rest stays dirty.

    Args:
        board: The owner's memory.
        most_bytes: How many bytes of values, unless one job alone has more.
    """
    chosen: list[Job] = []
    puts: list[Put] = []
    deletes: list[str] = []
    size = 0
    for job in list(board.dirty.values()):
        wanted = _puts_of(board, job)
        ended = job.verdict is not None and not job.spec_inline
        entries = len(puts) + len(deletes) + len(wanted) + ended
        size += sum(len(each.value) for each in wanted)
        if chosen and (entries > MOST_ENTRIES or size > most_bytes):
            break
        del board.dirty[job.job_id]
        job.offered = True
        chosen.append(job)
        puts += wanted
        if ended:
            deletes.append(rows.spec_key(job.job_id))
    return Batch(
        jobs=tuple((job, job.state()) for job in chosen),
        puts=tuple(puts),
        deletes=tuple(deletes),
        placements=tuple(_unstored(board, chosen)),
        heard=tuple(_settled_ends(board)),
    )


def _puts_of(board: Board, job: Job) -> list[Put]:
    wanted = [rows.job_put(job, tuple(_left(board, job)))]
    if job.verdict is None and not job.spec_stored and not job.spec_inline:
        wanted.append(rows.spec_put(job))
    return wanted


def _left(board: Board, job: Job) -> Iterator[LeftAttempt]:
    """Yield what still counts of a job though the row names no task placed so."""
    for worker, placement in board.placements_of(job.job_id):
        if job.verdict is None and placement.is_current:
            continue
        yield LeftAttempt(
            task=placement.task,
            attempt=placement.attempt,
            worker=worker.name,
            needs=placement.needs,
        )


def _settled_ends(board: Board) -> Iterator[tuple[str, int]]:
    """Return up to which end each worker may forget once the batch is stored.

    An end may be acknowledged when its job is not dirty any more. Waiting until
    nothing at all is dirty would, in a backlog, acknowledge nothing for long. The
    end of a job whose row nobody here can read is kept by its worker.
    """
    for worker in board.fleet.workers.values():
        upto = worker.ended_upto
        for number, job_id in worker.heard_ends:
            if job_id in board.dirty or job_id in board.unreadable:
                break
            upto = number
        if upto > worker.ended_upto:
            yield worker.name, upto


def _unstored(board: Board, chosen: Iterable[Job]) -> Iterator[Placement]:
    for job in chosen:
        for _, placement in board.placements_of(job.job_id):
            if not placement.stored:
                yield placement


def note_stored(board: Board, batch: Batch) -> None:
    """Note that the table has a batch."""
    for job, state in batch.jobs:
        _tell_stored(board, job, state)
        job.spec_stored = True
        board.shown[job.job_id] = state
    for placement in batch.placements:
        placement.stored = True
    for name, number in batch.heard:
        worker = board.fleet.workers.get(name)
        if worker is not None:
            worker.acknowledge(number)


def _tell_stored(board: Board, job: Job, state: JobState) -> None:
    now_s = board.time_of_day()
    if not job.spec_stored:
        after_s = round(now_s - job.accepted_s, 4)
        emit(events.JobStored(job=job.job_id, after_s=after_s))
    if state in FINAL and board.shown.get(job.job_id) is not state:
        after_s = round(now_s - job.ended_s, 4)
        shown = events.JobShown(job=job.job_id, state=state.value, after_end_s=after_s)
        emit(shown)


def forget_ended(board: Board, before_s: float, most: int) -> tuple[str, ...]:
    """Forget jobs that ended before a time; return their rows' keys."""
    old: list[str] = []
    while board.ended and board.ended[0][0] < before_s and len(old) < most:
        _, job_id = heapq.heappop(board.ended)
        if board.jobs.pop(job_id, None) is not None:
            old.append(job_id)
        board.shown.pop(job_id, None)
    return tuple(rows.job_key(job_id) for job_id in old)
