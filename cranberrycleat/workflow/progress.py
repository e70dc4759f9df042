"""Tells workers on which nothing moves from workers that work, by progress.

Answers workers whose tasks stand still for seconds while they answer every call
and report good health: each task that is given to them waits there, and short
urgent work is worth nothing by the time it goes on. A worker tells with each
list how far its tasks have come (for a task that ends, `percent` is the share of
its work that is done), so that one on which nothing has moved is seen in one to
three seconds. A task starts elsewhere when that is about to be its last chance to
be in time: short urgent work at once, long work only if it stands still for long,
since it would lose what it has done. The worker rests and is tried again with one
task, as one that fails what it starts.
"""

from typing import Final

from cranberrycleat.workflow.fleet import FleetWorker, Placement
from cranberrycleat.workflow.ordering import EXPIRED_BAND, SERVICE_BAND, rank

STALL_TIMEOUT_S: Final = 1.2
"""Without any progress for so long a task stands still. A task that resumes from
saved progress needs 0.6 s first; one of 16 s on a worker eight times too slow
comes one percent further in 1.3 s; lists come each 1.5 s at the latest."""
MIN_SLACK_S: Final = 2.0
"""With less time left before it must start, a task cannot wait for the next list,
which comes in 1.5 s, and for its start elsewhere. Trial: stopping all that had run
under 3 s broke gangs that had 8 s to spare (worth of the kind 1.0 to 0.92)."""
COMPLETE_PERCENT: Final = 100.0


def is_stalled(worker: FleetWorker, now: float) -> bool:
    """Tell whether nothing moves there, by a list that has just come."""
    indicators = [
        each
        for each in worker.placements.values()
        if _indicates_worker_state(each, now)
    ]
    if not indicators:
        return False
    return all(now - each.advanced_at >= STALL_TIMEOUT_S for each in indicators)


def placements_to_stop(worker: FleetWorker, now_s: float) -> list[Placement]:
    """Return what is to start elsewhere rather than wait until it moves again.

    Args:
        worker: A worker that stands still.
        now_s: Seconds since 1970, the clock that objectives are counted on.
    """
    return [
        each
        for each in worker.placements.values()
        if each.running and not each.stopping and _must_restart_elsewhere(each, now_s)
    ]


def _indicates_worker_state(placement: Placement, now: float) -> bool:
    """Tell whether an attempt's progress says something of its worker.

    A gang's does not: it waits for members that may stand still elsewhere.
    """
    task = placement.tracked_task
    if task is None or not placement.running or placement.stopping:
        return False
    spec = task.step.spec
    if (
        spec.gang
        or spec.service
        or spec.filler
        or placement.percent >= COMPLETE_PERCENT
    ):
        return False
    return now - placement.running_since >= STALL_TIMEOUT_S


def _must_restart_elsewhere(placement: Placement, now_s: float) -> bool:
    task = placement.tracked_task
    if task is None or not placement.is_current:
        return False
    urgency = rank(task.step, now_s)
    if urgency.band == EXPIRED_BAND:
        return False
    return urgency.band == SERVICE_BAND or urgency.slack_s < MIN_SLACK_S
