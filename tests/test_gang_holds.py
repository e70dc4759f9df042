"""Room is kept for gangs that wait, also from more urgent small work.

The load that it answers: four fifths of the fleet are in use, short tasks of the first
priority come all the time, and gangs of 20 to 45 tasks may run on a quarter of the
workers. Whatever became free there was taken by short tasks, which could have gone to
three other workers in four; gangs began after 50 s where they had 10.
"""

import pytest

from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.planner import HOLD_SLACK_S, MOST_HELD_SHARE, Planner
from cranberrycleat.workflow.ports import Queue
from tests.cell import job, queue, step
from tests.test_planner import NOW_S, board, submit, worker

URGENT = queue("urgent", priority=0, objective_s=100.0)
LATER = queue("later", priority=1, objective_s=HOLD_SLACK_S - 1.0)
PATIENT = queue("patient", priority=1, objective_s=100.0)


def _fleet(count: int) -> Board:
    return board(*(worker(f"w{number:02}", processors=4000) for number in range(count)))


def _plan(planner: Planner, now: float) -> None:
    planner.plan(now=now, now_s=NOW_S)


def _placed(made: Board, job_id: str) -> list[str]:
    return [each.name for each, _ in made.placements_of(job_id)]


def _fill(made: Board, planner: Planner, processors: int) -> None:
    """Have one task on every worker."""
    count = len(made.fleet.workers)
    spec = step(count, processors=processors, most_per_worker=1)
    submit(made, "full", job(spec), URGENT)
    _plan(planner, 0.0)
    assert len(_placed(made, "full")) == count


@pytest.mark.parametrize(
    ("rules", "after_s", "left"),
    [(PATIENT, 0.0, 20), (LATER, 0.0, 18), (LATER, 9.0, 20)],
    ids=["has time", "must begin soon", "is late already"],
)
def test_a_gang_that_must_begin_soon_keeps_its_room_from_urgent_small_work(
    rules: Queue, after_s: float, left: int
) -> None:
    """Each worker has room for one small task; the gang needs two whole workers."""
    made = _fleet(20)
    planner = Planner(board=made)
    _fill(made, planner, 3000)
    submit(made, "gang", job(step(2, processors=4000, gang=True)), rules)
    submit(made, "small", job(step(20, processors=1000)), URGENT)
    planner.plan(now=0.0, now_s=NOW_S + after_s)
    assert len(_placed(made, "small")) == left


def test_the_gang_itself_takes_the_room_that_was_kept_for_it() -> None:
    made = _fleet(8)
    planner = Planner(board=made)
    _fill(made, planner, 3000)
    submit(made, "gang", job(step(2, processors=4000, gang=True)), LATER)
    submit(made, "small", job(step(8, processors=1000)), URGENT)
    _plan(planner, 0.1)
    kept = set(made.fleet.workers) - set(_placed(made, "small"))
    for name in kept:
        made.lapse(made.fleet.workers[name])
    submit(made, "more", job(step(8, processors=1000)), URGENT)
    _plan(planner, 0.2)
    assert set(_placed(made, "gang")) == kept


def test_no_more_than_a_share_of_the_pool_is_kept() -> None:
    """Many gangs that wait must not idle the pool."""
    made = _fleet(40)
    planner = Planner(board=made)
    _fill(made, planner, 3000)
    for number in range(10):
        spec = job(step(4, processors=4000, gang=True))
        submit(made, f"gang{number}", spec, LATER)
    submit(made, "small", job(step(40, processors=1000)), URGENT)
    _plan(planner, 0.1)
    assert 40 - len(_placed(made, "small")) <= 40 * MOST_HELD_SHARE
