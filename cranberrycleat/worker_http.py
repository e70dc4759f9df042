"""Adapter from an owner's orders to a worker's HTTP interface.

To support other workers, write a module like this one and register it.
"""

from typing import Final, Protocol

import attrs

from cranberrycleat.http_calls import JsonClient, call, make_client
from cranberrycleat.messages import SyncOrder, SyncReply
from cranberrycleat.registry import PluginKind, register

DEFAULT: Final = "http"


class WorkerClient(Protocol):
    """The interface to one worker as needed by an owner."""

    async def sync(self, order: SyncOrder) -> SyncReply:
        """Send the worker its orders and return what it runs.

        Raises:
            NotSent: No connection was established; no part of the order was sent.
            PeerUnavailable: No answer; the orders may take effect until their
                `not_after` has passed on the worker's clock.
            ProblemError: Refused; no part of the order took effect.
        """

    async def close(self) -> None:
        """Close connections."""


@register(PluginKind.WORKER, DEFAULT)
@attrs.define(kw_only=True, eq=False)
class HttpWorker:
    """Client for one worker over HTTP with JSON messages."""

    url: str
    timeout_s: float = 2.0
    _client: JsonClient | None = None

    async def sync(self, order: SyncOrder) -> SyncReply:
        """Send the worker its orders and return what it runs."""
        if self._client is None:
            self._client = make_client(timeout_s=self.timeout_s, connections=1)
        url = self.url + "/v1/sync"
        return await call(self._client, "POST", url, SyncReply, message=order)

    async def close(self) -> None:
        """Close connections."""
        if self._client is not None:
            await self._client.aclose()
