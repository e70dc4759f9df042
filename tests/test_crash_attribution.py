"""Tests which lost workers count against a task and when its job is failed.

Two failures are guarded against: a task that is retried for ever, and healthy work that
is failed because its workers were lost for other reasons, such as rack or power
failures, partitions or other tasks.
"""

import asyncio
from collections.abc import Callable

import attrs
import pytest

from cranberrycleat.standins.fleet import SimulatedWork
from cranberrycleat.workflow import rows
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.crash_attribution import (
    CRASH_ADDRESS_LIMIT,
    CRASH_WINDOW_S,
    ISOLATION_WAIT_S,
    START_LOSS_LIMIT,
    SUSPECT_LOSSES,
    TAKEOVER_ISOLATION_WAIT_S,
    LossKind,
    LossRecord,
    LostWorker,
)
from cranberrycleat.workflow.fleet import FleetWorker, LossCause, Placement
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.ports import RunningTask, SyncReply
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import JobState, StepRun
from cranberrycleat.workflow.worker_failures import (
    FAILED_MACHINE_COOLDOWN_S,
    WorkerFailure,
    WorkerFailures,
)
from tests.cell import Cell, cell, entry, job, queue, step, submit, until
from tests.fakes import run_async
from tests.test_planner import NOW_S, cluster_state, plan, worker

EARLY = LossKind.CRASH
BESIDE = LossKind.COINCIDENT
UNSEEN = LossKind.UNOBSERVED
UNKNOWN = LossKind.UNKNOWN
LATE = LossKind.LATER
SURVIVED = None


def _loss(number: int, address: str, *, kind: LossKind = LossKind.CRASH) -> LostWorker:
    return LostWorker(attempt=number, worker=f"i-{number}", address=address, kind=kind)


def _record(*what: tuple[LossKind | None, str], lasts: bool = False) -> LossRecord:
    """Return a record of losses, and of attempts between them that survived."""
    record = LossRecord()
    for number, (kind, address) in enumerate(what):
        if kind is None:
            record.attempt_survived(lasts=lasts)
        else:
            record.add_loss(_loss(number, address, kind=kind), now=0.0)
    return record


@pytest.mark.parametrize(
    ("what", "lasts", "trial", "enough"),
    [
        ([(EARLY, "a")], False, False, False),
        ([(EARLY, "a"), (EARLY, "b")], False, True, False),
        ([(EARLY, "a"), (EARLY, "b"), (EARLY, "c")], False, True, True),
        ([(EARLY, "a"), (EARLY, "a"), (EARLY, "a")], False, False, False),
        ([(EARLY, "a")] * START_LOSS_LIMIT, False, False, True),
        ([(EARLY, "a"), (LATE, "b"), (LATE, "c")], False, False, False),
        ([(LATE, each) for each in "abcdefghi"], False, False, False),
        ([(UNKNOWN, each) for each in "abcdefghi"], False, False, False),
        ([(BESIDE, each) for each in "abcd"], False, False, False),
        ([(BESIDE, each) for each in "abcde"], False, False, True),
        ([(EARLY, "a")] * 2 + [(BESIDE, each) for each in "bc"], False, False, False),
        ([(EARLY, "a")] * 2 + [(BESIDE, each) for each in "bcd"], False, False, True),
        ([(EARLY, "a")] * 2 + [(LATE, each) for each in "bcd"], False, False, False),
        ([(UNSEEN, each) for each in "abcd"], False, False, False),
        ([(UNSEEN, each) for each in "abcde"], False, False, True),
        (
            [(UNSEEN, each) for each in "abcd"] + [(SURVIVED, ""), (UNSEEN, "e")],
            False,
            False,
            False,
        ),
        ([(EARLY, "a"), (EARLY, "b"), (SURVIVED, ""), (EARLY, "c")], 0, 0, False),
        ([(EARLY, each) for each in "ab"] + [(SURVIVED, "")], False, False, False),
        ([(LATE, "a"), (SURVIVED, "")] * 9, True, False, False),
        ([(EARLY, "a"), (EARLY, "b"), (EARLY, "c")], True, True, True),
    ],
    ids=[
        "once",
        "twice: the next attempt is isolated",
        "three times",
        "one machine that fails repeatedly",
        "the same, up to the last allowed start",
        "the attempts had run for a while",
        "all had run for a while",
        "nothing is known of any",
        "four beside others",
        "beside others, and the last allowed start",
        "two crashes and two beside others",
        "two crashes, and the last allowed start",
        "two crashes, and three that had run for a while",
        "four that no owner saw run",
        "five that no owner saw run",
        "an attempt survived between those that no owner saw",
        "an attempt survived before the last loss",
        "an attempt survived: no isolation any more",
        "a service meets many losses",
        "a service that crashes its workers",
    ],
)
def test_when_a_loss_record_reaches_its_limits(
    what: list[tuple[LossKind | None, str]], lasts: bool, trial: bool, enough: bool
) -> None:
    record = _record(*what, lasts=lasts)
    assert record.next_crash_is_final() == bool(trial)
    assert record.limit_reached() is enough


