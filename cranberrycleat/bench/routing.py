"""`bench routing`: gateways under overload, compared with a naive proxy.

Three gateways and three naive proxies route to the same endpoints: some good ones, a
slow one, one that fails half of its requests, and one that dies halfway through each
phase. The offered load is 0.5, 1, 2 and 4 times the capacity of the endpoints. The
summary contains ratios within one run.
"""

import asyncio
import os
import socket
import subprocess
import sys
from collections.abc import Sequence
from typing import Any, Final

import attrs
from litestar import Request, Response, post

from cranberrycleat import codec, errors
from cranberrycleat.bench.load import LoadPlan, LoadResult
from cranberrycleat.bench.parts import LOOPBACK, SLOTS, EndpointCounts, EndpointKind
from cranberrycleat.http_calls import call, make_client
from cranberrycleat.http_server import HttpServer
from cranberrycleat.messages import Digest, DigestReply, Endpoint, EndpointSet
from cranberrycleat.serve import json_response, make_app
from cranberrycleat.standins.platform import PlatformStandin

GOOD_ANSWER_S: Final = 0.2
SLOW_ANSWER_S: Final = 1.0
GOOD_ENDPOINTS: Final = 4
FAILING_SHARE: Final = 0.5
GATEWAYS: Final = 3
UNLOADED_ENDPOINTS: Final = 4
"""Endpoints of each system in the unloaded phase."""
LOADS: Final = (0.5, 1.0, 2.0, 4.0)
WARM_UP_S: Final = 1.2
"""Must be longer than the interval between two digests."""
CLOCK_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


def capacity() -> float:
    """Return the maximum rate of good answers that the endpoints can give.

    The failing endpoint and the one that dies halfway contribute half each.
    """
    whole = SLOTS / GOOD_ANSWER_S
    return (
        whole * GOOD_ENDPOINTS
        + SLOTS / SLOW_ANSWER_S
        + whole * FAILING_SHARE
        + whole / 2
    )


@attrs.frozen(kw_only=True)
class Figures:
    """Results of one system under one load.

    Attributes:
        load: Offered load divided by capacity.
        offered: Requests offered.
        goodput: Good answers per second.
        p50_ms: Median latency of good answers.
        p99_ms: 99th percentile latency of good answers.
        refused: Requests rejected.
        refused_p99_ms: 99th percentile latency of rejections.
        bad: Requests with any other result.
        no_retry_after: Rejections without a Retry-After header.
        retries_per_request: Attempts after the first, per offered request.
        over_slot_share: The share of attempts that found no free slot.
        cpu_ms_per_request: CPU time of the routers per offered request.
    """

    load: float
    offered: int
    goodput: float
    p50_ms: float
    p99_ms: float
    refused: int
    refused_p99_ms: float
    bad: int
    no_retry_after: int
    retries_per_request: float
    over_slot_share: float
    cpu_ms_per_request: float


@attrs.frozen(kw_only=True)
class RoutingSummary:
    """The key metrics."""

    goodput_ratio_4x: float
    goodput_vs_naive_4x: float
    retries_per_request_4x: float
    over_slot_share_4x: float
    cpu_ratio_vs_naive: float
    p99_ratio_vs_naive_half: float


@attrs.frozen(kw_only=True)
class RoutingReport:
    """All results of one benchmark run."""

    seed: int
    seconds: float
    capacity: float
    summary: RoutingSummary
    ours: tuple[Figures, ...]
    naive: tuple[Figures, ...]
    unloaded_ours: Figures
    unloaded_naive: Figures


def _spawn(*args: str) -> "subprocess.Popen[str]":
    return subprocess.Popen([sys.executable, *args], stdout=subprocess.PIPE, text=True)


def _free_ports(count: int) -> list[int]:
    listeners = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def _first_line(process: "subprocess.Popen[str]") -> str:
    assert process.stdout is not None
    line = process.stdout.readline().strip()
    if not line:
        raise errors.PeerUnavailable(f"{process.args!r} did not start")
    return line


