"""`bench control`: cost of the control plane by number of workers, tasks and peers.

A scheduler process owns a shard of fake workers, for which a single server answers.
Services are running and nothing else happens, so the benchmark measures the
steady-state overhead. A gateway process exchanges digests with a number of peers. Each
is measured at two sizes, from which the slopes and the cost at full size follow.
"""

import asyncio
import os
import subprocess
import sys
from typing import Any, Final

import attrs

from cranberrycleat import codec
from cranberrycleat.acceptance import Acceptance
from cranberrycleat.amounts import Amounts
from cranberrycleat.bench.routing import Hub, Router
from cranberrycleat.cell import LOOPBACK
from cranberrycleat.http_calls import make_client
from cranberrycleat.http_server import HttpServer
from cranberrycleat.jobs import JobSpec, Kind, Program
from cranberrycleat.messages import Endpoint, EndpointSetVersion, HostEntry, SyncOrder
from cranberrycleat.standins.platform import PlatformStandin
from cranberrycleat.standins.worker import WorkerStandin
from cranberrycleat.table_http import HttpPlatform

SHARD_WORKERS: Final = 208
"""Workers of one data centre at full size: 2,500 in 12 data centres."""
SHARDS: Final = 12
TASKS_PER_WORKER: Final = 16
PEERS_FULL: Final = 6
"""A gateway's peers: the other entry hosts of its data centre."""
ENDPOINTS_FULL: Final = 667
"""Endpoints of one data centre: 8,000 service tasks in 12 data centres."""
SIZES: Final = (104, SHARD_WORKERS)
HEAD_BYTES: Final = 180
"""Size of the request line, the status line and the headers added by the server."""
PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")


