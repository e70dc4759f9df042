"""Server processes of `bench routing`: endpoints and a baseline proxy.

* Endpoints: services with a limited number of slots that answer after a fixed time.
  Some are slow or failing. They count the requests that they receive.
* The baseline: a naive proxy of Litestar and httpx, with round robin and three retries.

The load generator is in `bench.load`.
"""

import asyncio
import itertools
import random
import sys
from typing import Any, Final

import attrs
import httpx
from litestar import Request, Response, route

from cranberrycleat import codec
from cranberrycleat.http_server import HttpServer
from cranberrycleat.serve import make_app
from cranberrycleat.standins.service import NOT_STARTED

LOOPBACK: Final = "127.0.0.1"
SLOTS: Final = 8
NAIVE_RETRIES: Final = 3


@attrs.frozen(kw_only=True)
class EndpointKind:
    """Behaviour of an endpoint.

    Attributes:
        answer_s: Processing time of a request in seconds.
        fail_share: The share of requests that it answers with status 500.
    """

    answer_s: float
    fail_share: float = 0.0


@attrs.frozen(kw_only=True)
class EndpointCounts:
    """Request counts of an endpoint.

    Attributes:
        received: Requests received.
        ids: Their distinct request ids.
        over_slots: Requests received while no slot was free.
    """

    received: int
    ids: tuple[str, ...]
    over_slots: int


@attrs.define(kw_only=True, eq=False)
class BenchEndpoint:
    """One endpoint, as a plain ASGI app."""

    kind: EndpointKind
    rng: random.Random
    ids: set[bytes] = attrs.field(factory=set)
    received: int = 0
    over_slots: int = 0
    in_flight: int = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request, or return and reset the counts."""
        if scope["path"] == "/counts":
            await self._answer(send, 200, codec.encode(self._take_counts()))
            return
        self.received += 1
        self.ids.add(dict(scope["headers"]).get(b"x-request-id", b""))
        if self.in_flight >= SLOTS:
            self.over_slots += 1
            await self._answer(send, 503, b"full", refused=True)
            return
        self.in_flight += 1
        try:
            await self._handle_request(send)
        finally:
            self.in_flight -= 1

    async def _handle_request(self, send: Any) -> None:
        if self.rng.random() < self.kind.fail_share:
            await self._answer(send, 500, b"failed")
            return
        await asyncio.sleep(self.kind.answer_s)
        await self._answer(send, 200, b"ok")

    def _take_counts(self) -> EndpointCounts:
        counts = EndpointCounts(
            received=self.received,
            ids=tuple(each.decode() for each in self.ids),
            over_slots=self.over_slots,
        )
        self.received = self.over_slots = 0
        self.ids.clear()
        return counts

    async def _answer(
        self, send: Any, status: int, body: bytes, refused: bool = False
    ) -> None:
        headers = [(b"content-length", str(len(body)).encode())]
        if refused:
            headers.append((NOT_STARTED.encode(), b"1"))
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": body})


async def run_endpoints(kinds: tuple[EndpointKind, ...], seed: int) -> None:
    """Serve endpoints until the process is killed; prints their URLs."""
    servers = []
    for number, kind in enumerate(kinds):
        app = BenchEndpoint(kind=kind, rng=random.Random(seed + number))
        server = HttpServer(app=app, host=LOOPBACK, port=0)
        await server.start()
        servers.append(server)
    print(",".join(server.url for server in servers), flush=True)
    await asyncio.Event().wait()


async def run_naive(urls: tuple[str, ...]) -> None:
    """Serve the baseline until the process is killed; prints its URL."""
    targets = itertools.cycle(urls)
    client = httpx.AsyncClient(
        timeout=1.0,
        trust_env=False,
        limits=httpx.Limits(max_connections=1000, max_keepalive_connections=256),
    )

    async def attempt(request: Request[Any, Any, Any], body: bytes) -> httpx.Response:
        return await client.request(
            request.method,
            next(targets) + "/" + request.path_params["rest"].lstrip("/"),
            headers={"x-request-id": request.headers.get("x-request-id", "")},
            content=body or None,
        )

    @route("/call/s/{rest:path}", http_method=["GET", "POST"])
    async def forward(request: Request[Any, Any, Any]) -> Response[bytes]:
        body = await request.body()
        for _ in range(NAIVE_RETRIES + 1):
            try:
                res = await attempt(request, body)
            except httpx.HTTPError:
                continue
            if res.status_code < 500:
                return Response(res.content, status_code=res.status_code)
        return Response(b"failed", status_code=502)

    server = HttpServer(app=make_app([forward]), host=LOOPBACK, port=0)
    await server.start()
    print(server.url, flush=True)
    await asyncio.Event().wait()


def main(role: str, text: str, seed: int) -> None:
    """Run one server process; `text` contains its parameters as JSON."""
    if role == "endpoints":
        kinds = codec.decode(text, tuple[EndpointKind, ...])
        asyncio.run(run_endpoints(kinds, seed))
    else:
        asyncio.run(run_naive(codec.decode(text, tuple[str, ...])))


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2], int(sys.argv[3]))
