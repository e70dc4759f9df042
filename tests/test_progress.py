"""Workers on which nothing moves: found by progress, left, and tried again."""

import asyncio

import attrs
import pytest

from cranberrycleat.standins.fleet import Work
from cranberrycleat.workflow import progress
from cranberrycleat.workflow.fleet import FleetWorker, Placement
from cranberrycleat.workflow.planner import Planner
from cranberrycleat.workflow.ports import RunningTask
from cranberrycleat.workflow.spec import StepSpec
from tests.cell import cell, job, queue, step, submit, until
from tests.fakes import go
from tests.test_planner import NOW_S, board, worker

MORE = progress.STILL_S + 0.1


def _listed(each: Placement, percent: float) -> RunningTask:
    return RunningTask(
        task=each.task, attempt=each.attempt, saved="", percent=percent, reading=900.0
    )


def _running(*specs: StepSpec) -> FleetWorker:
    """Return a worker on which one job of each spec has just begun."""
    only = worker("w", processors=16000)
    made = board(only)
    for number, spec in enumerate(specs):
        made.accept(f"j{number}", queue(), job(spec))
    Planner(board=made).plan(now=0.0, now_s=NOW_S)
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
def test_who_stands_still(
    specs: tuple[StepSpec, ...], percents: tuple[float, ...], expected: bool
) -> None:
    only = _running(*specs)
    for each, percent in zip(only.placements.values(), percents, strict=True):
        each.heard(_listed(each, percent), MORE)
    assert progress.stands_still(only, MORE) is expected


def test_a_task_that_has_just_begun_says_nothing() -> None:
    only = _running(step(1))
    assert not progress.stands_still(only, progress.STILL_S / 2)


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
def test_what_leaves_a_worker_that_stands_still(
    spec: StepSpec, after_s: float, expected: bool
) -> None:
    """Objectives: twice the estimate and 1 s."""
    only = _running(spec)
    found = progress.to_stop(only, NOW_S + after_s)
    assert found == (list(only.placements.values()) if expected else [])


def test_its_tasks_are_done_elsewhere_once_and_it_is_tried_again() -> None:
    """The worker goes on answering; after a rest it is given one task."""

    async def run() -> None:
        async with cell(workers=2) as made:
            made.fleet.tells_progress = True
            made.fleet.work = lambda task, attempt: Work(seconds=0.4)
            stuck = made.fleet.workers["w0"]
            stuck.stands_still = True
            owner = await made.own()
            await submit(owner, "a", job(attrs.evolve(step(4), most_per_worker=2)))
            await until(lambda: len(made.fleet.done) == 4)
            assert made.fleet.faults == []
            resting = owner.board.fleet.workers["w0"]
            assert resting.probing and resting.rest_s > 0
            stuck.stands_still = False
            await asyncio.sleep(resting.rest_s)
            await submit(owner, "b", job(attrs.evolve(step(4), most_per_worker=2)))
            await until(lambda: len(made.fleet.done) == 8)
            assert not resting.probing and made.fleet.faults == []

    go(run())
