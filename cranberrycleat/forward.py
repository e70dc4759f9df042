"""Sends one attempt of a request to an endpoint, with a typed outcome.

There are three outcomes: `Answered` (a complete response), `NotRun` (proved: the
connection was never made, or the endpoint refused before it started) and `Unknown`
(anything else). A response is read completely before any of it is passed on, so a
truncated response never is. It belongs to the connection on which its request was
sent; the transport closes a connection whose state is uncertain.

A request that must not run twice is sent on a connection of its own: on a reused
connection, a close by the endpoint could not be distinguished from a lost response.
"""

import asyncio
from typing import Final

import attrs
import httpx

from cranberrycleat.http_calls import read_response, tls_context
from cranberrycleat.standins.service import LEAVING, NOT_STARTED

MAX_RESPONSE_BYTES: Final = 8 * 1024 * 1024
CONNECT_TIMEOUT_S: Final = 1.0
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
        b"expect",
    }
)
IDEMPOTENT_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
"""Idempotent methods (RFC 9110, section 9.2.2)."""

Headers = list[tuple[bytes, bytes]]


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A complete request from a caller.

    Attributes:
        method: The HTTP method.
        service: The target service.
        target: Path and query, relative to the endpoint's URL.
        headers: Its headers, without the hop-by-hop ones.
        body: Its body.
        repeatable: Whether it may safely be run more than once.
    """

    method: str
    service: str
    target: str
    headers: Headers
    body: bytes
    repeatable: bool


@attrs.frozen(kw_only=True)
class Answered:
    """The endpoint's complete response."""

    status: int
    headers: Headers
    body: bytes
    leaving: bool


@attrs.frozen(kw_only=True)
class NotRun:
    """Proved not to have run.

    Attributes:
        reason: The explanation given to the caller.
        refused: Whether the endpoint itself refused, rather than did not answer.
        leaving: Whether the endpoint reported that it is leaving.
    """

    reason: str
    refused: bool = False
    leaving: bool = False


@attrs.frozen(kw_only=True)
class Unknown:
    """The request may have run, or may still run."""

    reason: str


AttemptOutcome = Answered | NotRun | Unknown


def strip_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones."""
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP]


@attrs.define(kw_only=True, eq=False)
class Forwarder:
    """Sends attempts over two connection pools: reused and single-use."""

    _reused: httpx.AsyncHTTPTransport = attrs.field(
        factory=lambda: httpx.AsyncHTTPTransport(
            verify=tls_context(),
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=256,
                keepalive_expiry=30.0,
            ),
        )
    )
    _single: httpx.AsyncHTTPTransport = attrs.field(
        factory=lambda: httpx.AsyncHTTPTransport(
            verify=tls_context(),
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=0),
        )
    )

    async def send(
        self, req: CallerRequest, *, url: str, timeout_s: float
    ) -> AttemptOutcome:
        """Send one attempt and wait for its outcome.

        Args:
            req: The request.
            url: The endpoint's URL.
            timeout_s: The remaining time, in seconds.
        """
        transport = self._reused if req.repeatable else self._single
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(transport, req, url, timeout_s)
        except TimeoutError:
            return Unknown(reason="no whole answer within the time allowed")
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            return NotRun(reason=f"could not connect: {type(exc).__name__}")
        except httpx.HTTPError as exc:
            return Unknown(reason=f"no whole answer: {type(exc).__name__}")

    async def _exchange(
        self,
        transport: httpx.AsyncHTTPTransport,
        req: CallerRequest,
        url: str,
        timeout_s: float,
    ) -> AttemptOutcome:
        sent = httpx.Request(
            req.method,
            url + req.target,
            headers=req.headers,
            content=req.body or None,
            extensions={"timeout": _timeouts(timeout_s)},
        )
        res = await transport.handle_async_request(sent)
        try:
            body = await read_response(res, max_bytes=MAX_RESPONSE_BYTES)
        finally:
            await res.aclose()
        if body is None:
            return Unknown(reason="the answer is too large to be held whole")
        return _outcome(res, body)

    async def close(self) -> None:
        """Close every connection."""
        await self._reused.aclose()
        await self._single.aclose()


def _timeouts(timeout_s: float) -> dict[str, float]:
    connect = min(CONNECT_TIMEOUT_S, timeout_s)
    return {
        "connect": connect,
        "read": timeout_s,
        "write": timeout_s,
        "pool": connect,
    }


def _outcome(res: httpx.Response, body: bytes) -> AttemptOutcome:
    leaving = res.headers.get(LEAVING) == "leaving"
    if NOT_STARTED in res.headers:
        return NotRun(reason="the endpoint refused", refused=True, leaving=leaving)
    headers = strip_headers([(k.lower(), v) for k, v in res.headers.raw])
    return Answered(status=res.status_code, headers=headers, body=body, leaving=leaving)
