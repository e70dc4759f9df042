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

FAILED_MACHINE_COOLDOWN_S: Final = 10.0
"""How long a machine on which a worker was lost is no place for a task that may crash
its workers: one that falls each few seconds would tell of no task."""
MIN_COMMON_CAUSE_FAILURES: Final = 2
"""Other workers, of any rack, that must fall with one for a cause that they share; a
single one may fall at that moment by chance."""
RACK_FAILURE_SHARE: Final = 0.5
"""The share of a rack's other machines that must fall with one for a cause of the
rack's own; some may be out of use, or have fallen before."""


@attrs.frozen(kw_only=True)
class WorkerFailure:
    """The last fall of a worker at an address; times on the owner's clock.

    Attributes:
        heard_at: When the worker was heard last.
        noticed_at: When it was found silent, or replaced.
        jobs: The jobs with attempts there that had only just begun.
        racks: The racks that the worker said it was in.
    """

    last_heard_at: float
    detected_at: float
    jobs: frozenset[str]
    racks: frozenset[str] = frozenset()

    def may_be_simultaneous(self, other: "WorkerFailure") -> bool:
        """Tell whether two workers may have fallen at the same moment."""
        return (
            self.last_heard_at <= other.detected_at
            and other.last_heard_at <= self.detected_at
        )


@attrs.frozen(kw_only=True)
class CorrelatedFailures:
    """Falls that may have come at the same moment as a worker's.

    Attributes:
        rack: Those of its rack, if enough of it fell for a cause of the rack's own.
        everywhere: All of them.
    """

    rack: tuple[WorkerFailure, ...] = ()
    all_failures: tuple[WorkerFailure, ...] = ()

    def exonerates(self, job_id: str) -> bool:
        """Tell whether the cause is not a job's that had just begun on the worker.

        Falls on which it had just begun too say nothing: its tasks may have crashed
        each of these workers.
        """
        if any(job_id not in failure.jobs for failure in self.rack):
            return True
        others = sum(job_id not in failure.jobs for failure in self.all_failures)
        return others >= MIN_COMMON_CAUSE_FAILURES


@attrs.define(kw_only=True, eq=False)
class WorkerFailures:
    """The falls that an owner has seen.

    Attributes:
        seen: The last one at each address.
        watched_since: Since when this owner would have seen one.
    """

    by_address: dict[str, WorkerFailure] = attrs.field(factory=dict)
    observing_since: float = float("-inf")

    def record_failure(self, entry: WorkerEntry, failure: WorkerFailure) -> None:
        """Put down a fall."""
        if entry.address:
            self.by_address[entry.address] = failure

    def stable_for_s(self, address: str, now: float) -> float:
        """Return for how long no worker is known to have fallen at an address."""
        failure = self.by_address.get(address)
        failed_at = float("-inf") if failure is None else failure.detected_at
        return now - max(failed_at, self.observing_since)

    def correlated_with(
        self, address: str, rack_addresses: set[str]
    ) -> CorrelatedFailures:
        """Return the falls that may have come with the one at an address.

        Args:
            address: Where the worker was.
            mates: The addresses of its rack's other machines (see `of_its_rack`).
        """
        failure = self.by_address.get(address)
        if failure is None:
            return CorrelatedFailures()
        all_failures = tuple(
            each
            for other, each in self.by_address.items()
            if other != address and each.may_be_simultaneous(failure)
        )
        rack = self.rack_failures(address, rack_addresses)
        return CorrelatedFailures(rack=rack, all_failures=all_failures)

    def rack_failures(
        self, address: str, rack_addresses: set[str]
    ) -> tuple[WorkerFailure, ...]:
        """Return the falls of a rack that fell with one of its workers.

        Args:
            address: Where the worker was.
            mates: The addresses of its rack's other machines; those that are out of
                use since they fell too are known here.

        Returns:
            What may have fallen at the same moment, or nothing if that is too little
            of the rack.
        """
        failure = self.by_address.get(address)
        if failure is None:
            return ()
        rack_addresses = rack_addresses | {
            each
            for each, other in self.by_address.items()
            if each != address and other.racks & failure.racks
        }
        failed = [
            self.by_address[each] for each in rack_addresses if each in self.by_address
        ]
        simultaneous = tuple(
            each for each in failed if each.may_be_simultaneous(failure)
        )
        return (
            simultaneous
            if len(simultaneous) >= RACK_FAILURE_SHARE * len(rack_addresses)
            else ()
        )
