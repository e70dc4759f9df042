"""Links to workers, which renew leases, read task lists and send orders.

Each worker has one link, which runs as an asyncio task. A link never decides what is to
run. It sends the orders that follow from the cluster state and records what the worker
reports. Before each order it checks the owner's authority. An order without an answer
is sent again, and counts as possibly carried out until the worker's report or the end
of the lease settles it.

A start is sent only while the entry of its worker was read so recently that the order,
which is given up after its time limit, begins nothing long after the worker may have
announced that it leaves. Until then it waits: neither an answer of the worker nor the
owner's lease, which writes renew, shows how old the list of workers is.

A worker may answer syncs and no orders, for example because it holds as many
connections as it can. Copies of a start are therefore sent for a limited time, with
growing pauses. Then a higher fence makes them void, and the answer to the next sync,
which carries that fence, shows whether one was carried out.

Where a later incarnation could carry out a call that had no answer (see
`late_starts`), all later orders have a higher fence. An incarnation that has received
any of them refuses the late one. An order that was overtaken by a higher fence of the
same owner had no effect and is sent again.
"""

import asyncio
import logging
import math
from typing import Final, Protocol

import attrs

from cranberrycleat import events
from cranberrycleat.backoff import Backoff
from cranberrycleat.clock import Clock
from cranberrycleat.lifecycle import BackgroundTasks
from cranberrycleat.logs import emit, part_logger
from cranberrycleat.workflow import incarnations
from cranberrycleat.workflow.answer_timeout import AnswerTimeout
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions import progress
from cranberrycleat.workflow.decisions.evacuation import placements_to_stop
from cranberrycleat.workflow.decisions.filler_throttling import (
    ThrottleOrder,
    fills,
    pressure,
    serves,
    throttle_orders,
)
from cranberrycleat.workflow.fleet import FleetWorker, Liveness, LossCause, Placement
from cranberrycleat.workflow.order_slots import OrderSlots
from cranberrycleat.workflow.ports import (
    LeaseBounds,
    OrderReply,
    StartOrder,
    SyncReply,
    Verdict,
    WorkerClient,
    WorkerReplaced,
    WorkerUnreachable,
    may_be_same_incarnation,
)

LOG: Final[logging.Logger] = part_logger("link")
SYNC_WAIT_LEASE_SHARE: Final = 0.25
"""How long a worker holds a sync open while no task ends there, as a share of the
lease; each sync is charged as a status check."""
SERVING_SYNC_WAIT_MS: Final = 500
"""The same limit where serving tasks run beside fillers: load readings of serving tasks
cover half a second."""
SYNC_PAUSE_S: Final = 0.03
"""The pause between two syncs, so that task ends that come close together share one."""
SILENT_RETRY_S: Final = 0.25
SILENT_RETRY_MAX_S: Final = 0.5
ORDER_RETRY_S: Final = 0.05
ORDER_RETRY_MAX_S: Final = 0.4
START_COPIES_S: Final = 1.0
"""How long copies of an unanswered start are sent. A worker that leaves half of its
orders unanswered has answered one of them by then."""
MAX_START_COPIES: Final = 12
"""How many are sent in all to a worker that is silent again and again: the time begins
anew whenever it answers."""
MISSED_ORDERS_SYNC_WAIT_MS: Final = 250
"""The time limit for syncs while the worker leaves orders unanswered: the next sync
settles their starts."""
STOP_RESEND_S: Final = 0.7
STOP_RESEND_MAX_S: Final = 1.4
"""With jitter below `fleet.MISSED_ORDER_PAUSE_S`: a worker that leaves stops unanswered
gets no new work between them."""
THROTTLE_RESEND_S: Final = 0.7
"""The pause after an unanswered throttle; what it would say changes with each sync."""
UNHEALTHY_QUARANTINE_S: Final = 1.0
"""How long a worker that refuses a start as unhealthy is given no work."""
STORE_WAIT_S: Final = 1.0
KEPT_ENDS_SYNC_PAUSE_S: Final = 0.1
"""The pause between two syncs with a worker whose task ends may not be acknowledged
yet: it answers each of them at once, and each is charged as a status check."""
FENCES_PER_EPOCH: Final = 1_000_000
"""Number of fences reserved for each owner epoch; more than the worker restarts that
one owner detects."""
MAX_OUTDATED_FENCE: Final = FENCES_PER_EPOCH // 2
"""Unanswered calls raise the fence no further, so that restarts still can."""


