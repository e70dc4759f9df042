"""Tests that no step waits for ever while workers have free resources.

Observed failure: two gangs of 14 and 29 tasks ended as broken and were not restarted
within 66 s, with most worker resources free. `test_restarted_workers` covers the cause
of that incident; these tests cover other waits that nothing ended.
"""

import pytest

from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.permits import StepPermits
from cranberrycleat.workflow.ports import Permit, PermitTiming
from cranberrycleat.workflow.state import TaskState
from tests.cell import job, queue, step
from tests.test_planner import cluster_state, placed, plan, submit, worker


def worker_with_service(owner_board: ClusterState, name: str) -> FleetWorker:
    """Return a worker on which a service has run since time 0 of the board."""
    found = owner_board.fleet.workers[name]
    submit(owner_board, "s", job(step(1, processors=500, service=True)), queue())
    plan(owner_board)
    assert placed(owner_board)[name] == ["s.0.0.0"]
    return found


# Guards against a worker that is never used again (LOST): it was quarantined after
# failures and also runs a service, which never ends.
def test_rested_worker_with_service_is_probed() -> None:
    owner_board = cluster_state(worker("w"))
    tried = worker_with_service(owner_board, "w")
    tried.quarantine(1.0)
    assert not tried.may_accept_work(tried.quarantined_until - 0.1)
    assert tried.may_accept_work(tried.quarantined_until)
    submit(owner_board, "a", job(step(2)), queue())
    Planner(cluster_state=owner_board).plan(
        now=tried.quarantined_until, now_s=owner_board.time_of_day()
    )
    assert len(tried.placements) == 2, "the service, and one task to try"
    assert not tried.may_accept_work(tried.quarantined_until + 0.1)


# Guards against a permanent reservation (LOST): a gang that does not fit on its
# eligible workers reserves resources that other steps could use.
@pytest.mark.parametrize(
    "lasting", [False, True], ids=["too small", "beside a service"]
)
def test_no_reservation_for_gang_that_cannot_fit(lasting: bool) -> None:
    owner_board = cluster_state(worker("w"))
    if lasting:
        worker_with_service(owner_board, "w")
    submit(owner_board, "g", job(step(4 if lasting else 9, gang=True)), queue())
    submit(owner_board, "a", job(step(1)), queue(priority=2))
    plan(owner_board)
    assert "a.0.0.0" in placed(owner_board)["w"]


# Guards against a start that is refused repeatedly (LOST): a permit that its worker has
# refused must be renewed before the next start there.
def test_refused_permit_is_renewed() -> None:
    policy = PermitTiming(decide_s=0.1, each_s=0.0, valid_s=60.0)
    permits = StepPermits(policy=policy)
    permits.record_answer(("w",), (Permit(worker="w", ticket="t"),), sent_at=0.0)
    assert permits.valid_ticket("w", 1.0) == "t"
    permits.refused("w")
    assert not permits.valid_ticket("w", 1.0)
    assert permits.workers_to_renew({"w"}, 1.0) == ("w",)
    assert "w" in permits.tickets, "the service's word on the worker does not change"


def test_step_with_lost_placement_waits_again() -> None:
    """A step is removed from the waiting steps only while no task of it is pending."""
    owner_board = cluster_state(worker("w"))
    submit(owner_board, "a", job(step(1)), queue())
    plan(owner_board)
    found = owner_board.fleet.workers["w"]
    (placement,) = found.placements.values()
    plan(owner_board)
    assert not owner_board.waiting
    owner_board.give_up(found, placement, "lost")
    assert list(owner_board.waiting) == ["a.0.0"]
    assert owner_board.jobs["a"].open[0].steps[0].tasks[0].state is TaskState.PENDING
