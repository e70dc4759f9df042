"""Messages between the processes of the system, and with the platform and workers.

Every message is an attrs class that `codec` encodes as JSON. Times are in seconds, on
the clock named in the description of the field; resources are in units of `amounts`.
"""

import enum

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.jobs import JobSpec, PreemptionMode, Program
from cranberrycleat.table import Row


class HostState(enum.Enum):
    """The state of a host, as reported by the host or listed by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Outcome(enum.Enum):
    """The state of an attempt of a task, as reported by its worker."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    REFUSED = "refused"


class RenewScope(enum.Enum):
    """The running tasks of a worker whose leases an order renews."""

    ALL = "all"
    KEEP = "keep"
    NONE = "none"


# --- platform -------------------------------------------------------------


@attrs.frozen(kw_only=True)
class ReadRequest:
    """A request for rows of the table."""

    keys: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Rows:
    """Rows of the table."""

    rows: tuple[Row, ...]


@attrs.frozen(kw_only=True)
class HostEntry:
    """One entry of the platform's list of hosts, which may be out of date.

    Attributes:
        name: The name of the host.
        url: The URL of its agent.
        data_centre: The data centre it is in.
        rack: The rack it is in.
        labels: Its labels.
        capacity: The resources it has.
        state: Live or leaving.
    """

    name: str
    url: str
    data_centre: str
    rack: str
    labels: dict[str, str]
    capacity: Amounts
    state: HostState = HostState.LIVE


@attrs.frozen(kw_only=True)
class HostList:
    """The platform's list of hosts."""

    hosts: tuple[HostEntry, ...]


@attrs.frozen(kw_only=True)
class PlatformFaults:
    """Faults to inject in the platform stand-in (see `standins.table.TableFaults`)."""

    down: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0


# --- owner to worker --------------------------------------------------------


@attrs.frozen(kw_only=True)
class StartOrder:
    """An order to start an attempt of a task."""

    task: str
    attempt: int
    needs: Amounts
    keeps: bool
    program: Program


@attrs.frozen(kw_only=True)
class StopOrder:
    """An order to stop an attempt of a task, or to preempt it in another way."""

    task: str
    attempt: int
    how: PreemptionMode = PreemptionMode.STOP


@attrs.frozen(kw_only=True)
class AttemptRef:
    """A reference to an attempt of a task."""

    task: str
    attempt: int


@attrs.frozen(kw_only=True)
class SyncOrder:
    """An owner's combined orders to a worker, and a request for its state.

    Attributes:
        holder: The owner.
        epoch: The owner's epoch; the worker refuses one older than it has seen.
        incarnation: The worker incarnation that the order is for; empty in a first
            order, which only requests the state.
        not_after: The time on the worker's clock after which the order is void.
        lease_s: The length of the lease that renewed and started tasks get on receipt.
        scope: The running tasks whose leases are renewed.
        since: The latest revision of the worker's state known to the owner.
        starts: Attempts to start.
        stops: Attempts to stop.
        settled: Attempts whose final outcome the owner has stored.
    """

    holder: str
    epoch: int
    incarnation: str = ""
    not_after: float = 0.0
    lease_s: float = 0.0
    scope: RenewScope = RenewScope.NONE
    since: int = 0
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    settled: tuple[AttemptRef, ...] = ()


@attrs.frozen(kw_only=True)
class TaskReport:
    """A worker's report about an attempt.

    Attributes:
        task: The task.
        attempt: The attempt number.
        outcome: The state of the attempt.
        used: The resources it uses, as last measured.
        url: The URL at which it serves requests, for services.
        reason: Why it failed or was refused.
        run_s: How long it has run, in seconds.
        throttled: Whether it is limited to a part of its processors.
    """

    task: str
    attempt: int
    outcome: Outcome
    used: Amounts = NOTHING
    url: str = ""
    reason: str = ""
    run_s: float = 0.0
    throttled: bool = False


@attrs.frozen(kw_only=True)
class SyncReply:
    """A worker's reply to a `SyncOrder`.

    Attributes:
        incarnation: Changes each time the worker starts.
        clock: The time on the worker's clock when it replied.
        revision: Increases with every change of a task; the `since` of the next order.
        state: Live or leaving.
        tasks: The attempts that changed since the requested revision.
    """

    incarnation: str
    clock: float
    revision: int
    state: HostState
    tasks: tuple[TaskReport, ...]


# --- scheduler --------------------------------------------------------------


