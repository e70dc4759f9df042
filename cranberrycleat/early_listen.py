"""Opens a daemon's listening socket before its libraries are loaded.

Loading the libraries takes most of the start-up time, 0.5 s of a core. When all hosts
were restarted at once, callers' connections were refused for that time until their
retries were used up: 27 of 64 jobs submitted in the two seconds of such a restart were
lost. A socket opened first keeps the connections in its listen queue until the server
can answer them. Sockets for peers are not opened early, because a refused connection
lets a peer take over the ownership.

This module imports only what the interpreter has loaded anyway, so that it can run
first. `HttpServer` takes the socket by its address. If a socket cannot be opened here,
the server tries again and reports the error.
"""

import socket
from typing import Final

BACKLOG: Final = 2048
"""Length of the listen queue: ten times the connections expected during a start."""

_sockets: dict[tuple[str, int], socket.socket] = {}


def open_socket(host: str, port: int) -> socket.socket:
    """Return a socket that listens on an address; raises OSError if it cannot."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio disables Nagle's algorithm on accepted connections only if the socket has
    # a protocol number. With the algorithm, an answer of two writes waits for the
    # client's delayed acknowledgement.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def listen_early(host: str, port: int) -> bool:
    """Listen on an address; return whether it succeeded."""
    try:
        sock = open_socket(host, port)
    except OSError:
        # Not an error yet: the server tries again and reports the reason.
        return False
    _sockets[(host, sock.getsockname()[1])] = sock
    return True


def take_socket(host: str, port: int) -> socket.socket | None:
    """Return the socket opened early on an address, and forget it."""
    return _sockets.pop((host, port), None)
