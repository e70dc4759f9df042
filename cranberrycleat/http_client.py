"""The one HTTP client of a process: for the platform, its workers and peers.

aiohttp and not the house's httpx: the maintainers' trial found 0.22 ms of
processor time a call against 1.8 ms for httpx's bare transport, and an owner
makes 150 to 250 calls a second on a host of one core.
"""

import asyncio
from types import SimpleNamespace
from typing import Final

import aiohttp
import attrs

JSON_HEADERS: Final = {"Content-Type": "application/json"}
KEEPALIVE_EXPIRY_S: Final = 50.0
"""Idle connections are kept, since new ones are priced; below a server's 75 s."""


class NoAnswer(Exception):
    """No whole answer came; the other side may have acted, or may yet.

    Attributes:
        sent: False where it is certain that no byte of the request left.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class ConnectionClosed(NoAnswer):
    """The connection that a request was for is closed; nothing was sent."""


class ResponseTooLarge(NoAnswer):
    """The answer has more bytes than were wanted; it was not read to its end."""


@attrs.frozen(kw_only=True)
class HttpReply:
    """A whole answer.

    Attributes:
        status: The HTTP status.
        body: All of its bytes.
        read_s: How long it took from the answer's beginning to its end.
    """

    status: int
    body: bytes
    read_s: float = 0.0


@attrs.define(kw_only=True)
class _BodyReader:
    """How far the reading of one answer has come.

    Attributes:
        parts: The bytes that came.
        got: How many these are.
        expected: How many the answer has, where it says so.
        most: How many are wanted at most; None: any number.
    """

    parts: list[bytes] = attrs.field(factory=list)
    received_bytes: int = 0
    expected: int | None = None
    limit_bytes: int | None = None

    def add_part(self, part: bytes) -> None:
        """Take in what came."""
        self.parts.append(part)
        self.received_bytes += len(part)

    def is_too_large(self) -> bool:
        """Tell whether more bytes come than are wanted."""
        return (
            self.limit_bytes is not None
            and max(self.received_bytes, self.expected or 0) > self.limit_bytes
        )

    def __str__(self) -> str:
        return f"{self.received_bytes} of {self.expected or 'unknown'} bytes"


class _NotConnected(aiohttp.ClientConnectionError):
    """A request that may not open a connection found none open."""


@attrs.define(kw_only=True, eq=False)
class HttpClient:
    """Sends requests over kept connections.

    Attributes:
        most_connections: How many may be open at a time; 0: any number.
        opened: How many were opened so far.
    """

    max_connections: int = 0
    connections_opened: int = 0
    _session: aiohttp.ClientSession | None = None

    async def call(
        self,
        method: str,
        url: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        params: dict[str, str] | None = None,
        timeout_s: float,
        stall_s: float | None = None,
        max_bytes: int | None = None,
        required_connection: int | None = None,
    ) -> HttpReply:
        """Send one request and return its whole answer.

        Args:
            method: The HTTP method.
            url: Where to.
            body: What to send.
            headers: Headers beside the usual ones.
            params: The query.
            timeout_s: How long the whole answer may take, or only its beginning
                where `stall_s` is given.
            stall_s: An answer that has begun is read for as long as bytes come;
                this is how long none may. For answers that can be large: a time
                limit on the whole would cut off, again and again, what the link
                cannot carry within it.
            most_bytes: A longer answer is not wanted, and left unread as soon as
                that is known.
            over: Send it only if this number of connections was opened so far and
                none has to be opened. With one connection at a time it reaches the
                process that answered on that one, or none.

        Raises:
            ConnectionGone: Another connection would have been needed.
            TooLong: The answer has more bytes than were wanted.
            NoAnswer: No whole answer came within the time.
        """
        if (
            required_connection is not None
            and required_connection != self.connections_opened
        ):
            raise ConnectionClosed(
                f"{url}: connection {required_connection} is closed", sent=False
            )
        session = self._open()
        reading = _BodyReader(limit_bytes=max_bytes)
        try:
            async with asyncio.timeout(timeout_s) as limit:
                async with session.request(
                    method,
                    url,
                    data=body,
                    headers={**JSON_HEADERS, **(headers or {})},
                    params=params,
                    allow_redirects=False,
                    trace_request_ctx=required_connection,
                ) as res:
                    if stall_s is not None:
                        # No limit on the whole, however long: begun anew, the
                        # same answer would take the same link as long again.
                        limit.reschedule(None)
                    return await _read(res, reading, stall_s)
        except _NotConnected as exc:
            raise ConnectionClosed(f"{url}: {exc}", sent=False) from exc
        except aiohttp.ClientConnectorError as exc:
            raise NoAnswer(f"{url}: {exc!r}", sent=False) from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise NoAnswer(f"{url}: {exc!r} after {reading}", sent=True) from exc

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=self.max_connections,
                    keepalive_timeout=KEEPALIVE_EXPIRY_S,
                    use_dns_cache=False,
                ),
                trace_configs=[self._connection_trace()],
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session

    def _connection_trace(self) -> aiohttp.TraceConfig:
        """Return a trace that counts connections, and refuses those not allowed."""

        async def on_connection_create(
            _: object, ctx: SimpleNamespace, __: object
        ) -> None:
            if ctx.trace_request_ctx is not None:
                raise _NotConnected(f"connection {ctx.trace_request_ctx} is closed")
            self.connections_opened += 1

        trace = aiohttp.TraceConfig()
        trace.on_connection_create_start.append(on_connection_create)
        return trace

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()


async def _read(
    res: aiohttp.ClientResponse, reading: _BodyReader, stall_s: float | None
) -> HttpReply:
    """Read an answer that has begun."""
    began = _now()
    reading.expected = res.content_length
    while not reading.is_too_large() and (
        part := await _next_part(res.content, stall_s)
    ):
        reading.add_part(part)
    if reading.is_too_large():
        raise ResponseTooLarge(
            f"{res.url}: {reading}, {reading.limit_bytes} wanted", sent=True
        )
    body = b"".join(reading.parts)
    return HttpReply(status=res.status, body=body, read_s=_now() - began)


async def _next_part(content: aiohttp.StreamReader, stall_s: float | None) -> bytes:
    """Return the next bytes of an answer; none at its end."""
    try:
        async with asyncio.timeout(stall_s):
            return await content.readany()
    except TimeoutError:
        # A process that was paused finds the time over and the bytes there.
        part = content.read_nowait()
        if not part:
            raise
        return part


def _now() -> float:
    return asyncio.get_running_loop().time()
