"""Tracks when a host last reached the owner, the table and other data centres.

It holds only evidence of this host's own. It decides whether callers are better served
elsewhere, where the owner is, and whether an owner is presumed dead. Nothing here is
exclusive: a wrong conclusion costs time but breaks no invariant.
"""

from typing import Final

import attrs

from cranberrycleat.clock import Clock
from cranberrycleat.workflow.peering import NEVER_S, HeartbeatReply

OWNER_FRESH_S: Final = 0.9
"""One heartbeat may be missed: they are sent every 0.3 s and time out after 0.3 s."""
TABLE_FRESH_S: Final = 1.0
"""The owner's row is read every 0.25 s; a slowed table takes 0.5 s more."""
SUSPICION_HOLD_S: Final = 2.0
"""How long a suspicion lasts: several reads of the owner's row. A lease holder that was
suspected wrongly and wins again is not taken over once more."""
OWNER_CUT_OFF_S: Final = 0.35
"""An owner that gets no answer from the table for this long, while this host does, is
replaced at once. It reads its row 0.2 s after a write without an answer, and a lightly
loaded table answers a read in 0.01 s. Waiting for its lease to expire took 0.9 to
1.4 s instead, and short jobs have 0.5 s to spare."""
OWNER_CUT_OFF_ANSWER_TIMES: Final = 3.0
"""With a slowed table the owner's silence must last for this many of this host's own
answer times: two of its calls may be queued one behind the other."""
NEVER: Final = float("-inf")


@attrs.define(kw_only=True, eq=False)
class Reachability:
    """What a host has reached, and when.

    Attributes:
        clock: A monotonic clock.
        owner_hint: The newest information from a peer on who is the owner.
    """

    clock: Clock
    owner_hint: HeartbeatReply = HeartbeatReply(owner=False)
    _table_at: float = NEVER
    _table_answering_since: float | None = None
    _table_latency_s: float = 0.0
    _owner_at: float = NEVER
    _remote_at: float = NEVER
    _suspected: dict[str, float] = attrs.field(factory=dict)

    def record_table_answer(self) -> None:
        """Record that the table answered this host."""
        self._table_at = self.clock.now()
        if self._table_answering_since is None:
            self._table_answering_since = self._table_at

    def record_row_read(self, took_s: float) -> None:
        """Record the time that the table took to answer a read of the owner's row."""
        self._table_latency_s = took_s
        self.record_table_answer()

    def record_table_failure(self) -> None:
        """Record that the table gave this host no answer."""
        self._table_answering_since = None

    def owner_lost_table(self, silent_s: float) -> bool:
        """Return whether an owner cannot reach a table that answers this host.

        A table that was down for everyone answers some hosts first when it is back, so
        it must have answered this host for the whole time.

        Args:
            silent_s: For how long the table has not answered the owner.
        """
        if self._table_answering_since is None or self.table_age_s() > OWNER_CUT_OFF_S:
            # The table has just become slow or unreachable: this host's own read waits
            # as well.
            return False
        answered_s = self.clock.now() - self._table_answering_since
        least_s = max(
            OWNER_CUT_OFF_S, OWNER_CUT_OFF_ANSWER_TIMES * self._table_latency_s
        )
        return least_s < silent_s < answered_s

    def record_owner_answer(self) -> None:
        """Record that an owner with authority answered this host."""
        self._owner_at = self.clock.now()

    def record_remote_answer(self) -> None:
        """Record an answer from another data centre, or a refusal by the table."""
        self._remote_at = self.clock.now()

    def reaches_owner_or_table(self) -> bool:
        """Return whether the owner or the table was reached recently."""
        return self.owner_age_s() < OWNER_FRESH_S or self.table_age_s() < TABLE_FRESH_S

    def reaches_outside(self) -> bool:
        """Return whether anything beyond this data centre was reached recently."""
        return (
            self.reaches_owner_or_table()
            or self.clock.now() - self._remote_at < OWNER_FRESH_S
        )

    def owner_age_s(self) -> float:
        """Return how long ago an owner was last reached."""
        return min(NEVER_S, self.clock.now() - self._owner_at)

    def table_age_s(self) -> float:
        """Return how long ago the table was last reached."""
        return min(NEVER_S, self.clock.now() - self._table_at)

    def update_owner_hint(self, reply: HeartbeatReply) -> None:
        """Store a peer's hint at a later owner, for when the table cannot be read."""
        if reply.owner_at and reply.epoch > self.owner_hint.epoch:
            self.owner_hint = reply

    def suspect_owner(self, holder: str) -> None:
        """Record that an owner is presumed dead."""
        self._suspected = {holder: self.clock.now()}

    def clear_suspicion(self) -> None:
        """Drop all suspicion after the owner has answered."""
        self._suspected = {}

    def is_suspected(self, holder: str) -> bool:
        """Return whether an owner is presumed dead."""
        since = self._suspected.get(holder, NEVER)
        return self.clock.now() - since < SUSPICION_HOLD_S
