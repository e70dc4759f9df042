"""Tests of preemption by checkpoint for steps that would be late."""

import asyncio
import math
from collections.abc import Callable

import attrs
import pytest

from cranberrycleat import events
from cranberrycleat.amounts import Amounts
from cranberrycleat.explain import Entry, JobTimeline, cause
from cranberrycleat.metrics import Metrics
from cranberrycleat.standins.fleet import SimulatedWork, StandinFleet
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.fair_share import FairShare, ShareTier
from cranberrycleat.workflow.decisions.load_control import LoadControl
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.decisions.preemption import Preemption
from cranberrycleat.workflow.decisions.preemption_budget import DEPTH_S, Budget
from cranberrycleat.workflow.decisions.speed_model import LearnedSpeed, SpeedModel
from cranberrycleat.workflow.fleet import FleetWorker, LossCause, Placement
from cranberrycleat.workflow.ports import (
    EndedTask,
    EndKind,
    OrderReply,
    Permit,
    PermitTiming,
    Queue,
    SyncReply,
    WorkerEntry,
    WorkerUnreachable,
)
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import Job, TaskState
from cranberrycleat.workflow.telemetry import Telemetry
from tests.cell import POOL, cell, job, queue, step, submit, until
from tests.fakes import run_async
from tests.test_planner import NOW_S, cluster_state, placed, worker

SHORT = step(1, processors=2000, estimate_s=1.0)
PATIENT = step(4, processors=1000, estimate_s=4.0, checkpoints=True)
SHORT_QUEUE = queue(priority=0, stretch=1.5, objective_s=0.25)
PATIENT_QUEUE = queue(priority=2, stretch=4.0, objective_s=3.0)
ARRIVAL_S = 10.0
"""When urgent steps arrive; they have 0.75 s of slack."""
DUE_S = ARRIVAL_S + 0.3


class SurplusPatients(FairShare):
    """Classifies the patient jobs as surplus."""

    def tier(self, job: Job) -> ShareTier:
        """Return the tier of a job."""
        return ShareTier.SURPLUS if job.job_id == "p" else ShareTier.DUE


@attrs.define(kw_only=True, eq=False)
class Pool:
    """A pool whose planner runs at the times that a test chooses."""

    board: ClusterState
    planner: Planner
    ends: int = 0

    def plan(self, now: float, shift_s: float = 0.0) -> None:
        """Run a round; the time of day is shifted by a number of seconds."""
        self.planner.plan(now=now, now_s=NOW_S + now + shift_s)

    def submit(self, name: str, spec: StepSpec, at: Queue, when: float) -> None:
        """Submit a job at a time."""
        self.board.accept(name, at, job(spec), workspace=name).accepted_s = NOW_S + when

    def placements(self) -> list[tuple[FleetWorker, Placement]]:
        """Return all attempts."""
        workers = self.board.fleet.workers.values()
        return [(w, each) for w in workers for each in w.placements.values()]

    def begin(self, since: float, percent: float = 25.0) -> None:
        """Have every attempt run since a time."""
        for _, each in self.placements():
            if not each.running:
                each.stored = each.ordered = True
                each.began(since)
                each.percent = percent

    def stopping(self) -> list[str]:
        """Return the tasks that are being stopped."""
        return sorted(each.task for _, each in self.placements() if each.stopping)

    def end(self, on: FleetWorker, of: Placement, how: EndKind) -> None:
        """Report an end."""
        self.ends += 1
        end = EndedTask(
            number=self.ends, task=of.task, attempt=of.attempt, how=how, saved="new"
        )
        reply = SyncReply(worker_time_ms=1, running=(), ended=(end,))
        self.board.sync(on, reply, sent_at=-1.0, now=DUE_S)

    def end_first_stopping(self, how: EndKind = EndKind.STOPPED) -> None:
        """Report the end of the first attempt that is being stopped."""
        on, first = next(pair for pair in self.placements() if pair[1].stopping)
        self.end(on, first, how)


def full_pool(
    spec: StepSpec = PATIENT,
    at: Queue = PATIENT_QUEUE,
    *,
    workers: int = 1,
    began: float = 9.0,
    percent: float = 25.0,
    load: LoadControl | None = None,
) -> Pool:
    """Return a pool that has been full of one job since the planner's first round."""
    board = cluster_state(*(worker(f"w{number}") for number in range(workers)))
    board.load = load or LoadControl(preemption=Preemption(for_urgent_work=True))
    pool = Pool(board=board, planner=Planner(cluster_state=board))
    pool.submit("p", spec, at, 0.0)
    pool.plan(0.0)
    pool.begin(began, percent)
    pool.submit("u", SHORT, SHORT_QUEUE, ARRIVAL_S)
    return pool


