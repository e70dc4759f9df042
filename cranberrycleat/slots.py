"""Slot shares: how many of an endpoint's slots one gateway may use.

Gateways don't ask each other before each request. They split an endpoint's
slots by the list of live gateways that each has: the shares of one list add up
to the slots, whoever computes them. Lists that differ for a moment may add up
to more; the endpoint then refuses, and `SlotShare` learns from the refusals.
The part is importable on its own and needs neither clock nor table.
"""

import hashlib
from typing import Final

import attrs

MIN_ALLOWED: Final = 1
"""A gateway may always try one request, or it would never learn of room."""


def slot_share(
    *, slots: int, members: tuple[str, ...], gateway_name: str, endpoint: str
) -> int:
    """Return this gateway's share of an endpoint's slots.

    Args:
        slots: The endpoint's slots.
        members: The names of the live gateways, this one among them.
        me: This gateway's name.
        endpoint: The endpoint, which decides who gets a slot that is left over.
    """
    whole, left = divmod(slots, len(members))
    ranked = sorted(members, key=lambda name: _rendezvous_hash(endpoint, name))
    extra = 1 if ranked.index(gateway_name) < left else 0
    return max(MIN_ALLOWED, whole + extra)


def _rendezvous_hash(endpoint: str, member: str) -> bytes:
    """Rendezvous hashing: each endpoint ranks the gateways in its own order."""
    return hashlib.blake2b(f"{endpoint} {member}".encode(), digest_size=8).digest()


@attrs.define(kw_only=True)
class SlotShare:
    """What one gateway may have in flight at one endpoint.

    Attributes:
        share: Its share by the list of gateways.
        allowed: What it allows itself, lowered by refusals.
        in_flight: What it has in flight.
    """

    share: int
    allowed: float = attrs.field(
        default=attrs.Factory(lambda self: float(self.share), takes_self=True)
    )
    in_flight: int = 0

    def resize(self, share: int) -> None:
        """Take a new share, after the list of gateways changed."""
        if share != self.share:
            self.share = share
            self.allowed = float(share)

    def has_room(self) -> bool:
        """Tell whether one more request may be sent."""
        return self.in_flight < int(self.allowed)

    def answered(self) -> None:
        """Note an answer: after as many as are allowed, one more is."""
        if self.allowed < self.share:
            self.allowed = min(float(self.share), self.allowed + 1 / self.allowed)

    def refused(self) -> None:
        """Note a refusal for want of a slot: allow one less."""
        self.allowed = max(float(MIN_ALLOWED), self.allowed - 1)
