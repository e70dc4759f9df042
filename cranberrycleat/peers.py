"""Gossip between processes: one task per peer, exchanging small digests.

A process asks each peer for what it lacks: a newer configuration, newer endpoint sets,
reports of leaving endpoints. Each exchange is one request with the sender's digest and
one reply with the peer's, so an unreachable peer costs only a refused connection. No
agreement relies on digests: they only carry versions assigned by the table.
"""

import asyncio
import logging
from typing import Final, Protocol

import attrs

from cranberrycleat import errors
from cranberrycleat.clock import Clock
from cranberrycleat.http_calls import call, make_client
from cranberrycleat.logs import part_logger
from cranberrycleat.messages import Digest, DigestReply

LOG: Final[logging.Logger] = part_logger("peers")
PEER_TIMEOUT_INTERVALS: Final = 5
"""Digest intervals without an answer after which a peer is considered gone."""


class Gossip(Protocol):
    """Interface of a process that takes part in gossip."""

    def digest(self) -> Digest:
        """Return this process's current digest."""

    def apply_reply(self, reply: DigestReply) -> None:
        """Apply a peer's reply."""


@attrs.define(kw_only=True, eq=False)
class Peer:
    """This process's information about one peer.

    Attributes:
        url: The peer's base URL.
        last: The peer's last digest, or None.
        last_heard_at: When it was received, on this process's clock.
    """

    url: str
    last: Digest | None = None
    last_heard_at: float = float("-inf")


@attrs.define(kw_only=True, eq=False)
class Peers:
    """All peers of one process."""

    urls: tuple[str, ...]
    gossip: Gossip
    clock: Clock
    digest_s: float
    known: dict[str, Peer] = attrs.field(factory=dict)

    async def gossip_with(self, url: str) -> None:
        """Exchange digests with one peer forever."""
        peer = self.known.setdefault(url, Peer(url=url))
        async with make_client(timeout_s=max(1.0, self.digest_s)) as client:
            while True:
                try:
                    reply = await call(
                        client,
                        "POST",
                        url + "/v1/digest",
                        DigestReply,
                        message=self.gossip.digest(),
                    )
                    peer.last = reply.digest
                    peer.last_heard_at = self.clock.now()
                    self.gossip.apply_reply(reply)
                except (errors.PeerUnavailable, errors.ProblemError) as exc:
                    LOG.debug("No answer from peer %s: %s", url, exc)
                await asyncio.sleep(self.digest_s)

    def record_digest(self, sender_digest: Digest) -> None:
        """Record the digest of a requesting peer, even if its address is unknown."""
        peer = self.known.setdefault(sender_digest.sender, Peer(url=""))
        peer.last = sender_digest
        peer.last_heard_at = self.clock.now()

    def live(self, role: str) -> tuple[Digest, ...]:
        """Return the last digests of all live peers with a role."""
        bound = self.clock.now() - PEER_TIMEOUT_INTERVALS * self.digest_s
        return tuple(
            peer.last
            for peer in self.known.values()
            if peer.last is not None
            and peer.last.role == role
            and peer.last_heard_at >= bound
        )
