"""Records when workers failed and which failures may have a common cause.

A rack or its power supply takes all its workers down at once, and so does any other
cause that workers share; a task only takes down the workers that start it.

A failure is recorded when a link finds its worker silent or replaced, long before the
worker's leases end. By the time the attempts there are judged
(`ClusterState.give_up_all`), all failures that belong together are therefore known.
"""

from typing import Final

import attrs

from cranberrycleat.workflow.ports import WorkerEntry

FAILED_MACHINE_COOLDOWN_S: Final = 10.0
"""How long a machine on which a worker was lost is not used for isolated attempts: on a
machine that fails every few seconds a loss says nothing about the task."""
MIN_COMMON_CAUSE_FAILURES: Final = 2
"""Number of other workers, of any rack, that must fail together with one to assume a
common cause; a single one may fail at the same moment by chance."""
RACK_FAILURE_SHARE: Final = 0.5
"""Share of a rack's other machines that must fail together with one to assume a cause
within the rack; some may be out of use or have failed earlier."""


@attrs.frozen(kw_only=True)
class WorkerFailure:
    """The latest failure of a worker at an address; times are on the owner's clock.

    Attributes:
        last_heard_at: When the worker last answered.
        detected_at: When it was found silent or replaced.
        jobs: The jobs with attempts there that had only just begun.
        racks: The racks that the worker reported to be in.
    """

    last_heard_at: float
    detected_at: float
    jobs: frozenset[str]
    racks: frozenset[str] = frozenset()

    def may_be_simultaneous(self, other: "WorkerFailure") -> bool:
        """Return whether two workers may have failed at the same moment."""
        return (
            self.last_heard_at <= other.detected_at
            and other.last_heard_at <= self.detected_at
        )


@attrs.frozen(kw_only=True)
class CorrelatedFailures:
    """Failures that may have occurred at the same moment as that of one worker.

    Attributes:
        rack: Those of its rack, if enough of the rack failed to assume a cause within
            it.
        all_failures: All of them.
    """

    rack: tuple[WorkerFailure, ...] = ()
    all_failures: tuple[WorkerFailure, ...] = ()

    def exonerates(self, job_id: str) -> bool:
        """Return whether the cause is not a job that had just begun there.

        Failures of workers on which the job had just begun as well prove nothing: its
        tasks may have crashed each of these workers.
        """
        if any(job_id not in failure.jobs for failure in self.rack):
            return True
        others = sum(job_id not in failure.jobs for failure in self.all_failures)
        return others >= MIN_COMMON_CAUSE_FAILURES


@attrs.define(kw_only=True, eq=False)
class WorkerFailures:
    """The worker failures that an owner has observed.

    Attributes:
        by_address: The latest failure at each address.
        observing_since: Since when this owner would have noticed a failure.
    """

    by_address: dict[str, WorkerFailure] = attrs.field(factory=dict)
    observing_since: float = float("-inf")

    def record_failure(self, entry: WorkerEntry, failure: WorkerFailure) -> None:
        """Record a worker's failure under its address."""
        if entry.address:
            self.by_address[entry.address] = failure

    def stable_for_s(self, address: str, now: float) -> float:
        """Return for how long no worker is known to have failed at an address."""
        failure = self.by_address.get(address)
        failed_at = float("-inf") if failure is None else failure.detected_at
        return now - max(failed_at, self.observing_since)

    def correlated_with(
        self, address: str, rack_addresses: set[str]
    ) -> CorrelatedFailures:
        """Return the failures that may have the same cause as the one at an address.

        Args:
            address: The address of the failed worker.
            rack_addresses: The addresses of its rack's other machines (see
                `rack_failures`).
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
        """Return the failures in a rack that coincide with that of one of its workers.

        Args:
            address: The address of the failed worker.
            rack_addresses: The addresses of its rack's other machines. Machines that
                are out of use because they failed too are added from the recorded
                failures.

        Returns:
            The failures that may have occurred at the same moment; empty if they are
            too small a share of the rack.
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
