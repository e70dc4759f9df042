"""Quotas of workspaces: charging, releasing, rebuilding at a takeover, enforcing.

The random histories are checked against what the workers run, not against the ledger.
"""

import random
from collections.abc import Callable, Mapping

import attrs
import pytest
from hypothesis import example, given, settings, strategies as st

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.table import Row
from cranberrycleat.workflow import rows
from cranberrycleat.workflow.batches import Batch, note_stored, take_batch
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.feasibility import quota_violation_reason
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.decisions.round_scan import MAX_STEPS_SCANNED
from cranberrycleat.workflow.fleet import (
    FleetWorker,
    Liveness,
    LossCause,
    Placement,
    job_of,
)
from cranberrycleat.workflow.ports import EndedTask, EndKind, RunningTask, SyncReply
from cranberrycleat.workflow.quota import UNLIMITED, QuotaLedger
from cranberrycleat.workflow.spec import StepSpec, WorkflowSpec
from cranberrycleat.workflow.state import Job
from cranberrycleat.workflow.takeover import StoredRows, restore
from tests.cell import cell, entry, job, queue, step, until
from tests.fakes import run_async
from tests.test_planner import NOW_S, cluster_state, placed, plan, worker

FIRST_ATTEMPT = ("w", "a.0.0.0", 1)
SECOND_ATTEMPT = ("w", "a.0.0.1", 1)
TASK_NEEDS = Amounts(processors=1000, memory_mb=100)
QUOTA = Amounts(processors=3000)


def ledger(quotas: Mapping[str, Amounts] | None = None) -> QuotaLedger:
    """Return a ledger, by default with a quota for one workspace."""
    given_quotas = {"one": QUOTA} if quotas is None else quotas
    return QuotaLedger(quotas=lambda: given_quotas)


# --- the ledger -----------------------------------------------------------------------


def _charged_twice(quota_ledger: QuotaLedger) -> None:
    quota_ledger.charge(FIRST_ATTEMPT, "one", TASK_NEEDS)
    quota_ledger.charge(FIRST_ATTEMPT, "one", TASK_NEEDS)


def _released_twice(quota_ledger: QuotaLedger) -> None:
    quota_ledger.charge(FIRST_ATTEMPT, "one", TASK_NEEDS)
    quota_ledger.charge(SECOND_ATTEMPT, "one", TASK_NEEDS)
    quota_ledger.release(SECOND_ATTEMPT)
    quota_ledger.release(SECOND_ATTEMPT)


def _released_before_it_was_charged(quota_ledger: QuotaLedger) -> None:
    quota_ledger.release(FIRST_ATTEMPT)
    quota_ledger.charge(FIRST_ATTEMPT, "one", TASK_NEEDS)


def _charged_elsewhere_meanwhile(quota_ledger: QuotaLedger) -> None:
    quota_ledger.charge(SECOND_ATTEMPT, "one", TASK_NEEDS)
    quota_ledger.charge(FIRST_ATTEMPT, "one", TASK_NEEDS)
    quota_ledger.release(SECOND_ATTEMPT)


def _another_workspaces(quota_ledger: QuotaLedger) -> None:
    quota_ledger.charge(FIRST_ATTEMPT, "one", TASK_NEEDS)
    quota_ledger.charge(SECOND_ATTEMPT, "two", TASK_NEEDS)
    quota_ledger.charge(("w", "b.0.0.0", 1), "", TASK_NEEDS)


@pytest.mark.parametrize(
    "history",
    [
        _charged_twice,
        _released_twice,
        _released_before_it_was_charged,
        _charged_elsewhere_meanwhile,
        _another_workspaces,
    ],
)
def test_one_attempt_is_charged_once(history: Callable[[QuotaLedger], None]) -> None:
    quota_ledger = ledger()
    history(quota_ledger)
    assert (quota_ledger.used_by("one"), quota_ledger.running["one"]) == (TASK_NEEDS, 1)
    quota_ledger.release(FIRST_ATTEMPT)
    assert quota_ledger.used_by("one") == NOTHING and "one" not in quota_ledger.used


