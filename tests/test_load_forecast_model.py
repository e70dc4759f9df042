"""Tests of the model of the load forecast, of its snapshots and of its records."""

import math
from typing import Any

import attrs
import pytest

from cranberrycleat import events
from cranberrycleat.amounts import Amounts
from cranberrycleat.explain import Entry, JobTimeline, forecast_summary
from cranberrycleat.metrics import Metrics
from cranberrycleat.workflow.decisions import forecast_outcomes
from cranberrycleat.workflow.decisions.fair_share import FairShare
from cranberrycleat.workflow.decisions.first_rank import urgency_if_accepted
from cranberrycleat.workflow.decisions.job_admission import (
    MAX_FORECAST_AGE_S,
    JobAdmission,
    Rejected,
)
from cranberrycleat.workflow.decisions.load_control import (
    LoadControl,
    make_load_control,
)
from cranberrycleat.workflow.decisions.load_forecast import (
    START_OVERHEAD_S,
    JobDemand,
    LoadForecast,
    PoolLoad,
    RunningWork,
    WaitingWork,
)
from cranberrycleat.workflow.decisions.load_policies import LoadPolicies
from cranberrycleat.workflow.decisions.ordering import (
    DeadlineOrder,
    DelayCostOrder,
    StepOrder,
    Urgency,
)
from cranberrycleat.workflow.decisions.tiered_order import TieredOrder
from cranberrycleat.workflow.dispatcher import FORECAST_INTERVAL_S
from cranberrycleat.workflow.ports import PermitTiming
from cranberrycleat.workflow.spec import WorkflowSpec
from cranberrycleat.workflow.state import JobState
from cranberrycleat.workflow.telemetry import Telemetry
from tests.cell import POOL, cell, job, queue, step, submit, until
from tests.fakes import run_async
from tests.replay import Arrival, Replay

KEY: Urgency = (0, 1, 5.0, "job")
PLENTY = 1_000_000
EARLIER: Urgency = (0, 0, 1.0, "ahead")


def cores(number: float) -> Amounts:
    """Return an amount of processors."""
    return Amounts(processors=round(number * 1000), memory_mb=1)


def release(number: float, in_s: float, workspace: str = "") -> RunningWork:
    """Return running work."""
    return RunningWork(needs=cores(number), in_s=in_s, workspace=workspace)


def waiting(number: float, task_s: float, workspace: str = "") -> WaitingWork:
    """Return a step that ranks ahead."""
    return WaitingWork(
        name="ahead",
        urgency=EARLIER,
        needs=cores(number),
        task_s=task_s,
        workspace=workspace,
    )


def load(free: float, **more: Any) -> PoolLoad:
    """Return the load of a pool of ten processors."""
    return PoolLoad(
        pool=POOL,
        taken_at=0.0,
        capacity=Amounts(processors=10_000, memory_mb=PLENTY, accelerators=1),
        free=Amounts(processors=round(free * 1000), memory_mb=PLENTY, accelerators=1),
        **more,
    )


def start_s(pool_load: PoolLoad, spec: WorkflowSpec, **demand: Any) -> float:
    """Return the expected start of a job, without the fixed overhead."""
    forecast = LoadForecast()
    forecast.update(pool_load)
    demand = {"queue": queue(priority=1), **demand}
    found = forecast.forecast(JobDemand(job_id="job", spec=spec, **demand), KEY, 0.0)
    assert found is not None
    assert (
        found.start.optimistic_s <= found.start.expected_s <= found.start.pessimistic_s
    )
    assert found.end.optimistic_s <= found.end.expected_s <= found.end.pessimistic_s
    return found.start.expected_s - START_OVERHEAD_S


@attrs.define(kw_only=True)
class ListedClock:
    """A clock that returns the given times, one at each call."""

    times: list[float]

    def now(self) -> float:
        """Return the next time."""
        return self.times.pop(0)


ONE = job(step(1, processors=1000))
GANG = job(step(4, processors=1000, gang=True))
ACCELERATORS = Amounts(processors=1, accelerators=9)
PERMITS = queue(permits=PermitTiming(decide_s=0.4, each_s=0.0, valid_s=1.5))


