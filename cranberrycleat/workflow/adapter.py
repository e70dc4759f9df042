"""What a node needs of a platform: one object that an adapter package builds."""

from collections.abc import Callable
from typing import Any, Protocol

from cranberrycleat.table import Put
from cranberrycleat.workflow.directory import ConfigFollower, WorkerDirectory
from cranberrycleat.workflow.job_frontend import JobFrontend
from cranberrycleat.workflow.ports import (
    FeedTable,
    NodeSettings,
    PermitClient,
    WorkerClient,
)
from cranberrycleat.workflow.upkeep import MachineClient


class Adapter(Protocol):
    """One platform, as a node sees it."""

    @property
    def settings(self) -> NodeSettings:
        """What this process was told at its start."""

    def reload_settings(self) -> tuple[str, ...]:
        """Read the settings again; return the names of those that changed.

        Raises:
            FindingsError: They cannot be read; the last stay in force.
        """

    @property
    def store(self) -> FeedTable:
        """The platform's table."""

    @property
    def workers(self) -> WorkerClient:
        """Orders to workers."""

    @property
    def permits(self) -> PermitClient:
        """The permit service."""

    @property
    def machines(self) -> MachineClient | None:
        """The platform's interface to machines, where it has one."""

    def wave_status(self, number: int, state: str) -> Put:
        """Return the write that tells the operator of a wave's state."""

    def directory(self) -> WorkerDirectory:
        """Return a reader of the list of workers."""

    def config_follower(self) -> ConfigFollower:
        """Return a follower of the configuration."""

    def front(self, job_frontend: JobFrontend, is_ready: Callable[[], bool]) -> Any:
        """Return the ASGI app that callers reach."""

    def readiness(self, is_ready: Callable[[], bool]) -> Any:
        """Return the ASGI app that the balancer asks."""
