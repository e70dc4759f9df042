"""Judges which running attempts may give way to a more urgent step, and at what cost.

Only steps that take checkpoints give way, and services and fillers never do: a service
has no value while its members are away, and a filler reserves no processors. A gang
gives way as a whole, since its members cannot run without each other.
"""

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from cranberrycleat.amounts import MILLI, NOTHING, Amounts
from cranberrycleat.workflow.decisions.evacuation import remaining_runtime_s
from cranberrycleat.workflow.decisions.fair_share import FairShare, ShareTier
from cranberrycleat.workflow.decisions.ordering import (
    Rank,
    StepOrder,
    remaining_critical_path_s,
)
from cranberrycleat.workflow.fleet import FleetWorker, Placement
from cranberrycleat.workflow.ports import CheckpointTiming
from cranberrycleat.workflow.state import Job, StepRun

START_DELAY_S: Final = 0.1
"""Time from the end of a stopped attempt to the start in its place: the reply with the
end, a round, a transaction of about 10 ms and a start order of about 30 ms."""

RunningAttempt = tuple[FleetWorker, Placement]
"""An attempt and its worker."""


def start_delay_s(step: StepRun) -> float:
    """Return the time from free resources to a start, permit renewal included."""
    permits = step.job.queue.permits
    if permits is None:
        return START_DELAY_S
    calls = step.spec.count if step.spec.gang else 1
    return START_DELAY_S + permits.decide_s + permits.each_s * calls


@attrs.frozen(kw_only=True)
class Claim:
    """A waiting step that would be late.

    Attributes:
        step: The step.
        rank: Its rank.
        surplus: Whether its job is beyond its workspace's share.
        slots: The number of its tasks that need resources.
    """

    step: StepRun
    rank: Rank
    surplus: bool
    slots: int


@attrs.frozen(kw_only=True, eq=False)
class VictimGroup:
    """Attempts that can only be stopped together: a single one, or a whole gang.

    Attributes:
        attempts: The attempts and their workers.
        rank: The rank of their step.
        surplus: Whether their job is beyond its workspace's share.
        cost_core_s: The processor time lost, in core-seconds.
        slack_s: How long they may wait for resources after a stop and still meet their
            objective.
        is_late: Whether the objective is missed already.
        may_resume: Whether their workspace's quota lets them start again.
    """

    attempts: tuple[RunningAttempt, ...]
    rank: Rank
    surplus: bool
    cost_core_s: float
    slack_s: float
    is_late: bool
    may_resume: bool

    def may_give_way(self, claim: Claim) -> bool:
        """Return whether the attempts may be stopped for a claim.

        They must rank behind it, since they would take the resources back otherwise.
        They can resume when its tasks have ended.
        """
        if self.rank.key() <= claim.rank.key() or self.surplus < claim.surplus:
            return False
        if self.rank.priority <= claim.rank.priority and self.surplus == claim.surplus:
            return False
        if not self.may_resume:
            return False
        return self.is_late or self.slack_s >= claim.step.spec.estimate_s

    def freed_on(self, worker: FleetWorker) -> Amounts:
        """Return the resources that a stop frees on a worker."""
        freed = NOTHING
        for found, placement in self.attempts:
            if found is worker:
                freed = freed.plus(placement.needs)
        return freed


def preemption_cost_core_s(
    placement: Placement, checkpoints: CheckpointTiming, now: float
) -> float:
    """Return the processor time that a stop loses, in core-seconds."""
    cores = placement.needs.processors / MILLI
    return cores * (checkpoints.restore_s + _unsaved_s(placement, checkpoints, now))


def _unsaved_s(
    placement: Placement, checkpoints: CheckpointTiming, now: float
) -> float:
    """Return the work that may be lost by a stop, in seconds.

    A stop saves as well, but a worker may be lost before that checkpoint is received.
    """
    return min(placement.ran_s(now), checkpoints.interval_s)


def _remaining_s(placement: Placement, now: float) -> float:
    """Return the remaining run time; progress includes what it resumed from."""
    assert placement.tracked_task is not None
    estimate_s = placement.tracked_task.step.spec.estimate_s
    by_estimate_s = estimate_s * (100 - placement.percent) / 100
    return max(by_estimate_s, remaining_runtime_s(placement, now))


def ends_within(placement: Placement, limit_s: float, now: float) -> bool:
    """Return whether an attempt is stopping or expected to end within a time.

    One that has exceeded its estimate without progress is not expected to end.
    """
    if placement.stopping:
        return True
    task = placement.tracked_task
    if task is None or not placement.running or task.step.spec.service:
        return False
    remaining_s = remaining_runtime_s(placement, now)
    return remaining_s <= limit_s and (remaining_s > 0 or placement.percent > 0)


