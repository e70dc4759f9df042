"""Worker inventory: capacity, allocations and free resources of each worker.

Invariant: no call by the inventory's user makes the sum of a worker's allocations
exceed its capacity (`allocate` refuses). A task is allocated the larger of its
declared and its reported usage, because reports lag. A report may therefore exceed
a worker's capacity: the worker is then `overcommitted` and accepts no task until
that is resolved. A task stays allocated until the worker's own report, or the end
of its lease, proves that it is gone.

Pools keep the workers that match one selector sorted by free resources, so that a
best-fit search starts at the first worker that may fit. This module can be imported
on its own and uses neither clock nor table.
"""

import bisect
import enum
import math
from collections.abc import Iterator
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.selectors import Selector

QUARANTINE_AFTER: Final = 3
"""Consecutive failed starts after which a worker is quarantined."""
QUARANTINE_S: Final = 60.0
MAX_QUARANTINE_DOUBLINGS: Final = 6


class WorkerState(enum.Enum):
    """Whether a worker accepts new tasks."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    QUARANTINED = "quarantined"


class CapacityError(Exception):
    """The requested resources are not free on the worker."""


@attrs.define(kw_only=True, eq=False)
class InventoryWorker:
    """A worker in the inventory.

    Attributes:
        name: Its name.
        data_centre: Its data centre.
        rack: Its rack.
        labels: The labels that selectors are matched against.
        capacity: Its total resources.
        used: The sum of its allocations.
        free: Capacity minus `used`; negative amounts mean overcommitted.
        tasks: The resources allocated for each task on it.
        state: Whether it accepts new tasks.
        failures: Consecutive failures, each of a different job.
        reserved_until: When a gang is expected to start on it; 0 for no reservation.
        probe_at: When a quarantined worker is probed with one task.
        quarantines: Quarantines since its last successful start.
        last_allocated_round: The round in which a task was last allocated or failed.
    """

    name: str
    data_centre: str
    rack: str
    labels: dict[str, str]
    capacity: Amounts
    used: Amounts = NOTHING
    free: Amounts = NOTHING
    tasks: dict[str, Amounts] = attrs.field(factory=dict)
    state: WorkerState = WorkerState.LIVE
    failures: int = 0
    reserved_until: float = 0.0
    probe_at: float = math.inf
    quarantines: int = 0
    last_allocated_round: int = -1
    round: int = 0

    def may_accept_work(self) -> bool:
        """Return whether it accepts a task in this round.

        After a failure it accepts one task per round until a task succeeds.
        """
        if self.state is not WorkerState.LIVE:
            return False
        return not self.failures or self.last_allocated_round != self.round

    def __attrs_post_init__(self) -> None:
        self.free = self.capacity.minus(self.used)

    @property
    def overcommitted(self) -> bool:
        """Whether reported usage exceeds its capacity."""
        return not NOTHING.fits_in(self.free)


_SortKey = tuple[int, int, int, str]


def _sort_key(worker: InventoryWorker) -> _SortKey:
    free = worker.free
    return (free.accelerators, free.processors, free.memory_mb, worker.name)


@attrs.define(kw_only=True, eq=False)
class Pool:
    """The workers that match a selector, sorted by free resources.

    Attributes:
        selector: The selector.
        members: Every matching worker, in any state.
        racks: Matching workers by rack.
    """

    selector: Selector
    members: dict[str, InventoryWorker] = attrs.field(factory=dict)
    racks: dict[str, list[InventoryWorker]] = attrs.field(factory=dict)
    _order: list[_SortKey] = attrs.field(factory=list)

    def add(self, worker: InventoryWorker) -> None:
        """Add a matching worker."""
        self.members[worker.name] = worker
        self.racks.setdefault(worker.rack, []).append(worker)
        bisect.insort(self._order, _sort_key(worker))

    def remove(self, worker: InventoryWorker) -> None:
        """Remove a worker."""
        del self.members[worker.name]
        self.racks[worker.rack].remove(worker)
        if not self.racks[worker.rack]:
            del self.racks[worker.rack]
        self._remove_key(_sort_key(worker))

    def reposition(self, worker: InventoryWorker, old: _SortKey) -> None:
        """Move a worker to its new position in the sort order."""
        self._remove_key(old)
        bisect.insort(self._order, _sort_key(worker))

    def _remove_key(self, key: _SortKey) -> None:
        del self._order[bisect.bisect_left(self._order, key)]

    def best_fit(
        self, needs: Amounts, *, ends_by: float = -math.inf
    ) -> InventoryWorker | None:
        """Return the live worker with the least free resources that still fits.

        Workers with fewer free accelerators come first, so that accelerators are
        kept for tasks that need them.

        Args:
            needs: The resources that must be free.
            ends_by: When the task would end; a reserved worker is skipped if its
                reservation starts before that.
        """
        order = self._order
        index = bisect.bisect_left(order, (needs.accelerators, needs.processors))
        while index < len(order):
            accelerators, processors, memory_mb, name = order[index]
            if processors < needs.processors:
                # Skip to the next possible fit with the same or more accelerators.
                index = bisect.bisect_left(order, (accelerators, needs.processors))
                continue
            index += 1
            if memory_mb < needs.memory_mb:
                continue
            worker = self.members[name]
            if worker.reserved_until and ends_by > worker.reserved_until:
                continue
            if worker.may_accept_work() and needs.fits_in(worker.free):
                return worker
        return None

    def most_free_first(self) -> Iterator[InventoryWorker]:
        """Yield the workers, those with the most free resources first."""
        for key in reversed(self._order):
            yield self.members[key[3]]


@attrs.define(kw_only=True, eq=False)
class WorkerInventory:
    """Every worker of a shard, with its allocations.

    Attributes:
        workers: The workers, by name.
        round: The number of the current round.
        membership_revision: Incremented when workers are added, removed or relabelled.
    """

    workers: dict[str, InventoryWorker] = attrs.field(factory=dict)
    round: int = 0
    membership_revision: int = 0
    _pools: dict[Selector, Pool] = attrs.field(factory=dict)
    _overcommitted: set[str] = attrs.field(factory=set)
    _with_failures: set[str] = attrs.field(factory=set)

    def begin_round(self, now: float) -> None:
        """Begin a round: each worker with failures may accept one more task."""
        self.round += 1
        for name in list(self._with_failures):
            worker = self.workers.get(name)
            if worker is None:
                self._with_failures.discard(name)
                continue
            worker.round = self.round
            if worker.state is WorkerState.QUARANTINED:
                self._update_quarantine(worker, now)
            elif not worker.failures:
                self._with_failures.discard(name)

    def _update_quarantine(self, worker: InventoryWorker, now: float) -> None:
        """Start a quarantine, which doubles each time, or end it with a probe."""
        if worker.probe_at == math.inf:
            worker.probe_at = now + QUARANTINE_S * 2 ** min(
                worker.quarantines, MAX_QUARANTINE_DOUBLINGS
            )
            worker.quarantines += 1
        elif now >= worker.probe_at:
            worker.probe_at = math.inf
            worker.state = WorkerState.LIVE
            worker.failures = QUARANTINE_AFTER - 1

    def overcommitted_workers(self) -> tuple[InventoryWorker, ...]:
        """Return the workers whose reported usage exceeds their capacity."""
        names = [name for name in self._overcommitted if name in self.workers]
        self._overcommitted = {
            name for name in names if self.workers[name].overcommitted
        }
        return tuple(self.workers[name] for name in sorted(self._overcommitted))

    def add_worker(self, worker: InventoryWorker) -> None:
        """Add a worker that is not in the inventory yet."""
        self.membership_revision += 1
        self.workers[worker.name] = worker
        for pool in self._pools.values():
            if pool.selector.matches(worker.labels):
                pool.add(worker)

    def remove_worker(self, name: str) -> None:
        """Remove a worker whose tasks have ended or are re-added by the caller."""
        self.membership_revision += 1
        worker = self.workers.pop(name)
        for pool in self._pools.values():
            if name in pool.members:
                pool.remove(worker)

    def relabel(self, name: str, labels: dict[str, str]) -> None:
        """Set a worker's labels; its tasks stay."""
        self.membership_revision += 1
        worker = self.workers[name]
        for pool in self._pools.values():
            if name in pool.members:
                pool.remove(worker)
        worker.labels = labels
        for pool in self._pools.values():
            if pool.selector.matches(labels):
                pool.add(worker)

    def pool(self, selector: Selector) -> Pool:
        """Return the pool of a selector, built on first use."""
        pool = self._pools.get(selector)
        if pool is None:
            pool = Pool(selector=selector)
            for worker in self.workers.values():
                if selector.matches(worker.labels):
                    pool.add(worker)
            self._pools[selector] = pool
        return pool

    def allocate(self, name: str, task: str, needs: Amounts) -> None:
        """Allocate resources for a task on a worker.

        Raises:
            CapacityError: The worker has too little free, or already has the task.
        """
        worker = self.workers[name]
        if task in worker.tasks or not needs.fits_in(worker.free):
            raise CapacityError(f"{task} on {name}")
        worker.last_allocated_round = self.round
        self._set_allocation(worker, task, needs)

    def adopt(self, name: str, task: str, needs: Amounts) -> None:
        """Allocate for a task found running on a worker, whether it fits or not."""
        self._set_allocation(self.workers[name], task, needs)

    def report(self, name: str, task: str, declared: Amounts, used: Amounts) -> None:
        """Update a task's allocation from its reported usage."""
        worker = self.workers[name]
        if task in worker.tasks:
            self._set_allocation(worker, task, declared.elementwise_max(used))
            if worker.overcommitted:
                self._overcommitted.add(name)

    def set_needs(self, name: str, task: str, needs: Amounts) -> None:
        """Change a task's allocation, for example after it was throttled."""
        worker = self.workers[name]
        if task in worker.tasks:
            self._set_allocation(worker, task, needs)

    def release(self, name: str, task: str) -> None:
        """Release the allocation of a task that is proved to be gone; idempotent."""
        worker = self.workers.get(name)
        if worker is not None and task in worker.tasks:
            self._set_allocation(worker, task, None)

    def _set_allocation(
        self, worker: InventoryWorker, task: str, needs: Amounts | None
    ) -> None:
        old_key = _sort_key(worker)
        old = worker.tasks.pop(task, NOTHING)
        if needs is not None:
            worker.tasks[task] = needs
        worker.used = worker.used.minus(old).plus(needs or NOTHING)
        worker.free = worker.capacity.minus(worker.used)
        for pool in self._pools.values():
            if worker.name in pool.members:
                pool.reposition(worker, old_key)

    def start_succeeded(self, name: str) -> None:
        """Record that a worker ran a task successfully; resets its failures."""
        worker = self.workers[name]
        worker.failures = 0
        worker.quarantines = 0

    def start_failed(self, name: str) -> None:
        """Record a failed task; after `QUARANTINE_AFTER` the worker is quarantined."""
        worker = self.workers[name]
        worker.failures += 1
        worker.round = worker.last_allocated_round = self.round
        self._with_failures.add(name)
        if worker.failures >= QUARANTINE_AFTER and worker.state is WorkerState.LIVE:
            worker.state = WorkerState.QUARANTINED
