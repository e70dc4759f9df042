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
from cranberrycleat.inventory import InventoryWorker, Pool, WorkerInventory
from cranberrycleat.jobs import Kind, PreemptionMode
from cranberrycleat.registry import PluginKind, register
from cranberrycleat.selectors import Selector

MAX_REASONS_SHOWN: Final = 4


@attrs.frozen(kw_only=True)
class PlacementRequest:
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
    gives_way: PreemptionMode = PreemptionMode.STOP
    ends_by: float = -math.inf


@attrs.frozen(kw_only=True)
class Assignment:
    """A task and the worker where room was reserved for it."""

    task: str
    worker: str


class PlacementPolicy(Protocol):
    """What a placement policy does."""

    def place(
        self,
        *,
        request: PlacementRequest,
        inventory: WorkerInventory,
        racks: dict[str, int],
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
        self,
        *,
        request: PlacementRequest,
        inventory: WorkerInventory,
        racks: dict[str, int],
    ) -> tuple[Assignment, ...]:
        """Reserve room for each task until one finds none."""
        pool = inventory.pool(request.selector)
        assignments = []
        for task in request.tasks:
            worker = pool.best_fit(request.needs, ends_by=request.ends_by)
            if worker is None:
                break
            inventory.allocate(worker.name, task, request.needs)
            assignments.append(Assignment(task=task, worker=worker.name))
        return tuple(assignments)


@register(PluginKind.PLACEMENT, Kind.GANG.value)
class AllOrNothing:
    """All the tasks get a place in one step, or none keeps one."""

    def place(
        self,
        *,
        request: PlacementRequest,
        inventory: WorkerInventory,
        racks: dict[str, int],
    ) -> tuple[Assignment, ...]:
        """Reserve room for every task, or for none."""
        assignments = BestFit().place(request=request, inventory=inventory, racks=racks)
        if len(assignments) == len(request.tasks):
            return assignments
        for assignment in assignments:
            inventory.release(assignment.worker, assignment.task)
        return ()


@register(PluginKind.PLACEMENT, Kind.SERVICE.value)
class SpreadOverRacks:
    """Each task goes to the rack with the fewest of its kin, then tightest."""

    def place(
        self,
        *,
        request: PlacementRequest,
        inventory: WorkerInventory,
        racks: dict[str, int],
    ) -> tuple[Assignment, ...]:
        """Reserve room for each task until one finds none."""
        pool = inventory.pool(request.selector)
        counts = dict(racks)
        assignments = []
        for task in request.tasks:
            worker = _least_used_rack_worker(request, pool, counts)
            if worker is None:
                break
            inventory.allocate(worker.name, task, request.needs)
            counts[worker.rack] = counts.get(worker.rack, 0) + 1
            assignments.append(Assignment(task=task, worker=worker.name))
        return tuple(assignments)


def _least_used_rack_worker(
    request: PlacementRequest, pool: Pool, counts: dict[str, int]
) -> InventoryWorker | None:
    prefix = request.job + "/"
    for rack in sorted(pool.racks, key=lambda each: counts.get(each, 0)):
        fitting = [each for each in pool.racks[rack] if _has_capacity(each, request)]
        if fitting:
            return min(fitting, key=lambda each: _spread_key(each, prefix))
    return None


def _has_capacity(worker: InventoryWorker, request: PlacementRequest) -> bool:
    if worker.reserved_until and request.ends_by > worker.reserved_until:
        return False
    return worker.may_accept_work() and request.needs.fits_in(worker.free)


def _spread_key(worker: InventoryWorker, prefix: str) -> tuple[int, int, str]:
    """Kin on the worker first, so that one host's loss costs one replica."""
    replicas = sum(1 for task in worker.tasks if task.startswith(prefix))
    return (replicas, worker.free.processors, worker.name)


def unsatisfiable_reasons(
    request: PlacementRequest, inventory: WorkerInventory
) -> tuple[str, ...]:
    """Say why no worker of the book could hold a task even if it were empty.

    Returns:
        The reasons, or nothing where some worker could.
    """
    members = inventory.pool(request.selector).members.values()
    if not members:
        return (f"no worker matches the selector {request.selector.text!r}",)
    if any(request.needs.fits_in(each.capacity) for each in members):
        return ()
    largest = members.__iter__().__next__().capacity
    for each in members:
        largest = largest.elementwise_max(each.capacity)
    return _shortfalls(request.needs, largest)


def _shortfalls(needs: Amounts, largest: Amounts) -> tuple[str, ...]:
    reasons = []
    for field in attrs.fields(Amounts):
        needed, available = getattr(needs, field.name), getattr(largest, field.name)
        if needed > available:
            reasons.append(
                f"{field.name}: a task needs {needed}, the most is {available}"
            )
    if not reasons:
        reasons.append("no single worker has all that a task needs")
    return tuple(reasons[:MAX_REASONS_SHOWN])
