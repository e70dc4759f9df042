"""Admission control at the owner: what is never rejected, and failures around it."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest

from cranberrycleat import events
from cranberrycleat.logs import set_observer
from cranberrycleat.platform.front import _message
from cranberrycleat.workflow import load_admission, options
from cranberrycleat.workflow.decisions.job_admission import JobAdmission
from cranberrycleat.workflow.decisions.load_forecast import (
    Forecast,
    Interval,
    JobDemand,
    LoadForecast,
)
from cranberrycleat.workflow.decisions.ordering import Urgency
from cranberrycleat.workflow.job_frontend import RequestResult, RequestStatus
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peering import SubmitReply, SubmitRequest
from cranberrycleat.workflow.spec import Schedule, WorkflowSpec
from tests.cell import Cell, cell, job, queue, step, submit, until
from tests.fakes import run_async

SPEC = job(step(1))


@attrs.define(kw_only=True, eq=False)
class FixedForecast(LoadForecast):
    """Every job waits equally long.

    Attributes:
        wait_s: How long; None if nothing is known.
        accepted: The jobs that were counted.
    """

    wait_s: float | None = 99.0
    age_s: float = 0.0
    accepted: list[str] = attrs.field(factory=list)

    def add_accepted(self, demand: JobDemand, urgency: Urgency) -> None:
        """Count an accepted job."""
        self.accepted.append(demand.job_id)

    def forecast(
        self, demand: JobDemand, urgency: Urgency, now: float
    ) -> Forecast | None:
        """Return the same forecast for every job."""
        if self.wait_s is None:
            return None
        at = Interval(
            optimistic_s=self.wait_s,
            expected_s=self.wait_s,
            pessimistic_s=self.wait_s,
        )
        return Forecast(start=at, end=at, wait_s=self.wait_s, age_s=self.age_s)


async def own_full_pool(env: Cell, name: str = "one") -> tuple[Owner, FixedForecast]:
    """Return a settled owner that forecasts that every job would be too late."""
    owner = await env.own(name)
    forecast = FixedForecast()
    load = owner.cluster_state.load
    load.forecast, load.admission = forecast, JobAdmission()
    owner.worker_list_settled_at = 0.0
    return owner, forecast


async def reply_of(owner: Owner, job_id: str, spec: WorkflowSpec = SPEC) -> SubmitReply:
    """Submit a job to the owner."""
    req = SubmitRequest(job_id=job_id, queue=queue(), spec=spec)
    return await owner.submit(req)


def test_rejected_job_never_runs_and_is_decided_anew_when_it_returns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A copy of a rejected attempt that arrives late must not run behind the caller.

    Patterns: return of rejected callers; a repeat in a full pool.
    """
    monkeypatch.setattr(load_admission, "REPEAT_S", 0.2)
    seen: list[object] = []

    async def run() -> None:
        async with cell() as env:
            owner, forecast = await own_full_pool(env)
            door = env.job_frontend(lambda: owner)
            answer = await door.submit(queue(), "a", SPEC, limit_s=1.0)
            assert answer.status is RequestStatus.OVERLOADED
            assert answer.retry_after_s >= 1
            assert (await door.state("a")).status is RequestStatus.NO_JOB
            forecast.wait_s = 0.0
            assert (await reply_of(owner, "a")).overloaded, "a copy of the attempt"
            assert not env.fleet.starts
            await until(
                lambda: "a" not in owner.load_admission._rejections
                or owner.load_admission._repeated("a", env.clock.now()) is None
            )
            assert (await reply_of(owner, "a")).accepted
            forecast.wait_s = 99.0
            assert (await reply_of(owner, "a")).accepted, "a repeat in a full pool"
            assert forecast.accepted == ["a"]
            assert not [key for key in env.table.rows if key.startswith("inbox/")]

    set_observer(seen.append)
    try:
        run_async(run())
    finally:
        set_observer(None)
    rejections = [each for each in seen if isinstance(each, events.JobRejected)]
    assert [each.end_s for each in rejections] == [99.0, 0.0]


async def _nothing(env: Cell, owner: Owner) -> None:
    return None


async def _unsettled(env: Cell, owner: Owner) -> None:
    owner.worker_list_settled_at = env.clock.now() + 9.0


