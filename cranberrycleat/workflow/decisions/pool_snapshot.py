"""Per-pool state that a scheduling round computes once for all of its steps.

Speeds up rounds with a backlog, in which hundreds of steps wait while every worker
is full. Checking each worker for each step took 55 ms per round with 400 steps and
176 workers, most of it to find again that nothing is free. Comparing a step with
the maximum that any worker had free when the round began rules out nearly all
steps with one comparison.
"""

from collections.abc import Callable, Iterable, Mapping

import attrs

from cranberrycleat.amounts import MILLI, NOTHING, Amounts
from cranberrycleat.workflow.fleet import (
    SUSPECTED_REASONS,
    Fleet,
    FleetWorker,
    reserved_resources,
)
from cranberrycleat.workflow.spec import StepSpec


@attrs.frozen(kw_only=True)
class PoolSnapshot:
    """State of one pool at the beginning of a round.

    Attributes:
        drawing: The schedulable workers.
        max_free: Maximum of each resource that any of them had free. This stays an
            upper bound during the round, since placements only reduce it.
        min_capacity: Minimum capacity of any of them, for each resource.
        by_name: The schedulable workers by incarnation name.
        suspected: Workers that would be schedulable but for their failures.
        max_free_suspected: Maximum of each resource that any of these had free.
    """

    drawing: tuple[FleetWorker, ...] = ()
    max_free: Amounts = NOTHING
    min_capacity: Amounts = NOTHING
    by_name: Mapping[str, FleetWorker] = attrs.field(factory=dict)
    suspected: tuple[FleetWorker, ...] = ()
    max_free_suspected: Amounts = NOTHING

    def might_fit(self, needs: Amounts) -> bool:
        """Return whether a task might fit on some worker; False is definite."""
        return needs.fits_in(self.max_free)

    def might_fit_suspected(self, needs: Amounts) -> bool:
        """Return whether a task might fit on a suspected worker; False is definite."""
        return bool(self.suspected) and needs.fits_in(self.max_free_suspected)

    def cores(self) -> float:
        """Return the number of processors of the schedulable workers."""
        return sum(each.entry.capacity.processors for each in self.drawing) / MILLI


def take_snapshot(fleet: Fleet, pool: str, now: float) -> PoolSnapshot:
    """Return a snapshot of a pool at a time on the owner's clock."""
    workers = fleet.workers_in_pool(pool)
    reasons = [(each, each.unavailable_reason(now)) for each in workers]
    drawing = tuple(each for each, reason in reasons if reason is None)
    suspected = tuple(each for each, reason in reasons if reason in SUSPECTED_REASONS)
    snapshot = PoolSnapshot(
        suspected=suspected, max_free_suspected=max_of(each.free for each in suspected)
    )
    if not drawing:
        return snapshot
    capacities = [each.entry.capacity for each in drawing]
    return attrs.evolve(
        snapshot,
        drawing=drawing,
        max_free=max_of(each.free for each in drawing),
        min_capacity=per_resource(min, capacities),
        by_name={each.name: each for each in drawing},
    )


def could_run_on(spec: StepSpec, worker: FleetWorker) -> bool:
    """Return whether a worker has the label and capacity that a step requires."""
    if spec.label and spec.label not in worker.entry.labels:
        return False
    return reserved_resources(spec).fits_in(worker.entry.capacity)


def max_of(amounts: Iterable[Amounts]) -> Amounts:
    """Return the maximum of each resource; nothing for no amounts."""
    found = list(amounts)
    return per_resource(max, found) if found else NOTHING


def per_resource(
    pick: Callable[[Iterable[int]], int], amounts: list[Amounts]
) -> Amounts:
    """Return a sum or bound of each resource; 0.02 ms for 300 workers (fast core)."""
    return Amounts(
        processors=pick(each.processors for each in amounts),
        memory_mb=pick(each.memory_mb for each in amounts),
        accelerators=pick(each.accelerators for each in amounts),
        slots=pick(each.slots for each in amounts),
    )