@attrs.frozen(kw_only=True)
class InboxEntry:
    """An accepted operator request that waits for the owner of the shard.

    Exactly one field besides `id` is set.

    Attributes:
        id: The ID of the request.
        submit: A part of a job to run.
        cancel: A job to cancel.
        label: A worker to relabel.
        declare_dead: A worker that the operator asserts is gone.
    """

    id: str
    submit: "JobPart | None" = None
    cancel: str | None = None
    label: "LabelChange | None" = None
    declare_dead: str | None = None


@attrs.frozen(kw_only=True)
class JobPart:
    """The tasks of a job that are assigned to one shard."""

    spec: JobSpec
    indices: tuple[int, ...]


@attrs.frozen(kw_only=True)
class LabelChange:
    """New labels for a worker; `None` removes one."""

    worker: str
    labels: dict[str, str | None]


@attrs.frozen(kw_only=True)
class NameRow:
    """The row that reserves the name of a job and lists its data centres."""

    submission: str
    data_centres: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Accepted:
    """The reply to an operator request that has been stored."""

    id: str
    data_centres: tuple[str, ...]


@attrs.frozen(kw_only=True)
class TaskStatus:
    """The status of one task of a job."""

    index: int
    state: str
    attempt: int
    worker: str


@attrs.frozen(kw_only=True)
class JobStatus:
    """The status of a job."""

    name: str
    kind: str
    cancelled: bool
    tasks: tuple[TaskStatus, ...]
    reasons: tuple[str, ...]


@attrs.frozen(kw_only=True)
class WorkerStatus:
    """The status of a worker, as known to the owner of its shard."""

    name: str
    data_centre: str
    rack: str
    labels: dict[str, str]
    state: str
    capacity: Amounts
    used: Amounts
    tasks: int


@attrs.frozen(kw_only=True)
class WorkerList:
    """The workers of one shard."""

    data_centre: str
    workers: tuple[WorkerStatus, ...]


# --- scheduler to gateway, gateway to gateway -------------------------------


@attrs.frozen(kw_only=True)
class Endpoint:
    """An endpoint of a service.

    Attributes:
        service: The name of the service.
        url: Its URL.
        data_centre: The data centre it is in.
        slots: The number of requests it handles concurrently.
        leaving: Whether it must get no new requests.
    """

    service: str
    url: str
    data_centre: str
    slots: int
    leaving: bool = False


@attrs.frozen(kw_only=True)
class EndpointSet:
    """The endpoints of a data centre, as known to its owner.

    Attributes:
        data_centre: The data centre.
        epoch: The epoch of the owner.
        revision: Increases with every change within an epoch.
        endpoints: The endpoints.
    """

    data_centre: str
    epoch: int
    revision: int
    endpoints: tuple[Endpoint, ...]


@attrs.frozen(kw_only=True)
class EndpointSetVersion:
    """The version of a data centre's endpoint set that a gateway has."""

    data_centre: str
    epoch: int
    revision: int


@attrs.frozen(kw_only=True)
class ConfigDocument:
    """One version of the configuration.

    Attributes:
        version: Increases by one with every accepted change.
        text: The document as JSON text.
        change: The ID of the change, which resolves the outcome after a lost reply.
    """

    version: int
    text: str
    change: str = ""


@attrs.frozen(kw_only=True)
class ConfigChange:
    """An operator's new configuration.

    Attributes:
        made_from: The version that it is based on.
        document: The complete new document, as JSON text.
    """

    made_from: int
    document: str


@attrs.frozen(kw_only=True)
class Digest:
    """The state that a process sends to its peers about once a second.

    Attributes:
        sender: The name of the sender.
        incarnation: Changes each time the sender starts.
        role: `gateway` or `scheduler`.
        data_centre: The data centre it is in.
        config_version: The highest configuration version it holds.
        leaving: URLs of endpoints that it knows to be leaving.
        draining: Whether the sender itself is shutting down.
        seen: The version it has of each data centre's endpoint set.
    """

    sender: str
    incarnation: str
    role: str
    data_centre: str
    config_version: int
    leaving: tuple[str, ...] = ()
    draining: bool = False
    seen: tuple[EndpointSetVersion, ...] = ()


@attrs.frozen(kw_only=True)
class Readiness:
    """Whether a process accepts new work, for the load balancer."""

    ready: bool
    reason: str = ""


@attrs.frozen(kw_only=True)
class SchedulerStatus:
    """A summary of the state of a scheduler."""

    name: str
    data_centre: str
    owner: bool
    epoch: int
    table_reachable: bool
    config_version: int
    workers: int
    pending: int
    placed: int


@attrs.frozen(kw_only=True)
class DigestReply:
    """The peer's own digest, with the newer state that the sender lacks."""

    digest: Digest
    sets: tuple[EndpointSet, ...] = ()
    config: ConfigDocument | None = None
