"""The owner's admission control: applies `decisions.job_admission` to submissions.

A rejection promises that the job never runs. A front end that got no answer from an
owner may have stored the job in the inbox, and its caller may then return through
another host. Before a rejection the inbox is therefore checked for the job; if that
cannot be done in time, the job is accepted.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat import errors, events
from cranberrycleat.clock import Clock
from cranberrycleat.logs import emit, part_logger
from cranberrycleat.table import Row
from cranberrycleat.workflow import rows
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.fair_share import ShareTier
from cranberrycleat.workflow.decisions.first_rank import urgency_if_accepted
from cranberrycleat.workflow.decisions.job_admission import (
    Admitted,
    Rejected,
    first_sent_s,
    is_exempt,
)
from cranberrycleat.workflow.decisions.load_forecast import Forecast, JobDemand
from cranberrycleat.workflow.decisions.retry_spread import MIN_RETRY_AFTER_S
from cranberrycleat.workflow.inbox import Inbox
from cranberrycleat.workflow.peering import SubmitReply, SubmitRequest

LOG: Final[logging.Logger] = part_logger("admission")
INBOX_CHECK_LIMIT_S: Final = 0.1
"""How long a rejection waits for the check of the inbox. A read takes 0.01 s; a front
end waits 0.2 s for the owner before it stores the job in the inbox itself."""
REPEAT_S: Final = MIN_RETRY_AFTER_S
"""How long a rejection is repeated for its job. No caller returns sooner than the least
Retry-After, so a submission within that time is a copy of an earlier attempt, from a
host that its caller has given up; accepting it would break the promise."""
MAX_REJECTIONS: Final = 5000
"""Rejected jobs that are remembered, about 1.5 MB: ten minutes of eight rejections per
second, longer than any job keeps its value."""


@attrs.frozen(kw_only=True)
class _Rejection:
    """The latest rejection of a job.

    Attributes:
        decision: The decision.
        at: When it was made, on the owner's clock.
        sent_s: When the job was first sent, since 1970.
    """

    decision: Rejected
    at: float
    sent_s: float


@attrs.define(kw_only=True, eq=False)
class LoadAdmission:
    """Decides on submitted jobs; without a `JobAdmission` it accepts every job.

    Attributes:
        cluster_state: The owner's in-memory state.
        inbox: The owner's inbox.
        clock: The owner's clock.
        is_settled: Returns whether the owner has been in office, and the table has
            answered, for long enough to know the load.
        may_order: Returns whether the owner has the authority to decide.
        changed: Called when the cluster state has changed.
    """

    cluster_state: ClusterState
    inbox: Inbox
    clock: Clock
    is_settled: Callable[[], bool]
    may_order: Callable[[], bool]
    changed: Callable[[], None]
    _rejections: dict[str, _Rejection] = attrs.field(factory=dict)

    async def rejection_of(self, req: SubmitRequest) -> SubmitReply | None:
        """Return the reply that rejects a job; None if it is to be accepted.

        A job that was found in the inbox is accepted with that.

        Raises:
            NotOwner: The ownership was lost during the check of the inbox.
        """
        admission = self.cluster_state.load.admission
        if admission is None or is_exempt(req.spec) or not self.is_settled():
            return None
        now, now_s = self.clock.now(), self.cluster_state.time_of_day()
        demand = self._demand(req, now_s)
        forecast = self._forecast(demand, now, now_s)
        decision = self._repeated(req.job_id, now) or admission.decide(
            demand, forecast, now=now, now_s=now_s
        )
        if isinstance(decision, Admitted):
            if decision.for_size and forecast is not None:
                _log_admitted_for_size(demand, forecast)
            return None
        if await self._may_be_stored(req.job_id):
            return None
        if not self.may_order():
            raise errors.NotOwner("the ownership was lost")
        self._remember(demand, decision, now, now_s)
        _log_rejection(demand, forecast, decision, now_s)
        return SubmitReply(
            refused=True,
            overloaded=True,
            reason=decision.reason,
            retry_after_s=decision.retry_after_s,
        )

    def accept(self, req: SubmitRequest) -> None:
        """Accept a job; the cluster state counts it in the forecast at once."""
        self._rejections.pop(req.job_id, None)
        self.cluster_state.accept(
            req.job_id, req.queue, req.spec, workspace=req.access.workspace
        )
        self.changed()

    def rejected_share(self) -> float:
        """Return the share of recently submitted jobs that are rejected at present."""
        admission = self.cluster_state.load.admission
        if admission is None:
            return 0.0
        return admission.record.rejected_share(self.clock.now())

    def _demand(self, req: SubmitRequest, now_s: float) -> JobDemand:
        workspace = req.access.workspace
        past = self._rejections.get(req.job_id)
        fair_share = self.cluster_state.load.fair_share
        surplus = (
            fair_share is not None
            and fair_share.tier_of_next(workspace, now_s) is ShareTier.SURPLUS
        )
        return JobDemand(
            job_id=req.job_id,
            queue=req.queue,
            spec=req.spec,
            workspace=workspace,
            surplus=surplus,
            sent_s=now_s if past is None else past.sent_s,
        )

    def _forecast(self, demand: JobDemand, now: float, now_s: float) -> Forecast | None:
        load = self.cluster_state.load
        if load.forecast is None:
            return None
        urgency = urgency_if_accepted(load.order, demand, now_s)
        return load.forecast.forecast(demand, urgency, now)

    def _repeated(self, job_id: str, now: float) -> Rejected | None:
        """Return the rejection that was given for a job a moment ago, if any."""
        past = self._rejections.get(job_id)
        if past is None or now - past.at >= REPEAT_S:
            return None
        return past.decision

    def _remember(
        self, demand: JobDemand, decision: Rejected, now: float, now_s: float
    ) -> None:
        """Remember a rejection, for when the caller returns."""
        past = self._rejections.get(demand.job_id)
        if past is not None and past.decision is decision:
            return
        self._rejections[demand.job_id] = _Rejection(
            decision=decision, at=now, sent_s=first_sent_s(demand, now_s)
        )
        if len(self._rejections) > MAX_REJECTIONS:
            del self._rejections[next(iter(self._rejections))]

    async def _may_be_stored(self, job_id: str) -> bool:
        """Return whether a job may be stored; accept it if it is in the inbox.

        Without an answer from the table, the job may be stored, unless it was rejected
        a moment ago: its caller was told so, after the inbox had been read.
        """
        try:
            async with asyncio.timeout(INBOX_CHECK_LIMIT_S):
                found = await self._inbox_rows(job_id)
        except (errors.TableUnavailable, TimeoutError) as exc:
            LOG.info("The inbox is unread for job %s: %r", job_id, exc)
            was_rejected = self._repeated(job_id, self.clock.now()) is not None
            return job_id in self.cluster_state.jobs or not was_rejected
        if found and job_id not in self.cluster_state.jobs:
            self.inbox.accept_rows(found)
            self.changed()
        return bool(found) or job_id in self.cluster_state.jobs

    async def _inbox_rows(self, job_id: str) -> tuple[Row, ...]:
        return tuple(await self.inbox.store.read(keys=(rows.inbox_key(job_id),)))


def _log_rejection(
    demand: JobDemand, forecast: Forecast | None, decision: Rejected, now_s: float
) -> None:
    emit(
        events.JobRejected(
            job=demand.job_id,
            queue=demand.queue.name,
            tier=_tier(demand),
            reason=decision.reason,
            start_s=None if forecast is None else round(forecast.start.expected_s, 3),
            end_s=None if forecast is None else round(forecast.end.optimistic_s, 3),
            bound_s=round(decision.bound_s, 3),
            age_s=None if forecast is None else round(forecast.age_s, 3),
            sent_ago_s=round(now_s - first_sent_s(demand, now_s), 3),
            retry_after_s=round(decision.retry_after_s, 3),
            workspace=demand.workspace,
        )
    )


def _log_admitted_for_size(demand: JobDemand, forecast: Forecast) -> None:
    emit(
        events.JobAdmittedForSize(
            job=demand.job_id,
            queue=demand.queue.name,
            end_s=round(forecast.end.optimistic_s, 3),
            age_s=round(forecast.age_s, 3),
            workspace=demand.workspace,
        )
    )


def _tier(demand: JobDemand) -> str:
    tier = ShareTier.SURPLUS if demand.surplus else ShareTier.DUE
    return tier.name.lower()
