"""The link from a shard's owner to one worker: a single asyncio task per worker.

Invariant: `keep_until` and `release_until` are never earlier than the end of any
lease that this or an earlier owner may have granted to a task on the worker (for
`keep` jobs and for other jobs). They are raised *before* an order is sent. An order
expires at its bound on the worker's own clock, so a lease granted by it ends at the
latest one lease duration after that bound.

Start orders are sent only under a valid ownership lease, and their bound is never
later than that lease's end, so a paused owner's late order has expired when it
arrives. An owner whose lease has expired and that does not know of a successor goes
on renewing tasks: `keep` tasks for as long as it runs, others for
`release_after_s`. A successor that reached the worker has fenced such renewals off
by its epoch; for a worker that it cannot reach it waits (see `inherited_leases`).
"""

import asyncio
import logging
import math
import random
from typing import Final

import attrs

from cranberrycleat import errors
from cranberrycleat.clock import Clock
from cranberrycleat.lease import MAX_CLOCK_DRIFT, OwnershipLease
from cranberrycleat.logs import part_logger
from cranberrycleat.messages import (
    AttemptRef,
    HostEntry,
    HostState,
    RenewScope,
    SyncOrder,
    SyncReply,
)
from cranberrycleat.orders import start_orders, stop_orders
from cranberrycleat.shard import Shard
from cranberrycleat.worker_http import WorkerClient

LOG: Final[logging.Logger] = part_logger("link")
MIN_JITTER_FACTOR: Final = 0.9
SYNCS_PER_LEASE: Final = 3
"""Syncs per lease, so that one or two lost replies do not let a lease expire."""
SILENT_AFTER_MISSES: Final = 2
"""Consecutive syncs without a reply before a worker counts as silent."""


@attrs.frozen(kw_only=True)
class LinkTimes:
    """Timing parameters of a link, in seconds unless noted otherwise.

    Attributes:
        sync_s: Interval between syncs without orders, in a small shard.
        syncs_per_s: The owner's total rate of syncs without orders, per second.
        lease_s: The lease granted to tasks.
        order_s: How long an order stays valid.
        release_after_s: How long an owner whose lease has expired goes on renewing
            tasks that are not `keep`.
        drain_s: How long a leaving worker's services stay up.
    """

    sync_s: float = 1.0
    syncs_per_s: float = 32.0
    lease_s: float = 10.0
    order_s: float = 2.0
    release_after_s: float = 60.0
    drain_s: float = 5.0


def sync_interval_s(*, workers: int, times: LinkTimes) -> float:
    """Return the interval between syncs with each worker, in seconds.

    The total rate stays within `syncs_per_s` as the shard grows, as far as the lease
    duration allows. Orders never wait for this interval: they wake the link.
    """
    by_budget = workers / times.syncs_per_s
    by_lease = times.lease_s / SYNCS_PER_LEASE
    return min(max(times.sync_s, by_budget), by_lease)


