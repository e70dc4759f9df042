"""Leases and orders between owner and worker, on manual clocks."""

import asyncio
import copy
import socket

import attrs
import pytest

from cranberrycleat import errors
from cranberrycleat.clock import ManualClock
from cranberrycleat.jobs import JobSpec, Kind, Program, TaskState
from cranberrycleat.lease import OwnershipLease
from cranberrycleat.link import LinkTimes, WorkerLink, inherited_leases
from cranberrycleat.messages import HostState, InboxEntry, JobPart, Outcome, SyncOrder
from cranberrycleat.shard import Shard
from cranberrycleat.standins.table import MemoryTable
from cranberrycleat.standins.worker import WorkerFaults
from cranberrycleat.worker_http import HttpWorker
from tests.fakes import DirectWorker, direct_worker, run_async

LEASE_S = 10.0
MAX_ATTEMPTS = 5
"""Starts of a task that crashes every worker that starts it."""
TIMES = LinkTimes(lease_s=10.0, order_s=2.0, release_after_s=60.0)


@attrs.define(kw_only=True)
class Owner:
    """One owner with a link to one worker."""

    clock: ManualClock
    lease: OwnershipLease
    shard: Shard
    link: WorkerLink
    client: DirectWorker

    def sync(self) -> None:
        """Sync with the worker once, and check the leases."""
        run_async(self._sync())

    async def _sync(self) -> None:
        await self.link._sync()
        self.link._check_leases()

    def plan_round(self) -> None:
        """Plan a round and mark it as durable."""
        self.shard.confirm(self.shard.plan())

    def renew(self) -> None:
        """Renew the ownership lease."""
        run_async(self.lease.commit())

    def state(self) -> tuple[TaskState, int]:
        """Return the state and attempt of the only task."""
        record = next(iter(self.shard.jobs.values())).tasks[0]
        return record.state, record.attempt


def make_owner(
    table: MemoryTable, clock: ManualClock, client: DirectWorker, name: str = "a"
) -> Owner:
    """Return an owner that has just acquired the lease."""
    lease = OwnershipLease(
        table=table, clock=clock, key="lease", holder=name, lease_s=LEASE_S
    )
    assert run_async(lease.acquire())
    shard = Shard(data_centre="dc-a", now=clock.now)
    shard.update_hosts([client.standin.entry])
    inherited = inherited_leases(
        now=clock.now(), silent=lease.takeover_unreleased, times=TIMES
    )
    link = WorkerLink(
        entry=client.standin.entry,
        client=client,
        shard=shard,
        lease=lease,
        clock=clock,
        times=TIMES,
        keep_until=inherited.keep_until,
        release_until=inherited.release_until,
        on_change=asyncio.Event(),
    )
    return Owner(clock=clock, lease=lease, shard=shard, link=link, client=client)


def running(kind: Kind = Kind.SERVICE) -> tuple[Owner, MemoryTable, ManualClock]:
    """Return an owner whose only task runs on the worker."""
    clock = ManualClock(time_s=100.0)
    client = direct_worker(ManualClock(time_s=7.0))
    table = MemoryTable()
    owner = make_owner(table, clock, client)
    program = Program(command="serve", run_s=1000.0)
    spec = JobSpec(name="job", kind=kind, program=program)
    owner.sync()
    owner.shard.apply_change(
        InboxEntry(id="1", submit=JobPart(spec=spec, indices=(0,)))
    )
    owner.plan_round()
    owner.sync()
    owner.sync()
    assert runs(client)
    return owner, table, clock


def runs(client: DirectWorker) -> bool:
    """Return whether the worker runs the task, according to the worker's clock."""
    client.standin.expire()
    task = client.standin.tasks.get("job/0")
    return task is not None and task.outcome is Outcome.RUNNING


def advance_clocks(owner: Owner, seconds: float) -> None:
    """Advance the owner's and the worker's clock."""
    owner.clock.advance(seconds=seconds)
    worker_clock = owner.client.standin.clock
    assert isinstance(worker_clock, ManualClock)
    worker_clock.advance(seconds=seconds)


def test_task_stops_when_its_lease_expires() -> None:
    """A worker that no owner reaches stops its task when the lease expires."""
    owner, _, _ = running()
    advance_clocks(owner, TIMES.lease_s - 0.1)
    assert runs(owner.client)
    advance_clocks(owner, 0.2)
    assert not runs(owner.client)


def test_lost_worker_tasks_move_only_after_lease_expiry() -> None:
    """A task is given up only once its worker must have stopped it."""
    owner, _, _ = running()
    owner.client.disconnected = True
    while owner.state()[0] is TaskState.PLACED:
        assert owner.clock.now() < 200, "never given up"
        advance_clocks(owner, 0.5)
        owner.renew()
        owner.sync()
    assert not runs(owner.client)


