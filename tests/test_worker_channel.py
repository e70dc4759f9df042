"""Tests that acknowledgements use connections verified by the same incarnation.

A restarted process inherits no connection, so end numbers of one incarnation never
reach another, however late they are sent.
"""

import contextlib
from collections.abc import AsyncIterator
from typing import Any

import attrs
import pytest

from cranberrycleat.amounts import Amounts
from cranberrycleat.http_client import ConnectionClosed, HttpClient
from cranberrycleat.platform.workers import PlatformPermits, PlatformWorkers
from cranberrycleat.workflow.connection_report import ConnectionReport
from cranberrycleat.workflow.ports import (
    Permit,
    SyncReply,
    WorkerEntry,
    WorkerUnreachable,
)
from tests.fakes import run_async
from tests.http_workers import HttpProcess

BORN_MS = 1_000


@attrs.define(kw_only=True, eq=False)
class Process(HttpProcess):
    """A worker's process that gives the same answer to every request.

    Attributes:
        born_ms: Reported in its lists; None: not reported.
        status: The status of its answers.
        more: Additional fields of its answers.
        seen: The request bodies received, in order.
    """

    born_ms: int | None = BORN_MS
    status: int = 200
    more: dict[str, Any] = attrs.field(factory=dict)
    seen: list[dict[str, Any]] = attrs.field(factory=list)

    async def answer(self, path: str, req: dict[str, Any]) -> tuple[int, Any]:
        """Record the request."""
        self.seen.append(req)
        born = {} if self.born_ms is None else {"born": self.born_ms}
        return self.status, {"clock_ms": 1, **born, **self.more}

    @property
    def acknowledged(self) -> list[int]:
        """Return the acknowledged end numbers received, in order."""
        return [each["seen_upto"] for each in self.seen]


@contextlib.asynccontextmanager
async def worker() -> AsyncIterator[tuple[Process, PlatformWorkers, WorkerEntry]]:
    """Run a worker's process and a client of it."""
    process = Process()
    await process.start()
    client = PlatformWorkers()
    entry = WorkerEntry(
        worker="i-1",
        pool="p",
        address=f"127.0.0.1:{process.port}",
        data_centre="dc",
        leaving=False,
        capacity=Amounts(),
        labels=(),
        born_ms=BORN_MS,
    )
    try:
        yield process, client, entry
    finally:
        await client.close()
        await process.kill()


async def ask(client: PlatformWorkers, entry: WorkerEntry, upto: int) -> SyncReply:
    """Send a sync that acknowledges ends up to a number."""
    reply = await client.sync(
        entry, fence=1, ended_upto=upto, lease_end_ms=None, wait_ms=0
    )
    assert isinstance(reply, SyncReply)
    return reply


# Guards against task ends that a restarted worker discards before reporting them
# (TWICE).
def test_restarted_worker_gets_no_acknowledgement_of_previous_incarnation() -> None:
    async def run() -> None:
        async with worker() as (first, client, entry):
            await ask(client, entry, 0)
            await ask(client, entry, 7)
            await first.kill()
            second = Process(born_ms=BORN_MS + 5, port=first.port)
            await second.start()
            replies = [await ask(client, entry, 7) for _ in range(3)]
            assert first.acknowledged == [0, 7]
            assert second.acknowledged == [0, 0, 0]
            assert {each.born_ms for each in replies} == {BORN_MS + 5}
            await second.kill()

    run_async(run())


# Guards against task ends that a live worker keeps for ever: a new connection to the
# same incarnation acknowledges once that has answered on it.
@pytest.mark.parametrize("born_ms", [BORN_MS, None], ids=["told", "not told"])
def test_new_connection_acknowledges_after_first_reply(born_ms: int | None) -> None:
    async def run() -> None:
        async with worker() as (first, client, entry):
            await ask(client, entry, 0)
            await first.kill()
            again = Process(born_ms=born_ms, port=first.port)
            await again.start()
            for _ in range(2):
                await ask(client, entry, 7)
            assert again.acknowledged == [0, 7]
            await again.kill()

    run_async(run())


def test_reply_without_incarnation_does_not_verify_connection() -> None:
    """A refusal has no lists and may come from any incarnation."""

    async def run() -> None:
        async with worker() as (process, client, entry):
            process.status = 500
            for _ in range(2):
                with pytest.raises(WorkerUnreachable):
                    await ask(client, entry, 7)
            process.status = 200
            await ask(client, entry, 7)
            await ask(client, entry, 7)
            assert process.acknowledged == [0, 0, 0, 7]

    run_async(run())


def test_request_for_closed_connection_is_not_sent() -> None:
    async def run() -> None:
        async with worker() as (process, _, entry):
            http = HttpClient(max_connections=1)
            url = f"http://{entry.address}/"
            try:
                await http.call("POST", url, body=b"{}", timeout_s=1.0)
                await http.call(
                    "POST", url, body=b"{}", timeout_s=1.0, required_connection=1
                )
                assert http.connections_opened == 1 and len(process.seen) == 2
                with pytest.raises(ConnectionClosed) as found:
                    await http.call(
                        "POST", url, body=b"{}", timeout_s=1.0, required_connection=2
                    )
                await process.kill()
                with pytest.raises(ConnectionClosed):
                    await http.call(
                        "POST", url, body=b"{}", timeout_s=1.0, required_connection=1
                    )
                assert not found.value.sent and len(process.seen) == 2
            finally:
                await http.close()

    run_async(run())


def test_permits_are_requested_by_identity_and_kept_by_incarnation() -> None:
    """The permit service knows identities; a ticket belongs to one incarnation."""

    async def run() -> None:
        async with worker() as (process, _, entry):
            http = HttpClient()
            process.more = {"good": [["i-1", "t-1"], ["i-9", "t-9"]]}
            permits = PlatformPermits(address=entry.address, http=http)
            try:
                found = await permits.ask(
                    step="a.0.0", workers=(entry.incarnation, "i-2@3"), timeout_s=1.0
                )
                assert found == (Permit(worker=entry.incarnation, ticket="t-1"),)
                assert process.seen[0]["workers"] == ["i-1", "i-2"]
            finally:
                await http.close()

    run_async(run())


def test_connections_for_orders_are_counted_by_worker() -> None:
    async def run() -> None:
        async with worker() as (process, client, entry):
            await client.stop(entry, "a.0.0.0", 1, 1)
            await client.stop(entry, "a.0.0.0", 1, 1)
            report = ConnectionReport()
            found = report.update({"i-1": client.connections(entry)})
            assert found is not None and (found.opened, found.broken) == (1, 0)
            assert found.most_opened == {"i-1": 1} and not found.most_broken
            assert report.update({"i-1": client.connections(entry)}) is None
            await process.kill()
            with pytest.raises(WorkerUnreachable):
                await client.stop(entry, "a.0.0.0", 1, 1)
            found = report.update({"i-1": client.connections(entry)})
            assert found is not None and found.most_broken == {"i-1": 1}

    run_async(run())
