"""Which host should be the owner where hosts are not alike.

Answers deployments of uneven hosts: the owner calls every worker several times
a second, and a host with half a core and a slow link cannot keep up with that,
however many others stand idle. A lesser host leaves a free ownership to better
ones for a moment, and an owner that hears of a much better host hands over.
Nothing here is exclusive: whoever wins the conditional row is the owner.
"""

from typing import Final

import attrs

from cranberrycleat.clock import Clock
from cranberrycleat.workflow import options
from cranberrycleat.workflow.membership import Membership
from cranberrycleat.workflow.ports import HostResources

LINK_MBPS_PER_CORE: Final = 25.0
"""An owner at 300 starts a second takes 0.4 of a core (measured, one run of the
grown haulbay-plu) and, at some 800 calls a second of 700 bytes, 5 Mbit/s (worked
out); twice that in a burst."""
MIN_STRENGTH_RATIO: Final = 1.5
"""A host counts as better from this ratio on: like hosts differ by less."""
LEASE_DEFERRAL_S: Final = 0.6
"""How long a lesser host leaves a free lease to better ones: two of their looks
at the row, and the write."""
TAKEOVER_READ_TIMEOUT_S: Final = 1.5
"""How long a lesser host may take to read the rows at a takeover. A large host reads
3,000 jobs in 0.2 s; one of 5 Mbit/s was seen to read for 2 s, its link choked by
callers, and nobody owned meanwhile. Where its renewals go through that does not end."""
MIN_OWNERSHIP_S: Final = 2.0
"""An owner settles for this long before it hands over to a better host."""
MIN_HANDOVER_INTERVAL_S: Final = 15.0
"""The pause between two hand-overs by one host: a better host that cannot win
must not cost a takeover every few seconds."""
PEER_MAX_AGE_S: Final = 1.0
"""Only a host that was heard of this lately is handed over to."""

MAX_FREQUENT_POLLERS: Final = 6
"""So many hosts look at the owner's row often; the others follow if all of them
are gone. Each look is a priced call: with 45 hosts all looks were 180 a second."""
SLOW_POLL_INTERVAL_S: Final = 1.0


def strength(room: HostResources) -> float:
    """Return how much owning a host can carry, in cores."""
    return min(room.processors, room.link_mbps / LINK_MBPS_PER_CORE)


@attrs.define(kw_only=True, eq=False)
class Candidacy:
    """Decides when one host stands for the ownership, and when it gives way.

    Attributes:
        own: This host's strength.
        members: The other hosts.
        clock: A steady clock.
    """

    own: float
    members: Membership
    clock: Clock
    _handed_over_at: float = float("-inf")

    def defer_s(self, last_owner_strength: float) -> float:
        """Return how long to leave a free lease to others.

        Args:
            last_owner: The strength of the host that owned before; after a loss
                of power it is all that is known of others.
        """
        return (
            LEASE_DEFERRAL_S if self._knows_stronger_host(last_owner_strength) else 0.0
        )

    def _knows_stronger_host(self, last_owner_strength: float) -> bool:
        """Tell whether there is, or was, a host that can carry much more."""
        now = self.clock.now()
        best = max(
            last_owner_strength, self.members.max_strength(now, self.members.expiry_s)
        )
        return best >= MIN_STRENGTH_RATIO * self.own

    def takeover_read_timeout_s(self, recorded_strength: float) -> float | None:
        """Return how long a takeover may take here; None: as long as it needs.

        Args:
            believed: The strength that this host's own takeover left in the row. In
                an outage hosts tell no strength, so that the row is what is known.
        """
        return (
            TAKEOVER_READ_TIMEOUT_S
            if self._knows_stronger_host(recorded_strength)
            else None
        )

    def poll_interval_s(self, address: str, *, owner_answered_recently: bool) -> float:
        """Return how often the host of an address looks at the owner's row.

        Args:
            address: This host's address.
            owner_heard: Whether an owner with authority was heard of lately;
                without one every host looks often, since the first that sees
                the table again is to own.
        """
        if not owner_answered_recently:
            return options.LEASE_POLL_INTERVAL_S
        live = self.members.live(self.clock.now())
        ahead = [
            peer
            for peer in live
            if (-peer.strength, peer.address) < (-self.own, address)
        ]
        return (
            options.LEASE_POLL_INTERVAL_S
            if len(ahead) < MAX_FREQUENT_POLLERS
            else SLOW_POLL_INTERVAL_S
        )

    def should_hand_over(self, owner_since: float) -> bool:
        """Tell whether this host, an owner since a time, should hand over."""
        now = self.clock.now()
        if now - owner_since < MIN_OWNERSHIP_S:
            return False
        if now - self._handed_over_at < MIN_HANDOVER_INTERVAL_S:
            return False
        return (
            self.members.max_strength(now, PEER_MAX_AGE_S)
            >= MIN_STRENGTH_RATIO * self.own
        )

    def note_handover(self) -> None:
        """Note that the ownership was handed over."""
        self._handed_over_at = self.clock.now()
