"""Tests of what is reported about steps that wait."""

import pytest

from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.decisions.stalls import (
    CHECK_AGAIN_S,
    STALL_S,
    StallMonitor,
)
from cranberrycleat.workflow.decisions.wait_report import (
    Obstacle,
    TaskObstacle,
    count_task_obstacles,
)
from cranberrycleat.workflow.ports import Permit, PermitTiming
from cranberrycleat.workflow.state import StepRun
from tests.cell import job, queue, step
from tests.test_planner import NOW_S, cluster_state, plan, submit, worker

POLICY = PermitTiming(decide_s=0.1, each_s=0.0, valid_s=60.0)


def step_of(owner_board: ClusterState, job_id: str) -> StepRun:
    """Return the only step of a job."""
    return owner_board.jobs[job_id].open[0].steps[0]


def permit(owner_board: ClusterState, waiting: StepRun, asked: str, had: str) -> None:
    """Record that the permit service was asked for some workers and allowed some."""
    permits = owner_board.permits_of(waiting)
    assert permits is not None
    tickets = tuple(Permit(worker=name, ticket=f"t-{name}") for name in had.split())
    permits.record_answer(tuple(asked.split()), tickets, sent_at=0.0)


def test_workers_are_counted_by_why_they_take_no_task() -> None:
    """Each worker counts once, with the first reason that applies to it."""
    workers = {name: worker(name) for name in ("left", "asked", "failed", "used", "ok")}
    workers["small"] = worker("small", processors=1000)
    workers["silent"] = worker("silent")
    workers["silent"].unresponsive = True
    workers["unknown"] = worker("unknown")
    owner_board = cluster_state(*workers.values())
    submit(owner_board, "long", job(step(1, processors=3000)), queue())
    (long,) = step_of(owner_board, "long").tasks
    owner_board.place(long, workers["used"], 1, now=0.0)
    spec = job(step(1, processors=2000))
    submit(owner_board, "a", spec, queue(name="p", permits=POLICY))
    waiting = step_of(owner_board, "a")
    permit(owner_board, waiting, "left asked failed used ok", "left failed used ok")
    workers["left"].quarantine(0.0)
    workers["failed"].failures = 1
    waiting.tasks[0].failed_on["failed"] = 0.0
    planner = Planner(cluster_state=owner_board)
    assert planner.obstacles(waiting, 0.0) == {
        "rests after failures": 1,
        "in a silent data centre": 1,
        Obstacle.UNSUITABLE.value: 1,
        Obstacle.NOT_QUERIED.value: 1,
        Obstacle.NOT_PERMITTED.value: 1,
        Obstacle.EXCLUDED.value: 1,
        Obstacle.IN_USE.value: 1,
        Obstacle.HAS_ROOM.value: 1,
    }


@pytest.mark.parametrize(
    "expected", [TaskObstacle.RETRY_DELAY, TaskObstacle.NO_VERDICT]
)
def test_tasks_are_counted_by_what_holds_them_back(expected: TaskObstacle) -> None:
    """A task that a round does not consider is reported with the reason."""
    owner_board = cluster_state(worker("w"))
    submit(owner_board, "a", job(step(2)), queue())
    waiting = step_of(owner_board, "a")
    task = waiting.tasks[0]
    if expected is TaskObstacle.RETRY_DELAY:
        task.not_before = 5.0
    else:
        waiting.ensure_losses_of(task).undecided.add("w")
    found = count_task_obstacles(owner_board, waiting, 0.0)
    assert found == {expected.value: 1}


def test_orphaned_attempt_holds_its_task_back() -> None:
    """A task of which an earlier attempt may run is reported as held back."""
    owner_board = cluster_state(worker("w"))
    submit(owner_board, "a", job(step(1)), queue())
    waiting = step_of(owner_board, "a")
    owner_board.orphaned["a.0.0.0"] += 1
    found = count_task_obstacles(owner_board, waiting, 0.0)
    assert found == {TaskObstacle.EARLIER_ATTEMPT.value: 1}


# Guards against a wait that no log shows: nothing of a step runs for longer than the
# platform accepts, while workers that it may use have room.
def test_step_is_reported_as_stalled_once() -> None:
    owner_board = cluster_state(worker("w"))
    submit(owner_board, "a", job(step(2)), queue())
    monitor = StallMonitor(cluster_state=owner_board)
    assert not monitor.check(0.0)
    assert not monitor.check(STALL_S - 0.1)
    (stall,) = monitor.check(STALL_S)
    assert stall.step is step_of(owner_board, "a") and stall.room == 4
    assert not monitor.check(STALL_S + 1)


