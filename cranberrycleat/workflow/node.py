"""The node: the scheduler process that runs on each host of the platform.

Every node serves callers, follows the configuration and is a candidate for
ownership. All nodes are equal, and none holds state that is not in the table.
"""

import asyncio
import contextlib
import logging
import secrets
from typing import Any, Final

import attrs

from cranberrycleat import errors, events
from cranberrycleat.clock import BootClock, Clock
from cranberrycleat.connection_budget import ConnectionBudget
from cranberrycleat.connection_limits import process_limits
from cranberrycleat.http_client import HttpClient
from cranberrycleat.http_server import HttpServer
from cranberrycleat.lease import OwnershipLease
from cranberrycleat.lifecycle import BackgroundTasks
from cranberrycleat.logs import (
    dropped_lines,
    emit,
    part_logger,
    set_host_name,
    set_observer,
)
from cranberrycleat.metrics import Metrics
from cranberrycleat.workflow import options
from cranberrycleat.workflow.access import KeyAuthorizer
from cranberrycleat.workflow.adapter import Adapter
from cranberrycleat.workflow.announcements import Announcements
from cranberrycleat.workflow.candidacy import Candidacy, strength
from cranberrycleat.workflow.config_watch import ConfigWatch
from cranberrycleat.workflow.decisions.load_policies import LoadPolicies
from cranberrycleat.workflow.job_frontend import MAX_JOBS_PER_INBOX_WRITE, JobFrontend
from cranberrycleat.workflow.membership import Membership
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.owner_absence import OwnerAbsence
from cranberrycleat.workflow.peer_api import PeerApi
from cranberrycleat.workflow.peering import Heartbeat, HeartbeatReply, PeerClient
from cranberrycleat.workflow.permit_queue import PermitQueue
from cranberrycleat.workflow.reachability import (
    OWNER_FRESH_S,
    TABLE_FRESH_S,
    Reachability,
)
from cranberrycleat.workflow.telemetry import Telemetry
from cranberrycleat.workflow.upkeep_director import UpkeepDirector
from cranberrycleat.writer import BatchingWriter

LOG: Final[logging.Logger] = part_logger("node")
OWNER_KEY: Final = "owner/cell"
BALANCER_DRAIN_S: Final = 2.5
"""The load balancer checks readiness every second and stops sending new callers
after two failed checks."""
IN_FLIGHT_MARGIN_S: Final = 1.5
"""Part of the platform's grace period that is reserved for requests in flight: a
caller's change takes at most 0.7 s, and its answer must still be sent."""
SETTINGS_POLL_INTERVAL_S: Final = 5.0
"""Interval between reads of the settings file; each takes about 1 ms."""
MAX_PROBED_PEERS: Final = 2
FIRST_CONFIG_TIMEOUT_S: Final = 0.5
"""How long a starting node lets callers wait for the first configuration before it
refuses them. One read takes 10 ms, or 0.25 s on a slowed-down table; callers wait
3 s in total."""


