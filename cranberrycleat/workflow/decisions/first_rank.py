"""The rank that a job's first step would have if the job were accepted now."""

from cranberrycleat.workflow.decisions.fair_share import ShareTier
from cranberrycleat.workflow.decisions.load_forecast import JobDemand
from cranberrycleat.workflow.decisions.ordering import (
    DelayCostOrder,
    StepOrder,
    Urgency,
)
from cranberrycleat.workflow.decisions.tiered_order import TieredOrder
from cranberrycleat.workflow.state import Job, StepRun

SURPLUS_BAND = int(ShareTier.SURPLUS)
"""The band in which `DelayCostOrder` ranks surplus."""


def urgency_if_accepted(order: StepOrder, demand: JobDemand, now_s: float) -> Urgency:
    """Return the rank key that a job's first step would have if accepted now.

    Args:
        order: The owner's order of steps.
        demand: The job; `surplus` gives the tier, which is not assigned yet.
        now_s: Unix time in seconds.
    """
    job = Job(
        job_id=demand.job_id,
        queue=demand.queue,
        spec=demand.spec,
        accepted_s=now_s,
        workspace=demand.workspace,
    )
    step = StepRun(job=job, occurrence=0, number=0, spec=demand.spec.steps[0])
    if isinstance(order, TieredOrder):
        tier = ShareTier.SURPLUS if demand.surplus else ShareTier.DUE
        return order.rank_in_tier(step, tier, now_s).key()
    key = order.rank(step, now_s).key()
    has_tiers = isinstance(order, DelayCostOrder) and order.fair_share is not None
    if demand.surplus and has_tiers and key[0] == 0:
        return (SURPLUS_BAND, *key[1:])
    return key
