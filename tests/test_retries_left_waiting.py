"""Tests that a failed task does not wait for ever beside the worker that failed it.

Observed failure: two tasks of a step failed on one worker, and nothing of the step ran
any more although workers that the permit service allowed had room. A worker that failed
a task is left out for its retry; these tests cover what ends that, and what else is
kept from work meanwhile.
"""

import attrs
import pytest

from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.exclusion import FAILED_WORKER_EXCLUSION_S
from cranberrycleat.workflow.decisions.planner import Plan, Planner
from cranberrycleat.workflow.decisions.stalls import STALL_S
from cranberrycleat.workflow.fleet import MAX_QUARANTINE_S, FleetWorker
from cranberrycleat.workflow.ports import (
    EndedTask,
    EndKind,
    Permit,
    PermitTiming,
    Queue,
    SyncReply,
)
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import StepRun
from tests.cell import job, queue, step
from tests.test_planner import NOW_S, cluster_state, placed, submit, worker

ROUND_S = 0.2
"""The owner plans at least this often while anything waits."""
POLICY = PermitTiming(decide_s=0.1, each_s=0.0, valid_s=60.0)
PERMITTED = queue(name="p", permits=POLICY, max_attempts=3)
UNPERMITTED = queue(max_attempts=3)
FAILED_AT = 1.0


def step_of(owner_board: ClusterState, job_id: str) -> StepRun:
    """Return the only step of a job."""
    return owner_board.jobs[job_id].open[0].steps[0]


def allow(owner_board: ClusterState, waiting: StepRun, *names: str) -> None:
    """Record permits of a step for some workers, if its queue needs any."""
    permits = owner_board.permits_of(waiting)
    if permits is not None:
        found = tuple(Permit(worker=name, ticket=f"t-{name}") for name in names)
        permits.record_answer(names, found, sent_at=0.0)


def fail_all(owner_board: ClusterState, at: FleetWorker, now: float) -> None:
    """Have a worker report that everything placed there has failed."""
    ended = tuple(
        EndedTask(
            task=each.task,
            attempt=each.attempt,
            how=EndKind.FAILED,
            saved="",
            number=at.heard_upto + number,
        )
        for number, each in enumerate(at.placements.values(), start=1)
    )
    reply = SyncReply(worker_time_ms=round(now * 1000), running=(), ended=ended)
    owner_board.sync(at, reply, sent_at=now, now=now)


def occupy(owner_board: ClusterState, at: FleetWorker, name: str) -> None:
    """Fill a worker with a task that runs until the end of the test."""
    spec = step(1, processors=at.entry.capacity.processors)
    submit(owner_board, name, job(spec), queue())
    (task,) = step_of(owner_board, name).tasks
    owner_board.place(task, at, 1, now=0.0).began(0.0)


def rounds_until(
    planner: Planner, waiting: StepRun, first_s: float, last_s: float
) -> tuple[float | None, list[Plan]]:
    """Run planning rounds; return when all tasks of a step were placed, and the plans.

    The time is None if they were not all placed by the last round.
    """
    plans: list[Plan] = []
    now = first_s
    while now <= last_s:
        plans.append(planner.plan(now=now, now_s=NOW_S + now))
        if not waiting.pending():
            return now, plans
        now += ROUND_S
    return None, plans


def failed_on(
    owner_board: ClusterState, bad: FleetWorker, spec: StepSpec, at: Queue
) -> StepRun:
    """Submit a step, and have its tasks fail on the only worker that is in the list."""
    submit(owner_board, "a", job(spec), at)
    waiting = step_of(owner_board, "a")
    allow(owner_board, waiting, bad.name)
    Planner(cluster_state=owner_board).plan(now=0.0, now_s=NOW_S)
    assert len(placed(owner_board)[bad.name]) == spec.count
    for placement in bad.placements.values():
        placement.began(0.0)
    fail_all(owner_board, bad, FAILED_AT)
    assert len(waiting.pending()) == spec.count
    return waiting


def beside_idle_worker(
    spec: StepSpec, at: Queue, processors: int
) -> tuple[ClusterState, StepRun]:
    """Return a step that failed on a worker, idle now, beside one that stays in use."""
    bad = worker("bad", processors=processors)
    owner_board = cluster_state(bad)
    waiting = failed_on(owner_board, bad, spec, at)
    owner_board.fleet.workers["other"] = worker("other")
    allow(owner_board, waiting, "other")
    occupy(owner_board, owner_board.fleet.workers["other"], "long")
    return owner_board, waiting


