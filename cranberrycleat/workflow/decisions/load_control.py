"""The enabled policies for hard load, built once for each owner.

`ClusterState` holds one `LoadControl` and notifies it of accepted jobs and ended
attempts; `planner`, `dispatcher` and `owner` consult its parts.
"""

from collections.abc import Callable, Mapping

import attrs

from cranberrycleat.workflow.decisions.fair_share import FairShare, ShareTier
from cranberrycleat.workflow.decisions.first_rank import urgency_if_accepted
from cranberrycleat.workflow.decisions.forecast_outcomes import ForecastOutcomes
from cranberrycleat.workflow.decisions.job_admission import JobAdmission
from cranberrycleat.workflow.decisions.load_forecast import JobDemand, LoadForecast
from cranberrycleat.workflow.decisions.load_policies import LoadPolicies
from cranberrycleat.workflow.decisions.ordering import (
    DeadlineOrder,
    DelayCostOrder,
    StepOrder,
)
from cranberrycleat.workflow.decisions.preemption import Preemption
from cranberrycleat.workflow.decisions.runtime_estimates import RuntimeEstimates
from cranberrycleat.workflow.decisions.speed_model import DEFAULT_SPEED, SpeedModel
from cranberrycleat.workflow.decisions.tiered_order import TieredOrder
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.ports import CheckpointTiming
from cranberrycleat.workflow.state import Job


@attrs.define(kw_only=True, eq=False)
class LoadControl:
    """The parts that decide under load; a part is None if it is disabled.

    Attributes:
        order: Ranks waiting steps; every other part uses this order.
        fair_share: Classifies the jobs of workspaces by their weights.
        speeds: Learns the speeds of workers.
        estimates: Learns how far the estimates of each queue are off.
        forecast: Predicts when a job would begin and end.
        outcomes: Compares these forecasts with what became of the jobs.
        admission: Decides which jobs are accepted.
        batch_permits: Whether permit calls of a step are batched and urgent ones go
            first even under load.
        disjoint_reservations: Whether waiting gangs reserve different resources.
        preemption: Selects running attempts that give way to a waiting step.
        checkpoints: How workers take checkpoints.
    """

    order: StepOrder = attrs.field(factory=DeadlineOrder)
    fair_share: FairShare | None = None
    speeds: SpeedModel | None = None
    estimates: RuntimeEstimates | None = None
    forecast: LoadForecast | None = None
    outcomes: ForecastOutcomes = attrs.field(factory=ForecastOutcomes)
    admission: JobAdmission | None = None
    batch_permits: bool = False
    disjoint_reservations: bool = False
    preemption: Preemption = attrs.field(factory=Preemption)
    checkpoints: CheckpointTiming = CheckpointTiming()

    def speed_of(self, worker: FleetWorker) -> float:
        """Return a worker's speed; 1 where speeds are equal, unknown or not learned."""
        if self.speeds is None or not self.speeds.is_uneven(worker.entry.pool):
            return DEFAULT_SPEED
        return self.speeds.speed_of(worker)

    def is_surplus(self, job: Job) -> bool:
        """Return whether a job is beyond its workspace's fair share."""
        fair_share = self.fair_share
        return fair_share is not None and fair_share.tier(job) is ShareTier.SURPLUS

    def record_forecast(self, job: Job, now: float, now_s: float) -> None:
        """Record the forecast of an accepted job and count the job in later ones.

        Args:
            job: The job.
            now: The owner's clock.
            now_s: Unix time in seconds.
        """
        if self.forecast is None:
            return
        demand = JobDemand(
            job_id=job.job_id,
            queue=job.queue,
            spec=job.spec,
            workspace=job.workspace,
            surplus=self.is_surplus(job),
            sent_s=job.accepted_s,
        )
        urgency = urgency_if_accepted(self.order, demand, now_s)
        found = self.forecast.forecast(demand, urgency, now)
        self.forecast.add_accepted(demand, urgency)
        if found is not None:
            self.outcomes.record(job.job_id, job.queue.name, found, now)


def make_load_control(
    policies: LoadPolicies,
    weights: Callable[[], Mapping[str, float]],
    checkpoints: CheckpointTiming = CheckpointTiming(),
) -> LoadControl:
    """Return the parts that are enabled.

    Args:
        policies: The enabled policies.
        weights: Returns the positive weight of each workspace that has one.
        checkpoints: How workers take checkpoints.
    """
    fair_share = FairShare(weights=weights) if policies.weighted_fair_share else None
    estimates = RuntimeEstimates() if policies.learned_speeds else None
    order: StepOrder = DeadlineOrder()
    if policies.delay_cost_order:
        order = DelayCostOrder(fair_share=fair_share)
    elif fair_share is not None:
        order = TieredOrder(order=order, fair_share=fair_share)
    forecast = (
        LoadForecast(estimates=estimates) if policies.forecast_admission else None
    )
    return LoadControl(
        order=order,
        fair_share=fair_share,
        speeds=SpeedModel() if policies.learned_speeds else None,
        estimates=estimates,
        forecast=forecast,
        admission=JobAdmission() if forecast is not None else None,
        batch_permits=policies.batched_permits,
        disjoint_reservations=policies.delay_cost_order,
        preemption=Preemption(for_urgent_work=policies.checkpoint_preemption),
        checkpoints=checkpoints,
    )
