"""Tests tasks that crash every worker that starts them.

The failure: two tasks were started 23 and 21 times. Each start crashed its worker, so a
worker failed every 1.6 s for 80 s, and up to 20 tasks of other jobs were lost with
each. A crashed worker was back 3.3 s later as another incarnation; then everything that
had run there was given up and placed again at once, as if it had never been tried. The
cause: only task ends that a worker reports count as attempts, and a worker that crashes
reports none. The log of one owner shows nine starts of each task in a row.
"""

import pytest

from cranberrycleat.standins.fleet import SimulatedWork
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import JobState
from tests.cell import Cell, cell, job, step, submit, until
from tests.fakes import run_async

CRASH_DELAY_S = 0.01
"""How long the tasks of the incident ran before their worker crashed."""
MAX_STARTS = 5
"""Three workers may crash under a task, and it may be started twice more."""


def crash_on(env: Cell, task: str) -> None:
    """Make one task crash every worker that starts it."""

    def work(name: str, attempt: int) -> SimulatedWork:
        return SimulatedWork(crashes_after_s=CRASH_DELAY_S if name == task else None)

    env.fleet.work = work


def starts_of(env: Cell, task: str) -> int:
    """Return how often a task was started."""
    return sum(start.task == task for start in env.fleet.starts)


def has_failed_or_exceeded_starts(
    env: Cell, reported: dict[str, JobState], job_id: str
) -> bool:
    """Return whether a job has failed, or has been started too often."""
    too_often = starts_of(env, f"{job_id}.0.0.0") > MAX_STARTS
    return too_often or reported.get(job_id) is JobState.FAILED


@pytest.mark.parametrize("keeps", [False, True], ids=["a new identity", "the same"])
@pytest.mark.parametrize(
    "spec",
    [step(1), step(3), step(3, gang=True), step(1, service=True)],
    ids=["a single task", "one of several", "a member of a gang", "a service's"],
)
def test_task_that_crashes_its_workers_is_failed(spec: StepSpec, keeps: bool) -> None:
    """Its workers come back as other incarnations, under a new or the same identity."""

    async def run() -> None:
        async with cell(workers=6) as env:
            env.fleet.keeps_identity = keeps
            crash_on(env, "a.0.0.0")
            owner = await env.own()
            await submit(owner, "a", job(spec))
            reported = owner.cluster_state.reported
            await until(
                lambda: has_failed_or_exceeded_starts(env, reported, "a"), limit_s=20.0
            )
            assert reported["a"] is JobState.FAILED
            assert starts_of(env, "a.0.0.0") <= MAX_STARTS

    run_async(run())


@pytest.mark.parametrize("keeps", [False, True], ids=["a new identity", "the same"])
def test_lost_workers_are_counted_across_takeovers(keeps: bool) -> None:
    """Each owner is killed as soon as it has seen one crash."""

    async def run() -> None:
        async with cell(workers=6) as env:
            env.fleet.keeps_identity = keeps
            crash_on(env, "a.0.0.0")
            owner = await env.own()
            await submit(owner, "a", job(step(1)))
            for number in range(MAX_STARTS + 2):
                cluster_state = owner.cluster_state
                begun = starts_of(env, "a.0.0.0")
                await until(
                    lambda: starts_of(env, "a.0.0.0") > begun
                    or cluster_state.reported.get("a") is JobState.FAILED,
                    limit_s=20.0,
                )
                if cluster_state.reported.get("a") is JobState.FAILED:
                    break
                await env.close()
                env.tasks.clear()
                owner = await env.own(f"next-{number}")
            assert starts_of(env, "a.0.0.0") <= MAX_STARTS
            assert owner.cluster_state.reported["a"] is JobState.FAILED

    run_async(run())
