"""Tests what late starts leave behind: after a takeover, on silent workers, over time.

They extend `test_late_starts` by cases in which a late start, or what is reserved for
it, breaks a rule or holds work up for too long. Most run on a cluster state alone.
"""

import asyncio

import attrs
import pytest

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.standins.fleet import SimulatedWork, StandinFleet
from cranberrycleat.table import Row
from cranberrycleat.workflow import incarnations
from cranberrycleat.workflow.batches import note_stored, take_batch
from cranberrycleat.workflow.cluster_state import MAX_ENDS_PER_SYNC, ClusterState
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.fleet import FleetWorker, Liveness, LossCause, Placement
from cranberrycleat.workflow.ports import (
    EndedTask,
    EndKind,
    OrderReply,
    RunningTask,
    SyncReply,
    WorkerEntry,
    WorkerUnreachable,
)
from cranberrycleat.workflow.state import JobState
from cranberrycleat.workflow.takeover import StoredRows, restore
from tests.cell import LATE_ORDER_S, cell, entry, job, queue, step, submit, until
from tests.fakes import run_async
from tests.test_late_starts import (
    add_workers,
    carry_out_late,
    check_capacity,
    check_record,
    expire_leases,
    has_completed,
    kill_owner,
    leave_unanswered,
    set_run_time,
    starts_of,
)
from tests.test_service_preemption import select_victims

BOUND_S = 12.0
NOW_S = 1_000_000.0
DONE = EndKind.DONE


@attrs.define(kw_only=True, eq=False)
class Board:
    """A cluster state with a clock, and the rows that it stored."""

    time: float = 100.0
    state: ClusterState = attrs.field(init=False)
    rows: dict[str, str] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.state = self._new_state()

    def _new_state(self) -> ClusterState:
        state = ClusterState(
            time_of_day=lambda: NOW_S + self.time, now=lambda: self.time
        )
        state.late_starts.bound_s = BOUND_S
        return state

    def add(
        self, name: str, *, born_ms: int = 1, processors: int = 4000
    ) -> FleetWorker:
        """Add a live worker whose births the platform reports."""
        found = entry(name, born_ms=born_ms)
        worker = FleetWorker(entry=found, liveness=Liveness.LIVE)
        self.state.fleet.add(worker)
        return worker

    def plan(self) -> None:
        """Run one planning round and store what it placed."""
        Planner(cluster_state=self.state).plan(
            now=self.time, now_s=self.state.time_of_day()
        )
        self.store()

    def store(self) -> None:
        """Store all dirty jobs."""
        while self.state.dirty:
            batch = take_batch(self.state)
            self.rows.update({put.key: put.value for put in batch.puts})
            note_stored(self.state, batch)

    def leave_unanswered(self, worker: FleetWorker, placement: Placement) -> None:
        """Record a start without an answer."""
        placement.ordered = True
        self.state.start_sent(worker, placement, 0.5)

    def hear(
        self,
        worker: FleetWorker,
        *,
        running: tuple[tuple[str, int], ...] = (),
        ended: tuple[EndedTask, ...] = (),
    ) -> None:
        """Apply a worker's lists."""
        self.time += 0.1
        worker.liveness = Liveness.LIVE
        reply = SyncReply(
            worker_time_ms=round(self.time * 1000),
            running=tuple(
                RunningTask(task=task, attempt=attempt, saved="", percent=1.0)
                for task, attempt in running
            ),
            ended=ended,
            born_ms=worker.entry.born_ms,
        )
        incarnations.reconcile(self.state, worker, reply, self.time)
        self.state.sync(worker, reply, sent_at=self.time, now=self.time)

    def restart(self, worker: FleetWorker) -> FleetWorker:
        """Replace a worker's incarnation; return the next one, live."""
        next_entry = attrs.evolve(worker.entry, born_ms=worker.entry.born_ms + 1)
        after = incarnations.replace_incarnation(
            self.state, worker, next_entry, self.time
        )
        after.liveness = Liveness.LIVE
        return after

    def take_over(self, *workers: tuple[str, int]) -> list[FleetWorker]:
        """Replace the owner; return the given workers as the next one knows them."""
        self.state = self._new_state()
        found = [self.add(name, born_ms=born_ms) for name, born_ms in workers]
        jobs = tuple(
            Row(key=key, value=value, version=1) for key, value in self.rows.items()
        )
        restore(self.state, StoredRows(specs=(), jobs=jobs, inbox=()))
        self.state.adopt(self.time)
        return found

    def check_nothing_left(self) -> None:
        """Check that nothing is reserved, charged or recorded any more."""
        self.time += BOUND_S + 1
        self.state.expire_late_starts()
        assert not self.state.late_starts.entries
        assert not self.state.orphaned
        assert not self.state.quotas.charges
        for worker in self.state.fleet.workers.values():
            assert worker.used == NOTHING
            assert worker.startable == NOTHING
            assert worker.reserved_late == NOTHING
            assert worker.free == worker.entry.capacity


