"""Tests that a run counts towards a queue's `max_attempts` once at most.

The failure: after an attempt had failed and while its task waited for the next one, an
end of the same attempt that was reported again counted again, so that a job with two
attempts was shown as failed after one.
"""

from collections.abc import Callable

import pytest

from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.ports import EndKind
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import JobState, StepRun
from tests.cell import job, queue, step
from tests.test_late_start_effects import Board, end

FAILED = EndKind.FAILED
TASK = "a.0.0.0"
SHAPES = (step(), step(1, gang=True))
SHAPE_NAMES = ("single", "gang")


def _fail_first_attempt(board: Board, spec: StepSpec) -> FleetWorker:
    """Have the first of two attempts fail; return its worker."""
    worker = board.add("w")
    board.state.accept("a", queue(max_attempts=2), job(spec))
    _start(board, worker, 1)
    board.hear(worker, ended=(end(1, TASK, FAILED),))
    board.store()
    return worker


def _start(board: Board, worker: FleetWorker, attempt: int) -> None:
    task = _step(board).tasks[0]
    board.state.place(task, worker, attempt, now=board.time).ordered = True
    board.store()
    board.hear(worker, running=((TASK, attempt),))


def _step(board: Board) -> StepRun:
    return board.state.jobs["a"].open[0].steps[0]


def _under_a_new_number(board: Board, worker: FleetWorker) -> None:
    board.hear(worker, ended=(end(2, TASK, FAILED),))


def _after_its_entry_lapsed(board: Board, worker: FleetWorker) -> None:
    """The worker was removed before the end was acknowledged, and is met again."""
    board.state.fleet.remove(worker)
    board.hear(board.add("w"), ended=(end(1, TASK, FAILED),))


def _to_the_next_owner(board: Board, worker: FleetWorker) -> None:
    """The first owner stored the end and could not acknowledge it any more."""
    (again,) = board.take_over(("w", 1))
    board.hear(again, ended=(end(1, TASK, FAILED),))


REPEATS = [
    _under_a_new_number,
    _after_its_entry_lapsed,
    _to_the_next_owner,
]


# Guards against a job that is shown as failed although no task has failed as often as
# its queue allows (LOST).
@pytest.mark.parametrize("spec", SHAPES, ids=SHAPE_NAMES)
@pytest.mark.parametrize("repeat", REPEATS)
def test_end_reported_again_is_not_counted_again(
    repeat: Callable[[Board, FleetWorker], None], spec: StepSpec
) -> None:
    board = Board()
    worker = _fail_first_attempt(board, spec)
    repeat(board, worker)
    assert board.state.jobs["a"].verdict is None
    assert [each.attempt for each in _step(board).failed_ends] == [1]
    (other,) = [board.add("u")]
    _start(board, other, 2)
    board.hear(other, ended=(end(1, TASK, FAILED, attempt=2),))
    assert board.state.jobs["a"].verdict is JobState.FAILED


# Guards against a start after as many runs have failed as the queue allows (BUDGET): a
# late copy of the start is a second run, on the worker's next incarnation.
def test_run_of_a_late_copy_that_fails_is_counted() -> None:
    board = Board()
    worker = _fail_first_attempt(board, step())
    board.hear(board.restart(worker), ended=(end(1, TASK, FAILED),))
    assert board.state.jobs["a"].verdict is JobState.FAILED


# Guards against a retry that is delayed anew by each report of one failure.
def test_end_reported_again_delays_no_retry() -> None:
    board = Board()
    worker = _fail_first_attempt(board, step())
    task = _step(board).tasks[0]
    before = task.not_before, dict(task.failed_on)
    board.hear(worker, ended=(end(2, TASK, FAILED),))
    assert (task.not_before, task.failed_on) == before


# Guards against a result that is dropped: a copy may be done where another one failed.
def test_done_end_of_a_failed_attempt_completes_its_task() -> None:
    board = Board()
    _fail_first_attempt(board, step())
    board.hear(board.add("v"), ended=(end(1, TASK),))
    assert board.state.jobs["a"].verdict is JobState.COMPLETED


@pytest.mark.parametrize("owners", [1, 2])
def test_members_that_fail_together_count_once(owners: int) -> None:
    """The ends of two members of one attempt, the second heard by the next owner."""
    board = Board()
    first, second = board.add("w"), board.add("v")
    board.state.accept("a", queue(max_attempts=2), job(step(2, gang=True)))
    for index, worker in enumerate((first, second)):
        task = _step(board).tasks[index]
        board.state.place(task, worker, 1, now=board.time).ordered = True
    board.store()
    board.hear(first, ended=(end(1, TASK, FAILED),))
    board.store()
    if owners == 2:
        _, second = board.take_over(("w", 1), ("v", 1))
    board.hear(second, ended=(end(1, "a.0.0.1", FAILED),))
    assert board.state.jobs["a"].verdict is None
    assert _step(board).gang_failures == 1
