"""Minimal ASGI support for processes with a fixed set of calls.

Used by the node, which is restarted often on small hosts: litestar adds 0.2 s to each
start (docs/PLATFORM.md) and takes twice the time per request.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

import attrs

from cranberrycleat import codec, errors
from cranberrycleat.connection_limits import MAX_BODY_BYTES

OK: Final = 200
NOT_FOUND: Final = 404
BAD_REQUEST: Final = 400
T = TypeVar("T")


@attrs.frozen(kw_only=True)
class Answer:
    """An HTTP response: a message, sent as JSON, and additional headers."""

    message: object
    status: int = OK
    headers: tuple[tuple[bytes, bytes], ...] = ()


@attrs.frozen(kw_only=True)
class ErrorBody:
    """Body of the response to a request that cannot be served."""

    reason: str


Handler = Callable[[bytes], Awaitable[Answer]]


class ClientDisconnected(Exception):
    """The client closed the connection, or was refused, before its body was whole."""


async def read_body(receive: Any, *, max_bytes: int = MAX_BODY_BYTES) -> bytes | None:
    """Return a request's complete body, or None as soon as it is too large.

    Raises:
        ClientDisconnected: There is no complete body, and nobody to answer.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] != "http.request":
            raise ClientDisconnected
        body += message.get("body", b"")
        if len(body) > max_bytes:
            return None
        if not message.get("more_body"):
            return bytes(body)


async def send_answer(send: Any, answer: Answer) -> None:
    """Send a complete HTTP response."""
    message = answer.message
    data = message if isinstance(message, bytes) else codec.encode(message)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(data)).encode()),
        *answer.headers,
    ]
    start = {
        "type": "http.response.start",
        "status": answer.status,
        "headers": headers,
    }
    await send(start)
    await send({"type": "http.response.body", "body": data})


@attrs.define(kw_only=True, eq=False)
class RpcApp:
    """An ASGI app with a fixed set of calls, each with one request and one reply.

    Attributes:
        handlers: The handler of each path.
    """

    handlers: dict[str, Handler]

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        try:
            body = await read_body(receive)
        except ClientDisconnected:
            return
        await send_answer(send, await self._answer(scope["path"], body))

    async def _answer(self, path: str, body: bytes | None) -> Answer:
        handler = self.handlers.get(path)
        if handler is None:
            return Answer(message=ErrorBody(reason="no such call"), status=NOT_FOUND)
        if body is None:
            return Answer(message=ErrorBody(reason="too large"), status=BAD_REQUEST)
        try:
            return await handler(body)
        except errors.FindingsError as exc:
            return Answer(message=ErrorBody(reason=str(exc)), status=BAD_REQUEST)
