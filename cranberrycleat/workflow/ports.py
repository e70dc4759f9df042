"""The interfaces between this package and a platform, and their messages.

An adapter (`cranberrycleat.platform` is one) implements the protocols and turns
its platform's formats into these types. Everything here is in the product's own
terms; nothing here decides.
"""

import enum
from typing import Final, Protocol

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.table import Row, Table


@attrs.frozen(kw_only=True)
class PermitTiming:
    """How long the permit service of a queue takes.

    Attributes:
        decide_s: For each call, in seconds.
        each_s: And for each worker named in it.
        valid_s: How long a permit is valid after it was given.
    """

    decide_s: float
    each_s: float
    valid_s: float


@attrs.frozen(kw_only=True)
class Queue:
    """One queue of the configuration.

    Attributes:
        name: Its name.
        host: The host name that callers use.
        prefix: The path that it starts with, ending in a slash.
        pool: The service whose workers run its tasks.
        priority: 0 goes first.
        max_attempts: Failed attempts of a task before its job has failed.
        stretch: Its objective in multiples of the job's longest chain of work.
        objective_s: What is added to that, in seconds.
        permits: How placement permits are had; None where none are needed.
        public: Callers need no API key.
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
    """One workspace of the configuration: whose callers, keys and quota are its own.

    Attributes:
        name: Its name.
        key_digests: The digests of its API keys (see `access.key_digest`).
        weight: Its share where demand exceeds the room, and the jobs a second that it
            is owed; 0: not told.
        quota: What it may have running over all workers; 0: no limit.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    weight: float = 0.0
    quota: Amounts = NOTHING


@attrs.frozen(kw_only=True)
class PoolConfig:
    """One pool of workers: a service of the configuration.

    Attributes:
        name: Its name.
        standby: Its machines are off until they are moved elsewhere.
    """

    name: str
    standby: bool = False


@attrs.frozen(kw_only=True)
class ClusterConfig:
    """The configuration in force.

    Attributes:
        version: Grows with each change.
        queues: The queues.
        pools: The services.
        workspaces: The workspaces; None where there are none, and callers need no key.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[PoolConfig, ...]
    workspaces: tuple[Workspace, ...] | None = None


@attrs.frozen(kw_only=True)
class WorkerEntry:
    """One worker as it registered itself.

    Attributes:
        worker: Its identity; one that starts again may keep it.
        pool: The service it belongs to.
        address: IP and port.
        data_centre: Where it stands.
        leaving: It draws no more work and will stop.
        leaves_in_s: How long it stays at least, once it is leaving; None: not told.
        capacity: What it has.
        labels: Its kind and its rack.
        worker_time_ms: Its own clock when it wrote the entry.
        readable: Its newest row could be read. One that turned unreadable keeps
            what it said before, and draws nothing until it can be read again.
        born_ms: When this incarnation of it started, in milliseconds since 1970;
            0 where the platform does not tell.
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
        """The name of this life of the worker."""
        return f"{self.worker}@{self.born_ms}" if self.born_ms else self.worker

    def for_incarnation(self, born_ms: int) -> "WorkerEntry":
        """Return the entry of an incarnation that has not registered itself yet.

        It may be of another kind and size, and draws nothing until that is known.
        """
        return attrs.evolve(
            self, born_ms=born_ms, readable=False, leaving=False, leaves_in_s=None
        )

    @property
    def racks(self) -> tuple[str, ...]:
        """Its labels but the first, which is its kind."""
        return self.labels[1:]


def may_be_same_incarnation(born_ms: int, other_ms: int) -> bool:
    """Tell whether two starts of a worker may be the same; 0 is one not told."""
    return born_ms == other_ms or not born_ms or not other_ms


def identity_of(incarnation: str) -> str:
    """Return the identity of the worker that an incarnation is of."""
    return incarnation.partition("@")[0]


@attrs.frozen(kw_only=True)
class TableChange:
    """One changed row; `row` is None where it was deleted."""

    key: str
    row: Row | None


@attrs.frozen(kw_only=True)
class Feed:
    """Changes of one table in order, up to a version.

    Attributes:
        changes: The changes.
        version: The version that they lead to.
        size: Bytes that carried them, as far as the table tells.
        read_s: How long these took to arrive once they began to.
    """

    changes: tuple[TableChange, ...]
    version: int
    size: int = 0
    read_s: float = 0.0


class HistoryExpired(Exception):
    """The changes asked for are no longer kept; read the whole table."""


class FeedTooLarge(Exception):
    """The changes asked for take more bytes than were wanted; read the whole table."""


@attrs.frozen(kw_only=True)
class Snapshot:
    """All rows of one table from one point in time, and its version.

    Attributes:
        rows: The rows.
        version: The version to follow them from.
        size: Bytes that carried them, as far as the table tells.
        read_s: How long these took to arrive once they began to.
    """

    rows: tuple[Row, ...]
    version: int
    size: int = 0
    read_s: float = 0.0


class FeedTable(Table, Protocol):
    """A table that also tells what has changed."""

    async def snapshot(self, *, table: str) -> Snapshot:
        """Return a table's rows and the version to follow it from.

        Raises:
            TableUnavailable: The table gave no answer.
        """

    async def follow(
        self, *, table: str, after: int, wait_s: float, max_bytes: int | None = None
    ) -> Feed:
        """Return what changed after a version, or nothing after `wait_s`.

        Raises:
            HistoryGone: That version is too old.
            FeedTooLong: What changed takes more than `most_bytes`.
            TableUnavailable: The table gave no answer.
        """


