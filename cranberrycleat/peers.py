"""Peers: one task for each, exchanging small digests.

A process asks each peer in turn for what it lacks: a newer configuration, newer
endpoint sets, signs of leaving endpoints. Each exchange is one request with the
asker's digest and one answer with the peer's, so a peer that cannot be reached
costs nothing but a refused connection. Nothing agreed rests on digests: they
only carry versions that the table has given out.
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
"""Digest intervals without an answer before a peer counts as gone."""


class Gossip(Protocol):
    """What a process offers to its peers."""

    def digest(self) -> Digest:
        """Return what this process tells its peers now."""

    def apply_reply(self, reply: DigestReply) -> None:
        """Take in what a peer answered."""


@attrs.define(kw_only=True, eq=False)
class Peer:
    """One peer as this process knows it.

    Attributes:
        url: Its base URL.
        last: Its last digest, or None.
        heard_at: When that came, on this process's clock.
    """

    url: str
    last: Digest | None = None
    last_heard_at: float = float("-inf")


@attrs.define(kw_only=True, eq=False)
class Peers:
    """Every peer of one process."""

    urls: tuple[str, ...]
    gossip: Gossip
    clock: Clock
    digest_s: float
    known: dict[str, Peer] = attrs.field(factory=dict)

    async def gossip_with(self, url: str) -> None:
        """Exchange digests with one peer for ever."""
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
                    LOG.debug("peer %s gave no answer: %s", url, exc)
                await asyncio.sleep(self.digest_s)

    def record_digest(self, sender_digest: Digest) -> None:
        """Note a peer that asked, whether or not its address is known here."""
        peer = self.known.setdefault(sender_digest.sender, Peer(url=""))
        peer.last = sender_digest
        peer.last_heard_at = self.clock.now()

    def live(self, role: str) -> tuple[Digest, ...]:
        """Return the last digests of peers of a role that were heard lately."""
        bound = self.clock.now() - PEER_TIMEOUT_INTERVALS * self.digest_s
        return tuple(
            peer.last
            for peer in self.known.values()
            if peer.last is not None
            and peer.last.role == role
            and peer.last_heard_at >= bound
        )
