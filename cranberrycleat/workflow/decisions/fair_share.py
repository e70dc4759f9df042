"""Weighted fair share of the pool among workspaces.

Each workspace with a weight has a token bucket that is refilled with `weight` jobs per
second. A job that finds a token when it is accepted is due; any other is surplus, which
ranks behind the due work of every workspace. The result depends only on the weights and
on the times at which jobs were accepted, so that a new owner derives it from the stored
jobs.
"""

import enum
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from cranberrycleat.workflow.state import Job

BUCKET_DEPTH_S: Final = 1.0
"""How many seconds of its weight a workspace may send at once. The entitlement is
stated in jobs per second, so a second is the shortest time over which it is defined."""
MIN_BUCKET_DEPTH: Final = 1.0
"""Without a whole token, a workspace with a weight below 1 would have no due job."""
TOKEN_TOLERANCE: Final = 1e-3
"""The shortfall at which a token still counts as whole. Times since 1970 have a
resolution of 0.24 us, so jobs sent exactly at the rate of a weight would otherwise be
surplus by a rounding error."""


class ShareTier(enum.IntEnum):
    """Whether a job is within what its workspace is entitled to; lower goes first."""

    DUE = 0
    SURPLUS = 1


def _no_weights() -> Mapping[str, float]:
    return {}


def bucket_depth(weight: float) -> float:
    """Return how many jobs a workspace of a weight may send at once."""
    return max(MIN_BUCKET_DEPTH, weight * BUCKET_DEPTH_S)


@attrs.define(kw_only=True, eq=False)
class _TokenBucket:
    """The tokens that a workspace had at a time.

    Attributes:
        tokens: How many jobs it could send at once.
        as_of_s: The Unix time in seconds for which that holds.
    """

    tokens: float
    as_of_s: float

    def tokens_at(self, now_s: float, weight: float) -> float:
        """Return the tokens at a Unix time; an earlier time adds none."""
        refilled = self.tokens + max(0.0, now_s - self.as_of_s) * weight
        return min(bucket_depth(weight), refilled)

    def take(self, now_s: float, weight: float) -> bool:
        """Take a token at a Unix time; return whether there was one."""
        self.tokens = self.tokens_at(now_s, weight)
        self.as_of_s = max(self.as_of_s, now_s)
        if not is_whole(self.tokens):
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True


def is_whole(tokens: float) -> bool:
    """Return whether a number of tokens is enough for a job."""
    return tokens >= 1.0 - TOKEN_TOLERANCE


@attrs.define(kw_only=True, eq=False)
class FairShare:
    """Classifies jobs as due or surplus by the weights of their workspaces.

    A tier is assigned once. A change of weights applies to jobs accepted afterwards.
    Memory is bounded by the workspaces with a weight and the surplus jobs that the
    owner holds.

    Attributes:
        weights: Returns the positive weight of each workspace that has one: jobs per
            second that it is entitled to.
    """

    weights: Callable[[], Mapping[str, float]] = _no_weights
    _buckets: dict[str, _TokenBucket] = attrs.field(factory=dict)
    _surplus: set[str] = attrs.field(factory=set)

    def record_accepted(self, job: Job) -> ShareTier | None:
        """Classify a job that was accepted; None if its workspace has no weight."""
        weight = self.weights().get(job.workspace)
        if weight is None:
            return None
        if self._bucket(job, weight).take(job.accepted_s, weight):
            return ShareTier.DUE
        self._surplus.add(job.job_id)
        return ShareTier.SURPLUS

    def record_restored(self, jobs: Iterable[Job]) -> None:
        """Classify the jobs that earlier owners stored, given in any order.

        Ended jobs count as well. Earlier versions did not store when those were
        accepted; such jobs take no token.
        """
        known = (job for job in jobs if job.accepted_s)
        for job in sorted(known, key=lambda each: (each.accepted_s, each.job_id)):
            self.record_accepted(job)

    def _bucket(self, job: Job, weight: float) -> _TokenBucket:
        bucket = self._buckets.get(job.workspace)
        if bucket is None:
            self._drop_unweighted()
            bucket = _TokenBucket(tokens=bucket_depth(weight), as_of_s=job.accepted_s)
            self._buckets[job.workspace] = bucket
        return bucket

    def _drop_unweighted(self) -> None:
        """Drop the buckets of workspaces that no longer have a weight."""
        weights = self.weights()
        for name in [each for each in self._buckets if each not in weights]:
            del self._buckets[name]

    def withdraw(self, job: Job) -> None:
        """Drop a job that was never stored and return its token.

        A new owner does not know the job, and its caller sends it again.
        """
        bucket = self._buckets.get(job.workspace)
        if bucket is not None and self.tier(job) is ShareTier.DUE:
            # The next refill limits the tokens to the depth of the bucket.
            bucket.tokens += 1.0
        self.forget(job.job_id)

    def forget(self, job_id: str) -> None:
        """Drop the tier of a job that was purged."""
        self._surplus.discard(job_id)

    def tier(self, job: Job) -> ShareTier:
        """Return the tier of a job; `DUE` if its workspace had no weight."""
        return ShareTier.SURPLUS if job.job_id in self._surplus else ShareTier.DUE

    def tier_of_next(self, workspace: str, now_s: float) -> ShareTier:
        """Return the tier of a job that is accepted now; takes no token."""
        weight = self.weights().get(workspace)
        bucket = self._buckets.get(workspace)
        if weight is None or bucket is None:
            return ShareTier.DUE
        whole = is_whole(bucket.tokens_at(now_s, weight))
        return ShareTier.DUE if whole else ShareTier.SURPLUS
