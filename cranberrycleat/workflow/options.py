"""Timing parameters and limits of the owner and the nodes."""

from typing import Final

import attrs

from cranberrycleat.workflow.ports import HostResources, LeaseBounds

OWNER_LEASE_S: Final = 0.9
"""Short urgent jobs have only 0.75 s of slack, so a dead owner must be replaced
quickly; an unnecessary takeover costs about 30 ms. The lease is long enough for two
writes to a table slowed down 60 times (0.25 s each)."""
LEASE_POLL_INTERVAL_S: Final = 0.25
"""How often a candidate polls the owner's row; each poll is a billed call."""
LEASE_RENEW_INTERVAL_S: Final = 0.25
"""Maximum time between two writes of an owner that has nothing to store."""
WORKER_LEASE_S: Final = 6.0
"""Must outlast an owner's death: the owner lease, two polls and reaching the workers
take about 1.5 s, and two owners may die in a row. A longer lease delays restarting
the tasks of a dead worker."""
RENEW_AFTER_LAPSE_S: Final = 4.0
"""How long an owner without table access keeps renewing the leases of running tasks.
A successor waits this long for workers that it cannot reach."""
STORE_BATCH_DELAY_S: Final = 0.008
"""How long changes are collected before they are stored; a transaction takes 4 ms."""
STORE_RETRY_INTERVAL_S: Final = 0.1
TASK_LOOP_INTERVAL_S: Final = 0.2
DIRECTORY_POLL_INTERVAL_S: Final = 0.5
"""How often the worker directory is read. It is relied on for `DRAIN_S`, less the time
limit of a start. That leaves time for a second read if the first gets no answer."""
DIRECTORY_RETRY_INTERVAL_S: Final = 0.1
"""The pause after the first of several reads in a row that got no answer."""
DIRECTORY_FAST_POLL_INTERVAL_S: Final = 0.1
"""As above, for 2.5 s after a takeover or an outage, while entries reappear: a
successor that knew 15 of 270 workers looked for the rest only half a second later."""
INBOX_POLL_INTERVAL_S: Final = 0.6
HEARTBEAT_INTERVAL_S: Final = 0.3
"""How often a host sends a heartbeat to the owner. The reply has the queue lengths,
which may be 2 s old. A missing reply also tells a host that it is isolated and must
send its callers to another host."""
PEER_SILENT_S: Final = 8.0
"""A host silent for this long is not asked for permits. It exceeds the gap between
two owners, since one that takes over needs the other hosts immediately."""
DATA_CENTRE_SILENT_S: Final = 0.8
"""Two consecutive heartbeats are missing from every host of a data centre."""
RETENTION_MARGIN_S: Final = 30.0
MAX_DELETES_PER_BATCH: Final = 60
MAX_BATCH_BYTES: Final = 600_000
"""A transaction holds 1 MB, and values grow by a third in it (base64)."""
LATE_ORDER_S: Final = 12.0
"""The platform's documentation gives no bound ("seconds later"); this is the longest
delay among the disturbances that its operators list."""
MAX_BATCH_TRANSFER_S: Final = 0.25
"""Maximum transfer time of a transaction, since it also renews the owner lease."""


@attrs.frozen(kw_only=True)
class WorkerLeases:
    """Parameters of the leases granted by workers.

    Attributes:
        bounds: The workers' guarantees about leases.
        length_s: The lease length requested by the owner.
        late_order_s: How long after it was sent an order without an answer may still be
            carried out.
    """

    bounds: LeaseBounds
    length_s: float
    late_order_s: float = LATE_ORDER_S

    def successor_wait_s(self, inherited_s: float) -> float:
        """Return how long after a takeover earlier owners' leases may still be valid.

        This applies to a worker that cannot be reached.

        Args:
            inherited_s: For how long any earlier owner may still renew (see
                `OwnershipLease.inherited_s`).
        """
        longest = self.length_s / (1 - self.bounds.clock_error)
        return inherited_s + longest + self.bounds.stop_s


def worker_leases(
    bounds: LeaseBounds, late_order_s: float = LATE_ORDER_S
) -> WorkerLeases:
    """Return the lease parameters for a platform's bounds."""
    return WorkerLeases(
        bounds=bounds,
        length_s=min(WORKER_LEASE_S, bounds.longest_lease_s),
        late_order_s=late_order_s,
    )


def batch_bytes(room: HostResources) -> int:
    """Return the maximum total size of values in one transaction of a host."""
    return min(MAX_BATCH_BYTES, round(MAX_BATCH_TRANSFER_S * room.carries_bytes_s()))
