"""A job whose stored state outgrows a row of the table neither stops nor is lost.

What the table never takes must not hold up the changes that are stored beside it.
"""

import asyncio
import time
from typing import Final

import attrs
import pytest

from cranberrycleat import errors, events
from cranberrycleat.amounts import Amounts
from cranberrycleat.lease import Changes, OwnershipLease
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.standins.fleet import SimulatedWork
from cranberrycleat.table import CommitReply, Put, TableLimits, Transaction, value_bytes
from cranberrycleat.workflow.cluster_state import MAX_UNBEGUN_OCCURRENCES, ClusterState
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.job_frontend import RequestStatus
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peering import SubmitRequest
from cranberrycleat.workflow.row_sizes import RowSizes
from cranberrycleat.workflow.spec import Schedule, StepSpec, WorkflowSpec
from tests.cell import OWNER_LEASE_S, Cell, cell, entry, job, queue, step, submit, until
from tests.fakes import run_async

LIMITS: Final = TableLimits(row_bytes=3000)
RARE: Final = "r2"
"""The rack, and so a label, of a single worker."""
RUNS: Final = 150


def _state(owner: Owner, job_id: str) -> str:
    return owner.state(job_id).state


def _timed(*steps: StepSpec) -> WorkflowSpec:
    """Return a job that is due every 5 ms."""
    schedule = Schedule(runs=RUNS, first_s=time.time(), period_s=0.005)
    return WorkflowSpec(program="p", steps=steps, schedule=schedule)


def _largest_row(env: Cell) -> int:
    return max(value_bytes(row.value) for row in env.table.rows.values())


async def _submit_without_rare_worker(env: Cell, owner: Owner, spec: object) -> None:
    """Submit a job that needs a worker with a label, and lose that worker."""
    env.add_worker("rare", rack=RARE)
    await until(lambda: "rare" in owner.cluster_state.fleet.workers)
    env.fleet.workers["rare"].refuse = None
    env.fleet.workers["rare"].silent = True
    env.unlist_worker("rare")
    owner.cluster_state.accept("t", queue(), spec)  # type: ignore[arg-type]
    owner.changed()


@pytest.mark.parametrize(
    "first",
    [step(), step(label=RARE)],
    ids=["the first step runs", "nothing runs"],
)
def test_waiting_occurrences_do_not_stop_other_jobs(first: StepSpec) -> None:
    """Guards against accepted jobs that never start (LOST).

    The occurrences of a timed job wait for a worker that is gone. A next owner reads
    them, and each of them runs once a worker has come.
    """

    async def run() -> None:
        async with cell(table=MemoryFeedTable(limits=LIMITS)) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.001)
            owner = await env.own("one")
            spec = _timed(first, step(label=RARE, after=(0,)))
            await _submit_without_rare_worker(env, owner, spec)
            for number in range(4):
                await asyncio.sleep(0.4)
                await submit(owner, f"b{number}", job(step()))
                await until(lambda: _state(owner, f"b{number}") == "completed", 2.0)
            env.tasks[0].cancel()
            owner = await env.own("two")
            await submit(owner, "after", job(step()))
            await until(lambda: _state(owner, "after") == "completed", 2.0)
            assert not env.table.rejected
            assert _largest_row(env) <= LIMITS.row_bytes
            for number in range(3):
                env.add_worker(f"other{number}", rack=RARE)
            await until(lambda: _state(owner, "t") == "completed", 20.0)
            ran = {each.task for each in env.fleet.starts if each.task[0] == "t"}
            assert len(ran) == 2 * RUNS
            assert env.fleet.faults == []
            await until(lambda: not [k for k in env.table.rows if "pages/" in k])

    run_async(run())


