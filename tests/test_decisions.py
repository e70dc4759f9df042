"""Reservation, preemption, learning, quarantine: who gives way to whom, and when."""

import pytest

from cranberrycleat.amounts import Amounts
from cranberrycleat.book import QUARANTINE_AFTER, WorkerState
from cranberrycleat.history import RunHistory
from cranberrycleat.jobs import Kind, Priority, Yield
from cranberrycleat.placement import Ask
from cranberrycleat.rounds import RoundPlanner
from tests.test_placement import ask, places, planner, worker

URGENT = Priority.URGENT
LOW = Priority.LOW


def release(made: RoundPlanner, task: str) -> None:
    """End a task."""
    for each in made.book.workers.values():
        made.book.release(each.name, task)
    made.forget(task)


def test_gang_does_not_starve() -> None:
    """Short work goes on beside a waiting gang; long work no longer does."""
    made = planner(worker("a", 4), worker("b", 4))
    made.plan([ask("old", 4, run_s=30.0)], now=0.0)
    gang = ask("gang", 4, 2, Kind.GANG, run_s=60.0)
    made.plan([gang], now=1.0)
    long, short = ask("long", 4, run_s=100.0), ask("short", 4, run_s=5.0)
    made.plan([gang], now=15.0)
    assert places(made.plan([gang, long], now=15.1)) == {}
    assert places(made.plan([gang, long, short], now=15.2)) == {"short/0": "b"}
    release(made, "short/0")
    release(made, "old/0")
    found = places(made.plan([gang, long], now=31.0))
    assert found == {"gang/0": "a", "gang/1": "b"}


@pytest.mark.parametrize(
    ("gives_way", "rank", "expected"),
    [
        (Yield.CHECKPOINT, LOW, Yield.CHECKPOINT),
        (Yield.STOP, LOW, Yield.STOP),
        (Yield.NEVER, LOW, None),
        (Yield.STOP, URGENT, None),
    ],
)
def test_who_gives_way(
    gives_way: Yield, rank: Priority, expected: Yield | None
) -> None:
    """Less urgent work makes room, as it said that it would."""
    made = planner(worker("a", 4))
    made.plan([ask("low", 4, rank=rank, gives_way=gives_way)], now=0.0)
    urgent = ask("urgent", 4, rank=URGENT)
    plan = made.plan([urgent], now=1.0)
    assert [each.how for each in plan.preemptions] == ([expected] if expected else [])
    assert plan.assignments == ()
    if expected:
        assert made.plan([urgent], now=1.1).preemptions == ()
        release(made, "low/0")
        assert places(made.plan([urgent], now=1.2)) == {"urgent/0": "a"}


def test_the_least_loss_gives_way() -> None:
    """Checkpointed work goes before stopped work, young before old."""
    made = planner(worker("a", 4), worker("b", 4), worker("c", 4))
    stop, check = Yield.STOP, Yield.CHECKPOINT
    made.plan([ask("old", 4, rank=LOW, gives_way=stop)], now=0.0)
    made.plan([ask("young", 4, rank=LOW, gives_way=stop)], now=50.0)
    urgent = ask("urgent", 4, 2, rank=URGENT)
    made.plan([ask("kept", 4, rank=LOW, gives_way=check)], now=0.5)
    plan = made.plan([urgent], now=60.0)
    assert {each.task for each in plan.preemptions} == {"kept/0", "young/0"}


def test_overfull_worker_is_relieved() -> None:
    """Where reports show too much in use, the least urgent task gives way."""
    made = planner(worker("a", 4))
    made.plan([ask("low", 2, rank=LOW), ask("normal", 2, rank=1)], now=0.0)
    declared = Amounts(processors=2000, memory_mb=1024)
    made.book.report("a", "normal/0", declared, Amounts(processors=3000))
    plan = made.plan([], now=1.0)
    assert len(plan.preemptions) == 1
    assert made.plan([], now=1.1).preemptions == ()


def test_worker_that_fails_everything_rests_and_is_probed() -> None:
    """It draws less, then none, and after a rest one task at a time."""
    made = planner(worker("a", 4))
    for number in range(QUARANTINE_AFTER):
        job = ask(f"j{number}", 1, 3)
        drawn = places(made.plan([job], now=float(number)))
        assert len(drawn) == (3 if number == 0 else 1)
        for task in drawn:
            release(made, task)
        made.book.start_failed("a")
    assert made.book.workers["a"].state is WorkerState.QUARANTINED
    wanted = ask("more", 1, 3)
    assert places(made.plan([wanted], now=10.0)) == {}
    assert len(places(made.plan([wanted], now=100.0))) == 1
    made.book.start_succeeded("a")
    assert len(places(made.plan([ask("again", 1, 3)], now=101.0))) == 3


def test_what_is_learned_of_a_family() -> None:
    """The last night's run says more than what the next one declares."""
    history = RunHistory()
    history.note_run("nightly-2026-12-01", 120.0)
    history.note_use("nightly-2026-12-01", Amounts(processors=4000))
    declared = Amounts(processors=1000, memory_mb=512)
    assert history.run_s("nightly-2026-12-02", 5.0) == 120.0
    counted = Amounts(processors=4000, memory_mb=512)
    assert history.needs("nightly-2026-12-02", declared) == counted
    assert history.needs("other-1", declared) == declared
    assert history.run_s("other-1", 5.0) == 5.0


def test_a_bad_job_is_not_blamed_on_workers() -> None:
    """What failed on two workers says nothing about the third."""
    history = RunHistory()
    blamed = [history.blames_worker("bad", name) for name in ("a", "b", "c", "d")]
    assert blamed == [True, True, False, False]


def test_short_work_goes_first_and_nothing_waits_for_ever() -> None:
    """Least work first; what has waited long overtakes it."""
    made = planner(worker("a", 4))
    long, short = ask("long", 4, run_s=100.0), ask("short", 4, run_s=1.0)
    busy = ask("busy", 4, rank=URGENT)
    made.plan([busy, long, short], now=0.0)
    release(made, "busy/0")
    assert places(made.plan([long, short], now=1.0)) == {"short/0": "a"}
    assert waits_longest(made, long) < 20_000


def waits_longest(made: RoundPlanner, long: Ask) -> float:
    """Return when a long job gets its place although short ones keep coming."""
    now, task = 1.0, "short/0"
    while now < 50_000:
        now += 100.0
        release(made, task)
        fresh = ask(f"s{int(now)}", 4, run_s=1.0)
        found = places(made.plan([long, fresh], now=now))
        if "long/0" in found:
            return now
        task = next(iter(found))
    return now
