"""Tests which workers the permit service is queried for in fleets of hundreds.

Guards against overload at 270 workers and 80 steps per second: when each step queried
every worker, an owner sent 13,500 worker names per second in 210 calls and searched 270
answers for each step in each round.
"""

import attrs
import pytest

from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.permit_choice import AllowedShare, select_workers
from cranberrycleat.workflow.decisions.planner import PermitQuery, Plan, Planner
from cranberrycleat.workflow.fleet import FleetWorker, how_many_fit
from cranberrycleat.workflow.ports import Permit, PermitTiming
from cranberrycleat.workflow.spec import StepSpec
from tests.cell import job, queue, step
from tests.test_planner import cluster_state, submit, worker

POLICY = PermitTiming(decide_s=0.1, each_s=0.01, valid_s=1.5)
FLEET_SIZE = 270


def _workers(free: int, count: int = FLEET_SIZE) -> list[FleetWorker]:
    """Return workers of four processors of which `free` millicores are free."""
    workers = [worker(f"w{number:03}") for number in range(count)]
    for each in workers:
        each.free = attrs.evolve(each.free, processors=free)
    return workers


def _select(
    spec: StepSpec,
    *,
    unknown: list[FleetWorker],
    allowed: tuple[FleetWorker, ...] = (),
    share: float = 0.5,
    name: str = "a.0.0",
) -> list[FleetWorker]:
    return select_workers(
        step_name=name,
        pending=spec.count,
        allowed=allowed,
        unknown=unknown,
        fits_now=lambda each: how_many_fit(spec.needs, each.free),
        fits_when_empty=lambda each: how_many_fit(spec.needs, each.entry.capacity),
        share=share,
    )


@pytest.mark.parametrize(
    ("spec", "free", "share", "least", "most"),
    [
        # Three allowed places for each task: 3 tasks at a share of 0.7 query 13 places.
        (step(3), 1000, 0.7, 13, 40),
        (step(3), 4000, 0.7, 4, 40),
        (step(3, gang=True), 1000, 0.7, 13, 40),
        (step(1), 1000, 1.0, 3, 40),
        # No worker has free resources: one full call is queried in advance.
        (step(3), 0, 0.7, 100, 100),
        # More than all workers could hold together: all are queried.
        (step(2000), 4000, 0.5, FLEET_SIZE, FLEET_SIZE),
    ],
)
def test_query_size_matches_step_demand(
    spec: StepSpec, free: int, share: float, least: int, most: int
) -> None:
    chosen = _select(spec, unknown=_workers(free), share=share)
    assert least <= len(chosen) <= most
    assert len({each.name for each in chosen}) == len(chosen)


def test_workers_with_free_resources_come_first() -> None:
    workers = _workers(0)
    for each in workers[100:130]:
        each.free = attrs.evolve(each.free, processors=4000)
    chosen = _select(step(3), unknown=workers)
    assert chosen and {each.name for each in chosen} <= {
        each.name for each in workers[100:130]
    }


def test_scarce_resources_fill_a_whole_call() -> None:
    """In a backlog few workers have free resources, and other steps soon take them."""
    workers = _workers(0)
    for each in workers[100:102]:
        each.free = attrs.evolve(each.free, processors=1000)
    full = tuple(_workers(0, 20))
    again = _select(step(3), allowed=full, unknown=workers)
    assert len(again) == 100
    assert {each.name for each in again[:2]} == {"w100", "w101"}


@pytest.mark.parametrize(
    ("allowed_free", "unknown_free", "asks"),
    [(1000, 1000, False), (0, 1000, True), (0, 0, False)],
    ids=["enough is allowed", "only others have room", "nobody has room"],
)
def test_further_workers_are_queried_only_if_useful(
    allowed_free: int, unknown_free: int, asks: bool
) -> None:
    allowed, unknown = _workers(allowed_free, 20), _workers(unknown_free)
    chosen = _select(step(3), allowed=tuple(allowed), unknown=unknown)
    assert bool(chosen) is asks


def test_steps_query_different_workers_on_full_pool() -> None:
    workers = _workers(0)
    found = {
        frozenset(
            each.name
            for each in _select(
                step(1), unknown=workers, share=0.7, name=f"{number}.0.0"
            )
        )
        for number in range(20)
    }
    assert len(found) > 10


