"""What a host has heard of owner, table and other places, and how long ago.

Only evidence of this host's own: it decides whether callers are better served
elsewhere, where the owner is, and whether an owner is taken to be dead. None of
it is exclusive; a wrong belief costs time, never an invariant.
"""

from typing import Final

import attrs

from cranberrycleat.clock import Clock
from cranberrycleat.workflow.peering import DigestReply

OWNER_FRESH_S: Final = 0.9
"""One digest may be missed: they come each 0.3 s and wait 0.3 s."""
STORE_FRESH_S: Final = 1.0
"""Looks at the owner's row come each 0.25 s; a slowed table takes 0.5 s more."""
SUSPECTED_S: Final = 2.0
"""How long a suspicion holds: several looks at the owner's row. A holder that
was suspected wrongly and wins again is not taken over once more."""
NEVER: Final = float("-inf")
FAR_S: Final = 3600.0
"""What is told for 'never'."""


@attrs.define(kw_only=True, eq=False)
class Touch:
    """A host's evidence.

    Attributes:
        clock: A steady clock.
        hint: The newest word of a peer on who is the owner.
    """

    clock: Clock
    hint: DigestReply = DigestReply(owner=False)
    _table_at: float = NEVER
    _owner_at: float = NEVER
    _place_at: float = NEVER
    _suspected: dict[str, float] = attrs.field(factory=dict)

    def heard_table(self) -> None:
        """The table answered this host."""
        self._table_at = self.clock.now()

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
