"""Ranks the steps that wait for resources.

`DeadlineOrder`: at base load nearly everything fits, and the order only has to keep
short urgent work from waiting behind wide work: priority first, then least slack. In a
burst not everything can meet its objective. Steps that have missed it rank behind those
that can still meet it, and steps whose result is worth nothing any more rank
last, so that late work does not make other work late as well.

`DelayCostOrder`: ranks by the value that is lost per second of waiting, which is low
for a step with much slack even if it is on time, and high for a short step even if it
is slightly late.
"""

import math
from typing import Final, Protocol

import attrs

from cranberrycleat.workflow.decisions.fair_share import FairShare, ShareTier
from cranberrycleat.workflow.state import Job, StepRun, StepUrgency

LATE_FACTOR: Final = 3.0
"""A job that takes up to this many times its objective is late but still has value
(the platform's documentation of job benefit)."""


SERVICE_BAND: Final = -1
"""Services rank first: a service has value only while its members are running."""
EXPIRED_BAND: Final = 2
"""Band of steps whose completion has no value any more."""
LATE_VALUE: Final = 0.2
"""Value of a late job as a fraction of its full value (the platform's documentation of
job benefit)."""
PRIORITY_VALUE_FACTOR: Final = 4.0
"""How many times the value per unit of work a step has compared with one of the next
lower priority."""
MAX_PRIORITY_LEVELS: Final = 100
"""Priorities further apart weigh alike: configured ones have no bound, and 4 to the
power of 512 exceeds the range of numbers."""
DELAY_SCALE_S: Final = 2.0
"""Slack over which the cost of a delay fades by e: about the time until running tasks
of a full pool end and free resources for a step that is not started now."""
DEFAULT_ESTIMATE_ERROR: Final = 0.5
"""Fraction by which a run time may exceed its estimate as long as nothing was learned.
A job's objective grows with its true run time, so that a step may still be on time for
this long after its estimated latest start."""
FULL_COST: Final = 1.0
"""Cost of delaying a step at the latest start for all of its value."""
STARVATION_BOUND_S: Final = 120.0
"""Longest time that a step ranks behind others for having lost its value or for being
beyond its workspace's share. Longer than any overload seen so far (40 s)."""


@attrs.frozen(kw_only=True)
class Rank:
    """A step's scheduling rank; lower ranks go first.

    Attributes:
        band: `SERVICE_BAND`, 0 (may meet its objective), 1 (late) or `EXPIRED_BAND`.
        priority: The priority of its queue.
        slack_s: Time left until it must start to meet its objective.
        name: The step's name, which makes the order deterministic.
        delay_cost: The value lost per unit of work if it has to wait; None if steps are
            not ranked by it.
    """

    band: int
    priority: int
    slack_s: float
    name: str
    delay_cost: float | None = None

    def key(self) -> "Urgency":
        """Return the sort key."""
        if self.delay_cost is None:
            return (self.band, self.priority, self.slack_s, self.name)
        return (self.band, 0, -self.delay_cost, self.name)


Urgency = tuple[int, int, float, str]


def critical_path_s(job: Job, first: int = 0) -> float:
    """Return the estimated run time of a job's longest chain of dependent steps."""
    lengths: list[float] = []
    for step in job.spec.steps:
        predecessors_s = max((lengths[number] for number in step.after), default=0.0)
        lengths.append(predecessors_s + step.estimate_s)
    return max(lengths, default=0.0)


