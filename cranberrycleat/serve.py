"""HTTP application set-up with litestar, for daemons with many routes.

`make_app` builds an app that returns errors as RFC 9457 problem documents and limits
the size of request bodies; `http_server` serves it.
"""

import math
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs
import litestar
from litestar import MediaType, Request, Response, get

from cranberrycleat import codec, errors
from cranberrycleat.connection_limits import MAX_BODY_BYTES
from cranberrycleat.metrics import Metrics

PROBLEM_TYPE: Final = "application/problem+json"


@attrs.frozen(kw_only=True)
class Problem:
    """An RFC 9457 problem document."""

    type: str
    title: str
    status: int
    detail: str
    findings: tuple[errors.Finding, ...] = ()
    retry_after_s: int | None = None


def problem_of(exc: errors.ProblemError) -> Problem:
    """Return the problem document for an error."""
    return Problem(
        type=f"urn:cranberrycleat:{exc.code}",
        title=exc.code,
        status=exc.status,
        detail=exc.detail,
        findings=exc.findings,
        retry_after_s=retry_after(exc.retry_after_s),
    )


def retry_after(seconds: float | None) -> int | None:
    """Return a `Retry-After` value: seconds rounded up to an integer, at least 1."""
    return None if seconds is None else max(1, math.ceil(seconds))


def problem_response(exc: errors.ProblemError) -> Response[bytes]:
    """Return the HTTP response for an error."""
    headers = {}
    if exc.retry_after_s is not None:
        headers["Retry-After"] = str(retry_after(exc.retry_after_s))
    return Response(
        codec.encode(problem_of(exc)),
        status_code=exc.status,
        media_type=PROBLEM_TYPE,
        headers=headers,
    )


def json_response(value: object, *, status: int = 200) -> Response[bytes]:
    """Return a message as a JSON response."""
    return Response(codec.encode(value), status_code=status, media_type=MediaType.JSON)


def _on_problem(_: Request[Any, Any, Any], exc: Exception) -> Response[bytes]:
    assert isinstance(exc, errors.ProblemError)
    return problem_response(exc)


def _on_findings(_: Request[Any, Any, Any], exc: Exception) -> Response[bytes]:
    assert isinstance(exc, errors.FindingsError)
    reason = f"{len(exc.findings)} fault(s) in the input"
    return problem_response(
        errors.ProblemError(
            status=400, code=errors.MALFORMED, findings=exc.findings, reason=reason
        )
    )


def _on_unavailable(_: Request[Any, Any, Any], exc: Exception) -> Response[bytes]:
    return problem_response(
        errors.ProblemError(status=503, code=errors.NOT_ACCEPTED, retry_after_s=5)
    )


def state_handlers(metrics: Metrics, dump: Callable[[], object]) -> list[Any]:
    """Return the handlers for a process's metrics and diagnostic state."""

    @get("/v1/metrics")
    async def show_metrics() -> Response[bytes]:
        return Response(metrics.read(), media_type=MediaType.JSON)

    @get("/v1/dump")
    async def show_dump() -> Response[bytes]:
        return json_response(dump())

    return [show_metrics, show_dump]


def make_app(handlers: Sequence[Any]) -> litestar.Litestar:
    """Build an app with this project's error handling and no logging configuration."""
    return litestar.Litestar(
        route_handlers=list(handlers),
        logging_config=None,
        openapi_config=None,
        request_max_body_size=MAX_BODY_BYTES,
        exception_handlers={
            errors.ProblemError: _on_problem,
            errors.FindingsError: _on_findings,
            errors.TableUnavailable: _on_unavailable,
        },
    )
