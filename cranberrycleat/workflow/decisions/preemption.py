"""Preempts running work when an urgent step cannot be placed.

A step that would miss its objective by waiting preempts, if enabled, only work that
checkpoints, is less urgent or beyond its workspace's share, and can resume in time (see
`preemption_victims`). It does so just before its last chance: running work often ends
first, and then nothing is stopped. What it may cost is limited by `preemption_budget`
and by the value of the step. A gang that waits for a common rack does not preempt.
Members of services preempt by other rules (see `service_preemption`).
"""

import collections
import math
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from cranberrycleat.amounts import MILLI, NOTHING, Amounts
from cranberrycleat.workflow.decisions.ordering import LATE_VALUE, priority_value
from cranberrycleat.workflow.decisions.preemption_budget import (
    POOL_FRACTION,
    Budget,
    VictimHistory,
)
from cranberrycleat.workflow.decisions.preemption_victims import (
    START_DELAY_S,
    Claim,
    VictimFinder,
    VictimGroup,
    ends_within,
    start_delay_s,
)
from cranberrycleat.workflow.fleet import FleetWorker, reserved_resources
from cranberrycleat.workflow.state import StepRun

DEFAULT_STOP_S: Final = 0.2
"""Assumed longest time of a stop before the owner sets the platform's bound."""
MARGIN_S: Final = 0.25
"""How long before its last chance a step may preempt: two evaluations of victims and
the round between them. Waiting as long as possible lets running work end by itself."""
EVALUATION_INTERVAL_S: Final = 0.1
"""Minimum time between two evaluations of a pool's victims, which look at every
running attempt; rounds may follow each other within 10 ms."""
MAX_CLAIMS_PER_ROUND: Final = 4
"""Steps for which victims are selected in one round. They take 15 ms each in a
pool of 176 full workers, and a round must end well within the owner's lease."""
MAX_ROOMS_PER_ROUND: Final = 4 * 176
"""Workers looked at in one round, all claims together, before it takes no more claims.
In a pool of 2,500 workers with 22,500 attempts, four claims took 1.0 to 1.3 s."""
MAX_OFFERS: Final = 16
"""Workers that are examined closely for a step, besides one for each of its tasks.
Examining every worker of a full pool for each step of a burst took a second."""
HOLD_S: Final = 1.0
"""How long freed resources are reserved for a step: a stop takes 0.2 s and a start
0.1 s, and a permit may have to be renewed. A stop without an answer must not keep them
idle for longer."""


@attrs.frozen(kw_only=True)
class Room:
    """What a step may use on a worker.

    Attributes:
        worker: The worker.
        reserved: The resources that are reserved there for other steps.
        max_tasks: How many tasks of the step the worker may take, however empty.
    """

    worker: FleetWorker
    reserved: Amounts
    max_tasks: int


@attrs.define(kw_only=True, eq=False)
class Selection:
    """The resources that a claim will have, and what is stopped for them.

    Attributes:
        slots: The workers on which its tasks will fit, one for each task.
        victims: The groups to stop.
    """

    slots: "collections.Counter[str]" = attrs.field(factory=collections.Counter)
    victims: list[VictimGroup] = attrs.field(factory=list)

    @property
    def cost_core_s(self) -> float:
        """The processor time that the stops lose, in core-seconds."""
        return sum(each.cost_core_s for each in self.victims)


@attrs.frozen(kw_only=True)
class _Offer:
    """The cheapest groups to stop on a worker so that one more task fits."""

    room: Room
    groups: tuple[VictimGroup, ...]

    @property
    def cost_core_s(self) -> float:
        return sum(each.cost_core_s for each in self.groups)


