"""Tests retry delays of failed tasks and their placement on another worker."""

import pytest

from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.decisions.retrying import (
    LAST_ATTEMPT_DELAY_S,
    MAX_SERVICE_RESTART_DELAY_S,
    SERVICE_RESTART_DELAY_S,
    retry_delay_s,
)
from cranberrycleat.workflow.fleet import FleetWorker, Liveness
from cranberrycleat.workflow.ports import EndedTask, EndKind, SyncReply
from tests.cell import entry, job, queue, step


@pytest.mark.parametrize(
    ("failures", "most", "failed_on", "expected"),
    [
        (1, 4, 1, 0.0),
        (2, 4, 2, 0.0),
        (3, 4, 3, 0.0),
        (3, 4, 1, LAST_ATTEMPT_DELAY_S),
        (1, 2, 1, LAST_ATTEMPT_DELAY_S),
        (3, 4, 0, LAST_ATTEMPT_DELAY_S),
    ],
)
def test_only_last_attempt_is_delayed(
    failures: int, most: int, failed_on: int, expected: float
) -> None:
    """Only the last attempt waits, so that a failing worker can be detected first."""
    found = retry_delay_s(
        failures=failures, most_attempts=most, failed_on=failed_on, service=False
    )
    assert found == expected


@pytest.mark.parametrize(
    ("failures", "expected"),
    [
        (1, SERVICE_RESTART_DELAY_S),
        (2, 2 * SERVICE_RESTART_DELAY_S),
        (9, MAX_SERVICE_RESTART_DELAY_S),
    ],
)
def test_service_restart_delay_doubles(failures: int, expected: float) -> None:
    """The attempts of a service are not limited otherwise."""
    found = retry_delay_s(failures=failures, most_attempts=1, failed_on=9, service=True)
    assert found == expected


def test_failed_task_is_placed_elsewhere_at_once() -> None:
    """Guards against an unneeded retry delay that used half of a short job's slack."""
    cluster_state = ClusterState(time_of_day=lambda: 1000.0, now=lambda: 0.0)
    for name in ("w0", "w1"):
        worker = FleetWorker(entry=entry(name), liveness=Liveness.LIVE)
        cluster_state.fleet.workers[name] = worker
    cluster_state.accept("a", queue(max_attempts=4), job(step()))
    planner = Planner(cluster_state=cluster_state)
    planner.plan(now=0.0, now_s=1000.0)
    task = cluster_state.jobs["a"].open[0].steps[0].tasks[0]
    failed_at = task.worker
    end = EndedTask(number=1, task=task.name, attempt=1, how=EndKind.FAILED, saved="")
    reply = SyncReply(worker_time_ms=1000, running=(), ended=(end,))
    cluster_state.sync(
        cluster_state.fleet.workers[failed_at], reply, sent_at=0.1, now=0.2
    )
    planner.plan(now=0.2, now_s=1000.2)
    assert task.attempt == 2
    assert task.worker and task.worker != failed_at