def only(worker: FleetWorker) -> Placement:
    """Return the only placement on a worker."""
    (placement,) = worker.placements.values()
    return placement


def end(number: int, task: str, how: EndKind = DONE, attempt: int = 1) -> EndedTask:
    """Return an end."""
    return EndedTask(number=number, task=task, attempt=attempt, how=how, saved="")


# Guards against two concurrent runs of one task (TWICE): a late start that a worker out
# of reach has carried out runs on after the bound, for as long as its lease.
def test_late_start_on_silent_worker_does_not_outlast_wait() -> None:
    async def run() -> None:
        async with cell(workers=0, worker_lease_s=0.3) as env:
            add_workers(env, 2)
            set_run_time(env, 3.0)
            owner = await env.own()
            name = await leave_unanswered(env, owner, "a")
            sent_at = env.clock.now()
            await expire_leases(env, owner, name)
            after = env.restart_worker(name)
            assert after.silent
            await asyncio.sleep(sent_at + LATE_ORDER_S - 0.5 - env.clock.now())
            carry_out_late(env, after)
            await until(lambda: starts_of(env, "a.0.0.0") == 2, 15.0)
            check_record(env)

    run_async(run())


# Guards against two concurrent runs of one task (TWICE): the next incarnation, of which
# nobody knows, carries a start out just before the bound and does not answer.
def test_late_start_in_unknown_incarnation_does_not_outlast_wait() -> None:
    async def run() -> None:
        async with cell(workers=0, worker_lease_s=0.3) as env:
            add_workers(env, 2)
            set_run_time(env, 3.0)
            owner = await env.own()
            name = await leave_unanswered(env, owner, "a")
            sent_at = env.clock.now()
            await expire_leases(env, owner, name)
            after = env.fleet.restart(name)
            await asyncio.sleep(sent_at + LATE_ORDER_S - 0.5 - env.clock.now())
            carry_out_late(env, after)
            await until(lambda: starts_of(env, "a.0.0.0") == 2, 15.0)
            check_record(env)

    run_async(run())


# Guards against exceeding a worker's capacity (LIMIT): the next incarnation is smaller
# than the one that was asked.
def test_late_start_fits_into_smaller_incarnation() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            set_run_time(env, 0.05)
            check_capacity(env, 3000)
            owner = await env.own()
            name = await leave_unanswered(env, owner, "a", processors=3000)
            after = env.fleet.restart(name)
            smaller = Amounts(processors=1000, memory_mb=4000)
            after.entry = attrs.evolve(after.entry, capacity=smaller)
            carry_out_late(env, after)
            check_record(env)

    run_async(run())


# Guards against a task that runs more often than its queue allows (BUDGET): a late
# start of an attempt that was given up is heard to have failed.
def test_failure_of_late_start_counts_as_attempt() -> None:
    board = Board()
    worker = board.add("w0")
    board.state.accept("a", queue(max_attempts=1), job(step(1)))
    board.plan()
    board.leave_unanswered(worker, only(worker))
    board.state.give_up_all(worker, LossCause.SILENT)
    after = board.restart(worker)
    board.hear(after, running=(("a.0.0.0", 1),))
    board.hear(after, ended=(end(1, "a.0.0.0", EndKind.FAILED),))
    assert board.state.jobs["a"].verdict is JobState.FAILED


