"""Selects the steps that a scheduling round considers.

A round considers a bounded number of steps, so that a backlog does not make it long.
Steps that cannot be placed must not use up that bound: 420 tasks that waited for a
label of lost workers kept all other steps from being placed beside 21 idle workers.

- Steps that no worker could run, by label and capacity, are left out; their wait is
  only logged. They are found by their common requirements, not one by one.
- Steps that cannot be placed at present, for want of room, of a permit or of a task
  that may be tried, have a bound of their own: they may still reserve or preempt.
"""

import collections
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.pool_snapshot import PoolSnapshot, per_resource
from cranberrycleat.workflow.decisions.wait_report import task_obstacle
from cranberrycleat.workflow.fleet import FleetWorker, reserved_resources
from cranberrycleat.workflow.state import StepRun, TaskState
from cranberrycleat.workflow.waiting import RequirementGroup

MAX_STEPS_SCANNED: Final = 400
"""Steps considered in one scheduling round: of those that might be placed, and of those
that cannot be placed at present."""
MAX_STEPS_PER_WORKSPACE: Final = 100
"""The same per workspace, if more steps wait than one round considers."""

NO_ROOM: Final = Amounts(processors=-1, memory_mb=-1, accelerators=-1, slots=-1)
"""Less than any task needs."""


@attrs.frozen(kw_only=True)
class LabelledWorkers:
    """The workers of a pool that have a label, at the beginning of a round.

    Attributes:
        schedulable: Those that take work.
        max_free: Maximum of each resource that any of these has free.
        total_free: The sum of what these have free.
        capacities: The largest capacities of those that take work or would but for
            their failures; any other capacity fits into one of them.
    """

    schedulable: tuple[FleetWorker, ...]
    max_free: Amounts
    total_free: Amounts
    capacities: tuple[Amounts, ...]

    def could_run(self, needs: Amounts) -> bool:
        """Return whether an empty worker could run a task with the given needs."""
        return any(needs.fits_in(each) for each in self.capacities)


@attrs.define(kw_only=True, eq=False)
class _Bound:
    """How many more steps of one kind a round considers."""

    left: int = MAX_STEPS_SCANNED
    _scanned: "collections.Counter[str]" = attrs.field(factory=collections.Counter)

    def admits(self, step: StepRun) -> bool:
        """Return whether another step is considered, and count it.

        Guards against a workspace that submits many times its usual load: its backlog,
        which its quota holds back, must not displace the steps of other workspaces.
        """
        workspace = step.job.workspace
        if not self.left or self._scanned[workspace] >= MAX_STEPS_PER_WORKSPACE:
            return False
        self._scanned[workspace] += bool(workspace)
        self.left -= 1
        return True


@attrs.define(kw_only=True, eq=False)
class RoundScan:
    """The selection of steps in one scheduling round.

    Attributes:
        cluster_state: The owner's in-memory state.
        snapshot_of: Returns the round's snapshot of a pool.
        now: The owner's clock.
    """

    cluster_state: ClusterState
    snapshot_of: Callable[[str], PoolSnapshot]
    now: float
    _labelled: dict[tuple[str, str], LabelledWorkers] = attrs.field(factory=dict)
    _by_label: dict[str, dict[str, list[FleetWorker]]] = attrs.field(factory=dict)
    _with_room: dict[tuple[str, str, Amounts], frozenset[str]] = attrs.field(
        factory=dict
    )

    def is_served(self, group: RequirementGroup) -> bool:
        """Return whether any worker could run the steps of a group."""
        wanted = group.requirements
        return self._workers_with(wanted.pool, wanted.label).could_run(wanted.needs)

    def limit(self, steps: list[StepRun]) -> list[StepRun]:
        """Return the steps to consider, in the given order."""
        if len(steps) <= MAX_STEPS_SCANNED:
            return steps
        placeable, blocked = _Bound(), _Bound()
        found = []
        for step in steps:
            if not placeable.left and not blocked.left:
                break
            bound = placeable if self._might_be_placed(step) else blocked
            if bound.admits(step):
                found.append(step)
        return found

    def _might_be_placed(self, step: StepRun) -> bool:
        """Return whether a step might be placed in this round; False is definite."""
        needs = reserved_resources(step.spec)
        workers = self._workers_with(step.job.queue.pool, step.spec.label)
        if not needs.fits_in(workers.max_free):
            return False
        if step.spec.gang and not needs.times(len(step.tasks)).fits_in(
            workers.total_free
        ):
            return False
        return self._may_have_permit(step, needs) and self._has_placeable_task(step)

    def _may_have_permit(self, step: StepRun, needs: Amounts) -> bool:
        """Return whether a step has a permit for a worker with room, or may get one."""
        if step.job.queue.permits is None:
            return True
        permits = self.cluster_state.permits.get(step.name)
        if permits is None:
            return True
        pool, label = step.job.queue.pool, step.spec.label
        if not self._names_with_room(pool, label, needs).isdisjoint(permits.tickets):
            return True
        if permits.calls_in_flight:
            return False
        workers = self._workers_with(pool, label).schedulable
        return any(each.name not in permits.asked for each in workers)

    def _has_placeable_task(self, step: StepRun) -> bool:
        """Return whether a task of a step, or its whole gang, is not held back."""
        placeable = (
            task.state is TaskState.PENDING
            and task_obstacle(self.cluster_state, task, self.now) is None
            for task in step.tasks
        )
        return all(placeable) if step.spec.gang else any(placeable)

    def _workers_with(self, pool: str, label: str) -> LabelledWorkers:
        found = self._labelled.get((pool, label))
        if found is None:
            found = self._labelled[pool, label] = self._find_workers(pool, label)
        return found

    def _find_workers(self, pool: str, label: str) -> LabelledWorkers:
        snapshot = self.snapshot_of(pool)
        considered = (*snapshot.drawing, *snapshot.suspected)
        if label:
            considered = tuple(self._index(pool).get(label, ()))
        schedulable = tuple(w for w in considered if w.name in snapshot.by_name)
        free = [each.free for each in schedulable]
        return LabelledWorkers(
            schedulable=schedulable,
            max_free=per_resource(max, free) if free else NO_ROOM,
            total_free=per_resource(sum, free),
            capacities=_largest(each.entry.capacity for each in considered),
        )

    def _index(self, pool: str) -> dict[str, list[FleetWorker]]:
        """Return the workers of a pool that could be used, by label."""
        found = self._by_label.get(pool)
        if found is None:
            found = self._by_label[pool] = {}
            snapshot = self.snapshot_of(pool)
            for worker in (*snapshot.drawing, *snapshot.suspected):
                for label in worker.entry.labels:
                    found.setdefault(label, []).append(worker)
        return found

    def _names_with_room(self, pool: str, label: str, needs: Amounts) -> frozenset[str]:
        """Return the schedulable workers that fit a task when the round begins."""
        key = (pool, label, needs)
        found = self._with_room.get(key)
        if found is None:
            workers = self._workers_with(pool, label).schedulable
            found = frozenset(w.name for w in workers if needs.fits_in(w.free))
            self._with_room[key] = found
        return found


def _largest(capacities: Iterable[Amounts]) -> tuple[Amounts, ...]:
    """Return those of some capacities that fit into no other."""
    found: list[Amounts] = []
    for each in sorted(set(capacities), key=attrs.astuple, reverse=True):
        if not any(each.fits_in(other) for other in found):
            found.append(each)
    return tuple(found)