def test_waiting_occurrences_are_opened_up_to_a_bound() -> None:
    """Guards against a row, and planning rounds, that grow with each due time.

    Those that wait are opened in order as earlier ones are placed; none is skipped.
    """
    cluster_state = ClusterState(time_of_day=lambda: 1e6, now=lambda: 0.0)
    worker = FleetWorker(entry=entry("w", processors=10**9))
    cluster_state.fleet.workers["w"] = worker
    schedule = Schedule(runs=RUNS, first_s=0.0, period_s=1.0)
    spec = WorkflowSpec(program="p", steps=(step(),), schedule=schedule)
    accepted = cluster_state.accept("t", queue(), spec)
    assert list(accepted.open) == list(range(MAX_UNBEGUN_OCCURRENCES))
    opened: list[int] = []
    while cluster_state.next_due_s() is not None:
        assert len(accepted.open) - len(opened) == MAX_UNBEGUN_OCCURRENCES
        for number in list(accepted.open)[len(opened) :]:
            opened.append(number)
            task = accepted.open[number].steps[0].tasks[0]
            cluster_state.place(task, worker, 1, now=0.0)
        assert cluster_state.open_all_due_occurrences()
    assert list(accepted.open) == list(range(RUNS))


def test_job_with_more_tasks_than_a_row_holds_is_done() -> None:
    """Guards against a job that is accepted and then cannot be stored (LOST)."""

    async def run() -> None:
        async with cell(table=MemoryFeedTable(limits=LIMITS)) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.2)
            owner = await env.own("one")
            wide = submit(owner, "wide", job(step(400, processors=20)))
            # On a failure, pytest would print the owner with its 400 tasks for minutes.
            (failure,) = await asyncio.gather(wide, return_exceptions=True)
            assert failure is None
            await until(lambda: len(env.fleet.starts) > 200)
            env.tasks[0].cancel()
            owner = await env.own("two")
            await submit(owner, "b", job(step()))
            await until(lambda: _state(owner, "wide") == "completed", 20.0)
            assert _state(owner, "b") == "completed"
            assert not env.table.rejected
            assert env.fleet.faults == []

    run_async(run())


@attrs.define(kw_only=True)
class RejectingTable(MemoryFeedTable):
    """A table that never takes the rows of some jobs, whatever their size."""

    bad: frozenset[str] = frozenset()

    async def commit(self, txn: Transaction) -> CommitReply:
        """Reject a transaction with a row of such a job."""
        if any(put.key in self.bad for put in txn.puts):
            raise errors.TableRejected("a row is not taken")
        return await MemoryFeedTable.commit(self, txn)


def test_rejected_row_does_not_hold_up_others() -> None:
    """Guards against a refusal for good that is repeated like an outage (LOST).

    The job is refused before it is accepted, and others are stored without it.
    """

    async def run() -> None:
        table = RejectingTable(bad=frozenset({"jobs/bad"}))
        async with cell(table=table) as env:
            owner = await env.own("one")
            request = SubmitRequest(job_id="bad", queue=queue(), spec=job(step()))
            bad = asyncio.create_task(owner.submit(request))
            good = [
                asyncio.create_task(submit(owner, f"g{number}", job(step())))
                for number in range(20)
            ]
            await asyncio.gather(*good)
            reply = await bad
            assert reply.refused and not reply.accepted
            await until(
                lambda: all(_state(owner, f"g{n}") == "completed" for n in range(20))
            )
            assert owner.epoch == 1 and owner.store_answers
            assert not [each for each in env.fleet.starts if "bad" in each.task]

    run_async(run())


def test_lease_is_renewed_while_jobs_are_rejected() -> None:
    """Guards against an owner that loses its lease to rows that the table rejects."""

    async def run() -> None:
        tiny = Amounts(processors=1, memory_mb=1)
        names = [f"bad{number}" for number in range(200)]
        table = RejectingTable()
        async with cell(table=table) as env:
            owner = await env.own("one")
            table.bad = frozenset(f"jobs/{name}" for name in names)
            for name in names:
                owner.cluster_state.accept(name, queue(), job(step(needs=tiny)))
            owner.changed()
            await asyncio.sleep(3 * OWNER_LEASE_S)
            owner.cluster_state.accept("good", queue(), job(step()))
            await until(lambda: _state(owner, "good") == "completed")
            assert owner.lease.is_valid() and owner.epoch == 1

    run_async(run())


