"""Tests of the cost and the outcome of placing steps of many tasks.

Observed failure: a step of 1,000 tasks with a limit per worker blocked each owner for
longer than its lease, so that hosts took over from each other and nothing ran.
"""

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.crash_attribution import LossKind, LostWorker
from cranberrycleat.workflow.decisions import isolation
from cranberrycleat.workflow.decisions.planner import (
    MAX_ROUND_WORK,
    PLACEMENT_WORK,
    Plan,
    PlannedGroup,
    Planner,
)
from cranberrycleat.workflow.dispatcher import without
from cranberrycleat.workflow.fleet import FleetWorker, Placement, reserved_resources
from cranberrycleat.workflow.state import StepRun, Task
from tests.cell import job, queue, step
from tests.test_planner import NOW_S, cluster_state, placed, plan, submit, worker

TASKS, WORKERS, LIMIT = 300, 60, 5


class CountingTasks(list[Task]):
    """The tasks of a step; counts how many were looked at one after the other."""

    looks = 0

    def __iter__(self):  # type: ignore[no-untyped-def]
        CountingTasks.looks += len(self)
        return super().__iter__()


def board_with_room(workers: int = WORKERS) -> ClusterState:
    """Return a board whose workers hold 40 small tasks each."""
    return cluster_state(*(worker(f"w{number:03}") for number in range(workers)))


# Guards against an owner that is blocked for longer than its lease (LOST).
@pytest.mark.parametrize("limit", [0, LIMIT], ids=["no limit", "limit per worker"])
def test_cost_of_wide_step_is_linear(
    monkeypatch: pytest.MonkeyPatch, limit: int
) -> None:
    """It grows with tasks plus workers, not with their product."""
    comparisons = 0
    fits_in = Amounts.fits_in

    def counting(self: Amounts, free: Amounts) -> bool:
        nonlocal comparisons
        comparisons += 1
        return fits_in(self, free)

    owner_board = board_with_room()
    submit(owner_board, "a", job(step(TASKS, 100, most_per_worker=limit)), queue())
    (wide,) = owner_board.jobs["a"].open[0].steps
    wide.tasks = CountingTasks(wide.tasks)
    monkeypatch.setattr(CountingTasks, "looks", 0)
    monkeypatch.setattr(Amounts, "fits_in", counting)
    plan(owner_board)
    assert all(task.worker for task in wide.tasks)
    assert comparisons < 5 * (TASKS + WORKERS)
    assert CountingTasks.looks < 20 * TASKS


def test_long_round_continues_with_the_next() -> None:
    """Guards against a round that takes longer than the owner's lease (LOST)."""
    tasks = 2 * MAX_ROUND_WORK // PLACEMENT_WORK
    owner_board = board_with_room()
    submit(owner_board, "wide", job(step(tasks, 100)), queue())
    submit(owner_board, "next", job(step(1, 100)), queue(priority=1))
    planner = Planner(cluster_state=owner_board)
    first = planner.plan(now=1.0, now_s=NOW_S)
    assert 0 < sum(len(each.placements) for each in first.groups) < tasks
    assert first.retry_at == 1.0
    assert not owner_board.jobs["next"].started
    for _ in range(2):
        planner.plan(now=1.0, now_s=NOW_S)
    assert owner_board.jobs["next"].started
    assert sum(len(each) for each in placed(owner_board).values()) == tasks + 1


def test_task_ended_between_rounds_is_not_counted() -> None:
    """Guards against a step that waits beside workers that it may use again (LOST)."""
    owner_board = board_with_room(1)
    submit(owner_board, "a", job(step(2, 100, most_per_worker=1)), queue())
    planner = Planner(cluster_state=owner_board)
    planner.plan(now=0.0, now_s=NOW_S)
    (only,) = owner_board.fleet.workers.values()
    (waiting,) = owner_board.jobs["a"].open[0].steps
    assert planner.obstacles(waiting, 0.0) == {
        "holds as many of its tasks as it may": 1
    }
    (placement,) = only.placements.values()
    owner_board.give_up(only, placement, "lost")
    assert planner.obstacles(waiting, 0.0) == {"has room": 1}


class CountingPair(tuple[FleetWorker, Placement]):
    """A placement with its worker; counts comparisons with others."""

    comparisons = 0

    def __eq__(self, other: object) -> bool:
        CountingPair.comparisons += 1
        return super().__eq__(other)

    __hash__ = None  # type: ignore[assignment]


# Guards against an owner that is blocked while the starts of a wide step are sent.
def test_sent_placements_are_removed_without_comparing_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    at = worker("w")
    pairs: list[tuple[FleetWorker, Placement]] = [
        CountingPair(
            (
                at,
                Placement(task=f"t{each}", attempt=1, needs=NOTHING, tracked_task=None),
            )
        )
        for each in range(100)
    ]
    monkeypatch.setattr(CountingPair, "comparisons", 0)
    left = without(list(pairs), pairs[10:])
    assert [placement.task for _, placement in left] == [f"t{n}" for n in range(10)]
    assert CountingPair.comparisons == 0


