"""Tests each way in which an attempt of the scheduler's own jobs loses its worker.

The failure: a task was shown as failed although it had crashed no worker. Each attempt
that was lost with its worker counted, unless its owner had known it for a second. The
same for jobs of several steps is tests/test_loss_kinds.py.
"""

import asyncio
import logging
from collections.abc import Callable

import attrs
import pytest

from cranberrycleat import codec
from cranberrycleat.clock import ManualClock
from cranberrycleat.jobs import JobRow, JobSpec, Kind, Program, TaskRecord, TaskState
from cranberrycleat.lease import OwnershipLease
from cranberrycleat.link import LinkTimes, WorkerLink, inherited_leases
from cranberrycleat.messages import InboxEntry, JobPart
from cranberrycleat.shard import Shard
from cranberrycleat.standins.table import MemoryTable
from cranberrycleat.standins.worker import WorkerFaults
from cranberrycleat.table import Row
from cranberrycleat.workflow.crash_attribution import LossKind
from tests.fakes import DirectWorker, direct_worker, run_async

START_LIMIT = 5
"""Starts of a task that crashes every worker that starts it."""
ROUNDS = 2 * START_LIMIT
WORKERS = 9
TIMES = LinkTimes(lease_s=6.0, order_s=1.0, drain_s=2.0)
OWNER_LEASE_S = 5.0
STEP_S = 1.0
LONG_S = 3.0
GANG_TASKS = 3


@attrs.define(kw_only=True, eq=False)
class Deployment:
    """A job on workers that are lost one after the other, whoever owns the shard.

    Each worker has room for one task and a rack of its own.

    Attributes:
        kind: The kind of the job.
        clock: The clock of the owners and the workers.
        table: Holds the ownership lease.
        rows: What owners have stored.
        workers: The workers, by name.
        owners: How many owners there have been.
    """

    kind: Kind
    clock: ManualClock = attrs.field(factory=lambda: ManualClock(time_s=100.0))
    table: MemoryTable = attrs.field(factory=MemoryTable)
    rows: dict[str, str] = attrs.field(factory=dict)
    workers: dict[str, DirectWorker] = attrs.field(factory=dict)
    owners: int = 0
    shard: Shard = attrs.field(init=False)
    lease: OwnershipLease = attrs.field(init=False)
    links: dict[str, WorkerLink] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        for number in range(WORKERS):
            self._restart(f"w{number}")
        self._new_owner()
        self.sync()
        self.submit("job")

    def _restart(self, name: str) -> None:
        """Replace a worker by another incarnation, which runs nothing."""
        standin = direct_worker(self.clock, name).standin
        standin.entry = attrs.evolve(standin.entry, rack=f"rack-of-{name}")
        if name in self.workers:
            self.workers[name].standin = standin
        else:
            self.workers[name] = DirectWorker(standin=standin)

    def _new_owner(self) -> None:
        self.owners += 1
        self.lease = OwnershipLease(
            table=self.table,
            clock=self.clock,
            key="lease",
            holder=f"owner-{self.owners}",
            lease_s=OWNER_LEASE_S,
        )
        assert run_async(self.lease.acquire())
        self.shard = Shard(data_centre="dc-a", now=self.clock.now)
        self.shard.load(
            Row(key=key, value=value, version=1) for key, value in self.rows.items()
        )
        inherited = inherited_leases(now=self.clock.now(), silent=False, times=TIMES)
        entries = [each.standin.entry for each in self.workers.values()]
        self.links = {
            entry.name: WorkerLink(
                entry=entry,
                client=self.workers[entry.name],
                shard=self.shard,
                lease=self.lease,
                clock=self.clock,
                times=TIMES,
                keep_until=inherited.keep_until,
                release_until=inherited.release_until,
                on_change=asyncio.Event(),
            )
            for entry in self.shard.update_hosts(entries)
        }

    def submit(self, name: str) -> None:
        """Submit a job of tasks that take a worker each."""
        spec = JobSpec(
            name=name,
            kind=self.kind,
            processors=4.0,
            program=Program(command="serve", run_s=1000.0),
        )
        count = GANG_TASKS if self.kind is Kind.GANG else 1
        part = JobPart(spec=spec, indices=tuple(range(count)))
        self.shard.apply_change(InboxEntry(id=name, submit=part))

    @property
    def record(self) -> TaskRecord:
        """The record of the job's first task."""
        return self.shard.record("job/0")

    @property
    def failed(self) -> bool:
        """Whether the job's first task has failed."""
        return self.record.state is TaskState.FAILED

    def sync(self) -> None:
        """Renew the ownership, sync with all workers and check their leases."""
        run_async(self._sync())
        self._store()

    async def _sync(self) -> None:
        await self.lease.commit()
        for link in self.links.values():
            await link._sync()
            link._check_leases()
            link._check_drain()

    def _store(self) -> None:
        self.rows.update({put.key: put.value for put in self.shard.dirty_puts()})

    def run(self, seconds: float) -> None:
        """Let time pass; the owner goes on syncing and renewing its lease."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(seconds=STEP_S)
            self.sync()

    def place(self) -> str:
        """Place the next attempt; return the worker of the first task."""
        for _ in range(WORKERS):
            if self.record.state is not TaskState.PENDING:
                break
            plan = self.shard.plan()
            self._store()
            self.shard.confirm(plan)
            if not plan.assignments:
                self.run(STEP_S)
        assert self.record.state is TaskState.PLACED
        return self.record.worker

    def start(self, *, ran_s: float = 0.0) -> str:
        """Start the next attempt; return the worker of the first task.

        Args:
            ran_s: How long after that the workers answer last.
        """
        on = self.place()
        self.sync()
        self.run(ran_s)
        assert self.record.worker == on
        return on

    def disconnect(self, *names: str) -> None:
        """Partition workers from the owner, which finds them silent."""
        for name in names:
            self.workers[name].disconnected = True
        self.run(2 * STEP_S)

    def reconnect(self, *names: str) -> None:
        """End the partition."""
        for name in names:
            self.workers[name].disconnected = False
        self.run(2 * STEP_S)

    def crash(self, *names: str, down_s: float = 0.0) -> None:
        """Crash workers, which then start again."""
        if down_s:
            for name in names:
                self.workers[name].disconnected = True
            self.run(down_s)
        for name in names:
            self._restart(name)
            self.workers[name].disconnected = False
        # The first order is refused, since it is for the incarnation before.
        self.sync()
        self.sync()
        self.run(2 * STEP_S)

    def expire(self, *names: str) -> None:
        """Let silent workers' leases expire."""
        for name in names:
            self.workers[name].disconnected = True
        self.run(2 * (TIMES.lease_s + TIMES.order_s))

    def others(self) -> tuple[str, str]:
        """Return two workers without a task of the job."""
        workers = self.shard.inventory.workers.values()
        first, second, *_ = [each.name for each in workers if not each.tasks]
        return first, second

    def take_over(self) -> None:
        """Replace the owner, which has released its lease."""
        self._store()
        run_async(self.lease.release())
        self._new_owner()


