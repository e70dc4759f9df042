"""Planning while hundreds of steps wait and every worker is full."""

import asyncio

import pytest
from hypothesis import given, settings, strategies as st

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow import planner as planning
from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.fleet import Fleet
from cranberrycleat.workflow.planner import Planner
from cranberrycleat.workflow.pool_view import look_at
from cranberrycleat.workflow.ports import PermitPolicy
from cranberrycleat.workflow.starts import Starts
from tests.cell import POOL, cell, job, queue, step
from tests.fakes import go
from tests.test_planner import board, plan, submit, worker

PERMITS = PermitPolicy(decide_s=0.1, each_s=0.0, valid_s=1.5)
STEPS, WORKERS = 100, 50


def _full(*, permits: PermitPolicy | None = None) -> Board:
    """Return a board with a backlog and no room."""
    made = board(*(worker(f"w{number}") for number in range(WORKERS)))
    for each in made.fleet.workers.values():
        each.free = Amounts(processors=300, memory_mb=4000)
    for number in range(STEPS):
        gang = number % 3 == 0
        submit(made, f"j{number}", job(step(4, gang=gang)), queue(permits=permits))
    return made


def test_a_backlog_without_room_looks_at_no_worker_for_each_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The work of a round grows with steps and workers, not with their product."""
    made = _full()
    looks = 0
    fits_in = Amounts.fits_in

    def counting(self: Amounts, free: Amounts) -> bool:
        nonlocal looks
        looks += 1
        return fits_in(self, free)

    monkeypatch.setattr(Amounts, "fits_in", counting)
    assert not plan(made).groups
    assert looks < 5 * STEPS


def test_permits_are_asked_for_the_most_urgent_of_a_backlog_only() -> None:
    """What cannot start for long would only keep the permit service busy."""
    wishes = plan(_full(permits=PERMITS)).wishes
    assert len(wishes) == planning.ASKED_AHEAD
    assert all(len(wish.workers) == WORKERS for wish in wishes)


@given(
    free=st.lists(
        st.tuples(st.integers(0, 4000), st.integers(0, 4000)), min_size=1, max_size=6
    ),
    needs=st.tuples(st.integers(0, 5000), st.integers(0, 5000)),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_what_the_view_rules_out_fits_nowhere(
    free: list[tuple[int, int]], needs: tuple[int, int]
) -> None:
    """A bound may let too much through, but never holds back what has room."""
    fleet = Fleet()
    for number, (processors, memory) in enumerate(free):
        each = worker(f"w{number}")
        each.free = Amounts(processors=processors, memory_mb=memory)
        fleet.add(each)
    wanted = Amounts(processors=needs[0], memory_mb=needs[1])
    fits = any(wanted.fits_in(each.free) for each in fleet.workers.values())
    assert look_at(fleet, POOL, 0.0).may_fit(wanted) or not fits


def test_a_worker_that_may_not_draw_is_not_seen() -> None:
    resting = worker("w")
    resting.rests_until = 10.0
    assert look_at(Fleet(workers={"w": resting}), POOL, 5.0).drawing == ()
    assert look_at(Fleet(workers={"w": resting}), POOL, 11.0).drawing == (resting,)


def test_a_long_round_leaves_as_much_time_to_everything_else(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Rounds of 0.1 s one after the other would starve the links and the door."""
    rounds: list[float] = []

    async def run() -> None:
        async with cell() as made:
            owner = await made.own()

            def slow(self: Starts) -> None:
                rounds.append(made.clock.now())
                until = made.clock.now() + 0.1
                while made.clock.now() < until:
                    pass
                owner.changed()

            monkeypatch.setattr(Starts, "plan", slow)
            owner.changed()
            await asyncio.sleep(1.0)

    go(run())
    gaps = [after - before for before, after in zip(rounds, rounds[1:], strict=False)]
    assert gaps and min(gaps) >= 0.19


def test_the_order_of_steps_changes_as_their_time_runs_out() -> None:
    """What an order rests on is kept with the step; what is left of it is not."""
    made = board(worker("w", processors=1000))
    submit(made, "a", job(step(1)), queue())
    submit(made, "b", job(step(1, estimate_s=0.5)), queue())
    rounds = Planner(board=made)
    first = [each.name for each in rounds._ordered(0.0, 1_000_000.0)]
    second = [each.name for each in rounds._ordered(0.0, 1_000_001.2)]
    assert first == ["a.0.0", "b.0.0"] and second == ["b.0.0", "a.0.0"]
