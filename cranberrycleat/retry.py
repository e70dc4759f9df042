"""Retry budget: limits retries to a share of complete responses.

Each complete response deposits a fraction of a retry; each retry withdraws a whole
one. When most requests fail, little is deposited and almost nothing is retried, so
retries cannot multiply the load. This module can be imported on its own and needs
neither clock nor table.
"""

from typing import Final

import attrs

MAX_SAVED_RETRIES: Final = 10.0
"""Maximum balance; also the initial one, so that low-traffic services can retry."""


@attrs.define(kw_only=True)
class RetryBudget:
    """A budget of retries.

    Attributes:
        share: Retries deposited per complete response.
        saved: The balance: retries that may be made now.
    """

    share: float
    saved: float = MAX_SAVED_RETRIES

    def deposit(self) -> None:
        """Deposit `share` for a complete response."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + self.share)

    def withdraw(self) -> bool:
        """Withdraw one retry; return whether the balance allowed it."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
