"""Throttles fillers to keep serving tasks within their tail-latency limit.

Fillers are best-effort tasks that use processors left idle by others. They interfere
with the serving tasks on the same worker, by amounts that differ by image and change
within seconds. When a serving task comes near its limit, the fillers on its worker are
slowed down at once; when the limit is exceeded, they are paused. They recover in steps
once latency is low again. Interference is countered within one sync, so that no limit
is exceeded for long enough that users notice.
"""

from typing import Final

import attrs

from cranberrycleat.workflow.fleet import FleetWorker, Placement

SLOWDOWN_THRESHOLD: Final = 0.85
"""Fraction of the limit from which fillers are slowed down. It is below 1 because
readings are coarse, and an order takes effect only after 0.1 s plus one reading
interval of 0.5 s."""
RECOVERY_THRESHOLD: Final = 0.6
"""Fraction of the limit below which fillers may recover."""
RECOVERY_STEP_PERCENT: Final = 20
"""Percentage points by which fillers recover in one step."""
RECOVERY_INTERVAL_S: Final = 1.5
"""Time between two recovery steps: three readings of half a second."""
FULL_SPEED_PERCENT: Final = 100


@attrs.frozen(kw_only=True)
class ThrottleOrder:
    """A placement and the percentage of full speed at which it is to run."""

    placement: Placement
    percent: int


def serves(placement: Placement) -> bool:
    """Return whether an attempt has a tail-latency limit."""
    task = placement.tracked_task
    return task is not None and task.step.spec.tail_limit_ms > 0


def runs_until_cancelled(placement: Placement) -> bool:
    """Return whether an attempt belongs to a service."""
    task = placement.tracked_task
    return task is not None and task.step.spec.service


def fills(placement: Placement) -> bool:
    """Return whether an attempt is a filler."""
    task = placement.tracked_task
    return task is not None and task.step.spec.filler


def pressure(worker: FleetWorker) -> float:
    """Return the highest latency of a serving task as a fraction of its limit."""
    shares = [0.0]
    for placement in worker.placements.values():
        task = placement.tracked_task
        if task is None or not serves(placement) or placement.reading is None:
            continue
        shares.append(placement.reading / task.step.spec.tail_limit_ms)
    return max(shares)


def throttle_orders(worker: FleetWorker, now: float) -> list[ThrottleOrder]:
    """Update a worker's filler speed by its newest readings; return the orders due."""
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
