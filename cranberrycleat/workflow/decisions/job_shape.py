"""What a job takes, and for how long, as the load forecast counts it."""

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.workflow.decisions.runtime_estimates import RuntimeEstimates
from cranberrycleat.workflow.fleet import reserved_resources
from cranberrycleat.workflow.ports import Queue
from cranberrycleat.workflow.spec import StepSpec, WorkflowSpec


@attrs.frozen(kw_only=True)
class JobShape:
    """A job as the forecast counts it.

    Attributes:
        task: What one task of its smallest first step takes.
        first: What must be free at once for it to begin: a task, or a whole gang.
        total: What all tasks of its first steps take together.
        tasks: How many tasks the step has that begins first.
        task_s: The mean run time of the tasks of its first steps, in seconds.
        path_s: The run time of its critical path, in seconds.
        depth: The number of steps in its longest chain.
        gang: Whether the step that begins first is a gang.
        slack_s: How long it may wait and still meet its objective, in seconds.
    """

    task: Amounts
    first: Amounts
    total: Amounts
    tasks: int
    task_s: float
    path_s: float
    depth: int
    gang: bool
    slack_s: float


def job_shape(
    spec: WorkflowSpec,
    queue: Queue,
    estimates: RuntimeEstimates | None,
    speed: float,
) -> JobShape | None:
    """Return the shape of a job; None for services and scheduled jobs.

    Args:
        spec: The job.
        queue: Its queue.
        estimates: Corrects the caller's estimates; None to use them as they are.
        speed: The mean speed of the workers.
    """
    if spec.schedule is not None or any(step.service for step in spec.steps):
        return None
    durations = [
        (
            step.estimate_s / speed
            if estimates is None
            else estimates.expected_s(queue.name, step, speed)
        )
        for step in spec.steps
    ]
    firsts = [number for number, step in enumerate(spec.steps) if not step.after]
    if not firsts:
        return None
    smallest = min(
        (spec.steps[number] for number in firsts),
        key=lambda step: _at_once(step).processors,
    )
    total = NOTHING
    for number in firsts:
        step = spec.steps[number]
        total = total.plus(reserved_resources(step).times(step.count))
    path_s, depth = _longest_chain(spec, durations)
    estimated_s, _ = _longest_chain(spec, [step.estimate_s for step in spec.steps])
    tasks = sum(spec.steps[number].count for number in firsts)
    return JobShape(
        task=reserved_resources(smallest),
        first=_at_once(smallest),
        total=total,
        tasks=smallest.count,
        task_s=sum(durations[n] * spec.steps[n].count for n in firsts) / max(1, tasks),
        path_s=path_s,
        depth=depth,
        gang=smallest.gang,
        slack_s=(queue.stretch - 1) * estimated_s + queue.objective_s,
    )


def _at_once(step: StepSpec) -> Amounts:
    needs = reserved_resources(step)
    return needs.times(step.count) if step.gang else needs


def _longest_chain(spec: WorkflowSpec, durations: list[float]) -> tuple[float, int]:
    """Return the run time of the critical path and the depth of the deepest chain."""
    ends: list[float] = []
    depths: list[int] = []
    for step, duration in zip(spec.steps, durations, strict=True):
        ends.append(max((ends[n] for n in step.after), default=0.0) + duration)
        depths.append(max((depths[n] for n in step.after), default=0) + 1)
    return max(ends, default=0.0), max(depths, default=1)
