"""Chooses between workers of different speeds for one step.

A step goes to the slowest class of workers on which it is expected to end in time, so
that fast workers stay free for steps that need them. If none is fast enough, it goes
to the fastest.
"""

import collections
import math
from collections.abc import Mapping, Sequence
from typing import Final

import attrs

from cranberrycleat import events
from cranberrycleat.logs import emit
from cranberrycleat.workflow.decisions.ordering import (
    EXPIRED_BAND,
    rank as deadline_rank,
)
from cranberrycleat.workflow.decisions.runtime_estimates import RuntimeEstimates
from cranberrycleat.workflow.decisions.speed_model import CLASS_RATIO, SpeedModel
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.state import StepRun

START_DELAY_S: Final = 0.15
"""Time that a placed task needs beside its run time: storing and ordering the start
take 0.03 s, and the report of its end some tenths of a second at most."""
MIN_ERROR: Final = 1.2
"""Least factor by which a task may run longer than expected: tasks of one step differ
by 0.15 to 0.3, and a worker's speed by up to 0.12 from the middle of its class."""
TOO_SLOW: Final = 1000
"""Rank offset of workers that are too slow; larger than any class."""
ANY_CLASS: Final = -20
"""Slower than any class (a speed of 0.01): every worker is fast enough."""
NO_CLASS: Final = 20
"""Faster than any class (a speed of 87): no worker is fast enough."""


@attrs.frozen(kw_only=True)
class SpeedNeed:
    """How fast a worker a step needs.

    Attributes:
        least_class: The slowest class on which it is expected to end in time.
        expected_s: Its expected run time at speed 1, including the usual error.
        left_s: Time left for it until it would delay its job beyond the objective.
    """

    least_class: int
    expected_s: float
    left_s: float

    def rank_of(self, speed_class: int) -> int:
        """Return the preference for a class; lower is better."""
        if speed_class >= self.least_class:
            return speed_class
        return TOO_SLOW - speed_class


def speed_of_class(speed_class: int) -> float:
    """Return the speed in the middle of a class."""
    return float(CLASS_RATIO**speed_class)


def speed_need(
    step: StepRun, estimates: RuntimeEstimates | None, restore_s: float, now_s: float
) -> SpeedNeed:
    """Return how fast a worker a step needs.

    Services and steps whose result has no value any more need no speed.

    Args:
        step: The step.
        estimates: Corrects the caller's estimate of its run time.
        restore_s: How long a start that resumes from a checkpoint first needs.
        now_s: Unix time in seconds.
    """
    expected_s, error = step.spec.estimate_s, MIN_ERROR
    if estimates is not None:
        queue = step.job.queue.name
        expected_s = estimates.expected_s(queue, step.spec)
        error = max(MIN_ERROR, estimates.error_of(queue))
    urgency = deadline_rank(step, now_s)
    left_s = urgency.slack_s + step.spec.estimate_s
    resume_s = restore_s if any(task.saved for task in step.tasks) else 0.0
    usable_s = left_s - START_DELAY_S - resume_s
    if step.spec.service or urgency.band == EXPIRED_BAND or expected_s <= 0:
        least = ANY_CLASS
    elif usable_s <= 0:
        least = NO_CLASS
    else:
        speed = expected_s * error / usable_s
        exact = math.log(speed) / math.log(CLASS_RATIO)
        least = max(ANY_CLASS, min(NO_CLASS, math.ceil(exact)))
    return SpeedNeed(least_class=least, expected_s=expected_s * error, left_s=left_s)


def slowest_class_for_gang(
    need: SpeedNeed, fits_by_class: dict[int, int], count: int
) -> int | None:
    """Return the class of the slowest worker to use for a gang; None if none fits.

    Every member runs at the speed of the slowest worker, so faster ones beside it are
    wasted. Of the choices that end in time the least wasteful is taken, the slowest of
    equals; without one in time, the choice that ends first.

    Args:
        need: How fast a worker the gang needs.
        fits_by_class: How many members fit on the workers of each class.
        count: The number of members.
    """
    classes = sorted(fits_by_class)
    possible = [
        slowest
        for slowest in classes
        if sum(fits_by_class[each] for each in classes if each >= slowest) >= count
    ]
    in_time = [each for each in possible if each >= need.least_class]
    if not in_time:
        return max(possible, default=None)
    return min(in_time, key=lambda slowest: _waste(slowest, fits_by_class, count))


