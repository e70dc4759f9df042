"""The scheduler daemon: operators' API, and owner of its data centre's shard.

One asyncio task acts as owner or candidate (`_run_ownership`), one per worker
maintains its link (`link`), and one per peer exchanges digests (`peers`). In each
round the owner applies operators' changes, plans, writes the result in one
transaction that also renews the lease, and only then sends orders.
"""

import asyncio
import logging
import secrets
from collections.abc import Callable
from typing import Any, Final

import attrs

from cranberrycleat import codec, errors, registry
from cranberrycleat.acceptance import Acceptance
from cranberrycleat.amounts import NOTHING
from cranberrycleat.clock import Clock, MonotonicClock
from cranberrycleat.config import Configuration
from cranberrycleat.http_server import HttpServer
from cranberrycleat.keys import SHARD, inbox_prefix, owner_key
from cranberrycleat.lease import Changes, ConditionFailed, LeaseLost, OwnershipLease
from cranberrycleat.lifecycle import BackgroundTasks
from cranberrycleat.link import LinkTimes, WorkerLink, inherited_leases, sync_interval_s
from cranberrycleat.logs import part_logger
from cranberrycleat.messages import (
    AttemptRef,
    Digest,
    DigestReply,
    EndpointSet,
    HostEntry,
    InboxEntry,
)
from cranberrycleat.metrics import Metrics
from cranberrycleat.options import SchedulerOptions
from cranberrycleat.orders import endpoints, start_orders, stop_orders
from cranberrycleat.peers import Peers
from cranberrycleat.rounds import PLANNER_PROFILES, Plan, TeamUsage
from cranberrycleat.serve import make_app
from cranberrycleat.shard import Shard
from cranberrycleat.table import Row
from cranberrycleat.table_http import Platform
from cranberrycleat.watcher import ConfigWatcher

LOG: Final[logging.Logger] = part_logger("scheduler")
RENEW_FRACTION: Final = 0.5
"""The lease is renewed once less than this fraction of it remains."""
POLLS_PER_LEASE: Final = 5
HOST_POLL_S: Final = 2.0
ROUND_DRAIN_TIMEOUT_S: Final = 10.0
"""Maximum wait at shutdown for a round in progress."""


@attrs.define(kw_only=True, eq=False)
class PendingWrite:
    """A round that was sent to the table but is not confirmed yet.

    It is resent unchanged until its outcome is known.
    """

    changes: Changes
    plan: Plan
    marks: dict[str, list[AttemptRef]]