def _failure(last_heard_at: float, detected_at: float, *jobs: str) -> WorkerFailure:
    return WorkerFailure(
        last_heard_at=last_heard_at,
        detected_at=detected_at,
        jobs=frozenset(jobs),
        racks=frozenset({"r1"}),
    )


@pytest.mark.parametrize(
    ("others", "alive", "expected"),
    [
        ([_failure(0.5, 1.2), _failure(0.9, 1.5)], 1, True),
        ([_failure(0.5, 1.2), _failure(0.9, 1.5)], 2, True),
        ([_failure(0.5, 1.2)], 2, False),
        ([_failure(0.5, 1.2, "a"), _failure(0.9, 1.5, "b", "a")], 0, False),
        ([_failure(0.5, 1.2, "a"), _failure(0.9, 1.5, "b")], 0, True),
        ([_failure(2.0, 3.0), _failure(-1.0, 0.2)], 0, False),
        ([], 0, False),
    ],
    ids=[
        "most of its rack",
        "half of its rack",
        "one of four",
        "the job had begun on all of them",
        "the job had begun on some of them",
        "at other moments",
        "nothing is known of its rack",
    ],
)
def test_rack_failures_are_detected(
    others: list[WorkerFailure], alive: int, expected: bool
) -> None:
    """Failed workers may be out of use by then, and so missing from the list."""
    worker_failures = WorkerFailures()
    worker_failures.record_failure(entry("w").address, _failure(0.3, 1.0, "a"))
    for number, failure in enumerate(others):
        worker_failures.record_failure(entry(f"fell{number}").address, failure)
    living = {f"alive{number}:1" for number in range(alive)}
    simultaneous = worker_failures.rack_failures("w:1", living)
    assert any("a" not in failure.jobs for failure in simultaneous) is expected


def test_gang_records_one_lost_worker_per_attempt() -> None:
    record = LossRecord()
    for number, kind in enumerate((LATE, EARLY, LATE)):
        loss = LostWorker(attempt=7, worker=f"w{number}", address="", kind=kind)
        record.add_loss(loss, now=0.0)
    assert [(each.worker, each.kind) for each in record.lost] == [("w1", EARLY)]


# --- what counts as a loss ----------------------------------------------------------


def _place_and_begin(
    owner_board: ClusterState, only: FleetWorker, *, heard_s: float
) -> Placement:
    """Place and begin the job's only task; its worker answers some time later."""
    task = owner_board.jobs["a"].open[0].steps[0].tasks[0]
    placement = owner_board.place(task, only, task.step.last_attempt + 1, now=0.0)
    placement.ordered = True
    placement.began(0.0)
    run = RunningTask(
        task=placement.task, attempt=placement.attempt, saved="", percent=1.0
    )
    only.update_clock(1, 0.0)
    reply = SyncReply(worker_time_ms=2, running=(run,), ended=())
    owner_board.sync(only, reply, sent_at=0.0, now=heard_s)
    return placement


def _step_of(owner_board: ClusterState) -> StepRun:
    return owner_board.jobs["a"].open[0].steps[0]


def _set_leaving(only: FleetWorker, placement: Placement) -> None:
    only.update(attrs.evolve(only.entry, leaving=True))