def remaining_critical_path_s(step: StepRun) -> float:
    """Return the estimated run time of the longest chain that starts with a step."""
    steps = step.job.spec.steps
    path_s = [0.0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        path_s[number] += steps[number].estimate_s
        for earlier in steps[number].after:
            path_s[earlier] = max(path_s[earlier], path_s[number])
    return path_s[step.number]


def objective_s(job: Job) -> float:
    """Return how long a job may take from its submission, in seconds."""
    return job.queue.stretch * critical_path_s(job) + job.queue.objective_s


def due_s(step: StepRun) -> float:
    """Return when a step's occurrence was due, as Unix time in seconds."""
    job = step.job
    if job.spec.schedule is None:
        return job.accepted_s
    return job.spec.schedule.due_s(step.occurrence)


def rank(step: StepRun, now_s: float) -> Rank:
    """Return a step's rank at a Unix time in seconds."""
    job = step.job
    if step.urgency is None:
        objective = objective_s(job)
        step.urgency = StepUrgency(
            latest_start_s=due_s(step) + objective - remaining_critical_path_s(step),
            tolerated_lateness_s=(LATE_FACTOR - 1) * objective,
        )
    slack = step.urgency.latest_start_s - now_s
    late_slack = slack + step.urgency.tolerated_lateness_s
    if step.spec.service:
        band = SERVICE_BAND
    elif slack >= 0:
        band = 0
    else:
        band = 1 if late_slack >= 0 else EXPIRED_BAND
    return Rank(band=band, priority=job.queue.priority, slack_s=slack, name=step.name)


class StepOrder(Protocol):
    """Ranks waiting steps; planner, permit calls and forecasts use the same order."""

    def rank(self, step: StepRun, now_s: float) -> Rank:
        """Return a step's rank at a Unix time in seconds."""


@attrs.frozen(kw_only=True)
class DeadlineOrder:
    """Ranks by whether the objective can be met, then priority, then slack."""

    def rank(self, step: StepRun, now_s: float) -> Rank:
        """Return a step's rank at a Unix time in seconds."""
        return rank(step, now_s)


@attrs.frozen(kw_only=True)
class DelayCostOrder:
    """Ranks by the value lost per unit of work if a step has to wait.

    A step loses most of its value when its slack is used up, and the rest when it is
    three times over its objective. Before each of these times the loss is discounted
    by how far away it is, since resources may become free until then.

    Attributes:
        fair_share: Tiers of jobs; surplus ranks behind all due work.
    """

    fair_share: FairShare | None = None

    def rank(self, step: StepRun, now_s: float) -> Rank:
        """Return a step's rank at a Unix time in seconds."""
        by_deadline = rank(step, now_s)
        if by_deadline.band == SERVICE_BAND or step.urgency is None:
            return by_deadline
        band = self._band(step, by_deadline)
        if band == EXPIRED_BAND:
            # The costs of all steps of a priority are equal here.
            return by_deadline
        late_slack_s = by_deadline.slack_s + step.urgency.tolerated_lateness_s
        margin_s = DEFAULT_ESTIMATE_ERROR * estimated_objective_s(step)
        cost = FULL_COST
        if by_deadline.slack_s >= -STARVATION_BOUND_S:
            cost = delay_cost(by_deadline.slack_s, late_slack_s, margin_s)
        return Rank(
            band=band,
            priority=by_deadline.priority,
            slack_s=by_deadline.slack_s,
            name=by_deadline.name,
            delay_cost=cost / priority_value(by_deadline.priority),
        )

    def _band(self, step: StepRun, by_deadline: Rank) -> int:
        """Return 0 for due work, 1 for surplus, `EXPIRED_BAND` for worthless work."""
        if by_deadline.slack_s < -STARVATION_BOUND_S:
            return 0
        if by_deadline.band == EXPIRED_BAND:
            return EXPIRED_BAND
        if self.fair_share is None:
            return 0
        return int(self.fair_share.tier(step.job) is ShareTier.SURPLUS)


def estimated_objective_s(step: StepRun) -> float:
    """Return the part of the objective that grows with the run time, in seconds."""
    assert step.urgency is not None
    objective_s = step.urgency.tolerated_lateness_s / (LATE_FACTOR - 1)
    return max(0.0, objective_s - step.job.queue.objective_s)


def priority_value(levels: int) -> float:
    """Return how many times the value a step has of one some levels lower."""
    bounded = max(-MAX_PRIORITY_LEVELS, min(MAX_PRIORITY_LEVELS, levels))
    return float(PRIORITY_VALUE_FACTOR**bounded)


def delay_cost(slack_s: float, late_slack_s: float, margin_s: float) -> float:
    """Return the expected loss of value of a step that waits, as a fraction.

    Args:
        slack_s: Time left until its objective is missed, by the caller's estimate.
        late_slack_s: Time left until it is worth nothing.
        margin_s: How long after its estimated latest start it may still be on time.
    """
    cost = LATE_VALUE * math.exp(-max(0.0, late_slack_s) / DELAY_SCALE_S)
    if slack_s >= -margin_s:
        cost += (1 - LATE_VALUE) * math.exp(-max(0.0, slack_s) / DELAY_SCALE_S)
    return cost
