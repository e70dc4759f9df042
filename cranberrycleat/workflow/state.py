"""What has become of a job: its occurrences, steps and tasks.

Pure bookkeeping, no clock and no network. Every change marks the job dirty by
its caller (`board`); an owner acts on a change only after it was stored.
"""

import enum

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.access import may_see
from cranberrycleat.workflow.crash_attribution import LossRecord
from cranberrycleat.workflow.ports import EndKind, Queue
from cranberrycleat.workflow.spec import StepSpec, WorkflowSpec


class TaskState(enum.Enum):
    """Where a task stands."""

    PENDING = "pending"
    PLACED = "placed"
    DONE = "done"


class JobState(enum.Enum):
    """Where a job stands, as callers are told."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@attrs.define(kw_only=True, eq=False)
class Task:
    """One task of one step of one occurrence.

    Attributes:
        step: The step it belongs to.
        index: Its place in the step.
        state: Where it stands.
        attempt: The newest attempt; 0 before the first.
        worker: Where that attempt was placed; empty while pending.
        failures: Attempts that ended as failed.
        saved: The newest saved progress; empty for none.
        not_before: When it may be placed again, on the owner's clock.
        at_work: It has started up and works at full speed.
        failed_on: The workers on which an attempt of it failed, as far as this
            owner knows.
    """

    step: "StepRun"
    index: int
    state: TaskState = TaskState.PENDING
    attempt: int = 0
    worker: str = ""
    failures: int = 0
    saved: str = ""
    not_before: float = 0.0
    at_full_speed: bool = False
    failed_on: set[str] = attrs.field(factory=set)

    @property
    def name(self) -> str:
        """The name that workers know it by."""
        return f"{self.step.name}.{self.index}"


@attrs.frozen(kw_only=True)
class StepUrgency:
    """What a step's place in the order rests on; it does not change.

    Attributes:
        latest_start_s: When it must start to meet its objective, since 1970.
        may_be_late_s: How much later it is still worth something.
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
        spec: What it asks for.
        tasks: Its tasks.
        last_attempt: The highest attempt number of any of its tasks.
        gang_failures: Attempts of the whole gang that ended as failed.
        failed_attempt: The gang's attempt that was counted last as failed.
        done: How many tasks have ended as done.
        ready_at: When the step could begin, on the owner's clock.
        waits_since: Since when members of a service have waited for room.
        wait_reason: Why it was left waiting last, for logs.
        wait_told_at: When that was logged last.
        urgency: What its place in the order rests on, once it was worked out.
        losses: What is on record of workers lost under its tasks, by their index; a
            gang's stands under its first member.
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
    waits_since: float | None = None
    urgency: StepUrgency | None = None
    losses: dict[int, LossRecord] = attrs.field(factory=dict)

    @property
    def name(self) -> str:
        """The name that the permit service knows it by."""
        return f"{self.job.job_id}.{self.occurrence}.{self.number}"

    @property
    def is_done(self) -> bool:
        """Whether every task has ended as done."""
        return self.done == len(self.tasks)

    def losses_of(self, task: Task) -> LossRecord | None:
        """Return what is on record of workers lost under a task, or its gang."""
        return self.losses.get(self._loss_record_key(task))

    def ensure_losses_of(self, task: Task) -> LossRecord:
        """Return the record of workers lost under a task, or its gang."""
        return self.losses.setdefault(self._loss_record_key(task), LossRecord())

    def _loss_record_key(self, task: Task) -> int:
        return 0 if self.spec.gang else task.index

    def pending(self) -> list[Task]:
        """Return the tasks that wait for a place."""
        return [task for task in self.tasks if task.state is TaskState.PENDING]


@attrs.define(kw_only=True, eq=False)
class Occurrence:
    """One run of a job's steps."""

    number: int
    steps: list[StepRun]

    def is_done(self) -> bool:
        """Tell whether every step is done."""
        return all(step.is_done for step in self.steps)

    def ready_steps(self) -> list[StepRun]:
        """Return the steps that are not done and wait for no other step."""
        return [
            step
            for step in self.steps
            if not step.is_done
            and all(self.steps[number].is_done for number in step.spec.after)
        ]


