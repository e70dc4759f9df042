"""How long a step waits for the rack where it runs fastest.

Answers deployments on which tasks away from their data, or gangs over several
racks, take a multiple of their time: going elsewhere at once keeps a worker busy
for as many times as long, where the right rack is often free a moment later.
"""

from typing import Final

from cranberrycleat.workflow.fleet import FleetWorker, max_tasks_on
from cranberrycleat.workflow.spec import StepSpec

MAX_WAIT_FRACTION: Final = 0.5
"""Of what going elsewhere would cost: who waits for half of it and must go all the
same has lost half as much again, who waits in vain for all of it twice as much."""
MAX_RACK_WAIT_S: Final = 3.0
"""Estimates are off by large factors; a rack that is not free by then is full."""


def rack_wait_s(spec: StepSpec, spread_factor: float) -> float:
    """Return how long the step's tasks wait for a rack, in seconds.

    Args:
        spec: The step.
        spread_factor: How many times as long its tasks take elsewhere.
    """
    if not spec.same_rack and not spec.data_rack:
        return 0.0
    penalty_s = (spread_factor - 1.0) * spec.estimate_s
    return max(0.0, min(MAX_RACK_WAIT_S, MAX_WAIT_FRACTION * penalty_s))


def workers_by_rack(workers: list[FleetWorker]) -> dict[str, list[FleetWorker]]:
    """Return the workers of each rack; the first label is a worker's kind."""
    by_rack: dict[str, list[FleetWorker]] = {}
    for worker in workers:
        for label in worker.entry.racks:
            by_rack.setdefault(label, []).append(worker)
    return by_rack


def could_hold_gang(spec: StepSpec, workers: list[FleetWorker]) -> bool:
    """Tell whether these workers, if they were empty, could hold a whole gang."""
    return sum(max_tasks_on(spec, each.max_capacity) for each in workers) >= spec.count
