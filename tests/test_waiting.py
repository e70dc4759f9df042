"""Tests the number of waiting jobs reported to callers.

Guards against jobs that count as started once they are placed, rather than once a
worker has accepted a start. Observed once: a caller was told that no job of a queue
was waiting, although five had been accepted 5 s earlier and none had started. Their
tasks had been placed on workers of a data centre that had just been cut off. No start
was answered there, and nothing could start elsewhere until the worker leases expired
(6 s). In the log of a replay of that day, such a job was accepted at 34.29 s, placed
at 34.35 s and started at 39.59 s.
"""

from tests.cell import cell, job, step, submit, until
from tests.fakes import run_async


def test_job_counts_as_waiting_until_start_is_accepted() -> None:
    async def run() -> None:
        async with cell(workers=1) as running_cell:
            owner = await running_cell.own()
            running_cell.fleet.workers["w0"].silent = True
            await submit(owner, "a", job(step(1)))
            await until(lambda: bool(owner.cluster_state.placed.get("a")))
            assert not running_cell.fleet.starts
            assert owner.cluster_state.queue_length("q") == 1

    run_async(run())


def test_job_counts_as_waiting_when_stop_overtakes_start() -> None:
    """A worker rejects a start as stale if it was told to stop that attempt before."""

    async def run() -> None:
        async with cell(workers=1) as running_cell:
            owner = await running_cell.own()
            running_cell.fleet.workers["w0"].void["a.0.0.0"] = 1_000
            await submit(owner, "a", job(step(1)))
            task = owner.cluster_state.jobs["a"].open[0].steps[0].tasks[0]
            await until(lambda: task.attempt > 2)
            assert not running_cell.fleet.starts
            assert owner.cluster_state.queue_length("q") == 1

    run_async(run())
