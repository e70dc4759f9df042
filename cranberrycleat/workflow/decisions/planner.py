"""Assigns workers to waiting steps, most urgent first.

The target workload is short urgent tasks next to wide gangs at about 80% core
utilization. Single tasks are placed best-fit, on the fullest worker that still fits
them, which leaves whole workers for gangs. A gang that cannot be placed reserves free
resources on its eligible workers against lower-ranked steps; otherwise small tasks that
fit every gap would starve it.
"""

from collections.abc import Mapping, Sequence
from typing import Final

import attrs

from cranberrycleat import events
from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.logs import emit
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions import exclusion, isolation, stalls
from cranberrycleat.workflow.decisions.best_fit import BestFit, Preference
from cranberrycleat.workflow.decisions.exclusion import lost_exclusion_ends_at
from cranberrycleat.workflow.decisions.filler_throttling import (
    runs_until_cancelled,
    serves,
)
from cranberrycleat.workflow.decisions.gang_reservation import (
    GangReservations,
    is_nearly_ready,
)
from cranberrycleat.workflow.decisions.locality import (
    could_hold_gang,
    rack_wait_s,
    workers_by_rack,
)
from cranberrycleat.workflow.decisions.ordering import StepOrder
from cranberrycleat.workflow.decisions.permit_choice import (
    queries_all_workers,
    select_workers,
)
from cranberrycleat.workflow.decisions.pool_snapshot import (
    PoolSnapshot,
    could_run_on,
    take_snapshot,
)
from cranberrycleat.workflow.decisions.preemption import (
    EVALUATION_INTERVAL_S,
    Room,
    Selection,
)
from cranberrycleat.workflow.decisions.preemption_victims import (
    Claim,
    VictimFinder,
    preemption_cost_core_s,
)
from cranberrycleat.workflow.decisions.round_scan import RoundScan
from cranberrycleat.workflow.decisions.service_preemption import (
    SELECTION_INTERVAL_S,
    MemberSelection,
    ServicePreemption,
    due_members,
)
from cranberrycleat.workflow.decisions.speed_choice import SpeedChoice, speed_of_class
from cranberrycleat.workflow.decisions.task_counts import TaskCounts
from cranberrycleat.workflow.decisions.wait_report import (
    TaskObstacle,
    count_obstacles,
    count_task_obstacles,
    task_obstacle,
)
from cranberrycleat.workflow.fleet import (
    FleetWorker,
    Placement,
    how_many_fit,
    reserved_resources,
)
from cranberrycleat.workflow.state import StepRun, Task, TaskState
from cranberrycleat.workflow.waiting import RequirementGroup

NO_ELIGIBLE_WORKER: Final = (
    "every known worker is ruled out by a label, a permit or its state"
)
WAIT_LOG_INTERVAL_S: Final = 10.0
COUNT_OBSTACLES_AFTER_S: Final = 1.0
MAX_OBSTACLE_COUNTS: Final = 5
"""Steps of a round whose obstacles are counted for the log. Each count looks at every
worker, and in a burst hundreds of steps begin to wait in one round."""
AT_QUOTA: Final = "its workspace is at its quota, or a newer one may be in force"
HELD_BACK: Final = "its tasks are held back"
MAX_ROUND_WORK: Final = 8000
"""Workers looked at in a round for the tasks that it places. The round ends once they
are exceeded and continues with the next, so that the owner renews its lease meanwhile:
500 tasks that never failed take 0.02 s, on a weak core several times as long."""
PLACEMENT_WORK: Final = 16
"""Workers that could be looked at in the time that a placement takes."""
MAX_ISOLATED_TRIES: Final = 20
"""Tasks of a step that find no worker for an isolated attempt until a round leaves its
other such tasks out. Each looks at all workers, and their wait for one is bounded."""
MAX_UNSERVED_STEPS_LOGGED: Final = 50
"""Steps without an eligible worker whose wait a round logs at most, or finds logged
already. 5,000 of them are logged within the interval at five rounds per second."""
MAX_PERMIT_PREFETCH_STEPS: Final = 60
"""Steps that request permits although no worker has free resources for them, so
that they can start as soon as resources are released. 60 covers the steps started
during one permit call at 300 starts per second. Requesting permits for the whole
backlog would only load the permit service."""


@attrs.define(kw_only=True, eq=False)
class PlannedGroup:
    """Placements of one step whose starts are ordered together."""

    step: StepRun
    placements: list[tuple[FleetWorker, Placement]] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class PermitQuery:
    """Workers for which a step needs permits from the permit service."""

    step: StepRun
    workers: tuple[str, ...]


@attrs.define(kw_only=True, eq=False)
class Plan:
    """Decisions of one scheduling round.

    Attributes:
        groups: New placements.
        permit_queries: Permit calls to make.
        retry_at: When to run another round at the latest, on the owner's clock.
    """

    groups: list[PlannedGroup] = attrs.field(factory=list)
    permit_queries: list[PermitQuery] = attrs.field(factory=list)
    retry_at: float | None = None


