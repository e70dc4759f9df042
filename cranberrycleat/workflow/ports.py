"""Interfaces between this package and a platform, with their message types.

An adapter such as `cranberrycleat.platform` implements the protocols and converts
its platform's formats to these types. This module is platform-neutral and contains
no scheduling decisions.
"""

import enum
from typing import Final, Protocol

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.connection_limits import DEFAULT_MAX_FDS, DEFAULT_MEMORY_MB
from cranberrycleat.table import Row, Table, TableLimits

DRAIN_S: Final = 2.0
"""How long after a worker's announcement that it leaves tasks may still begin there,
where the platform's settings do not tell."""


@attrs.frozen(kw_only=True)
class PermitTiming:
    """Timing of the permit service of a queue.

    Attributes:
        decide_s: Time per call, in seconds.
        each_s: Additional time per worker named in the call.
        valid_s: How long a permit is valid after it was issued.
    """

    decide_s: float
    each_s: float
    valid_s: float


@attrs.frozen(kw_only=True)
class Queue:
    """A job queue defined in the configuration.

    Attributes:
        name: The queue's name.
        host: The host name that callers use.
        prefix: The URL path prefix, ending in a slash.
        pool: The worker pool that runs its tasks.
        priority: The scheduling priority; 0 is the highest.
        max_attempts: Failed attempts of a task after which its job fails.
        stretch: Latency objective in multiples of the job's critical path.
        objective_s: Constant added to that objective, in seconds.
        permits: Timing of placement permits; None if none are needed.
        public: Whether callers need no API key.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_s: float = 0.0
    permits: PermitTiming | None = None
    public: bool = False


@attrs.frozen(kw_only=True)
class Workspace:
    """A workspace of the configuration: a tenant with its own callers, keys and quota.

    Attributes:
        name: The workspace's name.
        key_digests: The digests of its API keys (see `access.key_digest`).
        weight: Its share when demand exceeds capacity, and the jobs per second that
            it is entitled to; 0 if not configured.
        quota: Limit on its running tasks' resources over all workers; 0 for no limit.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    weight: float = 0.0
    quota: Amounts = NOTHING


@attrs.frozen(kw_only=True)
class PoolConfig:
    """A worker pool, called a service in the platform's configuration.

    Attributes:
        name: The pool's name.
        standby: Whether its machines are off until they are moved to another pool.
    """

    name: str
    standby: bool = False


@attrs.frozen(kw_only=True)
class ClusterConfig:
    """One version of the cluster configuration.

    Attributes:
        version: The version number, which increases with each change.
        queues: The queues.
        pools: The worker pools.
        workspaces: The workspaces; None if there are none, so that callers need no key.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[PoolConfig, ...]
    workspaces: tuple[Workspace, ...] | None = None


@attrs.frozen(kw_only=True)
class WorkerEntry:
    """A worker as it registered itself.

    Attributes:
        worker: The worker's identity, which may be kept across restarts.
        pool: The pool it belongs to.
        address: IP and port.
        data_centre: Its data centre.
        leaving: Whether it is draining: it gets no more work and will stop.
        leaves_in_s: Minimum time until a leaving worker stops; None if not reported.
        capacity: Its resources.
        labels: Its kind, followed by its racks.
        worker_time_ms: Its own clock when it wrote the entry.
        readable: Whether its newest row could be decoded. A worker whose row became
            unreadable keeps its previous entry and gets no work until the row is
            readable again.
        born_ms: Start time of this incarnation, in milliseconds since 1970; 0 if the
            platform does not report it.
    """

    worker: str
    pool: str
    address: str
    data_centre: str
    leaving: bool
    capacity: Amounts
    labels: tuple[str, ...]
    worker_time_ms: int = 0
    leaves_in_s: float | None = None
    readable: bool = True
    born_ms: int = 0

    @property
    def incarnation(self) -> str:
        """The identifier of this incarnation of the worker."""
        return f"{self.worker}@{self.born_ms}" if self.born_ms else self.worker

    def for_incarnation(self, born_ms: int) -> "WorkerEntry":
        """Return an entry for an incarnation that has not registered itself yet.

        Its kind and size may differ, so it gets no work until they are known.
        """
        return attrs.evolve(
            self, born_ms=born_ms, readable=False, leaving=False, leaves_in_s=None
        )

    @property
    def racks(self) -> tuple[str, ...]:
        """All labels except the first, which is the worker's kind."""
        return self.labels[1:]


def may_be_same_incarnation(born_ms: int, other_ms: int) -> bool:
    """Return whether two start times may be of one incarnation; 0 means unknown."""
    return born_ms == other_ms or not born_ms or not other_ms


def identity_of(incarnation: str) -> str:
    """Return the worker identity of an incarnation."""
    return incarnation.partition("@")[0]


@attrs.frozen(kw_only=True)
class TableChange:
    """A changed row; `row` is None if it was deleted."""

    key: str
    row: Row | None


