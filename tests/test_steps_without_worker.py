"""Tests that steps which cannot be placed do not keep a round from those which can.

Observed failure: 420 lasting tasks waited for a label whose workers were gone. A round
considered the 400 steps that rank first, all of them among these, and short jobs were
never started beside 21 idle workers.
"""

import itertools
from collections.abc import Callable

import attrs
import pytest

from cranberrycleat import events
from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions import planner as planning
from cranberrycleat.workflow.decisions.planner import (
    NO_ELIGIBLE_WORKER,
    WAIT_LOG_INTERVAL_S,
    Planner,
)
from cranberrycleat.workflow.decisions.round_scan import MAX_STEPS_SCANNED
from cranberrycleat.workflow.decisions.stalls import STALL_YIELD_S
from cranberrycleat.workflow.fleet import FleetWorker, Liveness
from cranberrycleat.workflow.ports import Permit, PermitTiming, Queue
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import StepRun
from tests.cell import job, queue, step
from tests.test_planner import NOW_S, cluster_state, plan, submit, worker

ROUND_S = 0.2
"""The owner plans at least this often while anything waits."""
STEPS = MAX_STEPS_SCANNED + 20
RARE = "rare"
POLICY = PermitTiming(decide_s=0.1, each_s=0.0, valid_s=60.0)
PERMITTED = queue(name="p", permits=POLICY)


def labelled(name: str, *labels: str) -> FleetWorker:
    """Return a live worker with some labels."""
    found = worker(name)
    found.update(attrs.evolve(found.entry, labels=labels))
    return found


def submit_many(
    owner_board: ClusterState,
    spec: StepSpec,
    at: Queue | None = None,
    *,
    workspaces: bool = False,
    steps: int = STEPS,
) -> list[StepRun]:
    """Submit a job of one step many times; return the steps."""
    for number in range(steps):
        workspace = f"workspace-{number % 9}" if workspaces else ""
        owner_board.accept(f"a{number}", at or queue(), job(spec), workspace=workspace)
    return [owner_board.jobs[f"a{number}"].open[0].steps[0] for number in range(steps)]


def submit_short(owner_board: ClusterState) -> Callable[[], bool]:
    """Submit a short job of lowest rank; return whether it was placed."""
    submit(owner_board, "short", job(step(1)), queue(priority=9))
    return lambda: owner_board.jobs["short"].started


@pytest.mark.parametrize("workspaces", [False, True])
@pytest.mark.parametrize("lasting", [False, True])
@pytest.mark.parametrize(
    "spec",
    [step(1, label=RARE), step(1, processors=5000), step(2, label=RARE, gang=True)],
    ids=["label", "capacity", "gang"],
)
def test_steps_without_worker_do_not_exhaust_a_round(
    spec: StepSpec, lasting: bool, workspaces: bool
) -> None:
    """Guards against a job that is never started beside idle workers (LOST)."""
    owner_board = cluster_state(worker("w"))
    spec = attrs.evolve(spec, service=lasting)
    submit_many(owner_board, spec, workspaces=workspaces, steps=1000)
    is_placed = submit_short(owner_board)
    plan(owner_board)
    assert is_placed()


def _in_use(owner_board: ClusterState) -> list[StepRun]:
    """Have many steps wait for the label of a worker that is in use."""
    full = labelled("full", RARE)
    owner_board.fleet.workers["full"] = full
    submit(owner_board, "long", job(step(1, processors=4000)), queue())
    (long,) = owner_board.jobs["long"].open[0].steps[0].tasks
    owner_board.place(long, full, 1, now=0.0)
    return submit_many(owner_board, step(1, label=RARE, service=True))


def _refused(owner_board: ClusterState) -> list[StepRun]:
    """Have many steps wait that the permit service allows on no worker."""
    steps = submit_many(owner_board, step(1, service=True), PERMITTED)
    for each in steps:
        permits = owner_board.permits_of(each)
        assert permits is not None
        permits.record_answer(("w",), (), sent_at=0.0)
    return steps


def _asking(owner_board: ClusterState) -> list[StepRun]:
    """Have many steps wait for the answer of the permit service."""
    steps = submit_many(owner_board, step(1, service=True), PERMITTED)
    for each in steps:
        permits = owner_board.permits_of(each)
        assert permits is not None
        permits.calls_in_flight = 1
    return steps


def _permitted_where_in_use(owner_board: ClusterState) -> list[StepRun]:
    """Have many steps wait that are permitted on a worker in use only."""
    steps = _in_use(owner_board)
    for each in steps:
        owner_board.cancel(each.job.job_id)
        del owner_board.jobs[each.job.job_id]
    steps = submit_many(owner_board, step(1, service=True), PERMITTED)
    for each in steps:
        permits = owner_board.permits_of(each)
        assert permits is not None
        ticket = Permit(worker="full", ticket="t")
        permits.record_answer(("w", "full"), (ticket,), sent_at=0.0)
    return steps


def _held_back(owner_board: ClusterState) -> list[StepRun]:
    """Have many steps wait until they may be tried again."""
    steps = submit_many(owner_board, step(1, service=True))
    for each in steps:
        each.tasks[0].not_before = 1000.0
    return steps


