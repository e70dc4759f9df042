"""Tests workers that take no starts although they answer syncs.

The failure: a worker holds 64 connections and resets those beyond them. Orders opened
as many as were sent at once and kept them, also those of hosts that had lost power, so
that after a few changes of owner a worker reset every start. It went on to answer
syncs. Its starts were sent again every 0.05 s until the end of the day, and accepted
tasks never ran (LOST).
"""

import asyncio
from collections.abc import Iterator
from typing import Any, TypeVar

import attrs
import pytest

from cranberrycleat import events, logs
from cranberrycleat.standins.fleet import SimulatedWork, StandinFleet
from cranberrycleat.workflow.links import MISSED_ORDERS_SYNC_WAIT_MS, START_COPIES_S
from cranberrycleat.workflow.order_slots import MAX_ORDERS
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.ports import (
    OrderReply,
    StartOrder,
    Verdict,
    WorkerEntry,
    WorkerUnreachable,
)
from cranberrycleat.workflow.state import JobState
from tests.cell import cell, job, step, submit, until
from tests.fakes import run_async
from tests.http_cell import http_cell

T = TypeVar("T")
START_PATH = "/api/run-start"
STOP_PATH = "/api/run-stop"
TASKS_PER_WORKER = 20
DEAD_OWNERS = 3
"""Their connections, with those for syncs, leave hardly one free on each worker."""
RUN_LIMIT_S = 6.0
"""How long accepted tasks may take to run elsewhere: the time after which an
unanswered start is settled, two syncs, and a pause of 2 s."""
FAULT_S = 2.5
"""Longer than it takes to settle an unanswered start."""
MAX_STARTS_RESET = 40
"""Starts sent to a worker that takes none, within `RUN_LIMIT_S`: a few copies of each
of four tasks. Every 0.05 s would be 480."""
REFUSED_S = 5.0
MAX_REFUSED_EVENTS = 80
"""Events in `REFUSED_S` while the only worker takes no starts: four for each attempt,
four at a time, and the lines of four jobs that wait."""


def is_completed(owner: Owner, job_id: str) -> bool:
    """Return whether callers are told that a job is completed."""
    return owner.cluster_state.reported.get(job_id) is JobState.COMPLETED


@pytest.fixture(name="emitted")
def emitted_events() -> Iterator[list[Any]]:
    """Return the list of emitted events."""
    emitted: list[Any] = []
    logs.set_observer(emitted.append)
    yield emitted
    logs.set_observer(None)


def of_kind(emitted: list[Any], kind: type[T]) -> list[T]:
    """Return the events of a kind."""
    return [each for each in emitted if isinstance(each, kind)]


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
            refusing.reset_paths = {START_PATH}
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
            env.workers["w0"].lost_answers = {START_PATH}
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
            refusing.reset_paths = {START_PATH}
            await submit(owner, "a", job(step(2)))
            await until(lambda: refusing.connections > 3)
            await asyncio.sleep(START_COPIES_S)
            refusing.reset_paths = set()
            await until(lambda: is_completed(owner, "a"), RUN_LIMIT_S)
            assert not env.cell.fleet.faults

    run_async(run())