def test_fullest_fitting_workers_are_queried_first() -> None:
    """Short tasks fill gaps, which leaves whole workers for wide steps."""
    workers = [worker(f"w{number:03}") for number in range(FLEET_SIZE)]
    owner_board = cluster_state(*workers)
    for number in range(40):
        submit(owner_board, f"x{number}", job(step(1, processors=3000)), queue())
    _plan(Planner(cluster_state=owner_board))
    gaps = {each.name for each in workers if each.placements}
    submit(owner_board, "a", job(step(3)), queue(permits=POLICY))
    (query,) = _plan(Planner(cluster_state=owner_board)).permit_queries
    assert len(gaps) == 40 and set(query.workers) <= gaps


def test_allowed_share_adapts_to_recent_answers() -> None:
    share = AllowedShare()
    for _ in range(50):
        share.record(asked=100, allowed=25)
    assert share.value() == pytest.approx(0.25, abs=0.02)
    for _ in range(50):
        share.record(asked=100, allowed=70)
    assert share.value() == pytest.approx(0.7, abs=0.02)
    for _ in range(50):
        share.record(asked=100, allowed=0)
    assert share.value() > 0


def _plan(planner: Planner) -> Plan:
    return planner.plan(now=0.0, now_s=1_000_000.0)


@pytest.mark.parametrize(
    "spec",
    [
        step(1, same_rack=True, gang=True),
        step(1, data_rack="r1"),
        step(1, service=True),
    ],
    ids=["same rack", "near its data", "service"],
)
def test_topology_dependent_steps_query_all_workers(spec: StepSpec) -> None:
    owner_board = cluster_state(*_workers(4000))
    submit(owner_board, "a", job(spec), queue(permits=POLICY))
    permit_queries = _plan(Planner(cluster_state=owner_board)).permit_queries
    assert [len(query.workers) for query in permit_queries] == [FLEET_SIZE]


def test_partially_placed_step_queries_further_workers() -> None:
    owner_board = cluster_state(
        *(worker(f"w{n:03}", processors=1000) for n in range(FLEET_SIZE))
    )
    submit(owner_board, "a", job(step(3)), queue(permits=POLICY))
    planner = Planner(cluster_state=owner_board)
    (first,) = _plan(planner).permit_queries
    permits = owner_board.permits["a.0.0"]
    only = Permit(worker=first.workers[0], ticket="t")
    permits.record_answer(first.workers, (only,), 0.0)
    found = _plan(planner)
    assert [worker.name for worker, _ in found.groups[0].placements] == [only.worker]
    (second,) = _plan(planner).permit_queries
    assert not set(first.workers) & set(second.workers)


def _answer(owner_board: ClusterState, query: PermitQuery, allowed: int) -> None:
    """Record an answer that allows the first workers of a query."""
    permits = tuple(Permit(worker=name, ticket="t") for name in query.workers[:allowed])
    owner_board.permits[query.step.name].record_answer(query.workers, permits, 0.0)


def test_per_worker_limit_excludes_used_workers_from_count() -> None:
    """Workers at the step's limit have free resources but no place for its tasks."""
    owner_board = cluster_state(*_workers(4000))
    spec = step(20, most_per_worker=1)
    submit(owner_board, "a", job(spec), queue(permits=POLICY))
    planner = Planner(cluster_state=owner_board)
    (query,) = _plan(planner).permit_queries
    _answer(owner_board, query, 17)
    _plan(planner)
    assert len(owner_board.jobs["a"].open[0].steps[0].pending()) == 3
    assert _plan(planner).permit_queries


def test_failed_workers_are_excluded_from_count() -> None:
    """Allowed workers with free resources do not count if the task failed on them."""
    owner_board = cluster_state(
        *(worker(f"w{n:03}", processors=1000) for n in range(FLEET_SIZE))
    )
    submit(owner_board, "a", job(step(1)), queue(permits=POLICY))
    submit(owner_board, "b", job(step(2)), queue(priority=1))
    planner = Planner(cluster_state=owner_board)
    (query,) = _plan(planner).permit_queries
    _answer(owner_board, query, 2)
    task = owner_board.jobs["a"].open[0].steps[0].tasks[0]
    failed, full = (owner_board.fleet.workers[name] for name in query.workers[:2])
    task.failed_on[failed.name] = 0.0
    failed.failures = 1
    other = owner_board.jobs["b"].open[0].steps[0].tasks[0]
    owner_board.place(other, full, 1, now=0.0)
    assert _plan(planner).permit_queries
