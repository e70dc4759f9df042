"""What a job of several steps asks for, as its caller sent it."""

from typing import Final

import attrs

from cranberrycleat.amounts import Amounts


@attrs.frozen(kw_only=True)
class StepSpec:
    """One step: a number of like tasks.

    Attributes:
        count: How many tasks.
        needs: What each task takes of its worker.
        estimate_s: The caller's rough guess of a task's run time, in seconds.
        after: Indices of earlier steps whose tasks must all be done first.
        gang: The tasks run together, all or none.
        same_rack: The tasks run slower when they are on several racks.
        label: A label that the worker must have; empty for any.
        data_rack: The rack on which the tasks run fastest; empty for any.
        most_per_worker: Tasks of one occurrence on one worker; 0 for any number.
        speculative: Copies of one task may run at the same time.
        service: The tasks run until the job is cancelled.
        checkpoints: Progress is saved, so that a later attempt resumes from it.
        image: What the tasks run; tasks of one image behave alike.
        tail_limit_ms: The tail latency that a serving task must stay under; 0: none.
        filler: The tasks take only what others leave of the processors.
        may_be_away: How many members of a service step may be away at once.
    """

    count: int
    needs: Amounts
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    most_per_worker: int = 0
    speculative: bool = False
    service: bool = False
    checkpoints: bool = False
    image: str = ""
    tail_limit_ms: int = 0
    filler: bool = False
    may_be_away: int = 0


@attrs.frozen(kw_only=True)
class Schedule:
    """When a job's steps repeat.

    Attributes:
        runs: How often in all.
        first_s: When the first occurrence is due, in seconds since 1970.
        period_s: Seconds between occurrences.
    """

    runs: int
    first_s: float
    period_s: float

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence, counted from 0, is due; since 1970."""
        return self.first_s + occurrence * self.period_s


MAX_INLINE_STEPS: Final = 2
MAX_INLINE_PROGRAM_CHARS: Final = 1000
"""Characters."""


@attrs.frozen(kw_only=True)
class WorkflowSpec:
    """A whole job.

    Attributes:
        program: The text that workers are started with.
        steps: Its steps, in the caller's order.
        schedule: When the steps repeat; None: once, at once.
    """

    program: str
    steps: tuple[StepSpec, ...]
    schedule: Schedule | None = None

    def occurrences(self) -> int:
        """Return how often the steps run."""
        return 1 if self.schedule is None else self.schedule.runs

    def fits_inline(self) -> bool:
        """Tell whether it is small enough to be written again at each change."""
        return (
            self.schedule is None
            and len(self.steps) <= MAX_INLINE_STEPS
            and len(self.program) <= MAX_INLINE_PROGRAM_CHARS
        )