# Guards against a step that waits for ever (LOST): its tasks failed on one worker that
# is idle and left out for them, and the other one that could hold them stays in use.
@pytest.mark.parametrize("at", [UNPERMITTED, PERMITTED], ids=["no permits", "permits"])
@pytest.mark.parametrize(
    "spec",
    [
        step(4, gang=True),
        step(4),
        step(1),
        step(2, most_per_worker=2),
        step(1, service=True),
    ],
    ids=["gang", "single tasks", "one task", "limit a worker", "service"],
)
def test_failed_step_does_not_wait_for_ever_beside_idle_worker(
    spec: StepSpec, at: Queue
) -> None:
    owner_board, waiting = beside_idle_worker(spec, at, processors=12000)
    planner = Planner(cluster_state=owner_board)
    now, last_s = FAILED_AT, FAILED_AT + STALL_S
    while now <= last_s and not placed(owner_board)["bad"]:
        planner.plan(now=now, now_s=NOW_S + now)
        now += ROUND_S
    assert now <= last_s, planner.obstacles(waiting, last_s)


# Guards against the same while half of the pool is in use, where the platform counts no
# stall: each task waits for others for a stated time.
@pytest.mark.parametrize("spec", [step(4, gang=True), step(4)], ids=["gang", "tasks"])
def test_exclusion_of_failed_worker_ends_while_pool_is_in_use(spec: StepSpec) -> None:
    owner_board, waiting = beside_idle_worker(spec, PERMITTED, processors=4000)
    planner = Planner(cluster_state=owner_board)
    ends_at = FAILED_AT + FAILED_WORKER_EXCLUSION_S
    placed_at, _ = rounds_until(planner, waiting, FAILED_AT, ends_at + ROUND_S)
    assert placed_at is not None and placed_at >= ends_at - ROUND_S


# Guards against retries on a worker that fails whatever it starts: they would use up
# the attempts of a sound task within a second.
def test_failed_task_is_not_retried_at_once_on_worker_that_failed_it() -> None:
    bad = worker("bad")
    owner_board = cluster_state(bad)
    waiting = failed_on(owner_board, bad, step(2), UNPERMITTED)
    other = worker("other")
    owner_board.fleet.workers["other"] = other
    occupy(owner_board, other, "long")
    planner = Planner(cluster_state=owner_board)
    placed_at, _ = rounds_until(planner, waiting, FAILED_AT, FAILED_AT + 1.0)
    assert placed_at is None and not placed(owner_board)["bad"]
    owner_board.fleet.workers["third"] = worker("third")
    planner.plan(now=FAILED_AT + 1.0, now_s=NOW_S)
    assert len(placed(owner_board)["third"]) == 2


# Guards against room that nobody uses (LOST): a gang reserved it on the worker that was
# left out for the gang's own failures.
def test_gang_reserves_no_room_on_worker_left_out_for_it() -> None:
    bad = worker("bad")
    owner_board = cluster_state(bad)
    failed_on(owner_board, bad, step(2, processors=2000, gang=True), UNPERMITTED)
    other = worker("other")
    owner_board.fleet.workers["other"] = other
    occupy(owner_board, other, "long")
    submit(owner_board, "small", job(step(1)), queue(priority=2))
    Planner(cluster_state=owner_board).plan(now=FAILED_AT + ROUND_S, now_s=NOW_S)
    assert placed(owner_board)["bad"] == ["small.0.0.0"]


# Guards against a step that asks for no further permits (LOST) as a worker counts for
# room that its tasks, placed one by one, are not given.
def test_failed_tasks_query_permits_of_idle_workers() -> None:
    bad = worker("bad", processors=16000)
    owner_board = cluster_state(bad)
    waiting = failed_on(owner_board, bad, step(4), PERMITTED)
    used, idle = worker("used", processors=2000), worker("idle")
    owner_board.fleet.workers["used"] = used
    allow(owner_board, waiting, "used")
    occupy(owner_board, used, "long")
    owner_board.fleet.workers["idle"] = idle
    found = Planner(cluster_state=owner_board).plan(
        now=FAILED_AT + ROUND_S, now_s=NOW_S
    )
    asked = [name for query in found.permit_queries for name in query.workers]
    assert asked == ["idle"]


