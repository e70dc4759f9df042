"""Runs an ASGI app on uvicorn in the current event loop.

A stopping server finishes requests in flight first. What clients may make it hold is
limited by a `ConnectionBudget`, which the servers of a process share.
"""

import asyncio
import contextlib
import functools
import socket
from typing import Any, Final

import attrs
import uvicorn

from cranberrycleat import early_listen
from cranberrycleat.bounded_protocol import BoundedProtocol
from cranberrycleat.connection_budget import ConnectionBudget
from cranberrycleat.connection_limits import RECEIVE_BUFFER_BYTES, process_limits

SHUTDOWN_TIMEOUT_S: Final = 30.0


def default_budget() -> ConnectionBudget:
    """Return a budget with the default limits, for a process with one server."""
    return ConnectionBudget(limits=process_limits())


@attrs.define(kw_only=True, eq=False)
class HttpServer:
    """An HTTP server in the running event loop.

    Attributes:
        app: The ASGI app.
        host: The address to listen on.
        port: The port, or 0 for any free one; set to the actual port after the start.
        name: The name of the address in logs and metrics.
        budget: What the client connections of the process hold.
    """

    app: Any
    host: str
    port: int
    name: str = "main"
    budget: ConnectionBudget = attrs.field(factory=default_budget)
    _server: uvicorn.Server | None = None
    _task: "asyncio.Task[None] | None" = None

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: Cannot listen on the address.
        """
        sock = self._open_socket()
        protocol: Any = functools.partial(
            BoundedProtocol, budget=self.budget, address=self.name
        )
        cfg = uvicorn.Config(
            self.app,
            http=protocol,
            host=self.host,
            port=self.port,
            log_config=None,
            access_log=False,
            date_header=False,
            server_header=False,
            lifespan="off",
            backlog=self.budget.limits.max_accepts,
            timeout_graceful_shutdown=int(SHUTDOWN_TIMEOUT_S),
        )
        server = _EmbeddedServer(cfg)
        self._server = server
        self._task = asyncio.create_task(server.serve(sockets=[sock]))
        while not server.started:
            if self._task.done():
                raise OSError(f"cannot listen on {self.host}:{self.port}")
            await asyncio.sleep(0.005)
        # asyncio accepts up to the backlog at once, so uvicorn was given a short one.
        sock.listen(early_listen.BACKLOG)
        self.port = sock.getsockname()[1]

    def _open_socket(self) -> socket.socket:
        """Return the listening socket."""
        sock = early_listen.take_socket(self.host, self.port)
        if sock is None:
            try:
                sock = early_listen.open_socket(self.host, self.port)
            except OSError as exc:
                address = f"{self.host}:{self.port}"
                raise OSError(f"cannot listen on {address}: {exc}") from exc
        # Accepted connections inherit the size.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return sock

    @property
    def url(self) -> str:
        """The server's base URL."""
        return f"http://{self.host}:{self.port}"

    async def stop(self) -> None:
        """Stop listening and finish requests in flight."""
        if self._server is not None and self._task is not None:
            self._server.should_exit = True
            await asyncio.wait([self._task], timeout=SHUTDOWN_TIMEOUT_S + 1)

    async def kill(self) -> None:
        """Stop immediately, aborting requests in flight."""
        if self._server is not None and self._task is not None:
            self._server.should_exit = True
            self._server.force_exit = True
            for conn in list(self._server.server_state.connections):
                conn.transport.abort()
            await asyncio.wait([self._task], timeout=SHUTDOWN_TIMEOUT_S)


class _EmbeddedServer(uvicorn.Server):
    """A uvicorn server that does not handle signals and never exits the process."""

    def capture_signals(self) -> Any:
        """Leave signal handlers unchanged; `lifecycle` handles signals."""
        return contextlib.nullcontext()

    async def serve(self, sockets: Any = None) -> None:
        """Serve; return where uvicorn would exit the process because of its address."""
        try:
            await super().serve(sockets)
        except SystemExit:
            return