@attrs.define(kw_only=True, eq=False)
class WorkerLink:
    """The owner's side of the link to one worker.

    Attributes:
        entry: The worker, as listed.
        client: Its client, or None for a worker that is not listed yet.
        shard: The shard's state.
        lease: The ownership lease under which orders are sent.
        clock: The owner's clock.
        times: The timing parameters.
        sync_s: Interval between syncs without orders; grows with the shard.
        keep_until: Latest end of any lease of a `keep` task.
        release_until: Latest end of any lease of another task.
        settled: Outcomes that are durable, to be acknowledged to the worker.
        misses: Consecutive syncs without a reply.
    """

    entry: HostEntry
    client: WorkerClient | None
    shard: Shard
    lease: OwnershipLease
    clock: Clock
    times: LinkTimes
    keep_until: float
    release_until: float
    on_change: asyncio.Event
    sync_s: float = 1.0
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    settled: list[AttemptRef] = attrs.field(factory=list)
    task: "asyncio.Task[None] | None" = None
    misses: int = 0
    _incarnation: str = ""
    _known_incarnation: str = ""
    _last_revision: int = 0
    _worker_clock: float = 0.0
    _worker_clock_read_at: float = 0.0
    _leaving_at: float = math.inf

    async def run(self) -> None:
        """Sync until cancelled, immediately when woken."""
        while True:
            try:
                await self._sync()
                self._check_leases()
                self._check_drain()
            except Exception:
                # If the loop ended here, every lease on the worker would expire.
                LOG.exception("Sync with worker %s failed.", self.entry.name)
            try:
                await asyncio.wait_for(self.wake.wait(), self._pause_s())
            except TimeoutError:
                pass
            self.wake.clear()

    def _pause_s(self) -> float:
        """Return the pause until the next sync, with jitter to spread the links."""
        return self.sync_s * random.uniform(MIN_JITTER_FACTOR, 1.0)

    async def _sync(self) -> None:
        if self.client is None:
            return
        order = self._order()
        try:
            reply = await self.client.sync(order)
        except errors.PeerUnavailable as exc:
            if not isinstance(exc, errors.NotSent):
                self.shard.record_sent(order.starts)
            self._handle_no_reply()
            return
        except errors.ProblemError as exc:
            self._handle_error(exc)
            return
        self._handle_reply(order, reply)

    def _order(self) -> SyncOrder:
        name = self.entry.name
        if not self._incarnation:
            return SyncOrder(holder=self.lease.holder, epoch=self.lease.epoch)
        now = self.clock.now()
        owns = self.lease.is_valid()
        scope = self._scope(now)
        bound = now + self.times.order_s
        starts = start_orders(self.shard, name) if owns else ()
        if starts:
            bound = min(bound, self.lease.valid_until())
        self._extend_lease_bounds(scope, bound, bool(starts))
        settled = tuple(self.settled) if owns else ()
        return SyncOrder(
            holder=self.lease.holder,
            epoch=self.lease.epoch,
            incarnation=self._incarnation,
            not_after=self._on_worker_clock(bound),
            lease_s=self.times.lease_s,
            scope=scope,
            since=self._last_revision,
            starts=starts,
            stops=stop_orders(self.shard, name) if owns else (),
            settled=settled,
        )

    def _scope(self, now: float) -> RenewScope:
        """Return which tasks may be renewed: fewer as time passes after expiry.

        The time is counted from the expiry of the ownership lease itself and not
        from when this process noticed it, since a successor counts from there too.
        """
        lapsed_s = now - self.lease.valid_until()
        if lapsed_s < self.times.release_after_s:
            return RenewScope.ALL
        return RenewScope.KEEP if self.lease.is_holder else RenewScope.NONE

    def _extend_lease_bounds(
        self, scope: RenewScope, bound: float, starts: bool
    ) -> None:
        until = bound + self.times.lease_s * (1 + MAX_CLOCK_DRIFT)
        self.keep_until = max(self.keep_until, until)
        if scope is RenewScope.ALL or starts:
            self.release_until = max(self.release_until, until)

    def _on_worker_clock(self, bound: float) -> float:
        """Convert `bound` to a time on the worker's clock that is no later.

        The worker read its clock before its reply arrived here, so at least the
        time since that arrival has passed on the worker as well.
        """
        return self._worker_clock + (bound - self._worker_clock_read_at) * (
            1 - MAX_CLOCK_DRIFT
        )

    def _handle_no_reply(self) -> None:
        self.misses += 1
        if self.misses == SILENT_AFTER_MISSES:
            LOG.warning("Worker %s does not answer.", self.entry.name)
            self.shard.worker_silent(self.entry.name)
            self.on_change.set()
        if self.misses >= SILENT_AFTER_MISSES:
            # From now on sync without an incarnation, which grants nothing: each
            # order would grant another lease, so the wait for the end of the last
            # lease would never finish.
            self._incarnation = ""

    def _handle_error(self, exc: errors.ProblemError) -> None:
        if exc.code == errors.STALE_EPOCH:
            LOG.warning("Worker %s has a newer owner.", self.entry.name)
            self.lease.abandon()
        self._incarnation = ""

    def _handle_reply(self, order: SyncOrder, reply: SyncReply) -> None:
        name = self.entry.name
        self.shard.record_sent(order.starts)
        self.misses = 0
        self._worker_clock, self._worker_clock_read_at = reply.clock, self.clock.now()
        changed = bool(reply.tasks)
        if not order.incarnation and reply.incarnation != self._known_incarnation:
            self._handle_new_incarnation(reply)
            changed = True
        self._incarnation = self._known_incarnation = reply.incarnation
        for report in reply.tasks:
            self.shard.report(name, report)
        self._last_revision = reply.revision
        for mark in order.settled:
            self.settled.remove(mark)
        if self.shard.inventory.workers[name].state.value == "silent":
            changed = True
        self.shard.worker_responded(name, reply.incarnation)
        if reply.state is HostState.LEAVING:
            self._record_leaving()
        if changed:
            self.on_change.set()

    def _handle_new_incarnation(self, reply: SyncReply) -> None:
        """Handle the first reply of an incarnation, which now has our epoch."""
        if self._leaving_at < math.inf:
            # The incarnation before was leaving; this one is to count as live.
            self._leaving_at = math.inf
            self.shard.worker_restarted(self.entry.name)
            self.shard.worker_silent(self.entry.name)
        self.shard.drop_unreported(self.entry.name, reply.tasks)
        until = self.clock.now() + self.times.lease_s * (1 + MAX_CLOCK_DRIFT)
        self.keep_until = self.release_until = until + self.times.order_s

    def _record_leaving(self) -> None:
        self.shard.worker_leaving(self.entry.name)
        self._leaving_at = min(self._leaving_at, self.clock.now())

    def _check_drain(self) -> None:
        name = self.entry.name
        if self.shard.is_leaving(name) and self.shard.release_unordered(name):
            self.on_change.set()
        if self.clock.now() - self._leaving_at >= self.times.drain_s:
            self.shard.evacuate(self.entry.name)

    def _check_leases(self) -> None:
        """Mark a silent worker's tasks as lost once all their leases have expired."""
        if not self.is_silent() or not self.lease.is_valid():
            return
        now = self.clock.now()
        before = len(self.shard.inventory.workers[self.entry.name].tasks)
        if now > self.keep_until:
            self.shard.expire_leases(self.entry.name, keep=True)
        elif now > self.release_until:
            self.shard.expire_leases(self.entry.name, keep=False)
        if len(self.shard.inventory.workers[self.entry.name].tasks) != before:
            self.on_change.set()

    def is_silent(self) -> bool:
        """Return whether the worker has stopped replying."""
        return self.client is None or self.misses >= SILENT_AFTER_MISSES

    def mark_declared_dead(self) -> None:
        """Treat all leases as expired, since an operator declared the worker dead."""
        self.keep_until = self.release_until = -math.inf
        self.wake.set()


@attrs.frozen(kw_only=True)
class InheritedLeases:
    """Latest end of the leases that earlier owners granted.

    Attributes:
        keep_until: For tasks of `keep` jobs.
        release_until: For other tasks.
    """

    keep_until: float
    release_until: float


def inherited_leases(*, now: float, silent: bool, times: LinkTimes) -> InheritedLeases:
    """Return how long to wait after a takeover for workers that do not respond.

    A holder that released its lease had stopped renewing tasks before. One that did
    not release it may be partitioned but alive: it renews `keep` tasks indefinitely,
    so those are re-placed only once the worker responds to the new owner or an
    operator declares it dead; other tasks after `release_after_s`.
    """
    last = now + (times.lease_s + times.order_s) * (1 + MAX_CLOCK_DRIFT)
    if not silent:
        return InheritedLeases(keep_until=last, release_until=last)
    release = last + times.release_after_s * (1 + MAX_CLOCK_DRIFT)
    return InheritedLeases(keep_until=math.inf, release_until=release)
