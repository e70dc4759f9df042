"""A fake of the platform's table, served over HTTP on a slow link, with faults."""

import asyncio
import base64
import contextlib
import json
import threading
from collections.abc import AsyncIterator, Coroutine
from typing import Any, Final
from urllib.parse import parse_qsl

import attrs

from cranberrycleat.asgi import Answer, read_body, send_answer
from cranberrycleat.http_client import HttpClient
from cranberrycleat.http_server import HttpServer
from cranberrycleat.platform.store import PlatformStore

QUEUES: Final = 400
WAIT_S: Final = 0.1
"""Long-poll time of a request for changes."""
STEP_S: Final = 0.02
READ_DEADLINE_S: Final = 12.0
"""Longer than all reads that a test allows."""


def document(version: int, queues: int = QUEUES) -> str:
    """Return a configuration as the operator writes it."""
    routes = [
        {
            "name": f"r-{number}",
            "host": "host.example",
            "prefix": f"/q{number}/",
            "service": "pool",
        }
        for number in range(queues)
    ]
    services = [{"name": "pool"}]
    return json.dumps({"version": version, "routes": routes, "services": services})


VERSION_BYTES: Final = len(base64.b64encode(document(1).encode()))
"""Size of a version with `QUEUES` queues as sent over the link."""


@attrs.define(kw_only=True, eq=False)
class SlowLinkTable:
    """ASGI app with the platform table's published protocol, behind a slow link.

    Attributes:
        transfer_s: Transfer time of a version with `QUEUES` queues.
        history: All changes, each with the full row, as the table keeps them.
        sent: Bytes sent over the link.
        asked: The paths of the calls received, in order.
        break_off_at: Bytes after which the next answer's connection closes.
        silent_at: Bytes after which the next answer's connection stalls.
        refusals: How many of the next calls are refused.
        expired_upto: Changes up to this version are no longer kept.
    """

    transfer_s: float
    history: tuple[dict[str, Any], ...] = ()
    sent: int = 0
    asked: list[str] = attrs.field(factory=list)
    break_off_at: int = 0
    silent_at: int = 0
    refusals: int = 0
    expired_upto: int = 0

    def forget(self) -> None:
        """Drop the whole history, as the platform may at any time."""
        self.expired_upto = self.history[-1]["schema_ver"]

    def write(self, version: int, queues: int = QUEUES) -> None:
        """Write a version, as the operator does."""
        value = base64.b64encode(document(version, queues).encode()).decode()
        row = {"table": "op", "part": "", "key": "config", "value": value}
        self.history = (*self.history, {**row, "schema_ver": version})

    @property
    def size(self) -> int:
        """Size of the newest row in bytes."""
        return len(json.dumps(self.history[-1]))

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request at the link's speed, until the client disconnects."""
        await read_body(receive)
        args = dict(parse_qsl(scope["query_string"].decode()))
        self.asked.append(scope["path"])
        if self.refusals > 0:
            self.refusals -= 1
            await send_answer(send, Answer(message={}, status=503))
            return
        if scope["path"] == "/api/rows-feed" and int(args["after"]) < self.expired_upto:
            await send_answer(send, Answer(message={}, status=410))
            return
        if scope["path"] == "/api/rows-feed":
            after = int(args["after"])
            history = await self._changed(after, int(args["wait_ms"]))
            rows = tuple(row for row in history if row["schema_ver"] > after)
        else:
            history = self.history
            rows = history[-1:]
        version = history[-1]["schema_ver"]
        data = json.dumps({"rows": rows, "schema_ver": version}).encode()
        disconnected = asyncio.ensure_future(receive())
        try:
            await self._send(send, data, disconnected)
        finally:
            disconnected.cancel()

    async def _changed(self, after: int, wait_ms: int) -> tuple[dict[str, Any], ...]:
        """Return the history once it has a newer version, or after the wait.

        The returned tuple is consistent: an answer's rows and version must belong
        together, and the operator writes from another thread.
        """
        for _ in range(round(wait_ms / 1000 / STEP_S)):
            if self.history[-1]["schema_ver"] > after:
                break
            await asyncio.sleep(STEP_S)
        return self.history

    async def _send(
        self, send: Any, data: bytes, disconnected: "asyncio.Future[Any]"
    ) -> None:
        headers = [(b"content-length", str(len(data)).encode())]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        bytes_per_step = max(1, round(VERSION_BYTES / self.transfer_s * STEP_S))
        break_off_at, self.break_off_at = self.break_off_at, 0
        silent_at, self.silent_at = self.silent_at, 0
        for offset in range(0, len(data), bytes_per_step):
            if disconnected.done() or 0 < break_off_at <= offset:
                return
            if 0 < silent_at <= offset:
                await disconnected
                return
            chunk = data[offset : offset + bytes_per_step]
            self.sent += len(chunk)
            is_partial = offset + bytes_per_step < len(data)
            await send(
                {"type": "http.response.body", "body": chunk, "more_body": is_partial}
            )
            await asyncio.sleep(STEP_S)


@contextlib.asynccontextmanager
async def slow_link(
    transfer_s: float,
) -> AsyncIterator[tuple[SlowLinkTable, PlatformStore]]:
    """Run the table and a client for it; it starts with version 1, which is small.

    The table runs in its own thread, so it continues while the hosts are paused.
    """
    table = SlowLinkTable(transfer_s=transfer_s)
    table.write(1, queues=1)
    server = HttpServer(app=table, host="127.0.0.1", port=0)
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    await on_loop(loop, server.start())
    http = HttpClient()
    try:
        yield table, PlatformStore(address=f"127.0.0.1:{server.port}", http=http)
    finally:
        await http.close()
        await on_loop(loop, _shut_down(server))
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


async def _shut_down(server: HttpServer) -> None:
    """Stop a server immediately, and cancel the requests in progress."""
    await server.kill()
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def on_loop(
    loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, None]
) -> None:
    """Run a coroutine on another thread's event loop and wait for it."""
    await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(work, loop))