@pytest.mark.parametrize(
    "block", [_in_use, _refused, _asking, _permitted_where_in_use, _held_back]
)
def test_steps_that_cannot_start_do_not_exhaust_a_round(
    block: Callable[[ClusterState], list[StepRun]],
) -> None:
    """Guards against the same where workers exist that may not be used at present."""
    owner_board = cluster_state(worker("w"))
    steps = block(owner_board)
    is_placed = submit_short(owner_board)
    plan(owner_board)
    assert is_placed()
    assert not any(each.tasks[0].worker for each in steps)


def _join(owner_board: ClusterState) -> None:
    owner_board.fleet.add(labelled("new", RARE))


def _change_label(owner_board: ClusterState) -> None:
    only = owner_board.fleet.workers["w"]
    only.update(attrs.evolve(only.entry, labels=(RARE,)))


def _grow(owner_board: ClusterState) -> None:
    small = owner_board.fleet.workers["small"]
    grown = Amounts(processors=4000, memory_mb=4000)
    small.update(attrs.evolve(small.entry, capacity=grown))


def _answer(owner_board: ClusterState) -> None:
    owner_board.fleet.workers["silent"].liveness = Liveness.LIVE


@pytest.mark.parametrize("permits", [False, True])
@pytest.mark.parametrize("change", [_join, _change_label, _grow, _answer])
def test_step_is_found_once_a_worker_could_run_it(
    change: Callable[[ClusterState], None], permits: bool
) -> None:
    """Guards against a step that is left out of rounds although it has a worker."""
    small = labelled("small", RARE)
    small.update(attrs.evolve(small.entry, capacity=Amounts(processors=10)))
    silent = labelled("silent", RARE)
    silent.liveness = Liveness.SILENT
    owner_board = cluster_state(worker("w"), small, silent)
    steps = submit_many(
        owner_board, step(1, 100, label=RARE), PERMITTED if permits else None, steps=3
    )
    planner = Planner(cluster_state=owner_board)
    for number in range(2):
        found = planner.plan(now=ROUND_S * number, now_s=NOW_S)
        assert not found.groups and not found.permit_queries
    change(owner_board)
    found = planner.plan(now=ROUND_S * 2, now_s=NOW_S)
    if permits:
        assert {each.step for each in found.permit_queries} == set(steps)
    else:
        assert {each.step for each in found.groups} == set(steps)


# Guards against a step that waits beside room (LOST): its only worker rests after
# failures, which keeps no step from it that has waited for `STALL_YIELD_S`.
def test_step_whose_only_worker_rests_is_considered() -> None:
    resting = labelled("resting", RARE)
    resting.quarantined_until = 100.0
    owner_board = cluster_state(worker("w"), resting)
    (waiting,) = submit_many(owner_board, step(1, label=RARE), steps=1)
    planner = Planner(cluster_state=owner_board)
    for now in (0.0, STALL_YIELD_S):
        planner.plan(now=now, now_s=NOW_S)
    assert waiting.tasks[0].worker == "resting"


def test_steps_without_worker_are_logged_as_often_as_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each is reported soon after it began to wait, and then once an interval."""
    logged: list[tuple[float, str, str]] = []
    now = 0.0

    def record(event: object) -> None:
        if isinstance(event, events.StepHopeless):
            logged.append((now, event.step, event.reason))

    monkeypatch.setattr(planning, "emit", record)
    owner_board = cluster_state(worker("w"))
    steps = submit_many(owner_board, step(1, label=RARE))
    planner = Planner(cluster_state=owner_board)
    for number in range(round(2.5 * WAIT_LOG_INTERVAL_S / ROUND_S)):
        now = ROUND_S * number
        planner.plan(now=now, now_s=NOW_S)
    times: dict[str, list[float]] = {}
    for at, name, reason in logged:
        assert reason == NO_ELIGIBLE_WORKER
        times.setdefault(name, []).append(at)
    assert times.keys() == {each.name for each in steps}
    assert all(len(each) in (2, 3) for each in times.values())
    for each in times.values():
        gaps = [after - before for before, after in itertools.pairwise(each)]
        assert min(gaps) >= WAIT_LOG_INTERVAL_S - 1e-6
        assert each[0] < WAIT_LOG_INTERVAL_S / 2


@pytest.mark.parametrize("lasting", [False, True])
def test_round_does_no_work_for_steps_without_worker(
    monkeypatch: pytest.MonkeyPatch, lasting: bool
) -> None:
    """The work of a round does not grow with the number of such steps."""
    comparisons = 0
    fits_in = Amounts.fits_in
    pending = StepRun.pending

    def counting_fits(self: Amounts, free: Amounts) -> bool:
        nonlocal comparisons
        comparisons += 1
        return fits_in(self, free)

    def counting_pending(self: StepRun) -> list[object]:
        nonlocal comparisons
        comparisons += len(self.tasks)
        return pending(self)  # type: ignore[return-value]

    owner_board = cluster_state(worker("w"))
    submit_many(owner_board, step(1, label=RARE, service=lasting), steps=5000)
    planner = Planner(cluster_state=owner_board)
    planner.plan(now=0.0, now_s=NOW_S)
    monkeypatch.setattr(Amounts, "fits_in", counting_fits)
    monkeypatch.setattr(StepRun, "pending", counting_pending)
    planner.plan(now=ROUND_S, now_s=NOW_S)
    assert comparisons < 10 * planning.MAX_UNSERVED_STEPS_LOGGED
