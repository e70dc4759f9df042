"""Tells why a step waits: what keeps its tasks back, and each worker from taking them.

The planner logs the counts with `step.waiting`. `StallMonitor` finds steps of which
nothing runs although workers that they may use have room; that is reported whatever the
reason, since a reason may itself be the fault.
"""

import collections
import enum
from collections.abc import Callable, Container, Iterator, Mapping
from typing import Final

import attrs

from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.pool_snapshot import could_run_on
from cranberrycleat.workflow.fleet import (
    MAX_ZERO_NEED_TASKS,
    FleetWorker,
    Liveness,
    Placement,
    how_many_fit,
    reserved_resources,
)
from cranberrycleat.workflow.state import StepRun, Task

STALL_S: Final = 3.0
"""The platform counts a job as lost of which nothing runs for this long although its
tasks could."""
STALL_ROOM_FACTOR: Final = 2
"""The platform asks for this many times the room that the tasks take."""
MAX_REPORTED_STALLS: Final = 20
"""Stalled steps reported at a time; a fault of the whole system stalls all of them."""


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


@attrs.frozen(kw_only=True)
class Stall:
    """A step of which nothing has run for `STALL_S` although workers have room.

    Attributes:
        step: The step.
        for_s: For how long nothing of it has run.
        room: How many of its tasks would fit on the workers that it may use.
        unbegun: The number of its placed tasks that have not begun, by what they wait
            for.
    """

    step: StepRun
    for_s: float
    room: int
    unbegun: Mapping[str, int]


@attrs.define(kw_only=True, eq=False)
class StallMonitor:
    """Finds stalled steps; each is reported once, until something of it runs again.

    Only steps without a quota of their workspace are checked: others may wait for it.

    Attributes:
        cluster_state: The owner's in-memory state.
    """

    cluster_state: ClusterState
    _idle_since: dict[StepRun, float] = attrs.field(factory=dict)
    _reported: set[StepRun] = attrs.field(factory=set)

    def check(self, now: float) -> list[Stall]:
        """Return the steps that have stalled since the last check."""
        unbegun = self._unbegun_by_step()
        idle = {*self.cluster_state.waiting.values(), *unbegun}
        idle = {step for step in idle if not self._runs(step)}
        self._idle_since = {
            step: self._idle_since.get(step, now)
            for step in idle
            if step.job.verdict is None
        }
        self._reported &= idle
        found: list[Stall] = []
        for step, since in self._idle_since.items():
            if len(found) == MAX_REPORTED_STALLS:
                break
            if now - since < STALL_S or step in self._reported:
                continue
            room = self._room_of(step, now)
            if room < STALL_ROOM_FACTOR * _tasks_at_once(step):
                continue
            self._reported.add(step)
            found.append(
                Stall(
                    step=step,
                    for_s=now - since,
                    room=room,
                    unbegun=dict(unbegun.get(step, {})),
                )
            )
        return found

    def _unbegun_by_step(self) -> "dict[StepRun, collections.Counter[str]]":
        found: dict[StepRun, collections.Counter[str]] = {}
        for placement, task in self._current_placements():
            if not placement.running:
                counts = found.setdefault(task.step, collections.Counter())
                counts[_start_stage(placement)] += 1
        return found

    def _current_placements(self) -> Iterator[tuple[Placement, Task]]:
        for of_job in self.cluster_state.placed.values():
            for _, placement in of_job.values():
                if placement.tracked_task is not None and placement.is_current:
                    yield placement, placement.tracked_task

    def _runs(self, step: StepRun) -> bool:
        """Return whether anything of a step's occurrence is known to run."""
        return any(
            placement.running
            for _, placement in self.cluster_state.placements_of(step.job.job_id)
        )

    def _room_of(self, step: StepRun, now: float) -> int:
        """Return how many tasks of a step fit on the workers that it may use now.

        A worker counts unless it is silent, leaving, held, or reported as unhealthy;
        a reservation, an exclusion and a quarantine do not count as reasons.
        """
        cluster_state = self.cluster_state
        if cluster_state.quotas.quota_of(step.job.workspace) is not None:
            return 0
        needs = reserved_resources(step.spec)
        limit = step.spec.most_per_worker or MAX_ZERO_NEED_TASKS
        permits = cluster_state.permits.get(step.name)
        room = 0
        for worker in cluster_state.fleet.workers_in_pool(step.job.queue.pool):
            if not _is_sound(worker, now) or not could_run_on(step.spec, worker):
                continue
            if step.job.queue.permits is not None and (
                permits is None or worker.name not in permits.tickets
            ):
                continue
            room += min(limit, how_many_fit(needs, worker.free))
        return room


def _tasks_at_once(step: StepRun) -> int:
    return step.spec.count if step.spec.gang else 1


def _is_sound(worker: FleetWorker, now: float) -> bool:
    return (
        worker.liveness is Liveness.LIVE
        and worker.listed
        and worker.entry.readable
        and not worker.entry.leaving
        and not worker.unresponsive
        and not worker.held
        and not worker.has_unsized()
        and not worker.leaves_orders_unanswered(now)
    )


def _start_stage(placement: Placement) -> str:
    """Return what the start of a placement that has not begun waits for."""
    if placement.stopping:
        return "is stopped"
    if not placement.stored:
        return "not stored"
    if placement.ordered:
        return "its start is not answered"
    return "not ordered"
