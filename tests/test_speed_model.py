"""Tests of learned speeds and run times, and of their summary for the next owner."""

import asyncio
import math
import random
from collections.abc import Callable

import attrs
import pytest

from cranberrycleat import errors
from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.table import Row
from cranberrycleat.workflow import takeover
from cranberrycleat.workflow.batches import take_batch
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.load_control import LoadControl
from cranberrycleat.workflow.decisions.runtime_estimates import RuntimeEstimates
from cranberrycleat.workflow.decisions.speed_model import (
    SUMMARY_INTERVAL_S,
    SUMMARY_REFRESH_S,
    SpeedModel,
)
from cranberrycleat.workflow.fleet import FleetWorker, Placement
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.state import Job, Task
from cranberrycleat.workflow.takeover import StoredRows, restore_speeds
from tests.cell import POOL, job, queue, step
from tests.fakes import run_async
from tests.test_planner import NOW_S, cluster_state, worker

WORKERS = 30


def play(
    speeds: list[float],
    *,
    ends_per_worker: int = 20,
    variation: float = 0.15,
    estimate_factor: float = 1.0,
    tasks: int = 6,
    seed: int = 7,
    observe: Callable[[SpeedModel], None] = lambda model: None,
) -> tuple[SpeedModel, RuntimeEstimates, list[FleetWorker]]:
    """Run steps of some tasks on random workers; 3 in 100 take seven times longer.

    Each end is reported up to 0.25 s late, and the model is observed after it.
    """
    rng = random.Random(seed)
    model, estimates = SpeedModel(), RuntimeEstimates()
    workers = [worker(f"w{number}") for number in range(len(speeds))]
    ends: list[tuple[float, int, Placement, float]] = []
    for number in range(ends_per_worker * len(speeds) // tasks):
        nominal_s = rng.uniform(0.6, 4.0)
        spec = step(tasks, estimate_s=nominal_s / estimate_factor)
        for task in _tasks(spec, f"j{number}"):
            chosen = rng.randrange(len(speeds))
            factor = rng.uniform(1 - variation, 1 + variation)
            factor *= 7 if rng.random() < 0.03 else 1
            ran_s = nominal_s * factor / speeds[chosen] + rng.uniform(0, 0.25)
            ends.append((number * 0.1 + ran_s, chosen, placement(task), ran_s))
    for at, chosen, each, ran_s in sorted(ends, key=lambda end: end[0]):
        assert each.tracked_task is not None
        speed = model.speed_of(workers[chosen])
        estimates.record_end("q", each.tracked_task.step.spec, ran_s, speed)
        model.record_end(workers[chosen], each, ran_s, at)
        observe(model)
    return model, estimates, workers


def _tasks(spec: StepSpec, job_id: str = "j") -> list[Task]:
    run = Job(job_id=job_id, queue=queue(), spec=job(spec), accepted_s=0.0)
    return run.open_occurrence().steps[0].tasks


def placement(task: Task, **changes: object) -> Placement:
    """Return a running attempt of a task."""
    found = Placement(
        task=task.name, attempt=1, needs=NOTHING, tracked_task=task, running=True
    )
    for name, value in changes.items():
        setattr(found, name, value)
    return found


@pytest.mark.parametrize(
    ("kinds", "variation", "uneven"),
    [
        ((0.6, 1.0, 1.6), 0.15, True),
        ((0.6, 1.0), 0.15, True),
        ((0.6, 1.0, 1.6), 0.3, True),
        ((1.0,), 0.15, False),
        ((1.0,), 0.3, False),
    ],
    ids=["three kinds", "slow half of the fleet", "noisy", "equal", "equal, noisy"],
)
def test_speeds_are_learned_and_noise_is_not(
    kinds: tuple[float, ...], variation: float, uneven: bool
) -> None:
    """Guards against long tasks taken for slow workers, and speeds left unnoticed."""
    speeds = [kinds[number % len(kinds)] for number in range(WORKERS)]
    model, _, workers = play(speeds, variation=variation)
    assert model.is_uneven(POOL) is uneven
    middle = model.speed_of(workers[kinds.index(1.0)])
    deviations = [
        abs(math.log(model.speed_of(each) / middle / speed))
        for each, speed in zip(workers, speeds, strict=True)
    ]
    assert sum(deviations) / len(deviations) < 0.2 and max(deviations) < 0.45
    before = model.speed_of(workers[-1])
    for each, task in zip(workers[-6:], _tasks(step(6)), strict=True):
        factor = 7 if each is workers[-1] else 1
        model.record_end(each, placement(task), factor / model.speed_of(each))
    assert model.speed_of(workers[-1]) > before * 0.93, "one task took 7 times as long"


# Pattern: a fleet of equal workers from its first ends on. Guards against placing by
# noise: a pool of equal workers counted as uneven for up to half of the time.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("tasks", [3, 25])
@pytest.mark.parametrize(
    ("kinds", "variation", "uneven"),
    [((1.0,), 0.15, False), ((1.0,), 0.3, False), ((0.6, 1.0, 1.6), 0.15, True)],
    ids=["equal", "equal, noisy", "three kinds"],
)
def test_equal_workers_are_never_taken_for_unequal(
    kinds: tuple[float, ...], variation: float, uneven: bool, tasks: int, seed: int
) -> None:
    speeds = [kinds[number % len(kinds)] for number in range(176)]
    found: set[bool] = set()
    play(
        speeds,
        ends_per_worker=14,
        variation=variation,
        tasks=tasks,
        seed=seed,
        observe=lambda model: found.add(model.is_uneven(POOL)),
    )
    assert (True in found) is uneven


@pytest.mark.parametrize(
    ("spec", "changes"),
    [
        (step(2, gang=True), {}),
        (step(2, service=True), {}),
        (step(2, filler=True), {}),
        (step(2), {"saved": "checkpoint"}),
        (step(2), {"throttle": 50}),
        (step(2), {"running_since": float("-inf")}),
    ],
    ids="gang service filler resumed throttled adopted".split(),
)
def test_run_times_that_are_no_evidence(
    spec: StepSpec, changes: dict[str, object]
) -> None:
    """Guards against speeds learned from run times that are not of a whole task."""
    model, workers = SpeedModel(), [worker("a"), worker("b")]
    for number in range(20):
        for each, task in zip(workers, _tasks(spec, f"j{number}"), strict=True):
            model.record_end(each, placement(task, **changes), 1.0)
    assert [model.confidence_of(each) for each in workers] == [0.0, 0.0]


@pytest.mark.parametrize(
    ("changes", "confidence"),
    [
        ({"labels": ("b", "r1")}, 0.0),
        ({"capacity": Amounts(processors=8000, memory_mb=4000)}, 0.0),
        ({}, 0.5),
    ],
    ids=["another kind", "another size", "the same kind"],
)
def test_restarted_worker_keeps_speed_of_its_kind_only(
    changes: dict[str, object], confidence: float
) -> None:
    """Guards against a speed learned on a worker that restarts as another kind."""
    model, _, workers = play([0.6, 1.0, 1.6] * 4)
    before = model.speed_of(workers[0])
    unregistered = workers[0].entry.for_incarnation(5)
    entry = attrs.evolve(unregistered, readable=True, **changes)  # type: ignore
    unknown = model.speed_of(FleetWorker(entry=unregistered))
    assert unknown == 1.0, "its kind is not known yet"
    after = FleetWorker(entry=entry)
    assert model.confidence_of(after) == confidence
    assert model.speed_of(after) == (before if confidence else 1.0)


@pytest.mark.parametrize("factor", [0.5, 1.0, 1.8])
def test_estimates_are_corrected_by_median(factor: float) -> None:
    """Guards against a correction that follows the tasks of seven times the length."""
    _, estimates, _ = play([1.0] * WORKERS, estimate_factor=factor)
    spec = step(1, estimate_s=2.0)
    expected_s = estimates.expected_s("q", spec)
    assert 2.0 * factor < expected_s < 2.0 * factor * 1.15, "ends are reported late"
    assert estimates.expected_s("q", spec, 0.5) == 2 * expected_s
    assert 1.0 < estimates.error_of("q") < 1.3
    assert estimates.expected_s("unknown", spec) == 2.0


def _board(model: SpeedModel) -> ClusterState:
    owner_board = cluster_state()
    owner_board.load = LoadControl(speeds=model)
    return owner_board


def test_summary_lets_successor_start_with_speeds() -> None:
    """Written at most once in 5 s, and only if it has changed or is old."""
    model, _, workers = play([0.6, 1.0, 1.6] * 4)
    times = [100.0]
    owner_board = _board(model)
    for each in workers:
        owner_board.fleet.add(each)
    owner_board.now = lambda: times[0]
    (put,) = take_batch(owner_board).puts
    assert put.key == f"speeds/{POOL}"
    times.append(times.pop() + SUMMARY_INTERVAL_S)
    assert not take_batch(owner_board).puts, "nothing changed"
    times.append(times.pop() + SUMMARY_REFRESH_S)
    assert take_batch(owner_board).puts, "a successor would ignore an old one"

    successor = _board(SpeedModel())
    row = Row(key=put.key, version=1, value=put.value)
    stored = StoredRows(specs=(), jobs=(), inbox=(), speeds=(row,))
    restore_speeds(successor, stored)
    assert successor.load.speeds is not None
    for each in workers:
        after = successor.load.speeds.speed_of(each)
        assert after == pytest.approx(model.speed_of(each), rel=0.03)
    assert successor.load.speeds.is_uneven(POOL)
    assert not list(successor.load.speeds.take_due_summaries((), 100.0))
    assert successor.load.speeds.confidence_of(workers[0]) == 0.0, "no longer listed"


@pytest.mark.parametrize(
    ("value", "usable"),
    [
        (f'[{NOW_S - 30},[["w",0,"a",4000,4000,0,0.5,10.0]]]', True),
        (f'[{NOW_S - 61},[["w",0,"a",4000,4000,0,0.5,10.0]]]', False),
        (f'[{NOW_S},[["w",0,"a"]]]', False),
        ('{"written":"by another version"}', False),
        (f'[{NOW_S},[["w",0,"a",4000,4000,0,1e4,10.0]]]', False),
    ],
    ids=["young", "too old", "short", "another version", "impossible speed"],
)
def test_unusable_summary_is_ignored(value: str, usable: bool) -> None:
    """Guards against a takeover that fails on a summary, or that trusts an old one."""
    model = SpeedModel()
    row = Row(key=f"speeds/{POOL}", version=1, value=value)
    stored = StoredRows(specs=(), jobs=(), inbox=(), speeds=(row,))
    restore_speeds(_board(model), stored)
    assert model.confidence_of(worker("w")) == (1.0 if usable else 0.0)


# Guards against records that pile up in a pool whose steps have one task each: they
# give no comparison, and so the pool was not known when workers were forgotten.
def test_missing_workers_of_a_pool_without_comparisons_are_forgotten() -> None:
    model, board = SpeedModel(), cluster_state()
    for number in range(3):
        board.accept(f"j{number}", queue(), job(step(1, estimate_s=1.0)))
        (task,) = board.jobs[f"j{number}"].open[0].steps[0].tasks
        placement = board.place(task, worker(f"w{number}"), 1, now=0.0)
        placement.began(0.0)
        model.record_end(worker(f"w{number}"), placement, 1.0)
    assert len(model._records) == 3
    assert not list(model.take_due_summaries(("w0",), 100.0))
    assert list(model._records) == ["w0"]


@pytest.mark.parametrize("hangs", [True, False], ids=["no answer", "error"])
def test_takeover_does_not_wait_for_speeds(hangs: bool) -> None:
    """Guards against a takeover that needs a summary, which is only an advantage."""

    @attrs.define(kw_only=True)
    class Table(MemoryFeedTable):
        async def scan(self, *, prefix: str) -> tuple[Row, ...]:
            if prefix != "speeds/":
                return await MemoryFeedTable.scan(self, prefix=prefix)
            if hangs:
                await asyncio.Event().wait()
            raise errors.TableUnavailable("no answer")

    class Directory:
        async def read_all(self) -> None:
            """Read nothing."""

    reading = takeover._read(Table(), Directory(), True)  # type: ignore[arg-type]
    assert run_async(reading).speeds == ()