def _hold_for_upkeep(only: FleetWorker, placement: Placement) -> None:
    only.hold(only.clock_read_at + 1.0)


def _clear_ordered(only: FleetWorker, placement: Placement) -> None:
    placement.ordered = False


def _no_change(only: FleetWorker, placement: Placement) -> None:
    pass


@pytest.mark.parametrize(
    ("before", "heard_s", "expected"),
    [
        (_no_change, 0.0, [EARLY]),
        (_no_change, CRASH_WINDOW_S, [LATE]),
        (_set_leaving, 0.0, [EARLY]),
        (_set_leaving, CRASH_WINDOW_S, []),
        (_hold_for_upkeep, 0.0, []),
        (_clear_ordered, 0.0, []),
    ],
    ids=[
        "just begun",
        "answered after the crash window",
        "just begun on a leaving worker",
        "the worker left in an orderly way",
        "held for maintenance",
        "no order was sent",
    ],
)
@pytest.mark.parametrize("loss", list(LossCause), ids=lambda loss: loss.name)
def test_which_losses_are_recorded(
    before: Callable[[FleetWorker, Placement], None],
    heard_s: float,
    expected: list[LossKind],
    loss: LossCause,
) -> None:
    only = worker("w")
    owner_board = cluster_state(only)
    owner_board.accept("a", queue(), job(step()))
    before(only, _place_and_begin(owner_board, only, heard_s=heard_s))
    owner_board.give_up_all(only, loss)
    record = _step_of(owner_board).losses.get(0, LossRecord())
    assert [each.kind for each in record.lost] == expected


@pytest.mark.parametrize("alone", [True, False])
def test_isolated_attempt_beside_other_starts_is_inconclusive(alone: bool) -> None:
    only = worker("w")
    owner_board = cluster_state(only)
    _accept_suspected_job(owner_board, step())
    placement = _place_and_begin(owner_board, only, heard_s=0.0)
    if not alone:
        _run_other_job(owner_board, only, survived=False)
    owner_board.fleet.record_worker_failure(only, 0.0)
    owner_board.give_up_all(only, LossCause.REPLACED)
    assert placement.task == "a.0.0.0"
    assert (owner_board.jobs["a"].verdict is JobState.FAILED) is alone


# Guards against healthy work that is failed: where no machine is stable, an isolated
# attempt is placed on one that has just failed and fails again.
@pytest.mark.parametrize(
    ("stable_s", "fails"),
    [(FAILED_MACHINE_COOLDOWN_S - 0.1, False), (FAILED_MACHINE_COOLDOWN_S, True)],
    ids=["just failed", "failed long ago"],
)
@pytest.mark.parametrize("joined", [True, False], ids=["joined", "failed"])
@pytest.mark.parametrize("spec", [step(), step(1, gang=True)], ids=["single", "gang"])
def test_isolated_attempt_on_unstable_machine_is_inconclusive(
    spec: StepSpec, joined: bool, stable_s: float, fails: bool
) -> None:
    only = worker("w")
    owner_board = cluster_state(only)
    _accept_suspected_job(owner_board, spec)
    if joined:
        only.joined_at = 0.0
    else:
        owner_board.fleet.record_worker_failure(only, 0.0)
    ((_, placement),) = plan(owner_board, now=stable_s).groups[0].placements
    placement.ordered = True
    placement.began(stable_s)
    only.update_clock(1, stable_s)
    owner_board.fleet.record_worker_failure(only, stable_s)
    owner_board.give_up_all(only, LossCause.REPLACED)
    assert (owner_board.jobs["a"].verdict is JobState.FAILED) is fails
    latest = _step_of(owner_board).losses[0].lost[-1]
    assert latest.kind is (EARLY if fails else BESIDE)


