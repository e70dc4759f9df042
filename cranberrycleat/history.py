"""What was learned of workloads: how long they run, what they use, who fails.

Declared sizes and run times are often far off. Jobs of one family (the same
name but for numbers at its end, as nightly jobs have) are alike, so what the
last ones did says more than what the next one declares.
"""

import re
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts

SMOOTHING_FACTOR: Final = 0.2
MAX_FAMILIES: Final = 4096
MIN_FAILED_WORKERS: Final = 2
"""A job that failed on so many workers is the one to blame, not the next."""

_NUMBERS: Final = re.compile(r"(-\d+)+$")


def family_of(job: str) -> str:
    """Return the name of a job's family."""
    return _NUMBERS.sub("", job)


@attrs.define(kw_only=True)
class Family:
    """What the tasks of one family did.

    Attributes:
        run_s: The smoothed time that a task ran, in seconds; 0 for unknown.
        peak: The most of each resource that any task used.
    """

    run_s: float = 0.0
    peak: Amounts = NOTHING


@attrs.define(kw_only=True, eq=False)
class RunHistory:
    """What was learned, by family."""

    families: dict[str, Family] = attrs.field(factory=dict)
    _failed_on: dict[str, set[str]] = attrs.field(factory=dict)

    def record_run(self, job: str, run_s: float) -> None:
        """Take in how long a task ran to its end."""
        family = self._family(job)
        if family.run_s == 0.0:
            family.run_s = run_s
        else:
            family.run_s += SMOOTHING_FACTOR * (run_s - family.run_s)

    def record_usage(self, job: str, used: Amounts) -> None:
        """Take in what a task was seen to use."""
        family = self._family(job)
        if not used.fits_in(family.peak):
            family.peak = family.peak.elementwise_max(used)

    def run_s(self, job: str, declared_s: float) -> float:
        """Return how long a task is expected to run; 0 for unknown."""
        family = self.families.get(family_of(job))
        if family is None or family.run_s == 0.0:
            return declared_s
        return family.run_s

    def needs(self, job: str, declared: Amounts) -> Amounts:
        """Return what to count a task with: never less than declared."""
        family = self.families.get(family_of(job))
        if family is None or family.peak.fits_in(declared):
            return declared
        return declared.elementwise_max(family.peak)

    def record_failed_start(self, job: str, worker: str) -> bool:
        """Take in a failed start; tell whether it speaks against the worker."""
        failed_on = self._failed_on.setdefault(job, set())
        known_bad = len(failed_on - {worker}) >= MIN_FAILED_WORKERS
        failed_on.add(worker)
        return not known_bad

    def forget_job(self, job: str) -> None:
        """Forget what only matters while a job lives."""
        self._failed_on.pop(job, None)

    def _family(self, job: str) -> Family:
        name = family_of(job)
        family = self.families.get(name)
        if family is None:
            if len(self.families) >= MAX_FAMILIES:
                # The oldest goes: dicts keep the order in which they grew.
                del self.families[next(iter(self.families))]
            family = self.families[name] = Family()
        return family
