"""Tests each way in which an attempt of the scheduler's own jobs loses its worker.

The failure: a task was shown as failed although it had crashed no worker. Each attempt
that was lost with its worker counted, unless its owner had known it for a second. The
same for jobs of several steps is tests/test_loss_kinds.py.
"""

import asyncio
from collections.abc import Callable

import attrs
import pytest

from cranberrycleat.clock import ManualClock
from cranberrycleat.jobs import JobSpec, Kind, Program, TaskRecord, TaskState
from cranberrycleat.lease import OwnershipLease
from cranberrycleat.link import LinkTimes, WorkerLink, inherited_leases
from cranberrycleat.messages import InboxEntry, JobPart
from cranberrycleat.shard import Shard
from cranberrycleat.standins.table import MemoryTable
from cranberrycleat.standins.worker import WorkerFaults
from cranberrycleat.table import Row
from tests.fakes import DirectWorker, direct_worker, run_async

START_LIMIT = 5
"""Starts of a task that crashes every worker that starts it."""
ROUNDS = 2 * START_LIMIT
WORKERS = 9
TIMES = LinkTimes(lease_s=10.0, order_s=2.0, release_after_s=60.0)
OWNER_LEASE_S = 5.0
STEP_S = 1.0
LONG_S = 3.0
GANG_TASKS = 3


@attrs.define(kw_only=True, eq=False)
class Deployment:
    """One job on workers that are lost one after the other, whoever owns the shard.

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
        spec = JobSpec(
            name="job",
            kind=self.kind,
            processors=4.0,
            program=Program(command="serve", run_s=1000.0),
        )
        count = GANG_TASKS if self.kind is Kind.GANG else 1
        part = JobPart(spec=spec, indices=tuple(range(count)))
        self.sync()
        self.shard.apply_change(InboxEntry(id="1", submit=part))

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

    @property
    def record(self) -> TaskRecord:
        """The record of the job's first task."""
        return self.shard.record("job/0")

    def sync(self) -> None:
        """Sync with all workers, and check their leases and whether they leave."""
        run_async(self._sync())
        self._store()

    async def _sync(self) -> None:
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
            run_async(self.lease.commit())
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
        idle = [
            name
            for name, each in self.shard.inventory.workers.items()
            if not each.tasks
        ]
        return idle[0], idle[1]

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


def _crashed_at_start_after_takeover(env: Deployment) -> None:
    on = env.start()
    env.take_over()
    env.sync()
    env.crash(on)


def _drained(env: Deployment) -> None:
    on = env.start(ran_s=LONG_S)
    env.workers[on].standin.faults = WorkerFaults(leaving=True)
    env.run(2 * TIMES.drain_s)
    env.expire(on)
    env.crash(on)


Way = Callable[[Deployment], None]
NOT_COUNTED: dict[str, Way] = {
    "never sent": _never_sent,
    "refused": _refused,
    "unanswered, then heard": _unanswered_then_heard,
    "crashed later": _crashed_later,
    "silent later": _silent_later,
    "partitioned, heard with the task": _partitioned_with_task,
    "crashed during a takeover": _crashed_during_takeover,
    "never sent before a takeover": _unsent_during_takeover,
    "unreached after a takeover": _unreached_after_takeover,
    "drained": _drained,
}
COUNTED: dict[str, Way] = {
    "crashed": _crashed,
    "unanswered, then crashed": _unanswered_then_crashed,
    "unanswered, then silent": _unanswered_then_silent,
    "crashed before a takeover": _crashed_before_takeover,
    "crashed at its start, after a takeover": _crashed_at_start_after_takeover,
}


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
        assert env.record.state is not TaskState.FAILED
        lose(env)
    assert env.record.state is TaskState.FAILED
    assert env.record.attempt == START_LIMIT