# Each row guards against one input of the forecast being ignored.
@pytest.mark.parametrize(
    ("pool_load", "spec", "demand", "expected_s"),
    [
        pytest.param(load(1), ONE, {}, 0.0, id="fits now"),
        pytest.param(load(0, running=(release(1, 3.0),)), ONE, {}, 3.0, id="release"),
        pytest.param(
            load(1, running=tuple(release(1, at) for at in (1.0, 2.0, 5.0))),
            GANG,
            {},
            5.0,
            id="a gang needs its whole width",
        ),
        pytest.param(
            load(1, waiting=(waiting(10, 2.0),)), ONE, {}, 20.0, id="backlog ahead"
        ),
        pytest.param(
            load(1, waiting=(attrs.evolve(waiting(10, 2.0), urgency=(0, 2, 9.0, "")),)),
            ONE,
            {},
            0.0,
            id="backlog behind",
        ),
        pytest.param(
            load(5, running=(release(1, 4.0, "a"),), headroom={"a": cores(0)}),
            ONE,
            {"workspace": "a"},
            4.0,
            id="its quota",
        ),
        pytest.param(
            load(1, waiting=(waiting(9, 9.0, "a"),), headroom={"a": cores(0)}),
            ONE,
            {},
            0.0,
            id="backlog held back by another quota",
        ),
        pytest.param(load(1), ONE, {"queue": PERMITS}, 0.4, id="permit call"),
        pytest.param(
            load(1, waiting=(attrs.evolve(waiting(1, 9.0), needs=ACCELERATORS),)),
            ONE,
            {},
            0.0,
            id="backlog for accelerators, which it does not use",
        ),
        pytest.param(
            load(4, free_by_worker=(cores(0.5),) * 8, running=(release(1, 2.0),)),
            ONE,
            {},
            2.0,
            id="fragments that are too small",
        ),
    ],
)
def test_expected_start(
    pool_load: PoolLoad, spec: WorkflowSpec, demand: dict[str, Any], expected_s: float
) -> None:
    assert math.isclose(start_s(pool_load, spec, **demand), expected_s, abs_tol=0.01)


# Guards against a caller that is rejected for ever once its job is late, although the
# pool is empty: a permit call and a start take longer than a wait that counts as none.
@pytest.mark.parametrize("surplus", [False, True])
@pytest.mark.parametrize(
    ("pool_load", "rejected"),
    [(load(10), False), (load(0, running=(release(1, 1.0),)), True)],
)
def test_late_job_is_rejected_only_if_it_would_wait(
    surplus: bool, pool_load: PoolLoad, rejected: bool
) -> None:
    forecast = LoadForecast()
    forecast.update(pool_load)
    demand = JobDemand(
        job_id="job", queue=PERMITS, spec=ONE, surplus=surplus, sent_s=1.0
    )
    found = forecast.forecast(demand, KEY, 0.0)
    decision = JobAdmission().decide(demand, found, now=0.0, now_s=1000.0)
    assert isinstance(decision, Rejected) is rejected


# Guards against callers between two snapshots who are all promised the same resources,
# and against one of them being counted twice.
def test_jobs_accepted_since_the_snapshot_are_counted_once() -> None:
    forecast = LoadForecast()
    forecast.update(load(1, running=(release(1, 3.0), release(1, 6.0))))
    ahead = JobDemand(job_id="ahead", queue=queue(priority=1), spec=ONE)
    demand = attrs.evolve(ahead, job_id="job")
    for _ in range(2):
        forecast.add_accepted(ahead, EARLIER)
    found = forecast.forecast(demand, KEY, 0.5)
    assert found is not None and found.age_s == 0.5
    assert START_OVERHEAD_S < found.start.expected_s <= 3.0 + START_OVERHEAD_S


# Guards against a forecast, and so a rejection, that rests on missing information.
@pytest.mark.parametrize(
    "pool_load", [None, load(0), attrs.evolve(load(1), pool="other")]
)
def test_no_forecast_without_data(pool_load: PoolLoad | None) -> None:
    forecast = LoadForecast()
    if pool_load is not None:
        forecast.update(pool_load)
    demand = JobDemand(job_id="job", queue=queue(), spec=ONE)
    assert forecast.forecast(demand, KEY, 0.0) is None


