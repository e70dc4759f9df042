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
from cranberrycleat.workflow import trials
from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.fleet import FleetWorker, Placement, counted, job_of, times
from cranberrycleat.workflow.locality import could_hold, rack_wait_s, racks
from cranberrycleat.workflow.making_room import ROOM_WAIT_S, victims
from cranberrycleat.workflow.ordering import rank
from cranberrycleat.workflow.permit_choice import asks_about_all, choose
from cranberrycleat.workflow.pool_view import PoolView, look_at, suits
from cranberrycleat.workflow.serving import lasts, serves
from cranberrycleat.workflow.state import StepRun, Task, TaskState

MOST_HELD: Final = 3
"""Gangs for which room is kept at a time; more would idle the pool."""
NO_WORKER: Final = "every known worker is ruled out by a label, a permit or its state"
TELL_AGAIN_S: Final = 10.0
AT_QUOTA: Final = "its workspace is at its quota, or a newer one may be in force"
MOST_SCANNED: Final = 400
"""Steps looked at in a round."""
MOST_OF_ONE: Final = 100
"""Steps of one workspace among them, where more wait than are looked at."""
ASKED_AHEAD: Final = 60
"""Steps without room for which permits are asked for all the same, so that they
start when room comes: what 300 starts a second begin while a call is answered.
For all of a backlog the permit service would only be kept busy."""


@attrs.define(kw_only=True, eq=False)
class PlannedGroup:
    """Placements of one step that are ordered together."""

    step: StepRun
    placements: list[tuple[FleetWorker, Placement]] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class PermitWish:
    """Workers that the permit service is to be asked about."""

    step: StepRun
    workers: tuple[str, ...]


@attrs.define(kw_only=True, eq=False)
class Plan:
    """What a round decided."""

    groups: list[PlannedGroup] = attrs.field(factory=list)
    wishes: list[PermitWish] = attrs.field(factory=list)
    retry_at: float | None = None


