"""The workers as an owner knows them: their capacity and what is placed on them.

Invariant: a placement counts on its worker from the moment it is planned until the
worker's own report, or the end of every lease that could have been granted, proves that
it is over. The sum of what counts therefore never exceeds what the worker has.
"""

import collections
import enum
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.workflow.crash_attribution import CRASH_WINDOW_S
from cranberrycleat.workflow.late_starts import LateStarts
from cranberrycleat.workflow.ports import RunningTask, WorkerEntry
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import Task
from cranberrycleat.workflow.worker_failures import (
    CorrelatedFailures,
    WorkerFailure,
    WorkerFailures,
)

QUARANTINE_AFTER: Final = 3
"""Consecutive failures, of several jobs, after which a worker is quarantined. At a
failure rate of 2% through jobs' own faults, three in a row happen by chance once in
100,000."""
PROBE_S: Final = 2.0
"""How long the task with which a quarantined worker is probed runs until the next one
may begin beside it: a service or a long task would otherwise keep the worker from all
other work."""
RESTS: Final = "rests after failures"
PROBED: Final = "probed after failures"
SUSPECTED_REASONS: Final = frozenset({RESTS, PROBED})
"""Reasons to give a worker no work that are a precaution: it could start tasks."""
MAX_ZERO_NEED_TASKS: Final = 1000
"""How many tasks without resource needs a worker is given."""
INITIAL_QUARANTINE_S: Final = 2.0
MAX_QUARANTINE_S: Final = 8.0
"""A quarantined worker is probed after 2 s, then 4 s, then 8 s: disturbances last 3 to
10 s on the platform."""
MISSED_ORDERS_LIMIT: Final = 2
"""Number of unanswered orders in a row after which planned starts wait until one is
answered."""
MISSED_ORDER_PAUSE_S: Final = 2.0
"""How long a worker gets no new work after an unanswered order if none is answered.
Copies of a start are sent for a shorter time."""
MAX_MISSED_ORDER_PAUSE_S: Final = 4.0
"""The same after several starts in a row of which no copy was answered. It is no
quarantine: a task that succeeds is no better evidence than one answered order."""


def reserved_resources(step: StepSpec) -> Amounts:
    """Return the resources that a task of a step reserves on its worker.

    A filler uses only processors that others leave idle, so it reserves none.
    """
    if step.filler:
        return attrs.evolve(step.needs, processors=0)
    return step.needs


def how_many_fit(needs: Amounts, room: Amounts) -> int:
    """Return how many times the needs fit into the free resources."""
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
    """Whether a worker incarnation is believed to be running."""

    JOINING = "joining"
    LIVE = "live"
    SILENT = "silent"
    RESTARTED = "restarted"
    GONE = "gone"


GANG_SILENCE_LIMIT_S: Final = 1.0
"""How long a worker must be silent before gangs that wait for a member there are
stopped elsewhere: longer than the gap left by one failed sync, and well under the 3 s
after which members give up by themselves."""


class LossCause(enum.Enum):
    """How it was proved that an incarnation, or all that ran on it, is over."""

    REPLACED = "another life answers at its worker's address"
    SILENT = "its worker was silent until its leases were over"


