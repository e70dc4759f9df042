"""Keeps a host's configuration up to date and detects when it is late.

The node runs the watch and asks it whether callers may be served. The follower
(see `directory`) reads the configuration; `Reachability` records whether the table
answered.
"""

import asyncio
from typing import Final

import attrs

from cranberrycleat import errors, events
from cranberrycleat.clock import Clock
from cranberrycleat.logs import emit
from cranberrycleat.workflow.directory import ConfigFollower
from cranberrycleat.workflow.peering import NEVER_S
from cranberrycleat.workflow.reachability import TABLE_FRESH_S, Reachability

LONG_POLL_S: Final = 1.0
"""Long-poll time of a request for a newer configuration. A stalled connection is
detected within this plus the client's timeout."""
RETRY_INTERVAL_S: Final = 0.2
LATE_MARGIN_S: Final = 0.5
"""Allowance for learning of a newer configuration: its first reader needs 0.2 s for
1 MB on a fast link, and a heartbeat then reports it within 0.3 s, but the bound
counts from the configuration's acknowledgement."""


@attrs.define(kw_only=True, eq=False)
class ConfigWatch:
    """Follows the configuration.

    Attributes:
        follower: Reads the configuration and holds the newest.
        reachability: Records whether the table answered.
        clock: A monotonic clock that also counts time while suspended.
        bound_s: Time after its acknowledgement within which a configuration must be
            active on every host.
        first_read_done: Set once the first read has completed.
        failed_reads: Number of consecutive failed reads.
        confirmed_at: Time as of which this host's configuration is known to be the
            newest: when the request was sent that returned nothing newer.
    """

    follower: ConfigFollower
    reachability: Reachability
    clock: Clock
    bound_s: float
    first_read_done: asyncio.Event = attrs.field(factory=asyncio.Event)
    failed_reads: int = 0
    confirmed_at: float = float("-inf")

    async def run(self) -> None:
        """Follow the configuration forever."""
        while True:
            started_at = self.clock.now()
            try:
                await self.follower.follow(0.0 if self.failed_reads else LONG_POLL_S)
                self.failed_reads = 0
                self._confirm(started_at)
                self.first_read_done.set()
                self.reachability.record_table_answer()
            except errors.TableUnavailable as exc:
                if isinstance(exc, errors.TableRefused):
                    # A refusal shows that this host is not isolated; other hosts
                    # are refused as well.
                    self.reachability.record_remote_answer()
                self._log_failed_read(started_at, exc)
                await asyncio.sleep(RETRY_INTERVAL_S)

    def _log_failed_read(self, started_at: float, exc: errors.TableUnavailable) -> None:
        """Log a failed read, with exponentially decreasing frequency."""
        self.failed_reads += 1
        if self.failed_reads & (self.failed_reads - 1):
            return
        emit(
            events.ConfigUnread(
                held=self.follower.version,
                in_a_row=self.failed_reads,
                after_s=round(self.clock.now() - started_at, 3),
                reason=str(exc),
            )
        )

    def note_version(self, version: int, *, asked_at: float, age_s: float) -> None:
        """Record the version that another host holds.

        Args:
            version: The version; 0 for none.
            asked_at: When that host was asked, on this host's clock.
            age_s: How long before its answer the version was known to be the newest.
        """
        self.follower.note_version(version, self.clock.now())
        if version and version == self.follower.version:
            self._confirm(asked_at - age_s)

    def _confirm(self, as_of: float) -> None:
        if self.follower.readable:
            self.confirmed_at = max(self.confirmed_at, as_of)

    def age_s(self) -> float:
        """Return how long ago the configuration was known to be the newest version."""
        return min(NEVER_S, self.clock.now() - self.confirmed_at)

    def late_s(self) -> float:
        """Return for how long a version newer than the active one has been known."""
        return self.follower.late_s(self.clock.now())

    def is_late(self) -> bool:
        """Return whether a newer configuration must be active by now.

        Others have it, and this host reaches the table but could not read it in
        time. The configuration held here may contain removed queues and lack new
        ones, so any answer based on it may be wrong. Without access to the table
        the host keeps serving, since the owner that handles its callers' requests
        has the newest configuration.
        """
        limit_s = self.bound_s - LATE_MARGIN_S
        return (
            self.late_s() > limit_s and self.reachability.table_age_s() < TABLE_FRESH_S
        )