@attrs.define(kw_only=True, eq=False)
class Planner:
    """Plans rounds over a board.

    Attributes:
        board: What is known.
        spread_factor: How many times as long tasks take away from their data,
            and gangs on several racks.
    """

    board: Board
    spread_factor: float = 1.0
    _held: dict[str, Amounts] = attrs.field(factory=dict)
    _views: dict[str, PoolView] = attrs.field(factory=dict)

    def plan(self, *, now: float, now_s: float) -> Plan:
        """Place what fits.

        Args:
            now: The owner's clock.
            now_s: Seconds since 1970, the clock that objectives are counted on.
        """
        plan = Plan()
        self._held = {}
        self._views = {}
        held = 0
        for place, step in enumerate(self._ordered(now, now_s)):
            tasks = self._placeable(step, now, plan)
            if not tasks or not self._in_quota(step):
                step.waits_since = None
                continue
            may_fit = self._view(step, now).may_fit(counted(step.spec))
            candidates = self._candidates(step, now)
            if may_fit or place < ASKED_AHEAD:
                self._wish(step, candidates, now, plan)
            if not may_fit:
                placed = False
            elif not step.spec.gang:
                placed = self._place_single(step, tasks, candidates, now, plan)
            else:
                placed = self._place_gang(step, tasks, candidates, now, plan)
            if step.spec.gang and not placed and held < MOST_HELD:
                held += self._hold(step, candidates)
            if step.spec.service:
                self._make_room(step, candidates, now)
            if step.pending():
                reason = self._why_waiting(step, candidates)
                self._tell_waiting(step, reason, len(candidates), now, now_s)
        return plan

    def _make_room(
        self, step: StepRun, candidates: list[FleetWorker], now: float
    ) -> None:
        """Have lesser work stop where members of a service wait for room."""
        if not step.pending():
            step.waits_since = None
            return
        if step.waits_since is None:
            step.waits_since = now
        if now - step.waits_since < ROOM_WAIT_S:
            return
        for placement in victims(counted(step.spec), candidates):
            for worker, each in self.board.placements_of(job_of(placement.task)):
                if each is placement:
                    self.board.stop(worker, placement, f"makes room for {step.name}")

    def _why_waiting(self, step: StepRun, candidates: list[FleetWorker]) -> str:
        if not self._in_quota(step):
            return AT_QUOTA
        if candidates:
            return "no room"
        permits = self.board.permits.get(step.name)
        asking = permits is not None and (permits.calls or not permits.asked)
        return "permits are being asked for" if asking else NO_WORKER

    def _tell_waiting(
        self, step: StepRun, reason: str, candidates: int, now: float, now_s: float
    ) -> None:
        """Log why a step is left waiting: each reason, and again while it lasts."""
        if reason == step.wait_reason and now < step.wait_told_at + TELL_AGAIN_S:
            return
        step.wait_reason = reason
        step.wait_told_at = now
        pending = len(step.pending())
        if reason == NO_WORKER:
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

    def _ordered(self, now: float, now_s: float) -> list[StepRun]:
        for name, step in list(self.board.waiting.items()):
            if not any(task.state is TaskState.PENDING for task in step.tasks):
                del self.board.waiting[name]
        steps = []
        for step in self.board.waiting.values():
            if self._in_quota(step):
                steps.append(step)
            else:
                self._tell_waiting(step, AT_QUOTA, 0, now, now_s)
        steps.sort(key=lambda step: rank(step, now_s).key())
        return _scanned(steps)

    def _in_quota(self, step: StepRun) -> bool:
        """Tell whether a step's workspace may have more of it running.

        The backlog of one that may not must not fill the round before the others'.
        """
        return self.board.quotas.may_begin(
            step.job.workspace,
            counted(step.spec),
            step.spec.count if step.spec.gang else 1,
        )

    def _placeable(self, step: StepRun, now: float, plan: Plan) -> list[Task]:
        tasks = []
        for task in step.pending():
            if task.not_before > now:
                self._retry(plan, task.not_before)
            else:
                tasks.append(task)
        if step.spec.gang and len(tasks) < len(step.tasks):
            return []
        return tasks

    @staticmethod
    def _retry(plan: Plan, at: float) -> None:
        plan.retry_at = at if plan.retry_at is None else min(plan.retry_at, at)

    def _view(self, step: StepRun, now: float) -> PoolView:
        pool = step.job.queue.pool
        if pool not in self._views:
            self._views[pool] = look_at(self.board.fleet, pool, now)
        return self._views[pool]

    def _suited(self, step: StepRun, now: float) -> Sequence[FleetWorker]:
        """Return the workers that may draw and that the step could run on."""
        view = self._view(step, now)
        if not step.spec.label and counted(step.spec).fits_in(view.smallest):
            return view.drawing
        return [worker for worker in view.drawing if suits(step.spec, worker)]

    def _wish(
        self, step: StepRun, candidates: list[FleetWorker], now: float, plan: Plan
    ) -> None:
        """Ask for the permits that a step needs and has not asked for yet."""
        permits = self.board.permits_of(step)
        if permits is None or permits.calls:
            return
        unknown = [
            each for each in self._suited(step, now) if each.name not in permits.asked
        ]
        if not asks_about_all(step.spec):
            tasks = step.pending()
            unknown.sort(key=lambda worker: self._preference(step, worker))
            unknown = choose(
                step_name=step.name,
                pending=len(tasks),
                allowed=self._trusted(step, tasks, candidates),
                unknown=unknown,
                seats_now=lambda worker: self._seats_now(step, worker),
                seats_ever=lambda worker: self._seats_ever(step, worker),
                share=permits.share.value(),
            )
        if unknown:
            names = tuple(each.name for each in unknown)
            plan.wishes.append(PermitWish(step=step, workers=names))

    def _seats_now(self, step: StepRun, worker: FleetWorker) -> int:
        """Return how many more of a step's tasks a worker would be given now."""
        fits = times(counted(step.spec), self._room(worker))
        if worker.has_trial():
            return 0
        if worker.probing:
            fits = min(fits, 1)
        return min(fits, self._seats_left(step, worker))

    def _seats_ever(self, step: StepRun, worker: FleetWorker) -> int:
        """Return how many more it would be given if nothing else ran there."""
        fits = times(counted(step.spec), worker.entry.capacity)
        return min(fits, self._seats_left(step, worker))

    def _seats_left(self, step: StepRun, worker: FleetWorker) -> int:
        """Return how many more tasks the step's limit for a worker leaves."""
        most = step.spec.most_per_worker
        return max(0, most - self._on_worker(step, worker)) if most else step.spec.count

    def _candidates(self, step: StepRun, now: float) -> list[FleetWorker]:
        if step.job.queue.permits is None:
            return list(self._suited(step, now))
        permits = self.board.permits.get(step.name)
        if permits is None:
            return []
        by_name = self._view(step, now).by_name
        allowed = (by_name.get(name) for name in permits.tickets)
        return [each for each in allowed if each and suits(step.spec, each)]

    def _room(self, worker: FleetWorker) -> Amounts:
        """Return what is free there and not kept for a gang."""
        held = self._held.get(worker.name)
        return worker.free if held is None else worker.free.minus(held)

    def _on_worker(self, step: StepRun, worker: FleetWorker) -> int:
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
        needs = counted(step.spec)
        group = PlannedGroup(step=step)
        most = step.spec.most_per_worker
        candidates = self._near(step, candidates, now, plan)
        for task in tasks:
            if not self._in_quota(step):
                break
            fitting = [
                worker
                for worker in self._trusted(step, [task], candidates)
                if needs.fits_in(self._room(worker))
                and worker.may_draw(now)
                and (not most or self._on_worker(step, worker) < most)
            ]
            trial = trials.of(task)
            if trial is not None:
                fitting = trials.places(trial, fitting, self.board.fleet.falls, now)
            if not fitting and trial is None:
                break
            if not fitting:
                continue
            best = min(fitting, key=lambda each: self._preference(step, each))
            self._place(step, task, best, step.last_attempt + 1, now, group)
        if group.placements:
            plan.groups.append(group)
        return bool(group.placements)

    def _trusted(
        self, step: StepRun, tasks: list[Task], candidates: list[FleetWorker]
    ) -> list[FleetWorker]:
        """Leave out workers that failed these tasks and did nothing well since.

        A worker that fails what it starts has room at once, and would draw a
        task again until its attempts are used up; so has the next life of one that
        was lost. Where the others could not hold the tasks even if they were empty,
        it is as good as any.
        """
        failed_on = {name for task in tasks for name in task.failed_on}
        lost_at = trials.lost_at(step, tasks)
        if not failed_on and not lost_at:
            return candidates
        trusted = [
            each
            for each in candidates
            if (each.name not in failed_on or not each.failures)
            and each.entry.address not in lost_at
        ]
        seats = sum(self._seats_ever(step, each) for each in trusted)
        return trusted if seats >= len(tasks) else candidates

    def _preference(
        self, step: StepRun, worker: FleetWorker
    ) -> tuple[bool, int, int, str]:
        away = bool(step.spec.data_rack) and (
            step.spec.data_rack not in worker.entry.labels
        )
        crowd = self._crowd(step, worker)
        return (away, crowd, worker.free.processors, worker.name)

    @staticmethod
    def _crowd(step: StepRun, worker: FleetWorker) -> int:
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
        trusted = self._trusted(step, tasks, candidates)
        trial = trials.of(tasks[0])
        if trial is not None and not trial.may_go_anywhere(now):
            trusted = trials.fit(trusted, self.board.fleet.falls, now)
        for group_of in self._rack_choices(step, trusted, now, plan):
            seats = self._seats(step, group_of, len(tasks))
            if len(seats) == len(tasks):
                group = PlannedGroup(step=step)
                attempt = step.last_attempt + 1
                for task, worker in zip(tasks, seats, strict=True):
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
            for group in racks(candidates).values()
            if could_hold(step.spec, group)
        ]
        if fitting and self._waits_for_rack(step, now, plan):
            return fitting
        return [*fitting, candidates]

    def _near(
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
        self._retry(plan, until)
        return True

    def _seats(
        self,
        step: StepRun,
        candidates: list[FleetWorker],
        count: int,
    ) -> list[FleetWorker]:
        """Return a worker for each member, the fullest first, or too few."""
        seats: list[FleetWorker] = []
        for worker in sorted(candidates, key=lambda each: self._preference(step, each)):
            fits = min(count - len(seats), self._seats_now(step, worker))
            seats += [worker] * fits
            if len(seats) == count:
                break
        return seats

    def _hold(self, step: StepRun, candidates: list[FleetWorker]) -> bool:
        """Keep room for a gang on the workers that it will fit on soonest.

        One that they could not hold even without all that ends keeps none: what comes
        after it would wait for nothing.

        Returns:
            Whether room is kept.
        """
        needs = counted(step.spec)
        kept: dict[str, int] = {}
        left = len(step.tasks)
        for worker in sorted(candidates, key=lambda each: -each.free.processors):
            seats = min(
                left, self._seats_ever(step, worker), _seats_beside(step, worker)
            )
            if seats > 0:
                kept[worker.name] = seats
                left -= seats
            if left <= 0:
                break
        if left > 0:
            return False
        for name, seats in kept.items():
            held = self._held.get(name, NOTHING)
            for _ in range(seats):
                held = held.plus(needs)
            self._held[name] = held
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
        placement = self.board.place(task, worker, attempt, now=now)
        if trials.of(task) is not None:
            worker.trial = placement
        group.placements.append((worker, placement))


def _scanned(steps: list[StepRun]) -> list[StepRun]:
    """Return the steps that a round looks at, in their order.

    Answers a workspace that sends many times its usual: its backlog, which its quota
    holds back, must not keep the round from everybody else's steps.
    """
    if len(steps) <= MOST_SCANNED:
        return steps
    taken: collections.Counter[str] = collections.Counter()
    found = []
    for step in steps:
        workspace = step.job.workspace
        taken[workspace] += bool(workspace)
        if taken[workspace] <= MOST_OF_ONE:
            found.append(step)
    return found[:MOST_SCANNED]


def _seats_beside(step: StepRun, worker: FleetWorker) -> int:
    """Return how many of a step's tasks a worker holds beside its services."""
    room = worker.entry.capacity
    for each in worker.placements.values():
        if lasts(each):
            room = room.minus(each.needs)
    return times(counted(step.spec), room)
