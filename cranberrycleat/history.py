"""Run history of workloads: run times, resource usage and failed starts.

Declared sizes and run times are often far off. Jobs of one family (names that differ
only in trailing numbers, as those of nightly jobs) behave alike, so the behaviour of
earlier jobs is a better predictor than the declarations of the next one.
"""

import re
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts

SMOOTHING_FACTOR: Final = 0.2
MAX_FAMILIES: Final = 4096
MIN_FAILED_WORKERS: Final = 2
"""A job that failed on this many other workers is at fault itself, not the worker."""

_NUMBERS: Final = re.compile(r"(-\d+)+$")


def family_of(job: str) -> str:
    """Return the name of the family of a job."""
    return _NUMBERS.sub("", job)


@attrs.define(kw_only=True)
class Family:
    """The observed behaviour of the tasks of one family.

    Attributes:
        run_s: The smoothed run time of a task, in seconds; 0 for unknown.
        peak: The peak usage of each resource by any task.
    """

    run_s: float = 0.0
    peak: Amounts = NOTHING


@attrs.define(kw_only=True, eq=False)
class RunHistory:
    """The run history, by family."""

    families: dict[str, Family] = attrs.field(factory=dict)
    _failed_on: dict[str, set[str]] = attrs.field(factory=dict)

    def record_run(self, job: str, run_s: float) -> None:
        """Record the run time of a completed task."""
        family = self._family(job)
        if family.run_s == 0.0:
            family.run_s = run_s
        else:
            family.run_s += SMOOTHING_FACTOR * (run_s - family.run_s)

    def record_usage(self, job: str, used: Amounts) -> None:
        """Record the measured usage of a task."""
        family = self._family(job)
        if not used.fits_in(family.peak):
            family.peak = family.peak.elementwise_max(used)

    def run_s(self, job: str, declared_s: float) -> float:
        """Return the expected run time of a task; 0 for unknown."""
        family = self.families.get(family_of(job))
        if family is None or family.run_s == 0.0:
            return declared_s
        return family.run_s

    def needs(self, job: str, declared: Amounts) -> Amounts:
        """Return the resources to reserve for a task: never less than declared."""
        family = self.families.get(family_of(job))
        if family is None or family.peak.fits_in(declared):
            return declared
        return declared.elementwise_max(family.peak)

    def record_failed_start(self, job: str, worker: str) -> bool:
        """Record a failed start; return whether the worker may be at fault."""
        failed_on = self._failed_on.setdefault(job, set())
        known_bad = len(failed_on - {worker}) >= MIN_FAILED_WORKERS
        failed_on.add(worker)
        return not known_bad

    def forget_job(self, job: str) -> None:
        """Remove the records that are only needed while a job exists."""
        self._failed_on.pop(job, None)

    def _family(self, job: str) -> Family:
        name = family_of(job)
        family = self.families.get(name)
        if family is None:
            if len(self.families) >= MAX_FAMILIES:
                # Evict the oldest family: dicts keep insertion order.
                del self.families[next(iter(self.families))]
            family = self.families[name] = Family()
        return family
