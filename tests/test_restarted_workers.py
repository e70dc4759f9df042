"""Tests workers that restart under the same identity.

The failure: two tasks were started again after a run had completed and its end had been
acknowledged. Eight workers crashed and were back 0.6 s later under the same identities;
task ends they reported from then on were never received. The cause: the owner
identified a worker by its identity alone and, using end numbers of the previous
incarnation, acknowledged ends of the next one that it had not received. The evidence:
the workers' records, and attempts that were in neither list 1.5 s after they had ended.
"""

import asyncio

import attrs
import pytest

from cranberrycleat.amounts import Amounts
from cranberrycleat.standins.fleet import SimulatedWork, StandinFleet
from cranberrycleat.workflow import incarnations
from cranberrycleat.workflow.batches import note_stored, take_batch
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.fleet import FleetWorker, Liveness
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.ports import (
    OrderReply,
    StartOrder,
    SyncReply,
    Verdict,
    WorkerEntry,
)
from cranberrycleat.workflow.state import JobState
from tests.cell import Cell, cell, entry, job, queue, step, submit, until
from tests.fakes import run_async

ACKNOWLEDGED_ENDS = 5
"""Number of task ends of the first incarnation that are stored and acknowledged."""
TASK_S = 0.05


def set_run_time(env: Cell, seconds: float) -> None:
    """Make every task run for the given time."""
    env.fleet.work = lambda task, attempt: SimulatedWork(seconds=seconds)


def has_completed(owner: Owner, job_id: str) -> bool:
    """Return whether callers are told that a job is completed."""
    return owner.cluster_state.reported.get(job_id) is JobState.COMPLETED


async def run_and_acknowledge_tasks(env: Cell, owner: Owner) -> None:
    """Run tasks on the only worker until the owner has acknowledged all their ends."""
    set_run_time(env, TASK_S)
    await submit(owner, "first", job(step(ACKNOWLEDGED_ENDS, processors=500)))
    await until(lambda: has_completed(owner, "first"))
    await until(lambda: not env.fleet.workers["w0"].ended)


def starts_of(env: Cell, task: str) -> int:
    """Return how often a task was started."""
    return sum(start.task == task for start in env.fleet.starts)


# Guards against a task that runs again after it completed (TWICE): end numbers of the
# previous incarnation must not acknowledge ends of the next one.
def test_task_ends_after_restart_are_processed() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            owner = await env.own()
            await run_and_acknowledge_tasks(env, owner)
            env.restart_worker("w0")
            await submit(owner, "a", job(step(2)))
            await until(lambda: has_completed(owner, "a"))
            assert not env.fleet.faults
            assert [starts_of(env, f"a.0.0.{n}") for n in range(2)] == [1, 1]

    run_async(run())


# Guards against task ends that a restarted worker discards before reporting them
# (TWICE): a call in flight to the previous incarnation must not acknowledge ends of the
# next one.
def test_in_flight_acknowledgement_does_not_apply_to_later_incarnation() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            owner = await env.own()
            await run_and_acknowledge_tasks(env, owner)
            # The table is slow, so the owner sends no sync meanwhile.
            set_run_time(env, 0.01)
            env.table.faults.slow_s = 0.4
            await submit(owner, "a", job(step(1)))
            await until(lambda: starts_of(env, "a.0.0.0") == 1)
            await until(lambda: bool(env.fleet.workers["w0"].ended))
            env.restart_worker("w0")
            await asyncio.sleep(0.05)
            env.table.faults.slow_s = 0.0
            await until(lambda: has_completed(owner, "a"))
            await submit(owner, "b", job(step(2)))
            await until(lambda: has_completed(owner, "b"))
            assert not env.fleet.faults

    run_async(run())