# Guards against healthy work that is failed: two workers fail at the same moment, on
# each of which only a task of one job had just begun.
@pytest.mark.parametrize("together", [True, False], ids=["together", "one alone"])
def test_isolated_attempt_in_correlated_failure_is_inconclusive(together: bool) -> None:
    pair = (worker("w"), worker("v"))
    owner_board = cluster_state(*pair)
    _accept_suspected_job(owner_board, step(2))
    on_trial = _step_of(owner_board).tasks
    for number, loss_of in enumerate(on_trial):
        record = _step_of(owner_board).ensure_losses_of(loss_of)
        record.lost = [_loss(each, f"elsewhere-{number}-{each}:1") for each in range(2)]
    for task, each in zip(on_trial, pair, strict=True):
        placement = owner_board.place(task, each, 3, now=0.0)
        placement.ordered = True
        placement.began(0.0)
        each.update_clock(1, 0.0)
    owner_board.fleet.record_worker_failure(pair[0], 0.0)
    if together:
        owner_board.fleet.record_worker_failure(pair[1], 0.0)
    owner_board.give_up_all(pair[0], LossCause.REPLACED)
    assert (owner_board.jobs["a"].verdict is JobState.FAILED) is not together


@pytest.mark.parametrize(
    ("spec", "kinds"),
    [
        (step(), [LossKind.OUTLIVED]),
        (step(service=True), []),
        (step(2, gang=True), [EARLY]),
        (step(1, gang=True), [LossKind.OUTLIVED]),
    ],
    ids=["a task", "a service", "a gang lacks a member", "all members of a gang"],
)
def test_attempt_past_crash_window_clears_early_losses(
    spec: StepSpec, kinds: list[LossKind]
) -> None:
    first, second = worker("w"), worker("v")
    owner_board = cluster_state(first, second)
    owner_board.accept("a", queue(), job(spec))
    _place_and_begin(owner_board, first, heard_s=0.0)
    owner_board.give_up_all(first, LossCause.REPLACED)
    owner_board.dirty.clear()
    _place_and_begin(owner_board, second, heard_s=CRASH_WINDOW_S)
    record = _step_of(owner_board).losses[0]
    assert [each.kind for each in record.lost] == kinds
    assert ("a" in owner_board.dirty) is True


def test_reconnected_worker_is_removed_from_record() -> None:
    only = worker("w")
    owner_board = cluster_state(only)
    owner_board.accept("a", queue(), job(step()))
    _place_and_begin(owner_board, only, heard_s=0.0)
    owner_board.give_up_all(only, LossCause.SILENT)
    owner_board.dirty.clear()
    owner_board.losses.clear(only)
    assert not _step_of(owner_board).losses[0].lost
    assert "a" in owner_board.dirty


def test_loss_record_survives_takeover() -> None:
    """A new owner reads exactly what the previous one knew."""
    only = worker("w")
    owner_board = cluster_state(only)
    owner_board.accept("a", queue(), job(step(2), step(1)))
    _place_and_begin(owner_board, only, heard_s=0.0)
    owner_board.give_up_all(only, LossCause.REPLACED)
    stored = owner_board.jobs["a"]
    row = rows.decode_job_row(rows.job_put(stored).value, "jobs/a")
    spec = rows.SpecRow(queue=queue(), spec=stored.spec, accepted_s=NOW_S)
    later = ClusterState(time_of_day=lambda: NOW_S, now=lambda: 50.0)
    later.restore(rows.restore("a", spec, row))
    record = _step_of(later).losses[0]
    assert record.lost == _step_of(owner_board).losses[0].lost
    assert not record.isolation_wait_expired(50.0 + TAKEOVER_ISOLATION_WAIT_S - 0.01)
    assert record.isolation_wait_expired(50.0 + TAKEOVER_ISOLATION_WAIT_S)
    later.losses.clear(only)
    assert not record.lost


def test_row_of_earlier_version_has_no_losses() -> None:
    """During a rolling upgrade both versions read each other's rows."""
    owner_board = cluster_state(worker("w"))
    owner_board.accept("a", queue(), job(step()))
    text = rows.job_put(owner_board.jobs["a"]).value
    older = text.replace(",[],[],[],0.0,[]]]]]", "]]]]", 1)
    assert older != text
    spec = rows.SpecRow(queue=queue(), spec=job(step()), accepted_s=NOW_S)
    restored = rows.restore("a", spec, rows.decode_job_row(older, "jobs/a"))
    assert not restored.open[0].steps[0].losses