# Guards against a step that stands while a worker rests (LOST): a quarantine may take
# longer than the platform lets a job have nothing running beside workers with room.
@pytest.mark.parametrize("spec", [step(1), step(2, gang=True)], ids=["task", "gang"])
def test_step_without_other_room_uses_resting_worker(spec: StepSpec) -> None:
    workers = [worker(name) for name in ("resting", "used", "elsewhere")]
    workers[0].rest_s = MAX_QUARANTINE_S
    workers[0].quarantine(0.0)
    owner_board = cluster_state(*workers)
    occupy(owner_board, workers[1], "long")
    submit(owner_board, "a", job(spec), PERMITTED)
    waiting = step_of(owner_board, "a")
    allow(owner_board, waiting, "resting", "used")
    planner = Planner(cluster_state=owner_board)
    placed_at, _ = rounds_until(planner, waiting, 0.0, STALL_S)
    assert placed_at is not None, planner.obstacles(waiting, STALL_S)


# Guards against sound jobs that fail as all that stand are given to a resting worker at
# a time, which fails whatever it starts: they would use up their attempts.
def test_resting_worker_is_given_one_stalled_step_at_a_time() -> None:
    workers = [worker(name) for name in ("resting", "used", "elsewhere")]
    workers[0].rest_s = MAX_QUARANTINE_S
    workers[0].quarantine(0.0)
    owner_board = cluster_state(*workers)
    occupy(owner_board, workers[1], "long")
    for name in ("a", "b"):
        submit(owner_board, name, job(step(1)), PERMITTED)
        allow(owner_board, step_of(owner_board, name), "resting", "used")
    planner = Planner(cluster_state=owner_board)
    first, second = step_of(owner_board, "a"), step_of(owner_board, "b")
    placed_at, _ = rounds_until(planner, first, 0.0, STALL_S)
    assert placed_at is not None and second.pending()
    (placement,) = workers[0].placements.values()
    placement.began(placed_at)
    fail_all(owner_board, workers[0], placed_at + ROUND_S)
    again_at, _ = rounds_until(planner, second, placed_at + 2 * ROUND_S, 2 * STALL_S)
    assert again_at is not None and first.pending()


# Guards against the same with room that a gang of higher rank has reserved and does not
# use within that time.
def test_step_without_other_room_uses_reserved_room() -> None:
    workers = [worker(name) for name in ("reserved", "used", "elsewhere")]
    owner_board = cluster_state(*workers)
    occupy(owner_board, workers[1], "long")
    submit(owner_board, "g", job(step(5, gang=True)), PERMITTED)
    allow(owner_board, step_of(owner_board, "g"), "reserved", "used")
    submit(owner_board, "a", job(step(1)), attrs.evolve(PERMITTED, priority=2))
    waiting = step_of(owner_board, "a")
    allow(owner_board, waiting, "reserved", "used")
    planner = Planner(cluster_state=owner_board)
    placed_at, _ = rounds_until(planner, waiting, 0.0, STALL_S)
    assert placed_at is not None, planner.obstacles(waiting, STALL_S)


# Guards against a worker that takes no work for good (LOST): the task with which it is
# probed after a quarantine is a service, which never ends.
@pytest.mark.parametrize("lasting", [True, False], ids=["service", "long task"])
def test_worker_probed_by_lasting_task_takes_other_work(lasting: bool) -> None:
    probed, used = worker("w"), worker("used")
    owner_board = cluster_state(probed, used)
    # With half of the pool in use, the probe does not yield to a stalled step.
    occupy(owner_board, used, "long")
    probed.quarantine(0.0)
    began = probed.quarantined_until
    spec = step(1, service=lasting, estimate_s=60.0)
    submit(owner_board, "s", job(spec), queue())
    planner = Planner(cluster_state=owner_board)
    planner.plan(now=began, now_s=NOW_S)
    (probe,) = probed.placements.values()
    probe.began(began)
    submit(owner_board, "a", job(step(1)), queue())
    waiting = step_of(owner_board, "a")
    now = began
    while now < began + STALL_S and waiting.pending():
        now += ROUND_S
        probed.update_clock(round(now * 1000), now)
        planner.plan(now=now, now_s=NOW_S + now)
    assert not waiting.pending(), probed.unavailable_reason(now)
