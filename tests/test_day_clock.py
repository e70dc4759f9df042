"""Tests of the wall clock that an owner uses on hosts whose system clock is stepped.

On some hosts the system clock is stepped by 2 to 6 s, forward or backward, for 6 s or
permanently. A short job has an objective of 1.3 s. An owner that treated the step as
elapsed time ranked every short waiting job behind all others.
"""

import pytest

from cranberrycleat.clock import ManualClock, WallClock
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.ordering import EXPIRED_BAND, rank
from cranberrycleat.workflow.state import Job
from tests.cell import job, queue, step

START_S = 1_000_000.0


class FakeWallClock:
    """A host's system clock, which a test can step."""

    def __init__(self, steady: ManualClock) -> None:
        self.steady = steady
        self.step_s = 0.0

    def now_s(self) -> float:
        """Return the Unix time including all steps so far."""
        return START_S + self.steady.now() + self.step_s


def _make_clocks() -> tuple[ManualClock, FakeWallClock, WallClock]:
    steady = ManualClock(time_s=50.0)
    wall = FakeWallClock(steady)
    return steady, wall, WallClock(steady=steady, wall=wall.now_s)


@pytest.mark.parametrize("jump_s", [-6.0, -2.4, 2.4, 6.0])
@pytest.mark.parametrize(
    ("after_s", "follows"),
    [(0.0, False), (6.0, False), (30.0, True)],
    ids=["at once", "a jump that is taken back", "for good"],
)
def test_clock_step_is_followed_only_if_permanent(
    jump_s: float, after_s: float, follows: bool
) -> None:
    steady, wall, day_clock = _make_clocks()
    steady.advance(seconds=1.0)
    wall.step_s = jump_s
    day_clock.now_s()
    steady.advance(seconds=after_s)
    day_clock.now_s()
    expected = START_S + steady.now() + (jump_s if follows else 0.0)
    assert day_clock.now_s() == pytest.approx(expected)


def test_slow_clock_correction_is_followed() -> None:
    steady, wall, day_clock = _make_clocks()
    for _ in range(100):
        steady.advance(seconds=0.2)
        wall.step_s += 0.01
        assert day_clock.now_s() == pytest.approx(wall.now_s())


@pytest.mark.parametrize("jump_s", [-6.0, 6.0])
def test_clock_step_preserves_step_order(jump_s: float) -> None:
    steady, wall, day_clock = _make_clocks()
    cluster_state = ClusterState(time_of_day=day_clock.now_s, now=steady.now)
    cluster_state.accept("before", queue(), job(step()))
    wall.step_s = jump_s
    steady.advance(seconds=0.1)
    cluster_state.accept("after", queue(), job(step()))
    ranks = [
        rank(cluster_state.waiting[f"{name}.0.0"], cluster_state.time_of_day())
        for name in ("before", "after")
    ]
    assert all(each.band < EXPIRED_BAND for each in ranks)
    assert ranks[0].slack_s < ranks[1].slack_s


@pytest.mark.parametrize("ahead_s", [0.0, 5.0])
def test_acceptance_time_is_never_in_the_future(ahead_s: float) -> None:
    """Jobs in the inbox or in older rows have an acceptance time of another host."""
    _, _, day_clock = _make_clocks()
    cluster_state = ClusterState(time_of_day=day_clock.now_s)
    stated_s = cluster_state.time_of_day() + ahead_s
    found = cluster_state.accept("a", queue(), job(step()), accepted_s=stated_s)
    old = Job(job_id="b", queue=queue(), spec=job(step()), accepted_s=stated_s)
    cluster_state.restore(old)
    for each in (found, old):
        assert each.accepted_s <= cluster_state.time_of_day()
