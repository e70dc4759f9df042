"""Tests each way to lose a worker: what is recorded of it, and whether it fails a job.

The failure: a job was shown as failed although no task had failed as often as its queue
allows. Five workers lost in any way failed a job, among them workers that had run an
attempt for seconds, had been cut off, or had fallen together with others.
"""

from collections.abc import Callable

import attrs
import pytest

from cranberrycleat.table import Row
from cranberrycleat.workflow import rows
from cranberrycleat.workflow.batches import note_stored, take_batch
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.crash_attribution import (
    CRASH_ADDRESS_LIMIT,
    CRASH_WINDOW_S,
    EVIDENCE,
    MAX_LOSSES_KEPT,
    START_LOSS_LIMIT,
    Evidence,
    LossKind,
    LostWorker,
)
from cranberrycleat.workflow.fleet import FleetWorker, Liveness, LossCause, Placement
from cranberrycleat.workflow.ports import EndedTask, EndKind, RunningTask, SyncReply
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import JobState, StepRun, TaskState
from cranberrycleat.workflow.takeover import StoredRows, restore
from cranberrycleat.workflow.worker_failures import DETECTION_LIMIT_S
from tests.cell import job, queue, step
from tests.test_planner import NOW_S, cluster_state, worker

ROUNDS = 2 * START_LOSS_LIMIT
LONG_S = 2.0
MAX_ATTEMPTS = 3
SHAPES = (step(), step(3, gang=True))
SHAPE_NAMES = ("single", "gang")


@attrs.define(kw_only=True, eq=False)
class Deployment:
    """One job on workers that are lost one after the other, whoever owns it.

    Attributes:
        spec: The job's only step.
        now: The time on the owners' clock.
        attempt: The number of the latest attempt.
        state: The state of the present owner.
        rows: What owners have stored.
        changes_address: Whether each attempt is placed on other machines.
    """

    spec: StepSpec
    now: float = 100.0
    attempt: int = 0
    state: ClusterState = attrs.field(init=False)
    rows: dict[str, str] = attrs.field(factory=dict)
    changes_address: bool = True

    def __attrs_post_init__(self) -> None:
        self.state = self._new_state()
        self.state.accept("a", queue(max_attempts=MAX_ATTEMPTS), job(self.spec))

    def _new_state(self) -> ClusterState:
        state = cluster_state(worker("stable"))
        state.now = state.losses.now = lambda: self.now
        state.time_of_day = state.losses.time_of_day = lambda: NOW_S + self.now
        return state

    @property
    def step_run(self) -> StepRun:
        """The job's only step."""
        return self.state.jobs["a"].open[0].steps[0]

    @property
    def verdict(self) -> JobState | None:
        """The job's final state."""
        return self.state.jobs["a"].verdict

    @property
    def kinds(self) -> list[LossKind]:
        """What is on record, oldest first."""
        found = self.step_run.losses.values()
        return [each.kind for record in found for each in record.lost]

    def start(self, *, ran_s: float) -> FleetWorker:
        """Begin an attempt, each member on a worker; return the first one's.

        Args:
            ran_s: How long after that the workers answer last; 0 for never.
        """
        self.now += 10.0
        self.attempt += 1
        placed: list[tuple[FleetWorker, Placement]] = []
        for task in self.step_run.tasks:
            at = f"{self.attempt if self.changes_address else 0}-{task.index}"
            on = worker(f"w-{self.attempt}-{task.index}")
            on.entry = attrs.evolve(on.entry, address=f"{at}:1")
            self.state.fleet.add(on)
            on.update_clock(1, self.now)
            placement = self.state.place(task, on, self.attempt, now=self.now)
            placement.ordered = True
            placement.began(self.now)
            placed.append((on, placement))
        if ran_s:
            # The worker of the first member answers last, and once all are known.
            for each in (ran_s / 2, ran_s / 2):
                self.now += each
                for on, placement in (*placed, placed[0]):
                    self.answer(on, placement)
        self.store()
        return placed[0][0]

    def answer(
        self, on: FleetWorker, placement: Placement, percent: float = 0.0
    ) -> None:
        """Have a worker list an attempt."""
        run = RunningTask(
            task=placement.task, attempt=placement.attempt, saved="", percent=percent
        )
        reply = SyncReply(
            worker_time_ms=round(self.now * 1000), running=(run,), ended=()
        )
        self.state.sync(on, reply, sent_at=self.now, now=self.now)

    def hear_all(self, first: FleetWorker) -> None:
        """Have the workers of all members list them, that of the first one last."""
        for task in self.step_run.tasks:
            on = self.state.fleet.workers[task.worker]
            self.answer(on, on.placements[(task.name, task.attempt)])
        task = self.step_run.tasks[0]
        self.answer(first, first.placements[(task.name, task.attempt)])

    def lose(self, on: FleetWorker, cause: LossCause) -> None:
        """Lose a worker and judge that; the rest of its gang ends as well."""
        self.state.fleet.record_worker_failure(on, self.now)
        self.state.give_up_all(on, cause)
        self.now += 2 * DETECTION_LIMIT_S
        self.state.settle_losses()
        for task in self.step_run.tasks if self.verdict is None else ():
            if task.state is TaskState.PLACED:
                self.report(task.index, EndKind.STOPPED)
        self.store()

    def report(self, index: int, how: EndKind) -> None:
        """Have the worker of a task report the end of its attempt."""
        task = self.step_run.tasks[index]
        on = self.state.fleet.workers[task.worker]
        ended = EndedTask(
            number=on.heard_upto + 1,
            task=task.name,
            attempt=task.attempt,
            how=how,
            saved="",
        )
        time_ms = round(self.now * 1000)
        reply = SyncReply(worker_time_ms=time_ms, running=(), ended=(ended,))
        self.state.sync(on, reply, sent_at=self.now, now=self.now)
        self.store()

    def store(self) -> None:
        """Store what has changed."""
        while self.state.dirty:
            batch = take_batch(self.state)
            self.rows.update({put.key: put.value for put in batch.puts})
            note_stored(self.state, batch)

    def take_over(self, *, listed: bool = True) -> None:
        """Replace the owner.

        Args:
            listed: Whether the platform lists the workers of the present attempt.
        """
        known = [
            self.state.fleet.workers[task.worker].entry for task in self.step_run.tasks
        ]
        self.state = self._new_state()
        for each in known if listed else ():
            self.state.fleet.add(FleetWorker(entry=each))
        jobs = tuple(
            Row(key=key, value=value, version=1) for key, value in self.rows.items()
        )
        restore(self.state, StoredRows(specs=(), jobs=jobs, inbox=()))
        self.state.adopt(self.now)

    def first(self) -> FleetWorker:
        """Return the worker of the first member of the present attempt."""
        return self.state.fleet.workers[self.step_run.tasks[0].worker]


