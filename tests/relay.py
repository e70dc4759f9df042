"""A small TCP relay that can be cut, to part one process from another."""

import socket
import threading
from typing import Final

import attrs

CHUNK: Final = 65536


@attrs.define(kw_only=True, eq=False)
class Relay:
    """Passes connections on to a target until it is cut.

    Attributes:
        target: Host and port to pass connections on to.
        cut: Whether connections are refused and open ones broken.
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
        """The base URL to connect to instead of the target's."""
        return f"http://127.0.0.1:{self._listener.getsockname()[1]}"

    def cut_connections(self) -> None:
        """Break every connection and refuse new ones."""
        self.cut = True
        for conn in self._open:
            conn.close()
        self._open.clear()

    def restore(self) -> None:
        """Pass connections on again."""
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
                # The target is gone; a caller sees that its connection ends.
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