# --- isolated attempts ----------------------------------------------------------------


def _accept_suspected_job(
    owner_board: ClusterState, spec: StepSpec, times: int = CRASH_ADDRESS_LIMIT - 1
) -> StepRun:
    """Accept a job whose first task has crashed some workers elsewhere."""
    owner_board.accept("a", queue(), job(spec))
    record = _step_of(owner_board).ensure_losses_of(_step_of(owner_board).tasks[0])
    for number in range(times):
        record.add_loss(_loss(number, f"elsewhere-{number}:1"), now=0.0)
    _step_of(owner_board).last_attempt = times
    return _step_of(owner_board)


def _run_other_job(
    owner_board: ClusterState, on: FleetWorker, *, survived: bool
) -> None:
    """Run a task of another job on a worker."""
    job_id = f"other-{len(owner_board.jobs)}"
    owner_board.accept(job_id, queue(), job(step()))
    task = owner_board.jobs[job_id].open[0].steps[0].tasks[0]
    placement = owner_board.place(task, on, 1, now=0.0)
    placement.began(0.0)
    on.clock_read_at = CRASH_WINDOW_S if survived else 0.0


@pytest.mark.parametrize("spec", [step(), step(1, gang=True)], ids=["single", "gang"])
def test_isolated_attempt_waits_for_worker_without_recent_starts(
    spec: StepSpec,
) -> None:
    busy, quiet = worker("busy"), worker("quiet")
    owner_board = cluster_state(busy, quiet)
    _run_other_job(owner_board, busy, survived=False)
    _run_other_job(owner_board, quiet, survived=True)
    _accept_suspected_job(owner_board, spec)
    plan(owner_board)
    assert _step_of(owner_board).tasks[0].worker == "quiet"


@pytest.mark.parametrize("spec", [step(), step(1, gang=True)], ids=["single", "gang"])
def test_no_isolated_attempt_on_recently_failed_machine(spec: StepSpec) -> None:
    """It comes back empty, but on a failing machine a loss proves nothing."""
    unstable, busy = worker("falls"), worker("busy")
    owner_board = cluster_state(unstable, busy)
    owner_board.fleet.record_worker_failure(unstable, 0.0)
    _run_other_job(owner_board, busy, survived=True)
    _accept_suspected_job(owner_board, spec)
    plan(owner_board)
    assert _step_of(owner_board).tasks[0].worker == "busy"


@pytest.mark.parametrize(
    ("later_s", "expected"),
    [(FAILED_MACHINE_COOLDOWN_S - 0.1, 0), (FAILED_MACHINE_COOLDOWN_S, 1)],
    ids=["of late", "long ago"],
)
def test_failed_machine_cooldown(later_s: float, expected: int) -> None:
    unstable = worker("falls")
    owner_board = cluster_state(unstable)
    owner_board.fleet.record_worker_failure(unstable, 0.0)
    record = _accept_suspected_job(owner_board, step()).losses[0]
    record.changed_at = later_s
    assert len(plan(owner_board, now=later_s).groups) == expected


def test_isolation_wait_is_bounded() -> None:
    busy = worker("busy")
    owner_board = cluster_state(busy)
    _run_other_job(owner_board, busy, survived=False)
    _accept_suspected_job(owner_board, step())
    assert not plan(owner_board, now=ISOLATION_WAIT_S - 0.1).groups
    assert len(plan(owner_board, now=ISOLATION_WAIT_S).groups) == 1


@pytest.mark.parametrize(
    ("times", "spec", "beside"),
    [
        (CRASH_ADDRESS_LIMIT - 1, step(), 0),
        (CRASH_ADDRESS_LIMIT - 2, step(), 1),
        (2, step(1, gang=True), 0),
    ],
    ids=["an isolated attempt", "not isolated yet", "an isolated gang"],
)
@pytest.mark.parametrize("other", [step(), step(1, gang=True)], ids=["task", "gang"])
def test_nothing_starts_beside_isolated_attempt(
    times: int, spec: StepSpec, beside: int, other: StepSpec
) -> None:
    only = worker("w")
    owner_board = cluster_state(only)
    _accept_suspected_job(owner_board, spec, times)
    plan(owner_board)
    owner_board.accept("b", queue(), job(other))
    assert len(plan(owner_board).groups) == beside
    isolated_attempt = next(iter(only.placements.values()))
    isolated_attempt.began(0.0)
    only.clock_read_at = CRASH_WINDOW_S
    assert len(plan(owner_board).groups) == 1 - beside