# Guards against two concurrent runs of one task (TWICE): a start that one incarnation
# left unanswered may be carried out by the next.
@pytest.mark.parametrize("late_s", [0.0, 0.1, 0.6], ids=lambda each: f"{each} s late")
def test_late_start_in_next_incarnation_does_not_run_twice(
    late_s: float,
) -> None:
    async def run() -> None:
        async with cell(workers=3) as env:
            set_run_time(env, 0.6)
            owner = await env.own()
            for worker in env.fleet.workers.values():
                worker.unanswered_starts = 1
            await submit(owner, "a", job(step(1)))
            await until(lambda: any(w.late for w in env.fleet.workers.values()))
            name = next(w for w, each in env.fleet.workers.items() if each.late)
            after = env.restart_worker(name)
            await asyncio.sleep(late_s)
            for order in after.late:
                env.fleet.carry_out(after, order)
            await until(lambda: has_completed(owner, "a"))
            await asyncio.sleep(0.1)
            assert not env.fleet.faults

    run_async(run())


# Guards against work that a new owner starts a second time (TWICE) or never restarts
# (LOST): what an earlier owner placed is recorded under the incarnation of that time.
@pytest.mark.parametrize(
    "down", [True, False], ids=["while there is no owner", "before"]
)
def test_new_owner_takes_over_restarted_worker(down: bool) -> None:
    async def run() -> None:
        async with cell(workers=2) as env:
            set_run_time(env, 0.4)
            owner = await env.own()
            await submit(owner, "a", job(step(4, processors=2000)))
            await until(lambda: len(env.fleet.starts) == 4)
            if down:
                await env.close()
                env.tasks.clear()
            for name in ("w0", "w1"):
                env.restart_worker(name)
            await asyncio.sleep(0.05)
            await env.close()
            env.tasks.clear()
            again = await env.own("two")
            await until(lambda: has_completed(again, "a"))
            assert not env.fleet.faults

    run_async(run())


# Guards against workers that are never used again (LOST): the clock of a restarted
# worker is behind that of its previous incarnation.
def test_restarted_worker_is_used_although_its_clock_is_behind() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            set_run_time(env, TASK_S)
            owner = await env.own()
            await submit(owner, "a", job(step(2)))
            await until(lambda: has_completed(owner, "a"))
            env.fleet.workers["w0"].unanswered_starts = 1
            await submit(owner, "b", job(step(2)))
            await until(lambda: bool(env.fleet.workers["w0"].late))
            env.restart_worker("w0").late.clear()
            await until(lambda: has_completed(owner, "b"))
            assert not env.fleet.faults

    run_async(run())


# Guards against a lease that outlasts the owner's estimate (TWICE): on the clock of a
# restarted worker the end of an earlier lease is far in the future.
def test_leases_of_restarted_worker_use_its_own_clock() -> None:
    async def run() -> None:
        async with cell(workers=2) as env:
            set_run_time(env, 20.0)
            owner = await env.own()
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(env.fleet.starts) == 1)
            name = env.fleet.starts[0].worker
            env.restart_worker(name)
            await until(lambda: len(env.fleet.starts) == 2)
            env.fleet.workers[env.fleet.starts[1].worker].silent = True
            await until(lambda: len(env.fleet.starts) == 3, limit_s=15.0)
            assert not env.fleet.faults

    run_async(run())


def worker_with_unanswered_start(env: Cell) -> str:
    """Return the worker that left a start unanswered."""
    return next(name for name, each in env.fleet.workers.items() if each.late)


async def leave_start_unanswered(env: Cell, owner: Owner, job_id: str) -> str:
    """Leave the first start of a job unanswered; return its worker."""
    for worker in env.fleet.workers.values():
        worker.unanswered_starts = 1
    await submit(owner, job_id, job(step(1)))
    await until(lambda: any(each.late for each in env.fleet.workers.values()))
    for worker in env.fleet.workers.values():
        worker.unanswered_starts = 0
    return worker_with_unanswered_start(env)


