"""Tests of waits beside workers with room, and of what yields to a stalled step."""

import collections
from collections.abc import Callable

import attrs
import pytest

from cranberrycleat import events
from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.crash_attribution import LossKind, LostWorker
from cranberrycleat.workflow.decisions import stalls
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.decisions.pool_snapshot import could_run_on
from cranberrycleat.workflow.decisions.preemption import _Hold
from cranberrycleat.workflow.decisions.stalls import (
    STALL_S,
    STALL_YIELD_S,
    StallMonitor,
)
from cranberrycleat.workflow.decisions.wait_report import Obstacle
from cranberrycleat.workflow.fleet import MAX_QUARANTINE_S, FleetWorker, Liveness
from cranberrycleat.workflow.ports import (
    EndedTask,
    EndKind,
    Permit,
    RunningTask,
    SyncReply,
)
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import StepRun
from tests.cell import job, queue, step
from tests.test_planner import NOW_S, cluster_state, placed, submit, worker
from tests.test_retries_left_waiting import (
    PERMITTED,
    ROUND_S,
    allow,
    fail_all,
    rounds_until,
    step_of,
)

TASK_S = 3.0


def occupy(
    owner_board: ClusterState, at: FleetWorker, name: str, processors: int = 0
) -> None:
    """Fill a worker with a task that runs until the end of the test."""
    spec = step(1, processors=processors or at.entry.capacity.processors)
    submit(owner_board, name, job(spec), queue())
    (task,) = step_of(owner_board, name).tasks
    owner_board.place(task, at, 1, now=0.0).began(0.0)


def resting(name: str, **more: object) -> FleetWorker:
    """Return a worker that rests for the longest time from time 0 on."""
    found = worker(name, **more)
    found.rest_s = MAX_QUARANTINE_S
    found.quarantine(0.0)
    return found


# Guards against a worker that fails everything using up the attempts of many sound jobs
# at once: a worker that is probed after failures takes one new task at a time.
def test_resting_worker_takes_one_task_of_stalled_jobs_at_a_time() -> None:
    owner_board = cluster_state(resting("resting"), worker("used"), worker("elsewhere"))
    occupy(owner_board, owner_board.fleet.workers["used"], "long")
    names = [f"j{number}" for number in range(4)]
    for name in names:
        submit(owner_board, name, job(step(1)), PERMITTED)
        allow(owner_board, step_of(owner_board, name), "resting", "used")
    planner = Planner(cluster_state=owner_board)
    for now in (0.0, STALL_YIELD_S):
        planner.plan(now=now, now_s=NOW_S + now)
    assert len(placed(owner_board)["resting"]) == 1


# Guards against sound jobs shown as failed: stalled ones return to a worker that fails
# whatever it starts, however long it rests.
def test_stalled_job_does_not_use_up_its_attempts_on_one_resting_worker() -> None:
    bad = resting("bad")
    owner_board = cluster_state(bad, worker("used"), worker("elsewhere"))
    used = owner_board.fleet.workers["used"]
    occupy(owner_board, used, "long")
    submit(owner_board, "a", job(step(1)), PERMITTED)
    waiting = step_of(owner_board, "a")
    allow(owner_board, waiting, "bad", "used")
    planner = Planner(cluster_state=owner_board)
    now, starts = 0.0, []
    while now < MAX_QUARANTINE_S and owner_board.jobs["a"].verdict is None:
        planner.plan(now=now, now_s=NOW_S + now)
        if bad.placements:
            starts.append(round(now, 1))
            fail_all(owner_board, bad, now)
        now += ROUND_S
    assert owner_board.jobs["a"].verdict is None, starts


