"""Runs an ASGI app on uvicorn in the current event loop.

A stopping server finishes requests in flight first.
"""

import asyncio
import contextlib
from typing import Any, Final

import attrs
import uvicorn

from cranberrycleat import early_listen

SHUTDOWN_TIMEOUT_S: Final = 30.0
KEEP_ALIVE_S: Final = 75


@attrs.define(kw_only=True, eq=False)
class HttpServer:
    """An HTTP server in the running event loop.

    Attributes:
        app: The ASGI app.
        host: The address to listen on.
        port: The port, or 0 for any free one; set to the actual port after the start.
    """

    app: Any
    host: str
    port: int
    _server: uvicorn.Server | None = None
    _task: "asyncio.Task[None] | None" = None

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: Cannot listen on the address.
        """
        cfg = uvicorn.Config(
            self.app,
            host=self.host,
            port=self.port,
            log_config=None,
            access_log=False,
            date_header=False,
            server_header=False,
            lifespan="off",
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=int(SHUTDOWN_TIMEOUT_S),
        )
        server = _EmbeddedServer(cfg)
        self._server = server
        early_socket = early_listen.take_socket(self.host, self.port)
        sockets = None if early_socket is None else [early_socket]
        self._task = asyncio.create_task(server.serve(sockets=sockets))
        while not server.started:
            if self._task.done():
                raise OSError(f"cannot listen on {self.host}:{self.port}")
            await asyncio.sleep(0.005)
        self.port = server.servers[0].sockets[0].getsockname()[1]

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
