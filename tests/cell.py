"""An in-process cell (table, workers and owners) for tests of multi-step jobs."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Mapping

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.clock import Clock, MonotonicClock
from cranberrycleat.http_client import HttpClient
from cranberrycleat.lease import OwnershipLease
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.standins.fleet import SimulatedWorker, StandinFleet
from cranberrycleat.table import Put, Row, Transaction
from cranberrycleat.workflow import options
from cranberrycleat.workflow.access import KeyAuthorizer
from cranberrycleat.workflow.directory import ConfigFollower, WorkerDirectory
from cranberrycleat.workflow.job_frontend import JobFrontend
from cranberrycleat.workflow.membership import Membership
from cranberrycleat.workflow.options import WorkerLeases
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peering import PeerClient, SubmitRequest
from cranberrycleat.workflow.permit_queue import PermitQueue
from cranberrycleat.workflow.ports import (
    ClusterConfig,
    FeedTable,
    LeaseBounds,
    Permit,
    PoolConfig,
    Queue,
    WorkerClient,
    WorkerEntry,
)
from cranberrycleat.workflow.spec import StepSpec, WorkflowSpec
from cranberrycleat.writer import BatchingWriter

POOL = "pool"
BOUNDS = LeaseBounds(longest_lease_s=10.0, clock_error=0.02, stop_s=0.05)
WORKER_LEASE_S = 0.8
OWNER_LEASE_S = 0.5
LATE_ORDER_S = 2.0
"""Tests carry out late orders within this time of their sending."""


def queue(name: str = "q", **changes: object) -> Queue:
    """Return a queue that uses the only pool."""
    base = Queue(
        name=name,
        host="host.example",
        prefix=f"/{name}/",
        pool=POOL,
        max_attempts=2,
        stretch=2.0,
        objective_s=1.0,
    )
    return attrs.evolve(base, **changes)  # type: ignore[arg-type]


def step(count: int = 1, processors: int = 1000, **more: object) -> StepSpec:
    """Return a step of identical tasks."""
    needs = Amounts(processors=processors, memory_mb=100)
    base = StepSpec(count=count, needs=needs, estimate_s=0.05)
    return attrs.evolve(base, **more)  # type: ignore[arg-type]


def job(*steps: StepSpec) -> WorkflowSpec:
    """Return a job with the given steps."""
    return WorkflowSpec(program="program", steps=steps)


def entry(
    name: str, *, processors: int = 4000, rack: str = "r1", born_ms: int = 0
) -> WorkerEntry:
    """Return a worker's entry; with `born_ms` 0, incarnations are not distinguished."""
    return WorkerEntry(
        worker=name,
        pool=POOL,
        address=f"{name}:1",
        data_centre="dc",
        leaving=False,
        capacity=Amounts(processors=processors, memory_mb=4000),
        labels=("a", rack),
        born_ms=born_ms,
    )