def _crash_alone(env: Deployment) -> None:
    env.lose(env.start(ran_s=0.0), LossCause.REPLACED)


def _fall_silent_alone(env: Deployment) -> None:
    env.lose(env.start(ran_s=0.0), LossCause.SILENT)


def _crash_beside_others(env: Deployment) -> None:
    lost = env.start(ran_s=0.0)
    _record_other_failures(env)
    env.lose(lost, LossCause.REPLACED)


def _record_other_failures(env: Deployment) -> None:
    for number in range(2):
        other = worker(f"other-{number}-{env.attempt}")
        other.clock_read_at = env.now
        env.state.fleet.add(other)
        env.state.fleet.record_worker_failure(other, env.now)


def _crash_later(env: Deployment) -> None:
    env.lose(env.start(ran_s=LONG_S), LossCause.REPLACED)


def _fall_silent_later(env: Deployment) -> None:
    env.lose(env.start(ran_s=LONG_S), LossCause.SILENT)


def _leave(env: Deployment) -> None:
    lost = env.start(ran_s=LONG_S)
    lost.update(attrs.evolve(lost.entry, leaving=True))
    env.lose(lost, LossCause.SILENT)


def _fall_during_upkeep(env: Deployment) -> None:
    lost = env.start(ran_s=LONG_S)
    lost.hold(env.now + 1.0)
    env.lose(lost, LossCause.REPLACED)


def _lapse(env: Deployment) -> None:
    env.start(ran_s=LONG_S)
    for task in env.step_run.tasks:
        env.report(task.index, EndKind.LAPSED)


def _answer_again(env: Deployment) -> None:
    lost = env.start(ran_s=0.0)
    env.lose(lost, LossCause.SILENT)
    env.state.losses.clear(lost)


