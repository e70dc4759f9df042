"""Tests of the choice between workers of different speeds."""

import attrs
import pytest

from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions import progress
from cranberrycleat.workflow.decisions.load_control import LoadControl
from cranberrycleat.workflow.decisions.runtime_estimates import RuntimeEstimates
from cranberrycleat.workflow.decisions.speed_choice import (
    ANY_CLASS,
    NO_CLASS,
    SpeedNeed,
    slowest_class_for_gang,
    speed_need,
)
from cranberrycleat.workflow.decisions.speed_model import SpeedModel
from cranberrycleat.workflow.ports import (
    EndedTask,
    EndKind,
    PermitTiming,
    Queue,
    SyncReply,
)
from cranberrycleat.workflow.spec import StepSpec
from tests.cell import job, queue, step
from tests.test_planner import NOW_S, cluster_state, placed, plan, worker
from tests.test_speed_model import play

URGENT = queue(stretch=1.5, objective_s=0.25, priority=0)
PATIENT = queue(stretch=4.0, objective_s=3.0, priority=2)
SPEEDS = (0.6, 1.0, 1.6)


def board(*, learned: bool = True, even: bool = False) -> ClusterState:
    """Return a board with six workers, w0 to w5; each third one is of one speed."""
    owner_board = cluster_state(*(worker(f"w{number}") for number in range(6)))
    if learned:
        speeds = [1.0] * 6 if even else list(SPEEDS) * 2
        variation = 0.3 if even else 0.15
        model, _, _ = play(speeds, ends_per_worker=40, variation=variation)
        owner_board.load = LoadControl(speeds=model, estimates=RuntimeEstimates())
    return owner_board


def used_speeds(owner_board: ClusterState) -> list[float]:
    """Return the speed of the worker of each placed task, slowest first."""
    return sorted(
        SPEEDS[int(name[1:]) % 3]
        for name, tasks in placed(owner_board).items()
        for _ in tasks
    )


SHORT = step(2, estimate_s=0.85)
LONG = step(2, estimate_s=2.9)


@pytest.mark.parametrize(
    ("spec", "at", "waited_s", "changes", "expected"),
    [
        (SHORT, URGENT, 0.0, {}, [1.0] * 2),
        (SHORT, URGENT, 0.4, {}, [1.6] * 2),
        (SHORT, URGENT, 1.4, {}, [1.6] * 2),
        (SHORT, URGENT, 60.0, {}, [0.6] * 2),
        (SHORT, URGENT, 0.0, {"count": 9}, [1.0] * 8 + [1.6]),
        (SHORT, URGENT, 0.0, {"gang": True}, [1.0] * 2),
        (SHORT, URGENT, 1.4, {"count": 12, "gang": True}, [1.0] * 8 + [1.6] * 4),
        (LONG, PATIENT, 0.0, {}, [0.6] * 2),
        (LONG, PATIENT, 10.5, {}, [1.0] * 2),
        (LONG, PATIENT, 0.0, {"count": 9}, [0.6] * 8 + [1.0]),
        (LONG, PATIENT, 0.0, {"gang": True}, [0.6] * 2),
        (LONG, PATIENT, 0.0, {"count": 16, "gang": True}, [0.6] * 8 + [1.0] * 8),
    ],
    ids="suffices less-slack none-suffices no-value full gang late-gang "
    "patient little-slack slow-are-full patient-gang wide-gang".split(),
)
def test_step_goes_to_slowest_workers_that_suffice(
    spec: StepSpec,
    at: Queue,
    waited_s: float,
    changes: dict[str, object],
    expected: list[float],
) -> None:
    """Guards against urgent steps on slow workers, and patient ones on fast workers."""
    owner_board = board()
    changed = attrs.evolve(spec, **changes)  # type: ignore[arg-type]
    owner_board.accept("j", at, job(changed))
    plan(owner_board, now_s=NOW_S + waited_s)
    assert used_speeds(owner_board) == expected


@pytest.mark.parametrize(
    ("fits", "least", "count", "expected"),
    [
        ({-2: 4, 0: 1, 2: 4}, ANY_CLASS, 4, -2),
        ({-2: 1, 0: 4, 2: 4}, ANY_CLASS, 4, 0),
        ({-2: 4, 2: 4}, NO_CLASS, 4, 2),
        ({-2: 4}, ANY_CLASS, 5, None),
    ],
)
def test_slowest_worker_of_gang(
    fits: dict[int, int], least: int, count: int, expected: int | None
) -> None:
    """Guards against gangs of unlike speed, in which fast workers are wasted."""
    need = SpeedNeed(least_class=least, expected_s=1.0, left_s=1.0)
    assert slowest_class_for_gang(need, fits, count) == expected


