"""When a task whose attempt failed is tried again, and that it goes elsewhere."""

import pytest

from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.fleet import FleetWorker, Standing
from cranberrycleat.workflow.planner import Planner
from cranberrycleat.workflow.ports import EndedTask, EndKind, SyncReply
from cranberrycleat.workflow.retrying import (
    LAST_CHANCE_PAUSE_S,
    LONGEST_SERVICE_PAUSE_S,
    SERVICE_PAUSE_S,
    pause_s,
)
from tests.cell import entry, job, queue, step


@pytest.mark.parametrize(
    ("failures", "most", "failed_on", "expected"),
    [
        (1, 4, 1, 0.0),
        (2, 4, 2, 0.0),
        (3, 4, 3, 0.0),
        (3, 4, 1, LAST_CHANCE_PAUSE_S),
        (1, 2, 1, LAST_CHANCE_PAUSE_S),
        (3, 4, 0, LAST_CHANCE_PAUSE_S),
    ],
)
def test_only_a_last_chance_waits(
    failures: int, most: int, failed_on: int, expected: float
) -> None:
    """A first failure costs no time; the last attempt waits for evidence."""
    found = pause_s(
        failures=failures, most_attempts=most, failed_on=failed_on, service=False
    )
    assert found == expected


@pytest.mark.parametrize(
    ("failures", "expected"),
    [
        (1, SERVICE_PAUSE_S),
        (2, 2 * SERVICE_PAUSE_S),
        (9, LONGEST_SERVICE_PAUSE_S),
    ],
)
def test_a_service_that_cannot_start_is_tried_more_and_more_seldom(
    failures: int, expected: float
) -> None:
    """Nothing else limits its attempts."""
    found = pause_s(failures=failures, most_attempts=1, failed_on=9, service=True)
    assert found == expected


def test_a_failed_task_goes_to_another_worker_in_the_same_round() -> None:
    """Half the slack of a short job was a pause that protected nothing."""
    board = Board(time_of_day=lambda: 1000.0, now=lambda: 0.0)
    for name in ("w0", "w1"):
        worker = FleetWorker(entry=entry(name), standing=Standing.LIVE)
        board.fleet.workers[name] = worker
    board.accept("a", queue(max_attempts=4), job(step()))
    planner = Planner(board=board)
    planner.plan(now=0.0, now_s=1000.0)
    task = board.jobs["a"].open[0].steps[0].tasks[0]
    failed_at = task.worker
    end = EndedTask(number=1, task=task.name, attempt=1, how=EndKind.FAILED, saved="")
    reply = SyncReply(worker_time_ms=1000, running=(), ended=(end,))
    board.sync(board.fleet.workers[failed_at], reply, sent_at=0.1, now=0.2)
    planner.plan(now=0.2, now_s=1000.2)
    assert task.attempt == 2
    assert task.worker and task.worker != failed_at