@attrs.define(kw_only=True, eq=False)
class HangingFleet(StandinFleet):
    """Its syncs can be made to hang, as where a crashed host resets no connection."""

    hangs: bool = False

    async def sync(
        self,
        entry: WorkerEntry,
        *,
        fence: int,
        ended_upto: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> SyncReply | OrderReply:
        """Return both lists, or nothing for a while."""
        if self.hangs:
            await asyncio.sleep(1.0)
            raise WorkerUnreachable("no answer")
        return await StandinFleet.sync(
            self,
            entry,
            fence=fence,
            ended_upto=ended_upto,
            lease_end_ms=lease_end_ms,
            wait_ms=wait_ms,
        )


# Guards against exceeding a worker's capacity (LIMIT): an answered start may have been
# carried out by the next incarnation already, beside late starts.
def test_late_start_fits_beside_starts_answered_by_unnoticed_incarnation() -> None:
    async def run() -> None:
        fleet = HangingFleet()
        async with cell(workers=0, fleet=fleet) as env:
            add_workers(env, 1)
            set_run_time(env, 0.05)
            check_capacity(env, 2000)
            owner = await env.own()
            name = await leave_unanswered(env, owner, "a", processors=2000)
            await until(lambda: has_completed(owner, "a"), 1.0)
            fleet.hangs = True
            await asyncio.sleep(0.25)
            set_run_time(env, 3.0)
            carry_out_late(env, env.fleet.restart(name))
            for job_id in ("b", "c"):
                await submit(owner, job_id, job(step(1, processors=2000)))
            await asyncio.sleep(0.5)
            check_record(env)

    run_async(run())


# Guards against a task that is never placed again, and resources that are never free:
# a row must not list an attempt both as running and as one that may start late.
def test_orphaned_attempt_is_adopted_once() -> None:
    board = Board()
    worker = board.add("w0")
    board.state.accept("a", queue(max_attempts=5), job(step(1)))
    board.plan()
    board.leave_unanswered(worker, only(worker))
    board.state.give_up_all(worker, LossCause.SILENT)
    after = board.restart(worker)
    board.hear(after, running=(("a.0.0.0", 1),))
    board.state.dirty["a"] = board.state.jobs["a"]
    board.store()
    (found,) = board.take_over(("w0", after.entry.born_ms))
    board.hear(found, ended=(end(1, "a.0.0.0", EndKind.STOPPED),))
    board.time += BOUND_S + 1
    board.hear(found)
    board.state.expire_late_starts()
    assert found.used == NOTHING
    board.plan()
    assert found.placements


# Guards against exceeding a worker's capacity (LIMIT): what a late start may take is
# known to the row, so the next owner reserves it as well.
def test_next_owner_reserves_what_late_start_may_take() -> None:
    board = Board()
    worker = board.add("w0")
    board.state.accept("a", queue(), job(step(1, processors=3000)))
    board.plan()
    board.leave_unanswered(worker, only(worker))
    board.hear(worker, ended=(end(1, "a.0.0.0"),))
    board.store()
    assert worker.free.processors == 1000
    (found,) = board.take_over(("w0", 1))
    board.hear(found)
    assert found.free.processors == 1000


# Guards against a gang that is placed while a member may start late (TWICE, GANG).
def test_next_owner_does_not_place_gang_whose_member_may_start_late() -> None:
    board = Board()
    worker = board.add("w0")
    spec = job(step(2, gang=True))
    board.state.accept("a", queue(max_attempts=5), spec)
    board.plan()
    for each in list(worker.placements.values()):
        board.leave_unanswered(worker, each)
    board.state.give_up_all(worker, LossCause.SILENT)
    board.store()
    board.plan()
    assert not worker.placements
    (found,) = board.take_over(("w0", 1))
    board.hear(found)
    assert not found.placements
    board.plan()
    assert not found.placements


# Guards against two concurrent runs of one task (TWICE): the row of an attempt whose
# worker is no longer listed must still tell that it may start late.
def test_next_owner_knows_late_start_of_removed_worker() -> None:
    board = Board()
    worker = board.add("w0")
    board.state.accept("a", queue(max_attempts=5), job(step(1)))
    board.plan()
    board.leave_unanswered(worker, only(worker))
    # As `Roster.check` does once an unlisted worker's leases are over.
    board.state.give_up_all(worker, LossCause.SILENT)
    board.state.fleet.remove(worker)
    board.store()
    board.add("w1")
    board.plan()
    assert not board.state.fleet.workers["w1@1"].placements
    (other,) = board.take_over(("w1", 1))
    for each in list(board.state.fleet.workers.values()):
        board.state.give_up_all(each, LossCause.SILENT)
    board.plan()
    assert not other.placements


# Guards against two concurrent runs of one task (TWICE) and exceeding a worker's
# capacity (LIMIT): the previous owner may have been killed while a start was on its
# way, so that no worker lists it yet.
def test_next_owner_waits_for_start_that_no_worker_lists() -> None:
    board = Board()
    board.add("w0")
    board.state.accept("a", queue(max_attempts=5), job(step(1)))
    board.plan()
    workers = board.take_over(("w0", 1), ("w1", 1))
    for each in workers:
        board.hear(each)
    board.plan()
    assert not any(each.placements for each in workers)
    assert [each.free.processors for each in workers] == [3000, 4000]
    board.time += BOUND_S
    for each in workers:
        board.hear(each)
    board.state.expire_late_starts()
    board.plan()
    assert sum(len(each.placements) for each in workers) == 1


# Guards against preemption in vain: stopping work does not free what a late start
# may take, so the victims would be stopped again and again.
def test_nothing_is_preempted_where_late_start_reserves() -> None:
    board = Board()
    worker = board.add("w0")
    board.state.accept("a", queue(), job(step(1, processors=3000)))
    board.plan()
    board.leave_unanswered(worker, only(worker))
    board.hear(worker, ended=(end(1, "a.0.0.0"),))
    board.state.accept("b", queue(), job(step(1, processors=1000)))
    board.plan()
    running = only(worker)
    board.state.start_sent(worker, running, 0.5)
    board.state.start_settled(worker, running, float("-inf"))
    running.began(board.time)
    board.state.update_startable(worker, running)
    victims = select_victims(Amounts(processors=2000, memory_mb=100), 1, [worker])
    for each in list(worker.placements.values()):
        if each.task in victims:
            board.state.give_up(worker, each, "stopped")
    room = worker.free.processors
    assert not victims or room >= 2000, f"stopped {len(victims)}, free {room}"


# Guards against a service member that stays away (LOST): it is owed within 6 s + 3 s of
# its last run, calm or not, and a takeover must not hold it back for the bound.
@pytest.mark.parametrize("born_ms", [0, 1])
def test_service_member_is_restarted_promptly_after_takeover(born_ms: int) -> None:
    async def run() -> None:
        async with cell(workers=0, late_order_s=6.0) as env:
            for name in ("w0", "w1"):
                env.add_worker(name, born_ms=born_ms)
            env.fleet.work = lambda task, attempt: SimulatedWork(
                seconds=2.0 if attempt == 1 else 60.0, how=EndKind.FAILED
            )
            owner = await env.own()
            await submit(owner, "s", job(step(1, service=True)))
            await until(lambda: starts_of(env, "s.0.0.0") == 1)
            await kill_owner(env)
            await until(lambda: starts_of(env, "s.0.0.0") == 2, 4.0)

    run_async(run())


@attrs.define(kw_only=True, eq=False)
class PagingFleet(StandinFleet):
    """Returns at most 500 ends at a time, as the platform's workers do."""

    async def sync(
        self,
        entry: WorkerEntry,
        *,
        fence: int,
        ended_upto: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> SyncReply | OrderReply:
        """Return both lists, the oldest ends first."""
        reply = await StandinFleet.sync(
            self,
            entry,
            fence=fence,
            ended_upto=ended_upto,
            lease_end_ms=lease_end_ms,
            wait_ms=wait_ms,
        )
        if isinstance(reply, OrderReply):
            return reply
        return attrs.evolve(reply, ended=reply.ended[:MAX_ENDS_PER_SYNC])


# Guards against a worker whose ends are no longer heard: it returns the oldest 500, and
# one kept end keeps all after it.
@pytest.mark.parametrize("unanswered", [False, True])
def test_kept_end_does_not_hide_later_ends(unanswered: bool) -> None:
    async def run() -> None:
        async with cell(workers=0, fleet=PagingFleet(), late_order_s=8.0) as env:
            env.add_worker("w0", born_ms=1, processors=400_000)
            set_run_time(env, 0.01)
            owner = await env.own()
            if unanswered:
                await leave_unanswered(env, owner, "a")
                await until(lambda: has_completed(owner, "a"), 1.0)
            small = step(MAX_ENDS_PER_SYNC + 20, processors=1)
            spec = attrs.evolve(small, needs=Amounts(processors=1))
            await submit(owner, "b", job(spec))
            await until(lambda: has_completed(owner, "b"), 5.0)

    run_async(run())
