"""Decisions of admission control: what is rejected, and when callers return."""

import collections
import math

import attrs
import pytest

from cranberrycleat.workflow.decisions.job_admission import (
    CLOSED_S,
    STARTS_AT_ONCE_S,
    JobAdmission,
    Rejected,
)
from cranberrycleat.workflow.decisions.load_forecast import (
    Forecast,
    Interval,
    JobDemand,
)
from tests.cell import job, queue, step

OBJECTIVE_S = 3.0
"""Of the default queue (2 times the critical path and 1 s) and a task of 1 s."""
NOW_S = 1000.0
RETRIES = 4
"""Callers give up after this many (docs/design/hard-load.md)."""


def demand(job_id: str = "a", runs_s: float = 1.0, **more: object) -> JobDemand:
    """Return a job with a single task."""
    spec = job(step(estimate_s=runs_s))
    base = JobDemand(job_id=job_id, queue=queue(), spec=spec)
    return attrs.evolve(base, **more)  # type: ignore[arg-type]


def forecast(start_s: float, runs_s: float = 1.0, age_s: float = 0.0) -> Forecast:
    """Return a forecast without uncertainty."""

    def certain(at_s: float) -> Interval:
        return Interval(optimistic_s=at_s, expected_s=at_s, pessimistic_s=at_s)

    return Forecast(
        start=certain(start_s),
        end=certain(start_s + runs_s),
        wait_s=start_s,
        age_s=age_s,
    )


def rejects(
    admission: JobAdmission, each: JobDemand, expected: Forecast | None, now: float
) -> Rejected | None:
    """Return the rejection of a job, if it is rejected."""
    found = admission.decide(each, expected, now=now, now_s=NOW_S + now)
    return found if isinstance(found, Rejected) else None


@pytest.mark.parametrize(
    ("each", "expected", "rejected"),
    [
        (demand(), None, False),
        (demand(), forecast(3 * OBJECTIVE_S, age_s=1.1), False),
        (demand(), forecast(3 * OBJECTIVE_S, age_s=0.9), True),
        (demand(), forecast(3 * OBJECTIVE_S - 1.1), False),
        (demand(sent_s=NOW_S - 2.0), forecast(3 * OBJECTIVE_S - 2.0), True),
        (demand(sent_s=NOW_S - 99.0), forecast(0.0), False),
        (demand(sent_s=NOW_S + 99.0), forecast(3 * OBJECTIVE_S), True),
        (demand(surplus=True), forecast(OBJECTIVE_S), True),
        (demand(surplus=True), forecast(OBJECTIVE_S - 1.1), False),
        (demand(runs_s=0.0, queue=queue(objective_s=0.0)), forecast(99.0), False),
    ],
)
def test_only_jobs_without_value_are_rejected(
    each: JobDemand, expected: Forecast | None, rejected: bool
) -> None:
    """A job that can still have value, or of which too little is known, is lost."""
    found = rejects(JobAdmission(), each, expected, 0.0)
    assert (found is not None) is rejected


@pytest.mark.parametrize(
    ("after_s", "start_s", "each", "rejected"),
    [
        (0.1, 0.9 * 3 * OBJECTIVE_S - 1.0, demand("b"), True),
        (0.1, 0.7 * 3 * OBJECTIVE_S - 1.0, demand("b"), False),
        (0.1, 0.9 * 3 * OBJECTIVE_S - 1.0, demand("b", queue=queue("other")), False),
        (0.1, 0.9 * OBJECTIVE_S - 1.0, demand("b", surplus=True), False),
        (CLOSED_S, 0.9 * 3 * OBJECTIVE_S - 1.0, demand("b"), False),
    ],
)
def test_class_reopens_below_lower_bound(
    after_s: float, start_s: float, each: JobDemand, rejected: bool
) -> None:
    """Without hysteresis, a class at its bound alternates with every job that ends."""
    admission = JobAdmission()
    assert rejects(admission, demand(), forecast(3 * OBJECTIVE_S), 0.0)
    found = rejects(admission, each, forecast(start_s), after_s)
    assert (found is not None) is rejected


def test_late_return_does_not_close_its_class() -> None:
    """Returns of one job that is too late would keep narrowing the bound of others."""
    admission = JobAdmission()
    late = demand(sent_s=NOW_S - 99.0)
    assert rejects(admission, late, forecast(0.5), 0.0)
    assert not rejects(admission, demand("b"), forecast(0.9 * 3 * OBJECTIVE_S - 1), 0.1)


