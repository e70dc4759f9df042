"""Tests starts that got no answer and are carried out by a later incarnation.

The failure: a worker leaves a start unanswered and carries it out seconds later. Its
incarnation has ended in the meantime, and the next one, which nobody has called yet,
knows neither that the attempt has ended nor that it was stopped. A task then runs after
it completed or at two places at a time, a worker is given more than its capacity, or a
workspace exceeds its quota. Each case carries the orders out within the time that the
platform's bound allows (`LATE_ORDER_S`) and checks the workers' record.
"""

import asyncio
from collections.abc import Callable

import attrs
import pytest

from cranberrycleat.amounts import Amounts
from cranberrycleat.standins.fleet import SimulatedWork, SimulatedWorker, StandinFleet
from cranberrycleat.workflow.access import Granted
from cranberrycleat.workflow.fleet import Liveness
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peering import SubmitRequest
from cranberrycleat.workflow.ports import (
    EndKind,
    OrderReply,
    PermitTiming,
    Queue,
    StartOrder,
    Verdict,
    WorkerEntry,
    WorkerUnreachable,
)
from cranberrycleat.workflow.state import JobState
from tests.cell import LATE_ORDER_S, Cell, cell, job, queue, step, submit, until
from tests.fakes import run_async

TASK_S = 0.05
PROMPT_S = 1.0
"""Longer than an end takes to be stored and acknowledged, shorter than the bound."""
CAPACITY = 4000
"""Thousandths of a processor on each worker of a cell."""


def set_run_time(env: Cell, seconds: float) -> None:
    """Make every task run for the given time."""
    env.fleet.work = lambda task, attempt: SimulatedWork(seconds=seconds)


def check_capacity(env: Cell, processors: int) -> None:
    """Have the fleet check its workers' capacity; all tasks have the same needs."""
    needs = Amounts(processors=processors, memory_mb=100)
    env.fleet.needs = lambda task: needs


def has_completed(owner: Owner, job_id: str) -> bool:
    """Return whether callers are told that a job is completed."""
    return owner.cluster_state.reported.get(job_id) is JobState.COMPLETED


def starts_of(env: Cell, task: str) -> int:
    """Return how often a task was started."""
    return sum(start.task == task for start in env.fleet.starts)


def add_workers(env: Cell, count: int) -> None:
    """Add workers whose births the platform reports."""
    for number in range(count):
        env.add_worker(f"w{number}", born_ms=1)


async def leave_unanswered(
    env: Cell, owner: Owner, job_id: str, *, copies: int = 1, processors: int = 1000
) -> str:
    """Leave the first starts of a job's only task unanswered; return its worker."""
    for worker in env.fleet.workers.values():
        worker.unanswered_starts = copies
    await submit(owner, job_id, job(step(1, processors=processors)))
    held = env.fleet.workers.values()
    await until(lambda: any(len(each.late) == copies for each in held))
    for worker in held:
        worker.unanswered_starts = 0
    return next(name for name, each in env.fleet.workers.items() if each.late)


def carry_out_late(env: Cell, worker: SimulatedWorker) -> None:
    """Carry out all orders that a worker has left unanswered."""
    for order in worker.late:
        env.fleet.carry_out(worker, order)
    worker.late = []


async def kill_owner(env: Cell) -> Owner:
    """Kill the owner; return the next one."""
    await env.close()
    env.tasks.clear()
    return await env.own("two")


def check_record(env: Cell) -> None:
    """Check that the workers' record shows no violation at all."""
    assert not env.fleet.faults and not env.fleet.late_copies


# Guards against a task that runs again after it completed (TWICE): its end must not be
# acknowledged while a later incarnation may still carry out a start of it.
@pytest.mark.parametrize("takeover", [False, True], ids=["one owner", "takeover"])
@pytest.mark.parametrize("incarnations", [1, 2])
@pytest.mark.parametrize("after_s", [0.0, 0.4, 1.0])
@pytest.mark.parametrize("copies", [1, 2])
def test_late_start_does_not_follow_acknowledged_end(
    copies: int, after_s: float, incarnations: int, takeover: bool
) -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            set_run_time(env, TASK_S)
            owner = await env.own()
            name = await leave_unanswered(env, owner, "a", copies=copies)
            await until(lambda: has_completed(owner, "a"), PROMPT_S)
            await asyncio.sleep(after_s)
            if takeover:
                owner = await kill_owner(env)
            for _ in range(incarnations):
                after = env.restart_worker(name)
            carry_out_late(env, after)
            await asyncio.sleep(0.3)
            check_record(env)
            await submit(owner, "b", job(step(2)))
            await until(lambda: has_completed(owner, "b"))
            check_record(env)

    run_async(run())