def _never_sent(env: Deployment) -> None:
    """The worker falls silent while the placement is being stored."""
    plan = env.shard.plan()
    on = env.record.worker
    env.disconnect(on)
    env.shard.confirm(plan)
    env.expire(on)
    env.crash(on)


def _refused(env: Deployment) -> None:
    """The order was for the incarnation before."""
    env.crash(env.place())


def _unconnected(env: Deployment) -> None:
    """The worker crashes by itself before the start is sent."""
    on = env.place()
    env.workers[on].refuses_connections = True
    env.run(2 * STEP_S)
    env.workers[on].refuses_connections = False
    env.crash(on)


def _unanswered_then_crashed(env: Deployment) -> None:
    on = env.place()
    env.disconnect(on)
    env.crash(on)


def _unanswered_then_silent(env: Deployment) -> None:
    on = env.place()
    env.expire(on)
    env.crash(on)


def _unanswered_then_heard(env: Deployment) -> None:
    """The order was lost; the same incarnation answers and gets it again."""
    on = env.place()
    env.disconnect(on)
    env.reconnect(on)
    assert env.record.worker == on
    _stop(env)


def _stop(env: Deployment) -> None:
    """End the attempts by order."""
    for active in env.shard.active.values():
        active.stopping = True
    env.run(2 * STEP_S)
    assert env.record.state is TaskState.PENDING


def _crashed(env: Deployment) -> None:
    env.crash(env.start())


def _crashed_and_down(env: Deployment) -> None:
    env.crash(env.start(), down_s=LONG_S)


def _crashed_for_good(env: Deployment) -> None:
    on = env.start()
    env.expire(on)
    env.crash(on)


def _crashed_later(env: Deployment) -> None:
    env.crash(env.start(ran_s=LONG_S))


def _silent_later(env: Deployment) -> None:
    on = env.start(ran_s=LONG_S)
    env.expire(on)
    env.crash(on)


def _partitioned_with_task(env: Deployment) -> None:
    on = env.start()
    env.disconnect(on)
    env.reconnect(on)
    assert env.record.worker == on
    _stop(env)


