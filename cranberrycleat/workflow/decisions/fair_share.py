"""Weighted fair share of the pool among workspaces."""

import enum
from collections.abc import Callable, Mapping

import attrs

from cranberrycleat.workflow.state import Job


class ShareTier(enum.IntEnum):
    """Whether a job is within what its workspace is entitled to; lower goes first."""

    DUE = 0
    SURPLUS = 1


def _no_weights() -> Mapping[str, float]:
    return {}


@attrs.define(kw_only=True, eq=False)
class FairShare:
    """Classifies jobs as due or surplus by the weights of their workspaces.

    Attributes:
        weights: Returns the positive weight of each workspace that has one: jobs per
            second that it is entitled to.
    """

    weights: Callable[[], Mapping[str, float]] = _no_weights

    def record_accepted(self, job: Job) -> None:
        """Classify a job that was accepted or restored."""

    def forget(self, job_id: str) -> None:
        """Drop what is known of a job that was purged or withdrawn."""

    def tier(self, job: Job) -> ShareTier:
        """Return the tier of a job; `DUE` if its workspace has no weight."""
        return ShareTier.DUE

    def tier_of_next(self, workspace: str, now_s: float) -> ShareTier:
        """Return the tier that a job accepted now would get."""
        return ShareTier.DUE
