"""The gateway's HTTP interface: callers' requests, digests, state dumps.

Callers request `/call/SERVICE/PATH`. Optional headers: `Idempotency-Key` (run at most
once), `X-Class` (`urgent`, `normal`, `bulk`) and `X-Timeout-Ms`. Callers' requests are
handled as plain ASGI, bypassing the framework's request handling.
"""

import secrets
from typing import Any, Final

import attrs
from litestar import Request, Response, asgi, get, post

from cranberrycleat import codec, errors
from cranberrycleat.admission import RequestClass
from cranberrycleat.asgi import ClientDisconnected, read_body
from cranberrycleat.connection_limits import MAX_BODY_BYTES
from cranberrycleat.forward import (
    IDEMPOTENT_METHODS,
    Answered,
    CallerRequest,
    strip_headers,
)
from cranberrycleat.gateway import Gateway
from cranberrycleat.messages import Digest, Readiness
from cranberrycleat.serve import (
    PROBLEM_TYPE,
    json_response,
    problem_of,
    retry_after,
    state_handlers,
)

AnyRequest = Request[Any, Any, Any]
MOUNT: Final = "/call"
KEY_HEADER: Final = b"idempotency-key"
CLASS_HEADER: Final = b"x-class"
TIMEOUT_HEADER: Final = b"x-timeout-ms"
ID_HEADER: Final = b"x-request-id"
OUTCOME_HEADER: Final = b"x-outcome"
MAX_KEY_LENGTH: Final = 255
MAX_TIMEOUT_S: Final = 3600.0
MAX_TIMEOUT_DIGITS: Final = 7


@attrs.frozen(kw_only=True)
class ParsedRequest:
    """A caller's request with its key, class and timeout."""

    req: CallerRequest
    key: str | None
    rank: RequestClass
    wait_s: float


def gateway_handlers(gateway: Gateway) -> list[Any]:
    """Return the route handlers of a gateway."""

    @asgi(MOUNT, is_mount=True, copy_scope=True)
    async def call(scope: Any, receive: Any, send: Any) -> None:
        await serve_caller(gateway, scope, receive, send)

    @post("/v1/digest")
    async def digest(request: AnyRequest) -> Response[bytes]:
        asked = codec.decode(await request.body(), Digest)
        return json_response(gateway.answer_digest(asked))

    @get("/v1/ready")
    async def ready() -> Response[bytes]:
        state = Readiness(
            ready=not gateway.draining, reason="draining" if gateway.draining else ""
        )
        return json_response(state, status=200 if state.ready else 503)

    shown = state_handlers(gateway.metrics, lambda: gateway_dump(gateway))
    return [call, digest, ready, *shown]


async def serve_caller(gateway: Gateway, scope: Any, receive: Any, send: Any) -> None:
    """Serve one caller's request from its first byte to the complete response."""
    if scope["type"] != "http":
        return
    gateway.in_flight += 1
    try:
        parsed = await _read(scope, receive, gateway.config.routing.timeout_s)
        answered = await gateway.answer(
            parsed.req, key=parsed.key, rank=parsed.rank, wait_s=parsed.wait_s
        )
        gateway.metrics.count("answered")
        await _send_answer(send, answered)
    except errors.FindingsError as exc:
        reason = f"{len(exc.findings)} fault(s) in the request"
        problem = errors.ProblemError(
            status=400, code=errors.MALFORMED, findings=exc.findings, reason=reason
        )
        await _send_problem(send, problem)
    except errors.ProblemError as exc:
        gateway.metrics.count(f"refused.{exc.code}")
        await _send_problem(send, exc)
    finally:
        gateway.in_flight -= 1


async def _read(scope: Any, receive: Any, default_s: float) -> ParsedRequest:
    headers = [(name.lower(), value) for name, value in scope["headers"]]
    by_name = dict(headers)
    path = scope["path"].removeprefix(MOUNT).lstrip("/")
    service, _, rest = path.partition("/")
    query = scope["query_string"].decode("latin-1")
    found = errors.Findings()
    key = _key(by_name, found)
    rank = _rank(by_name, found)
    wait_s = _timeout(by_name, default_s, found)
    if found.items:
        raise errors.FindingsError(findings=found.sorted())
    passed = strip_headers(headers)
    if ID_HEADER not in by_name:
        passed.append((ID_HEADER, secrets.token_hex(8).encode()))
    method = scope["method"]
    req = CallerRequest(
        method=method,
        service=service,
        target="/" + rest + ("?" + query if query else ""),
        headers=passed,
        body=await _read_body(receive),
        repeatable=method in IDEMPOTENT_METHODS and key is None,
    )
    return ParsedRequest(req=req, key=key, rank=rank, wait_s=wait_s)


