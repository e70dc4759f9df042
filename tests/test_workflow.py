"""Jobs of several steps, run with an owner, a table and workers in memory."""

import asyncio
import contextlib

import attrs
import pytest

from cranberrycleat import errors
from cranberrycleat.amounts import Amounts
from cranberrycleat.lifecycle import BackgroundTasks
from cranberrycleat.standins.fleet import SimulatedWork
from cranberrycleat.workflow import rows
from cranberrycleat.workflow.batches import Batch, take_batch
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.fleet import Liveness
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peering import Heartbeat, SubmitRequest
from cranberrycleat.workflow.ports import (
    EndedTask,
    EndKind,
    PermitTiming,
    RunningTask,
    SyncReply,
    Verdict,
)
from cranberrycleat.workflow.state import JobState
from tests.cell import cell, entry, job, queue, step, submit, until
from tests.fakes import run_async
from tests.test_planner import NOW_S, cluster_state, worker as make_worker


def state(owner: Owner, job_id: str) -> str:
    """Return the state reported to callers."""
    return owner.state(job_id).state


def test_steps_run_in_order() -> None:
    """A step starts only after every task of the steps it depends on is done."""

    async def run() -> None:
        async with cell() as env:
            owner = await env.own()
            await submit(owner, "a", job(step(4), step(3, after=(0,))))
            await until(lambda: state(owner, "a") == "completed")
            first = [start.at for start in env.fleet.starts if ".0.0." in start.task]
            second = [start.at for start in env.fleet.starts if ".0.1." in start.task]
            assert len(first) == 4 and len(second) == 3
            assert min(second) > max(first)
            assert env.fleet.faults == []

    run_async(run())


def test_gang_starts_and_restarts_as_a_whole() -> None:
    """Members share an attempt number; if one fails, all are stopped and restarted."""

    def work(task: str, attempt: int) -> SimulatedWork:
        if attempt == 1 and task.endswith(".0"):
            return SimulatedWork(seconds=0.02, how=EndKind.FAILED)
        return SimulatedWork(seconds=0.2)

    async def run() -> None:
        async with cell() as env:
            env.fleet.work = work
            env.fleet.gang = lambda step: True
            owner = await env.own()
            await submit(owner, "g", job(step(6, gang=True, processors=2000)))
            await until(lambda: state(owner, "g") == "completed")
            attempts = {start.attempt for start in env.fleet.starts}
            for attempt in attempts:
                members = [s for s in env.fleet.starts if s.attempt == attempt]
                assert len(members) == 6
            assert len(attempts) == 2
            assert env.fleet.faults == []

    run_async(run())


def test_failed_attempts_are_counted_and_end_the_job() -> None:
    """A task that fails `max_attempts` times fails its job."""

    async def run() -> None:
        async with cell() as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(
                seconds=0.01, how=EndKind.FAILED
            )
            owner = await env.own()
            await submit(owner, "f", job(step(1)))
            await until(lambda: state(owner, "f") == "failed")
            assert [start.attempt for start in env.fleet.starts] == [1, 2]

    run_async(run())


def test_capacity_is_never_exceeded_under_backlog() -> None:
    """Workers start every task they are sent, so the owner must respect capacity."""

    async def run() -> None:
        async with cell() as env:
            env.fleet.needs = lambda task: Amounts(processors=1500, memory_mb=100)
            owner = await env.own()
            for number in range(12):
                await submit(owner, f"j{number}", job(step(3, processors=1500)))
            await until(
                lambda: all(state(owner, f"j{n}") == "completed" for n in range(12))
            )
            assert env.fleet.faults == []

    run_async(run())