@attrs.define(kw_only=True, eq=False)
class Placement:
    """One attempt that counts on a worker.

    Attributes:
        task: The task's name.
        attempt: The attempt number.
        needs: The resources that it reserves.
        tracked_task: The task, or None for an orphaned attempt.
        program: What it runs.
        saved: The progress that it resumes from.
        planned_at: When it was planned, on the owner's clock.
        may_start_late: Whether a start of it that gets no answer could be carried out
            by a later incarnation of the worker.
        is_startable: Whether there may be such a start, or may be one later.
        stored: Whether the table has it, so that it may be ordered.
        permit: The permit to start it with.
        ordered: Whether a start order may have reached the worker.
        running: Whether the worker has reported that it runs.
        running_since: When the worker first reported that, on the owner's clock.
        began_ms: The worker's clock then; None if unknown.
        unsized: Whether its resource needs are unknown; its worker is given no work
            beside it.
        stopping: Whether it is to be stopped.
        stop_reason: Why, in human-readable form.
        listed_at: When its worker first listed it as running, on the owner's clock;
            None before.
        percent: The reported share of its work that is done, or for a service the share
            at which it works.
        advanced_at: When that share was last seen to rise, on the owner's clock.
        first_advanced_at: When it was first seen to rise; None before.
        reading: The worker's load reading for it (see `RunningTask`).
        fenced_by: The lowest fence that makes its unanswered start void, once no more
            copies of it are sent; None before.
        throttle: The share at which it was ordered to work.
        on_unstable_machine: Whether its machine had failed or its worker had joined
            shortly before it was planned, as far as known; set for isolated attempts.
    """

    task: str
    attempt: int
    needs: Amounts
    tracked_task: Task | None
    program: str = ""
    saved: str = ""
    planned_at: float = 0.0
    may_start_late: bool = False
    is_startable: bool = attrs.field(init=False)
    stored: bool = False
    permit: str = ""
    ordered: bool = False
    running: bool = False
    running_since: float = 0.0
    began_ms: int | None = None
    unsized: bool = False
    stopping: bool = False
    stop_reason: str = ""
    listed_at: float | None = None
    percent: float = 0.0
    advanced_at: float = 0.0
    first_advanced_at: float | None = None
    reading: float | None = None
    fenced_by: int | None = None
    throttle: int = 100
    on_unstable_machine: bool = False

    def __attrs_post_init__(self) -> None:
        self.is_startable = self.may_start_late

    def began(self, now: float, worker_time_ms: int | None = None) -> None:
        """Record that the worker reports it as running, by its clock if known."""
        self.running = True
        self.running_since = now
        self.began_ms = worker_time_ms
        self.advanced_at = now

    def stop(self, reason: str) -> None:
        """Mark it to be stopped."""
        self.stopping = True
        self.stop_reason = reason
        if self.tracked_task is not None and self.is_current:
            self.tracked_task.is_stopping = True

    def apply_report(
        self, run: RunningTask, now: float, worker_time_ms: int | None = None
    ) -> None:
        """Apply what the worker's list of running tasks says of it."""
        if not self.running:
            self.began(now, worker_time_ms)
        if self.listed_at is None:
            self.listed_at = now
        if run.percent > self.percent:
            self.advanced_at = now
            if self.first_advanced_at is None:
                self.first_advanced_at = now
        self.ordered = True
        self.percent = run.percent
        self.reading = run.reading

    def is_void_at(self, fence: int) -> bool:
        """Return whether an order with a fence proves that it will not begin any more.

        It has not begun either if the answer to that order does not list it.
        """
        return self.fenced_by is not None and fence >= self.fenced_by

    def ran_s(self, now: float) -> float:
        """Return how long it has run, as far as this owner knows."""
        if not self.running:
            return 0.0
        return max(0.0, now - max(self.running_since, self.planned_at))

    def advanced_for_s(self) -> float:
        """Return the time between the first and the latest rise of its progress."""
        first = self.first_advanced_at
        return 0.0 if first is None else self.advanced_at - first

    @property
    def is_adopted(self) -> bool:
        """Whether an earlier owner placed it."""
        return self.running_since == float("-inf")

    @property
    def is_current(self) -> bool:
        """Whether its task is still placed with this attempt."""
        task = self.tracked_task
        return task is not None and task.attempt == self.attempt and bool(task.worker)


def adopted_placement(
    task: str, attempt: int, needs: Amounts, tracked_task: Task | None, now: float
) -> Placement:
    """Return a placement for an attempt of an earlier owner that may be running."""
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
"""A task's name and an attempt number."""


