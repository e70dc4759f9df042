"""Distinguishes jobs that can never run from jobs that only have to wait.

A job is infeasible if it requires more than any worker has, a label that no worker
has, a gang larger than the whole pool, or more than the quota of its workspace. Such
a job is rejected at submission instead of waiting for ever. The check uses all workers
that the platform lists, regardless of their current state; a pool without any known
worker makes no job infeasible.
"""

from typing import Final

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.decisions.locality import could_hold_gang
from cranberrycleat.workflow.fleet import FleetWorker, max_tasks_on, reserved_resources
from cranberrycleat.workflow.quota import remaining_quota
from cranberrycleat.workflow.spec import StepSpec, WorkflowSpec

RETRY_AFTER_S: Final = 10.0
"""Retry-after for infeasible jobs: the platform adds workers over seconds, not at
once."""
SETTLING_RETRY_AFTER_S: Final = 1.0
"""Retry-after while the list of workers may be incomplete: after a takeover, and after
an outage of the table, during which worker entries lapse."""


def infeasibility_reason(spec: WorkflowSpec, workers: list[FleetWorker]) -> str:
    """Return why a job can never run on these workers; empty if it can."""
    if not workers:
        return ""
    for number, step in enumerate(spec.steps):
        reason = _step_infeasibility_reason(step, workers)
        if reason:
            return f"step {number}: {reason}"
    return ""


def quota_violation_reason(spec: WorkflowSpec, quota: Amounts | None) -> str:
    """Return why a job can never run within its workspace's quota; empty if it can."""
    if quota is None:
        return ""
    for number, step in enumerate(spec.steps):
        total_needs = reserved_resources(step).times(step.count if step.gang else 1)
        if not total_needs.fits_in(remaining_quota(quota)):
            what = "the gang" if step.gang else "a task"
            return f"step {number}: {what} takes more than the workspace's quota"
    return ""


def _step_infeasibility_reason(step: StepSpec, workers: list[FleetWorker]) -> str:
    labelled = [
        each for each in workers if not step.label or step.label in each.entry.labels
    ]
    if not labelled:
        return f"no worker has the label {step.label!r}"
    if not any(max_tasks_on(step, each.max_capacity) for each in labelled):
        return "no worker has that much"
    if step.gang and not could_hold_gang(step, labelled):
        return "all workers together cannot hold the gang"
    return ""