@attrs.frozen(kw_only=True)
class Feed:
    """Changes of one table in order, up to a version.

    Attributes:
        changes: The changes.
        version: The version after the last change.
        size: Size of the answer in bytes, if the table reports it.
        read_s: Time from the first to the last byte of the answer.
    """

    changes: tuple[TableChange, ...]
    version: int
    size: int = 0
    read_s: float = 0.0


class HistoryExpired(Exception):
    """The requested changes are no longer kept; the whole table must be read."""


class FeedTooLarge(Exception):
    """The requested changes exceed the size limit; the whole table must be read."""


@attrs.frozen(kw_only=True)
class Snapshot:
    """A consistent snapshot of one table, with its version.

    Attributes:
        rows: The rows.
        version: The version from which to follow changes.
        size: Size of the answer in bytes, if the table reports it.
        read_s: Time from the first to the last byte of the answer.
    """

    rows: tuple[Row, ...]
    version: int
    size: int = 0
    read_s: float = 0.0


class FeedTable(Table, Protocol):
    """A table with a change feed."""

    async def snapshot(self, *, table: str) -> Snapshot:
        """Return a table's rows and the version from which to follow changes.

        Raises:
            TableUnavailable: The table gave no answer.
        """

    async def follow(
        self, *, table: str, after: int, wait_s: float, max_bytes: int | None = None
    ) -> Feed:
        """Return the changes after a version, or an empty feed after `wait_s`.

        Raises:
            HistoryExpired: That version is too old.
            FeedTooLarge: The changes take more than `max_bytes`.
            TableUnavailable: The table gave no answer.
        """


@attrs.frozen(kw_only=True)
class StartOrder:
    """An order to start one attempt of a task.

    Attributes:
        task: The task's name.
        attempt: The attempt number, which increases with each start of the task.
        program: The program to run.
        lease_end_ms: On the worker's clock, both the order's deadline and the end of
            the task's lease.
        fence: Fencing token; a worker that has seen a higher one rejects the order.
        saved: The checkpoint to resume from; empty for none.
        permit: The placement permit; empty if none is needed.
    """

    task: str
    attempt: int
    program: str
    lease_end_ms: int
    fence: int
    saved: str = ""
    permit: str = ""


class Verdict(enum.Enum):
    """A worker's answer to an order."""

    ACCEPTED = "accepted"
    STALE_EPOCH = "stale-epoch"
    STALE_ATTEMPT = "stale-attempt"
    TOO_LATE = "too-late"
    NO_ROOM = "no-room"
    NO_PERMIT = "no-permit"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@attrs.frozen(kw_only=True)
class OrderReply:
    """A worker's verdict and its clock (None if not reported)."""

    verdict: Verdict
    worker_time_ms: int | None = None


@attrs.frozen(kw_only=True)
class RunningTask:
    """A worker's report on a running attempt.

    Attributes:
        task: The task's name.
        attempt: The attempt number.
        saved: Its latest checkpoint.
        percent: The speed at which it runs; below 100 while it starts up or is
            throttled.
        reading: For a serving task its tail latency in milliseconds, for others the
            processors in use in thousandths; None if not reported.
    """

    task: str
    attempt: int
    saved: str
    percent: float
    reading: float | None = None


