"""Tests that a loss is judged by all failures of its moment, also those noticed later.

The failure guarded against: healthy work that is failed. Several workers fail at the
same moment; one restarts and answers at once, and its loss is judged before the others
are found to have failed, so that it looks like the only one.
"""

import asyncio

import attrs
import pytest

from cranberrycleat.standins.fleet import SimulatedWork, StandinFleet
from cranberrycleat.workflow import rows
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.crash_attribution import (
    CRASH_ADDRESS_LIMIT,
    CRASH_WINDOW_S,
    ISOLATION_WAIT_S,
    START_LOSS_LIMIT,
    LossKind,
    LossRecord,
    LostWorker,
)
from cranberrycleat.workflow.fleet import FleetWorker, Liveness, LossCause
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.ports import (
    OrderReply,
    SyncReply,
    WorkerEntry,
    WorkerUnreachable,
)
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import JobState, Task, TaskState
from cranberrycleat.workflow.worker_failures import (
    DETECTION_LIMIT_S,
    SUPERSEDED_FAILURES_KEPT_S,
    WorkerFailures,
)
from tests.cell import Cell, cell, job, queue, step, submit, until
from tests.fakes import run_async
from tests.test_crashing_tasks import crash_on, starts_of
from tests.test_planner import NOW_S, cluster_state, plan, worker

CRASH = LossKind.CRASH
COINCIDENT = LossKind.COINCIDENT
LATE_S = 0.5
"""How long after its failure a worker is found to have failed."""
KINDS = [step(), step(1, gang=True), step(1, service=True)]
KIND_NAMES = ["a task", "a gang", "a service"]


