"""Chooses workers for the tasks of a step, one after the other, best first.

Placing a task changes its own worker only, so that the others keep their order. This
makes the cost of placing n tasks on m workers grow as n + m but for a logarithm.
"""

import heapq
from collections.abc import Callable, Iterable

import attrs

from cranberrycleat.workflow.fleet import FleetWorker

Preference = tuple[bool, int, int, int, str]
"""The sort key of a worker; lower is better."""


@attrs.define(kw_only=True, eq=False)
class BestFit:
    """The workers that fit a task of a step, in order of preference.

    Attributes:
        fits: Returns whether a worker would be given another task.
        preference: Returns the preference for a worker, which differs between any two.
    """

    fits: Callable[[FleetWorker], bool]
    preference: Callable[[FleetWorker], Preference]
    _queue: list[tuple[Preference, int]] = attrs.field(factory=list)
    _workers: list[FleetWorker] = attrs.field(factory=list)
    _position: dict[FleetWorker, int] = attrs.field(factory=dict)

    def add_all(self, workers: Iterable[FleetWorker]) -> None:
        """Add workers to choose from."""
        for worker in workers:
            self._add(worker)
        heapq.heapify(self._queue)

    def best(self) -> FleetWorker | None:
        """Return the best worker; None if none fits."""
        while self._queue:
            _, position = self._queue[0]
            worker = self._workers[position]
            if self._position.get(worker) == position:
                return worker
            heapq.heappop(self._queue)
        return None

    def update(self, worker: FleetWorker) -> None:
        """Move a worker to its new place after a task was placed on it."""
        if self._position.pop(worker, None) is None:
            return
        if self._add(worker):
            heapq.heappush(self._queue, self._queue.pop())

    def _add(self, worker: FleetWorker) -> bool:
        """Append an entry for a worker that fits, regardless of the queue's order."""
        if not self.fits(worker):
            return False
        position = len(self._workers)
        self._position[worker] = position
        self._workers.append(worker)
        self._queue.append((self.preference(worker), position))
        return True