# Guards against incarnations that are taken for one (TWICE) while the platform's list
# is stale.
def test_restart_is_detected_from_sync_replies() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            env.restart_worker("w0")
            owner = await env.own()
            await run_and_acknowledge_tasks(env, owner)
            after = env.fleet.restart("w0")
            name = after.entry.incarnation
            await until(lambda: name in owner.cluster_state.fleet.workers)
            newest = owner.cluster_state.fleet.workers[name]
            await until(lambda: newest.liveness is Liveness.LIVE)
            await until(lambda: len(owner.cluster_state.fleet.workers) == 1)
            env.add_worker("w1")
            await until(lambda: "w1" in owner.cluster_state.fleet.workers)
            assert owner.cluster_state.fleet.newest["w0"] is newest
            assert newest.ended_upto == 0 and not newest.may_accept_work(
                owner.clock.now()
            )
            env.entries["w0"] = after.entry
            env.list_worker("w0")
            await until(lambda: newest.may_accept_work(owner.clock.now()))

    run_async(run())


# Guards against exceeding a worker's capacity (LIMIT): a new incarnation may be
# smaller.
def test_restarted_worker_may_have_smaller_capacity() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            set_run_time(env, 0.3)
            env.fleet.needs = lambda task: Amounts(processors=1000, memory_mb=100)
            owner = await env.own()
            await submit(owner, "a", job(step(4)))
            await until(lambda: len(env.fleet.starts) == 4)
            after = env.fleet.restart("w0")
            small = Amounts(processors=1000, memory_mb=4000)
            after.entry = attrs.evolve(after.entry, capacity=small)
            env.entries["w0"] = after.entry
            env.list_worker("w0")
            await until(lambda: has_completed(owner, "a"))
            assert not env.fleet.faults

    run_async(run())


# Guards against two concurrent runs of one task (TWICE): what a start began in the next
# incarnation must not be started elsewhere by the owner.
def test_start_that_reached_next_incarnation_continues() -> None:
    async def run() -> None:
        async with cell(workers=3) as env:
            set_run_time(env, 0.6)
            owner = await env.own()
            name = await leave_start_unanswered(env, owner, "a")
            after = env.restart_worker(name)
            env.fleet.carry_out(after, after.late.pop())
            await until(lambda: has_completed(owner, "a"))
            assert not env.fleet.faults
            assert starts_of(env, "a.0.0.0") == 1

    run_async(run())


# Guards against a start carried out long after its attempt was given up (TWICE).
def test_late_start_after_first_sync_is_refused() -> None:
    async def run() -> None:
        async with cell(workers=3) as env:
            set_run_time(env, TASK_S)
            owner = await env.own()
            name = await leave_start_unanswered(env, owner, "a")
            after = env.restart_worker(name)
            await until(lambda: has_completed(owner, "a"))
            verdicts = {env.fleet.carry_out(after, each).verdict for each in after.late}
            assert verdicts == {Verdict.STALE_EPOCH}
            await submit(owner, "b", job(step(1)))
            await until(lambda: has_completed(owner, "b"))
            assert owner.lease.is_valid() and not env.fleet.faults

    run_async(run())


# Guards against two concurrent runs of one task (TWICE): the next incarnation may run
# what was sent to the previous one, and does not answer.
def test_no_attempt_is_given_up_before_next_incarnation_answers() -> None:
    async def run() -> None:
        async with cell(workers=3) as env:
            set_run_time(env, 1.0)
            owner = await env.own()
            name = await leave_start_unanswered(env, owner, "a")
            after = env.fleet.restart(name)
            env.fleet.carry_out(after, after.late.pop())
            after.silent = True
            env.entries[name] = after.entry
            env.list_worker(name)
            await asyncio.sleep(1.5)
            assert starts_of(env, "a.0.0.0") == 1
            after.silent = False
            await until(lambda: has_completed(owner, "a"))
            assert not env.fleet.faults

    run_async(run())