@attrs.define(kw_only=True, eq=False)
class Planner:
    """Runs scheduling rounds over a cluster state.

    Attributes:
        cluster_state: The owner's in-memory state.
        spread_factor: Run-time multiplier for tasks placed away from their data and
            for gangs spread over several racks.
    """

    cluster_state: ClusterState
    spread_factor: float = 1.0
    _reservations: GangReservations = attrs.field(factory=GangReservations)
    _expected: GangReservations = attrs.field(factory=GangReservations)
    _firm_reservations: GangReservations = attrs.field(factory=GangReservations)
    _members: dict[StepRun, dict[str, int]] = attrs.field(factory=dict)
    _snapshots: dict[str, PoolSnapshot] = attrs.field(factory=dict)
    _used_shares: dict[str, float] = attrs.field(factory=dict)
    _yields_left: int = stalls.MAX_YIELDING_STEPS
    _speed_choice: SpeedChoice = attrs.field(factory=SpeedChoice)
    _preemption_round_at: float = float("-inf")
    _counts_left: int = MAX_OBSTACLE_COUNTS
    _work_left: int = MAX_ROUND_WORK
    _task_counts: TaskCounts = attrs.field(init=False)
    _service_preemption: ServicePreemption = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._begin_counts()

    def _begin_counts(self) -> None:
        """Begin what a round counts."""
        self._task_counts = TaskCounts(cluster_state=self.cluster_state)
        self._service_preemption = ServicePreemption(
            attempts_of=self.cluster_state.placements_of
        )

    def plan(self, *, now: float, now_s: float) -> Plan:
        """Run one round and place all waiting tasks that fit.

        Args:
            now: The owner's clock.
            now_s: Unix time in seconds, the clock on which objectives are measured.
        """
        plan = Plan()
        self._expected = GangReservations()
        self._counts_left = MAX_OBSTACLE_COUNTS
        self._firm_reservations = GangReservations()
        self._members = {}
        self._work_left = MAX_ROUND_WORK
        self._begin_counts()
        self._snapshots = {}
        self._used_shares = {}
        self._yields_left = stalls.MAX_YIELDING_STEPS
        load = self.cluster_state.load
        self._reservations = GangReservations(disjoint=load.disjoint_reservations)
        self._speed_choice = SpeedChoice(
            speeds=load.speeds,
            estimates=load.estimates,
            restore_s=load.checkpoints.restore_s,
            now_s=now_s,
        )
        load.preemption.begin_round(now)
        for position, step in enumerate(self._steps_by_rank(now, now_s)):
            tasks = self._placeable_tasks(step, now, plan)
            if not tasks or not self._count_within_quota(step):
                step.idle_since = None
                if step.spec.service:
                    _end_waits(step)
                if not tasks and step.pending():
                    self._log_waiting(step, HELD_BACK, 0, now, now_s)
                continue
            might_fit = self._snapshot(step, now).might_fit(
                reserved_resources(step.spec)
            )
            candidates = self._candidates(step, now)
            stalled = self._is_stalled(step, now)
            if might_fit or stalled or position < MAX_PERMIT_PREFETCH_STEPS:
                self._query_permits(step, candidates, now, plan, stalled=stalled)
            if not might_fit:
                placed = False
            elif not step.spec.gang:
                placed = self._place_single(step, tasks, candidates, now, plan)
            else:
                placed = self._place_gang(step, tasks, candidates, now, plan)
            if stalled and not placed:
                placed = self._place_stalled(step, tasks, now, plan)
            if self._work_left <= 0:
                # The rest of its tasks may fit, so that it must not preempt or reserve.
                self._schedule_retry(plan, now)
                break
            is_held = self._preempt_for_urgent_work(
                step, tasks, candidates, now, now_s, plan
            )
            unplaced_gang = step.spec.gang and not placed and not is_held
            if unplaced_gang:
                usable = self._exclude_failed_workers(step, tasks, candidates, now)
                self._reserve_for_gang(step, usable, now, plan)
            if step.spec.service:
                self._preempt_for_service(step, tasks, candidates, now, now_s, plan)
            if step.pending():
                reason = self._wait_reason(step, candidates)
                self._log_waiting(step, reason, len(candidates), now, now_s)
        if plan.retry_at is not None and plan.retry_at < self._preemption_round_at:
            # Only the earliest round is run; it plans the one to preempt anew.
            self._preemption_round_at = float("-inf")
        return plan

    def _is_stalled(self, step: StepRun, now: float) -> bool:
        """Return whether precautions no longer keep a waiting step from room.

        A round looks for room for a limited number of such steps; the others follow.
        Surplus work never takes what newer due work may not use yet.
        """
        if self.cluster_state.load.is_surplus(step.job):
            return False
        if not stalls.is_idle_too_long(self.cluster_state, step, now):
            return False
        if now < step.yields_at or self._yields_left <= 0:
            return False
        pool = step.job.queue.pool
        if not step.spec.service and self._used_share(pool) >= stalls.STALL_MAX_USE:
            return False
        needs = reserved_resources(step.spec)
        snapshot = self._snapshot(step, now)
        if not snapshot.might_fit(needs) and not snapshot.might_fit_suspected(needs):
            return False
        self._yields_left -= 1
        step.yields_at = now + stalls.YIELD_RETRY_S
        return True

    def _used_share(self, pool: str) -> float:
        """Return the share of a pool's processors in use when this was first asked."""
        if pool not in self._used_shares:
            workers = self.cluster_state.fleet.workers_in_pool(pool)
            self._used_shares[pool] = stalls.used_share(workers)
        return self._used_shares[pool]

    def _preempt_for_service(
        self,
        step: StepRun,
        tasks: list[Task],
        candidates: list[FleetWorker],
        now: float,
        now_s: float,
        plan: Plan,
    ) -> None:
        """Preempt other work if service members have waited too long for resources."""
        preemption = self._service_preemption
        needs = reserved_resources(step.spec)
        workspace = step.job.workspace
        promised = preemption.promised.get(workspace, NOTHING)
        waiting = due_members(tasks, now)
        due = self._slots_within_quota(step, len(waiting), promised)
        if not stalls.is_idle_too_long(self.cluster_state, step, now):
            # From then on members are placed where they failed as well.
            candidates = self._workers_not_avoided(step, waiting, candidates, now)
        selection = preemption.promise_room(
            needs,
            due,
            candidates,
            lambda worker: self._remaining_worker_limit(step, worker),
        )
        if selection.missing and now >= step.selects_victims_at:
            if preemption.may_compare():
                self._preempt_for_members(step, selection, now, now_s)
            else:
                self._schedule_retry(plan, now)
        given = needs.times(due - selection.missing)
        preemption.promised[workspace] = promised.plus(given)

    def _preempt_for_members(
        self, step: StepRun, selection: MemberSelection, now: float, now_s: float
    ) -> None:
        """Preempt other work for the members of a service that have no room yet."""
        slack_s = self._order.rank(step, now_s).slack_s
        for worker, placement in selection.select_victims():
            assert placement.tracked_task is not None
            victim = self._order.rank(placement.tracked_task.step, now_s)
            self._preempt(worker, placement, step, now, slack_s, victim.slack_s)
        if selection.missing:
            step.selects_victims_at = now + SELECTION_INTERVAL_S

    def _preempt(
        self,
        worker: FleetWorker,
        placement: Placement,
        step: StepRun,
        now: float,
        slack_s: float,
        victim_slack_s: float,
    ) -> None:
        """Stop an attempt for a step and log the decision with its inputs."""
        self.cluster_state.stop(worker, placement, f"makes room for {step.name}")
        emit(
            events.TaskPreempted(
                task=placement.task,
                attempt=placement.attempt,
                worker=worker.name,
                beneficiary=step.name,
                service=step.spec.service,
                cost_core_s=round(
                    preemption_cost_core_s(
                        placement, self.cluster_state.load.checkpoints, now
                    ),
                    3,
                ),
                slack_s=round(slack_s, 3),
                victim_slack_s=round(victim_slack_s, 3),
                report_age_s=round(now - worker.clock_read_at, 3),
            )
        )

    def _preempt_for_urgent_work(
        self,
        step: StepRun,
        tasks: list[Task],
        candidates: list[FleetWorker],
        now: float,
        now_s: float,
        plan: Plan,
    ) -> bool:
        """Preempt other work if a step would be late, once this is its last chance.

        Returns:
            Whether resources are reserved for the step.
        """
        preemption = self.cluster_state.load.preemption
        if not preemption.for_urgent_work or not _may_preempt(step):
            return False
        waiting = [task for task in tasks if task.state is TaskState.PENDING]
        if not waiting:
            return False
        held = preemption.held_for(step)
        self._reserve_slots(step, held)
        rank = self._order.rank(step, now_s)
        if not preemption.is_due(step, rank.slack_s):
            self._wake_for_preemption(
                plan, now, preemption.due_in_s(step, rank.slack_s)
            )
            return bool(held)
        slots = self._slots_within_quota(step, len(waiting)) - held.total()
        evaluates_at = preemption.evaluates_at(now)
        if slots <= 0:
            return bool(held)
        if evaluates_at > now:
            self._wake_for_preemption(plan, now, evaluates_at - now)
            return bool(held)
        finder = preemption.finder(lambda: self._victim_finder(now, now_s), now)
        claim = Claim(
            step=step,
            rank=rank,
            surplus=finder.is_surplus(step.job),
            slots=slots,
        )
        rooms = [
            each
            for each in self._rooms(step, waiting, candidates, held, now, plan)
            if self._is_fast_enough(step, each.worker, rank.slack_s)
        ]
        snapshot = self._snapshot(step, now)
        selection = preemption.choose(claim, rooms, finder, snapshot.cores(), now)
        self._preempt_selected(claim, selection, now)
        if selection.victims:
            self._reserve_slots(step, selection.slots)
        else:
            # Lower-ranked steps may use what is free meanwhile, as without preemption.
            self._add_slots(self._expected, step, selection.slots)
        if selection.slots.total() < slots:
            self._wake_for_preemption(plan, now, EVALUATION_INTERVAL_S)
        return bool(held or selection.victims)

    def _preempt_selected(self, claim: Claim, selection: Selection, now: float) -> None:
        for group in selection.victims:
            for worker, placement in group.attempts:
                self._preempt(
                    worker,
                    placement,
                    claim.step,
                    now,
                    claim.rank.slack_s,
                    group.slack_s,
                )

    def _victim_finder(self, now: float, now_s: float) -> VictimFinder:
        cluster_state = self.cluster_state
        preemption = cluster_state.load.preemption
        return VictimFinder(
            order=self._order,
            fair_share=cluster_state.load.fair_share,
            attempts_of=cluster_state.placements_of,
            is_allowed=lambda task: preemption.may_be_victim(task, now),
            may_resume=lambda job: cluster_state.quotas.allows_more(job.workspace),
            stop_s=preemption.stop_s,
            checkpoints=cluster_state.load.checkpoints,
            now=now,
            now_s=now_s,
        )

    def _rooms(
        self,
        step: StepRun,
        tasks: list[Task],
        candidates: list[FleetWorker],
        held: Mapping[str, int],
        now: float,
        plan: Plan,
    ) -> list[Room]:
        """Return what a step may use on each worker if others give way."""
        near = self._workers_near_data(step, candidates, now, plan)
        return [
            Room(
                worker=worker,
                reserved=self._reservations.on(worker).plus(self._expected.on(worker)),
                max_tasks=self._remaining_worker_limit(step, worker)
                - held.get(worker.name, 0),
            )
            for worker in self._exclude_failed_workers(step, tasks, near, now)
            if worker.may_accept_work(now) and not worker.is_probed
        ]

    def _is_fast_enough(
        self, step: StepRun, worker: FleetWorker, slack_s: float
    ) -> bool:
        """Return whether a step that preempts on a worker may end in time there."""
        speed_class = self._speed_choice.class_of(step, worker)
        if speed_class is None or speed_class >= 0:
            return True
        longer_s = step.spec.estimate_s * (1 / speed_of_class(speed_class) - 1)
        return self.cluster_state.load.preemption.is_due(step, slack_s - longer_s)

    def _slots_within_quota(
        self, step: StepRun, slots: int, promised: Amounts = NOTHING
    ) -> int:
        """Return for how many more tasks, up to `slots`, the quota has room.

        Args:
            step: The step of the tasks.
            slots: The number of tasks.
            promised: What other tasks of its workspace are to be given.
        """
        if step.spec.gang:
            return slots
        needs = reserved_resources(step.spec)
        quotas = self.cluster_state.quotas
        while slots > 0 and not quotas.may_begin(
            step.job.workspace, needs, slots, promised
        ):
            slots -= 1
        return slots

    def _reserve_slots(self, step: StepRun, slots: Mapping[str, int]) -> None:
        """Reserve resources on workers against steps that rank behind a step.

        They were freed at a cost, so that they do not yield to stalled steps.
        """
        self._add_slots(self._reservations, step, slots)
        self._add_slots(self._firm_reservations, step, slots)

    @staticmethod
    def _add_slots(
        totals: GangReservations, step: StepRun, slots: Mapping[str, int]
    ) -> None:
        """Add the needs of tasks of a step to the totals of workers."""
        needs = reserved_resources(step.spec)
        for name, tasks in slots.items():
            totals.add(name, needs.times(tasks))

    def _wake_for_preemption(self, plan: Plan, now: float, due_in_s: float) -> None:
        """Have a round run when a step is due to preempt, unless one is planned."""
        at = now + due_in_s
        if due_in_s > 0 and not now < self._preemption_round_at <= at:
            self._preemption_round_at = at
            self._schedule_retry(plan, at)

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
    ) -> bool:
        """Log why a step was not placed, on each new reason and then periodically.

        Returns:
            Whether it was logged now.
        """
        counted_from = step.ready_at + COUNT_OBSTACLES_AFTER_S
        counted = reason == NO_ELIGIBLE_WORKER or step.wait_logged_at >= counted_from
        interval_s = WAIT_LOG_INTERVAL_S if counted else COUNT_OBSTACLES_AFTER_S
        if reason == step.wait_reason and now < step.wait_logged_at + interval_s:
            return False
        step.wait_reason = reason
        step.wait_logged_at = now
        pending = len(step.pending())
        obstacles: dict[str, int] = {}
        if now >= step.ready_at + COUNT_OBSTACLES_AFTER_S and self._counts_left > 0:
            self._counts_left -= 1
            obstacles = self.obstacles(step, now)
        if reason == NO_ELIGIBLE_WORKER:
            emit(
                events.StepHopeless(
                    step=step.name, reason=reason, pending=pending, obstacles=obstacles
                )
            )
            return True
        emit(
            events.StepWaiting(
                step=step.name,
                reason=reason,
                pending=pending,
                candidates=candidates,
                waited_s=round(now - step.ready_at, 3),
                slack_s=round(self._order.rank(step, now_s).slack_s, 3),
                obstacles=obstacles,
                held_back=count_task_obstacles(self.cluster_state, step, now),
            )
        )
        return True

    def obstacles(self, step: StepRun, now: float) -> dict[str, int]:
        """Return how many workers take none of a step's pending tasks, by reason."""
        # Tasks may have ended since the last round.
        self._task_counts = TaskCounts(cluster_state=self.cluster_state)
        needs = reserved_resources(step.spec)
        own = self._members.get(step, {})

        def fits_unreserved(worker: FleetWorker) -> bool:
            own_needs = needs.times(own.get(worker.name, 0))
            return needs.fits_in(self._unreserved(worker).plus(own_needs))

        tasks = step.pending() if step.spec.gang else step.pending()[:1]
        usable = self._exclude_failed_workers(
            step, tasks, self._candidates(step, now), now
        )
        return count_obstacles(
            self.cluster_state,
            step,
            now=now,
            usable=set(usable),
            fits_unreserved=fits_unreserved,
            tasks_allowed_on=lambda worker: self._remaining_worker_limit(step, worker),
        )

    @property
    def _order(self) -> StepOrder:
        return self.cluster_state.load.order

    def _steps_by_rank(self, now: float, now_s: float) -> list[StepRun]:
        waiting = self.cluster_state.waiting
        for step in waiting.take_changed():
            if not any(task.state is TaskState.PENDING for task in step.tasks):
                del waiting[step.name]
        scan = RoundScan(
            cluster_state=self.cluster_state,
            snapshot_of=lambda pool: self._pool_snapshot(pool, now),
            now=now,
        )
        served: list[RequirementGroup] = []
        unserved: list[RequirementGroup] = []
        for group in waiting.groups():
            (served if scan.is_served(group) else unserved).append(group)
        self._log_unserved(unserved, scan, now_s)
        steps = []
        for group in served:
            for step in group.steps.values():
                if self._count_within_quota(step):
                    steps.append(step)
                else:
                    step.idle_since = None
                    self._log_waiting(step, AT_QUOTA, 0, now, now_s)
        steps.sort(key=lambda step: self._order.rank(step, now_s).key())
        return scan.limit(steps)

    def _log_unserved(
        self, groups: list[RequirementGroup], scan: RoundScan, now_s: float
    ) -> None:
        """Log the waits of steps that no worker could run, some of them a round."""
        waiting = self.cluster_state.waiting
        left = MAX_UNSERVED_STEPS_LOGGED
        for group in groups:
            while left > 0:
                left -= 1
                name, step = next(iter(group.steps.items()))
                reason = self._unserved_reason(step, scan)
                if not self._log_waiting(step, reason, 0, scan.now, now_s):
                    # The others were logged later.
                    break
                group.steps.move_to_end(name)
            waiting.defer(group)
            if left <= 0:
                break

    def _unserved_reason(self, step: StepRun, scan: RoundScan) -> str:
        if not self._count_within_quota(step):
            return AT_QUOTA
        if not scan.has_placeable_task(step):
            return HELD_BACK
        return self._wait_reason(step, [])

    def _count_within_quota(self, step: StepRun) -> bool:
        """Return whether the workspace quota allows another task or gang of the step.

        Steps over quota are left out of the round, so that their backlog cannot crowd
        out the steps of other workspaces.
        """
        return self.cluster_state.quotas.may_begin(
            step.job.workspace,
            reserved_resources(step.spec),
            step.spec.count if step.spec.gang else 1,
        )

    def _placeable_tasks(self, step: StepRun, now: float, plan: Plan) -> list[Task]:
        tasks = []
        for task in step.pending():
            obstacle = task_obstacle(self.cluster_state, task, now)
            if obstacle is None:
                tasks.append(task)
                continue
            task.waits_since = None
            if obstacle is TaskObstacle.RETRY_DELAY:
                self._schedule_retry(plan, task.not_before)
        if step.spec.gang and len(tasks) < len(step.tasks):
            return []
        if step.losses and now < (until := lost_exclusion_ends_at(step, tasks)):
            self._schedule_retry(plan, until)
        return tasks

    @staticmethod
    def _schedule_retry(plan: Plan, at: float) -> None:
        plan.retry_at = at if plan.retry_at is None else min(plan.retry_at, at)

    def _snapshot(self, step: StepRun, now: float) -> PoolSnapshot:
        return self._pool_snapshot(step.job.queue.pool, now)

    def _pool_snapshot(self, pool: str, now: float) -> PoolSnapshot:
        if pool not in self._snapshots:
            self._snapshots[pool] = take_snapshot(self.cluster_state.fleet, pool, now)
        return self._snapshots[pool]

    def _eligible_workers(self, step: StepRun, now: float) -> Sequence[FleetWorker]:
        """Return the schedulable workers that meet the step's requirements."""
        snapshot = self._snapshot(step, now)
        if not step.spec.label and reserved_resources(step.spec).fits_in(
            snapshot.min_capacity
        ):
            return snapshot.drawing
        return [
            worker for worker in snapshot.drawing if could_run_on(step.spec, worker)
        ]

    def _query_permits(
        self,
        step: StepRun,
        candidates: list[FleetWorker],
        now: float,
        plan: Plan,
        *,
        stalled: bool,
    ) -> None:
        """Add a query for the permits that a step needs and has not requested yet."""
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
                allowed=self._exclude_failed_workers(step, tasks, candidates, now),
                unknown=unknown,
                fits_now=lambda worker: self._fits_now(step, worker),
                fits_when_empty=lambda worker: self._fits_when_empty(step, worker),
                share=permits.share.value(),
            )
        if stalled:
            with_room = [
                each
                for each in self._workers_with_room(step, now)
                if each.name not in permits.asked
            ]
            unknown = with_room or unknown
        if unknown:
            names = tuple(each.name for each in unknown)
            plan.permit_queries.append(PermitQuery(step=step, workers=names))

    def _fits_now(self, step: StepRun, worker: FleetWorker) -> int:
        """Return how many more tasks of a step a worker would be assigned now."""
        fits = how_many_fit(reserved_resources(step.spec), self._unreserved(worker))
        if worker.has_isolated_attempt():
            return 0
        if worker.is_probed:
            fits = min(fits, 1)
        return min(fits, self._remaining_worker_limit(step, worker))

    def _fits_when_empty(self, step: StepRun, worker: FleetWorker) -> int:
        """Return how many more tasks an otherwise empty worker would be assigned."""
        fits = how_many_fit(reserved_resources(step.spec), worker.entry.capacity)
        return min(fits, self._remaining_worker_limit(step, worker))

    def _remaining_worker_limit(self, step: StepRun, worker: FleetWorker) -> int:
        """Return how many more tasks the step's per-worker limit allows."""
        limit = step.spec.most_per_worker
        return (
            max(0, limit - self._task_counts.count(step, worker))
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

    def _workers_with_room(self, step: StepRun, now: float) -> list[FleetWorker]:
        """Return the workers on which a task of a stalled step would fit.

        Suspected workers are given stalled steps one after the other: if such a worker
        fails whatever it starts, the others keep their attempts. Services have no limit
        of attempts.
        """
        snapshot = self._snapshot(step, now)
        needs = reserved_resources(step.spec)
        workers = snapshot.drawing if snapshot.might_fit(needs) else ()
        if snapshot.might_fit_suspected(needs):
            workers += tuple(
                each
                for each in snapshot.suspected
                if step.spec.service or now >= each.yielded_at + stalls.YIELD_SPACING_S
            )
        return [
            each
            for each in workers
            if could_run_on(step.spec, each)
            and self._room_for_stalled(step, each) > 0
            and not each.has_isolated_attempt()
        ]

    def _room_for_stalled(self, step: StepRun, worker: FleetWorker) -> int:
        """Return how many tasks of a stalled step a worker has room for."""
        room = self._firm_reservations.unreserved(worker)
        fits = how_many_fit(reserved_resources(step.spec), room)
        if step.spec.most_per_worker:
            return min(fits, self._remaining_worker_limit(step, worker))
        return fits

    def _unreserved(self, worker: FleetWorker) -> Amounts:
        """Return the free resources of a worker that no gang has reserved."""
        return self._reservations.unreserved(worker)

    def _place_single(
        self,
        step: StepRun,
        tasks: list[Task],
        candidates: list[FleetWorker],
        now: float,
        plan: Plan,
    ) -> bool:
        """Place as many tasks as fit; return whether any was placed."""
        needs = reserved_resources(step.spec)
        group = PlannedGroup(step=step)
        limit = step.spec.most_per_worker
        candidates = self._workers_near_data(step, candidates, now, plan)

        def fits(worker: FleetWorker) -> bool:
            return (
                needs.fits_in(self._unreserved(worker))
                and worker.may_accept_work(now)
                and (not limit or self._task_counts.count(step, worker) < limit)
            )

        choice = BestFit(
            fits=fits, preference=lambda worker: self._preference(step, worker)
        )
        choice.add_all(candidates)
        tries_left = MAX_ISOLATED_TRIES
        for task in tasks:
            if self._work_left <= 0 or not self._count_within_quota(step):
                break
            if not task.failed_on and step.losses_of(task) is None:
                best = choice.best()
                if best is None:
                    break
                self._place(step, task, best, step.last_attempt + 1, now, group)
                choice.update(best)
                continue
            isolated_attempt = isolation.record_for(task)
            if isolated_attempt is not None and tries_left <= 0:
                continue
            fitting = [
                worker
                for worker in self._exclude_failed_workers(
                    step, [task], candidates, now
                )
                if fits(worker)
            ]
            if isolated_attempt is not None:
                fitting = isolation.candidates_for(
                    isolated_attempt,
                    fitting,
                    self.cluster_state.fleet.worker_failures,
                    now,
                )
            if not fitting:
                tries_left -= 1
                continue
            best = min(fitting, key=lambda each: self._preference(step, each))
            self._place(step, task, best, step.last_attempt + 1, now, group)
            choice.update(best)
            self._work_left -= len(candidates)
        if group.placements:
            plan.groups.append(group)
            used = [worker for worker, _ in group.placements]
            self._speed_choice.log_placement(step, used, now)
        return bool(group.placements)

    def _place_stalled(
        self, step: StepRun, tasks: list[Task], now: float, plan: Plan
    ) -> bool:
        """Place a task, a gang or all members of a stalled step where there is room.

        See `stalls`. Reservations, exclusions after failures, and the rest and probing
        of workers only determine the order of workers. A task that must be isolated and
        a step that waits for a rack have bounded waits of their own.
        """
        spec = step.spec
        records = {task: isolation.record_for(task) for task in tasks}
        tasks = [
            task
            for task, record in records.items()
            if record is None or record.isolation_wait_expired(now)
        ]
        wants_rack = spec.same_rack or bool(spec.data_rack)
        if not tasks or (wants_rack and self._waits_for_rack(step, now, plan)):
            return False
        needs = reserved_resources(spec)
        workers = self._workers_with_room(step, now)
        if step.job.queue.permits is not None:
            permits = self.cluster_state.permits.get(step.name)
            allowed = {} if permits is None else permits.tickets
            workers = [each for each in workers if each.name in allowed]
        exclusions = exclusion.exclusions_of(step, tasks)
        rooms = {each: self._room_for_stalled(step, each) for each in workers}
        least_room = len(step.tasks) if spec.gang else 1
        if sum(rooms.values()) < stalls.STALL_ROOM_FACTOR * least_room:
            return False
        if all(map(_is_last_attempt, tasks)):
            # A worker that fails it would fail its job.
            workers = [
                each
                for each in workers
                if each.may_accept_work(now) and exclusions.ends_at(each) is None
            ]
        workers.sort(
            key=lambda each: (
                exclusions.ends_at(each) is not None,
                not each.may_accept_work(now),
                self._preference(step, each),
            )
        )
        at_once = spec.gang or spec.service
        if not at_once:
            tasks = [task for task in tasks if not _is_last_attempt(task)] or tasks
        assigned: list[FleetWorker] = []
        for worker in workers:
            fits = min(rooms[worker], len(tasks) - len(assigned))
            if not at_once:
                # One task is enough to end the stall where others are kept out.
                usable = worker.may_accept_work(now)
                room = self._unreserved(worker) if usable else NOTHING
                fits = min(fits, max(how_many_fit(needs, room), 1 - len(assigned)))
            assigned += [worker] * max(0, fits)
        if not assigned or (spec.gang and len(assigned) < len(step.tasks)):
            return False
        first = assigned[0].name
        tasks.sort(key=lambda task: (first in task.failed_on, task.index))
        group = PlannedGroup(step=step)
        gang_attempt = step.last_attempt + 1
        for task, worker in zip(tasks, assigned, strict=False):
            if not spec.gang and not self._count_within_quota(step):
                break
            if not worker.may_accept_work(now):
                worker.yielded_at = now
            attempt = gang_attempt if spec.gang else step.last_attempt + 1
            self._place(step, task, worker, attempt, now, group)
        if group.placements:
            plan.groups.append(group)
        return bool(group.placements)

    def _exclude_failed_workers(
        self,
        step: StepRun,
        tasks: list[Task],
        candidates: list[FleetWorker],
        now: float,
    ) -> list[FleetWorker]:
        """Exclude workers that failed these tasks and have not succeeded since.

        See `exclusion`. Workers whose exclusion has ended are used if the others have
        no room at present. If those not excluded could not hold the tasks even when
        empty, nothing is excluded; one that is being probed holds one.
        """
        exclusions = exclusion.exclusions_of(step, tasks)
        if not exclusions:
            return candidates
        preferred = [each for each in candidates if exclusions.ends_at(each) is None]
        if self._fit_now(step, tasks, preferred):
            return preferred
        return self._workers_not_avoided(step, tasks, candidates, now)

    def _workers_not_avoided(
        self,
        step: StepRun,
        tasks: list[Task],
        candidates: list[FleetWorker],
        now: float,
    ) -> list[FleetWorker]:
        """Return the workers that these tasks avoid no longer or never did.

        All candidates if those could not hold the tasks even when empty.
        """
        exclusions = exclusion.exclusions_of(step, tasks)
        if not exclusions:
            return candidates
        eligible = []
        for each in candidates:
            excluded_until = exclusions.ends_at(each)
            if excluded_until is None or excluded_until <= now:
                eligible.append(each)
        fitting = 0
        for each in eligible:
            if fitting >= len(tasks):
                break
            fits = self._fits_when_empty(step, each)
            fitting += min(fits, 1 if each.is_probed else len(tasks))
        return eligible if fitting >= len(tasks) else candidates

    def _fit_now(
        self, step: StepRun, tasks: list[Task], workers: list[FleetWorker]
    ) -> bool:
        """Return whether workers have free resources for all given tasks of a step."""
        return sum(self._fits_now(step, each) for each in workers) >= len(tasks)

    def _preference(self, step: StepRun, worker: FleetWorker) -> Preference:
        away = bool(step.spec.data_rack) and (
            step.spec.data_rack not in worker.entry.labels
        )
        interference = self._interference(step, worker)
        speed = self._speed_choice.rank(step, worker)
        return (away, interference, speed, worker.free.processors, worker.name)

    @staticmethod
    def _interference(step: StepRun, worker: FleetWorker) -> int:
        """Return how many serving tasks on a worker interfere with the step.

        Zero for steps that neither serve users nor are fillers.
        """
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
        eligible = self._exclude_failed_workers(step, tasks, candidates, now)
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
                self._speed_choice.log_placement(step, assigned, now)
                return True
        return False

    def _rack_choices(
        self, step: StepRun, candidates: list[FleetWorker], now: float, plan: Plan
    ) -> list[list[FleetWorker]]:
        """Return the groups of workers eligible for a gang, best first."""
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
        """Return the workers near a step's data while it is worth waiting for them."""
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
        """Return one worker per gang member, fullest first; fewer if not all fit."""
        if self._speed_choice.is_uneven(step):
            return self._assign_gang_by_speed(step, candidates, count)
        assigned: list[FleetWorker] = []
        for worker in sorted(candidates, key=lambda each: self._preference(step, each)):
            fits = min(count - len(assigned), self._fits_now(step, worker))
            assigned += [worker] * fits
            if len(assigned) == count:
                break
        return assigned

    def _assign_gang_by_speed(
        self, step: StepRun, candidates: list[FleetWorker], count: int
    ) -> list[FleetWorker]:
        """Return one worker of like speed per gang member; none if not all fit.

        The slowest and then the fullest of the workers chosen go first.
        """
        needs = reserved_resources(step.spec)
        fits = {
            each: self._fits_now(step, each)
            for each in candidates
            if needs.fits_in(each.free)
        }
        classes = self._speed_choice.gang_classes(step, fits, count)

        def preference(worker: FleetWorker) -> Preference:
            away, interference, _, free, name = self._preference(step, worker)
            return (away, interference, classes[worker], free, name)

        assigned: list[FleetWorker] = []
        for worker in sorted(classes, key=preference):
            assigned += [worker] * min(count - len(assigned), fits[worker])
        return assigned

    def _reserve_for_gang(
        self, step: StepRun, candidates: list[FleetWorker], now: float, plan: Plan
    ) -> None:
        """Reserve resources for a gang on the workers that will fit it soonest."""
        snapshot = self._snapshot(step, now)
        if not self._reservations.may_add(snapshot.cores()):
            return
        members = self._reservations.reserve(
            reserved_resources(step.spec),
            len(step.tasks),
            candidates,
            lambda worker: min(
                self._fits_when_empty(step, worker),
                _fits_beside_services(step, worker),
            ),
        )
        self._members[step] = members
        if stalls.is_firm(step, now):
            self._add_slots(self._firm_reservations, step, members)
        if members and self.cluster_state.load.batch_permits:
            self._renew_gang_permits(step, members, now, plan)

    def _renew_gang_permits(
        self, step: StepRun, members: dict[str, int], now: float, plan: Plan
    ) -> None:
        """Query expired permits of a gang that will soon fit.

        Renewing them only once all members fit left their workers idle for a second.
        """
        permits = self.cluster_state.permits_of(step)
        if permits is None or permits.calls_in_flight:
            return
        by_name = self._snapshot(step, now).by_name
        workers = {by_name[name]: count for name, count in members.items()}
        if not is_nearly_ready(reserved_resources(step.spec), workers):
            return
        stale = permits.workers_to_renew(members, now)
        if stale:
            plan.permit_queries.append(PermitQuery(step=step, workers=stale))

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
        self._task_counts.add(task)
        self._work_left -= PLACEMENT_WORK
        step.idle_since = task.waits_since = None
        if isolation.record_for(task) is not None:
            placement.on_unstable_machine = isolation.is_known_unstable(
                worker, self.cluster_state.fleet.worker_failures, now
            )
            worker.isolated_attempt = placement
        self.cluster_state.load.preemption.note_placed(step, worker)
        group.placements.append((worker, placement))


def _end_waits(service: StepRun) -> None:
    """Record that no member of a service waits for room."""
    for task in service.tasks:
        task.waits_since = None


def _is_last_attempt(task: Task) -> bool:
    """Return whether a task's job fails if its next attempt does."""
    step = task.step
    failures = step.gang_failures if step.spec.gang else task.failures
    return not step.spec.service and step.job.queue.max_attempts - failures <= 1


def _may_preempt(step: StepRun) -> bool:
    """Return whether a step may preempt as urgent work.

    A gang that needs a common rack and a task that must run isolated would need more
    than free resources.
    """
    spec = step.spec
    if spec.service or spec.filler or (spec.gang and spec.same_rack):
        return False
    if not step.losses:
        return True
    return not any(isolation.record_for(task) for task in step.pending())


def _fits_beside_services(step: StepRun, worker: FleetWorker) -> int:
    """Return how many tasks of a step fit on a worker next to its services."""
    available = worker.entry.capacity
    for each in worker.placements.values():
        if runs_until_cancelled(each):
            available = available.minus(each.needs)
    return how_many_fit(reserved_resources(step.spec), available)