def _key(by_name: dict[bytes, bytes], found: errors.Findings) -> str | None:
    if KEY_HEADER not in by_name:
        return None
    key = by_name[KEY_HEADER].decode("latin-1")
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        found.add(
            "header Idempotency-Key",
            errors.BAD_VALUE,
            value=key[:40],
            allowed=f"1 to {MAX_KEY_LENGTH} characters",
        )
    return key


def _rank(by_name: dict[bytes, bytes], found: errors.Findings) -> RequestClass:
    text = by_name.get(CLASS_HEADER, b"normal").decode("latin-1")
    names = [each.name.lower() for each in RequestClass]
    if text not in names:
        found.add(
            "header X-Class",
            errors.BAD_VALUE,
            value=text[:40],
            allowed=", ".join(names),
        )
        return RequestClass.NORMAL
    return RequestClass[text.upper()]


def _timeout(
    by_name: dict[bytes, bytes], default_s: float, found: errors.Findings
) -> float:
    if TIMEOUT_HEADER not in by_name:
        return default_s
    text = by_name[TIMEOUT_HEADER].decode("latin-1")
    # `isdecimal` alone accepts digits that are not ASCII; `int` raises for long texts.
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_TIMEOUT_DIGITS
    if is_number and 0 < int(text) <= MAX_TIMEOUT_S * 1000:
        return int(text) / 1000
    found.add(
        "header X-Timeout-Ms",
        errors.BAD_VALUE,
        value=text[:40],
        allowed=f"1 to {int(MAX_TIMEOUT_S * 1000)}",
    )
    return default_s


async def _read_body(receive: Any) -> bytes:
    try:
        body = await read_body(receive)
    except ClientDisconnected:
        raise errors.ProblemError(
            status=400, code=errors.MALFORMED, reason="the body broke off"
        ) from None
    if body is None:
        raise errors.ProblemError(
            status=413, code=errors.TOO_LARGE, size="the body", limit=MAX_BODY_BYTES
        )
    return body


async def _send_answer(send: Any, answered: Answered) -> None:
    headers = [
        *answered.headers,
        (b"content-length", str(len(answered.body)).encode()),
        (OUTCOME_HEADER, b"answered"),
    ]
    await _send(send, answered.status, headers, answered.body)


async def _send_problem(send: Any, exc: errors.ProblemError) -> None:
    body = codec.encode(problem_of(exc))
    unknown = exc.code in (errors.OUTCOME_UNKNOWN, errors.KEY_IN_USE)
    headers = [
        (b"content-type", PROBLEM_TYPE.encode()),
        (b"content-length", str(len(body)).encode()),
        (OUTCOME_HEADER, b"unknown" if unknown else b"not-run"),
    ]
    if exc.retry_after_s is not None:
        headers.append((b"retry-after", str(retry_after(exc.retry_after_s)).encode()))
    await _send(send, exc.status, headers, body)


async def _send(
    send: Any, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def gateway_dump(gateway: Gateway) -> dict[str, Any]:
    """Return the gateway's state for debugging."""
    return {
        "options": gateway.cfg,
        "draining": gateway.draining,
        "in_flight": gateway.in_flight,
        "config": gateway.watcher.current,
        "members": gateway.catalog.members,
        "sets": gateway.catalog.sets(),
        "leaving": sorted(gateway.catalog.leaving),
        "services": {
            name: [
                {
                    "url": state.endpoint.url,
                    "in_flight": state.share.in_flight,
                    "share": state.share.share,
                    "allowed": state.share.allowed,
                    "leaving": state.leaving,
                    "failures": state.failures,
                }
                for state in service.all()
            ]
            for name, service in gateway.catalog.services.items()
        },
        "peers": [peer.last for peer in gateway.peers.known.values()],
    }
