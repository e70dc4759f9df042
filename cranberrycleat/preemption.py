"""Making room: which tasks give way to more urgent work, and how.

Of the workers that could be made to hold a task, the one that loses least is
taken: checkpointed work loses nothing, throttled work goes on more slowly, and
of stopped work what it has run so far is lost.
"""

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.inventory import InventoryWorker, WorkerState
from cranberrycleat.jobs import PreemptionMode

MAX_WORKERS_EXAMINED: Final = 64
"""Workers looked at for one task; enough to find a cheap one, and bounded."""
THROTTLE_DIVISOR: Final = 2
"""A throttled task keeps one part in so many of its processors."""


@attrs.frozen(kw_only=True)
class Victim:
    """What is known of a task that may have to give way.

    Attributes:
        rank: Its priority; only a higher number gives way.
        how: How it gives way.
        started: When it was placed, on the planner's clock.
    """

    rank: int
    how: PreemptionMode
    started: float


@attrs.frozen(kw_only=True)
class Preemption:
    """A task that is to give way."""

    task: str
    worker: str
    how: PreemptionMode


VictimLookup = Callable[[str], Victim | None]


def freed_amounts(needs: Amounts, how: PreemptionMode) -> Amounts:
    """Return what a task frees by giving way."""
    if how is PreemptionMode.THROTTLE:
        return Amounts(processors=needs.processors - throttled(needs).processors)
    return needs


def throttled(needs: Amounts) -> Amounts:
    """Return what a throttled task is counted with."""
    return attrs.evolve(needs, processors=needs.processors // THROTTLE_DIVISOR)


def choose_victims(
    workers: Iterable[InventoryWorker],
    needs: Amounts,
    rank: int,
    find_victim: VictimLookup,
    now: float,
) -> tuple[Preemption, ...]:
    """Choose the tasks of one worker that give way to a task.

    Returns:
        The preemptions, or nothing where no worker looked at could be made to
        hold the task.
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
    """Return the work lost and the preemptions that make room on one worker."""
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
    """Return who may give way on a worker, the cheapest first."""
    found: list[tuple[float, str, PreemptionMode]] = []
    for task, needs in worker.tasks.items():
        victim = find_victim(task)
        if victim is None or victim.rank <= rank or victim.how is PreemptionMode.NEVER:
            continue
        found.append((_lost_work(needs, victim, now), task, victim.how))
    found.sort(key=lambda each: (each[0], each[1]))
    return found


def _lost_work(needs: Amounts, victim: Victim, now: float) -> float:
    """Return the processor-seconds that are lost if a task gives way."""
    if victim.how is PreemptionMode.STOP:
        return needs.processors * (now - victim.started)
    return 0.0
