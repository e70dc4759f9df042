"""Tests of the parts of forecast and admission that have no state of the owner."""

import pytest

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.decisions.admission_record import (
    KEPT_S,
    MAX_JOBS,
    MIN_JOBS,
    AdmissionRecord,
)
from cranberrycleat.workflow.decisions.capacity_curve import (
    make_backlog,
    make_curve,
    scarcest,
)
from cranberrycleat.workflow.decisions.job_shape import job_shape
from cranberrycleat.workflow.decisions.load_forecast import JobDemand
from cranberrycleat.workflow.decisions.locality import (
    MAX_RACK_WAIT_S,
    rack_wait_s,
    workers_by_rack,
)
from cranberrycleat.workflow.spec import StepSpec
from tests.cell import job, queue, step
from tests.test_planner import worker


@pytest.mark.parametrize(
    ("need", "ahead", "work", "expected_s"),
    [
        (4.0, 0.0, 0.0, 0.0),
        (6.0, 0.0, 0.0, 1.0),
        (99.0, 0.0, 0.0, 3.0),
        (4.0, 4.0, 8.0, 1.0),
        (4.0, 20.0, 40.0, 3.0 + 2 / 6),
    ],
    ids=["free", "after a release", "wider than the pool", "backlog", "long backlog"],
)
def test_demand_begins_when_it_fits_behind_the_backlog(
    need: float, ahead: float, work: float, expected_s: float
) -> None:
    """Guards against a forecast that ignores the releases or the work ahead.

    Of 12 units 4 are free, and 4 more each after 1 s and 3 s. Work ahead returns half
    of the free units each second: in the last row 22 of 24 were offered after 3 s.
    """
    curve = make_curve(4.0, [(3.0, 4), (1.0, 4)])
    found = curve.time_until(need, ahead=ahead, work=work)
    assert found == pytest.approx(expected_s)


def test_backlog_counts_only_what_ranks_ahead() -> None:
    """Guards against a single task that waits for gangs in its forecast."""
    keys = [(0, 0, float(number), "") for number in range(3)]
    backlog = make_backlog(
        keys, [1.0, 10.0, 100.0], [2.0, 2.0, 2.0], [False, True, False]
    )
    assert backlog.ahead_of((0, 0, 1.5, ""), gangs=True) == (11.0, 22.0)
    assert backlog.ahead_of((0, 0, 1.5, ""), gangs=False) == (1.0, 2.0)
    memory = scarcest(
        Amounts(processors=1, memory_mb=90), Amounts(processors=100, memory_mb=100)
    )
    assert memory(Amounts(processors=1, memory_mb=7)) == 7


@pytest.mark.parametrize(
    ("steps", "path_s", "depth", "at_once"),
    [
        ((step(3, estimate_s=1.0),), 1.0, 1, 1000),
        ((step(3, estimate_s=1.0, gang=True),), 1.0, 1, 3000),
        ((step(1, estimate_s=1.0), step(1, estimate_s=2.0, after=(0,))), 3.0, 2, 1000),
        ((step(1, estimate_s=1.0), step(1, estimate_s=2.0)), 2.0, 1, 1000),
    ],
    ids=["single tasks", "gang", "chain", "side by side"],
)
def test_shape_of_a_job(
    steps: tuple[StepSpec, ...], path_s: float, depth: int, at_once: int
) -> None:
    """Guards against a gang that is forecast to begin task by task."""
    shape = job_shape(job(*steps), queue(), None, 1.0)
    assert shape is not None
    assert (shape.path_s, shape.depth) == (path_s, depth)
    assert shape.first.processors == at_once


def _record(
    rejected: set[int], *, jobs: int = MIN_JOBS, at: float = 0.0
) -> AdmissionRecord:
    record = AdmissionRecord()
    for number in range(jobs):
        demand = JobDemand(job_id=f"j{number}", queue=queue(), spec=job(step(1)))
        record.add(demand, float(number), rejected=number in rejected, now=at)
    return record


@pytest.mark.parametrize(
    ("rejected", "now", "starved"),
    [
        ({18, 19}, 1.0, True),
        (set(range(20)), 1.0, False),
        ({0, 1, 18}, 1.0, True),
        (set(range(0, 20, 2)), 1.0, False),
        ({18, 19}, KEPT_S + 1.0, False),
    ],
    ids=["largest only", "all", "half of the largest", "every other", "long ago"],
)
def test_largest_tenth_is_not_rejected_out_of_proportion(
    rejected: set[int], now: float, starved: bool
) -> None:
    assert _record(rejected).is_size_starved("q", 19.0, now) is starved
    assert not _record(rejected).is_size_starved("q", 1.0, now), "a small job"


def test_admission_record_is_bounded() -> None:
    """Guards against memory that grows with the submissions, and retries that count."""
    record = _record({MAX_JOBS + 49}, jobs=MAX_JOBS + 50)
    assert record.rejected_share(1.0) == 1 / MAX_JOBS
    demand = JobDemand(job_id=f"j{MAX_JOBS + 49}", queue=queue(), spec=job(step(1)))
    record.add(demand, 1.0, rejected=True, now=2.0)
    assert record.rejected_share(2.0) == 1 / MAX_JOBS


@pytest.mark.parametrize(
    ("spec", "factor", "expected_s"),
    [
        (step(1, estimate_s=2.0), 3.0, 0.0),
        (step(1, estimate_s=2.0, data_rack="r1"), 3.0, 2.0),
        (step(1, estimate_s=2.0, data_rack="r1"), 1.0, 0.0),
        (step(1, estimate_s=20.0, data_rack="r1"), 3.0, MAX_RACK_WAIT_S),
    ],
    ids=["no rack", "half of the penalty", "no penalty", "at most"],
)
def test_wait_for_a_rack_is_worth_its_penalty(
    spec: StepSpec, factor: float, expected_s: float
) -> None:
    """Guards against steps that wait longer for a rack than it saves."""
    assert rack_wait_s(spec, factor) == expected_s
    assert set(workers_by_rack([worker("a"), worker("b", rack="r2")])) == {"r1", "r2"}
