"""Adds the fair-share tier to an order that does not know it.

With this order, fair share can be enabled without `DelayCostOrder`, which ranks surplus
by itself.
"""

from typing import Final

import attrs

from cranberrycleat.workflow.decisions.fair_share import FairShare, ShareTier
from cranberrycleat.workflow.decisions.ordering import (
    EXPIRED_BAND,
    SERVICE_BAND,
    STARVATION_BOUND_S,
    Rank,
    StepOrder,
    Urgency,
)
from cranberrycleat.workflow.state import StepRun

SURPLUS_OFFSET: Final = EXPIRED_BAND
"""Moves the two bands of surplus that has value behind the two bands of due work that
has value."""
WORTHLESS_POSITION: Final = EXPIRED_BAND + SURPLUS_OFFSET
"""Where expired work goes: behind all work that has value, also surplus."""


@attrs.frozen(kw_only=True)
class TieredRank(Rank):
    """A rank in which all due work precedes surplus.

    Attributes:
        tier: The tier of the step's job.
    """

    tier: ShareTier

    def key(self) -> Urgency:
        """Return the sort key."""
        _, priority, cost, name = super().key()
        return (self._position(), priority, cost, name)

    def _position(self) -> int:
        if self.band == EXPIRED_BAND:
            return WORTHLESS_POSITION
        if self.tier is ShareTier.DUE or self.band == SERVICE_BAND:
            return self.band
        return self.band + SURPLUS_OFFSET


@attrs.frozen(kw_only=True)
class TieredOrder:
    """Ranks due work by another order, and surplus behind it by the same one.

    Attributes:
        order: Ranks the steps of one tier; it uses the bands of `DeadlineOrder`.
        fair_share: The tiers of jobs.
    """

    order: StepOrder
    fair_share: FairShare

    def rank(self, step: StepRun, now_s: float) -> Rank:
        """Return a step's rank at a Unix time in seconds."""
        return self.rank_in_tier(step, self.fair_share.tier(step.job), now_s)

    def rank_in_tier(self, step: StepRun, tier: ShareTier, now_s: float) -> TieredRank:
        """Return the rank of a step if its job has a tier.

        A step that missed its latest start by `STARVATION_BOUND_S` ranks as due, so
        that due work cannot hold surplus back for longer than that.
        """
        found = self.order.rank(step, now_s)
        overdue = found.slack_s < -STARVATION_BOUND_S
        return TieredRank(
            **attrs.asdict(found, recurse=False),
            tier=ShareTier.DUE if overdue else tier,
        )
