"""Steps of which nothing runs although workers that they may use have room.

The platform counts such a job as lost after `STALL_S` if less than half of the pool is
in use; a service, whatever is in use, if a member of it waits. Precautions keep workers
from a step: an exclusion after failures, the rest of a worker after a quarantine, room
reserved for a gang. Each has an end of its own, but several may follow one another, and
some last longer than that. After `STALL_YIELD_S` the planner therefore places tasks of
such a step, its gang, or the waiting members of a service, wherever there is room.

`StallMonitor` reports the steps that stall all the same, whatever the reason, since a
reason may itself be the fault.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.pool_snapshot import could_run_on, max_of
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
STALL_YIELD_S: Final = 2.0
"""How long nothing of a job runs before precautions no longer keep it from room. A
permit, storing and the start follow."""
YIELD_SPACING_S: Final = 0.2
"""The least time between two stalled steps that a suspected worker is given."""
MAX_YIELDING_STEPS: Final = 30
"""Stalled steps for which a round looks for room; each look is at every worker."""
YIELD_RETRY_S: Final = 0.2
"""After how long room is looked for again for a step for which none was found."""
FIRM_AFTER_S: Final = 10.0
"""How long nothing of a gang runs before the room that it reserves no longer yields to
stalled steps of lower rank: those that arrive all the time would starve it."""
STALL_ROOM_FACTOR: Final = 2
"""The platform asks for this many times the room that the tasks take."""
STALL_MAX_USE: Final = 0.5
"""The platform counts no stalls while at least this share of the pool is in use."""
MAX_REPORTED_STALLS: Final = 20
"""Stalled steps reported at a time; a fault of the whole system stalls all of them."""
MAX_CHECKED_STEPS: Final = 50
"""Idle steps that one check compares with the workers; the others follow."""
CHECK_AGAIN_S: Final = 2.0
"""After how long an idle step without enough room is compared again."""


def is_idle_too_long(cluster_state: ClusterState, step: StepRun, now: float) -> bool:
    """Return whether nothing of a waiting step's job has run for `STALL_YIELD_S`.

    Updates since when that is so. A service counts by its members that wait: each of
    them is to run, whatever else of its job does.

    Args:
        cluster_state: The owner's in-memory state.
        step: A step with tasks that may be placed.
        now: The owner's clock.
    """
    if not step.spec.service and _is_placed(cluster_state, step):
        step.idle_since = None
        return False
    if step.idle_since is None:
        step.idle_since = now
    return now - step.idle_since >= STALL_YIELD_S


def is_firm(gang: StepRun, now: float) -> bool:
    """Return whether the reservation of a gang does not yield to stalled steps."""
    return gang.idle_since is not None and now - gang.idle_since >= FIRM_AFTER_S


def _is_placed(cluster_state: ClusterState, step: StepRun) -> bool:
    """Return whether anything of a step's job is placed on a worker that answers."""
    return any(
        placement.is_current and worker.liveness is Liveness.LIVE
        for worker, placement in cluster_state.placements_of(step.job.job_id)
    )


def used_share(workers: Iterable[FleetWorker]) -> float:
    """Return the share of the processors of the live ones among workers in use.

    Placed tasks that have not begun do not count: the platform sees what runs.
    """
    capacity = used = 0
    for worker in workers:
        if worker.liveness is Liveness.LIVE:
            capacity += worker.entry.capacity.processors
            used += sum(
                each.needs.processors
                for each in worker.placements.values()
                if each.running
            )
    return used / max(1, capacity)


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

    Attributes:
        cluster_state: The owner's in-memory state.
    """

    cluster_state: ClusterState
    _idle_since: dict[StepRun, float] = attrs.field(factory=dict)
    _reported: set[StepRun] = attrs.field(factory=set)
    _check_at: dict[StepRun, float] = attrs.field(factory=dict)

    def reset(self) -> None:
        """Count anew from the next check; what was reported may be reported again."""
        self._idle_since.clear()
        self._reported.clear()
        self._check_at.clear()

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
        self._check_at = {
            step: at for step, at in self._check_at.items() if step in idle and at > now
        }
        checked = 0
        pools: dict[str, tuple[list[FleetWorker], Amounts]] = {}
        found: list[Stall] = []
        for step, since in self._idle_since.items():
            if len(found) == MAX_REPORTED_STALLS or checked == MAX_CHECKED_STEPS:
                break
            if now - since < STALL_S or step in self._reported:
                continue
            if step in self._check_at:
                continue
            pool = step.job.queue.pool
            if pool not in pools:
                pools[pool] = self._sound_workers(pool, now)
            workers, max_free = pools[pool]
            if not reserved_resources(step.spec).fits_in(max_free):
                continue
            checked += 1
            self._check_at[step] = now + CHECK_AGAIN_S
            room = self._room_of(step, workers)
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
        """Return whether a step is at work: anything of its job, all of a service."""
        if step.spec.service and step.pending():
            return False
        return any(
            placement.running
            for _, placement in self.cluster_state.placements_of(step.job.job_id)
        )

    def _sound_workers(
        self, pool: str, now: float
    ) -> tuple[list[FleetWorker], Amounts]:
        """Return the workers of a pool that could begin tasks, and their room at most.

        There are none while as much of the pool is in use that no stall counts. A
        worker counts unless it is silent, leaving, held, or takes no orders; a
        reservation, an exclusion and a quarantine do not count as reasons.
        """
        workers = self.cluster_state.fleet.workers_in_pool(pool)
        if used_share(workers) >= STALL_MAX_USE:
            return [], NOTHING
        sound = [each for each in workers if _is_sound(each, now)]
        return sound, max_of(each.free for each in sound)

    def _room_of(self, step: StepRun, workers: list[FleetWorker]) -> int:
        """Return how many tasks of a step fit on those of some workers it may use.

        As long as no permits of it were asked for, it may use any of them.
        """
        cluster_state = self.cluster_state
        needs = reserved_resources(step.spec)
        workspace, tasks = step.job.workspace, _tasks_at_once(step)
        if not cluster_state.quotas.may_begin(workspace, needs, tasks):
            return 0
        limit = step.spec.most_per_worker or MAX_ZERO_NEED_TASKS
        permits = cluster_state.permits.get(step.name)
        asked = permits is not None and (permits.asked or permits.calls_in_flight)
        return sum(
            min(limit, how_many_fit(needs, worker.free))
            for worker in workers
            if could_run_on(step.spec, worker)
            and (not asked or permits is None or worker.name in permits.tickets)
        )


def _tasks_at_once(step: StepRun) -> int:
    return step.spec.count if step.spec.gang else 1


def _is_sound(worker: FleetWorker, now: float) -> bool:
    return (
        worker.liveness is Liveness.LIVE
        and worker.listed
        and worker.entry.readable
        and not worker.entry.leaving
        and worker.is_entry_recent(now)
        and not worker.unresponsive
        and not worker.is_held(now)
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