# Guards against needless or harmful preemption: work that would be late because of it,
# that ends in time, that cannot resume, and steps that can wait or are late anyway.
@pytest.mark.parametrize(
    ("spec", "at", "percent", "now", "stopped"),
    [
        pytest.param({}, {}, 25, DUE_S, 2, id="no more than needed"),
        pytest.param({"checkpoints": False}, {}, 25, DUE_S, 0, id="no checkpoints"),
        pytest.param({"service": True}, {}, 25, DUE_S, 0, id="service"),
        pytest.param({}, {"priority": 0}, 25, DUE_S, 0, id="as urgent"),
        pytest.param(
            {}, {"stretch": 1, "objective_s": 11}, 25, DUE_S, 0, id="would be late"
        ),
        pytest.param(
            {}, {"stretch": 1, "objective_s": 5}, 25, DUE_S, 2, id="late already"
        ),
        pytest.param({}, {}, 99, DUE_S, 0, id="ends in time"),
        pytest.param({}, {}, 25, ARRIVAL_S, 0, id="can still wait"),
        pytest.param({}, {}, 25, ARRIVAL_S + 0.5, 0, id="late even so"),
    ],
)
def test_which_work_gives_way(
    spec: dict[str, object],
    at: dict[str, object],
    percent: float,
    now: float,
    stopped: int,
) -> None:
    changed = attrs.evolve(PATIENT, **spec)  # type: ignore[arg-type]
    changed_queue = attrs.evolve(PATIENT_QUEUE, **at)  # type: ignore[arg-type]
    pool = full_pool(changed, changed_queue, percent=percent)
    pool.plan(now)
    pool.plan(now + 0.01)
    assert len(pool.stopping()) == stopped


# Guards against a change of today's behaviour with `--preemption services`.
@pytest.mark.parametrize("arrives", [True, False])
def test_disabled_preemption_stops_and_starts_as_before(arrives: bool) -> None:
    pool = full_pool(load=LoadControl())
    if not arrives:
        pool.board.cancel("u")
    before = placed(pool.board)
    pool.plan(DUE_S)
    assert not pool.stopping() and placed(pool.board) == before
    pool.submit("s", step(1, processors=1000, service=True), queue(), 11.0)
    for now in (11.0, 11.4, 11.6):
        pool.plan(now)
        assert len(pool.stopping()) == (now == 11.6)


# Guards against other starts where nothing takes checkpoints: while an urgent step
# waits for work that is about to end, lower-ranked steps use what is free.
@pytest.mark.parametrize("enabled", [False, True])
def test_starts_are_unchanged_if_nothing_gives_way(enabled: bool) -> None:
    load = LoadControl(preemption=Preemption(for_urgent_work=enabled))
    spec = attrs.evolve(PATIENT, count=3, checkpoints=False)
    pool = full_pool(spec, percent=99, load=load)
    pool.submit("small", step(1, processors=1000), queue(priority=1), ARRIVAL_S)
    pool.plan(DUE_S)
    assert "small.0.0.0" in placed(pool.board)["w0"] and not pool.stopping()


# Guards against a workspace that keeps others waiting by work beyond its share.
@pytest.mark.parametrize(("fair_share", "stopped"), [(None, 0), (SurplusPatients(), 2)])
def test_surplus_gives_way_to_due_work(
    fair_share: FairShare | None, stopped: int
) -> None:
    load = LoadControl(
        preemption=Preemption(for_urgent_work=True), fair_share=fair_share
    )
    pool = full_pool(at=attrs.evolve(PATIENT_QUEUE, priority=0), load=load)
    pool.plan(DUE_S)
    assert len(pool.stopping()) == stopped


def _begin_all_but_one(pool: Pool) -> None:
    pool.placements()[0][1].running = False


def _lower_quota(pool: Pool) -> None:
    quotas = {"p": Amounts(processors=1000)}
    pool.board.quotas.quotas = lambda: quotas


def _lower_own_quota(pool: Pool) -> None:
    quotas = {"u": Amounts(processors=1000)}
    pool.board.quotas.quotas = lambda: quotas
    pool.submit("v", SHORT, SHORT_QUEUE, ARRIVAL_S)
    pool.board.jobs["v"].workspace = "u"
    pool.board.quotas.running["u"] = 1


