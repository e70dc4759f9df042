"""Scheduling rounds: which pending jobs are placed, and in which order.

One round iterates over the pending jobs once and passes each to the placement
policy of its kind. Order, quotas, reservations and preemption are decided here,
on a single worker inventory; the caller persists the plan before acting on it.

Order: highest priority first; within a priority the least work first (run time
times processors), aged by waiting time so that no job starves. A gang that has
waited long reserves workers: tasks placed on them in the meantime must be expected
to end before the reservation starts (backfill), so that the gang does not starve
and small jobs are not blocked.
"""

import math
from itertools import islice
from typing import Final

import attrs

from cranberrycleat import registry
from cranberrycleat.amounts import NOTHING, Amounts, dominant_share
from cranberrycleat.history import RunHistory
from cranberrycleat.inventory import InventoryWorker, WorkerInventory
from cranberrycleat.jobs import Kind, PreemptionMode, Priority
from cranberrycleat.placement import (
    Assignment,
    PlacementPolicy,
    PlacementRequest,
    unsatisfiable_reasons,
)
from cranberrycleat.preemption import Preemption, Victim, choose_victims
from cranberrycleat.selectors import Selector

MIN_RUN_S: Final = 1.0
"""Shorter run times count as this; otherwise waiting time alone would set the order."""
DEFAULT_RUN_S: Final = 60.0
RESERVATION_REFRESH_S: Final = 5.0
"""How often the workers of a reservation are chosen again."""
RESERVATION_CANDIDATES: Final = 128
"""How many workers, those with the most free capacity, a reservation considers."""


@attrs.frozen(kw_only=True)
class UnplacedJob:
    """A job with tasks that could not be placed in this round.

    Attributes:
        job: The job's name.
        never: Whether no worker of the shard could ever run it.
        reasons: Explanations for operators.
    """

    job: str
    never: bool
    reasons: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Plan:
    """The decisions of one round.

    Attributes:
        assignments: Tasks and the workers with capacity allocated for them.
        unplaced: Jobs that keep waiting, or can never run.
        preemptions: Tasks to preempt.
    """

    assignments: tuple[Assignment, ...]
    unplaced: tuple[UnplacedJob, ...]
    preemptions: tuple[Preemption, ...] = ()


@attrs.frozen(kw_only=True)
class PlannerProfile:
    """How the planner trades waiting time against packing (see `config`).

    Attributes:
        reserve_after_s: How long a gang waits before it reserves workers.
        preempts: Whether urgent jobs preempt others.
        round_s: How long requests are collected for a round; longer rounds cost
            less control-plane work.
    """

    reserve_after_s: float = 10.0
    preempts: bool = True
    round_s: float = 0.1


PLANNER_PROFILES: Final = {
    "waiting": PlannerProfile(),
    "packing": PlannerProfile(reserve_after_s=60.0, preempts=False, round_s=1.0),
}


@attrs.define(kw_only=True)
class TeamUsage:
    """Resource usage and quota of one team.

    Attributes:
        used: The sum over its tasks.
        quota: Its maximum dominant share of the total capacity.
    """

    used: Amounts = NOTHING
    quota: float = 1.0


@attrs.define(kw_only=True)
class Reservation:
    """Workers reserved for a gang.

    Attributes:
        job: The gang's job name.
        workers: The workers' names.
        chosen_at: When they were chosen.
    """

    job: str
    workers: tuple[str, ...]
    chosen_at: float


@attrs.frozen(kw_only=True)
class UnfitNeeds:
    """Needs that did not fit in this round, so larger ones need not be tried."""

    needs: Amounts
    ends_by: float


@attrs.frozen(kw_only=True)
class PlacedTask:
    """The planner's record of a task that it placed."""

    victim: Victim
    ends_at: float