# Guards against starts that reach a later incarnation (TWICE).
def test_start_is_not_resent_while_worker_is_silent() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            set_run_time(env, TASK_S)
            owner = await env.own()
            worker = env.fleet.workers["w0"]
            worker.unanswered_starts = 10_000
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(worker.late) > 1)
            worker.silent = True
            known = owner.cluster_state.fleet.workers["w0"]
            await until(lambda: known.liveness is Liveness.SILENT)
            sent = worker.starts_sent
            await asyncio.sleep(0.6)
            assert worker.starts_sent == sent

    run_async(run())


# Guards against two concurrent runs of one task (TWICE): a late order may have given
# the next incarnation the longest lease, on a clock that the order was not written for.
def test_late_lease_is_waited_out() -> None:
    async def run() -> None:
        async with cell(workers=2) as env:
            set_run_time(env, TASK_S)
            owner = await env.own()
            name = await leave_start_unanswered(env, owner, "a")
            after = env.restart_worker(name)
            env.fleet.carry_out(after, after.late.pop())
            await until(lambda: has_completed(owner, "a"))
            set_run_time(env, 20.0)
            for job_id in ("b", "c"):
                await submit(owner, job_id, job(step(1, processors=4000)))
            await until(lambda: len(env.fleet.starts) == 3)
            after.silent = True
            on_other = next(s for s in env.fleet.starts[1:] if s.worker != name)
            await owner.cancel(on_other.task.partition(".")[0])
            await asyncio.sleep(2.5)
            assert len(env.fleet.starts) == 3

    run_async(run())


