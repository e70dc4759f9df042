"""The life of a process: start, run until told to stop, drain, stop.

Every daemon is a `Part`; `run` drives one until SIGTERM or SIGINT. The first
signal drains: not ready, wait out the balancer, finish what is in flight, hand
over, exit. `Background` keeps the tasks of a part and reports one that fails.
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
"""The pause before a task that failed begins again."""
GC_THRESHOLD: Final = 20_000
"""Allocations between collections; each looks through what a shard holds."""


class Daemon(Protocol):
    """What a process consists of."""

    async def start(self) -> None:
        """Begin to serve; raises OSError where the address is taken."""

    async def drain(self) -> None:
        """Take no new work, finish what is in flight, hand over."""

    async def stop(self) -> None:
        """End every task and close every connection."""

    @property
    def url(self) -> str:
        """The base URL it answers at."""


@attrs.define(kw_only=True, eq=False)
class BackgroundTasks:
    """The background tasks of one part."""

    tasks: set["asyncio.Task[None]"] = attrs.field(factory=set)

    def spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Run a coroutine until it ends or `cancel` is called."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def keep(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run work until `cancel`; where it fails, log that and begin it again."""
        self.spawn(self._run_with_restart(work))

    async def _run_with_restart(
        self, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await work()
                return
            except Exception:
                LOG.exception("A task failed and begins again.")
            await asyncio.sleep(RESTART_DELAY_S)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("A task failed.", exc_info=task.exception())

    async def cancel(self) -> None:
        """End every task and wait until they have ended."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@runtime_checkable
class Reloadable(Protocol):
    """A part whose settings may change while it runs."""

    def reload_settings(self) -> None:
        """Take in settings that may have changed."""


def _reload_settings(daemon: Daemon) -> None:
    """Answer SIGHUP."""
    if isinstance(daemon, Reloadable):
        daemon.reload_settings()
        return
    LOG.info("Told to read settings again; flags and environment stay.")


async def run(daemon: Daemon, *, announce: str) -> None:
    """Run a part until the process is told to stop.

    Args:
        part: What to run.
        announce: The part's name; printed with its URL once it listens, so
            that whoever started the process learns its port.
    """
    # What start-up made stays for good: the collector need not look at it.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    # Without a handler the signal would end the process.
    loop.add_signal_handler(signal.SIGHUP, _reload_settings, daemon)
    await daemon.start()
    print(f"{announce} listening on {daemon.url}", flush=True)
    await stop_requested.wait()
    LOG.info("Draining.")
    await daemon.drain()
    await daemon.stop()
    LOG.info("Stopped.")
    # Lines gather for a moment before they are written; the last ones can't.
    flush()
