"""A crowd of clients that misbehave, as a process of its own.

Run it with `python -m tests.crowd KIND ADDRESS CONNECTIONS BYTES`. It opens the
connections and sends up to that many bytes on each, as fast as the server reads. It
reads no answers. Once no connection takes any more bytes, it prints a report as a JSON
line, and another one whenever the server closes a connection. It holds the connections
that are left until it is killed.
"""

import errno
import json
import selectors
import socket
import struct
import sys
import time
from collections.abc import Callable, Iterator
from typing import Final

import attrs

BLOCK: Final = 64 * 1024
BODY_BYTES: Final = 262_144
"""The largest body of a request, by the platform's documentation."""
SHORTEST: Final = b"GET / HTTP/1.1\r\n\r\n"
CHUNKED: Final = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
STUCK_S: Final = 3.0
"""A crowd whose bytes the server takes no more for this long reports what it has."""
LONGEST_S: Final = 20.0
ESTABLISHED: Final = 1
"""The state of an open connection in `TCP_INFO`."""


def _repeated(part: bytes, *, after: bytes = b"") -> Iterator[bytes]:
    block = part * (BLOCK // len(part))
    yield after
    while True:
        yield block


def _once(data: bytes) -> Iterator[bytes]:
    yield data


Payload = Callable[[], Iterator[bytes]]
KINDS: Final[dict[str, Payload]] = {
    "requests ahead": lambda: _repeated(SHORTEST),
    "metrics ahead": lambda: _repeated(b"GET /metrics HTTP/1.1\r\n\r\n"),
    "dumps ahead": lambda: _repeated(b"GET /v1/dump HTTP/1.1\r\n\r\n"),
    "target": lambda: _repeated(b"a", after=b"GET /"),
    "field name": lambda: _repeated(b"a", after=b"GET / HTTP/1.1\r\n"),
    "field value": lambda: _repeated(b"a", after=b"GET / HTTP/1.1\r\nX: "),
    "fields": lambda: _repeated(b"a:b\r\n", after=b"GET / HTTP/1.1\r\n"),
    "empty lines": lambda: _repeated(b"\r\n"),
    "trailers": lambda: _repeated(b"a:b\r\n", after=CHUNKED + b"0\r\n"),
    "trailer value": lambda: _repeated(b"a", after=CHUNKED + b"0\r\nX: "),
    "chunk extension": lambda: _repeated(b"a", after=CHUNKED + b"1;"),
    "small chunks": lambda: _repeated(b"1\r\na\r\n", after=CHUNKED),
    "chunked body": lambda: _repeated(
        b"fff\r\n" + b"a" * 4095 + b"\r\n", after=CHUNKED
    ),
    "body": lambda: _repeated(
        b"a", after=b"POST / HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n"
    ),
    "body without last byte": lambda: _once(
        b"POST /q/00 HTTP/1.1\r\nHost: host.example\r\n"
        b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"a" * (BODY_BYTES - 1)
    ),
    "nothing": lambda: _once(b""),
    "half a head": lambda: _once(b"GET / HTTP/1.1\r\nHost: host"),
}
"""What a connection of each kind of crowd sends."""


@attrs.define(kw_only=True, eq=False)
class _Client:
    """One connection.

    Attributes:
        sock: Its socket.
        parts: What it still sends.
        left: How many bytes it may still send.
        sent: How many it has sent.
    """

    sock: socket.socket
    parts: Iterator[bytes]
    left: int
    sent: int = 0
    _block: bytes = b""

    def send(self) -> bool:
        """Send as much as the connection takes; return whether more is to come."""
        while self.left > 0:
            if not self._block:
                self._block = next(self.parts, b"")
                if not self._block:
                    self._block = next(self.parts, b"")
                    if not self._block:
                        return False
            try:
                number = self.sock.send(self._block[: self.left])
            except BlockingIOError:
                return True
            except OSError:
                return False
            self._block = self._block[number:]
            self.left -= number
            self.sent += number
        return False

    def is_open(self) -> bool:
        """Return whether the server has not closed the connection."""
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return bool(struct.unpack("B", info)[0] == ESTABLISHED)


def _connect(address: tuple[str, int]) -> socket.socket | None:
    sock = socket.socket()
    sock.setblocking(False)
    found = sock.connect_ex(address)
    if found not in (0, errno.EINPROGRESS):
        sock.close()
        return None
    return sock


def _report(clients: list[_Client]) -> tuple[int, int]:
    return sum(each.is_open() for each in clients), sum(each.sent for each in clients)


def main() -> None:
    """Play the crowd named on the command line."""
    kind, address, connections, most_bytes = sys.argv[1:5]
    host, _, port = address.rpartition(":")
    selector = selectors.DefaultSelector()
    clients: list[_Client] = []
    for _ in range(int(connections)):
        sock = _connect((host, int(port)))
        if sock is None:
            continue
        client = _Client(sock=sock, parts=KINDS[kind](), left=int(most_bytes))
        clients.append(client)
        selector.register(sock, selectors.EVENT_WRITE, client)
        if len(clients) % 50 == 0:
            time.sleep(0.02)
    end = time.monotonic() + LONGEST_S
    last_sent = time.monotonic()
    while selector.get_map() and time.monotonic() < min(end, last_sent + STUCK_S):
        for key, _ in selector.select(0.1):
            before = key.data.sent
            if not key.data.send():
                selector.unregister(key.fileobj)
            if key.data.sent > before:
                last_sent = time.monotonic()
    shown: tuple[int, int] | None = None
    while True:
        found = _report(clients)
        if found != shown:
            shown = found
            print(json.dumps({"open": found[0], "sent": found[1]}), flush=True)
        time.sleep(0.1)


if __name__ == "__main__":
    main()
