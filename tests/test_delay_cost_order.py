"""Tests of the order by delay cost: who is placed first when not all work fits."""

import attrs
import pytest

from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.load_control import make_load_control
from cranberrycleat.workflow.decisions.load_policies import LoadPolicies
from cranberrycleat.workflow.decisions.ordering import (
    EXPIRED_BAND,
    SERVICE_BAND,
    STARVATION_BOUND_S,
    DelayCostOrder,
    Rank,
)
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.ports import Queue
from tests.cell import job, queue, step
from tests.test_planner import NOW_S, cluster_state, placed, worker

SHORT = queue("short", priority=0, stretch=1.5, objective_s=0.25)
WIDE = queue("wide", priority=1, stretch=2.2, objective_s=1.0)
PATIENT = queue("patient", priority=2, stretch=4.0, objective_s=3.0)
TASK_S = {"short": 0.8, "wide": 4.0, "patient": 2.7}


def _submit(state: ClusterState, job_id: str, at: Queue, waited_s: float = 0.0) -> None:
    spec = job(step(1, estimate_s=TASK_S[at.name]))
    state.accept(job_id, at, spec, accepted_s=NOW_S - waited_s)


def _rank(state: ClusterState, job_id: str, now_s: float = NOW_S) -> Rank:
    return DelayCostOrder().rank(state.jobs[job_id].open[0].steps[0], now_s)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ((SHORT, 0.0), (PATIENT, 0.0)),
        ((SHORT, 1.0), (PATIENT, 0.0)),
        ((SHORT, 3.0), (PATIENT, 1.0)),
        ((PATIENT, 11.0), (PATIENT, 0.0)),
        ((WIDE, 5.5), (SHORT, 30.0)),
        ((WIDE, 5.5), (PATIENT, 5.5)),
        ((PATIENT, 11.0), (SHORT, 30.0)),
        ((SHORT, 0.5), (WIDE, 5.5)),
    ],
    ids=[
        "short before patient",
        "short and slightly late before patient with slack",
        "short and late before patient with slack",
        "patient at its latest start before patient with slack",
        "wide at its latest start before worthless short",
        "higher priority before lower at the same age",
        "patient at its latest start before worthless short",
        "short on time before wide at its latest start",
    ],
)
def test_step_that_loses_more_by_waiting_goes_first(
    first: tuple[Queue, float], second: tuple[Queue, float]
) -> None:
    """Guards against short work that waits behind work that loses nothing."""
    state = cluster_state(worker("w", processors=1000))
    # Equal ranks would be ordered by name, so the names give the opposite order.
    _submit(state, "a", second[0], second[1])
    _submit(state, "z", first[0], first[1])
    assert _rank(state, "z").key() < _rank(state, "a").key()


# Guards against late work that is never placed: a stream of new short jobs always
# ranks before a worthless one until the bound.
@pytest.mark.parametrize(
    ("waited_s", "band"),
    [(1.0, 0), (5.0, EXPIRED_BAND), (STARVATION_BOUND_S + 5.0, 0)],
    ids=["on time", "worthless", "waited for the bound"],
)
def test_no_step_starves(waited_s: float, band: int) -> None:
    state = cluster_state()
    _submit(state, "a", SHORT, waited_s)
    assert _rank(state, "a").band == band


# Guards against long jobs for which the bound had no effect: the cost of a delay fades
# with the time to a far away end of all value.
def test_long_job_past_the_bound_goes_before_patient_work() -> None:
    state = cluster_state()
    spec = job(step(1, estimate_s=44.0))
    waited_s = 132.0 + STARVATION_BOUND_S + 10.0
    state.accept("z", PATIENT, spec, accepted_s=NOW_S - waited_s - 3.0)
    _submit(state, "a", PATIENT)
    assert _rank(state, "z").key() < _rank(state, "a").key()


# Guards against planning rounds that fail because of a priority in the configuration.
@pytest.mark.parametrize("priority", [600, 100_000, -600])
def test_any_configured_priority_has_a_rank(priority: int) -> None:
    state = cluster_state()
    _submit(state, "a", attrs.evolve(SHORT, priority=priority))
    _submit(state, "b", SHORT)
    before = _rank(state, "a").key() < _rank(state, "b").key()
    assert before == (priority < 0)


# Guards against worthless steps, and steps without an objective, that wait behind newer
# ones of their kind because of their names.
@pytest.mark.parametrize("objective", [1.0, 0.0])
def test_oldest_worthless_step_goes_first(objective: float) -> None:
    at = attrs.evolve(SHORT, stretch=objective, objective_s=0.0)
    state = cluster_state()
    _submit(state, "newer", at, 20.0)
    _submit(state, "older", at, 30.0)
    assert _rank(state, "older").key() < _rank(state, "newer").key()


def test_services_stay_first() -> None:
    state = cluster_state()
    state.accept("s", PATIENT, job(attrs.evolve(step(1), service=True)))
    _submit(state, "a", SHORT)
    assert _rank(state, "s").band == SERVICE_BAND
    assert _rank(state, "s").key() < _rank(state, "a").key()


# Pattern: burst of short jobs in a pool that patient work fills. Guards against the
# recovery that never came: late short jobs stayed behind every patient job with slack.
def test_short_burst_is_served_while_patient_work_has_slack() -> None:
    state = cluster_state(worker("w", processors=4000))
    state.load = make_load_control(LoadPolicies(delay_cost_order=True), dict)
    for number in range(20):
        _submit(state, f"p{number}", PATIENT)
    for number in range(4):
        _submit(state, f"s{number}", SHORT, waited_s=1.2)
    Planner(cluster_state=state).plan(now=0.0, now_s=NOW_S)
    assert placed(state)["w"] == [f"s{number}.0.0.0" for number in range(4)]


def test_default_order_is_unchanged() -> None:
    """Without the setting, a late short step ranks behind a patient one as before."""
    state = cluster_state(worker("w", processors=1000))
    _submit(state, "s", SHORT, waited_s=1.2)
    _submit(state, "p", PATIENT)
    Planner(cluster_state=state).plan(now=0.0, now_s=NOW_S)
    assert placed(state)["w"] == ["p.0.0.0"]
