"""Tests of the planner on an in-memory board: step order, placement, permits."""

from collections.abc import Callable

import attrs
import pytest

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.crash_attribution import LossKind, LostWorker
from cranberrycleat.workflow.decisions.feasibility import infeasibility_reason
from cranberrycleat.workflow.decisions.planner import Plan, Planner
from cranberrycleat.workflow.fleet import (
    MAX_MISSED_ORDER_PAUSE_S,
    MISSED_ORDER_PAUSE_S,
    FleetWorker,
    Liveness,
)
from cranberrycleat.workflow.ports import Permit, PermitTiming, Queue
from cranberrycleat.workflow.spec import Schedule, StepSpec, WorkflowSpec
from tests.cell import entry, job, queue, step

NOW_S = 1_000_000.0


def cluster_state(*workers: FleetWorker) -> ClusterState:
    """Return a board with constant clocks."""
    owner_board = ClusterState(time_of_day=lambda: NOW_S, now=lambda: 0.0)
    for worker in workers:
        owner_board.fleet.workers[worker.name] = worker
    return owner_board


def worker(name: str, **more: object) -> FleetWorker:
    """Return a live worker."""
    return FleetWorker(
        entry=entry(name, **more), liveness=Liveness.LIVE  # type: ignore[arg-type]
    )


def submit(
    owner_board: ClusterState, job_id: str, spec: WorkflowSpec, at: Queue
) -> None:
    """Submit a job."""
    owner_board.accept(job_id, at, spec)


def plan(owner_board: ClusterState, now: float = 0.0, now_s: float = NOW_S) -> Plan:
    """Run one scheduling round."""
    return Planner(cluster_state=owner_board).plan(now=now, now_s=now_s)


def placed(owner_board: ClusterState) -> dict[str, list[str]]:
    """Return the tasks on each worker."""
    return {
        each.name: sorted(p.task for p in each.placements.values())
        for each in owner_board.fleet.workers.values()
    }


def test_higher_priority_queue_is_placed_first() -> None:
    """On a worker that fits one task, the job of the priority-0 queue is placed."""
    owner_board = cluster_state(worker("w", processors=1000))
    submit(owner_board, "slow", job(step(1)), queue(priority=2))
    submit(owner_board, "fast", job(step(1)), queue(priority=0))
    plan(owner_board)
    assert placed(owner_board) == {"w": ["fast.0.0.0"]}


def test_expired_job_is_placed_last() -> None:
    """A job whose result has lost all its value does not delay other jobs."""
    owner_board = cluster_state(worker("w", processors=1000))
    submit(owner_board, "old", job(step(1)), queue(priority=0))
    owner_board.jobs["old"].accepted_s = NOW_S - 100
    submit(owner_board, "new", job(step(1)), queue(priority=2))
    plan(owner_board)
    assert placed(owner_board) == {"w": ["new.0.0.0"]}


# Guards against a gang that is never placed (LOST): the only worker that has not failed
# its members takes one task at a time, because it is being probed.
def test_gang_is_placed_although_only_a_probed_worker_has_not_failed_it() -> None:
    probed, failed = worker("probed"), worker("failed")
    probed.is_probed = True
    failed.failures = 1
    owner_board = cluster_state(probed, failed)
    submit(owner_board, "g", job(step(2, gang=True)), queue())
    for task in owner_board.jobs["g"].open[0].steps[0].tasks:
        task.failed_on["failed"] = 0.0
    plan(owner_board)
    assert sum(len(tasks) for tasks in placed(owner_board).values()) == 2


# Guards against a gang that waits beside idle workers (LOST): workers were lost under
# it at their addresses, and the only other one that could hold it stays in use.
def test_gang_does_not_wait_for_ever_beside_idle_workers() -> None:
    workers = [worker("lost-1"), worker("lost-2"), worker("used")]
    owner_board = cluster_state(*workers)
    submit(owner_board, "g", job(step(4, gang=True)), queue(max_attempts=9))
    gang = owner_board.jobs["g"].open[0].steps[0]
    for number, lost in enumerate(workers[:2]):
        loss = LostWorker(
            attempt=number + 1,
            worker=f"{lost.name}-before",
            address=lost.entry.address,
            kind=LossKind.COINCIDENT,
        )
        gang.ensure_losses_of(gang.tasks[0]).add_loss(loss, 0.0)
    submit(owner_board, "s", job(step(1)), queue())
    (long,) = owner_board.jobs["s"].open[0].steps[0].tasks
    owner_board.place(long, workers[2], 1, now=0.0)
    for now in (0.0, 5.0, 14.0):
        plan(owner_board, now=now)
    assert all(task.worker for task in gang.tasks)


