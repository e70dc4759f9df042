"""Detects stalled workers by the progress of their tasks.

Some workers stop making progress for seconds while they answer every call and report
good health. Tasks assigned to them wait, and short urgent work has lost its value by
the time the worker resumes. Each status report of a worker contains the progress of
its tasks (`percent`, the completed share of the work of a task that terminates), so a
stall is detected within one to three seconds. A task is restarted elsewhere when this
is about to be its last chance to meet its objective: short urgent work at once, long
work only after a long stall, since it would lose its progress. The worker is then
quarantined and probed with a single task, like a worker that fails what it starts.
"""

import math
from typing import Final

from cranberrycleat.workflow.decisions.ordering import EXPIRED_BAND, SERVICE_BAND, rank
from cranberrycleat.workflow.fleet import FleetWorker, Placement

STALL_TIMEOUT_S: Final = 1.2
"""A task without progress for this long is stalled. A task that resumes from a
checkpoint makes no progress for its first 0.6 s; a task of 16 s on a worker eight
times too slow advances one percent in 1.3 s; reports arrive at least every 1.5 s."""
MIN_STALL_SPEED: Final = 0.5
"""The timeout is at most doubled, so that a worker whose stalls were taken for a low
speed is still noticed before tasks of 5 s have lost their value."""
MIN_SLACK_S: Final = 2.0
"""With less slack, a task cannot wait for the next report, which may take 1.5 s, and
for its restart elsewhere. Stopping every task that had run for less than 3 s also
stopped gangs with 8 s of slack, and the benefit score of that kind of job fell from 1.0
to 0.92."""
COMPLETE_PERCENT: Final = 100.0
PERCENTS_PER_STALL: Final = 2.0
"""A task without progress for the time of this many percents is stalled. Progress is
reported in whole percents, so that one of them takes up to its own time to be seen."""


def stall_timeout_s(speed: float) -> float:
    """Return after how long without progress a task on a worker of a speed is stalled.

    A slow worker advances and resumes in proportion to its speed. A fast one is not
    judged sooner, since reports arrive only every 1.5 s.
    """
    return STALL_TIMEOUT_S / max(MIN_STALL_SPEED, min(1.0, speed))


def is_stalled(worker: FleetWorker, now: float, speed: float = 1.0) -> bool:
    """Return whether a worker is stalled, judged by a report that has just arrived.

    Args:
        worker: The worker.
        now: The owner's clock.
        speed: The worker's own speed.
    """
    moves_s = stall_timeout_s(speed)
    is_evident = False
    for each in worker.placements.values():
        if not _reports_progress(each):
            continue
        silent_s = now - each.advanced_at
        if silent_s < moves_s and each.advanced_at > each.running_since:
            return False
        # One that has just begun, or whose percents take long, tells nothing yet.
        is_evident = is_evident or silent_s >= _timeout_s(each, speed)
    return is_evident


def placements_to_stop(worker: FleetWorker, now_s: float) -> list[Placement]:
    """Return the placements to restart elsewhere rather than wait for the worker.

    Args:
        worker: A stalled worker.
        now_s: Unix time in seconds, the clock on which objectives are measured.
    """
    return [
        each
        for each in worker.placements.values()
        if each.running and not each.stopping and _must_restart_elsewhere(each, now_s)
    ]


def _reports_progress(placement: Placement) -> bool:
    """Return whether an attempt's progress reflects the state of its worker.

    The progress of a gang does not, since it waits for members on other workers that
    may be stalled.
    """
    task = placement.tracked_task
    if task is None or not placement.running or placement.stopping:
        return False
    spec = task.step.spec
    return not (
        spec.gang
        or spec.service
        or spec.filler
        or placement.percent >= COMPLETE_PERCENT
    )


def _timeout_s(placement: Placement, speed: float) -> float:
    """Return after how long without progress an attempt on a worker is stalled."""
    least_s = stall_timeout_s(speed)
    relative_s = PERCENTS_PER_STALL * _percent_s(placement)
    return max(least_s, relative_s * least_s / STALL_TIMEOUT_S)


def _percent_s(placement: Placement) -> float:
    """Return how long one percent of an attempt takes, in seconds.

    The estimate may be too low; what the attempt has taken so far is then the better
    one. An attempt that an earlier owner started has no known beginning.
    """
    task = placement.tracked_task
    estimated_s = 0.0 if task is None else task.step.spec.estimate_s / COMPLETE_PERCENT
    took_s = placement.advanced_at - placement.running_since
    if placement.percent <= 0.0 or not math.isfinite(took_s):
        return estimated_s
    return max(estimated_s, took_s / placement.percent)


def _must_restart_elsewhere(placement: Placement, now_s: float) -> bool:
    task = placement.tracked_task
    if task is None or not placement.is_current:
        return False
    urgency = rank(task.step, now_s)
    if urgency.band == EXPIRED_BAND:
        return False
    return urgency.band == SERVICE_BAND or urgency.slack_s < MIN_SLACK_S
