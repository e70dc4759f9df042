"""The retry budget: retries as a share of answers, so that they can't multiply.

Each whole answer earns a part of a retry; each retry spends a whole one. When
most requests fail, little is earned and nearly nothing is retried. The part is
importable on its own and needs neither clock nor table.
"""

from typing import Final

import attrs

BURST: Final = 10.0
"""Retries that may be saved up, so that a quiet service may retry at all."""


@attrs.define(kw_only=True)
class RetryBudget:
    """A budget of retries.

    Attributes:
        share: Retries earned by each whole answer.
        saved: Retries that may be made now.
    """

    share: float
    saved: float = BURST

    def earn(self) -> None:
        """Note a whole answer."""
        self.saved = min(BURST, self.saved + self.share)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