# Guards against a worker that stays idle after it has shown that it works.
def test_success_ends_the_rest_of_a_worker() -> None:
    probed = resting("w")
    owner_board = cluster_state(probed, worker("used"), worker("elsewhere"))
    occupy(owner_board, owner_board.fleet.workers["used"], "long")
    submit(owner_board, "a", job(step(1)), PERMITTED)
    allow(owner_board, step_of(owner_board, "a"), "w", "used")
    planner = Planner(cluster_state=owner_board)
    for now in (0.0, STALL_YIELD_S):
        planner.plan(now=now, now_s=NOW_S + now)
    (placement,) = probed.placements.values()
    placement.began(STALL_YIELD_S)
    end = EndedTask(
        task=placement.task, attempt=1, how=EndKind.DONE, saved="", number=1
    )
    reply = SyncReply(worker_time_ms=2000, running=(), ended=(end,))
    owner_board.sync(probed, reply, sent_at=2.0, now=2.0)
    assert probed.unavailable_reason(2.1) is None


# Guards against a gang that is starved by jobs of lower rank which arrive all the time:
# each takes reserved room after 1.5 s.
def test_gang_is_not_starved_by_stalled_jobs_of_lower_rank() -> None:
    at = worker("w")
    owner_board = cluster_state(at, worker("elsewhere"), worker("elsewhere-2"))
    planner = Planner(cluster_state=owner_board)
    ends: dict[str, float] = {}
    now, number = 0.0, 0
    waiting = None
    while now < 30.0:
        if round(now / ROUND_S) % 5 == 0:
            number += 1
            submit(
                owner_board,
                f"s{number}",
                job(step(1)),
                attrs.evolve(PERMITTED, priority=2),
            )
            allow(owner_board, step_of(owner_board, f"s{number}"), "w")
        if waiting is None and now > 1.0:
            submit(owner_board, "g", job(step(4, gang=True)), PERMITTED)
            waiting = step_of(owner_board, "g")
            allow(owner_board, waiting, "w")
        planner.plan(now=now, now_s=NOW_S + now)
        if waiting is not None and not waiting.pending():
            return
        for placement in at.placements.values():
            if placement.task not in ends:
                placement.began(now)
                ends[placement.task] = now + TASK_S
        due = [each for each in at.placements.values() if ends[each.task] <= now]
        ended = tuple(
            EndedTask(
                task=each.task,
                attempt=each.attempt,
                how=EndKind.DONE,
                saved="",
                number=at.heard_upto + position,
            )
            for position, each in enumerate(due, start=1)
        )
        running = tuple(
            RunningTask(task=each.task, attempt=each.attempt, percent=1.0, saved="")
            for each in at.placements.values()
            if each not in due
        )
        reply = SyncReply(
            worker_time_ms=round(now * 1000), running=running, ended=ended
        )
        owner_board.sync(at, reply, sent_at=now, now=now)
        now += ROUND_S
    pytest.fail("the gang has waited for 29 s")


# Guards against steps of an idle pool that are not looked at (LOST), as 400 steps of
# another pool that is full rank before them.
def test_backlog_of_a_full_pool_does_not_hide_steps_of_an_idle_one() -> None:
    full, idle = worker("full"), worker("idle")
    full.entry = attrs.evolve(full.entry, pool="full")
    owner_board = cluster_state(full, idle)
    at = queue(name="f", pool="full", priority=0)
    submit(owner_board, "long", job(step(1, processors=4000)), at)
    (task,) = step_of(owner_board, "long").tasks
    owner_board.place(task, full, 1, now=0.0).began(0.0)
    for number in range(400):
        submit(owner_board, f"f{number}", job(step(1)), at)
    submit(owner_board, "a", job(step(1)), queue(priority=2))
    waiting = step_of(owner_board, "a")
    planner = Planner(cluster_state=owner_board)
    placed_at, _ = rounds_until(planner, waiting, 0.0, STALL_S)
    assert placed_at is not None


# Guards against the same within one pool: nobody may run the steps that rank first.
def test_steps_without_allowed_room_do_not_hide_steps_with_room() -> None:
    owner_board = cluster_state(worker("used"), worker("idle"), worker("idle-2"))
    occupy(owner_board, owner_board.fleet.workers["used"], "long")
    for number in range(400):
        submit(owner_board, f"f{number}", job(step(1)), PERMITTED)
        waiting = step_of(owner_board, f"f{number}")
        permits = owner_board.permits_of(waiting)
        assert permits is not None
        allow(owner_board, waiting, "used")
        permits.record_answer(("used", "idle", "idle-2"), (), sent_at=0.0)
    submit(owner_board, "a", job(step(1)), attrs.evolve(queue(), priority=2))
    waiting = step_of(owner_board, "a")
    planner = Planner(cluster_state=owner_board)
    placed_at, _ = rounds_until(planner, waiting, 0.0, STALL_S)
    assert placed_at is not None


