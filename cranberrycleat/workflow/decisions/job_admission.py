"""Admission control for jobs: rejects what would end too late to be worth anything.

A due job is rejected if even the optimistic bound of its forecast end is after the time
at which it loses all value, and a surplus job if that bound is after its objective. All
times count from the caller's first attempt, as far as it is known. Without a recent
forecast a job is admitted, since missing information is no reason to reject.
"""

import enum
import math
from typing import Final

import attrs

from cranberrycleat.workflow.decisions.admission_record import AdmissionRecord
from cranberrycleat.workflow.decisions.load_forecast import Forecast, JobDemand
from cranberrycleat.workflow.decisions.ordering import LATE_FACTOR, objective_s
from cranberrycleat.workflow.decisions.retry_spread import (
    MIN_RETRY_AFTER_S,
    RetryWindow,
    retry_after_s,
)
from cranberrycleat.workflow.spec import WorkflowSpec
from cranberrycleat.workflow.state import Job

MAX_FORECAST_AGE_S: Final = 1.0
"""An older forecast admits. Planning rounds, which renew it, take place every few
hundredths of a second, so one that is older means that rounds have stopped."""
REOPEN_FRACTION: Final = 0.8
"""After a rejection, jobs of the class are admitted only below this fraction of their
bound. Without it, a class whose forecasts are at the bound would alternate with every
job that ends or is accepted."""
CLOSED_S: Final = 5.0
"""How long a rejection narrows the bound of its class. Tasks of the longest kind run
for about this long, so the load behind an older rejection has been replaced."""
STARTS_AT_ONCE_S: Final = 0.05
"""A job that gets its resources within a planning round or two displaces no waiting
work, so that rejecting it would gain nothing. Its permit call and its start, which take
longer than this in an empty pool, do not count."""


class RejectionCause(enum.Enum):
    """Why a job is rejected; also the label of the counters."""

    NO_VALUE = "would end when it has lost all value"
    SURPLUS_LATE = "beyond the workspace's share, and would miss its objective"
    RECENTLY_CLOSED = "the class was closed by a recent rejection"


@attrs.frozen(kw_only=True)
class Admitted:
    """The job is accepted.

    Attributes:
        for_size: Whether it was accepted only because jobs of its size were rejected
            more often than others.
    """

    for_size: bool = False


@attrs.frozen(kw_only=True)
class Rejected:
    """The job is rejected and never runs.

    Attributes:
        cause: Why it was rejected.
        bound_s: The latest end at which it would have been accepted, in seconds from
            now; negative if that time has passed.
        retry_after_s: When it would fit, in seconds.
    """

    cause: RejectionCause
    bound_s: float
    retry_after_s: float

    @property
    def reason(self) -> str:
        """The human-readable reason."""
        return self.cause.value


@attrs.frozen(kw_only=True)
class _Class:
    """Jobs that are opened and closed together."""

    queue: str
    surplus: bool