def test_gang_placement_is_all_or_nothing() -> None:
    """Three members of 2000 millicores each need two workers of 4000."""
    owner_board = cluster_state(worker("w"))
    submit(owner_board, "g", job(step(3, processors=2000, gang=True)), queue())
    assert not plan(owner_board).groups
    owner_board.fleet.workers["v"] = worker("v")
    groups = plan(owner_board).groups
    assert len(groups) == 1 and len(groups[0].placements) == 3
    assert len({p.attempt for _, p in groups[0].placements}) == 1


def test_waiting_gang_reserves_resources() -> None:
    """Its reservation keeps lower-ranked small steps from starving it."""
    owner_board = cluster_state(worker("w"), worker("v"))
    submit(owner_board, "first", job(step(1, processors=1000)), queue())
    plan(owner_board)
    submit(
        owner_board, "g", job(step(2, processors=4000, gang=True)), queue(priority=1)
    )
    submit(owner_board, "small", job(step(8, processors=1000)), queue(priority=2))
    plan(owner_board)
    names = [name for tasks in placed(owner_board).values() for name in tasks]
    assert names == ["first.0.0.0"]


@pytest.mark.parametrize(
    ("spec", "expected"),
    [
        (step(2, processors=1000), {"w", "v"}),
        (step(1, processors=1000, data_rack="r2"), {"v"}),
        (step(1, processors=1000, label="r2"), {"v"}),
        (step(2, processors=1000, most_per_worker=1), {"w", "v"}),
        (step(2, processors=2000, gang=True, same_rack=True, label=""), {"w"}),
    ],
)
def test_placement_constraints_and_preferences(
    spec: StepSpec, expected: set[str]
) -> None:
    """Labels and per-worker limits are enforced; racks and full workers preferred."""
    owner_board = cluster_state(worker("w", rack="r1"), worker("v", rack="r2"))
    if spec.count == 2 and not spec.most_per_worker and not spec.gang:
        spec = attrs.evolve(spec, count=6)
    submit(owner_board, "a", job(spec), queue())
    plan(owner_board)
    found = {name for name, tasks in placed(owner_board).items() if tasks}
    assert found == expected or (spec.gang and len(found) == 1)


def test_filler_counts_no_processors() -> None:
    """Fillers run on processors that other tasks leave idle."""
    owner_board = cluster_state(worker("w", processors=1000))
    submit(owner_board, "full", job(step(1, processors=1000)), queue(priority=0))
    submit(owner_board, "fill", job(step(3, processors=1000, filler=True)), queue())
    plan(owner_board)
    assert len(placed(owner_board)["w"]) == 4


def _silent(each: FleetWorker) -> None:
    each.liveness = Liveness.SILENT


def _doubted(each: FleetWorker) -> None:
    each.unresponsive = True


def _missing_orders(each: FleetWorker) -> None:
    each.record_missed_order(0.0)


def _unlisted(each: FleetWorker) -> None:
    each.listed = False


def _leaving(each: FleetWorker) -> None:
    each.entry = attrs.evolve(each.entry, leaving=True)


def _failing(each: FleetWorker) -> None:
    for number in range(3):
        each.record_attempt_failure(f"job{number}", 0.0)


@pytest.mark.parametrize(
    "mar", [_silent, _doubted, _missing_orders, _unlisted, _leaving, _failing]
)
def test_unavailable_worker_gets_no_tasks(
    mar: Callable[[FleetWorker], None],
) -> None:
    """Silent, suspected, unresponsive, unlisted, leaving, failing ones are not used."""
    owner_board = cluster_state(worker("w"))
    mar(owner_board.fleet.workers["w"])
    submit(owner_board, "a", job(step(1)), queue())
    plan(owner_board)
    assert placed(owner_board) == {"w": []}


# Guards against starts without end to a worker that answers syncs only (LOST), and
# against a worker that is not used any more because a single answer was lost.
def test_worker_takes_no_orders_after_two_missed_until_one_is_answered() -> None:
    each = worker("w")
    each.liveness = Liveness.LIVE
    each.record_missed_order(0.0)
    assert not each.takes_no_orders(0.1) and not each.may_accept_work(0.1)
    each.record_missed_order(0.2)
    assert each.takes_no_orders(0.3)
    assert not each.takes_no_orders(0.2 + MISSED_ORDER_PAUSE_S)
    each.record_answered_order()
    assert not each.takes_no_orders(0.3) and each.may_accept_work(0.3)