# Guards against a rack wait that by itself takes as long as the platform lets a job
# have nothing running beside room (LOST).
def test_rack_wait_ends_before_the_step_counts_as_lost() -> None:
    near = worker("near", rack="r1")
    far = [worker(f"far-{number}", rack="r2") for number in range(2)]
    owner_board = cluster_state(near, *far)
    occupy(owner_board, near, "long")
    spec = step(1, estimate_s=60.0, data_rack="r1")
    submit(owner_board, "a", job(spec), queue(max_attempts=3))
    waiting = step_of(owner_board, "a")
    planner = Planner(cluster_state=owner_board, spread_factor=5.0)
    placed_at, _ = rounds_until(planner, waiting, 0.0, 2 * STALL_S)
    assert placed_at is not None and placed_at < STALL_S - 2 * ROUND_S, placed_at


def lose(step_run: StepRun, index: int, address: str) -> None:
    """Record two losses under a task, so that its next attempt must be isolated."""
    losses = step_run.ensure_losses_of(step_run.tasks[index])
    for attempt, at in enumerate((address, "gone-2:1"), start=1):
        lost = LostWorker(
            attempt=attempt, worker=f"before-{attempt}", address=at, kind=LossKind.CRASH
        )
        losses.add_loss(lost, 0.0)
    assert losses.needs_isolation()


# Guards against tasks that are kept from room since another task of their step must run
# isolated (LOST).
def test_isolated_task_does_not_keep_others_of_its_step_from_room() -> None:
    owner_board = cluster_state(resting("resting"), worker("used"), worker("elsewhere"))
    occupy(owner_board, owner_board.fleet.workers["used"], "long")
    submit(owner_board, "a", job(step(2)), PERMITTED)
    waiting = step_of(owner_board, "a")
    lose(waiting, 0, "gone:1")
    allow(owner_board, waiting, "resting", "used")
    planner = Planner(cluster_state=owner_board)
    now = 0.0
    while now < STALL_S and not waiting.tasks[1].worker:
        planner.plan(now=now, now_s=NOW_S + now)
        now += ROUND_S
    assert waiting.tasks[1].worker, now


# Guards against an isolated attempt that waits for longer than its own bound of 3 s
# (LOST): for the rest of a worker, or for a machine at which a worker was lost.
@pytest.mark.parametrize("kind", ["rests", "lost there"])
@pytest.mark.parametrize("gang", [False, True])
def test_isolated_attempt_does_not_wait_beside_idle_workers(
    kind: str, gang: bool
) -> None:
    at = resting("w") if kind == "rests" else worker("w")
    owner_board = cluster_state(at, worker("used"), worker("elsewhere"))
    occupy(owner_board, owner_board.fleet.workers["used"], "long")
    spec = step(2, gang=True) if gang else step(1)
    submit(owner_board, "a", job(spec), PERMITTED)
    waiting = step_of(owner_board, "a")
    lose(waiting, 0, "gone:1" if kind == "rests" else at.entry.address)
    allow(owner_board, waiting, "w", "used")
    planner = Planner(cluster_state=owner_board)
    placed_at, _ = rounds_until(planner, waiting, 0.0, 60.0)
    assert placed_at is not None and placed_at < 7.0, placed_at


