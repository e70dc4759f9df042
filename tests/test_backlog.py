"""Tests of planning with a backlog of steps and no free resources."""

import asyncio

import pytest
from hypothesis import given, settings, strategies as st

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions import planner as planning
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.decisions.pool_snapshot import take_snapshot
from cranberrycleat.workflow.dispatcher import Dispatcher
from cranberrycleat.workflow.fleet import Fleet
from cranberrycleat.workflow.ports import PermitTiming
from tests.cell import POOL, cell, job, queue, step
from tests.fakes import run_async
from tests.test_planner import cluster_state, plan, submit, worker

PERMITS = PermitTiming(decide_s=0.1, each_s=0.0, valid_s=1.5)
STEPS, WORKERS = 100, 50


def _board_with_backlog(*, permits: PermitTiming | None = None) -> ClusterState:
    """Return a board with a backlog and almost no free resources."""
    owner_board = cluster_state(*(worker(f"w{number}") for number in range(WORKERS)))
    for each in owner_board.fleet.workers.values():
        each.free = Amounts(processors=300, memory_mb=4000)
    for number in range(STEPS):
        gang = number % 3 == 0
        submit(
            owner_board, f"j{number}", job(step(4, gang=gang)), queue(permits=permits)
        )
    return owner_board


def test_round_cost_is_linear_on_full_pool(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The cost of a round grows with steps plus workers, not with their product."""
    owner_board = _board_with_backlog()
    comparisons = 0
    fits_in = Amounts.fits_in

    def counting(self: Amounts, free: Amounts) -> bool:
        nonlocal comparisons
        comparisons += 1
        return fits_in(self, free)

    monkeypatch.setattr(Amounts, "fits_in", counting)
    assert not plan(owner_board).groups
    assert comparisons < 5 * STEPS


def test_permits_are_prefetched_for_most_urgent_steps_only() -> None:
    """Queries for steps that cannot start soon would only load the permit service."""
    permit_queries = plan(_board_with_backlog(permits=PERMITS)).permit_queries
    assert len(permit_queries) == planning.MAX_PERMIT_PREFETCH_STEPS
    assert all(len(query.workers) == WORKERS for query in permit_queries)


@given(
    free=st.lists(
        st.tuples(st.integers(0, 4000), st.integers(0, 4000)), min_size=1, max_size=6
    ),
    needs=st.tuples(st.integers(0, 5000), st.integers(0, 5000)),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_snapshot_never_excludes_a_fitting_worker(
    free: list[tuple[int, int]], needs: tuple[int, int]
) -> None:
    """The bound may admit steps that do not fit, but never excludes one that does."""
    fleet = Fleet()
    for number, (processors, memory) in enumerate(free):
        each = worker(f"w{number}")
        each.free = Amounts(processors=processors, memory_mb=memory)
        fleet.add(each)
    wanted = Amounts(processors=needs[0], memory_mb=needs[1])
    fits = any(wanted.fits_in(each.free) for each in fleet.workers.values())
    assert take_snapshot(fleet, POOL, 0.0).might_fit(wanted) or not fits


def test_snapshot_omits_resting_worker() -> None:
    resting = worker("w")
    resting.quarantined_until = 10.0
    assert take_snapshot(Fleet(workers={"w": resting}), POOL, 5.0).drawing == ()
    assert take_snapshot(Fleet(workers={"w": resting}), POOL, 11.0).drawing == (
        resting,
    )


def test_long_rounds_yield_equal_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Back-to-back rounds of 0.1 s would starve worker links and the request API."""
    rounds: list[float] = []

    async def run() -> None:
        async with cell() as running_cell:
            owner = await running_cell.own()

            def slow(self: Dispatcher) -> None:
                rounds.append(running_cell.clock.now())
                until = running_cell.clock.now() + 0.1
                while running_cell.clock.now() < until:
                    pass
                owner.changed()

            monkeypatch.setattr(Dispatcher, "plan", slow)
            owner.changed()
            await asyncio.sleep(1.0)

    run_async(run())
    gaps = [after - before for before, after in zip(rounds, rounds[1:], strict=False)]
    assert gaps and min(gaps) >= 0.19


def test_step_order_follows_remaining_slack() -> None:
    """The cached urgency of a step must not freeze its slack."""
    owner_board = cluster_state(worker("w", processors=1000))
    submit(owner_board, "a", job(step(1)), queue())
    submit(owner_board, "b", job(step(1, estimate_s=0.5)), queue())
    rounds = Planner(cluster_state=owner_board)
    first = [each.name for each in rounds._steps_by_rank(0.0, 1_000_000.0)]
    second = [each.name for each in rounds._steps_by_rank(0.0, 1_000_001.2)]
    assert first == ["a.0.0", "b.0.0"] and second == ["b.0.0", "a.0.0"]