@attrs.define(kw_only=True, eq=False)
class Hub:
    """Fake scheduler that announces endpoints to the gateways."""

    urls: tuple[str, ...] = ()
    revision: int = 0
    server: HttpServer | None = None

    async def start(self) -> str:
        """Start the server and return its URL."""

        @post("/v1/digest")
        async def digest(request: Request[Any, Any, Any]) -> Response[bytes]:
            asked = codec.decode(await request.body(), Digest)
            known = {(seen.epoch, seen.revision) for seen in asked.seen}
            fresh = (1, self.revision) not in known
            return json_response(
                DigestReply(
                    digest=self.own_digest(), sets=(self._set(),) if fresh else ()
                )
            )

        self.server = HttpServer(app=make_app([digest]), host=LOOPBACK, port=0)
        await self.server.start()
        return self.server.url

    def list(self, urls: tuple[str, ...]) -> None:
        """Replace the announced endpoints."""
        self.urls = urls
        self.revision += 1

    def own_digest(self) -> Digest:
        """Return the hub's own digest."""
        return Digest(
            sender="hub",
            incarnation="1",
            role="scheduler",
            data_centre="dc",
            config_version=0,
        )

    def _set(self) -> EndpointSet:
        return EndpointSet(
            data_centre="dc",
            epoch=1,
            revision=self.revision,
            endpoints=tuple(self.endpoint(url) for url in self.urls),
        )

    def endpoint(self, url: str) -> Endpoint:
        """Return one endpoint."""
        return Endpoint(service="s", url=url, data_centre="dc", slots=SLOTS)


