"""Placement rounds: which pending jobs are tried, in which order.

One round walks the pending jobs once and hands each to the policy of its kind.
Order, quotas, reservations and preemption are decided here, over the one
capacity book; the caller makes the plan durable before it acts on it.

Order: the higher priority first; within one, the least work first (run time by
processors), the sooner the longer it has waited, so that nothing waits for ever.
A gang that has waited long reserves workers: what is placed there meanwhile
must be expected to end before the gang's turn, so that it does not starve and
small work is not held up.
"""

import math
from itertools import islice
from typing import Final

import attrs

from cranberrycleat import registry
from cranberrycleat.amounts import NOTHING, Amounts, dominant_share
from cranberrycleat.book import BookWorker, CapacityBook
from cranberrycleat.history import RunHistory
from cranberrycleat.jobs import Kind, Priority, Yield
from cranberrycleat.placement import Ask, Assignment, Policy, why_never
from cranberrycleat.preemption import Preemption, Victim, make_room
from cranberrycleat.selectors import Selector

SHORTEST_S: Final = 1.0
"""Shorter run times count as this, or the ratio would know only the wait."""
UNKNOWN_RUN_S: Final = 60.0
RECHECK_S: Final = 5.0
"""How often a reservation's workers are chosen anew."""
HOLD_AMONG: Final = 128
"""Workers that a reservation is chosen among, those with the most room."""


@attrs.frozen(kw_only=True)
class Refusal:
    """A job that got less than it asked for in this round.

    Attributes:
        job: The job's name.
        never: Whether no worker of the shard could ever run it.
        reasons: Why, for people.
    """

    job: str
    never: bool
    reasons: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Plan:
    """What one round decided.

    Attributes:
        assignments: Tasks and the workers that have room reserved for them.
        refusals: Jobs that wait, or can never run.
        preemptions: Tasks that are to give way.
    """

    assignments: tuple[Assignment, ...]
    refusals: tuple[Refusal, ...]
    preemptions: tuple[Preemption, ...] = ()


@attrs.frozen(kw_only=True)
class Weights:
    """How the planner weighs waiting against packing (see `config`).

    Attributes:
        reserve_after_s: How long a gang waits before it reserves workers.
        preempts: Whether urgent work makes others give way.
        round_s: How long rounds are gathered; longer rounds cost less control.
    """

    reserve_after_s: float = 10.0
    preempts: bool = True
    round_s: float = 0.1


WEIGHTS: Final = {
    "waiting": Weights(),
    "packing": Weights(reserve_after_s=60.0, preempts=False, round_s=1.0),
}


@attrs.define(kw_only=True)
class TeamUse:
    """What one team has in use, and the share it may have.

    Attributes:
        used: The sum over its tasks.
        quota: The largest dominant share of the whole it may use.
    """

    used: Amounts = NOTHING
    quota: float = 1.0


@attrs.define(kw_only=True)
class Reservation:
    """Workers held for a gang.

    Attributes:
        job: The gang.
        workers: The workers' names.
        chosen_at: When they were chosen.
    """

    job: str
    workers: tuple[str, ...]
    chosen_at: float


@attrs.frozen(kw_only=True)
class Blocked:
    """Needs that found no room in this round, so that larger ones need not look."""

    needs: Amounts
    ends_by: float


@attrs.frozen(kw_only=True)
class PlacedTask:
    """What the planner remembers of a task it placed."""

    victim: Victim
    ends_at: float


