"""Compares forecasts with what became of their jobs.

The forecast made when a job was accepted is kept until the job has ended, and logged
with the outcome when it begins and when it is completed. A forecast that is often
outside its bounds shows in the metrics `jobs.forecast.*`.
"""

import collections
from typing import Final

import attrs

from cranberrycleat import events
from cranberrycleat.logs import emit
from cranberrycleat.workflow.decisions.load_forecast import Forecast, Interval

MAX_RECORDED: Final = 8192
"""Forecasts that are kept; the oldest are dropped first. It covers a minute of 130 jobs
per second."""


@attrs.define(kw_only=True, eq=False)
class _Recorded:
    """The forecast of a job.

    Attributes:
        queue: The job's queue.
        forecast: The forecast.
        at: When it was made, on the owner's clock.
        begun: Whether the job's start was compared with it.
    """

    queue: str
    forecast: Forecast
    at: float
    begun: bool = False


@attrs.define(kw_only=True, eq=False)
class ForecastOutcomes:
    """The forecasts of jobs that have not ended."""

    _recorded: "collections.OrderedDict[str, _Recorded]" = attrs.field(
        factory=collections.OrderedDict
    )

    def record(self, job_id: str, queue: str, forecast: Forecast, now: float) -> None:
        """Record and log the forecast of an accepted job.

        Args:
            job_id: The job.
            queue: Its queue.
            forecast: Its forecast.
            now: The owner's clock.
        """
        self._recorded[job_id] = _Recorded(queue=queue, forecast=forecast, at=now)
        if len(self._recorded) > MAX_RECORDED:
            self._recorded.popitem(last=False)
        emit(
            events.JobForecast(
                job=job_id,
                queue=queue,
                start_s=_rounded(forecast.start),
                end_s=_rounded(forecast.end),
                age_s=round(forecast.age_s, 3),
            )
        )

    def began(self, job_id: str, now: float) -> None:
        """Compare the forecast of a job with its start; only the first one counts."""
        found = self._recorded.get(job_id)
        if found is not None and not found.begun:
            found.begun = True
            _emit_outcome(job_id, found, "start", found.forecast.start, now)

    def ended(self, job_id: str, now: float) -> None:
        """Compare the forecast of a job with its completion, and drop it."""
        found = self._recorded.pop(job_id, None)
        if found is not None:
            _emit_outcome(job_id, found, "end", found.forecast.end, now)

    def forget(self, job_id: str) -> None:
        """Drop the forecast of a job that has no outcome."""
        self._recorded.pop(job_id, None)


def _emit_outcome(
    job_id: str, recorded: _Recorded, what: str, interval: Interval, now: float
) -> None:
    emit(
        events.JobForecastOutcome(
            job=job_id,
            queue=recorded.queue,
            what=what,
            forecast_s=_rounded(interval),
            after_s=round(now - recorded.at, 3),
            age_s=round(recorded.forecast.age_s, 3),
        )
    )


def _rounded(interval: Interval) -> tuple[float, float, float]:
    return (
        round(interval.optimistic_s, 3),
        round(interval.expected_s, 3),
        round(interval.pessimistic_s, 3),
    )