def test_expired_owner_starts_no_tasks() -> None:
    """Without the ownership lease an owner renews tasks but starts none."""
    owner, _, _ = running()
    for _ in range(3):
        advance_clocks(owner, 5.0)
        owner.sync()
    spec = JobSpec(name="more", kind=Kind.BATCH, program=Program(run_s=1000.0))
    owner.shard.apply_change(
        InboxEntry(id="2", submit=JobPart(spec=spec, indices=(0,)))
    )
    owner.plan_round()
    for _ in range(8):
        advance_clocks(owner, 5.0)
        owner.sync()
    assert runs(owner.client)
    assert "more/0" not in owner.client.standin.tasks


@pytest.mark.parametrize(
    ("kind", "lapsed_s", "still"),
    [
        (Kind.BATCH, 50.0, True),
        (Kind.BATCH, 80.0, False),
        (Kind.SERVICE, 500.0, True),
    ],
)
def test_renewals_by_expired_owner(kind: Kind, lapsed_s: float, still: bool) -> None:
    """`keep` tasks are renewed indefinitely, others for a bounded time."""
    owner, _, _ = running(kind)
    advance_clocks(owner, LEASE_S - 1)
    owner.sync()
    for _ in range(int(lapsed_s / 5) + 1):
        advance_clocks(owner, 5.0)
        owner.sync()
    assert runs(owner.client) is still


def test_expired_order_is_rejected() -> None:
    """A start order that was delayed past its bound starts nothing on arrival."""
    owner, _, _ = running()
    spec = JobSpec(name="more", kind=Kind.BATCH, program=Program(run_s=1000.0))
    owner.shard.apply_change(
        InboxEntry(id="2", submit=JobPart(spec=spec, indices=(0,)))
    )
    owner.plan_round()
    owner.client.intercept = True
    owner.sync()
    advance_clocks(owner, TIMES.order_s + 0.1)
    with pytest.raises(errors.ProblemError) as caught:
        owner.client.standin.apply_orders(owner.client.late[0])
    assert caught.value.code == errors.EXPIRED_ORDER
    assert "more/0" not in owner.client.standin.tasks


def successor(owner: Owner, table: MemoryTable) -> Owner:
    """Return a second owner, after the first stopped renewing its lease."""
    clock = ManualClock()
    watcher = OwnershipLease(
        table=table, clock=clock, key="lease", holder="b", lease_s=LEASE_S
    )
    run_async(watcher.acquire())
    clock.advance(seconds=LEASE_S * 1.02)
    for _ in range(2):
        advance_clocks(owner, LEASE_S * 0.51)
        owner.sync()
    client = DirectWorker(standin=owner.client.standin)
    second = make_owner_from(watcher, clock, client)
    second.shard.jobs.clear()
    for job in owner.shard.jobs.values():
        second.shard._load_job(copy.deepcopy(job))
    return second


def make_owner_from(
    lease: OwnershipLease, clock: ManualClock, client: DirectWorker
) -> Owner:
    """Return an owner with a given lease, which has observed the first owner's."""
    owner = make_owner(MemoryTable(), clock, client)
    assert run_async(lease.acquire())
    owner.lease = owner.link.lease = lease
    inherited = inherited_leases(
        now=clock.now(), silent=lease.takeover_unreleased, times=TIMES
    )
    owner.link.keep_until = inherited.keep_until
    owner.link.release_until = inherited.release_until
    return owner


def test_worker_rejects_an_older_epoch() -> None:
    """Once the successor has synced with the worker, the first owner is fenced off."""
    owner, table, _ = running()
    second = successor(owner, table)
    second.sync()
    owner.sync()
    assert not owner.lease.is_holder
    assert second.client.standin.epoch == 2


@pytest.mark.parametrize(("kind", "freed"), [(Kind.SERVICE, False), (Kind.BATCH, True)])
def test_successor_that_cannot_reach_the_worker(kind: Kind, freed: bool) -> None:
    """The first owner may still renew: only tasks that are not `keep` are given up."""
    owner, table, _ = running(kind)
    second = successor(owner, table)
    second.client.disconnected = True
    for _ in range(60):
        second.clock.advance(seconds=2.0)
        advance_clocks(owner, 2.0)
        owner.sync()
        run_async(second.lease.commit())
        second.sync()
        if runs(owner.client):
            assert second.state()[0] is TaskState.PLACED, "given up too early"
    assert (second.state()[0] is not TaskState.PLACED) is freed
    assert runs(owner.client) is not freed


def test_operator_declares_worker_dead() -> None:
    """An operator's declaration frees tasks whose leases would never expire."""
    owner, table, _ = running()
    second = successor(owner, table)
    second.client.disconnected = True
    second.sync()
    second.sync()
    second.link.mark_declared_dead()
    second.sync()
    assert second.state()[0] is TaskState.PENDING


def test_restarted_worker_has_lost_its_tasks() -> None:
    """A new incarnation runs none of the old one's tasks; they are started again."""
    owner, _, _ = running()
    owner.client.standin = direct_worker(ManualClock()).standin
    owner.sync()
    owner.sync()
    assert owner.state() == (TaskState.PENDING, 1)
    owner.plan_round()
    owner.sync()
    owner.sync()
    assert owner.state() == (TaskState.PLACED, 2)
    assert runs(owner.client)