@attrs.define(kw_only=True)
class RoundPlanner:
    """Plans rounds over one book.

    Attributes:
        book: The capacity book.
        whole: What all workers have together.
        teams: What each team uses.
        weights: How waiting and packing are weighed.
        history: What was learned of workloads.
        placed: What is remembered of tasks that hold a place.
        policies: The policy for each kind of job.
    """

    book: CapacityBook
    whole: Amounts = NOTHING
    teams: dict[str, TeamUse] = attrs.field(factory=dict)
    weights: Weights = Weights()
    history: RunHistory = attrs.field(factory=RunHistory)
    placed: dict[str, PlacedTask] = attrs.field(factory=dict)
    policies: dict[str, Policy] = attrs.field(factory=dict)
    reservation: Reservation | None = None
    _since: dict[str, float] = attrs.field(factory=dict)
    _could_fit: dict[str, int] = attrs.field(factory=dict)
    _giving_way: dict[str, str] = attrs.field(factory=dict)
    _blocked: dict[Selector, list[Blocked]] = attrs.field(factory=dict)

    def plan(
        self,
        asks: list[Ask],
        racks: dict[str, dict[str, int]] | None = None,
        *,
        now: float = 0.0,
    ) -> Plan:
        """Plan one round.

        Args:
            asks: The pending tasks, one ask a job.
            racks: For each job, how many of its tasks run in each rack.
            now: The caller's clock, in seconds.
        """
        self.book.begin_round(now)
        self._blocked.clear()
        self._note_waiting(asks, now)
        assignments: list[Assignment] = []
        refusals: list[Refusal] = []
        preemptions = list(self._relieve(now))
        for ask in self._sorted(asks, now):
            decision = self.decide(ask, (racks or {}).get(ask.job, {}), now)
            assignments.extend(decision.assignments)
            refusals.extend(decision.refusals)
            preemptions.extend(decision.preemptions)
        return Plan(
            assignments=tuple(assignments),
            refusals=tuple(refusals),
            preemptions=tuple(preemptions),
        )

    def decide(self, ask: Ask, racks: dict[str, int], now: float) -> Plan:
        """Decide about one job: places, or why not, and who gives way."""
        made = self._place(ask, racks, now)
        left = len(ask.tasks) - len(made)
        if not left:
            return Plan(assignments=made, refusals=())
        return Plan(
            assignments=made,
            refusals=(self._refusal(ask),),
            preemptions=self._left_over(ask, left, now),
        )

    def forget(self, task: str) -> None:
        """Forget a task that holds no place any more."""
        self.placed.pop(task, None)
        self._giving_way.pop(task, None)

    # --- order ----------------------------------------------------------------

    def _note_waiting(self, asks: list[Ask], now: float) -> None:
        """Remember since when each job has waited."""
        self._since = {ask.job: self._since.get(ask.job, now) for ask in asks}
        self._could_fit = {
            job: seen for job, seen in self._could_fit.items() if job in self._since
        }
        held = self.reservation
        if held is not None and held.job not in self._since:
            self._unhold()

    def _sorted(self, asks: list[Ask], now: float) -> list[Ask]:
        """Return the asks in the order in which they are tried."""
        shares = {
            name: dominant_share(team.used, self.whole)
            for name, team in self.teams.items()
        }

        def order(ask: Ask) -> tuple[int, float, float]:
            run_s = max(SHORTEST_S, ask.run_s or UNKNOWN_RUN_S)
            waited_s = now - self._since[ask.job]
            ratio = (waited_s + run_s) / (run_s * run_s * ask.needs.processors)
            return (ask.rank, -ratio, shares.get(ask.team, 0.0))

        return sorted(asks, key=order)

    def _team(self, name: str) -> TeamUse:
        return self.teams.setdefault(name, TeamUse())

    # --- one job --------------------------------------------------------------

    def _place(
        self, ask: Ask, racks: dict[str, int], now: float
    ) -> tuple[Assignment, ...]:
        ends_by = self._ends_by(ask, now)
        if self._is_blocked(ask, ends_by):
            return ()
        allowed = self._within_quota(ask)
        if allowed == 0:
            return ()
        ask = attrs.evolve(ask, tasks=ask.tasks[:allowed], ends_by=ends_by)
        made = self._policy(ask.kind).place(ask=ask, book=self.book, racks=racks)
        if len(made) < len(ask.tasks) and ask.kind is Kind.BATCH:
            self._note_blocked(ask)
        self._note_placed(ask, made, now)
        return made

    def _ends_by(self, ask: Ask, now: float) -> float:
        """Say when the tasks would end; a gang may use what is held for it."""
        if self.reservation is not None and self.reservation.job == ask.job:
            return -math.inf
        return now + ask.run_s if ask.run_s else math.inf

    def _is_blocked(self, ask: Ask, ends_by: float) -> bool:
        """Tell whether as little or less found no room already in this round."""
        return any(
            each.needs.fits_in(ask.needs) and each.ends_by <= ends_by
            for each in self._blocked.get(ask.selector, ())
        )

    def _note_blocked(self, ask: Ask) -> None:
        """Remember the smallest needs that found no room in this round."""
        known = self._blocked.setdefault(ask.selector, [])
        mine = Blocked(needs=ask.needs, ends_by=ask.ends_by)
        known[:] = [
            each
            for each in known
            if not (mine.needs.fits_in(each.needs) and mine.ends_by <= each.ends_by)
        ]
        known.append(mine)

    def _policy(self, kind: Kind) -> Policy:
        policy = self.policies.get(kind.value)
        if policy is None:
            policy = registry.find(registry.PluginKind.PLACEMENT, kind.value)()
            self.policies[kind.value] = policy
        return policy

    def _note_placed(self, ask: Ask, made: tuple[Assignment, ...], now: float) -> None:
        if not made:
            return
        team = self._team(ask.team)
        victim = Victim(rank=ask.rank, how=ask.gives_way, started=now)
        ends_at = now + ask.run_s if ask.run_s else math.inf
        for assignment in made:
            team.used = team.used.plus(ask.needs)
            placed = PlacedTask(victim=victim, ends_at=ends_at)
            self.placed[assignment.task] = placed
        if self.reservation is not None and self.reservation.job == ask.job:
            self._unhold()

    def _within_quota(self, ask: Ask) -> int:
        """Return how many of the tasks the team's quota has room for."""
        team = self._team(ask.team)
        if team.quota >= 1.0:
            return len(ask.tasks)
        used, count = team.used, 0
        while count < len(ask.tasks):
            used = used.plus(ask.needs)
            if dominant_share(used, self.whole) > team.quota:
                break
            count += 1
        if ask.kind is Kind.GANG and count < len(ask.tasks):
            return 0
        return count

    def _refusal(self, ask: Ask) -> Refusal:
        if self._could_fit.get(ask.job) != self.book.changes:
            never = why_never(ask, self.book)
            if never:
                return Refusal(job=ask.job, never=True, reasons=never)
            self._could_fit[ask.job] = self.book.changes
        if self._within_quota(ask) == 0:
            reason = f"the quota of team {ask.team} is used up"
            return Refusal(job=ask.job, never=False, reasons=(reason,))
        return Refusal(job=ask.job, never=False, reasons=("no room now",))

    # --- what found no room -----------------------------------------------------

    def _left_over(self, ask: Ask, left: int, now: float) -> tuple[Preemption, ...]:
        """Make room for urgent work, or hold workers for a gang."""
        if self._within_quota(ask) == 0:
            return ()
        if ask.rank == Priority.URGENT and self.weights.preempts:
            return self._preempt(ask, left, now)
        if ask.kind is Kind.GANG:
            self._maybe_hold(ask, now)
        return ()

    def _preempt(self, ask: Ask, left: int, now: float) -> tuple[Preemption, ...]:
        """Have others give way; what gives way already counts as room to come."""
        coming = sum(1 for job in self._giving_way.values() if job == ask.job)
        made: list[Preemption] = []
        pool = self.book.pool(ask.selector)
        while coming < left:
            found = make_room(pool.roomiest(), ask.needs, ask.rank, self._victim, now)
            if not found:
                break
            coming += 1
            made.extend(found)
            for each in found:
                self._giving_way[each.task] = ask.job
        return tuple(made)

    def _victim(self, task: str) -> Victim | None:
        if task in self._giving_way:
            return None
        placed = self.placed.get(task)
        return None if placed is None else placed.victim

    def _relieve(self, now: float) -> tuple[Preemption, ...]:
        """Where reports showed a worker over its capacity, let tasks give way."""
        made: list[Preemption] = []
        for worker in self.book.take_overfull():
            if any(task in self._giving_way for task in worker.tasks):
                continue
            found = make_room([worker], NOTHING, -1, self._victim, now)
            for each in found:
                stop = each.how is Yield.THROTTLE
                made.append(attrs.evolve(each, how=Yield.STOP) if stop else each)
                self._giving_way[each.task] = ""
        return tuple(made)

    def _maybe_hold(self, ask: Ask, now: float) -> None:
        """Hold workers for a gang that has waited long, one gang at a time."""
        held = self.reservation
        if held is not None and held.job != ask.job:
            return
        if held is not None and now - held.chosen_at < RECHECK_S:
            return
        if now - self._since[ask.job] < self.weights.reserve_after_s:
            return
        self._unhold()
        self._hold(ask, now)

    def _hold(self, ask: Ask, now: float) -> None:
        """Hold the workers that will be able to take the members soonest."""
        places = sorted(
            (at, worker.name)
            for worker in islice(self.book.pool(ask.selector).roomiest(), HOLD_AMONG)
            for at in self._free_times(worker, ask, now)
        )
        chosen = places[: len(ask.tasks)]
        if len(chosen) < len(ask.tasks) or chosen[-1][0] == math.inf:
            return
        names = tuple(sorted({name for _, name in chosen}))
        for name in names:
            self.book.workers[name].held_until = chosen[-1][0]
        self.reservation = Reservation(job=ask.job, workers=names, chosen_at=now)

    def _free_times(self, worker: BookWorker, ask: Ask, now: float) -> list[float]:
        """Return when the worker could take its first, second ... member."""
        if not ask.needs.fits_in(worker.capacity):
            return []
        ends = sorted((self._ends_at(task), task) for task in worker.tasks)
        free, at = worker.free, now
        times: list[float] = []
        while len(times) < len(ask.tasks):
            if ask.needs.fits_in(free):
                free = free.minus(ask.needs)
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

    def _unhold(self) -> None:
        if self.reservation is not None:
            for name in self.reservation.workers:
                if name in self.book.workers:
                    self.book.workers[name].held_until = 0.0
        self.reservation = None