@pytest.mark.parametrize(
    ("quotas", "charged", "needs", "count", "expected"),
    [
        ({"one": QUOTA}, 2, 1000, 1, True),
        ({"one": QUOTA}, 2, 1001, 1, False),
        ({"one": QUOTA}, 1, 1000, 2, True),
        ({"one": QUOTA}, 1, 1000, 3, False),
        ({"one": QUOTA}, 0, 9000, 1, True),
        ({"one": QUOTA}, 0, 9000, 2, False),
        ({"one": Amounts(memory_mb=300)}, 3, 1000, 1, False),
        ({"one": Amounts(memory_mb=400)}, 3, 99_000, 1, True),
        ({"one": NOTHING}, 99, 1000, 9, True),
        ({}, 99, 1000, 9, True),
    ],
    ids=[
        "the last that fits",
        "one too large",
        "a gang that fits",
        "a gang that does not",
        "a task over the quota, alone",
        "a gang over the quota, alone",
        "memory is what is short",
        "processors are not limited",
        "no limit at all",
        "no quota of its own",
    ],
)
def test_tasks_that_fit_the_quota_may_begin(
    quotas: dict[str, Amounts], charged: int, needs: int, count: int, expected: bool
) -> None:
    quota_ledger = ledger(quotas)
    for number in range(charged):
        quota_ledger.charge(("w", f"a.0.0.{number}", 1), "one", TASK_NEEDS)
    asked = Amounts(processors=needs, memory_mb=100)
    assert quota_ledger.may_begin("one", asked, count) is expected


def test_nothing_begins_while_a_newer_quota_may_be_in_force() -> None:
    quota_ledger = QuotaLedger(quotas=lambda: None)
    assert not quota_ledger.may_begin("one", TASK_NEEDS)
    assert (
        quota_ledger.may_begin("", TASK_NEEDS)
        and quota_ledger.headroom("") == UNLIMITED
    )
    assert not quota_ledger.is_over("one")


@pytest.mark.parametrize(
    ("spec", "expected"),
    [
        (job(step(3, processors=1000, gang=True)), False),
        (job(step(4, processors=1000, gang=True)), True),
        (job(step(40, processors=1000)), False),
        (job(step(1), step(1, processors=3001)), True),
    ],
    ids=["a gang that fits", "a gang that never will", "a wide step", "a task"],
)
def test_jobs_that_can_never_fit_the_quota_are_refused(
    spec: WorkflowSpec, expected: bool
) -> None:
    """The caller is told immediately; a wide step instead runs its tasks in turns."""
    assert bool(quota_violation_reason(spec, QUOTA)) is expected
    assert not quota_violation_reason(spec, None) and not quota_violation_reason(
        spec, NOTHING
    )


# --- the planner ----------------------------------------------------------------------


def cluster_with_quota(*workers: FleetWorker, quota: Amounts = QUOTA) -> ClusterState:
    """Return a cluster state in which one workspace has a quota."""
    cluster = cluster_state(*workers)
    cluster.quotas.quotas = lambda: {"one": quota}
    return cluster


def submit_job(
    cluster: ClusterState, job_id: str, workspace: str, *steps: StepSpec
) -> Job:
    """Submit a job for a workspace."""
    return cluster.accept(job_id, queue(), job(*steps), workspace=workspace)


def test_wide_step_runs_up_to_its_workspace_quota() -> None:
    cluster = cluster_with_quota(worker("w"), worker("v"))
    submit_job(cluster, "a", "one", step(6))
    submit_job(cluster, "b", "two", step(6))
    plan(cluster)
    names = [name for tasks in placed(cluster).values() for name in tasks]
    assert sum(name.startswith("a.") for name in names) == 3
    assert sum(name.startswith("b.") for name in names) == 5


def test_gang_over_quota_reserves_no_capacity() -> None:
    cluster = cluster_with_quota(worker("w"))
    submit_job(cluster, "a", "one", step(2))
    submit_job(cluster, "g", "one", step(2, gang=True))
    plan(cluster)
    submit_job(cluster, "b", "two", step(2))
    plan(cluster)
    assert placed(cluster) == {"w": ["a.0.0.0", "a.0.0.1", "b.0.0.0", "b.0.0.1"]}


