"""Tests of tasks that are no longer wanted: late starts, and starts by a lost owner."""

import asyncio

import pytest

from cranberrycleat.standins.fleet import SimulatedWork, SimulatedWorker
from cranberrycleat.workflow.ports import Verdict
from tests.cell import Cell, cell, job, step, submit, until
from tests.fakes import run_async


@pytest.mark.parametrize("followed", [False, True], ids=["same owner", "successor"])
def test_late_start_of_cancelled_job_is_stopped(
    followed: bool,
) -> None:
    """The earlier stop invalidates the start, or the next status report reveals it."""

    async def run() -> None:
        async with cell(workers=1) as running_cell:
            worker = running_cell.fleet.workers["w0"]
            worker.unanswered_starts = 10_000
            running_cell.fleet.work = lambda task, attempt: SimulatedWork(seconds=60)
            owner = await running_cell.own("one")
            await submit(owner, "a", job(step(1)))
            await until(lambda: bool(worker.late))
            if followed:
                running_cell.tasks[0].cancel()
                owner = await running_cell.own("two")
            assert (await owner.cancel("a")).state == "cancelled"
            order = worker.late[0]
            verdict = running_cell.fleet.carry_out(worker, order).verdict
            assert verdict in (
                Verdict.ACCEPTED,
                Verdict.STALE_ATTEMPT,
                Verdict.STALE_EPOCH,
            )
            await until(lambda: not worker.runs)
            await _stays_empty(running_cell, worker)

    run_async(run())


@pytest.mark.parametrize("cancelled_by", ["one", "two"])
def test_task_of_replaced_owner_is_stopped_on_cancel(
    cancelled_by: str,
) -> None:
    """The owner that started it is gone; the current owner has to stop it."""

    async def run() -> None:
        async with cell(workers=1) as running_cell:
            worker = running_cell.fleet.workers["w0"]
            running_cell.fleet.work = lambda task, attempt: SimulatedWork(seconds=60)
            first = await running_cell.own("one")
            await submit(first, "a", job(step(2)))
            await until(lambda: len(worker.runs) == 2)
            if cancelled_by == "one":
                # The cancellation is stored, and the owner ends before it sends a stop.
                first.handing_over = True
                first.cluster_state.cancel("a")
                first.changed()
                await first.batch_stored(1.0)
            running_cell.tasks[0].cancel()
            second = await running_cell.own("two")
            if cancelled_by == "two":
                assert (await second.cancel("a")).state == "cancelled"
            await until(lambda: not worker.runs)
            await _stays_empty(running_cell, worker)

    run_async(run())


async def _stays_empty(running_cell: Cell, worker: SimulatedWorker) -> None:
    started = len(running_cell.fleet.starts)
    await asyncio.sleep(0.3)
    assert len(running_cell.fleet.starts) == started
    assert not worker.runs
    assert running_cell.fleet.faults == []