@pytest.mark.parametrize(
    ("kind", "lost", "expected"),
    [
        *((kind, SUSPECT_LOSSES - 1, 1) for kind in (BESIDE, UNSEEN, UNKNOWN)),
        *((kind, SUSPECT_LOSSES, 0) for kind in (BESIDE, UNSEEN, UNKNOWN)),
        (BESIDE, START_LOSS_LIMIT - 1, 0),
        (LATE, START_LOSS_LIMIT - 1, 1),
    ],
)
@pytest.mark.parametrize("spec", [step(), step(1, gang=True)], ids=["single", "gang"])
def test_last_attempts_wait_for_stable_machine(
    kind: LossKind, lost: int, expected: int, spec: StepSpec
) -> None:
    """Unless earlier workers were lost late; all machines failed recently."""
    owner_board = cluster_state(worker("v"), worker("w"))
    _accept_suspected_job(owner_board, spec, 0)
    record = _step_of(owner_board).ensure_losses_of(_step_of(owner_board).tasks[0])
    for number in range(lost):
        record.add_loss(_loss(number, f"elsewhere-{number}:1", kind=kind), now=0.0)
    for each in owner_board.fleet.workers.values():
        owner_board.fleet.record_worker_failure(each, 0.0)
    assert len(plan(owner_board, now=ISOLATION_WAIT_S - 0.1).groups) == expected
    assert len(plan(owner_board, now=ISOLATION_WAIT_S).groups) == 1 - expected


def test_after_isolation_wait_longest_stable_machine_is_chosen() -> None:
    earlier, later = worker("earlier"), worker("later")
    owner_board = cluster_state(earlier, later)
    owner_board.fleet.record_worker_failure(earlier, 0.0)
    owner_board.fleet.record_worker_failure(later, 1.0)
    owner_board.fleet.add(worker("joined"))
    owner_board.fleet.workers["joined"].joined_at = 2.0
    _accept_suspected_job(owner_board, step())
    plan(owner_board, now=ISOLATION_WAIT_S)
    assert _step_of(owner_board).tasks[0].worker == "earlier"


def test_no_isolated_attempt_on_newly_joined_worker() -> None:
    new, busy = worker("new"), worker("busy")
    owner_board = cluster_state(new, busy)
    new.joined_at = 0.0
    _run_other_job(owner_board, busy, survived=True)
    _accept_suspected_job(owner_board, step())
    plan(owner_board)
    assert _step_of(owner_board).tasks[0].worker == "busy"


# Guards against healthy work that is failed (LOST): an owner that takes over during
# worker failures knows of none, and would attribute the next one to the task.
def test_new_owner_attributes_no_unobserved_failures() -> None:
    async def run() -> None:
        async with cell(workers=0) as harness:
            # The first owner has no stable machine left after the last loss, so the
            # next attempt cannot begin, or even end, before the takeover.
            for number in range(CRASH_ADDRESS_LIMIT - 1):
                harness.add_worker(f"w{number}", born_ms=1)
            fleet = harness.fleet
            fleet.keeps_identity = True
            fleet.work = lambda name, attempt: SimulatedWork(seconds=0.25)
            owner = await harness.own()
            await submit(owner, "a", job(step(1)))
            for number in range(1, CRASH_ADDRESS_LIMIT):
                await until(lambda: len(fleet.starts) == number)
                fleet.crash_and_restart(fleet.workers[fleet.starts[-1].worker])
                await until(lambda: _losses(owner, "a") == number)
            owner.handing_over = True
            await until(lambda: _stored_losses(harness, "a") == CRASH_ADDRESS_LIMIT - 1)
            await harness.close()
            harness.tasks.clear()
            for number in range(CRASH_ADDRESS_LIMIT - 1, 6):
                harness.add_worker(f"w{number}", born_ms=1)
            owner = await harness.own("next")
            assert _losses(owner, "a") == CRASH_ADDRESS_LIMIT - 1
            began = harness.clock.now()
            await until(lambda: len(fleet.starts) == CRASH_ADDRESS_LIMIT)
            assert harness.clock.now() - began > TAKEOVER_ISOLATION_WAIT_S / 2
            await until(lambda: owner.cluster_state.reported["a"] is JobState.COMPLETED)

    run_async(run())


