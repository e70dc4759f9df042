"""Keeps the loss records of tasks: which lost workers they hold, and for how long.

The cluster state reports what happens to workers and attempts. `crash_attribution`
interprets a record, `worker_failures` tells which workers failed together, and `rows`
stores the records with their jobs.
"""

from collections.abc import Callable

import attrs

from cranberrycleat import events
from cranberrycleat.logs import emit
from cranberrycleat.workflow.crash_attribution import LossRecord, LostWorker
from cranberrycleat.workflow.fleet import Fleet, FleetWorker, Placement
from cranberrycleat.workflow.state import Job
from cranberrycleat.workflow.worker_failures import CorrelatedFailures


@attrs.define(kw_only=True, eq=False)
class LossTracker:
    """Keeps the loss records of one owner's open jobs.

    Attributes:
        fleet: The workers.
        now: Returns the time on the owner's clock.
        changed: Called with a job whose records must be stored.
        jobs_with_losses: Open jobs with tasks under which workers were lost, by job ID.
    """

    fleet: Fleet
    now: Callable[[], float]
    changed: Callable[[Job], None]
    jobs_with_losses: dict[str, Job] = attrs.field(factory=dict)

    def restore(self, job: Job) -> None:
        """Load the records of a job that an earlier owner stored."""
        for record in _records(job):
            record.record_takeover(self.now())
            self.jobs_with_losses[job.job_id] = job

    def forget(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self.jobs_with_losses.pop(job_id, None)

    def record_loss(
        self, worker: FleetWorker, placement: Placement, correlated: CorrelatedFailures
    ) -> bool:
        """Add a lost worker to the record of a task that may have crashed it.

        A worker that left in an orderly way, or whose machine was in maintenance, did
        not crash; but what a leaving worker was given in its last moments may have
        crashed it. For a placement that an earlier owner stored it is not known how
        long it ran.

        Args:
            worker: The lost worker.
            placement: An attempt that still counts on it.
            correlated: The failures that may have the same cause as the worker's.

        Returns:
            Whether the job is to be failed.
        """
        task = placement.tracked_task
        if task is None or not placement.is_current or not placement.ordered:
            return False
        job = task.step.job
        just_begun = not worker.outlived_crash_window(placement)
        left = worker.entry.leaving and bool(worker.entry.address) and not just_begun
        if left or worker.held or job.verdict is not None:
            return False
        record = task.step.ensure_losses_of(task)
        decides = not record.needs_isolation() or (
            not correlated.all_failures
            and self.fleet.failed_without_other_starts(worker, job.job_id)
        )
        loss = LostWorker(
            attempt=placement.attempt,
            worker=worker.name,
            address=worker.entry.address,
            early=just_begun and decides and not correlated.exonerates(job.job_id),
        )
        record.add_loss(loss, self.now())
        self.jobs_with_losses[job.job_id] = job
        if not record.limit_reached():
            return False
        lost = tuple(each.worker for each in record.lost)
        emit(
            events.TaskCrashesWorkers(
                task=task.name, workers=lost, crashes=record.crashes()
            )
        )
        return True

    def clear(self, worker: FleetWorker) -> None:
        """Remove a worker that answers again from all records: no task crashed it."""
        for job in self.jobs_with_losses.values():
            for record in _records(job):
                if record.clear(worker.name):
                    self.changed(job)

    def attempt_survived(self, worker: FleetWorker, placement: Placement) -> None:
        """Clear suspicion of a task whose attempt has outlived the crash window.

        A gang's record is kept: its other members run on while the loss of one is still
        being detected.
        """
        task = placement.tracked_task
        if task is None or not placement.is_current or task.step.spec.gang:
            return
        record = task.step.losses_of(task)
        if record is None or not worker.outlived_crash_window(placement):
            return
        if record.attempt_survived(lasts=task.step.spec.service):
            self.changed(task.step.job)


def _records(job: Job) -> list[LossRecord]:
    return [
        record
        for occurrence in job.open.values()
        for step in occurrence.steps
        for record in step.losses.values()
    ]