# Guards against a worker that takes no starts and is given new ones all the time, and
# against one that gets none for long after it has answered an order.
def test_pause_grows_with_unanswered_starts_and_ends_with_an_answer() -> None:
    each = worker("w")
    each.liveness = Liveness.LIVE
    for _ in range(3):
        each.record_missed_order(0.0)
        each.record_unanswered_start(0.0)
    assert not each.may_accept_work(MAX_MISSED_ORDER_PAUSE_S - 0.1)
    assert each.may_accept_work(MAX_MISSED_ORDER_PAUSE_S)
    each.record_answered_order()
    each.record_missed_order(10.0)
    assert each.may_accept_work(10.0 + MISSED_ORDER_PAUSE_S)


def test_failing_worker_is_probed_with_one_task() -> None:
    """After its quarantine it gets one task; a success ends the probation."""
    owner_board = cluster_state(worker("w"))
    _failing(owner_board.fleet.workers["w"])
    submit(owner_board, "a", job(step(3)), queue())
    plan(owner_board, now=5.0)
    assert len(placed(owner_board)["w"]) == 1
    owner_board.fleet.workers["w"].record_attempt_success()
    plan(owner_board, now=5.0)
    assert len(placed(owner_board)["w"]) == 3


def test_permits_are_requested_once_and_enforced() -> None:
    """Only allowed workers are used, and a known answer is not requested again."""
    owner_board = cluster_state(worker("w"), worker("v"))
    policy = PermitTiming(decide_s=0.1, each_s=0.0, valid_s=1.0)
    submit(owner_board, "a", job(step(1)), queue(permits=policy))
    permit_queries = plan(owner_board).permit_queries
    assert [set(query.workers) for query in permit_queries] == [{"w", "v"}]
    permits = owner_board.permits["a.0.0"]
    permits.record_answer(("w", "v"), (Permit(worker="v", ticket="t"),), 0.0)
    assert not plan(owner_board).permit_queries
    assert placed(owner_board) == {"w": [], "v": ["a.0.0.0"]}
    assert (
        permits.valid_ticket("v", 0.5) == "t" and permits.valid_ticket("v", 0.9) == ""
    )


def test_scheduled_occurrences_open_when_due() -> None:
    """No occurrence opens early, and none is skipped."""
    now_s = NOW_S
    owner_board = ClusterState(time_of_day=lambda: now_s, now=lambda: 0.0)
    spec = WorkflowSpec(
        program="p",
        steps=(step(1),),
        schedule=Schedule(runs=3, first_s=NOW_S + 5, period_s=10),
    )
    owner_board.accept("a", queue(), spec)
    opened = []
    for seconds in range(0, 40, 5):
        now_s = NOW_S + seconds
        owner_board.open_all_due_occurrences()
        opened.append(len(owner_board.jobs["a"].open))
    assert opened == [0, 1, 1, 2, 2, 3, 3, 3]
    assert owner_board.next_due_s() is None


@pytest.mark.parametrize(
    ("spec", "reason"),
    [
        (step(1), ""),
        (step(9, processors=1000), ""),
        (step(1, processors=5000), "no worker has that much"),
        (step(1, label="gold"), "label"),
        (step(9, processors=1000, gang=True), "gang"),
        (step(3, gang=True, most_per_worker=1), "gang"),
    ],
)
def test_infeasible_jobs_are_detected(spec: StepSpec, reason: str) -> None:
    """Covers size, label and gang width; a job that only has to wait is feasible."""
    workers = [worker("w"), worker("v")]
    for each in workers:
        each.liveness = Liveness.SILENT
    found = infeasibility_reason(job(spec), workers)
    assert (reason in found) if reason else not found
    assert not infeasibility_reason(job(spec), [])


