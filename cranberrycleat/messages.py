"""Messages between the system's processes, and to the platform and workers.

Every message is an attrs class that `codec` turns into JSON. Times are in
seconds, on the clock that the field's text names; amounts as in `amounts`.
"""

import enum

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.jobs import JobSpec, PreemptionMode, Program
from cranberrycleat.table import Row


class HostState(enum.Enum):
    """What a host says, or the platform's list says, about a host."""

    LIVE = "live"
    LEAVING = "leaving"


class Outcome(enum.Enum):
    """What a worker says about one attempt of a task."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    REFUSED = "refused"


class RenewScope(enum.Enum):
    """Which of a worker's tasks an order renews the lease of."""

    ALL = "all"
    KEEP = "keep"
    NONE = "none"


# --- platform -------------------------------------------------------------


@attrs.frozen(kw_only=True)
class ReadRequest:
    """Asks the table for rows."""

    keys: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Rows:
    """Rows of the table."""

    rows: tuple[Row, ...]


@attrs.frozen(kw_only=True)
class HostEntry:
    """One line of the platform's list of hosts, which lags.

    Attributes:
        name: The host's name.
        url: Where its agent answers.
        data_centre: Where it stands.
        rack: The rack it stands in.
        labels: Its labels.
        capacity: What it has.
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
    """Sets the platform stand-in's faults (see `standins.table.TableFaults`)."""

    down: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0


# --- owner to worker --------------------------------------------------------


@attrs.frozen(kw_only=True)
class StartOrder:
    """Start one attempt of a task."""

    task: str
    attempt: int
    needs: Amounts
    keeps: bool
    program: Program


@attrs.frozen(kw_only=True)
class StopOrder:
    """Stop one attempt of a task, or make it give way otherwise."""

    task: str
    attempt: int
    how: PreemptionMode = PreemptionMode.STOP


@attrs.frozen(kw_only=True)
class AttemptRef:
    """Names one attempt of a task."""

    task: str
    attempt: int


@attrs.frozen(kw_only=True)
class SyncOrder:
    """Everything an owner has to say to one worker at one moment.

    Attributes:
        holder: The owner.
        epoch: Its epoch; the worker refuses one older than it has seen.
        incarnation: The worker's incarnation that the order is for; empty in a
            first order, which only asks.
        not_after: The worker's clock time after which the order is void.
        lease_s: The lease that renewed and started tasks get, from receipt.
        scope: Which running tasks are renewed.
        since: The worker's revision that the owner knows.
        starts: Attempts to start.
        stops: Attempts to stop.
        settled: Final outcomes the owner has made durable.
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
    """What a worker says about one attempt.

    Attributes:
        task: The task.
        attempt: The attempt.
        outcome: Where it stands.
        used: What it uses, as last measured.
        url: Where it answers requests, for services.
        reason: Why it failed or was refused.
        run_s: How long it has run, in seconds.
        throttled: Whether it runs with a part of its processors only.
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
    """A worker's answer.

    Attributes:
        incarnation: Changes each time the worker starts.
        clock: The worker's clock when it answered.
        revision: Grows with each change of a task; ask from here next time.
        state: Live or leaving.
        tasks: The attempts that changed since the revision asked from.
    """

    incarnation: str
    clock: float
    revision: int
    state: HostState
    tasks: tuple[TaskReport, ...]


# --- scheduler --------------------------------------------------------------


@attrs.frozen(kw_only=True)
class InboxEntry:
    """An accepted operator's change, waiting for the shard's owner.

    Exactly one of the fields but `id` is set.

    Attributes:
        id: Names the change.
        submit: A job part to take on.
        cancel: A job to cancel.
        label: A worker to relabel.
        declare_dead: A worker that an operator vouches is gone.
    """

    id: str
    submit: "JobPart | None" = None
    cancel: str | None = None
    label: "LabelChange | None" = None
    declare_dead: str | None = None


@attrs.frozen(kw_only=True)
class JobPart:
    """The tasks of a job that one shard is to be home to."""

    spec: JobSpec
    indices: tuple[int, ...]


@attrs.frozen(kw_only=True)
class LabelChange:
    """New labels for a worker; `None` removes one."""

    worker: str
    labels: dict[str, str | None]


@attrs.frozen(kw_only=True)
class NameRow:
    """The row that makes a job's name unique and lists its homes."""

    submission: str
    data_centres: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Accepted:
    """The answer to an operator's change that the table has."""

    id: str
    data_centres: tuple[str, ...]


@attrs.frozen(kw_only=True)
class TaskStatus:
    """One task in a job's status."""

    index: int
    state: str
    attempt: int
    worker: str


@attrs.frozen(kw_only=True)
class JobStatus:
    """What became of a job."""

    name: str
    kind: str
    cancelled: bool
    tasks: tuple[TaskStatus, ...]
    reasons: tuple[str, ...]


@attrs.frozen(kw_only=True)
class WorkerStatus:
    """One worker as its shard's owner knows it."""

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
    """One place that answers requests of a service.

    Attributes:
        service: The service's name.
        url: Where it answers.
        data_centre: Where it stands.
        slots: Requests it answers at once.
        leaving: Whether it is to get no new work.
    """

    service: str
    url: str
    data_centre: str
    slots: int
    leaving: bool = False


@attrs.frozen(kw_only=True)
class EndpointSet:
    """The endpoints of one data centre, as its owner knows them.

    Attributes:
        data_centre: The data centre.
        epoch: The owner's epoch.
        revision: Grows with each change within the epoch.
        endpoints: The endpoints.
    """

    data_centre: str
    epoch: int
    revision: int
    endpoints: tuple[Endpoint, ...]


@attrs.frozen(kw_only=True)
class EndpointSetVersion:
    """What a gateway knows already of one data centre's endpoints."""

    data_centre: str
    epoch: int
    revision: int


@attrs.frozen(kw_only=True)
class ConfigDocument:
    """One version of the configuration.

    Attributes:
        version: Grows by one with each accepted change.
        text: The document as JSON text.
        change: Names the change, to settle a lost reply by.
    """

    version: int
    text: str
    change: str = ""


@attrs.frozen(kw_only=True)
class ConfigChange:
    """An operator's new configuration.

    Attributes:
        made_from: The version that it was made from.
        document: The whole new document, as JSON text.
    """

    made_from: int
    document: str


@attrs.frozen(kw_only=True)
class Digest:
    """What one process tells a peer about every second.

    Attributes:
        sender: The sender's name.
        incarnation: Changes each time the sender starts.
        role: `gateway` or `scheduler`.
        data_centre: Where it stands.
        config_version: The highest configuration version it holds.
        leaving: URLs of endpoints that it knows to be leaving.
        draining: Whether the sender itself is shutting down.
        seen: What it knows of each data centre's endpoints.
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
    """Whether a process takes new work, for the balancer."""

    ready: bool
    reason: str = ""


@attrs.frozen(kw_only=True)
class SchedulerStatus:
    """A scheduler in a few numbers."""

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
    """The peer's own digest, and what the asker lacks."""

    digest: Digest
    sets: tuple[EndpointSet, ...] = ()
    config: ConfigDocument | None = None