def _answer_the_next_owner(env: Deployment) -> None:
    """The owner was cut off from the worker, not the worker from the others."""
    lost = env.start(ran_s=0.0)
    env.lose(lost, LossCause.SILENT)
    env.state.jobs["a"].open[0].steps[0].tasks[0].worker = lost.name
    env.take_over()
    env.state.losses.clear(lost)


def _crash_during_takeover(env: Deployment) -> None:
    env.start(ran_s=0.0)
    env.take_over()
    env.lose(env.first(), LossCause.REPLACED)


def _disappear_during_takeover(env: Deployment) -> None:
    env.start(ran_s=0.0)
    env.take_over(listed=False)
    env.lose(env.first(), LossCause.SILENT)


def _crash_before_two_takeovers(env: Deployment) -> None:
    """The first of the two owners does not live to see that the worker is lost."""
    env.start(ran_s=0.0)
    env.take_over()
    env.store()
    env.now += LONG_S
    env.take_over()
    env.lose(env.first(), LossCause.REPLACED)


def _fall_silent_before_takeover(env: Deployment) -> None:
    """The owner that notices it does not live to see that the worker is lost."""
    lost = env.start(ran_s=0.0)
    lost.liveness = Liveness.SILENT
    env.state.losses.worker_fell_silent(lost)
    env.store()
    env.now += LONG_S
    env.take_over(listed=False)
    env.lose(env.first(), LossCause.SILENT)


def _run_until_takeover(env: Deployment) -> None:
    """It crashes while no owner observes it, long after it began."""
    env.start(ran_s=LONG_S)
    env.take_over()
    env.lose(env.first(), LossCause.REPLACED)


def _run_long_before_takeover(env: Deployment) -> None:
    """Its owner could not store that it ran: the table was away."""
    on = env.start(ran_s=0.0)
    env.now += LONG_S
    env.hear_all(on)
    env.state.dirty.clear()
    env.take_over()
    env.lose(env.first(), LossCause.REPLACED)


def _fall_with_others_during_takeover(env: Deployment) -> None:
    env.start(ran_s=0.0)
    env.take_over()
    _record_other_failures(env)
    env.lose(env.first(), LossCause.REPLACED)


def _unreached_after_takeover(env: Deployment) -> None:
    env.start(ran_s=0.0)
    env.take_over()
    env.lose(env.first(), LossCause.SILENT)


def _answer_new_owner(env: Deployment) -> None:
    env.take_over()
    env.hear_all(env.first())
    for task in env.step_run.tasks:
        env.state.losses.clear(env.state.fleet.workers[task.worker])


def _crash_after_first_answer(env: Deployment) -> None:
    """The new owner hears of the attempt before it has outlived the crash window."""
    env.start(ran_s=0.0)
    _answer_new_owner(env)
    env.now += CRASH_WINDOW_S / 2
    env.lose(env.first(), LossCause.REPLACED)


def _crash_long_before_first_answer(env: Deployment) -> None:
    """It ran long before the takeover, and its owner could not store that."""
    env.start(ran_s=0.0)
    env.now += LONG_S
    _answer_new_owner(env)
    env.now += CRASH_WINDOW_S / 2
    env.lose(env.first(), LossCause.REPLACED)


def _fall_with_others_after_first_answer(env: Deployment) -> None:
    env.start(ran_s=0.0)
    _answer_new_owner(env)
    _record_other_failures(env)
    env.lose(env.first(), LossCause.REPLACED)


def _fall_with_others_after_late_answer(env: Deployment) -> None:
    """It may have run long before the new owner heard of it."""
    env.start(ran_s=0.0)
    env.now += 2 * CRASH_WINDOW_S
    _answer_new_owner(env)
    _record_other_failures(env)
    env.lose(env.first(), LossCause.REPLACED)


def _outlive_window_between_two_takeovers(env: Deployment) -> None:
    env.start(ran_s=0.0)
    _answer_new_owner(env)
    env.now += LONG_S
    env.hear_all(env.first())
    env.store()
    env.take_over()
    env.lose(env.first(), LossCause.REPLACED)


def _crash_after_takeover(env: Deployment) -> None:
    env.start(ran_s=0.0)
    env.take_over()
    for _ in range(2):
        env.now += LONG_S
        env.hear_all(env.first())
    env.lose(env.first(), LossCause.REPLACED)


