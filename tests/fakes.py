"""Test doubles: a table that delays commits, a worker without HTTP, endpoints."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import attrs

from cranberrycleat import errors
from cranberrycleat.amounts import Amounts
from cranberrycleat.clock import ManualClock
from cranberrycleat.messages import HostEntry, HostList, SyncOrder, SyncReply
from cranberrycleat.registry import PluginKind, register
from cranberrycleat.standins.table import MemoryTable
from cranberrycleat.standins.worker import WorkerStandin
from cranberrycleat.table import CommitReply, Row, Transaction

T = TypeVar("T")


def run_async(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion."""
    return asyncio.run(work)


@attrs.define(kw_only=True, eq=False)
class DelayedTable:
    """A table whose commits can be delayed and delivered later, or never.

    Attributes:
        inner: The underlying table.
        delay_commits: Whether commits are delayed; the sender gets no reply.
        drop_commits: How many of the next commits are lost before they are stored.
        held: The delayed commits.
    """

    inner: MemoryTable = attrs.field(factory=MemoryTable)
    delay_commits: bool = False
    drop_commits: int = 0
    held: list[Transaction] = attrs.field(factory=list)

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Read from the underlying table."""
        return await self.inner.read(keys=keys)

    async def scan(self, *, prefix: str) -> tuple[Row, ...]:
        """Scan the underlying table."""
        return await self.inner.scan(prefix=prefix)

    async def commit(self, txn: Transaction) -> CommitReply:
        """Commit to the underlying table, or delay the transaction."""
        if self.drop_commits:
            self.drop_commits -= 1
            raise errors.TableUnavailable("lost")
        if self.delay_commits:
            self.held.append(txn)
            raise errors.TableUnavailable("held back")
        return await self.inner.commit(txn)

    def deliver(self) -> None:
        """Deliver every delayed commit now."""
        for txn in self.held:
            self.inner.apply(txn)
        self.held.clear()


def host(name: str = "w1", *, processors: int = 4, slots: int = 8) -> HostEntry:
    """Return a listed worker of data centre `dc-a`."""
    return HostEntry(
        name=name,
        url=f"http://127.0.0.1/{name}",
        data_centre="dc-a",
        rack="r1",
        labels={},
        capacity=Amounts(processors=processors * 1000, memory_mb=8192, slots=slots),
    )


@attrs.define(kw_only=True, eq=False)
class DirectWorker:
    """A worker client that calls the stand-in without HTTP.

    Attributes:
        standin: The worker.
        disconnected: Whether orders are lost before they reach the worker.
        refuses_connections: Whether no connection to the worker can be established.
        late: Intercepted orders, for the test to deliver later.
        intercept: Whether orders are intercepted before they reach the worker.
    """

    standin: WorkerStandin
    disconnected: bool = False
    refuses_connections: bool = False
    intercept: bool = False
    late: list[SyncOrder] = attrs.field(factory=list)

    async def sync(self, order: SyncOrder) -> SyncReply:
        """Deliver the order, unless disconnected or intercepting."""
        if self.refuses_connections:
            raise errors.NotSent("refused")
        if self.intercept:
            self.late.append(order)
        if self.disconnected or self.intercept:
            raise errors.PeerUnavailable("cut")
        return self.standin.apply_orders(order)

    async def close(self) -> None:
        """Do nothing."""


def direct_worker(clock: ManualClock, name: str = "w1") -> DirectWorker:
    """Return a client of a new stand-in that uses the given clock."""
    standin = WorkerStandin(
        entry=host(name), host="127.0.0.1", port=0, platform_url="", clock=clock
    )
    return DirectWorker(standin=standin)


@attrs.define(kw_only=True, eq=False)
class ScriptedEndpoint:
    """An endpoint that follows a script of one word per request; the last repeats.

    `ok` responds; `close` reads the request and closes the connection; `partial`
    sends part of a response and closes; `refuse` refuses before it starts; `slow`
    responds after 0.5 s; `leave` responds and reports that it is leaving.
    """

    script: list[str]
    seen: list[str] = attrs.field(factory=list)
    port: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> "ScriptedEndpoint":
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def url(self) -> str:
        """The base URL of the endpoint."""
        return f"http://127.0.0.1:{self.port}"

    async def stop(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        names = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        await reader.readexactly(int(names.get("content-length", 0)))
        ident = names.get("x-request-id", "")
        self.seen.append(ident)
        word = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if word == "close":
            return False
        if word == "slow":
            await asyncio.sleep(0.5)
        body = ident.encode() + b" " + b"." * 20
        head = "503 No\r\nx-not-started: 1" if word == "refuse" else "200 OK"
        head += "\r\nx-endpoint-state: leaving" if word == "leave" else ""
        writer.write(f"HTTP/1.1 {head}\r\ncontent-length: {len(body)}\r\n\r\n".encode())
        writer.write(body[:10] if word == "partial" else body)
        await writer.drain()
        return word != "partial"


@attrs.define(kw_only=True, eq=False)
class MemoryPlatform(MemoryTable):
    """The in-memory table as a platform client, without HTTP."""

    async def hosts(self) -> HostList:
        """Return an empty list."""
        return HostList(hosts=())

    async def close(self) -> None:
        """Do nothing."""


@register(PluginKind.TABLE, "memory")
def memory_platform(*, url: str, timeout_s: float) -> MemoryPlatform:
    """Return a new platform client with its own table."""
    return MemoryPlatform()
