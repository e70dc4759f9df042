"""Every event that the node logs: a typed message each, with a stable name.

An event is one decision that touches a request or changes what a process
believes, with the inputs that decided it and the outcome. docs/OPERATIONS.md
lists them; a test compares that table with this module. Times are in seconds;
`job` is the caller's identity for a job, `task` ID.OCCURRENCE.STEP.INDEX.
"""

from collections.abc import Callable
from typing import Any, Final, TypeVar, dataclass_transform

import attrs

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class EventKind:
    """What is known of one kind of event.

    Attributes:
        name: The stable name.
        doc: What it tells, in one line.
        kept: It is never among the first to be left out of a full log.
    """

    name: str
    doc: str
    essential: bool


KINDS: Final[dict[type[Any], EventKind]] = {}


@dataclass_transform(kw_only_default=True, frozen_default=True)
def event(name: str, *, essential: bool = False) -> Callable[[type[T]], type[T]]:
    """Return a decorator that makes a class an event of that name."""

    def register(cls: type[T]) -> type[T]:
        event_class = attrs.frozen(kw_only=True)(cls)
        doc = (cls.__doc__ or "").strip().splitlines()[0]
        KINDS[event_class] = EventKind(name=name, doc=doc, essential=essential)
        return event_class

    return register


# --- a job's way -----------------------------------------------------------------


@event("job.accepted")
class JobAccepted:
    """The owner took a job in; it is not stored yet."""

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


@event("job.stored")
class JobStored:
    """The table has a new job: the caller may be told that it is accepted."""

    job: str
    after_s: float


@event("job.refused", essential=True)
class JobRefused:
    """A door refused a job; nothing of it was sent on or stored."""

    job: str
    queue: str
    reason: str
    retry_after_s: float
    workspace: str = ""


@event("caller.rejected", essential=True)
class CallerRejected:
    """A request was not carried out for want of a good key.

    `key` is the beginning of its digest; `job` is empty for a question for a queue.
    """

    job: str
    queue: str
    key: str
    denied: bool
    reason: str


@event("job.malformed", essential=True)
class JobMalformed:
    """A job cannot be read, or asks for what can never be."""

    job: str
    queue: str
    reason: str


@event("job.unknown", essential=True)
class JobUnknown:
    """A door gave up settling whether a job was stored."""

    job: str
    queue: str
    reason: str
    after_s: float


@event("job.unsettled")
class JobUnsettled:
    """The owner did not say whether it stored a job; the door goes on."""

    job: str
    owner: str
    reason: str


@event("job.inbox")
class JobInInbox:
    """A door stored a job in the inbox, beside or instead of the owner."""

    job: str
    outcome: str


@event("job.found")
class JobFound:
    """The owner found a job in the inbox."""

    job: str


@event("job.withdrawn", essential=True)
class JobWithdrawn:
    """The owner gave a job back: no transaction with it was ever sent."""

    job: str
    after_s: float


@event("job.cancelled")
class JobCancelled:
    """A caller cancelled a job; `state` is what it is in now."""

    job: str
    state: str


@event("job.ended", essential=True)
class JobEnded:
    """A job became final; `late` tells whether it missed its objective."""

    job: str
    queue: str
    state: str
    after_s: float
    objective_s: float
    late: bool
    attempts: int


@event("job.shown")
class JobShown:
    """The table has a job's final state: callers are told from now on."""

    job: str
    state: str
    after_end_s: float


# --- permits and placing ---------------------------------------------------------


@event("permits.had")
class PermitsHad:
    """The permit service answered for a step."""

    step: str
    asked: int
    allowed: int
    via: str
    waited_s: float
    took_s: float


@event("permits.failed")
class PermitsFailed:
    """A call to the permit service had no answer."""

    step: str
    via: str
    reason: str


@event("workers.drawing")
class WorkersDrawing:
    """How many workers may be given work, and why the others may not."""

    drawing: int
    obstacles: dict[str, int]
    steps_waiting: int


@event("step.waiting")
class StepWaiting:
    """A step is left waiting; said once for each reason, and again while it lasts."""

    step: str
    reason: str
    pending: int
    candidates: int
    waited_s: float
    slack_s: float


@event("step.hopeless", essential=True)
class StepHopeless:
    """Every known worker is ruled out for a step now; it waits for others."""

    step: str
    reason: str
    pending: int


@event("task.placed")
class TaskPlaced:
    """A task was given a worker; it is ordered once that is stored."""

    task: str
    attempt: int
    worker: str
    waited_s: float
    saved: bool


@event("task.started")
class TaskStarted:
    """A worker accepted an order to start."""

    task: str
    attempt: int
    worker: str
    after_s: float
    sent: int


@event("task.unanswered")
class TaskUnanswered:
    """An order to start had no answer; it is sent again unchanged."""

    task: str
    attempt: int
    worker: str
    reason: str


@event("task.refused")
class TaskRefused:
    """A worker refused an order to start."""

    task: str
    attempt: int
    worker: str
    verdict: str


@event("task.ended")
class TaskEnded:
    """A worker listed the end of an attempt."""

    task: str
    attempt: int
    worker: str
    how: str
    ran_s: float
    current: bool


