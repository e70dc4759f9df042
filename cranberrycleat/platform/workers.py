"""HTTP clients for the platform's workers and its permit service."""

from typing import Any, Final, TypeVar

import attrs
import msgspec

from cranberrycleat import codec
from cranberrycleat.http_client import ConnectionClosed, HttpClient, HttpReply, NoAnswer
from cranberrycleat.workflow.ports import (
    ConnectionUse,
    EndedTask,
    EndKind,
    OrderReply,
    Permit,
    PermitUnavailable,
    RunningTask,
    StartOrder,
    SyncReply,
    Verdict,
    WorkerEntry,
    WorkerReplaced,
    WorkerUnreachable,
    identity_of,
    may_be_same_incarnation,
)

T = TypeVar("T")
OK: Final = 200
BAD_REQUEST: Final = 400
CONFLICT: Final = 409
REPLACED: Final = 421
UNHEALTHY: Final = frozenset({429, 503})
NOTHING_SEEN: Final = 0
TIMEOUT_S: Final = 0.5
"""Timeout of an order, after which an unanswered order is sent again. An answer takes
a few milliseconds, or some tens on a host that is five times slower."""
REASONS: Final = {
    "fence": Verdict.STALE_EPOCH,
    "old": Verdict.STALE_ATTEMPT,
    "late": Verdict.TOO_LATE,
    "room": Verdict.NO_ROOM,
    "ticket": Verdict.NO_PERMIT,
}
ENDS: Final = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.MEMBER_ENDED,
    "alone": EndKind.MEMBER_MISSING,
}


@attrs.frozen(kw_only=True)
class _WireOrder:
    task: str
    run: int
    fencing_token: int


@attrs.frozen(kw_only=True)
class _WireStart(_WireOrder):
    spec: str
    until_ms: int


@attrs.frozen(kw_only=True)
class _WirePace(_WireOrder):
    percent: int


@attrs.frozen(kw_only=True)
class _WireHold:
    fencing_token: int
    seen_upto: int
    until_ms: int
    wait_ms: int


@attrs.frozen(kw_only=True)
class _WireLook:
    fencing_token: int
    seen_upto: int
    wait_ms: int


@attrs.frozen(kw_only=True)
class _WireVerdict:
    clock_ms: float | None = None
    reason: str = ""


@attrs.frozen(kw_only=True)
class _WireLists:
    clock_ms: float
    born: int = 0
    running: list[list[Any]] = attrs.field(factory=list)
    ended: list[tuple[int, str, int, str, str]] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class _WireAsk:
    step: str
    workers: tuple[str, ...]


@attrs.frozen(kw_only=True)
class _WireGood:
    good: list[tuple[str, str]] = attrs.field(factory=list)


@attrs.define(kw_only=True, eq=False)
class _Channel:
    """The connections to one incarnation of a worker.

    Attributes:
        http: Client for syncs, limited to one connection.
        orders: Client for orders; callers limit how many are sent at a time.
        answered_on: The number of the connection on which this incarnation has last
            answered; None before its first answer.
    """

    http: HttpClient = attrs.field(factory=lambda: HttpClient(max_connections=1))
    orders: HttpClient = attrs.field(factory=HttpClient)
    answered_on: int | None = None

    async def close(self) -> None:
        """Close all of them."""
        await self.http.close()
        await self.orders.close()