# Guards against an accepted job that never runs (LOST): owners change more often than
# the isolation wait lasts, and each of them sees workers fail.
def test_isolated_attempt_starts_despite_frequent_takeovers() -> None:
    owner_board = cluster_state(worker("w"))
    _accept_suspected_job(owner_board, step())
    stored = owner_board.jobs["a"]
    for takeover in (0.0, ISOLATION_WAIT_S - 0.5):
        at = takeover
        owner_board.now = owner_board.losses.now = lambda: at
        owner_board.fleet.worker_failures.observing_since = takeover
        owner_board.losses.restore(stored)
        assert not plan(
            owner_board, now=takeover + TAKEOVER_ISOLATION_WAIT_S - 0.1
        ).groups
    assert plan(owner_board, now=takeover + TAKEOVER_ISOLATION_WAIT_S).groups


def _losses(owner: Owner, job_id: str) -> int:
    """Return how many workers are recorded as lost under a job's first task."""
    steps = [
        each
        for run in owner.cluster_state.jobs[job_id].open.values()
        for each in run.steps
    ]
    return sum(
        len(each.lost) for step_run in steps for each in step_run.losses.values()
    )


def _stored_losses(harness: Cell, job_id: str) -> int:
    """Return how many lost workers the table has for a job."""
    key = rows.job_key(job_id)
    row = rows.decode_job_row(harness.table.rows[key].value, key)
    return sum(len(each.lost) for run in row.open for each in run.steps)


def test_next_attempt_is_on_another_machine() -> None:
    """The next incarnation of a lost worker has the most free capacity."""
    again = worker("again")
    owner_board = cluster_state(again, worker("other"))
    owner_board.accept("a", queue(), job(step()))
    record = _step_of(owner_board).ensure_losses_of(_step_of(owner_board).tasks[0])
    record.add_loss(_loss(1, again.entry.address), now=0.0)
    plan(owner_board)
    assert _step_of(owner_board).tasks[0].worker == "other"


# --- healthy work while workers are lost ----------------------------------------------


def test_healthy_tasks_beside_crashing_task_complete() -> None:
    async def run() -> None:
        async with cell(workers=6) as harness:
            harness.fleet.work = lambda name, attempt: SimulatedWork(
                seconds=0.2, crashes_after_s=0.01 if name.startswith("bad") else None
            )
            owner = await harness.own()
            await submit(owner, "bad", job(step(1)))
            names = [f"good{number}" for number in range(8)]
            for name in names:
                await submit(owner, name, job(step(2)))
            reported = owner.cluster_state.reported
            ended = {*names, "bad"}
            await until(
                lambda: all(reported[name].value not in _OPEN for name in ended),
                limit_s=30.0,
            )
            assert reported["bad"] is JobState.FAILED
            assert {reported[name] for name in names} == {JobState.COMPLETED}
            assert not harness.fleet.faults

    run_async(run())


_OPEN = {"queued", "running"}


def test_healthy_tasks_survive_successive_rack_failures() -> None:
    """Each rack fails as often as a task may lose workers, all workers at once."""

    async def run() -> None:
        async with cell(workers=0) as harness:
            for rack in ("r1", "r2", "r3"):
                for number in range(3):
                    harness.add_worker(f"{rack}-{number}", rack=rack)
            harness.fleet.work = lambda name, attempt: SimulatedWork(seconds=0.3)
            owner = await harness.own()
            names = [f"j{number}" for number in range(6)]
            for name in names:
                await submit(owner, name, job(step(3)))
            for rack in ("r1", "r2", "r3", "r1", "r2"):
                await until(lambda: len(harness.fleet.starts) > 3)
                for each in list(harness.fleet.workers.values()):
                    if rack in each.entry.labels:
                        harness.fleet.crash_and_restart(each)
                await asyncio.sleep(0.4)
            reported = owner.cluster_state.reported
            await until(
                lambda: all(reported[name].value not in _OPEN for name in names),
                limit_s=30.0,
            )
            assert {reported[name] for name in names} == {JobState.COMPLETED}
            assert not harness.fleet.faults

    run_async(run())