# Guards against members of a service that wait one behind the other (LOST): each counts
# by itself, from 6 s after its last run and for 3 s.
def test_members_of_a_service_do_not_queue_for_the_yielding() -> None:
    at = resting("resting", processors=32000)
    owner_board = cluster_state(at, worker("used"), worker("elsewhere"))
    occupy(owner_board, owner_board.fleet.workers["used"], "long")
    submit(owner_board, "a", job(step(10, service=True)), PERMITTED)
    waiting = step_of(owner_board, "a")
    allow(owner_board, waiting, "resting", "used")
    planner = Planner(cluster_state=owner_board)
    now, at_work = 0.0, {}
    while now <= 20.0 and waiting.pending():
        at.update_clock(round(now * 1000), now)
        planner.plan(now=now, now_s=NOW_S + now)
        for placement in at.placements.values():
            if not placement.running:
                placement.began(now)
        at_work[round(now, 1)] = len(at.placements)
        now += ROUND_S
    assert now <= 9.0, (now, at_work)


# Guards against a step that asks for the permits of all full workers, 100 a call, and
# only then for that of an idle one that rests or is reserved (LOST).
def test_stalled_step_asks_for_permits_of_workers_with_room_first() -> None:
    used = [worker(f"u{number:03}") for number in range(250)]
    idle = [resting(f"r{number}", processors=16000) for number in range(4)]
    owner_board = cluster_state(*used, *idle)
    for at in used:
        occupy(owner_board, at, f"long-{at.name}", processors=1900)
    submit(owner_board, "a", job(step(24, processors=2400)), PERMITTED)
    waiting = step_of(owner_board, "a")
    permits = owner_board.permits_of(waiting)
    assert permits is not None
    planner = Planner(cluster_state=owner_board)
    calls: list[tuple[float, int, str]] = []
    answer: tuple[float, tuple[str, ...]] | None = None
    now = 0.0
    while now <= 3 * STALL_S and len(waiting.pending()) == 24:
        if answer is not None and answer[0] <= now:
            permits.calls_in_flight = 0
            names = answer[1]
            allowed = [each for each in names if each[0] == "r" or each[-1] in "0246"]
            tickets = tuple(Permit(worker=each, ticket="t") for each in allowed)
            permits.record_answer(names, tickets, sent_at=now)
            answer = None
        for query in planner.plan(now=now, now_s=NOW_S + now).permit_queries:
            permits.calls_in_flight = 1
            answer = (now + 0.6 + 0.005 * min(100, len(query.workers)), query.workers)
            calls.append((round(now, 1), len(query.workers), query.workers[0]))
        now += ROUND_S
    assert now <= STALL_S, (round(now, 1), calls)


# Guards against a log that names a gang's own reservation as what keeps it from room:
# it cannot be told from the reservation of another gang.
def test_own_reservation_is_no_obstacle_of_a_gang() -> None:
    owner_board = cluster_state(worker("w"), worker("used"))
    occupy(owner_board, owner_board.fleet.workers["used"], "long")
    submit(owner_board, "g", job(step(5, gang=True)), queue())
    planner = Planner(cluster_state=owner_board)
    planner.plan(now=0.0, now_s=NOW_S)
    found = planner.obstacles(step_of(owner_board, "g"), 0.0)
    assert Obstacle.RESERVED.value not in found, found


# Guards against sound tasks that return to a worker that fails everything while most of
# the pool is in use: the platform counts no wait as a loss then, and such a worker is
# always the one with room.
def test_failed_task_waits_for_other_workers_while_the_pool_is_in_use() -> None:
    bad = worker("bad")
    used = [worker(f"used-{number}") for number in range(9)]
    owner_board = cluster_state(bad, *used)
    for at in used:
        occupy(owner_board, at, f"long-{at.name}")
    submit(owner_board, "a", job(step(1)), queue(max_attempts=3))
    planner = Planner(cluster_state=owner_board)
    now, starts = 0.0, []
    while now < 6.0 and owner_board.jobs["a"].verdict is None:
        planner.plan(now=now, now_s=NOW_S + now)
        if bad.placements:
            starts.append(round(now, 1))
            fail_all(owner_board, bad, now)
        now += ROUND_S
    assert owner_board.jobs["a"].verdict is None, starts