def test_permits_are_requested_on_fast_enough_workers() -> None:
    """Guards against permits for slow workers, which an urgent step cannot use."""
    permits = PermitTiming(decide_s=0.01, each_s=0.0, valid_s=1.5)
    owner_board = board()
    owner_board.accept("j", attrs.evolve(URGENT, permits=permits), job(SHORT))
    (query,) = plan(owner_board).permit_queries
    assert SPEEDS[int(query.workers[0][1:]) % 3] == 1.0


def test_plan_is_identical_where_speeds_are_equal_or_unknown() -> None:
    """Guards against noise in learned speeds that moves work to other workers."""
    plans = []
    for case in ("off", "unknown", "equal"):
        owner_board = board(learned=case != "off", even=True)
        if case == "unknown":
            owner_board.load.speeds = SpeedModel()
        for number in range(12):
            spec = step(1 + number % 4, 500 + 300 * (number % 3), gang=not number % 3)
            owner_board.accept(f"j{number}", (URGENT, PATIENT)[number % 2], job(spec))
        groups = plan(owner_board).groups
        plans.append([[(w.name, p.task) for w, p in g.placements] for g in groups])
    assert plans[0] == plans[1] == plans[2] != []
    speeds, workers = owner_board.load.speeds, owner_board.fleet.workers.values()
    assert speeds is not None and any(map(speeds.speed_class, workers)), "no noise"


@pytest.mark.parametrize(
    ("number", "after_s", "expected"),
    [(0, 1.5, False), (0, 2.3, True), (1, 1.5, True), (2, 1.3, True)],
    ids="slow slow-stalled normal fast".split(),
)
def test_stall_is_judged_by_own_speed(
    number: int, after_s: float, expected: bool
) -> None:
    """Guards against a slow worker taken for a stalled one, whose tasks are stopped."""
    owner_board = board()
    judged = owner_board.fleet.workers[f"w{number}"]
    owner_board.accept("j", URGENT, job(step(1)))
    (task,) = owner_board.jobs["j"].open[0].steps[0].tasks
    owner_board.place(task, judged, 1, now=0.0).began(0.0)
    speed = owner_board.load.speed_of(judged)
    assert progress.is_stalled(judged, after_s, speed) is expected


def test_ended_gang_corrects_estimate_at_speed_of_slowest_member() -> None:
    """Guards against wide jobs that seem longer because one member ran slowly."""
    owner_board = board()
    workers = [owner_board.fleet.workers[name] for name in ("w0", "w2", "w1", "w5")]
    for number in range(8):
        spec = step(len(workers), 100, estimate_s=1.0, gang=True)
        owner_board.accept(f"j{number}", PATIENT, job(spec))
        tasks = owner_board.jobs[f"j{number}"].open[0].steps[0].tasks
        for each, task in zip(workers, tasks, strict=True):
            owner_board.place(task, each, 1, now=0.0).began(0.0)
        for each, task in zip(workers, tasks, strict=True):
            end = EndedTask(
                number=number + 1, task=task.name, attempt=1, how=EndKind.DONE, saved=""
            )
            reply = SyncReply(worker_time_ms=1, running=(), ended=(end,))
            owner_board.sync(each, reply, sent_at=-1.0, now=2.0)
    estimates = owner_board.load.estimates
    assert estimates is not None
    expected_s = estimates.expected_s("q", step(estimate_s=1.0))
    assert expected_s == pytest.approx(2.0 * 0.6, rel=0.2)


# Guards against a step that resumes too late because its restore time is not counted.
@pytest.mark.parametrize(("saved", "restore_s"), [("", 0.6), ("x", 0.1), ("x", 0.6)])
def test_restore_time_counts_for_steps_that_resume(
    saved: str, restore_s: float
) -> None:
    owner_board = board(learned=False)
    owner_board.accept("a", URGENT, job(SHORT))
    (resumed,) = owner_board.jobs["a"].open[0].steps
    needs = [speed_need(resumed, None, 0.0, NOW_S).least_class]
    resumed.tasks[0].saved = saved
    needs.append(speed_need(resumed, None, restore_s, NOW_S).least_class)
    assert (needs[1] > needs[0]) == (bool(saved) and restore_s > 0.3)
