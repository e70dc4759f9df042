"""Workers whose capacity shrinks and grows again while they run.

What is placed there and not begun yet was planned for the room that there was: between
plan and start lie a transaction, permits, and copies of orders without answer.
"""

import attrs
import pytest

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.feasibility import infeasibility_reason
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.ports import WorkerEntry
from tests.cell import Cell, cell, entry, job, queue, step, submit, until
from tests.fakes import run_async
from tests.test_planner import cluster_state, plan, worker


def _resize(harness: Cell, name: str, processors: int) -> None:
    """Have a worker say that it has another capacity."""
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
    """Such as after a wait for a permit."""
    only = worker("w")
    owner_board = cluster_state(only)
    owner_board.accept("a", queue(), job(step(1, processors=3000)))
    assert plan(owner_board).groups
    only.update(_with_processors(only.entry, processors))
    assert only.may_start() is expected


@pytest.mark.parametrize(
    ("now", "expected"), [(4000, ""), (1000, "")], ids=["as it was", "shrunk for now"]
)
def test_job_that_fits_largest_known_capacity_is_feasible(
    now: int, expected: str
) -> None:
    """It grows again; what no worker ever had is refused all the same."""
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
