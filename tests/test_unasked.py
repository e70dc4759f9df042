"""Tasks that nobody wants any more: carried out late, or started by a host now gone."""

import asyncio

import pytest

from cranberrycleat.standins.fleet import Work, Worker
from cranberrycleat.workflow.ports import Verdict
from tests.cell import Cell, cell, job, step, submit, until
from tests.fakes import go


@pytest.mark.parametrize("followed", [False, True], ids=["same owner", "successor"])
def test_a_start_carried_out_after_its_job_was_cancelled_does_not_stay(
    followed: bool,
) -> None:
    """The stop that went before makes it void, or the next list shows it."""

    async def run() -> None:
        async with cell(workers=1) as made:
            worker = made.fleet.workers["w0"]
            worker.lose_starts = 10_000
            made.fleet.work = lambda task, attempt: Work(seconds=60)
            owner = await made.own("one")
            await submit(owner, "a", job(step(1)))
            await until(lambda: bool(worker.late))
            if followed:
                made.tasks[0].cancel()
                owner = await made.own("two")
            assert (await owner.cancel("a")).state == "cancelled"
            order = worker.late[0]
            verdict = made.fleet.carry_out(worker, order).verdict
            assert verdict in (
                Verdict.ACCEPTED,
                Verdict.STALE_ATTEMPT,
                Verdict.STALE_EPOCH,
            )
            await until(lambda: not worker.runs)
            await _stays_empty(made, worker)

    go(run())


@pytest.mark.parametrize("cancelled_by", ["one", "two"])
def test_a_task_whose_starter_was_removed_is_stopped_with_its_job(
    cancelled_by: str,
) -> None:
    """Who started it is gone for good; who owns now answers for it."""

    async def run() -> None:
        async with cell(workers=1) as made:
            worker = made.fleet.workers["w0"]
            made.fleet.work = lambda task, attempt: Work(seconds=60)
            first = await made.own("one")
            await submit(first, "a", job(step(2)))
            await until(lambda: len(worker.runs) == 2)
            if cancelled_by == "one":
                # Cancelled and stored, and its starter ends before any stop leaves.
                first.closing = True
                first.board.cancel("a")
                first.changed()
                await first.confirmed(1.0)
            made.tasks[0].cancel()
            second = await made.own("two")
            if cancelled_by == "two":
                assert (await second.cancel("a")).state == "cancelled"
            await until(lambda: not worker.runs)
            await _stays_empty(made, worker)

    go(run())


async def _stays_empty(made: Cell, worker: Worker) -> None:
    started = len(made.fleet.starts)
    await asyncio.sleep(0.3)
    assert len(made.fleet.starts) == started
    assert not worker.runs
    assert made.fleet.faults == []
