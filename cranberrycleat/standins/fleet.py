"""Simulated workers for stepped jobs, in memory, with fault injection and a record.

The record is the test oracle: it shows what ran where and when, whether a task ran
twice concurrently, whether a worker was given more than its capacity, and whether a
gang was complete.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.clock import Clock, MonotonicClock, WallClock
from cranberrycleat.workflow.ports import (
    ConnectionUse,
    EndedTask,
    EndKind,
    OrderReply,
    RunningTask,
    StartOrder,
    SyncReply,
    Verdict,
    WorkerEntry,
    WorkerReplaced,
    WorkerUnreachable,
)

POLL_S: Final = 0.005
DRAIN_S: Final = 2.0
"""How long after a worker's announcement tasks may still begin there: `drain_ms` of the
platform."""


@attrs.frozen(kw_only=True)
class SimulatedWork:
    """How long an attempt of a task runs and how it ends.

    Attributes:
        seconds: How long it runs.
        how: How it ends then.
        crashes_after_s: Time from its start until it crashes its worker; None: never.
    """

    seconds: float = 0.05
    how: EndKind = EndKind.DONE
    crashes_after_s: float | None = None


@attrs.define(kw_only=True, eq=False)
class Run:
    """A running attempt."""

    task: str
    attempt: int
    saved: str
    started: float
    ends_at: float
    how: EndKind
    needs: Amounts = NOTHING


@attrs.frozen(kw_only=True)
class StartRecord:
    """The record of one start."""

    at: float
    worker: str
    task: str
    attempt: int
    fence: int
    saved: str


@attrs.frozen(kw_only=True)
class WorkerEvent:
    """One event on a worker.

    Attributes:
        at: When it happened, on the fleet's clock, in seconds.
        worker: The worker's identity.
        born_ms: The start time that identifies its incarnation.
        what: What happened.
        task: The task concerned; empty: none.
        attempt: The attempt.
        detail: The verdict, lists or numbers, in human-readable form.
    """

    at: float
    worker: str
    born_ms: int
    what: str
    task: str = ""
    attempt: int = 0
    detail: str = ""


@attrs.define(kw_only=True, eq=False)
class SimulatedWorker:
    """One incarnation of a worker.

    Attributes:
        entry: Its entry as registered by itself.
        silent: It answers nothing but keeps running.
        down: It has crashed and answers nothing until its next incarnation begins.
        unanswered_starts: How many of the next starts get no answer and are carried out
            only when `carry_out` is called.
        refuse: The verdict that it gives to every start; None: its own.
        stalled: It answers, but nothing that runs there makes progress.
        fails_after_s: How long each attempt that starts there runs until it fails;
            None: attempts end as their tasks do.
        has_answered_sync: It has answered a sync, so the caller knows of it.
        starts_sent: How many starts were sent to it, whether they reached it or not.
        clock_started_at: When its own clock was at 0, on the fleet's clock.
        terminated: Its process is gone: callers still waiting for an answer get none.
        order_delay_s: How long after it arrived an order is carried out.
    """

    entry: WorkerEntry
    silent: bool = False
    down: bool = False
    replaced: bool = False
    unanswered_starts: int = 0
    refuse: Verdict | None = None
    stalled: bool = False
    fails_after_s: float | None = None
    last_advance_at: float = 0.0
    fence: int = 0
    lease_end_ms: int = 0
    runs: dict[str, Run] = attrs.field(factory=dict)
    ended: list[EndedTask] = attrs.field(factory=list)
    last_end: int = 0
    void: dict[str, int] = attrs.field(factory=dict)
    late: list[StartOrder] = attrs.field(factory=list)
    has_answered_sync: bool = False
    starts_sent: int = 0
    clock_started_at: float = 0.0
    terminated: bool = False
    order_delay_s: float = 0.0


@attrs.define(kw_only=True, eq=False)
class StandinFleet:
    """Several workers behind one `WorkerClient`.

    Attributes:
        work: Returns how each attempt of a task behaves.
        needs: Returns the resources that a task takes, to detect exceeded capacity.
        gang: Returns whether a step's tasks end together.
        workspace: Returns the workspace of a task; empty: none.
        over_quota: Returns what is wrong with a workspace's running tasks; empty:
            nothing.
        clock: The workers' clock.
        starts: Every start that was carried out.
        faults: Invariant violations that the record shows.
        late_copies: Starts of completed tasks by late copies of an order, in an
            incarnation that nobody could have synced with or fenced yet.
        worker_failures: The times at which each worker failed, by identity.
        done: Tasks that completed.
        lost: Incarnations that have ended.
        rerun_allowed: Completed tasks whose end nobody was told of before the worker's
            lease ended or the worker was lost: they may run once more.
        forbids_reruns: Whether a completed task must not start again; a service's may.
        restart_delay_s: How long a worker that a task crashed does not answer.
        keeps_identity: Whether a worker that a task crashed restarts under the same
            identity; otherwise it gets a new one.
        longest_lease_s: Longer leases are shortened to this.
        on_restart: Called with the entry of the incarnation that begins after a crash,
            and the identity of the previous one.
        reports_progress: Whether lists contain the progress of each task; otherwise
            each is reported as fully at work, as a service is.
        on_event: Called with each order, list, task end, start or end of an
            incarnation, and fault.
        leaving_since: When the platform accepted the first announcement that a worker
            leaves, by incarnation. It is final.
        drain_s: How long after that a task may still begin there.
        is_out_of_touch: Returns whether the host that sent an order was paused, or the
            like, so that no time bound holds for it.
    """

    work: Callable[[str, int], SimulatedWork] = lambda task, attempt: SimulatedWork()
    needs: Callable[[str], Amounts] = lambda task: NOTHING
    gang: Callable[[str], bool] = lambda step: False
    workspace: Callable[[str], str] = lambda task: ""
    over_quota: Callable[[str, list[Amounts]], str] = lambda workspace, running: ""
    clock: Clock = attrs.field(factory=MonotonicClock)
    workers: dict[str, SimulatedWorker] = attrs.field(factory=dict)
    lost: dict[str, SimulatedWorker] = attrs.field(factory=dict)
    starts: list[StartRecord] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)
    late_copies: list[str] = attrs.field(factory=list)
    worker_failures: dict[str, list[float]] = attrs.field(factory=dict)
    done: set[str] = attrs.field(factory=set)
    rerun_allowed: set[str] = attrs.field(factory=set)
    forbids_reruns: bool = True
    restart_delay_s: float = 0.1
    keeps_identity: bool = False
    longest_lease_s: float = 10.0
    on_restart: Callable[[WorkerEntry, str], None] = lambda entry, before: None
    reports_progress: bool = False
    on_event: Callable[[WorkerEvent], None] = lambda record: None
    leaving_since: dict[str, float] = attrs.field(factory=dict)
    drain_s: float = DRAIN_S
    is_out_of_touch: Callable[[StartOrder], bool] = lambda order: False

    def record_leaving(self, entry: WorkerEntry) -> None:
        """Record that the platform accepted an announcement that a worker leaves."""
        self.leaving_since.setdefault(entry.incarnation, self.clock.now())

    def _record_event(
        self,
        worker: SimulatedWorker,
        what: str,
        task: str = "",
        attempt: int = 0,
        detail: str = "",
    ) -> None:
        record = WorkerEvent(
            at=self.clock.now(),
            worker=worker.entry.worker,
            born_ms=worker.entry.born_ms,
            what=what,
            task=task,
            attempt=attempt,
            detail=detail,
        )
        self.on_event(record)

    def _add_fault(
        self, worker: SimulatedWorker, order: StartOrder, fault: str
    ) -> None:
        self.faults.append(fault)
        self._record_event(worker, "fault", order.task, order.attempt, fault)

    def add(self, entry: WorkerEntry) -> SimulatedWorker:
        """Add a worker."""
        worker = self.workers[entry.worker] = SimulatedWorker(entry=entry)
        self._record_event(worker, "incarnation begins")
        return worker

    def now_ms(self, worker: SimulatedWorker) -> int:
        """Return a worker's clock in milliseconds."""
        return round((self.clock.now() - worker.clock_started_at) * 1000)

    # --- the interface ------------------------------------------------------------

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Carry out a start, or lose it and wait for the time limit."""
        if entry.worker in self.workers:
            self.workers[entry.worker].starts_sent += 1
        worker = self._reachable(entry)
        if worker.unanswered_starts > 0:
            worker.unanswered_starts -= 1
            worker.late.append(order)
            self._record_event(worker, "start withheld", order.task, order.attempt)
            await asyncio.sleep(limit_s)
            raise WorkerUnreachable("the order's answer was lost")
        return self.carry_out(worker, order, late=False)

    def carry_out(
        self, worker: SimulatedWorker, order: StartOrder, *, late: bool = True
    ) -> OrderReply:
        """Carry out a start order as a worker does.

        Args:
            worker: The worker.
            order: The order.
            late: Whether it arrived long ago; no time bound holds for it then.
        """
        now = self.now_ms(worker)
        verdict = self._verdict(worker, order, now)
        detail = f"{verdict.value}, fence {order.fence}"
        self._record_event(worker, "start", order.task, order.attempt, detail)
        if verdict is Verdict.ACCEPTED and order.task not in worker.runs:
            if not late:
                self._check_leaving(worker, order)
            self._begin(worker, order)
        if verdict is not Verdict.STALE_EPOCH:
            self._renew(worker, order.lease_end_ms)
        return OrderReply(verdict=verdict, worker_time_ms=now)

    def _renew(self, worker: SimulatedWorker, lease_end_ms: int) -> None:
        longest = self.now_ms(worker) + round(self.longest_lease_s * 1000)
        worker.lease_end_ms = max(worker.lease_end_ms, min(lease_end_ms, longest))

    def _verdict(self, worker: SimulatedWorker, order: StartOrder, now: int) -> Verdict:
        if order.fence < worker.fence:
            return Verdict.STALE_EPOCH
        worker.fence = order.fence
        if order.attempt <= worker.void.get(order.task, 0):
            return Verdict.STALE_ATTEMPT
        if order.lease_end_ms <= now:
            return Verdict.TOO_LATE
        return worker.refuse or Verdict.ACCEPTED

    def _begin(self, worker: SimulatedWorker, order: StartOrder) -> None:
        now = self.clock.now()
        work = self.work(order.task, order.attempt)
        if worker.fails_after_s is not None:
            work = SimulatedWork(seconds=worker.fails_after_s, how=EndKind.FAILED)
        run = Run(
            task=order.task,
            attempt=order.attempt,
            saved=order.saved,
            started=now,
            ends_at=now + work.seconds,
            how=work.how,
            needs=self.needs(order.task),
        )
        for other in self.workers.values():
            self._advance(other)
            if order.task in other.runs:
                self._add_fault(worker, order, f"{order.task} runs twice")
        if order.task in self.done - self.rerun_allowed:
            fault = f"{order.task} starts after it was done"
            if worker.has_answered_sync:
                self._add_fault(worker, order, fault)
            else:
                self.late_copies.append(fault)
                self._record_event(
                    worker, "late copy", order.task, order.attempt, fault
                )
        worker.runs[order.task] = run
        self.starts.append(
            StartRecord(
                at=now,
                worker=worker.entry.worker,
                task=order.task,
                attempt=order.attempt,
                fence=order.fence,
                saved=order.saved,
            )
        )
        if work.crashes_after_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(work.crashes_after_s, self.crash_and_restart, worker)
        self._check_quota(worker, order)
        used = NOTHING
        for each in worker.runs.values():
            used = used.plus(each.needs)
        if not used.fits_in(worker.entry.capacity):
            fault = f"{worker.entry.worker} is over its capacity"
            self._add_fault(worker, order, fault)

    def _check_leaving(self, worker: SimulatedWorker, order: StartOrder) -> None:
        """Check that the worker has not announced for long that it leaves."""
        since = self.leaving_since.get(worker.entry.incarnation)
        if since is None or self.is_out_of_touch(order):
            return
        after_s = self.clock.now() - worker.order_delay_s - since
        if after_s > self.drain_s:
            fault = (
                f"{order.task}#{order.attempt} begins on {worker.entry.incarnation} "
                f"{after_s:.3f} s after it announced that it leaves"
            )
            self._add_fault(worker, order, fault)

    def _check_quota(self, at: SimulatedWorker, order: StartOrder) -> None:
        workspace = self.workspace(order.task)
        if not workspace:
            return
        running = [
            run.needs
            for worker in self.workers.values()
            for run in worker.runs.values()
            if self.workspace(run.task) == workspace
        ]
        fault = self.over_quota(workspace, running)
        if fault:
            self._add_fault(at, order, fault)

    async def stop(
        self, entry: WorkerEntry, task: str, attempt: int, fence: int
    ) -> OrderReply:
        """Stop an attempt, or void one whose start has not arrived yet."""
        worker = self._reachable(entry)
        if fence < worker.fence:
            return OrderReply(
                verdict=Verdict.STALE_EPOCH, worker_time_ms=self.now_ms(worker)
            )
        worker.fence = fence
        self._record_event(worker, "stop", task, attempt, f"fence {fence}")
        worker.void[task] = max(worker.void.get(task, 0), attempt)
        run = worker.runs.get(task)
        if run is not None and run.attempt <= attempt:
            self._end(worker, run, EndKind.STOPPED)
        return OrderReply(verdict=Verdict.ACCEPTED, worker_time_ms=self.now_ms(worker))

    async def throttle(
        self, entry: WorkerEntry, task: str, attempt: int, percent: int, fence: int
    ) -> OrderReply:
        """Accept the order without effect: these tasks disturb nobody."""
        worker = self._reachable(entry)
        return OrderReply(verdict=Verdict.ACCEPTED, worker_time_ms=self.now_ms(worker))

    async def sync(
        self,
        entry: WorkerEntry,
        *,
        fence: int,
        ended_upto: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> SyncReply | OrderReply:
        """Renew the lease and return both lists, waiting for a task end."""
        worker = self._reachable(entry)
        if fence < worker.fence:
            return OrderReply(
                verdict=Verdict.STALE_EPOCH, worker_time_ms=self.now_ms(worker)
            )
        worker.fence = fence
        worker.has_answered_sync = True
        if worker.entry.born_ms == entry.born_ms:
            worker.ended = [end for end in worker.ended if end.number > ended_upto]
        if lease_end_ms is not None:
            self._renew(worker, lease_end_ms)
        until = self.now_ms(worker) + wait_ms
        self._advance(worker)
        while not worker.ended and self.now_ms(worker) < until:
            await asyncio.sleep(POLL_S)
            self._reachable(entry)
            if worker.terminated:
                raise WorkerUnreachable("the connection was reset")
            self._advance(worker)
        running = tuple(
            RunningTask(
                task=run.task,
                attempt=run.attempt,
                saved=run.saved,
                percent=self._percent(run),
            )
            for run in worker.runs.values()
        )
        lists = f"running {_attempt_keys(running)}, ended {_attempt_keys(worker.ended)}"
        asked = f"fence {fence}, acknowledged {ended_upto}"
        self._record_event(worker, "list", detail=f"{asked}: {lists}")
        return SyncReply(
            worker_time_ms=self.now_ms(worker),
            running=running,
            ended=tuple(worker.ended),
            born_ms=worker.entry.born_ms,
        )

    def connections(self, entry: WorkerEntry) -> ConnectionUse:
        """Return zeros: calls need no connections."""
        return ConnectionUse()

    async def release_orders(self, entry: WorkerEntry) -> None:
        """Do nothing: no connection is kept open."""

    async def release(self, entry: WorkerEntry) -> None:
        """Do nothing, as `release_orders` does."""

    async def close(self) -> None:
        """Do nothing, as `release_orders` does."""

    def replace_worker(self, name: str, entry: WorkerEntry) -> None:
        """End a worker's incarnation and all that runs there; add another worker."""
        lost = self._end_incarnation(name)
        lost.replaced = True
        # Orders in flight to an incarnation that has ended are never carried out.
        lost.late.clear()
        self.lost[name] = lost
        self.add(entry)

    def restart(self, name: str) -> SimulatedWorker:
        """End a worker's incarnation and begin the next under the same identity.

        The new incarnation runs and knows nothing, and starts counting anew. Orders in
        flight reach it.
        """
        before = self._end_incarnation(name)
        born_ms = max(before.entry.born_ms + 1, round(WallClock().now_s() * 1000))
        after = self.add(attrs.evolve(before.entry, born_ms=born_ms, leaving=False))
        after.clock_started_at = self.clock.now()
        after.late = before.late
        after.silent = before.silent
        return after

    def _end_incarnation(self, name: str) -> SimulatedWorker:
        lost = self.workers.pop(name)
        self._record_event(lost, "incarnation ends")
        if not lost.down:
            self._record_worker_failure(name)
        lost.down = False
        self._advance(lost)
        self._allow_reruns(lost)
        lost.terminated = True
        lost.runs.clear()
        return lost

    def _record_worker_failure(self, name: str) -> None:
        self.worker_failures.setdefault(name, []).append(self.clock.now())

    def crash_and_restart(self, worker: SimulatedWorker) -> None:
        """Crash a worker; after a while another incarnation begins at its address."""
        name = worker.entry.worker
        if self.workers.get(name) is not worker or worker.down:
            return
        self._advance(worker)
        self._record_event(worker, "crashes")
        self._record_worker_failure(name)
        worker.down = True
        worker.runs.clear()
        asyncio.get_running_loop().call_later(
            self.restart_delay_s, self._restart_after_crash, worker
        )

    def _restart_after_crash(self, worker: SimulatedWorker) -> None:
        name = worker.entry.worker
        if self.workers.get(name) is not worker:
            return
        if self.keeps_identity:
            self.on_restart(self.restart(name).entry, name)
            return
        base, _, restarts = name.partition("+")
        identity = f"{base}+{int(restarts or 0) + 1}"
        entry = attrs.evolve(worker.entry, worker=identity, leaving=False)
        self.replace_worker(name, entry)
        self.on_restart(entry, name)

    # --- progress of attempts ---------------------------------------------------------

    def advance_all(self) -> None:
        """Let every attempt end that is due."""
        for worker in self.workers.values():
            self._advance(worker)

    def _advance(self, worker: SimulatedWorker) -> None:
        now = self.clock.now()
        if worker.stalled:
            for run in worker.runs.values():
                run.started += now - worker.last_advance_at
                run.ends_at += now - worker.last_advance_at
        worker.last_advance_at = now
        lapsed = self.now_ms(worker) > worker.lease_end_ms
        for run in list(worker.runs.values()):
            if worker.runs.get(run.task) is not run:
                # It ended together with another member of its gang.
                continue
            ends_at_ms = (run.ends_at - worker.clock_started_at) * 1000
            if run.ends_at <= now and ends_at_ms <= worker.lease_end_ms:
                self._end(worker, run, run.how)
            elif lapsed:
                self._end(worker, run, EndKind.LAPSED)
        if lapsed:
            self._allow_reruns(worker)

    def _allow_reruns(self, worker: SimulatedWorker) -> None:
        for end in worker.ended:
            if end.how is EndKind.DONE:
                self.rerun_allowed.add(end.task)

    def _percent(self, run: Run) -> int:
        """Return the progress of a run."""
        if not self.reports_progress:
            return 100
        share = (self.clock.now() - run.started) / (run.ends_at - run.started)
        return min(99, int(100 * share))

    def _end(self, worker: SimulatedWorker, run: Run, how: EndKind) -> None:
        self._end_one(worker, run, how)
        step = run.task.rpartition(".")[0]
        if not self.gang(step):
            return
        rest = EndKind.DONE if how is EndKind.DONE else EndKind.MEMBER_ENDED
        for other in self.workers.values():
            for each in list(other.runs.values()):
                member = each.task.rpartition(".")[0] == step
                if member and each.attempt == run.attempt:
                    self._end_one(other, each, rest)

    def _end_one(self, worker: SimulatedWorker, run: Run, how: EndKind) -> None:
        del worker.runs[run.task]
        worker.void[run.task] = max(worker.void.get(run.task, 0), run.attempt)
        worker.last_end += 1
        detail = f"{how.value}, number {worker.last_end}"
        self._record_event(worker, "end", run.task, run.attempt, detail)
        if how is EndKind.DONE and self.forbids_reruns:
            self.done.add(run.task)
        worker.ended.append(
            EndedTask(
                number=worker.last_end,
                task=run.task,
                attempt=run.attempt,
                how=how,
                saved=f"saved-{run.task}-{run.attempt}",
            )
        )

    def _reachable(self, entry: WorkerEntry) -> SimulatedWorker:
        worker = self.lost.get(entry.worker) or self.workers[entry.worker]
        if worker.silent or worker.down:
            raise WorkerUnreachable("no answer")
        if worker.replaced:
            raise WorkerReplaced(entry.worker)
        return worker


def _attempt_keys(listed: Iterable[RunningTask | EndedTask]) -> str:
    return " ".join(f"{each.task}#{each.attempt}" for each in listed) or "nothing"
