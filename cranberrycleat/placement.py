"""Placement policies: which workers the tasks of one job are assigned to.

A policy is a plug-in with one method, `place`. It searches the worker inventory,
allocates capacity there and returns the assignments. The built-in policies match
the kinds of workload: services are spread over racks, batch tasks are placed best
fit, gangs are placed all or nothing. Job order, quotas and preemption are not
part of a policy; see `rounds`.
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
    """Pending tasks of one job that are to be placed.

    Attributes:
        job: The job's name.
        kind: Its kind.
        team: The team whose quota it counts against.
        rank: Its priority; lower ranks are placed first.
        needs: The resources allocated for each task.
        selector: Which workers may run it.
        tasks: The names of the tasks to place.
        run_s: Expected run time of a task, in seconds; 0 for unknown.
        gives_way: How its tasks are preempted.
        ends_by: When a task placed now would end, on the planner's clock; workers
            reserved for a gang accept only tasks that end before the reservation
            starts.
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
    """A task and the worker on which capacity was allocated for it."""

    task: str
    worker: str


class PlacementPolicy(Protocol):
    """Interface of a placement policy."""

    def place(
        self,
        *,
        request: PlacementRequest,
        inventory: WorkerInventory,
        racks: dict[str, int],
    ) -> tuple[Assignment, ...]:
        """Allocate capacity for as many of the tasks as fit.

        Args:
            request: The tasks.
            inventory: The worker inventory, which is modified.
            racks: Number of the job's tasks already placed in each rack.

        Returns:
            The assignments made; the other tasks do not fit at present.
        """


@register(PluginKind.PLACEMENT, Kind.BATCH.value)
class BestFit:
    """Places each task on the worker that is left with the least free capacity."""

    def place(
        self,
        *,
        request: PlacementRequest,
        inventory: WorkerInventory,
        racks: dict[str, int],
    ) -> tuple[Assignment, ...]:
        """Allocate capacity for each task until one does not fit."""
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
    """Places all tasks in one step, or none of them."""

    def place(
        self,
        *,
        request: PlacementRequest,
        inventory: WorkerInventory,
        racks: dict[str, int],
    ) -> tuple[Assignment, ...]:
        """Allocate capacity for every task, or for none."""
        assignments = BestFit().place(request=request, inventory=inventory, racks=racks)
        if len(assignments) == len(request.tasks):
            return assignments
        for assignment in assignments:
            inventory.release(assignment.worker, assignment.task)
        return ()


@register(PluginKind.PLACEMENT, Kind.SERVICE.value)
class SpreadOverRacks:
    """Places each task in the rack with the fewest tasks of its job, best fit."""

    def place(
        self,
        *,
        request: PlacementRequest,
        inventory: WorkerInventory,
        racks: dict[str, int],
    ) -> tuple[Assignment, ...]:
        """Allocate capacity for each task until one does not fit."""
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
    """Sort by the job's replicas on the worker first: losing a host costs one."""
    replicas = sum(1 for task in worker.tasks if task.startswith(prefix))
    return (replicas, worker.free.processors, worker.name)


def unsatisfiable_reasons(
    request: PlacementRequest, inventory: WorkerInventory
) -> tuple[str, ...]:
    """Explain why a task would fit no worker of the inventory, even an empty one.

    Returns:
        The reasons, or an empty tuple if some worker could hold a task.
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
