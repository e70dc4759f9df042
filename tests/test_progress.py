"""Tests of stalled workers: detection by progress, restart elsewhere, probing."""

import asyncio

import attrs
import pytest

from cranberrycleat.standins.fleet import SimulatedWork
from cranberrycleat.workflow.decisions import progress
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.fleet import FleetWorker, Placement
from cranberrycleat.workflow.ports import RunningTask
from cranberrycleat.workflow.spec import StepSpec
from tests.cell import cell, job, queue, step, submit, until
from tests.fakes import run_async
from tests.test_planner import NOW_S, cluster_state, worker

AFTER_TIMEOUT_S = progress.STALL_TIMEOUT_S + 0.1


def _report(each: Placement, percent: float) -> RunningTask:
    return RunningTask(
        task=each.task, attempt=each.attempt, saved="", percent=percent, reading=900.0
    )


def _worker_running(*specs: StepSpec) -> FleetWorker:
    """Return a worker on which one job per spec has just started."""
    only = worker("w", processors=16000)
    owner_board = cluster_state(only)
    for number, spec in enumerate(specs):
        owner_board.accept(f"j{number}", queue(), job(spec))
    Planner(cluster_state=owner_board).plan(now=0.0, now_s=NOW_S)
    for each in only.placements.values():
        each.began(0.0)
    return only


@pytest.mark.parametrize(
    ("specs", "percents", "expected"),
    [
        ((step(2),), (0, 0), True),
        ((step(2),), (0, 1), False),
        ((step(1, gang=True),), (0,), False),
        ((step(1), step(1, gang=True)), (0, 50), True),
        ((step(1, service=True),), (0,), False),
        ((step(1),), (100,), False),
        ((), (), False),
    ],
    ids=[
        "nothing moves",
        "one moves",
        "a gang waits for members",
        "a gang's progress is no evidence",
        "a service starts up",
        "its end is near",
        "empty",
    ],
)
def test_stalled_worker_detection(
    specs: tuple[StepSpec, ...], percents: tuple[float, ...], expected: bool
) -> None:
    only = _worker_running(*specs)
    for each, percent in zip(only.placements.values(), percents, strict=True):
        each.apply_report(_report(each, percent), AFTER_TIMEOUT_S)
    assert progress.is_stalled(only, AFTER_TIMEOUT_S) is expected


@pytest.mark.parametrize(
    ("estimate_s", "percent_s", "percents", "after_s", "expected"),
    [
        (300.0, 3.0, 0, 2.9, False),
        (300.0, 3.0, 0, 6.1, True),
        (300.0, 3.0, 4, 2.9, False),
        (300.0, 3.0, 4, 6.1, True),
        (1.0, 3.0, 4, 2.9, False),
        (1.0, 3.0, 4, 6.1, True),
        (60.0, 0.6, 4, AFTER_TIMEOUT_S, True),
        (300.0, 0.3, 4, AFTER_TIMEOUT_S, False),
    ],
    ids=[
        "first percent of a long task",
        "long task that has not begun",
        "long task",
        "long task that stands still",
        "longer than estimated",
        "longer than estimated, stands still",
        "a minute",
        "shorter than estimated",
    ],
)
def test_stall_timeout_covers_the_time_of_one_percent(
    estimate_s: float, percent_s: float, percents: int, after_s: float, expected: bool
) -> None:
    """Guards against stops of all members of a service beside long tasks (review/7).

    Progress is reported in whole percents, of which one may take seconds.
    """
    only = _worker_running(step(1, estimate_s=estimate_s))
    (each,) = only.placements.values()
    for number in range(1, percents + 1):
        each.apply_report(_report(each, number), number * percent_s)
    now = percents * percent_s + after_s
    each.apply_report(_report(each, percents), now)
    assert progress.is_stalled(only, now) is expected


@pytest.mark.parametrize(
    ("long_advanced_ago_s", "expected"),
    [(0.5, False), (2.0, True), (4.0, True)],
    ids=["it has just advanced", "since then nothing moved", "long since"],
)
def test_long_task_does_not_hide_short_ones_that_stand_still(
    long_advanced_ago_s: float, expected: bool
) -> None:
    """The long percents of one task tell nothing of the time since the last of them."""
    only = _worker_running(step(1), step(1, estimate_s=300.0))
    now = 9.0
    for each in only.placements.values():
        is_long = each.tracked_task is not None and each.tracked_task.step.spec == step(
            1, estimate_s=300.0
        )
        at = now - long_advanced_ago_s if is_long else now - AFTER_TIMEOUT_S
        each.apply_report(_report(each, 2), at)
        each.apply_report(_report(each, 2), now)
        if not is_long:
            each.running_since = each.advanced_at - 0.1
    assert progress.is_stalled(only, now) is expected


def test_new_task_is_no_stall_evidence() -> None:
    only = _worker_running(step(1))
    assert not progress.is_stalled(only, progress.STALL_TIMEOUT_S / 2)


@pytest.mark.parametrize(
    ("spec", "after_s", "expected"),
    [
        (step(1), 0.5, True),
        (step(1, estimate_s=6.0), 0.5, False),
        (step(1, estimate_s=6.0), 5.5, True),
        (step(1), 60.0, False),
        (step(1, service=True), 60.0, True),
    ],
    ids=["urgent", "has time", "had time", "worthless", "service"],
)
def test_tasks_stopped_on_stalled_worker(
    spec: StepSpec, after_s: float, expected: bool
) -> None:
    """The objective is twice the estimate plus 1 s."""
    only = _worker_running(spec)
    found = progress.placements_to_stop(only, NOW_S + after_s)
    assert found == (list(only.placements.values()) if expected else [])


def test_stalled_worker_is_replaced_and_probed() -> None:
    """The worker keeps answering calls; after its quarantine it is probed."""

    async def run() -> None:
        async with cell(workers=2) as running_cell:
            running_cell.fleet.reports_progress = True
            running_cell.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.4)
            stuck = running_cell.fleet.workers["w0"]
            stuck.stalled = True
            owner = await running_cell.own()
            await submit(owner, "a", job(attrs.evolve(step(4), most_per_worker=2)))
            await until(lambda: len(running_cell.fleet.done) == 4)
            assert running_cell.fleet.faults == []
            resting = owner.cluster_state.fleet.workers["w0"]
            assert resting.is_probed and resting.rest_s > 0
            stuck.stalled = False
            await asyncio.sleep(resting.rest_s)
            await submit(owner, "b", job(attrs.evolve(step(4), most_per_worker=2)))
            await until(lambda: len(running_cell.fleet.done) == 8)
            assert not resting.is_probed and running_cell.fleet.faults == []

    run_async(run())
