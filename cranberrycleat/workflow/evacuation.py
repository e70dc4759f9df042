"""What is stopped on a worker that leaves, so that it goes on elsewhere.

Answers workers that are emptied and taken away: all that runs there ends when
they go. Services move at once. Work that saves its progress moves if it would
not end in time; what saves nothing stays, since it may end before the worker
goes and would lose as much by a stop.
"""

from typing import Final

from cranberrycleat.workflow.fleet import FleetWorker, Placement

MIN_LEAVE_NOTICE_S: Final = 2.0
"""Counted as left where a leaving worker does not say: the shortest time that
the platform promises between the notice and the end."""
RUNTIME_ESTIMATE_MARGIN: Final = 1.2
"""Run times are known from progress, which is rough."""


def placements_to_stop(worker: FleetWorker, now: float) -> list[Placement]:
    """Return the attempts that are to leave a leaving worker now."""
    if not worker.entry.leaving:
        return []
    left_s = worker.entry.leaves_in_s
    if left_s is None:
        left_s = MIN_LEAVE_NOTICE_S
    return [
        each
        for each in worker.placements.values()
        if each.running and not each.stopping and _must_move(each, left_s, now)
    ]


def _must_move(placement: Placement, left_s: float, now: float) -> bool:
    task = placement.tracked_task
    if task is None or not placement.is_current:
        return False
    spec = task.step.spec
    if spec.service:
        return True
    return (
        spec.checkpoints
        and remaining_runtime_s(placement, now) * RUNTIME_ESTIMATE_MARGIN > left_s
    )


def remaining_runtime_s(placement: Placement, now: float) -> float:
    """Return how long an attempt still runs, by its progress or its estimate."""
    task = placement.tracked_task
    assert task is not None
    ran_s = placement.ran_s(now)
    if placement.percent > 0:
        return ran_s * (100 - placement.percent) / placement.percent
    return max(0.0, task.step.spec.estimate_s - ran_s)
