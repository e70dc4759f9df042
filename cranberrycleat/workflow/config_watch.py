"""Keeps a host's configuration the newest, and knows when it is not.

The node runs it and asks it whether callers may be answered; the follower (see
`directory`) reads, and `Contact` is told whether the table answered.
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
"""How long the table holds a question for a newer configuration open; a
connection that went silent shows within this and the client's time limit."""
RETRY_INTERVAL_S: Final = 0.2
LATE_MARGIN_S: Final = 0.5
"""A newer configuration is heard of with a digest (0.3 s) after its first reader
took it in (0.2 s for 1 MB on a fast link), and the bound counts from before that."""


@attrs.define(kw_only=True, eq=False)
class ConfigWatch:
    """Follows the configuration.

    Attributes:
        follower: Reads it, and holds the newest.
        contact: Told whether the table answered.
        clock: Counts suspended time.
        bound_s: Within which time of its acknowledgement a configuration is in
            force everywhere.
        first: Set once a reading has come to its end.
        unread: Readings in a row that came to nothing.
        confirmed_at: As of when the configuration held here was known to be the
            newest: when the question was sent that brought nothing newer.
    """

    follower: ConfigFollower
    reachability: Reachability
    clock: Clock
    bound_s: float
    first_read_done: asyncio.Event = attrs.field(factory=asyncio.Event)
    failed_reads: int = 0
    confirmed_at: float = float("-inf")

    async def run(self) -> None:
        """Follow for ever."""
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
                    # This host is not cut off, and others fare no better.
                    self.reachability.record_remote_answer()
                self._log_failed_read(started_at, exc)
                await asyncio.sleep(RETRY_INTERVAL_S)

    def _log_failed_read(self, started_at: float, exc: errors.TableUnavailable) -> None:
        """Log a reading without result; ever rarer where none has one."""
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
        """Note the version that another host holds.

        Args:
            version: The version; 0: none.
            asked_at: When that host was asked, on this host's clock.
            age_s: How long before its answer that was known to be the newest.
        """
        self.follower.note_version(version, self.clock.now())
        if version and version == self.follower.version:
            self._confirm(asked_at - age_s)

    def _confirm(self, as_of: float) -> None:
        if self.follower.readable:
            self.confirmed_at = max(self.confirmed_at, as_of)

    def age_s(self) -> float:
        """Return how long ago the configuration was known to be the newest."""
        return min(NEVER_S, self.clock.now() - self.confirmed_at)

    def late_s(self) -> float:
        """Return for how long a newer version than the one in force is known of."""
        return self.follower.late_s(self.clock.now())

    def is_late(self) -> bool:
        """Tell whether a newer configuration must be in force by now.

        Others have it, and this host hears the table and could not read it in
        time. What it holds may have queues that are gone and lack new ones, so
        that every answer by it may be wrong. Without the table it goes on: the
        owner that serves its callers has the newest.
        """
        limit_s = self.bound_s - LATE_MARGIN_S
        return (
            self.late_s() > limit_s and self.reachability.table_age_s() < TABLE_FRESH_S
        )