def _nothing(pool: Pool) -> None:
    """Change nothing."""


# Guards against half a gang that holds its workers for nothing, against a preempted job
# that a lowered quota keeps from resuming, and against room that a quota leaves unused.
@pytest.mark.parametrize(
    ("gang", "change", "stopped"),
    [
        (True, _nothing, 4),
        (True, _begin_all_but_one, 0),
        (False, _lower_quota, 0),
        (False, _lower_own_quota, 0),
    ],
)
def test_gangs_and_quotas(
    gang: bool, change: Callable[[Pool], None], stopped: int
) -> None:
    spec = attrs.evolve(PATIENT, gang=gang, needs=Amounts(processors=2000, memory_mb=1))
    pool = full_pool(spec, workers=2)
    change(pool)
    pool.plan(DUE_S)
    assert len(pool.stopping()) == stopped


# Guards against late work that still has value and that a lowered quota keeps from
# resuming, so that it loses the rest.
@pytest.mark.parametrize(("change", "stopped"), [(_nothing, 2), (_lower_quota, 0)])
def test_late_work_gives_way_only_if_it_may_resume(
    change: Callable[[Pool], None], stopped: int
) -> None:
    pool = full_pool(at=attrs.evolve(PATIENT_QUEUE, stretch=1, objective_s=5))
    change(pool)
    pool.plan(DUE_S)
    assert len(pool.stopping()) == stopped


# Guards against a gang of 4 that is stopped for a step of a fraction of its value.
@pytest.mark.parametrize(("processors", "stopped"), [(500, 0), (2000, 4)])
def test_cost_does_not_exceed_value(processors: int, stopped: int) -> None:
    pool = full_pool(attrs.evolve(PATIENT, gang=True), workers=1)
    pool.board.cancel("u")
    pool.submit(
        "v", step(1, processors=processors, estimate_s=0.5), SHORT_QUEUE, ARRIVAL_S
    )
    pool.plan(DUE_S - 0.1)
    assert len(pool.stopping()) == stopped


# Guards against stops on workers that the step may not use.
def test_only_workers_with_permits_give_way() -> None:
    pool = full_pool(workers=3)
    for number in (0, 1, 2):
        pool.submit(f"q{number}", PATIENT, PATIENT_QUEUE, 0.0)
    pool.plan(0.5)
    pool.begin(9.0)
    pool.board.cancel("u")
    timing = PermitTiming(decide_s=0.01, each_s=0.0, valid_s=1.5)
    pool.submit("v", SHORT, attrs.evolve(SHORT_QUEUE, permits=timing), ARRIVAL_S)
    (run,) = pool.board.jobs["v"].open[0].steps
    permits = pool.board.permits_of(run)
    assert permits is not None
    permit = Permit(worker="w1", ticket="t")
    permits.record_answer(("w0", "w1", "w2"), (permit,), DUE_S)
    pool.plan(DUE_S)
    assert {w.name for w, each in pool.placements() if each.stopping} == {"w1"}


# Guards against lower-ranked work that takes the freed resources, and lost progress.
@pytest.mark.parametrize("how", [EndKind.STOPPED, EndKind.DONE])
def test_freed_resources_reach_the_step(how: EndKind) -> None:
    pool = full_pool()
    pool.plan(DUE_S)
    pool.submit("small", step(4, processors=1000), queue(priority=1), ARRIVAL_S)
    tasks = [pool.board.jobs["p"].find(each) for each in pool.stopping()]
    pool.end_first_stopping(how)
    pool.plan(DUE_S + 0.1)
    assert all("small" not in task for task in placed(pool.board)["w0"])
    pool.end_first_stopping(how)
    pool.plan(DUE_S + 0.2)
    assert "u.0.0.0" in placed(pool.board)["w0"]
    expected = TaskState.DONE if how is EndKind.DONE else TaskState.PENDING
    assert all(each and each.state is expected for each in tasks)
    pool.board.cancel("u")
    pool.board.cancel("small")
    for on, each in pool.placements():
        if each.stopping:
            pool.end(on, each, EndKind.STOPPED)
    pool.plan(DUE_S + 0.3)
    resumed = [each.saved for _, each in pool.placements() if each.attempt > 4]
    assert resumed == (["new"] * 2 if how is EndKind.STOPPED else [])


