"""Adapter from `Table` to the platform's HTTP interface.

To support another platform, write a module like this one and register it; no other
module depends on the platform's protocol.
"""

from typing import Final, Protocol, TypeVar

import attrs

from cranberrycleat import errors
from cranberrycleat.http_calls import JsonClient, call, make_client
from cranberrycleat.messages import HostList, ReadRequest, Rows
from cranberrycleat.registry import PluginKind, register
from cranberrycleat.table import CommitReply, Row, Table, Transaction

T = TypeVar("T")
DEFAULT: Final = "http"


class Platform(Table, Protocol):
    """The table and the list of hosts."""

    async def hosts(self) -> HostList:
        """Return the platform's list of hosts, which may be out of date.

        Raises:
            TableUnavailable: The platform gave no answer.
        """

    async def close(self) -> None:
        """Close connections."""


@register(PluginKind.TABLE, DEFAULT)
@attrs.define(kw_only=True, eq=False)
class HttpPlatform:
    """Client for the platform's HTTP interface with JSON messages.

    Attributes:
        url: The platform's base URL.
        timeout_s: Timeout of a call, in seconds.
        reads: Number of read calls made, for the control-cost benchmark.
        writes: Number of write calls made.
    """

    url: str
    timeout_s: float = 2.0
    reads: int = 0
    writes: int = 0
    _client: JsonClient | None = None

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Return the existing rows among the keys."""
        self.reads += 1
        request = ReadRequest(keys=keys)
        return (await self._call("POST", "/v1/read", Rows, message=request)).rows

    async def scan(self, *, prefix: str) -> tuple[Row, ...]:
        """Return every row whose key starts with the prefix."""
        self.reads += 1
        rows = await self._call("GET", "/v1/rows", Rows, params={"prefix": prefix})
        return rows.rows

    async def commit(self, txn: Transaction) -> CommitReply:
        """Apply a transaction if all its conditions hold."""
        self.writes += 1
        return await self._call("POST", "/v1/commit", CommitReply, message=txn)

    async def hosts(self) -> HostList:
        """Return the platform's list of hosts."""
        self.reads += 1
        return await self._call("GET", "/v1/hosts", HostList)

    async def close(self) -> None:
        """Close connections."""
        if self._client is not None:
            await self._client.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        kind: type[T],
        *,
        message: object = None,
        params: dict[str, str] | None = None,
    ) -> T:
        if self._client is None:
            self._client = make_client(timeout_s=self.timeout_s)
        try:
            return await call(
                self._client,
                method,
                self.url + path,
                kind,
                message=message,
                params=params,
            )
        except (errors.PeerUnavailable, errors.ProblemError) as exc:
            raise errors.TableUnavailable(str(exc)) from exc
