"""What a host has heard of owner, table and other places, and how long ago.

Only evidence of this host's own: it decides whether callers are better served
elsewhere, where the owner is, and whether an owner is taken to be dead. None of
it is exclusive; a wrong belief costs time, never an invariant.
"""

from typing import Final

import attrs

from cranberrycleat.clock import Clock
from cranberrycleat.workflow.peering import FAR_S, DigestReply

OWNER_FRESH_S: Final = 0.9
"""One digest may be missed: they come each 0.3 s and wait 0.3 s."""
STORE_FRESH_S: Final = 1.0
"""Looks at the owner's row come each 0.25 s; a slowed table takes 0.5 s more."""
SUSPECTED_S: Final = 2.0
"""How long a suspicion holds: several looks at the owner's row. A holder that
was suspected wrongly and wins again is not taken over once more."""
OWNER_ALONE_S: Final = 0.35
"""An owner whose table says nothing for so long, while this host's answers, is
followed at once. It looks at the row 0.2 s after a write without an answer, and a
calm table answers a look in 0.01 s. Waiting for its lease to run out took 0.9 to
1.4 s instead, and short work has 0.5 s to spare."""
ALONE_ANSWERS: Final = 3.0
"""In a slowed table an owner's silence must last so many of this host's own
answers: two of its calls may wait behind each other."""
NEVER: Final = float("-inf")


@attrs.define(kw_only=True, eq=False)
class Contact:
    """A host's evidence.

    Attributes:
        clock: A steady clock.
        hint: The newest word of a peer on who is the owner.
    """

    clock: Clock
    hint: DigestReply = DigestReply(owner=False)
    _table_at: float = NEVER
    _table_since: float | None = None
    _answer_s: float = 0.0
    _owner_at: float = NEVER
    _place_at: float = NEVER
    _suspected: dict[str, float] = attrs.field(factory=dict)

    def heard_table(self) -> None:
        """The table answered this host."""
        self._table_at = self.clock.now()
        if self._table_since is None:
            self._table_since = self._table_at

    def looked(self, took_s: float) -> None:
        """The table answered a look at the owner's row in some time."""
        self._answer_s = took_s
        self.heard_table()

    def lost_table(self) -> None:
        """The table gave this host no answer."""
        self._table_since = None

    def owner_is_alone(self, silent_s: float) -> bool:
        """Tell whether an owner has lost the table that answers this host.

        A table that was away for everyone answers some hosts first when it is
        back: it must have answered this host all the while.

        Args:
            silent_s: For how long the owner's table has said nothing to it.
        """
        if self._table_since is None or self.table_age_s() > OWNER_ALONE_S:
            # Just become slow, or gone: this host's own look waits as well.
            return False
        answered_s = self.clock.now() - self._table_since
        least_s = max(OWNER_ALONE_S, ALONE_ANSWERS * self._answer_s)
        return least_s < silent_s < answered_s

    def heard_owner(self) -> None:
        """An owner with authority answered this host."""
        self._owner_at = self.clock.now()

    def heard_place(self) -> None:
        """Another data centre, or the table by a refusal, answered this host."""
        self._place_at = self.clock.now()

    def served(self) -> bool:
        """Tell whether owner or table were heard of lately."""
        return self.owner_age_s() < OWNER_FRESH_S or self.table_age_s() < STORE_FRESH_S

    def connected(self) -> bool:
        """Tell whether anything beyond this data centre was heard of lately."""
        return self.served() or self.clock.now() - self._place_at < OWNER_FRESH_S

    def owner_age_s(self) -> float:
        """Return how long ago an owner was heard of."""
        return min(FAR_S, self.clock.now() - self._owner_at)

    def table_age_s(self) -> float:
        """Return how long ago the table was heard of."""
        return min(FAR_S, self.clock.now() - self._table_at)

    def take_hint(self, reply: DigestReply) -> None:
        """Learn of a later owner from a peer, where the table cannot be read."""
        if reply.owner_at and reply.epoch > self.hint.epoch:
            self.hint = reply

    def suspect(self, holder: str) -> None:
        """Note that an owner is taken to be dead."""
        self._suspected = {holder: self.clock.now()}

    def trust(self) -> None:
        """The owner answered: whatever was suspected of it is over."""
        self._suspected = {}

    def suspects(self, holder: str) -> bool:
        """Tell whether an owner is taken to be dead."""
        since = self._suspected.get(holder, NEVER)
        return self.clock.now() - since < SUSPECTED_S
