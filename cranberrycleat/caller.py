"""A caller of services through gateways, for the demo, tests and benches.

It sends requests with an id of its own, and notes for each what it was told:
answered (and whether the answer was whole and its own), not run, or unknown.
"""

import asyncio
import enum
import secrets
from typing import Final

import attrs
import httpx

from cranberrycleat.http_calls import tls_context

OUTCOME: Final = "x-outcome"


class Told(enum.Enum):
    """What a caller was told about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class CallNote:
    """One request and what its caller was told.

    Attributes:
        id: The request's id, which endpoints record.
        key: Its idempotency key, if it had one.
        told: What the caller was told.
        own: Whether the answer was whole and for this very request.
        replayed: Whether it was the kept answer to an earlier request.
        status: The HTTP status; 0 where no answer came.
        took_s: How long the caller waited, in seconds.
        retry_after: Whether a refusal said when to come back.
    """

    id: str
    key: str | None
    told: Told
    own: bool
    replayed: bool
    status: int
    took_s: float
    retry_after: bool = False


@attrs.define(kw_only=True, eq=False)
class Caller:
    """Calls one service through any of several gateways.

    Attributes:
        gateways: The gateways' base URLs.
        service: The service to call.
        notes: What was told of each request so far.
    """

    gateways: tuple[str, ...]
    service: str
    notes: list[CallNote] = attrs.field(factory=list)
    _client: httpx.AsyncClient = attrs.field(
        factory=lambda: httpx.AsyncClient(
            timeout=30.0,
            trust_env=False,
            verify=tls_context(),
            limits=httpx.Limits(max_connections=1000),
        )
    )
    _turn: int = 0

    async def read(self, path: str = "", **headers: str) -> CallNote:
        """Send a request that may be repeated."""
        return await self._send("GET", path, None, headers)

    async def post(self, path: str = "", **headers: str) -> CallNote:
        """Send a request that may not be repeated, with no key."""
        return await self._send("POST", path, None, headers)

    async def once(self, key: str, path: str = "", **headers: str) -> CallNote:
        """Send a request that is to run at most once."""
        return await self._send("POST", path, key, headers)

    async def _send(
        self, method: str, path: str, key: str | None, headers: dict[str, str]
    ) -> CallNote:
        self._turn += 1
        gateway = self.gateways[self._turn % len(self.gateways)]
        ident = secrets.token_hex(8)
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        sent["x-request-id"] = ident
        body = b""
        if key is not None:
            sent["idempotency-key"] = key
            body = key.encode()
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            res = await self._client.request(
                method,
                f"{gateway}/call/{self.service}/{path}",
                headers=sent,
                content=body or None,
            )
        except httpx.HTTPError:
            note = _no_answer(ident, key, loop.time() - began)
        else:
            note = _note(res, ident, key, loop.time() - began)
        self.notes.append(note)
        return note

    async def close(self) -> None:
        """Close connections."""
        await self._client.aclose()


def _no_answer(ident: str, key: str | None, took_s: float) -> CallNote:
    return CallNote(
        id=ident,
        key=key,
        told=Told.UNKNOWN,
        own=True,
        replayed=False,
        status=0,
        took_s=took_s,
    )


def _note(res: httpx.Response, ident: str, key: str | None, took_s: float) -> CallNote:
    told = Told(res.headers.get(OUTCOME, Told.UNKNOWN.value))
    replayed = "idempotency-replayed" in res.headers
    own = told is not Told.ANSWERED or res.content.startswith(ident.encode())
    if replayed and key is not None:
        own = key.encode() in res.content
    return CallNote(
        id=ident,
        key=key,
        told=told,
        own=own,
        replayed=replayed,
        status=res.status_code,
        took_s=took_s,
        retry_after="retry-after" in res.headers,
    )