@attrs.define(kw_only=True)
class _Sending:
    """The copies of one start that were sent.

    Attributes:
        order: The newest copy; None before the first.
        first_sent_at: When the first was sent, on the owner's clock.
        unanswered: How many copies were not answered.
        counted_from: From when `START_COPIES_S` is counted.
        waits_since: Since when the first copy waits for an answer to another order.
        backoff: The pauses between copies.
        entry_version: The version of the worker's entry when the newest was sent.
        entry_read_at: When that entry was read, on the owner's clock.
        sent_at: When the newest was sent.
    """

    order: StartOrder | None = None
    first_sent_at: float = 0.0
    unanswered: int = 0
    counted_from: float = 0.0
    waits_since: float | None = None
    backoff: Backoff = attrs.field(
        factory=lambda: Backoff(first_s=ORDER_RETRY_S, max_s=ORDER_RETRY_MAX_S)
    )
    entry_version: int = 0
    entry_read_at: float = float("-inf")
    sent_at: float = 0.0

    def note_sent(self, worker: FleetWorker, now: float) -> None:
        """Record when a copy is sent, and on which entry of its worker it relies."""
        self.sent_at = now
        self.entry_version = worker.entry_version
        self.entry_read_at = worker.entry_read_at

    def entry_age_s(self) -> float:
        """Return how old that entry was when the newest copy was sent, or -1."""
        age_s = self.sent_at - self.entry_read_at
        return round(age_s, 4) if math.isfinite(age_s) else -1.0

    def may_wait(self, now: float) -> bool:
        """Return whether the first copy may wait for an answer to another order."""
        if self.waits_since is None:
            self.waits_since = now
        return now - self.waits_since <= START_COPIES_S

    def count_again_from(self, now: float) -> None:
        """Begin to count anew: no answer could be expected until now."""
        self.counted_from = now
        self.backoff.reset()

    def is_exhausted(self, now: float) -> bool:
        """Return whether no further copy is sent."""
        in_time = now - self.counted_from <= START_COPIES_S
        return not in_time or self.unanswered >= MAX_START_COPIES


class OrderAuthority(Protocol):
    """What a link needs from its owner."""

    @property
    def epoch(self) -> int:
        """The owner's epoch."""

    def may_order(self) -> bool:
        """Return whether orders may be sent right now."""

    def may_renew(self) -> bool:
        """Return whether leases of running tasks may be renewed."""

    def fenced(self) -> None:
        """Called when a worker has seen a later owner."""

    def changed(self) -> None:
        """Called when the cluster state has changed, to store it and plan again."""

    async def batch_stored(self, limit_s: float) -> None:
        """Wait until a batch has been stored, at most for the given time."""

    def worker_restarted(self, worker: FleetWorker, born_ms: int) -> None:
        """Called when another incarnation answers under a worker's identity."""


