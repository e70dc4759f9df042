"""Placement rounds: which pending jobs are tried, in which order.

One round walks the pending jobs once, most urgent first, and hands each to the
policy of its kind. Quotas, reservations and preemption are decided here, over
the one capacity book; the caller makes the plan durable before it acts on it.
"""

import attrs

from cranberrycleat import registry
from cranberrycleat.amounts import NOTHING, Amounts, dominant_share
from cranberrycleat.book import CapacityBook
from cranberrycleat.placement import Ask, Assignment, Policy, why_never


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
    """

    assignments: tuple[Assignment, ...]
    refusals: tuple[Refusal, ...]


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
class RoundPlanner:
    """Plans rounds over one book.

    Attributes:
        book: The capacity book.
        whole: What all workers have together.
        teams: What each team uses.
        policies: The policy for each kind of job.
    """

    book: CapacityBook
    whole: Amounts = NOTHING
    teams: dict[str, TeamUse] = attrs.field(factory=dict)
    policies: dict[str, Policy] = attrs.field(factory=dict)

    def plan(
        self, asks: list[Ask], racks: dict[str, dict[str, int]] | None = None
    ) -> Plan:
        """Plan one round.

        Args:
            asks: The pending tasks, one ask a job.
            racks: For each job, how many of its tasks run in each rack.
        """
        assignments: list[Assignment] = []
        refusals: list[Refusal] = []
        for ask in sorted(asks, key=self._order):
            made = self._place(ask, (racks or {}).get(ask.job, {}))
            assignments.extend(made)
            if len(made) < len(ask.tasks):
                refusals.append(self._refusal(ask))
        return Plan(assignments=tuple(assignments), refusals=tuple(refusals))

    def _order(self, ask: Ask) -> tuple[int, float]:
        return (ask.rank, dominant_share(self._team(ask.team).used, self.whole))

    def _team(self, name: str) -> TeamUse:
        return self.teams.setdefault(name, TeamUse())

    def _policy(self, kind: str) -> Policy:
        policy = self.policies.get(kind)
        if policy is None:
            policy = registry.find(registry.PluginKind.PLACEMENT, kind)()
            self.policies[kind] = policy
        return policy

    def _place(self, ask: Ask, racks: dict[str, int]) -> tuple[Assignment, ...]:
        allowed = self._within_quota(ask)
        if allowed == 0:
            return ()
        if allowed < len(ask.tasks):
            ask = attrs.evolve(ask, tasks=ask.tasks[:allowed])
        policy = self._policy(ask.kind.value)
        made = policy.place(ask=ask, book=self.book, racks=racks)
        team = self._team(ask.team)
        for _ in made:
            team.used = team.used.plus(ask.needs)
        return made

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
        if ask.kind.value == "gang" and count < len(ask.tasks):
            return 0
        return count

    def _refusal(self, ask: Ask) -> Refusal:
        never = why_never(ask, self.book)
        if never:
            return Refusal(job=ask.job, never=True, reasons=never)
        return Refusal(job=ask.job, never=False, reasons=("no room now",))
