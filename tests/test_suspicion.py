"""Which lost workers count against a task, and when its job is given up.

Two faults are weighed: a task that is tried for ever, and sound work that is given up
because its workers were lost for other reasons: racks, power, cuts, other tasks.
"""

import asyncio
from collections.abc import Callable

import attrs
import pytest

from cranberrycleat.standins.fleet import Work
from cranberrycleat.workflow import rows
from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.falls import FELL_S, Fall, Falls
from cranberrycleat.workflow.fleet import FleetWorker, Loss, Placement
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.ports import RunningTask, SyncReply
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import JobState, StepRun
from cranberrycleat.workflow.suspicion import (
    CRASHES,
    MOST_LOST,
    SETTLED_S,
    SUCCESSOR_WAIT_S,
    TRIAL_WAIT_S,
    LossRecord,
    LostWorker,
)
from tests.cell import cell, entry, job, queue, step, submit, until
from tests.fakes import go
from tests.test_planner import NOW_S, board, plan, worker

EARLY = "early"
LATE = "late"
SETTLED = "settled"


def _loss(number: int, address: str, *, early: bool = True) -> LostWorker:
    return LostWorker(
        attempt=number, worker=f"i-{number}", address=address, early=early
    )


def _record(*what: tuple[str, str], lasts: bool = False) -> LossRecord:
    """Return a record of losses, and of attempts that settled between them."""
    record = LossRecord()
    for number, (kind, address) in enumerate(what):
        if kind == SETTLED:
            record.settle(lasts=lasts)
        else:
            record.note(_loss(number, address, early=kind == EARLY), now=0.0)
    return record


@pytest.mark.parametrize(
    ("what", "lasts", "trial", "enough"),
    [
        ([(EARLY, "a")], False, False, False),
        ([(EARLY, "a"), (EARLY, "b")], False, True, False),
        ([(EARLY, "a"), (EARLY, "b"), (EARLY, "c")], False, True, True),
        ([(EARLY, "a"), (EARLY, "a"), (EARLY, "a")], False, False, False),
        ([(EARLY, "a")] * MOST_LOST, False, False, True),
        ([(EARLY, "a"), (LATE, "b"), (LATE, "c")], False, False, False),
        ([(LATE, each) for each in "abcd"], False, False, False),
        ([(LATE, each) for each in "abcde"], False, False, True),
        ([(EARLY, "a"), (EARLY, "b"), (SETTLED, ""), (EARLY, "c")], 0, 0, False),
        ([(EARLY, each) for each in "ab"] + [(SETTLED, "")], False, False, False),
        ([(LATE, "a"), (SETTLED, "")] * 9, True, False, False),
        ([(EARLY, "a"), (EARLY, "b"), (EARLY, "c")], True, True, True),
    ],
    ids=[
        "once",
        "twice: the next is a trial",
        "three times",
        "one machine that falls again and again",
        "the same, up to the last start that is allowed",
        "it had run for a while",
        "four workers lost late",
        "five lost late",
        "it settled since",
        "settled: no trial any more",
        "a service meets many losses",
        "a service that crashes its workers",
    ],
)
def test_what_a_record_says(
    what: list[tuple[str, str]], lasts: bool, trial: bool, enough: bool
) -> None:
    record = _record(*what, lasts=lasts)
    assert record.is_on_trial() == bool(trial)
    assert record.is_enough() is enough


def _fall(heard_at: float, noticed_at: float, *jobs: str) -> Fall:
    return Fall(
        heard_at=heard_at,
        noticed_at=noticed_at,
        jobs=frozenset(jobs),
        racks=frozenset({"r1"}),
    )