@attrs.define(kw_only=True, eq=False)
class LateFleet(StandinFleet):
    """Workers some of which answer no sync until a time, not even with a failure.

    Attributes:
        hangs_until: That time, by the worker's identity.
    """

    hangs_until: dict[str, float] = attrs.field(factory=dict)

    async def sync(
        self,
        entry: WorkerEntry,
        *,
        fence: int,
        ended_upto: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> SyncReply | OrderReply:
        """Sync with a worker, or leave the call unanswered for a while."""
        await self._hang(entry)
        try:
            return await super().sync(
                entry,
                fence=fence,
                ended_upto=ended_upto,
                lease_end_ms=lease_end_ms,
                wait_ms=wait_ms,
            )
        except WorkerUnreachable:
            await self._hang(entry)
            raise

    async def _hang(self, entry: WorkerEntry) -> None:
        until_s = self.hangs_until.get(entry.worker, 0.0)
        await asyncio.sleep(max(0.0, until_s - self.clock.now()))


def _record_of(owner_board: ClusterState, job_id: str = "a") -> LossRecord:
    """Return the loss record of a job's first task."""
    found = owner_board.jobs[job_id].open[0].steps[0]
    return found.ensure_losses_of(found.tasks[0])


# --- a cell ---------------------------------------------------------------------------


# Guards against a healthy job that is failed (LOST): on three occasions it has just
# begun when three workers fail, of which its own is noticed at once.
def test_healthy_task_survives_failures_of_which_others_are_noticed_late() -> None:
    async def run() -> None:
        fleet = LateFleet(keeps_identity=True)
        async with cell(workers=0, fleet=fleet) as env:
            for number in range(4 * CRASH_ADDRESS_LIMIT):
                env.add_worker(f"w{number}", rack=f"r{number}", born_ms=1)
            fleet.work = lambda name, attempt: SimulatedWork(seconds=1.0)
            owner = await env.own()
            await submit(owner, "a", job(step(1)))
            failed: set[str] = set()
            for number in range(CRASH_ADDRESS_LIMIT):
                await until(lambda: len(fleet.starts) > number)
                await asyncio.sleep(0.05)
                first = fleet.starts[-1].worker
                unharmed = [each for each in fleet.workers if each not in failed]
                others = [each for each in unharmed if each != first][:2]
                for name in others:
                    fleet.hangs_until[name] = fleet.clock.now() + LATE_S
                    fleet.restart(name)
                env.restart_worker(first)
                failed.update((first, *others))
            await until(
                lambda: owner.cluster_state.reported["a"]
                in (JobState.COMPLETED, JobState.FAILED),
                limit_s=20.0,
            )
            assert owner.cluster_state.reported["a"] is JobState.COMPLETED
            assert not fleet.faults

    run_async(run())


async def _hold_verdict(env: Cell, fleet: LateFleet) -> Owner:
    """Run a task that crashes its workers until the verdict on it is held.

    A worker answers at first, so that it is known to run, and then nothing more.
    """
    env.add_worker("hangs", rack="other", processors=1)
    crash_on(env, "a.0.0.0")
    owner = await env.own()
    known = owner.cluster_state.fleet.workers
    await until(lambda: known["hangs"].liveness is Liveness.LIVE)
    fleet.hangs_until["hangs"] = fleet.clock.now() + 60.0
    await submit(owner, "a", job(step(1)))
    await until(lambda: bool(_record_of(owner.cluster_state).undecided), limit_s=20.0)
    assert owner.cluster_state.jobs["a"].verdict is None
    return owner


@pytest.mark.parametrize("keeps", [False, True], ids=["a new identity", "the same"])
def test_crashing_task_is_failed_by_third_crash_beside_silent_worker(
    keeps: bool,
) -> None:
    async def run() -> None:
        fleet = LateFleet(keeps_identity=keeps)
        async with cell(workers=6, fleet=fleet) as env:
            owner = await _hold_verdict(env, fleet)
            await until(lambda: owner.cluster_state.reported["a"] is JobState.FAILED)
            assert starts_of(env, "a.0.0.0") == CRASH_ADDRESS_LIMIT

    run_async(run())


def test_held_verdict_is_stored_once_table_is_back() -> None:
    async def run() -> None:
        fleet = LateFleet()
        async with cell(workers=6, fleet=fleet) as env:
            owner = await _hold_verdict(env, fleet)
            env.table.faults.down = True
            await until(
                lambda: owner.cluster_state.jobs["a"].verdict is JobState.FAILED
            )
            assert owner.cluster_state.reported["a"] is not JobState.FAILED
            env.table.faults.down = False
            await until(lambda: owner.cluster_state.reported["a"] is JobState.FAILED)
            assert starts_of(env, "a.0.0.0") == CRASH_ADDRESS_LIMIT

    run_async(run())


def test_crashing_task_is_failed_after_takeover_while_verdict_is_held() -> None:
    async def run() -> None:
        fleet = LateFleet()
        async with cell(workers=8, fleet=fleet) as env:
            owner = await _hold_verdict(env, fleet)
            await until(lambda: "a" not in owner.cluster_state.dirty)
            await env.close()
            env.tasks.clear()
            owner = await env.own("next")
            await until(
                lambda: owner.cluster_state.reported["a"] is JobState.FAILED,
                limit_s=20.0,
            )
            assert starts_of(env, "a.0.0.0") <= START_LOSS_LIMIT

    run_async(run())


# --- the cluster state ----------------------------------------------------------------


def _lose_isolated_attempt(spec: StepSpec) -> tuple[ClusterState, FleetWorker]:
    """Lose the worker of an isolated attempt while another worker is not yet heard.

    Returns:
        The cluster state and that other worker.
    """
    lost, other = worker("w"), worker("v")
    owner_board = cluster_state(lost, other)
    owner_board.accept("a", queue(), job(spec))
    for number in range(CRASH_ADDRESS_LIMIT - 1):
        loss = LostWorker(
            attempt=number,
            worker=f"i-{number}",
            address=f"e-{number}:1",
            kind=LossKind.CRASH,
        )
        _record_of(owner_board).add_loss(loss, 0.0)
    _begin(owner_board, "a", lost, CRASH_ADDRESS_LIMIT)
    other.clock_read_at = -0.1
    _lose(owner_board, lost)
    return owner_board, other


def _begin(
    owner_board: ClusterState, job_id: str, on: FleetWorker, attempt: int = 1
) -> Task:
    """Place a job's only task on a worker and begin it there."""
    task = owner_board.jobs[job_id].open[0].steps[0].tasks[0]
    placement = owner_board.place(task, on, attempt, now=0.0)
    placement.ordered = True
    placement.began(0.0)
    return task


def _lose(owner_board: ClusterState, lost: FleetWorker) -> None:
    """Find that a worker has been replaced."""
    owner_board.fleet.record_worker_failure(lost, 0.0)
    lost.liveness = Liveness.GONE
    owner_board.give_up_all(lost, LossCause.REPLACED)


def _set_time(owner_board: ClusterState, now: float) -> None:
    owner_board.now = owner_board.losses.now = lambda: now


@pytest.mark.parametrize("spec", KINDS, ids=KIND_NAMES)
def test_deciding_loss_is_held_until_others_are_heard(spec: StepSpec) -> None:
    owner_board, other = _lose_isolated_attempt(spec)
    assert owner_board.jobs["a"].verdict is None
    assert not owner_board.settle_losses()
    assert not plan(owner_board, now=ISOLATION_WAIT_S).groups
    other.clock_read_at = 0.01
    assert owner_board.settle_losses()
    assert owner_board.jobs["a"].verdict is JobState.FAILED


@pytest.mark.parametrize("spec", KINDS, ids=KIND_NAMES)
def test_deciding_loss_is_held_no_longer_than_detection_takes(spec: StepSpec) -> None:
    owner_board, _ = _lose_isolated_attempt(spec)
    _set_time(owner_board, DETECTION_LIMIT_S - 0.01)
    assert not owner_board.settle_losses()
    _set_time(owner_board, DETECTION_LIMIT_S)
    assert owner_board.settle_losses()
    assert owner_board.jobs["a"].verdict is JobState.FAILED


@pytest.mark.parametrize("spec", KINDS, ids=KIND_NAMES)
def test_deciding_loss_is_no_crash_if_another_worker_failed(spec: StepSpec) -> None:
    owner_board, other = _lose_isolated_attempt(spec)
    owner_board.fleet.record_worker_failure(other, LATE_S)
    other.liveness = Liveness.SILENT
    owner_board.fleet.add(worker("stable"))
    assert owner_board.settle_losses()
    assert owner_board.jobs["a"].verdict is None
    assert [each.kind for each in _record_of(owner_board).lost] == [
        CRASH,
        CRASH,
        COINCIDENT,
    ]
    assert len(plan(owner_board, now=ISOLATION_WAIT_S).groups) == 1


def test_other_tasks_of_lost_worker_are_placed_at_once() -> None:
    lost, other = worker("w"), worker("v")
    owner_board = cluster_state(lost, other)
    owner_board.accept("b", queue(), job(step()))
    _begin(owner_board, "b", lost)
    other.clock_read_at = -0.1
    _lose(owner_board, lost)
    assert owner_board.losses.provisional
    assert len(plan(owner_board).groups) == 1


# Guards against a healthy job that is failed (LOST): a worker that fell with its own
# restarts and fails again before the loss is judged.
def test_other_worker_that_fails_twice_still_counts() -> None:
    owner_board, other = _lose_isolated_attempt(step())
    owner_board.fleet.record_worker_failure(other, 0.0)
    other.clock_read_at = 0.2
    owner_board.fleet.record_worker_failure(other, LATE_S)
    other.liveness = Liveness.SILENT
    assert owner_board.settle_losses()
    assert owner_board.jobs["a"].verdict is None


def test_failures_are_remembered_for_a_limited_time() -> None:
    """Else a fleet in which workers fail for days would remember each failure."""
    unstable, failures = worker("w"), WorkerFailures()
    fleet = cluster_state(unstable).fleet
    fleet.worker_failures = failures
    for number in range(100):
        fleet.record_worker_failure(unstable, number * SUPERSEDED_FAILURES_KEPT_S / 4)
    assert len(failures.superseded) == 4


@pytest.mark.parametrize("together", [True, False], ids=["with others", "alone"])
def test_loss_that_does_not_decide_is_judged_again(together: bool) -> None:
    lost, *others = worker("w"), worker("v"), worker("u")
    owner_board = cluster_state(lost, *others)
    owner_board.accept("a", queue(), job(step()))
    _begin(owner_board, "a", lost)
    for each in others:
        each.clock_read_at = -0.1
    _lose(owner_board, lost)
    assert [each.kind for each in _record_of(owner_board).lost] == [CRASH]
    owner_board.dirty.clear()
    for each in others:
        each.clock_read_at = -0.1 if together else 0.01
        if together:
            owner_board.fleet.record_worker_failure(each, LATE_S)
            each.liveness = Liveness.SILENT
    assert owner_board.settle_losses()
    kinds = [each.kind for each in _record_of(owner_board).lost]
    assert kinds == [COINCIDENT if together else CRASH]
    assert ("a" in owner_board.dirty) is together


def test_successor_does_not_count_held_loss_as_crash() -> None:
    """It does not know what failed with the worker, but that the worker was lost."""
    owner_board, _ = _lose_isolated_attempt(step())
    stored = owner_board.jobs["a"]
    row = rows.decode_job_row(rows.job_put(stored).value, "jobs/a")
    spec = rows.SpecRow(queue=queue(), spec=stored.spec, accepted_s=NOW_S)
    later = ClusterState(time_of_day=lambda: NOW_S, now=lambda: 50.0)
    later.restore(rows.restore("a", spec, row))
    record = _record_of(later)
    assert [each.kind for each in record.lost] == [CRASH, CRASH, COINCIDENT]
    assert not record.undecided
    assert record.needs_isolation()
    for number in range(len(record.lost), START_LOSS_LIMIT):
        assert not record.limit_reached()
        loss = LostWorker(
            attempt=10 + number,
            worker="x",
            address=f"x-{number}:1",
            kind=LossKind.COINCIDENT,
        )
        record.add_loss(loss, 50.0)
    assert record.limit_reached()


def test_fifth_loss_is_not_held() -> None:
    """It fails the job whatever failed with it: a sixth start is forbidden."""
    lost, other = worker("w"), worker("v")
    owner_board = cluster_state(lost, other)
    owner_board.accept("a", queue(), job(step()))
    for number in range(START_LOSS_LIMIT - 1):
        loss = LostWorker(
            attempt=number,
            worker=f"i-{number}",
            address=f"e-{number}:1",
            kind=(
                LossKind.CRASH
                if number < CRASH_ADDRESS_LIMIT - 1
                else LossKind.COINCIDENT
            ),
        )
        _record_of(owner_board).add_loss(loss, 0.0)
    _begin(owner_board, "a", lost, START_LOSS_LIMIT)
    other.clock_read_at = -0.1
    _lose(owner_board, lost)
    assert owner_board.jobs["a"].verdict is JobState.FAILED
    assert not owner_board.losses.provisional


def test_task_that_is_done_meanwhile_is_not_failed() -> None:
    """An earlier attempt, on a worker that was unreachable, may complete it."""
    owner_board, other = _lose_isolated_attempt(step())
    task = owner_board.jobs["a"].open[0].steps[0].tasks[0]
    task.state = TaskState.DONE
    other.clock_read_at = 0.01
    assert owner_board.settle_losses()
    assert owner_board.jobs["a"].verdict is None
    assert not _record_of(owner_board).undecided


def test_cancelled_job_is_not_failed() -> None:
    owner_board, other = _lose_isolated_attempt(step())
    owner_board.cancel("a")
    other.clock_read_at = 0.01
    assert not owner_board.settle_losses()
    assert owner_board.jobs["a"].verdict is JobState.CANCELLED


def test_worker_that_answers_again_ends_the_wait() -> None:
    owner_board, _ = _lose_isolated_attempt(step())
    owner_board.losses.clear(owner_board.fleet.workers["w"])
    assert not owner_board.losses.provisional
    assert not _record_of(owner_board).undecided
    assert len(plan(owner_board, now=ISOLATION_WAIT_S).groups) == 1


def test_loss_heard_by_all_is_decided_at_once() -> None:
    """Nothing waits where every other worker has answered since."""
    lost, other = worker("w"), worker("v")
    owner_board = cluster_state(lost, other)
    owner_board.accept("a", queue(), job(step()))
    _begin(owner_board, "a", lost)
    other.clock_read_at = CRASH_WINDOW_S
    _lose(owner_board, lost)
    assert not owner_board.losses.provisional
    assert [each.kind for each in _record_of(owner_board).lost] == [CRASH]