# Guards against a worker that has drained and started again under its name, and gets no
# work, or whose services are stopped as soon as they start.
def test_worker_that_is_back_after_a_drain_keeps_its_services() -> None:
    owner, _, _ = running()
    owner.client.standin.faults = WorkerFaults(leaving=True)
    owner.sync()
    advance_clocks(owner, TIMES.drain_s)
    owner.renew()
    owner.link._check_drain()
    assert owner.shard.active["job/0"].stopping
    owner.client.standin = direct_worker(ManualClock()).standin
    owner.sync()
    owner.sync()
    owner.plan_round()
    owner.sync()
    owner.link._check_drain()
    assert not owner.shard.active["job/0"].stopping
    assert runs(owner.client)


def listed_as(owner: Owner, state: HostState) -> None:
    """Have the platform's list show a state of the worker."""
    owner.shard.update_hosts([attrs.evolve(owner.link.entry, state=state)])


def submit_batch(owner: Owner) -> None:
    """Submit a job of one task."""
    program = Program(command="run", run_s=1000.0)
    spec = JobSpec(name="job", kind=Kind.BATCH, program=program)
    owner.shard.apply_change(
        InboxEntry(id="1", submit=JobPart(spec=spec, indices=(0,)))
    )


# Guards against a start on a worker that leaves (DRAIN): the list showed it when the
# owner first read it, and it was taken for new; or it fell silent meanwhile.
@pytest.mark.parametrize("silent_between", [False, True])
@pytest.mark.parametrize("announced_by", ["list", "worker"])
def test_leaving_worker_is_given_no_task(
    announced_by: str, silent_between: bool
) -> None:
    clock = ManualClock(time_s=100.0)
    client = direct_worker(ManualClock(time_s=7.0))
    if announced_by == "list":
        client.standin.entry = attrs.evolve(
            client.standin.entry, state=HostState.LEAVING
        )
    owner = make_owner(MemoryTable(), clock, client)
    client.standin.entry = attrs.evolve(client.standin.entry, state=HostState.LIVE)
    if announced_by == "worker":
        client.standin.faults = WorkerFaults(leaving=True)
    owner.sync()
    client.standin.faults = WorkerFaults()
    if silent_between:
        owner.shard.worker_silent(owner.link.entry.name)
    owner.sync()
    submit_batch(owner)
    owner.plan_round()
    owner.sync()
    owner.sync()
    assert not runs(client)
    assert owner.state()[0] is TaskState.PENDING


# Guards against a start that was placed before the worker announced its leaving, and is
# sent after that.
def test_placement_that_was_not_ordered_leaves_a_leaving_worker() -> None:
    clock = ManualClock(time_s=100.0)
    client = direct_worker(ManualClock(time_s=7.0))
    owner = make_owner(MemoryTable(), clock, client)
    owner.sync()
    submit_batch(owner)
    owner.plan_round()
    assert owner.state()[0] is TaskState.PLACED
    listed_as(owner, HostState.LEAVING)
    owner.sync()
    owner.link._check_drain()
    owner.sync()
    assert not runs(client)
    assert owner.state()[0] is TaskState.PENDING


def test_worker_that_the_list_shows_as_live_again_gets_tasks() -> None:
    """Names are used again in this list, which does not tell incarnations apart."""
    clock = ManualClock(time_s=100.0)
    client = direct_worker(ManualClock(time_s=7.0))
    owner = make_owner(MemoryTable(), clock, client)
    listed_as(owner, HostState.LEAVING)
    owner.sync()
    listed_as(owner, HostState.LIVE)
    owner.sync()
    submit_batch(owner)
    owner.plan_round()
    owner.sync()
    owner.sync()
    assert runs(client)


# Guards against a start that counts as sent although no connection was established, so
# that the loss of the worker counts against the task.
def test_order_without_connection_is_not_sent() -> None:
    async def send() -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            client = HttpWorker(url=f"http://127.0.0.1:{unused.getsockname()[1]}")
            try:
                await client.sync(SyncOrder(holder="a", epoch=1))
            finally:
                await client.close()

    with pytest.raises(errors.NotSent):
        run_async(send())


def test_task_that_crashes_its_worker_is_eventually_failed() -> None:
    """Each attempt restarts its worker, which then reports no failure of the task.

    Guards the scheduler's own jobs against the fault that tests/test_crashing_tasks.py
    covers for stepped jobs: an attempt lost with its worker does not count as failed,
    so the task would be retried forever.
    """
    owner, _, _ = running(Kind.BATCH)
    for _ in range(MAX_ATTEMPTS):
        before = owner.client.standin
        clock = before.clock
        assert isinstance(clock, ManualClock)
        owner.client.standin = direct_worker(clock).standin
        advance_clocks(owner, 0.1)
        owner.renew()
        owner.sync()
        owner.sync()
        owner.plan_round()
        owner.sync()
    assert owner.state()[0] is TaskState.FAILED
    assert owner.state()[1] <= MAX_ATTEMPTS
