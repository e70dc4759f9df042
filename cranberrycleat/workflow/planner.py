"""Chooses workers for the steps that wait, most urgent first.

Answers the load of the standard days: short urgent tasks beside wide gangs at
about 80% of the cores. Single tasks go to the fullest worker that still has
room, so that room for gangs stays together. A gang that finds no room keeps
what is free on the workers it may use from steps that come after it, so that
it does not wait for ever behind small work that fits every gap.
"""

import collections
from collections.abc import Sequence
from typing import Final

import attrs

from cranberrycleat import events
from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.logs import emit
from cranberrycleat.workflow import isolation
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.filler_throttling import runs_until_cancelled, serves
from cranberrycleat.workflow.fleet import (
    FleetWorker,
    Placement,
    how_many_fit,
    job_of,
    reserved_resources,
)
from cranberrycleat.workflow.locality import (
    could_hold_gang,
    rack_wait_s,
    workers_by_rack,
)
from cranberrycleat.workflow.ordering import rank
from cranberrycleat.workflow.permit_choice import queries_all_workers, select_workers
from cranberrycleat.workflow.pool_snapshot import (
    PoolSnapshot,
    could_run_on,
    take_snapshot,
)
from cranberrycleat.workflow.service_preemption import (
    PREEMPTION_DELAY_S,
    select_victims,
)
from cranberrycleat.workflow.state import StepRun, Task, TaskState

MAX_RESERVED_GANGS: Final = 3
"""Gangs for which room is kept at a time; more would idle the pool."""
NO_ELIGIBLE_WORKER: Final = (
    "every known worker is ruled out by a label, a permit or its state"
)
WAIT_LOG_INTERVAL_S: Final = 10.0
AT_QUOTA: Final = "its workspace is at its quota, or a newer one may be in force"
MAX_STEPS_SCANNED: Final = 400
"""Steps looked at in a round."""
MAX_STEPS_PER_WORKSPACE: Final = 100
"""Steps of one workspace among them, where more wait than are looked at."""
MAX_PERMIT_PREFETCH_STEPS: Final = 60
"""Steps without room for which permits are asked for all the same, so that they
start when room comes: what 300 starts a second begin while a call is answered.
For all of a backlog the permit service would only be kept busy."""


@attrs.define(kw_only=True, eq=False)
class PlannedGroup:
    """Placements of one step that are ordered together."""

    step: StepRun
    placements: list[tuple[FleetWorker, Placement]] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class PermitQuery:
    """Workers that the permit service is to be asked about."""

    step: StepRun
    workers: tuple[str, ...]


@attrs.define(kw_only=True, eq=False)
class Plan:
    """What a round decided."""

    groups: list[PlannedGroup] = attrs.field(factory=list)
    permit_queries: list[PermitQuery] = attrs.field(factory=list)
    retry_at: float | None = None


