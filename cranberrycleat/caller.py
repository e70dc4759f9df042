"""A client that calls services through gateways, for the demo, tests and benches.

It gives each request a unique id and records the outcome reported to it: answered
(and whether the response is complete and belongs to the request), not run, or
unknown.
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
    """The outcome of a request as reported to its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class CallResult:
    """One request and the outcome reported to its caller.

    Attributes:
        id: The request's id, which endpoints record.
        key: The idempotency key, if any.
        reported_outcome: The outcome reported to the caller.
        response_matches: Whether the response, if there is one, is complete and
            belongs to this request.
        replayed: Whether the response is the stored one of an earlier request
            with the same key.
        status: The HTTP status; 0 if no response arrived.
        took_s: How long the caller waited, in seconds.
        retry_after: Whether the response has a Retry-After header.
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
    """Calls one service through several gateways in round-robin order.

    Attributes:
        gateways: The gateways' base URLs.
        service: The service to call.
        results: The results of all requests so far.
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
        """Send a GET request, which gateways may retry."""
        return await self._send("GET", path, None, headers)

    async def send_post(self, path: str = "", **headers: str) -> CallResult:
        """Send a POST request without an idempotency key; it must not be retried."""
        return await self._send("POST", path, None, headers)

    async def send_keyed_post(
        self, key: str, path: str = "", **headers: str
    ) -> CallResult:
        """Send a POST request with an idempotency key, to run at most once."""
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
        """Close all connections."""
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
