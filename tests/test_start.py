"""Callers' connections to a starting host must wait instead of being refused."""

import asyncio
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from cranberrycleat import early_listen
from cranberrycleat.http_server import HttpServer
from cranberrycleat.platform.early import FILE_VARIABLE, callers_address
from tests.fakes import run_async
from tests.test_node import free_port

REQUEST = b"GET / HTTP/1.1\r\nHost: here\r\nConnection: close\r\n\r\n"


@pytest.fixture(name="port")
def early_port() -> Iterator[int]:
    """Yield a port that was opened early; close its socket if the test left it."""
    port = free_port()
    assert early_listen.listen_early("127.0.0.1", port)
    yield port
    unused = early_listen.take_socket("127.0.0.1", port)
    if unused is not None:
        unused.close()


async def no_content_app(scope: Any, receive: Any, send: Any) -> None:
    """Answer every request with 204."""
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


def test_early_connection_is_served_after_server_start(port: int) -> None:
    """The connection and its request wait in the listen queue."""

    async def run() -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        await writer.drain()
        server = HttpServer(app=no_content_app, host="127.0.0.1", port=port)
        await server.start()
        try:
            return await asyncio.wait_for(reader.readline(), 10)
        finally:
            writer.close()
            await server.stop()

    assert run_async(run()).startswith(b"HTTP/1.1 204")


# Guards against answers that the kernel holds back for 40 ms: the head and the body of
# an answer are two writes.
def test_answers_on_early_socket_are_sent_at_once(port: int) -> None:
    async def run() -> list[int]:
        server = HttpServer(app=no_content_app, host="127.0.0.1", port=port)
        await server.start()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST.replace(b"close", b"keep-alive"))
            await reader.readline()
            assert server._server is not None
            found = [
                conn.transport.get_extra_info("socket").getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY
                )
                for conn in server._server.server_state.connections
            ]
            writer.close()
            return found
        finally:
            await server.stop()

    assert [bool(each) for each in run_async(run())] == [True]


def test_early_socket_is_taken_once(port: int) -> None:
    """Two servers never share a socket."""
    taken = early_listen.take_socket("127.0.0.1", port)
    assert taken is not None
    taken.close()
    assert early_listen.take_socket("127.0.0.1", port) is None


def test_address_in_use_is_reported_by_server() -> None:
    """The server reports why it cannot listen; an early failure would hide it."""
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        held.listen()
        port = held.getsockname()[1]
        assert not early_listen.listen_early("127.0.0.1", port)
        assert early_listen.take_socket("127.0.0.1", port) is None
        server = HttpServer(app=no_content_app, host="127.0.0.1", port=port)
        with pytest.raises(OSError, match="cannot listen"):
            run_async(server.start())


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('[listen]\nfront = "10.1.0.13:8161"', ("10.1.0.13", 8161)),
        ('[listen]\nfront = "10.1.0.13"', None),
        ("[listen]\nfront = 3", None),
        ('listen = "x"', None),
        ("", None),
        ("[listen", None),
        ("\udcff", None),
    ],
)
def test_callers_address_is_read_from_settings_file(
    text: str,
    expected: tuple[str, int] | None,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Faults in the file give no address; the full settings reader reports them."""
    path = tmp_path / "settings.toml"
    path.write_bytes(text.encode(errors="surrogateescape"))
    monkeypatch.setenv(FILE_VARIABLE, str(path))
    assert callers_address() == expected


def test_missing_settings_file_gives_no_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The variable may be unset for processes other than nodes."""
    monkeypatch.delenv(FILE_VARIABLE, raising=False)
    assert callers_address() is None


def test_early_listen_needs_no_libraries() -> None:
    """Imports before the socket opens extend the time in which callers are refused."""
    code = (
        "import sys; import cranberrycleat.start, cranberrycleat.platform.early; "
        "print([n for n in ('attrs', 'click', 'msgspec', 'aiohttp', 'asyncio') "
        "if n in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]"
