"""The workers as an owner knows them: what each has and what counts on it.

Invariant: a placement counts on its worker from the moment it is planned until
the worker's own word, or the end of every lease that could have been granted,
proves that it is over; so what counts never exceeds what the worker has.
"""

import collections
import enum
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.workflow.crash_attribution import CRASH_WINDOW_S
from cranberrycleat.workflow.ports import RunningTask, WorkerEntry
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import Task
from cranberrycleat.workflow.worker_failures import (
    CorrelatedFailures,
    WorkerFailure,
    WorkerFailures,
)

QUARANTINE_AFTER: Final = 3
"""Failures in a row, of several jobs, before a worker draws no more work: three
of three at a failure rate of 2% by jobs' own fault is one in 100,000."""
MAX_ZERO_NEED_TASKS: Final = 1000
"""How many tasks that need nothing a worker is given."""
INITIAL_QUARANTINE_S: Final = 2.0
MAX_QUARANTINE_S: Final = 8.0
"""A failing worker is tried again after 2 s, then 4 s, then 8 s: disturbances
last 3 to 10 s on the platform's standard days."""


def reserved_resources(step: StepSpec) -> Amounts:
    """Return what a task of a step is counted with on its worker.

    A filler takes only processors that others leave, so that it counts with none.
    """
    if step.filler:
        return attrs.evolve(step.needs, processors=0)
    return step.needs


def how_many_fit(needs: Amounts, room: Amounts) -> int:
    """Return how often the needs fit into the room."""
    counts = [
        have // need
        for need, have in (
            (needs.processors, room.processors),
            (needs.memory_mb, room.memory_mb),
            (needs.accelerators, room.accelerators),
        )
        if need > 0
    ]
    return max(0, min(counts, default=MAX_ZERO_NEED_TASKS))


def max_tasks_on(step: StepSpec, capacity: Amounts) -> int:
    """Return how many of a step's tasks an empty worker of a capacity may hold."""
    max_tasks = step.most_per_worker or step.count
    return min(max_tasks, how_many_fit(reserved_resources(step), capacity))


class Liveness(enum.Enum):
    """Whether a worker may draw work."""

    JOINING = "joining"
    LIVE = "live"
    SILENT = "silent"
    RESTARTED = "restarted"
    GONE = "gone"


GANG_SILENCE_LIMIT_S: Final = 1.0
"""How long a worker must be silent before the gangs that wait for a member there are
stopped elsewhere: longer than a list that came to nothing once, and well under the 3 s
after which members give up by themselves."""


class LossCause(enum.Enum):
    """How a worker's life was proved to be over, or all that ran there."""

    REPLACED = "another life answers at its worker's address"
    SILENT = "its worker was silent until its leases were over"


@attrs.define(kw_only=True, eq=False)
class Placement:
    """One attempt that counts on a worker.

    Attributes:
        task: The task's name.
        attempt: The attempt.
        needs: What it is counted with.
        subject: The task, or None for an attempt that no job wants.
        program: What it runs.
        saved: The progress that it resumes from.
        planned_at: When it was planned, on the owner's clock.
        stored: The table has it, so that it may be ordered.
        permit: The permit to start it with.
        ordered: An order may have reached the worker.
        running: The worker said that it runs.
        running_since: When the worker said so first, on the owner's clock.
        unsized: Nobody knows what it takes; its worker draws nothing beside it.
        stopping: It is to end.
        stop_reason: Why, for people.
        percent: The share of its work that is done, or for a service the share
            at which it works, by the worker's word.
        advanced_at: When that share was last seen to rise, on the owner's clock.
        reading: The worker's figure for it (see `RunningTask`).
        throttle: The share that it was told to work at.
    """

    task: str
    attempt: int
    needs: Amounts
    tracked_task: Task | None
    program: str = ""
    saved: str = ""
    planned_at: float = 0.0
    stored: bool = False
    permit: str = ""
    ordered: bool = False
    running: bool = False
    running_since: float = 0.0
    unsized: bool = False
    stopping: bool = False
    stop_reason: str = ""
    percent: float = 0.0
    advanced_at: float = 0.0
    reading: float | None = None
    throttle: int = 100

    def began(self, now: float) -> None:
        """The worker says that it runs."""
        self.running = True
        self.running_since = now
        self.advanced_at = now

    def stop(self, reason: str) -> None:
        """Note that it is to end."""
        self.stopping = True
        self.stop_reason = reason

    def apply_report(self, run: RunningTask, now: float) -> None:
        """Take in what the worker's list says of it."""
        if not self.running:
            self.began(now)
        if run.percent > self.percent:
            self.advanced_at = now
        self.ordered = True
        self.percent = run.percent
        self.reading = run.reading

    def ran_s(self, now: float) -> float:
        """Return how long it has run, as far as this owner knows."""
        if not self.running:
            return 0.0
        return max(0.0, now - max(self.running_since, self.planned_at))

    @property
    def is_current(self) -> bool:
        """Whether its task still stands placed with this attempt."""
        task = self.tracked_task
        return task is not None and task.attempt == self.attempt and bool(task.worker)