def test_order_without_answer_is_sent_again_and_runs_once() -> None:
    """An unanswered start that the worker executes late must have no effect."""

    async def run() -> None:
        async with cell(workers=1) as env:
            worker = env.fleet.workers["w0"]
            worker.unanswered_starts = 1
            owner = await env.own()
            await submit(owner, "a", job(step(1)))
            await until(lambda: state(owner, "a") == "completed")
            verdict = env.fleet.carry_out(worker, worker.late[0]).verdict
            assert verdict is Verdict.STALE_ATTEMPT
            assert env.fleet.faults == []

    run_async(run())


def test_start_refused_after_no_answer_is_voided_first() -> None:
    """An earlier copy of a refused start must never run beside the next attempt."""

    async def run() -> None:
        async with cell(workers=2) as env:
            for worker in env.fleet.workers.values():
                worker.unanswered_starts = 1
                worker.refuse = Verdict.UNHEALTHY
            owner = await env.own()
            await submit(owner, "a", job(step(1)))
            await until(lambda: any(w.void for w in env.fleet.workers.values()))
            for worker in env.fleet.workers.values():
                worker.refuse = None
                for order in worker.late:
                    env.fleet.carry_out(worker, order)
            await until(lambda: state(owner, "a") == "completed")
            assert env.fleet.faults == []

    run_async(run())


@pytest.mark.parametrize("kept", [True, False])
def test_successor_adopts_running_tasks(kept: bool) -> None:
    """After an owner's death no task starts twice, even with a silent worker."""

    async def run() -> None:
        # The third worker has free capacity: only the successor's wait keeps tasks off.
        async with cell(workers=3, worker_lease_s=2.0) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(
                seconds=0.9 if kept else 4
            )
            first = await env.own("one")
            await submit(first, "a", job(step(4, processors=2000)))
            await until(lambda: len(env.fleet.starts) == 4)
            env.tasks[0].cancel()
            if not kept:
                env.fleet.workers["w0"].silent = True
            second = await env.own("two")
            assert second.epoch == 2
            await until(lambda: state(second, "a") == "completed", limit_s=25)
            env.fleet.advance_all()
            assert env.fleet.faults == []
            if kept:
                assert len(env.fleet.starts) == 4

    run_async(run())


@pytest.mark.parametrize("listed", [True, False])
def test_tasks_of_a_silent_worker_are_rescheduled(listed: bool) -> None:
    """Its leases expire: sync requests to a silent worker do not renew them."""

    async def run() -> None:
        async with cell(workers=2) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.3)
            owner = await env.own()
            await submit(owner, "a", job(step(4, processors=2000)))
            await until(lambda: len(env.fleet.starts) == 4)
            env.fleet.workers["w0"].silent = True
            if not listed:
                env.unlist_worker("w0")
            await until(lambda: state(owner, "a") == "completed")
            env.fleet.advance_all()
            assert {each.worker for each in env.fleet.starts[4:]} == {"w1"}
            # A task whose end was not seen before its lease expired may run once more.
            assert not [each for each in env.fleet.faults if "twice" in each]

    run_async(run())


def test_unanswered_start_keeps_its_lease_bound() -> None:
    """The start is resent with the same lease end, after which the task moves."""

    async def run() -> None:
        async with cell(workers=1) as env:
            env.fleet.workers["w0"].unanswered_starts = 10_000
            owner = await env.own()
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(env.fleet.workers["w0"].late) > 2)
            env.fleet.workers["w0"].silent = True
            env.add_worker("w1")
            await until(lambda: state(owner, "a") == "completed")
            bounds = {order.lease_end_ms for order in env.fleet.workers["w0"].late}
            assert len(bounds) == 1
            assert env.fleet.faults == []

    run_async(run())


def test_release_waits_for_the_transaction_in_progress() -> None:
    """A stopping owner releases its lease, so that no successor waits for it."""

    async def run() -> None:
        async with cell() as env:
            env.table.faults.slow_s = 0.05
            owner = await env.own("one")
            accepted = asyncio.create_task(submit(owner, "a", job(step(1))))
            await asyncio.sleep(0.04)
            await owner.hand_over()
            with contextlib.suppress(errors.PeerUnavailable, AssertionError):
                await accepted
            row = owner.lease.latest_row()
            fresh = env.make_owner("two")
            assert await fresh.lease.acquire(), row
            assert not fresh.lease.takeover_unreleased

    run_async(run())