def _waste(slowest: int, fits_by_class: dict[int, int], count: int) -> int:
    """Return by how many classes the members' workers exceed the slowest, in total."""
    waste = 0
    for each in sorted(fits_by_class):
        if each >= slowest and count > 0:
            members = min(count, fits_by_class[each])
            waste += members * (each - slowest)
            count -= members
    return waste


@attrs.define(kw_only=True, eq=False)
class SpeedChoice:
    """The choice between workers of different speeds in one scheduling round.

    Speed classes and needs are kept for the round, which asks for them hundreds of
    times for each step.

    Attributes:
        speeds: The speeds of workers; None if they are not learned.
        estimates: Corrects the callers' estimates of run times.
        restore_s: How long a start that resumes from a checkpoint first needs.
        now_s: Unix time of the round, in seconds.
    """

    speeds: SpeedModel | None = None
    estimates: RuntimeEstimates | None = None
    restore_s: float = 0.0
    now_s: float = 0.0
    _classes: dict[str, dict[FleetWorker, int] | None] = attrs.field(factory=dict)
    _needs: dict[StepRun, SpeedNeed] = attrs.field(factory=dict)

    def is_uneven(self, step: StepRun) -> bool:
        """Return whether the speeds of the workers of a step's pool differ."""
        return self._classes_of(step) is not None

    def rank(self, step: StepRun, worker: FleetWorker) -> int:
        """Return the preference for a worker; always 0 where speeds are equal."""
        found = self.class_of(step, worker)
        return 0 if found is None else self._need_of(step).rank_of(found)

    def class_of(self, step: StepRun, worker: FleetWorker) -> int | None:
        """Return a worker's speed class; None where speeds are equal or unknown."""
        classes = self._classes_of(step)
        if classes is None or self.speeds is None:
            return None
        found = classes.get(worker)
        if found is None:
            found = classes[worker] = self.speeds.speed_class(worker)
        return found

    def _classes_of(self, step: StepRun) -> dict[FleetWorker, int] | None:
        """Return the classes looked up so far, or None where speeds are equal."""
        pool = step.job.queue.pool
        if pool not in self._classes:
            uneven = self.speeds is not None and self.speeds.is_uneven(pool)
            self._classes[pool] = {} if uneven else None
        return self._classes[pool]

    def gang_classes(
        self, step: StepRun, fits: Mapping[FleetWorker, int], count: int
    ) -> dict[FleetWorker, int]:
        """Return the workers of a gang's best assignment, with their classes.

        Args:
            step: The gang's step.
            fits: How many members each worker would be assigned now.
            count: The number of members.

        Returns:
            Workers that hold all members; none if they do not fit.
        """
        classes = {each: self.class_of(step, each) or 0 for each in fits}
        fits_by_class: collections.Counter[int] = collections.Counter()
        for worker, number in fits.items():
            fits_by_class[classes[worker]] += number
        slowest = slowest_class_for_gang(self._need_of(step), fits_by_class, count)
        if slowest is None:
            return {}
        return {each: found for each, found in classes.items() if found >= slowest}

    def log_placement(
        self, step: StepRun, workers: Sequence[FleetWorker], now: float
    ) -> None:
        """Log the speeds of the workers on which tasks of a step were placed."""
        classes = [self.class_of(step, each) for each in workers]
        known = [each for each in classes if each is not None]
        if not known or self.speeds is None:
            return
        need = self._need_of(step)
        slowest = min(known)
        emit(
            events.StepPlacedBySpeed(
                step=step.name,
                queue=step.job.queue.name,
                tasks=len(workers),
                needed_speed=round(speed_of_class(need.least_class), 3),
                slowest=round(speed_of_class(slowest), 3),
                fastest=round(speed_of_class(max(known)), 3),
                expected_s=round(need.expected_s / speed_of_class(slowest), 3),
                left_s=round(need.left_s, 3),
                in_time=slowest >= need.least_class,
                evidence_age_s=round(self.speeds.age_s(step.job.queue.pool, now), 3),
            )
        )

    def _need_of(self, step: StepRun) -> SpeedNeed:
        need = self._needs.get(step)
        if need is None:
            need = speed_need(step, self.estimates, self.restore_s, self.now_s)
            self._needs[step] = need
        return need
