"""The events that a node logs: typed messages with stable names.

An event records a decision that affects a request or changes the state of a process,
with its inputs and its outcome. docs/OPERATIONS.md lists all events; a test compares
that table with the first lines of the doc comments here. Times are in seconds; `job` is
the ID that the caller chose, `task` is JOB.OCCURRENCE.STEP.INDEX.
"""

from collections.abc import Callable
from typing import Any, Final, TypeVar, dataclass_transform

import attrs

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class EventKind:
    """The properties of an event class.

    Attributes:
        name: The stable name.
        doc: A one-line description.
        essential: Whether it is dropped last when the log queue is full.
    """

    name: str
    doc: str
    essential: bool


KINDS: Final[dict[type[Any], EventKind]] = {}


@dataclass_transform(kw_only_default=True, frozen_default=True)
def event(name: str, *, essential: bool = False) -> Callable[[type[T]], type[T]]:
    """Return a decorator that registers a class as an event with a name."""

    def register(cls: type[T]) -> type[T]:
        event_class = attrs.frozen(kw_only=True)(cls)
        doc = (cls.__doc__ or "").strip().splitlines()[0]
        KINDS[event_class] = EventKind(name=name, doc=doc, essential=essential)
        return event_class

    return register


# --- the life cycle of a job -----------------------------------------------------


@event("job.accepted")
class JobAccepted:
    """The owner accepted a job in memory; it is not stored yet.

    `tier` is `due` or `surplus`; empty without fair share or a weight.
    """

    job: str
    queue: str
    steps: int
    tasks: int
    runs: int
    due_in_s: float
    labels: tuple[str, ...]
    objective_s: float
    stretch: float = 0.0
    slack_s: float = 0.0
    workspace: str = ""
    tier: str = ""


@event("job.forecast")
class JobForecast:
    """When an accepted job was forecast to begin and to end, from its acceptance.

    Attributes:
        start_s: The optimistic, the expected and the pessimistic start.
        end_s: The same for its end.
        age_s: The age of the data on which the forecast is based.
    """

    job: str
    queue: str
    start_s: tuple[float, float, float]
    end_s: tuple[float, float, float]
    age_s: float


@event("job.forecast_outcome")
class JobForecastOutcome:
    """A job began or was completed; `forecast_s` is what was forecast for that.

    Attributes:
        what: "start" or "end".
        forecast_s: The optimistic, the expected and the pessimistic value.
        after_s: The outcome.
        age_s: The age of the data on which the forecast was based.
    """

    job: str
    queue: str
    what: str
    forecast_s: tuple[float, float, float]
    after_s: float
    age_s: float


@event("job.stored")
class JobStored:
    """A new job was stored: the caller may now be told that it is accepted."""

    job: str
    after_s: float


@event("job.refused", essential=True)
class JobRefused:
    """A front end refused a job; nothing of it was forwarded or stored."""

    job: str
    queue: str
    reason: str
    retry_after_s: float
    workspace: str = ""


@event("job.rejected", essential=True)
class JobRejected:
    """The owner rejected a job because of the load; it never runs.

    `start_s`, `end_s` (its optimistic bound) and `bound_s` (the latest end at which the
    job would have been accepted) are from now; `age_s` is the age of the forecast. They
    may be empty if a rejection is repeated.
    """

    job: str
    queue: str
    tier: str
    reason: str
    start_s: float | None
    end_s: float | None
    bound_s: float
    age_s: float | None
    sent_ago_s: float
    retry_after_s: float
    workspace: str = ""


@event("job.admitted_for_size")
class JobAdmittedForSize:
    """The owner accepted a late job because too many of its size were rejected."""

    job: str
    queue: str
    end_s: float
    age_s: float
    workspace: str = ""


@event("caller.rejected", essential=True)
class CallerRejected:
    """A request was rejected because it had no valid key.

    `key` is a prefix of the key's digest; `job` is empty for a query of a queue.
    """

    job: str
    queue: str
    key: str
    denied: bool
    reason: str


