"""Typed HTTP calls between processes, over httpx.

A call sends one message and decodes one message. Any failure to get an answer is raised
as `PeerUnavailable`; an error response as the `ProblemError` that the server raised.
"""

import functools
import ssl
from typing import Final, TypeVar

import attrs
import httpx
import msgspec

from cranberrycleat import codec, errors

T = TypeVar("T")
KEEPALIVE_EXPIRY_S: Final = 60.0
"""Idle connections expire before the servers close them after 75 s
(`ConnectionLimits.idle_timeout_s`), and are kept longer than the pause between two
syncs."""
MAX_ANSWER_BYTES: Final = 64 * 1024 * 1024
"""Maximum size of an answer: the platform's tables are read whole."""
Params = dict[str, str] | None


@functools.cache
def tls_context() -> ssl.SSLContext:
    """Return the shared TLS context of this process.

    Each context holds its own copy of the system's certificates, about 0.5 MB, and a
    scheduler has a client for every worker.
    """
    return httpx.create_ssl_context()


async def read_response(res: httpx.Response, *, max_bytes: int) -> bytes | None:
    """Return the body of a response; None as soon as it is too large."""
    parts: list[bytes] = []
    size = 0
    assert isinstance(res.stream, httpx.AsyncByteStream)
    async for part in res.stream:
        size += len(part)
        if size > max_bytes:
            return None
        parts.append(part)
    return b"".join(parts)


@attrs.define(kw_only=True, eq=False)
class JsonClient:
    """Sends messages over persistent connections, directly on httpx's transport.

    The features of an httpx client (redirects, cookies, authentication, environment)
    are not needed between these processes and would double the cost.

    Attributes:
        timeout_s: Timeout of each phase of a request, in seconds.
    """

    timeout_s: float
    _transport: httpx.AsyncHTTPTransport

    async def __aenter__(self) -> "JsonClient":
        """Return the client itself."""
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close connections."""
        await self.aclose()

    async def aclose(self) -> None:
        """Close connections."""
        await self._transport.aclose()

    async def send_request(
        self, method: str, url: str, content: bytes | None, params: Params
    ) -> httpx.Response:
        """Send one request and return the complete response.

        Raises:
            httpx.HTTPError: No complete response arrived.
            httpx.InvalidURL: The URL is invalid.
        """
        limit = self.timeout_s
        timeouts = {"connect": limit, "read": limit, "write": limit, "pool": limit}
        req = httpx.Request(
            method,
            url,
            params=params,
            content=content,
            extensions={"timeout": timeouts},
        )
        res = await self._transport.handle_async_request(req)
        try:
            body = await read_response(res, max_bytes=MAX_ANSWER_BYTES)
        finally:
            await res.aclose()
        if body is None:
            raise httpx.ReadError(f"the answer is over {MAX_ANSWER_BYTES} bytes")
        return httpx.Response(res.status_code, headers=res.headers, content=body)


def make_client(*, timeout_s: float, connections: int = 100) -> JsonClient:
    """Return a client with its own connection pool."""
    limits = httpx.Limits(
        max_connections=connections,
        max_keepalive_connections=connections,
        keepalive_expiry=KEEPALIVE_EXPIRY_S,
    )
    transport = httpx.AsyncHTTPTransport(limits=limits, verify=tls_context())
    return JsonClient(timeout_s=timeout_s, transport=transport)


async def call(
    client: JsonClient,
    method: str,
    url: str,
    kind: type[T],
    *,
    message: object = None,
    params: Params = None,
) -> T:
    """Send one message and return the decoded answer.

    Raises:
        NotSent: No connection was established.
        PeerUnavailable: No complete answer arrived; the call may have taken effect.
        ProblemError: The server returned an error.
    """
    content = None if message is None else codec.encode(message)
    try:
        res = await client.send_request(method, url, content, params)
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
        raise errors.NotSent(f"{url}: {exc!r}") from exc
    except (httpx.HTTPError, httpx.InvalidURL) as exc:
        raise errors.PeerUnavailable(f"{url}: {exc!r}") from exc
    if res.status_code >= 400:
        raise _problem(res, url)
    try:
        return codec.decode(res.content, kind, place=url)
    except errors.FindingsError as exc:
        raise errors.PeerUnavailable(str(exc)) from exc


def _problem(res: httpx.Response, url: str) -> Exception:
    try:
        fields = msgspec.json.decode(res.content, type=_ProblemFields)
    except codec.UNDECODABLE:
        return errors.PeerUnavailable(f"{url}: status {res.status_code}")
    problem = (
        errors.ProblemError(
            status=res.status_code,
            code=fields.title,
            retry_after_s=fields.retry_after_s,
            findings=fields.findings,
        )
        if fields.title in errors.TEXTS
        else None
    )
    if problem is None:
        return errors.PeerUnavailable(f"{url}: status {res.status_code}")
    problem.detail = fields.detail
    return problem


class _ProblemFields(msgspec.Struct):
    title: str
    detail: str = ""
    retry_after_s: float | None = None
    findings: tuple[errors.Finding, ...] = ()