@pytest.mark.parametrize(
    ("others", "alive", "expected"),
    [
        ([_fall(0.5, 1.2), _fall(0.9, 1.5)], 1, True),
        ([_fall(0.5, 1.2), _fall(0.9, 1.5)], 2, True),
        ([_fall(0.5, 1.2)], 2, False),
        ([_fall(0.5, 1.2, "a"), _fall(0.9, 1.5, "b", "a")], 0, False),
        ([_fall(0.5, 1.2, "a"), _fall(0.9, 1.5, "b")], 0, True),
        ([_fall(2.0, 3.0), _fall(-1.0, 0.2)], 0, False),
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
def test_which_workers_fell_with_their_rack(
    others: list[Fall], alive: int, expected: bool
) -> None:
    """Those that fell may be out of use by then, and so in no list."""
    falls = Falls()
    falls.note(entry("w"), _fall(0.3, 1.0, "a"))
    for number, fall in enumerate(others):
        falls.note(entry(f"fell{number}"), fall)
    living = {f"alive{number}:1" for number in range(alive)}
    rack_fell = falls.of_its_rack("w:1", living)
    assert any("a" not in fall.jobs for fall in rack_fell) is expected


def test_a_gang_that_loses_several_workers_at_once_loses_one() -> None:
    record = LossRecord()
    for number, early in enumerate((False, True, False)):
        loss = LostWorker(attempt=7, worker=f"w{number}", address="", early=early)
        record.note(loss, now=0.0)
    assert [(each.worker, each.early) for each in record.lost] == [("w1", True)]


# --- what counts as a loss ----------------------------------------------------------


def _begun(made: Board, only: FleetWorker, *, heard_s: float) -> Placement:
    """Place and begin the job's only task; its worker is heard a while later."""
    task = made.jobs["a"].open[0].steps[0].tasks[0]
    placement = made.place(task, only, task.step.last_attempt + 1, now=0.0)
    placement.ordered = True
    placement.began(0.0)
    run = RunningTask(
        task=placement.task, attempt=placement.attempt, saved="", percent=1.0
    )
    only.heard_time(1, 0.0)
    reply = SyncReply(worker_time_ms=2, running=(run,), ended=())
    made.sync(only, reply, sent_at=0.0, now=heard_s)
    return placement


def _step_of(made: Board) -> StepRun:
    return made.jobs["a"].open[0].steps[0]


def _leaves(only: FleetWorker, placement: Placement) -> None:
    only.update(attrs.evolve(only.entry, leaving=True))


def _is_held(only: FleetWorker, placement: Placement) -> None:
    only.held = True


def _never_ordered(only: FleetWorker, placement: Placement) -> None:
    placement.ordered = False


def _nothing(only: FleetWorker, placement: Placement) -> None:
    pass


@pytest.mark.parametrize(
    ("before", "heard_s", "expected"),
    [
        (_nothing, 0.0, [True]),
        (_nothing, SETTLED_S, [False]),
        (_leaves, 0.0, [True]),
        (_leaves, SETTLED_S, []),
        (_is_held, 0.0, []),
        (_never_ordered, 0.0, []),
    ],
    ids=[
        "just begun",
        "heard after it had settled",
        "just begun on one that leaves",
        "it left in order",
        "its machine had its upkeep",
        "no order went there",
    ],
)
@pytest.mark.parametrize("loss", list(Loss), ids=lambda loss: loss.name)
def test_which_losses_are_put_on_record(
    before: Callable[[FleetWorker, Placement], None],
    heard_s: float,
    expected: list[bool],
    loss: Loss,
) -> None:
    only = worker("w")
    made = board(only)
    made.accept("a", queue(), job(step()))
    before(only, _begun(made, only, heard_s=heard_s))
    made.lapse(only, loss)
    record = _step_of(made).losses.get(0, LossRecord())
    assert [each.early for each in record.lost] == expected


@pytest.mark.parametrize("alone", [True, False])
def test_a_trial_that_had_others_beside_it_decides_nothing(alone: bool) -> None:
    only = worker("w")
    made = board(only)
    _suspect(made, step())
    placement = _begun(made, only, heard_s=0.0)
    if not alone:
        _run_elsewhere(made, only, settled=False)
    made.fleet.note_fall(only, 0.0)
    made.lapse(only, Loss.REPLACED)
    assert placement.task == "a.0.0.0"
    assert (made.jobs["a"].verdict is JobState.FAILED) is alone


# Guards against sound work that is given up: two workers fall at one moment, on each of
# which only a task of one job had just begun.
@pytest.mark.parametrize("together", [True, False], ids=["together", "one alone"])
def test_a_trial_whose_worker_fell_with_another_decides_nothing(together: bool) -> None:
    pair = (worker("w"), worker("v"))
    made = board(*pair)
    _suspect(made, step(2))
    on_trial = _step_of(made).tasks
    for number, loss_of in enumerate(on_trial):
        record = _step_of(made).make_losses_of(loss_of)
        record.lost = [_loss(each, f"elsewhere-{number}-{each}:1") for each in range(2)]
    for task, each in zip(on_trial, pair, strict=True):
        placement = made.place(task, each, 3, now=0.0)
        placement.ordered = True
        placement.began(0.0)
        each.heard_time(1, 0.0)
    made.fleet.note_fall(pair[0], 0.0)
    if together:
        made.fleet.note_fall(pair[1], 0.0)
    made.lapse(pair[0], Loss.REPLACED)
    assert (made.jobs["a"].verdict is JobState.FAILED) is not together


@pytest.mark.parametrize(
    ("spec", "early", "left"),
    [
        (step(), False, 1),
        (step(service=True), False, 0),
        (step(1, gang=True), True, 1),
    ],
    ids=["a task", "a service's", "a gang's is not lifted"],
)
def test_an_attempt_that_settles_lifts_the_suspicion(
    spec: StepSpec, early: bool, left: int
) -> None:
    first, second = worker("w"), worker("v")
    made = board(first, second)
    made.accept("a", queue(), job(spec))
    _begun(made, first, heard_s=0.0)
    made.lapse(first, Loss.REPLACED)
    made.dirty.clear()
    _begun(made, second, heard_s=SETTLED_S)
    record = _step_of(made).losses[0]
    assert [each.early for each in record.lost] == [early] * left
    assert ("a" in made.dirty) is True


def test_a_worker_that_answers_again_is_taken_off_the_record() -> None:
    only = worker("w")
    made = board(only)
    made.accept("a", queue(), job(step()))
    _begun(made, only, heard_s=0.0)
    made.lapse(only, Loss.SILENT)
    made.dirty.clear()
    made.losses.clear(only)
    assert not _step_of(made).losses[0].lost
    assert "a" in made.dirty


def test_the_record_outlives_its_owner() -> None:
    """What a successor reads is what the owner knew."""
    only = worker("w")
    made = board(only)
    made.accept("a", queue(), job(step(2), step(1)))
    _begun(made, only, heard_s=0.0)
    made.lapse(only, Loss.REPLACED)
    stored = made.jobs["a"]
    row = rows.read_row(rows.job_put(stored).value, "jobs/a")
    spec = rows.SpecRow(queue=queue(), spec=stored.spec, accepted_s=NOW_S)
    later = Board(time_of_day=lambda: NOW_S, now=lambda: 50.0)
    later.restore(rows.restore("a", spec, row))
    record = _step_of(later).losses[0]
    assert record.lost == _step_of(made).losses[0].lost
    assert not record.may_go_anywhere(50.0 + SUCCESSOR_WAIT_S - 0.01)
    assert record.may_go_anywhere(50.0 + SUCCESSOR_WAIT_S)
    later.losses.clear(only)
    assert not record.lost


def test_a_row_of_an_earlier_version_has_no_losses() -> None:
    """While hosts are replaced by newer ones both versions read each other's rows."""
    made = board(worker("w"))
    made.accept("a", queue(), job(step()))
    text = rows.job_put(made.jobs["a"]).value
    older = text.replace(",[]]]]]", "]]]]", 1)
    assert older != text
    spec = rows.SpecRow(queue=queue(), spec=job(step()), accepted_s=NOW_S)
    restored = rows.restore("a", spec, rows.read_row(older, "jobs/a"))
    assert not restored.open[0].steps[0].losses


# --- trials -------------------------------------------------------------------------


def _suspect(made: Board, spec: StepSpec, times: int = CRASHES - 1) -> StepRun:
    """Hand a job in whose first task has crashed some workers elsewhere."""
    made.accept("a", queue(), job(spec))
    record = _step_of(made).make_losses_of(_step_of(made).tasks[0])
    for number in range(times):
        record.note(_loss(number, f"elsewhere-{number}:1"), now=0.0)
    _step_of(made).last_attempt = times
    return _step_of(made)


def _run_elsewhere(made: Board, on: FleetWorker, *, settled: bool) -> None:
    """Have another job's task run on a worker."""
    job_id = f"other-{len(made.jobs)}"
    made.accept(job_id, queue(), job(step()))
    task = made.jobs[job_id].open[0].steps[0].tasks[0]
    placement = made.place(task, on, 1, now=0.0)
    placement.began(0.0)
    on.clock_at = SETTLED_S if settled else 0.0


@pytest.mark.parametrize("spec", [step(), step(1, gang=True)], ids=["single", "gang"])
def test_a_trial_waits_for_a_worker_where_nothing_has_just_begun(
    spec: StepSpec,
) -> None:
    busy, quiet = worker("busy"), worker("quiet")
    made = board(busy, quiet)
    _run_elsewhere(made, busy, settled=False)
    _run_elsewhere(made, quiet, settled=True)
    _suspect(made, spec)
    plan(made)
    assert _step_of(made).tasks[0].worker == "quiet"


@pytest.mark.parametrize("spec", [step(), step(1, gang=True)], ids=["single", "gang"])
def test_no_trial_on_a_machine_that_fell_not_long_ago(spec: StepSpec) -> None:
    """It comes back empty, and one that falls again and again says nothing."""
    falls, busy = worker("falls"), worker("busy")
    made = board(falls, busy)
    made.fleet.note_fall(falls, 0.0)
    _run_elsewhere(made, busy, settled=True)
    _suspect(made, spec)
    plan(made)
    assert _step_of(made).tasks[0].worker == "busy"


@pytest.mark.parametrize(
    ("later_s", "expected"),
    [(FELL_S - 0.1, 0), (FELL_S, 1)],
    ids=["of late", "long ago"],
)
def test_how_long_a_machine_that_fell_is_left_out(
    later_s: float, expected: int
) -> None:
    falls = worker("falls")
    made = board(falls)
    made.fleet.note_fall(falls, 0.0)
    record = _suspect(made, step()).losses[0]
    record.changed_at = later_s
    assert len(plan(made, now=later_s).groups) == expected


def test_a_trial_does_not_wait_for_ever() -> None:
    busy = worker("busy")
    made = board(busy)
    _run_elsewhere(made, busy, settled=False)
    _suspect(made, step())
    assert not plan(made, now=TRIAL_WAIT_S - 0.1).groups
    assert len(plan(made, now=TRIAL_WAIT_S).groups) == 1


@pytest.mark.parametrize(
    ("times", "spec", "beside"),
    [(CRASHES - 1, step(), 0), (CRASHES - 2, step(), 1), (2, step(1, gang=True), 0)],
    ids=["a trial", "no trial yet", "a gang's trial"],
)
@pytest.mark.parametrize("other", [step(), step(1, gang=True)], ids=["task", "gang"])
def test_nothing_begins_beside_a_trial(
    times: int, spec: StepSpec, beside: int, other: StepSpec
) -> None:
    only = worker("w")
    made = board(only)
    _suspect(made, spec, times)
    plan(made)
    made.accept("b", queue(), job(other))
    assert len(plan(made).groups) == beside
    trial = next(iter(only.placements.values()))
    trial.began(0.0)
    only.clock_at = SETTLED_S
    assert len(plan(made).groups) == 1 - beside


@pytest.mark.parametrize(
    ("lost", "expected"), [(MOST_LOST - 3, 1), (MOST_LOST - 2, 0), (MOST_LOST - 1, 0)]
)
@pytest.mark.parametrize("spec", [step(), step(1, gang=True)], ids=["single", "gang"])
def test_the_last_attempts_wait_for_a_machine_that_stands(
    lost: int, expected: int, spec: StepSpec
) -> None:
    """However the earlier ones were lost; all machines have fallen of late."""
    made = board(worker("v"), worker("w"))
    _suspect(made, spec, 0)
    record = _step_of(made).make_losses_of(_step_of(made).tasks[0])
    for number in range(lost):
        record.note(_loss(number, f"elsewhere-{number}:1", early=False), now=0.0)
    for each in made.fleet.workers.values():
        made.fleet.note_fall(each, 0.0)
    assert len(plan(made, now=TRIAL_WAIT_S - 0.1).groups) == expected
    assert len(plan(made, now=TRIAL_WAIT_S).groups) == 1 - expected


def test_a_trial_that_has_waited_goes_where_no_worker_fell_for_longest() -> None:
    earlier, later = worker("earlier"), worker("later")
    made = board(earlier, later)
    made.fleet.note_fall(earlier, 0.0)
    made.fleet.note_fall(later, 1.0)
    made.fleet.add(worker("joined"))
    made.fleet.workers["joined"].joined_at = 2.0
    _suspect(made, step())
    plan(made, now=TRIAL_WAIT_S)
    assert _step_of(made).tasks[0].worker == "earlier"


def test_no_trial_on_a_worker_that_has_just_joined() -> None:
    new, busy = worker("new"), worker("busy")
    made = board(new, busy)
    new.joined_at = 0.0
    _run_elsewhere(made, busy, settled=True)
    _suspect(made, step())
    plan(made)
    assert _step_of(made).tasks[0].worker == "busy"


# Guards against sound work that is given up (LOST): whoever takes over amid losses
# knows of none, and would take the next one for the task's doing.
def test_a_successor_does_not_judge_by_losses_it_did_not_see() -> None:
    async def run() -> None:
        async with cell(workers=0) as made:
            for number in range(6):
                made.add_worker(f"w{number}", born_ms=1)
            fleet = made.fleet
            fleet.keeps_identity = True
            fleet.work = lambda name, attempt: Work(seconds=0.25)
            owner = await made.own()
            await submit(owner, "a", job(step(1)))
            for number in range(1, CRASHES):
                await until(lambda: len(fleet.starts) == number)
                fleet.go_down(fleet.workers[fleet.starts[-1].worker])
                await until(lambda: _losses(owner, "a") == number)
            owner.closing = True
            await until(lambda: "a" not in owner.board.dirty)
            await made.close()
            made.tasks.clear()
            owner = await made.own("next")
            assert _losses(owner, "a") == CRASHES - 1
            began = made.clock.now()
            await until(lambda: len(fleet.starts) == CRASHES)
            assert made.clock.now() - began > SUCCESSOR_WAIT_S / 2
            await until(lambda: owner.board.shown["a"] is JobState.COMPLETED)

    go(run())


# Guards against an accepted job that never runs (LOST): owners that change more often
# than a trial waits, each of which sees workers fall.
def test_a_trial_begins_though_owners_change_every_few_seconds() -> None:
    made = board(worker("w"))
    _suspect(made, step())
    stored = made.jobs["a"]
    for takeover in (0.0, TRIAL_WAIT_S - 0.5):
        at = takeover
        made.now = made.losses.now = lambda: at
        made.fleet.falls.watched_since = takeover
        made.losses.restore(stored)
        assert not plan(made, now=takeover + SUCCESSOR_WAIT_S - 0.1).groups
    assert plan(made, now=takeover + SUCCESSOR_WAIT_S).groups


def _losses(owner: Owner, job_id: str) -> int:
    """Return how many workers are on record as lost under a job's first task."""
    steps = [
        each for run in owner.board.jobs[job_id].open.values() for each in run.steps
    ]
    return sum(
        len(each.lost) for step_run in steps for each in step_run.losses.values()
    )


def test_the_next_attempt_is_on_another_machine() -> None:
    """The next life of a worker that was lost has the most room there is."""
    again = worker("again")
    made = board(again, worker("other"))
    made.accept("a", queue(), job(step()))
    record = _step_of(made).make_losses_of(_step_of(made).tasks[0])
    record.note(_loss(1, again.entry.address), now=0.0)
    plan(made)
    assert _step_of(made).tasks[0].worker == "other"


# --- sound work on a cell whose workers are lost ------------------------------------


def test_sound_tasks_beside_one_that_crashes_its_workers_are_done() -> None:
    async def run() -> None:
        async with cell(workers=6) as made:
            made.fleet.work = lambda name, attempt: Work(
                seconds=0.2, crashes_after_s=0.01 if name.startswith("bad") else None
            )
            owner = await made.own()
            await submit(owner, "bad", job(step(1)))
            names = [f"good{number}" for number in range(8)]
            for name in names:
                await submit(owner, name, job(step(2)))
            shown = owner.board.shown
            ended = {*names, "bad"}
            await until(
                lambda: all(shown[name].value not in _OPEN for name in ended),
                limit_s=30.0,
            )
            assert shown["bad"] is JobState.FAILED
            assert {shown[name] for name in names} == {JobState.COMPLETED}
            assert not made.fleet.faults

    go(run())


_OPEN = {"queued", "running"}


def test_sound_tasks_outlive_racks_that_fall_one_after_the_other() -> None:
    """Each rack falls as often as a task may lose workers, all at a moment."""

    async def run() -> None:
        async with cell(workers=0) as made:
            for rack in ("r1", "r2", "r3"):
                for number in range(3):
                    made.add_worker(f"{rack}-{number}", rack=rack)
            made.fleet.work = lambda name, attempt: Work(seconds=0.3)
            owner = await made.own()
            names = [f"j{number}" for number in range(6)]
            for name in names:
                await submit(owner, name, job(step(3)))
            for rack in ("r1", "r2", "r3", "r1", "r2"):
                await until(lambda: len(made.fleet.starts) > 3)
                for each in list(made.fleet.workers.values()):
                    if rack in each.entry.labels:
                        made.fleet.go_down(each)
                await asyncio.sleep(0.4)
            shown = owner.board.shown
            await until(
                lambda: all(shown[name].value not in _OPEN for name in names),
                limit_s=30.0,
            )
            assert {shown[name] for name in names} == {JobState.COMPLETED}
            assert not made.fleet.faults

    go(run())


# Guards against sound work that is given up (LOST): workers of several racks that fall
# at one moment fell for a cause of their own, though a job had just begun on one.
@pytest.mark.parametrize("keeps", [False, True], ids=["a new identity", "the same"])
def test_sound_tasks_outlive_workers_that_fall_together_across_racks(
    keeps: bool,
) -> None:
    async def run() -> None:
        async with cell(workers=0) as made:
            made.fleet.keeps_identity = keeps
            for number in range(9):
                made.add_worker(f"w{number}", rack=f"r{number}", born_ms=1)
            made.fleet.work = lambda name, attempt: Work(seconds=0.25)
            owner = await made.own()
            await submit(owner, "a", job(step(1)))
            for number in range(CRASHES):
                await until(lambda: len(made.fleet.starts) > number)
                await asyncio.sleep(0.05)
                first = made.fleet.starts[-1].worker
                others = [each for each in made.fleet.workers if each != first]
                for name in (first, *others[:3]):
                    made.fleet.go_down(made.fleet.workers[name])
            await until(lambda: owner.board.shown["a"].value not in _OPEN, 30.0)
            assert owner.board.shown["a"] is JobState.COMPLETED
            assert not made.fleet.faults

    go(run())


# Guards against sound work that is given up (LOST): for some seconds workers fall
# faster than a task ends, always several at a moment.
@pytest.mark.parametrize("keeps", [False, True], ids=["a new identity", "the same"])
def test_a_sound_task_outlives_seconds_in_which_workers_fall_all_the_time(
    keeps: bool,
) -> None:
    async def run() -> None:
        async with cell(workers=0) as made:
            made.fleet.keeps_identity = keeps
            for number in range(5):
                made.add_worker(f"w{number}", rack=f"r{number % 2}", born_ms=1)
            made.fleet.work = lambda name, attempt: Work(seconds=0.25)
            owner = await made.own()
            await submit(owner, "a", job(step(1)))
            loop = asyncio.get_running_loop()
            disturbed_until = loop.time() + 3.0
            begun = 0
            while loop.time() < disturbed_until:
                await asyncio.sleep(0.05)
                if len(made.fleet.starts) > begun:
                    begun = len(made.fleet.starts)
                    first = made.fleet.starts[-1].worker
                    others = [each for each in made.fleet.workers if each != first]
                    for name in (first, *others[:2]):
                        made.fleet.go_down(made.fleet.workers[name])
            await until(lambda: owner.board.shown["a"].value not in _OPEN, 30.0)
            assert owner.board.shown["a"] is JobState.COMPLETED
            assert not made.fleet.faults

    go(run())


def test_sound_tasks_behind_a_cut_are_not_held_against_anyone() -> None:
    async def run() -> None:
        async with cell(workers=2) as made:
            made.fleet.work = lambda name, attempt: Work(seconds=1.5)
            owner = await made.own()
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(made.fleet.starts) == 1)
            cut = made.fleet.workers[made.fleet.starts[0].worker]
            cut.silent = True
            step_run = owner.board.jobs["a"].open[0].steps[0]
            await until(lambda: bool(step_run.losses))
            assert [each.worker for each in step_run.losses[0].lost]
            cut.silent = False
            await until(lambda: not step_run.losses[0].lost)
            await until(lambda: owner.board.shown["a"] is JobState.COMPLETED)
            assert not made.fleet.faults

    go(run())