@event("connections.closed", essential=True)
class ConnectionsClosed:
    """Client connections were closed because they exceeded a limit.

    `reason` is one of `connection_budget.CloseReason`; `connections` counts those
    closed for it on one address since the last line.
    """

    address: str
    reason: str
    connections: int
    open_connections: int
    held_bytes: int


@event("job.malformed", essential=True)
class JobMalformed:
    """A job cannot be decoded, or its request can never be satisfied."""

    job: str
    queue: str
    reason: str


@event("job.unknown", essential=True)
class JobUnknown:
    """A front end could not determine in time whether a job was stored."""

    job: str
    queue: str
    reason: str
    after_s: float


@event("job.unsettled")
class JobUnsettled:
    """The owner did not say whether it stored a job; the front end goes on."""

    job: str
    owner: str
    reason: str


@event("job.inbox")
class JobInInbox:
    """A front end wrote a job to the inbox, in addition to or instead of the owner."""

    job: str
    outcome: str


@event("job.found")
class JobFound:
    """The owner found a job in the inbox."""

    job: str


@event("job.withdrawn", essential=True)
class JobWithdrawn:
    """The owner dropped a job that it had never sent to the table."""

    job: str
    after_s: float


@event("job.cancelled")
class JobCancelled:
    """A caller cancelled a job; `state` is its resulting state."""

    job: str
    state: str


ATTEMPTS_USED: Final = "attempts used"
WORKERS_CRASHED: Final = "workers crashed"


@attrs.frozen(kw_only=True)
class CountedEnd:
    """An end of an attempt that was counted as failed.

    Attributes:
        index: The index of the task in its step.
        attempt: The attempt number.
        worker: The worker that reported it.
    """

    index: int
    attempt: int
    worker: str


@attrs.frozen(kw_only=True)
class CountedLoss:
    """A worker lost under a task.

    Attributes:
        attempt: The attempt that it ran.
        worker: Its incarnation name.
        address: Its address.
        kind: What is known of the attempt (see `crash_attribution.LossKind`).
        proof: How it was proved that the attempt is over.
        epoch: The epoch of the owner that recorded the loss.
        age_s: How long before the end of the job it was recorded.
    """

    attempt: int
    worker: str
    address: str
    kind: str
    proof: str
    epoch: int
    age_s: float


@attrs.frozen(kw_only=True)
class FailureReport:
    """Why a job was failed.

    Attributes:
        cause: `ATTEMPTS_USED` or `WORKERS_CRASHED`.
        task: The task that decided it.
        max_attempts: The limit that was in force for the job; 0 for other causes.
        ends: The ends that were counted, of earlier owners as well.
        losses: The workers lost under the task, of earlier owners as well.
    """

    cause: str
    task: str
    max_attempts: int = 0
    ends: tuple[CountedEnd, ...] = ()
    losses: tuple[CountedLoss, ...] = ()


@event("job.ended", essential=True)
class JobEnded:
    """A job reached a final state; `failure` tells why it is `failed`.

    Attributes:
        late: Whether it missed its objective.
        attempts: The number of attempts of its tasks, by all owners.
    """

    job: str
    queue: str
    state: str
    after_s: float
    objective_s: float
    late: bool
    attempts: int
    failure: FailureReport | None = None


@event("job.failure_told")
class JobFailureTold:
    """A host told a caller that a job is `failed`; `source` is where it read that.

    Attributes:
        owner: The address of the owner that it asked; empty for the table.
    """

    job: str
    source: str
    owner: str = ""


@event("job.shown")
class JobShown:
    """The final state of a job was stored; it is now reported to callers."""

    job: str
    state: str
    after_end_s: float


# --- permits and placement -------------------------------------------------------