@attrs.define(kw_only=True, eq=False)
class Planner:
    """Plans rounds over a board.

    Attributes:
        board: What is known.
        spread_factor: How many times as long tasks take away from their data,
            and gangs on several racks.
    """

    cluster_state: ClusterState
    spread_factor: float = 1.0
    _reserved: dict[str, Amounts] = attrs.field(factory=dict)
    _snapshots: dict[str, PoolSnapshot] = attrs.field(factory=dict)

    def plan(self, *, now: float, now_s: float) -> Plan:
        """Place what fits.

        Args:
            now: The owner's clock.
            now_s: Seconds since 1970, the clock that objectives are counted on.
        """
        plan = Plan()
        self._reserved = {}
        self._snapshots = {}
        reserved_gangs = 0
        for position, step in enumerate(self._steps_by_rank(now, now_s)):
            tasks = self._placeable_tasks(step, now, plan)
            if not tasks or not self._count_within_quota(step):
                step.waits_since = None
                continue
            might_fit = self._snapshot(step, now).might_fit(
                reserved_resources(step.spec)
            )
            candidates = self._candidates(step, now)
            if might_fit or position < MAX_PERMIT_PREFETCH_STEPS:
                self._query_permits(step, candidates, now, plan)
            if not might_fit:
                placed = False
            elif not step.spec.gang:
                placed = self._place_single(step, tasks, candidates, now, plan)
            else:
                placed = self._place_gang(step, tasks, candidates, now, plan)
            if step.spec.gang and not placed and reserved_gangs < MAX_RESERVED_GANGS:
                reserved_gangs += self._reserve_for_gang(step, candidates)
            if step.spec.service:
                self._preempt_for_service(step, candidates, now)
            if step.pending():
                reason = self._wait_reason(step, candidates)
                self._log_waiting(step, reason, len(candidates), now, now_s)
        return plan

    def _preempt_for_service(
        self, step: StepRun, candidates: list[FleetWorker], now: float
    ) -> None:
        """Have lesser work stop where members of a service wait for room."""
        if not step.pending():
            step.waits_since = None
            return
        if step.waits_since is None:
            step.waits_since = now
        if now - step.waits_since < PREEMPTION_DELAY_S:
            return
        for placement in select_victims(reserved_resources(step.spec), candidates):
            for worker, each in self.cluster_state.placements_of(
                job_of(placement.task)
            ):
                if each is placement:
                    self.cluster_state.stop(
                        worker, placement, f"preempted for {step.name}"
                    )

    def _wait_reason(self, step: StepRun, candidates: list[FleetWorker]) -> str:
        if not self._count_within_quota(step):
            return AT_QUOTA
        if candidates:
            return "no room"
        permits = self.cluster_state.permits.get(step.name)
        asking = permits is not None and (permits.calls_in_flight or not permits.asked)
        return "permits are being asked for" if asking else NO_ELIGIBLE_WORKER

    def _log_waiting(
        self, step: StepRun, reason: str, candidates: int, now: float, now_s: float
    ) -> None:
        """Log why a step is left waiting: each reason, and again while it lasts."""
        if (
            reason == step.wait_reason
            and now < step.wait_logged_at + WAIT_LOG_INTERVAL_S
        ):
            return
        step.wait_reason = reason
        step.wait_logged_at = now
        pending = len(step.pending())
        if reason == NO_ELIGIBLE_WORKER:
            emit(events.StepHopeless(step=step.name, reason=reason, pending=pending))
            return
        emit(
            events.StepWaiting(
                step=step.name,
                reason=reason,
                pending=pending,
                candidates=candidates,
                waited_s=round(now - step.ready_at, 3),
                slack_s=round(rank(step, now_s).slack_s, 3),
            )
        )

    def _steps_by_rank(self, now: float, now_s: float) -> list[StepRun]:
        for name, step in list(self.cluster_state.waiting.items()):
            if not any(task.state is TaskState.PENDING for task in step.tasks):
                del self.cluster_state.waiting[name]
        steps = []
        for step in self.cluster_state.waiting.values():
            if self._count_within_quota(step):
                steps.append(step)
            else:
                self._log_waiting(step, AT_QUOTA, 0, now, now_s)
        steps.sort(key=lambda step: rank(step, now_s).key())
        return _limit_scan(steps)

    def _count_within_quota(self, step: StepRun) -> bool:
        """Tell whether a step's workspace may have more of it running.

        The backlog of one that may not must not fill the round before the others'.
        """
        return self.cluster_state.quotas.may_begin(
            step.job.workspace,
            reserved_resources(step.spec),
            step.spec.count if step.spec.gang else 1,
        )

    def _placeable_tasks(self, step: StepRun, now: float, plan: Plan) -> list[Task]:
        tasks = []
        for task in step.pending():
            if task.not_before > now:
                self._schedule_retry(plan, task.not_before)
            else:
                tasks.append(task)
        if step.spec.gang and len(tasks) < len(step.tasks):
            return []
        return tasks

    @staticmethod
    def _schedule_retry(plan: Plan, at: float) -> None:
        plan.retry_at = at if plan.retry_at is None else min(plan.retry_at, at)

    def _snapshot(self, step: StepRun, now: float) -> PoolSnapshot:
        pool = step.job.queue.pool
        if pool not in self._snapshots:
            self._snapshots[pool] = take_snapshot(self.cluster_state.fleet, pool, now)
        return self._snapshots[pool]

    def _eligible_workers(self, step: StepRun, now: float) -> Sequence[FleetWorker]:
        """Return the workers that may draw and that the step could run on."""
        snapshot = self._snapshot(step, now)
        if not step.spec.label and reserved_resources(step.spec).fits_in(
            snapshot.min_capacity
        ):
            return snapshot.drawing
        return [
            worker for worker in snapshot.drawing if could_run_on(step.spec, worker)
        ]

    def _query_permits(
        self, step: StepRun, candidates: list[FleetWorker], now: float, plan: Plan
    ) -> None:
        """Ask for the permits that a step needs and has not asked for yet."""
        permits = self.cluster_state.permits_of(step)
        if permits is None or permits.calls_in_flight:
            return
        unknown = [
            each
            for each in self._eligible_workers(step, now)
            if each.name not in permits.asked
        ]
        if not queries_all_workers(step.spec):
            tasks = step.pending()
            unknown.sort(key=lambda worker: self._preference(step, worker))
            unknown = select_workers(
                step_name=step.name,
                pending=len(tasks),
                allowed=self._exclude_failed_workers(step, tasks, candidates),
                unknown=unknown,
                fits_now=lambda worker: self._fits_now(step, worker),
                fits_when_empty=lambda worker: self._fits_when_empty(step, worker),
                share=permits.share.value(),
            )
        if unknown:
            names = tuple(each.name for each in unknown)
            plan.permit_queries.append(PermitQuery(step=step, workers=names))

    def _fits_now(self, step: StepRun, worker: FleetWorker) -> int:
        """Return how many more of a step's tasks a worker would be given now."""
        fits = how_many_fit(reserved_resources(step.spec), self._unreserved(worker))
        if worker.has_isolated_attempt():
            return 0
        if worker.is_probed:
            fits = min(fits, 1)
        return min(fits, self._remaining_worker_limit(step, worker))

    def _fits_when_empty(self, step: StepRun, worker: FleetWorker) -> int:
        """Return how many more it would be given if nothing else ran there."""
        fits = how_many_fit(reserved_resources(step.spec), worker.entry.capacity)
        return min(fits, self._remaining_worker_limit(step, worker))

    def _remaining_worker_limit(self, step: StepRun, worker: FleetWorker) -> int:
        """Return how many more tasks the step's limit for a worker leaves."""
        limit = step.spec.most_per_worker
        return (
            max(0, limit - self._tasks_on_worker(step, worker))
            if limit
            else step.spec.count
        )

    def _candidates(self, step: StepRun, now: float) -> list[FleetWorker]:
        if step.job.queue.permits is None:
            return list(self._eligible_workers(step, now))
        permits = self.cluster_state.permits.get(step.name)
        if permits is None:
            return []
        by_name = self._snapshot(step, now).by_name
        allowed = (by_name.get(name) for name in permits.tickets)
        return [each for each in allowed if each and could_run_on(step.spec, each)]

    def _unreserved(self, worker: FleetWorker) -> Amounts:
        """Return what is free there and not kept for a gang."""
        reserved = self._reserved.get(worker.name)
        return worker.free if reserved is None else worker.free.minus(reserved)

    def _tasks_on_worker(self, step: StepRun, worker: FleetWorker) -> int:
        return sum(task.worker == worker.name for task in step.tasks)

    def _place_single(
        self,
        step: StepRun,
        tasks: list[Task],
        candidates: list[FleetWorker],
        now: float,
        plan: Plan,
    ) -> bool:
        """Place as many tasks as find room; return whether any did."""
        needs = reserved_resources(step.spec)
        group = PlannedGroup(step=step)
        limit = step.spec.most_per_worker
        candidates = self._workers_near_data(step, candidates, now, plan)
        for task in tasks:
            if not self._count_within_quota(step):
                break
            fitting = [
                worker
                for worker in self._exclude_failed_workers(step, [task], candidates)
                if needs.fits_in(self._unreserved(worker))
                and worker.may_accept_work(now)
                and (not limit or self._tasks_on_worker(step, worker) < limit)
            ]
            isolated_attempt = isolation.record_for(task)
            if isolated_attempt is not None:
                fitting = isolation.candidates_for(
                    isolated_attempt,
                    fitting,
                    self.cluster_state.fleet.worker_failures,
                    now,
                )
            if not fitting and isolated_attempt is None:
                break
            if not fitting:
                continue
            best = min(fitting, key=lambda each: self._preference(step, each))
            self._place(step, task, best, step.last_attempt + 1, now, group)
        if group.placements:
            plan.groups.append(group)
        return bool(group.placements)

    def _exclude_failed_workers(
        self, step: StepRun, tasks: list[Task], candidates: list[FleetWorker]
    ) -> list[FleetWorker]:
        """Leave out workers that failed these tasks and did nothing well since.

        A worker that fails what it starts has room at once, and would draw a
        task again until its attempts are used up; so has the next life of one that
        was lost. Where the others could not hold the tasks even if they were empty,
        it is as good as any.
        """
        failed_on = {name for task in tasks for name in task.failed_on}
        lost_worker_addresses = isolation.lost_worker_addresses(step, tasks)
        if not failed_on and not lost_worker_addresses:
            return candidates
        eligible = [
            each
            for each in candidates
            if (each.name not in failed_on or not each.failures)
            and each.entry.address not in lost_worker_addresses
        ]
        fitting = sum(self._fits_when_empty(step, each) for each in eligible)
        return eligible if fitting >= len(tasks) else candidates

    def _preference(
        self, step: StepRun, worker: FleetWorker
    ) -> tuple[bool, int, int, str]:
        away = bool(step.spec.data_rack) and (
            step.spec.data_rack not in worker.entry.labels
        )
        interference = self._interference(step, worker)
        return (away, interference, worker.free.processors, worker.name)

    @staticmethod
    def _interference(step: StepRun, worker: FleetWorker) -> int:
        """Return how much there disturbs the step, or is disturbed by it."""
        spec = step.spec
        if spec.tail_limit_ms or spec.service or spec.filler:
            return sum(serves(each) for each in worker.placements.values())
        return 0

    def _place_gang(
        self,
        step: StepRun,
        tasks: list[Task],
        candidates: list[FleetWorker],
        now: float,
        plan: Plan,
    ) -> bool:
        eligible = self._exclude_failed_workers(step, tasks, candidates)
        isolated_attempt = isolation.record_for(tasks[0])
        if (
            isolated_attempt is not None
            and not isolated_attempt.isolation_wait_expired(now)
        ):
            eligible = isolation.stable_workers(
                eligible, self.cluster_state.fleet.worker_failures, now
            )
        for workers in self._rack_choices(step, eligible, now, plan):
            assigned = self._assign_gang(step, workers, len(tasks))
            if len(assigned) == len(tasks):
                group = PlannedGroup(step=step)
                attempt = step.last_attempt + 1
                for task, worker in zip(tasks, assigned, strict=True):
                    self._place(step, task, worker, attempt, now, group)
                plan.groups.append(group)
                return True
        return False

    def _rack_choices(
        self, step: StepRun, candidates: list[FleetWorker], now: float, plan: Plan
    ) -> list[list[FleetWorker]]:
        """Return the groups of workers that a gang may be placed on, best first."""
        if not step.spec.same_rack:
            return [candidates]
        fitting = [
            group
            for group in workers_by_rack(candidates).values()
            if could_hold_gang(step.spec, group)
        ]
        if fitting and self._waits_for_rack(step, now, plan):
            return fitting
        return [*fitting, candidates]

    def _workers_near_data(
        self, step: StepRun, candidates: list[FleetWorker], now: float, plan: Plan
    ) -> list[FleetWorker]:
        """Return the workers near a step's data, while it pays to wait for them."""
        rack = step.spec.data_rack
        if not rack:
            return candidates
        near = [each for each in candidates if rack in each.entry.racks]
        if near and self._waits_for_rack(step, now, plan):
            return near
        return candidates

    def _waits_for_rack(self, step: StepRun, now: float, plan: Plan) -> bool:
        until = step.ready_at + rack_wait_s(step.spec, self.spread_factor)
        if now >= until:
            return False
        self._schedule_retry(plan, until)
        return True

    def _assign_gang(
        self,
        step: StepRun,
        candidates: list[FleetWorker],
        count: int,
    ) -> list[FleetWorker]:
        """Return a worker for each member, the fullest first, or too few."""
        assigned: list[FleetWorker] = []
        for worker in sorted(candidates, key=lambda each: self._preference(step, each)):
            fits = min(count - len(assigned), self._fits_now(step, worker))
            assigned += [worker] * fits
            if len(assigned) == count:
                break
        return assigned

    def _reserve_for_gang(self, step: StepRun, candidates: list[FleetWorker]) -> bool:
        """Keep room for a gang on the workers that it will fit on soonest.

        One that they could not hold even without all that ends keeps none: what comes
        after it would wait for nothing.

        Returns:
            Whether room is kept.
        """
        needs = reserved_resources(step.spec)
        members_by_worker: dict[str, int] = {}
        remaining = len(step.tasks)
        for worker in sorted(candidates, key=lambda each: -each.free.processors):
            members = min(
                remaining,
                self._fits_when_empty(step, worker),
                _fits_beside_services(step, worker),
            )
            if members > 0:
                members_by_worker[worker.name] = members
                remaining -= members
            if remaining <= 0:
                break
        if remaining > 0:
            return False
        for name, members in members_by_worker.items():
            reserved = self._reserved.get(name, NOTHING)
            for _ in range(members):
                reserved = reserved.plus(needs)
            self._reserved[name] = reserved
        return True

    def _place(
        self,
        step: StepRun,
        task: Task,
        worker: FleetWorker,
        attempt: int,
        now: float,
        group: PlannedGroup,
    ) -> None:
        placement = self.cluster_state.place(task, worker, attempt, now=now)
        if isolation.record_for(task) is not None:
            worker.isolated_attempt = placement
        group.placements.append((worker, placement))


def _limit_scan(steps: list[StepRun]) -> list[StepRun]:
    """Return the steps that a round looks at, in their order.

    Answers a workspace that sends many times its usual: its backlog, which its quota
    holds back, must not keep the round from everybody else's steps.
    """
    if len(steps) <= MAX_STEPS_SCANNED:
        return steps
    scanned_per_workspace: collections.Counter[str] = collections.Counter()
    found = []
    for step in steps:
        workspace = step.job.workspace
        scanned_per_workspace[workspace] += bool(workspace)
        if scanned_per_workspace[workspace] <= MAX_STEPS_PER_WORKSPACE:
            found.append(step)
    return found[:MAX_STEPS_SCANNED]


def _fits_beside_services(step: StepRun, worker: FleetWorker) -> int:
    """Return how many of a step's tasks a worker holds beside its services."""
    available = worker.entry.capacity
    for each in worker.placements.values():
        if runs_until_cancelled(each):
            available = available.minus(each.needs)
    return how_many_fit(reserved_resources(step.spec), available)