# Guards against room that is freed at a cost and taken by others: victims were stopped
# for an urgent step, and a stalled one of lower rank takes what they leave.
def test_stalled_step_does_not_take_room_that_was_freed_for_an_urgent_one() -> None:
    at = worker("w")
    owner_board = cluster_state(at, worker("elsewhere"), worker("elsewhere-2"))
    occupy(owner_board, at, "victim", processors=3000)
    submit(owner_board, "a", job(step(1)), attrs.evolve(PERMITTED, priority=2))
    waiting = step_of(owner_board, "a")
    permits = owner_board.permits_of(waiting)
    assert permits is not None
    allow(owner_board, waiting, "w")
    planner = Planner(cluster_state=owner_board)
    submit(owner_board, "urgent", job(step(1, processors=4000)), PERMITTED)
    urgent = step_of(owner_board, "urgent")
    allow(owner_board, urgent, "w")
    preemption = owner_board.load.preemption
    preemption.for_urgent_work = True
    now = 0.0
    while now <= STALL_YIELD_S + ROUND_S:
        preemption._holds["urgent.0.0"] = _Hold(
            slots=collections.Counter({"w": 1}), until=now + 1.0
        )
        planner.plan(now=now, now_s=NOW_S + now)
        now += ROUND_S
    assert waiting.pending(), "the urgent step no longer fits once the victim has ended"


# Guards against a task that waits behind another one of its step, which avoids the
# worker with room.
@pytest.mark.parametrize("kind", ["failed", "lost"])
def test_task_does_not_wait_behind_one_that_avoids_the_worker_with_room(
    kind: str,
) -> None:
    idle = worker("idle")
    used = [worker(f"used-{number}") for number in range(2)]
    owner_board = cluster_state(idle, *used)
    for at in used:
        occupy(owner_board, at, f"long-{at.name}")
    submit(owner_board, "a", job(step(3)), queue(max_attempts=3))
    waiting = step_of(owner_board, "a")
    if kind == "failed":
        idle.failures = 1
        waiting.tasks[0].failed_on["idle"] = 0.0
    else:
        loss = LostWorker(
            attempt=1,
            worker="before",
            address=idle.entry.address,
            kind=LossKind.COINCIDENT,
        )
        waiting.ensure_losses_of(waiting.tasks[0]).add_loss(loss, 0.0)
    planner = Planner(cluster_state=owner_board)
    now = 0.0
    while now <= 12.0 and not waiting.tasks[1].worker:
        planner.plan(now=now, now_s=NOW_S + now)
        now += ROUND_S
    assert now <= 2 * ROUND_S, now


# Guards against a step that waits for an attempt of its job on a worker that is lost:
# nothing of the job runs there (LOST).
def test_attempt_on_a_silent_worker_does_not_count_as_running() -> None:
    owner_board = cluster_state(
        resting("resting"), worker("used"), worker("elsewhere"), worker("dead")
    )
    occupy(owner_board, owner_board.fleet.workers["used"], "long")
    submit(owner_board, "a", job(step(2)), PERMITTED)
    waiting = step_of(owner_board, "a")
    allow(owner_board, waiting, "resting", "used", "dead")
    dead = owner_board.fleet.workers["dead"]
    owner_board.place(waiting.tasks[0], dead, 1, now=0.0).began(0.0)
    dead.liveness = Liveness.SILENT
    planner = Planner(cluster_state=owner_board)
    now = 0.0
    while now < MAX_QUARANTINE_S and not waiting.tasks[1].worker:
        planner.plan(now=now, now_s=NOW_S + now)
        now += ROUND_S
    assert now <= STALL_S, now


# Guards against an owner that does nothing else while it looks for stalled steps: each
# of them was compared with each worker, twice a second.
def test_search_for_stalled_steps_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    workers = [worker(f"w{number}") for number in range(100)]
    owner_board = cluster_state(*workers)
    for at in workers:
        occupy(owner_board, at, f"long-{at.name}", processors=1900)
    for number in range(300):
        spec = job(step(1, processors=1000, label="missing"))
        submit(owner_board, f"s{number}", spec, queue())
    monitor = StallMonitor(cluster_state=owner_board)
    monitor.check(0.0)
    compared = 0

    def counting(spec: StepSpec, at: FleetWorker) -> bool:
        nonlocal compared
        compared += 1
        return could_run_on(spec, at)

    monkeypatch.setattr(stalls, "could_run_on", counting)
    assert not monitor.check(STALL_S)
    assert 0 < compared <= stalls.MAX_CHECKED_STEPS * len(workers)


