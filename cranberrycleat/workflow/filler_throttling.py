"""Keeps tasks that serve users within their tail latency.

Answers fillers that disturb the serving tasks beside them, by amounts that
differ by image and change within seconds. A worker whose serving tasks come
near their limit has its fillers slowed at once, and stopped where the limit is
passed; they come back in steps once there is room again. What a filler does is
undone within one sync, so that no limit is passed for as long as users notice.
"""

from typing import Final

import attrs

from cranberrycleat.workflow.fleet import FleetWorker, Placement

SLOWDOWN_THRESHOLD: Final = 0.85
"""Share of the limit from which fillers are slowed: readings are rough, and an
order shows after 0.1 s and one reading of 0.5 s."""
RECOVERY_THRESHOLD: Final = 0.6
"""Share of the limit below which fillers may come back."""
RECOVERY_STEP_PERCENT: Final = 20
"""Percent by which they come back."""
RECOVERY_INTERVAL_S: Final = 1.5
"""Time between two steps: three readings of half a second."""
FULL_SPEED_PERCENT: Final = 100


@attrs.frozen(kw_only=True)
class ThrottleOrder:
    """A placement and the share at which it is to work."""

    placement: Placement
    percent: int


def serves(placement: Placement) -> bool:
    """Tell whether an attempt serves users within a limit."""
    task = placement.tracked_task
    return task is not None and task.step.spec.tail_limit_ms > 0


def runs_until_cancelled(placement: Placement) -> bool:
    """Tell whether an attempt runs until its job is cancelled."""
    task = placement.tracked_task
    return task is not None and task.step.spec.service


def fills(placement: Placement) -> bool:
    """Tell whether an attempt is a filler."""
    task = placement.tracked_task
    return task is not None and task.step.spec.filler


def pressure(worker: FleetWorker) -> float:
    """Return the worst reading of a serving task as a share of its limit."""
    shares = [0.0]
    for placement in worker.placements.values():
        task = placement.tracked_task
        if task is None or not serves(placement) or placement.reading is None:
            continue
        shares.append(placement.reading / task.step.spec.tail_limit_ms)
    return max(shares)


def throttle_orders(worker: FleetWorker, now: float) -> list[ThrottleOrder]:
    """Return the orders that a worker's newest readings ask for."""
    fillers = [each for each in worker.placements.values() if fills(each)]
    if not fillers or not any(map(serves, worker.placements.values())):
        worker.filler_percent = FULL_SPEED_PERCENT
    else:
        _adjust_filler_percent(worker, pressure(worker), now)
    return [
        ThrottleOrder(placement=each, percent=worker.filler_percent)
        for each in fillers
        if each.running and not each.stopping and each.throttle != worker.filler_percent
    ]


def _adjust_filler_percent(worker: FleetWorker, share: float, now: float) -> None:
    if share >= 1.0:
        worker.filler_percent = 0
        worker.filler_changed_at = now
    elif share >= SLOWDOWN_THRESHOLD:
        worker.filler_percent //= 2
        worker.filler_changed_at = now
    elif (
        share < RECOVERY_THRESHOLD
        and now - worker.filler_changed_at >= RECOVERY_INTERVAL_S
    ):
        worker.filler_percent = min(
            FULL_SPEED_PERCENT, worker.filler_percent + RECOVERY_STEP_PERCENT
        )
        worker.filler_changed_at = now