@event("permits.had")
class PermitsHad:
    """The permit service answered a request for a step."""

    step: str
    asked: int
    allowed: int
    via: str
    waited_s: float
    took_s: float


@event("permits.failed")
class PermitsFailed:
    """A call to the permit service was not answered."""

    step: str
    via: str
    reason: str


@event("workers.drawing")
class WorkersDrawing:
    """How many workers may receive work, and why the others may not."""

    drawing: int
    obstacles: dict[str, int]
    steps_waiting: int


@event("workers.connections")
class WorkersConnections:
    """How many connections orders have needed since the last such line, by worker.

    Attributes:
        opened: Number of connections opened, to all workers.
        broken: Number of those that ended without an answer.
        most_opened: The workers with the most open connections, and their numbers.
        most_broken: The same for broken connections.
    """

    opened: int
    broken: int
    most_opened: dict[str, int]
    most_broken: dict[str, int]


@event("step.waiting")
class StepWaiting:
    """A step keeps waiting; logged once for each reason, and again while it lasts.

    Attributes:
        step: The step.
        reason: Why it waits, in human-readable form.
        pending: The number of its tasks that wait.
        candidates: The number of workers that it may use at present.
        waited_s: How long ago it became ready.
        slack_s: The time left until it must start to meet its objective.
        obstacles: The number of workers that take none of its tasks, by reason; empty
            if it has just become ready, or if many steps are logged at a time.
        held_back: The number of its tasks that may not be placed yet, by reason.
    """

    step: str
    reason: str
    pending: int
    candidates: int
    waited_s: float
    slack_s: float
    obstacles: dict[str, int]
    held_back: dict[str, int]


@event("step.hopeless", essential=True)
class StepHopeless:
    """No known worker can run a step at present; it waits for others."""

    step: str
    reason: str
    pending: int
    obstacles: dict[str, int]


@event("step.stalled", essential=True)
class StepStalled:
    """Nothing of a step has run for 3 s although workers that it may use have room.

    Attributes:
        step: The step.
        for_s: For how long nothing of it has run.
        room: How many of its tasks would fit on these workers.
        pending: The number of its tasks that wait.
        held_back: How many of them may not be placed yet, by reason.
        unbegun: The number of its placed tasks that have not begun, by what their
            starts wait for.
        obstacles: The number of workers that take none of its tasks, by reason.
    """

    step: str
    for_s: float
    room: int
    pending: int
    held_back: dict[str, int]
    unbegun: dict[str, int]
    obstacles: dict[str, int]


@event("task.placed")
class TaskPlaced:
    """A task was placed on a worker; its start is sent once that is stored."""

    task: str
    attempt: int
    worker: str
    waited_s: float
    saved: bool


@event("task.started")
class TaskStarted:
    """A worker accepted a start.

    Attributes:
        task: The task.
        attempt: The attempt.
        worker: The worker.
        after_s: How long after it was planned.
        sent: How many copies were sent.
        entry_version: The version of the worker's entry in the platform's list that
            the last copy relied on; 0 if unknown.
        entry_age_s: How long before that copy the read was begun that showed the
            entry; -1 if it was not read by this owner.
    """

    task: str
    attempt: int
    worker: str
    after_s: float
    sent: int
    entry_version: int = 0
    entry_age_s: float = -1.0


@event("task.unanswered")
class TaskUnanswered:
    """A start was not answered; it is sent again, without a further line."""

    task: str
    attempt: int
    worker: str
    reason: str


@event("task.start_fenced")
class TaskStartFenced:
    """No copy of a start was answered; a higher fence makes it void.

    Attributes:
        sent: How often it was sent.
        after_s: How long after it was sent first.
    """

    task: str
    attempt: int
    worker: str
    sent: int
    after_s: float


@event("task.refused")
class TaskRefused:
    """A worker refused a start."""

    task: str
    attempt: int
    worker: str
    verdict: str


