"""Tests of reservations for gangs that wait, and of renewing their permits in time."""

import pytest

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.gang_reservation import (
    MAX_RESERVED_GANGS,
    GangReservations,
)
from cranberrycleat.workflow.decisions.load_control import make_load_control
from cranberrycleat.workflow.decisions.load_policies import LoadPolicies
from cranberrycleat.workflow.ports import Permit, PermitTiming
from tests.cell import job, queue, step
from tests.test_planner import cluster_state, plan, worker

MEMBER = Amounts(processors=2000, memory_mb=100)
SLOW_PERMITS = PermitTiming(decide_s=0.5, each_s=0.0, valid_s=1.5)


# Pattern: burst of wide jobs. Guards against gangs that wait for the same workers while
# others would drain for them, so that one gang starts after the other.
@pytest.mark.parametrize(
    ("disjoint", "gangs", "workers_reserved"),
    [(False, 2, 1), (True, 2, 2), (False, 9, 1), (True, 9, 4)],
    ids=["same workers", "different workers", "three at most", "a share of the pool"],
)
def test_gangs_collect_workers_at_the_same_time(
    disjoint: bool, gangs: int, workers_reserved: int
) -> None:
    pool = [worker(f"w{number:02}") for number in range(16)]
    reservations = GangReservations(disjoint=disjoint)
    for _ in range(gangs):
        if reservations.may_add(64.0):
            reservations.reserve(MEMBER, 2, pool, lambda each: 2)
    assert len(reservations.by_worker) == workers_reserved
    assert disjoint or reservations.gangs <= MAX_RESERVED_GANGS


# Guards against a gang that blocks others for nothing.
def test_gang_that_cannot_fit_reserves_nothing() -> None:
    reservations = GangReservations(disjoint=True)
    assert reservations.reserve(MEMBER, 3, [worker("w")], lambda each: 3) == {}
    assert not reservations.by_worker and not reservations.gangs


def _state(free: int, *, batched: bool) -> ClusterState:
    state = cluster_state(worker("a"), worker("b"))
    state.load = make_load_control(LoadPolicies(batched_permits=batched), dict)
    for each in state.fleet.workers.values():
        each.free = Amounts(processors=free, memory_mb=4000)
    at = queue(permits=SLOW_PERMITS)
    state.accept("g", at, job(step(4, processors=2000, gang=True)))
    permits = state.permits_of(state.jobs["g"].open[0].steps[0])
    assert permits is not None
    given = tuple(Permit(worker=name, ticket="t") for name in ("a", "b"))
    permits.record_answer(("a", "b"), given, 0.0)
    return state


# Guards against workers that idle while the expired permits of a gang are renewed, and
# against calls in vain for a gang that will not fit soon.
@pytest.mark.parametrize(
    ("free", "now", "batched", "queried"),
    [
        (3999, 5.0, True, []),
        (2000, 5.0, True, []),
        (3999, 5.0, False, []),
    ],
    ids=["one of two fits on each", "half fits", "single calls"],
)
def test_permits_are_not_renewed_for_a_gang_that_will_not_fit_soon(
    free: int, now: float, batched: bool, queried: list[tuple[str, ...]]
) -> None:
    state = _state(free, batched=batched)
    assert [each.workers for each in plan(state, now=now).permit_queries] == queried


@pytest.mark.parametrize(
    ("now", "queried"), [(5.0, [("a", "b")]), (0.5, [])], ids=["expired", "valid"]
)
def test_permits_are_renewed_before_all_members_fit(
    now: float, queried: list[tuple[str, ...]]
) -> None:
    state = _state(4000, batched=True)
    state.fleet.workers["a"].free = Amounts(processors=2000, memory_mb=4000)
    assert [each.workers for each in plan(state, now=now).permit_queries] == queried
