"""The specification of a job of several steps, as submitted by its caller."""

from typing import Final

import attrs

from cranberrycleat.amounts import Amounts


@attrs.frozen(kw_only=True)
class StepSpec:
    """One step: a number of identical tasks.

    Attributes:
        count: The number of tasks.
        needs: The resources that each task takes on its worker.
        estimate_s: The caller's estimate of a task's run time, in seconds.
        after: Indices of earlier steps whose tasks must all be done first.
        gang: Whether the tasks are gang-scheduled: all run together, or none.
        same_rack: Whether the tasks run slower when spread over several racks.
        label: A label that the worker must have; empty for any worker.
        data_rack: The rack on which the tasks run fastest; empty for any.
        most_per_worker: The maximum number of tasks of one occurrence on one worker;
            0 for no limit.
        speculative: Whether copies of one task may run at the same time.
        service: Whether the tasks run until the job is cancelled.
        checkpoints: Whether progress is saved, so that a later attempt resumes from it.
        image: The image that the tasks run; tasks of one image behave alike.
        tail_limit_ms: The tail latency that a serving task must stay below; 0 for none.
        filler: Whether the tasks use only processor time that other tasks leave idle.
        may_be_away: How many members of a service step may be unavailable at once.
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
    """When the steps of a job repeat.

    Attributes:
        runs: The total number of occurrences.
        first_s: When the first occurrence is due, in seconds since 1970.
        period_s: Seconds between occurrences.
    """

    runs: int
    first_s: float
    period_s: float

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence, numbered from 0, is due, since 1970."""
        return self.first_s + occurrence * self.period_s


MAX_INLINE_STEPS: Final = 2
MAX_INLINE_PROGRAM_CHARS: Final = 1000


@attrs.frozen(kw_only=True)
class WorkflowSpec:
    """A whole job.

    Attributes:
        program: The program text that is passed to workers.
        steps: Its steps, in the caller's order.
        schedule: When the steps repeat; None to run once, immediately.
    """

    program: str
    steps: tuple[StepSpec, ...]
    schedule: Schedule | None = None

    def occurrences(self) -> int:
        """Return the number of times that the steps run."""
        return 1 if self.schedule is None else self.schedule.runs

    def fits_inline(self) -> bool:
        """Return whether it is small enough to be rewritten on every change."""
        return (
            self.schedule is None
            and len(self.steps) <= MAX_INLINE_STEPS
            and len(self.program) <= MAX_INLINE_PROGRAM_CHARS
        )
