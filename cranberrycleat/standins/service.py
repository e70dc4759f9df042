"""How a service task of the worker stand-in handles requests.

The query of a request specifies the answer, so that tests can cause each fault: `ms`
(time taken), `size` (additional bytes of the answer), `fail` (status 500), `truncate`
(half of the answer, then a closed connection).
"""

import asyncio
from typing import Any, Final, Protocol
from urllib.parse import parse_qsl

import attrs

from cranberrycleat.jobs import Program

SLOTS: Final = 8
NOT_STARTED: Final = "x-not-started"
"""Response header: the endpoint refused the request before starting it."""
LEAVING: Final = "x-endpoint-state"
"""Response header: the value `leaving` asks clients to send no new work."""


@attrs.frozen(kw_only=True)
class RequestLog:
    """One request that a service processed."""

    task: str
    attempt: int
    id: str
    method: str


class HostingWorker(Protocol):
    """What a service needs from the worker that it runs on."""

    def is_leaving(self) -> bool:
        """Return whether the worker is leaving."""

    def record_request(self, log: RequestLog) -> None:
        """Record that the processing of a request has begun."""

    def record_refusal(self) -> None:
        """Record that a request found no free slot."""


@attrs.define(kw_only=True, eq=False)
class ServiceStandin:
    """One service task.

    Attributes:
        task: The task's name.
        attempt: Its attempt.
        program: What it runs.
        slots: Maximum number of concurrent requests.
        in_flight: Number of requests in progress.
    """

    task: str
    attempt: int
    program: Program
    slots: int = SLOTS
    in_flight: int = 0

    async def answer(
        self, scope: Any, receive: Any, send: Any, host: HostingWorker
    ) -> None:
        """Answer one request, or refuse it if no slot is free."""
        if self.in_flight >= self.slots:
            host.record_refusal()
            await self.refuse(send, reason="every slot is taken", leaving=False)
            return
        headers = dict(scope["headers"])
        log = RequestLog(
            task=self.task,
            attempt=self.attempt,
            id=headers.get(b"x-request-id", b"").decode(),
            method=scope["method"],
        )
        host.record_request(log)
        self.in_flight += 1
        try:
            await self._run(scope, receive, send, host)
        finally:
            self.in_flight -= 1

    async def _run(
        self, scope: Any, receive: Any, send: Any, host: HostingWorker
    ) -> None:
        query = dict(parse_qsl(scope["query_string"].decode(), keep_blank_values=True))
        body = await _read_body(receive)
        took_ms = float(query.get("ms", self.program.answer_ms))
        if took_ms:
            await asyncio.sleep(took_ms / 1000)
        headers = dict(scope["headers"])
        echo = headers.get(b"x-request-id", b"")
        answer = echo + b" " + body + b"." * int(query.get("size", 0))
        reply = [(b"content-length", str(len(answer)).encode())]
        if host.is_leaving():
            reply.append((LEAVING.encode(), b"leaving"))
        status = 500 if "fail" in query else 200
        await send({"type": "http.response.start", "status": status, "headers": reply})
        if "truncate" in query:
            await send(
                {
                    "type": "http.response.body",
                    "body": answer[: len(answer) // 2],
                    "more_body": True,
                }
            )
            return
        await send({"type": "http.response.body", "body": answer})

    @staticmethod
    async def refuse(send: Any, *, reason: str, leaving: bool) -> None:
        """Refuse a request before it starts, and say so in the headers."""
        body = reason.encode()
        headers = [
            (b"content-length", str(len(body)).encode()),
            (NOT_STARTED.encode(), b"1"),
        ]
        if leaving:
            headers.append((LEAVING.encode(), b"leaving"))
        await send({"type": "http.response.start", "status": 503, "headers": headers})
        await send({"type": "http.response.body", "body": body})


async def _read_body(receive: Any) -> bytes:
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return bytes(body)
        body += event.get("body", b"")
        if not event.get("more_body"):
            return bytes(body)