def test_backlog_of_one_workspace_does_not_exhaust_a_round() -> None:
    """A workspace that submits far more than usual must not delay the others."""
    cluster = cluster_with_quota(worker("w"), quota=TASK_NEEDS)
    for number in range(MAX_STEPS_SCANNED + 5):
        submit_job(cluster, f"a{number}", "one", step(1))
    submit_job(cluster, "b", "two", step(1))
    plan(cluster)
    assert "b.0.0.0" in placed(cluster)["w"] and len(placed(cluster)["w"]) == 2


# --- a quota that falls ---------------------------------------------------------------


@pytest.mark.parametrize("lost", [0, 1], ids=["before it was sent", "unanswered"])
def test_start_is_withheld_after_the_quota_is_lowered(lost: int) -> None:
    """A start follows its placement after a transaction, possibly seconds later.

    The quota may be lowered in between.
    """

    async def run() -> None:
        async with cell(workers=1) as env:
            owner = await env.own()
            quotas = {"one": Amounts(processors=2000)}
            owner.cluster_state.quotas.quotas = lambda: quotas
            only = env.fleet.workers["w0"]
            only.unanswered_starts = 10_000 * lost
            env.table.faults.slow_s = 0.0 if lost else 0.3
            submit_job(owner.cluster_state, "a", "one", step(2))
            owner.changed()
            begun = (
                (lambda: len(only.late) > 1)
                if lost
                else _is_placed(owner.cluster_state)
            )
            await until(begun)
            quotas["one"] = Amounts(processors=1000)
            await until(lambda: not owner.cluster_state.placements_of("a"))
            only.unanswered_starts, env.table.faults.slow_s = 0, 0.0
            late = [env.fleet.carry_out(only, each).verdict for each in only.late]
            assert not [each for each in late if each.value == "accepted"]
            quotas["one"] = Amounts(processors=2000)
            owner.changed()
            await until(lambda: owner.state("a", "one").state == "completed")

    run_async(run())


def _is_placed(cluster: ClusterState) -> Callable[[], bool]:
    return lambda: len(cluster.placements_of("a")) == 2


# --- a random history -----------------------------------------------------------------


