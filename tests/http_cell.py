"""A cell whose workers are called over HTTP, by hosts that fail.

A worker holds a limited number of connections. It does not learn that a host has lost
power or is cut off, so that connections of such hosts stay open there.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

import attrs

from cranberrycleat import errors
from cranberrycleat.http_client import HttpClient, HttpReply
from cranberrycleat.platform.workers import PlatformWorkers
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.table import CommitReply, Row, Transaction
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.ports import Feed, Snapshot, WorkerEntry, WorkerUnreachable
from tests.cell import Cell, cell, entry
from tests.http_workers import HttpWorker, at

MAX_OPEN: Final = 64
"""Connections that a worker holds, by the platform's documentation."""
TABLE_TIMEOUT_S: Final = 0.2
UNLIMITED_S: Final = 3600.0
"""`HostWorkers` applies the time limits of calls itself: the HTTP client would close
the connection of a call that has timed out, also at a worker that is cut off."""


@attrs.define(kw_only=True, eq=False)
class HostWorkers(PlatformWorkers):
    """The client of a host that may be cut off from workers, or lose power.

    Calls to a worker that the host is cut off from get no answer, nor do those under
    way. Connections that the host closes meanwhile stay open at the worker until the
    cut ends; after a loss of power they stay open for good.

    Attributes:
        has_power: Whether the host has power.
        cut_off: The names of the workers that it is cut off from.
    """

    has_power: bool = True
    cut_off: set[str] = attrs.field(factory=set)
    _under_way: dict[str, set["asyncio.Future[None]"]] = attrs.field(factory=dict)
    _unanswered: dict[str, set["asyncio.Task[HttpReply]"]] = attrs.field(factory=dict)
    _unclosed: dict[str, list[Callable[[], Awaitable[None]]]] = attrs.field(
        factory=dict
    )

    def cut(self, worker: str) -> None:
        """Cut the host off from a worker."""
        self.cut_off.add(worker)
        for cut in self._under_way.get(worker, ()):
            if not cut.done():
                cut.set_result(None)

    async def heal(self, worker: str) -> None:
        """End a cut: what the host has closed meanwhile is closed at the worker."""
        self.cut_off.discard(worker)
        if self.has_power:
            await self._close_left(worker)

    async def heal_with_reset(self, entry: WorkerEntry) -> None:
        """End a cut; no connection outlasts it."""
        channel = self._channels.get(entry.incarnation)
        if channel is not None and self.has_power:
            await channel.close()
        await self.heal(entry.worker)

    async def close(self) -> None:
        """Close every connection, also those left open by faults."""
        for worker in {*self._unanswered, *self._unclosed}:
            await self._close_left(worker)
        await PlatformWorkers.close(self)

    async def release(self, entry: WorkerEntry) -> None:
        """Close connections, as far as the worker learns of it."""
        if self._reaches(entry.worker):
            await PlatformWorkers.release(self, entry)
            return
        channel = self._channels.pop(entry.incarnation, None)
        if channel is not None:
            self._unclosed.setdefault(entry.worker, []).append(channel.close)

    async def release_orders(self, entry: WorkerEntry) -> None:
        """Close the connections for orders, as far as the worker learns of it."""
        if self._reaches(entry.worker):
            await PlatformWorkers.release_orders(self, entry)
            return
        channel = self._channels.get(entry.incarnation)
        if channel is not None:
            self._unclosed.setdefault(entry.worker, []).append(channel.orders.close)
            channel.orders = HttpClient()

    def _reaches(self, worker: str) -> bool:
        return self.has_power and worker not in self.cut_off

    async def _close_left(self, worker: str) -> None:
        calls = self._unanswered.pop(worker, set())
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        for close in self._unclosed.pop(worker, []):
            await close()

    async def _call(
        self,
        entry: WorkerEntry,
        path: str,
        body: object,
        limit_s: float,
        *,
        http: HttpClient | None = None,
        required_connection: int | None = None,
    ) -> HttpReply:
        worker = entry.worker
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_s
        if not self._reaches(worker):
            await asyncio.sleep(limit_s)
            raise WorkerUnreachable(f"{worker}: cut off")
        call = asyncio.create_task(
            PlatformWorkers._call(
                self,
                entry,
                path,
                body,
                UNLIMITED_S,
                http=http,
                required_connection=required_connection,
            )
        )
        cut: asyncio.Future[None] = loop.create_future()
        under_way = self._under_way.setdefault(worker, set())
        under_way.add(cut)
        awaited: set[asyncio.Future[Any]] = {call, cut}
        try:
            await asyncio.wait(
                awaited, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
            )
            if call.done():
                return call.result()
            if cut.done():
                await asyncio.sleep(end - loop.time())
            raise WorkerUnreachable(f"{worker}: no answer after {limit_s:.3f} s")
        finally:
            under_way.discard(cut)
            await self._abandon(worker, call)

    async def _abandon(self, worker: str, call: "asyncio.Task[HttpReply]") -> None:
        """Close the connection of a call that is not done, if the worker learns of it.

        It does where a cut has ended before the call's time limit.
        """
        call.add_done_callback(lambda done: done.cancelled() or done.exception())
        if call.done():
            return
        if self._reaches(worker):
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            return
        self._unanswered.setdefault(worker, set()).add(call)