@attrs.frozen(kw_only=True)
class StartOrder:
    """An order to start one attempt of one task.

    Attributes:
        task: The task's name.
        attempt: Grows with each start of the task.
        program: What to run.
        lease_end_ms: On the worker's clock: the order's bound, and the lease.
        fence: A worker that has seen a higher one refuses the order.
        saved: The progress to resume from; empty for none.
        permit: The placement permit; empty where none is needed.
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
    """A worker's verdict and its clock (None: not told)."""

    verdict: Verdict
    worker_time_ms: int | None = None


@attrs.frozen(kw_only=True)
class RunningTask:
    """What a worker says of an attempt that runs.

    Attributes:
        task: The task's name.
        attempt: The attempt.
        saved: Its newest saved progress.
        percent: The share at which it works; below 100 while it starts up or is
            throttled.
        reading: For a serving task its tail latency in milliseconds, for others
            the processors in use in thousandths; None: not told.
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
    """An attempt that ended; `number` counts the ends of one worker life."""

    number: int
    task: str
    attempt: int
    how: EndKind
    saved: str


@attrs.frozen(kw_only=True)
class SyncReply:
    """All that runs on a worker, and all ends that were not acknowledged.

    Attributes:
        worker_time_ms: The worker's clock.
        running: What runs.
        ended: What has ended, in the order of its numbers.
        born_ms: When the incarnation that answers started (see `WorkerEntry`).
    """

    worker_time_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    born_ms: int = 0


class WorkerUnreachable(Exception):
    """No whole answer came; the order may have been or may yet be carried out."""


class WorkerReplaced(Exception):
    """Another life of the worker answers at that address."""


class WorkerClient(Protocol):
    """Orders to workers."""

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Order a start, and wait so long for the answer.

        Raises:
            WorkerUnreachable: No whole answer came.
            WorkerReplaced: The life that the entry names is over.
        """

    async def stop(
        self, entry: WorkerEntry, task: str, attempt: int, fence: int
    ) -> OrderReply:
        """Order a stop; raises as `start`."""

    async def throttle(
        self, entry: WorkerEntry, task: str, attempt: int, percent: int, fence: int
    ) -> OrderReply:
        """Have a task work at a share of its speed; raises as `start`."""

    async def sync(
        self,
        entry: WorkerEntry,
        *,
        fence: int,
        ended_upto: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> SyncReply | OrderReply:
        """Renew the lease of all that runs there and return both lists.

        Another incarnation under the same identity may answer; the reply tells. Ends
        are acknowledged only over a connection on which the one that the entry names
        has answered, since the numbers of one say nothing to another.

        Raises:
            WorkerUnreachable: No whole answer came.
            WorkerReplaced: The life that the entry names is over.
        """

    async def release(self, entry: WorkerEntry) -> None:
        """Close what is kept open for an incarnation that is over."""


@attrs.frozen(kw_only=True)
class Permit:
    """A permit to start a step's tasks on one worker."""

    worker: str
    ticket: str


class PermitUnavailable(Exception):
    """The permit service gave no answer, or has too much to do."""


class PermitClient(Protocol):
    """The service that knows which workers may run a step."""

    async def ask(
        self, *, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> tuple[Permit, ...]:
        """Return permits for those of the workers that may run the step.

        Raises:
            PermitUnavailable: No answer came.
        """


@attrs.frozen(kw_only=True)
class LeaseBounds:
    """What the workers promise about leases.

    Attributes:
        longest_lease_s: The longest lease a worker grants.
        clock_error: The largest error of a worker's clock rate, as a share.
        stop_s: The longest time a stop takes.
    """

    longest_lease_s: float
    clock_error: float
    stop_s: float

    def max_run_on_s(self) -> float:
        """Return how long anything may run on after the last order that reached it."""
        return self.longest_lease_s / (1 - self.clock_error) + self.stop_s


@attrs.frozen(kw_only=True)
class HostResources:
    """What a host has for one process.

    Attributes:
        processors: In cores of the platform's usual speed.
        link_mbps: Its network link, in megabits a second.
    """

    processors: float
    link_mbps: float

    def carries_bytes_s(self) -> float:
        """Return how many bytes a second one transfer can count on.

        Half of the link: others use it too.
        """
        return self.link_mbps * 1e6 / 8 / 2


@attrs.frozen(kw_only=True)
class NodeSettings:
    """What a process is told about itself and its platform at start.

    Attributes:
        name: The host's name.
        data_centre: Where it stands.
        ip: The address that peers reach it at.
        peer_port: The port for calls between processes of the system.
        front: Where callers connect.
        ready: Where the balancer asks whether to send callers.
        store: The table's address.
        permits: The permit service's address; empty where there is none.
        machines: The address of the interface to machines; empty: none.
        bounds: What workers promise about leases.
        room: What the host has.
        spread_factor: How much longer tasks take away from their data.
        status_s: How long an ended job's state is kept.
        grace_s: How long a process has between SIGTERM and its end.
        config_bound_s: Within which time of its acknowledgement a configuration
            is in force everywhere.
        revoke_bound_s: Within which time a key that was taken away is good nowhere,
            on hosts that are cut off either; None: no such bound.
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
    config_bound_s: float = 3.0
    revoke_bound_s: float | None = None


MAX_WORKERS_PER_PERMIT_CALL: Final = 100
"""Workers that one call to the permit service may name."""