def _partitioned_without_task(env: Deployment) -> None:
    on = env.start()
    env.expire(on)
    assert env.record.state is TaskState.PENDING
    env.reconnect(on)


def _unanswered_then_partitioned(env: Deployment) -> None:
    on = env.place()
    env.expire(on)
    assert env.record.state is TaskState.PENDING
    env.reconnect(on)


def _partitioned_across_takeover(env: Deployment) -> None:
    """The loss was recorded by the owner before."""
    on = env.start()
    env.expire(on)
    env.take_over()
    env.reconnect(on)


def _crashed_with_others(env: Deployment) -> None:
    on = env.start()
    env.crash(on, *env.others())


def _crashed_before_others(env: Deployment) -> None:
    """The others' end is noticed later, since they do not start again."""
    on = env.start()
    others = env.others()
    for name in others:
        env.workers[name].disconnected = True
    env.crash(on)
    env.run(LONG_S)
    env.crash(*others)


def _silent_with_others(env: Deployment) -> None:
    on = env.start()
    lost = (on, *env.others())
    env.expire(*lost)
    env.crash(*lost)


def _crashed_before_takeover(env: Deployment) -> None:
    env.crash(env.start())
    env.take_over()
    env.sync()


def _crashed_during_takeover(env: Deployment) -> None:
    on = env.start()
    env.take_over()
    env.crash(on)


def _unsent_during_takeover(env: Deployment) -> None:
    env.place()
    env.take_over()
    env.sync()


def _unreached_after_takeover(env: Deployment) -> None:
    on = env.start(ran_s=LONG_S)
    env.take_over()
    env.expire(on)
    env.crash(on)


def _crashed_after_takeover(env: Deployment) -> None:
    """It has run for long, as its worker tells the new owner."""
    on = env.start(ran_s=LONG_S)
    env.take_over()
    env.sync()
    env.crash(on)


def _crashed_at_start_after_takeover(env: Deployment) -> None:
    on = env.start()
    env.take_over()
    env.sync()
    env.crash(on)


def _left(env: Deployment) -> None:
    """It begins to leave as it starts the task, and is gone soon after."""
    on = env.place()
    env.workers[on].standin.faults = WorkerFaults(leaving=True)
    env.sync()
    env.expire(on)
    env.crash(on)


def _drained(env: Deployment) -> None:
    on = env.start(ran_s=LONG_S)
    env.workers[on].standin.faults = WorkerFaults(leaving=True)
    env.run(2 * TIMES.drain_s)
    env.expire(on)
    env.crash(on)


Way = Callable[[Deployment], None]
TABLE: dict[str, tuple[Way, LossKind | None]] = {
    "never sent": (_never_sent, None),
    "refused": (_refused, None),
    "unconnected": (_unconnected, None),
    "unanswered, then heard": (_unanswered_then_heard, None),
    "unanswered, then crashed": (_unanswered_then_crashed, LossKind.CRASH),
    "unanswered, then silent": (_unanswered_then_silent, LossKind.CRASH),
    "unanswered, heard after its leases": (_unanswered_then_partitioned, None),
    "crashed": (_crashed, LossKind.CRASH),
    "crashed and down for a while": (_crashed_and_down, LossKind.CRASH),
    "crashed for good": (_crashed_for_good, LossKind.CRASH),
    "crashed later": (_crashed_later, None),
    "silent later": (_silent_later, None),
    "partitioned, heard with the task": (_partitioned_with_task, None),
    "partitioned, heard without the task": (_partitioned_without_task, None),
    "partitioned, heard by the next owner": (_partitioned_across_takeover, None),
    "crashed with others": (_crashed_with_others, LossKind.COINCIDENT),
    "crashed before others were noticed": (
        _crashed_before_others,
        LossKind.COINCIDENT,
    ),
    "silent with others": (_silent_with_others, LossKind.COINCIDENT),
    "crashed before a takeover": (_crashed_before_takeover, LossKind.CRASH),
    "crashed during a takeover": (_crashed_during_takeover, None),
    "never sent before a takeover": (_unsent_during_takeover, None),
    "unreached after a takeover": (_unreached_after_takeover, None),
    "crashed at its start, after one": (
        _crashed_at_start_after_takeover,
        LossKind.CRASH,
    ),
    "crashed later, after one": (_crashed_after_takeover, None),
    "left": (_left, None),
    "drained": (_drained, None),
}
"""By how the worker is lost: how to lose it, and the kind of the loss on record."""
NOT_COUNTED = {
    name: lose for name, (lose, kind) in TABLE.items() if kind is not LossKind.CRASH
}
COUNTED = {name: lose for name, (lose, kind) in TABLE.items() if kind is LossKind.CRASH}