@attrs.define(kw_only=True, eq=False)
class Scheduler:
    """One scheduler process.

    Attributes:
        cfg: Its options.
        handlers: Builds the route handlers of its HTTP interface (`scheduler_api`).
        clock: Its clock.
        platform: The platform's table and host list.
        lease: Its view of the shard's ownership lease.
        shard: The shard's state while this process is the owner, else None.
        links: The links to the shard's workers, by name.
        watcher: Holds the current configuration.
    """

    cfg: SchedulerOptions
    handlers: Callable[["Scheduler"], list[Any]]
    clock: Clock = attrs.field(factory=MonotonicClock)
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(4))
    shard: Shard | None = None
    links: dict[str, WorkerLink] = attrs.field(factory=dict)
    table_reachable: bool = True
    draining: bool = False
    metrics: Metrics = attrs.field(init=False)
    platform: Platform = attrs.field(init=False)
    lease: OwnershipLease = attrs.field(init=False)
    watcher: ConfigWatcher = attrs.field(init=False)
    acceptance: Acceptance = attrs.field(init=False)
    peers: Peers = attrs.field(init=False)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _server: HttpServer = attrs.field(init=False)
    _background: BackgroundTasks = attrs.field(factory=BackgroundTasks)
    _link_tasks: BackgroundTasks = attrs.field(factory=BackgroundTasks)
    _pending: PendingWrite | None = None
    _hosts_polled_at: float = float("-inf")
    _inherited_unreleased: bool = False
    _owner_task: "asyncio.Task[None] | None" = None
    _unreadable: set[str] = attrs.field(factory=set)
    _endpoint_sets: dict[str, EndpointSet] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        make = registry.find(registry.PluginKind.TABLE, self.cfg.table_client)
        self.platform = make(
            url=self.cfg.platform, timeout_s=self.cfg.platform_timeout_s
        )
        self.lease = OwnershipLease(
            table=self.platform,
            clock=self.clock,
            key=owner_key(self.cfg.data_centre),
            holder=f"{self.cfg.name}#{self.incarnation}",
            lease_s=self.cfg.lease_s,
        )
        self.watcher = ConfigWatcher(table=self.platform)
        self.acceptance = Acceptance(
            platform=self.platform, data_centre=self.cfg.data_centre
        )
        self.peers = Peers(
            urls=self.cfg.peers,
            gossip=self,
            clock=self.clock,
            digest_s=self.cfg.digest_s,
        )
        self.metrics = Metrics(role="scheduler", name=self.cfg.name)
        self.metrics.add_gauge("owner", lambda: float(self.lease.is_valid()))
        self.metrics.add_gauge("workers", lambda: float(len(self.links)))
        app = make_app(self.handlers(self))
        self._server = HttpServer(app=app, host=self.cfg.listen, port=self.cfg.port)

    @property
    def url(self) -> str:
        """The base URL of the HTTP server."""
        return self._server.url

    async def start(self) -> None:
        """Start the HTTP server and the background tasks."""
        await self._server.start()
        self._owner_task = self._background.spawn(self._run_ownership())
        self._background.spawn(self._watch_config())
        for url in self.cfg.peers:
            self._background.spawn(self.peers.gossip_with(url))

    async def drain(self) -> None:
        """Release the shard, and keep serving until the load balancer has noticed."""
        self.draining = True
        self.changed.set()
        if self._owner_task is not None:
            # Two concurrent writers of one lease would each take the other for a
            # successor.
            await asyncio.wait([self._owner_task], timeout=ROUND_DRAIN_TIMEOUT_S)
        await self._hand_over()
        await asyncio.sleep(self.cfg.drain_s)

    async def stop(self) -> None:
        """Finish requests in flight and cancel the background tasks."""
        await self._server.stop()
        await self._background.cancel()
        await self._link_tasks.cancel()
        await self.platform.close()

    # --- owner and candidate ------------------------------------------------

    async def _run_ownership(self) -> None:
        while not self.draining:
            try:
                await self._step()
                self._set_table_reachable(True)
            except errors.TableUnavailable:
                self._set_table_reachable(False)
            except (LeaseLost, ConditionFailed):
                await self._ownership_lost()
            except Exception:
                # If the loop ended here, the process would look alive but do nothing.
                LOG.exception("Scheduling round failed; retrying in the next round.")
            await self._wait()

    def _set_table_reachable(self, reachable: bool) -> None:
        if reachable != self.table_reachable:
            state = "answers again" if reachable else "does not answer"
            LOG.warning("The platform's table %s.", state)
        self.table_reachable = reachable

    async def _wait(self) -> None:
        candidate_s = self.cfg.lease_s / POLLS_PER_LEASE
        timeout = self.cfg.round_s if self.shard is not None else candidate_s
        try:
            await asyncio.wait_for(self.changed.wait(), timeout)
        except TimeoutError:
            pass
        self.changed.clear()

    async def _step(self) -> None:
        if self.shard is not None:
            if not self.lease.is_holder:
                raise LeaseLost(self.lease.key)
            await self._round(self.shard)
        elif await self.lease.acquire():
            await self._take_over()

    async def _take_over(self) -> None:
        shard = Shard(data_centre=self.cfg.data_centre, now=self.clock.now)
        rows = await self.platform.scan(prefix=f"{SHARD}/{self.cfg.data_centre}/")
        shard.load(row for row in rows if row.key != self.lease.key)
        self.shard = shard
        self._pending = None
        self._hosts_polled_at = float("-inf")
        self._inherited_unreleased = self.lease.takeover_unreleased
        self._apply_config()
        for name in shard.inventory.workers:
            self._open_link(_placeholder_host(name, self.cfg.data_centre))
        LOG.info("Owner of %s, epoch %d.", self.cfg.data_centre, self.lease.epoch)
        self.metrics.count("takeovers")
        await self._round(shard)

    async def _ownership_lost(self) -> None:
        if self.shard is not None:
            LOG.warning("No longer owner of %s.", self.cfg.data_centre)
        self.lease.abandon()
        self.shard = None
        self._pending = None
        await self._link_tasks.cancel()
        for link in self.links.values():
            if link.client is not None:
                await link.client.close()
        self.links.clear()

    async def _hand_over(self) -> None:
        """Stop renewing workers' leases, then release the ownership lease.

        Only in this order may a candidate take over immediately.
        """
        if self.shard is None:
            return
        try:
            await self._flush(self.shard)
            await self._link_tasks.cancel()
            await self.lease.release()
            LOG.info("Released ownership of %s.", self.cfg.data_centre)
        except (errors.TableUnavailable, LeaseLost, ConditionFailed):
            LOG.warning("Could not release the shard's lease; it will expire.")
        await self._ownership_lost()

    # --- rounds -------------------------------------------------------------

    async def _round(self, shard: Shard) -> None:
        if self._pending is not None or not self.lease.is_valid():
            await self._flush(shard)
            return
        await self._poll_hosts(shard)
        taken = await self._apply_inbox(shard)
        plan = shard.plan(self.clock.now())
        now = self.clock.now()
        shard.record_finished(now)
        deletes = [row.key for row in taken]
        deletes += shard.remove_finished(now - self.cfg.job_keep_s)
        changes = Changes(puts=shard.dirty_puts(), deletes=tuple(deletes))
        if changes.puts or changes.deletes or self._renewal_due():
            self._pending = PendingWrite(
                changes=changes, plan=plan, marks=shard.take_pending_acks()
            )
            await self._flush(shard)

    def _renewal_due(self) -> bool:
        left = self.lease.valid_until() - self.clock.now()
        return left < self.cfg.lease_s * RENEW_FRACTION

    async def _flush(self, shard: Shard) -> None:
        """Write the pending round, or only renew, and then wake links with orders."""
        pending = self._pending
        if pending is None:
            await self.lease.commit()
            return
        await self.lease.commit(pending.changes)
        self._pending = None
        self.metrics.count("rounds_written")
        self.metrics.count("placed", len(pending.plan.assignments))
        for worker, marks in pending.marks.items():
            if worker in self.links:
                self.links[worker].settled.extend(marks)
        shard.confirm(pending.plan)
        self._wake_links(shard)

    def _wake_links(self, shard: Shard) -> None:
        for name, link in self.links.items():
            if link.settled or start_orders(shard, name) or stop_orders(shard, name):
                link.wake.set()

    async def _apply_inbox(self, shard: Shard) -> tuple[Row, ...]:
        rows = await self.platform.scan(prefix=inbox_prefix(self.cfg.data_centre))
        taken = []
        for row in sorted(rows, key=lambda each: each.version):
            entry = self._inbox_entry(row)
            if entry is None:
                continue
            taken.append(row)
            shard.apply_change(entry)
            if entry.declare_dead in self.links:
                self.links[entry.declare_dead].mark_declared_dead()
        return tuple(taken)

    def _inbox_entry(self, row: Row) -> InboxEntry | None:
        """Decode an inbox row; skip a malformed one, log it once and keep the row."""
        try:
            return codec.decode(row.value, InboxEntry, place=row.key)
        except errors.FindingsError as exc:
            if row.key not in self._unreadable:
                LOG.error("Skipping malformed inbox entry: %s", exc)
                self._unreadable.add(row.key)
            return None

    async def _poll_hosts(self, shard: Shard) -> None:
        now = self.clock.now()
        if now - self._hosts_polled_at < HOST_POLL_S:
            return
        listed = await self.platform.hosts()
        self._hosts_polled_at = now
        for entry in shard.update_hosts(listed.hosts):
            self._open_link(entry)
        pace = sync_interval_s(workers=len(self.links), times=self._times())
        for link in self.links.values():
            link.sync_s = pace
        names = {entry.name for entry in listed.hosts}
        for name in [each for each in self.links if each not in names]:
            await self._remove_if_gone(shard, name)

    async def _remove_if_gone(self, shard: Shard, name: str) -> None:
        """Remove a worker that is no longer listed, silent and without tasks."""
        link = self.links[name]
        if not link.is_silent() or shard.inventory.workers[name].tasks:
            return
        LOG.info("Removed worker %s: not listed, silent, no tasks.", name)
        del self.links[name]
        shard.forget_worker(name)
        if link.task is not None:
            link.task.cancel()
        if link.client is not None:
            await link.client.close()

    def _open_link(self, entry: HostEntry) -> None:
        shard = self.shard
        assert shard is not None
        times = self._times()
        inherited = inherited_leases(
            now=self.clock.now(), silent=self._inherited_unreleased, times=times
        )
        known = self.links.get(entry.name)
        make = registry.find(registry.PluginKind.WORKER, self.cfg.worker_client)
        client = make(url=entry.url, timeout_s=times.order_s) if entry.url else None
        if known is not None:
            known.entry, known.client = entry, client
            return
        link = WorkerLink(
            entry=entry,
            client=client,
            shard=shard,
            lease=self.lease,
            clock=self.clock,
            times=times,
            keep_until=inherited.keep_until,
            release_until=inherited.release_until,
            on_change=self.changed,
        )
        self.links[entry.name] = link
        link.task = self._link_tasks.spawn(link.run())

    def _times(self) -> LinkTimes:
        return LinkTimes(
            sync_s=self.cfg.sync_s,
            syncs_per_s=self.cfg.syncs_per_s,
            lease_s=self.cfg.worker_lease_s,
            order_s=self.cfg.order_s,
            release_after_s=self.cfg.release_after_s,
            drain_s=self.cfg.leave_s,
        )

    # --- configuration and peers --------------------------------------------

    async def _watch_config(self) -> None:
        while True:
            try:
                if await self.watcher.poll():
                    self._apply_config()
            except errors.TableUnavailable:
                LOG.debug("Table unavailable; configuration not refreshed.")
            await asyncio.sleep(self.cfg.config_poll_s)

    def _apply_config(self) -> None:
        current = self.watcher.current
        if current is None or self.shard is None:
            return
        cfg = codec.decode(current.text, Configuration, place="configuration")
        self.shard.planner.profile = PLANNER_PROFILES[cfg.placement.weight]
        teams = self.shard.planner.teams
        for name in {*teams, *cfg.placement.quotas}:
            team = teams.setdefault(name, TeamUsage())
            team.quota = cfg.placement.quotas.get(name, 1.0)
        self.changed.set()

    def digest(self) -> Digest:
        """Return this process's digest for its peers."""
        return Digest(
            sender=self.cfg.name,
            incarnation=self.incarnation,
            role="scheduler",
            data_centre=self.cfg.data_centre,
            config_version=self.watcher.version,
            draining=self.draining,
        )

    def apply_reply(self, reply: DigestReply) -> None:
        """Apply a newer configuration received from a peer."""
        if self.watcher.offer(reply.config):
            self._apply_config()

    def answer_digest(self, asked: Digest) -> DigestReply:
        """Return the configuration and endpoint sets that the sender lacks."""
        self.peers.record_digest(asked)
        newer = self.watcher.version > asked.config_version
        sets = tuple(each for each in self._own_sets() if _is_missing(asked, each))
        return DigestReply(
            digest=self.digest(),
            sets=sets,
            config=self.watcher.current if newer else None,
        )

    def _own_sets(self) -> tuple[EndpointSet, ...]:
        if self.shard is None:
            return ()
        return (
            EndpointSet(
                data_centre=self.cfg.data_centre,
                epoch=self.lease.epoch,
                revision=self.shard.endpoint_revision,
                endpoints=endpoints(self.shard),
            ),
        )


def _is_missing(asked: Digest, offered: EndpointSet) -> bool:
    for seen in asked.seen:
        if seen.data_centre == offered.data_centre:
            ours = (offered.epoch, offered.revision)
            return ours > (seen.epoch, seen.revision)
    return asked.role == "gateway"


def _placeholder_host(name: str, data_centre: str) -> HostEntry:
    """Return a host entry for a worker with tasks that is not listed yet."""
    return HostEntry(
        name=name,
        url="",
        data_centre=data_centre,
        rack="",
        labels={},
        capacity=NOTHING,
    )
