"""Admission control for jobs: rejects what would end too late to be worth anything."""

import attrs

from cranberrycleat.workflow.decisions.load_forecast import Forecast, JobDemand


@attrs.frozen(kw_only=True)
class Admitted:
    """The job is accepted."""


@attrs.frozen(kw_only=True)
class Rejected:
    """The job is rejected and never runs.

    Attributes:
        reason: Human-readable reason.
        retry_after_s: When it would fit, in seconds.
    """

    reason: str
    retry_after_s: float


@attrs.define(kw_only=True, eq=False)
class JobAdmission:
    """Decides which jobs are accepted."""

    def decide(
        self, demand: JobDemand, forecast: Forecast | None, now: float
    ) -> Admitted | Rejected:
        """Decide on a job; without a recent forecast it is admitted."""
        return Admitted()
