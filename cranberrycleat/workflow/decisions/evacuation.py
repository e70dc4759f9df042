"""Selects the placements to evacuate from a worker that is leaving.

Everything that still runs on a leaving worker is killed when it is removed. Service
members are moved at once. Work that checkpoints is moved if it would not finish in
time. Work without checkpoints stays: it may finish before the worker is removed, and
stopping it would lose as much as the removal.
"""

from typing import Final

from cranberrycleat.workflow.fleet import FleetWorker, Placement

MIN_LEAVE_NOTICE_S: Final = 2.0
"""Assumed remaining time if a leaving worker does not report it: the shortest time
between notice and removal that the platform guarantees."""
RUNTIME_ESTIMATE_MARGIN: Final = 1.2
"""Safety factor, since remaining run times are extrapolated from coarse progress."""


def placements_to_stop(worker: FleetWorker, now: float) -> list[Placement]:
    """Return the attempts to stop now on a leaving worker."""
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
    """Return an attempt's remaining run time, by its progress or else its estimate."""
    task = placement.tracked_task
    assert task is not None
    ran_s = placement.ran_s(now)
    if placement.percent > 0:
        return ran_s * (100 - placement.percent) / placement.percent
    return max(0.0, task.step.spec.estimate_s - ran_s)
