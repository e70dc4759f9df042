"""Which hosts run the system: learned from digests, kept nowhere.

Each host tells the owner of itself; the owner tells all of all. What a host
knows is only used to spread calls and to tell a cut from an outage; nothing
that must be exclusive depends on it.
"""

import attrs

from cranberrycleat.workflow import options
from cranberrycleat.workflow.peering import Digest, PeerEntry


@attrs.define(kw_only=True, eq=False)
class Membership:
    """The other hosts that were heard of.

    Attributes:
        entries: Each host and when it was heard of, by address.
    """

    entries: dict[str, tuple[PeerEntry, float]] = attrs.field(factory=dict)

    def hear(self, digest: Digest, now: float) -> None:
        """Note a host's own word."""
        entry = PeerEntry(address=digest.address, data_centre=digest.data_centre)
        self.entries[digest.address] = (entry, now)

    def learn(self, peers: tuple[PeerEntry, ...], now: float) -> None:
        """Note what the owner tells of the others."""
        for peer in peers:
            self.entries[peer.address] = (peer, now)

    def live(self, now: float) -> tuple[PeerEntry, ...]:
        """Return the hosts that were heard of lately."""
        since = now - options.PEER_SILENT_S
        return tuple(peer for peer, heard in self.entries.values() if heard > since)

    def elsewhere(self, data_centre: str, own: str) -> tuple[str, ...]:
        """Return every known host of another data centre, the newest word first."""
        known = sorted(self.entries.values(), key=lambda each: -each[1])
        return tuple(
            peer.address
            for peer, _ in known
            if peer.data_centre != data_centre and peer.address != own
        )

    def silent_places(self, now: float) -> tuple[str, ...]:
        """Return the data centres all of whose known hosts fell silent of late."""
        heard: dict[str, float] = {}
        for peer, at in self.entries.values():
            place = peer.data_centre
            heard[place] = max(heard.get(place, float("-inf")), at)
        return tuple(
            place
            for place, at in heard.items()
            if options.PLACE_SILENT_S < now - at < options.PEER_SILENT_S
        )