@event("task.stopping")
class TaskStopping:
    """An attempt is to stop."""

    task: str
    attempt: int
    worker: str
    reason: str


@event("task.given_up")
class TaskGivenUp:
    """An attempt is proved not to run; its task waits again.

    Attributes:
        reason: Why; of a lost worker also how it was lost.
        began: Whether the worker said that it had begun.
        survived_s: How long after that the worker was heard last.
    """

    task: str
    attempt: int
    worker: str
    reason: str
    began: bool = False
    survived_s: float = 0.0


@event("task.crashes_workers", essential=True)
class TaskCrashesWorkers:
    """A task is taken to crash its workers: its job is given up.

    Attributes:
        workers: Those that were lost under it, in any way.
        crashes: At how many addresses it had only just begun, and nothing else
            explained the loss.
    """

    task: str
    workers: tuple[str, ...]
    crashes: int = 0


# --- the owner ---------------------------------------------------------------------


@event("owner.won", essential=True)
class OwnerWon:
    """This host holds the ownership now."""

    epoch: int
    silent: bool


@event("owner.took_over", essential=True)
class OwnerTookOver:
    """The owner has read everything; workers out of reach are waited for."""

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
    """The owner handed the ownership over in order."""

    epoch: int


@event("owner.gives_way", essential=True)
class OwnerGivesWay:
    """The owner hands over, since a host that can carry much more is live."""

    epoch: int


@event("owner.suspected", essential=True)
class OwnerSuspected:
    """The owner seen last is taken to be dead."""

    holder: str
    evidence: str


@event("table.silent", essential=True)
class TableSilent:
    """A transaction has no answer; `down` tells whether new work is refused."""

    reason: str
    down: bool


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
    """A worker answered, for the first time or again: it may draw work."""

    worker: str


@event("worker.silent")
class WorkerSilent:
    """A worker does not answer; what runs there counts until its leases end."""

    worker: str
    tasks: int
    reason: str


@event("worker.leaving")
class WorkerLeaving:
    """A worker says that it is leaving; it draws no more work."""

    worker: str
    tasks: int


@event("worker.unlisted")
class WorkerUnlisted:
    """The platform no longer lists a worker."""

    worker: str
    tasks: int


@event("worker.leases_over")
class WorkerLeasesOver:
    """Every lease at a silent worker is over; its tasks wait again."""

    worker: str
    tasks: int


@event("worker.replaced")
class WorkerIsReplaced:
    """Another life answers at a worker's address; its tasks wait again."""

    worker: str
    tasks: int


@event("worker.restarted")
class WorkerRestarted:
    """Another incarnation has a worker's identity; its list settles the last one's."""

    worker: str
    before_ms: int
    born_ms: int
    tasks: int
    acknowledged: int
    heard_upto: int


@event("worker.settled")
class RestartSettled:
    """A restarted worker's first list told what of before is there; the rest waits."""

    worker: str
    found: int
    lost: int


@event("worker.rests")
class WorkerQuarantined:
    """A worker failed what it started; it draws nothing for a while."""

    worker: str
    rest_s: float


@event("worker.stands_still", essential=True)
class WorkerStalled:
    """Nothing moves on a worker that answers; what cannot wait leaves it."""

    worker: str
    tasks: int
    stopped: int
    rest_s: float


@event("wave.seen", essential=True)
class WaveSeen:
    """The operator asked for a wave of upkeep."""

    wave: int
    machines: int


@event("wave.told", essential=True)
class WaveStatusWritten:
    """A wave's state was written for the operator."""

    wave: int
    state: str


@event("upkeep.ordered")
class UpkeepOrdered:
    """A machine's upkeep was ordered."""

    wave: int
    machine: str
    verdict: str


@event("task.throttled")
class TaskThrottled:
    """A filler was told to work at another share of its speed."""

    task: str
    attempt: int
    worker: str
    percent: int
    pressure: float


# --- the process ---------------------------------------------------------------------


@event("config.taken", essential=True)
class ConfigTaken:
    """A newer configuration is in force; what its reading carried, and how long."""

    version: int
    queues: int
    versions: int
    size: int
    read_s: float


@event("config.unread", essential=True)
class ConfigUnread:
    """Readings of the configuration came to nothing; told at 1, 2, 4, 8 in a row."""

    held: int
    in_a_row: int
    after_s: float
    reason: str


@event("config.unreadable", essential=True)
class ConfigUnreadable:
    """The configuration's row cannot be read; the last stays in force."""

    findings: str


@event("row.unreadable", essential=True)
class RowUnreadable:
    """A row of the table cannot be read; it is left as it is."""

    findings: str


@event("host.readiness", essential=True)
class HostReadiness:
    """This host became ready, or not; how long ago it heard of what it needs for it."""

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
    """The process listens."""

    name: str
    data_centre: str


@event("settings.reread", essential=True)
class SettingsReread:
    """The settings file was read again; addresses to listen on stay as they are."""

    changed: tuple[str, ...]


@event("settings.unreadable", essential=True)
class SettingsUnreadable:
    """The settings file cannot be read; the last settings stay in force."""

    findings: str


@event("log.left_out", essential=True)
class LogLeftOut:
    """Lines that were left out since the last such line, by event."""

    lines: int
    by_event: dict[str, int]