@pytest.mark.parametrize("job_kind", Kind, ids=lambda kind: kind.value)
@pytest.mark.parametrize(("lose", "kind"), TABLE.values(), ids=TABLE)
def test_kind_of_each_loss(lose: Way, kind: LossKind | None, job_kind: Kind) -> None:
    """The first of two losses, since it is judged again with the second."""
    env = Deployment(kind=job_kind)
    lose(env)
    lose(env)
    kinds = [loss.kind for loss in env.shard.jobs["job"].losses.get(0, ())]
    assert kinds[:1] == ([] if kind is None else [kind])
    assert env.record.crashes == len(kinds)


# Guards against a task that is shown as failed although nothing tells that it has
# crashed a worker (LOST).
@pytest.mark.parametrize("kind", Kind, ids=lambda kind: kind.value)
@pytest.mark.parametrize("lose", NOT_COUNTED.values(), ids=NOT_COUNTED)
def test_losses_without_evidence_fail_no_task(lose: Way, kind: Kind) -> None:
    env = Deployment(kind=kind)
    for _ in range(ROUNDS):
        lose(env)
        states = {record.state for record in env.shard.jobs["job"].tasks}
        assert TaskState.FAILED not in states


# Guards against a task that crashes its workers without end: a sixth start is not
# allowed.
@pytest.mark.parametrize("kind", Kind, ids=lambda kind: kind.value)
@pytest.mark.parametrize("lose", COUNTED.values(), ids=COUNTED)
def test_task_that_crashes_its_workers_is_failed_in_time(lose: Way, kind: Kind) -> None:
    env = Deployment(kind=kind)
    for _ in range(START_LIMIT):
        assert not env.failed
        lose(env)
    assert env.failed
    assert env.record.attempt == START_LIMIT


# Guards against jobs that crash their workers without end, each taken for the common
# cause by which the others' workers were lost.
def test_jobs_that_crash_workers_at_the_same_moment_are_failed() -> None:
    env = Deployment(kind=Kind.BATCH)
    names = ("job", "second", "third")
    for name in names[1:]:
        env.submit(name)
    for _ in range(START_LIMIT):
        env.start()
        records = [env.shard.record(f"{name}/0") for name in names]
        env.crash(*(record.worker for record in records))
    assert {record.state for record in records} == {TaskState.FAILED}


@attrs.define(kw_only=True)
class OldJobRow:
    """The row before losses were recorded."""

    spec: JobSpec
    data_centre: str
    tasks: list[TaskRecord]
    cancelled: bool = False
    reasons: list[str] = attrs.field(factory=list)


# Guards against rows that the version before or after cannot read, and against a task
# that is failed since an earlier version counted what is no evidence.
def test_versions_read_each_others_rows() -> None:
    env = Deployment(kind=Kind.BATCH)
    _crashed(env)
    ((key, text),) = env.rows.items()
    old = codec.decode(text, OldJobRow)
    assert old.tasks[0].crashes == 1
    old.tasks[0].crashes = START_LIMIT - 1
    env.rows[key] = codec.encode_text(old)
    assert codec.decode(env.rows[key], JobRow).losses == {}
    run_async(env.lease.release())
    env._new_owner()
    env.sync()
    _crashed(env)
    assert not env.failed
    for _ in range(2):
        _crashed(env)
    assert env.failed


# Guards against losses that are taken to be in a row although an attempt has run for
# long between them, whose end the owner that knew did not see.
@pytest.mark.parametrize("kind", Kind, ids=lambda kind: kind.value)
def test_attempt_that_ran_for_long_ends_the_row(kind: Kind) -> None:
    env = Deployment(kind=kind)
    for _ in range(START_LIMIT - 1):
        _crashed(env)
    _unreached_after_takeover(env)
    _crashed(env)
    assert not env.failed
    assert env.record.crashes == 1


# Guards against a task that is shown as failed without a word of the cause.
def test_log_tells_why_a_task_is_failed(caplog: pytest.LogCaptureFixture) -> None:
    env = Deployment(kind=Kind.BATCH)
    with caplog.at_level(logging.INFO, logger="cranberrycleat.losses"):
        for _ in range(START_LIMIT):
            _crashed(env)
    lost = [text for text in caplog.messages if text.startswith("Lost attempt")]
    assert lost == [
        f"Lost attempt {attempt} of job/0 (crash)."
        for attempt in range(1, START_LIMIT + 1)
    ]
    assert caplog.messages[-1].startswith("Task job/0 is taken to crash its workers: w")
    assert caplog.messages[-1].count("(crash)") == START_LIMIT
