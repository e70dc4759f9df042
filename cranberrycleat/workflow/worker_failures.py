"""Records when workers failed and which failures may have a common cause.

A rack or its power supply takes all its workers down at once, and so does any other
cause that workers share; a task only takes down the workers that start it.

A failure is recorded when a link finds its worker silent or replaced. When a worker is
silent, its attempts are judged (`ClusterState.give_up_all`) only after its leases have
ended, so all failures that belong together are known by then. A restart is judged as
soon as another incarnation answers, perhaps before other workers that failed at the
same moment are found to have failed; such a judgement is provisional (`LossTracker`).
"""

from typing import Final

import attrs

FAILED_MACHINE_COOLDOWN_S: Final = 10.0
"""How long a machine on which a worker was lost is not used for isolated attempts: on a
machine that fails every few seconds a loss says nothing about the task."""
MIN_COMMON_CAUSE_FAILURES: Final = 2
"""Number of other workers, of any rack, that must fail together with one to assume a
common cause; a single one may fail at the same moment by chance."""
RACK_FAILURE_SHARE: Final = 0.5
"""Share of a rack's other machines that must fail together with one to assume a cause
within the rack; some may be out of use or have failed earlier."""
SUPERSEDED_FAILURES_KEPT_S: Final = 10.0
"""How long a failure is remembered where a worker has failed again: until the attempts
on silent workers have been judged, whose leases last 6 s."""
DETECTION_LIMIT_S: Final = 0.6
"""How long after a failure others of the same moment may still be detected. Connections
that break are noticed within milliseconds, and a link whose sync failed repeats it
after 0.25 s."""


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

    def may_miss_others(self, now: float, heard_until: float) -> bool:
        """Return whether failures of the same moment may not be detected yet.

        Args:
            now: The time.
            heard_until: When every worker that is not known to have failed has answered
                at the earliest (see `Fleet.heard_until`).
        """
        return (
            heard_until < self.detected_at
            and now - self.detected_at < DETECTION_LIMIT_S
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
        superseded: Recent failures at addresses where a worker has failed again, with
            the address, oldest first.
        observing_since: Since when this owner would have noticed a failure.
    """

    by_address: dict[str, WorkerFailure] = attrs.field(factory=dict)
    superseded: list[tuple[str, WorkerFailure]] = attrs.field(factory=list)
    observing_since: float = float("-inf")

    def record_failure(self, address: str, failure: WorkerFailure) -> None:
        """Record a worker's failure under its address, if that is known."""
        if not address:
            return
        since = failure.detected_at - SUPERSEDED_FAILURES_KEPT_S
        self.superseded = [
            (address, each)
            for address, each in self.superseded
            if each.detected_at >= since
        ]
        if address in self.by_address:
            self.superseded.append((address, self.by_address[address]))
        self.by_address[address] = failure

    def stable_for_s(self, address: str, now: float) -> float:
        """Return for how long no worker is known to have failed at an address."""
        failure = self.by_address.get(address)
        failed_at = float("-inf") if failure is None else failure.detected_at
        return now - max(failed_at, self.observing_since)

    def correlated_with(
        self,
        address: str,
        rack_addresses: set[str],
        failure: WorkerFailure | None = None,
    ) -> CorrelatedFailures:
        """Return the failures that may have the same cause as one at an address.

        Args:
            address: The address of the failed worker.
            rack_addresses: The addresses of its rack's other machines (see
                `rack_failures`).
            failure: The failure; None for the latest at that address.
        """
        failure = failure or self.by_address.get(address)
        if failure is None:
            return CorrelatedFailures()
        all_failures = tuple(self._simultaneous_with(address, failure).values())
        rack = self.rack_failures(address, rack_addresses, failure)
        return CorrelatedFailures(rack=rack, all_failures=all_failures)

    def rack_failures(
        self,
        address: str,
        rack_addresses: set[str],
        failure: WorkerFailure | None = None,
    ) -> tuple[WorkerFailure, ...]:
        """Return the failures in a rack that coincide with that of one of its workers.

        Args:
            address: The address of the failed worker.
            rack_addresses: The addresses of its rack's other machines. Machines that
                are out of use because they failed too are added from the recorded
                failures.
            failure: The failure; None for the latest at that address.

        Returns:
            The failures that may have occurred at the same moment; empty if they are
            too small a share of the rack.
        """
        failure = failure or self.by_address.get(address)
        if failure is None:
            return ()
        rack_addresses = rack_addresses | {
            each
            for each, other in self.by_address.items()
            if each != address and other.racks & failure.racks
        }
        simultaneous = tuple(
            each
            for other, each in self._simultaneous_with(address, failure).items()
            if other in rack_addresses
        )
        return (
            simultaneous
            if len(simultaneous) >= RACK_FAILURE_SHARE * len(rack_addresses)
            else ()
        )

    def _simultaneous_with(
        self, address: str, failure: WorkerFailure
    ) -> dict[str, WorkerFailure]:
        """Return a failure that may have been simultaneous, for each other address."""
        return {
            other: each
            for other, each in (*self.superseded, *self.by_address.items())
            if other != address and each.may_be_simultaneous(failure)
        }
