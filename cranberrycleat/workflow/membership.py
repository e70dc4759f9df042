"""Cluster membership, learned from heartbeats and not persisted.

Each host sends heartbeats to the owner, which returns the list of all hosts. The
list is only used to spread calls and to tell a partition from an outage; nothing
that requires mutual exclusion depends on it.
"""

from typing import Final

import attrs

from cranberrycleat.workflow import options
from cranberrycleat.workflow.peering import Heartbeat, HeartbeatReply, PeerEntry

VERSION_MASK: Final = 0xFFFFFFFF
PEER_LIST_CACHE_S: Final = 0.1
"""Maximum age of the owner's cached peer list: a third of the heartbeat interval."""
FRESH_HEARTBEAT_S: Final = 1.0
"""Heartbeats are sent every 0.3 s with a timeout of 0.3 s: one may be missed."""


@attrs.define(kw_only=True, eq=False)
class Membership:
    """The known hosts.

    Attributes:
        entries: Each host and when its last heartbeat came, by address.
        expiry_s: How long a host counts as live after its last heartbeat.
        peer_list_version: The version of the owner's peer list received last.
    """

    entries: dict[str, tuple[PeerEntry, float]] = attrs.field(factory=dict)
    expiry_s: float = options.PEER_SILENT_S
    peer_list_version: str = ""
    _received_peers: tuple[PeerEntry, ...] = ()
    _cached_peers: tuple[PeerEntry, ...] = ()
    _cached_at: float = float("-inf")
    _cached_version: str = ""

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a host's heartbeat."""
        entry = PeerEntry(
            address=heartbeat.address,
            data_centre=heartbeat.data_centre,
            strength=heartbeat.strength,
        )
        self.entries[heartbeat.address] = (entry, now)

    def apply_peer_list(self, reply: HeartbeatReply, now: float) -> None:
        """Apply the owner's peer list.

        The list is sent once per version; the same version again means that the
        whole list is still valid. With 45 hosts the list is 4 KB, and without this
        it would be sent 150 times a second.
        """
        if reply.peers or reply.peers_version != self.peer_list_version:
            self.peer_list_version = reply.peers_version
            self._received_peers = reply.peers
        for peer in self._received_peers:
            self.entries[peer.address] = (peer, now)

    def peer_list(self, now: float, seen: str) -> tuple[str, tuple[PeerEntry, ...]]:
        """Return the version of the live peer list, and the list unless already seen.

        Every host asks every 0.3 s, and building the list takes time proportional to
        the number of hosts: with 97 hosts it took 3.5% of the owner's time. So the
        list is cached for `PEER_LIST_CACHE_S`.
        """
        if now - self._cached_at >= PEER_LIST_CACHE_S:
            self._cached_peers = tuple(
                sorted(self.live(now), key=lambda peer: peer.address)
            )
            self._cached_version = f"{hash(self._cached_peers) & VERSION_MASK:x}"
            self._cached_at = now
        return self._cached_version, (
            () if self._cached_version == seen else self._cached_peers
        )

    def live(self, now: float) -> tuple[PeerEntry, ...]:
        """Return the hosts that sent a heartbeat within `expiry_s`."""
        since = now - self.expiry_s
        return tuple(
            peer for peer, heartbeat_at in self.entries.values() if heartbeat_at > since
        )

    def permit_peers(self, now: float, data_centre: str) -> tuple[str, ...]:
        """Return the hosts to request permits through, local data centre first.

        Hosts behind a partition count as live for a long time, and a call to one of
        them costs its whole timeout, which is all the time a short step has. So only
        hosts with a fresh heartbeat are used, unless there are none, as for an owner
        that has just taken over.
        """
        known = self.live(now)
        fresh = tuple(
            peer
            for peer in known
            if now - self.entries[peer.address][1] < FRESH_HEARTBEAT_S
        )
        local_first = sorted(
            fresh or known, key=lambda peer: peer.data_centre != data_centre
        )
        return tuple(peer.address for peer in local_first)

    def max_strength(self, now: float, within_s: float) -> float:
        """Return the greatest strength of the hosts with a heartbeat within a time."""
        return max(
            (
                peer.strength
                for peer, heartbeat_at in self.entries.values()
                if now - heartbeat_at < within_s
            ),
            default=0.0,
        )

    def in_other_data_centres(self, data_centre: str, own: str) -> tuple[str, ...]:
        """Return all known hosts of other data centres, most recent heartbeat first."""
        known = sorted(self.entries.values(), key=lambda each: -each[1])
        return tuple(
            peer.address
            for peer, _ in known
            if peer.data_centre != data_centre and peer.address != own
        )

    def silent_data_centres(self, now: float) -> tuple[str, ...]:
        """Return the data centres all of whose known hosts fell silent recently."""
        last_heard: dict[str, float] = {}
        for peer, at in self.entries.values():
            name = peer.data_centre
            last_heard[name] = max(last_heard.get(name, float("-inf")), at)
        return tuple(
            name
            for name, at in last_heard.items()
            if options.DATA_CENTRE_SILENT_S < now - at < options.PEER_SILENT_S
        )
