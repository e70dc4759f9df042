"""Which hosts run the system: learned from digests, kept nowhere.

Each host tells the owner of itself; the owner tells all of all. What a host
knows is only used to spread calls and to tell a cut from an outage; nothing
that must be exclusive depends on it.
"""

from typing import Final

import attrs

from cranberrycleat.workflow import options
from cranberrycleat.workflow.peering import Digest, DigestReply, PeerEntry

VERSION_BITS: Final = 0xFFFFFFFF
LISTED_S: Final = 0.1
"""How old the list of hosts may be that the owner tells: a third of a digest's gap."""
FRESH_S: Final = 1.0
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
    kept_s: float = options.PEER_SILENT_S
    learned: str = ""
    _learned_from: tuple[PeerEntry, ...] = ()
    _listed: tuple[PeerEntry, ...] = ()
    _listed_at: float = float("-inf")
    _version: str = ""

    def hear(self, digest: Digest, now: float) -> None:
        """Note a host's own word."""
        entry = PeerEntry(
            address=digest.address,
            data_centre=digest.data_centre,
            strength=digest.strength,
        )
        self.entries[digest.address] = (entry, now)

    def learn(self, reply: DigestReply, now: float) -> None:
        """Note what the owner tells of the others.

        The list is sent once for each version; the same version again means
        that all of it still holds. With 45 hosts it is 4 KB, 150 times a second.
        """
        if reply.peers or reply.peers_version != self.learned:
            self.learned = reply.peers_version
            self._learned_from = reply.peers
        for peer in self._learned_from:
            self.entries[peer.address] = (peer, now)

    def listing(self, now: float, seen: str) -> tuple[str, tuple[PeerEntry, ...]]:
        """Return the live hosts' version, and them unless it was seen already.

        Every host asks each 0.3 s, and to list them takes as long as there are hosts:
        97 listed for each of 97 were 3.5% of what an owner did. So the list is made
        anew after `LISTED_S`.
        """
        if now - self._listed_at >= LISTED_S:
            self._listed = tuple(sorted(self.live(now), key=lambda peer: peer.address))
            self._version = f"{hash(self._listed) & VERSION_BITS:x}"
            self._listed_at = now
        return self._version, () if self._version == seen else self._listed

    def live(self, now: float) -> tuple[PeerEntry, ...]:
        """Return the hosts that were heard of lately."""
        since = now - self.kept_s
        return tuple(peer for peer, heard in self.entries.values() if heard > since)

    def helpers(self, now: float, data_centre: str) -> tuple[str, ...]:
        """Return the hosts to ask for help, those of a data centre first.

        Hosts behind a cut count as live for long; a call to one of them is lost with
        its time limit, which is all that a short step has. So only hosts whose newest
        word is fresh are asked, unless none is: an owner that has just taken over.
        """
        known = self.live(now)
        fresh = tuple(
            peer for peer in known if now - self.entries[peer.address][1] < FRESH_S
        )
        near_first = sorted(
            fresh or known, key=lambda peer: peer.data_centre != data_centre
        )
        return tuple(peer.address for peer in near_first)

    def strongest(self, now: float, within_s: float) -> float:
        """Return the greatest strength among hosts heard of within a time."""
        return max(
            (
                peer.strength
                for peer, heard in self.entries.values()
                if now - heard < within_s
            ),
            default=0.0,
        )

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
