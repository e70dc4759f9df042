"""Asks for placement permits, spread over the hosts.

The permit service answers one call at a time for each calling host; at base
load one host alone would keep it busy for 0.9 s of each second. So each call
goes out from the host that has least of them under way.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat.clock import Clock
from cranberrycleat.logs import part_logger
from cranberrycleat.workflow.peering import PeerClient, PermitRequest
from cranberrycleat.workflow.permits import StepPermits
from cranberrycleat.workflow.ports import (
    PERMITS_MOST_WORKERS,
    Permit,
    PermitClient,
    PermitUnavailable,
)

LOG: Final[logging.Logger] = part_logger("permits")
TRIES: Final = 3
SLACK_S: Final = 0.6
"""What an answer may take beyond the service's own times."""
BAD_PEER_S: Final = 2.0


@attrs.define(kw_only=True, eq=False)
class PermitDesk:
    """Asks the permit service, from this host or through another.

    Attributes:
        own: The service, as called from this host.
        own_address: This host's address among the peers.
        peer_client: Calls to other hosts.
        peers: Tells the addresses of the other live hosts.
        clock: The owner's clock.
    """

    own: PermitClient
    own_address: str
    peer_client: PeerClient
    peers: Callable[[], tuple[str, ...]]
    clock: Clock
    _load_s: dict[str, float] = attrs.field(factory=dict)
    _bad_until: dict[str, float] = attrs.field(factory=dict)

    async def ask(
        self, step: str, workers: tuple[str, ...], permits: StepPermits
    ) -> bool:
        """Ask about some workers and take in the answer.

        Returns:
            Whether an answer came.
        """
        permits.calls += 1
        permits.asked.update(workers)
        try:
            parts = [
                workers[at : at + PERMITS_MOST_WORKERS]
                for at in range(0, len(workers), PERMITS_MOST_WORKERS)
            ]
            done = await asyncio.gather(
                *(self._ask_part(step, part, permits) for part in parts)
            )
            return all(done)
        finally:
            permits.calls -= 1

    async def _ask_part(
        self, step: str, workers: tuple[str, ...], permits: StepPermits
    ) -> bool:
        for _ in range(TRIES):
            address = self._least_loaded()
            work_s = permits.answer_s(len(workers))
            waiting_s = self._load_s.get(address, 0.0)
            limit_s = waiting_s + 1.5 * work_s + SLACK_S
            self._load_s[address] = waiting_s + work_s
            try:
                found = await self._send(address, step, workers, limit_s)
            except PermitUnavailable as exc:
                LOG.info("No permits for %s by %s: %s", step, address, exc)
                self._bad_until[address] = self.clock.now() + BAD_PEER_S
                continue
            finally:
                self._load_s[address] -= work_s
            permits.take(workers, found, self.clock.now())
            return True
        permits.failed(workers)
        return False

    def _least_loaded(self) -> str:
        now = self.clock.now()
        addresses = {self.own_address, *self.peers()}
        good = [each for each in addresses if self._bad_until.get(each, 0.0) <= now]
        return min(
            good or [self.own_address],
            key=lambda each: (round(self._load_s.get(each, 0.0), 4), each),
        )

    async def _send(
        self, address: str, step: str, workers: tuple[str, ...], limit_s: float
    ) -> tuple[Permit, ...]:
        if address == self.own_address:
            return await self.own.ask(step=step, workers=workers, timeout_s=limit_s)
        req = PermitRequest(step=step, workers=workers, timeout_s=limit_s)
        return await self.peer_client.permits(address, req)
