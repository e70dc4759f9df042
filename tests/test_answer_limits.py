"""Answers without end, which this system reads as a client."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import pytest

from cranberrycleat import errors, http_calls
from cranberrycleat.http_client import HttpClient, ResponseTooLarge
from cranberrycleat.platform.store import PlatformStore
from cranberrycleat.table import TableLimits
from tests.fakes import run_async

BLOCK = b"10000\r\n" + b" " * 65536 + b"\r\n"
MOST_BYTES = 128_000_000
"""Twice the largest limit. A host has 200 MB of memory and more."""
TIMEOUT_S = 20.0
ENDS = {
    "body": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
}
Call = Callable[[str], Awaitable[object]]


async def ask_worker(url: str) -> object:
    """Call as the clients for workers, peers, permits and machines do."""
    http = HttpClient()
    try:
        return await http.call("POST", f"http://{url}/x", timeout_s=TIMEOUT_S)
    finally:
        await http.close()


async def ask_store(url: str) -> object:
    """Read rows as the client for the store does."""
    http = HttpClient()
    store = PlatformStore(address=url, http=http, limits=TableLimits())
    try:
        return await store.scan(prefix="servers/")
    finally:
        await http.close()


async def ask_process(url: str) -> object:
    """Call as gateways and schedulers do."""
    async with http_calls.make_client(timeout_s=TIMEOUT_S) as client:
        return await http_calls.call(client, "GET", f"http://{url}/x", dict[str, int])


# Guards against a process that reads an answer until its memory is used up.
@pytest.mark.parametrize(
    ("call", "error"),
    [
        (ask_worker, ResponseTooLarge),
        (ask_store, errors.TableUnavailable),
        (ask_process, errors.PeerUnavailable),
    ],
)
@pytest.mark.parametrize("kind", ENDS)
def test_answer_without_end_is_not_read(
    call: Call, error: type[Exception], kind: str
) -> None:
    sent: list[int] = []

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ENDS[kind])
        number = len(sent)
        sent.append(0)
        with contextlib.suppress(ConnectionError):
            while sent[number] < MOST_BYTES and not writer.is_closing():
                writer.write(BLOCK)
                sent[number] += len(BLOCK)
                await writer.drain()

    async def run() -> None:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(error):
            await call(f"127.0.0.1:{port}")
        server.close()

    run_async(run())
    assert max(sent) < MOST_BYTES, sent