@attrs.define(kw_only=True, eq=False)
class RoutingBench:
    """One run of the benchmark.

    Attributes:
        seed: The seed of arrivals and failures.
        seconds: Duration of each phase.
        hub: The fake scheduler.
        platform: The simulated platform.
        started: The processes started so far.
    """

    seed: int
    seconds: float
    hub: Hub = attrs.field(factory=Hub)
    platform: PlatformStandin = attrs.field(
        factory=lambda: PlatformStandin(host=LOOPBACK, port=0)
    )
    started: list["subprocess.Popen[str]"] = attrs.field(factory=list)

    async def run(self) -> RoutingReport:
        """Run all phases and return the report."""
        await self.platform.start()
        hub_url = await self.hub.start()
        try:
            return await self._run_phases(hub_url)
        finally:
            for process in self.started:
                process.kill()
                process.wait()
            await self.platform.stop()

    async def _run_phases(self, hub_url: str) -> RoutingReport:
        processes = self._start_processes(hub_url)
        self.hub.list(processes.healthy[:UNLOADED_ENDPOINTS])
        await asyncio.sleep(WARM_UP_S)
        unloaded = await asyncio.gather(
            self._run_phase(
                processes.gateways, 0.0, processes.healthy[:UNLOADED_ENDPOINTS], None
            ),
            self._run_phase(
                processes.idle_naives, 0.0, processes.healthy[UNLOADED_ENDPOINTS:], None
            ),
        )
        ours, naive = [], []
        for load, load_processes in zip(LOADS, processes.load_processes):
            self.hub.list(processes.steady + (load_processes.ours_dying.url,))
            await asyncio.sleep(WARM_UP_S)
            # Requests to the dying endpoint are counted for neither system.
            dying_process = load_processes.ours_dying.process
            ours.append(
                await self._run_phase(
                    processes.gateways, load, processes.steady, dying_process
                )
            )
            dying_process = load_processes.naive_dying.process
            naive.append(
                await self._run_phase(
                    load_processes.naives, load, processes.steady, dying_process
                )
            )
        return self._report(ours, naive, unloaded)

    def _start_processes(self, hub_url: str) -> "Stage":
        """Start all processes of the run concurrently, to save start-up time."""
        # The gateways start first, so that no other process takes their ports.
        gateways = self._start_gateways(hub_url)
        healthy = self._start_endpoints(
            (EndpointKind(answer_s=0.0),) * 2 * UNLOADED_ENDPOINTS
        )
        kinds = [EndpointKind(answer_s=GOOD_ANSWER_S)] * GOOD_ENDPOINTS
        kinds.append(EndpointKind(answer_s=SLOW_ANSWER_S))
        kinds.append(EndpointKind(answer_s=GOOD_ANSWER_S, fail_share=FAILING_SHARE))
        steady = self._start_endpoints(tuple(kinds))
        dying = [self._start_dying_endpoint() for _ in range(2 * len(LOADS))]
        urls = [_first_line(process) for process in dying]
        dying_endpoints = [Router(process=p, url=url) for p, url in zip(dying, urls)]
        naives = [self._start_naives(healthy[UNLOADED_ENDPOINTS:])]
        for dying_endpoint in dying_endpoints[len(LOADS) :]:
            naives.append(self._start_naives(steady + (dying_endpoint.url,)))
        systems = [_routers(each) for each in naives]
        load_processes = [
            LoadProcesses(
                ours_dying=ours_dying_endpoint,
                naive_dying=naive_dying_endpoint,
                naives=system,
            )
            for ours_dying_endpoint, naive_dying_endpoint, system in zip(
                dying_endpoints[: len(LOADS)],
                dying_endpoints[len(LOADS) :],
                systems[1:],
            )
        ]
        return Stage(
            healthy=healthy,
            steady=steady,
            gateways=gateways,
            idle_naives=systems[0],
            load_processes=tuple(load_processes),
        )

    def _start_endpoints(self, kinds: tuple[EndpointKind, ...]) -> tuple[str, ...]:
        process = self._start_role("endpoints", codec.encode_text(kinds))
        return tuple(_first_line(process).split(","))

    def _start_dying_endpoint(self) -> "subprocess.Popen[str]":
        kinds = (EndpointKind(answer_s=GOOD_ANSWER_S),)
        return self._start_role("endpoints", codec.encode_text(kinds))

    def _start_naives(self, urls: tuple[str, ...]) -> list["subprocess.Popen[str]"]:
        text = codec.encode_text(urls)
        return [self._start_role("naive", text) for _ in range(GATEWAYS)]

    def _start_role(self, role: str, text: str) -> "subprocess.Popen[str]":
        module = "bench.load" if role == "load" else "bench.parts"
        process = _spawn("-m", f"cranberrycleat.{module}", role, text, str(self.seed))
        self.started.append(process)
        return process

    def _start_gateways(self, hub_url: str) -> "list[Router]":
        ports = _free_ports(GATEWAYS)
        urls = [f"http://{LOOPBACK}:{port}" for port in ports]
        processes = []
        for number, port in enumerate(ports):
            peers = ",".join([hub_url, *(u for u in urls if u != urls[number])])
            args = ["--name", f"g{number}", "--data-centre", "dc", "--peers", peers]
            args += ["--platform", self.platform.url, "--port", str(port)]
            processes.append(_spawn("-m", "cranberrycleat", "gateway", *args))
        self.started += processes
        for process in processes:
            _first_line(process)
        return [Router(process=p, url=url) for p, url in zip(processes, urls)]

    async def _run_phase(
        self,
        system: "list[Router]",
        load: float,
        endpoints: tuple[str, ...],
        dying_process: "subprocess.Popen[str] | None",
    ) -> Figures:
        await self._counts(endpoints)
        before = [router.cpu_s() for router in system]
        rate = capacity() * load / GATEWAYS if load else 25.0
        callers = [
            self._start_caller(router, rate, number)
            for number, router in enumerate(system)
        ]
        await asyncio.sleep(self.seconds / 2 + 0.5)
        if dying_process is not None:
            dying_process.kill()
        texts = [await asyncio.to_thread(each.communicate) for each in callers]
        cpu = sum(r.cpu_s() - was for r, was in zip(system, before))
        results = [codec.decode(text[0], LoadResult) for text in texts]
        counts = await self._counts(endpoints)
        return _figures(load, self.seconds, results, counts, cpu)

    def _start_caller(
        self, router: "Router", rate: float, number: int
    ) -> "subprocess.Popen[str]":
        plan = LoadPlan(
            url=router.url, rate=rate, seconds=self.seconds, seed=self.seed + number
        )
        return self._start_role("load", codec.encode_text(plan))

    async def _counts(self, urls: tuple[str, ...]) -> list[EndpointCounts]:
        async with make_client(timeout_s=5) as client:
            return [
                await call(client, "GET", url + "/counts", EndpointCounts)
                for url in urls
            ]

    def _report(
        self, ours: list[Figures], naive: list[Figures], unloaded: Sequence[Figures]
    ) -> RoutingReport:
        cpu = unloaded[0].cpu_ms_per_request / unloaded[1].cpu_ms_per_request
        summary = RoutingSummary(
            goodput_ratio_4x=_ratio(ours[3].goodput, ours[1].goodput),
            goodput_vs_naive_4x=_ratio(ours[3].goodput, naive[3].goodput),
            retries_per_request_4x=ours[3].retries_per_request,
            over_slot_share_4x=ours[3].over_slot_share,
            cpu_ratio_vs_naive=round(cpu, 3),
            p99_ratio_vs_naive_half=_ratio(ours[0].p99_ms, naive[0].p99_ms),
        )
        return RoutingReport(
            seed=self.seed,
            seconds=self.seconds,
            capacity=capacity(),
            summary=summary,
            ours=tuple(ours),
            naive=tuple(naive),
            unloaded_ours=unloaded[0],
            unloaded_naive=unloaded[1],
        )


