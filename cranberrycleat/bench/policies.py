"""The baselines of `bench placement`: first-fit, random, best-fit, FIFO, bound.

They use the same kind of worker inventory as the planner and receive the same events.
The baselines order jobs by priority and arrival only, and do not reserve, preempt or
learn.

The bound runs the shortest work first within a priority, on a single pooled worker as
large as all workers together. It knows the true run times and considers only
processors: no hosts, racks, memory or gangs. It does not preempt, so a policy that
checkpoints other work may still start urgent work sooner.
"""

import math
import random

import attrs

from cranberrycleat.inventory import InventoryWorker, WorkerInventory
from cranberrycleat.jobs import Kind
from cranberrycleat.placement import Assignment, PlacementRequest
from cranberrycleat.rounds import Plan, RoundPlanner


@attrs.define(kw_only=True, eq=False)
class BaselinePlanner(RoundPlanner):
    """A planner that places jobs in order of priority and arrival.

    Attributes:
        strategy: How a worker is selected: `first`, `random` or `best`.
        strict: Strict FIFO: a job that does not fit blocks all jobs behind it.
        rng: Random number generator of the `random` strategy.
    """

    strategy: str
    strict: bool = False
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))

    def plan(
        self,
        requests: list[PlacementRequest],
        racks: dict[str, dict[str, int]] | None = None,
        *,
        now: float = 0.0,
    ) -> Plan:
        """Run one scheduling round."""
        self.inventory.begin_round(now)
        self._unfit.clear()
        new_assignments: list[Assignment] = []
        order = (
            requests
            if self.strict
            else sorted(requests, key=lambda request: request.rank)
        )
        for request in order:
            placed = self._try(request)
            new_assignments.extend(placed)
            if self.strict and len(placed) < len(request.tasks):
                break
        return Plan(assignments=tuple(new_assignments), unplaced=())

    def _try(self, request: PlacementRequest) -> list[Assignment]:
        new_assignments: list[Assignment] = []
        if self._known_unfit(request, math.inf):
            return new_assignments
        for task in request.tasks:
            worker = self._select_worker(request)
            if worker is None:
                self._record_unfit(request)
                break
            self.inventory.allocate(worker.name, task, request.needs)
            new_assignments.append(Assignment(task=task, worker=worker.name))
        if request.kind is Kind.GANG and len(new_assignments) < len(request.tasks):
            for each in new_assignments:
                self.inventory.release(each.worker, each.task)
            return []
        return new_assignments

    def _select_worker(self, request: PlacementRequest) -> InventoryWorker | None:
        pool = self.inventory.pool(request.selector)
        if self.strategy == "best":
            return pool.best_fit(request.needs)
        members = list(pool.members.values())
        if self.strategy == "random":
            start = self.rng.randrange(len(members)) if members else 0
            members = members[start:] + members[:start]
        for worker in members:
            if worker.may_accept_work() and request.needs.fits_in(worker.free):
                return worker
        return None


@attrs.define(kw_only=True, eq=False)
class ShortestFirst(RoundPlanner):
    """The planner of the bound: by priority, then by least work per task."""

    def _sorted(
        self, requests: list[PlacementRequest], now: float
    ) -> list[PlacementRequest]:
        def sort_key(request: PlacementRequest) -> tuple[int, float]:
            return (request.rank, request.run_s * request.needs.processors)

        return sorted(requests, key=sort_key)


def baseline(name: str, inventory: WorkerInventory) -> RoundPlanner:
    """Return the baseline planner of a name."""
    match name:
        case "first-fit":
            return BaselinePlanner(inventory=inventory, strategy="first")
        case "random":
            return BaselinePlanner(inventory=inventory, strategy="random")
        case "fifo":
            return BaselinePlanner(inventory=inventory, strategy="best", strict=True)
        case _:
            return BaselinePlanner(inventory=inventory, strategy="best")
