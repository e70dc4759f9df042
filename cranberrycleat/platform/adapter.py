"""Assembles the platform clients of a node."""

from collections.abc import Callable
from typing import Any

import attrs

from cranberrycleat.clock import Clock
from cranberrycleat.http_client import HttpClient
from cranberrycleat.platform import records
from cranberrycleat.platform.front import Front, Readiness
from cranberrycleat.platform.machines import (
    PlatformMachines,
    read_wave,
    wave_state,
    wave_status,
)
from cranberrycleat.platform.settings import read_settings
from cranberrycleat.platform.store import PlatformStore
from cranberrycleat.platform.workers import PlatformPermits, PlatformWorkers
from cranberrycleat.table import Put, Row
from cranberrycleat.workflow.announcements import Announcements
from cranberrycleat.workflow.directory import ConfigFollower, WorkerDirectory
from cranberrycleat.workflow.job_frontend import JobFrontend
from cranberrycleat.workflow.ports import NodeSettings


@attrs.define(kw_only=True, eq=False)
class PlatformAdapter:
    """Clients and settings with which a node uses the Haulbay platform."""

    settings: NodeSettings
    store: PlatformStore
    workers: PlatformWorkers
    permits: PlatformPermits
    machines: PlatformMachines | None

    def reload_settings(self) -> tuple[str, ...]:
        """Reload the settings file; return the names of the changed settings."""
        fresh = read_settings()
        changed = tuple(
            field.name
            for field in attrs.fields(NodeSettings)
            if getattr(fresh, field.name) != getattr(self.settings, field.name)
        )
        self.settings = fresh
        self.store.address = fresh.store
        self.store.carries_bytes_s = fresh.room.carries_bytes_s()
        self.store.limits = fresh.table_limits
        self.permits.address = fresh.permits
        if self.machines is not None:
            self.machines.address = fresh.machines
        return changed

    def wave_status(self, number: int, state: str) -> Put:
        """Return the write that reports a wave's state to the operator."""
        return wave_status(number, state)

    def wave_state(self, row: Row) -> str:
        """Return the state of a wave that was written for the operator."""
        return wave_state(row)

    def directory(self, clock: Clock, announced: Announcements) -> WorkerDirectory:
        """Return a reader of the list of workers."""
        return WorkerDirectory(
            store=self.store,
            table=records.WORKERS_TABLE,
            read=records.read_worker,
            clock=clock,
            announced=announced,
        )

    def config_follower(self) -> ConfigFollower:
        """Return a follower of the operator's configuration and waves."""
        return ConfigFollower(
            store=self.store,
            table=records.CONFIG_TABLE,
            key=records.CONFIG_KEY,
            read=records.read_config,
            read_wave=read_wave,
        )

    def front(self, job_frontend: JobFrontend, is_ready: Callable[[], bool]) -> Any:
        """Return the ASGI app that serves callers."""
        return Front(job_frontend=job_frontend, is_ready=is_ready)

    def readiness(self, is_ready: Callable[[], bool]) -> Any:
        """Return the ASGI app for the load balancer's readiness checks."""
        return Readiness(is_ready=is_ready)


def make_adapter(http: HttpClient) -> PlatformAdapter:
    """Return the adapter for the settings file named in the environment.

    Raises:
        FindingsError: The settings file is missing or malformed.
    """
    cfg = read_settings()
    return PlatformAdapter(
        settings=cfg,
        store=PlatformStore(
            address=cfg.store,
            http=http,
            carries_bytes_s=cfg.room.carries_bytes_s(),
            limits=cfg.table_limits,
        ),
        workers=PlatformWorkers(),
        permits=PlatformPermits(address=cfg.permits, http=http),
        machines=(
            PlatformMachines(address=cfg.machines, http=http) if cfg.machines else None
        ),
    )