def adopted_placement(
    task: str, attempt: int, needs: Amounts, tracked_task: Task | None, now: float
) -> Placement:
    """Return an attempt that an earlier owner stored: it may run."""
    return Placement(
        task=task,
        attempt=attempt,
        needs=needs,
        tracked_task=tracked_task,
        planned_at=now,
        stored=True,
        ordered=True,
        running=True,
        running_since=float("-inf"),
        advanced_at=now,
    )


AttemptKey = tuple[str, int]
"""A task's name and the number of an attempt."""


def job_of(task: str) -> str:
    """Return the job that a task's name begins with."""
    return task.partition(".")[0]


@attrs.define(kw_only=True, eq=False)
class FleetWorker:
    """One life of a worker.

    Attributes:
        entry: As it registered itself.
        standing: Whether it may draw work.
        placements: What counts on it, by task and attempt.
        used: The sum of what counts.
        free: What is left.
        most: The most that it ever had: one that has shrunk grows again.
        worker_time_ms: Its clock at its last answer.
        clock_at: When that answer came, on the owner's clock.
        leases_over_at: When every lease granted there is over, at the latest.
        ended_upto: The newest end that was stored.
        heard_upto: The newest end that was taken in.
        heard_ends: The ends taken in and not yet stored, oldest first: their
            numbers and jobs.
        listed: Whether the platform lists it.
        missing_since: Since when the list has lacked it though it answers.
        doubted: An order to it had no answer, or its data centre is silent; it
            draws no work until it answers again.
        unsized: How many attempts there are of unknown size.
        held: It is being emptied for its machine's upkeep.
        filler_percent: The share at which its fillers are to work.
        filler_changed_at: When that was changed last.
        failures: Failures in a row.
        failed_jobs: The jobs that these were of.
        rests_until: It draws no work before this time.
        rest_s: How long its last rest was.
        probing: It is on trial after a rest: one task at a time.
        trial: The attempt there of a task that may crash its workers.
        generation: The fleet's when it was taken in; orders to it carry that.
        known_since: When it was taken in, on the owner's clock.
        joined_at: When the platform listed it as a new one, on the owner's clock; long
            ago for what was listed when the owner took over.
        before: The incarnation before it, until this one's first list tells which
            orders to that one were carried out here.
    """

    entry: WorkerEntry
    liveness: Liveness = Liveness.JOINING
    placements: dict[AttemptKey, Placement] = attrs.field(factory=dict)
    used: Amounts = NOTHING
    free: Amounts = NOTHING
    max_capacity: Amounts = NOTHING
    worker_time_ms: int = 0
    clock_read_at: float = 0.0
    leases_end_at: float = 0.0
    ended_upto: int = 0
    heard_upto: int = 0
    unstored_ends: "collections.deque[tuple[int, str]]" = attrs.field(
        factory=collections.deque
    )
    listed: bool = True
    missing_since: float | None = None
    unresponsive: bool = False
    held: bool = False
    unsized: int = 0
    filler_percent: int = 100
    filler_changed_at: float = float("-inf")
    failures: int = 0
    failed_jobs: set[str] = attrs.field(factory=set)
    quarantined_until: float = 0.0
    rest_s: float = 0.0
    is_probed: bool = False
    isolated_attempt: Placement | None = None
    generation: int = 0
    added_at: float = 0.0
    joined_at: float = float("-inf")
    previous: "FleetWorker | None" = None

    def __attrs_post_init__(self) -> None:
        self.free = self.entry.capacity
        self.max_capacity = self.entry.capacity

    @property
    def name(self) -> str:
        """The name of this incarnation of it."""
        return self.entry.incarnation

    def extend_leases_until(self, when: float) -> None:
        """Count every lease as granted until a time at least."""
        self.leases_end_at = max(self.leases_end_at, when)

    def may_accept_work(self, now: float) -> bool:
        """Tell whether it may be given work."""
        return self.unavailable_reason(now) is None

    def unavailable_reason(self, now: float) -> str | None:
        """Return why it is given no work, for people; None where it may be."""
        if self.liveness is not Liveness.LIVE:
            return str(self.liveness.value)
        if not self.listed:
            return "unlisted"
        if not self.entry.readable:
            return "unreadable"
        if self.entry.leaving:
            return "leaving"
        if self.unresponsive:
            return "left an order unanswered"
        if self.held:
            return "held for upkeep"
        if self.has_unsized():
            return "runs what nobody knows"
        if now < self.quarantined_until:
            return "rests after failures"
        if self.has_running_probe():
            return "probed after failures"
        return "tries a suspected task" if self.has_isolated_attempt() else None

    def has_running_probe(self) -> bool:
        """Tell whether a task was begun there after its rest and has not ended.

        What runs there from before tells nothing new, and a service never ends.
        """
        if not self.is_probed:
            return False
        return any(
            each.planned_at >= self.quarantined_until
            for each in self.placements.values()
        )

    def has_isolated_attempt(self) -> bool:
        """Tell whether a task is tried there that may crash its workers.

        Nothing else begins there meanwhile: it would be lost with it, and nobody
        could tell which of the two it was.
        """
        isolated_attempt = self.isolated_attempt
        if isolated_attempt is None or not self.counts(isolated_attempt):
            return False
        return not self.outlived_crash_window(isolated_attempt)

    def outlived_crash_window(self, placement: Placement) -> bool:
        """Tell whether an attempt has run long enough not to crash its worker."""
        return self.survived_s(placement) >= CRASH_WINDOW_S

    def has_no_recent_starts(self) -> bool:
        """Tell whether nothing has just begun there."""
        return all(map(self.outlived_crash_window, self.placements.values()))

    def may_start(self) -> bool:
        """Tell whether what was placed there may still be ordered to start.

        Between placing and ordering lie a transaction and at times a permit:
        time enough for a worker to fall silent, to shrink, or to say that it leaves.
        """
        responsive = self.liveness is Liveness.LIVE and not self.unresponsive
        away = self.entry.leaving or self.held or not self.entry.readable
        return (
            responsive
            and not away
            and not self.has_unsized()
            and not self.is_overcommitted()
        )

    def is_overcommitted(self) -> bool:
        """Tell whether more is placed there than it has: it may have shrunk."""
        return not NOTHING.fits_in(self.free)

    def has_unsized(self) -> bool:
        """Tell whether anything runs there of which nobody knows what it takes."""
        return self.unsized > 0

    def survived_s(self, placement: Placement) -> float:
        """Return how long after an attempt began this worker was heard last."""
        if not placement.running:
            return 0.0
        return max(0.0, self.clock_read_at - placement.running_since)

    def counts(self, placement: Placement) -> bool:
        """Tell whether an attempt still counts here."""
        return self.placements.get((placement.task, placement.attempt)) is placement

    def count(self, placement: Placement) -> None:
        """Begin to count an attempt."""
        self.placements[(placement.task, placement.attempt)] = placement
        self.unsized += placement.unsized
        self.used = self.used.plus(placement.needs)
        self.free = self.entry.capacity.minus(self.used)

    def uncount(self, placement: Placement) -> None:
        """Stop counting an attempt that is proved to be over; idempotent."""
        if self.placements.pop((placement.task, placement.attempt), None) is None:
            return
        self.unsized -= placement.unsized
        self.used = self.used.minus(placement.needs)
        self.free = self.entry.capacity.minus(self.used)

    def record_end(self, number: int, job_id: str) -> None:
        """Note an end that was taken in."""
        self.heard_upto = max(self.heard_upto, number)
        self.unstored_ends.append((number, job_id))

    def acknowledge(self, number: int) -> None:
        """Note that every end up to a number was stored."""
        self.ended_upto = max(self.ended_upto, number)
        while self.unstored_ends and self.unstored_ends[0][0] <= number:
            self.unstored_ends.popleft()

    def update(self, entry: WorkerEntry) -> None:
        """Take in a newer entry of the same life."""
        self.entry = entry
        self.max_capacity = self.max_capacity.elementwise_max(entry.capacity)
        self.free = entry.capacity.minus(self.used)

    def update_clock(self, worker_time_ms: int, now: float) -> None:
        """Note the worker's clock, as an answer told it."""
        if worker_time_ms >= self.worker_time_ms:
            self.worker_time_ms = worker_time_ms
            self.clock_read_at = now
            self.unresponsive = False

    def grant(self, lease_s: float, now: float, clock_error: float) -> int:
        """Return a lease's end on the worker's clock, and count it as granted."""
        since = now - self.clock_read_at
        end_ms = self.worker_time_ms + round((since + lease_s) * 1000)
        longest = (since + lease_s) / (1 - clock_error)
        self.leases_end_at = max(self.leases_end_at, self.clock_read_at + longest)
        return end_ms

    def record_attempt_failure(self, job_id: str, now: float) -> bool:
        """Note a failed attempt; return whether the worker rests now."""
        self.failures += 1
        self.failed_jobs.add(job_id)
        enough = self.failures >= QUARANTINE_AFTER and len(self.failed_jobs) > 1
        if not (enough or self.is_probed):
            return False
        self.quarantine(now)
        return True

    def quarantine(self, now: float) -> None:
        """Draw nothing for a while, each time longer; then be tried."""
        self.rest_s = min(MAX_QUARANTINE_S, self.rest_s * 2 or INITIAL_QUARANTINE_S)
        self.quarantined_until = now + self.rest_s
        self.is_probed = True

    def record_attempt_success(self) -> None:
        """Note an attempt that ended as done."""
        self.failures = 0
        self.failed_jobs.clear()
        self.rest_s = 0.0
        self.is_probed = False


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """Every worker that an owner knows.

    Attributes:
        workers: The workers, by the names of their incarnations.
        newest: The newest incarnation of each, by identity.
        generation: Grows with each restart that is found, so that no worker is met
            with a lower one than it has seen, even if it was forgotten meanwhile.
        falls: Which of them fell.
    """

    workers: dict[str, FleetWorker] = attrs.field(factory=dict)
    generation: int = 0
    newest: dict[str, FleetWorker] = attrs.field(factory=dict)
    worker_failures: WorkerFailures = attrs.field(factory=WorkerFailures)

    def add(self, worker: FleetWorker) -> None:
        """Take in an incarnation, the newest of its worker."""
        worker.generation = self.generation
        self.workers[worker.name] = worker
        self.newest[worker.entry.worker] = worker

    def replace_incarnation(
        self, previous: FleetWorker, entry: WorkerEntry, now: float
    ) -> FleetWorker:
        """Take in the incarnation after another one; return it."""
        previous.liveness = Liveness.RESTARTED
        previous.listed = False
        self.generation += 1
        after = FleetWorker(entry=entry, previous=previous, added_at=now)
        self.add(after)
        return after

    def remove(self, worker: FleetWorker) -> None:
        """Forget an incarnation."""
        del self.workers[worker.name]
        if self.newest.get(worker.entry.worker) is worker:
            del self.newest[worker.entry.worker]

    def record_worker_failure(self, worker: FleetWorker, now: float) -> None:
        """Note that a worker was found silent, or replaced."""
        jobs = {
            job_of(key[0])
            for key, each in worker.placements.items()
            if not worker.outlived_crash_window(each)
        }
        failure = WorkerFailure(
            last_heard_at=worker.clock_read_at,
            detected_at=now,
            jobs=frozenset(jobs),
            racks=frozenset(worker.entry.racks),
        )
        self.worker_failures.record_failure(worker.entry, failure)

    def silent_s(self, worker: FleetWorker, now: float) -> float:
        """Return for how long a worker that does not answer has been known not to."""
        failure = self.worker_failures.by_address.get(worker.entry.address)
        away = worker.liveness in (Liveness.SILENT, Liveness.RESTARTED)
        if failure is None or not away:
            return 0.0
        return now - failure.detected_at

    def failed_without_other_starts(self, worker: FleetWorker, job_id: str) -> bool:
        """Tell whether nothing of other jobs had just begun where a worker fell."""
        failure = self.worker_failures.by_address.get(worker.entry.address)
        return failure is None or failure.jobs <= {job_id}

    def failures_correlated_with(self, worker: FleetWorker) -> CorrelatedFailures:
        """Return the falls that may have the same cause as a worker's."""
        racks = set(worker.entry.racks)
        own = worker.entry.address
        rack_addresses = {
            each.entry.address
            for each in self.workers.values()
            if each.entry.address != own and not racks.isdisjoint(each.entry.racks)
        }
        return self.worker_failures.correlated_with(own, rack_addresses)

    def workers_in_pool(self, pool: str) -> list[FleetWorker]:
        """Return the workers of one pool."""
        return [each for each in self.workers.values() if each.entry.pool == pool]


def attempts_by_key(running: tuple[RunningTask, ...]) -> dict[AttemptKey, RunningTask]:
    """Return a worker's list by task and attempt."""
    return {(each.task, each.attempt): each for each in running}
