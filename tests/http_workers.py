"""Serves the workers of the stand-in fleet over HTTP, in the platform's protocol.

A restart closes every connection and listens again at the same address, so that the
adapter's open connections end the way they do with real processes.
"""

import asyncio
import contextlib
import json
from typing import Any

import attrs

from cranberrycleat.platform.workers import REPLACED
from cranberrycleat.standins.fleet import SimulatedWorker, StandinFleet
from cranberrycleat.workflow.ports import (
    EndKind,
    OrderReply,
    StartOrder,
    SyncReply,
    Verdict,
    WorkerEntry,
    WorkerUnreachable,
)

END_KINDS = {
    EndKind.DONE: "done",
    EndKind.FAILED: "failed",
    EndKind.STOPPED: "stopped",
    EndKind.LAPSED: "lapsed",
    EndKind.MEMBER_ENDED: "broken",
    EndKind.MEMBER_MISSING: "alone",
}
REASONS = {
    Verdict.STALE_EPOCH: "fence",
    Verdict.STALE_ATTEMPT: "old",
    Verdict.TOO_LATE: "late",
    Verdict.NO_ROOM: "room",
}


@attrs.define(kw_only=True, eq=False)
class HttpProcess:
    """A process that answers HTTP requests until it is killed.

    Attributes:
        port: The port that it listens on, once started; 0: any port.
        connections: Number of connections opened to it.
        max_open: How many connections it holds at a time; it resets further ones at
            once. Those of a host that lost power stay open. None: no limit.
        paths: The paths of the requests that it has read, in order.
        resets: Number of connections that it reset for this reason.
        reset_paths: Requests with these paths are not carried out; their connections
            are reset.
        lost_answers: Requests with these paths are carried out; then their connections
            are reset.
        answer_delay_s: How long it takes to answer.
    """

    port: int = 0
    connections: int = 0
    max_open: int | None = None
    paths: list[str] = attrs.field(factory=list)
    resets: int = 0
    reset_paths: set[str] = attrs.field(factory=set)
    lost_answers: set[str] = attrs.field(factory=set)
    answer_delay_s: float = 0.0
    _server: asyncio.Server | None = None
    _open: dict[asyncio.StreamWriter, asyncio.StreamReader] = attrs.field(factory=dict)
    _serving: "set[asyncio.Task[None]]" = attrs.field(factory=set)

    @property
    def open_connections(self) -> int:
        """Number of connections that neither side has closed.

        A request may still be answered on one that its caller has closed.
        """
        return sum(
            not reader.at_eof() and reader.exception() is None
            for reader in self._open.values()
        )

    async def answer(self, path: str, req: dict[str, Any]) -> tuple[int, Any]:
        """Return the status and the body of an answer."""
        raise NotImplementedError

    def is_meant(self, identity: str) -> bool:
        """Return whether a request for a lifetime with this identity is for this one.

        An empty identity names none.
        """
        return True

    async def start(self) -> None:
        """Listen, at the same address as before."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port or None
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def kill(self) -> None:
        """Stop: connections are reset, new ones refused, and requests not finished."""
        assert self._server is not None
        self._server.close()
        for task in self._serving:
            task.cancel()
        for writer in self._open:
            writer.transport.abort()
        self._open.clear()
        await asyncio.sleep(0.02)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._server is None or not self._server.is_serving():
            # It was accepted just before the process was killed.
            writer.transport.abort()
            return
        self.connections += 1
        # One that its caller has closed counts until its request is answered.
        if self.max_open is not None and len(self._open) >= self.max_open:
            self.resets += 1
            writer.transport.abort()
            return
        self._open[writer] = reader
        # A task of its own: streams report the cancelled task of a handler as an error.
        serving = asyncio.create_task(self._serve_requests(reader, writer))
        self._serving.add(serving)
        await asyncio.wait({serving})
        self._serving.discard(serving)
        self._open.pop(writer, None)
        writer.close()
        if not serving.cancelled():
            serving.result()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = _header(head, "content-length")
                req = json.loads(await reader.readexactly(int(length)))
                path = head.split(" ")[1]
                self.paths.append(path)
                if path in self.reset_paths:
                    writer.transport.abort()
                    break
                await asyncio.sleep(self.answer_delay_s)
                if self.is_meant(_header(head, "expect-instance")):
                    status, answer = await self.answer(path, req)
                else:
                    status, answer = REPLACED, {}
                if path in self.lost_answers:
                    writer.transport.abort()
                    break
                body = json.dumps(answer).encode()
                line = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(line.encode() + body)


@attrs.define(kw_only=True, eq=False)
class HttpWorker(HttpProcess):
    """One worker at one address; its process may be killed and started again.

    Attributes:
        fleet: Simulates the worker.
        name: Its identity.
    """

    fleet: StandinFleet
    name: str

    def is_meant(self, identity: str) -> bool:
        """Return whether a request names this worker, or none."""
        return identity in ("", self.name)

    async def answer(self, path: str, req: dict[str, Any]) -> tuple[int, Any]:
        """Answer as the fleet does; a silent worker does not answer."""
        worker = self.fleet.workers[self.name]
        try:
            if path == "/api/hold":
                reply = await self.fleet.sync(
                    worker.entry,
                    fence=req["fencing_token"],
                    ended_upto=req["seen_upto"],
                    lease_end_ms=req.get("until_ms"),
                    wait_ms=req.get("wait_ms", 0),
                )
                return self._lists(reply)
            if path == "/api/run-start":
                return _verdict(await self._start(worker, req))
            return _verdict(
                await self.fleet.stop(
                    worker.entry, req["task"], req["run"], req["fencing_token"]
                )
            )
        except WorkerUnreachable:
            await asyncio.sleep(60.0)
            return 503, {}

    async def _start(self, worker: SimulatedWorker, req: dict[str, Any]) -> OrderReply:
        order = StartOrder(
            task=req["task"],
            attempt=req["run"],
            program=req["spec"],
            lease_end_ms=req["until_ms"],
            fence=req["fencing_token"],
        )
        worker.order_delay_s = self.answer_delay_s
        return await self.fleet.start(worker.entry, order, limit_s=60.0)

    def _lists(self, reply: SyncReply | OrderReply) -> tuple[int, Any]:
        if isinstance(reply, OrderReply):
            return _verdict(reply)
        return 200, {
            "clock_ms": reply.worker_time_ms,
            "born": reply.born_ms,
            "running": [
                [each.task, each.attempt, each.saved, each.percent]
                for each in reply.running
            ],
            "ended": [
                [each.number, each.task, each.attempt, END_KINDS[each.how], each.saved]
                for each in reply.ended
            ],
        }


def _header(head: str, name: str) -> str:
    """Return the value of a header, given its name in lower case; empty if absent."""
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name:
            return value.strip()
    return ""


def _verdict(reply: OrderReply) -> tuple[int, Any]:
    if reply.verdict is Verdict.ACCEPTED:
        return 200, {"clock_ms": reply.worker_time_ms}
    reason = REASONS[reply.verdict]
    return 409, {"clock_ms": reply.worker_time_ms, "reason": reason}


def at(entry: WorkerEntry, port: int) -> WorkerEntry:
    """Return an entry whose address has the given port."""
    return attrs.evolve(entry, address=f"127.0.0.1:{port}")