# Guards against capacity that is counted free before a victim is proved to have ended,
# and against more and more stops while one gets no answer.
def test_stop_without_an_answer_keeps_its_resources() -> None:
    pool = full_pool()
    pool.plan(DUE_S)
    stopped = pool.stopping()
    for now in (DUE_S + 0.05, DUE_S + 0.12, DUE_S + 3.0):
        pool.plan(now)
    assert pool.stopping() == stopped
    assert "u.0.0.0" not in placed(pool.board)["w0"]
    assert pool.board.fleet.workers["w0"].free.processors == 0


# Guards against a checkpoint that replaces a newer one or ends a later attempt: the
# worker crashes or is unreachable while the victim saves, and its end comes late.
@pytest.mark.parametrize("how", [EndKind.STOPPED, EndKind.DONE])
def test_late_checkpoint_of_a_lost_victim(how: EndKind) -> None:
    pool = full_pool()
    for member in pool.board.jobs["p"].open[0].steps[0].tasks:
        member.saved = "old"
    pool.plan(DUE_S)
    lost, victim = next(pair for pair in pool.placements() if pair[1].stopping)
    pool.board.give_up_all(lost, LossCause.SILENT)
    pool.board.fleet.workers["w1"] = worker("w1")
    pool.board.cancel("u")
    del pool.board.fleet.workers["w0"]
    pool.plan(DUE_S + 7.0)
    task = victim.tracked_task
    assert task is not None and (task.worker, task.saved) == ("w1", "old")
    pool.end(lost, victim, how)
    assert task.saved == ("old" if how is EndKind.STOPPED else "new")
    assert (task.state is TaskState.DONE) == (how is EndKind.DONE)
    again = [each for _, each in pool.placements() if each.task == task.name]
    assert [each.stopping for each in again] == [how is EndKind.DONE]


# Guards against preemption by a new owner that cannot know what was preempted before,
# and against stops because the time of day has jumped: nothing is due then.
@pytest.mark.parametrize(
    ("began_s", "shift_s", "stopped"),
    [(0.0, 0.0, 2), (5.0, 0.0, 0), (0.0, 3600.0, 0), (0.0, -3600.0, 0)],
)
def test_new_owner_and_clock_jumps(
    began_s: float, shift_s: float, stopped: int
) -> None:
    pool = full_pool()
    pool.board.load = LoadControl(preemption=Preemption(for_urgent_work=True))
    pool.plan(began_s)
    pool.plan(DUE_S, shift_s)
    assert len(pool.stopping()) == stopped


# Guards against an unlimited budget after the clock of a suspended owner has jumped.
@pytest.mark.parametrize(("jump_s", "tokens"), [(2.0, 2.0), (1e6, DEPTH_S), (-9.0, 0)])
def test_budget_is_bounded_after_a_jump(jump_s: float, tokens: float) -> None:
    budget = Budget(rate=1.0, refilled_at=10.0)
    budget.refill(1.0, 10.0 + jump_s)
    assert budget.tokens == tokens
    budget.refill(1.0, 10.0 + jump_s + 0.5)
    assert budget.tokens == min(DEPTH_S, tokens + 0.5)


def full_pool_in_a_large_one() -> Pool:
    """Return a full pool of one worker, with a budget of 61 workers."""
    patient = attrs.evolve(PATIENT, label="r1")
    pool = full_pool(patient, at=attrs.evolve(PATIENT_QUEUE, objective_s=90))
    pool.board.cancel("u")
    for number in range(60):
        other = worker(f"other{number}", rack="r2")
        pool.board.fleet.workers[other.name] = other
    return pool


# Guards against a task that makes no progress because it is preempted again and again.
@pytest.mark.parametrize(("later_s", "stopped"), [(5.0, 0), (7.0, 4)])
def test_a_task_is_not_preempted_twice_in_a_row(later_s: float, stopped: int) -> None:
    pool = full_pool_in_a_large_one()
    big = step(1, processors=4000, estimate_s=1.0, label="r1")
    pool.submit("v0", big, SHORT_QUEUE, ARRIVAL_S)
    pool.plan(DUE_S)
    assert len(pool.stopping()) == 4
    for _ in range(4):
        pool.end_first_stopping()
    pool.board.cancel("v0")
    pool.plan(DUE_S + 1.5)
    pool.begin(DUE_S + later_s - 1)
    pool.submit("v1", big, SHORT_QUEUE, ARRIVAL_S + later_s)
    pool.plan(DUE_S + later_s)
    assert len(pool.stopping()) == stopped


