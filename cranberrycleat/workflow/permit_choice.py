"""Which workers the permit service is asked about for a step.

Answers fleets of hundreds of workers, where a step of three tasks needs a handful of
them. Asking about all 270 for each of 80 steps a second made 210 calls with 13,500
names, and a short step waited for the longest of its three calls (medians until it
began 0.066 to 0.042 s, in one process). On a quiet day of the users' fleet the bytes
between data centres went from 0.061 to 0.036 GB, with the nearest hosts asked first.

A step asks about as many workers as give it three seats for each task, going by the
share that the service allowed of late; it asks again when those that it may use are
full and others have room.

Of workers with room the fullest are asked about first: the order in which the planner
fills them, so that short tasks fill gaps and leave wide ones whole workers.

`planner` asks; `permit_queue` carries the calls out and tells `AllowedShare` how many
were allowed.
"""

import zlib
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

import attrs

from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.ports import MAX_WORKERS_PER_PERMIT_CALL
from cranberrycleat.workflow.spec import StepSpec

FitCount = Callable[[FleetWorker], int]
"""How many tasks of a step a worker would be given."""
REQUEST_FACTOR: Final = 3.0
"""Seats asked about for each seat that is needed: while a call is answered, others
take room, and the share that is allowed varies from step to step."""
WIDE_GANG_TASKS: Final = 8
"""A gang of more tasks asks about all workers at once: it begins only where all its
seats are free together, and each further call takes as long as the first decision,
0.6 s and more on some queues."""
INITIAL_SHARE: Final = 0.5
"""The share that is taken to be allowed before the service was ever asked."""
INITIAL_SAMPLES: Final = 20.0
"""So many workers does that guess count as."""
MAX_SAMPLES: Final = 2000.0
"""So many workers back the learned share reaches: half of them are forgotten then."""
MIN_SHARE: Final = 0.02
"""A service that allows nearly nobody is asked about fifty for one."""


@attrs.define(kw_only=True, eq=False)
class AllowedShare:
    """The share of workers that the service allows the steps of one queue."""

    _asked: float = INITIAL_SAMPLES
    _allowed: float = INITIAL_SAMPLES * INITIAL_SHARE

    def record(self, *, asked: int, allowed: int) -> None:
        """Learn from one answer."""
        self._asked += asked
        self._allowed += allowed
        if self._asked > MAX_SAMPLES:
            self._asked /= 2
            self._allowed /= 2

    def value(self) -> float:
        """Return the share, from `LEAST_SHARE` to 1."""
        return max(MIN_SHARE, self._allowed / self._asked)


def queries_all_workers(spec: StepSpec) -> bool:
    """Tell whether a step chooses among places, so that it has to know them all.

    Racks are chosen by what the whole of each may hold, a service makes room for
    itself where it may run, and a wide gang needs most of what is there.
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
    """Return the workers to ask about next; none where it would not help.

    Args:
        step_name: Where nobody has room, steps begin at different workers of the
            list, by their names.
        pending: How many of its tasks wait for a place.
        allowed: Workers that it may run on, by the service's word.
        unknown: Suitable workers that were not asked about, the best first.
        seats_now: Tells how many of the tasks a worker would be given now. What the
            planner would pass over must not count, or a step waits for a worker
            that it is not given and asks about no other.
        seats_ever: Tells how many it would be given if nothing else ran there.
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
            # Room is scarce: whoever has it next is likely to be among so many. One
            # call for few, again and again, made 560 calls a second of a backlog.
            additional = [each for each in remaining if fits_when_empty(each)]
            additional = additional[: MAX_WORKERS_PER_PERMIT_CALL - len(chosen)]
        chosen += additional
    return chosen


def _rotated(step_name: str, workers: Sequence[FleetWorker]) -> Iterator[FleetWorker]:
    """Return all of the workers, beginning at a place that the step's name gives."""
    start = zlib.crc32(step_name.encode()) % max(1, len(workers))
    yield from workers[start:]
    yield from workers[:start]


def _take_until(
    wanted_fits: float, workers: Iterable[FleetWorker], fits_on: FitCount
) -> Iterator[FleetWorker]:
    """Return the first workers with seats until there are enough seats."""
    for worker in workers:
        if wanted_fits <= 0:
            return
        count = fits_on(worker)
        if count > 0:
            yield worker
            wanted_fits -= count
