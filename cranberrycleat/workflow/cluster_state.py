"""The owner's in-memory state: jobs, workers and the placements of attempts on them.

Does no I/O and has no clock of its own. A change marks its job dirty; the owner stores
dirty jobs and only then acts on them: sends a start, acknowledges an end, reports to a
caller (see `batches`).
"""

import collections
import heapq
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from cranberrycleat import events
from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.clock import BootClock, WallClock
from cranberrycleat.logs import emit
from cranberrycleat.table import TableLimits
from cranberrycleat.workflow.announcements import Announcements
from cranberrycleat.workflow.crash_attribution import UNOBSERVED_S
from cranberrycleat.workflow.decisions.load_control import LoadControl
from cranberrycleat.workflow.decisions.ordering import objective_s
from cranberrycleat.workflow.decisions.permit_choice import AllowedShare
from cranberrycleat.workflow.decisions.retrying import retry_delay_s
from cranberrycleat.workflow.decisions.speed_model import DEFAULT_SPEED, is_evidence
from cranberrycleat.workflow.failure_report import failure_report
from cranberrycleat.workflow.fleet import (
    AttemptKey,
    Fleet,
    FleetWorker,
    Liveness,
    LossCause,
    Placement,
    adopted_placement,
    attempts_by_key,
    job_of,
    reserved_resources,
)
from cranberrycleat.workflow.late_starts import (
    LateStart,
    LateStartKey,
    LateStarts,
    step_of,
)
from cranberrycleat.workflow.loss_tracker import LossTracker
from cranberrycleat.workflow.permits import StepPermits
from cranberrycleat.workflow.ports import (
    EndedTask,
    EndKind,
    Queue,
    RunningTask,
    SyncReply,
    WorkerEntry,
    identity_of,
)
from cranberrycleat.workflow.quota import QuotaLedger
from cranberrycleat.workflow.rejections import Rejections
from cranberrycleat.workflow.row_sizes import RowSizes
from cranberrycleat.workflow.spec import WorkflowSpec
from cranberrycleat.workflow.state import (
    Job,
    JobState,
    OrphanedAttempt,
    StepRun,
    Task,
    TaskState,
    UnansweredStart,
)
from cranberrycleat.workflow.waiting import WaitingSteps
from cranberrycleat.workflow.worker_failures import CorrelatedFailures, WorkerFailure

MAX_ENDS_PER_SYNC: Final = 500
"""The maximum number of ended attempts in one reply of a worker."""
MAX_KEPT_ENDS: Final = 400
"""How many ends of one worker are kept at most: it lists the oldest 500 only, so that
later ones would not be received."""
MAX_REPORTED_SURVIVAL_S: Final = 999.0
"""The survival time logged for an attempt that began before this owner took over."""
ENDED_AT_ROUNDING_S: Final = 1.0
"""Rows hold the time at which a job ended in whole seconds."""
MAX_UNBEGUN_OCCURRENCES: Final = 64
"""How many occurrences of a job that were never placed are open at once. What keeps
them waiting keeps later ones waiting as well. At one check each 0.2 s, this opens 320
occurrences per second when the wait is over."""
FULL_SPEED_PERCENT: Final = 100
"""The percentage from which a member of a service counts as running at full speed."""

ReservedAttempt = tuple[FleetWorker, Placement]
"""An attempt and the worker whose capacity is reserved for it."""