Way = Callable[[Deployment], None]
TABLE: dict[str, tuple[Way, LossKind | None]] = {
    "crashes alone": (_crash_alone, LossKind.CRASH),
    "falls silent alone": (_fall_silent_alone, LossKind.CRASH),
    "crashes beside others": (_crash_beside_others, LossKind.COINCIDENT),
    "crashes later": (_crash_later, LossKind.LATER),
    "falls silent later": (_fall_silent_later, LossKind.LATER),
    "leaves": (_leave, None),
    "falls during upkeep": (_fall_during_upkeep, None),
    "lapses": (_lapse, None),
    "answers again": (_answer_again, None),
    "crashes during a takeover": (_crash_during_takeover, LossKind.UNOBSERVED),
    "disappears during one": (_disappear_during_takeover, LossKind.UNOBSERVED),
    "crashes before two": (_crash_before_two_takeovers, LossKind.UNOBSERVED),
    "falls silent before one": (_fall_silent_before_takeover, LossKind.UNOBSERVED),
    "crashes after an answer": (_crash_after_first_answer, LossKind.UNOBSERVED),
    "falls with others after an answer": (
        _fall_with_others_after_first_answer,
        LossKind.COINCIDENT,
    ),
    "falls with others after a late one": (
        _fall_with_others_after_late_answer,
        LossKind.UNKNOWN,
    ),
    "outlives it between two": (
        _outlive_window_between_two_takeovers,
        LossKind.UNKNOWN,
    ),
    "ran long before it": (_crash_long_before_first_answer, LossKind.UNKNOWN),
    "is not reached after one": (_unreached_after_takeover, LossKind.UNKNOWN),
    "crashes later after one": (_crash_after_takeover, LossKind.LATER),
}
"""By how the worker is lost: how to lose it, and the kind of the loss on record."""


@pytest.mark.parametrize("spec", SHAPES, ids=SHAPE_NAMES)
@pytest.mark.parametrize(("lose", "kind"), TABLE.values(), ids=TABLE)
def test_kind_of_each_loss(lose: Way, kind: LossKind | None, spec: StepSpec) -> None:
    env = Deployment(spec=spec)
    lose(env)
    assert env.kinds == ([] if kind is None else [kind])


# Guards against a loss that counts against a task that ran for seconds (LOST): rows say
# when any task of the step was placed last, not when this one was.
@pytest.mark.parametrize("beside_others", [False, True])
def test_placement_of_another_task_makes_no_attempt_look_new(
    beside_others: bool,
) -> None:
    env = Deployment(spec=step(2))
    env.start(ran_s=LONG_S)
    other = env.step_run.tasks[1]
    on = env.state.fleet.workers[other.worker]
    env.report(1, EndKind.FAILED)
    env.state.place(other, on, 2, now=env.now)
    env.store()
    _answer_new_owner(env)
    if beside_others:
        _record_other_failures(env)
    env.lose(env.first(), LossCause.REPLACED)
    losses = env.step_run.losses[0].lost
    assert [each.kind for each in losses] == [LossKind.UNKNOWN]


# Guards against a job that is shown as failed although no task has failed as often as
# its queue allows (LOST).
@pytest.mark.parametrize("spec", SHAPES, ids=SHAPE_NAMES)
@pytest.mark.parametrize(
    "lose",
    [
        _crash_later,
        _fall_silent_later,
        _leave,
        _fall_during_upkeep,
        _lapse,
        _answer_again,
        _run_until_takeover,
        _run_long_before_takeover,
        _crash_long_before_first_answer,
        _unreached_after_takeover,
        _crash_after_takeover,
        _fall_with_others_during_takeover,
        _fall_with_others_after_late_answer,
    ],
)
def test_losses_without_evidence_fail_no_job(lose: Way, spec: StepSpec) -> None:
    env = Deployment(spec=spec)
    for _ in range(ROUNDS):
        lose(env)
        assert env.verdict is None
    assert len(env.kinds) <= MAX_LOSSES_KEPT


