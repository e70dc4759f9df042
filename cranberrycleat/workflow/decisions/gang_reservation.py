"""Reserves free resources for gangs that cannot be placed yet.

Without a reservation, small tasks that fit every gap would starve a gang. The planner
reserves for gangs in rank order, on the workers that will fit their members soonest,
and places lower-ranked steps only on what is left.

With `disjoint`, gangs reserve different resources, so that several of them collect
their workers at the same time, up to a share of the pool.
"""

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from cranberrycleat.amounts import MILLI, NOTHING, Amounts
from cranberrycleat.workflow.fleet import FleetWorker, how_many_fit

MAX_RESERVED_GANGS: Final = 3
"""Gangs with a reservation at a time; more would leave too much of the pool idle."""
MAX_RESERVED_FRACTION: Final = 0.25
"""Share of a pool's processors up to which more gangs get disjoint reservations. A
reserved worker is half idle on average while it drains, so that an eighth of the pool
is lost at most."""
NEARLY_READY_FRACTION: Final = 0.7
"""Share of a gang's members that fit now from which its permits are renewed: the rest
usually fits by the time a call for a wide gang is answered, about 1 s later."""

FitCount = Callable[[FleetWorker], int]
"""Returns how many members a worker may hold once other work on it has ended."""


@attrs.define(kw_only=True, eq=False)
class GangReservations:
    """The reservations of one scheduling round.

    Attributes:
        disjoint: Whether gangs reserve different resources.
        by_worker: What is reserved on each worker, by its name.
        gangs: The number of gangs that have a reservation.
    """

    disjoint: bool = False
    by_worker: dict[str, Amounts] = attrs.field(factory=dict)
    gangs: int = 0
    _processors: int = 0

    def may_add(self, pool_cores: float) -> bool:
        """Return whether another gang of a pool with some cores may reserve."""
        if self.gangs < MAX_RESERVED_GANGS:
            return True
        reserved_cores = self._processors / MILLI
        return self.disjoint and reserved_cores < MAX_RESERVED_FRACTION * pool_cores

    def on(self, worker: FleetWorker) -> Amounts:
        """Return what is reserved on a worker."""
        return self.by_worker.get(worker.name, NOTHING)

    def unreserved(self, worker: FleetWorker) -> Amounts:
        """Return the free resources of a worker that no gang has reserved."""
        reserved = self.by_worker.get(worker.name)
        return worker.free if reserved is None else worker.free.minus(reserved)

    def add(self, worker: str, amounts: Amounts) -> None:
        """Reserve resources on a worker."""
        self.by_worker[worker] = self.by_worker.get(worker, NOTHING).plus(amounts)
        self._processors += amounts.processors

    def reserve(
        self,
        needs: Amounts,
        count: int,
        candidates: Iterable[FleetWorker],
        fits_on: FitCount,
    ) -> dict[str, int]:
        """Reserve resources for a gang on the workers with the most free processors.

        A gang that would not fit even after other work has ended gets no reservation,
        since it would block lower-ranked steps for nothing.

        Args:
            needs: What each member takes.
            count: The number of members.
            candidates: The workers on which they may run.
            fits_on: Returns how many of them a worker may hold.

        Returns:
            The number of members by worker; empty if nothing was reserved.
        """
        chosen: list[tuple[FleetWorker, int]] = []
        remaining = count
        for worker in sorted(candidates, key=lambda each: -self._free_for(each)):
            members = min(remaining, fits_on(worker), self._fits_beside(needs, worker))
            if members > 0:
                chosen.append((worker, members))
                remaining -= members
            if remaining <= 0:
                break
        if remaining > 0:
            return {}
        for worker, members in chosen:
            self.add(worker.name, needs.times(members))
        self.gangs += 1
        return {worker.name: members for worker, members in chosen}

    def _free_for(self, worker: FleetWorker) -> int:
        if self.disjoint:
            return self.unreserved(worker).processors
        return worker.free.processors

    def _fits_beside(self, needs: Amounts, worker: FleetWorker) -> int:
        """Return how many members fit beside the reservations of other gangs."""
        capacity = worker.entry.capacity
        if self.disjoint:
            capacity = capacity.minus(self.on(worker))
        return how_many_fit(needs, capacity)


def is_nearly_ready(needs: Amounts, members: dict[FleetWorker, int]) -> bool:
    """Return whether most members of a gang fit on their reserved workers now."""
    fitting = sum(
        min(count, how_many_fit(needs, worker.free))
        for worker, count in members.items()
    )
    return fitting >= NEARLY_READY_FRACTION * sum(members.values())