def test_a_cancelled_job_stops_and_never_starts_again() -> None:
    """A cancellation is stored, running tasks stop, and waiting tasks never start."""

    async def run() -> None:
        async with cell(workers=1) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=5)
            owner = await env.own()
            await submit(owner, "c", job(step(6, processors=1000)))
            await until(lambda: len(env.fleet.starts) == 4)
            answer = await owner.cancel("c")
            assert answer.state == "cancelled"
            await until(lambda: not env.fleet.workers["w0"].runs)
            await asyncio.sleep(0.2)
            assert len(env.fleet.starts) == 4

    run_async(run())


def test_permits_are_obtained_before_a_start() -> None:
    """A queue with permits starts tasks only where and while a permit is valid."""
    policy = PermitTiming(decide_s=0.01, each_s=0.001, valid_s=0.6)

    async def run() -> None:
        async with cell(workers=1) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.9)
            owner = await env.own()
            rules = queue(permits=policy)
            await submit(owner, "p", job(step(8, processors=1000)), rules)
            await until(lambda: state(owner, "p") == "completed")
            # Requested once for all workers, and again after the permits had expired.
            assert len(env.permits.calls) >= 2
            assert env.fleet.faults == []

    run_async(run())


def test_a_job_that_was_never_sent_to_the_table_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With the table down, only jobs in the transaction in progress are undecided."""
    monkeypatch.setattr("cranberrycleat.workflow.owner.CHANGE_LIMIT_S", 1.5)

    async def run() -> None:
        async with cell() as env:
            owner = await env.own()
            env.table.faults.down = True
            sent = SubmitRequest(job_id="sent", queue=queue(), spec=job(step(2)))
            under_way = asyncio.create_task(owner.submit(sent))
            await asyncio.sleep(0.1)
            assert owner.may_order()
            req = SubmitRequest(job_id="d", queue=queue(), spec=job(step(2)))
            reply = await owner.submit(req)
            assert reply.refused
            with pytest.raises(errors.PeerUnavailable):
                await under_way
            env.table.faults.down = False
            await until(lambda: state(owner, "sent") == "completed")
            assert not env.table.rows.get("jobs/d")
            assert {start.task[:4] for start in env.fleet.starts} == {"sent"}
            await submit(owner, "d", job(step(2)))
            await until(lambda: state(owner, "d") == "completed")

    run_async(run())


def test_start_is_sent_after_its_placement_is_stored() -> None:
    """A successor must know every worker on which a task may run."""
    stored: list[bool] = []

    async def run() -> None:
        async with cell() as env:

            def work(task: str, attempt: int) -> SimulatedWork:
                row = env.table.rows.get("jobs/a")
                placed = (
                    row is not None and rows.decode_job_row(row.value, "jobs/a").open
                )
                stored.append(bool(placed and placed[0].steps[0].placed))
                return SimulatedWork()

            env.fleet.work = work
            owner = await env.own()
            env.table.faults.slow_s = 0.1
            await submit(owner, "a", job(step(3)))
            await until(lambda: state(owner, "a") == "completed")
            assert stored == [True, True, True]

    run_async(run())


def test_worker_with_an_unanswered_start_gets_no_more_work() -> None:
    """A task placed there would have to wait until a whole lease expires."""

    async def run() -> None:
        async with cell(workers=1) as env:
            owner = await env.own()
            worker = env.fleet.workers["w0"]
            worker.unanswered_starts = 1
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=1.0)
            await submit(owner, "a", job(step(1)))
            await until(lambda: worker.unanswered_starts == 0)
            worker.silent = True
            await until(
                lambda: owner.cluster_state.fleet.workers[
                    "w0"
                ].leaves_orders_unanswered(env.clock.now())
            )
            env.add_worker("w1")
            await submit(owner, "b", job(step(1)))
            await until(lambda: state(owner, "b") == "completed")
            assert {s.worker for s in env.fleet.starts} == {"w1"}

    run_async(run())


def test_workers_of_a_silent_data_centre_get_no_work() -> None:
    """No host of the data centre is heard from, so its workers are unreachable too."""

    async def run() -> None:
        async with cell(workers=2) as env:
            owner = await env.own()
            owner.peers.record_heartbeat(
                Heartbeat(name="n", address="n:1", data_centre="dc"), 0.0
            )
            now = env.clock.now()
            peer, _ = owner.peers.entries["n:1"]
            owner.peers.entries["n:1"] = (peer, now - 1.5)
            for worker in owner.cluster_state.fleet.workers.values():
                worker.clock_read_at = now - 1.0
            owner.roster.mark_silent_data_centres(now)
            assert all(
                w.unresponsive for w in owner.cluster_state.fleet.workers.values()
            )

    run_async(run())


def test_background_task_restarts_after_an_exception() -> None:
    """An unexpected exception ends neither a background loop nor the process."""
    runs: list[int] = []

    async def work() -> None:
        runs.append(1)
        if len(runs) == 1:
            raise RuntimeError("unforeseen")

    async def run() -> None:
        background = BackgroundTasks()
        background.keep(work)
        await until(lambda: len(runs) == 2)
        await background.cancel()

    run_async(run())


def test_a_fault_while_storing_loses_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """The owner gives up the ownership; stored jobs continue in a new epoch."""

    async def run() -> None:
        async with cell() as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.5)
            owner = await env.own("one")
            await submit(owner, "a", job(step(2)))

            def fail(batch: object) -> None:
                raise RuntimeError("unforeseen")

            monkeypatch.setattr(
                "cranberrycleat.workflow.owner.note_stored",
                lambda cluster_state, batch: fail(batch),
            )
            await until(lambda: env.tasks[0].done())
            monkeypatch.undo()
            again = await env.own("one")
            assert again.epoch == 2
            await until(lambda: state(again, "a") == "completed")
            assert env.fleet.faults == []

    run_async(run())


# Guards against an accepted job that never ends (LOST): a job taken for a batch is not
# dirty any more, so the next batch acknowledged its end although no batch had stored
# it.
def test_a_fault_while_taking_a_batch_loses_no_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        async with cell() as env:
            owner = await env.own("one")

            def take(cluster_state: ClusterState, most_bytes: int) -> Batch:
                batch = take_batch(cluster_state, most_bytes)
                if any(stored is JobState.COMPLETED for _, stored in batch.jobs):
                    monkeypatch.undo()
                    raise RuntimeError("unforeseen")
                return batch

            monkeypatch.setattr("cranberrycleat.workflow.owner.take_batch", take)
            await submit(owner, "a", job(step(2)))
            await until(lambda: env.tasks[0].done())
            again = await env.own("one")
            await until(lambda: state(again, "a") == "completed")
            assert env.fleet.faults == []

    run_async(run())


def test_leaving_worker_gets_no_more_starts() -> None:
    """A task placed there whose placement is not stored yet moves elsewhere."""

    async def run() -> None:
        async with cell(workers=1) as env:
            owner = await env.own()
            # Storing takes far longer than marking the worker as leaving.
            env.table.faults.slow_s = 0.3
            handed_in = asyncio.create_task(submit(owner, "a", job(step(1))))
            await until(
                lambda: bool(owner.cluster_state.fleet.workers["w0"].placements)
            )
            env.entries["w0"] = attrs.evolve(env.entries["w0"], leaving=True)
            owner.cluster_state.fleet.workers["w0"].update(env.entries["w0"])
            env.list_worker("w0")
            await handed_in
            env.table.faults.slow_s = 0.0
            env.add_worker("w1")
            await until(lambda: state(owner, "a") == "completed")
            assert {start.worker for start in env.fleet.starts} == {"w1"}

    run_async(run())


def test_unanswered_start_is_voided_when_its_worker_leaves() -> None:
    """If it were resent, a task would start on a worker that is leaving."""

    async def run() -> None:
        async with cell(workers=1) as env:
            env.fleet.workers["w0"].unanswered_starts = 10_000
            owner = await env.own()
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(env.fleet.workers["w0"].late) > 0)
            env.entries["w0"] = attrs.evolve(env.entries["w0"], leaving=True)
            env.list_worker("w0")
            env.add_worker("w1")
            await until(lambda: state(owner, "a") == "completed")
            late = env.fleet.workers["w0"].late
            verdict = env.fleet.carry_out(env.fleet.workers["w0"], late[0]).verdict
            assert verdict is Verdict.STALE_ATTEMPT
            assert env.fleet.faults == []

    run_async(run())


def test_worker_with_attempts_of_unknown_size_gets_no_work() -> None:
    """With two orphaned attempts, the end of one does not make the worker usable."""
    cluster = cluster_state(make_worker("w"))
    only = cluster.fleet.workers["w"]
    lists = [
        RunningTask(task=f"gone.0.0.{index}", attempt=1, saved="", percent=50)
        for index in range(2)
    ]
    reply = SyncReply(worker_time_ms=1, running=tuple(lists), ended=())
    cluster.sync(only, reply, sent_at=0.0, now=0.0)
    cluster.accept("a", queue(), job(step(4)))
    planner = Planner(cluster_state=cluster)
    for left in (2, 1, 0):
        planner.plan(now=1.0, now_s=NOW_S)
        started = [p for p in only.placements.values() if p.task.startswith("a.")]
        assert len(started) == (0 if left else 4)
        ended = EndedTask(
            number=3 - left,
            task=f"gone.0.0.{2 - left}",
            attempt=1,
            how=EndKind.STOPPED,
            saved="",
        )
        rest = tuple(lists[3 - left :])
        reply = SyncReply(worker_time_ms=2, running=rest, ended=(ended,))
        if left:
            cluster.sync(only, reply, sent_at=2.0, now=2.0)


def test_worker_listed_again_after_a_takeover_is_synced() -> None:
    """A worker may be missing from the list at a takeover; its work is adopted."""

    async def run() -> None:
        async with cell(workers=2) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=2.5)
            first = await env.own("one")
            await submit(first, "a", job(step(4, processors=2000)))
            await until(lambda: len(env.fleet.starts) == 4)
            env.unlist_worker("w0")
            env.tasks[0].cancel()
            second = await env.own("two")
            env.list_worker("w0")
            await until(lambda: "w0" in second.links)
            await until(
                lambda: second.cluster_state.fleet.workers["w0"].liveness
                is Liveness.LIVE
            )
            assert env.fleet.faults == []

    run_async(run())


@pytest.mark.parametrize("gang", [False, True])
def test_worker_lost_before_its_placement_is_stored_blocks_no_other(
    gang: bool,
) -> None:
    """With a slow table, a worker may be lost before its placement is stored."""

    async def run() -> None:
        async with cell(workers=3) as env:
            owner = await env.own()
            env.table.faults.slow_s = 0.3
            spec = step(2, processors=4000, gang=gang)
            handing = asyncio.create_task(submit(owner, "a", job(spec)))
            await until(lambda: len(owner.cluster_state.placements_of("a")) == 2)
            lost = owner.cluster_state.placements_of("a")[0][0].name
            env.fleet.replace_worker(lost, entry("w9"))
            await until(lambda: lost not in owner.cluster_state.fleet.workers)
            env.table.faults.slow_s = 0.0
            await handing
            await until(lambda: state(owner, "a") == "completed")
            assert env.fleet.faults == []

    run_async(run())
