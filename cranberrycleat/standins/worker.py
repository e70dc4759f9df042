"""The worker stand-in: runs tasks under leases and keeps its own record.

Invariant: no task serves requests or counts as running once its lease has expired on
the worker's clock, even if the process was paused in between; each request and each
report checks the lease first. The record under `/v1/record` is the test oracle.
"""

import asyncio
import secrets
from typing import Any, Final

import attrs
from litestar import Request, Response, asgi, get, post

from cranberrycleat import codec, errors
from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.clock import Clock, MonotonicClock
from cranberrycleat.http_calls import call, make_client
from cranberrycleat.http_server import HttpServer
from cranberrycleat.jobs import PreemptionMode
from cranberrycleat.messages import (
    AttemptRef,
    HostEntry,
    HostState,
    Outcome,
    RenewScope,
    StartOrder,
    StopOrder,
    SyncOrder,
    SyncReply,
    TaskReport,
)
from cranberrycleat.metrics import Metrics
from cranberrycleat.serve import json_response, make_app, state_handlers
from cranberrycleat.standins.service import RequestLog, ServiceStandin

AnyRequest = Request[Any, Any, Any]
TICK_S: Final = 0.02


@attrs.frozen(kw_only=True)
class RecordLine:
    """One start or end of an attempt, on the worker's clock."""

    at: float
    task: str
    attempt: int
    event: str


@attrs.frozen(kw_only=True)
class WorkerRecord:
    """The worker's own record of its activity.

    Attributes:
        worker: Its name.
        lines: Starts and ends of attempts, in order.
        requests: Requests that its services processed, in order.
        most_used: The peak use of each resource.
        capacity: Its capacity.
        refused_over_slots: Number of requests refused because every slot was taken.
    """

    worker: str
    lines: tuple[RecordLine, ...]
    requests: tuple[RequestLog, ...]
    most_used: Amounts
    capacity: Amounts
    refused_over_slots: int


@attrs.frozen(kw_only=True)
class WorkerFaults:
    """The stand-in's fault switches.

    Attributes:
        fail_starts: Every start fails.
        silent: Orders get no answer (the connection stays open).
        leaving: The worker reports that it is leaving.
    """

    fail_starts: bool = False
    silent: bool = False
    leaving: bool = False


@attrs.define(kw_only=True, eq=False)
class RunningTask:
    """One attempt on this worker, running or ended."""

    order: StartOrder
    started: float
    lease_ends_at: float
    revision: int
    outcome: Outcome = Outcome.RUNNING
    reason: str = ""
    ended: float = 0.0
    throttled: bool = False
    service: ServiceStandin