class EndKind(enum.Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    MEMBER_ENDED = "member-ended"
    MEMBER_MISSING = "member-missing"


@attrs.frozen(kw_only=True)
class EndedTask:
    """An ended attempt; `number` counts the ends within one worker incarnation."""

    number: int
    task: str
    attempt: int
    how: EndKind
    saved: str


@attrs.frozen(kw_only=True)
class SyncReply:
    """All running attempts on a worker, and all ends not yet acknowledged.

    Attributes:
        worker_time_ms: The worker's clock.
        running: The running attempts.
        ended: The ended attempts, ordered by number.
        born_ms: Start time of the incarnation that answered (see `WorkerEntry`).
    """

    worker_time_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    born_ms: int = 0


class WorkerUnreachable(Exception):
    """No complete answer arrived; the order may have been or may yet be executed.

    Attributes:
        sent: False if it is certain that no byte of the order was sent.
    """

    def __init__(self, reason: str, *, sent: bool = True) -> None:
        super().__init__(reason)
        self.sent = sent


@attrs.frozen(kw_only=True)
class ConnectionUse:
    """The connections for orders to one worker.

    Attributes:
        opened: Number of connections opened so far.
        broken: Number of those that ended without an answer to an order.
    """

    opened: int = 0
    broken: int = 0


class WorkerReplaced(Exception):
    """A different incarnation of the worker answers at that address."""


class WorkerClient(Protocol):
    """Client for sending orders to workers."""

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Order a start, and wait up to `limit_s` for the answer.

        Raises:
            WorkerUnreachable: No complete answer arrived.
            WorkerReplaced: The incarnation named by the entry no longer runs.
        """

    async def stop(
        self, entry: WorkerEntry, task: str, attempt: int, fence: int
    ) -> OrderReply:
        """Order a stop; raises as `start`."""

    async def throttle(
        self, entry: WorkerEntry, task: str, attempt: int, percent: int, fence: int
    ) -> OrderReply:
        """Throttle a task to a percentage of its speed; raises as `start`."""

    async def sync(
        self,
        entry: WorkerEntry,
        *,
        fence: int,
        ended_upto: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> SyncReply | OrderReply:
        """Renew the leases of all running attempts; return these and the ended ones.

        A different incarnation with the same identity may answer, as the reply shows.
        Ends are acknowledged only over a connection on which the incarnation named by
        the entry has answered, since the numbers of one incarnation mean nothing to
        another.

        Raises:
            WorkerUnreachable: No complete answer arrived.
            WorkerReplaced: The incarnation named by the entry no longer runs.
        """

    def connections(self, entry: WorkerEntry) -> ConnectionUse:
        """Return how many connections orders to a worker have needed."""

    async def release_orders(self, entry: WorkerEntry) -> None:
        """Close the connections for orders to a worker; later orders open new ones."""

    async def release(self, entry: WorkerEntry) -> None:
        """Close the connections kept open for an incarnation that has ended."""

    async def close(self) -> None:
        """Close every connection."""


@attrs.frozen(kw_only=True)
class Permit:
    """A permit to start a step's tasks on one worker."""

    worker: str
    ticket: str


class PermitUnavailable(Exception):
    """The permit service gave no answer, or is overloaded."""


class PermitClient(Protocol):
    """Client for the service that decides which workers may run a step."""

    async def ask(
        self, *, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> tuple[Permit, ...]:
        """Return permits for those of the given workers that may run the step.

        Raises:
            PermitUnavailable: No answer arrived.
        """


@attrs.frozen(kw_only=True)
class LeaseBounds:
    """The workers' guarantees about leases.

    Attributes:
        longest_lease_s: The longest lease a worker grants.
        clock_error: The largest error of a worker's clock rate, as a fraction.
        stop_s: The longest time a stop takes.
    """

    longest_lease_s: float
    clock_error: float
    stop_s: float

    def max_run_on_s(self) -> float:
        """Return how long a task may run on after the last order received by it."""
        return self.longest_lease_s / (1 - self.clock_error) + self.stop_s


@attrs.frozen(kw_only=True)
class CheckpointTiming:
    """How workers take checkpoints and resume from them.

    Attributes:
        interval_s: The work between two checkpoints, in seconds.
        restore_s: How long a start that resumes from one first needs, in seconds.
    """

    interval_s: float = 1.0
    restore_s: float = 0.25


@attrs.frozen(kw_only=True)
class HostResources:
    """Resources that a host provides for the node process.

    Attributes:
        processors: Processor capacity, in cores of the platform's standard speed.
        link_mbps: Bandwidth of its network link, in megabits per second.
        memory_mb: Memory of the process, in megabytes.
        max_fds: Maximum number of descriptors of the process.
    """

    processors: float
    link_mbps: float
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS

    def carries_bytes_s(self) -> float:
        """Return the bandwidth in bytes per second that one transfer can rely on.

        It is half of the link's, since other transfers use the link too.
        """
        return self.link_mbps * 1e6 / 8 / 2


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings of a node and its platform.

    Attributes:
        name: The host's name.
        data_centre: The host's data centre.
        ip: The IP address for peers.
        peer_port: The port for calls between nodes.
        front: The listen address for callers.
        ready: The listen address for the load balancer's readiness checks.
        store: The table's address.
        permits: The permit service's address; empty if there is none.
        machines: The address of the machine API; empty if there is none.
        bounds: The workers' guarantees about leases.
        room: The host's resources.
        checkpoints: How workers take checkpoints.
        spread_factor: Factor by which tasks take longer away from their data.
        status_s: How long an ended job's state is kept.
        grace_s: Time between SIGTERM and the forced end of the process.
        drain_s: How long after a worker's announcement that it leaves tasks may still
            begin there.
        config_bound_s: Time after its acknowledgement within which a configuration
            must be active on every host.
        revoke_bound_s: Time within which a revoked key must be rejected by every
            host, including isolated ones; None for no such bound.
        table_limits: What the table takes at most.
    """

    name: str
    data_centre: str
    ip: str
    peer_port: int
    front: str
    ready: str
    store: str
    permits: str
    machines: str
    bounds: LeaseBounds
    room: HostResources
    spread_factor: float
    status_s: float
    grace_s: float
    checkpoints: CheckpointTiming = CheckpointTiming()
    config_bound_s: float = 3.0
    revoke_bound_s: float | None = None
    drain_s: float = DRAIN_S
    table_limits: TableLimits = TableLimits()


MAX_WORKERS_PER_PERMIT_CALL: Final = 100
"""Maximum number of workers that one call to the permit service may name."""