# Guards against a job shown as failed although another of its tasks could have been
# tried: the task that failed on the worker with room is placed there first.
def test_stalled_step_places_a_task_that_has_not_failed_on_the_worker() -> None:
    bad = resting("bad")
    bad.failures = 3
    owner_board = cluster_state(bad, worker("used"), worker("elsewhere"))
    occupy(owner_board, owner_board.fleet.workers["used"], "long")
    submit(owner_board, "a", job(step(2)), PERMITTED)
    waiting = step_of(owner_board, "a")
    allow(owner_board, waiting, "bad", "used")
    waiting.tasks[0].failed_on["bad"] = 0.0
    waiting.tasks[0].failures = 2
    planner = Planner(cluster_state=owner_board)
    rounds_until(planner, waiting, 0.0, STALL_YIELD_S + ROUND_S)
    assert placed(owner_board)["bad"] == ["a.0.0.1"]


# Guards against reserved room that is taken at once: a step has not been considered for
# a while, and its time counts from the last time that it was.
def test_time_at_the_quota_does_not_count_as_stalled() -> None:
    workers = [worker(name) for name in ("reserved", "used", "elsewhere")]
    owner_board = cluster_state(*workers)
    occupy(owner_board, workers[1], "long")
    occupy(owner_board, workers[0], "short", processors=4000)
    owner_board.accept(
        "a", attrs.evolve(PERMITTED, priority=2), job(step(1)), workspace="ws"
    )
    waiting = step_of(owner_board, "a")
    allow(owner_board, waiting, "reserved", "used")
    planner = Planner(cluster_state=owner_board)
    planner.plan(now=0.0, now_s=NOW_S)
    owner_board.quotas.quotas = lambda: None
    planner.plan(now=5.0, now_s=NOW_S + 5.0)
    owner_board.quotas.quotas = dict
    submit(owner_board, "g", job(step(5, gang=True)), PERMITTED)
    allow(owner_board, step_of(owner_board, "g"), "reserved", "used")
    (short,) = list(workers[0].placements.values())
    owner_board.give_up(workers[0], short, "ended")
    del owner_board.waiting["short.0.0"]
    planner.plan(now=10.0, now_s=NOW_S + 10.0)
    assert waiting.pending()


# Guards against a wait that no log shows (LOST): a lasting task waits beside room while
# others of its job run.
def test_waiting_member_of_a_service_is_reported_as_stalled() -> None:
    at = worker("w")
    owner_board = cluster_state(at, worker("idle"))
    submit(owner_board, "s", job(step(2, service=True)), queue())
    waiting = step_of(owner_board, "s")
    owner_board.place(waiting.tasks[0], at, 1, now=0.0).began(0.0)
    monitor = StallMonitor(cluster_state=owner_board)
    found = [stall for now in range(20) for stall in monitor.check(float(now))]
    assert found


# Guards against a wait that no log shows (LOST): the workspace of the job has a quota
# and uses nothing of it.
def test_step_below_its_quota_is_reported_as_stalled() -> None:
    owner_board = cluster_state(worker("w"))
    quota = Amounts(processors=100_000, memory_mb=100_000)
    owner_board.quotas.quotas = lambda: {"ws": quota}
    owner_board.accept("a", queue(), job(step(1)), workspace="ws")
    monitor = StallMonitor(cluster_state=owner_board)
    found = [stall for now in range(20) for stall in monitor.check(float(now))]
    assert found


# Guards against a wait that no log shows (LOST): the step never asks for the permits of
# idle workers.
def test_step_that_asks_for_no_permits_is_reported_as_stalled() -> None:
    owner_board = cluster_state(worker("w"), worker("v"))
    submit(owner_board, "a", job(step(1)), PERMITTED)
    monitor = StallMonitor(cluster_state=owner_board)
    found = [stall for now in range(20) for stall in monitor.check(float(now))]
    assert found


