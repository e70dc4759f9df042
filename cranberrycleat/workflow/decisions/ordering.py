"""Ranks the steps that wait for resources.

At base load nearly everything fits, and the order only has to keep short urgent
work from waiting behind wide work: priority first, then least slack. In a burst
not everything can meet its objective. Steps that have missed it rank behind those
that can still meet it, and steps whose result is worth nothing any more rank
last, so that late work does not make other work late as well.
"""

from typing import Final

import attrs

from cranberrycleat.workflow.state import Job, StepRun, StepUrgency

LATE_FACTOR: Final = 3.0
"""A job that takes up to this many times its objective is late but still has value
(the platform's documentation of job benefit)."""


SERVICE_BAND: Final = -1
"""Services rank first: a service has value only while its members are running."""
EXPIRED_BAND: Final = 2
"""Band of steps whose completion has no value any more."""


@attrs.frozen(kw_only=True)
class Rank:
    """A step's scheduling rank; lower ranks go first.

    Attributes:
        band: `SERVICE_BAND`, 0 (may meet its objective), 1 (late) or `EXPIRED_BAND`.
        priority: The priority of its queue.
        slack_s: Time left until it must start to meet its objective.
        name: The step's name, which makes the order deterministic.
    """

    band: int
    priority: int
    slack_s: float
    name: str

    def key(self) -> "Urgency":
        """Return the sort key."""
        return (self.band, self.priority, self.slack_s, self.name)


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
