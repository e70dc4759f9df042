"""Making room: which tasks give way to more urgent work, and how.

Of the workers that could be made to hold a task, the one that loses least is
taken: checkpointed work loses nothing, throttled work goes on more slowly, and
of stopped work what it has run so far is lost.
"""

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.book import BookWorker, WorkerState
from cranberrycleat.jobs import Yield

LOOK_AT: Final = 64
"""Workers looked at for one task; enough to find a cheap one, and bounded."""
THROTTLED_SHARE: Final = 2
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
    how: Yield
    started: float


@attrs.frozen(kw_only=True)
class Preemption:
    """A task that is to give way."""

    task: str
    worker: str
    how: Yield


VictimOf = Callable[[str], Victim | None]


def freed(needs: Amounts, how: Yield) -> Amounts:
    """Return what a task frees by giving way."""
    if how is Yield.THROTTLE:
        return Amounts(processors=needs.processors - throttled(needs).processors)
    return needs


def throttled(needs: Amounts) -> Amounts:
    """Return what a throttled task is counted with."""
    return attrs.evolve(needs, processors=needs.processors // THROTTLED_SHARE)


def make_room(
    workers: Iterable[BookWorker],
    needs: Amounts,
    rank: int,
    victim_of: VictimOf,
    now: float,
) -> tuple[Preemption, ...]:
    """Choose the tasks of one worker that give way to a task.

    Returns:
        The preemptions, or nothing where no worker looked at could be made to
        hold the task.
    """
    best: tuple[float, tuple[Preemption, ...]] | None = None
    looked = 0
    for worker in workers:
        if worker.state is not WorkerState.LIVE or not needs.fits_in(worker.capacity):
            continue
        looked += 1
        found = _on_worker(worker, needs, rank, victim_of, now)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
        if looked >= LOOK_AT or (best is not None and best[0] == 0.0):
            break
    return best[1] if best is not None else ()


def _on_worker(
    worker: BookWorker, needs: Amounts, rank: int, victim_of: VictimOf, now: float
) -> tuple[float, tuple[Preemption, ...]] | None:
    """Return the work lost and the preemptions that make room on one worker."""
    free, lost, chosen = worker.free, 0.0, []
    for cost, task, how in _candidates(worker, rank, victim_of, now):
        if needs.fits_in(free):
            break
        free = free.plus(freed(worker.tasks[task], how))
        lost += cost
        chosen.append(Preemption(task=task, worker=worker.name, how=how))
    return (lost, tuple(chosen)) if needs.fits_in(free) else None


def _candidates(
    worker: BookWorker, rank: int, victim_of: VictimOf, now: float
) -> list[tuple[float, str, Yield]]:
    """Return who may give way on a worker, the cheapest first."""
    found: list[tuple[float, str, Yield]] = []
    for task, needs in worker.tasks.items():
        victim = victim_of(task)
        if victim is None or victim.rank <= rank or victim.how is Yield.NEVER:
            continue
        found.append((_cost(needs, victim, now), task, victim.how))
    found.sort(key=lambda each: (each[0], each[1]))
    return found


def _cost(needs: Amounts, victim: Victim, now: float) -> float:
    """Return the processor-seconds that are lost if a task gives way."""
    if victim.how is Yield.STOP:
        return needs.processors * (now - victim.started)
    return 0.0