def test_time_without_authority_is_no_stall() -> None:
    """While its owner may not order, a step cannot begin; the time counts anew."""
    owner_board = cluster_state(worker("w"))
    submit(owner_board, "a", job(step(2)), queue())
    monitor = StallMonitor(cluster_state=owner_board)
    monitor.check(0.0)
    monitor.reset()
    assert not monitor.check(STALL_S)
    assert len(monitor.check(2 * STALL_S)) == 1


def test_step_on_pool_in_use_is_not_stalled() -> None:
    """The platform counts no stall while half of the pool is in use."""
    used, idle = worker("used"), worker("idle")
    owner_board = cluster_state(used, idle)
    submit(owner_board, "long", job(step(1, processors=4000)), queue())
    (long,) = step_of(owner_board, "long").tasks
    owner_board.place(long, used, 1, now=0.0).began(0.0)
    submit(owner_board, "a", job(step(1)), queue())
    monitor = StallMonitor(cluster_state=owner_board)
    monitor.check(0.0)
    assert not monitor.check(STALL_S)
    owner_board.fleet.workers["third"] = worker("third")
    assert len(monitor.check(2 * STALL_S)) == 1


def test_step_with_a_running_task_is_not_stalled() -> None:
    """The time without any running task counts from when the last one ended."""
    owner_board = cluster_state(worker("w"))
    submit(owner_board, "a", job(step(6)), queue())
    monitor = StallMonitor(cluster_state=owner_board)
    monitor.check(0.0)
    plan(owner_board)
    placements = list(owner_board.fleet.workers["w"].placements.values())
    for placement in placements:
        placement.began(1.0)
    assert not monitor.check(STALL_S)
    for placement in placements:
        owner_board.give_up(owner_board.fleet.workers["w"], placement, "lost")
    assert not monitor.check(4.0)
    assert len(monitor.check(4.0 + STALL_S)) == 1


def test_placed_step_that_does_not_begin_is_stalled() -> None:
    """The report tells what the starts of its placed tasks wait for."""
    owner_board = cluster_state(worker("w"), worker("v"))
    submit(owner_board, "a", job(step(1)), queue())
    plan(owner_board)
    monitor = StallMonitor(cluster_state=owner_board)
    monitor.check(0.0)
    (stall,) = monitor.check(STALL_S)
    assert stall.unbegun == {"not stored": 1}


@pytest.mark.parametrize(
    ("processors", "tasks", "gang"),
    [(3000, 1, False), (1000, 3, True), (5000, 1, False)],
    ids=["room for one only", "room for less than two gangs", "too large"],
)
def test_step_without_twice_the_room_is_not_stalled(
    processors: int, tasks: int, gang: bool
) -> None:
    """A step may wait for room, as the platform sees it, if there is little of it."""
    owner_board = cluster_state(worker("w"))
    spec = job(step(tasks, processors=processors, gang=gang))
    submit(owner_board, "a", spec, queue())
    monitor = StallMonitor(cluster_state=owner_board)
    monitor.check(0.0)
    assert not monitor.check(2 * STALL_S)


def test_only_permitted_workers_count_as_room() -> None:
    """A worker that the permit service has not allowed is no room for a step."""
    owner_board = cluster_state(worker("w"), worker("v"))
    at = queue(name="p", permits=POLICY)
    submit(owner_board, "a", job(step(1)), at)
    waiting = step_of(owner_board, "a")
    permit(owner_board, waiting, "w", "")
    monitor = StallMonitor(cluster_state=owner_board)
    monitor.check(0.0)
    assert not monitor.check(STALL_S)
    permit(owner_board, waiting, "w v", "v")
    (stall,) = monitor.check(STALL_S + CHECK_AGAIN_S)
    assert stall.room == 4, "four tasks fit on one worker"


def test_held_back_step_is_logged() -> None:
    """A step of which no task may be placed yet is named, with the reason."""
    owner_board = cluster_state(worker("w"))
    submit(owner_board, "a", job(step(1)), queue())
    waiting = step_of(owner_board, "a")
    waiting.tasks[0].not_before = 5.0
    Planner(cluster_state=owner_board).plan(now=0.0, now_s=NOW_S)
    assert waiting.wait_reason == "its tasks are held back"
