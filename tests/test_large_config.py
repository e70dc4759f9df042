"""A configuration that takes long to read comes into force all the same.

What was seen: a caller was served on a queue that the newest configuration no longer
had, seconds after that configuration had been acknowledged. 6 hosts with fast links
had it in force within 0.3 s, 39 with links of 5 Mbit/s never, until the record ended;
their links were full all the while, their processors idle, and their logs silent.

How it came about: the configuration had grown to 4,245 queues, 1,019 KB as the table
sends it, 1.74 s on such a link. A reading was given what the question may wait (1 s)
and what a short answer may take (0.7 s at most), for all that it carried. So each was
cut off, threw away what had come and began anew, for ever.

What proved it: logs of a run with such a configuration, in which each reading ended at
1.70 s with 982,964 of 1,036,780 bytes there; and the first test below, which needs
nothing but a slow link.
"""

import asyncio
import base64
import contextlib
import json
import threading
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, Final
from urllib.parse import parse_qsl

import attrs
import pytest

from cranberrycleat import errors
from cranberrycleat.asgi import read_body
from cranberrycleat.http_client import HttpClient
from cranberrycleat.http_server import HttpServer
from cranberrycleat.platform.records import CONFIG_KEY, CONFIG_TABLE, read_config
from cranberrycleat.platform.store import PlatformStore
from cranberrycleat.workflow.directory import ConfigFollower
from tests.fakes import go

QUEUES: Final = 400
WAIT_S: Final = 0.1
"""For how long the table holds a question for changes open."""
STEP_S: Final = 0.02
LONGEST_S: Final = 12.0
"""Longer than any number of readings that a test allows."""


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


@attrs.define(kw_only=True, eq=False)
class SlowLinkTable:
    """The operator's table by its published protocol, behind a slow link.

    Attributes:
        transfer_s: How long the link takes for one version of the configuration.
        history: Every change, each in full, as the table keeps them.
        sent: Bytes that went over the link.
        asked: The calls that came, in order.
        break_off_at: Bytes after which the next answer's connection ends.
        silent_at: Bytes after which the next answer's connection falls silent.
    """

    transfer_s: float
    history: list[dict[str, Any]] = attrs.field(factory=list)
    sent: int = 0
    asked: list[str] = attrs.field(factory=list)
    break_off_at: int = 0
    silent_at: int = 0

    def write(self, version: int, queues: int = QUEUES) -> None:
        """Write a version, as the operator does."""
        value = base64.b64encode(document(version, queues).encode()).decode()
        row = {"table": "op", "part": "", "key": "config", "value": value}
        self.history.append({**row, "schema_ver": version})

    @property
    def size(self) -> int:
        """Bytes of the newest row."""
        return len(json.dumps(self.history[-1]))

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request at the link's pace, until the caller has left."""
        await read_body(receive)
        args = dict(parse_qsl(scope["query_string"].decode()))
        self.asked.append(scope["path"])
        if scope["path"] == "/api/rows-feed":
            rows = await self._changes(int(args["after"]), int(args["wait_ms"]))
        else:
            rows = self.history[-1:]
        version = self.history[-1]["schema_ver"]
        data = json.dumps({"rows": rows, "schema_ver": version}).encode()
        left = asyncio.ensure_future(receive())
        try:
            await self._send(send, data, left)
        finally:
            left.cancel()

    async def _changes(self, after: int, wait_ms: int) -> list[dict[str, Any]]:
        for _ in range(max(1, round(wait_ms / 1000 / STEP_S))):
            found = [row for row in self.history if row["schema_ver"] > after]
            if found:
                return found
            await asyncio.sleep(STEP_S)
        return []

    async def _send(self, send: Any, data: bytes, left: "asyncio.Future[Any]") -> None:
        headers = [(b"content-length", str(len(data)).encode())]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        pace = max(1, round(self.size / self.transfer_s * STEP_S))
        break_off_at, self.break_off_at = self.break_off_at, 0
        silent_at, self.silent_at = self.silent_at, 0
        for begin in range(0, len(data), pace):
            if left.done() or 0 < break_off_at <= begin:
                return
            if 0 < silent_at <= begin:
                await left
                return
            part = data[begin : begin + pace]
            self.sent += len(part)
            more = begin + pace < len(data)
            await send({"type": "http.response.body", "body": part, "more_body": more})
            await asyncio.sleep(STEP_S)


@contextlib.asynccontextmanager
async def slow_link(
    transfer_s: float,
) -> AsyncIterator[tuple[SlowLinkTable, PlatformStore]]:
    """Run such a table and a client of it; version 1 is there and small.

    The table has a thread of its own, so that it goes on while a host stands still.
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
        await on_loop(loop, server.kill())
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


async def on_loop(
    loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, None]
) -> None:
    """Wait for what runs on another thread's event loop."""
    await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(work, loop))