@attrs.define(kw_only=True)
class RoundPlanner:
    """Plans rounds over one worker inventory.

    Attributes:
        inventory: The worker inventory.
        total_capacity: The sum of all workers' capacities.
        teams: Usage and quota of each team.
        profile: The trade-off between waiting time and packing.
        history: Run times and usage learned from earlier runs.
        placed: Records of the tasks that are placed.
        policies: The placement policy for each kind of job.
        reservation: The workers reserved for a gang, if any.
    """

    inventory: WorkerInventory
    total_capacity: Amounts = NOTHING
    teams: dict[str, TeamUsage] = attrs.field(factory=dict)
    profile: PlannerProfile = PlannerProfile()
    history: RunHistory = attrs.field(factory=RunHistory)
    placed: dict[str, PlacedTask] = attrs.field(factory=dict)
    policies: dict[str, PlacementPolicy] = attrs.field(factory=dict)
    reservation: Reservation | None = None
    _waiting_since: dict[str, float] = attrs.field(factory=dict)
    _feasible_at: dict[str, int] = attrs.field(factory=dict)
    _being_preempted: dict[str, str] = attrs.field(factory=dict)
    _unfit: dict[Selector, list[UnfitNeeds]] = attrs.field(factory=dict)

    def plan(
        self,
        requests: list[PlacementRequest],
        racks: dict[str, dict[str, int]] | None = None,
        *,
        now: float = 0.0,
    ) -> Plan:
        """Plan one round.

        Args:
            requests: The pending tasks, one request per job.
            racks: For each job, the number of its tasks placed in each rack.
            now: The caller's clock, in seconds.
        """
        self.inventory.begin_round(now)
        self._unfit.clear()
        self._update_waiting(requests, now)
        assignments: list[Assignment] = []
        unplaced: list[UnplacedJob] = []
        preemptions = list(self._relieve_overcommitted(now))
        for request in self._sorted(requests, now):
            decision = self.plan_job(request, (racks or {}).get(request.job, {}), now)
            assignments.extend(decision.assignments)
            unplaced.extend(decision.unplaced)
            preemptions.extend(decision.preemptions)
        return Plan(
            assignments=tuple(assignments),
            unplaced=tuple(unplaced),
            preemptions=tuple(preemptions),
        )

    def plan_job(
        self, request: PlacementRequest, racks: dict[str, int], now: float
    ) -> Plan:
        """Plan one job: its assignments, why tasks are unplaced, and preemptions."""
        new_assignments = self._place(request, racks, now)
        missing = len(request.tasks) - len(new_assignments)
        if not missing:
            return Plan(assignments=new_assignments, unplaced=())
        return Plan(
            assignments=new_assignments,
            unplaced=(self._unplaced_job(request),),
            preemptions=self._handle_unplaced(request, missing, now),
        )

    def forget(self, task: str) -> None:
        """Remove the record of a task that is no longer placed."""
        self.placed.pop(task, None)
        self._being_preempted.pop(task, None)

    # --- order ----------------------------------------------------------------

    def _update_waiting(self, requests: list[PlacementRequest], now: float) -> None:
        """Record since when each job has been waiting."""
        self._waiting_since = {
            request.job: self._waiting_since.get(request.job, now)
            for request in requests
        }
        self._feasible_at = {
            job: seen
            for job, seen in self._feasible_at.items()
            if job in self._waiting_since
        }
        current = self.reservation
        if current is not None and current.job not in self._waiting_since:
            self._cancel_reservation()

    def _sorted(
        self, requests: list[PlacementRequest], now: float
    ) -> list[PlacementRequest]:
        """Return the requests in the order in which they are planned."""
        shares = {
            name: dominant_share(team.used, self.total_capacity)
            for name, team in self.teams.items()
        }

        def order(request: PlacementRequest) -> tuple[int, float, float]:
            run_s = max(MIN_RUN_S, request.run_s or DEFAULT_RUN_S)
            waited_s = now - self._waiting_since[request.job]
            ratio = (waited_s + run_s) / (run_s * run_s * request.needs.processors)
            return (request.rank, -ratio, shares.get(request.team, 0.0))

        return sorted(requests, key=order)

    def _team(self, name: str) -> TeamUsage:
        return self.teams.setdefault(name, TeamUsage())

    # --- one job --------------------------------------------------------------

    def _place(
        self, request: PlacementRequest, racks: dict[str, int], now: float
    ) -> tuple[Assignment, ...]:
        ends_by = self._ends_by(request, now)
        if self._known_unfit(request, ends_by):
            return ()
        allowed = self._count_within_quota(request)
        if allowed == 0:
            return ()
        request = attrs.evolve(request, tasks=request.tasks[:allowed], ends_by=ends_by)
        new_assignments = self._policy(request.kind).place(
            request=request, inventory=self.inventory, racks=racks
        )
        if len(new_assignments) < len(request.tasks) and request.kind is Kind.BATCH:
            self._record_unfit(request)
        self._record_placed(request, new_assignments, now)
        return new_assignments

    def _ends_by(self, request: PlacementRequest, now: float) -> float:
        """Return when the tasks would end; a gang may use its own reservation."""
        if self.reservation is not None and self.reservation.job == request.job:
            return -math.inf
        return now + request.run_s if request.run_s else math.inf

    def _known_unfit(self, request: PlacementRequest, ends_by: float) -> bool:
        """Return whether the same or smaller needs already failed in this round."""
        return any(
            each.needs.fits_in(request.needs) and each.ends_by <= ends_by
            for each in self._unfit.get(request.selector, ())
        )

    def _record_unfit(self, request: PlacementRequest) -> None:
        """Record the smallest needs that did not fit in this round."""
        smallest = self._unfit.setdefault(request.selector, [])
        new = UnfitNeeds(needs=request.needs, ends_by=request.ends_by)
        smallest[:] = [
            each
            for each in smallest
            if not (new.needs.fits_in(each.needs) and new.ends_by <= each.ends_by)
        ]
        smallest.append(new)

    def _policy(self, kind: Kind) -> PlacementPolicy:
        policy = self.policies.get(kind.value)
        if policy is None:
            policy = registry.find(registry.PluginKind.PLACEMENT, kind.value)()
            self.policies[kind.value] = policy
        return policy

    def _record_placed(
        self,
        request: PlacementRequest,
        new_assignments: tuple[Assignment, ...],
        now: float,
    ) -> None:
        if not new_assignments:
            return
        team = self._team(request.team)
        victim = Victim(rank=request.rank, how=request.gives_way, started=now)
        ends_at = now + request.run_s if request.run_s else math.inf
        for assignment in new_assignments:
            team.used = team.used.plus(request.needs)
            placed = PlacedTask(victim=victim, ends_at=ends_at)
            self.placed[assignment.task] = placed
        if self.reservation is not None and self.reservation.job == request.job:
            self._cancel_reservation()

    def _count_within_quota(self, request: PlacementRequest) -> int:
        """Return how many of the tasks fit within the team's quota."""
        team = self._team(request.team)
        if team.quota >= 1.0:
            return len(request.tasks)
        used, count = team.used, 0
        while count < len(request.tasks):
            used = used.plus(request.needs)
            if dominant_share(used, self.total_capacity) > team.quota:
                break
            count += 1
        if request.kind is Kind.GANG and count < len(request.tasks):
            return 0
        return count

    def _unplaced_job(self, request: PlacementRequest) -> UnplacedJob:
        if self._feasible_at.get(request.job) != self.inventory.membership_revision:
            never = unsatisfiable_reasons(request, self.inventory)
            if never:
                return UnplacedJob(job=request.job, never=True, reasons=never)
            self._feasible_at[request.job] = self.inventory.membership_revision
        if self._count_within_quota(request) == 0:
            reason = f"the quota of team {request.team} is used up"
            return UnplacedJob(job=request.job, never=False, reasons=(reason,))
        return UnplacedJob(job=request.job, never=False, reasons=("no room now",))

    # --- unplaced tasks: preemption and reservations ----------------------------

    def _handle_unplaced(
        self, request: PlacementRequest, missing: int, now: float
    ) -> tuple[Preemption, ...]:
        """Preempt for urgent jobs, or reserve workers for a gang."""
        if self._count_within_quota(request) == 0:
            return ()
        if request.rank == Priority.URGENT and self.profile.preempts:
            return self._preempt(request, missing, now)
        if request.kind is Kind.GANG:
            self._maybe_reserve(request, now)
        return ()

    def _preempt(
        self, request: PlacementRequest, missing: int, now: float
    ) -> tuple[Preemption, ...]:
        """Preempt other tasks; preemptions already under way for the job count."""
        expected = sum(
            1 for job in self._being_preempted.values() if job == request.job
        )
        preemptions: list[Preemption] = []
        pool = self.inventory.pool(request.selector)
        while expected < missing:
            found = choose_victims(
                pool.most_free_first(), request.needs, request.rank, self._victim, now
            )
            if not found:
                break
            expected += 1
            preemptions.extend(found)
            for each in found:
                self._being_preempted[each.task] = request.job
        return tuple(preemptions)

    def _victim(self, task: str) -> Victim | None:
        if task in self._being_preempted:
            return None
        placed = self.placed.get(task)
        return None if placed is None else placed.victim

    def _relieve_overcommitted(self, now: float) -> tuple[Preemption, ...]:
        """Preempt tasks on workers whose reported usage exceeds their capacity."""
        preemptions: list[Preemption] = []
        for worker in self.inventory.overcommitted_workers():
            if any(task in self._being_preempted for task in worker.tasks):
                continue
            found = choose_victims([worker], NOTHING, -1, self._victim, now)
            for each in found:
                stop = each.how is PreemptionMode.THROTTLE
                preemptions.append(
                    attrs.evolve(each, how=PreemptionMode.STOP) if stop else each
                )
                self._being_preempted[each.task] = ""
        return tuple(preemptions)

    def _maybe_reserve(self, request: PlacementRequest, now: float) -> None:
        """Reserve workers for a gang that has waited long, one gang at a time."""
        current = self.reservation
        if current is not None and current.job != request.job:
            return
        if current is not None and now - current.chosen_at < RESERVATION_REFRESH_S:
            return
        if now - self._waiting_since[request.job] < self.profile.reserve_after_s:
            return
        self._cancel_reservation()
        self._reserve(request, now)

    def _reserve(self, request: PlacementRequest, now: float) -> None:
        """Reserve the workers that can start the gang's members soonest."""
        places = sorted(
            (at, worker.name)
            for worker in islice(
                self.inventory.pool(request.selector).most_free_first(),
                RESERVATION_CANDIDATES,
            )
            for at in self._start_times(worker, request, now)
        )
        chosen = places[: len(request.tasks)]
        if len(chosen) < len(request.tasks) or chosen[-1][0] == math.inf:
            return
        names = tuple(sorted({name for _, name in chosen}))
        for name in names:
            self.inventory.workers[name].reserved_until = chosen[-1][0]
        self.reservation = Reservation(job=request.job, workers=names, chosen_at=now)

    def _start_times(
        self, worker: InventoryWorker, request: PlacementRequest, now: float
    ) -> list[float]:
        """Return when the worker could start its first, second, ... member."""
        if not request.needs.fits_in(worker.capacity):
            return []
        ends = sorted((self._ends_at(task), task) for task in worker.tasks)
        free, at = worker.free, now
        times: list[float] = []
        while len(times) < len(request.tasks):
            if request.needs.fits_in(free):
                free = free.minus(request.needs)
                times.append(at)
            elif ends:
                at, task = ends.pop(0)
                free = free.plus(worker.tasks[task])
            else:
                break
        return times

    def _ends_at(self, task: str) -> float:
        placed = self.placed.get(task)
        return math.inf if placed is None else placed.ends_at

    def _cancel_reservation(self) -> None:
        if self.reservation is not None:
            for name in self.reservation.workers:
                if name in self.inventory.workers:
                    self.inventory.workers[name].reserved_until = 0.0
        self.reservation = None
