"""The HTTP client of the operator commands.

A request tries the schedulers in the given order and fails over to the next one if
a scheduler is unreachable, draining or cut off from the platform's table. Worker
lists and scheduler statuses are collected from all schedulers that answer.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs

from cranberrycleat import errors
from cranberrycleat.http_calls import JsonClient, call, make_client
from cranberrycleat.jobs import JobSpec
from cranberrycleat.messages import (
    Accepted,
    ConfigChange,
    ConfigDocument,
    JobStatus,
    SchedulerStatus,
    WorkerList,
)

T = TypeVar("T")


@attrs.define(kw_only=True, eq=False)
class OperatorClient:
    """A client of the schedulers' operator API.

    Attributes:
        urls: The schedulers' base URLs, in the order to try them.
        timeout_s: The timeout of each request, in seconds.
    """

    urls: tuple[str, ...]
    timeout_s: float = 10.0

    async def submit(self, spec: JobSpec) -> Accepted:
        """Submit a job."""
        return await self._request_first("POST", "/v1/jobs", Accepted, message=spec)

    async def cancel(self, job: str) -> Accepted:
        """Cancel a job."""
        return await self._request_first("DELETE", f"/v1/jobs/{job}", Accepted)

    async def job(self, name: str) -> JobStatus:
        """Return a job's status."""
        return await self._request_first("GET", f"/v1/jobs/{name}", JobStatus)

    async def label(self, worker: str, labels: dict[str, str | None]) -> Accepted:
        """Change a worker's labels."""
        path = f"/v1/workers/{worker}/labels"
        return await self._request_first("POST", path, Accepted, message=labels)

    async def declare_dead(self, worker: str) -> Accepted:
        """Declare a worker dead: the operator asserts that it runs no tasks."""
        return await self._request_first("POST", f"/v1/workers/{worker}/dead", Accepted)

    async def config(self) -> ConfigDocument:
        """Return the current configuration and its version."""
        return await self._request_first("GET", "/v1/config", ConfigDocument)

    async def apply(self, change: ConfigChange) -> ConfigDocument:
        """Apply a new configuration."""
        return await self._request_first(
            "POST", "/v1/config", ConfigDocument, message=change
        )

    async def workers(self) -> tuple[WorkerList, ...]:
        """Return the workers of each shard whose owner answers."""
        return await self._request_all("/v1/workers", WorkerList)

    async def statuses(self) -> tuple[SchedulerStatus, ...]:
        """Return the status of each scheduler that answers."""
        return await self._request_all("/v1/status", SchedulerStatus)

    async def dump(self, url: str) -> object:
        """Return the internal state of the process at a base URL."""

        async def send_requests(client: JsonClient) -> object:
            return await call(client, "GET", url + "/v1/dump", object)

        return await self._with_client(send_requests)

    async def _request_first(
        self, method: str, path: str, kind: type[T], *, message: object = None
    ) -> T:
        async def send_requests(client: JsonClient) -> T:
            last_error: Exception = errors.PeerUnavailable("no scheduler URL was given")
            for url in self.urls:
                try:
                    return await call(client, method, url + path, kind, message=message)
                except errors.PeerUnavailable as exc:
                    last_error = exc
                except errors.ProblemError as exc:
                    if exc.code not in (errors.DRAINING, errors.NOT_ACCEPTED):
                        raise
                    last_error = exc
            raise last_error

        return await self._with_client(send_requests)

    async def _request_all(self, path: str, kind: type[T]) -> tuple[T, ...]:
        async def send_requests(client: JsonClient) -> tuple[T, ...]:
            found = []
            for url in self.urls:
                try:
                    found.append(await call(client, "GET", url + path, kind))
                except errors.PeerUnavailable:
                    continue
            if not found:
                raise errors.PeerUnavailable("no scheduler answered")
            return tuple(found)

        return await self._with_client(send_requests)

    async def _with_client(
        self, send_requests: Callable[[JsonClient], Awaitable[T]]
    ) -> T:
        async with make_client(timeout_s=self.timeout_s) as client:
            return await send_requests(client)