def follower(store: PlatformStore) -> ConfigFollower:
    """Return a follower that has read nothing yet."""
    return ConfigFollower(
        store=store, table=CONFIG_TABLE, key=CONFIG_KEY, read=read_config
    )


async def follow_until(held: ConfigFollower, done: Callable[[], bool]) -> None:
    """Follow as a host does, again after each reading without result.

    Raises:
        TimeoutError: It did not come about.
    """
    async with asyncio.timeout(LONGEST_S):
        while not done():
            try:
                await held.follow(WAIT_S)
            except errors.TableUnavailable:
                await asyncio.sleep(WAIT_S)


def holds(held: ConfigFollower, version: int) -> bool:
    """Tell whether a version is in force."""
    return held.current is not None and held.current.version == version


def test_a_configuration_that_takes_long_to_read_comes_into_force() -> None:
    """A link that takes 2 s for it, which a short answer is never given."""

    async def run() -> None:
        async with slow_link(2.0) as (table, store):
            held = follower(store)
            await follow_until(held, lambda: holds(held, 1))
            table.write(2)
            table.sent = 0
            await follow_until(held, lambda: holds(held, 2))
            assert table.sent < 2 * table.size, "the link was filled again and again"

    go(run())


def test_a_host_that_starts_reads_a_configuration_that_takes_long() -> None:
    """The first reading is of the whole table, not of changes: the same limit."""

    async def run() -> None:
        async with slow_link(3.0) as (table, store):
            table.write(2)
            held = follower(store)
            await follow_until(held, lambda: holds(held, 2))
            assert table.sent < 2 * table.size

    go(run())


def test_versions_that_others_have_replaced_are_not_read() -> None:
    """In a series a host reads the newest, however many it has missed.

    Each version goes over the link in full, so that a host which reads one after
    the other is the further behind the longer the series lasts.
    """

    async def run() -> None:
        async with slow_link(0.8) as (table, store):
            held = follower(store)
            await follow_until(held, lambda: holds(held, 1))
            table.sent = 0
            table.write(2)
            reading = asyncio.create_task(follow_until(held, lambda: holds(held, 12)))
            for version in range(3, 13):
                await asyncio.sleep(0.05)
                table.write(version)
            await reading
            assert table.sent < 3.5 * table.size, "one in progress, then the newest"

    go(run())


@pytest.mark.parametrize("fault", ["break_off_at", "silent_at"])
def test_half_a_configuration_is_never_taken_in(fault: str) -> None:
    """A reading that ends halfway leaves what is held, and is begun again."""

    async def run() -> None:
        async with slow_link(0.4) as (table, store):
            held = follower(store)
            await follow_until(held, lambda: holds(held, 1))
            table.write(2)
            setattr(table, fault, table.size // 2)
            with pytest.raises(errors.TableUnavailable):
                await held.follow(1.0)
            assert holds(held, 1)
            await follow_until(held, lambda: holds(held, 2))

    go(run())


def test_a_host_that_was_paused_while_it_read_goes_on_reading() -> None:
    """Its time was over while it stood still, but the bytes are there."""

    async def run() -> None:
        async with slow_link(1.5) as (table, store):
            held = follower(store)
            await follow_until(held, lambda: holds(held, 1))
            table.write(2)
            table.sent = 0
            reading = asyncio.create_task(follow_until(held, lambda: holds(held, 2)))
            for _ in range(2):
                await asyncio.sleep(0.3)
                time.sleep(1.5)
            await reading
            assert table.sent < 1.2 * table.size, "it began anew"

    go(run())


@pytest.mark.parametrize("way", ["workers", "rows", "one row"])
def test_what_else_is_large_is_read_too(way: str) -> None:
    """A list of workers, rows at a takeover, one row: they share the way to the table.

    Rows at a takeover decide whether a weak host can ever own.
    """

    async def run() -> None:
        async with slow_link(3.0) as (table, store):
            table.write(2)
            table.asked = []
            async with asyncio.timeout(LONGEST_S):
                match way:
                    case "workers":
                        feed = await store.follow(table="op", after=1, wait_s=0.0)
                        rows = [change.row for change in feed.changes]
                    case "rows":
                        rows = list((await store.snapshot(table="op")).rows)
                    case _:
                        rows = list(await store.read(keys=("op/config",)))
            assert [row.version for row in rows if row is not None] == [2]
            assert len(table.asked) == 1, "nothing was read again"

    go(run())
