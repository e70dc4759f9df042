"""Prefers stronger hosts as the owner in deployments with unequal hosts.

The owner calls every worker several times a second; a host with half a core and a slow
link cannot keep up with that, no matter how many other hosts are idle. A weaker host
therefore defers briefly to stronger ones when the lease is free, and an owner that
learns of a much stronger host hands over. This is only a preference, not a lock:
whichever host wins the conditional write of the owner's row is the owner.
"""

from typing import Final

import attrs

from cranberrycleat.clock import Clock
from cranberrycleat.workflow import options
from cranberrycleat.workflow.membership import Membership
from cranberrycleat.workflow.ports import HostResources

LINK_MBPS_PER_CORE: Final = 25.0
"""The link speed that an owner needs for each core it uses.

At 300 starts per second an owner used 0.4 of a core. By calculation, about 800 calls
per second of 700 bytes need 5 Mbit/s, and twice that in a burst.
"""
MIN_STRENGTH_RATIO: Final = 1.5
"""The strength ratio from which a host counts as stronger; equals differ by less."""
LEASE_DEFERRAL_S: Final = 0.6
"""How long a weaker host defers to stronger ones when the lease is free.

Covers two of their polls of the owner's row, and the write.
"""
TAKEOVER_READ_TIMEOUT_S: Final = 1.5
"""The time limit for a weaker host to read the rows at a takeover.

A large host reads 3,000 jobs in 0.2 s. A host with a 5 Mbit/s link, saturated by
callers, read for 2 s while nothing was scheduled. Without a limit this can go on
indefinitely, as long as its lease renewals succeed.
"""
MIN_OWNERSHIP_S: Final = 2.0
"""The minimum time an owner keeps the ownership before it hands over."""
MIN_HANDOVER_INTERVAL_S: Final = 15.0
"""The minimum time between two handovers by the same host.

Prevents a takeover every few seconds if the stronger host cannot acquire the lease.
"""
PEER_MAX_AGE_S: Final = 1.0
"""Only hosts that sent a heartbeat within this time are considered for a handover."""

MAX_FREQUENT_POLLERS: Final = 6
"""How many hosts poll the owner's row at the short interval.

The others poll slowly and take over only if all of these are gone. Every poll is a
billed call: with 45 hosts, polling at the short interval took 180 calls per second.
"""
SLOW_POLL_INTERVAL_S: Final = 1.0


def strength(room: HostResources) -> float:
    """Return how much work of the owner a host can sustain, in cores."""
    return min(room.processors, room.link_mbps / LINK_MBPS_PER_CORE)


@attrs.define(kw_only=True, eq=False)
class Candidacy:
    """Decides when a host competes for the ownership and when it hands over.

    Attributes:
        own: The strength of this host.
        members: The other hosts.
        clock: A monotonic clock.
    """

    own: float
    members: Membership
    clock: Clock
    _handed_over_at: float = float("-inf")

    def defer_s(self, last_owner_strength: float) -> float:
        """Return how long to defer to other hosts when the lease is free.

        Args:
            last_owner_strength: The strength of the previous owner; after a power
                failure nothing else is known about other hosts.
        """
        return (
            LEASE_DEFERRAL_S if self._knows_stronger_host(last_owner_strength) else 0.0
        )

    def _knows_stronger_host(self, last_owner_strength: float) -> bool:
        """Return whether a much stronger host is or was known."""
        now = self.clock.now()
        best = max(
            last_owner_strength, self.members.max_strength(now, self.members.expiry_s)
        )
        return best >= MIN_STRENGTH_RATIO * self.own

    def takeover_read_timeout_s(self, recorded_strength: float) -> float | None:
        """Return the time limit for reading the rows at a takeover; None for no limit.

        Args:
            recorded_strength: The strength that this host's own takeover wrote to the
                owner's row. Hosts do not report their strength during an outage, so the
                row is the only source.
        """
        return (
            TAKEOVER_READ_TIMEOUT_S
            if self._knows_stronger_host(recorded_strength)
            else None
        )

    def poll_interval_s(self, address: str, *, owner_answered_recently: bool) -> float:
        """Return the interval at which this host polls the owner's row.

        Args:
            address: This host's address.
            owner_answered_recently: Whether an owner with authority answered recently.
                Without one every host polls at the short interval, so that the first
                host to reach the table again becomes the owner.
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
        """Return whether this host, the owner since `owner_since`, should hand over."""
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
        """Record that the ownership was handed over."""
        self._handed_over_at = self.clock.now()
