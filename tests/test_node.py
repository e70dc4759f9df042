"""Complete nodes on loopback: callers' requests, readiness and owner changes."""

import asyncio
import contextlib
import errno
import json
import random
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import attrs
import pytest

from cranberrycleat import errors, events
from cranberrycleat.clock import Clock
from cranberrycleat.http_client import HttpClient, HttpReply
from cranberrycleat.logs import set_observer
from cranberrycleat.platform.front import Front, Readiness
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.table import Put, Row, Transaction
from cranberrycleat.workflow import options
from cranberrycleat.workflow.announcements import Announcements
from cranberrycleat.workflow.directory import ConfigFollower, WorkerDirectory
from cranberrycleat.workflow.job_frontend import JobFrontend
from cranberrycleat.workflow.node import Node, balancer_wait_s
from cranberrycleat.workflow.ports import HostResources, NodeSettings
from tests.cell import BOUNDS, CONFIG, AllPermits, Cell, cell, until
from tests.fakes import run_async

PARTITION_TIMEOUT_S = 0.1
"""Time until a call over a partitioned link fails."""
FAILED_SCAN_S = 0.3
"""Time until a scan fails: the lease is renewed once meanwhile."""
LISTEN_PORTS = range(20_000, 32_000)
"""Below the ports that outgoing connections are given."""
LONG_LEASE_S = 60.0
"""Longer than any test waits, so an earlier takeover is not due to lease expiry."""
JOB = {
    "spec": "program",
    "steps": [{"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 50}],
}


@attrs.define(kw_only=True, eq=False)
class PartitionableTable:
    """One node's connection to the shared table, which can be partitioned.

    Attributes:
        table: The shared table.
        cut: Whether all calls fail.
        scans_to_fail: How many of the next scans raise what nothing expects.
    """

    table: MemoryFeedTable
    cut: bool = False
    scans_to_fail: int = 0

    def __getattr__(self, name: str) -> Any:
        """Return a method of the table that fails while the connection is cut."""
        call = getattr(self.table, name)

        async def forward(*args: Any, **given: Any) -> Any:
            if self.cut:
                await asyncio.sleep(PARTITION_TIMEOUT_S)
                raise errors.TableUnavailable("cut")
            if name == "scan" and self.scans_to_fail:
                self.scans_to_fail -= 1
                await asyncio.sleep(FAILED_SCAN_S)
                raise ValueError("a fault of the host")
            return await call(*args, **given)

        return forward


@attrs.define(kw_only=True, eq=False)
class FakeAdapter:
    """An in-memory platform shared by the nodes of one test.

    Attributes:
        settings: The node's settings.
        cell: The shared table and workers.
        permits: The permit service.
        path: This node's own connection to the shared table, if it has one.
    """

    settings: NodeSettings
    cell: Cell
    permits: AllPermits = attrs.field(factory=AllPermits)
    path: "PartitionableTable | None" = None

    @property
    def store(self) -> Any:
        """The shared table."""
        return self.path or self.cell.table

    @property
    def workers(self) -> Any:
        """The shared workers."""
        return self.cell.fleet

    def reload_settings(self) -> tuple[str, ...]:
        """Report no changes."""
        return ()

    @property
    def machines(self) -> None:
        """The machine API, which this platform lacks."""
        return None

    def wave_status(self, number: int, state: str) -> Put:
        """Return a write that no test checks."""
        return Put(key=f"status/wave/{number}", value=state)

    def wave_state(self, row: Row) -> str:
        """Return what `wave_status` wrote."""
        return row.value

    def directory(self, clock: Clock, announced: Announcements) -> WorkerDirectory:
        """Return a reader of the shared worker list."""
        return WorkerDirectory(
            store=self.store,
            table="servers",
            read=self.cell.read_worker,
            clock=clock,
            announced=announced,
        )

    def config_follower(self) -> ConfigFollower:
        """Return a follower that already holds the configuration."""
        found = ConfigFollower(
            store=self.store, table="op", key="op/config", read=lambda row: CONFIG
        )
        found.current = CONFIG
        return found

    def front(self, job_frontend: JobFrontend, is_ready: Callable[[], bool]) -> Any:
        """Return the platform's ASGI app for callers."""
        return Front(job_frontend=job_frontend, is_ready=is_ready)

    def readiness(self, is_ready: Callable[[], bool]) -> Any:
        """Return the platform's ASGI app for readiness checks."""
        return Readiness(is_ready=is_ready)


def free_port() -> int:
    """Return an unused port that no outgoing connection is given meanwhile."""
    while True:
        port = random.SystemRandom().choice(LISTEN_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError as exc:
                if exc.errno != errno.EADDRINUSE:
                    raise
                continue
        return port


def settings(name: str, data_centre: str, *, processors: float = 1.0) -> NodeSettings:
    """Return a node's settings on loopback."""
    return NodeSettings(
        name=name,
        data_centre=data_centre,
        ip="127.0.0.1",
        peer_port=free_port(),
        front=f"127.0.0.1:{free_port()}",
        ready=f"127.0.0.1:{free_port()}",
        store="",
        permits="",
        machines="",
        bounds=BOUNDS,
        room=HostResources(processors=processors, link_mbps=1000.0),
        spread_factor=3.0,
        status_s=120.0,
        grace_s=6.0,
    )


@contextlib.asynccontextmanager
async def nodes(
    made: Cell, count: int = 2, *, processors: tuple[float, ...] = ()
) -> AsyncIterator[list[Node]]:
    """Run nodes, each in its own data centre; the first one becomes the owner."""
    running: list[Node] = []
    for number in range(count):
        cores = processors[number] if processors else 1.0
        cfg = settings(f"n{number}", f"dc{number}", processors=cores)
        path = PartitionableTable(table=made.table)
        adapter = FakeAdapter(settings=cfg, cell=made, path=path)
        node = Node(adapter=adapter, http=HttpClient())
        await node.start()
        running.append(node)
        if number == 0:
            await until(lambda: node.owner is not None and node.owner.ready.is_set())
    await until(lambda: all(node.is_ready() for node in running))
    try:
        yield running
    finally:
        await asyncio.gather(*(node.stop() for node in running))


async def ask(node: Node, method: str, path: str, body: object = None) -> HttpReply:
    """Send a caller's request to a node."""
    data = None if body is None else json.dumps(body).encode()
    http = HttpClient()
    try:
        return await http.call(
            method,
            f"http://{node.adapter.settings.front}{path}",
            body=data,
            headers={"Host": "host.example", "Deadline-Ms": "3000"},
            timeout_s=5.0,
        )
    finally:
        await http.close()


@pytest.mark.parametrize("at", [0, 1])
def test_every_node_serves_callers(at: int) -> None:
    """The owner and other nodes accept a job, report its state and its completion."""

    async def run() -> None:
        async with cell() as made, nodes(made) as running:
            node = running[at]
            assert (await ask(node, "POST", "/q/0a", JOB)).status == 200
            assert (await ask(node, "POST", "/q/0a", JOB)).status == 200
            for _ in range(100):
                reply = await ask(node, "GET", "/q/0a")
                if json.loads(reply.body)["state"] == "completed":
                    break
                await asyncio.sleep(0.05)
            assert json.loads(reply.body) == {"state": "completed"}
            assert len(made.fleet.starts) == 2
            assert (await ask(node, "GET", "/q/0b")).status == 410
            assert (await ask(node, "DELETE", "/q/0b")).status == 410
            assert (await ask(node, "POST", "/no/0a", JOB)).status == 404
            assert (await ask(node, "GET", "/q/")).body == b'{"waiting":0}'

    run_async(run())


@pytest.mark.parametrize(
    "body",
    [
        "text",
        {"spec": "x"},
        {"spec": "x", "steps": []},
        {"spec": "x", "steps": [{"count": 0}]},
        {"spec": "x", "steps": [{"count": 1, "after": [0]}]},
        {"spec": 1, "steps": [{"count": 1}]},
        {"spec": "x" * 5000, "steps": [{"count": 1}]},
    ],
)
def test_invalid_jobs_are_rejected_with_reason(body: object) -> None:
    """A malformed or impossible job is rejected with a reason and not stored."""

    async def run() -> None:
        async with cell() as made, nodes(made, count=1) as running:
            reply = await ask(running[0], "POST", "/q/0a", body)
            assert reply.status == 400
            assert json.loads(reply.body)["reason"]
            assert not made.table.rows.get("jobs/0a")

    run_async(run())


def test_table_outage_leaves_all_nodes_ready() -> None:
    """No host can serve better than another, so callers are refused immediately."""

    async def run() -> None:
        async with cell() as made, nodes(made) as running:
            made.table.faults.down = True
            await asyncio.sleep(2.5)
            assert [node.is_ready() for node in running] == [True, True]
            reply = await ask(running[1], "POST", "/q/0a", JOB)
            assert reply.status == 503
            made.table.faults.down = False
            await asyncio.sleep(1.0)
            assert (await ask(running[1], "POST", "/q/0a", JOB)).status == 200

    run_async(run())


def test_isolated_owner_is_not_ready() -> None:
    """It reaches neither table nor peers, so another host serves its callers better."""

    async def run() -> None:
        async with cell() as made, nodes(made) as running:
            await asyncio.sleep(0.5)
            made.table.faults.down = True
            await running[1].stop()
            await until(lambda: not running[0].is_ready(), limit_s=4.0)

    run_async(run())


# Guards against starts on a worker that leaves (DRAIN): a host that loses the ownership
# before it could store the announcement owns again, and the list lacks it by now.
def test_host_remembers_announcements_of_its_earlier_ownership() -> None:
    async def run() -> None:
        async with cell(workers=1) as made, nodes(made, count=1) as running:
            (node,) = running
            first = node.owner
            assert first is not None
            ready = made.entries["w0"]
            made.drain_worker("w0")
            await until(lambda: "w0" in first.directory.announced)
            await first.hand_over()
            deletes = ("announced/workers", "servers/w0")
            made.table.apply(Transaction(deletes=deletes))
            made.entries["w0"] = ready
            made.list_worker("w0")
            await until(
                lambda: node.owner is not None
                and node.owner is not first
                and node.owner.ready.is_set()
            )
            assert node.owner is not None
            assert node.owner.directory.entries["w0"].leaving
            await until(lambda: "announced/workers" in made.table.rows)

    run_async(run())


def test_drained_owner_is_replaced_immediately() -> None:
    """A drained owner releases its lease and notifies its peers, which take over."""

    async def run() -> None:
        async with cell() as made, nodes(made) as running:
            await asyncio.sleep(0.5)
            drained = asyncio.create_task(running[0].drain())
            await until(lambda: running[1].owner is not None, limit_s=0.6)
            await drained
            assert not running[0].is_ready()
            assert (await ask(running[0], "POST", "/q/0a", JOB)).status == 200

    run_async(run())


async def _kill(node: Node) -> None:
    """Stop a node as a kill does: no lease is released and its ports are closed."""
    for server in node._servers:
        await server.kill()
    for task in list(node._background.tasks):
        task.cancel()


def test_killed_owner_is_replaced_before_lease_expiry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connections to its address are refused, so its peers need not await the lease."""
    monkeypatch.setattr(options, "OWNER_LEASE_S", LONG_LEASE_S)

    async def run() -> None:
        async with cell() as made, nodes(made, count=3) as running:
            await asyncio.sleep(0.6)
            await _kill(running[0])
            others = running[1:]
            await until(lambda: any(node._active_owner() for node in others))
            for node in others:
                reply = await ask(node, "POST", "/q/0a", JOB)
                assert reply.status == 200

    run_async(run())


# Guards against a log line for each unanswered heartbeat, by every host for the whole
# outage, when the owner's process ends while the table is down.
def test_dead_owner_is_reported_once_while_the_table_is_down() -> None:
    reports: list[events.OwnerSuspected] = []

    def observe(found: object) -> None:
        if isinstance(found, events.OwnerSuspected):
            reports.append(found)

    async def run() -> None:
        async with cell() as made, nodes(made) as running:
            await until(lambda: running[1]._lease.latest_row() is not None)
            made.table.faults.down = True
            set_observer(observe)
            await _kill(running[0])
            await until(lambda: bool(reports))
            await asyncio.sleep(5 * options.HEARTBEAT_INTERVAL_S)

    try:
        run_async(run())
    finally:
        set_observer(None)
    assert len(reports) == 1


def test_owner_that_alone_lost_the_table_is_replaced_before_lease_expiry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It reports that it cannot store, so a host that can need not await the lease."""
    monkeypatch.setattr(options, "OWNER_LEASE_S", LONG_LEASE_S)

    async def run() -> None:
        async with cell() as made, nodes(made) as running:
            await asyncio.sleep(1.0)
            running[0].adapter.path.cut = True  # type: ignore[attr-defined]
            await until(lambda: running[1]._active_owner() is not None)
            assert (await ask(running[1], "POST", "/q/0a", JOB)).status == 200

    run_async(run())


def test_table_outage_for_all_nodes_keeps_the_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """That it answers one host first after the outage is no reason for a takeover."""
    monkeypatch.setattr(options, "OWNER_LEASE_S", LONG_LEASE_S)

    async def run() -> None:
        async with cell() as made, nodes(made, count=3) as running:
            await asyncio.sleep(1.0)
            adapters: list[Any] = [node.adapter for node in running]
            paths = [adapter.path for adapter in adapters]
            for path in paths:
                path.cut = True
            await asyncio.sleep(1.5)
            for path in reversed(paths):
                path.cut = False
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.0)
            assert [node._active_owner() is not None for node in running] == [
                True,
                False,
                False,
            ]
            assert running[0]._lease.epoch == 1

    run_async(run())


def test_restarted_node_does_not_wait_for_its_own_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After all nodes were killed, the last holder restarts at the same address."""
    monkeypatch.setattr(options, "OWNER_LEASE_S", LONG_LEASE_S)

    async def run() -> None:
        async with cell() as made:
            async with nodes(made, count=1) as running:
                first = running[0]
                await _kill(first)
                again = Node(adapter=first.adapter, http=HttpClient())
                await again.start()
                await until(lambda: again._active_owner() is not None)
                assert again._lease.epoch == 2
                await again.stop()

    run_async(run())


def test_unready_node_closes_caller_connections() -> None:
    """An open connection stays on its host, but the next attempt must use another."""

    async def run() -> None:
        async with cell() as made, nodes(made, count=1) as running:
            running[0].draining = True
            async with aiohttp.ClientSession() as session:
                url = f"http://{running[0].adapter.settings.front}/q/0b"
                async with session.get(url, headers={"Host": "host.example"}) as res:
                    assert res.headers["connection"] == "close"

    run_async(run())


def test_node_beside_isolated_owner_is_not_ready() -> None:
    """An owner without table access is no reason to keep callers in a partition."""

    async def run() -> None:
        async with cell() as made, nodes(made) as running:
            other = running[1]
            other.adapter.settings = attrs.evolve(  # type: ignore[misc]
                other.adapter.settings, data_centre="dc0"
            )
            await asyncio.sleep(0.5)
            made.table.faults.down = True
            await until(lambda: not other.is_ready(), limit_s=6.0)

    run_async(run())


def test_draining_node_follows_ownership_change() -> None:
    """It keeps serving callers with open connections for seconds."""

    async def run() -> None:
        async with cell() as made, nodes(made, count=3) as running:
            first, draining, _ = running
            await asyncio.sleep(0.5)
            stopping = asyncio.create_task(draining.drain())
            await asyncio.sleep(0.1)
            await first.drain()
            assert first.owner is None
            for number in range(3):
                reply = await ask(draining, "POST", f"/q/0{number}", JOB)
                assert reply.status == 200
            assert not await made.table.scan(prefix="inbox/")
            await stopping

    run_async(run())


@pytest.mark.parametrize(
    ("grace_s", "spent_s", "expected"),
    [(6.0, 0.1, 2.5), (3.0, 0.5, 1.0), (1.0, 0.0, 0.0), (6.0, 9.0, 0.0)],
    ids=["enough", "short", "none", "used up"],
)
def test_drain_fits_into_platform_grace_period(
    grace_s: float, spent_s: float, expected: float
) -> None:
    """A process that waits longer is killed with requests in flight."""
    assert balancer_wait_s(grace_s, spent_s) == pytest.approx(expected)
