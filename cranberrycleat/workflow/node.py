"""The node: the one process of the system on a host of the platform.

Every node answers callers, follows the configuration, and is a candidate for
the ownership. All are equal; none keeps anything that the table does not have.
"""

import asyncio
import contextlib
import logging
import secrets
from typing import Any, Final

import attrs

from cranberrycleat import errors
from cranberrycleat.clock import BootClock, Clock
from cranberrycleat.http_client import HttpClient
from cranberrycleat.lease import OwnershipLease
from cranberrycleat.lifecycle import Background
from cranberrycleat.logs import part_logger
from cranberrycleat.metrics import Metrics
from cranberrycleat.serve import HttpServer
from cranberrycleat.workflow import options
from cranberrycleat.workflow.adapter import Adapter
from cranberrycleat.workflow.directory import ConfigFollower
from cranberrycleat.workflow.door import Door
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peer_api import peer_app
from cranberrycleat.workflow.peering import Digest, PeerClient
from cranberrycleat.workflow.permit_desk import PermitDesk

LOG: Final[logging.Logger] = part_logger("node")
OWNER_KEY: Final = "owner/cell"
CONFIG_WAIT_S: Final = 1.5
"""How long the table holds a question for a newer configuration open; a
connection that went silent shows within this and the client's time limit."""
PAUSE_S: Final = 0.2
BALANCER_S: Final = 2.5
"""The balancer asks each second and sends no new callers after two misses."""
IN_TOUCH_S: Final = 2.0


@attrs.define(kw_only=True, eq=False)
class Node:
    """One host's process.

    Attributes:
        adapter: Speaks to the platform.
        clock: Counts suspended time.
    """

    adapter: Adapter
    http: HttpClient
    clock: Clock = attrs.field(factory=BootClock)
    owner: Owner | None = None
    draining: bool = False
    _lease: OwnershipLease = attrs.field(init=False)
    _config: ConfigFollower = attrs.field(init=False)
    _door: Door = attrs.field(init=False)
    _peers: PeerClient = attrs.field(init=False)
    _servers: list[HttpServer] = attrs.field(factory=list)
    _work: Background = attrs.field(factory=Background)
    _live_peers: dict[str, float] = attrs.field(factory=dict)
    _store_heard_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        cfg = self.adapter.settings
        self.address = f"{cfg.ip}:{cfg.peer_port}"
        self._peers = PeerClient(http=self.http)
        self._config = self.adapter.config_follower()
        self._lease = OwnershipLease(
            table=self.adapter.store,
            clock=self.clock,
            key=OWNER_KEY,
            holder=f"{cfg.name}@{self.address}#{secrets.token_hex(4)}",
            lease_s=options.OWNER_LEASE_S,
        )
        self._door = Door(
            config=self._config,
            store=self.adapter.store,
            peers=self._peers,
            owner=lambda: self.owner,
            owner_address=self.owner_address,
            clock=self.clock,
        )

    address: str = attrs.field(init=False)

    @property
    def url(self) -> str:
        """The base URL that callers use."""
        return f"http://{self.adapter.settings.front}"

    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        now = self.clock.now()
        heard_at = max(self._store_heard_at, self._door.digest_at)
        in_touch = now - heard_at < IN_TOUCH_S or self._held() is not None
        return not self.draining and self._config.current is not None and in_touch

    def owner_address(self) -> str:
        """Return where the owner answers, by the newest row seen."""
        row = self._lease.seen()
        if row is None or row.released:
            return ""
        return row.holder.partition("@")[2].partition("#")[0]

    def _held(self) -> Owner | None:
        owner = self.owner
        return owner if owner is not None and owner.ready.is_set() else None

    # --- life -----------------------------------------------------------------

    async def start(self) -> None:
        """Begin to serve; raises OSError where an address is taken."""
        cfg = self.adapter.settings
        metrics = Metrics(role="node", name=cfg.name)
        apps: list[tuple[Any, str]] = [
            (self.adapter.front(self._door), cfg.front),
            (self.adapter.readiness(self.is_ready), cfg.ready),
            (
                peer_app(
                    owner=self._held,
                    permits=self.adapter.permits,
                    metrics=metrics,
                    dump=self.dump,
                ),
                self.address,
            ),
        ]
        for app, address in apps:
            host, _, port = address.rpartition(":")
            server = HttpServer(app=app, host=host, port=int(port))
            await server.start()
            self._servers.append(server)
        for work in (self._follow_config(), self._stand(), self._exchange()):
            self._work.spawn(work)

    async def drain(self) -> None:
        """Take no new callers, hand the ownership over, finish what is open."""
        self.draining = True
        if self.owner is not None:
            await self.owner.hand_over()
        await asyncio.sleep(BALANCER_S)

    async def stop(self) -> None:
        """Finish requests in flight and close every connection."""
        await asyncio.gather(*(server.stop() for server in self._servers))
        await self._work.cancel()
        await self.http.close()

    def dump(self) -> object:
        """Return this process's state."""
        config = self._config.current
        return {
            "host": self.adapter.settings.name,
            "ready": self.is_ready(),
            "draining": self.draining,
            "configuration": None if config is None else config.version,
            "owner": self.owner_address(),
            "epoch": self._lease.epoch,
            "owned": None if self.owner is None else self.owner.summary(),
        }

    # --- background -------------------------------------------------------------

    async def _follow_config(self) -> None:
        while True:
            try:
                await self._config.follow(CONFIG_WAIT_S)
                self._store_heard_at = self.clock.now()
            except errors.TableUnavailable as exc:
                LOG.debug("The configuration was not read: %s", exc)
                await asyncio.sleep(PAUSE_S)

    async def _stand(self) -> None:
        """Stand for the ownership, and act while it is held."""
        while True:
            if not self.draining:
                with contextlib.suppress(errors.TableUnavailable):
                    if await self._lease.acquire():
                        await self._act()
            await asyncio.sleep(options.LOOK_S)

    async def _act(self) -> None:
        LOG.info("This host is the owner, epoch %d.", self._lease.epoch)
        self.owner = self._make_owner()
        try:
            await self.owner.run()
        finally:
            self.owner = None
            LOG.info("This host is no longer the owner.")

    def _make_owner(self) -> Owner:
        cfg = self.adapter.settings
        desk = PermitDesk(
            own=self.adapter.permits,
            own_address=self.address,
            peer_client=self._peers,
            peers=self._peer_addresses,
            clock=self.clock,
        )
        return Owner(
            lease=self._lease,
            store=self.adapter.store,
            directory=self.adapter.directory(),
            client=self.adapter.workers,
            desk=desk,
            clock=self.clock,
            leases=options.worker_leases(cfg.bounds),
            status_s=cfg.status_s,
            peers=self._live_peers,
        )

    def _peer_addresses(self) -> tuple[str, ...]:
        since = self.clock.now() - options.PEER_SILENT_S
        return tuple(
            address for address, heard in self._live_peers.items() if heard > since
        )

    async def _exchange(self) -> None:
        """Tell the owner of this host, and learn the queues' lengths."""
        cfg = self.adapter.settings
        digest = Digest(
            name=cfg.name, address=self.address, data_centre=cfg.data_centre
        )
        while True:
            address = self.owner_address()
            if address and address != self.address and not self.draining:
                try:
                    reply = await self._peers.digest(address, digest)
                    if reply.owner:
                        self._door.digest = reply
                        self._door.digest_at = self.clock.now()
                except errors.PeerUnavailable as exc:
                    LOG.debug("The owner did not answer: %s", exc)
            await asyncio.sleep(options.DIGEST_S)