def job_of(task: str) -> str:
    """Return the ID of the job, with which a task's name begins."""
    return task.partition(".")[0]


@attrs.define(kw_only=True, eq=False)
class FleetWorker:
    """One incarnation of a worker.

    Attributes:
        entry: Its entry in the platform's list of workers.
        liveness: Whether it is believed to be running.
        placements: What counts on it, by task and attempt.
        used: The sum of the resources that placements reserve.
        startable: The part of it that the next incarnation could start by orders for
            this one.
        reserved_late: What else it could start: attempts that no longer count here,
            whose orders may still be carried out (see `late_starts`).
        free: What is left of its capacity, in this incarnation and in the next.
        max_capacity: The largest capacity it ever had; a worker that has shrunk is
            expected to grow again.
        worker_time_ms: Its clock at its last answer.
        clock_read_at: When that answer came, on the owner's clock.
        leases_end_at: When every lease granted there has ended, at the latest.
        ended_upto: The number of the newest task end that was stored.
        heard_upto: The number of the newest task end that was received.
        unstored_ends: Task ends received and not yet acknowledged, oldest first: their
            numbers and tasks.
        listed: Whether the platform lists it.
        entry_version: The version of its entry in the platform's list; 0 if unknown.
        entry_read_at: When the newest read of the list that contained its entry was
            begun, on the owner's clock; minus infinity before the first.
        adopted: Whether its entry is that of an earlier incarnation.
        relied_on_until: Until when its entry may be relied on: if the worker has
            announced since that read that it leaves, tasks may still begin there.
        missing_since: Since when the list has lacked it although it answers.
        unresponsive: Whether its data centre is silent; it is given no work until it
            answers again.
        missed_orders: Number of consecutive orders that it left unanswered.
        missed_order_pause_s: How long the next unanswered order keeps new work away.
        orders_unanswered_until: It is given no work before this time unless it answers
            an order; an answer to a sync, which has a connection of its own, is no
            evidence that it takes orders.
        unsized: How many placements of unknown resource needs it has.
        held_until: It is given no work before this time, while it is drained for
            maintenance of its machine (see `hold`).
        filler_percent: The share at which its fillers are to work.
        filler_changed_at: When that share was last changed.
        failures: Number of consecutive failed attempts.
        failed_jobs: The jobs to which these attempts belonged.
        quarantined_until: It is given no work before this time.
        rest_s: The length of its last quarantine.
        is_probed: Whether it is probed after a quarantine, with one new task at a time,
            until one has succeeded.
        yielded_at: When it was last given a stalled step although it is suspected.
        isolated_attempt: The attempt there of a task that may crash its workers.
        generation: The fleet's generation when it was added, or when its orders were
            last outdated; its fence includes it.
        added_at: When it was added, on the owner's clock.
        joined_at: When the platform first listed it, on the owner's clock; minus
            infinity if it was listed when the owner took over.
        previous: The previous incarnation, until this one's first sync reply tells
            which orders for that one were carried out here.
    """

    entry: WorkerEntry
    liveness: Liveness = Liveness.JOINING
    placements: dict[AttemptKey, Placement] = attrs.field(factory=dict)
    used: Amounts = NOTHING
    startable: Amounts = NOTHING
    reserved_late: Amounts = NOTHING
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
    entry_version: int = 0
    entry_read_at: float = float("-inf")
    adopted: bool = False
    relied_on_until: float = float("inf")
    missing_since: float | None = None
    unresponsive: bool = False
    missed_orders: int = 0
    missed_order_pause_s: float = MISSED_ORDER_PAUSE_S
    orders_unanswered_until: float = float("-inf")
    held_until: float = float("-inf")
    unsized: int = 0
    filler_percent: int = 100
    filler_changed_at: float = float("-inf")
    failures: int = 0
    failed_jobs: set[str] = attrs.field(factory=set)
    quarantined_until: float = 0.0
    rest_s: float = 0.0
    is_probed: bool = False
    yielded_at: float = float("-inf")
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
        """The name of this incarnation."""
        return self.entry.incarnation

    def extend_leases_until(self, when: float) -> None:
        """Assume that granted leases may end as late as the given time."""
        self.leases_end_at = max(self.leases_end_at, when)

    def may_accept_work(self, now: float) -> bool:
        """Return whether it may be given work."""
        return self.unavailable_reason(now) is None

    def unavailable_reason(self, now: float) -> str | None:
        """Return a human-readable reason why it is given no work, or None."""
        if self.liveness is not Liveness.LIVE:
            return str(self.liveness.value)
        if not self.listed:
            return "unlisted"
        if not self.entry.readable:
            return "unreadable"
        if self.entry.leaving:
            return "leaving"
        if not self.is_entry_recent(now):
            return "its entry was not read recently"
        if self.unresponsive:
            return "in a silent data centre"
        if self.leaves_orders_unanswered(now):
            return "left an order unanswered"
        if self.is_held(now):
            return "held for upkeep"
        if self.has_unsized():
            return "runs what nobody knows"
        if now < self.quarantined_until:
            return RESTS
        if self.has_running_probe():
            return PROBED
        return "tries a suspected task" if self.has_isolated_attempt() else None

    def has_running_probe(self) -> bool:
        """Return whether a task placed since its quarantine may yet fail as a probe.

        Tasks from before the quarantine provide no new evidence.
        """
        if not self.is_probed:
            return False
        quarantined_at = self.quarantined_until - self.rest_s
        return any(
            each.planned_at >= quarantined_at and self.survived_s(each) < PROBE_S
            for each in self.placements.values()
        )

    def has_isolated_attempt(self) -> bool:
        """Return whether an attempt that may crash its worker has just begun there.

        Nothing else is started there meanwhile: it would be lost as well, and it could
        not be determined which of the two caused the crash.
        """
        isolated_attempt = self.isolated_attempt
        if isolated_attempt is None or not self.counts(isolated_attempt):
            return False
        return not self.outlived_crash_window(isolated_attempt)

    def outlived_crash_window(self, placement: Placement) -> bool:
        """Return whether an attempt ran too long to be held responsible for a crash."""
        return self.survived_s(placement) >= CRASH_WINDOW_S

    def has_no_recent_starts(self) -> bool:
        """Return whether no attempt there has only just begun."""
        return all(map(self.outlived_crash_window, self.placements.values()))

    def hold(self, until: float) -> None:
        """Give it no work until the given time, for its machine's upkeep.

        A hold ends by itself unless it is renewed: whatever drains a machine may fail,
        and the event for which it waits may never come.
        """
        self.held_until = max(self.held_until, until)

    def release(self, now: float) -> None:
        """End its hold."""
        self.held_until = min(self.held_until, now)

    def is_held(self, now: float) -> bool:
        """Return whether it is being drained for its machine's upkeep."""
        return now < self.held_until

    def was_held_when_last_heard(self) -> bool:
        """Return whether it was being drained when it last answered."""
        return self.clock_read_at < self.held_until

    def may_start(self, now: float) -> bool:
        """Return whether start orders for existing placements may still be sent.

        Between planning and ordering lie a transaction and sometimes a permit request,
        time enough for a worker to become silent, to shrink or to announce that it
        leaves.
        """
        responsive = self.liveness is Liveness.LIVE and not self.unresponsive
        away = self.entry.leaving or self.is_held(now) or not self.entry.readable
        return (
            responsive
            and not away
            and not self.has_unsized()
            and not self.is_overcommitted()
        )

    def is_entry_recent(self, until: float) -> bool:
        """Return whether a task may begin there at a time, by what its entry says.

        Only an entry that was read a short time before shows that the worker had not
        announced for long that it leaves.
        """
        return until <= self.relied_on_until

    def takes_no_orders(self, now: float) -> bool:
        """Return whether it has recently left several orders in a row unanswered.

        A single answer may be lost by chance.
        """
        in_a_row = self.missed_orders >= MISSED_ORDERS_LIMIT
        return in_a_row and self.leaves_orders_unanswered(now)

    def leaves_orders_unanswered(self, now: float) -> bool:
        """Return whether it has recently left an order unanswered."""
        return now < self.orders_unanswered_until

    def record_missed_order(self, now: float) -> None:
        """Record that an order was not answered."""
        if not self.leaves_orders_unanswered(now):
            self.missed_orders = 0
        self.missed_orders += 1
        self._pause_orders(now, self.missed_order_pause_s)

    def record_unanswered_start(self, now: float) -> None:
        """Record that no copy of a start was answered; lengthens the pause."""
        pause_s = min(MAX_MISSED_ORDER_PAUSE_S, 2 * self.missed_order_pause_s)
        self._pause_orders(now, pause_s)
        self.missed_order_pause_s = pause_s

    def _pause_orders(self, now: float, pause_s: float) -> None:
        self.orders_unanswered_until = max(self.orders_unanswered_until, now + pause_s)

    def record_answered_order(self) -> None:
        """Record that an order was answered."""
        self.missed_orders = 0
        self.missed_order_pause_s = MISSED_ORDER_PAUSE_S
        self.orders_unanswered_until = float("-inf")

    def is_overcommitted(self) -> bool:
        """Return whether more is placed there than its (possibly shrunk) capacity."""
        return not self.used.fits_in(self.entry.capacity)

    def has_unsized(self) -> bool:
        """Return whether anything runs there whose resource needs are unknown."""
        return self.unsized > 0

    def survived_s(self, placement: Placement) -> float:
        """Return how long after an attempt began this worker last answered.

        Infinite for an attempt of an earlier owner, which began before the takeover or
        not at all.
        """
        if not placement.running:
            return 0.0
        survived_s = self.clock_read_at - placement.running_since
        if placement.began_ms is not None:
            # The owner may have read the answer long after it was given.
            by_worker_s = (self.worker_time_ms - placement.began_ms) / 1000
            survived_s = min(survived_s, by_worker_s)
        return max(0.0, survived_s)

    def is_seen_past_crash_window(self, placement: Placement) -> bool:
        """Return whether this owner knows that an attempt outlived the crash window.

        A start by an earlier owner may have been carried out just before this one heard
        of it.
        """
        if not placement.is_adopted:
            return self.outlived_crash_window(placement)
        if placement.listed_at is None:
            return False
        return self.clock_read_at - placement.listed_at >= CRASH_WINDOW_S

    def counts(self, placement: Placement) -> bool:
        """Return whether a placement still counts here."""
        return self.placements.get((placement.task, placement.attempt)) is placement

    def count(self, placement: Placement) -> None:
        """Add a placement and reserve its resources."""
        self.placements[(placement.task, placement.attempt)] = placement
        self.unsized += placement.unsized
        self.used = self.used.plus(placement.needs)
        if placement.is_startable:
            self.startable = self.startable.plus(placement.needs)
        self._update_free()

    def uncount(self, placement: Placement) -> None:
        """Remove a placement that is proved to be over; idempotent."""
        if self.placements.pop((placement.task, placement.attempt), None) is None:
            return
        self.unsized -= placement.unsized
        self.used = self.used.minus(placement.needs)
        if placement.is_startable:
            self.startable = self.startable.minus(placement.needs)
        self._update_free()

    def mark_startable(self, placement: Placement) -> None:
        """Record that a start of a counted placement may be carried out late."""
        if not placement.is_startable and self.counts(placement):
            self.startable = self.startable.plus(placement.needs)
            self._update_free()
        placement.is_startable = True

    def mark_unstartable(self, placement: Placement) -> None:
        """Record that no start of a running placement can be carried out any more."""
        if placement.is_startable and self.counts(placement):
            self.startable = self.startable.minus(placement.needs)
            self._update_free()
        placement.is_startable = False

    def reserve_late(self, amounts: Amounts) -> None:
        """Set what attempts reserve that no longer count here but may start late."""
        self.reserved_late = amounts
        self._update_free()

    def free_without(self, amounts: Amounts) -> Amounts:
        """Return what would be free if part of what runs here were stopped."""
        next_incarnation = self.startable.plus(self.reserved_late)
        reserved = self.used.minus(amounts).elementwise_max(next_incarnation)
        return self.entry.capacity.minus(reserved)

    def _update_free(self) -> None:
        if self.startable is NOTHING and self.reserved_late is NOTHING:
            self.free = self.entry.capacity.minus(self.used)
            return
        # What runs here and what the next incarnation may start never run together.
        self.free = self.free_without(NOTHING)

    def record_end(self, number: int, task: str) -> None:
        """Record a task end that was received."""
        self.heard_upto = max(self.heard_upto, number)
        self.unstored_ends.append((number, task))

    def acknowledge(self, number: int) -> None:
        """Record that every task end up to a number was stored."""
        self.ended_upto = max(self.ended_upto, number)
        while self.unstored_ends and self.unstored_ends[0][0] <= number:
            self.unstored_ends.popleft()

    def update(self, entry: WorkerEntry) -> None:
        """Apply a newer entry of the same incarnation."""
        self.entry = entry
        self.max_capacity = self.max_capacity.elementwise_max(entry.capacity)
        self._update_free()

    def update_clock(self, worker_time_ms: int, now: float) -> None:
        """Record the worker's clock as of an answer."""
        if worker_time_ms >= self.worker_time_ms:
            self.worker_time_ms = worker_time_ms
            self.clock_read_at = now
            self.unresponsive = False

    def least_clock_ms(self, now: float, clock_error: float) -> int:
        """Return what this incarnation's clock shows at the given time, at least."""
        since = (now - self.clock_read_at) * (1 - clock_error)
        return self.worker_time_ms + int(since * 1000)

    def grant(self, lease_s: float, now: float, clock_error: float) -> int:
        """Count a lease as granted and return its end on the worker's clock."""
        since = now - self.clock_read_at
        end_ms = self.worker_time_ms + round((since + lease_s) * 1000)
        longest = (since + lease_s) / (1 - clock_error)
        self.leases_end_at = max(self.leases_end_at, self.clock_read_at + longest)
        return end_ms

    def record_attempt_failure(self, job_id: str, now: float) -> bool:
        """Record a failed attempt; return whether the worker is now quarantined."""
        self.failures += 1
        self.failed_jobs.add(job_id)
        enough = self.failures >= QUARANTINE_AFTER and len(self.failed_jobs) > 1
        if not (enough or self.is_probed):
            return False
        self.quarantine(now)
        return True

    def quarantine(self, now: float) -> None:
        """Give it no work for a while, longer each time, and then probe it."""
        self.rest_s = min(MAX_QUARANTINE_S, self.rest_s * 2 or INITIAL_QUARANTINE_S)
        self.quarantined_until = now + self.rest_s
        self.is_probed = True

    def record_attempt_success(self, planned_at: float = float("-inf")) -> None:
        """Record an attempt that completed; ends probing.

        Args:
            planned_at: When it was planned, on the owner's clock; one from since the
                quarantine began ends that as well.
        """
        if planned_at >= self.quarantined_until - self.rest_s:
            self.quarantined_until = float("-inf")
        self.failures = 0
        self.failed_jobs.clear()
        self.rest_s = 0.0
        self.is_probed = False


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """All workers that an owner knows.

    Attributes:
        workers: The workers, by incarnation name.
        newest: The newest incarnation of each worker, by identity.
        generation: Incremented with each restart that is detected and each unanswered
            start that a later incarnation could carry out, so that no worker receives a
            lower fence than it has seen, even if it was removed in between.
        worker_failures: The failures of workers.
        late_starts: Start orders that may still be carried out.
    """

    workers: dict[str, FleetWorker] = attrs.field(factory=dict)
    generation: int = 0
    late_starts: LateStarts = attrs.field(factory=LateStarts)
    newest: dict[str, FleetWorker] = attrs.field(factory=dict)
    worker_failures: WorkerFailures = attrs.field(factory=WorkerFailures)

    def add(self, worker: FleetWorker) -> None:
        """Add an incarnation as the newest of its worker."""
        worker.generation = self.generation
        self.workers[worker.name] = worker
        self.newest[worker.entry.worker] = worker
        self.update_late_reservation(worker.entry.worker)

    def update_late_reservation(self, identity: str) -> None:
        """Reserve what orders for earlier incarnations may start on the newest one."""
        worker = self.newest.get(identity)
        if worker is not None:
            worker.reserve_late(self.late_starts.reserved_on(identity))

    def replace_incarnation(
        self, previous: FleetWorker, entry: WorkerEntry, now: float
    ) -> FleetWorker:
        """Add the successor of an incarnation and return it."""
        previous.liveness = Liveness.RESTARTED
        previous.listed = False
        self.generation += 1
        after = FleetWorker(entry=entry, previous=previous, added_at=now)
        self.add(after)
        return after

    def outdate_orders(self, worker: FleetWorker) -> None:
        """Raise a worker's fence: after its next order it refuses all earlier ones."""
        self.generation += 1
        worker.generation = self.generation

    def remove(self, worker: FleetWorker) -> None:
        """Remove an incarnation."""
        del self.workers[worker.name]
        if self.newest.get(worker.entry.worker) is worker:
            del self.newest[worker.entry.worker]

    def record_worker_failure(self, worker: FleetWorker, now: float) -> None:
        """Record that a worker was found silent or replaced."""
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
        self.worker_failures.record_failure(worker.entry.address, failure)

    def silent_s(self, worker: FleetWorker, now: float) -> float:
        """Return for how long a worker is known not to answer; 0 if it does."""
        failure = self.worker_failures.by_address.get(worker.entry.address)
        away = worker.liveness in (Liveness.SILENT, Liveness.RESTARTED)
        if failure is None or not away:
            return 0.0
        return now - failure.detected_at

    def failure_of(self, worker: FleetWorker) -> WorkerFailure | None:
        """Return the latest failure recorded at a worker's address, if any."""
        return self.worker_failures.by_address.get(worker.entry.address)

    def heard_until(self) -> float:
        """Return the time since which every worker believed to run has answered."""
        return min(
            (
                each.clock_read_at
                for each in self.workers.values()
                if each.liveness is Liveness.LIVE
            ),
            default=float("inf"),
        )

    def failures_correlated_with(
        self, worker: FleetWorker, failure: WorkerFailure | None = None
    ) -> CorrelatedFailures:
        """Return the failures that may have the same cause as a worker's.

        Args:
            worker: The failed worker.
            failure: Its failure; None for the latest at its address.
        """
        racks = set(worker.entry.racks)
        own = worker.entry.address
        rack_addresses = {
            each.entry.address
            for each in self.workers.values()
            if each.entry.address != own and not racks.isdisjoint(each.entry.racks)
        }
        return self.worker_failures.correlated_with(own, rack_addresses, failure)

    def workers_in_pool(self, pool: str) -> list[FleetWorker]:
        """Return the workers of one pool."""
        return [each for each in self.workers.values() if each.entry.pool == pool]


def attempts_by_key(running: tuple[RunningTask, ...]) -> dict[AttemptKey, RunningTask]:
    """Return a worker's running tasks, by task and attempt."""
    return {(each.task, each.attempt): each for each in running}