@attrs.define(kw_only=True, eq=False)
class Router:
    """One gateway, baseline or endpoint process."""

    process: "subprocess.Popen[str]"
    url: str

    def cpu_s(self) -> float:
        """Return the CPU time that it has used, in seconds."""
        with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


@attrs.frozen(kw_only=True)
class LoadProcesses:
    """Processes of one load besides the gateways: dying endpoints and baselines."""

    ours_dying: Router
    naive_dying: Router
    naives: list[Router]


@attrs.frozen(kw_only=True)
class Stage:
    """All processes of a run.

    Attributes:
        healthy: Endpoints for the unloaded phases.
        steady: Endpoints that run during all the other phases.
        gateways: The gateways.
        idle_naives: The baselines for the unloaded phase.
        load_processes: The processes of each load.
    """

    healthy: tuple[str, ...]
    steady: tuple[str, ...]
    gateways: list[Router]
    idle_naives: list[Router]
    load_processes: tuple[LoadProcesses, ...]


def _routers(processes: list["subprocess.Popen[str]"]) -> list[Router]:
    return [Router(process=each, url=_first_line(each)) for each in processes]


def _figures(
    load: float,
    seconds: float,
    results: list[LoadResult],
    counts: list[EndpointCounts],
    cpu_s: float,
) -> Figures:
    offered = sum(each.offered for each in results)
    good = sorted(took for each in results for took in each.good_s)
    refused = sorted(took for each in results for took in each.refused_s)
    received = sum(each.received for each in counts)
    sends = max(1, received)
    distinct = len({ident for each in counts for ident in each.ids})
    return Figures(
        load=load,
        offered=offered,
        goodput=round(sum(each.good_in_time for each in results) / seconds, 1),
        p50_ms=_percentile_ms(good, 0.5),
        p99_ms=_percentile_ms(good, 0.99),
        refused=len(refused),
        refused_p99_ms=_percentile_ms(refused, 0.99),
        bad=sum(each.bad for each in results),
        no_retry_after=sum(each.no_retry_after for each in results),
        retries_per_request=round((received - distinct) / max(1, offered), 4),
        over_slot_share=round(sum(e.over_slots for e in counts) / sends, 4),
        cpu_ms_per_request=round(1000 * cpu_s / max(1, offered), 3),
    )


def _percentile_ms(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return round(1000 * values[min(len(values) - 1, int(len(values) * share))], 1)


def _ratio(part: float, whole: float) -> float:
    return round(part / whole, 3) if whole else 0.0