class ChoosingAnew(Planner):
    """Chooses among all workers anew for each task."""

    def _place_single(
        self,
        step: StepRun,
        tasks: list[Task],
        candidates: list[FleetWorker],
        now: float,
        plan: Plan,
    ) -> bool:
        needs = reserved_resources(step.spec)
        limit = step.spec.most_per_worker
        group = PlannedGroup(step=step)
        for task in tasks:
            if not self._count_within_quota(step):
                break
            fitting = [
                each
                for each in self._exclude_failed_workers(step, [task], candidates, now)
                if needs.fits_in(self._unreserved(each))
                and each.may_accept_work(now)
                and (not limit or _tasks_on(step, each) < limit)
            ]
            record = isolation.record_for(task)
            if record is not None:
                failures = self.cluster_state.fleet.worker_failures
                fitting = isolation.candidates_for(record, fitting, failures, now)
            if not fitting:
                continue
            best = min(fitting, key=lambda each: self._preference(step, each))
            self._place(step, task, best, step.last_attempt + 1, now, group)
        if group.placements:
            plan.groups.append(group)
        return bool(group.placements)


def _tasks_on(step: StepRun, worker: FleetWorker) -> int:
    return sum(task.worker == worker.name for task in step.tasks)


@attrs.frozen(kw_only=True)
class StepCase:
    """One step of a board: its shape, and which tasks failed or were lost where."""

    tasks: int
    processors: int
    limit: int
    service: bool
    gang: bool
    failed: dict[int, int]
    lost: dict[int, int]


@attrs.frozen(kw_only=True)
class WorkerCase:
    """One worker of a board."""

    processors: int
    probed: bool
    failures: int


STEP_CASES = st.builds(
    StepCase,
    tasks=st.integers(1, 8),
    processors=st.sampled_from((0, 100, 700, 1000, 2500)),
    limit=st.integers(0, 3),
    service=st.booleans(),
    gang=st.sampled_from((False, False, True)),
    failed=st.dictionaries(st.integers(0, 7), st.integers(0, 5), max_size=3),
    lost=st.dictionaries(st.integers(0, 7), st.integers(0, 5), max_size=2),
)
WORKER_CASES = st.builds(
    WorkerCase,
    processors=st.sampled_from((1000, 2500, 4000)),
    probed=st.sampled_from((False, False, True)),
    failures=st.integers(0, 1),
)


def _board(workers: list[WorkerCase], steps: list[StepCase]) -> ClusterState:
    found = []
    for number, case in enumerate(workers):
        each = worker(f"w{number}", processors=case.processors)
        each.is_probed, each.failures = case.probed, case.failures
        found.append(each)
    owner_board = cluster_state(*found)
    for number, shape in enumerate(steps):
        spec = step(
            shape.tasks,
            shape.processors,
            most_per_worker=shape.limit,
            service=shape.service,
            gang=shape.gang,
        )
        submit(owner_board, f"j{number}", job(spec), queue(max_attempts=9))
        (run,) = owner_board.jobs[f"j{number}"].open[0].steps
        for index, at in shape.failed.items():
            run.tasks[index % shape.tasks].failed_on[f"w{at}"] = 0.0
        for index, at in shape.lost.items():
            loss = LostWorker(
                attempt=1,
                worker=f"before-{at}",
                address=f"w{at}:1",
                kind=LossKind.CRASH,
            )
            run.ensure_losses_of(run.tasks[index % shape.tasks]).add_loss(loss, 0.0)
    return owner_board


def _placements(owner_board: ClusterState) -> list[tuple[str, int, str]]:
    return sorted(
        (each.task, each.attempt, at.name)
        for at in owner_board.fleet.workers.values()
        for each in at.placements.values()
    )


@given(
    workers=st.lists(WORKER_CASES, min_size=1, max_size=6),
    steps=st.lists(STEP_CASES, min_size=1, max_size=4),
    now=st.sampled_from((0.0, 5.0, 30.0)),
)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_workers_are_the_same_as_if_chosen_anew_for_each_task(
    workers: list[WorkerCase], steps: list[StepCase], now: float
) -> None:
    """Guards against a worker chosen by what was true before the last placement."""
    outcomes = []
    for kind in (Planner, ChoosingAnew):
        owner_board = _board(workers, steps)
        for later in (0.0, 2.0):
            kind(cluster_state=owner_board).plan(now=now + later, now_s=NOW_S)
        outcomes.append(_placements(owner_board))
    assert outcomes[0] == outcomes[1]
