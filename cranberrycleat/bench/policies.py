"""The baselines of `bench placement`: first-fit, random, best-fit, FIFO, bound.

They place into the same book under the same events. None of them orders by
anything but priority and arrival, reserves, preempts or learns. The bound
is the shortest work first on one pooled worker as large as all of them together,
with true run times and for processors alone: no hosts, racks, memory or gangs.
It is work divided by capacity, the least work first in a priority. It does not
preempt, so a policy that checkpoints others may still start urgent work sooner.
"""

import math
import random

import attrs

from cranberrycleat.book import BookWorker, CapacityBook
from cranberrycleat.jobs import Kind
from cranberrycleat.placement import Ask, Assignment
from cranberrycleat.rounds import Plan, RoundPlanner


@attrs.define(kw_only=True, eq=False)
class BaselinePlanner(RoundPlanner):
    """A planner that takes jobs in order of priority and arrival.

    Attributes:
        pick: `first`, `random` or `best`: how a worker is chosen.
        strict: Whether a job that finds no room holds up all behind it (FIFO).
        rng: Where chance comes from.
    """

    pick: str
    strict: bool = False
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))

    def plan(
        self,
        asks: list[Ask],
        racks: dict[str, dict[str, int]] | None = None,
        *,
        now: float = 0.0,
    ) -> Plan:
        """Plan one round."""
        self.book.begin_round(now)
        self._blocked.clear()
        made: list[Assignment] = []
        order = asks if self.strict else sorted(asks, key=lambda ask: ask.rank)
        for ask in order:
            placed = self._try(ask)
            made.extend(placed)
            if self.strict and len(placed) < len(ask.tasks):
                break
        return Plan(assignments=tuple(made), refusals=())

    def _try(self, ask: Ask) -> list[Assignment]:
        made: list[Assignment] = []
        if self._is_blocked(ask, math.inf):
            return made
        for task in ask.tasks:
            worker = self._choose(ask)
            if worker is None:
                self._note_blocked(ask)
                break
            self.book.reserve(worker.name, task, ask.needs)
            made.append(Assignment(task=task, worker=worker.name))
        if ask.kind is Kind.GANG and len(made) < len(ask.tasks):
            for each in made:
                self.book.release(each.worker, each.task)
            return []
        return made

    def _choose(self, ask: Ask) -> BookWorker | None:
        pool = self.book.pool(ask.selector)
        if self.pick == "best":
            return pool.tightest(ask.needs)
        members = list(pool.members.values())
        if self.pick == "random":
            start = self.rng.randrange(len(members)) if members else 0
            members = members[start:] + members[:start]
        for worker in members:
            if worker.may_draw() and ask.needs.fits_in(worker.free):
                return worker
        return None


@attrs.define(kw_only=True, eq=False)
class ShortestFirst(RoundPlanner):
    """The planner of the bound: by priority, then the least work a task."""

    def _sorted(self, asks: list[Ask], now: float) -> list[Ask]:
        def work(ask: Ask) -> tuple[int, float]:
            return (ask.rank, ask.run_s * ask.needs.processors)

        return sorted(asks, key=work)


def baseline(name: str, book: CapacityBook) -> RoundPlanner:
    """Return a baseline by its name."""
    match name:
        case "first-fit":
            return BaselinePlanner(book=book, pick="first")
        case "random":
            return BaselinePlanner(book=book, pick="random")
        case "fifo":
            return BaselinePlanner(book=book, pick="best", strict=True)
        case _:
            return BaselinePlanner(book=book, pick="best")