@attrs.define(kw_only=True, eq=False)
class WorkerStandin:
    """The worker stand-in.

    Attributes:
        entry: Its entry in the host list; the URL is set once it listens.
        host: The address to listen on.
        port: The port; 0 for any.
        platform_url: Where to register itself.
        clock: Its clock.
    """

    entry: HostEntry
    host: str
    port: int
    platform_url: str
    clock: Clock = attrs.field(factory=MonotonicClock)
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(4))
    epoch: int = 0
    revision: int = 0
    faults: WorkerFaults = WorkerFaults()
    tasks: dict[str, RunningTask] = attrs.field(factory=dict)
    lines: list[RecordLine] = attrs.field(factory=list)
    requests: list[RequestLog] = attrs.field(factory=list)
    most_used: Amounts = NOTHING
    refused_over_slots: int = 0
    server: HttpServer | None = None
    _ticker: "asyncio.Task[None] | None" = None

    @property
    def url(self) -> str:
        """The base URL."""
        return self.entry.url

    async def start(self) -> None:
        """Start listening and register the worker with the platform."""
        app = make_app(self._handlers())
        self.server = HttpServer(app=app, host=self.host, port=self.port)
        await self.server.start()
        self.entry = attrs.evolve(self.entry, url=self.server.url)
        await self.announce()
        self._ticker = asyncio.create_task(self._tick())

    async def announce(self) -> None:
        """Add or update the worker's entry in the platform's host list."""
        async with make_client(timeout_s=10) as client:
            url = self.platform_url + "/v1/hosts"
            await call(client, "PUT", url, HostEntry, message=self.entry)

    async def drain(self) -> None:
        """Do nothing: there is nothing to hand over."""

    async def stop(self) -> None:
        """Let requests in progress finish, then stop."""
        if self.server is not None:
            await self.server.stop()
        if self._ticker is not None:
            self._ticker.cancel()

    async def crash(self) -> None:
        """Stop abruptly, as if the host had lost power."""
        if self._ticker is not None:
            self._ticker.cancel()
        for running in self.tasks.values():
            if running.outcome is Outcome.RUNNING:
                self._log_event(running.order, "crashed")
        self.tasks.clear()
        if self.server is not None:
            await self.server.kill()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.expire()

    def expire(self) -> None:
        """End every attempt that has finished or whose lease has expired."""
        now = self.clock.now()
        for running in list(self.tasks.values()):
            if running.outcome is not Outcome.RUNNING:
                continue
            if now >= running.lease_ends_at:
                # The attempt has done nothing since its lease expired, however late
                # this process, which may have been paused, records that.
                self._end(
                    running, Outcome.STOPPED, "lease ran out", at=running.lease_ends_at
                )
            elif self._finished(running, now):
                failed = running.order.program.fails
                outcome = Outcome.FAILED if failed else Outcome.DONE
                self._end(running, outcome, "program failed" if failed else "")

    def _finished(self, running: RunningTask, now: float) -> bool:
        program = running.order.program
        if program.command == "serve":
            return False
        return now - running.started >= program.run_s

    def _end(
        self,
        running: RunningTask,
        outcome: Outcome,
        reason: str,
        at: float | None = None,
    ) -> None:
        running.outcome = outcome
        running.reason = reason
        running.ended = self.clock.now() if at is None else at
        self.revision += 1
        running.revision = self.revision
        self._log_event(running.order, outcome.value, running.ended)

    def _log_event(
        self, order: StartOrder, event: str, at: float | None = None
    ) -> None:
        line = RecordLine(
            at=self.clock.now() if at is None else at,
            task=order.task,
            attempt=order.attempt,
            event=event,
        )
        self.lines.append(line)

    def apply_orders(self, order: SyncOrder) -> SyncReply:
        """Apply an owner's orders.

        Raises:
            ProblemError: The order has an old epoch, or arrived too late.
        """
        self.expire()
        if order.epoch < self.epoch:
            raise errors.ProblemError(
                status=409,
                code=errors.STALE_EPOCH,
                ours=order.epoch,
                theirs=self.epoch,
            )
        self.epoch = order.epoch
        if order.incarnation:
            self._check_deadline(order)
            self._carry_out(order)
        return self._reply(order.since if order.incarnation else 0)

    def _check_deadline(self, order: SyncOrder) -> None:
        late = self.clock.now() > order.not_after
        if late or order.incarnation != self.incarnation:
            raise errors.ProblemError(status=412, code=errors.EXPIRED_ORDER)

    def _carry_out(self, order: SyncOrder) -> None:
        for mark in order.settled:
            self._forget(mark)
        for stop in order.stops:
            self._stop(stop)
        self._renew(order)
        for start in order.starts:
            self._start(start, order.lease_s)

    def _forget(self, mark: AttemptRef) -> None:
        running = self.tasks.get(mark.task)
        if running is None or running.order.attempt > mark.attempt:
            return
        if running.outcome is not Outcome.RUNNING:
            del self.tasks[mark.task]

    def _stop(self, stop: StopOrder) -> None:
        running = self.tasks.get(stop.task)
        if running is None or running.order.attempt != stop.attempt:
            return
        if running.outcome is not Outcome.RUNNING:
            return
        match stop.how:
            case PreemptionMode.THROTTLE:
                running.throttled = True
                self.revision += 1
                running.revision = self.revision
            case PreemptionMode.CHECKPOINT:
                self._end(running, Outcome.STOPPED, "checkpointed")
            case PreemptionMode.STOP | PreemptionMode.NEVER:
                self._end(running, Outcome.STOPPED, "stopped by order")

    def _renew(self, order: SyncOrder) -> None:
        until = self.clock.now() + order.lease_s
        for running in self.tasks.values():
            keeps = running.order.keeps
            if order.scope is RenewScope.ALL:
                running.lease_ends_at = max(running.lease_ends_at, until)
            elif order.scope is RenewScope.KEEP and keeps:
                running.lease_ends_at = max(running.lease_ends_at, until)

    def _start(self, order: StartOrder, lease_s: float) -> None:
        known = self.tasks.get(order.task)
        if known is not None and known.order.attempt >= order.attempt:
            return
        if known is not None and known.outcome is Outcome.RUNNING:
            self._end(known, Outcome.STOPPED, "replaced by a later attempt")
        now = self.clock.now()
        self.revision += 1
        running = RunningTask(
            order=order,
            started=now,
            lease_ends_at=now + lease_s,
            revision=self.revision,
            service=ServiceStandin(
                task=order.task, attempt=order.attempt, program=order.program
            ),
        )
        if self.faults.fail_starts:
            self.tasks[order.task] = running
            self._end(running, Outcome.FAILED, "the worker failed to start it")
            return
        if not order.needs.fits_in(self.entry.capacity.minus(self.used())):
            self.tasks[order.task] = running
            self._end(running, Outcome.REFUSED, "no room")
            return
        self.tasks[order.task] = running
        self._log_event(order, "started")
        self.most_used = self.most_used.elementwise_max(self.used())

    def used(self) -> Amounts:
        """Return the sum of the declared needs of running attempts."""
        total = NOTHING
        for running in self.tasks.values():
            if running.outcome is Outcome.RUNNING:
                total = total.plus(running.order.needs)
        return total

    def _reply(self, since: int) -> SyncReply:
        state = HostState.LEAVING if self.faults.leaving else self.entry.state
        reports = tuple(
            self._report(running)
            for running in self.tasks.values()
            if running.revision > since
        )
        return SyncReply(
            incarnation=self.incarnation,
            clock=self.clock.now(),
            revision=self.revision,
            state=state,
            tasks=reports,
        )

    def _report(self, running: RunningTask) -> TaskReport:
        order = running.order
        serves = order.program.command == "serve"
        ended = running.ended or self.clock.now()
        return TaskReport(
            task=order.task,
            attempt=order.attempt,
            outcome=running.outcome,
            used=order.needs if running.outcome is Outcome.RUNNING else NOTHING,
            url=f"{self.entry.url}/task/{order.task}/{order.attempt}" if serves else "",
            reason=running.reason,
            run_s=ended - running.started,
            throttled=running.throttled,
        )

    def record(self) -> WorkerRecord:
        """Return the worker's own record of its activity."""
        return WorkerRecord(
            worker=self.entry.name,
            lines=tuple(self.lines),
            requests=tuple(self.requests),
            most_used=self.most_used,
            capacity=self.entry.capacity,
            refused_over_slots=self.refused_over_slots,
        )

    async def _serve_task(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request to a service if the lease is still valid."""
        self.expire()
        parts = scope["path"].removeprefix("/task").strip("/").split("/")
        running = self.tasks.get("/".join(parts[:2]))
        if running is None or not _serves(running, parts[2:3]):
            await ServiceStandin.refuse(send, reason="no such task", leaving=True)
            return
        await running.service.answer(scope, receive, send, self)

    def record_request(self, log: RequestLog) -> None:
        """Record that the processing of a request has begun."""
        self.requests.append(log)

    def record_refusal(self) -> None:
        """Record that a request found no free slot."""
        self.refused_over_slots += 1

    def is_leaving(self) -> bool:
        """Return whether the worker is leaving."""
        return self.faults.leaving or self.entry.state is HostState.LEAVING

    def _handlers(self) -> list[Any]:
        @post("/v1/sync")
        async def sync(request: AnyRequest) -> Response[bytes]:
            while self.faults.silent:
                await asyncio.sleep(TICK_S)
            order = codec.decode(await request.body(), SyncOrder)
            return json_response(self.apply_orders(order))

        @get("/v1/record")
        async def record() -> Response[bytes]:
            return json_response(self.record())

        @post("/v1/faults")
        async def faults(request: AnyRequest) -> Response[bytes]:
            self.faults = codec.decode(await request.body(), WorkerFaults)
            return json_response(self.faults)

        @asgi("/task", is_mount=True, copy_scope=True)
        async def task(scope: Any, receive: Any, send: Any) -> None:
            await self._serve_task(scope, receive, send)

        metrics = Metrics(role="worker", name=self.entry.name)
        metrics.add_gauge("tasks", lambda: float(len(self.tasks)))
        metrics.add_gauge("requests", lambda: float(len(self.requests)))
        return [sync, record, faults, task, *state_handlers(metrics, self.dump)]

    def dump(self) -> dict[str, Any]:
        """Return the entire state, for debugging."""
        return {
            "entry": self.entry,
            "incarnation": self.incarnation,
            "epoch": self.epoch,
            "faults": self.faults,
            "tasks": [self._report(running) for running in self.tasks.values()],
            "used": self.used(),
        }


def _serves(running: RunningTask, attempt: list[str]) -> bool:
    """Return whether an attempt is running and is the one that a request names."""
    named = attempt == [str(running.order.attempt)]
    return named and running.outcome is Outcome.RUNNING
