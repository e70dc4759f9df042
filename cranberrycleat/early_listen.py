"""Opens a daemon's listening socket before its libraries are loaded.

Loading them takes most of a start: 0.5 s of a core. Where every host was
restarted at once, callers found nobody listening for that time, used up their
retries against refused connections and were lost (27 of 64 jobs that were handed
in in the two seconds of such a restart). A socket that is open from the first
moment keeps their connections in its queue instead, and they are answered as soon
as there is somebody to answer. Peers' sockets are not opened early: a peer that
finds nobody listening there may take the ownership over.

Imports only what the interpreter has loaded anyway, so that it runs first.
`HttpServer` takes the socket by its address. What cannot be opened here is left
to the server, which reports the fault with its place.
"""

import socket
from typing import Final

BACKLOG: Final = 2048
"""Connections that may wait: ten times what a host is offered in a start."""

_sockets: dict[tuple[str, int], socket.socket] = {}


def listen_early(host: str, port: int) -> bool:
    """Listen at an address; return whether that was possible."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        # Not an error yet: the server tries again, and says why it cannot.
        sock.close()
        return False
    sock.setblocking(False)
    _sockets[(host, sock.getsockname()[1])] = sock
    return True


def take_socket(host: str, port: int) -> socket.socket | None:
    """Hand over the socket that was opened early at an address, once."""
    return _sockets.pop((host, port), None)
