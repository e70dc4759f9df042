"""Measures for how long a host has known of no owner that acts.

A host counts an owner as acting if it has taken over and its lease is valid, here or,
by its heartbeat replies, elsewhere. The row of the owner says less: it may name a
process that does not act.
"""

from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat import events
from cranberrycleat.clock import Clock
from cranberrycleat.lease import OwnerRow

REPORT_AFTER_S: Final = 3.0
"""The platform counts accepted work as lost once nothing of it has run for 3 s."""


@attrs.define(kw_only=True, eq=False)
class OwnerAbsence:
    """The time without an acting owner, as known to one host.

    Attributes:
        clock: A monotonic clock.
        acts_here: Whether this process is an acting owner.
        owner_age_s: Returns how long ago an acting owner elsewhere answered.
        table_age_s: Returns how long ago the table last answered.
    """

    clock: Clock
    acts_here: Callable[[], bool]
    owner_age_s: Callable[[], float]
    table_age_s: Callable[[], float]
    _acted_at: float = attrs.field(init=False)
    _reported: events.OwnerMissing | None = None

    def __attrs_post_init__(self) -> None:
        self._acted_at = self.clock.now()

    def duration_s(self) -> float:
        """Return for how long no acting owner has been known; 0 with one here."""
        now = self.clock.now()
        if self.acts_here():
            self._acted_at = now
        return min(now - self._acted_at, self.owner_age_s())

    def check(self, row: OwnerRow | None, holder: str) -> events.OwnerMissing | None:
        """Return what to report of a long absence: once for each holder of the row.

        Args:
            row: The newest row of the owner that was read.
            holder: The identity of this process.
        """
        absent_s = self.duration_s()
        if absent_s < REPORT_AFTER_S:
            self._reported = None
            return None
        found = events.OwnerMissing(
            for_s=round(absent_s, 2),
            row_holder="" if row is None else row.holder,
            row_epoch=0 if row is None else row.epoch,
            row_is_own=row is not None and row.holder == holder,
            table_s=round(self.table_age_s(), 2),
        )
        last, self._reported = self._reported, found
        if last is not None and _holder(last) == _holder(found):
            return None
        return found


def _holder(event: events.OwnerMissing) -> tuple[str, int]:
    return event.row_holder, event.row_epoch
