"""Preemption: which tasks are preempted for more urgent jobs, and how.

Of the workers on which a task would fit after preemption, the one that loses the
least work is chosen: checkpointed tasks lose nothing, throttled tasks continue
more slowly, and stopped tasks lose the work done so far.
"""

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.inventory import InventoryWorker, WorkerState
from cranberrycleat.jobs import PreemptionMode

MAX_WORKERS_EXAMINED: Final = 64
"""Maximum workers examined per task: enough to find a cheap one at bounded cost."""
THROTTLE_DIVISOR: Final = 2
"""A throttled task keeps its processors divided by this."""


@attrs.frozen(kw_only=True)
class Victim:
    """A task that may be preempted.

    Attributes:
        rank: Its priority; only higher numbers than the new task's are preempted.
        how: How it is preempted.
        started: When it was placed, on the planner's clock.
    """

    rank: int
    how: PreemptionMode
    started: float


@attrs.frozen(kw_only=True)
class Preemption:
    """A task to preempt."""

    task: str
    worker: str
    how: PreemptionMode


VictimLookup = Callable[[str], Victim | None]


def freed_amounts(needs: Amounts, how: PreemptionMode) -> Amounts:
    """Return the resources that preempting a task frees."""
    if how is PreemptionMode.THROTTLE:
        return Amounts(processors=needs.processors - throttled(needs).processors)
    return needs


def throttled(needs: Amounts) -> Amounts:
    """Return the resources allocated for a task while it is throttled."""
    return attrs.evolve(needs, processors=needs.processors // THROTTLE_DIVISOR)


def choose_victims(
    workers: Iterable[InventoryWorker],
    needs: Amounts,
    rank: int,
    find_victim: VictimLookup,
    now: float,
) -> tuple[Preemption, ...]:
    """Choose tasks of one worker to preempt so that a new task fits there.

    Returns:
        The preemptions, or an empty tuple if the task would fit on none of the
        workers examined.
    """
    best: tuple[float, tuple[Preemption, ...]] | None = None
    examined = 0
    for worker in workers:
        if worker.state is not WorkerState.LIVE or not needs.fits_in(worker.capacity):
            continue
        examined += 1
        found = _victims_on_worker(worker, needs, rank, find_victim, now)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
        if examined >= MAX_WORKERS_EXAMINED or (best is not None and best[0] == 0.0):
            break
    return best[1] if best is not None else ()


def _victims_on_worker(
    worker: InventoryWorker,
    needs: Amounts,
    rank: int,
    find_victim: VictimLookup,
    now: float,
) -> tuple[float, tuple[Preemption, ...]] | None:
    """Return the work lost and the preemptions needed on one worker, if enough."""
    free, lost, chosen = worker.free, 0.0, []
    for cost, task, how in _eligible_victims(worker, rank, find_victim, now):
        if needs.fits_in(free):
            break
        free = free.plus(freed_amounts(worker.tasks[task], how))
        lost += cost
        chosen.append(Preemption(task=task, worker=worker.name, how=how))
    return (lost, tuple(chosen)) if needs.fits_in(free) else None


def _eligible_victims(
    worker: InventoryWorker, rank: int, find_victim: VictimLookup, now: float
) -> list[tuple[float, str, PreemptionMode]]:
    """Return the tasks on a worker that may be preempted, cheapest first."""
    found: list[tuple[float, str, PreemptionMode]] = []
    for task, needs in worker.tasks.items():
        victim = find_victim(task)
        if victim is None or victim.rank <= rank or victim.how is PreemptionMode.NEVER:
            continue
        found.append((_lost_work(needs, victim, now), task, victim.how))
    found.sort(key=lambda each: (each[0], each[1]))
    return found


def _lost_work(needs: Amounts, victim: Victim, now: float) -> float:
    """Return the processor-seconds of work lost by preempting a task."""
    if victim.how is PreemptionMode.STOP:
        return needs.processors * (now - victim.started)
    return 0.0