@attrs.define(kw_only=True, eq=False)
class Node:
    """The scheduler process of one host.

    Attributes:
        adapter: The platform adapter.
        clock: A monotonic clock that also counts time while suspended.
        late_order_s: How long a worker may still carry out an order that it did not
            answer.
        policies: The enabled policies for hard load.
    """

    adapter: Adapter
    http: HttpClient
    late_order_s: float = options.LATE_ORDER_S
    policies: LoadPolicies = LoadPolicies()
    clock: Clock = attrs.field(factory=BootClock)
    owner: Owner | None = None
    draining: bool = False
    _candidacy: Candidacy = attrs.field(init=False)
    _lease: OwnershipLease = attrs.field(init=False)
    _config: ConfigWatch = attrs.field(init=False)
    _access: KeyAuthorizer = attrs.field(init=False)
    _job_frontend: JobFrontend = attrs.field(init=False)
    _peers: PeerClient = attrs.field(init=False)
    _servers: list[HttpServer] = attrs.field(factory=list)
    _connections: ConnectionBudget = attrs.field(init=False)
    _background: BackgroundTasks = attrs.field(factory=BackgroundTasks)
    _lease_check_due: asyncio.Event = attrs.field(factory=asyncio.Event)
    _last_ready: bool = False
    _membership: Membership = attrs.field(factory=Membership)
    _announced: Announcements = attrs.field(factory=Announcements)
    _reachability: Reachability = attrs.field(init=False)
    _owner_absence: OwnerAbsence = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        cfg = self.adapter.settings
        self.address = f"{cfg.ip}:{cfg.peer_port}"
        self._holder_prefix = f"{cfg.name}@{self.address}"
        self._connections = ConnectionBudget(
            limits=process_limits(
                memory_mb=cfg.room.memory_mb, max_fds=cfg.room.max_fds
            )
        )
        self._peers = PeerClient(http=self.http)
        self._reachability = Reachability(clock=self.clock)
        self._owner_absence = OwnerAbsence(
            clock=self.clock,
            acts_here=self._acts_as_owner,
            owner_age_s=self._reachability.owner_age_s,
            table_age_s=self._reachability.table_age_s,
        )
        self._config = ConfigWatch(
            follower=self.adapter.config_follower(),
            reachability=self._reachability,
            clock=self.clock,
            bound_s=cfg.config_bound_s,
        )
        self._access = KeyAuthorizer(
            config=lambda: self._config.follower.current,
            confirmed_at=lambda: self._config.confirmed_at,
            clock=self.clock,
            config_bound_s=cfg.config_bound_s,
            revoke_bound_s=cfg.revoke_bound_s,
        )
        self._candidacy = Candidacy(
            own=strength(cfg.room), members=self._membership, clock=self.clock
        )
        self._lease = OwnershipLease(
            table=self.adapter.store,
            clock=self.clock,
            key=OWNER_KEY,
            holder=f"{self._holder_prefix}#{secrets.token_hex(4)}",
            lease_s=options.OWNER_LEASE_S,
            grants_outlive_lease_s=options.RENEW_AFTER_LAPSE_S,
            is_dead=self._is_dead,
            strength=self._candidacy.own,
            defer_s=lambda row: self._candidacy.defer_s(row.strength),
            carries_bytes_s=cfg.room.carries_bytes_s(),
        )
        self._job_frontend = JobFrontend(
            config=self._config.follower,
            access=self._access,
            store=self.adapter.store,
            inbox=BatchingWriter(
                table=self.adapter.store,
                clock=self.clock,
                max_changes=MAX_JOBS_PER_INBOX_WRITE,
                max_bytes=options.batch_bytes(cfg.room),
            ),
            peers=self._peers,
            owner=self._active_owner,
            owner_address=self.owner_address,
            own_address=self.address,
            in_contact=self.in_contact,
            config_is_late=self._config.is_late,
            refused=self._suspect_owner,
            left_in_inbox=self._notify_owner,
            clock=self.clock,
            table_limits=cfg.table_limits,
        )

    address: str = attrs.field(init=False)
    _holder_prefix: str = attrs.field(init=False)

    @property
    def url(self) -> str:
        """The base URL for callers."""
        return f"http://{self.adapter.settings.front}"

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here.

        An isolated host is not ready, so that its callers use another one. In a
        table outage no host can serve better than another, so all stay ready.
        """
        reaches_outside = self.in_contact() or self._reachability.reaches_outside()
        config = self._config
        config_usable = config.follower.current is not None and not config.is_late()
        ready = not self.draining and config_usable and reaches_outside
        if ready is not self._last_ready:
            self._last_ready = ready
            emit(
                events.HostReadiness(
                    ready=ready,
                    owner_s=round(self._reachability.owner_age_s(), 2),
                    table_s=round(self._reachability.table_age_s(), 2),
                    config_late_s=round(config.late_s(), 2),
                )
            )
        return ready

    def in_contact(self) -> bool:
        """Return whether the owner or the table was reachable recently."""
        owner = self._active_owner()
        owner_connected = owner is not None and owner.store_answers
        return owner_connected or self._reachability.reaches_owner_or_table()

    def owner_address(self) -> str:
        """Return the owner's address according to the newest information."""
        row = self._lease.latest_row()
        if row is None or row.epoch < self._reachability.owner_hint.epoch:
            return self._reachability.owner_hint.owner_at
        if row.released:
            return ""
        return row.holder.partition("@")[2].partition("#")[0]

    def answer_heartbeat(self, req: Heartbeat) -> HeartbeatReply:
        """Answer another host's heartbeat."""
        owner = self._active_owner()
        if owner is not None:
            return attrs.evolve(
                owner.digest(req),
                owner_at=self.address,
                holder=self._lease.holder,
                config=self._config.follower.version,
                config_age_s=round(self._config.age_s(), 3),
            )
        self._membership.record_heartbeat(req, self.clock.now())
        return HeartbeatReply(
            owner=False,
            holder=self._lease.holder,
            epoch=max(self._lease.epoch, self._reachability.owner_hint.epoch),
            owner_at=self.owner_address(),
            config=self._config.follower.version,
            config_age_s=round(self._config.age_s(), 3),
        )

    def _is_dead(self, holder: str) -> bool:
        """Return whether an owner is known, or strongly suspected, to be dead.

        It is known to be dead if another incarnation runs on its host, either this
        process or one that answered. It is suspected if connections to its address
        are refused, or if it reports that it gets no answers from a table that does
        answer this host. A suspicion can be wrong behind a broken link. Two hosts
        may then both act as the owner for at most one lease, which conditional
        writes to the table, the epochs checked by workers and the successor's wait
        (`options.WorkerLeases`) make harmless.
        """
        host_id, _, _ = holder.partition("#")
        restarted_here = host_id == self._holder_prefix and holder != self._lease.holder
        return restarted_here or self._reachability.is_suspected(holder)

    def _suspect_owner(self, answered: str = "") -> None:
        """Suspect the last known holder to be dead, and check the lease row."""
        row = self._lease.latest_row()
        if row is None or row.released or row.holder in (answered, self._lease.holder):
            return
        host_id, _, _ = row.holder.partition("#")
        if answered and answered.partition("#")[0] != host_id:
            return
        evidence = "another incarnation answers" if answered else "nobody listens"
        self._suspect(row.holder, evidence)

    def _suspect(self, holder: str, evidence: str) -> None:
        # Heartbeats and submissions find the same evidence again until the owner is
        # replaced, which takes as long as an outage of the table.
        if not self._reachability.is_suspected(holder):
            emit(events.OwnerSuspected(holder=holder, evidence=evidence))
        self._reachability.suspect_owner(holder)
        self._lease_check_due.set()

    def _active_owner(self) -> Owner | None:
        owner = self.owner
        return owner if owner is not None and owner.ready.is_set() else None

    def _acts_as_owner(self) -> bool:
        return self._active_owner() is not None and self._lease.is_valid()

    # --- lifecycle ------------------------------------------------------------

    async def start(self) -> None:
        """Start serving; raises OSError if an address is in use.

        Callers are served last: their connections wait in the listen queue (see
        `early_listen`) until there is a configuration to serve them with.
        """
        cfg = self.adapter.settings
        metrics = Metrics(role="node", name=cfg.name)
        set_observer(Telemetry(metrics=metrics).record_event)
        self._register_gauges(metrics)
        peers = PeerApi(
            owner=self._active_owner,
            heartbeat=self.answer_heartbeat,
            check_lease=self._check_lease_now,
            permits=self.adapter.permits,
            metrics=metrics,
            dump=self.dump,
        )
        await self._listen("ready", self.adapter.readiness(self.is_ready), cfg.ready)
        await self._listen("peers", peers.app(), self.address)
        set_host_name(cfg.name)
        emit(events.ProcessStarted(name=cfg.name, data_centre=cfg.data_centre))
        for loop in (
            self._config.run,
            self._poll_settings,
            self._candidacy_loop,
            self._heartbeat_loop,
            self._handover_loop,
        ):
            self._background.keep(loop)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_CONFIG_TIMEOUT_S):
                await self._config.first_read_done.wait()
        front = self.adapter.front(self._job_frontend, self.is_ready)
        await self._listen("front", front, cfg.front)

    async def _listen(self, name: str, app: Any, address: str) -> None:
        host, _, port = address.rpartition(":")
        server = HttpServer(
            app=app, host=host, port=int(port), name=name, budget=self._connections
        )
        await server.start()
        self._servers.append(server)

    def _register_gauges(self, metrics: Metrics) -> None:
        """Register gauges that read this process's state."""
        metrics.add_gauge("log.lines.left_out", lambda: float(dropped_lines()))
        metrics.add_gauge(
            "connections.open", lambda: float(self._connections.open_connections)
        )
        metrics.add_gauge(
            "connections.held.bytes", lambda: float(self._connections.held_bytes)
        )
        metrics.add_gauge("owner.epoch", lambda: float(self._lease.epoch))
        metrics.add_gauge("host.ready", lambda: float(self.is_ready()))
        metrics.add_gauge(
            "config.version",
            lambda: float(self._config.follower.version),
        )
        metrics.add_gauge("config.late", self._config.late_s)
        metrics.add_gauge("owner.lease.left", self._lease_left)
        metrics.add_gauge("owner.missing.duration", self._owner_absence.duration_s)
        metrics.add_gauge("tasks.pending", lambda: self._owner_gauge("pending"))
        metrics.add_gauge("tasks.held", lambda: self._owner_gauge("placed"))
        metrics.add_gauge("jobs.rejected.share", self._rejected_share)
        metrics.add_gauge("rows.largest.share", self._largest_row_share)
        metrics.add_gauge("jobs.open", lambda: self._owner_gauge("open"))

    def _lease_left(self) -> float:
        if not self._lease.is_holder:
            return 0.0
        return max(0.0, self._lease.valid_until() - self.clock.now())

    def _rejected_share(self) -> float:
        owner = self._active_owner()
        return 0.0 if owner is None else owner.load_admission.rejected_share()

    def _largest_row_share(self) -> float:
        owner = self._active_owner()
        return 0.0 if owner is None else owner.cluster_state.row_sizes.share()

    def _owner_gauge(self, key: str) -> float:
        owner = self._active_owner()
        return 0.0 if owner is None else float(owner.summary()[key])

    async def drain(self) -> None:
        """Stop accepting callers, hand over ownership, finish requests in flight."""
        self.draining = True
        began = self.clock.now()
        emit(events.ProcessDraining(owner=self.owner is not None))
        if self.owner is not None:
            await self.owner.hand_over()
            await self._notify_peers()
        spent_s = self.clock.now() - began
        await asyncio.sleep(balancer_wait_s(self.adapter.settings.grace_s, spent_s))

    def _check_lease_now(self) -> None:
        """Handle a peer's notice that the owner's row or the inbox has changed."""
        self._lease_check_due.set()
        owner = self._active_owner()
        if owner is not None:
            owner.inbox.scan_requested.set()

    def _notify_owner(self) -> None:
        """Notify the owner that the inbox has a new job."""
        address = self.owner_address()
        if self._active_owner() is not None:
            self._check_lease_now()
        elif address:
            self._background.spawn(self._send_inbox_notice(address))

    async def _send_inbox_notice(self, address: str) -> None:
        try:
            await self._peers.check_lease(address)
        except errors.PeerUnavailable as exc:
            LOG.debug("Owner not notified of the inbox write: %s", exc)

    async def _notify_peers(self) -> None:
        """Ask all peers to check the owner's row now instead of at their next poll."""
        results = await asyncio.gather(
            *(self._peers.check_lease(address) for address in self._peer_addresses()),
            return_exceptions=True,
        )
        for exc in results:
            if isinstance(exc, BaseException):
                LOG.info("Peer not notified of the released ownership: %r", exc)

    async def stop(self) -> None:
        """Finish requests in flight and close every connection."""
        await asyncio.gather(*(server.stop() for server in self._servers))
        await self._background.cancel()
        await self.adapter.workers.close()
        await self.http.close()

    def reload_settings(self) -> None:
        """Reload the platform's settings file."""
        try:
            changed = self.adapter.reload_settings()
        except errors.FindingsError as exc:
            emit(events.SettingsUnreadable(findings=str(exc)))
            return
        if changed:
            cfg = self.adapter.settings
            self._config.bound_s = cfg.config_bound_s
            self._access.config_bound_s = cfg.config_bound_s
            self._access.revoke_bound_s = cfg.revoke_bound_s
            emit(events.SettingsReread(changed=changed))

    async def _poll_settings(self) -> None:
        """Detect changes of the settings file that are not signalled by SIGHUP."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            self.reload_settings()

    def dump(self) -> object:
        """Return this process's state for diagnostics."""
        config = self._config.follower.current
        return {
            "host": self.adapter.settings.name,
            "ready": self.is_ready(),
            "draining": self.draining,
            "configuration": None if config is None else config.version,
            "owner": self.owner_address(),
            "epoch": self._lease.epoch,
            "owner_missing_s": round(self._owner_absence.duration_s(), 3),
            "owned": None if self.owner is None else self.owner.summary(),
            "workspaces": None if self.owner is None else self.owner.workspaces(),
            "forecast": None if self.owner is None else self.owner.forecast_inputs(),
            "configuration_age_s": round(self._config.age_s(), 3),
        }

    # --- background -------------------------------------------------------------

    async def _candidacy_loop(self) -> None:
        """Compete for ownership, and act as the owner while it is held.

        A draining node keeps polling the lease: it still serves callers with open
        connections and must know who the owner is.
        """
        while True:
            try:
                won = await self._check_lease()
            except errors.TableUnavailable as exc:
                self._reachability.record_table_failure()
                LOG.debug("Could not read the owner's row: %s", exc)
            else:
                if won:
                    await self._run_owner()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._lease_poll_interval_s()):
                    await self._lease_check_due.wait()
            self._lease_check_due.clear()

    async def _check_lease(self) -> bool:
        """Check the owner's row; return whether ownership was won."""
        began = self.clock.now()
        won = False
        if self.draining:
            await self._lease.look()
        else:
            won = await self._lease.acquire()
        self._reachability.record_row_read(self.clock.now() - began)
        return won

    def _lease_poll_interval_s(self) -> float:
        answered_recently = self._reachability.owner_age_s() < OWNER_FRESH_S
        return self._candidacy.poll_interval_s(
            self.address, owner_answered_recently=answered_recently
        )

    async def _run_owner(self) -> None:
        emit(
            events.OwnerWon(
                epoch=self._lease.epoch, silent=self._lease.takeover_unreleased
            )
        )
        try:
            self.owner = self._make_owner()
            await self.owner.run()
        finally:
            self.owner = None
            # Whatever ended it, the row may still name this process.
            self._lease.abandon()
            # An owner does not poll its row, so its last read of it is out of date.
            self._reachability.record_table_failure()

    async def _handover_loop(self) -> None:
        """Hand over ownership when a much stronger host could hold it."""
        while True:
            await asyncio.sleep(options.LEASE_POLL_INTERVAL_S)
            owner = self._active_owner()
            if owner is None or not owner.store_answers or self.draining:
                continue
            if self._candidacy.should_hand_over(owner.took_over_at):
                emit(events.OwnerGivesWay(epoch=owner.epoch))
                self._candidacy.note_handover()
                await owner.hand_over()
                await self._notify_peers()

    def _make_owner(self) -> Owner:
        cfg = self.adapter.settings
        row = self._lease.latest_row()
        recorded_strength = 0.0 if row is None else row.strength
        permit_queue = PermitQueue(
            own=self.adapter.permits,
            own_address=self.address,
            peer_client=self._peers,
            peers=self._permit_peers,
            clock=self.clock,
        )
        owner = Owner(
            lease=self._lease,
            store=self.adapter.store,
            directory=self.adapter.directory(self.clock, self._announced),
            client=self.adapter.workers,
            permit_queue=permit_queue,
            clock=self.clock,
            leases=options.worker_leases(cfg.bounds, self.late_order_s),
            status_s=cfg.status_s,
            peers=self._membership,
            spread_factor=cfg.spread_factor,
            batch_bytes=options.batch_bytes(cfg.room),
            table_limits=cfg.table_limits,
            pools=self._pools,
            access=self._access,
            policies=self.policies,
            checkpoints=cfg.checkpoints,
            drain_s=cfg.drain_s,
            takeover_read_timeout_s=self._candidacy.takeover_read_timeout_s(
                recorded_strength
            ),
        )
        owner.director = self._make_director(owner)
        return owner

    def _pools(self) -> frozenset[str] | None:
        """Return the names of the configured pools; None without a configuration."""
        config = self._config.follower.current
        return None if config is None else frozenset(each.name for each in config.pools)

    def _make_director(self, owner: Owner) -> UpkeepDirector | None:
        machines = self.adapter.machines
        if machines is None:
            return None
        return UpkeepDirector(
            client=machines,
            writer=self.adapter.store,
            status=self.adapter.wave_status,
            written_state=self.adapter.wave_state,
            waves=lambda: self._config.follower.waves,
            cluster_state=owner.cluster_state,
            holder=self.adapter.settings.name,
            epoch=lambda: owner.epoch,
            may_order=owner.may_order,
            stop_soon=owner.stop_soon,
            clock=self.clock,
        )

    def _peer_addresses(self) -> tuple[str, ...]:
        live = self._membership.live(self.clock.now())
        return tuple(peer.address for peer in live if peer.address != self.address)

    def _permit_peers(self) -> tuple[str, ...]:
        """Return the hosts through which to request permits, best first."""
        local = self.adapter.settings.data_centre
        return self._membership.permit_peers(self.clock.now(), local)

    async def _heartbeat_loop(self) -> None:
        """Send heartbeats to the owner, and receive the queue lengths."""
        while True:
            address = self.owner_address()
            is_own_address = address == self.address
            owner_is_healthy = is_own_address and self.in_contact()
            if not owner_is_healthy:
                if (
                    not address
                    or is_own_address
                    or not await self._send_heartbeat_to_owner(address)
                ):
                    await self._send_heartbeat_elsewhere()
            missing = self._owner_absence.check(
                self._lease.latest_row(), self._lease.holder
            )
            if missing is not None:
                emit(missing)
            await asyncio.sleep(options.HEARTBEAT_INTERVAL_S)

    def _make_heartbeat(self) -> Heartbeat:
        cfg = self.adapter.settings
        eligible = (
            self._reachability.table_age_s() < TABLE_FRESH_S and not self.draining
        )
        return Heartbeat(
            name=cfg.name,
            address=self.address,
            data_centre=cfg.data_centre,
            strength=self._candidacy.own if eligible else 0.0,
            peers_seen=self._membership.peer_list_version,
        )

    async def _send_heartbeat_to_owner(self, address: str) -> bool:
        asked_at = self.clock.now()
        try:
            reply = await self._peers.heartbeat(address, self._make_heartbeat())
        except errors.NotSent:
            self._suspect_owner()
            return False
        except errors.PeerUnavailable as exc:
            LOG.debug("Owner did not answer the heartbeat: %s", exc)
            return False
        if not reply.owner and reply.holder:
            self._suspect_owner(reply.holder)
        now = self.clock.now()
        self._apply_hint(reply, asked_at)
        if reply.owner:
            self._reachability.record_owner_answer()
            if self._reachability.owner_lost_table(reply.table_silent_s):
                self._suspect(reply.holder, "it lost the table")
            else:
                self._reachability.clear_suspicion()
            self._job_frontend.heartbeat = reply
            self._job_frontend.heartbeat_at = now
            self._membership.apply_peer_list(reply, now)
        return reply.owner

    def _apply_hint(self, reply: HeartbeatReply, asked_at: float) -> None:
        self._reachability.update_owner_hint(reply)
        self._config.note_version(
            reply.config, asked_at=asked_at, age_s=reply.config_age_s
        )

    async def _send_heartbeat_elsewhere(self) -> None:
        """Check whether any other data centre is reachable."""
        cfg = self.adapter.settings
        addresses = self._membership.in_other_data_centres(
            cfg.data_centre, self.address
        )
        for address in addresses[:MAX_PROBED_PEERS]:
            asked_at = self.clock.now()
            try:
                reply = await self._peers.heartbeat(address, self._make_heartbeat())
            except errors.PeerUnavailable as exc:
                LOG.debug("Peer did not answer the heartbeat: %s", exc)
                continue
            self._apply_hint(reply, asked_at)
            self._reachability.record_remote_answer()
            return


def balancer_wait_s(grace_s: float, spent_s: float) -> float:
    """Return how long a draining node waits for the load balancer to notice.

    Args:
        grace_s: The platform's grace period for stopping a process.
        spent_s: How much of it was spent on handing over ownership.
    """
    return max(0.0, min(BALANCER_DRAIN_S, grace_s - spent_s - IN_FLIGHT_MARGIN_S))
