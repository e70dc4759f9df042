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
from cranberrycleat.workflow.state import FINAL, Job, JobState

MOST_JOBS_A_BATCH: Final = 30
"""A transaction holds 100 entries, a job needs up to three."""


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


def take_batch(board: Board) -> Batch:
    """Return what to store next; the rest stays dirty."""
    chosen = list(board.dirty.values())[:MOST_JOBS_A_BATCH]
    puts: list[Put] = []
    deletes: list[str] = []
    for job in chosen:
        del board.dirty[job.job_id]
        job.offered = True
        puts.append(rows.job_put(job))
        if job.verdict is not None:
            deletes.append(rows.spec_key(job.job_id))
        elif not job.spec_stored:
            puts.append(rows.spec_put(job))
    heard: tuple[tuple[str, int], ...] = ()
    if not board.dirty:
        heard = tuple(
            (each.name, each.heard_upto)
            for each in board.fleet.workers.values()
            if each.heard_upto > each.ended_upto
        )
    return Batch(
        jobs=tuple((job, job.state()) for job in chosen),
        puts=tuple(puts),
        deletes=tuple(deletes),
        placements=tuple(_unstored(board, chosen)),
        heard=heard,
    )


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
            worker.ended_upto = max(worker.ended_upto, number)


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
