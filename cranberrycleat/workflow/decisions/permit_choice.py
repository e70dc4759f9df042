"""Selects the workers for which a step requests permits.

In a fleet of hundreds of workers, a step of three tasks needs only a handful of them.
Requesting permits for all 270 workers for each of 80 steps per second took 210 calls
with 13,500 worker names, and a short step waited for the longest of its three calls.
Selecting workers cut the median time to start from 0.066 to 0.042 s (in one process).
At low load it cut the traffic between data centres from 0.061 to 0.036 GB, with the
nearest hosts called first.

A step queries as many workers as are expected to provide three task places for each of
its tasks, based on the share that the service allowed recently. It queries more when
the allowed workers are full and others have free resources.

Among workers with free resources the fullest are queried first, in the order in which
the planner fills them. Short tasks then fill gaps and leave whole workers for wide
steps.

`planner` creates the queries; `permit_queue` makes the calls, and `StepPermits` records
in `AllowedShare` how many workers were allowed.
"""

import zlib
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

import attrs

from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.ports import MAX_WORKERS_PER_PERMIT_CALL
from cranberrycleat.workflow.spec import StepSpec

FitCount = Callable[[FleetWorker], int]
"""Returns how many tasks of a step fit on a worker."""
REQUEST_FACTOR: Final = 3.0
"""Task places to query for each place that is needed: other steps take resources
while a call is in progress, and the allowed share varies from step to step."""
WIDE_GANG_TASKS: Final = 8
"""A gang of more tasks queries all workers at once. It starts only when all its places
are free at the same time, and each further call takes as long as a first decision,
0.6 s and more on some queues."""
INITIAL_SHARE: Final = 0.5
"""Allowed share assumed before the first answer of the service."""
INITIAL_SAMPLES: Final = 20.0
"""Weight of the initial share, in workers."""
MAX_SAMPLES: Final = 2000.0
"""Number of workers over which the share is averaged; beyond it, all weights are
halved."""
MIN_SHARE: Final = 0.02
"""Lower bound of the share: at most 50 workers are queried for each one needed."""


@attrs.define(kw_only=True, eq=False)
class AllowedShare:
    """Running estimate of the share of workers allowed to the steps of one queue."""

    _asked: float = INITIAL_SAMPLES
    _allowed: float = INITIAL_SAMPLES * INITIAL_SHARE

    def record(self, *, asked: int, allowed: int) -> None:
        """Update the estimate with one answer."""
        self._asked += asked
        self._allowed += allowed
        if self._asked > MAX_SAMPLES:
            self._asked /= 2
            self._allowed /= 2

    def value(self) -> float:
        """Return the share, from `MIN_SHARE` to 1."""
        return max(MIN_SHARE, self._allowed / self._asked)


def queries_all_workers(spec: StepSpec) -> bool:
    """Return whether a step needs the permits of all workers to choose a placement.

    Racks are chosen by the total capacity of their allowed workers, a service may
    preempt other work wherever it is allowed, and a wide gang needs most of the pool.
    """
    wide = spec.gang and spec.count > WIDE_GANG_TASKS
    return wide or spec.service or spec.same_rack or bool(spec.data_rack)


def select_workers(
    *,
    step_name: str,
    pending: int,
    allowed: Iterable[FleetWorker],
    unknown: Sequence[FleetWorker],
    fits_now: FitCount,
    fits_when_empty: FitCount,
    share: float,
) -> list[FleetWorker]:
    """Return the workers to query next; none if a query would not help.

    Args:
        step_name: The step's name. On a full pool it determines where in the list the
            selection starts, so that steps query different workers.
        pending: How many of its tasks wait for placement.
        allowed: Workers that the permit service has allowed.
        unknown: Eligible workers that were not queried yet, the best first.
        fits_now: Returns how many of the tasks a worker would be assigned now. It must
            not count workers that the planner would skip; otherwise the step waits for
            a worker that it is never assigned and queries no other.
        fits_when_empty: Returns how many an otherwise empty worker would be assigned.
        share: The share of workers that is likely to be allowed.
    """
    total_now = total_when_empty = 0
    for worker in allowed:
        total_now += fits_now(worker)
        total_when_empty += fits_when_empty(worker)
    wanted_fits_now = REQUEST_FACTOR * (pending - total_now) / share
    chosen = list(_take_until(wanted_fits_now, unknown, fits_now))
    expected_when_empty = total_when_empty + share * sum(map(fits_when_empty, chosen))
    if not chosen and total_when_empty >= REQUEST_FACTOR * pending:
        return []
    capacity_is_scarce = sum(map(fits_now, chosen)) < wanted_fits_now
    if capacity_is_scarce or expected_when_empty < REQUEST_FACTOR * pending:
        names = {worker.name for worker in chosen}
        remaining = [w for w in _rotated(step_name, unknown) if w.name not in names]
        wanted_fits_when_empty = (
            REQUEST_FACTOR * pending - expected_when_empty
        ) / share
        additional = list(
            _take_until(wanted_fits_when_empty, remaining, fits_when_empty)
        )
        if (
            capacity_is_scarce
            and len(chosen) + len(additional) < MAX_WORKERS_PER_PERMIT_CALL
        ):
            # With scarce resources, fill one call: the worker that has free resources
            # next is likely to be among this many. Repeated calls for a few workers
            # each made 560 calls per second for a backlog.
            additional = [each for each in remaining if fits_when_empty(each)]
            additional = additional[: MAX_WORKERS_PER_PERMIT_CALL - len(chosen)]
        chosen += additional
    return chosen


def _rotated(step_name: str, workers: Sequence[FleetWorker]) -> Iterator[FleetWorker]:
    """Yield all workers, starting at an offset derived from the step's name."""
    start = zlib.crc32(step_name.encode()) % max(1, len(workers))
    yield from workers[start:]
    yield from workers[:start]


def _take_until(
    wanted_fits: float, workers: Iterable[FleetWorker], fits_on: FitCount
) -> Iterator[FleetWorker]:
    """Yield the first workers on which tasks fit until they hold the wanted number."""
    for worker in workers:
        if wanted_fits <= 0:
            return
        count = fits_on(worker)
        if count > 0:
            yield worker
            wanted_fits -= count