@attrs.define(kw_only=True, eq=False)
class History:
    """A model of an owner, its stored rows and its workers, driven by random events.

    Attributes:
        rng: Chooses the events.
        quota: The quota of the only workspace.
        running: The attempts that each worker runs, by task.
        ended: The ends on each worker that are not acknowledged.
        void: The highest attempt of each task that may not start on a worker any more.
        late: Delayed start orders with their fencing epochs.
        epoch: The epoch of the current owner, which fences its orders.
        fences: The highest epoch that each worker has seen.
        stored: The stored rows.
        faults: Descriptions of the violations that were seen.
        cluster: The owner's in-memory state.
    """

    rng: random.Random
    quota: Amounts = QUOTA
    running: dict[str, dict[str, int]] = attrs.field(factory=dict)
    ended: dict[str, list[EndedTask]] = attrs.field(factory=dict)
    void: dict[tuple[str, str], int] = attrs.field(factory=dict)
    late: list[tuple[str, str, int, int]] = attrs.field(factory=list)
    epoch: int = 1
    fences: dict[str, int] = attrs.field(factory=dict)
    stored: dict[str, str] = attrs.field(factory=dict)
    faults: list[str] = attrs.field(factory=list)
    cluster: ClusterState = attrs.field(factory=ClusterState)
    _sent: set[tuple[str, int]] = attrs.field(factory=set)
    _sizes: dict[str, int] = attrs.field(factory=dict)
    _jobs: int = 0
    _ends: int = 0

    def __attrs_post_init__(self) -> None:
        for name in ("w", "v", "u"):
            self.running[name] = {}
            self.ended[name] = []
        self._new_board()

    def _new_board(self) -> None:
        self.cluster = ClusterState(time_of_day=lambda: NOW_S, now=lambda: 0.0)
        self.cluster.quotas.quotas = lambda: {"one": self.quota}
        for name in self.running:
            self.cluster.fleet.add(
                FleetWorker(entry=entry(name), liveness=Liveness.SILENT)
            )
        self._sent.clear()

    def run_steps(self, steps: int) -> None:
        """Run a number of random events."""
        acts = (
            self.submit_job,
            self.submit_job,
            self.plan_and_store,
            self.plan_and_store,
            self.order,
            self.order,
            self.carry_out_late,
            self.end_running_tasks,
            self.sync_worker,
            self.sync_worker,
            self.cancel,
            self.lose_worker,
            self.take_over,
            self.change_quota,
        )
        for _ in range(steps):
            self.rng.choice(acts)()

    def submit_job(self) -> None:
        """Submit a job as a caller."""
        self._jobs += 1
        gang = self.rng.random() < 0.3
        spec = step(self.rng.randint(1, 3), self.rng.choice((500, 1000)), gang=gang)
        self._sizes[f"j{self._jobs}"] = spec.needs.processors
        self.cluster.accept(f"j{self._jobs}", queue(), job(spec), workspace="one")

    def plan_and_store(self) -> None:
        """Plan as the owner, and store the changes."""
        Planner(cluster_state=self.cluster).plan(now=0.0, now_s=NOW_S)
        batch = take_batch(self.cluster)
        self._store(batch)
        note_stored(self.cluster, batch)

    def _store(self, batch: Batch) -> None:
        self.stored |= {put.key: put.value for put in batch.puts}
        for key in batch.deletes:
            self.stored.pop(key, None)

    def order(self) -> None:
        """Send every stored start; some are delivered late, or never."""
        for known in list(self.cluster.fleet.workers.values()):
            for placement in list(known.placements.values()):
                self._order(known, placement)

    def _order(self, on: FleetWorker, placement: Placement) -> None:
        key = (placement.task, placement.attempt)
        if key in self._sent or not placement.stored or placement.ordered:
            return
        if self.cluster.is_over_quota(placement) or placement.stopping:
            self.cluster.give_up(on, placement, "not sent")
            return
        self._sent.add(key)
        placement.ordered = True
        if self.rng.random() < 0.3:
            self.late.append((on.name, *key, self.epoch))
        else:
            placement.began(0.0)
            self._begin(on.name, *key, self.epoch)

    def carry_out_late(self) -> None:
        """Deliver a delayed start to its worker."""
        if self.late:
            self._begin(*self.late.pop(self.rng.randrange(len(self.late))))

    def _begin(self, name: str, task: str, attempt: int, fence: int) -> None:
        if attempt <= self.void.get((name, task), 0):
            return
        if fence < self.fences.get(name, 0):
            return
        self.fences[name] = fence
        self.running[name][task] = attempt
        used = sum(map(self._needs, self._tasks()))
        largest = max(map(self._needs, self._tasks()))
        if used > self.quota.processors + largest and self.quota == QUOTA:
            self.faults.append(f"{used} runs of {self.quota.processors}")

    def _tasks(self) -> list[str]:
        return [task for runs in self.running.values() for task in runs]

    def _needs(self, task: str) -> int:
        return self._sizes[job_of(task)]

    def end_running_tasks(self) -> None:
        """End some attempts that run on a worker."""
        name = self.rng.choice(sorted(self.running))
        for task in list(self.running[name]):
            if self.rng.random() < 0.5:
                how = self.rng.choice((EndKind.DONE, EndKind.FAILED))
                self._end(name, task, how)

    def _end(self, name: str, task: str, how: EndKind) -> None:
        attempt = self.running[name].pop(task)
        self.void[(name, task)] = max(attempt, self.void.get((name, task), 0))
        self._ends += 1
        end = EndedTask(
            number=self._ends, task=task, attempt=attempt, how=how, saved=""
        )
        self.ended[name].append(end)

    def sync_worker(self) -> None:
        """Sync the owner with a worker and deliver its stops."""
        name = self.rng.choice(sorted(self.running))
        known = self.cluster.fleet.workers[name]
        known.liveness = Liveness.LIVE
        self.fences[name] = self.epoch
        for placement in list(known.placements.values()):
            if placement.stopping:
                self._stop(name, placement)
        running = tuple(
            RunningTask(task=task, attempt=attempt, saved="", percent=1.0)
            for task, attempt in self.running[name].items()
        )
        ended = tuple(self.ended[name])
        self.ended[name] = []
        reply = SyncReply(worker_time_ms=1, running=running, ended=ended)
        self.cluster.sync(known, reply, sent_at=1.0, now=1.0)

    def _stop(self, name: str, placement: Placement) -> None:
        task, attempt = placement.task, placement.attempt
        self.void[(name, task)] = max(attempt, self.void.get((name, task), 0))
        if self.running[name].get(task) == attempt:
            self._end(name, task, EndKind.STOPPED)
        elif not placement.running:
            placement.began(0.0)

    def cancel(self) -> None:
        """Cancel a job as a caller."""
        if self._jobs:
            self.cluster.cancel(f"j{self.rng.randint(1, self._jobs)}")

    def lose_worker(self) -> None:
        """Expire the leases of a worker: attempts end and delayed starts are void."""
        name = self.rng.choice(sorted(self.running))
        self.running[name].clear()
        self.late = [each for each in self.late if each[0] != name]
        known = self.cluster.fleet.workers[name]
        known.liveness = Liveness.SILENT
        self.cluster.give_up_all(known, LossCause.SILENT)

    def take_over(self) -> None:
        """Take over as a new owner, from the rows alone and without any sync yet."""
        self._new_board()
        self.epoch += 1
        jobs, specs = tuple(
            rows_of_table(self.stored, table) for table in (rows.JOBS, rows.SPECS)
        )
        restore(self.cluster, StoredRows(specs=specs, jobs=jobs, inbox=()))
        self.cluster.adopt(0.0)

    def change_quota(self) -> None:
        """Lower the quota sharply, or restore it, as an operator."""
        self.quota = QUOTA if self.quota != QUOTA else Amounts(processors=500)


