"""The platform stand-in: table, object store and host list over HTTP.

A small in-memory fake for tests and the demo, with fault switches under `/v1/faults`.
"""

import asyncio
from typing import Any

import attrs
from litestar import Request, Response, delete, get, post, put
from litestar.params import FromPath

from cranberrycleat import codec, errors
from cranberrycleat.http_server import HttpServer
from cranberrycleat.messages import (
    HostEntry,
    HostList,
    HostState,
    PlatformFaults,
    ReadRequest,
    Rows,
)
from cranberrycleat.metrics import Metrics
from cranberrycleat.serve import json_response, make_app, state_handlers
from cranberrycleat.standins.table import MemoryTable, TableFaults
from cranberrycleat.table import Transaction

AnyRequest = Request[Any, Any, Any]


@attrs.define(kw_only=True, eq=False)
class PlatformStandin:
    """The platform stand-in.

    Attributes:
        host: The address to listen on.
        port: The port to listen on; 0 for any.
        lag_s: How long the host list delays changes of hosts that are not live, in
            seconds.
        table: The table.
        objects: The object store.
        listed: The host list, by host name.
    """

    host: str
    port: int
    lag_s: float = 0.0
    table: MemoryTable = attrs.field(factory=MemoryTable)
    objects: dict[str, bytes] = attrs.field(factory=dict)
    listed: dict[str, HostEntry] = attrs.field(factory=dict)
    server: HttpServer | None = None

    async def start(self) -> None:
        """Start serving."""
        self.server = HttpServer(
            app=make_app(self._handlers()), host=self.host, port=self.port
        )
        await self.server.start()

    async def drain(self) -> None:
        """Do nothing: there is nothing to hand over."""

    async def stop(self) -> None:
        """Stop serving."""
        if self.server is not None:
            await self.server.stop()

    @property
    def url(self) -> str:
        """The base URL."""
        assert self.server is not None
        return self.server.url

    async def _check_available(self) -> None:
        if self.table.faults.down:
            raise errors.TableUnavailable("down")

    def _handlers(self) -> list[Any]:
        metrics = Metrics(role="platform", name="standin")
        metrics.add_gauge("rows", lambda: float(len(self.table.rows)))
        metrics.add_gauge("reads", lambda: float(self.table.counts.reads))
        metrics.add_gauge("writes", lambda: float(self.table.counts.writes))
        shown = state_handlers(metrics, self.dump)
        return [*self._table_handlers(), *self._other_handlers(), *shown]

    def dump(self) -> dict[str, Any]:
        """Return the entire state, for debugging."""
        return {
            "counts": self.table.counts,
            "faults": self.table.faults,
            "rows": sorted(self.table.rows),
            "objects": sorted(self.objects),
            "hosts": self.listed,
        }

    def _table_handlers(self) -> list[Any]:
        table = self.table

        @post("/v1/read")
        async def read(request: AnyRequest) -> Response[bytes]:
            asked = codec.decode(await request.body(), ReadRequest)
            return json_response(Rows(rows=await table.read(keys=asked.keys)))

        @get("/v1/rows")
        async def rows(prefix: str) -> Response[bytes]:
            return json_response(Rows(rows=await table.scan(prefix=prefix)))

        @post("/v1/commit")
        async def commit(request: AnyRequest) -> Response[bytes]:
            txn = codec.decode(await request.body(), Transaction)
            return json_response(await table.commit(txn))

        @post("/v1/faults")
        async def faults(request: AnyRequest) -> Response[bytes]:
            wanted = codec.decode(await request.body(), PlatformFaults)
            table.faults = TableFaults(
                down=wanted.down,
                slow_s=wanted.slow_s,
                lose_replies=wanted.lose_replies,
            )
            return json_response(wanted)

        @get("/v1/counts")
        async def counts() -> Response[bytes]:
            return json_response(table.counts)

        return [read, rows, commit, faults, counts]

    def _other_handlers(self) -> list[Any]:
        @get("/v1/hosts")
        async def hosts() -> Response[bytes]:
            await self._check_available()
            return json_response(HostList(hosts=tuple(self.listed.values())))

        @put("/v1/hosts")
        async def announce(request: AnyRequest) -> Response[bytes]:
            entry = codec.decode(await request.body(), HostEntry)
            delay = 0.0 if entry.state is HostState.LIVE else self.lag_s
            await asyncio.sleep(delay)
            self.listed[entry.name] = entry
            return json_response(entry)

        @delete("/v1/hosts/{name:str}", status_code=200)
        async def forget(name: FromPath[str]) -> Response[bytes]:
            self.listed.pop(name, None)
            return json_response(None)

        @put("/v1/objects/{name:path}")
        async def put_object(
            name: FromPath[str], request: AnyRequest
        ) -> Response[bytes]:
            await self._check_available()
            self.objects[name] = await request.body()
            return json_response(None)

        @get("/v1/objects/{name:path}")
        async def get_object(name: FromPath[str]) -> Response[bytes]:
            await self._check_available()
            if name not in self.objects:
                raise errors.ProblemError(
                    status=404, code=errors.UNKNOWN_NAME, kind="object", name=name
                )
            return Response(self.objects[name])

        return [hosts, announce, forget, put_object, get_object]