@attrs.frozen(kw_only=True)
class _Standing:
    """What holds for all attempts of a step; see `VictimGroup`."""

    rank: Rank
    surplus: bool
    is_late: bool
    may_resume: bool


@attrs.define(kw_only=True, eq=False)
class VictimFinder:
    """Finds the victims on a worker, once for all claims of a round.

    Attributes:
        order: Ranks their steps.
        fair_share: Classifies their jobs; None if there are no tiers.
        attempts_of: Returns all attempts of a job that count on a worker.
        is_allowed: Returns whether a task may be preempted now.
        may_resume: Returns whether the quota of a job lets it start again.
        stop_s: The longest time a stop takes.
        checkpoints: How workers take checkpoints.
        now: The owner's clock.
        now_s: Unix time in seconds.
    """

    order: StepOrder
    fair_share: FairShare | None
    attempts_of: Callable[[str], Iterable[RunningAttempt]]
    is_allowed: Callable[[str], bool]
    may_resume: Callable[[Job], bool]
    stop_s: float
    checkpoints: CheckpointTiming
    now: float
    now_s: float
    _on_worker: dict[str, list[VictimGroup]] = attrs.field(factory=dict)
    _gangs: dict[str, VictimGroup | None] = attrs.field(factory=dict)
    _standings: dict[str, _Standing] = attrs.field(factory=dict)

    def is_surplus(self, job: Job) -> bool:
        """Return whether a job is beyond its workspace's share."""
        if self.fair_share is None:
            return False
        return self.fair_share.tier(job) is ShareTier.SURPLUS

    def groups_on(self, worker: FleetWorker) -> list[VictimGroup]:
        """Return the groups on a worker that may be stopped at all, cheapest first."""
        if worker.name not in self._on_worker:
            found = [self._group(worker, each) for each in worker.placements.values()]
            groups = {id(each): each for each in found if each is not None}
            self._on_worker[worker.name] = sorted(
                groups.values(), key=lambda each: each.cost_core_s
            )
        return self._on_worker[worker.name]

    def _group(self, worker: FleetWorker, placement: Placement) -> VictimGroup | None:
        task = placement.tracked_task
        if task is None or not self._is_preemptible(placement):
            return None
        step = task.step
        if not step.spec.gang:
            return self._judge(step, ((worker, placement),))
        if step.name not in self._gangs:
            self._gangs[step.name] = self._gang(step)
        return self._gangs[step.name]

    def _gang(self, step: StepRun) -> VictimGroup | None:
        """Return a gang if every member runs and may be stopped."""
        members = tuple(
            (worker, each)
            for worker, each in self.attempts_of(step.job.job_id)
            if each.tracked_task is not None and each.tracked_task.step is step
        )
        if len(members) != len(step.tasks):
            return None
        if not all(self._is_preemptible(each) for _, each in members):
            return None
        return self._judge(step, members)

    def _is_preemptible(self, placement: Placement) -> bool:
        task = placement.tracked_task
        if task is None or placement.stopping or not placement.running:
            return False
        spec = task.step.spec
        if not spec.checkpoints or spec.service or spec.filler:
            return False
        return placement.is_current and self.is_allowed(task.name)

    def _judge(
        self, step: StepRun, attempts: tuple[RunningAttempt, ...]
    ) -> VictimGroup:
        standing = self._standing(step)
        remaining_s = max(_remaining_s(each, self.now) for _, each in attempts)
        unsaved_s = max(
            _unsaved_s(each, self.checkpoints, self.now) for _, each in attempts
        )
        resume_s = self.stop_s + start_delay_s(step) + self.checkpoints.restore_s
        resume_s += unsaved_s
        slack_s = standing.rank.slack_s + step.spec.estimate_s
        return VictimGroup(
            attempts=attempts,
            rank=standing.rank,
            surplus=standing.surplus,
            cost_core_s=sum(
                preemption_cost_core_s(each, self.checkpoints, self.now)
                for _, each in attempts
            ),
            slack_s=slack_s - remaining_s - resume_s,
            is_late=standing.is_late,
            may_resume=standing.may_resume,
        )

    def _standing(self, step: StepRun) -> _Standing:
        if step.name not in self._standings:
            rank = self.order.rank(step, self.now_s)
            due_in_s = rank.slack_s + remaining_critical_path_s(step)
            self._standings[step.name] = _Standing(
                rank=rank,
                surplus=self.is_surplus(step.job),
                is_late=due_in_s < 0,
                may_resume=self.may_resume(step.job),
            )
        return self._standings[step.name]
