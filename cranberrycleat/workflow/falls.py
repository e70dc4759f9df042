"""Which workers fell, when, and which of them together.

A rack or its power takes all its workers at a moment, and so does a cause that they
share elsewhere; a task takes those that start it.
A fall is put down when a link finds its worker silent or replaced, long before its
leases are over: by the time that what ran there is judged (`Board.lapse`), the falls
that belong together are all known.
"""

from typing import Final

import attrs

from cranberrycleat.workflow.ports import WorkerEntry

FELL_S: Final = 10.0
"""How long a machine on which a worker was lost is no place for a task that may crash
its workers: one that falls each few seconds would tell of no task."""
COMMON_CAUSE: Final = 2
"""Other workers, of any rack, that must fall with one for a cause that they share; a
single one may fall at that moment by chance."""
TOGETHER_SHARE: Final = 0.5
"""The share of a rack's other machines that must fall with one for a cause of the
rack's own; some may be out of use, or have fallen before."""


@attrs.frozen(kw_only=True)
class Fall:
    """The last fall of a worker at an address; times on the owner's clock.

    Attributes:
        heard_at: When the worker was heard last.
        noticed_at: When it was found silent, or replaced.
        jobs: The jobs with attempts there that had only just begun.
        racks: The racks that the worker said it was in.
    """

    heard_at: float
    noticed_at: float
    jobs: frozenset[str]
    racks: frozenset[str] = frozenset()

    def may_be_with(self, other: "Fall") -> bool:
        """Tell whether two workers may have fallen at the same moment."""
        return self.heard_at <= other.noticed_at and other.heard_at <= self.noticed_at


@attrs.frozen(kw_only=True)
class SimultaneousFalls:
    """Falls that may have come at the same moment as a worker's.

    Attributes:
        rack: Those of its rack, if enough of it fell for a cause of the rack's own.
        everywhere: All of them.
    """

    rack: tuple[Fall, ...] = ()
    everywhere: tuple[Fall, ...] = ()

    def clear(self, job_id: str) -> bool:
        """Tell whether the cause is not a job's that had just begun on the worker.

        Falls on which it had just begun too say nothing: its tasks may have crashed
        each of these workers.
        """
        if any(job_id not in fall.jobs for fall in self.rack):
            return True
        others = sum(job_id not in fall.jobs for fall in self.everywhere)
        return others >= COMMON_CAUSE


@attrs.define(kw_only=True, eq=False)
class Falls:
    """The falls that an owner has seen.

    Attributes:
        seen: The last one at each address.
        watched_since: Since when this owner would have seen one.
    """

    seen: dict[str, Fall] = attrs.field(factory=dict)
    watched_since: float = float("-inf")

    def note(self, entry: WorkerEntry, fall: Fall) -> None:
        """Put down a fall."""
        if entry.address:
            self.seen[entry.address] = fall

    def stood_s(self, address: str, now: float) -> float:
        """Return for how long no worker is known to have fallen at an address."""
        fall = self.seen.get(address)
        fell_at = float("-inf") if fall is None else fall.noticed_at
        return now - max(fell_at, self.watched_since)

    def together_with(self, address: str, mates: set[str]) -> SimultaneousFalls:
        """Return the falls that may have come with the one at an address.

        Args:
            address: Where the worker was.
            mates: The addresses of its rack's other machines (see `of_its_rack`).
        """
        fall = self.seen.get(address)
        if fall is None:
            return SimultaneousFalls()
        everywhere = tuple(
            each
            for other, each in self.seen.items()
            if other != address and each.may_be_with(fall)
        )
        rack = self.of_its_rack(address, mates)
        return SimultaneousFalls(rack=rack, everywhere=everywhere)

    def of_its_rack(self, address: str, mates: set[str]) -> tuple[Fall, ...]:
        """Return the falls of a rack that fell with one of its workers.

        Args:
            address: Where the worker was.
            mates: The addresses of its rack's other machines; those that are out of
                use since they fell too are known here.

        Returns:
            What may have fallen at the same moment, or nothing if that is too little
            of the rack.
        """
        fall = self.seen.get(address)
        if fall is None:
            return ()
        mates = mates | {
            each
            for each, other in self.seen.items()
            if each != address and other.racks & fall.racks
        }
        fell = [self.seen[each] for each in mates if each in self.seen]
        together = tuple(each for each in fell if each.may_be_with(fall))
        return together if len(together) >= TOGETHER_SHARE * len(mates) else ()