# Guards against two steps that count on the resources of the same victims.
def test_steps_of_one_round_get_different_victims() -> None:
    pool = full_pool_in_a_large_one()
    for name in ("v0", "v1"):
        pool.submit(name, attrs.evolve(SHORT, label="r1"), SHORT_QUEUE, ARRIVAL_S)
    pool.plan(DUE_S)
    assert len(pool.stopping()) == 4


# Guards against rounds that outlast the owner's lease in a pool of 2,500 workers.
@pytest.mark.parametrize(("max_rooms", "stopped"), [(704, 4), (2, 4), (1, 2)])
def test_claims_of_a_round_are_limited_by_the_workers_they_look_at(
    monkeypatch: pytest.MonkeyPatch, max_rooms: int, stopped: int
) -> None:
    decisions = "cranberrycleat.workflow.decisions"
    monkeypatch.setattr(f"{decisions}.preemption.MAX_ROOMS_PER_ROUND", max_rooms)
    pool = full_pool_in_a_large_one()
    for name in ("v0", "v1"):
        pool.submit(name, attrs.evolve(SHORT, label="r1"), SHORT_QUEUE, ARRIVAL_S)
    pool.plan(DUE_S)
    assert len(pool.stopping()) == stopped


# Guards against stops on a worker that is so slow that the step is late even so.
@pytest.mark.parametrize(("speed", "stopped"), [(0.6, 0), (1.0, 2), (1.6, 2)])
def test_slow_workers_do_not_give_way(speed: float, stopped: int) -> None:
    speeds = SpeedModel()
    found = {"w0": speed} | {f"w{n}": 1.0 if n % 3 else 0.6 for n in range(1, 12)}
    summary = tuple(
        LearnedSpeed(
            worker=name,
            born_ms=0,
            kind="a",
            capacity=Amounts(processors=4000, memory_mb=4000),
            log_speed=math.log(each),
            samples=16,
        )
        for name, each in found.items()
    )
    speeds.restore(POOL, summary)
    preemption = Preemption(for_urgent_work=True)
    pool = full_pool(load=LoadControl(preemption=preemption, speeds=speeds))
    pool.plan(DUE_S)
    assert len(pool.stopping()) == stopped


# Guards against stops for a gang that cannot have room for all of its members.
@pytest.mark.parametrize(("members", "stopped"), [(2, 4), (3, 0)])
def test_a_gang_gets_room_for_all_members_or_none(members: int, stopped: int) -> None:
    pool = full_pool_in_a_large_one()
    gang = attrs.evolve(SHORT, count=members, gang=True, label="r1")
    pool.submit("v", gang, SHORT_QUEUE, ARRIVAL_S)
    pool.plan(DUE_S)
    assert len(pool.stopping()) == stopped
    for number in range(stopped):
        assert not any("v." in each for each in placed(pool.board)["w0"])
        pool.end_first_stopping()
        pool.plan(DUE_S + 0.01 * number)
    assert ("v.0.0.0" in placed(pool.board)["w0"]) == bool(stopped)


# Guards against stops for tasks that the quota or the limit per worker keeps from
# starting: a second evaluation must count the tasks for which resources are held.
@pytest.mark.parametrize(
    ("limit", "quota", "stopped"),
    [(0, 0, [2, 4]), (1, 0, [2, 2]), (0, 2000, [2, 2])],
    ids=["no limit", "one per worker", "quota for one"],
)
def test_held_tasks_count_in_a_second_evaluation(
    limit: int, quota: int, stopped: list[int]
) -> None:
    pool = full_pool_in_a_large_one()
    quotas = {"v": Amounts(processors=quota)}
    pool.board.quotas.quotas = lambda: quotas
    spec = attrs.evolve(SHORT, count=2, label="r1", most_per_worker=limit)
    pool.submit("v", spec, SHORT_QUEUE, ARRIVAL_S)
    # The budget covers the stops for one task in the first evaluation only.
    pool.board.load.preemption._budget(POOL, 61 * 4, DUE_S)
    found = []
    for now, tokens in ((DUE_S, 3.0), (DUE_S + 0.11, 9.0)):
        for budget in pool.board.load.preemption._budgets.values():
            budget.tokens = tokens
        pool.plan(now)
        found.append(len(pool.stopping()))
    assert found == stopped


# Guards against a preemption that is missed in a quiet pool: the round before it, due
# for another reason, must plan the round at its last chance anew.
def test_earlier_round_plans_the_round_to_preempt() -> None:
    pool = full_pool()
    pool.submit("later", PATIENT, PATIENT_QUEUE, ARRIVAL_S)
    for each in pool.board.jobs["later"].open[0].steps[0].tasks:
        each.not_before = ARRIVAL_S + 0.1
    now = ARRIVAL_S
    for _ in range(4):
        plan = pool.planner.plan(now=now, now_s=NOW_S + now)
        if plan.retry_at is None:
            break
        now = plan.retry_at
    assert len(pool.stopping()) == 2


