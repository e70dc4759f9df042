"""Slot shares: how many of an endpoint's slots one gateway may use.

Gateways do not coordinate per request. Each divides an endpoint's slots by its own
list of live gateways; for the same list the shares add up to the slots, whichever
gateway computes them. While lists differ the sum may be larger; the endpoint then
refuses requests, and `SlotShare` adapts to the refusals. This module can be imported
on its own and needs neither clock nor table.
"""

import hashlib
from typing import Final

import attrs

MIN_ALLOWED: Final = 1
"""A gateway may always send one request, or it would never detect free slots."""


def slot_share(
    *, slots: int, members: tuple[str, ...], gateway_name: str, endpoint: str
) -> int:
    """Return this gateway's share of an endpoint's slots.

    Args:
        slots: The endpoint's slots.
        members: The names of the live gateways, including this one.
        gateway_name: This gateway's name.
        endpoint: The endpoint; it determines which gateways get the remaining slots.
    """
    whole, left = divmod(slots, len(members))
    ranked = sorted(members, key=lambda name: _rendezvous_hash(endpoint, name))
    extra = 1 if ranked.index(gateway_name) < left else 0
    return max(MIN_ALLOWED, whole + extra)


def _rendezvous_hash(endpoint: str, member: str) -> bytes:
    """Rendezvous hashing: each endpoint ranks the gateways in a different order."""
    return hashlib.blake2b(f"{endpoint} {member}".encode(), digest_size=8).digest()


@attrs.define(kw_only=True)
class SlotShare:
    """Limit on one gateway's requests in flight at one endpoint.

    Attributes:
        share: The gateway's share according to its list of gateways.
        allowed: The current limit, reduced by refusals.
        in_flight: Requests currently in flight.
    """

    share: int
    allowed: float = attrs.field(
        default=attrs.Factory(lambda self: float(self.share), takes_self=True)
    )
    in_flight: int = 0

    def resize(self, share: int) -> None:
        """Set a new share after the list of gateways changed."""
        if share != self.share:
            self.share = share
            self.allowed = float(share)

    def has_room(self) -> bool:
        """Return whether one more request may be sent."""
        return self.in_flight < int(self.allowed)

    def answered(self) -> None:
        """Record a response; `allowed` responses raise the limit by about one."""
        if self.allowed < self.share:
            self.allowed = min(float(self.share), self.allowed + 1 / self.allowed)

    def refused(self) -> None:
        """Record a refusal for lack of a slot, which lowers the limit by one."""
        self.allowed = max(float(MIN_ALLOWED), self.allowed - 1)
