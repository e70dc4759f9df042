"""Counts the jobs that were lost or late, by time window, cause and queue.

Uses `explain`, which analyses a single job; `cli_explain` prints the rows.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Final

import attrs

from cranberrycleat.explain import JobTimeline, cause, lost, queue_of

WINDOW_S: Final = 2.0
"""Long enough to contain some tens of jobs, short enough to isolate a single fault."""
WINDOW: Final = "window"
CAUSE: Final = "cause"
QUEUE: Final = "queue"
KEYS: Final = (WINDOW, CAUSE, QUEUE)


@attrs.frozen(kw_only=True)
class LossRow:
    """How many jobs were lost or late for one combination of keys.

    Attributes:
        jobs: The number of jobs.
        values: The values of the keys, in the order in which the keys were given.
    """

    jobs: int
    values: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Losses:
    """A summary of the jobs that were lost or late.

    Attributes:
        rows: The counts, ordered by time if the first key is the window, otherwise
            largest first.
        lost: The number of jobs that were lost or late.
        jobs: The number of jobs that appear in the logs.
        unexplained: The number of lost or late jobs that no line explains.
    """

    rows: tuple[LossRow, ...]
    lost: int
    jobs: int
    unexplained: int


def summarize(timelines: Iterable[JobTimeline], by: tuple[str, ...]) -> Losses:
    """Count the jobs that were lost or late.

    Args:
        timelines: The timelines of all jobs.
        by: The keys to count by, out of `KEYS`.
    """
    counts: Counter[tuple[str, ...]] = Counter()
    jobs = unexplained = 0
    for timeline in timelines:
        jobs += 1
        if not lost(timeline):
            continue
        found = cause(timeline)
        unexplained += found.entry is None
        values = {
            WINDOW: _window_start(timeline),
            CAUSE: found.text.partition(" (")[0],
            QUEUE: queue_of(timeline),
        }
        counts[tuple(values[key] for key in by)] += 1
    rows = [LossRow(jobs=number, values=key) for key, number in counts.most_common()]
    if by[:1] == (WINDOW,):
        rows.sort(key=lambda row: float(row.values[0]))
    return Losses(
        rows=tuple(rows),
        lost=sum(counts.values()),
        jobs=jobs,
        unexplained=unexplained,
    )


def _window_start(timeline: JobTimeline) -> str:
    """Return the start of the time window of a job's first entry, in seconds."""
    return f"{timeline.job_entries[0].at // WINDOW_S * WINDOW_S:.0f}"
