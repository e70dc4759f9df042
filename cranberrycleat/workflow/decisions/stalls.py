"""Steps of which nothing runs although workers that they may use have room.

The platform counts such a job as lost after `STALL_S` if less than half of the pool is
in use. Precautions keep workers from a step: an exclusion after failures, the rest of a
worker after a quarantine, room reserved for a gang. Each has an end of its own, but
several may follow one another, and some last longer than that. After `STALL_YIELD_S`
the planner therefore places one task or gang of such a step wherever there is room.

`StallMonitor` reports the steps that stall all the same, whatever the reason, since a
reason may itself be the fault.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.pool_snapshot import (
    NO_ROOM,
    could_run_on,
    per_resource,
    used_share,
)
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
STALL_YIELD_S: Final = 1.5
"""How long nothing of a job runs before precautions no longer keep it from room. A
permit, storing and the start follow; a call for many permits takes up to 1 s."""
STALL_ROOM_FACTOR: Final = 2
"""The platform asks for this many times the room that the tasks take."""
STALL_MAX_USE: Final = 0.5
"""The platform counts no stalls while at least this share of the pool is in use."""
MAX_REPORTED_STALLS: Final = 20
"""Stalled steps reported at a time; a fault of the whole system stalls all of them."""


def yields_to(
    cluster_state: ClusterState, step: StepRun, pool_used_share: float, now: float
) -> bool:
    """Return whether precautions no longer keep a waiting step from room.

    Updates since when nothing of the step's job runs. A service counts each member
    that waits, however much of the pool is in use.

    Args:
        cluster_state: The owner's in-memory state.
        step: A step with tasks that may be placed.
        pool_used_share: The share of its pool's processors that is in use.
        now: The owner's clock.
    """
    if not step.spec.service and _is_placed(cluster_state, step):
        step.idle_since = None
        return False
    if step.idle_since is None:
        step.idle_since = now
    if now - step.idle_since < STALL_YIELD_S:
        return False
    return step.spec.service or pool_used_share < STALL_MAX_USE


def _is_placed(cluster_state: ClusterState, step: StepRun) -> bool:
    """Return whether anything of a step's job is placed."""
    placements = cluster_state.placements_of(step.job.job_id)
    return any(placement.is_current for _, placement in placements)


@attrs.frozen(kw_only=True)
class _SoundWorkers:
    """The workers of a pool with a label that could start tasks.

    Attributes:
        workers: The workers.
        max_free: Maximum of each resource that any of them has free. It rules out all
            of them with one comparison: 5,000 steps that wait for a label nobody has
            took 0.11 s of each check.
    """

    workers: tuple[FleetWorker, ...]
    max_free: Amounts


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
    _sound: dict[tuple[str, str], "_SoundWorkers"] = attrs.field(factory=dict)

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
        self._sound = {}
        used: dict[str, float] = {}
        found: list[Stall] = []
        for step, since in self._idle_since.items():
            if len(found) == MAX_REPORTED_STALLS:
                break
            if now - since < STALL_S or step in self._reported:
                continue
            pool = step.job.queue.pool
            if pool not in used:
                used[pool] = used_share(self.cluster_state.fleet.workers_in_pool(pool))
            if used[pool] >= STALL_MAX_USE:
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
        sound = self._sound_workers(step.job.queue.pool, step.spec.label, now)
        if not how_many_fit(needs, sound.max_free):
            return 0
        for worker in sound.workers:
            if not could_run_on(step.spec, worker):
                continue
            if step.job.queue.permits is not None and (
                permits is None or worker.name not in permits.tickets
            ):
                continue
            room += min(limit, how_many_fit(needs, worker.free))
        return room

    def _sound_workers(self, pool: str, label: str, now: float) -> "_SoundWorkers":
        """Return the sound workers of a pool with a label, found once a check."""
        found = self._sound.get((pool, label))
        if found is None:
            everyone: Iterable[FleetWorker]
            if label:
                everyone = self._sound_workers(pool, "", now).workers
                workers = [each for each in everyone if label in each.entry.labels]
            else:
                everyone = self.cluster_state.fleet.workers_in_pool(pool)
                workers = [each for each in everyone if _is_sound(each, now)]
            free = [each.free for each in workers]
            found = self._sound[pool, label] = _SoundWorkers(
                workers=tuple(workers),
                max_free=per_resource(max, free) if free else NO_ROOM,
            )
        return found


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
