"""A host that is starting: its callers' connections wait instead of being refused."""

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
from tests.fakes import go
from tests.test_node import free_port

REQUEST = b"GET / HTTP/1.1\r\nHost: here\r\nConnection: close\r\n\r\n"


@pytest.fixture(name="port")
def early_port() -> Iterator[int]:
    """Return a port that was opened early; close what nobody took."""
    port = free_port()
    assert early_listen.open_early("127.0.0.1", port)
    yield port
    left = early_listen.take("127.0.0.1", port)
    if left is not None:
        left.close()


async def hello(scope: Any, receive: Any, send: Any) -> None:
    """Answer every request with 204."""
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


def test_who_connects_before_there_is_a_server_is_answered(port: int) -> None:
    """The connection and its request wait in the socket's queue."""

    async def run() -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        await writer.drain()
        server = HttpServer(app=hello, host="127.0.0.1", port=port)
        await server.start()
        try:
            return await asyncio.wait_for(reader.readline(), 10)
        finally:
            writer.close()
            await server.stop()

    assert go(run()).startswith(b"HTTP/1.1 204")


def test_a_socket_is_handed_over_once(port: int) -> None:
    """Two servers never share one."""
    taken = early_listen.take("127.0.0.1", port)
    assert taken is not None
    taken.close()
    assert early_listen.take("127.0.0.1", port) is None


def test_an_address_in_use_is_left_to_the_server_to_report() -> None:
    """It says why it cannot listen; an early fault would hide that."""
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        held.listen()
        port = held.getsockname()[1]
        assert not early_listen.open_early("127.0.0.1", port)
        assert early_listen.take("127.0.0.1", port) is None
        server = HttpServer(app=hello, host="127.0.0.1", port=port)
        with pytest.raises(OSError, match="cannot listen"):
            go(server.start())


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
def test_the_address_that_callers_use(
    text: str,
    expected: tuple[str, int] | None,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What is wrong with the file is reported by the reader of all settings."""
    path = tmp_path / "settings.toml"
    path.write_bytes(text.encode(errors="surrogateescape"))
    monkeypatch.setenv(FILE_VARIABLE, str(path))
    assert callers_address() == expected


def test_without_a_file_nothing_is_opened(monkeypatch: pytest.MonkeyPatch) -> None:
    """The variable may be missing where no node is meant."""
    monkeypatch.delenv(FILE_VARIABLE, raising=False)
    assert callers_address() is None


def test_the_door_is_open_before_any_library_is_loaded() -> None:
    """What loads first decides how long callers are refused at a start."""
    code = (
        "import sys; import cranberrycleat.start, cranberrycleat.platform.early; "
        "print([n for n in ('attrs', 'click', 'msgspec', 'aiohttp', 'asyncio') "
        "if n in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]"
