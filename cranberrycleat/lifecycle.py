"""Process lifecycle: start, run until a stop is requested, drain, stop.

Every process implements `Daemon`; `run` runs it until SIGTERM or SIGINT. The first
signal starts draining: become unready, wait for the load balancer, finish requests in
flight, hand over, exit. `BackgroundTasks` holds a daemon's tasks and logs failures.
"""

import asyncio
import gc
import logging
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final, Protocol, runtime_checkable

import attrs

from cranberrycleat.logs import flush, part_logger

LOG: Final[logging.Logger] = part_logger("process")
RESTART_DELAY_S: Final = 0.5
"""Delay before a failed task is restarted."""
GC_THRESHOLD: Final = 20_000
"""Allocations between collections, since each one scans all objects of a shard."""


class Daemon(Protocol):
    """Interface of a long-running process."""

    async def start(self) -> None:
        """Start serving; raises OSError if the address is in use."""

    async def drain(self) -> None:
        """Accept no new work, finish work in flight, hand over."""

    async def stop(self) -> None:
        """Cancel all tasks and close all connections."""

    @property
    def url(self) -> str:
        """The daemon's base URL."""


@attrs.define(kw_only=True, eq=False)
class BackgroundTasks:
    """The background tasks of one component."""

    tasks: set["asyncio.Task[None]"] = attrs.field(factory=set)

    def spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Run a coroutine as a task until it ends or `cancel` is called."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def keep(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run work until `cancel` is called; after a failure log it and restart."""
        self.spawn(self._run_with_restart(work))

    async def _run_with_restart(
        self, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await work()
                return
            except Exception:
                LOG.exception("Background task failed; restarting it.")
            await asyncio.sleep(RESTART_DELAY_S)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("Background task failed.", exc_info=task.exception())

    async def cancel(self) -> None:
        """Cancel all tasks and wait for them to end."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@runtime_checkable
class Reloadable(Protocol):
    """A daemon whose settings can be reloaded while it runs."""

    def reload_settings(self) -> None:
        """Reload the settings."""


def _reload_settings(daemon: Daemon) -> None:
    """Handle SIGHUP."""
    if isinstance(daemon, Reloadable):
        daemon.reload_settings()
        return
    LOG.info("Ignoring SIGHUP: flags and environment cannot be reloaded.")


async def run(daemon: Daemon, *, announce: str) -> None:
    """Run a daemon until a signal requests a stop.

    Args:
        daemon: The daemon.
        announce: The daemon's name, printed with its URL once it listens, so that
            the parent process learns the port.
    """
    # Objects created at start-up live forever, so the collector can skip them.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    # Without a handler SIGHUP would terminate the process.
    loop.add_signal_handler(signal.SIGHUP, _reload_settings, daemon)
    await daemon.start()
    print(f"{announce} listening on {daemon.url}", flush=True)
    await stop_requested.wait()
    LOG.info("Draining.")
    await daemon.drain()
    await daemon.stop()
    LOG.info("Stopped.")
    # Log lines are buffered; write the last ones before the process exits.
    flush()