# Guards against healthy work that is failed (LOST): workers of several racks that fail
# at the same moment have a common cause, although a job had just begun on one.
@pytest.mark.parametrize("keeps", [False, True], ids=["a new identity", "the same"])
def test_healthy_tasks_survive_correlated_failures_across_racks(
    keeps: bool,
) -> None:
    async def run() -> None:
        async with cell(workers=0) as harness:
            harness.fleet.keeps_identity = keeps
            for number in range(9):
                harness.add_worker(f"w{number}", rack=f"r{number}", born_ms=1)
            harness.fleet.work = lambda name, attempt: SimulatedWork(seconds=0.25)
            owner = await harness.own()
            await submit(owner, "a", job(step(1)))
            for number in range(CRASH_ADDRESS_LIMIT):
                await until(lambda: len(harness.fleet.starts) > number)
                await asyncio.sleep(0.05)
                first = harness.fleet.starts[-1].worker
                others = [each for each in harness.fleet.workers if each != first]
                for name in (first, *others[:3]):
                    harness.fleet.crash_and_restart(harness.fleet.workers[name])
            await until(
                lambda: owner.cluster_state.reported["a"].value not in _OPEN, 30.0
            )
            assert owner.cluster_state.reported["a"] is JobState.COMPLETED
            assert not harness.fleet.faults

    run_async(run())


# Guards against healthy work that is failed (LOST): for some seconds workers fail
# faster than a task completes, always several at the same moment.
@pytest.mark.parametrize("keeps", [False, True], ids=["a new identity", "the same"])
def test_healthy_task_survives_continuous_worker_failures(
    keeps: bool,
) -> None:
    async def run() -> None:
        async with cell(workers=0) as harness:
            harness.fleet.keeps_identity = keeps
            for number in range(5):
                harness.add_worker(f"w{number}", rack=f"r{number % 2}", born_ms=1)
            harness.fleet.work = lambda name, attempt: SimulatedWork(seconds=0.25)
            owner = await harness.own()
            await submit(owner, "a", job(step(1)))
            loop = asyncio.get_running_loop()
            disturbed_until = loop.time() + 3.0
            begun = 0
            while loop.time() < disturbed_until:
                await asyncio.sleep(0.05)
                if len(harness.fleet.starts) > begun:
                    begun = len(harness.fleet.starts)
                    first = harness.fleet.starts[-1].worker
                    others = [each for each in harness.fleet.workers if each != first]
                    for name in (first, *others[:2]):
                        harness.fleet.crash_and_restart(harness.fleet.workers[name])
            await until(
                lambda: owner.cluster_state.reported["a"].value not in _OPEN, 30.0
            )
            assert owner.cluster_state.reported["a"] is JobState.COMPLETED
            assert not harness.fleet.faults

    run_async(run())


def test_partitioned_worker_is_removed_from_record() -> None:
    async def run() -> None:
        async with cell(workers=2) as harness:
            harness.fleet.work = lambda name, attempt: SimulatedWork(seconds=1.5)
            owner = await harness.own()
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(harness.fleet.starts) == 1)
            cut = harness.fleet.workers[harness.fleet.starts[0].worker]
            cut.silent = True
            step_run = owner.cluster_state.jobs["a"].open[0].steps[0]
            await until(lambda: bool(step_run.losses))
            assert [each.worker for each in step_run.losses[0].lost]
            cut.silent = False
            await until(lambda: not step_run.losses[0].lost)
            await until(lambda: owner.cluster_state.reported["a"] is JobState.COMPLETED)
            assert not harness.fleet.faults

    run_async(run())
