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

OUTCOME_HEADER: Final = "x-outcome"


class CallOutcome(enum.Enum):
    """What a caller was told about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class CallResult:
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
    reported_outcome: CallOutcome
    response_matches: bool
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
    results: list[CallResult] = attrs.field(factory=list)
    _client: httpx.AsyncClient = attrs.field(
        factory=lambda: httpx.AsyncClient(
            timeout=30.0,
            trust_env=False,
            verify=tls_context(),
            limits=httpx.Limits(max_connections=1000),
        )
    )
    _request_count: int = 0

    async def send_get(self, path: str = "", **headers: str) -> CallResult:
        """Send a request that may be repeated."""
        return await self._send("GET", path, None, headers)

    async def send_post(self, path: str = "", **headers: str) -> CallResult:
        """Send a request that may not be repeated, with no key."""
        return await self._send("POST", path, None, headers)

    async def send_keyed_post(
        self, key: str, path: str = "", **headers: str
    ) -> CallResult:
        """Send a request that is to run at most once."""
        return await self._send("POST", path, key, headers)

    async def _send(
        self, method: str, path: str, key: str | None, headers: dict[str, str]
    ) -> CallResult:
        self._request_count += 1
        gateway = self.gateways[self._request_count % len(self.gateways)]
        request_id = secrets.token_hex(8)
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        sent["x-request-id"] = request_id
        body = b""
        if key is not None:
            sent["idempotency-key"] = key
            body = key.encode()
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            response = await self._client.request(
                method,
                f"{gateway}/call/{self.service}/{path}",
                headers=sent,
                content=body or None,
            )
        except httpx.HTTPError:
            result = _result_without_response(request_id, key, loop.time() - began)
        else:
            result = _result_from_response(
                response, request_id, key, loop.time() - began
            )
        self.results.append(result)
        return result

    async def close(self) -> None:
        """Close connections."""
        await self._client.aclose()


def _result_without_response(
    request_id: str, key: str | None, took_s: float
) -> CallResult:
    return CallResult(
        id=request_id,
        key=key,
        reported_outcome=CallOutcome.UNKNOWN,
        response_matches=True,
        replayed=False,
        status=0,
        took_s=took_s,
    )


def _result_from_response(
    response: httpx.Response, request_id: str, key: str | None, took_s: float
) -> CallResult:
    reported_outcome = CallOutcome(
        response.headers.get(OUTCOME_HEADER, CallOutcome.UNKNOWN.value)
    )
    replayed = "idempotency-replayed" in response.headers
    response_matches = (
        reported_outcome is not CallOutcome.ANSWERED
        or response.content.startswith(request_id.encode())
    )
    if replayed and key is not None:
        response_matches = key.encode() in response.content
    return CallResult(
        id=request_id,
        key=key,
        reported_outcome=reported_outcome,
        response_matches=response_matches,
        replayed=replayed,
        status=response.status_code,
        took_s=took_s,
        retry_after="retry-after" in response.headers,
    )
