"""Checks that surplus work does not displace due work, for `soak` with `--weights`.

Two promises, for steps that are no gang and have not begun. In a planning round, no
surplus task takes resources that a due task could have used. And by the workers' own
record, surplus that needs at least as much does not start any more once a due job has
waited for `MAX_OVERTAKEN_S`, through every change of owner. Not judged are jobs that a
later owner classified as surplus: it does not know jobs that were never stored, so that
single jobs change their tier.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

import attrs

from cranberrycleat import events
from cranberrycleat.amounts import Amounts
from cranberrycleat.standins.fleet import StartRecord
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.fair_share import ShareTier
from cranberrycleat.workflow.decisions.load_control import make_load_control
from cranberrycleat.workflow.decisions.load_policies import LoadPolicies
from cranberrycleat.workflow.decisions.planner import Plan, Planner
from cranberrycleat.workflow.fleet import job_of, reserved_resources
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import StepRun

WEIGHTS: Final = {"one": 2.0, "two": 20.0, "three": 20.0}
"""The first workspace is hot. The others send about four jobs a second each."""
HOT_WORKSPACE: Final = "one"
MAX_OVERTAKEN_S: Final = 4.0
"""An owner that is replaced may not know the job for the length of its lease (0.5 s),
and a start may be carried out late (2 s). Without fair share, 8 s are common."""


@attrs.define(kw_only=True, eq=False)
class CheckedPlanner(Planner):
    """A planner that reports due work which surplus displaced.

    Attributes:
        checker: Told of faults, and of jobs that are surplus.
    """

    checker: "ShareChecker"

    def plan(self, *, now: float, now_s: float) -> Plan:
        """Run one round, and check it."""
        plan = super().plan(now=now, now_s=now_s)
        surplus = [
            group.step
            for group in plan.groups
            if _is_surplus(self.cluster_state, group.step) and not group.step.spec.gang
        ]
        most = max(map(_processors, surplus), default=0)
        for step in self.cluster_state.waiting.values():
            if _is_surplus(self.cluster_state, step):
                self.checker.ever_surplus.add(step.job.job_id)
            elif _is_new_single(step) and _processors(step) <= most:
                self.checker.faults.append(f"{step.name} is due and surplus went first")
        return plan


def _is_surplus(cluster_state: ClusterState, step: StepRun) -> bool:
    share = cluster_state.load.fair_share
    return share is not None and share.tier(step.job) is ShareTier.SURPLUS


def _processors(step: StepRun) -> int:
    return reserved_resources(step.spec).processors


def _is_new_single(step: StepRun) -> bool:
    """Return whether no task of a step was tried yet, and each may start alone."""
    return not step.last_attempt and not step.spec.gang and bool(step.pending())


@attrs.define(kw_only=True, eq=False)
class ShareChecker:
    """The weights of a run, and what is known of its jobs.

    Attributes:
        policies: The policies of all owners.
        tiers: The tier of each job when it was accepted.
        accepted_at: When it was accepted first, on the clock of the run.
        ever_surplus: Jobs that were surplus to any owner.
        faults: Descriptions of broken promises, found while planning.
    """

    policies: LoadPolicies
    tiers: dict[str, str] = attrs.field(factory=dict)
    accepted_at: dict[str, float] = attrs.field(factory=dict)
    ever_surplus: set[str] = attrs.field(factory=set)
    faults: list[str] = attrs.field(factory=list)

    def configure(self, owner: Owner) -> None:
        """Give an owner the weights, and a planner that is checked."""
        cluster_state = owner.cluster_state
        cluster_state.load = make_load_control(self.policies, lambda: WEIGHTS)
        owner.dispatcher.planner = CheckedPlanner(
            cluster_state=cluster_state, checker=self
        )

    def record(self, event: Any, now: float) -> None:
        """Record the tier of an accepted job."""
        if isinstance(event, events.JobAccepted):
            self.tiers[event.job] = event.tier
            self.accepted_at.setdefault(event.job, now)

    def overtaken_s(
        self, starts: Iterable[StartRecord], spec_of: Callable[[str], StepSpec | None]
    ) -> Mapping[str, float]:
        """Return for how long each due job waited while surplus was started.

        Args:
            starts: The workers' record of starts.
            spec_of: Returns the step of a task.
        """
        first: dict[str, StartRecord] = {}
        surplus: list[tuple[float, Amounts]] = []
        for start in sorted(starts, key=lambda each: each.at):
            spec = spec_of(start.task)
            if spec is None or spec.gang:
                continue
            first.setdefault(job_of(start.task), start)
            if self.tiers.get(job_of(start.task)) == "surplus" and start.attempt == 1:
                surplus.append((start.at, spec.needs))
        found: dict[str, float] = {}
        for job_id, start in first.items():
            due = spec_of(start.task)
            if self.tiers.get(job_id) != "due" or job_id in self.ever_surplus:
                continue
            if due is None or due.after:
                continue
            since = self.accepted_at[job_id]
            behind = [
                at - since
                for at, needs in surplus
                if since < at < start.at and due.needs.fits_in(needs)
            ]
            found[job_id] = max(behind, default=0.0)
        return found