# Guards against a task that runs again after it completed (TWICE): the order is carried
# out after its worker has ended, at any moment within the bound.
@pytest.mark.parametrize("late_s", [0.1, 0.5, 0.9, 1.3, 1.7])
def test_late_start_within_bound_has_no_effect(late_s: float) -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 2)
            set_run_time(env, TASK_S)
            owner = await env.own()
            name = await leave_unanswered(env, owner, "a")
            sent_at = env.clock.now()
            await asyncio.sleep(late_s / 2)
            after = env.restart_worker(name)
            await asyncio.sleep(max(0.0, sent_at + late_s - env.clock.now()))
            carry_out_late(env, after)
            await until(lambda: has_completed(owner, "a"))
            check_record(env)

    run_async(run())


# Guards against ends that are never acknowledged: once the bound has passed, the worker
# may forget them.
def test_end_is_acknowledged_once_bound_has_passed() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            set_run_time(env, TASK_S)
            owner = await env.own()
            await leave_unanswered(env, owner, "a")
            sent_at = env.clock.now()
            worker = env.fleet.workers["w0"]
            await until(lambda: has_completed(owner, "a"), PROMPT_S)
            await until(lambda: not worker.ended, LATE_ORDER_S + PROMPT_S)
            assert env.clock.now() - sent_at >= LATE_ORDER_S - 0.1
            known = owner.cluster_state.fleet.newest["w0"]
            await until(lambda: known.free.processors == CAPACITY, PROMPT_S)

    run_async(run())


# Guards against task ends that a new owner never acknowledges.
def test_new_owner_acknowledges_ends_once_bound_has_passed() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            set_run_time(env, TASK_S)
            owner = await env.own()
            await leave_unanswered(env, owner, "a")
            await until(lambda: has_completed(owner, "a"), PROMPT_S)
            await kill_owner(env)
            worker = env.fleet.workers["w0"]
            await asyncio.sleep(PROMPT_S)
            assert worker.ended
            await until(lambda: not worker.ended, LATE_ORDER_S + PROMPT_S)

    run_async(run())


# Guards against status checks at the rate of the table's transactions: a worker whose
# ends are kept answers each of them at once.
def test_syncs_are_spaced_while_ends_are_kept() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            set_run_time(env, TASK_S)
            lists: list[float] = []
            owner = await env.own()
            await leave_unanswered(env, owner, "a")
            await until(lambda: has_completed(owner, "a"), PROMPT_S)
            env.fleet.on_event = lambda event: (
                lists.append(event.at) if event.what == "list" else None
            )
            for number in range(20):
                await submit(owner, f"b{number}", job(step(1)))
                await asyncio.sleep(0.03)
            spans = zip(lists, lists[1:], strict=False)
            assert lists and all(after - before >= 0.1 for before, after in spans)

    run_async(run())


async def settle_restart(env: Cell, owner: Owner, name: str) -> None:
    """Restart a worker and wait until its first reply has settled earlier attempts."""
    env.restart_worker(name)
    newest = owner.cluster_state.fleet.newest
    born_ms = env.fleet.workers[name].entry.born_ms
    await until(lambda: newest[name].entry.born_ms == born_ms)
    await until(lambda: newest[name].liveness is Liveness.LIVE)


async def expire_leases(env: Cell, owner: Owner, name: str) -> None:
    """Silence a worker until its attempts are given up."""
    env.fleet.workers[name].silent = True
    known = owner.cluster_state.fleet.newest[name]
    await until(lambda: not known.placements)


