"""Tests of scheduling rounds: reservation, preemption, learning, quarantine."""

import pytest

from cranberrycleat.amounts import Amounts
from cranberrycleat.history import RunHistory
from cranberrycleat.inventory import QUARANTINE_AFTER, WorkerState
from cranberrycleat.jobs import Kind, PreemptionMode, Priority
from cranberrycleat.placement import PlacementRequest
from cranberrycleat.rounds import RoundPlanner
from tests.test_placement import placements, planner, request, worker

URGENT = Priority.URGENT
LOW = Priority.LOW


def release(round_planner: RoundPlanner, task: str) -> None:
    """Release a task that has ended."""
    for each in round_planner.inventory.workers.values():
        round_planner.inventory.release(each.name, task)
    round_planner.forget(task)


def test_waiting_gang_blocks_long_work_only() -> None:
    """Short work is still placed while a gang waits; long work no longer is."""
    round_planner = planner(worker("a", 4), worker("b", 4))
    round_planner.plan([request("old", 4, run_s=30.0)], now=0.0)
    gang = request("gang", 4, 2, Kind.GANG, run_s=60.0)
    round_planner.plan([gang], now=1.0)
    long, short = request("long", 4, run_s=100.0), request("short", 4, run_s=5.0)
    round_planner.plan([gang], now=15.0)
    assert placements(round_planner.plan([gang, long], now=15.1)) == {}
    assert placements(round_planner.plan([gang, long, short], now=15.2)) == {
        "short/0": "b"
    }
    release(round_planner, "short/0")
    release(round_planner, "old/0")
    found = placements(round_planner.plan([gang, long], now=31.0))
    assert found == {"gang/0": "a", "gang/1": "b"}


@pytest.mark.parametrize(
    ("gives_way", "rank", "expected"),
    [
        (PreemptionMode.CHECKPOINT, LOW, PreemptionMode.CHECKPOINT),
        (PreemptionMode.STOP, LOW, PreemptionMode.STOP),
        (PreemptionMode.NEVER, LOW, None),
        (PreemptionMode.STOP, URGENT, None),
    ],
)
def test_preemption_follows_declared_policy(
    gives_way: PreemptionMode, rank: Priority, expected: PreemptionMode | None
) -> None:
    """Less urgent work is preempted in the way that it declared."""
    round_planner = planner(worker("a", 4))
    round_planner.plan([request("low", 4, rank=rank, gives_way=gives_way)], now=0.0)
    urgent = request("urgent", 4, rank=URGENT)
    plan = round_planner.plan([urgent], now=1.0)
    assert [each.how for each in plan.preemptions] == ([expected] if expected else [])
    assert plan.assignments == ()
    if expected:
        assert round_planner.plan([urgent], now=1.1).preemptions == ()
        release(round_planner, "low/0")
        assert placements(round_planner.plan([urgent], now=1.2)) == {"urgent/0": "a"}


def test_preemption_minimizes_lost_work() -> None:
    """Checkpointable work is preempted before other work, young before old."""
    round_planner = planner(worker("a", 4), worker("b", 4), worker("c", 4))
    stop, check = PreemptionMode.STOP, PreemptionMode.CHECKPOINT
    round_planner.plan([request("old", 4, rank=LOW, gives_way=stop)], now=0.0)
    round_planner.plan([request("young", 4, rank=LOW, gives_way=stop)], now=50.0)
    urgent = request("urgent", 4, 2, rank=URGENT)
    round_planner.plan([request("kept", 4, rank=LOW, gives_way=check)], now=0.5)
    plan = round_planner.plan([urgent], now=60.0)
    assert {each.task for each in plan.preemptions} == {"kept/0", "young/0"}


def test_overcommitted_worker_is_relieved() -> None:
    """If reports show more usage than capacity, the least urgent task is preempted."""
    round_planner = planner(worker("a", 4))
    round_planner.plan(
        [request("low", 2, rank=LOW), request("normal", 2, rank=1)], now=0.0
    )
    declared = Amounts(processors=2000, memory_mb=1024)
    round_planner.inventory.report("a", "normal/0", declared, Amounts(processors=3000))
    plan = round_planner.plan([], now=1.0)
    assert len(plan.preemptions) == 1
    assert round_planner.plan([], now=1.1).preemptions == ()


def test_failing_worker_is_quarantined_and_probed() -> None:
    """It gets fewer tasks, then none, and after its quarantine one at a time."""
    round_planner = planner(worker("a", 4))
    for number in range(QUARANTINE_AFTER):
        job = request(f"j{number}", 1, 3)
        drawn = placements(round_planner.plan([job], now=float(number)))
        assert len(drawn) == (3 if number == 0 else 1)
        for task in drawn:
            release(round_planner, task)
        round_planner.inventory.start_failed("a")
    assert round_planner.inventory.workers["a"].state is WorkerState.QUARANTINED
    wanted = request("more", 1, 3)
    assert placements(round_planner.plan([wanted], now=10.0)) == {}
    assert len(placements(round_planner.plan([wanted], now=100.0))) == 1
    round_planner.inventory.start_succeeded("a")
    assert len(placements(round_planner.plan([request("again", 1, 3)], now=101.0))) == 3


def test_history_is_learned_per_job_family() -> None:
    """The previous run of a nightly job outweighs what the next one declares."""
    history = RunHistory()
    history.record_run("nightly-2026-12-01", 120.0)
    history.record_usage("nightly-2026-12-01", Amounts(processors=4000))
    declared = Amounts(processors=1000, memory_mb=512)
    assert history.run_s("nightly-2026-12-02", 5.0) == 120.0
    counted = Amounts(processors=4000, memory_mb=512)
    assert history.needs("nightly-2026-12-02", declared) == counted
    assert history.needs("other-1", declared) == declared
    assert history.run_s("other-1", 5.0) == 5.0


def test_job_failing_on_two_workers_is_not_blamed_on_workers() -> None:
    """Failures after the second worker are not blamed on the worker."""
    history = RunHistory()
    blamed = [history.record_failed_start("bad", name) for name in ("a", "b", "c", "d")]
    assert blamed == [True, True, False, False]


def test_short_work_goes_first_with_aging() -> None:
    """The shortest work goes first; long-waiting work eventually overtakes it."""
    round_planner = planner(worker("a", 4))
    long, short = request("long", 4, run_s=100.0), request("short", 4, run_s=1.0)
    busy = request("busy", 4, rank=URGENT)
    round_planner.plan([busy, long, short], now=0.0)
    release(round_planner, "busy/0")
    assert placements(round_planner.plan([long, short], now=1.0)) == {"short/0": "a"}
    assert long_job_start_s(round_planner, long) < 20_000


def long_job_start_s(round_planner: RoundPlanner, long: PlacementRequest) -> float:
    """Return when a long job is placed although short ones keep arriving."""
    now, task = 1.0, "short/0"
    while now < 50_000:
        now += 100.0
        release(round_planner, task)
        fresh = request(f"s{int(now)}", 4, run_s=1.0)
        found = placements(round_planner.plan([long, fresh], now=now))
        if "long/0" in found:
            return now
        task = next(iter(found))
    return now
