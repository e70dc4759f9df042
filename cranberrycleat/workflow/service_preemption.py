"""Stops lesser work where a service's task has no room.

Answers a pool that is full when a member of a service has lost its place: a
service earns only while its members are at work, and the platform expects them
back within seconds however full the pool is. What is stopped is the least
urgent, what saves its progress first, and no more than makes the room.
"""

from typing import Final

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.fleet import FleetWorker, Placement

PREEMPTION_DELAY_S: Final = 0.5
"""How long a service's task waits for room before others are stopped: most
tasks end within a second or two, and 3 s are allowed."""


def select_victims(needs: Amounts, workers: list[FleetWorker]) -> list[Placement]:
    """Return what to stop so that one task finds room, or nothing.

    Of all workers the one is taken where the least is lost. Where enough is
    stopping already, nothing more is.
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
    available = worker.free
    for each in worker.placements.values():
        if each.stopping:
            available = available.plus(each.needs)
    chosen: list[Placement] = []
    preemptible = [each for each in worker.placements.values() if _is_preemptible(each)]
    preemptible.sort(key=_preemption_cost)
    for each in preemptible:
        if needs.fits_in(available):
            break
        chosen.append(each)
        available = available.plus(each.needs)
    return chosen if needs.fits_in(available) else None


def _is_preemptible(placement: Placement) -> bool:
    task = placement.tracked_task
    if task is None or placement.stopping or not placement.is_current:
        return False
    return not task.step.spec.service


def _preemption_cost(placement: Placement) -> float:
    """Return what a stop loses: urgent work, gangs and unsaved work cost more."""
    task = placement.tracked_task
    assert task is not None
    spec = task.step.spec
    urgency = 4.0 / (1 + task.step.job.queue.priority)
    lost = 0.2 if spec.checkpoints else 1.0
    members = spec.count if spec.gang else 1
    return urgency * lost * members * max(1, placement.needs.processors)