@attrs.define(kw_only=True, eq=False)
class FakeWorkers:
    """Many simulated workers behind one server; the first path segment selects one.

    Attributes:
        workers: The simulated workers by name.
        syncs: Number of syncs answered.
        bytes: Bytes of these syncs in both directions.
    """

    workers: dict[str, WorkerStandin] = attrs.field(factory=dict)
    syncs: int = 0
    bytes: int = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one sync."""
        body = b""
        more = True
        while more:
            event = await receive()
            body += event.get("body", b"")
            more = event.get("more_body", False)
        name = scope["path"].split("/")[1]
        order = codec.decode(body, SyncOrder)
        answer = codec.encode(self.workers[name].apply_orders(order))
        self.syncs += 1
        head = sum(len(k) + len(v) + 4 for k, v in scope["headers"])
        self.bytes += len(body) + len(answer) + head + HEAD_BYTES
        length = [(b"content-length", str(len(answer)).encode())]
        start = {"type": "http.response.start", "status": 200, "headers": length}
        await send(start)
        await send({"type": "http.response.body", "body": answer})


@attrs.frozen(kw_only=True)
class ControlFigures:
    """Cost of one process during its measurement.

    Attributes:
        size: Workers of the shard, or peers of the gateway.
        tasks: Running tasks, or known endpoints.
        rss_mb: Resident memory in mebibytes.
        cpu_share: CPU usage as a share of one core.
        bytes_per_s: Control traffic in both directions.
        table_writes_per_s: Transactions.
        table_reads_per_s: Reads and scans.
    """

    size: int
    tasks: int
    rss_mb: float
    cpu_share: float
    bytes_per_s: float
    table_writes_per_s: float
    table_reads_per_s: float


@attrs.frozen(kw_only=True)
class ControlSummary:
    """The cost at full size.

    Attributes:
        rss_mb_scheduler: Resident memory of the owner of one full-size data centre.
        rss_mb_gateway: Resident memory of a gateway in such a data centre.
        cpu_share_full_size: CPU usage of that owner as a share of one core.
        bytes_per_s_full_size: Traffic between that owner and all its workers.
        bytes_per_s_worker: The same for one worker's host.
        table_writes_per_s_full_size: Transactions of all owners.
        table_reads_per_s_full_size: Reads of all owners, candidates and gateways.
    """

    rss_mb_scheduler: float
    rss_mb_gateway: float
    cpu_share_full_size: float
    bytes_per_s_full_size: float
    bytes_per_s_worker: float
    table_writes_per_s_full_size: float
    table_reads_per_s_full_size: float


@attrs.frozen(kw_only=True)
class ControlReport:
    """All results of one benchmark run."""

    seconds: float
    summary: ControlSummary
    owners: tuple[ControlFigures, ...]
    candidate: ControlFigures
    gateways: tuple[ControlFigures, ...]


@attrs.define(kw_only=True, eq=False)
class ControlBench:
    """One run of the benchmark.

    Attributes:
        seconds: How long each process is measured.
        started: The processes started so far.
    """

    seconds: float
    started: list["subprocess.Popen[str]"] = attrs.field(factory=list)

    async def run(self) -> ControlReport:
        """Run all measurements and return the report."""
        try:
            owners = [await self._owner(size) for size in SIZES]
            gateways = [await self._gateway(peers) for peers in (1, PEERS_FULL)]
        finally:
            for process in self.started:
                process.kill()
                process.wait()
        owner, candidate = owners[-1]
        return ControlReport(
            seconds=self.seconds,
            summary=_summary(owner, candidate, gateways[-1]),
            owners=tuple(each[0] for each in owners),
            candidate=candidate,
            gateways=tuple(gateways),
        )

    async def _owner(self, size: int) -> tuple[ControlFigures, ControlFigures]:
        """Measure an owner of `size` workers, then a candidate running next to it."""
        platform = PlatformStandin(host=LOOPBACK, port=0)
        await platform.start()
        fakes = FakeWorkers()
        server = HttpServer(app=fakes, host=LOOPBACK, port=0)
        await server.start()
        for number in range(size):
            self._add_worker(platform, fakes, server.url, number)
        owner = self._start("scheduler", "s1", platform.url)
        await self._wait_until_running(platform, fakes, size)
        counts = platform.table.counts
        before = (counts.reads, counts.writes, fakes.bytes, owner.cpu_s())
        await asyncio.sleep(self.seconds)
        figures = ControlFigures(
            size=size,
            tasks=size * TASKS_PER_WORKER,
            rss_mb=rss_mb(owner),
            cpu_share=round((owner.cpu_s() - before[3]) / self.seconds, 4),
            bytes_per_s=round((fakes.bytes - before[2]) / self.seconds, 1),
            table_writes_per_s=round((counts.writes - before[1]) / self.seconds, 2),
            table_reads_per_s=round((counts.reads - before[0]) / self.seconds, 2),
        )
        candidate = await self._candidate(platform, figures)
        owner.process.kill()
        await server.stop()
        await platform.stop()
        return figures, candidate

    async def _candidate(
        self, platform: PlatformStandin, owner: ControlFigures
    ) -> ControlFigures:
        """Measure a candidate; its table reads are the total minus the owner's."""
        candidate = self._start("scheduler", "s2", platform.url)
        await asyncio.sleep(1.0)
        before = (platform.table.counts.reads, candidate.cpu_s())
        await asyncio.sleep(self.seconds)
        reads = (platform.table.counts.reads - before[0]) / self.seconds
        figures = ControlFigures(
            size=owner.size,
            tasks=0,
            rss_mb=rss_mb(candidate),
            cpu_share=round((candidate.cpu_s() - before[1]) / self.seconds, 4),
            bytes_per_s=0.0,
            table_writes_per_s=0.0,
            table_reads_per_s=round(max(0.0, reads - owner.table_reads_per_s), 2),
        )
        candidate.process.kill()
        return figures

    def _add_worker(
        self, platform: PlatformStandin, fakes: FakeWorkers, url: str, number: int
    ) -> None:
        name = f"w{number}"
        entry = HostEntry(
            name=name,
            url=f"{url}/{name}",
            data_centre="dc",
            rack=f"r{number // 8}",
            labels={"tier": "live"},
            capacity=Amounts(processors=28000, memory_mb=65536, slots=64),
        )
        fakes.workers[name] = WorkerStandin(
            entry=entry, host=LOOPBACK, port=0, platform_url=""
        )
        platform.listed[name] = entry

    async def _wait_until_running(
        self, platform: PlatformStandin, fakes: FakeWorkers, size: int
    ) -> None:
        """Submit the services and wait until all their tasks run."""
        client = HttpPlatform(url=platform.url)
        acceptance = Acceptance(platform=client, data_centre="dc")
        for number in range(TASKS_PER_WORKER):
            spec = JobSpec(
                name=f"service-{number}",
                kind=Kind.SERVICE,
                tasks=size,
                slots=2,
                program=Program(command="serve"),
            )
            await acceptance.submit(spec)
        wanted = size * TASKS_PER_WORKER
        while sum(len(each.tasks) for each in fakes.workers.values()) < wanted:
            await asyncio.sleep(0.2)
        await asyncio.sleep(5.0)
        await client.close()

    async def _gateway(self, peers: int) -> ControlFigures:
        platform = PlatformStandin(host=LOOPBACK, port=0)
        await platform.start()
        hub = FullSizeHub()
        url = await hub.start()
        hub.list(tuple(f"http://{LOOPBACK}:9/task/{n}" for n in range(ENDPOINTS_FULL)))
        gateway = self._start("gateway", "g1", platform.url, ",".join([url] * peers))
        await asyncio.sleep(2.0)
        reads, cpu_s = platform.table.counts.reads, gateway.cpu_s()
        await asyncio.sleep(self.seconds)
        figures = ControlFigures(
            size=peers,
            tasks=ENDPOINTS_FULL,
            rss_mb=rss_mb(gateway),
            cpu_share=round((gateway.cpu_s() - cpu_s) / self.seconds, 4),
            bytes_per_s=round(peers * await self._digest_bytes(url), 1),
            table_writes_per_s=0.0,
            table_reads_per_s=round(
                (platform.table.counts.reads - reads) / self.seconds, 2
            ),
        )
        gateway.process.kill()
        await platform.stop()
        return figures

    async def _digest_bytes(self, url: str) -> float:
        """Return the size of a digest exchange without new information."""
        known = (EndpointSetVersion(data_centre="dc", epoch=1, revision=1),)
        digest = attrs.evolve(Hub().own_digest(), role="gateway", seen=known)
        async with make_client(timeout_s=5) as client:
            sent = codec.encode(digest)
            res = await client.send_request("POST", url + "/v1/digest", sent, None)
            return len(sent) + len(res.content) + 2 * HEAD_BYTES

    def _start(self, role: str, name: str, platform: str, peers: str = "") -> Router:
        args = ["--name", name, "--data-centre", "dc", "--platform", platform]
        if peers:
            args += ["--peers", peers]
        process = subprocess.Popen(
            [sys.executable, "-m", "cranberrycleat", role, *args],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.started.append(process)
        assert process.stdout is not None
        url = process.stdout.readline().strip().rsplit(" ", 1)[1]
        return Router(process=process, url=url)


class FullSizeHub(Hub):
    """A hub with as many endpoints as a full-size data centre."""

    def endpoint(self, url: str) -> Endpoint:
        """Return one endpoint of one of many services."""
        service = f"service-{hash(url) % 40}"
        return Endpoint(service=service, url=url, data_centre="dc", slots=2)


def rss_mb(router: Router) -> float:
    """Return a process's resident memory in mebibytes."""
    with open(f"/proc/{router.process.pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return round(pages * PAGE_BYTES / (1024 * 1024), 1)


def _summary(
    owner: ControlFigures, candidate: ControlFigures, gateway: ControlFigures
) -> ControlSummary:
    reads = owner.table_reads_per_s + candidate.table_reads_per_s
    reads += PEERS_FULL * gateway.table_reads_per_s
    return ControlSummary(
        rss_mb_scheduler=owner.rss_mb,
        rss_mb_gateway=gateway.rss_mb,
        cpu_share_full_size=owner.cpu_share,
        bytes_per_s_full_size=owner.bytes_per_s,
        bytes_per_s_worker=round(owner.bytes_per_s / owner.size, 1),
        table_writes_per_s_full_size=round(SHARDS * owner.table_writes_per_s, 1),
        table_reads_per_s_full_size=round(SHARDS * reads, 1),
    )
