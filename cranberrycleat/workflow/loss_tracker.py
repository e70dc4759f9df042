"""Keeps the loss records of tasks: which lost workers they hold, and for how long.

The cluster state reports what happens to workers and attempts. `crash_attribution`
interprets a record, `worker_failures` tells which workers failed together, and `rows`
stores the records with their jobs.

A loss that looks like a crash is judged again once all failures of the same moment must
have been detected (`WorkerFailure.may_miss_others`): workers that fail together are not
found to have failed at the same time. Only a loss that would fail its task as a crash
delays anything: until then the task is not placed. A successor does not know which
failures coincided, so to it such a loss is not a crash.
"""

from collections.abc import Callable

import attrs

from cranberrycleat import events
from cranberrycleat.logs import emit
from cranberrycleat.workflow.crash_attribution import (
    CRASH_WINDOW_S,
    UNOBSERVED_S,
    LossKind,
    LossRecord,
    LostWorker,
)
from cranberrycleat.workflow.fleet import Fleet, FleetWorker, LossCause, Placement
from cranberrycleat.workflow.state import Job, StepRun, Task, TaskState, WorkersCrashed
from cranberrycleat.workflow.worker_failures import CorrelatedFailures, WorkerFailure


@attrs.frozen(kw_only=True)
class ProvisionalCrash:
    """A loss that looks like a crash and is to be judged again.

    Attributes:
        task: The task.
        record: The loss record of the task or its gang.
        loss: The loss, as a crash.
        worker: The lost worker.
        failure: Its failure.
        isolated: Whether the attempt was isolated.
        decides: Whether the task is to be failed if it is a crash.
    """

    task: Task
    record: LossRecord
    loss: LostWorker
    worker: FleetWorker
    failure: WorkerFailure
    isolated: bool
    decides: bool