@attrs.define(kw_only=True, eq=False)
class RefusingFleet(StandinFleet):
    """Workers that leave some starts unanswered.

    Attributes:
        refused: How many.
        delay_s: How long each start takes.
        sent: The tasks of all starts.
    """

    refused: int = 0
    delay_s: float = 0.0
    sent: set[str] = attrs.field(factory=set)

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Refuse a start, or carry it out."""
        self.sent.add(order.task)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.refused:
            self.refused -= 1
            raise WorkerUnreachable("the connection was reset")
        return await StandinFleet.start(self, entry, order, limit_s=limit_s)


# Guards against work that is kept from a worker that has just come back: the time in
# which it was silent says nothing about whether it takes orders.
@pytest.mark.parametrize("refused", [1, 4])
def test_start_is_sent_again_to_worker_that_was_silent(refused: int) -> None:
    async def run() -> None:
        fleet = RefusingFleet(refused=refused)
        async with cell(workers=1, worker_lease_s=6.0, fleet=fleet) as env:
            owner = await env.own()
            worker = env.fleet.workers["w0"]
            await submit(owner, "a", job(step(1)))
            await until(lambda: fleet.refused == 0)
            worker.silent = True
            await asyncio.sleep(2 * START_COPIES_S)
            worker.silent = False
            await until(lambda: is_completed(owner, "a"))
            assert [each.attempt for each in fleet.starts] == [1]
            known = owner.cluster_state.fleet.workers["w0"]
            assert known.may_accept_work(env.clock.now())

    run_async(run())


# Guards against a gang that is stopped and started again (work thrown away) because a
# few answers of one worker were lost together.
@pytest.mark.parametrize("gang", [False, True], ids=["tasks", "gang"])
def test_lost_answers_give_up_no_planned_starts(gang: bool) -> None:
    async def run() -> None:
        fleet = RefusingFleet(refused=MAX_ORDERS, delay_s=0.02)
        fleet.work = lambda task, attempt: SimulatedWork(seconds=30.0)
        fleet.gang = lambda name: gang
        async with cell(workers=1, worker_lease_s=6.0, fleet=fleet) as env:
            owner = await env.own()
            await submit(owner, "a", job(step(28, processors=100, gang=gang)))
            await until(lambda: len(fleet.workers["w0"].runs) == 28)
            assert len(fleet.starts) == 28
            assert max(each.attempt for each in fleet.starts) <= 28

    run_async(run())


# Guards against a worker that takes no orders and is sent all starts planned for it.
def test_planned_starts_wait_while_orders_are_unanswered() -> None:
    async def run() -> None:
        fleet = RefusingFleet(refused=1_000_000, delay_s=0.02)
        async with cell(workers=1, worker_lease_s=6.0, fleet=fleet) as env:
            owner = await env.own()
            await submit(owner, "a", job(step(28, processors=100)))
            await asyncio.sleep(START_COPIES_S / 2)
            assert len(fleet.sent) <= 2 * MAX_ORDERS

    run_async(run())


# Guards against accepted tasks that never run (LOST) since all workers left starts
# unanswered for a while: afterwards, they are used in full.
@pytest.mark.parametrize("gang", [False, True], ids=["services", "gang"])
def test_workers_that_take_orders_again_are_used_in_full(gang: bool) -> None:
    async def run() -> None:
        fleet = RefusingFleet(refused=1_000_000)
        fleet.work = lambda task, attempt: SimulatedWork(
            seconds=0.5 if gang else 1000.0
        )
        fleet.gang = lambda name: gang
        async with cell(workers=2, worker_lease_s=6.0, fleet=fleet) as env:
            owner = await env.own()
            if gang:
                await submit(owner, "a", job(step(6, gang=True)))
            else:
                for name in "abcdef":
                    await submit(
                        owner, name, job(step(1, processors=100, service=True))
                    )
            await asyncio.sleep(FAULT_S)
            fleet.refused = 0
            if gang:
                await until(lambda: is_completed(owner, "a"))
            else:
                await until(lambda: len({each.task for each in fleet.starts}) == 6)
            assert not fleet.faults

    run_async(run())


# Guards against members of a gang that wait until they give up (GANG): while a start is
# to be settled, syncs are short even if the worker answers all other orders.
def test_syncs_are_short_while_a_start_is_to_be_settled() -> None:
    async def run() -> None:
        async with cell(workers=1, worker_lease_s=6.0) as env:
            owner = await env.own()
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=30.0)
            await submit(owner, "a", job(step(1)))
            worker = owner.cluster_state.fleet.workers["w0"]
            await until(lambda: any(p.running for p in worker.placements.values()))
            link, (placement,) = owner.links["w0"], worker.placements.values()
            assert link._wait_ms() > MISSED_ORDERS_SYNC_WAIT_MS
            placement.running, placement.fenced_by = False, 10**9
            assert link._wait_ms() == MISSED_ORDERS_SYNC_WAIT_MS

    run_async(run())


# Guards against an operator who can't tell for how long a worker took no orders.
def test_log_tells_when_worker_takes_orders_again(emitted: list[Any]) -> None:
    async def run() -> None:
        async with http_cell(workers=1, processors=4000) as env:
            env.cell.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.1)
            owner = await env.own("one")
            refusing = env.workers["w0"]
            refusing.reset_paths = {START_PATH}
            await submit(owner, "a", job(step(2)))
            await until(lambda: refusing.connections > 3)
            refusing.reset_paths = set()
            await until(lambda: is_completed(owner, "a"), RUN_LIMIT_S)

    run_async(run())
    (left,) = of_kind(emitted, events.WorkerOrdersUnanswered)
    (answered,) = of_kind(emitted, events.WorkerOrdersAnswered)
    assert left.worker == answered.worker == "w0"
    assert answered.missed >= 2 and answered.after_s > 0


# Guards against workers that former owners fill with idle connections (LOST).
def test_owner_closes_its_connections_when_its_ownership_ends() -> None:
    async def run() -> None:
        async with http_cell(workers=1, processors=4000) as env:
            env.cell.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.1)
            worker = env.workers["w0"]
            owner = await env.own("one")
            await submit(owner, "a", job(step(4)))
            await until(lambda: is_completed(owner, "a"))
            assert worker.open_connections > 1
            task = env.cell.tasks.pop()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await until(lambda: worker.open_connections == 0, 1.0)

    run_async(run())


# Guards against stops that wait behind a queue of starts to the same worker (UNASKED).
def test_stop_is_sent_before_starts_that_wait() -> None:
    async def run() -> None:
        async with http_cell(workers=1, processors=4000) as env:
            env.cell.fleet.work = lambda task, attempt: SimulatedWork(seconds=5.0)
            owner = await env.own("one")
            worker = env.workers["w0"]
            worker.answer_delay_s = 0.05
            await submit(owner, "a", job(step(1, processors=100)))
            await until(lambda: len(env.cell.fleet.starts) == 1)
            await submit(owner, "b", job(step(20, processors=100)))
            await until(lambda: worker.paths.count(START_PATH) > 1)
            await owner.cancel("a")
            await until(lambda: worker.paths.count(START_PATH) == 21)
            starts_before = worker.paths[: worker.paths.index(STOP_PATH)].count(
                START_PATH
            )
            assert starts_before < 21 - MAX_ORDERS

    run_async(run())


# Guards against logs that grow with each copy: 7,920 lines in 31 s were seen. Lines
# tell what changes; how many there are depends on attempts, not on copies.
def test_log_volume_is_bounded_while_worker_takes_no_starts(
    emitted: list[Any],
) -> None:
    resets: list[int] = []

    async def run() -> None:
        async with http_cell(workers=1, processors=4000) as env:
            owner = await env.own("one")
            refusing = env.workers["w0"]
            refusing.reset_paths = {START_PATH}
            for number in range(4):
                await submit(owner, f"j{number}", job(step(2)))
            await asyncio.sleep(REFUSED_S)
            resets.append(refusing.paths.count(START_PATH))

    run_async(run())
    unanswered = of_kind(emitted, events.TaskUnanswered)
    attempts = {(each.task, each.attempt) for each in unanswered}
    assert resets[0] >= 3 * len(attempts) > 3
    assert len(unanswered) == len(attempts)
    assert len(of_kind(emitted, events.TaskStartFenced)) <= len(attempts)
    assert len(of_kind(emitted, events.WorkerOrdersUnanswered)) == 1
    assert not of_kind(emitted, events.WorkerOrdersAnswered)
    assert len(emitted) <= MAX_REFUSED_EVENTS