@attrs.define(kw_only=True, eq=False)
class HeldFleet(StandinFleet):
    """Holds syncs back before they reach a worker, and answers to starts after that.

    Attributes:
        syncs_pass: Whether syncs reach the workers.
        answers_pass: Whether the answers to starts reach the owner.
        held: How many syncs are held back.
    """

    syncs_pass: asyncio.Event = attrs.field(factory=asyncio.Event)
    answers_pass: asyncio.Event = attrs.field(factory=asyncio.Event)
    held: int = 0

    def __attrs_post_init__(self) -> None:
        self.syncs_pass.set()
        self.answers_pass.set()

    async def sync(
        self,
        entry: WorkerEntry,
        *,
        fence: int,
        ended_upto: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> SyncReply | OrderReply:
        """Answer a sync once syncs pass."""
        self.held += 1
        await self.syncs_pass.wait()
        self.held -= 1
        return await StandinFleet.sync(
            self,
            entry,
            fence=fence,
            ended_upto=ended_upto,
            lease_end_ms=lease_end_ms,
            wait_ms=wait_ms,
        )

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Carry a start out at once; the answer passes when answers do."""
        reply = await StandinFleet.start(self, entry, order, limit_s=limit_s)
        await self.answers_pass.wait()
        return reply


# Guards against two concurrent runs of one task (TWICE): the next incarnation answers
# a start unnoticed, counts its lease on a clock that is behind, and is cut off.
def test_lease_in_unnoticed_incarnation_is_waited_out() -> None:
    async def run() -> None:
        fleet = HeldFleet()
        async with cell(workers=0, fleet=fleet) as env:
            set_run_time(env, 30.0)
            env.add_worker("w0", born_ms=1)
            owner = await env.own()
            workers = owner.cluster_state.fleet.workers
            await until(lambda: bool(workers))
            (known,) = workers.values()
            await until(lambda: known.liveness is Liveness.LIVE)
            await asyncio.sleep(1.0)
            fleet.syncs_pass.clear()
            await until(lambda: fleet.held > 0)
            after = fleet.restart("w0")
            await submit(owner, "a", job(step(1)))
            await until(lambda: starts_of(env, "a.0.0.0") == 1)
            await asyncio.sleep(0.05)
            after.silent = True
            env.add_worker("w1", born_ms=1)
            fleet.syncs_pass.set()
            await until(lambda: starts_of(env, "a.0.0.0") == 2, limit_s=15.0)
            assert not env.fleet.faults

    run_async(run())


# Guards against work that waits for a lease that nobody has (LOST): answers of one
# incarnation may overtake each other, so that its clock seems to run backwards.
def test_overtaken_answer_is_not_taken_for_next_incarnation() -> None:
    async def run() -> None:
        fleet = HeldFleet()
        async with cell(workers=0, fleet=fleet) as env:
            set_run_time(env, 30.0)
            env.add_worker("w0", born_ms=1)
            owner = await env.own()
            workers = owner.cluster_state.fleet.workers
            await until(lambda: bool(workers))
            (known,) = workers.values()
            await until(lambda: known.liveness is Liveness.LIVE)
            fleet.answers_pass.clear()
            await submit(owner, "a", job(step(1)))
            await until(lambda: starts_of(env, "a.0.0.0") == 1)
            clock_ms = known.worker_time_ms
            await until(lambda: known.worker_time_ms > clock_ms + 300)
            fleet.answers_pass.set()
            placement = known.placements[("a.0.0.0", 1)]
            await until(lambda: placement.running)
            await asyncio.sleep(0.05)
            lease_s = known.leases_end_at - owner.clock.now()
            assert lease_s < 2 * env.worker_lease_s

    run_async(run())


# Guards against two concurrent runs of one task (TWICE): a start sent by an owner that
# has died may begin in the next incarnation before the new owner has synced with it.
def test_new_owner_keeps_task_begun_by_late_start() -> None:
    async def run() -> None:
        async with cell(workers=2) as env:
            set_run_time(env, 1.0)
            owner = await env.own()
            name = await leave_start_unanswered(env, owner, "a")
            await env.close()
            env.tasks.clear()
            after = env.restart_worker(name)
            env.fleet.carry_out(after, after.late.pop())
            again = await env.own("two")
            await until(lambda: has_completed(again, "a"))
            assert not env.fleet.faults
            assert starts_of(env, "a.0.0.0") == 1

    run_async(run())


# Guards against ends that are acknowledged before they were received (TWICE): a batch
# stored after a restart acknowledges ends of the incarnation from which it was taken.
def test_stored_batch_acknowledges_only_its_own_incarnation() -> None:
    owner_board = ClusterState()
    before = FleetWorker(entry=entry("w", born_ms=1), liveness=Liveness.LIVE)
    owner_board.fleet.add(before)
    owner_board.accept("a", queue(), job(step(1)))
    before.record_end(7, "b")
    batch = take_batch(owner_board)
    after = incarnations.replace_incarnation(
        owner_board, before, entry("w", born_ms=2), 0.0
    )
    note_stored(owner_board, batch)
    assert (before.ended_upto, after.ended_upto) == (7, 0)


# Guards against an owner that repeatedly deposes itself: a worker that it has removed
# has already seen a higher fence than the one used when the worker is added again.
def test_fence_does_not_decrease_when_removed_worker_is_relisted() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            env.restart_worker("w0")
            owner = await env.own()
            after = env.fleet.restart("w0")
            name = after.entry.incarnation
            workers = owner.cluster_state.fleet.workers
            await until(lambda: name in workers)
            await until(lambda: workers[name].liveness is Liveness.LIVE)
            env.unlist_worker("w0")
            after.silent = True
            await until(lambda: not workers, limit_s=20.0)
            after.silent = False
            env.entries["w0"] = after.entry
            env.list_worker("w0")
            await submit_when_possible(owner, "a")
            await until(lambda: has_completed(owner, "a"))
            assert owner.lease.is_valid()

    run_async(run())


async def submit_when_possible(owner: Owner, job_id: str) -> None:
    """Submit a job as soon as there is a worker for it."""
    await until(lambda: bool(owner.cluster_state.fleet.workers))
    await submit(owner, job_id, job(step(1)))


# Guards against work that waits until its leases end (LOST): while the platform's list
# is stale, the incarnation detected from its sync replies must be kept.
def test_incarnation_is_kept_while_list_is_stale() -> None:
    async def run() -> None:
        async with cell(workers=2) as env:
            set_run_time(env, 0.4)
            for name in ("w0", "w1"):
                env.restart_worker(name)
            owner = await env.own()
            await submit(owner, "a", job(step(2, processors=4000)))
            await until(lambda: len(env.fleet.starts) == 2)
            after = env.fleet.restart("w0")
            fleet = owner.cluster_state.fleet
            await until(lambda: fleet.newest["w0"].name == after.entry.incarnation)
            newest = fleet.newest["w0"]
            after.silent = True
            await asyncio.sleep(0.5)
            after.silent = False
            await until(lambda: has_completed(owner, "a"), limit_s=3.0)
            assert fleet.newest["w0"] is newest

    run_async(run())


# Guards against workers that are never used again (LOST): the platform's list need not
# change if a restarted worker registers the same entry as before.
def test_restarted_worker_is_used_although_its_entry_is_unchanged() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            set_run_time(env, TASK_S)
            env.restart_worker("w0")
            owner = await env.own()
            after = env.fleet.restart("w0")
            fleet = owner.cluster_state.fleet
            await until(lambda: fleet.newest["w0"].name == after.entry.incarnation)
            await submit(owner, "a", job(step(1)))
            await until(lambda: has_completed(owner, "a"))
            assert not env.fleet.faults

    run_async(run())


# Guards against work that a new owner leaves waiting (LOST): it was placed on an
# incarnation that the platform does not list yet.
def test_new_owner_syncs_unlisted_incarnation() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            set_run_time(env, 0.4)
            env.restart_worker("w0")
            owner = await env.own()
            after = env.fleet.restart("w0")
            fleet = owner.cluster_state.fleet
            await until(lambda: fleet.newest["w0"].name == after.entry.incarnation)
            await until(lambda: fleet.newest["w0"].may_accept_work(owner.clock.now()))
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(env.fleet.starts) == 1)
            await env.close()
            env.tasks.clear()
            again = await env.own("two")
            await until(lambda: has_completed(again, "a"))
            assert starts_of(env, "a.0.0.0") == 1 and not env.fleet.faults

    run_async(run())


# Guards against a task that runs again after it completed (TWICE): an unanswered copy
# of its start is carried out by the next incarnation, before anyone has synced with it.
def test_a_late_copy_of_a_start_begins_nothing_after_the_task_was_done() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            env.restart_worker("w0")
            set_run_time(env, TASK_S)
            owner = await env.own()
            await leave_start_unanswered(env, owner, "a")
            await until(lambda: has_completed(owner, "a"))
            await until(lambda: not env.fleet.workers["w0"].ended)
            after = env.restart_worker("w0")
            env.fleet.carry_out(after, after.late.pop())
            assert not env.fleet.late_copies

    run_async(run())


# Guards against exceeding a worker's capacity (LIMIT): while the list cannot be read, a
# restarted worker may have become smaller without the owner knowing.
def test_stale_entry_is_not_adopted_while_list_is_unreadable() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            env.restart_worker("w0")
            owner = await env.own()
            fleet = owner.cluster_state.fleet
            await until(lambda: fleet.newest["w0"].liveness is Liveness.LIVE)
            after = fleet.newest["w0"]
            after.update(after.entry.for_incarnation(after.entry.born_ms))
            after.added_at = owner.clock.now()
            owner.roster.list_read_at = after.added_at
            owner.roster.check(after, after.added_at + 60.0)
            assert not after.entry.readable
            owner.roster.list_read_at = after.added_at + 60.0
            owner.roster.check(after, after.added_at + 60.0)
            assert after.entry.readable

    run_async(run())
