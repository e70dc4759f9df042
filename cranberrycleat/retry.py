"""The retry budget: retries as a share of answers, so that they can't multiply.

Each whole answer earns a part of a retry; each retry spends a whole one. When
most requests fail, little is earned and nearly nothing is retried. The part is
importable on its own and needs neither clock nor table.
"""

from typing import Final

import attrs

MAX_SAVED_RETRIES: Final = 10.0
"""Retries that may be saved up, so that a quiet service may retry at all."""


@attrs.define(kw_only=True)
class RetryBudget:
    """A budget of retries.

    Attributes:
        share: Retries earned by each whole answer.
        saved: Retries that may be made now.
    """

    share: float
    saved: float = MAX_SAVED_RETRIES

    def deposit(self) -> None:
        """Note a whole answer."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + self.share)

    def withdraw(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
