"""Tests workers that take no starts although they answer syncs.

The failure: a worker holds 64 connections and resets those beyond them. Orders opened
as many as were sent at once and kept them, also those of hosts that had lost power, so
that after a few changes of owner a worker reset every start. It went on to answer
syncs. Its starts were sent again every 0.05 s until the end of the day, and accepted
tasks never ran (LOST).
"""

import asyncio

import pytest

from cranberrycleat.standins.fleet import SimulatedWork
from cranberrycleat.workflow.links import START_COPIES_S
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.ports import Verdict
from cranberrycleat.workflow.state import JobState
from tests.cell import cell, job, step, submit, until
from tests.fakes import run_async
from tests.http_cell import http_cell

TASKS_PER_WORKER = 20
DEAD_OWNERS = 3
"""Their connections, with those for syncs, leave hardly one free on each worker."""
RUN_LIMIT_S = 6.0
"""How long accepted tasks may take to run elsewhere: the time after which an
unanswered start is settled, two syncs, and a quarantine of 2 s."""
MAX_STARTS_RESET = 40
"""Starts sent to a worker that takes none, within `RUN_LIMIT_S`: a few copies of each
of four tasks. Every 0.05 s would be 480."""


def is_completed(owner: Owner, job_id: str) -> bool:
    """Return whether callers are told that a job is completed."""
    return owner.cluster_state.reported.get(job_id) is JobState.COMPLETED


# Guards against accepted jobs that never run (LOST): connections of hosts that lost
# power must leave room for those of the next owner.
def test_next_owner_starts_tasks_after_owners_lost_power() -> None:
    async def run() -> None:
        async with http_cell(workers=2, processors=TASKS_PER_WORKER * 100) as env:
            env.cell.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.2)
            for process in env.workers.values():
                process.answer_delay_s = 0.05
            wide = job(step(2 * TASKS_PER_WORKER, processors=100))
            for number in range(DEAD_OWNERS):
                owner = await env.own(f"host-{number}")
                await submit(owner, f"j{number}", wide)
                await until(lambda: is_completed(owner, f"j{number}"))
                await env.power_off()
            owner = await env.own("last")
            await submit(owner, "last", wide)
            await until(lambda: is_completed(owner, "last"), RUN_LIMIT_S)
            assert not env.cell.fleet.faults
            assert sum(each.resets for each in env.workers.values()) == 0

    run_async(run())


# Guards against the same (LOST) whatever the reason for which a worker takes no starts:
# its tasks must run elsewhere, and it must not be sent starts without end.
@pytest.mark.parametrize("gang", [False, True], ids=["tasks", "gang"])
def test_tasks_of_worker_that_takes_no_starts_run_elsewhere(gang: bool) -> None:
    async def run() -> None:
        async with http_cell(workers=2, processors=4000) as env:
            env.cell.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.1)
            env.cell.fleet.gang = lambda name: gang
            owner = await env.own("one")
            refusing = env.workers["w0"]
            refusing.reset_paths = {"/api/run-start"}
            await submit(owner, "a", job(step(8, gang=gang)))
            await until(lambda: refusing.connections > 1)
            await env.add_worker("w2", processors=4000)
            await until(lambda: is_completed(owner, "a"), RUN_LIMIT_S)
            assert refusing.connections <= MAX_STARTS_RESET
            assert not env.cell.fleet.faults

    run_async(run())


# Guards against two runs of a task (TWICE): a start that was settled as not carried out
# must begin nothing when it arrives after all.
def test_late_copies_of_settled_start_begin_nothing() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=1.0)
            owner = await env.own()
            worker = env.fleet.workers["w0"]
            worker.unanswered_starts = 100
            await submit(owner, "a", job(step(2)))
            await until(lambda: len(worker.late) > 1)
            env.add_worker("w1")
            await until(lambda: len(env.fleet.starts) == 2, RUN_LIMIT_S)
            assert {each.worker for each in env.fleet.starts} == {"w1"}
            for order in worker.late:
                assert env.fleet.carry_out(worker, order).verdict is (
                    Verdict.STALE_EPOCH
                )
            await until(lambda: is_completed(owner, "a"))
            assert not env.fleet.faults

    run_async(run())


# Guards against a second attempt of a task that runs (TWICE), and against one that is
# never seen to begin: only the answers to its starts are lost.
def test_start_that_was_carried_out_is_settled_by_list() -> None:
    async def run() -> None:
        async with http_cell(workers=2, processors=4000) as env:
            env.cell.fleet.work = lambda task, attempt: SimulatedWork(seconds=2.0)
            owner = await env.own("one")
            env.workers["w0"].lost_answers = {"/api/run-start"}
            await submit(owner, "a", job(step(8)))
            await until(lambda: is_completed(owner, "a"), RUN_LIMIT_S)
            assert len(env.cell.fleet.starts) == 8 and not env.cell.fleet.faults

    run_async(run())


# Guards against a worker that is never used again: once it takes orders, it gets work.
def test_worker_that_takes_starts_again_is_used() -> None:
    async def run() -> None:
        async with http_cell(workers=1, processors=4000) as env:
            env.cell.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.1)
            owner = await env.own("one")
            refusing = env.workers["w0"]
            refusing.reset_paths = {"/api/run-start"}
            await submit(owner, "a", job(step(2)))
            await until(lambda: refusing.connections > 3)
            await asyncio.sleep(START_COPIES_S)
            refusing.reset_paths = set()
            await until(lambda: is_completed(owner, "a"), RUN_LIMIT_S)
            assert not env.cell.fleet.faults

    run_async(run())


# Guards against work that is kept from a worker that has just come back: the time in
# which it was silent says nothing about whether it takes orders.
def test_start_is_sent_again_to_worker_that_was_silent() -> None:
    async def run() -> None:
        async with cell(workers=1, worker_lease_s=6.0) as env:
            owner = await env.own()
            worker = env.fleet.workers["w0"]
            worker.unanswered_starts = 1
            await submit(owner, "a", job(step(1)))
            await until(lambda: worker.unanswered_starts == 0)
            worker.silent = True
            await asyncio.sleep(2 * START_COPIES_S)
            worker.silent = False
            await until(lambda: is_completed(owner, "a"))
            known = owner.cluster_state.fleet.workers["w0"]
            assert known.quarantined_until == 0 and known.may_accept_work(
                env.clock.now()
            )

    run_async(run())