# Guards against two concurrent runs of one task (TWICE): a task whose attempt was given
# up must not be placed elsewhere while a later incarnation may start that attempt.
@pytest.mark.parametrize("takeover", [False, True], ids=["one owner", "takeover"])
@pytest.mark.parametrize("give_up", [settle_restart, expire_leases])
def test_late_start_does_not_run_beside_next_attempt(
    give_up: Callable[..., "asyncio.Future[None]"], takeover: bool
) -> None:
    async def run() -> None:
        async with cell(workers=0, worker_lease_s=0.3) as env:
            add_workers(env, 2)
            set_run_time(env, 1.0)
            owner = await env.own()
            name = await leave_unanswered(env, owner, "a")
            await give_up(env, owner, name)
            if takeover:
                await asyncio.sleep(0.1)
                owner = await kill_owner(env)
            await asyncio.sleep(0.3)
            after = env.restart_worker(name)
            after.silent = False
            carry_out_late(env, after)
            await until(lambda: has_completed(owner, "a"))
            check_record(env)

    run_async(run())


@attrs.define(kw_only=True, eq=False)
class StopLosingFleet(StandinFleet):
    """Carries out no stop and answers none."""

    async def stop(
        self, entry: WorkerEntry, task: str, attempt: int, fence: int
    ) -> OrderReply:
        """Lose a stop."""
        raise WorkerUnreachable("the order was lost")


# Guards against two concurrent runs of one task (TWICE): an attempt begun by a late
# start may outlast the bound, if the order to stop it is lost.
def test_task_is_not_placed_while_its_orphaned_attempt_runs() -> None:
    async def run() -> None:
        fleet = StopLosingFleet()
        async with cell(
            workers=0, worker_lease_s=0.3, late_order_s=1.2, fleet=fleet
        ) as env:
            add_workers(env, 2)
            set_run_time(env, 2.0)
            owner = await env.own()
            name = await leave_unanswered(env, owner, "a")
            await expire_leases(env, owner, name)
            after = env.restart_worker(name)
            after.silent = False
            carry_out_late(env, after)
            await until(lambda: has_completed(owner, "a"))
            assert starts_of(env, "a.0.0.0") == 1
            check_record(env)

    run_async(run())


# Guards against exceeding a worker's capacity (LIMIT): an incarnation that nobody has
# called may carry out several late starts, whose attempts had ended one after another.
def test_late_starts_do_not_exceed_capacity_together() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            set_run_time(env, TASK_S)
            check_capacity(env, 3000)
            owner = await env.own()
            await leave_unanswered(env, owner, "a", processors=3000)
            await until(lambda: has_completed(owner, "a"), PROMPT_S)
            worker = env.fleet.workers["w0"]
            worker.unanswered_starts = 1
            await submit(owner, "b", job(step(1, processors=3000)))
            await asyncio.sleep(0.5)
            after = env.restart_worker("w0")
            carry_out_late(env, after)
            check_record(env)
            await until(lambda: has_completed(owner, "b"))
            check_record(env)

    run_async(run())


# Guards against capacity that stays idle: work that was answered, and work beside which
# the late start fits, is not held back.
def test_late_start_reserves_only_what_next_incarnation_may_start() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            set_run_time(env, 1.0)
            check_capacity(env, 2000)
            owner = await env.own()
            await submit(owner, "b", job(step(1, processors=2000)))
            await until(lambda: len(env.fleet.starts) == 1)
            set_run_time(env, TASK_S)
            await leave_unanswered(env, owner, "a", processors=2000)
            await until(lambda: has_completed(owner, "a"), PROMPT_S)
            await submit(owner, "c", job(step(1, processors=2000)))
            await until(lambda: has_completed(owner, "c"), PROMPT_S)
            check_record(env)

    run_async(run())


# Guards against exceeding a step's limit per worker (ROUTE): an incarnation that nobody
# has called may start a task that had ended beside one that was placed after it.
def test_late_start_counts_towards_limit_per_worker() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            set_run_time(env, TASK_S)
            owner = await env.own()
            worker = env.fleet.workers["w0"]
            worker.unanswered_starts = 1
            spec = job(step(2, most_per_worker=1))
            await submit(owner, "a", spec)
            await until(lambda: starts_of(env, "a.0.0.0") == 1)
            worker.unanswered_starts = 1
            await asyncio.sleep(0.5)
            assert [late.task for late in worker.late] == ["a.0.0.0"]
            worker.unanswered_starts = 0
            await until(lambda: has_completed(owner, "a"))
            check_record(env)

    run_async(run())


