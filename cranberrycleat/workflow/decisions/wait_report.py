"""Tells why a step waits: what keeps its tasks back, and each worker from taking them.

The planner logs the counts with `step.waiting`.
"""

import collections
import enum
from collections.abc import Callable, Container

from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.pool_snapshot import could_run_on
from cranberrycleat.workflow.fleet import FleetWorker, reserved_resources
from cranberrycleat.workflow.state import StepRun, Task


class Obstacle(enum.Enum):
    """Why a worker that may be given work is not given a task of a step."""

    UNSUITABLE = "lacks its label or capacity"
    NOT_QUERIED = "its permit was not queried"
    NOT_PERMITTED = "not permitted"
    EXCLUDED = "failed or was lost under its tasks"
    AT_LIMIT = "holds as many of its tasks as it may"
    IN_USE = "in use"
    RESERVED = "reserved for a gang"
    HAS_ROOM = "has room"


class TaskObstacle(enum.Enum):
    """Why a pending task is not considered in a round."""

    NO_VERDICT = "a loss of its worker is not judged yet"
    RETRY_DELAY = "its retry is not due"
    EARLIER_ATTEMPT = "an earlier attempt may run or start late"


def task_obstacle(
    cluster_state: ClusterState, task: Task, now: float
) -> TaskObstacle | None:
    """Return why a pending task may not be placed at present, or None."""
    step = task.step
    if step.losses and step.awaits_verdict(task):
        return TaskObstacle.NO_VERDICT
    if task.not_before > now:
        return TaskObstacle.RETRY_DELAY
    if cluster_state.restricts_placing() and cluster_state.has_earlier_attempt(task):
        return TaskObstacle.EARLIER_ATTEMPT
    return None


def count_task_obstacles(
    cluster_state: ClusterState, step: StepRun, now: float
) -> dict[str, int]:
    """Return how many pending tasks of a step are held back, by reason."""
    found = (task_obstacle(cluster_state, task, now) for task in step.pending())
    return dict(collections.Counter(each.value for each in found if each is not None))


def count_obstacles(
    cluster_state: ClusterState,
    step: StepRun,
    *,
    now: float,
    usable: Container[FleetWorker],
    fits_unreserved: Callable[[FleetWorker], bool],
    tasks_allowed_on: Callable[[FleetWorker], int],
) -> dict[str, int]:
    """Return how many workers of a step's pool take none of its tasks, by reason.

    Args:
        cluster_state: The owner's in-memory state.
        step: The step.
        now: The owner's clock.
        usable: The workers not excluded for failures under its tasks.
        fits_unreserved: Returns whether a task fits beside what gangs have reserved.
        tasks_allowed_on: Returns how many more tasks the step's limit allows there.
    """
    permits = cluster_state.permits.get(step.name)
    needs = reserved_resources(step.spec)

    def obstacle(worker: FleetWorker) -> str:
        unavailable = worker.unavailable_reason(now)
        if unavailable is not None:
            return unavailable
        if not could_run_on(step.spec, worker):
            return Obstacle.UNSUITABLE.value
        if step.job.queue.permits is not None:
            if permits is None or worker.name not in permits.asked:
                return Obstacle.NOT_QUERIED.value
            if worker.name not in permits.tickets:
                return Obstacle.NOT_PERMITTED.value
        if worker not in usable:
            return Obstacle.EXCLUDED.value
        if tasks_allowed_on(worker) <= 0:
            return Obstacle.AT_LIMIT.value
        if not needs.fits_in(worker.free):
            return Obstacle.IN_USE.value
        if not fits_unreserved(worker):
            return Obstacle.RESERVED.value
        return Obstacle.HAS_ROOM.value

    workers = cluster_state.fleet.workers_in_pool(step.job.queue.pool)
    return dict(collections.Counter(map(obstacle, workers)))