@event("task.ended")
class TaskEnded:
    """A worker reported the end of an attempt."""

    task: str
    attempt: int
    worker: str
    how: str
    ran_s: float
    current: bool


@event("task.stopping")
class TaskStopping:
    """An attempt is being stopped."""

    task: str
    attempt: int
    worker: str
    reason: str


@event("task.preempted")
class TaskPreempted:
    """An attempt is stopped to make room for a service or for an urgent step.

    Attributes:
        beneficiary: The step that gets the resources.
        service: Whether that step is a service.
        cost_core_s: The processor time lost at most, in core-seconds.
        slack_s: The time left until the beneficiary must start to meet its objective.
        victim_slack_s: For urgent work, how long the attempt may wait to be resumed and
            still meet its objective; for a service, until when it had to start.
        report_age_s: The age of what its worker last reported.
    """

    task: str
    attempt: int
    worker: str
    beneficiary: str
    service: bool
    cost_core_s: float
    slack_s: float
    victim_slack_s: float
    report_age_s: float


@event("task.may_start_late")
class StartMayBeLate:
    """An attempt is over, but an order to start it may still be carried out.

    Attributes:
        for_s: For how long its resources stay reserved, its task is not placed and ends
            of its task are not acknowledged.
    """

    task: str
    attempt: int
    worker: str
    for_s: float


@event("task.given_up")
class TaskGivenUp:
    """An attempt is proved not to run; its task waits again.

    Attributes:
        reason: Why it was given up; for a lost worker also how it was lost.
        began: Whether the worker had reported its start.
        survived_s: How long after that start the worker was last heard from.
    """

    task: str
    attempt: int
    worker: str
    reason: str
    began: bool = False
    survived_s: float = 0.0


@event("task.lost_worker")
class TaskLostWorker:
    """A worker was lost under an attempt; `kind` tells what that says of the task.

    Logged again if the loss is judged again with another result.

    Attributes:
        proof: How it was proved that the attempt is over.
        recorded: The number of losses on record.
    """

    task: str
    attempt: int
    worker: str
    address: str
    kind: str
    proof: str
    recorded: int


@event("task.crashes_workers", essential=True)
class TaskCrashesWorkers:
    """A task is considered to crash its workers: its job fails.

    Attributes:
        workers: All workers that were lost while they ran it, for any reason.
        crashes: At how many addresses the worker was lost just after the task had
            started, with no other explanation for the loss.
    """

    task: str
    workers: tuple[str, ...]
    crashes: int = 0


# --- the owner ---------------------------------------------------------------------


@event("owner.won", essential=True)
class OwnerWon:
    """This host acquired the ownership."""

    epoch: int
    silent: bool


@event("owner.took_over", essential=True)
class OwnerTookOver:
    """The owner has read all rows; it still waits for unreachable workers."""

    epoch: int
    jobs: int
    placed: int
    workers: int
    waits_s: float
    took_s: float


@event("owner.lost", essential=True)
class OwnerLost:
    """This host no longer holds the ownership."""

    epoch: int
    reason: str


@event("owner.released", essential=True)
class OwnerReleased:
    """The owner released the ownership."""

    epoch: int


@event("owner.gives_way", essential=True)
class OwnerGivesWay:
    """The owner hands over because a much stronger host is known."""

    epoch: int


@event("owner.suspected", essential=True)
class OwnerSuspected:
    """The last known owner is considered dead."""

    holder: str
    evidence: str


@event("owner.missing", essential=True)
class OwnerMissing:
    """This host has known of no acting owner for 3 s; repeated when the row changes.

    Attributes:
        for_s: For how long.
        row_holder: The process that the owner's row names, as last read.
        row_epoch: The epoch in that row.
        row_is_own: Whether it names this process, which does not act as the owner.
        table_s: How long ago the table last answered this host.
    """

    for_s: float
    row_holder: str
    row_epoch: int
    row_is_own: bool
    table_s: float