@attrs.define(kw_only=True, eq=False)
class ClusterState:
    """Jobs, workers and placements of one owner.

    Attributes:
        time_of_day: Returns the time in seconds since 1970, unaffected by steps of the
            host's clock.
        now: Returns the time on the owner's clock.
        jobs: Every job whose state callers may query, by ID.
        fleet: The workers.
        permits: The permits known for each step, by step name.
        permit_shares: The share of workers that the permit service recently allowed, by
            queue.
        waiting: Steps with tasks to be placed, by name and by requirements.
        reported: The stored state of each job, as reported to callers.
        dirty: Jobs with changes that are not stored.
        inbox: IDs of jobs whose inbox row has not been deleted yet.
        placed: Attempts with reserved capacity, by job and attempt.
        unstarted: IDs of open jobs without a schedule of which no worker is known to
            have started a task, by queue. Maintained incrementally because every
            heartbeat reply has the queue lengths. A placement alone does not count as a
            start: a worker behind a network partition may never receive it.
        ended: The time at which each final job ended, since 1970, with its ID; a heap.
        stops_due: Names of workers with attempts to stop, since they were last taken.
        losses: The record of workers that were lost while they ran tasks.
        quotas: The resources charged to each workspace.
        unreadable: IDs of jobs whose rows were written by another version. Their
            attempts are neither stopped nor acknowledged; that is left to an owner that
            can read the rows.
        orphaned: The number of orphaned attempts that still count, by task.
        load: The policies for hard load; told of accepted jobs and ended attempts.
        table_limits: What the table takes at most.
        announcements: The workers that announced that they leave.
        discarded: Keys of rows to be deleted, in the order in which they are.
        rejections: The jobs whose rows the table rejected.
        row_sizes: The sizes of large rows.
    """

    time_of_day: Callable[[], float] = attrs.field(factory=lambda: WallClock().now_s)
    now: Callable[[], float] = attrs.field(factory=lambda: BootClock().now)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    fleet: Fleet = attrs.field(factory=Fleet)
    permits: dict[str, StepPermits] = attrs.field(factory=dict)
    permit_shares: dict[str, AllowedShare] = attrs.field(factory=dict)
    waiting: WaitingSteps = attrs.field(factory=WaitingSteps)
    reported: dict[str, JobState] = attrs.field(factory=dict)
    dirty: dict[str, Job] = attrs.field(factory=dict)
    inbox: set[str] = attrs.field(factory=set)
    placed: dict[str, dict[AttemptKey, ReservedAttempt]] = attrs.field(factory=dict)
    unstarted: dict[str, set[str]] = attrs.field(factory=dict)
    ended: list[tuple[float, str]] = attrs.field(factory=list)
    stops_due: set[str] = attrs.field(factory=set)
    unreadable: set[str] = attrs.field(factory=set)
    quotas: QuotaLedger = attrs.field(factory=QuotaLedger)
    orphaned: "collections.Counter[str]" = attrs.field(factory=collections.Counter)
    load: LoadControl = attrs.field(factory=LoadControl)
    table_limits: TableLimits = TableLimits()
    announcements: Announcements = attrs.field(factory=Announcements)
    discarded: dict[str, None] = attrs.field(factory=dict)
    rejections: Rejections = attrs.field(factory=Rejections)
    row_sizes: RowSizes = attrs.field(factory=RowSizes)
    _scheduled: set[str] = attrs.field(factory=set)
    losses: LossTracker = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.losses = LossTracker(
            fleet=self.fleet,
            now=self.now,
            time_of_day=self.time_of_day,
            changed=self._mark_dirty,
        )

    # --- jobs ---------------------------------------------------------------

    def accept(
        self,
        job_id: str,
        queue: Queue,
        spec: WorkflowSpec,
        *,
        accepted_s: float | None = None,
        workspace: str = "",
    ) -> Job:
        """Accept a job; a known ID is returned unchanged.

        Args:
            job_id: The ID chosen by the caller.
            queue: The queue it was submitted to.
            spec: The job.
            accepted_s: When it was accepted, since 1970; None for now. The time that a
                job spent in the inbox counts against its objective. The clock of the
                host that accepted it may be ahead, so later times are capped at now.
            workspace: The workspace it belongs to.
        """
        known = self.jobs.get(job_id)
        if known is not None:
            return known
        now_s = self.time_of_day()
        accepted_s = now_s if accepted_s is None else min(now_s, accepted_s)
        job = Job(
            job_id=job_id,
            queue=queue,
            spec=spec,
            accepted_s=accepted_s,
            spec_inline=spec.fits_inline(),
            workspace=workspace,
        )
        self.jobs[job_id] = job
        self._track_unstarted(job)
        tier = None
        if self.load.fair_share is not None:
            tier = self.load.fair_share.record_accepted(job)
        emit(
            events.JobAccepted(
                job=job_id,
                queue=queue.name,
                steps=len(spec.steps),
                tasks=sum(step.count for step in spec.steps),
                runs=spec.occurrences(),
                due_in_s=round(
                    (job.next_occurrence_due_s() or 0.0) - job.accepted_s, 3
                ),
                labels=tuple(sorted({each.label for each in spec.steps if each.label})),
                objective_s=round(objective_s(job), 3),
                stretch=queue.stretch,
                slack_s=queue.objective_s,
                workspace=workspace,
                tier="" if tier is None else tier.name.lower(),
            )
        )
        self.load.record_forecast(job, self.now(), now_s)
        self._mark_dirty(job)
        self.open_due_occurrences(job)
        return job

    def withdraw(self, job_id: str) -> bool:
        """Remove a job that was never sent to the table.

        Returns:
            Whether it was removed; otherwise the table may hold it.
        """
        job = self.jobs.get(job_id)
        if job is None or job.sent_to_table or job_id in self.inbox:
            return False
        for worker, placement in self.placements_of(job_id):
            self._unreserve(worker, placement)
        self._remove_waiting_steps(job)
        self.dirty.pop(job_id, None)
        self.rejections.put_aside.pop(job_id, None)
        if self.load.fair_share is not None:
            self.load.fair_share.withdraw(job)
        self.load.outcomes.forget(job_id)
        del self.jobs[job_id]
        return True

    def restore(self, job: Job) -> None:
        """Add a job that an earlier owner stored, whose clock may have been ahead."""
        job.accepted_s = min(job.accepted_s, self.time_of_day())
        self.jobs[job.job_id] = job
        self.reported[job.job_id] = job.state()
        if job.verdict is None:
            self._track_unstarted(job)
            self.losses.restore(job)
            self.open_due_occurrences(job)
        else:
            heapq.heappush(self.ended, (job.ended_s, job.job_id))

    def open_due_occurrences(self, job: Job) -> bool:
        """Open the occurrences of a job that are due; return whether there were any.

        Only `MAX_UNBEGUN_OCCURRENCES` are open of which no task was ever placed. The
        others are opened later, with the time at which they were due.
        """
        now_s = self.time_of_day()
        due = job.next_occurrence_due_s()
        opened = 0
        if due is not None and due <= now_s:
            unbegun = sum(each.is_unbegun() for each in job.open.values())
            while (
                due is not None
                and due <= now_s
                and unbegun + opened < MAX_UNBEGUN_OCCURRENCES
            ):
                job.open_occurrence()
                opened += 1
                self._mark_dirty(job)
                due = job.next_occurrence_due_s()
        if due is None:
            self._scheduled.discard(job.job_id)
        else:
            self._scheduled.add(job.job_id)
        self._enqueue_ready_steps(job)
        return bool(opened)

    def open_all_due_occurrences(self) -> bool:
        """Open the occurrences of all jobs that are due; return if there were any."""
        opened = [
            self.open_due_occurrences(self.jobs[job_id])
            for job_id in list(self._scheduled)
        ]
        return any(opened)

    def next_due_s(self) -> float | None:
        """Return when the next occurrence is due, since 1970; None if there is none."""
        due_times = [
            self.jobs[each].next_occurrence_due_s() for each in self._scheduled
        ]
        return min((each for each in due_times if each is not None), default=None)

    def cancel(self, job_id: str) -> Job | None:
        """Cancel a job; a final job is left unchanged."""
        job = self.jobs.get(job_id)
        if job is not None and job.verdict is None:
            self._finish_job(job, JobState.CANCELLED)
        return job

    def _finish_job(self, job: Job, verdict: JobState) -> None:
        if job.ended_s:
            # Already final: this is the end of one of its remaining attempts.
            return
        job.verdict = verdict
        job.ended_s = self.time_of_day()
        heapq.heappush(self.ended, (job.ended_s, job.job_id))
        self._emit_job_ended(job)
        if verdict is JobState.COMPLETED:
            self.load.outcomes.ended(job.job_id, self.now())
        else:
            self.load.outcomes.forget(job.job_id)
        self._mark_dirty(job)
        self._remove_waiting_steps(job)
        for worker, placement in self.placements_of(job.job_id):
            self.stop(worker, placement, verdict.value)

    def _emit_job_ended(self, job: Job) -> None:
        assert job.verdict is not None
        after_s = job.ended_s - job.accepted_s
        objective = objective_s(job)
        emit(
            events.JobEnded(
                job=job.job_id,
                queue=job.queue.name,
                state=job.verdict.value,
                after_s=round(after_s, 3),
                objective_s=round(objective, 3),
                late=after_s > objective,
                attempts=job.attempts,
                failure=failure_report(job.failure, job.ended_s),
            )
        )

    def _remove_waiting_steps(self, job: Job) -> None:
        """Remove all steps of a job from those waiting for placement."""
        for occurrence in job.open.values():
            for step in occurrence.steps:
                self._remove_waiting_step(step)
        self._scheduled.discard(job.job_id)
        self.losses.forget(job.job_id)
        self._untrack_unstarted(job)

    def _remove_waiting_step(self, step: StepRun) -> None:
        self.waiting.pop(step.name, None)
        self.permits.pop(step.name, None)

    def permits_of(self, step: StepRun) -> StepPermits | None:
        """Return the permits known for a step; None if its queue needs no permits."""
        queue = step.job.queue
        if queue.permits is None:
            return None
        found = self.permits.get(step.name)
        if found is None:
            share = self.permit_shares.setdefault(queue.name, AllowedShare())
            found = StepPermits(policy=queue.permits, share=share)
            self.permits[step.name] = found
        return found

    def permit_refused(self, worker: FleetWorker, placement: Placement) -> None:
        """Record that a worker refused the permit of an attempt."""
        task = placement.tracked_task
        permits = None if task is None else self.permits.get(task.step.name)
        if permits is not None:
            permits.refused(worker.name)

    def is_over_quota(self, placement: Placement) -> bool:
        """Return whether the workspace of an attempt exceeds its quota."""
        task = placement.tracked_task
        return task is not None and self.quotas.is_over(task.step.job.workspace)

    def placements_of(self, job_id: str) -> tuple[ReservedAttempt, ...]:
        """Return all attempts of a job that hold capacity on a worker."""
        return tuple(self.placed.get(job_id, {}).values())

    @property
    def late_starts(self) -> LateStarts:
        """The start orders that may still be carried out."""
        return self.fleet.late_starts

    def _reserve(self, worker: FleetWorker, placement: Placement) -> None:
        worker.count(placement)
        if placement.tracked_task is None:
            self.orphaned[placement.task] += 1
        job_id = job_of(placement.task)
        of_job = self.placed.setdefault(job_id, {})
        of_job[(placement.task, placement.attempt)] = (worker, placement)
        job = self.jobs.get(job_id)
        late = self.late_starts.entries.get(late_start_key(worker, placement))
        if job is not None and (late is None or not late.is_released):
            key = (worker.name, placement.task, placement.attempt)
            self.quotas.charge(key, job.workspace, placement.needs)

    def _unreserve(self, worker: FleetWorker, placement: Placement) -> None:
        """Release an attempt, except for what a late start of it may still take."""
        charge = (worker.name, placement.task, placement.attempt)
        late = self.late_starts.entries.get(late_start_key(worker, placement))
        if late is not None and not late.is_released and self._is_over(late):
            self._expire(late)
            late = None
        self._uncount(worker, placement)
        if late is None or late.is_released:
            # What a late start began is not charged for the next one again.
            self.quotas.release(charge)
            return
        late.charge = charge
        late.is_unanswered = True
        self.fleet.update_late_reservation(worker.entry.worker)
        emit(
            events.StartMayBeLate(
                task=placement.task,
                attempt=placement.attempt,
                worker=worker.name,
                for_s=round(late.until - self.now(), 3),
            )
        )

    def _uncount(self, worker: FleetWorker, placement: Placement) -> None:
        worker.uncount(placement)
        if placement.tracked_task is None:
            self.orphaned[placement.task] -= 1
            if self.orphaned[placement.task] <= 0:
                del self.orphaned[placement.task]
        job_id = job_of(placement.task)
        of_job = self.placed.get(job_id, {})
        of_job.pop((placement.task, placement.attempt), None)
        if not of_job:
            self.placed.pop(job_id, None)

    # --- starts without an answer -------------------------------------------

    def start_sent(
        self, worker: FleetWorker, placement: Placement, limit_s: float
    ) -> float:
        """Record that a start is being sent; return until when earlier ones may come.

        Args:
            worker: The worker.
            placement: The attempt to start.
            limit_s: How long its answer is waited for.
        """
        if not placement.may_start_late:
            return float("-inf")
        entry = self.late_starts.entries.get(late_start_key(worker, placement))
        earlier_until = float("-inf") if entry is None else entry.until
        self._add_late_start(worker, placement, limit_s + self.late_starts.bound_s)
        return earlier_until

    def start_unanswered(self, worker: FleetWorker, placement: Placement) -> None:
        """Record that a start got no answer; it is stored before a copy is sent."""
        if not placement.may_start_late or worker.liveness is Liveness.GONE:
            return
        # Counted again from now: the host may have been suspended before it sent it.
        entry = self._add_late_start(worker, placement, self.late_starts.bound_s)
        entry.is_unanswered = True
        job = self.jobs.get(entry.job_id)
        if job is not None:
            placement.stored = False
            self._mark_dirty(job)

    def start_settled(
        self, worker: FleetWorker, placement: Placement, earlier_until: float
    ) -> None:
        """Record that the last start of an attempt was answered, or never sent.

        Args:
            worker: The worker.
            placement: The attempt.
            earlier_until: Until when earlier orders for the same attempt may be carried
                out (see `start_sent`).
        """
        entry = self.late_starts.entries.get(late_start_key(worker, placement))
        if entry is None:
            return
        entry.until = earlier_until
        if entry.until <= self.now():
            self._expire(entry)

    def _add_late_start(
        self, worker: FleetWorker, placement: Placement, for_s: float
    ) -> LateStart:
        task = placement.tracked_task
        is_member = task is not None and task.step.spec.gang
        start = UnansweredStart(
            task=placement.task,
            attempt=placement.attempt,
            worker=worker.name,
            group=step_of(placement.task) if is_member else placement.task,
            needs=placement.needs,
        )
        entry = LateStart(
            worker=worker.entry.worker, start=start, until=self.now() + for_s
        )
        return self.late_starts.add(entry)

    def worker_was_replaced(self, worker: FleetWorker) -> None:
        """Record that another identity answers: it refuses orders for this one."""
        for entry in self.late_starts.of_worker(worker.entry.worker):
            self._expire(entry)

    def expire_late_starts(self) -> bool:
        """Release what late starts reserved for long enough; return if any did."""
        over = [
            each for each in self.late_starts.entries.values() if self._is_over(each)
        ]
        for entry in over:
            self._expire(entry)
        return bool(over)

    def _is_over(self, entry: LateStart) -> bool:
        """Return whether a start can neither come nor have begun anything unnoticed."""
        now = self.now()
        if now < entry.until:
            return False
        newest = self.fleet.newest.get(entry.worker)
        if newest is None:
            return True
        if newest.liveness is Liveness.LIVE:
            # It has answered since, so that what it runs is known.
            return newest.clock_read_at >= entry.until
        if newest.name == entry.start.worker:
            return True
        # A later incarnation that does not answer may have carried it out.
        return now >= entry.until + self.late_starts.run_on_s

    def _expire(self, entry: LateStart) -> None:
        self.late_starts.remove(entry.key)
        if entry.charge is not None:
            self.quotas.release(entry.charge)
            self.fleet.update_late_reservation(entry.worker)
            return
        reserved = self.placed.get(entry.job_id, {})
        found = reserved.get((entry.start.task, entry.start.attempt))
        if found is not None:
            self.update_startable(*found)

    def update_startable(self, worker: FleetWorker, placement: Placement) -> None:
        """Stop reserving for a late start of a running attempt if there is none."""
        key = late_start_key(worker, placement)
        if placement.running and key not in self.late_starts.entries:
            worker.mark_unstartable(placement)

    def _note_listed(self, worker: FleetWorker, placement: Placement) -> None:
        """Record that an attempt was carried out: it had no start but the only one."""
        entry = self.late_starts.entries.get(late_start_key(worker, placement))
        if entry is not None and entry.is_inherited:
            self._expire(entry)
        if placement.is_startable:
            self.update_startable(worker, placement)

    def restricts_placing(self) -> bool:
        """Return whether any pending task must wait for an earlier attempt of it."""
        return bool(self.late_starts.entries or self.orphaned)

    def has_earlier_attempt(self, task: Task) -> bool:
        """Return whether an earlier attempt of a pending task may run or start late."""
        if task.name in self.orphaned:
            return True
        group = task.step.name if task.step.spec.gang else task.name
        return bool(self.late_starts.of_group(group))

    def keeps_end(self, worker: FleetWorker, task: str) -> bool:
        """Return whether a task's end must not be acknowledged to its worker yet."""
        if not worker.entry.born_ms or len(worker.unstored_ends) > MAX_KEPT_ENDS:
            return False
        return self.late_starts.may_follow_end(task, self.now())

    def _mark_dirty(self, job: Job) -> None:
        self.dirty[job.job_id] = job

    def _enqueue_ready_steps(self, job: Job) -> None:
        for occurrence in job.open.values():
            for step in occurrence.ready_steps():
                if step.done < len(step.tasks) and job.verdict is None:
                    if step.name not in self.waiting and not step.last_attempt:
                        step.ready_at = self.now()
                    self.waiting[step.name] = step

    def _track_unstarted(self, job: Job) -> None:
        if not job.has_begun() and job.spec.schedule is None:
            self.unstarted.setdefault(job.queue.name, set()).add(job.job_id)

    def _untrack_unstarted(self, job: Job) -> None:
        self.unstarted.get(job.queue.name, set()).discard(job.job_id)

    def queue_length(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue with no started task."""
        return len(self.unstarted.get(queue, ()))

    # --- placements ---------------------------------------------------------

    def place(
        self, task: Task, worker: FleetWorker, attempt: int, *, now: float
    ) -> Placement:
        """Place a task on a worker; its start is sent once the placement is stored."""
        job = task.step.job
        job.place(task, worker.name, attempt)
        task.step.placed_s = self.time_of_day()
        self.waiting.note_changed(task.step)
        placement = Placement(
            task=task.name,
            attempt=attempt,
            needs=reserved_resources(task.step.spec),
            tracked_task=task,
            program=job.spec.program,
            saved=task.saved,
            planned_at=now,
            may_start_late=bool(worker.entry.born_ms) and job.queue.permits is None,
        )
        self._reserve(worker, placement)
        self._mark_dirty(job)
        emit(
            events.TaskPlaced(
                task=task.name,
                attempt=attempt,
                worker=worker.name,
                waited_s=round(now - task.step.ready_at, 4),
                saved=bool(task.saved),
            )
        )
        return placement

    def adopt(self, now: float) -> None:
        """Reserve capacity for every placement that an earlier owner stored."""
        for job in self.jobs.values():
            for left in job.left:
                self._adopt_orphaned_attempt(left, now)
            for occurrence in job.open.values():
                for step in occurrence.steps:
                    for task in step.tasks:
                        if task.state is TaskState.PLACED:
                            self._adopt(task, now)
                    if step.spec.gang:
                        self._stop_incomplete_gang(step)
            for start in job.unanswered:
                self._adopt_unanswered_start(job, start)

    def _adopt(self, task: Task, now: float) -> None:
        placement = adopted_placement(
            task.name, task.attempt, reserved_resources(task.step.spec), task, now
        )
        placement.program = task.step.job.spec.program
        if self.time_of_day() - task.step.placed_s <= UNOBSERVED_S:
            self.losses.lose_sight(task)
        worker = self._worker_of(task.worker, placement.needs)
        self._reserve(worker, placement)
        if worker.entry.born_ms and task.step.job.queue.permits is None:
            # Its only start may still be on its way, unless a worker lists it.
            bound_s = self.late_starts.bound_s
            entry = self._add_late_start(worker, placement, bound_s)
            entry.is_inherited = True

    def _adopt_orphaned_attempt(self, left: OrphanedAttempt, now: float) -> None:
        """Reserve capacity for a stored orphaned attempt, and stop it."""
        placement = adopted_placement(left.task, left.attempt, left.needs, None, now)
        worker = self._worker_of(left.worker, left.needs)
        self._reserve(worker, placement)
        self.stop(worker, placement, "its owner died before it was heard to end")

    def _adopt_unanswered_start(self, job: Job, start: UnansweredStart) -> None:
        """Reserve what an earlier owner's start may begin late."""
        for_s = self.late_starts.bound_s
        if job.verdict is not None:
            # Nothing of the job was started after it had ended.
            ended_ago_s = self.time_of_day() - job.ended_s - ENDED_AT_ROUNDING_S
            for_s -= max(0.0, ended_ago_s)
        if for_s <= 0:
            return
        identity = identity_of(start.worker)
        late = LateStart(worker=identity, start=start, until=self.now() + for_s)
        entry = self.late_starts.add(late)
        entry.start, entry.is_unanswered, entry.is_inherited = start, True, False
        counted = self.placed.get(job.job_id, {}).get((start.task, start.attempt))
        if counted is not None:
            worker, placement = counted
            placement.may_start_late = True
            worker.mark_startable(placement)
            return
        entry.charge = (start.worker, start.task, start.attempt)
        self.quotas.charge(entry.charge, job.workspace, start.needs)
        self.fleet.update_late_reservation(identity)

    def _worker_of(self, name: str, needs: Amounts) -> FleetWorker:
        """Return the worker incarnation that an earlier owner placed work on."""
        return self.fleet.workers.get(name) or self._add_unlisted_worker(name, needs)

    def _add_unlisted_worker(self, name: str, needs: Amounts) -> FleetWorker:
        """Add an incarnation that the platform does not list.

        If the platform lists a later incarnation, the first reply of that one says what
        became of the work. If it lists an earlier one, the platform's list is behind.
        """
        identity = identity_of(name)
        born_ms = int(name.removeprefix(identity).removeprefix("@") or 0)
        newest = self.fleet.newest.get(identity)
        if newest is not None and newest.entry.born_ms < born_ms:
            for_incarnation = newest.entry.for_incarnation(born_ms)
            return self.fleet.replace_incarnation(newest, for_incarnation, self.now())
        entry = WorkerEntry(
            worker=identity,
            pool="",
            address="" if newest is None else newest.entry.address,
            data_centre="",
            leaving=newest is None,
            capacity=needs,
            labels=(),
            born_ms=born_ms,
        )
        worker = FleetWorker(entry=entry, listed=False, liveness=Liveness.SILENT)
        if newest is None:
            self.fleet.add(worker)
        else:
            self.fleet.workers[worker.name] = worker
            worker.liveness = Liveness.RESTARTED
            worker.previous, newest.previous = newest.previous, worker
        return worker

    def move(
        self, previous: FleetWorker, worker: FleetWorker, placement: Placement
    ) -> None:
        """Move an attempt to a later incarnation of its worker, which started it."""
        self._uncount(previous, placement)
        self.quotas.release((previous.name, placement.task, placement.attempt))
        self._reserve(worker, placement)
        placement.ordered = True
        placement.began_ms = None
        if not placement.running:
            placement.began(self.now())
        task = placement.tracked_task
        if task is not None and placement.is_current:
            task.worker = worker.name
            self._mark_dirty(task.step.job)

    def give_up(self, worker: FleetWorker, placement: Placement, reason: str) -> None:
        """Give up an attempt that is proved not to run; its task waits again."""
        self._unreserve(worker, placement)
        emit(
            events.TaskGivenUp(
                task=placement.task,
                attempt=placement.attempt,
                worker=worker.name,
                reason=reason,
                began=placement.running,
                survived_s=round(
                    min(MAX_REPORTED_SURVIVAL_S, worker.survived_s(placement)), 3
                ),
            )
        )
        task = placement.tracked_task
        if task is not None and placement.is_current:
            job = task.step.job
            if task.state is TaskState.PLACED:
                job.unplace(task)
                self._mark_dirty(job)
            self._after_end(job, task.step)

    def stop(self, worker: FleetWorker, placement: Placement, reason: str) -> None:
        """Mark an attempt to be stopped, and its worker as having a stop due."""
        placement.stop(reason)
        self.stops_due.add(worker.name)

    def take_stops_due(self) -> set[str]:
        """Return and clear the names of the workers on which stops became due."""
        due, self.stops_due = self.stops_due, set()
        return due

    def give_up_all(self, worker: FleetWorker, loss: LossCause) -> int:
        """Give up all attempts on a lost worker; return how many there were."""
        placements = list(worker.placements.values())
        if not placements:
            # Called on every check of a silent worker, for as long as it is silent.
            return 0
        correlated = self.fleet.failures_correlated_with(worker)
        for placement in placements:
            failure = self.losses.record_loss(worker, placement, correlated, loss)
            if failure is not None and placement.tracked_task is not None:
                placement.tracked_task.step.job.fail(failure)
            self.give_up(worker, placement, loss.value)
        return len(placements)

    def settle_losses(self) -> bool:
        """Judge the losses that can be judged now; return whether there were any."""
        settled = self.losses.take_settled()
        correlated: dict[tuple[str, WorkerFailure], CorrelatedFailures] = {}
        for each in settled:
            key = (each.worker.name, each.failure)
            if key not in correlated:
                correlated[key] = self.fleet.failures_correlated_with(
                    each.worker, each.failure
                )
            failure = self.losses.settle(each, correlated[key])
            if failure is not None:
                job = each.task.step.job
                job.fail(failure)
                self._finish_job(job, JobState.FAILED)
        return bool(settled)

    # --- replies of workers ---------------------------------------------------

    def note_begun(self, placement: Placement) -> None:
        """Record that a worker started an attempt: its job is no longer unstarted."""
        if placement.tracked_task is not None:
            job = placement.tracked_task.step.job
            self._untrack_unstarted(job)
            self.load.outcomes.began(job.job_id, self.now())

    def sync(
        self,
        worker: FleetWorker,
        reply: SyncReply,
        *,
        sent_at: float,
        now: float,
        fence: int = 0,
    ) -> list[EndedTask]:
        """Apply a worker's reply; return the ends that were not known before.

        Args:
            worker: The worker.
            reply: Its reply.
            sent_at: When the sync was sent, on the owner's clock.
            now: The owner's clock.
            fence: The fence that the sync carried.
        """
        worker.update_clock(reply.worker_time_ms, now)
        fresh = [end for end in reply.ended if end.number > worker.heard_upto]
        for end in fresh:
            self._handle_end(worker, end, now)
            worker.record_end(end.number, end.task)
        listed = attempts_by_key(reply.running)
        for key, run in listed.items():
            self._handle_running(worker, key, run, now, reply.worker_time_ms)
        if len(reply.ended) < MAX_ENDS_PER_SYNC:
            self._give_up_missing(worker, listed, sent_at, fence)
        return fresh

    def _handle_running(
        self,
        worker: FleetWorker,
        key: AttemptKey,
        run: RunningTask,
        now: float,
        worker_time_ms: int,
    ) -> None:
        placement = worker.placements.get(key)
        if placement is None:
            placement = self._add_orphaned_attempt(worker, run)
        placement.apply_report(run, now, worker_time_ms)
        self._note_listed(worker, placement)
        self.note_begun(placement)
        task = placement.tracked_task
        self.losses.attempt_survived(worker, placement)
        if task is not None and placement.is_current:
            task.at_full_speed = run.percent >= FULL_SPEED_PERCENT
        if run.saved and task is not None and placement.is_current:
            task.step.job.note_saved(task, run.saved)

    def _add_orphaned_attempt(self, worker: FleetWorker, run: RunningTask) -> Placement:
        """Reserve capacity for an orphaned attempt on a worker, until it is stopped."""
        job_id = job_of(run.task)
        job = self.jobs.get(job_id)
        task = None if job is None else job.find(run.task)
        placement = Placement(
            task=run.task,
            attempt=run.attempt,
            needs=NOTHING if task is None else reserved_resources(task.step.spec),
            tracked_task=None,
            unsized=task is None,
            stored=True,
            ordered=True,
            stopping=job_id not in self.unreadable,
            stop_reason="unknown attempt",
        )
        self._reserve(worker, placement)
        return placement

    def _give_up_missing(
        self,
        worker: FleetWorker,
        listed: dict[AttemptKey, RunningTask],
        sent_at: float,
        fence: int,
    ) -> None:
        """Give up attempts that are not listed and did run, or will never begin."""
        for key, placement in list(worker.placements.items()):
            if key in listed:
                continue
            if not placement.running:
                if placement.is_void_at(fence):
                    self.give_up(worker, placement, "its start was not carried out")
            elif placement.running_since < sent_at:
                self.give_up(worker, placement, "in neither list")

    def _handle_end(self, worker: FleetWorker, end: EndedTask, now: float) -> None:
        placement = worker.placements.get((end.task, end.attempt))
        if placement is not None:
            self._note_listed(worker, placement)
            self._unreserve(worker, placement)
        job = self.jobs.get(job_of(end.task))
        task = None if job is None else job.find(end.task)
        emit(
            events.TaskEnded(
                task=end.task,
                attempt=end.attempt,
                worker=worker.name,
                how=end.how.value,
                ran_s=round(placement.ran_s(now), 3) if placement else 0.0,
                current=placement is not None and placement.is_current,
            )
        )
        planned_at = float("-inf") if placement is None else placement.planned_at
        self._update_worker_health(worker, end, planned_at, now)
        if placement is not None and end.how is EndKind.DONE:
            self._record_run_time(worker, placement, now)
        if job is None or task is None or job.verdict is not None:
            return
        self._untrack_unstarted(job)
        if task.state is TaskState.DONE:
            return
        is_over = (
            task.attempt != end.attempt
            or worker.name in task.ended_on
            or (bool(task.worker) and task.worker != worker.name)
        )
        if is_over:
            if end.how is not EndKind.DONE or task.step.spec.service:
                return
            self._stop_later_attempts(task)
        job.end(task, end.how, end.saved, worker.name)
        if end.how is EndKind.FAILED:
            task.failed_on[worker.name] = now
            self._delay_retry(task, now)
        self._mark_dirty(job)
        self._after_end(job, task.step)

    def _record_run_time(
        self, worker: FleetWorker, placement: Placement, now: float
    ) -> None:
        """Tell the models of run times how long an attempt ran that was done."""
        task = placement.tracked_task
        speeds, estimates = self.load.speeds, self.load.estimates
        if task is None or speeds is None or estimates is None:
            return
        ran_s = placement.ran_s(now)
        if not placement.is_current or not is_evidence(placement):
            # A gang counts once: after its first end, its members are not placed.
            return
        estimates.record_end(
            task.step.job.queue.name, task.step.spec, ran_s, self._speed_run_at(task)
        )
        speeds.record_end(worker, placement, ran_s, now)

    def _speed_run_at(self, task: Task) -> float:
        """Return the speed at which a task ran; a gang runs at its slowest member's."""
        members = task.step.tasks if task.step.spec.gang else [task]
        placed = [self.fleet.workers.get(member.worker) for member in members]
        return min(
            (self.load.speed_of(each) for each in placed if each is not None),
            default=DEFAULT_SPEED,
        )

    def _delay_retry(self, task: Task, now: float) -> None:
        """Set when a task may be retried after a failed attempt."""
        step = task.step
        task.not_before = now + retry_delay_s(
            failures=step.gang_failures if step.spec.gang else task.failures,
            most_attempts=step.job.queue.max_attempts,
            failed_on=len(task.failed_on),
            service=step.spec.service,
        )

    def _stop_later_attempts(self, task: Task) -> None:
        """Stop the later attempts of a task because a given-up attempt completed it.

        The worker of that attempt was unreachable until its leases had expired, so the
        task was placed again before its end was known, or an earlier owner gave it up.
        """
        members = task.step.tasks if task.step.spec.gang else [task]
        names = {member.name for member in members}
        for worker, placement in self.placements_of(task.step.job.job_id):
            if placement.task in names:
                self.stop(worker, placement, "an earlier attempt was done")

    def _update_worker_health(
        self, worker: FleetWorker, end: EndedTask, planned_at: float, now: float
    ) -> None:
        if end.how is EndKind.DONE:
            worker.record_attempt_success(planned_at)
        elif end.how is EndKind.FAILED:
            if worker.record_attempt_failure(job_of(end.task), now):
                emit(events.WorkerQuarantined(worker=worker.name, rest_s=worker.rest_s))

    def _after_end(self, job: Job, step: StepRun) -> None:
        if job.verdict is not None:
            self._finish_job(job, job.verdict)
            return
        if step.is_done:
            self._remove_waiting_step(step)
        if step.spec.gang:
            self._stop_incomplete_gang(step)
        self._enqueue_ready_steps(job)

    def _stop_incomplete_gang(self, step: StepRun) -> None:
        """Stop the rest of a gang that lost a member, so that all restart together."""
        if all(task.state is not TaskState.PENDING for task in step.tasks):
            return
        for worker, placement in self._current_attempts(step):
            if not placement.stopping:
                self.stop(worker, placement, "gang lost a member")

    def _current_attempts(self, step: StepRun) -> Iterator[ReservedAttempt]:
        """Yield the current attempts of a step with their workers."""
        for task in step.tasks:
            worker = self.fleet.workers.get(task.worker)
            if worker is None:
                continue
            placement = worker.placements.get((task.name, task.attempt))
            if placement is not None:
                yield worker, placement

    def stop_blocked_gangs(self, silent: FleetWorker) -> bool:
        """Stop gang members that wait for one on a silent worker; return if any were.

        The silent member cannot be placed again until its leases have expired; the
        others would meanwhile hold their capacity, and then give up on their own. A
        gang that has made progress is left alone: it ends by itself if the member is
        lost, and continues if only its worker is unreachable.
        """
        stopped = False
        for member in list(silent.placements.values()):
            task = member.tracked_task
            if task is None or not task.step.spec.gang or not member.is_current:
                continue
            members = list(self._current_attempts(task.step))
            if any(placement.percent > 0 for _, placement in members):
                continue
            for worker, placement in members:
                if worker.liveness is Liveness.LIVE and not placement.stopping:
                    self.stop(worker, placement, "a member's worker has fallen silent")
                    stopped = True
        return stopped


def late_start_key(worker: FleetWorker, placement: Placement) -> LateStartKey:
    """Return the key of a late start of an attempt."""
    return (worker.entry.worker, placement.task, placement.attempt)
