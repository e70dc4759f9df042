"""Tests workers whose capacity shrinks and grows again while they run.

Tasks that are placed but not yet started were planned for the capacity of that time:
between planning and start lie a transaction, permits, and copies of unanswered orders.
"""

import attrs
import pytest

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.decisions.feasibility import infeasibility_reason
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.ports import WorkerEntry
from tests.cell import Cell, cell, entry, job, queue, step, submit, until
from tests.fakes import run_async
from tests.test_planner import cluster_state, plan, worker


def _resize(harness: Cell, name: str, processors: int) -> None:
    """Make a worker report another capacity."""
    capacity = Amounts(processors=processors, memory_mb=4000)
    found = attrs.evolve(harness.entries[name], capacity=capacity)
    harness.entries[name] = found
    harness.fleet.workers[name].entry = found
    harness.list_worker(name)


def test_copy_of_order_does_not_start_task_that_no_longer_fits() -> None:
    async def run() -> None:
        async with cell(workers=1) as harness:
            harness.fleet.needs = lambda task: Amounts(processors=3000, memory_mb=100)
            owner = await harness.own()
            small = harness.fleet.workers["w0"]
            small.unanswered_starts = 1000
            await submit(owner, "a", job(step(1, processors=3000)))
            await until(lambda: bool(small.late))
            _resize(harness, "w0", 2000)
            known = owner.cluster_state.fleet.workers["w0"]
            await until(lambda: known.entry.capacity.processors == 2000)
            small.unanswered_starts = 0
            harness.add_worker("w1")
            await until(lambda: bool(harness.fleet.starts))
            assert [start.worker for start in harness.fleet.starts] == ["w1"]
            assert not harness.fleet.faults

    run_async(run())


@pytest.mark.parametrize(
    ("processors", "expected"), [(3000, True), (2999, False)], ids=["fits", "too small"]
)
def test_placed_task_starts_only_if_it_still_fits(
    processors: int, expected: bool
) -> None:
    """The capacity may change during a wait for a permit, for example."""
    only = worker("w")
    owner_board = cluster_state(only)
    owner_board.accept("a", queue(), job(step(1, processors=3000)))
    assert plan(owner_board).groups
    only.update(_with_processors(only.entry, processors))
    assert only.may_start(0.0) is expected


@pytest.mark.parametrize(
    ("now", "expected"), [(4000, ""), (1000, "")], ids=["as it was", "shrunk for now"]
)
def test_job_that_fits_largest_known_capacity_is_feasible(
    now: int, expected: str
) -> None:
    """The worker may grow again; what never fitted any worker is refused."""
    found = FleetWorker(entry=entry("w", processors=4000))
    found.update(_with_processors(found.entry, now))
    assert infeasibility_reason(job(step(1, processors=3000)), [found]) == expected
    assert (
        infeasibility_reason(job(step(2, processors=2000, gang=True)), [found])
        == expected
    )
    assert infeasibility_reason(job(step(1, processors=5000)), [found])


def test_latest_reported_capacity_is_used() -> None:
    found = FleetWorker(entry=entry("w", processors=4000))
    found.update(_with_processors(found.entry, 1000))
    found.update(_with_processors(found.entry, 8000))
    assert found.free.processors == 8000
    assert not infeasibility_reason(job(step(1, processors=7000)), [found])


def _with_processors(found: WorkerEntry, processors: int) -> WorkerEntry:
    capacity = attrs.evolve(found.capacity, processors=processors)
    return attrs.evolve(found, capacity=capacity)
