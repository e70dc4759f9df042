"""The capacity book: what each worker has, what is on it, what is free.

Invariant: for every worker, the sum of what its tasks are counted with never
exceeds its capacity by any act of the book's user (`reserve` refuses). A task
is counted with the larger of what was declared and what was reported, because
reports lag; a report may therefore push a worker over, which `overfull` tells
and nothing may be added to until it is mended. A task stays counted until the
worker's own word, or the end of its lease, proves that it is gone.

Pools keep the workers that match one selector sorted by what is free, so that
a best-fit search starts at the first worker with room. The part is importable
on its own and uses no clock and no table.
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
"""Starts that failed in a row before a worker draws no more work."""
QUARANTINE_S: Final = 60.0
MAX_QUARANTINE_DOUBLINGS: Final = 6


class WorkerState(enum.Enum):
    """Whether a worker may draw new work."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    QUARANTINED = "quarantined"


class CapacityError(Exception):
    """The amounts asked for are not free on that worker."""


@attrs.define(kw_only=True, eq=False)
class InventoryWorker:
    """A worker as the book knows it.

    Attributes:
        name: Its name.
        data_centre: Where it stands.
        rack: The rack it stands in.
        labels: What selectors are matched against.
        capacity: What it has.
        used: The sum of what its tasks are counted with.
        tasks: What each task on it is counted with.
        state: Whether it may draw new work.
        failures: Failures in a row, each of another job.
        held_until: When a gang is expected to take the worker; 0 for never.
        probe_at: When a quarantined worker is tried again.
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
        """Tell whether it may draw work in this round.

        After a failure it draws one task a round until something succeeds.
        """
        if self.state is not WorkerState.LIVE:
            return False
        return not self.failures or self.last_allocated_round != self.round

    def __attrs_post_init__(self) -> None:
        self.free = self.capacity.minus(self.used)

    @property
    def overcommitted(self) -> bool:
        """Whether reports showed more in use than there is."""
        return not NOTHING.fits_in(self.free)


_SortKey = tuple[int, int, int, str]


def _sort_key(worker: InventoryWorker) -> _SortKey:
    free = worker.free
    return (free.accelerators, free.processors, free.memory_mb, worker.name)


@attrs.define(kw_only=True, eq=False)
class Pool:
    """The workers that match a selector, sorted by what is free.

    Attributes:
        selector: The selector.
        members: Every matching worker, whatever its state.
        racks: Matching workers by rack.
    """

    selector: Selector
    members: dict[str, InventoryWorker] = attrs.field(factory=dict)
    racks: dict[str, list[InventoryWorker]] = attrs.field(factory=dict)
    _order: list[_SortKey] = attrs.field(factory=list)

    def add(self, worker: InventoryWorker) -> None:
        """Take in a matching worker."""
        self.members[worker.name] = worker
        self.racks.setdefault(worker.rack, []).append(worker)
        bisect.insort(self._order, _sort_key(worker))

    def remove(self, worker: InventoryWorker) -> None:
        """Leave out a worker."""
        del self.members[worker.name]
        self.racks[worker.rack].remove(worker)
        if not self.racks[worker.rack]:
            del self.racks[worker.rack]
        self._remove_key(_sort_key(worker))

    def reposition(self, worker: InventoryWorker, old: _SortKey) -> None:
        """Put a worker in its new place in the order."""
        self._remove_key(old)
        bisect.insort(self._order, _sort_key(worker))

    def _remove_key(self, key: _SortKey) -> None:
        del self._order[bisect.bisect_left(self._order, key)]

    def best_fit(
        self, needs: Amounts, *, ends_by: float = -math.inf
    ) -> InventoryWorker | None:
        """Return the live worker with the least room that still fits.

        Workers with fewer free accelerators go first, so that those that have
        some are kept for work that needs them.

        Args:
            needs: What must be free.
            ends_by: When the task would end; held workers must be free by then.
        """
        order = self._order
        index = bisect.bisect_left(order, (needs.accelerators, needs.processors))
        while index < len(order):
            accelerators, processors, memory_mb, name = order[index]
            if processors < needs.processors:
                # The next group of equal accelerators begins further on.
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
        """Return the workers, those with the most room first."""
        for key in reversed(self._order):
            yield self.members[key[3]]


@attrs.define(kw_only=True, eq=False)
class WorkerInventory:
    """Every worker of a shard, with what is on it.

    Attributes:
        workers: The workers, by name.
        round: The number of the current round.
        changes: Grows when workers come, go or are relabelled.
    """

    workers: dict[str, InventoryWorker] = attrs.field(factory=dict)
    round: int = 0
    membership_revision: int = 0
    _pools: dict[Selector, Pool] = attrs.field(factory=dict)
    _overcommitted: set[str] = attrs.field(factory=set)
    _with_failures: set[str] = attrs.field(factory=set)

    def begin_round(self, now: float) -> None:
        """Begin a round: workers that failed may draw one more task each."""
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
        """Try a quarantined worker again after a rest that doubles each time."""
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
        """Return workers that a report has pushed over their capacity."""
        names = [name for name in self._overcommitted if name in self.workers]
        self._overcommitted = {
            name for name in names if self.workers[name].overcommitted
        }
        return tuple(self.workers[name] for name in sorted(self._overcommitted))

    def add_worker(self, worker: InventoryWorker) -> None:
        """Take in a worker that is not in the book yet."""
        self.membership_revision += 1
        self.workers[worker.name] = worker
        for pool in self._pools.values():
            if pool.selector.matches(worker.labels):
                pool.add(worker)

    def remove_worker(self, name: str) -> None:
        """Forget a worker that has no tasks left."""
        self.membership_revision += 1
        worker = self.workers.pop(name)
        for pool in self._pools.values():
            if name in pool.members:
                pool.remove(worker)

    def relabel(self, name: str, labels: dict[str, str]) -> None:
        """Give a worker new labels; what it runs stays."""
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
        """Return the pool of a selector, made at its first use."""
        pool = self._pools.get(selector)
        if pool is None:
            pool = Pool(selector=selector)
            for worker in self.workers.values():
                if selector.matches(worker.labels):
                    pool.add(worker)
            self._pools[selector] = pool
        return pool

    def allocate(self, name: str, task: str, needs: Amounts) -> None:
        """Count a task on a worker.

        Raises:
            CapacityError: The worker has not that much free, or has the task.
        """
        worker = self.workers[name]
        if task in worker.tasks or not needs.fits_in(worker.free):
            raise CapacityError(f"{task} on {name}")
        worker.last_allocated_round = self.round
        self._set_allocation(worker, task, needs)

    def adopt(self, name: str, task: str, needs: Amounts) -> None:
        """Count a task that is found to be on a worker, fitting or not."""
        self._set_allocation(self.workers[name], task, needs)

    def report(self, name: str, task: str, declared: Amounts, used: Amounts) -> None:
        """Take in what a worker says a task uses."""
        worker = self.workers[name]
        if task in worker.tasks:
            self._set_allocation(worker, task, declared.elementwise_max(used))
            if worker.overcommitted:
                self._overcommitted.add(name)

    def set_needs(self, name: str, task: str, needs: Amounts) -> None:
        """Count a task with other amounts, as when it has been throttled."""
        worker = self.workers[name]
        if task in worker.tasks:
            self._set_allocation(worker, task, needs)

    def release(self, name: str, task: str) -> None:
        """Stop counting a task that is proved to be gone; idempotent."""
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
        """Note that a worker started what it was given."""
        worker = self.workers[name]
        worker.failures = 0
        worker.quarantines = 0

    def start_failed(self, name: str) -> None:
        """Note that a worker failed what it was given; enough, and it rests."""
        worker = self.workers[name]
        worker.failures += 1
        worker.round = worker.last_allocated_round = self.round
        self._with_failures.add(name)
        if worker.failures >= QUARANTINE_AFTER and worker.state is WorkerState.LIVE:
            worker.state = WorkerState.QUARANTINED