# Guards against a job that is started beside its gang's next attempt (TWICE), and
# against gang members whose ends are acknowledged for a member that may start late.
def test_late_start_of_gang_member_has_no_effect() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 2)
            set_run_time(env, 0.6)
            env.fleet.gang = lambda step_name: True
            check_capacity(env, 3000)
            owner = await env.own()
            env.fleet.workers["w0"].unanswered_starts = 1
            await submit(owner, "a", job(step(2, processors=3000, gang=True)))
            await until(lambda: has_completed(owner, "a"), 2 * PROMPT_S)
            await asyncio.sleep(0.2)
            assert all(each.ended for each in env.fleet.workers.values())
            after = env.restart_worker("w0")
            carry_out_late(env, after)
            await asyncio.sleep(0.3)
            check_record(env)
            held = env.fleet.workers.values()
            await until(lambda: not any(each.ended for each in held))

    run_async(run())


# Guards against a task that runs more often than its queue allows (BUDGET): a late
# start of an attempt that failed, carried out when its job has failed.
def test_late_start_does_not_exceed_max_attempts() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            env.fleet.work = lambda task, attempt: SimulatedWork(
                seconds=TASK_S, how=EndKind.FAILED
            )
            owner = await env.own()
            worker = env.fleet.workers["w0"]
            worker.unanswered_starts = 1
            await submit(owner, "a", job(step(1)), queue(max_attempts=1))
            reported = owner.cluster_state.reported
            await until(lambda: reported.get("a") is JobState.FAILED, PROMPT_S)
            await asyncio.sleep(0.5)
            assert [end.task for end in worker.ended] == ["a.0.0.0"]
            await until(lambda: not worker.ended, LATE_ORDER_S + PROMPT_S)

    run_async(run())


async def submit_to_workspace(owner: Owner, job_id: str, processors: int) -> None:
    """Submit a job with one task to the workspace `one`."""
    req = SubmitRequest(
        job_id=job_id,
        queue=queue(),
        spec=job(step(1, processors=processors)),
        access=Granted(workspace="one"),
    )
    assert (await owner.submit(req)).accepted


# Guards against exceeding a workspace's quota (QUOTA): a late start may begin beside
# what the workspace runs elsewhere.
def test_late_start_does_not_exceed_quota() -> None:
    async def run() -> None:
        quotas = {"one": Amounts(processors=3000)}
        async with cell(workers=0, quotas=lambda: quotas) as env:
            # Too small for both jobs, so that they run on different workers.
            for name in ("w0", "w1"):
                env.add_worker(name, born_ms=1, processors=3000)
            set_run_time(env, TASK_S)
            check_capacity(env, 2000)
            env.fleet.workspace = lambda task: "one"
            env.fleet.over_quota = lambda workspace, running: (
                f"{workspace} exceeds its quota" if len(running) > 1 else ""
            )
            owner = await env.own()
            for worker in env.fleet.workers.values():
                worker.unanswered_starts = 1
            await submit_to_workspace(owner, "a", 2000)
            workers = env.fleet.workers
            await until(lambda: any(each.late for each in workers.values()))
            for worker in workers.values():
                worker.unanswered_starts = 0
            name = next(name for name, each in workers.items() if each.late)
            await until(lambda: has_completed(owner, "a"), PROMPT_S)
            set_run_time(env, 1.0)
            await submit_to_workspace(owner, "b", 2000)
            await asyncio.sleep(0.5)
            after = env.restart_worker(name)
            carry_out_late(env, after)
            await until(lambda: has_completed(owner, "b"))
            check_record(env)

    run_async(run())


PERMITS = PermitTiming(decide_s=0.0, each_s=0.0, valid_s=10.0)


