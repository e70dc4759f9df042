"""The time of day that an owner decides by, where hosts' clocks jump.

The days that it answers: on some hosts the time of day jumps by 2 to 6 s, forward or
backward, for 6 s or for good. A short job has 1.3 s; an owner that took the jump for
time that had passed put every short job that waited behind all others.
"""

import pytest

from cranberrycleat.clock import DayClock, ManualClock
from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.ordering import WORTHLESS, rank
from cranberrycleat.workflow.state import Job
from tests.cell import job, queue, step

BEGAN_S = 1_000_000.0


class Wall:
    """A host's time of day, which a test steps."""

    def __init__(self, steady: ManualClock) -> None:
        self.steady = steady
        self.step_s = 0.0

    def now_s(self) -> float:
        """Return the time of day with the steps so far."""
        return BEGAN_S + self.steady.now() + self.step_s


def _clock() -> tuple[ManualClock, Wall, DayClock]:
    steady = ManualClock(time_s=50.0)
    wall = Wall(steady)
    return steady, wall, DayClock(steady=steady, wall=wall.now_s)


@pytest.mark.parametrize("jump_s", [-6.0, -2.4, 2.4, 6.0])
@pytest.mark.parametrize(
    ("after_s", "follows"),
    [(0.0, False), (6.0, False), (30.0, True)],
    ids=["at once", "a jump that is taken back", "for good"],
)
def test_a_jump_counts_only_once_it_has_stayed(
    jump_s: float, after_s: float, follows: bool
) -> None:
    steady, wall, day = _clock()
    steady.advance(seconds=1.0)
    wall.step_s = jump_s
    day.now_s()
    steady.advance(seconds=after_s)
    day.now_s()
    expected = BEGAN_S + steady.now() + (jump_s if follows else 0.0)
    assert day.now_s() == pytest.approx(expected)


def test_a_clock_that_is_corrected_slowly_is_followed() -> None:
    steady, wall, day = _clock()
    for _ in range(100):
        steady.advance(seconds=0.2)
        wall.step_s += 0.01
        assert day.now_s() == pytest.approx(wall.now_s())


@pytest.mark.parametrize("jump_s", [-6.0, 6.0])
def test_an_owner_s_jump_leaves_the_order_of_waiting_jobs(jump_s: float) -> None:
    steady, wall, day = _clock()
    board = Board(time_of_day=day.now_s, now=steady.now)
    board.accept("before", queue(), job(step()))
    wall.step_s = jump_s
    steady.advance(seconds=0.1)
    board.accept("after", queue(), job(step()))
    ranks = [
        rank(board.waiting[f"{name}.0.0"], board.time_of_day())
        for name in ("before", "after")
    ]
    assert all(each.band < WORTHLESS for each in ranks)
    assert ranks[0].slack_s < ranks[1].slack_s


@pytest.mark.parametrize("ahead_s", [0.0, 5.0])
def test_nothing_was_accepted_in_the_future(ahead_s: float) -> None:
    """Another host's clock said when a job in the inbox or an older row came."""
    _, _, day = _clock()
    board = Board(time_of_day=day.now_s)
    said_s = board.time_of_day() + ahead_s
    found = board.accept("a", queue(), job(step()), accepted_s=said_s)
    old = Job(job_id="b", queue=queue(), spec=job(step()), accepted_s=said_s)
    board.restore(old)
    for each in (found, old):
        assert each.accepted_s <= board.time_of_day()
