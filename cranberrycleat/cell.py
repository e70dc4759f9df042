"""Runs a complete cell in one process: stand-ins, schedulers and gateways.

Used by the demo. Every component listens on loopback and communicates over HTTP,
as it does in a process of its own. A cell is described by a file
(`examples/*/cell.toml`).
"""

from pathlib import Path
from typing import Final

import attrs
import cattrs

from cranberrycleat.amounts import MILLI, Amounts
from cranberrycleat.documents import read_document
from cranberrycleat.gateway import Gateway
from cranberrycleat.gateway_api import gateway_handlers
from cranberrycleat.messages import HostEntry
from cranberrycleat.options import GatewayOptions, SchedulerOptions
from cranberrycleat.scheduler import Scheduler
from cranberrycleat.scheduler_api import scheduler_handlers
from cranberrycleat.standins.platform import PlatformStandin
from cranberrycleat.standins.worker import WorkerStandin

LOOPBACK: Final = "127.0.0.1"


@attrs.frozen(kw_only=True)
class CellPlan:
    """The description of a cell.

    Attributes:
        name: The deployment's name.
        region: The deployment's region.
        data_centres: The names of the data centres.
        workers: Number of workers, distributed evenly over the data centres.
        rack_size: Number of workers per rack.
        processors: Processors per worker.
        memory_mb: Memory per worker, in MB.
        slots: Requests that the services of a worker serve concurrently.
        connections: Connections that a worker accepts.
        entry_hosts: Number of entry hosts.
        labels: Labels that every worker has.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    workers: int
    rack_size: int
    processors: int
    memory_mb: int
    slots: int
    connections: int
    entry_hosts: int
    labels: dict[str, str]


@attrs.frozen(kw_only=True)
class CellTimings:
    """Lease durations, intervals and timeouts of a cell's components, in seconds.

    Shorter than the defaults in `options`, to keep the demo short.
    """

    lease_s: float = 1.5
    worker_lease_s: float = 3.5
    sync_s: float = 0.25
    order_s: float = 1.0
    digest_s: float = 0.25
    config_poll_s: float = 0.5
    drain_s: float = 0.5
    leave_s: float = 1.0
    platform_timeout_s: float = 1.0


def load_plan(path: Path) -> CellPlan:
    """Read the description of a cell."""
    return cattrs.structure(read_document(path), CellPlan)


@attrs.define(kw_only=True, eq=False)
class Cell:
    """A running cell.

    Attributes:
        plan: The description of the cell.
        timings: Lease durations, intervals and timeouts of the components.
        platform: The platform stand-in.
        workers: The worker stand-ins, by name.
        schedulers: The schedulers; `start` adds one per data centre.
        gateways: The gateways, distributed over the data centres.
    """

    plan: CellPlan
    timings: CellTimings = CellTimings()
    platform: PlatformStandin = attrs.field(
        factory=lambda: PlatformStandin(host=LOOPBACK, port=0)
    )
    workers: dict[str, WorkerStandin] = attrs.field(factory=dict)
    schedulers: list[Scheduler] = attrs.field(factory=list)
    gateways: list[Gateway] = attrs.field(factory=list)

    async def start(self) -> None:
        """Start all components, dependencies before their dependents."""
        await self.platform.start()
        for number in range(self.plan.workers):
            await self._start_worker(number)
        for data_centre in self.plan.data_centres:
            await self.add_scheduler(f"scheduler-{data_centre}", data_centre)
        for number in range(self.plan.entry_hosts):
            await self._start_gateway(number)

    async def stop(self) -> None:
        """Stop all components, dependents before their dependencies."""
        for gateway in self.gateways:
            await gateway.stop()
        for scheduler in self.schedulers:
            await scheduler.stop()
        for worker in self.workers.values():
            await worker.stop()
        await self.platform.stop()

    async def _start_worker(self, number: int) -> None:
        centres = self.plan.data_centres
        workers_per_dc = -(-self.plan.workers // len(centres))
        data_centre = centres[number // workers_per_dc]
        name = f"{data_centre}-{number % workers_per_dc + 1}"
        entry = HostEntry(
            name=name,
            url="",
            data_centre=data_centre,
            rack=f"{data_centre}-r{number % workers_per_dc // self.plan.rack_size + 1}",
            labels=dict(self.plan.labels),
            capacity=Amounts(
                processors=self.plan.processors * MILLI,
                memory_mb=self.plan.memory_mb,
                slots=self.plan.slots,
            ),
        )
        worker = WorkerStandin(
            entry=entry, host=LOOPBACK, port=0, platform_url=self.platform.url
        )
        await worker.start()
        self.workers[name] = worker

    async def add_scheduler(self, name: str, data_centre: str) -> Scheduler:
        """Start an additional scheduler."""
        timings = self.timings
        cfg = SchedulerOptions(
            name=name,
            data_centre=data_centre,
            platform=self.platform.url,
            platform_timeout_s=timings.platform_timeout_s,
            digest_s=timings.digest_s,
            config_poll_s=timings.config_poll_s,
            drain_s=timings.drain_s,
            lease_s=timings.lease_s,
            worker_lease_s=timings.worker_lease_s,
            sync_s=timings.sync_s,
            order_s=timings.order_s,
            round_s=0.1,
            leave_s=timings.leave_s,
            release_after_s=1.0,
        )
        scheduler = Scheduler(cfg=cfg, handlers=scheduler_handlers)
        await scheduler.start()
        self.schedulers.append(scheduler)
        return scheduler

    async def _start_gateway(self, number: int) -> None:
        centres = self.plan.data_centres
        peers = [each.url for each in self.schedulers]
        peers += [each.url for each in self.gateways]
        timings = self.timings
        cfg = GatewayOptions(
            name=f"gateway-{number + 1}",
            data_centre=centres[number % len(centres)],
            platform=self.platform.url,
            platform_timeout_s=timings.platform_timeout_s,
            peers=tuple(peers),
            digest_s=timings.digest_s,
            config_poll_s=timings.config_poll_s,
            drain_s=timings.drain_s,
        )
        gateway = Gateway(cfg=cfg, handlers=gateway_handlers)
        await gateway.start()
        for existing in self.gateways:
            existing.add_peer(gateway.url)
        self.gateways.append(gateway)
