"""What a host has heard of owner, table and other places, and how long ago.

Only evidence of this host's own: it decides whether callers are better served
elsewhere, where the owner is, and whether an owner is taken to be dead. None of
it is exclusive; a wrong belief costs time, never an invariant.
"""

from typing import Final

import attrs

from cranberrycleat.clock import Clock
from cranberrycleat.workflow.peering import NEVER_S, HeartbeatReply

OWNER_FRESH_S: Final = 0.9
"""One digest may be missed: they come each 0.3 s and wait 0.3 s."""
TABLE_FRESH_S: Final = 1.0
"""Looks at the owner's row come each 0.25 s; a slowed table takes 0.5 s more."""
SUSPICION_HOLD_S: Final = 2.0
"""How long a suspicion holds: several looks at the owner's row. A holder that
was suspected wrongly and wins again is not taken over once more."""
OWNER_CUT_OFF_S: Final = 0.35
"""An owner whose table says nothing for so long, while this host's answers, is
followed at once. It looks at the row 0.2 s after a write without an answer, and a
calm table answers a look in 0.01 s. Waiting for its lease to run out took 0.9 to
1.4 s instead, and short work has 0.5 s to spare."""
OWNER_CUT_OFF_ANSWER_TIMES: Final = 3.0
"""In a slowed table an owner's silence must last so many of this host's own
answers: two of its calls may wait behind each other."""
NEVER: Final = float("-inf")


@attrs.define(kw_only=True, eq=False)
class Reachability:
    """A host's evidence.

    Attributes:
        clock: A steady clock.
        hint: The newest word of a peer on who is the owner.
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
        """The table answered this host."""
        self._table_at = self.clock.now()
        if self._table_answering_since is None:
            self._table_answering_since = self._table_at

    def record_row_read(self, took_s: float) -> None:
        """The table answered a look at the owner's row in some time."""
        self._table_latency_s = took_s
        self.record_table_answer()

    def record_table_failure(self) -> None:
        """The table gave this host no answer."""
        self._table_answering_since = None

    def owner_lost_table(self, silent_s: float) -> bool:
        """Tell whether an owner has lost the table that answers this host.

        A table that was away for everyone answers some hosts first when it is
        back: it must have answered this host all the while.

        Args:
            silent_s: For how long the owner's table has said nothing to it.
        """
        if self._table_answering_since is None or self.table_age_s() > OWNER_CUT_OFF_S:
            # Just become slow, or gone: this host's own look waits as well.
            return False
        answered_s = self.clock.now() - self._table_answering_since
        least_s = max(
            OWNER_CUT_OFF_S, OWNER_CUT_OFF_ANSWER_TIMES * self._table_latency_s
        )
        return least_s < silent_s < answered_s

    def record_owner_answer(self) -> None:
        """An owner with authority answered this host."""
        self._owner_at = self.clock.now()

    def record_remote_answer(self) -> None:
        """Another data centre, or the table by a refusal, answered this host."""
        self._remote_at = self.clock.now()

    def reaches_owner_or_table(self) -> bool:
        """Tell whether owner or table were heard of lately."""
        return self.owner_age_s() < OWNER_FRESH_S or self.table_age_s() < TABLE_FRESH_S

    def reaches_outside(self) -> bool:
        """Tell whether anything beyond this data centre was heard of lately."""
        return (
            self.reaches_owner_or_table()
            or self.clock.now() - self._remote_at < OWNER_FRESH_S
        )

    def owner_age_s(self) -> float:
        """Return how long ago an owner was heard of."""
        return min(NEVER_S, self.clock.now() - self._owner_at)

    def table_age_s(self) -> float:
        """Return how long ago the table was heard of."""
        return min(NEVER_S, self.clock.now() - self._table_at)

    def update_owner_hint(self, reply: HeartbeatReply) -> None:
        """Learn of a later owner from a peer, where the table cannot be read."""
        if reply.owner_at and reply.epoch > self.owner_hint.epoch:
            self.owner_hint = reply

    def suspect_owner(self, holder: str) -> None:
        """Note that an owner is taken to be dead."""
        self._suspected = {holder: self.clock.now()}

    def clear_suspicion(self) -> None:
        """The owner answered: whatever was suspected of it is over."""
        self._suspected = {}

    def is_suspected(self, holder: str) -> bool:
        """Tell whether an owner is taken to be dead."""
        since = self._suspected.get(holder, NEVER)
        return self.clock.now() - since < SUSPICION_HOLD_S
