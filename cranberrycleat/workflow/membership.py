"""Which hosts run the system: learned from digests, kept nowhere.

Each host tells the owner of itself; the owner tells all of all. What a host
knows is only used to spread calls and to tell a cut from an outage; nothing
that must be exclusive depends on it.
"""

from typing import Final

import attrs

from cranberrycleat.workflow import options
from cranberrycleat.workflow.peering import Heartbeat, HeartbeatReply, PeerEntry

VERSION_MASK: Final = 0xFFFFFFFF
PEER_LIST_CACHE_S: Final = 0.1
"""How old the list of hosts may be that the owner tells: a third of a digest's gap."""
FRESH_HEARTBEAT_S: Final = 1.0
"""Digests come each 0.3 s and wait 0.3 s for an answer: one may be missed."""


@attrs.define(kw_only=True, eq=False)
class Membership:
    """The other hosts that were heard of.

    Attributes:
        entries: Each host and when it was heard of, by address.
        kept_s: How long a host counts after it was heard of last.
        learned: The version of an owner's list that was learned last.
    """

    entries: dict[str, tuple[PeerEntry, float]] = attrs.field(factory=dict)
    expiry_s: float = options.PEER_SILENT_S
    peer_list_version: str = ""
    _received_peers: tuple[PeerEntry, ...] = ()
    _cached_peers: tuple[PeerEntry, ...] = ()
    _cached_at: float = float("-inf")
    _cached_version: str = ""

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Note a host's own word."""
        entry = PeerEntry(
            address=heartbeat.address,
            data_centre=heartbeat.data_centre,
            strength=heartbeat.strength,
        )
        self.entries[heartbeat.address] = (entry, now)

    def apply_peer_list(self, reply: HeartbeatReply, now: float) -> None:
        """Note what the owner tells of the others.

        The list is sent once for each version; the same version again means
        that all of it still holds. With 45 hosts it is 4 KB, 150 times a second.
        """
        if reply.peers or reply.peers_version != self.peer_list_version:
            self.peer_list_version = reply.peers_version
            self._received_peers = reply.peers
        for peer in self._received_peers:
            self.entries[peer.address] = (peer, now)

    def peer_list(self, now: float, seen: str) -> tuple[str, tuple[PeerEntry, ...]]:
        """Return the live hosts' version, and them unless it was seen already.

        Every host asks each 0.3 s, and to list them takes as long as there are hosts:
        97 listed for each of 97 were 3.5% of what an owner did. So the list is made
        anew after `LISTED_S`.
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
        """Return the hosts that were heard of lately."""
        since = now - self.expiry_s
        return tuple(
            peer for peer, heartbeat_at in self.entries.values() if heartbeat_at > since
        )

    def permit_peers(self, now: float, data_centre: str) -> tuple[str, ...]:
        """Return the hosts to ask for help, those of a data centre first.

        Hosts behind a cut count as live for long; a call to one of them is lost with
        its time limit, which is all that a short step has. So only hosts whose newest
        word is fresh are asked, unless none is: an owner that has just taken over.
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
        """Return the greatest strength among hosts heard of within a time."""
        return max(
            (
                peer.strength
                for peer, heartbeat_at in self.entries.values()
                if now - heartbeat_at < within_s
            ),
            default=0.0,
        )

    def in_other_data_centres(self, data_centre: str, own: str) -> tuple[str, ...]:
        """Return every known host of another data centre, the newest word first."""
        known = sorted(self.entries.values(), key=lambda each: -each[1])
        return tuple(
            peer.address
            for peer, _ in known
            if peer.data_centre != data_centre and peer.address != own
        )

    def silent_data_centres(self, now: float) -> tuple[str, ...]:
        """Return the data centres all of whose known hosts fell silent of late."""
        last_heard: dict[str, float] = {}
        for peer, at in self.entries.values():
            name = peer.data_centre
            last_heard[name] = max(last_heard.get(name, float("-inf")), at)
        return tuple(
            name
            for name, at in last_heard.items()
            if options.DATA_CENTRE_SILENT_S < now - at < options.PEER_SILENT_S
        )
