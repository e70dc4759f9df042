"""Describes why a job was failed, for its `job.ended` event."""

from cranberrycleat import events
from cranberrycleat.workflow.state import AttemptsUsed, FailureCause, WorkersCrashed


def failure_report(
    failure: FailureCause | None, ended_s: float
) -> events.FailureReport | None:
    """Return the reported form of a failure; None for a job that is not failed.

    Args:
        failure: Why the job was failed.
        ended_s: When it was, in seconds since 1970.
    """
    match failure:
        case None:
            return None
        case AttemptsUsed(task=task, max_attempts=max_attempts, ends=ends):
            return events.FailureReport(
                cause=events.ATTEMPTS_USED,
                task=task,
                max_attempts=max_attempts,
                ends=tuple(
                    events.CountedEnd(
                        index=each.index, attempt=each.attempt, worker=each.worker
                    )
                    for each in ends
                ),
            )
        case WorkersCrashed(task=task, losses=losses):
            return events.FailureReport(
                cause=events.WORKERS_CRASHED,
                task=task,
                losses=tuple(
                    events.CountedLoss(
                        attempt=each.attempt,
                        worker=each.worker,
                        address=each.address,
                        kind=each.kind.value,
                        proof=each.proof,
                        epoch=each.epoch,
                        age_s=round(ended_s - each.recorded_s, 3),
                    )
                    for each in losses
                ),
            )