@attrs.define(kw_only=True, eq=False)
class AllPermits:
    """A permit service that allows every worker and records its calls."""

    calls: list[tuple[str, tuple[str, ...]]] = attrs.field(factory=list)

    async def ask(
        self, *, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> tuple[Permit, ...]:
        """Allow every worker."""
        self.calls.append((step, workers))
        return tuple(Permit(worker=name, ticket=f"t-{name}") for name in workers)


@attrs.define(kw_only=True, eq=False)
class Cell:
    """A table, workers, and the owners that a test starts."""

    table: MemoryFeedTable = attrs.field(factory=MemoryFeedTable)
    fleet: StandinFleet = attrs.field(factory=StandinFleet)
    clock: Clock = attrs.field(factory=MonotonicClock)
    permits: AllPermits = attrs.field(factory=AllPermits)
    entries: dict[str, WorkerEntry] = attrs.field(factory=dict)
    written: dict[str, WorkerEntry] = attrs.field(factory=dict)
    worker_lease_s: float = WORKER_LEASE_S
    late_order_s: float = LATE_ORDER_S
    quotas: Callable[[], Mapping[str, Amounts] | None] = dict
    http: HttpClient = attrs.field(factory=HttpClient)
    tasks: "list[asyncio.Task[None]]" = attrs.field(factory=list)

    def add_worker(self, name: str, **more: object) -> None:
        """Add a worker and have the platform list it."""
        found = entry(name, **more)  # type: ignore[arg-type]
        self.entries[name] = found
        self.fleet.add(found)
        self.list_worker(name)

    def __attrs_post_init__(self) -> None:
        self.fleet.on_restart = self._list_next_incarnation

    def _list_next_incarnation(self, found: WorkerEntry, before: str) -> None:
        self.entries[found.worker] = found
        self.list_worker(found.worker)
        if found.worker != before:
            self.unlist_worker(before)

    def restart_worker(self, name: str) -> SimulatedWorker:
        """Restart a worker under the same identity and list its new incarnation."""
        after = self.fleet.restart(name)
        self.entries[name] = after.entry
        self.list_worker(name)
        return after

    def list_worker(self, name: str) -> None:
        """Have the platform list a worker in its current state."""
        self.table.apply(Transaction(puts=(self.entry_put(name),)))
        if self.entries[name].leaving:
            self.fleet.record_leaving(self.entries[name])

    def entry_put(self, name: str) -> Put:
        """Return the write of a worker's entry in its current state."""
        value = f"{name} {len(self.written)}"
        self.written[value] = self.entries[name]
        return Put(key=f"servers/{name}", value=value)

    def drain_worker(self, name: str) -> None:
        """Have a worker announce that it is leaving, and the platform accept that."""
        self.mark_leaving(name)
        self.list_worker(name)

    def mark_leaving(self, name: str) -> None:
        """Have a worker's own state say that it is leaving."""
        leaving = attrs.evolve(self.entries[name], leaving=True)
        self.entries[name] = self.fleet.workers[name].entry = leaving

    def unlist_worker(self, name: str) -> None:
        """Remove a worker from the platform's list."""
        self.table.apply(Transaction(deletes=(f"servers/{name}",)))

    def read_worker(self, row: Row) -> WorkerEntry:
        """Return the entry that was written to a row."""
        return self.written[row.value]

    def make_owner(
        self,
        name: str,
        *,
        table: FeedTable | None = None,
        client: WorkerClient | None = None,
    ) -> Owner:
        """Return an owner that has not acquired the lease yet.

        Args:
            name: Its host's name.
            table: Its access to the table; None: the table itself.
            client: Its access to workers; None: the fleet itself.
        """
        table = table or self.table
        lease = OwnershipLease(
            table=table,
            clock=self.clock,
            key="owner/cell",
            holder=f"{name}@{name}:1#1",
            lease_s=OWNER_LEASE_S,
            grants_outlive_lease_s=options.RENEW_AFTER_LAPSE_S,
        )
        peers = PeerClient(http=self.http)
        owner = Owner(
            lease=lease,
            store=table,
            directory=WorkerDirectory(
                store=table,
                table="servers",
                read=self.read_worker,
                clock=self.clock,
            ),
            client=client or self.fleet,
            permit_queue=PermitQueue(
                own=self.permits,
                own_address=name,
                peer_client=peers,
                peers=tuple,
                clock=self.clock,
            ),
            clock=self.clock,
            leases=WorkerLeases(
                bounds=BOUNDS,
                length_s=self.worker_lease_s,
                late_order_s=self.late_order_s,
            ),
            status_s=120.0,
            peers=Membership(),
            table_limits=self.table.limits,
        )
        owner.cluster_state.quotas.quotas = self.quotas
        return owner

    async def own(self, name: str = "one") -> Owner:
        """Wait for the lease, acquire it under a host name, and take over."""
        owner = self.make_owner(name)
        while not await owner.lease.acquire():
            await asyncio.sleep(0.02)
        self.tasks.append(asyncio.create_task(owner.run()))
        await owner.ready.wait()
        return owner

    def job_frontend(
        self, owner: Callable[[], Owner | None], **more: object
    ) -> JobFrontend:
        """Return a front end that runs beside an owner."""
        config = ConfigFollower(
            store=self.table, table="op", key="op/config", read=lambda row: CONFIG
        )
        config.current = CONFIG
        given: dict[str, object] = {
            "config": config,
            "access": KeyAuthorizer(
                config=lambda: config.current,
                confirmed_at=self.clock.now,
                clock=self.clock,
                config_bound_s=3.0,
            ),
            "store": self.table,
            "inbox": BatchingWriter(table=self.table, clock=self.clock),
            "peers": PeerClient(http=self.http),
            "owner": owner,
            "owner_address": lambda: "",
            "own_address": "here:1",
            "in_contact": lambda: True,
            "config_is_late": lambda: False,
            "refused": lambda: None,
            "left_in_inbox": lambda: None,
            "clock": self.clock,
        }
        return JobFrontend(**{**given, **more})  # type: ignore[arg-type]

    async def close(self) -> None:
        """Cancel all owners without a handover, as if they were killed."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.http.close()


CONFIG = ClusterConfig(version=1, queues=(queue(),), pools=(PoolConfig(name=POOL),))


@contextlib.asynccontextmanager
async def cell(workers: int = 3, **more: object) -> AsyncIterator[Cell]:
    """Run a cell with a number of workers."""
    env = Cell(**more)  # type: ignore[arg-type]
    for number in range(workers):
        env.add_worker(f"w{number}")
    try:
        yield env
    finally:
        await env.close()


async def submit(
    owner: Owner, job_id: str, spec: WorkflowSpec, at: Queue | None = None
) -> None:
    """Submit a job to an owner, and check that it is accepted."""
    req = SubmitRequest(job_id=job_id, queue=at or queue(), spec=spec)
    reply = await owner.submit(req)
    assert reply.accepted, reply


async def until(condition: Callable[[], bool], limit_s: float = 8.0) -> None:
    """Wait until a condition holds.

    Raises:
        AssertionError: The condition did not hold within the time limit.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    while not condition():
        assert loop.time() < end, "the condition did not hold within the time limit"
        await asyncio.sleep(0.01)