@event("table.silent", essential=True)
class TableSilent:
    """A transaction was not answered; `down` tells whether new jobs are refused."""

    reason: str
    down: bool


@event("table.rejected", essential=True)
class TableRejected:
    """The table will never take a transaction; `job` is set if it held one job only."""

    reason: str
    jobs: int
    job: str


@event("table.back", essential=True)
class TableBack:
    """The table answers transactions again."""

    after_s: float


# --- workers -------------------------------------------------------------------------


@event("worker.joined")
class WorkerJoined:
    """The platform lists a new worker."""

    worker: str
    data_centre: str
    labels: tuple[str, ...]
    processors: int
    born_ms: int = 0


@event("worker.answers")
class WorkerAnswers:
    """A worker answered, for the first time or again: it may receive work."""

    worker: str


@event("worker.silent")
class WorkerSilent:
    """A worker does not answer; its attempts are counted until their leases end."""

    worker: str
    tasks: int
    reason: str


@event("worker.orders_unanswered")
class WorkerOrdersUnanswered:
    """A worker leaves orders unanswered; after each it receives no work for a while.

    Logged once, until an order is answered or the worker answers after a silence.

    Attributes:
        worker: The worker.
        reason: What was received instead of an answer.
        opened: Number of connections opened for its orders so far.
        broken: Number of those that ended without an answer.
    """

    worker: str
    reason: str
    opened: int
    broken: int


@event("worker.orders_answered")
class WorkerOrdersAnswered:
    """A worker that left orders unanswered answered one.

    Attributes:
        worker: The worker.
        missed: Number of orders that it left unanswered in the meantime.
        after_s: How long after the first of them.
    """

    worker: str
    missed: int
    after_s: float


@event("worker.leaving")
class WorkerLeaving:
    """A worker announced that it is leaving; it receives no more work.

    Attributes:
        worker: The worker.
        tasks: How many tasks count on it.
        entry_version: The version of its entry that says so; 0 if unknown.
        unread_s: How long before the read that showed it the previous one was begun.
    """

    worker: str
    tasks: int
    entry_version: int = 0
    unread_s: float = 0.0


@event("workers.list_unread")
class WorkersListUnread:
    """The platform's list of workers could not be read.

    Logged once, until it is read again.

    Attributes:
        reason: What was received instead of an answer.
        age_s: How long ago the newest complete read was begun.
    """

    reason: str
    age_s: float


@event("workers.list_read")
class WorkersListRead:
    """The platform's list of workers was read again after failed reads.

    Attributes:
        failed: Number of failed reads.
        unread_s: Time between the beginnings of this read and the previous complete
            one.
    """

    failed: int
    unread_s: float


@event("worker.unlisted")
class WorkerUnlisted:
    """The platform no longer lists a worker."""

    worker: str
    tasks: int


@event("worker.leases_over")
class WorkerLeasesOver:
    """All leases of a silent worker have expired; its tasks wait again."""

    worker: str
    tasks: int


@event("worker.replaced")
class WorkerIsReplaced:
    """A different worker answers at a worker's address; its tasks wait again."""

    worker: str
    tasks: int


@event("worker.restarted")
class WorkerRestarted:
    """A new incarnation of a worker answers; its reply settles the old attempts."""

    worker: str
    before_ms: int
    born_ms: int
    tasks: int
    acknowledged: int
    heard_upto: int


@event("worker.settled")
class RestartSettled:
    """A restarted worker's reply settled its old attempts; lost ones wait again."""

    worker: str
    found: int
    lost: int


@event("worker.rests")
class WorkerQuarantined:
    """A worker failed several attempts; it receives no work for a while."""

    worker: str
    rest_s: float


@event("worker.stands_still", essential=True)
class WorkerStalled:
    """A worker answers but makes no progress; attempts that cannot wait are stopped."""

    worker: str
    tasks: int
    stopped: int
    rest_s: float


