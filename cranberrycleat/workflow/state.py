"""The state of jobs: their occurrences, steps and tasks.

Data structures only, without a clock and without I/O. The caller (`cluster_state`)
marks a job dirty on every change; the owner acts on a change only once it is stored.
"""

import enum
from collections.abc import Mapping

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.access import may_see
from cranberrycleat.workflow.crash_attribution import LossRecord, LostWorker
from cranberrycleat.workflow.job_pages import StoredSection
from cranberrycleat.workflow.ports import EndKind, Queue
from cranberrycleat.workflow.spec import StepSpec, WorkflowSpec


class TaskState(enum.Enum):
    """The state of a task."""

    PENDING = "pending"
    PLACED = "placed"
    DONE = "done"


class JobState(enum.Enum):
    """The state of a job, as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@attrs.frozen(kw_only=True)
class FailedEnd:
    """An end of an attempt that counts towards a queue's `max_attempts`.

    Attributes:
        index: The index of the task in its step.
        attempt: The attempt number.
        worker: The worker that reported it.
    """

    index: int
    attempt: int
    worker: str


@attrs.frozen(kw_only=True)
class AttemptsUsed:
    """A job is failed because a task or gang failed as often as its queue allows.

    Attributes:
        task: The task that failed last.
        max_attempts: The limit in force for the job.
        ends: The ends that were counted.
    """

    task: str
    max_attempts: int
    ends: tuple[FailedEnd, ...]


@attrs.frozen(kw_only=True)
class WorkersCrashed:
    """A job is failed because a task or gang is held to crash its workers.

    Attributes:
        task: The task under which the last worker was lost.
        losses: The lost workers on record.
    """

    task: str
    losses: tuple[LostWorker, ...]


FailureCause = AttemptsUsed | WorkersCrashed


@attrs.define(kw_only=True, eq=False)
class Task:
    """One task of one step of one occurrence.

    Attributes:
        step: The step it belongs to.
        index: Its index in the step.
        state: Whether it is pending, placed or done.
        attempt: The number of the latest attempt; 0 before the first.
        worker: The worker on which that attempt was placed; empty while pending.
        ended_on: The worker incarnations that reported the end of that attempt, as far
            as this owner knows; a late copy of its start may run on a second one.
        failures: The number of attempts that ended as failed.
        saved: The latest checkpoint; empty for none.
        not_before: When it may be placed again, on the owner's clock.
        at_full_speed: Whether it has started up and runs at full speed.
        is_stopping: Whether its current attempt is to be stopped.
        failed_on: When an attempt of it last failed on each worker, on the owner's
            clock, as far as this owner knows.
        waits_since: Since when it has waited for room, if it is a member of a service
            that could be placed; None if it does not wait.
    """

    step: "StepRun"
    index: int
    state: TaskState = TaskState.PENDING
    attempt: int = 0
    worker: str = ""
    ended_on: set[str] = attrs.field(factory=set)
    failures: int = 0
    saved: str = ""
    not_before: float = 0.0
    at_full_speed: bool = False
    is_stopping: bool = False
    failed_on: dict[str, float] = attrs.field(factory=dict)
    waits_since: float | None = None

    @property
    def name(self) -> str:
        """The name by which workers identify the task."""
        return f"{self.step.name}.{self.index}"


@attrs.frozen(kw_only=True)
class StepUrgency:
    """The inputs to a step's rank in the scheduling order; they do not change.

    Attributes:
        latest_start_s: When it must start to meet its objective, since 1970.
        tolerated_lateness_s: How much later than that a start is still worthwhile.
    """

    latest_start_s: float
    tolerated_lateness_s: float


@attrs.define(kw_only=True, eq=False)
class StepRun:
    """One step of one occurrence.

    Attributes:
        job: The job.
        occurrence: The occurrence's number.
        number: The step's number.
        spec: Its specification.
        tasks: Its tasks.
        last_attempt: The highest attempt number of any of its tasks.
        gang_failures: The number of attempts of the whole gang that ended as failed.
        failed_attempt: The last attempt of the gang that was counted as failed.
        done: The number of completed tasks.
        ready_at: When the step became ready to run, on the owner's clock.
        idle_since: Since when nothing of its job has been placed, for a service since
            when a member has waited, as far as planning rounds have seen.
        yields_at: From when room may be looked for without precautions again.
        selects_victims_at: From when victims may be selected again for members of a
            service that got no room.
        wait_reason: Why it was last left waiting, for logs.
        wait_logged_at: When that reason was last logged.
        urgency: The inputs to its scheduling rank, once computed.
        losses: The workers lost while they ran its tasks, by task index; those of a
            gang are recorded under its first member.
        failed_ends: The ends that were counted as failed, oldest first.
        placed_s: When any of its tasks was last placed, in seconds since 1970; 0 if
            unknown.
        unseen: The attempts, with the index of their task, that an owner lost sight of
            before they outlived the crash window.
    """

    job: "Job"
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task] = attrs.field(factory=list)
    last_attempt: int = 0
    gang_failures: int = 0
    failed_attempt: int = 0
    done: int = 0
    ready_at: float = 0.0
    wait_reason: str = ""
    wait_logged_at: float = 0.0
    idle_since: float | None = None
    yields_at: float = float("-inf")
    selects_victims_at: float = float("-inf")
    urgency: StepUrgency | None = None
    losses: dict[int, LossRecord] = attrs.field(factory=dict)
    failed_ends: list[FailedEnd] = attrs.field(factory=list)
    placed_s: float = 0.0
    unseen: set[tuple[int, int]] = attrs.field(factory=set)

    @property
    def name(self) -> str:
        """The name by which the permit service identifies the step."""
        return f"{self.job.job_id}.{self.occurrence}.{self.number}"

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done == len(self.tasks)

    def losses_of(self, task: Task) -> LossRecord | None:
        """Return the record of workers lost under a task or its gang, if any."""
        return self.losses.get(self._loss_record_key(task))

    def ensure_losses_of(self, task: Task) -> LossRecord:
        """Return the record of workers lost under a task or its gang; create it."""
        return self.losses.setdefault(self._loss_record_key(task), LossRecord())

    def awaits_verdict(self, task: Task) -> bool:
        """Return whether a loss that may fail a task is still to be judged."""
        losses = self.losses_of(task)
        return losses is not None and bool(losses.undecided)

    def _loss_record_key(self, task: Task) -> int:
        return 0 if self.spec.gang else task.index

    def pending(self) -> list[Task]:
        """Return the tasks that wait for placement."""
        return [task for task in self.tasks if task.state is TaskState.PENDING]


@attrs.define(kw_only=True, eq=False)
class Occurrence:
    """One run of a job's steps."""

    number: int
    steps: list[StepRun]

    def is_done(self) -> bool:
        """Return whether every step is done."""
        return all(step.is_done for step in self.steps)

    def is_unbegun(self) -> bool:
        """Return whether no task of it was ever placed."""
        return not any(step.last_attempt for step in self.steps)

    def ready_steps(self) -> list[StepRun]:
        """Return the unfinished steps whose dependencies are done."""
        return [
            step
            for step in self.steps
            if not step.is_done
            and all(self.steps[number].is_done for number in step.spec.after)
        ]