def rows_of_table(stored: Mapping[str, str], table: str) -> tuple[Row, ...]:
    """Return the rows of a table."""
    return tuple(
        Row(key=key, value=value, version=1)
        for key, value in stored.items()
        if key.startswith(f"{table}/")
    )


# Guards against exceeding a quota after a takeover (QUOTA): attempts of a cancelled job
# go on running, and using quota, until their workers report that they have stopped.
def test_successor_charges_and_stops_attempts_of_ended_jobs() -> None:
    history = History(rng=random.Random(1))
    for each in history.cluster.fleet.workers.values():
        each.liveness = Liveness.LIVE
    history.cluster.accept("a", queue(), job(step(3)), workspace="one")
    history.plan_and_store()
    assert history.cluster.quotas.used_by("one") == TASK_NEEDS.times(3)
    history.cluster.cancel("a")
    history.plan_and_store()
    history.take_over()
    assert history.cluster.quotas.used_by("one") == TASK_NEEDS.times(3)
    left = [each for _, each in history.cluster.placements_of("a")]
    assert len(left) == 3 and all(each.stopping and each.ordered for each in left)
    assert not history.cluster.quotas.may_begin("one", TASK_NEEDS)
    for name in history.running:
        history.cluster.give_up_all(
            history.cluster.fleet.workers[name], LossCause.SILENT
        )
    assert history.cluster.quotas.may_begin("one", TASK_NEEDS.times(3))


@given(seed=st.integers(min_value=0, max_value=2**32))
@example(seed=23_401)
@example(seed=329)
@settings(max_examples=60, deadline=None)
def test_random_history_never_exceeds_the_quota(seed: int) -> None:
    """Covers starts, ends, lost workers, takeovers, cancellations and late starts."""
    history = History(rng=random.Random(seed))
    history.run_steps(150)
    assert not history.faults
    for name in history.running:
        history.rng = random.Random(0)
        history.running[name].clear()
        history.cluster.give_up_all(
            history.cluster.fleet.workers[name], LossCause.SILENT
        )
    assert not history.cluster.quotas.charges, "a charge was never released"
