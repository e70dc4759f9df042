"""The owner's and the doors' settings; every length of time in one place."""

from typing import Final

import attrs

from cranberrycleat.workflow.ports import HostResources, LeaseBounds

OWNER_LEASE_S: Final = 0.9
"""Short urgent work has 0.75 s to spare, so a dead owner must be followed at
once; a takeover that was not needed costs about 30 ms. Long enough for two
writes to a store that is slowed 60 times (0.25 s each)."""
LEASE_POLL_INTERVAL_S: Final = 0.25
"""How often a candidate looks at the owner's row; each look is a priced call."""
LEASE_RENEW_INTERVAL_S: Final = 0.25
"""The longest time between two writes of an owner with nothing to store."""
WORKER_LEASE_S: Final = 6.0
"""Must outlive an owner's death: the lease, two looks, and the way to the
workers come to about 1.5 s, and two owners may die in a row. What is longer
keeps work of a dead worker waiting."""
RENEW_AFTER_LAPSE_S: Final = 4.0
"""How long an owner without a store goes on renewing what runs. A successor
waits this out for workers that it cannot reach."""
STORE_BATCH_DELAY_S: Final = 0.008
"""How long changes gather before they are stored; a transaction takes 4 ms."""
STORE_RETRY_INTERVAL_S: Final = 0.1
TASK_LOOP_INTERVAL_S: Final = 0.2
DIRECTORY_POLL_INTERVAL_S: Final = 0.5
"""How often the list of workers is read; leaving workers must get no work
after 2 s."""
DIRECTORY_FAST_POLL_INTERVAL_S: Final = 0.1
"""The same for 2.5 s after a takeover and an outage, in which entries come back: a
successor that knew 15 of 270 workers looked for the others half a second later."""
INBOX_POLL_INTERVAL_S: Final = 0.6
HEARTBEAT_INTERVAL_S: Final = 0.3
"""How often a host asks the owner for queue lengths, which may be 2 s old; a
host that is cut off notices by it, and sends its callers elsewhere."""
PEER_SILENT_S: Final = 8.0
"""A host that was not heard of for so long is not asked for permits. Longer
than the gap between two owners: one that takes over needs the others at once."""
DATA_CENTRE_SILENT_S: Final = 0.8
"""Two digests in a row are missing from every host of a data centre."""
RETENTION_MARGIN_S: Final = 30.0
MAX_DELETES_PER_BATCH: Final = 60
MAX_BATCH_BYTES: Final = 600_000
"""A transaction holds 1 MB, in which values stand a third longer (base64)."""
MAX_BATCH_TRANSFER_S: Final = 0.25
"""What a transaction may take on its way: it renews the ownership lease too."""


@attrs.frozen(kw_only=True)
class WorkerLeases:
    """How leases at workers are counted.

    Attributes:
        bounds: What workers promise.
        length_s: The length granted.
    """

    bounds: LeaseBounds
    length_s: float

    def successor_wait_s(self, inherited_s: float) -> float:
        """Return after how long an earlier owner's leases are over at the latest.

        Counted from the takeover, at a worker that cannot be reached.

        Args:
            inherited_s: For how long any earlier owner may still renew (see
                `OwnershipLease.inherited_s`).
        """
        longest = self.length_s / (1 - self.bounds.clock_error)
        return inherited_s + longest + self.bounds.stop_s


def worker_leases(bounds: LeaseBounds) -> WorkerLeases:
    """Return the leases for a platform's bounds."""
    return WorkerLeases(
        bounds=bounds, length_s=min(WORKER_LEASE_S, bounds.longest_lease_s)
    )


def batch_bytes(room: HostResources) -> int:
    """Return how many bytes of values one transaction of a host may hold."""
    return min(MAX_BATCH_BYTES, round(MAX_BATCH_TRANSFER_S * room.carries_bytes_s()))