# Guards against a wait of 3 s of which the log names no reason: the line comes when the
# step begins to wait, without counts, and again after 10 s.
def test_counts_of_obstacles_are_logged_within_a_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[events.StepWaiting] = []
    monkeypatch.setattr("cranberrycleat.workflow.decisions.planner.emit", lines.append)
    owner_board = cluster_state(worker("w"))
    occupy(owner_board, owner_board.fleet.workers["w"], "long")
    submit(owner_board, "a", job(step(1)), queue())
    planner = Planner(cluster_state=owner_board)
    rounds_until(planner, step_of(owner_board, "a"), 0.0, STALL_S)
    counts = [each.obstacles for each in lines if isinstance(each, events.StepWaiting)]
    assert any(counts), counts


# Guards against a stalled step that is left behind precautions since most of the pool
# is reserved by attempts that have not begun: nothing is in use there (LOST).
def test_attempts_that_have_not_begun_do_not_count_as_use() -> None:
    others = [worker(f"other-{number}") for number in range(4)]
    owner_board = cluster_state(resting("resting"), worker("used"), *others)
    occupy(owner_board, owner_board.fleet.workers["used"], "long")
    submit(owner_board, "g", job(step(4, processors=4000, gang=True)), queue())
    submit(owner_board, "a", job(step(1)), PERMITTED)
    waiting = step_of(owner_board, "a")
    allow(owner_board, waiting, "resting", "used")
    planner = Planner(cluster_state=owner_board)
    placed_at, _ = rounds_until(planner, waiting, 0.0, STALL_S)
    assert not any(each.running for at in others for each in at.placements.values())
    assert placed_at is not None


# Guards against a log that says "has room" of a worker that no pending task is given:
# counts looked at all pending tasks together, placing looks at one after the other.
def test_worker_that_the_next_task_avoids_is_counted_as_excluded() -> None:
    bad, other = worker("bad"), worker("other")
    owner_board = cluster_state(bad, other)
    occupy(owner_board, other, "long")
    submit(owner_board, "a", job(step(6)), queue(max_attempts=3))
    waiting = step_of(owner_board, "a")
    bad.failures = 1
    for task in waiting.tasks:
        task.failed_on["bad"] = 0.0
    planner = Planner(cluster_state=owner_board)
    planner.plan(now=ROUND_S, now_s=NOW_S)
    assert not placed(owner_board)["bad"]
    found = planner.obstacles(waiting, ROUND_S)
    assert found == {Obstacle.EXCLUDED.value: 1, Obstacle.IN_USE.value: 1}


# Guards against jobs that wait one behind the other for a resting worker with room for
# all of them (LOST): each counts by itself.
def test_stalled_jobs_do_not_queue_for_a_resting_worker() -> None:
    at = resting("resting", processors=16000)
    owner_board = cluster_state(at, worker("used"), worker("e1"), worker("e2"))
    occupy(owner_board, owner_board.fleet.workers["used"], "long")
    for number in range(5):
        submit(owner_board, f"j{number}", job(step(1)), PERMITTED)
        allow(owner_board, step_of(owner_board, f"j{number}"), "resting", "used")
    planner = Planner(cluster_state=owner_board)
    now = 0.0
    began: dict[str, float] = {}
    while now < 20.0 and len(began) < 5:
        at.update_clock(round(now * 1000), now)
        planner.plan(now=now, now_s=NOW_S + now)
        for placement in at.placements.values():
            if not placement.running:
                placement.began(now)
                began[placement.task] = round(now, 1)
        now += ROUND_S
    assert max(began.values()) <= STALL_S, began


def _leaving(at: FleetWorker) -> None:
    at.update(attrs.evolve(at.entry, leaving=True))


def _held(at: FleetWorker) -> None:
    at.hold(float("inf"))


def _silent(at: FleetWorker) -> None:
    at.liveness = Liveness.SILENT


def _unlisted(at: FleetWorker) -> None:
    at.listed = False


def _in_silent_data_centre(at: FleetWorker) -> None:
    at.unresponsive = True


