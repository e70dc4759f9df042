"""Finds the job whose rows the table never takes, so that others are stored without it.

A transaction that the table rejects for good holds the rows of many jobs. Each
rejection halves the number of jobs in the next one, until a transaction of a single job
is rejected. That job is put aside for a while, and the number grows again.
"""

from typing import Final

import attrs

RETRY_S: Final = 2.0
"""How long a job is put aside. Its rows may have become smaller by then."""
MOST_JOBS: Final = 100
"""From this number on there is no limit: no transaction holds more jobs."""


@attrs.define(kw_only=True, eq=False)
class Rejections:
    """The jobs whose rows the table rejected.

    Attributes:
        most_jobs: Maximum number of jobs in the next transaction; None for no limit.
        put_aside: Until when a job is not stored, on the owner's clock, by ID.
    """

    most_jobs: int | None = None
    put_aside: dict[str, float] = attrs.field(factory=dict)

    def is_put_aside(self, job_id: str, now: float) -> bool:
        """Return whether a job is not to be stored now."""
        return now < self.put_aside.get(job_id, float("-inf"))

    def rejected(self, jobs: list[str], now: float) -> None:
        """Record that a transaction with the rows of these jobs was rejected."""
        self.most_jobs = max(1, len(jobs) // 2)
        if len(jobs) == 1:
            self.put_aside[jobs[0]] = now + RETRY_S

    def stored(self, jobs: list[str]) -> None:
        """Record that a transaction with the rows of these jobs was stored."""
        for job_id in jobs:
            self.put_aside.pop(job_id, None)
        if self.most_jobs is not None and jobs:
            self.most_jobs *= 2
            if self.most_jobs > MOST_JOBS:
                self.most_jobs = None
