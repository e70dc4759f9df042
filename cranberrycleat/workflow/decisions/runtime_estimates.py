"""Corrects the run times that callers estimate by what ran before.

For each queue, the ratios of run times to estimates are collected; their median is the
correction, and their deviation from it the error.
"""

import collections
import math
import statistics
from typing import Final

import attrs

from cranberrycleat.workflow.spec import StepSpec

WINDOW: Final = 128
"""Ratios kept per queue: those of the last 40 short jobs, or of 30 wide steps."""
MIN_RATIOS: Final = 8
"""Fewer ratios than this correct nothing: they may all be of one or two jobs."""
RATIOS_PER_STEP: Final = 4
"""Ratios of one step that count at most: its tasks share the error of its estimate, so
that one step of 150 tasks must not outweigh all others."""
MAX_LOG_RATIO: Final = 3.0
"""Ratios above 20 or below 1/20 are clipped, so that sums of them stay meaningful."""
REFRESH_RATIOS: Final = 8
"""New ratios after which the correction is computed again."""
DEVIATIONS: Final = 1.48
"""Standard deviations per median absolute deviation of a normal distribution."""


@attrs.define(kw_only=True, eq=False)
class _QueueRatios:
    logs: "collections.deque[float]" = attrs.field(
        factory=lambda: collections.deque(maxlen=WINDOW)
    )
    credit: float = 0.0
    new: int = 0
    factor: float = 1.0
    error: float = 1.0

    def add(self, log_ratio: float) -> None:
        self.logs.append(log_ratio)
        self.new += 1
        if self.new < REFRESH_RATIOS or len(self.logs) < MIN_RATIOS:
            return
        self.new = 0
        median = statistics.median(self.logs)
        deviation = statistics.median(abs(each - median) for each in self.logs)
        self.factor = math.exp(median)
        self.error = math.exp(DEVIATIONS * deviation)


@attrs.define(kw_only=True, eq=False)
class RuntimeEstimates:
    """Expected run times of tasks, by queue."""

    _queues: dict[str, _QueueRatios] = attrs.field(factory=dict)

    def record_end(
        self, queue: str, spec: StepSpec, ran_s: float, speed: float
    ) -> None:
        """Record the run time of an attempt that ended as done.

        Args:
            queue: The queue's name.
            spec: The attempt's step.
            ran_s: How long it ran, in seconds.
            speed: The speed of its worker; of the slowest one for a gang.
        """
        if spec.estimate_s <= 0 or ran_s <= 0 or speed <= 0:
            return
        ratios = self._queues.setdefault(queue, _QueueRatios())
        ends = 1 if spec.gang else spec.count
        ratios.credit += min(1.0, RATIOS_PER_STEP / max(1, ends))
        if ratios.credit < 1.0:
            return
        ratios.credit -= 1.0
        log_ratio = math.log(ran_s * speed / spec.estimate_s)
        ratios.add(max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio)))

    def expected_s(self, queue: str, spec: StepSpec, speed: float = 1.0) -> float:
        """Return the expected run time of one task on a worker of a speed."""
        ratios = self._queues.get(queue)
        factor = 1.0 if ratios is None else ratios.factor
        return spec.estimate_s * factor / speed

    def error_of(self, queue: str) -> float:
        """Return the factor by which the estimates of a queue are usually off."""
        ratios = self._queues.get(queue)
        return 1.0 if ratios is None else ratios.error
