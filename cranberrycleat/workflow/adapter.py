"""Interface that a platform adapter package implements for a node."""

from collections.abc import Callable
from typing import Any, Protocol

from cranberrycleat.clock import Clock
from cranberrycleat.table import Put, Row
from cranberrycleat.workflow.announcements import Announcements
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
    """A platform as seen by a node."""

    @property
    def settings(self) -> NodeSettings:
        """The settings in force, as last read."""

    def reload_settings(self) -> tuple[str, ...]:
        """Reload the settings; return the names of those that changed.

        Raises:
            FindingsError: They cannot be read; the previous ones stay in force.
        """

    @property
    def store(self) -> FeedTable:
        """The platform's table."""

    @property
    def workers(self) -> WorkerClient:
        """Client for orders to workers."""

    @property
    def permits(self) -> PermitClient:
        """Client for the permit service."""

    @property
    def machines(self) -> MachineClient | None:
        """Client for the platform's machine API, or None if it has none."""

    def wave_status(self, number: int, state: str) -> Put:
        """Return the write that reports a maintenance wave's state to the operator."""

    def wave_state(self, row: Row) -> str:
        """Return a maintenance wave's state that was written for the operator.

        Raises:
            FindingsError: The row cannot be decoded.
        """

    def directory(self, clock: Clock, announced: Announcements) -> WorkerDirectory:
        """Return a new reader of the worker directory.

        Args:
            clock: The clock by which it dates its reads.
            announced: What this host knows of workers that leave; it adds to that.
        """

    def config_follower(self) -> ConfigFollower:
        """Return a new follower of the configuration."""

    def front(self, job_frontend: JobFrontend, is_ready: Callable[[], bool]) -> Any:
        """Return the ASGI app that serves callers."""

    def readiness(self, is_ready: Callable[[], bool]) -> Any:
        """Return the ASGI app for the load balancer's readiness checks."""