def test_resources_are_released_when_placement_ends() -> None:
    """A placement's resources are released only when it is known to have ended."""
    owner_board = cluster_state(worker("w", processors=2000))
    submit(owner_board, "a", job(step(3, processors=1000)), queue())
    plan(owner_board)
    only = owner_board.fleet.workers["w"]
    assert only.free == Amounts(processors=0, memory_mb=3800)
    first = next(iter(only.placements.values()))
    owner_board.give_up(only, first, "test")
    assert only.free.processors == 1000
    plan(owner_board)
    assert only.free.processors == 0


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize(
    ("names", "failures", "expected"),
    [
        (("bad", "good"), 1, "good"),
        (("bad", "good"), 0, "bad"),
        (("bad",), 1, "bad"),
    ],
    ids=["another may run it", "it has done well since", "no other may"],
)
def test_task_avoids_worker_that_failed_it(
    names: tuple[str, ...], failures: int, expected: str, gang: bool
) -> None:
    """The failed worker is the fuller one here, so it would otherwise be preferred."""
    workers = [worker(name) for name in names]
    workers[0].free = Amounts(processors=2000, memory_mb=4000)
    workers[0].failures = failures
    owner_board = cluster_state(*workers)
    submit(owner_board, "a", job(step(1, gang=gang)), queue())
    owner_board.jobs["a"].open[0].steps[0].tasks[0].failed_on["bad"] = 0.0
    plan(owner_board)
    assert placed(owner_board)[expected] == ["a.0.0.0"]


@pytest.mark.parametrize(
    "spec",
    [step(3, processors=2000, gang=True), step(2, most_per_worker=1)],
    ids=["too wide for the others", "the others are at their limit"],
)
def test_failed_worker_is_used_if_no_other_has_capacity(spec: StepSpec) -> None:
    """Guards against tasks that wait for ever for another worker."""
    workers = [worker("bad"), worker("good")]
    workers[0].failures = 1
    owner_board = cluster_state(*workers)
    submit(owner_board, "a", job(spec), queue())
    for task in owner_board.jobs["a"].open[0].steps[0].tasks:
        task.failed_on["bad"] = 0.0
    plan(owner_board)
    assert sum(len(tasks) for tasks in placed(owner_board).values()) == spec.count


@pytest.mark.parametrize(
    ("waited_s", "goes"), [(0.5, False), (2.5, True)], ids=["waits", "goes"]
)
def test_task_waits_for_rack_of_its_data(waited_s: float, goes: bool) -> None:
    """With a threefold run time elsewhere it waits for 2 s, then takes any worker."""
    near, far = worker("near", rack="r1"), worker("far", rack="r2")
    near.free = Amounts(processors=500, memory_mb=4000)
    owner_board = cluster_state(near, far)
    submit(owner_board, "a", job(step(1, data_rack="r1", estimate_s=2.0)), queue())
    rounds = Planner(cluster_state=owner_board, spread_factor=3.0)
    found = rounds.plan(now=waited_s, now_s=NOW_S)
    assert placed(owner_board)["far"] == (["a.0.0.0"] if goes else [])
    assert found.retry_at == (None if goes else 2.0)


@pytest.mark.parametrize(
    ("count", "waited_s", "starts"),
    [(4, 0.5, False), (4, 2.5, True), (6, 0.5, True)],
    ids=["waits for a rack", "waited long enough", "no rack could hold it"],
)
def test_gang_waits_for_single_rack(count: int, waited_s: float, starts: bool) -> None:
    workers = [
        worker("a1", rack="r1"),
        worker("a2", rack="r1"),
        worker("b1", rack="r2"),
        worker("b2", rack="r2"),
    ]
    for each in (workers[0], workers[2]):
        each.free = Amounts(processors=2000, memory_mb=4000)
    spec = step(count, processors=2000, gang=True, same_rack=True, estimate_s=2.0)
    owner_board = cluster_state(*workers)
    submit(owner_board, "a", job(spec), queue())
    found = Planner(cluster_state=owner_board, spread_factor=3.0).plan(
        now=waited_s, now_s=NOW_S
    )
    assert bool(found.groups) is starts


def test_gang_uses_rack_with_free_resources() -> None:
    workers = [worker("a1", rack="r1"), worker("b1", rack="r2")]
    workers[0].free = Amounts(processors=1000, memory_mb=4000)
    owner_board = cluster_state(*workers)
    spec = step(2, processors=2000, gang=True, same_rack=True, estimate_s=2.0)
    submit(owner_board, "a", job(spec), queue())
    assert (
        Planner(cluster_state=owner_board, spread_factor=3.0)
        .plan(now=0.0, now_s=NOW_S)
        .groups
    )
    assert placed(owner_board)["b1"] == ["a.0.0.0", "a.0.0.1"]
