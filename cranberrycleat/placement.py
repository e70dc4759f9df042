"""Placement policies: where the tasks of one job go.

A policy is a plug-in with one method, `place`. It looks for room in the
capacity book, reserves what it finds there and says what it did. The three
that ship here differ as their workloads do: services spread over racks, batch
goes to the tightest fit, gangs get all their places or none. Order between
jobs, quotas and preemption are not a policy's business; see `rounds`.
"""

import math
from typing import Final, Protocol

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.book import BookWorker, CapacityBook, Pool
from cranberrycleat.jobs import Kind, Yield
from cranberrycleat.registry import PluginKind, register
from cranberrycleat.selectors import Selector

REASONS_SHOWN: Final = 4


@attrs.frozen(kw_only=True)
class Ask:
    """Tasks of one job that want a place.

    Attributes:
        job: The job's name.
        kind: Its kind.
        team: Who it is counted against.
        rank: Its priority; the lower goes first.
        needs: What the book counts each task with.
        selector: Which workers may run it.
        tasks: The names of the tasks that want a place.
        run_s: How long a task is expected to run, in seconds; 0 for unknown.
        gives_way: How its tasks make room for others.
        ends_by: When a task placed now would end, on the planner's clock;
            workers that are held for a gang take only what ends before its turn.
    """

    job: str
    kind: Kind
    team: str
    rank: int
    needs: Amounts
    selector: Selector
    tasks: tuple[str, ...]
    run_s: float = 0.0
    gives_way: Yield = Yield.STOP
    ends_by: float = -math.inf


@attrs.frozen(kw_only=True)
class Assignment:
    """A task and the worker where room was reserved for it."""

    task: str
    worker: str


class Policy(Protocol):
    """What a placement policy does."""

    def place(
        self, *, ask: Ask, book: CapacityBook, racks: dict[str, int]
    ) -> tuple[Assignment, ...]:
        """Reserve room in the book for as many of the tasks as fit.

        Args:
            ask: The tasks.
            book: The capacity book, which is changed.
            racks: How many tasks of the job run in each rack already.

        Returns:
            The assignments made; tasks left out find no room now.
        """


@register(PluginKind.PLACEMENT, Kind.BATCH.value)
class BestFit:
    """Each task goes to the worker that it leaves the least room on."""

    def place(
        self, *, ask: Ask, book: CapacityBook, racks: dict[str, int]
    ) -> tuple[Assignment, ...]:
        """Reserve room for each task until one finds none."""
        pool = book.pool(ask.selector)
        made = []
        for task in ask.tasks:
            worker = pool.tightest(ask.needs, ends_by=ask.ends_by)
            if worker is None:
                break
            book.reserve(worker.name, task, ask.needs)
            made.append(Assignment(task=task, worker=worker.name))
        return tuple(made)


@register(PluginKind.PLACEMENT, Kind.GANG.value)
class AllOrNone:
    """All the tasks get a place in one step, or none keeps one."""

    def place(
        self, *, ask: Ask, book: CapacityBook, racks: dict[str, int]
    ) -> tuple[Assignment, ...]:
        """Reserve room for every task, or for none."""
        made = BestFit().place(ask=ask, book=book, racks=racks)
        if len(made) == len(ask.tasks):
            return made
        for assignment in made:
            book.release(assignment.worker, assignment.task)
        return ()


@register(PluginKind.PLACEMENT, Kind.SERVICE.value)
class SpreadOverRacks:
    """Each task goes to the rack with the fewest of its kin, then tightest."""

    def place(
        self, *, ask: Ask, book: CapacityBook, racks: dict[str, int]
    ) -> tuple[Assignment, ...]:
        """Reserve room for each task until one finds none."""
        pool = book.pool(ask.selector)
        counts = dict(racks)
        made = []
        for task in ask.tasks:
            worker = _spread_choice(ask, pool, counts)
            if worker is None:
                break
            book.reserve(worker.name, task, ask.needs)
            counts[worker.rack] = counts.get(worker.rack, 0) + 1
            made.append(Assignment(task=task, worker=worker.name))
        return tuple(made)


def _spread_choice(ask: Ask, pool: Pool, counts: dict[str, int]) -> BookWorker | None:
    prefix = ask.job + "/"
    for rack in sorted(pool.racks, key=lambda each: counts.get(each, 0)):
        fitting = [each for each in pool.racks[rack] if _has_room(each, ask)]
        if fitting:
            return min(fitting, key=lambda each: _crowding(each, prefix))
    return None


def _has_room(worker: BookWorker, ask: Ask) -> bool:
    if worker.held_until and ask.ends_by > worker.held_until:
        return False
    return worker.may_draw() and ask.needs.fits_in(worker.free)


def _crowding(worker: BookWorker, prefix: str) -> tuple[int, int, str]:
    """Kin on the worker first, so that one host's loss costs one replica."""
    kin = sum(1 for task in worker.tasks if task.startswith(prefix))
    return (kin, worker.free.processors, worker.name)


def why_never(ask: Ask, book: CapacityBook) -> tuple[str, ...]:
    """Say why no worker of the book could hold a task even if it were empty.

    Returns:
        The reasons, or nothing where some worker could.
    """
    members = book.pool(ask.selector).members.values()
    if not members:
        return (f"no worker matches the selector {ask.selector.text!r}",)
    if any(ask.needs.fits_in(each.capacity) for each in members):
        return ()
    best = members.__iter__().__next__().capacity
    for each in members:
        best = best.larger(each.capacity)
    return _shortfalls(ask.needs, best)


def _shortfalls(needs: Amounts, best: Amounts) -> tuple[str, ...]:
    reasons = []
    for field in attrs.fields(Amounts):
        wanted, most = getattr(needs, field.name), getattr(best, field.name)
        if wanted > most:
            reasons.append(f"{field.name}: a task needs {wanted}, the most is {most}")
    if not reasons:
        reasons.append("no single worker has all that a task needs")
    return tuple(reasons[:REASONS_SHOWN])