async def _old_data(env: Cell, owner: Owner) -> None:
    owner.cluster_state.load.forecast = FixedForecast(age_s=1.1)


async def _no_data(env: Cell, owner: Owner) -> None:
    owner.cluster_state.load.forecast = FixedForecast(wait_s=None)


async def _slow_table(env: Cell, owner: Owner) -> None:
    env.table.faults.slow_s = 0.12


async def _in_inbox(env: Cell, owner: Owner) -> None:
    """Store the job in the inbox, as a host does that gets no answer."""
    answer = await env.job_frontend(lambda: None).submit(
        queue(), "a", SPEC, limit_s=1.0
    )
    assert answer.status is RequestStatus.DONE


SCHEDULED = attrs.evolve(SPEC, schedule=Schedule(runs=1, first_s=1.0, period_s=1.0))


@pytest.mark.parametrize(
    ("prepare", "spec"),
    [
        (_unsettled, SPEC),
        (_old_data, SPEC),
        (_no_data, SPEC),
        (_slow_table, SPEC),
        (_in_inbox, SPEC),
        (_nothing, SCHEDULED),
        (_nothing, job(step(1, service=True))),
    ],
)
def test_without_cause_no_job_is_rejected(
    monkeypatch: pytest.MonkeyPatch,
    prepare: Callable[[Cell, Owner], Awaitable[None]],
    spec: WorkflowSpec,
) -> None:
    """Jobs that may be stored, that are exempt, or of which too little is known."""
    monkeypatch.setattr(options, "INBOX_POLL_INTERVAL_S", 60.0)

    async def run() -> None:
        async with cell() as env:
            owner, _ = await own_full_pool(env)
            await prepare(env, owner)
            assert (await reply_of(owner, "a", spec)).accepted

    run_async(run())


@pytest.mark.parametrize("copies_at_once", [False, True])
def test_copy_of_rejected_attempt_is_rejected_without_the_table(
    copies_at_once: bool,
) -> None:
    """A copy whose check of the inbox got no answer must not run behind the caller."""

    async def run() -> None:
        async with cell() as env:
            owner, _ = await own_full_pool(env)
            env.table.faults.slow_s = 0.03
            first = asyncio.create_task(reply_of(owner, "a"))
            await asyncio.sleep(0.0 if copies_at_once else 0.06)
            env.table.faults.slow_s = 0.12
            copy = asyncio.create_task(reply_of(owner, "a"))
            assert (await first).overloaded
            assert (await copy).overloaded
            assert (await reply_of(owner, "b")).accepted, "it was never rejected"
            assert "a" not in owner.cluster_state.jobs

    run_async(run())


def test_next_owner_decides_anew_after_rejection() -> None:
    """An owner lost between a rejection and the return must not block the job."""

    async def run() -> None:
        async with cell() as env:
            former, _ = await own_full_pool(env)
            assert (await reply_of(former, "a")).overloaded
            await env.close()
            owner = await env.own("two")
            await submit(owner, "a", SPEC)
            await until(lambda: owner.state("a").state == "completed")
            assert env.fleet.faults == []

    run_async(run())


def test_rejection_is_not_returned_for_job_that_may_be_stored() -> None:
    """An inbox write whose reply was lost must not be followed by a rejection."""

    async def run() -> None:
        async with cell() as env:
            owner, _ = await own_full_pool(env)
            known: list[Owner | None] = [None, owner]

            def find_owner() -> Owner | None:
                return known.pop(0) if len(known) > 1 else known[0]

            env.table.faults.lose_replies = 3
            answer = await env.job_frontend(find_owner).submit(
                queue(), "a", SPEC, limit_s=1.0
            )
            assert answer.status is not RequestStatus.OVERLOADED
            await until(lambda: owner.state("a").state == "completed")

    run_async(run())


@pytest.mark.parametrize(
    ("status", "wire"), [(RequestStatus.REFUSED, 503), (RequestStatus.OVERLOADED, 429)]
)
def test_callers_can_tell_load_from_outage(status: RequestStatus, wire: int) -> None:
    """Both mean that the job never runs; without Retry-After callers return at once."""
    answer = _message(RequestResult(status=status, retry_after_s=2.2), is_queue=False)
    assert (answer.status, answer.headers) == (wire, ((b"retry-after", b"3"),))
