"""Delay scheduling: how long a step waits for the rack where it runs fastest.

On some deployments, tasks away from their data and gangs spread over several racks
take a multiple of their usual run time. Placing them elsewhere at once occupies a
worker for that multiple, while the preferred rack is often free a moment later.
"""

from typing import Final

from cranberrycleat.workflow.fleet import FleetWorker, max_tasks_on
from cranberrycleat.workflow.spec import StepSpec

MAX_WAIT_FRACTION: Final = 0.5
"""Maximum wait as a fraction of the extra run time elsewhere. A step that waits for
half of it and still goes elsewhere loses 1.5 times the penalty in total; a step that
waits for all of it in vain loses twice the penalty."""
MAX_RACK_WAIT_S: Final = 2.4
"""Upper limit of the wait, since run-time estimates are off by large factors. A rack
that has not become free by then is full, and the platform counts a job as lost of which
nothing runs for 3 s beside room."""


def rack_wait_s(spec: StepSpec, spread_factor: float) -> float:
    """Return how long the step's tasks wait for a rack, in seconds.

    Args:
        spec: The step.
        spread_factor: Run-time multiplier of its tasks on other racks.
    """
    if not spec.same_rack and not spec.data_rack:
        return 0.0
    penalty_s = (spread_factor - 1.0) * spec.estimate_s
    return max(0.0, min(MAX_RACK_WAIT_S, MAX_WAIT_FRACTION * penalty_s))


def workers_by_rack(workers: list[FleetWorker]) -> dict[str, list[FleetWorker]]:
    """Return the workers of each rack.

    `WorkerEntry.racks` leaves out a worker's first label, which is its kind.
    """
    by_rack: dict[str, list[FleetWorker]] = {}
    for worker in workers:
        for label in worker.entry.racks:
            by_rack.setdefault(label, []).append(worker)
    return by_rack


def could_hold_gang(spec: StepSpec, workers: list[FleetWorker]) -> bool:
    """Return whether these workers, if they were empty, could hold a whole gang."""
    return sum(max_tasks_on(spec, each.max_capacity) for each in workers) >= spec.count