@event("wave.seen", essential=True)
class WaveSeen:
    """The operator requested a wave of upkeep."""

    wave: int
    machines: int


@event("wave.resumed", essential=True)
class WaveResumed:
    """A new owner read how far a wave of upkeep had come."""

    wave: int
    state: str
    begun: int
    after_s: float


@event("wave.told", essential=True)
class WaveStatusWritten:
    """The state of a wave was written for the operator."""

    wave: int
    state: str


@event("upkeep.waits", essential=True)
class UpkeepWaits:
    """What the upkeep of a machine waits for; logged when that changes."""

    wave: int
    machine: str
    waits_for: str


@event("upkeep.ordered")
class UpkeepOrdered:
    """The upkeep of a machine was ordered."""

    wave: int
    machine: str
    verdict: str


@event("task.throttled")
class TaskThrottled:
    """The share of its speed at which a filler may run was changed."""

    task: str
    attempt: int
    worker: str
    percent: int
    pressure: float


# --- the process ---------------------------------------------------------------------


@event("config.taken", essential=True)
class ConfigTaken:
    """A newer configuration is in force; with the size and duration of its read."""

    version: int
    queues: int
    versions: int
    size: int
    read_s: float


@event("config.unread", essential=True)
class ConfigUnread:
    """Reads of the configuration failed; logged at 1, 2, 4, 8 failures in a row."""

    held: int
    in_a_row: int
    after_s: float
    reason: str


@event("config.unreadable", essential=True)
class ConfigUnreadable:
    """The configuration row cannot be decoded; the previous one stays in force."""

    findings: str


@event("speeds.uneven", essential=True)
class SpeedsUneven:
    """Whether the known speeds of a pool's workers differ by more than their error."""

    pool: str
    uneven: bool
    known: int
    slow: float
    fast: float
    error: float


@event("speeds.discarded")
class SpeedDiscarded:
    """A worker came back as another kind or size; its learned speed was discarded."""

    worker: str
    kind: str
    kind_before: str
    speed: float


@event("speeds.restored")
class SpeedsRestored:
    """A new owner adopted the speeds of workers that an earlier one had learned."""

    pool: str
    workers: int
    age_s: float


@event("speeds.ignored", essential=True)
class SpeedsIgnored:
    """Stored speeds cannot be read or are too old; the owner starts without them."""

    key: str
    reason: str


@event("step.placed_by_speed")
class StepPlacedBySpeed:
    """Tasks of a step were placed where speeds differ; with the speed it needs."""

    step: str
    queue: str
    tasks: int
    needed_speed: float
    slowest: float
    fastest: float
    expected_s: float
    left_s: float
    in_time: bool
    evidence_age_s: float


@event("row.fill", essential=True)
class RowFill:
    """The largest row passed a half or four fifths of the limit, up or down."""

    key: str
    size: int
    limit: int


@event("row.unreadable", essential=True)
class RowUnreadable:
    """A row of the table cannot be decoded; it is left unchanged."""

    findings: str


@event("host.readiness", essential=True)
class HostReadiness:
    """The readiness of this host changed; with the ages of what it depends on."""

    ready: bool
    owner_s: float
    table_s: float
    config_late_s: float


@event("process.draining", essential=True)
class ProcessDraining:
    """The process was told to stop."""

    owner: bool


@event("process.started", essential=True)
class ProcessStarted:
    """The process accepts connections."""

    name: str
    data_centre: str


@event("settings.reread", essential=True)
class SettingsReread:
    """The settings file was read again; listen addresses are not changed."""

    changed: tuple[str, ...]


@event("settings.unreadable", essential=True)
class SettingsUnreadable:
    """The settings file cannot be read; the previous settings stay in force."""

    findings: str


@event("log.left_out", essential=True)
class LogLeftOut:
    """Log lines that were dropped since the last such event, by event."""

    lines: int
    by_event: dict[str, int]