def test_job_whose_row_is_rejected_later_is_kept() -> None:
    """An accepted job that cannot be stored for a while is not lost."""

    async def run() -> None:
        table = RejectingTable()
        async with cell(table=table) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.1)
            owner = await env.own("one")
            await submit(owner, "bad", job(step(3)))
            table.bad = frozenset({"jobs/bad"})
            for number in range(5):
                await submit(owner, f"g{number}", job(step()))
            await until(
                lambda: all(_state(owner, f"g{n}") == "completed" for n in range(5))
            )
            table.bad = frozenset()
            await until(lambda: _state(owner, "bad") == "completed")
            assert owner.epoch == 1 and env.fleet.faults == []

    run_async(run())


def test_lease_forgets_a_rejected_write() -> None:
    """Guards against a rejected write that is sent again before any other one."""

    async def run() -> None:
        table = MemoryFeedTable(limits=LIMITS)
        lease = OwnershipLease(
            table=table, clock=Cell().clock, key="owner/cell", holder="one", lease_s=5.0
        )
        assert await lease.acquire()
        large = Put(key="jobs/a", value="x" * 4000)
        with pytest.raises(errors.TableRejected):
            await lease.commit(Changes(puts=(large,)))
        await lease.commit(Changes(puts=(Put(key="jobs/b", value="x"),)))
        assert set(table.rows) == {"owner/cell", "jobs/b"}

    run_async(run())


@pytest.mark.parametrize(
    ("txn", "expected"),
    [
        (Transaction(puts=(Put(key="a", value="x" * 3000),)), ""),
        (Transaction(puts=(Put(key="a", value="x" * 3001),)), "row a"),
        (Transaction(puts=(Put(key="a", value="ä" * 1501),)), "row a"),
        (Transaction(deletes=tuple(map(str, range(101)))), "101 entries"),
        (
            Transaction(
                puts=tuple(Put(key=f"{n}", value="x" * 2600) for n in range(300))
            ),
            "300 entries",
        ),
    ],
)
def test_limits_of_a_transaction(txn: Transaction, expected: str) -> None:
    """A violation is found before the call, by bytes and not by characters."""
    assert LIMITS.violation(txn).startswith(expected)
    assert bool(LIMITS.violation(txn)) is bool(expected)


def test_job_larger_than_a_row_is_rejected_at_submission() -> None:
    """Guards against a job that is accepted although its rows cannot be stored."""

    async def run() -> None:
        async with cell() as env:
            owner = await env.own("one")
            frontend = env.job_frontend(lambda: owner, table_limits=LIMITS)
            wide = job(*(step(label=f"label-{n}") for n in range(40)))
            found = await frontend.submit(queue(), "a", wide, limit_s=1.0)
            assert found.status is RequestStatus.MALFORMED
            assert "over the 3000 of a row" in found.reason
            assert not owner.cluster_state.jobs
            found = await frontend.submit(queue(), "b", job(step()), limit_s=1.0)
            assert found.status is RequestStatus.DONE

    run_async(run())


def test_transitions_of_the_largest_row_are_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a row that comes near its limit unnoticed, and against floods."""
    logged: list[events.RowFill] = []
    monkeypatch.setattr("cranberrycleat.workflow.row_sizes.emit", logged.append)
    sizes = RowSizes()
    for size in (10, 500, 600, 790, 800, 900, 700, 10):
        put = Put(key="jobs/a", value="x" * size)
        sizes.stored((put, Put(key="pages/a.1", value="x" * 1000)), (), 1000)
    assert [each.size for each in logged] == [500, 800, 700, 0]
    sizes.stored((Put(key="jobs/b", value="x" * 900),), (), 1000)
    assert sizes.share() == 0.9
    sizes.stored((), ("jobs/b",), 1000)
    assert sizes.share() == 0.0 and len(logged) == 6