# Guards against a job that is failed by failures and losses together (LOST).
@pytest.mark.parametrize("spec", SHAPES, ids=SHAPE_NAMES)
@pytest.mark.parametrize("lose", [_crash_later, _crash_alone, _run_until_takeover])
def test_losses_do_not_count_as_failures(lose: Way, spec: StepSpec) -> None:
    env = Deployment(spec=spec)
    for _ in range(MAX_ATTEMPTS - 1):
        env.start(ran_s=LONG_S)
        env.report(0, EndKind.FAILED)
        for index in range(1, len(env.step_run.tasks)):
            env.report(index, EndKind.MEMBER_ENDED)
        lose(env)
    assert env.verdict is None
    env.start(ran_s=LONG_S)
    env.report(0, EndKind.FAILED)
    assert env.verdict is JobState.FAILED


# Guards against a task that crashes its workers without end: a sixth start is not
# allowed.
@pytest.mark.parametrize("spec", SHAPES, ids=SHAPE_NAMES)
@pytest.mark.parametrize(
    ("ways", "changes_address", "starts"),
    [
        ([_crash_alone], True, CRASH_ADDRESS_LIMIT),
        ([_fall_silent_alone], True, CRASH_ADDRESS_LIMIT),
        ([_crash_alone], False, START_LOSS_LIMIT),
        ([_crash_during_takeover], True, START_LOSS_LIMIT),
        ([_disappear_during_takeover], True, START_LOSS_LIMIT),
        ([_crash_before_two_takeovers], True, START_LOSS_LIMIT),
        ([_fall_silent_before_takeover], True, START_LOSS_LIMIT),
        ([_crash_alone, _crash_during_takeover], True, START_LOSS_LIMIT),
        ([_crash_beside_others, _crash_during_takeover], True, START_LOSS_LIMIT),
        ([_crash_alone, _crash_beside_others], False, START_LOSS_LIMIT),
        ([_crash_beside_others], True, START_LOSS_LIMIT),
    ],
    ids=[
        "alone",
        "silently",
        "on one machine",
        "before each takeover",
        "before each takeover, and is not listed",
        "before two takeovers each",
        "silently, some time before each takeover",
        "before every other takeover",
        "beside others and before takeovers",
        "on one machine, at times beside others",
        "always beside others",
    ],
)
def test_task_that_crashes_its_workers_is_failed_in_time(
    ways: list[Way], changes_address: bool, starts: int, spec: StepSpec
) -> None:
    env = Deployment(spec=spec, changes_address=changes_address)
    while env.verdict is None and env.attempt < ROUNDS:
        ways[env.attempt % len(ways)](env)
    assert env.verdict is JobState.FAILED
    assert env.attempt <= starts


@pytest.mark.parametrize("kind", LossKind, ids=lambda kind: kind.value)
def test_each_kind_of_loss_counts_for_something_known(kind: LossKind) -> None:
    """A new kind is entered in the table, not taken for evidence by default."""
    assert kind in EVIDENCE
    loss = LostWorker(attempt=1, worker="w", address="w:1", kind=kind)
    assert loss.evidence in Evidence


def test_takeover_keeps_the_stored_time() -> None:
    env = Deployment(spec=step())
    _crash_alone(env)
    (before,) = env.step_run.losses[0].lost
    env.step_run.tasks[0].worker = before.worker
    env.take_over(listed=False)
    (after,) = env.step_run.losses[0].lost
    assert attrs.evolve(after, recorded_s=before.recorded_s) == before
    assert after.recorded_s == pytest.approx(NOW_S + env.now, abs=2.0)


# Guards against rows that outgrow the table's limit, and against a job that an owner of
# an earlier version fails, since it counts every loss that it reads.
def test_only_losses_that_count_for_something_are_stored() -> None:
    env = Deployment(spec=step(2))
    _crash_later(env)
    assert env.kinds == [LossKind.LATER]
    _crash_alone(env)
    env.store()
    (stored,) = rows.decode_job_row(env.rows["jobs/a"], "jobs/a").open[0].steps
    assert [each[1] for each in stored.lost] == [env.attempt]
    assert [each[0] for each in stored.loss_details] == [LossKind.CRASH.value]


def test_nothing_is_stored_of_what_a_done_task_met() -> None:
    env = Deployment(spec=step(2))
    env.start(ran_s=LONG_S)
    env.report(0, EndKind.FAILED)
    env.start(ran_s=0.0)
    env.lose(env.first(), LossCause.REPLACED)
    env.start(ran_s=0.0)
    env.report(0, EndKind.DONE)
    (stored,) = rows.decode_job_row(env.rows["jobs/a"], "jobs/a").open[0].steps
    assert stored.lost == ()
    assert stored.failed_ends == ()