# Guards against needless waiting: where a permit or the worker's identity ties a start
# to one incarnation, ends are acknowledged at once and nothing stays reserved.
@pytest.mark.parametrize(
    ("births", "at"),
    [(True, queue(permits=PERMITS)), (False, queue())],
    ids=["permits", "no births"],
)
def test_start_tied_to_one_incarnation_is_not_waited_for(
    births: bool, at: Queue
) -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            env.add_worker("w0", born_ms=int(births))
            set_run_time(env, TASK_S)
            owner = await env.own()
            worker = env.fleet.workers["w0"]
            worker.unanswered_starts = 1
            await submit(owner, "a", job(step(1)), at)
            await until(lambda: has_completed(owner, "a"))
            assert worker.late
            await until(lambda: not worker.ended, PROMPT_S)
            assert not owner.cluster_state.late_starts.entries
            assert owner.cluster_state.fleet.newest["w0"].free.processors == CAPACITY

    run_async(run())


# Guards against needless waiting: an answered start cannot be carried out again.
def test_answered_start_is_not_waited_for() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            set_run_time(env, 0.5)
            owner = await env.own()
            await submit(owner, "a", job(step(2)))
            await until(lambda: len(env.fleet.starts) == 2)
            known = owner.cluster_state.fleet.newest["w0"]
            await until(lambda: known.startable.processors == 0, PROMPT_S)
            assert not owner.cluster_state.late_starts.entries
            await until(lambda: has_completed(owner, "a"))
            await until(lambda: not env.fleet.workers["w0"].ended, PROMPT_S)

    run_async(run())


@attrs.define(kw_only=True, eq=False)
class UnconnectedFleet(StandinFleet):
    """Refuses connections for starts, for a number of times."""

    refused_connections: int = 1

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Carry out a start, unless the connection is refused."""
        if self.refused_connections:
            self.refused_connections -= 1
            raise WorkerUnreachable("the connection was refused", sent=False)
        return await StandinFleet.start(self, entry, order, limit_s=limit_s)


# Guards against needless waiting: a start that was not sent cannot be carried out.
def test_start_that_was_not_sent_is_not_waited_for() -> None:
    async def run() -> None:
        async with cell(workers=0, fleet=UnconnectedFleet()) as env:
            add_workers(env, 1)
            set_run_time(env, TASK_S)
            owner = await env.own()
            await submit(owner, "a", job(step(1)))
            await until(lambda: has_completed(owner, "a"))
            await until(lambda: not env.fleet.workers["w0"].ended, PROMPT_S)
            assert not owner.cluster_state.late_starts.entries

    run_async(run())


# Guards against needless waiting: a worker with another identity refuses orders for the
# previous one, so that its task may be placed at once.
def test_task_is_placed_again_when_another_identity_answers() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            set_run_time(env, TASK_S)
            owner = await env.own()
            worker = env.fleet.workers["w0"]
            worker.unanswered_starts = 100
            await submit(owner, "a", job(step(1)))
            await until(lambda: bool(worker.late))
            env.add_worker("w1", born_ms=1)
            env.fleet.replace_worker("w0", attrs.evolve(worker.entry, worker="w2"))
            env.entries["w2"] = env.fleet.workers["w2"].entry
            env.list_worker("w2")
            env.unlist_worker("w0")
            await until(lambda: has_completed(owner, "a"), PROMPT_S)
            check_record(env)

    run_async(run())


# Guards against a task that runs again after it completed (TWICE) and against exceeding
# a worker's capacity (LIMIT): an incarnation that received any later order must refuse
# a late start, although its restart was not detected yet.
def test_late_start_is_refused_by_incarnation_that_was_called_since() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            set_run_time(env, TASK_S)
            owner = await env.own()
            await leave_unanswered(env, owner, "a")
            await until(lambda: has_completed(owner, "a"))
            first = env.fleet.workers["w0"]
            (late,) = first.late
            assert env.fleet.carry_out(first, late).verdict is Verdict.STALE_EPOCH
            fence = owner.links[first.entry.incarnation].fence
            await env.close()
            after = env.fleet.restart("w0")
            await env.fleet.sync(
                after.entry, fence=fence, ended_upto=0, lease_end_ms=None, wait_ms=0
            )
            assert env.fleet.carry_out(after, late).verdict is Verdict.STALE_EPOCH
            check_record(env)

    run_async(run())


@attrs.define(kw_only=True, eq=False)
class OvertakingFleet(StandinFleet):
    """Has a worker receive a higher fence of the same owner before the first order."""

    owner: "asyncio.Future[Owner]" = attrs.field(factory=asyncio.Future)
    overtaken: list[str] = attrs.field(factory=list)

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Carry out a start, after a later order if it is the first."""
        self._overtake("start", entry)
        return await StandinFleet.start(self, entry, order, limit_s=limit_s)

    async def stop(
        self, entry: WorkerEntry, task: str, attempt: int, fence: int
    ) -> OrderReply:
        """Carry out a stop, after a later order if it is the first."""
        self._overtake("stop", entry)
        return await StandinFleet.stop(self, entry, task, attempt, fence)

    def _overtake(self, what: str, entry: WorkerEntry) -> None:
        if what in self.overtaken:
            return
        self.overtaken.append(what)
        owner = self.owner.result()
        link = owner.links[entry.incarnation]
        owner.cluster_state.fleet.outdate_orders(link.worker)
        self.workers[entry.worker].fence = link.fence