# Load pattern: a burst of short jobs into a pool full of other work. Guards against a
# burst that stops more than the budget, and against stops of work without checkpoints.
@pytest.mark.parametrize(("checkpoints", "least"), [(True, 3), (False, 0)])
def test_burst_stays_within_the_budget(checkpoints: bool, least: int) -> None:
    spec = attrs.evolve(PATIENT, count=160, checkpoints=checkpoints)
    pool = full_pool(spec, workers=40)
    for number in range(60):
        pool.submit(f"b{number}", SHORT, SHORT_QUEUE, ARRIVAL_S)
    for now in (DUE_S, DUE_S + 0.05, DUE_S + 0.12):
        pool.plan(now)
    cost_core_s = 1.25 * len(pool.stopping())
    assert least * 1.25 <= cost_core_s <= 0.01 * 160 * (DEPTH_S + 0.2)


@attrs.define(kw_only=True, eq=False)
class FailingStops(StandinFleet):
    """Workers on which the first stops fail: "no answer", "crash" or none do."""

    failure: str = ""
    stops: int = 0

    async def stop(
        self, entry: WorkerEntry, task: str, attempt: int, fence: int
    ) -> OrderReply:
        """Stop an attempt, or fail."""
        self.stops += 1
        if self.failure and self.stops <= 2:
            if self.failure == "crash":
                self.crash_and_restart(self.workers[entry.worker])
            raise WorkerUnreachable("no answer")
        return await super().stop(entry, task, attempt, fence)


# Guards against tasks that run twice, are lost or start from nothing after a stop. It
# is carried out, does not reach the worker, or the worker crashes while it saves.
@pytest.mark.parametrize("failure", ["", "no answer", "crash"])
def test_preempted_work_resumes(monkeypatch: pytest.MonkeyPatch, failure: str) -> None:
    decisions = "cranberrycleat.workflow.decisions"
    monkeypatch.setattr(f"{decisions}.preemption_budget.VICTIM_INTERVAL_S", 0.3)
    monkeypatch.setattr(f"{decisions}.preemption.POOL_FRACTION", 2.0)
    fleet = FailingStops(failure=failure, reports_progress=True)
    fleet.work = lambda task, attempt: SimulatedWork(
        seconds=0.1 if task.startswith("u") else 2.0
    )

    async def run() -> None:
        async with cell(workers=1, fleet=fleet) as env:
            owner = await env.own()
            owner.cluster_state.load.preemption.for_urgent_work = True
            patient = attrs.evolve(PATIENT, estimate_s=2.0)
            await submit(owner, "p", job(patient), PATIENT_QUEUE)
            await asyncio.sleep(0.8)
            short = attrs.evolve(SHORT, estimate_s=0.2)
            await submit(owner, "u", job(short), SHORT_QUEUE)
            await until(lambda: owner.state("u").state == "completed")
            await until(lambda: owner.state("p").state == "completed")
            resumed = [each for each in fleet.starts if each.saved]
            assert fleet.stops and not fleet.faults
            assert len(resumed) == (0 if failure == "crash" else 2)

    run_async(run())


# Guards against a preempted job whose delay nothing explains.
def test_explanation_and_metrics_name_the_preemption() -> None:
    stop = events.TaskPreempted(
        task="p.0.0.0",
        attempt=1,
        worker="w",
        beneficiary="u.0.0",
        service=False,
        cost_core_s=1.25,
        slack_s=0.4,
        victim_slack_s=4.0,
        report_age_s=0.1,
    )
    end = events.TaskEnded(
        task="p.0.0.0", attempt=1, worker="w", how="stopped", ran_s=2.0, current=True
    )
    stored = events.JobStored(job="p", after_s=0.0)
    entries = [Entry(at=0.0, host="h", event=each) for each in (stored, stop, end)]
    text = cause(JobTimeline(job="p", job_entries=entries)).text
    assert text == "attempt preempted for u.0.0 (2.25 s)"
    metrics = Metrics(role="node", name="n")
    Telemetry(metrics=metrics).record_event(stop)
    assert 'tasks_preempted{cause="urgent"} 1' in metrics.text()
    assert 'tasks_preempted_core_ms{cause="urgent"} 1250' in metrics.text()