@attrs.define(kw_only=True, eq=False)
class LossTracker:
    """Keeps the loss records of one owner's open jobs.

    Attributes:
        fleet: The workers.
        now: Returns the time on the owner's clock.
        time_of_day: Returns the time in seconds since 1970.
        changed: Called with a job whose records must be stored.
        epoch: The owner's epoch.
        jobs_with_losses: Open jobs with tasks under which workers were lost, by job ID.
        provisional: Losses to be judged again, oldest first.
    """

    fleet: Fleet
    now: Callable[[], float]
    time_of_day: Callable[[], float]
    changed: Callable[[Job], None]
    epoch: int = 0
    jobs_with_losses: dict[str, Job] = attrs.field(factory=dict)
    provisional: list[ProvisionalCrash] = attrs.field(factory=list)

    def restore(self, job: Job) -> None:
        """Load the records of a job that an earlier owner stored."""
        for record in _records(job):
            record.record_takeover(self.now())
            self.jobs_with_losses[job.job_id] = job

    def forget(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self.jobs_with_losses.pop(job_id, None)
        self.provisional = [
            each for each in self.provisional if each.task.step.job.job_id != job_id
        ]

    def record_loss(
        self,
        worker: FleetWorker,
        placement: Placement,
        correlated: CorrelatedFailures,
        cause: LossCause,
    ) -> WorkersCrashed | None:
        """Add a lost worker to the record of a task that may have crashed it.

        A worker that left in an orderly way, or whose machine was in maintenance, did
        not crash; but what a leaving worker was given in its last moments by this owner
        may have crashed it.

        Args:
            worker: The lost worker.
            placement: An attempt that still counts on it.
            correlated: The failures that may have the same cause as the worker's.
            cause: How it was proved that the attempt is over.

        Returns:
            Why the job is to be failed; None if it is not.
        """
        task = placement.tracked_task
        if task is None or not placement.is_current or not placement.ordered:
            return None
        job = task.step.job
        just_begun = not worker.is_seen_past_crash_window(placement)
        is_leaving = worker.entry.leaving and bool(worker.entry.address)
        left = is_leaving and (placement.is_adopted or not just_begun)
        if left or worker.was_held_when_last_heard() or job.verdict is not None:
            return None
        record = task.step.ensure_losses_of(task)
        failure = self.fleet.failure_of(worker)
        isolated = record.needs_isolation()
        is_crash = not placement.on_unstable_machine and _is_crash(
            job, failure, correlated, isolated=isolated
        )
        loss = LostWorker(
            attempt=placement.attempt,
            worker=worker.name,
            address=worker.entry.address,
            kind=self._kind_of(worker, placement, correlated, cause, is_crash=is_crash),
            proof=cause.name.lower(),
            epoch=self.epoch,
            recorded_s=self.time_of_day(),
        )
        if (
            loss.kind is LossKind.CRASH
            and failure is not None
            and failure.may_miss_others(self.now(), self.fleet.heard_until())
        ):
            provisional = ProvisionalCrash(
                task=task,
                record=record,
                loss=loss,
                worker=worker,
                failure=failure,
                isolated=isolated,
                decides=record.would_fail_task(loss),
            )
            self.provisional.append(provisional)
            if provisional.decides:
                record.undecided.add(worker.name)
                loss = attrs.evolve(loss, kind=LossKind.COINCIDENT)
        record.add_loss(loss, self.now())
        self.jobs_with_losses[job.job_id] = job
        _emit_lost_worker(task, loss, record)
        return self._failure_of(task, record)

    def take_settled(self) -> list[ProvisionalCrash]:
        """Remove and return the losses that can be judged now."""
        if not self.provisional:
            return []
        now, heard_until = self.now(), self.fleet.heard_until()
        settled: list[ProvisionalCrash] = []
        unsettled: list[ProvisionalCrash] = []
        for each in self.provisional:
            waits = each.failure.may_miss_others(now, heard_until)
            (unsettled if waits else settled).append(each)
        self.provisional = unsettled
        return settled

    def settle(
        self, provisional: ProvisionalCrash, correlated: CorrelatedFailures
    ) -> WorkersCrashed | None:
        """Judge a loss again; return why its job is to be failed, or None.

        Args:
            provisional: The loss.
            correlated: The failures that may have the same cause, as known by now.
        """
        task, record, loss = provisional.task, provisional.record, provisional.loss
        job = task.step.job
        record.undecided.discard(loss.worker)
        if job.verdict is not None or task.state is TaskState.DONE:
            return None
        crashed = _is_crash(
            job, provisional.failure, correlated, isolated=provisional.isolated
        )
        if crashed and record.confirm(loss, self.now()):
            self.changed(job)
            _emit_lost_worker(task, loss, record)
            return self._failure_of(task, record)
        if not crashed and record.exonerate(loss):
            self.changed(job)
            not_crash = attrs.evolve(loss, kind=LossKind.COINCIDENT)
            _emit_lost_worker(task, not_crash, record)
        return None

    @staticmethod
    def _failure_of(task: Task, record: LossRecord) -> WorkersCrashed | None:
        """Return why a task's job is to be failed for its losses, and log that."""
        if not record.limit_reached():
            return None
        lost = tuple(each.worker for each in record.lost)
        emit(
            events.TaskCrashesWorkers(
                task=task.name, workers=lost, crashes=record.crashes()
            )
        )
        return WorkersCrashed(task=task.name, losses=tuple(record.lost))

    def lose_sight(self, task: Task) -> None:
        """Record for all later owners that how long an attempt ran is not known."""
        key = (task.index, task.attempt)
        if key not in task.step.unseen:
            task.step.unseen.add(key)
            self.changed(task.step.job)

    def worker_fell_silent(self, worker: FleetWorker) -> None:
        """Lose sight of the attempts that had only just begun on a worker."""
        for placement in worker.placements.values():
            task = placement.tracked_task
            if task is None or not placement.is_current or placement.is_adopted:
                continue
            if placement.ordered and not worker.is_seen_past_crash_window(placement):
                self.lose_sight(task)

    def clear(self, worker: FleetWorker) -> None:
        """Remove a worker that answers again from all records: no task crashed it."""
        for placement in worker.placements.values():
            task = placement.tracked_task
            if task is None or not placement.is_current:
                continue
            if not self._may_have_just_begun(task, worker, placement):
                self._regain_sight(task)
        self.provisional = [
            each for each in self.provisional if each.worker is not worker
        ]
        for job in self.jobs_with_losses.values():
            for record in _records(job):
                if record.clear(worker.name):
                    self.changed(job)

    def _may_have_just_begun(
        self, task: Task, worker: FleetWorker, placement: Placement
    ) -> bool:
        """Return whether an earlier owner's attempt may still crash its worker.

        That the worker answers proves only that it has not done so yet.
        """
        return (
            placement.is_adopted
            and not worker.is_seen_past_crash_window(placement)
            and self.time_of_day() - task.step.placed_s <= UNOBSERVED_S
        )

    def _regain_sight(self, task: Task) -> None:
        """Record that this owner knows how long the task's attempt has run at least."""
        key = (task.index, task.attempt)
        if key in task.step.unseen:
            task.step.unseen.remove(key)
            self.changed(task.step.job)

    def attempt_survived(self, worker: FleetWorker, placement: Placement) -> None:
        """Clear suspicion of a task whose attempt has outlived the crash window.

        All members of a gang are looked at when the first one is listed, so that a
        round of answers visits each member once.
        """
        task = placement.tracked_task
        if task is None or not placement.is_current:
            return
        if task.step.unseen and worker.is_seen_past_crash_window(placement):
            self._regain_sight(task)
        record = task.step.losses_of(task)
        if record is None or not record.has_evidence():
            return
        if task.step.spec.gang:
            outlived = placement.advanced_for_s() >= CRASH_WINDOW_S or (
                task.index == 0 and self._gang_outlived(task.step)
            )
        else:
            outlived = worker.is_seen_past_crash_window(placement)
        if outlived and record.attempt_survived(lasts=task.step.spec.service):
            self.changed(task.step.job)

    def _gang_outlived(self, step: StepRun) -> bool:
        """Return whether the current attempt of a gang has outlived the crash window.

        Every member has, or one has advanced for that long: members advance only while
        all of them run. The others run on while the loss of one is being detected.
        """
        members = [self._current_placement(task) for task in step.tasks]
        if any(
            each is not None and each[1].advanced_for_s() >= CRASH_WINDOW_S
            for each in members
        ):
            return True
        return all(
            each is not None and each[0].is_seen_past_crash_window(each[1])
            for each in members
        )

    def _current_placement(self, task: Task) -> tuple[FleetWorker, Placement] | None:
        worker = self.fleet.workers.get(task.worker)
        if worker is None:
            return None
        placement = worker.placements.get((task.name, task.attempt))
        return None if placement is None else (worker, placement)

    def _kind_of(
        self,
        worker: FleetWorker,
        placement: Placement,
        correlated: CorrelatedFailures,
        cause: LossCause,
        *,
        is_crash: bool,
    ) -> LossKind:
        """Return what is known of an attempt whose worker was lost.

        Args:
            worker: The lost worker.
            placement: The attempt.
            correlated: The failures that may have the same cause as the worker's.
            cause: How it was proved that the attempt is over.
            is_crash: Whether nothing but the attempt explains the loss, if it had only
                just begun.
        """
        assert placement.tracked_task is not None
        step = placement.tracked_task.step
        if worker.is_seen_past_crash_window(placement) or (
            step.spec.gang and self._gang_outlived(step)
        ):
            return LossKind.LATER
        if not placement.is_adopted:
            return LossKind.CRASH if is_crash else LossKind.COINCIDENT
        # The platform drops the entry of a worker that crashed or left.
        has_ended = cause is LossCause.REPLACED or not worker.listed
        is_unseen = (placement.tracked_task.index, placement.attempt) in step.unseen
        if not (has_ended and is_unseen):
            return LossKind.UNKNOWN
        if not correlated.exonerates(step.job.job_id):
            return LossKind.UNOBSERVED
        if self._had_just_begun(step, worker, placement):
            return LossKind.COINCIDENT
        return LossKind.UNKNOWN

    def _had_just_begun(
        self, step: StepRun, worker: FleetWorker, placement: Placement
    ) -> bool:
        """Return whether an earlier owner's attempt may have had no time to outlive.

        The step was last placed less than the crash window before the worker's last
        answer. If that was another task, the attempt may be older.
        """
        if placement.listed_at is None:
            return False
        heard_s = self.time_of_day() - (self.now() - worker.clock_read_at)
        return heard_s - step.placed_s < CRASH_WINDOW_S


def _emit_lost_worker(task: Task, loss: LostWorker, record: LossRecord) -> None:
    """Log what is known of a loss."""
    emit(
        events.TaskLostWorker(
            task=task.name,
            attempt=loss.attempt,
            worker=loss.worker,
            address=loss.address,
            kind=loss.kind.value,
            proof=loss.proof,
            recorded=len(record.lost),
        )
    )


def _is_crash(
    job: Job,
    failure: WorkerFailure | None,
    correlated: CorrelatedFailures,
    *,
    isolated: bool,
) -> bool:
    """Return whether a failure is attributed to a job that had just begun there.

    Args:
        job: The job.
        failure: The failure, if it was recorded.
        correlated: The failures that may have the same cause.
        isolated: Whether the attempt was isolated. Where it was not alone after all, it
            is inconclusive.
    """
    beside_others = failure is not None and not failure.jobs <= {job.job_id}
    if isolated and (correlated.all_failures or beside_others):
        return False
    return not correlated.exonerates(job.job_id)


def _records(job: Job) -> list[LossRecord]:
    return [
        record
        for occurrence in job.open.values()
        for step in occurrence.steps
        for record in step.losses.values()
    ]