@attrs.define(kw_only=True, eq=False)
class JobAdmission:
    """Decides which jobs are accepted.

    Attributes:
        record: The recent decisions.
    """

    record: AdmissionRecord = attrs.field(factory=AdmissionRecord)
    _closed_at: dict[_Class, float] = attrs.field(factory=dict)

    def decide(
        self, demand: JobDemand, forecast: Forecast | None, *, now: float, now_s: float
    ) -> Admitted | Rejected:
        """Decide on a job, and record the decision.

        Args:
            demand: The job.
            forecast: Its forecast; None if there is none.
            now: The owner's clock.
            now_s: The time of day, since 1970.
        """
        if forecast is None or forecast.age_s > MAX_FORECAST_AGE_S:
            return Admitted()
        if _allowance_s(demand) <= 0:
            # Without an estimate the objective is not known.
            return Admitted()
        work = work_of(demand.spec)
        decision = self._decide(demand, forecast, now, now_s)
        if (
            isinstance(decision, Rejected)
            and not demand.surplus
            and decision.bound_s > 0
            and self.record.is_size_starved(demand.queue.name, work, now)
        ):
            decision = Admitted(for_size=True)
        self.record.add(demand, work, rejected=isinstance(decision, Rejected), now=now)
        return decision

    def _decide(
        self, demand: JobDemand, forecast: Forecast, now: float, now_s: float
    ) -> Admitted | Rejected:
        bound_s = _bound_s(demand, now_s)
        end_s = forecast.end.optimistic_s
        job_class = _Class(queue=demand.queue.name, surplus=demand.surplus)
        if forecast.wait_s <= STARTS_AT_ONCE_S:
            return Admitted()
        if end_s > bound_s:
            if end_s > _allowance_s(demand):
                # A caller that returns late says nothing about the load of its class.
                self._closed_at[job_class] = now
            cause = (
                RejectionCause.SURPLUS_LATE
                if demand.surplus
                else RejectionCause.NO_VALUE
            )
            return _reject(cause, demand, forecast, now_s)
        closed_at = self._closed_at.get(job_class)
        if closed_at is not None and now - closed_at < CLOSED_S:
            if end_s > REOPEN_FRACTION * bound_s:
                return _reject(RejectionCause.RECENTLY_CLOSED, demand, forecast, now_s)
            del self._closed_at[job_class]
        return Admitted()


def _allowance_s(demand: JobDemand) -> float:
    """Return how long after its first attempt a job may end, in seconds."""
    factor = 1.0 if demand.surplus else LATE_FACTOR
    return factor * objective_s(as_job(demand, 0.0))


def _bound_s(demand: JobDemand, now_s: float) -> float:
    """Return the latest end of a job that is worth accepting, in seconds from now."""
    return first_sent_s(demand, now_s) + _allowance_s(demand) - now_s


def _reject(
    cause: RejectionCause, demand: JobDemand, forecast: Forecast, now_s: float
) -> Rejected:
    """Return the rejection of a job, with the time at which it would fit."""
    sent_s = first_sent_s(demand, now_s)
    worthless_s = LATE_FACTOR * objective_s(as_job(demand, now_s))
    runs_s = max(0.0, forecast.end.optimistic_s - forecast.start.optimistic_s)
    worth_s = sent_s + worthless_s - now_s - runs_s
    if worth_s >= MIN_RETRY_AFTER_S:
        # The class opens again when a new job of this kind is below the lower bound.
        drained_s = forecast.end.optimistic_s - REOPEN_FRACTION * _allowance_s(demand)
    else:
        drained_s = forecast.start.expected_s
    window = RetryWindow(
        drained_s=drained_s,
        worth_s=worth_s,
        waited_fraction=(now_s - sent_s) / worthless_s,
        surplus=demand.surplus,
    )
    return Rejected(
        cause=cause,
        bound_s=_bound_s(demand, now_s),
        retry_after_s=retry_after_s(demand.job_id, window),
    )


def first_sent_s(demand: JobDemand, now_s: float) -> float:
    """Return when the caller first sent a job, since 1970; now if it is not known."""
    return min(demand.sent_s, now_s) if demand.sent_s else now_s


def work_of(spec: WorkflowSpec) -> float:
    """Return the estimated processor time of a job, in seconds of one processor."""
    thousandths = math.fsum(
        step.count * step.needs.processors * step.estimate_s for step in spec.steps
    )
    return thousandths / 1000


def is_exempt(spec: WorkflowSpec) -> bool:
    """Return whether a job is not subject to admission control.

    Services and scheduled jobs have no objective that the present load could miss.
    """
    return spec.schedule is not None or any(step.service for step in spec.steps)


def as_job(demand: JobDemand, accepted_s: float) -> Job:
    """Return a job as it would be if it were accepted at a time since 1970."""
    return Job(
        job_id=demand.job_id,
        queue=demand.queue,
        spec=demand.spec,
        accepted_s=accepted_s,
        workspace=demand.workspace,
    )