@attrs.frozen(kw_only=True)
class OrphanedAttempt:
    """An attempt that may still run although its task is no longer placed there.

    Attributes:
        task: The name of the task.
        attempt: The attempt number.
        worker: The worker incarnation on which it was placed.
        needs: The resources reserved for it.
    """

    task: str
    attempt: int
    worker: str
    needs: Amounts


@attrs.frozen(kw_only=True)
class UnansweredStart:
    """A start that got no answer, so that it may be carried out late.

    Attributes:
        task: The name of the task.
        attempt: The attempt number.
        worker: The worker incarnation to which it was sent.
        group: The step's name if the task is a member of a gang, otherwise the task's.
        needs: The resources that the attempt takes.
    """

    task: str
    attempt: int
    worker: str
    group: str
    needs: Amounts


@attrs.define(kw_only=True, eq=False)
class Job:
    """One accepted job.

    Attributes:
        job_id: The ID chosen by the caller.
        queue: The settings of its queue at the time it was accepted.
        spec: The job as submitted.
        accepted_s: When it was accepted, in seconds since 1970.
        verdict: Its final state; None while it is open.
        failure: Why it is failed; None if it is not, or if an earlier owner failed it.
        ended_s: When it became final, in seconds since 1970.
        started: Whether any of its tasks was ever placed.
        next_occurrence: The number of the first occurrence not yet opened.
        open: Occurrences that are due and not done, by number.
        spec_stored: Whether its immutable part has been stored.
        spec_inline: Whether the immutable part is stored inline, in the mutable row.
        sent_to_table: Whether any transaction containing it was sent.
        attempts: The number of attempts of its tasks that were placed.
        workspace: The workspace it belongs to; empty for none: visible to everyone.
        left: Orphaned attempts whose end an earlier owner did not receive.
        unanswered: Starts that an earlier owner sent without an answer.
        sections: The sections of its state as stored, if it outgrew one row.
        last_page: The highest number of any page of these sections.
    """

    job_id: str
    queue: Queue
    spec: WorkflowSpec
    accepted_s: float
    verdict: JobState | None = None
    failure: FailureCause | None = None
    ended_s: float = 0.0
    started: bool = False
    next_occurrence: int = 0
    open: dict[int, Occurrence] = attrs.field(factory=dict)
    spec_stored: bool = False
    spec_inline: bool = False
    sent_to_table: bool = False
    attempts: int = 0
    workspace: str = ""
    left: tuple[OrphanedAttempt, ...] = ()
    unanswered: tuple[UnansweredStart, ...] = ()
    sections: Mapping[int, StoredSection] = attrs.field(factory=dict)
    last_page: int = 0

    def is_visible_to(self, workspace: str) -> bool:
        """Return whether callers of a workspace may see the job."""
        return may_see(caller=workspace, owner=self.workspace)

    def state(self) -> JobState:
        """Return the state reported to callers."""
        if self.verdict is not None:
            return self.verdict
        return JobState.RUNNING if self.started else JobState.QUEUED

    def has_begun(self) -> bool:
        """Return whether the stored state shows that a worker started any task."""
        return self.verdict is not None or any(
            task.state is TaskState.DONE or bool(task.failures) or bool(task.saved)
            for occurrence in self.open.values()
            for step in occurrence.steps
            for task in step.tasks
        )

    def open_occurrence(self) -> Occurrence:
        """Open the next occurrence and return it."""
        number = self.next_occurrence
        occurrence = Occurrence(number=number, steps=[])
        for index, spec in enumerate(self.spec.steps):
            step = StepRun(job=self, occurrence=number, number=index, spec=spec)
            step.tasks = [Task(step=step, index=each) for each in range(spec.count)]
            occurrence.steps.append(step)
        self.open[number] = occurrence
        self.next_occurrence = number + 1
        return occurrence

    def next_occurrence_due_s(self) -> float | None:
        """Return when the next occurrence is due, since 1970; None if none is left."""
        if self.verdict is not None or self.next_occurrence >= self.spec.occurrences():
            return None
        if self.spec.schedule is None:
            return self.accepted_s
        return self.spec.schedule.due_s(self.next_occurrence)

    def find(self, task_name: str) -> Task | None:
        """Return a task by name if it belongs to an open occurrence."""
        parts = task_name.split(".")
        if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
            return None
        occurrence = self.open.get(int(parts[1]))
        if occurrence is None or int(parts[2]) >= len(occurrence.steps):
            return None
        step = occurrence.steps[int(parts[2])]
        return step.tasks[int(parts[3])] if int(parts[3]) < len(step.tasks) else None

    def place(self, task: Task, worker: str, attempt: int) -> None:
        """Record the placement of an attempt of a task."""
        task.state = TaskState.PLACED
        task.at_full_speed = False
        task.is_stopping = False
        task.worker = worker
        task.attempt = attempt
        task.ended_on.clear()
        task.step.unseen -= {each for each in task.step.unseen if each[0] == task.index}
        task.step.last_attempt = max(task.step.last_attempt, attempt)
        self.started = True
        self.attempts += 1

    def unplace(self, task: Task) -> None:
        """Return a task to pending after an attempt that did not complete it."""
        task.state = TaskState.PENDING
        task.at_full_speed = False
        task.is_stopping = False
        task.worker = ""

    def fail(self, cause: FailureCause) -> None:
        """Set the job to failed."""
        self.verdict = JobState.FAILED
        self.failure = cause

    def end(self, task: Task, how: EndKind, saved: str, worker: str) -> None:
        """Record the end of the current attempt of a task, reported by a worker."""
        if saved:
            self.note_saved(task, saved)
        task.ended_on.add(worker)
        match how:
            case EndKind.DONE if not task.step.spec.service:
                self._mark_done(task)
            case EndKind.FAILED if not task.step.spec.service:
                self.unplace(task)
                self._count_failure(task, worker)
            case _:
                self.unplace(task)

    def note_saved(self, task: Task, saved: str) -> None:
        """Record a newer checkpoint; a gang's checkpoint applies to all its members."""
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            member.saved = saved

    def _mark_done(self, task: Task) -> None:
        step = task.step
        members = step.tasks if step.spec.gang else [task]
        for member in members:
            if member.state is not TaskState.DONE:
                member.state = TaskState.DONE
                member.worker = ""
                step.done += 1
        occurrence = self.open[step.occurrence]
        if occurrence.is_done():
            del self.open[step.occurrence]
        if not self.open and self.next_occurrence >= self.spec.occurrences():
            self.verdict = JobState.COMPLETED

    def _count_failure(self, task: Task, worker: str) -> None:
        step = task.step
        end = FailedEnd(index=task.index, attempt=task.attempt, worker=worker)
        if not step.spec.gang:
            task.failures += 1
            failures = task.failures
            step.failed_ends.append(end)
        else:
            if step.failed_attempt < task.attempt:
                step.failed_attempt = task.attempt
                step.gang_failures += 1
                step.failed_ends.append(end)
            failures = step.gang_failures
        if failures >= self.queue.max_attempts:
            ends = tuple(
                each
                for each in step.failed_ends
                if step.spec.gang or each.index == task.index
            )
            limit = self.queue.max_attempts
            self.fail(AttemptsUsed(task=task.name, max_attempts=limit, ends=ends))
