"""A rolling record of admission decisions, by which no size of job starves.

The larger a job, the longer its objective, but also the longer it waits for room. The
record shows whether the largest jobs of a queue are rejected out of proportion.
"""

from typing import Final

import attrs

from cranberrycleat.workflow.decisions.load_forecast import JobDemand

MAX_JOBS: Final = 200
"""Jobs kept for each queue: the largest tenth is then 20 jobs."""
KEPT_S: Final = 60.0
"""How long a job is kept: waves of demand last tens of seconds."""
MIN_JOBS: Final = 20
"""With fewer jobs the largest tenth is at most one job, which shows no proportion."""
LARGEST_FRACTION: Final = 0.1
MAX_PROPORTION: Final = 2.0
"""The largest tenth of a kind is served at least half as often as its kind, and
rejected at most twice as often (docs/design/hard-load.md)."""


@attrs.frozen(kw_only=True)
class _Decision:
    """The latest decision on one job."""

    work: float
    rejected: bool
    at: float


@attrs.define(kw_only=True, eq=False)
class AdmissionRecord:
    """The latest decision on each recent job, by queue, oldest first.

    A caller that returns is counted once, so that its retries do not make its size
    appear to be rejected more often.
    """

    _by_queue: dict[str, dict[str, _Decision]] = attrs.field(factory=dict)

    def add(
        self, demand: JobDemand, work: float, *, rejected: bool, now: float
    ) -> None:
        """Record a decision; surplus does not count for the proportion of sizes.

        Args:
            demand: The job.
            work: Its estimated processor time.
            rejected: Whether it was rejected.
            now: The owner's clock.
        """
        name = f"{demand.queue.name} surplus" if demand.surplus else demand.queue.name
        jobs = self._by_queue.setdefault(name, {})
        jobs.pop(demand.job_id, None)
        jobs[demand.job_id] = _Decision(work=work, rejected=rejected, at=now)
        if len(jobs) > MAX_JOBS:
            del jobs[next(iter(jobs))]

    def is_size_starved(self, queue: str, work: float, now: float) -> bool:
        """Return whether due jobs of a size are rejected out of proportion."""
        recent = self._recent(queue, now)
        if len(recent) < MIN_JOBS:
            return False
        by_work = sorted(each.work for each in recent)
        least_work = by_work[-round(LARGEST_FRACTION * len(recent))]
        if work < least_work:
            return False
        largest = [each for each in recent if each.work >= least_work]
        of_largest, of_all = _rejected_share(largest), _rejected_share(recent)
        return (
            of_largest > MAX_PROPORTION * of_all
            or MAX_PROPORTION * (1 - of_largest) < 1 - of_all
        )

    def rejected_share(self, now: float) -> float:
        """Return the share of all recent jobs whose latest decision is a rejection."""
        queues = list(self._by_queue)
        return _rejected_share([d for name in queues for d in self._recent(name, now)])

    def _recent(self, queue: str, now: float) -> list[_Decision]:
        """Return the decisions of a queue; drops those that are too old."""
        jobs = self._by_queue.get(queue, {})
        while jobs:
            job_id, oldest = next(iter(jobs.items()))
            if now - oldest.at <= KEPT_S:
                break
            del jobs[job_id]
        return list(jobs.values())


def _rejected_share(decisions: list[_Decision]) -> float:
    return sum(each.rejected for each in decisions) / max(1, len(decisions))
