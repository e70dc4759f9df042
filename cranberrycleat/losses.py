"""Sums up what was lost: how many jobs, by when they came, why, and where.

Rests on `explain`, which judges one job; `cli_explain` prints the rows.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Final

import attrs

from cranberrycleat.explain import JobTimeline, cause, lost, queue_of

WINDOW_S: Final = 2.0
"""Long enough for some tens of jobs, short enough to show one fault alone."""
WINDOW: Final = "window"
CAUSE: Final = "cause"
QUEUE: Final = "queue"
KEYS: Final = (WINDOW, CAUSE, QUEUE)


@attrs.frozen(kw_only=True)
class LossRow:
    """How many jobs were lost or late for one combination of keys.

    Attributes:
        jobs: How many.
        values: The keys' values, in the order of the keys asked for.
    """

    jobs: int
    values: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Losses:
    """Every job that was lost or late.

    Attributes:
        rows: Counts; by window in the order of time, else the largest first.
        lost: How many jobs were lost or late.
        jobs: How many jobs any line is about.
        unexplained: How many of the lost no line explains.
    """

    rows: tuple[LossRow, ...]
    lost: int
    jobs: int
    unexplained: int


def summarize(timelines: Iterable[JobTimeline], by: tuple[str, ...]) -> Losses:
    """Count the jobs that were lost or late.

    Args:
        every: The jobs' stories.
        by: Which of `KEYS` to count by.
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
    """Return the second at which the window of a job's first line begins."""
    return f"{timeline.job_entries[0].at // WINDOW_S * WINDOW_S:.0f}"