def _misses_orders(at: FleetWorker) -> None:
    at.orders_unanswered_until = float("inf")


def _isolates(at: FleetWorker) -> None:
    at.isolated_attempt = next(iter(at.placements.values()))


# Guards against placements that break a rule (DRAIN, LIMIT, TWICE): only precautions
# after failures yield, whatever else keeps a worker from work.
@pytest.mark.parametrize("rests", [False, True], ids=["schedulable", "resting"])
@pytest.mark.parametrize(
    "mark",
    [
        _leaving,
        _held,
        _silent,
        _unlisted,
        _in_silent_data_centre,
        _misses_orders,
        _isolates,
    ],
)
def test_stalled_step_is_not_placed_on_unavailable_worker(
    mark: Callable[[FleetWorker], None], rests: bool
) -> None:
    at = resting("w") if rests else worker("w")
    owner_board = cluster_state(at, worker("e1"), worker("e2"))
    occupy(owner_board, at, "small", processors=100)
    mark(at)
    submit(owner_board, "a", job(step(1)), PERMITTED)
    allow(owner_board, step_of(owner_board, "a"), "w")
    planner = Planner(cluster_state=owner_board)
    placed_at, _ = rounds_until(
        planner, step_of(owner_board, "a"), 0.0, MAX_QUARANTINE_S - ROUND_S
    )
    assert placed_at is None


# Guards against starts that the permit service or the step's limit forbids (ROUTE).
@pytest.mark.parametrize("kind", ["no permit", "limit a worker"])
def test_stalled_step_keeps_to_permits_and_limits(kind: str) -> None:
    at = resting("w", processors=16000)
    owner_board = cluster_state(at, worker("e1"), worker("e2"))
    limited = step(3, gang=True, most_per_worker=2)
    spec = limited if kind == "limit a worker" else step(1)
    submit(owner_board, "a", job(spec), PERMITTED)
    waiting = step_of(owner_board, "a")
    permits = owner_board.permits_of(waiting)
    assert permits is not None
    names = ("w", "e1", "e2")
    tickets = (Permit(worker="w", ticket="t"),) if kind == "limit a worker" else ()
    permits.record_answer(names, tickets, sent_at=0.0)
    planner = Planner(cluster_state=owner_board)
    placed_at, _ = rounds_until(planner, waiting, 0.0, MAX_QUARANTINE_S - ROUND_S)
    assert placed_at is None


# Guards against precautions that are given up where the platform counts no stall: half
# of the pool is in use, or something of the job runs.
@pytest.mark.parametrize("kind", ["pool in use", "another task runs"])
def test_precautions_hold_where_nothing_counts_as_stalled(kind: str) -> None:
    at = resting("w")
    owner_board = cluster_state(at, worker("used"), worker("e1"))
    occupy(owner_board, owner_board.fleet.workers["used"], "long")
    submit(owner_board, "a", job(step(2)), PERMITTED)
    waiting = step_of(owner_board, "a")
    allow(owner_board, waiting, "w", "used")
    if kind == "pool in use":
        occupy(owner_board, owner_board.fleet.workers["e1"], "longer")
    else:
        other = owner_board.fleet.workers["e1"]
        owner_board.place(waiting.tasks[0], other, 1, now=0.0).began(0.0)
    planner = Planner(cluster_state=owner_board)
    rounds_until(planner, waiting, 0.0, MAX_QUARANTINE_S - ROUND_S)
    assert not placed(owner_board)["w"]


# Guards against a workspace beyond its quota: all waiting members of a stalled service
# are placed at a time.
def test_stalled_service_keeps_to_quota_of_its_workspace() -> None:
    owner_board = cluster_state(resting("w", processors=16000))
    quota = Amounts(processors=3000, memory_mb=100_000)
    owner_board.quotas.quotas = lambda: {"ws": quota}
    owner_board.accept("s", queue(), job(step(8, service=True)), workspace="ws")
    planner = Planner(cluster_state=owner_board)
    rounds_until(planner, step_of(owner_board, "s"), 0.0, STALL_S)
    assert len(placed(owner_board)["w"]) == 3