@attrs.define(kw_only=True, eq=False)
class _Selector:
    """Selects the victims of one claim.

    Attributes:
        claim: The step that preempts.
        rooms: The workers that it may use.
        finder: Finds the victims on a worker.
        budget: Limits the cost.
        now: The owner's clock.
        selection: What is selected so far.
    """

    claim: Claim
    rooms: list[Room]
    finder: VictimFinder
    budget: Budget
    now: float
    selection: Selection = attrs.field(factory=Selection)
    _freed: dict[str, Amounts] = attrs.field(factory=dict)

    def select(self) -> Selection:
        """Return the selection; a gang gets all of its slots or none."""
        limit_s = self.finder.stop_s + START_DELAY_S
        for room in self.rooms:
            self._freed[room.worker.name] = _ending(room.worker, limit_s, self.now)
            while self._missing() and self._fits(room, ()):
                self.selection.slots[room.worker.name] += 1
        self._stop_victims()
        if self.claim.step.spec.gang and self._missing():
            return Selection()
        return self.selection

    def _missing(self) -> int:
        return self.claim.slots - self.selection.slots.total()

    def _stop_victims(self) -> None:
        """Add the cheapest offer until every task has a slot."""
        if not self._missing():
            return
        rooms = self._most_promising()
        offers = {each.worker.name: self._offer(each) for each in rooms}
        while self._missing():
            best = min(
                (each for each in offers.values() if each is not None),
                key=lambda each: each.cost_core_s,
                default=None,
            )
            if best is None or not self._accepts(best):
                return
            self._take(best)
            changed = {best.room.worker.name}
            changed |= {w.name for each in best.groups for w, _ in each.attempts}
            for room in rooms:
                if room.worker.name in changed:
                    offers[room.worker.name] = self._offer(room)

    def _take(self, offer: _Offer) -> None:
        self.selection.slots[offer.room.worker.name] += 1
        for group in offer.groups:
            self.selection.victims.append(group)
            for worker, placement in group.attempts:
                freed = self._freed.get(worker.name, NOTHING)
                self._freed[worker.name] = freed.plus(placement.needs)

    def _accepts(self, offer: _Offer) -> bool:
        """Return whether an offer is worth its cost and within the budget."""
        if not offer.groups:
            return True
        total = self.selection.cost_core_s + offer.cost_core_s
        tasks = self.claim.slots if self.claim.step.spec.gang else 1
        cost = total if self.claim.step.spec.gang else offer.cost_core_s
        groups = [*self.selection.victims, *offer.groups]
        if cost > _acceptable_cost(self.claim, groups, tasks):
            return False
        return self.budget.affords(total, is_first=not self.selection.victims)

    def _most_promising(self) -> list[Room]:
        """Return the workers whose victims cost least, judged by processors only."""
        costs = {each.worker.name: self._estimate_core_s(each) for each in self.rooms}
        found = [each for each in self.rooms if costs[each.worker.name] < math.inf]
        found.sort(key=lambda each: costs[each.worker.name])
        return found[: MAX_OFFERS + self._missing()]

    def _estimate_core_s(self, room: Room) -> float:
        """Return the cost of the cheapest groups that free enough processors."""
        if self.selection.slots[room.worker.name] >= room.max_tasks:
            return math.inf
        missing = self._needs_on(room).processors - self._available(room, ()).processors
        cost_core_s = 0.0
        for group in self._groups(room):
            if missing <= 0:
                break
            missing -= group.freed_on(room.worker).processors
            cost_core_s += group.cost_core_s
        return cost_core_s if missing <= 0 else math.inf

    def _offer(self, room: Room) -> _Offer | None:
        """Return the cheapest groups that free enough of every resource, or None."""
        chosen: list[VictimGroup] = []
        for group in self._groups(room):
            if self._fits(room, chosen):
                break
            chosen.append(group)
        if not self._fits(room, chosen):
            return None
        for group in reversed(list(chosen)):
            others = [each for each in chosen if each is not group]
            if self._fits(room, others):
                chosen = others
        return _Offer(room=room, groups=tuple(chosen))

    def _groups(self, room: Room) -> list[VictimGroup]:
        """Return the groups on a worker that may be stopped, cheapest first."""
        groups = self.finder.groups_on(room.worker)
        return [each for each in groups if self._is_available(each)]

    def _is_available(self, group: VictimGroup) -> bool:
        """Return whether a group may be stopped and is not being stopped already."""
        stopping = any(placement.stopping for _, placement in group.attempts)
        chosen = group in self.selection.victims
        return not stopping and not chosen and group.may_give_way(self.claim)

    def _fits(self, room: Room, stopped: Sequence[VictimGroup]) -> bool:
        """Return whether one more task fits if some groups are stopped."""
        if self.selection.slots[room.worker.name] >= room.max_tasks:
            return False
        return self._needs_on(room).fits_in(self._available(room, stopped))

    def _needs_on(self, room: Room) -> Amounts:
        """Return the needs of the tasks selected for a worker and of one more."""
        slots = self.selection.slots[room.worker.name] + 1
        return reserved_resources(self.claim.step.spec).times(slots)

    def _available(self, room: Room, stopped: Sequence[VictimGroup]) -> Amounts:
        """Return what the step may use on a worker if some groups are stopped."""
        freed = self._freed[room.worker.name]
        for group in stopped:
            freed = freed.plus(group.freed_on(room.worker))
        return room.worker.free_without(freed).minus(room.reserved)


def _ending(worker: FleetWorker, limit_s: float, now: float) -> Amounts:
    """Return the resources of attempts that end within a time without being stopped."""
    freed = NOTHING
    for each in worker.placements.values():
        if ends_within(each, limit_s, now):
            freed = freed.plus(each.needs)
    return freed


def _acceptable_cost(claim: Claim, groups: list[VictimGroup], tasks: int) -> float:
    """Return the processor time of victims that has the value of a claim's tasks.

    Surplus counts one priority lower, since it carries no entitlement.
    """
    spec = claim.step.spec
    work = tasks * spec.estimate_s * spec.needs.processors / MILLI
    levels = min(
        (
            max(0, each.rank.priority - claim.rank.priority)
            + (each.surplus and not claim.surplus)
            for each in groups
        ),
        default=0,
    )
    return (1 - LATE_VALUE) * work * priority_value(levels)