# Guards against a forecast by another rank than the one that the planner uses.
@pytest.mark.parametrize(
    ("order", "surplus", "band"),
    [
        (DeadlineOrder(), True, 0),
        (DelayCostOrder(), True, 0),
        (DelayCostOrder(fair_share=FairShare()), False, 0),
        (DelayCostOrder(fair_share=FairShare()), True, 1),
        (TieredOrder(order=DeadlineOrder(), fair_share=FairShare()), False, 0),
        (TieredOrder(order=DeadlineOrder(), fair_share=FairShare()), True, 2),
    ],
)
def test_rank_of_a_job_that_is_not_accepted_yet(
    order: StepOrder, surplus: bool, band: int
) -> None:
    replay = Replay.of_workers(1)
    state = replay.cluster_state
    step_run = state.accept("job", queue(), ONE).open[0].steps[0]
    demand = JobDemand(job_id="job", queue=queue(), spec=ONE, surplus=surplus)
    urgency = urgency_if_accepted(order, demand, state.time_of_day())
    accepted = order.rank(step_run, state.time_of_day()).key()
    assert urgency == (band, *accepted[1:3], step_run.name)


# Guards against a forecast that cannot be compared with what became of its job, and
# against records of jobs that grow without bound.
def test_forecast_and_outcome_are_recorded(monkeypatch: pytest.MonkeyPatch) -> None:
    emitted: list[Any] = []
    monkeypatch.setattr(forecast_outcomes, "emit", emitted.append)
    monkeypatch.setattr(forecast_outcomes, "MAX_RECORDED", 2)
    replay = Replay.of_workers(1)
    replay.run([])
    jobs = [Arrival(at=0.2, job_id=f"j{n}", queue=queue(), spec=ONE) for n in range(3)]
    replay.run(jobs)
    assert [each.job for each in emitted if isinstance(each, events.JobForecast)] == [
        each.job_id for each in jobs
    ]
    found = [each for each in emitted if isinstance(each, events.JobForecastOutcome)]
    assert {(each.job, each.what) for each in found} == {
        (name, what) for name in ("j1", "j2") for what in ("start", "end")
    }
    entries = [
        Entry(at=0.0, host="h", event=each) for each in emitted if each.job == "j1"
    ]
    assert "start after 0.06 s (0.00 to 0.25 s), seen after 0.00 s, as forecast" in (
        forecast_summary(JobTimeline(job="j1", job_entries=entries))
    )
    metrics = Metrics(role="node", name="n")
    for each in found:
        Telemetry(metrics=metrics).record_event(each)
    assert "jobs_forecast_outcomes" in metrics.text()


# Guards against work for forecasts, and lines about them, while they are disabled.
def test_nothing_is_recorded_without_forecasts(monkeypatch: pytest.MonkeyPatch) -> None:
    emitted: list[Any] = []
    monkeypatch.setattr(forecast_outcomes, "emit", emitted.append)
    replay = Replay.of_workers(1, load=LoadControl())
    replay.run([Arrival(at=0.2, job_id="j", queue=queue(), spec=ONE)])
    assert replay.ended and not emitted


# Guards against an owner that takes no snapshots, or shows none to its operator.
@pytest.mark.parametrize("enabled", [True, False])
def test_owner_takes_snapshots_only_if_enabled(enabled: bool) -> None:
    async def run() -> None:
        async with cell(workers=1) as running_cell:
            owner = await running_cell.own()
            policies = LoadPolicies(forecast_admission=enabled)
            owner.cluster_state.load = make_load_control(policies, dict)
            await submit(owner, "a", job(step(1)))
            state = owner.cluster_state.jobs["a"].state
            await until(lambda: state() is JobState.COMPLETED)
            assert [each["pool"] for each in owner.forecast_inputs()] == (
                [POOL] if enabled else []
            )

    run_async(run())


# Guards against admission control that lapses on a weak owner with a long backlog,
# because its snapshots are further apart than the age up to which they are used.
@pytest.mark.parametrize("took_s", [0.001, 0.2, 0.5])
def test_snapshots_of_a_slow_owner_are_recent_enough(took_s: float) -> None:
    async def run() -> None:
        async with cell(workers=0) as running_cell:
            owner = running_cell.make_owner("one")
            policies = LoadPolicies(forecast_admission=True)
            owner.cluster_state.load = make_load_control(policies, dict)
            owner.dispatcher.clock = ListedClock(times=[0.0, took_s])
            owner.dispatcher._update_forecast()
            interval_s = owner.dispatcher._forecast_due_at
            assert FORECAST_INTERVAL_S <= interval_s < MAX_FORECAST_AGE_S

    run_async(run())