@attrs.define(kw_only=True, eq=False)
class WorkerLink:
    """The link to one incarnation of a worker.

    Attributes:
        worker: The worker, as the cluster state has it.
        cluster_state: The owner's in-memory state.
        client: Calls workers.
        owner: The owner whose orders it sends.
        clock: The owner's clock.
        bounds: The limits that workers guarantee for leases.
        lease_s: The length of the leases it grants.
        answer_timeout: The time limit for answers to starts; shared by the owner's
            links.
        closed: Set when the worker's incarnation is proved to be over.
        orders: The stops and throttles under way.
        slots: Limits the orders under way, including starts.
    """

    worker: FleetWorker
    cluster_state: ClusterState
    client: WorkerClient
    owner: OrderAuthority
    clock: Clock
    bounds: LeaseBounds
    lease_s: float
    answer_timeout: AnswerTimeout = attrs.field(factory=AnswerTimeout)
    closed: bool = False
    orders: BackgroundTasks = attrs.field(factory=BackgroundTasks)
    slots: OrderSlots = attrs.field(factory=OrderSlots)
    _stops: set[tuple[str, int]] = attrs.field(factory=set)
    _throttles: set[tuple[str, int]] = attrs.field(factory=set)
    _copied: set[Placement] = attrs.field(factory=set)
    _unanswered_since: float | None = None
    _unanswered: int = 0
    _silent_retry: Backoff = attrs.field(
        factory=lambda: Backoff(first_s=SILENT_RETRY_S, max_s=SILENT_RETRY_MAX_S)
    )

    async def run(self) -> None:
        """Sync until the incarnation is over or the link is cancelled."""
        try:
            while not self.closed:
                await self._sync_round()
        finally:
            await self.orders.cancel()
            self._stops.clear()
            self._throttles.clear()
            await self.client.release(self.worker.entry)

    @property
    def fence(self) -> int:
        """The fence of orders: it rises with each owner and each restart of a worker.

        It also rises with each unanswered start that a later incarnation could carry
        out. A late order is refused by an incarnation that has received a higher fence.
        """
        return self.owner.epoch * FENCES_PER_EPOCH + self.worker.generation

    async def _sync_round(self) -> None:
        try:
            await self._sync()
        except WorkerReplaced:
            self._mark_replaced()
        except WorkerUnreachable as exc:
            if self.worker.liveness is Liveness.SILENT:
                # A worker at its limit of connections resets the one for syncs, too.
                await self.client.release_orders(self.worker.entry)
            self._mark_silent(str(exc))
            await asyncio.sleep(self._silent_retry.next_s())
        else:
            if self.closed:
                return
            self._silent_retry.reset()
            self._evacuate()
            self._drain_stalled_worker()
            self._order_throttles()
            self._order_stops()
            await asyncio.sleep(SYNC_PAUSE_S)
            if self.worker.heard_upto > self.worker.ended_upto:
                await self.owner.batch_stored(STORE_WAIT_S)
                if self._keeps_ends():
                    await asyncio.sleep(KEPT_ENDS_SYNC_PAUSE_S)

    def _keeps_ends(self) -> bool:
        """Return whether the oldest task end there must not be acknowledged yet."""
        ends = self.worker.unstored_ends
        return bool(ends) and self.cluster_state.keeps_end(self.worker, ends[0][1])

    async def _sync(self) -> None:
        worker = self.worker
        first = worker.liveness is not Liveness.LIVE
        sent_at = self.clock.now()
        lease_end = None
        # A silent worker is offered no lease: each lease offered would have to be
        # waited out, and its tasks could never be given up.
        if not first and self.owner.may_renew():
            lease_end = worker.grant(self.lease_s, sent_at, self.bounds.clock_error)
        fence = self.fence
        reply = await self.client.sync(
            worker.entry,
            fence=fence,
            ended_upto=worker.ended_upto,
            lease_end_ms=lease_end,
            wait_ms=0 if first else self._wait_ms(),
        )
        if self.closed:
            # A later incarnation was found in the meantime and has a link of its own.
            return
        match reply:
            case SyncReply() if not self._is_same_incarnation(reply):
                self.owner.worker_restarted(worker, reply.born_ms)
            case SyncReply():
                self._apply_sync_reply(reply, sent_at, fence)
            case OrderReply(verdict=Verdict.STALE_EPOCH):
                if self._is_fenced(fence):
                    await asyncio.sleep(SILENT_RETRY_S)
            case OrderReply(verdict=verdict):
                raise WorkerUnreachable(f"{worker.name}: sync refused: {verdict.value}")

    def _is_fenced(self, fence: int) -> bool:
        """Handle an order refused as stale; return whether by a later owner's fence.

        Args:
            fence: The fence that the order carried.
        """
        if fence < self.fence:
            return False
        self.owner.fenced()
        return True

    def _is_same_incarnation(self, reply: SyncReply) -> bool:
        return may_be_same_incarnation(reply.born_ms, self.worker.entry.born_ms)

    def _wait_ms(self) -> int:
        """Return how long a sync may stay open; load readings are wanted more often."""
        if self._awaits_settlement():
            return MISSED_ORDERS_SYNC_WAIT_MS
        placements = self.worker.placements.values()
        if any(map(serves, placements)) and any(map(fills, placements)):
            return SERVING_SYNC_WAIT_MS
        return round(self.lease_s * SYNC_WAIT_LEASE_SHARE * 1000)

    def _awaits_settlement(self) -> bool:
        """Return whether a list may soon have to settle an unanswered start."""
        if self._copied or self.worker.leaves_orders_unanswered(self.clock.now()):
            return True
        placements = self.worker.placements.values()
        return any(p.fenced_by is not None and not p.running for p in placements)

    def _apply_sync_reply(self, reply: SyncReply, sent_at: float, fence: int) -> None:
        worker = self.worker
        now = self.clock.now()
        incarnations.reconcile(
            self.cluster_state, worker, reply, now + self.bounds.max_run_on_s()
        )
        fresh = self.cluster_state.sync(
            worker, reply, sent_at=sent_at, now=now, fence=fence
        )
        if worker.liveness is not Liveness.LIVE:
            emit(events.WorkerAnswers(worker=worker.name))
            worker.record_answered_order()
            self._unanswered_since = None
            self.cluster_state.losses.clear(worker)
            worker.liveness = Liveness.LIVE
            self.owner.changed()
        if fresh:
            self.owner.changed()

    def _mark_silent(self, reason: str) -> None:
        if self.worker.liveness is Liveness.LIVE:
            self.cluster_state.fleet.record_worker_failure(
                self.worker, self.clock.now()
            )
            emit(
                events.WorkerSilent(
                    worker=self.worker.name,
                    tasks=len(self.worker.placements),
                    reason=reason,
                )
            )
            self.worker.liveness = Liveness.SILENT
            self.cluster_state.losses.worker_fell_silent(self.worker)
            if self.worker.entry.born_ms:
                # The sync may be carried out late; it acknowledges ends by numbers that
                # the next incarnation uses again.
                self._outdate_orders(self.fence)

    def _mark_replaced(self) -> None:
        """Handle a reply of another incarnation: nothing of this one still runs."""
        emit(
            events.WorkerIsReplaced(
                worker=self.worker.name, tasks=len(self.worker.placements)
            )
        )
        if self.worker.liveness is Liveness.LIVE:
            self.cluster_state.fleet.record_worker_failure(
                self.worker, self.clock.now()
            )
        self.closed = True
        self.worker.liveness = Liveness.GONE
        self.cluster_state.worker_was_replaced(self.worker)
        if self.cluster_state.give_up_all(self.worker, LossCause.REPLACED):
            self.owner.changed()

    # --- starts ---------------------------------------------------------------

    async def start(self, placement: Placement) -> None:
        """Send a start order until its outcome is settled, or left to the next sync."""
        sending = _Sending()
        pause_s: float | None = 0.0
        try:
            while pause_s is not None and self._wants_start(placement):
                await asyncio.sleep(pause_s)
                async with self.slots.slot():
                    pause_s = await self._send_next_start(placement, sending)
        finally:
            self._copied.discard(placement)
        if self._is_counted(placement) and not placement.ordered:
            self.cluster_state.give_up(self.worker, placement, "never ordered")
            self.owner.changed()
        elif self._is_counted(placement) and not self.closed:
            self._order_stops()

    def _wants_start(self, placement: Placement) -> bool:
        return (
            self._is_counted(placement) and not placement.stopping and not self.closed
        )

    async def _send_next_start(
        self, placement: Placement, sending: _Sending
    ) -> float | None:
        """Send a start if it is due; return the pause before the next, None if none."""
        if not self._wants_start(placement):
            return None
        if sending.order is None and not self._may_start(placement):
            return None
        if sending.unanswered and placement.running:
            self._emit_started(placement, sending, sending.unanswered)
            return None
        reason = self._void_reason(placement)
        if reason:
            # An unanswered order must no longer start anything there.
            placement.stop(reason)
            return None
        now = self.clock.now()
        if sending.order is None and self.worker.takes_no_orders(now):
            # Giving up a member stops its whole gang, which one answer may yet spare.
            return ORDER_RETRY_S if sending.may_wait(now) else None
        if not self._is_live():
            sending.count_again_from(now)
            return ORDER_RETRY_S
        if not self.owner.may_order() or not placement.stored:
            return ORDER_RETRY_S
        limit_s = self.answer_timeout.limit_s()
        if not self.worker.is_entry_recent(now + limit_s):
            return ORDER_RETRY_S
        if sending.order is None or not sending.unanswered:
            sending.order, sending.first_sent_at = self._start_order(placement), now
            sending.count_again_from(now)
        elif sending.is_exhausted(now):
            self._fence_off(placement, sending)
            return None
        sending.order = attrs.evolve(sending.order, fence=self.fence)
        sending.note_sent(self.worker, now)
        return await self._send_start_copy(placement, sending, sending.order, limit_s)

    async def _send_start_copy(
        self,
        placement: Placement,
        sending: _Sending,
        order: StartOrder,
        limit_s: float,
    ) -> float | None:
        earlier_until = self.cluster_state.start_sent(self.worker, placement, limit_s)
        try:
            placement.ordered = True
            reply = await self._send_start(order, limit_s)
        except WorkerReplaced:
            self._mark_replaced()
            return None
        except WorkerUnreachable as exc:
            self._note_unanswered(placement, order, exc, earlier_until)
            if self.closed:
                return None
            if not sending.unanswered:
                emit(
                    events.TaskUnanswered(
                        task=placement.task,
                        attempt=placement.attempt,
                        worker=self.worker.name,
                        reason=str(exc),
                    )
                )
            sending.unanswered += 1
            self._copied.add(placement)
            self._record_missed_order(str(exc))
            return sending.backoff.next_s()
        self.cluster_state.start_settled(self.worker, placement, earlier_until)
        if self.closed:
            return None
        self._record_answered_order()
        if reply.verdict is Verdict.STALE_EPOCH:
            return ORDER_RETRY_S if self._is_fenced(order.fence) else 0.0
        if self._apply_start_reply(placement, reply, sending):
            return None
        return ORDER_RETRY_S

    def _fence_off(self, placement: Placement, sending: _Sending) -> None:
        """Make an unanswered start void; the next sync shows whether it had begun."""
        worker, now = self.worker, self.clock.now()
        if not self._void_start(placement):
            placement.stop("its start was not answered")
            return
        emit(
            events.TaskStartFenced(
                task=placement.task,
                attempt=placement.attempt,
                worker=worker.name,
                sent=sending.unanswered,
                after_s=round(now - sending.first_sent_at, 3),
            )
        )
        worker.record_unanswered_start(now)

    def _void_start(self, placement: Placement) -> bool:
        """Raise the fence above that of each start sent for an attempt, if possible."""
        sent_with = self.fence
        self._outdate_orders(sent_with)
        if self.fence == sent_with:
            return False
        placement.fenced_by = self.fence
        return True

    def _note_unanswered(
        self,
        placement: Placement,
        order: StartOrder,
        exc: WorkerUnreachable,
        earlier_until: float,
    ) -> None:
        """Handle a start without an answer, which may be carried out later if sent."""
        if not exc.sent:
            self.cluster_state.start_settled(self.worker, placement, earlier_until)
            return
        if placement.may_start_late:
            self.cluster_state.start_unanswered(self.worker, placement)
            self._outdate_orders(order.fence)
            self.owner.changed()

    def _record_missed_order(self, reason: str) -> None:
        """Give the worker no new work after an order without an answer."""
        now = self.clock.now()
        self.worker.record_missed_order(now)
        if self._unanswered_since is not None:
            self._unanswered += 1
            return
        self._unanswered_since, self._unanswered = now, 1
        use = self.client.connections(self.worker.entry)
        emit(
            events.WorkerOrdersUnanswered(
                worker=self.worker.name,
                reason=reason,
                opened=use.opened,
                broken=use.broken,
            )
        )

    def _record_answered_order(self) -> None:
        """Let the worker receive work again after an order with an answer."""
        self.worker.record_answered_order()
        if self._unanswered_since is None:
            return
        emit(
            events.WorkerOrdersAnswered(
                worker=self.worker.name,
                missed=self._unanswered,
                after_s=round(self.clock.now() - self._unanswered_since, 3),
            )
        )
        self._unanswered_since = None

    def _outdate_orders(self, fence: int) -> None:
        """Have later orders carry a higher fence than an unanswered one."""
        fleet = self.cluster_state.fleet
        if fence == self.fence and fleet.generation < MAX_OUTDATED_FENCE:
            fleet.outdate_orders(self.worker)

    def _may_start(self, placement: Placement) -> bool:
        may_start = self.worker.may_start(self.clock.now())
        return may_start and not self.cluster_state.is_over_quota(placement)

    def _void_reason(self, placement: Placement) -> str:
        """Return why an unanswered order must not start its task; empty if it may."""
        if self.worker.entry.leaving or self.worker.is_overcommitted():
            return "worker leaves, or has shrunk, before it began"
        if not self.worker.listed:
            return "worker is no longer listed"
        if self.cluster_state.is_over_quota(placement):
            return "its workspace's quota fell before it began"
        return ""

    def _is_live(self) -> bool:
        """Return whether the worker has not become silent; it may have restarted."""
        return self.worker.liveness is Liveness.LIVE

    async def _send_start(self, order: StartOrder, limit_s: float) -> OrderReply:
        """Send a start and wait for its answer for as long as recent answers took.

        A worker that leaves an order unanswered usually answers the copy; the sooner
        that is sent, the more is left of the 0.6 s that a short job has.
        """
        began = self.clock.now()
        least_ms = self.worker.least_clock_ms(began, self.bounds.clock_error)
        try:
            reply = await self.client.start(self.worker.entry, order, limit_s=limit_s)
        except WorkerUnreachable:
            self.answer_timeout.missed()
            raise
        now = self.clock.now()
        self.answer_timeout.answered(now - began)
        if reply.worker_time_ms is not None and reply.worker_time_ms < least_ms:
            # The next incarnation answered: the lease was counted on another clock. No
            # margin is needed, since an answer is given after its order was sent, even
            # if it is overtaken by later ones.
            self.worker.extend_leases_until(now + self.bounds.max_run_on_s())
        return reply

    def _start_order(self, placement: Placement) -> StartOrder:
        now = self.clock.now()
        error = self.bounds.clock_error
        return StartOrder(
            task=placement.task,
            attempt=placement.attempt,
            program=placement.program,
            lease_end_ms=self.worker.grant(self.lease_s, now, error),
            fence=self.fence,
            saved=placement.saved,
            permit=placement.permit,
        )

    def _apply_start_reply(
        self, placement: Placement, reply: OrderReply, sending: _Sending
    ) -> bool:
        unanswered = sending.unanswered > 0
        now = self.clock.now()
        if reply.worker_time_ms is not None:
            self.worker.update_clock(reply.worker_time_ms, now)
        match reply.verdict:
            case Verdict.ACCEPTED | Verdict.STALE_ATTEMPT:
                # A stale attempt has ended there, or never began because a stop
                # overtook its start; the next sync replies tell which.
                placement.began(now, reply.worker_time_ms)
                if reply.verdict is Verdict.ACCEPTED:
                    self.cluster_state.note_begun(placement)
                self._emit_started(placement, sending, sending.unanswered + 1)
                return True
            case Verdict.TOO_LATE if not unanswered:
                return False
            case Verdict.NO_PERMIT:
                self.cluster_state.permit_refused(self.worker, placement)
            case Verdict.UNHEALTHY:
                self.worker.quarantined_until = now + UNHEALTHY_QUARANTINE_S
            case _:
                pass
        emit(
            events.TaskRefused(
                task=placement.task,
                attempt=placement.attempt,
                worker=self.worker.name,
                verdict=reply.verdict.value,
            )
        )
        if unanswered:
            # An earlier copy may still be carried out; a stop makes it void.
            placement.stop("refused after no answer")
            self._order_stops()
        else:
            self.cluster_state.give_up(self.worker, placement, "refused")
            self.owner.changed()
        return True

    def _emit_started(self, placement: Placement, sending: _Sending, sent: int) -> None:
        emit(
            events.TaskStarted(
                task=placement.task,
                attempt=placement.attempt,
                worker=self.worker.name,
                after_s=round(self.clock.now() - placement.planned_at, 4),
                sent=sent,
                entry_version=sending.entry_version,
                entry_age_s=sending.entry_age_s(),
            )
        )

    def _is_counted(self, placement: Placement) -> bool:
        return self.worker.counts(placement)

    # --- throttling -----------------------------------------------------------

    def _order_throttles(self) -> None:
        for order in throttle_orders(self.worker, self.clock.now()):
            key = (order.placement.task, order.placement.attempt)
            if key not in self._throttles:
                self._throttles.add(key)
                self.orders.spawn(self._throttle(order, key))

    async def _throttle(self, order: ThrottleOrder, key: tuple[str, int]) -> None:
        try:
            async with self.slots.slot():
                answered = not self.owner.may_order() or await self._send_throttle(
                    order
                )
            if not answered:
                await asyncio.sleep(THROTTLE_RESEND_S)
        finally:
            self._throttles.discard(key)

    async def _send_throttle(self, order: ThrottleOrder) -> bool:
        """Send a throttle order; return whether it was answered."""
        placement = order.placement
        try:
            reply = await self.client.throttle(
                self.worker.entry,
                placement.task,
                placement.attempt,
                order.percent,
                self.fence,
            )
        except (WorkerReplaced, WorkerUnreachable) as exc:
            LOG.debug("Throttle order for %s got no answer: %r", placement.task, exc)
            self._record_missed_order(repr(exc))
            return False
        self._record_answered_order()
        if reply.verdict is Verdict.ACCEPTED:
            placement.throttle = order.percent
            emit(
                events.TaskThrottled(
                    task=placement.task,
                    attempt=placement.attempt,
                    worker=self.worker.name,
                    percent=order.percent,
                    pressure=round(pressure(self.worker), 3),
                )
            )
        return True

    # --- stops ----------------------------------------------------------------

    def _order_stops(self) -> None:
        """Send the stops that are due, once the worker has listed what it runs.

        Most attempts that a new owner is to stop have ended long ago, and the first
        list shows that. A silent worker's stops are sent when it answers.
        """
        if not self._is_live():
            return
        for key, placement in list(self.worker.placements.items()):
            if not placement.stopping or key in self._stops:
                continue
            if placement.ordered:
                self._stops.add(key)
                emit(
                    events.TaskStopping(
                        task=placement.task,
                        attempt=placement.attempt,
                        worker=self.worker.name,
                        reason=placement.stop_reason,
                    )
                )
                self.orders.spawn(self._stop(placement))

    def _evacuate(self) -> None:
        """Mark the placements that must leave a leaving worker."""
        for placement in placements_to_stop(self.worker, self.clock.now()):
            placement.stop("worker leaves")

    def _drain_stalled_worker(self) -> None:
        """Stop tasks that cannot wait on a worker where no task makes progress."""
        worker = self.worker
        now = self.clock.now()
        speed = self.cluster_state.load.speed_of(worker)
        if not progress.is_stalled(worker, now, speed):
            return
        stopped = progress.placements_to_stop(worker, self.cluster_state.time_of_day())
        for placement in stopped:
            placement.stop("its worker stands still")
        if now < worker.quarantined_until:
            return
        worker.quarantine(now)
        emit(
            events.WorkerStalled(
                worker=worker.name,
                tasks=len(worker.placements),
                stopped=len(stopped),
                rest_s=worker.rest_s,
            )
        )

    def stop_soon(self) -> None:
        """Send the stop orders that are due in the cluster state, now."""
        self._order_stops()

    def _takes_stops(self) -> bool:
        return self._is_live() and not self.closed

    async def _stop(self, placement: Placement) -> None:
        key = (placement.task, placement.attempt)
        backoff = Backoff(first_s=STOP_RESEND_S, max_s=STOP_RESEND_MAX_S)
        try:
            while self._is_counted(placement) and self._takes_stops():
                async with self.slots.slot(urgent=True):
                    sent = self.owner.may_order() and self._takes_stops()
                    if sent:
                        await self._send_stop(placement)
                await asyncio.sleep(backoff.next_s() if sent else STOP_RESEND_S)
        finally:
            self._stops.discard(key)

    async def _send_stop(self, placement: Placement) -> None:
        fence = self.fence
        try:
            reply = await self.client.stop(
                self.worker.entry, placement.task, placement.attempt, fence
            )
        except WorkerReplaced:
            self._mark_replaced()
            return
        except WorkerUnreachable as exc:
            LOG.debug("Stop order for %s got no answer: %s", placement.task, exc)
            self._record_missed_order(str(exc))
            if not placement.running and placement.fenced_by is None:
                self._void_start(placement)
            return
        if self.closed:
            return
        self._record_answered_order()
        if reply.verdict is Verdict.STALE_EPOCH:
            if not self._is_fenced(fence) and self.owner.may_order():
                await self._send_stop(placement)
        elif reply.verdict in (Verdict.ACCEPTED, Verdict.STALE_ATTEMPT):
            # A task that never began is void now; the next sync replies will not list
            # it.
            if not placement.running:
                placement.began(self.clock.now())
