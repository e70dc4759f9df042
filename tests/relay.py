"""A TCP relay that can be cut to simulate a partition between two processes."""

import socket
import threading
from typing import Final

import attrs

CHUNK: Final = 65536


@attrs.define(kw_only=True, eq=False)
class Relay:
    """Forwards connections to a target until it is cut.

    Attributes:
        target: Host and port to forward connections to.
        cut: Whether new connections are closed immediately.
    """

    target: tuple[str, int]
    cut: bool = False
    _listener: socket.socket = attrs.field(
        factory=lambda: socket.create_server(("127.0.0.1", 0))
    )
    _open: list[socket.socket] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def url(self) -> str:
        """The relay's base URL, to be used instead of the target's."""
        return f"http://127.0.0.1:{self._listener.getsockname()[1]}"

    def cut_connections(self) -> None:
        """Close all connections and refuse new ones."""
        self.cut = True
        for conn in self._open:
            conn.close()
        self._open.clear()

    def restore(self) -> None:
        """Forward connections again."""
        self.cut = False

    def _accept(self) -> None:
        while True:
            conn, _ = self._listener.accept()
            if self.cut:
                conn.close()
                continue
            try:
                upstream = socket.create_connection(self.target)
            except OSError:
                # The target is down; the client sees its connection closed.
                conn.close()
                continue
            self._open += [conn, upstream]
            for pair in ((conn, upstream), (upstream, conn)):
                threading.Thread(target=_pump, args=pair, daemon=True).start()


def _pump(source: socket.socket, sink: socket.socket) -> None:
    try:
        while data := source.recv(CHUNK):
            sink.sendall(data)
    except OSError:
        pass
    for each in (source, sink):
        try:
            each.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