@attrs.define(kw_only=True, eq=False)
class PlatformWorkers:
    """Worker API over HTTP.

    Attributes:
        timeout_s: The time limit for answers, unless a call is given another.
    """

    timeout_s: float = TIMEOUT_S
    _channels: dict[str, _Channel] = attrs.field(factory=dict)

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Order a worker to start a task."""
        wire = _WireStart(
            task=order.task,
            run=order.attempt,
            fencing_token=order.fence,
            spec=order.program,
            until_ms=order.lease_end_ms,
        )
        body = attrs.asdict(wire)
        if order.saved:
            body["saved"] = order.saved
        if order.permit:
            body["ticket"] = order.permit
        return await self._order(entry, "/api/run-start", body, limit_s)

    async def stop(
        self, entry: WorkerEntry, task: str, attempt: int, fence: int
    ) -> OrderReply:
        """Order a worker to stop a task."""
        wire = _WireOrder(task=task, run=attempt, fencing_token=fence)
        return await self._order(entry, "/api/run-stop", wire)

    async def throttle(
        self, entry: WorkerEntry, task: str, attempt: int, percent: int, fence: int
    ) -> OrderReply:
        """Order a worker to run a task at a percentage of full speed."""
        wire = _WirePace(task=task, run=attempt, fencing_token=fence, percent=percent)
        return await self._order(entry, "/api/pace", wire)

    async def sync(
        self,
        entry: WorkerEntry,
        *,
        fence: int,
        ended_upto: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> SyncReply | OrderReply:
        """Renew the leases of all tasks on a worker; return running and ended tasks."""
        limit_s = self.timeout_s + wait_ms / 1000
        channel = self._channel(entry)
        if channel.answered_on is None:
            ended_upto = NOTHING_SEEN
        required_connection = channel.answered_on if ended_upto else None
        wire = _hold(fence, ended_upto, lease_end_ms, wait_ms)
        try:
            reply = await self._hold(channel, entry, wire, limit_s, required_connection)
        except ConnectionClosed:
            wire = _hold(fence, NOTHING_SEEN, lease_end_ms, wait_ms)
            reply = await self._hold(channel, entry, wire, limit_s, None)
        if reply.status != OK:
            return _verdict(reply, entry)
        lists = _decode(reply, _WireLists, entry)
        if may_be_same_incarnation(lists.born, entry.born_ms):
            channel.answered_on = channel.http.connections_opened
        try:
            return _sync_reply(lists)
        except (KeyError, TypeError, ValueError) as exc:
            raise WorkerUnreachable(
                f"{entry.worker}: malformed task list: {exc!r}"
            ) from exc

    async def _hold(
        self,
        channel: _Channel,
        entry: WorkerEntry,
        wire: "_WireHold | _WireLook",
        limit_s: float,
        required_connection: int | None,
    ) -> HttpReply:
        return await self._call(
            entry,
            "/api/hold",
            wire,
            limit_s,
            http=channel.http,
            required_connection=required_connection,
        )

    def connections(self, entry: WorkerEntry) -> ConnectionUse:
        """Return how many connections orders to a worker have needed."""
        channel = self._channels.get(entry.incarnation)
        if channel is None:
            return ConnectionUse()
        return ConnectionUse(
            opened=channel.orders.connections_opened,
            broken=channel.orders.connections_broken,
        )

    def _channel(self, entry: WorkerEntry) -> _Channel:
        channel = self._channels.get(entry.incarnation)
        if channel is None:
            channel = self._channels[entry.incarnation] = _Channel()
        return channel

    async def close(self) -> None:
        """Close every connection."""
        channels, self._channels = self._channels, {}
        for channel in channels.values():
            await channel.close()

    async def release_orders(self, entry: WorkerEntry) -> None:
        """Close the connections for orders to an incarnation of a worker."""
        channel = self._channels.get(entry.incarnation)
        if channel is not None:
            await channel.orders.close()

    async def release(self, entry: WorkerEntry) -> None:
        """Close the connections to an incarnation of a worker."""
        channel = self._channels.pop(entry.incarnation, None)
        if channel is not None:
            await channel.close()

    async def _order(
        self, entry: WorkerEntry, path: str, body: object, limit_s: float | None = None
    ) -> OrderReply:
        limit_s = self.timeout_s if limit_s is None else limit_s
        return _verdict(await self._call(entry, path, body, limit_s), entry)

    async def _call(
        self,
        entry: WorkerEntry,
        path: str,
        body: object,
        limit_s: float,
        *,
        http: HttpClient | None = None,
        required_connection: int | None = None,
    ) -> HttpReply:
        try:
            reply = await (http or self._channel(entry).orders).call(
                "POST",
                f"http://{entry.address}{path}",
                body=codec.encode(body),
                headers={"Expect-Instance": entry.worker},
                timeout_s=limit_s,
                required_connection=required_connection,
            )
        except ConnectionClosed:
            raise
        except NoAnswer as exc:
            raise WorkerUnreachable(str(exc), sent=exc.sent) from exc
        if reply.status == REPLACED:
            raise WorkerReplaced(entry.worker)
        return reply


def _hold(
    fence: int, seen_upto: int, lease_end_ms: int | None, wait_ms: int
) -> _WireHold | _WireLook:
    if lease_end_ms is None:
        return _WireLook(fencing_token=fence, seen_upto=seen_upto, wait_ms=wait_ms)
    return _WireHold(
        fencing_token=fence,
        seen_upto=seen_upto,
        until_ms=lease_end_ms,
        wait_ms=wait_ms,
    )


def _verdict(reply: HttpReply, entry: WorkerEntry) -> OrderReply:
    if reply.status in UNHEALTHY:
        return OrderReply(verdict=Verdict.UNHEALTHY)
    wire = _decode(reply, _WireVerdict, entry)
    clock = None if wire.clock_ms is None else round(wire.clock_ms)
    if reply.status == OK:
        return OrderReply(verdict=Verdict.ACCEPTED, worker_time_ms=clock)
    if reply.status == CONFLICT and wire.reason in REASONS:
        return OrderReply(verdict=REASONS[wire.reason], worker_time_ms=clock)
    if reply.status == BAD_REQUEST:
        return OrderReply(verdict=Verdict.MALFORMED, worker_time_ms=clock)
    raise WorkerUnreachable(f"{entry.worker}: status {reply.status} {wire.reason}")


def _decode(reply: HttpReply, kind: type[T], entry: WorkerEntry) -> T:
    try:
        return msgspec.json.decode(reply.body or b"{}", type=kind)
    except codec.UNDECODABLE as exc:
        raise WorkerUnreachable(f"{entry.worker}: {exc}") from exc


def _sync_reply(lists: _WireLists) -> SyncReply:
    """Return both lists of tasks; raises if a row does not follow the protocol."""
    return SyncReply(
        worker_time_ms=round(lists.clock_ms),
        running=tuple(_running(each) for each in lists.running),
        ended=tuple(
            EndedTask(number=number, task=task, attempt=run, how=ENDS[how], saved=saved)
            for number, task, run, how, saved in lists.ended
        ),
        born_ms=lists.born,
    )


def _running(wire: list[Any]) -> RunningTask:
    task, run, saved, percent = wire[:4]
    return RunningTask(
        task=str(task),
        attempt=int(run),
        saved=str(saved),
        percent=float(percent),
        reading=float(wire[4]) if len(wire) > 4 and wire[4] is not None else None,
    )


@attrs.define(kw_only=True, eq=False)
class PlatformPermits:
    """Permit service over HTTP."""

    address: str
    http: HttpClient

    async def ask(
        self, *, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> tuple[Permit, ...]:
        """Return permits for those of the workers that may run the step.

        The service identifies workers without their incarnation. Its tickets are valid
        for the current incarnation, which is the newest.
        """
        asked = {identity_of(worker): worker for worker in workers}
        wire = _WireAsk(step=step, workers=tuple(asked))
        try:
            reply = await self.http.call(
                "POST",
                f"http://{self.address}/api/advise",
                body=codec.encode(wire),
                timeout_s=timeout_s,
            )
        except NoAnswer as exc:
            raise PermitUnavailable(str(exc)) from exc
        if reply.status != OK:
            raise PermitUnavailable(f"status {reply.status}")
        try:
            good = msgspec.json.decode(reply.body, type=_WireGood).good
        except codec.UNDECODABLE as exc:
            raise PermitUnavailable(str(exc)) from exc
        return tuple(
            Permit(worker=asked[worker], ticket=ticket)
            for worker, ticket in good
            if worker in asked
        )