@attrs.frozen(kw_only=True)
class OrphanedAttempt:
    """An attempt that may still run though its task is not placed any more.

    Attributes:
        task: The task's name.
        attempt: The attempt.
        worker: The incarnation of a worker that it was placed on.
        needs: What it is counted with.
    """

    task: str
    attempt: int
    worker: str
    needs: Amounts


@attrs.define(kw_only=True, eq=False)
class Job:
    """One accepted job.

    Attributes:
        job_id: The caller's identity for it.
        queue: The queue's rules, as they were when it was accepted.
        spec: What was handed in.
        accepted_s: When it was accepted, in seconds since 1970.
        verdict: Its final state; None while it is open.
        ended_s: When it became final, in seconds since 1970.
        started: Whether any task of it was ever placed.
        next_occurrence: The first occurrence that has not been opened.
        open: Occurrences that are due and not done.
        spec_stored: Whether its unchanging part was written.
        spec_inline: Whether that part stands in the row of its changing part.
        offered: Whether any transaction with it was sent.
        attempts: Attempts of its tasks that this owner placed.
        workspace: Whose it is; empty: nobody's, and shown to all.
        left: What an earlier owner had not heard to be over.
    """

    job_id: str
    queue: Queue
    spec: WorkflowSpec
    accepted_s: float
    verdict: JobState | None = None
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

    def is_visible_to(self, workspace: str) -> bool:
        """Tell whether a workspace's callers are told of it."""
        return may_see(caller=workspace, owner=self.workspace)

    def state(self) -> JobState:
        """Return what callers are told."""
        if self.verdict is not None:
            return self.verdict
        return JobState.RUNNING if self.started else JobState.QUEUED

    def has_begun(self) -> bool:
        """Tell whether what is stored shows that a worker began any task of it."""
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
        """Return when the next occurrence is due, since 1970; None: no more."""
        if self.verdict is not None or self.next_occurrence >= self.spec.occurrences():
            return None
        if self.spec.schedule is None:
            return self.accepted_s
        return self.spec.schedule.due_s(self.next_occurrence)

    def find(self, task_name: str) -> Task | None:
        """Return one of its tasks by name, if it is of an open occurrence."""
        parts = task_name.split(".")
        if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
            return None
        occurrence = self.open.get(int(parts[1]))
        if occurrence is None or int(parts[2]) >= len(occurrence.steps):
            return None
        step = occurrence.steps[int(parts[2])]
        return step.tasks[int(parts[3])] if int(parts[3]) < len(step.tasks) else None

    def place(self, task: Task, worker: str, attempt: int) -> None:
        """Note that an attempt of a task was given a worker."""
        task.state = TaskState.PLACED
        task.at_full_speed = False
        task.worker = worker
        task.attempt = attempt
        task.step.last_attempt = max(task.step.last_attempt, attempt)
        self.started = True
        self.attempts += 1

    def unplace(self, task: Task) -> None:
        """Note that an attempt is over without an end that counts."""
        task.state = TaskState.PENDING
        task.at_full_speed = False
        task.worker = ""

    def end(self, task: Task, how: EndKind, saved: str) -> None:
        """Note how the current attempt of a task ended."""
        if saved:
            self.note_saved(task, saved)
        match how:
            case EndKind.DONE if not task.step.spec.service:
                self._mark_done(task)
            case EndKind.FAILED if not task.step.spec.service:
                self.unplace(task)
                self._count_failure(task)
            case _:
                self.unplace(task)

    def note_saved(self, task: Task, saved: str) -> None:
        """Note newer progress; a gang's is that of all its members."""
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

    def _count_failure(self, task: Task) -> None:
        step = task.step
        if not step.spec.gang:
            task.failures += 1
            failures = task.failures
        else:
            if step.failed_attempt < task.attempt:
                step.failed_attempt = task.attempt
                step.gang_failures += 1
            failures = step.gang_failures
        if failures >= self.queue.max_attempts:
            self.verdict = JobState.FAILED
