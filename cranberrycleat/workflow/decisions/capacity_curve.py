"""Free resources of a pool over time, and the backlog that competes for them.

A fluid model: resources are one number (the amount of the pool's scarcest resource),
and tasks are divisible. A bisection answers when a demand can begin, whatever the
length of the backlog.
"""

import bisect
import itertools
import operator
from collections.abc import Callable, Iterable
from operator import attrgetter
from typing import Final

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.decisions.ordering import Urgency

Resource = Callable[[Amounts], int]
"""Returns the amount of one resource."""
RESOURCES: Final[tuple[Resource, ...]] = (
    attrgetter("processors"),
    attrgetter("memory_mb"),
    attrgetter("accelerators"),
)
MIN_TASK_S: Final = 0.01
"""Lower bound of the mean run time of a backlog: a task without an estimate still
occupies its resources for about one planning round."""


def scarcest(demand: Amounts, capacity: Amounts) -> Resource:
    """Return the resource of which a demand takes the largest share of a capacity."""
    return max(RESOURCES, key=lambda each: each(demand) / max(1, each(capacity)))


@attrs.frozen(kw_only=True)
class CapacityCurve:
    """The resources that are not held by running work, as a step function of time.

    Attributes:
        times: When the amount rises, in seconds from the snapshot; the first is 0.
        levels: The amount from each of these times on.
        areas: The integral of the amount up to each time, in resource-seconds.
    """

    times: list[float]
    levels: list[float]
    areas: list[float]

    def time_until(self, need: float, *, ahead: float, work: float) -> float:
        """Return when a demand fits after all work that ranks ahead has begun.

        Work ahead returns what it took at the rate (free resources) / (mean run time),
        so that by a time t the amount `level(t) + area(t) * ahead / work` was offered.

        Args:
            need: What must be free at once; more than the pool has counts as all.
            ahead: What the work ahead takes, if all of it ran at once.
            work: The same multiplied by its run times, in resource-seconds.
        """
        rate = ahead / max(work, ahead * MIN_TASK_S) if ahead > 0 else 0.0
        target = ahead + min(need, self.levels[-1])

        def offered(index: int) -> float:
            return self.levels[index] + rate * self.areas[index]

        index = bisect.bisect_left(range(len(self.times)), target, key=offered)
        if index == 0:
            return 0.0
        before = index - 1
        slope = rate * self.levels[before]
        until = self.times[index] if index < len(self.times) else float("inf")
        if slope <= 0:
            return min(until, self.times[-1])
        return min(until, self.times[before] + (target - offered(before)) / slope)


def make_curve(free: float, releases: Iterable[tuple[float, int]]) -> CapacityCurve:
    """Return the curve for what is free now and (time, amount) of each release."""
    times, levels, areas = [0.0], [max(0.0, free)], [0.0]
    for at, amount in sorted(releases):
        if amount <= 0:
            continue
        at = max(0.0, at)
        areas.append(areas[-1] + levels[-1] * (at - times[-1]))
        times.append(at)
        levels.append(levels[-1] + amount)
    return CapacityCurve(times=times, levels=levels, areas=areas)


@attrs.frozen(kw_only=True)
class Backlog:
    """Waiting work in rank order with prefix sums.

    Attributes:
        keys: The rank keys, in order.
        widths: What the first n of them take at once, for n from 0.
        works: The same in resource-seconds.
        gang_widths: Like `widths`, of gangs only.
        gang_works: Like `works`, of gangs only.
    """

    keys: list[Urgency]
    widths: list[float]
    works: list[float]
    gang_widths: list[float]
    gang_works: list[float]

    def ahead_of(self, urgency: Urgency, *, gangs: bool) -> tuple[float, float]:
        """Return the width and the work of what ranks ahead of a key.

        Args:
            urgency: The key.
            gangs: Whether gangs are counted.
        """
        position = bisect.bisect_left(self.keys, urgency)
        width, work = self.widths[position], self.works[position]
        if gangs:
            return width, work
        return width - self.gang_widths[position], work - self.gang_works[position]


def make_backlog(
    keys: list[Urgency], widths: list[float], task_s: list[float], gangs: list[bool]
) -> Backlog:
    """Return a backlog; all lists are in rank order.

    Args:
        keys: The rank keys.
        widths: What each step takes at once.
        task_s: The run time of its tasks, in seconds.
        gangs: Whether it is a gang.
    """
    works = list(map(operator.mul, widths, task_s))
    return Backlog(
        keys=keys,
        widths=_prefix_sums(widths),
        works=_prefix_sums(works),
        gang_widths=_prefix_sums(map(operator.mul, widths, gangs)),
        gang_works=_prefix_sums(map(operator.mul, works, gangs)),
    )


def _prefix_sums(amounts: Iterable[float]) -> list[float]:
    return list(itertools.accumulate(amounts, initial=0.0))


def total(amounts: Iterable[Amounts]) -> Amounts:
    """Return a sum; without an object for each addition, since there are thousands."""
    listed = list(amounts)
    return Amounts(
        processors=sum([each.processors for each in listed]),
        memory_mb=sum([each.memory_mb for each in listed]),
        accelerators=sum([each.accelerators for each in listed]),
        slots=sum([each.slots for each in listed]),
    )