@attrs.define(kw_only=True, eq=False)
class _Hold:
    """Resources that are reserved for a step until it is placed.

    Attributes:
        slots: The number of tasks by worker.
        until: When the reservation ends, on the owner's clock.
    """

    slots: "collections.Counter[str]"
    until: float


@attrs.define(kw_only=True, eq=False)
class Preemption:
    """Selects running attempts that give way to a waiting step.

    Attributes:
        for_urgent_work: Whether steps that would be late may preempt.
        stop_s: The longest time a stop takes.
    """

    for_urgent_work: bool = False
    stop_s: float = DEFAULT_STOP_S
    _history: VictimHistory = attrs.field(factory=VictimHistory)
    _budgets: dict[str, Budget] = attrs.field(factory=dict)
    _holds: dict[str, _Hold] = attrs.field(factory=dict)
    _finder: VictimFinder | None = None
    _evaluated_at: float = float("-inf")
    _claims: int = 0
    _rooms: int = 0

    def begin_round(self, now: float) -> None:
        """Begin a planning round: forget what has expired."""
        self._history.begin_round(now)
        self._finder = None
        self._claims = 0
        self._rooms = 0
        # It is in the future only if the clock has been set back.
        self._evaluated_at = min(self._evaluated_at, now)
        expired = [name for name, each in self._holds.items() if now >= each.until]
        for name in expired:
            del self._holds[name]

    def is_due(self, step: StepRun, slack_s: float) -> bool:
        """Return whether a step must preempt now to meet its objective.

        A step that would start too late even so does not preempt.
        """
        return self._lead_s(step) <= slack_s <= self._lead_s(step) + MARGIN_S

    def due_in_s(self, step: StepRun, slack_s: float) -> float:
        """Return in how many seconds a step is due to preempt; negative if it was."""
        return slack_s - self._lead_s(step) - MARGIN_S

    def _lead_s(self, step: StepRun) -> float:
        return self.stop_s + start_delay_s(step)

    def evaluates_at(self, now: float) -> float:
        """Return when victims may be evaluated; `now` if they may be at once."""
        takes_more = (
            self._claims < MAX_CLAIMS_PER_ROUND and self._rooms < MAX_ROOMS_PER_ROUND
        )
        if self._finder is not None and takes_more:
            return now
        return max(now, self._evaluated_at + EVALUATION_INTERVAL_S)

    def finder(self, make: Callable[[], VictimFinder], now: float) -> VictimFinder:
        """Return the round's finder of victims, made at its first use."""
        if self._finder is None:
            self._finder = make()
            self._evaluated_at = now
        return self._finder

    def may_be_victim(self, task: str, now: float) -> bool:
        """Return whether a task may be preempted as far as its history goes."""
        return self._history.allows(task, now)

    def choose(
        self,
        claim: Claim,
        rooms: list[Room],
        finder: VictimFinder,
        pool_cores: float,
        now: float,
    ) -> Selection:
        """Return what a claim needs, and record it: budget, history and reservation.

        Args:
            claim: The step that would be late.
            rooms: The workers that it may use.
            finder: Finds the victims on a worker.
            pool_cores: The processors of its pool.
            now: The owner's clock.
        """
        self._claims += 1
        self._rooms += len(rooms)
        budget = self._budget(claim.step.job.queue.pool, pool_cores, now)
        selection = _Selector(
            claim=claim, rooms=rooms, finder=finder, budget=budget, now=now
        ).select()
        if not selection.victims:
            return selection
        budget.spend(selection.cost_core_s)
        for group in selection.victims:
            for _, placement in group.attempts:
                self._history.record(placement.task, now)
        hold = self._holds.setdefault(
            claim.step.name, _Hold(slots=collections.Counter(), until=now)
        )
        hold.slots += selection.slots
        hold.until = now + HOLD_S
        return selection

    def _budget(self, pool: str, pool_cores: float, now: float) -> Budget:
        rate = POOL_FRACTION * pool_cores
        since = now if self._history.since is None else self._history.since
        budget = self._budgets.setdefault(pool, Budget(rate=rate, refilled_at=since))
        budget.refill(rate, now)
        return budget

    def held_for(self, step: StepRun) -> "collections.Counter[str]":
        """Return the tasks of a step for which resources are reserved, by worker."""
        hold = self._holds.get(step.name)
        return collections.Counter() if hold is None else hold.slots

    def note_placed(self, step: StepRun, worker: FleetWorker) -> None:
        """End the reservation of a task of a step that is placed."""
        hold = self._holds.get(step.name)
        if hold is None:
            return
        if not step.pending():
            del self._holds[step.name]
            return
        # A task may be placed elsewhere; one slot less is needed all the same.
        name = worker.name if hold.slots[worker.name] else next(iter(hold.slots))
        hold.slots[name] -= 1
        hold.slots += collections.Counter()
        if not hold.slots:
            del self._holds[step.name]
