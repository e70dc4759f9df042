"""Outgoing HTTP calls between processes: one typed call over httpx.

A call sends one message and decodes one message. Everything that keeps an
answer from arriving becomes `PeerUnavailable`; a refusal becomes the
`ProblemError` that the other side raised.
"""

import functools
import ssl
from typing import TypeVar

import httpx
import msgspec

from cranberrycleat import codec, errors

T = TypeVar("T")


@functools.cache
def tls_context() -> ssl.SSLContext:
    """Return the one TLS context of this process.

    Each context holds its own copy of the system's certificates, about half a
    megabyte; a scheduler has a client for every worker.
    """
    return httpx.create_ssl_context()


def make_client(*, timeout_s: float, connections: int = 100) -> httpx.AsyncClient:
    """Return a client that reads no proxy settings from the environment."""
    return httpx.AsyncClient(
        timeout=timeout_s,
        trust_env=False,
        verify=tls_context(),
        limits=httpx.Limits(
            max_connections=connections, max_keepalive_connections=connections
        ),
    )


async def call(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    kind: type[T],
    *,
    message: object = None,
    params: dict[str, str] | None = None,
) -> T:
    """Send one message and return the decoded answer.

    Raises:
        PeerUnavailable: No whole answer came; the other side may have acted.
        ProblemError: The other side refused.
    """
    content = None if message is None else codec.encode(message)
    try:
        res = await client.request(method, url, content=content, params=params)
    except (httpx.HTTPError, httpx.InvalidURL) as exc:
        raise errors.PeerUnavailable(f"{url}: {exc!r}") from exc
    if res.status_code >= 400:
        raise _problem(res)
    try:
        return codec.decode(res.content, kind, place=url)
    except errors.FindingsError as exc:
        raise errors.PeerUnavailable(str(exc)) from exc


def _problem(res: httpx.Response) -> Exception:
    try:
        fields = msgspec.json.decode(res.content, type=_ProblemFields)
    except msgspec.DecodeError:
        return errors.PeerUnavailable(f"{res.url}: status {res.status_code}")
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
        return errors.PeerUnavailable(f"{res.url}: status {res.status_code}")
    problem.detail = fields.detail
    return problem


class _ProblemFields(msgspec.Struct):
    title: str
    detail: str = ""
    retry_after_s: float | None = None
    findings: tuple[errors.Finding, ...] = ()