@attrs.define(kw_only=True)
class Pool:
    """A pool that runs one job after the other, with callers that return.

    Attributes:
        admission: Decides on the jobs.
        backlog_s: How long the accepted jobs still run.
        arrivals: The jobs to be sent in each second.
        returns: How many rejected callers return in each second.
        attempts: How often each job was rejected.
        rejected: The jobs whose latest attempt was rejected.
        late: How many accepted jobs wait although they will end without value.
    """

    admission: JobAdmission = attrs.field(factory=JobAdmission)
    backlog_s: float = 0.0
    arrivals: dict[int, list[JobDemand]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    returns: "collections.Counter[int]" = attrs.field(factory=collections.Counter)
    attempts: "collections.Counter[str]" = attrs.field(factory=collections.Counter)
    rejected: set[str] = attrs.field(factory=set)
    late: int = 0

    def play(self, seconds: int) -> None:
        """Play the arrivals, second by second; the pool runs 10 jobs at a time."""
        for now in range(seconds):
            for each in self.arrivals[now]:
                self._send(each, now)
            self.backlog_s = max(0.0, self.backlog_s - 1.0)

    def _send(self, each: JobDemand, now: int) -> None:
        each = attrs.evolve(each, sent_s=each.sent_s or NOW_S + now)
        runs_s = each.spec.steps[0].estimate_s
        expected = forecast(self.backlog_s, runs_s)
        found = rejects(self.admission, each, expected, now)
        if found is None:
            ends_s = NOW_S + now + self.backlog_s + runs_s
            has_value = ends_s - each.sent_s <= 3 * (2 * runs_s + 1)
            self.late += self.backlog_s > STARTS_AT_ONCE_S and not has_value
            self.rejected.discard(each.job_id)
            self.backlog_s += runs_s / 10
            return
        self.rejected.add(each.job_id)
        self.attempts[each.job_id] += 1
        if self.attempts[each.job_id] > RETRIES:
            return
        back = now + math.ceil(found.retry_after_s)
        self.arrivals[back].append(each)
        self.returns[back] += 1


def test_burst_of_wide_jobs_is_bounded_and_its_callers_do_not_synchronize() -> None:
    """Callers that return together would be rejected together, again and again.

    Patterns: burst of wide jobs, return of rejected callers.
    """
    pool = Pool()
    pool.arrivals[0] = [demand(f"wide-{n}", 4.0) for n in range(400)]
    pool.play(30)
    assert pool.late == 0
    assert 400 > len(pool.rejected) > 100
    assert max(pool.returns.values()) < len(pool.rejected) / 2, pool.returns


def test_hot_workspace_is_rejected_before_others() -> None:
    """Surplus must not take the room of jobs to which other workspaces are entitled.

    Pattern: hot workspace.
    """
    pool = Pool()
    for now in range(20):
        pool.arrivals[now] = [
            demand(f"{name}-{now}-{n}", surplus=name == "hot")
            for n in range(8)
            for name in ("hot", "other")
        ]
    pool.play(20)
    names = collections.Counter(each.partition("-")[0] for each in pool.rejected)
    assert names["hot"] > 0 and names["other"] == 0


def test_due_and_earlier_sent_jobs_return_first() -> None:
    """A surplus or new job must not take the room that an earlier one was told of."""

    def returns_s(age_s: float, surplus: bool) -> float:
        """Return the mean Retry-After of jobs that were sent some time ago."""
        found = [
            rejects(
                JobAdmission(),
                demand(f"j{n}", 8.0, surplus=surplus, sent_s=NOW_S - age_s),
                forecast(70.0, 8.0),
                0.0,
            )
            for n in range(50)
        ]
        return sum(each.retry_after_s for each in found if each) / len(found)

    assert returns_s(4.0, False) < returns_s(0.0, False) < returns_s(0.0, True)
    assert returns_s(40.0, False) <= 3.0, "the job has value for 3 s only"
    assert returns_s(60.0, False) > 50.0, "a worthless job waits for a free pool"


@pytest.mark.parametrize("share", [0.1, 0.3, 0.7])
def test_no_size_starves(share: float) -> None:
    """The largest tenth must be served at least half as often as its kind."""
    admission = JobAdmission()
    served: list[bool] = []
    large: list[bool] = []
    for n in range(1000):
        is_large = n % 10 == 0
        runs_s = 2.0 if is_large else 1.0 + n % 7 / 10
        late = is_large or n % 100 < 100 * share
        each = demand(f"j{n}", runs_s)
        expected = forecast(99.0 if late else 0.1, runs_s)
        (large if is_large else served).append(
            rejects(admission, each, expected, n / 20) is None
        )
    of_all = sum(served + large) / 1000
    assert sum(large) / len(large) >= of_all / 2 - 0.05