# Guards against an owner that deposes itself, and against lost orders: an order refused
# for a higher fence of the same owner had no effect and is sent again.
def test_order_overtaken_by_own_fence_is_resent() -> None:
    async def run() -> None:
        fleet = OvertakingFleet()
        async with cell(workers=1, fleet=fleet) as env:
            set_run_time(env, 30.0)
            owner = await env.own()
            fleet.owner.set_result(owner)
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(fleet.starts) == 1)
            await owner.cancel("a")
            await until(lambda: not fleet.workers["w0"].runs, limit_s=0.6)
            assert fleet.overtaken == ["start", "stop"]
            assert owner.lease.is_valid() and owner.epoch == 1

    run_async(run())


@attrs.define(kw_only=True, eq=False)
class RestartingFleet(StandinFleet):
    """Restarts a worker, which answers its owner, while the first start is sent."""

    env: "asyncio.Future[tuple[Cell, Owner]]" = attrs.field(factory=asyncio.Future)
    restarted: bool = False

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Carry out a start; the first one reaches the next incarnation."""
        if not self.restarted:
            self.restarted = True
            env, owner = self.env.result()
            after = env.restart_worker(entry.worker)
            newest = owner.cluster_state.fleet.newest
            await until(lambda: newest[entry.worker].name == after.entry.incarnation)
            await until(lambda: after.fence > order.fence)
        return await StandinFleet.start(self, entry, order, limit_s=limit_s)


# Guards against owners that depose themselves: the next incarnation's refusal of a
# lower fence does not show a later owner.
def test_start_refused_by_next_incarnation_does_not_depose_owner() -> None:
    async def run() -> None:
        fleet = RestartingFleet()
        async with cell(workers=0, fleet=fleet) as env:
            env.add_worker("w0", born_ms=1)
            owner = await env.own()
            fleet.env.set_result((env, owner))
            await submit(owner, "a", job(step(1)))
            await until(lambda: has_completed(owner, "a"))
            assert fleet.restarted
            assert owner.lease.is_valid() and owner.epoch == 1

    run_async(run())


# Guards against task ends that are discarded before they are received (TWICE): a sync
# that got no answer is carried out late, by an incarnation that has received an order.
def test_late_sync_is_refused_by_incarnation_that_was_called_since() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            add_workers(env, 1)
            set_run_time(env, TASK_S)
            owner = await env.own()
            name = env.fleet.workers["w0"].entry.incarnation
            fence = owner.links[name].fence
            known = owner.cluster_state.fleet.workers[name]
            env.fleet.workers["w0"].silent = True
            await until(lambda: known.liveness is Liveness.SILENT)
            await env.close()
            after = env.fleet.restart("w0")
            after.silent = False
            await env.fleet.sync(
                after.entry,
                fence=owner.links[name].fence,
                ended_upto=0,
                lease_end_ms=None,
                wait_ms=0,
            )
            late = await env.fleet.sync(
                after.entry, fence=fence, ended_upto=5, lease_end_ms=None, wait_ms=0
            )
            assert isinstance(late, OrderReply)
            assert late.verdict is Verdict.STALE_EPOCH

    run_async(run())