@attrs.define(kw_only=True, eq=False)
class HostTable:
    """A host's access to the table, from which it may be cut off.

    Attributes:
        table: The table.
        cut_off: Whether calls get no answer.
    """

    table: MemoryFeedTable
    cut_off: bool = False

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Read from the table."""
        await self._reach()
        return await self.table.read(keys=keys)

    async def scan(self, *, prefix: str) -> tuple[Row, ...]:
        """Scan the table."""
        await self._reach()
        return await self.table.scan(prefix=prefix)

    async def commit(self, txn: Transaction) -> CommitReply:
        """Commit to the table."""
        await self._reach()
        return await self.table.commit(txn)

    async def snapshot(self, *, table: str) -> Snapshot:
        """Return a snapshot of a table."""
        await self._reach()
        return await self.table.snapshot(table=table)

    async def follow(
        self, *, table: str, after: int, wait_s: float, max_bytes: int | None = None
    ) -> Feed:
        """Return the changes of a table."""
        await self._reach()
        feed = await self.table.follow(table=table, after=after, wait_s=wait_s)
        await self._reach()
        return feed

    async def _reach(self) -> None:
        if self.cut_off:
            await asyncio.sleep(TABLE_TIMEOUT_S)
            raise errors.TableUnavailable("cut off")


@attrs.define(kw_only=True, eq=False)
class HttpCell:
    """A cell whose workers are called over HTTP.

    Attributes:
        cell: The table, the workers and the owners.
        max_open: How many connections each worker holds.
        workers: The workers' processes.
        clients: The client of each host so far.
    """

    cell: Cell
    max_open: int = MAX_OPEN
    workers: dict[str, HttpWorker] = attrs.field(factory=dict)
    clients: list[HostWorkers] = attrs.field(factory=list)

    async def add_worker(
        self, name: str, processors: int, born_ms: int = 0
    ) -> HttpWorker:
        """Start a worker's process and list it."""
        process = self.workers[name] = HttpWorker(
            fleet=self.cell.fleet, name=name, max_open=self.max_open
        )
        await process.start()
        listed = entry(name, processors=processors, born_ms=born_ms)
        found = at(listed, process.port)
        self.cell.entries[name] = found
        self.cell.fleet.add(found)
        self.cell.list_worker(name)
        return process

    def add_client(self) -> HostWorkers:
        """Return the client of a new host."""
        client = HostWorkers()
        self.clients.append(client)
        return client

    async def own(self, name: str) -> Owner:
        """Take over on a host, with connections of its own."""
        owner = self.cell.make_owner(name, client=self.add_client())
        while not await owner.lease.acquire():
            await asyncio.sleep(0.02)
        self.cell.tasks.append(asyncio.create_task(owner.run()))
        await owner.ready.wait()
        return owner

    async def power_off(self) -> None:
        """Cut the owning host's power: its connections stay open at the workers."""
        self.clients[-1].has_power = False
        task = self.cell.tasks.pop()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@contextlib.asynccontextmanager
async def http_cell(
    workers: int,
    processors: int,
    *,
    max_open: int = MAX_OPEN,
    born_ms: int = 0,
    worker_lease_s: float = 3.0,
) -> AsyncIterator[HttpCell]:
    """Run a cell with workers that are called over HTTP."""
    async with cell(workers=0, worker_lease_s=worker_lease_s) as env:
        found = HttpCell(cell=env, max_open=max_open)
        for number in range(workers):
            await found.add_worker(f"w{number}", processors, born_ms)
        try:
            yield found
        finally:
            for client in found.clients:
                await client.close()
            for process in found.workers.values():
                await process.kill()
