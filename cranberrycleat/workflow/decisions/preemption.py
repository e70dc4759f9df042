"""Preempts other work when a service member cannot be placed.

A service has value only while its members are running, and the platform expects a
lost member back within seconds, however full the pool is. The preemption stops the
least urgent work, prefers work that checkpoints, and stops no more than needed.
"""

from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.workflow.fleet import FleetWorker, Placement

PREEMPTION_DELAY_S: Final = 0.5
"""How long a service member waits for free resources before other work is preempted.
Most tasks end within a second or two, and the platform allows 3 s."""


def select_victims(needs: Amounts, workers: list[FleetWorker]) -> list[Placement]:
    """Return the placements to stop so that one task fits, or an empty list.

    The worker with the lowest preemption cost is chosen. If some worker will have
    enough free resources once its already stopping tasks end, nothing is stopped.
    """
    best: list[Placement] = []
    best_cost = float("inf")
    for worker in workers:
        chosen = _victims_on_worker(needs, worker)
        if chosen is None:
            continue
        if not chosen:
            return []
        cost = sum(_preemption_cost(each) for each in chosen)
        if cost < best_cost:
            best, best_cost = chosen, cost
    return best


def _victims_on_worker(needs: Amounts, worker: FleetWorker) -> list[Placement] | None:
    stopped = NOTHING
    for each in worker.placements.values():
        if each.stopping:
            stopped = stopped.plus(each.needs)
    chosen: list[Placement] = []
    preemptible = [each for each in worker.placements.values() if _is_preemptible(each)]
    preemptible.sort(key=_preemption_cost)
    for each in preemptible:
        if needs.fits_in(worker.free_without(stopped)):
            break
        chosen.append(each)
        stopped = stopped.plus(each.needs)
    return chosen if needs.fits_in(worker.free_without(stopped)) else None


def _is_preemptible(placement: Placement) -> bool:
    task = placement.tracked_task
    if task is None or placement.stopping or not placement.is_current:
        return False
    return not task.step.spec.service


def _preemption_cost(placement: Placement) -> float:
    """Return the cost of a stop: higher for urgent, gang and non-checkpointed work."""
    task = placement.tracked_task
    assert task is not None
    spec = task.step.spec
    urgency = 4.0 / (1 + task.step.job.queue.priority)
    lost = 0.2 if spec.checkpoints else 1.0
    members = spec.count if spec.gang else 1
    return urgency * lost * members * max(1, placement.needs.processors)


@attrs.define(kw_only=True, eq=False)
class Preemption:
    """Selects running attempts that give way to a waiting step.

    Attributes:
        for_urgent_work: Whether steps that would be late may preempt, besides services.
    """

    for_urgent_work: bool = False
