"""Who goes where and who goes first, decided on a board without any network."""

from collections.abc import Callable

import attrs
import pytest

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.feasibility import why_hopeless
from cranberrycleat.workflow.fleet import FleetWorker, Standing
from cranberrycleat.workflow.planner import Plan, Planner
from cranberrycleat.workflow.ports import Permit, PermitPolicy, Queue
from cranberrycleat.workflow.spec import Schedule, StepSpec, WorkflowSpec
from tests.cell import entry, job, queue, step

NOW_S = 1_000_000.0


def board(*workers: FleetWorker) -> Board:
    """Return a board whose clocks stand still."""
    made = Board(time_of_day=lambda: NOW_S, now=lambda: 0.0)
    for worker in workers:
        made.fleet.workers[worker.name] = worker
    return made


def worker(name: str, **more: object) -> FleetWorker:
    """Return a worker that answers."""
    return FleetWorker(
        entry=entry(name, **more), standing=Standing.LIVE  # type: ignore[arg-type]
    )


def submit(made: Board, job_id: str, spec: WorkflowSpec, at: Queue) -> None:
    """Hand a job in."""
    made.accept(job_id, at, spec)


def plan(made: Board, now: float = 0.0, now_s: float = NOW_S) -> Plan:
    """Plan one round."""
    return Planner(board=made).plan(now=now, now_s=now_s)


def placed(made: Board) -> dict[str, list[str]]:
    """Return the tasks on each worker."""
    return {
        each.name: sorted(p.task for p in each.placements.values())
        for each in made.fleet.workers.values()
    }


def test_urgent_work_goes_first() -> None:
    """With room for one, the queue of priority 0 has it."""
    made = board(worker("w", processors=1000))
    submit(made, "slow", job(step(1)), queue(priority=2))
    submit(made, "fast", job(step(1)), queue(priority=0))
    plan(made)
    assert placed(made) == {"w": ["fast.0.0.0"]}


def test_what_is_worth_nothing_any_more_goes_last() -> None:
    """A job that missed even its late objective does not make others late."""
    made = board(worker("w", processors=1000))
    submit(made, "old", job(step(1)), queue(priority=0))
    made.jobs["old"].accepted_s = NOW_S - 100
    submit(made, "new", job(step(1)), queue(priority=2))
    plan(made)
    assert placed(made) == {"w": ["new.0.0.0"]}


def test_a_gang_is_placed_whole_or_not_at_all() -> None:
    """Three members of two thousand need two workers of four."""
    made = board(worker("w"))
    submit(made, "g", job(step(3, processors=2000, gang=True)), queue())
    assert not plan(made).groups
    made.fleet.workers["v"] = worker("v")
    groups = plan(made).groups
    assert len(groups) == 1 and len(groups[0].placements) == 3
    assert len({p.attempt for _, p in groups[0].placements}) == 1


def test_a_waiting_gang_is_not_starved_by_small_work() -> None:
    """Room on its workers is kept from steps that come after it."""
    made = board(worker("w"), worker("v"))
    submit(made, "first", job(step(1, processors=1000)), queue())
    plan(made)
    submit(made, "g", job(step(2, processors=4000, gang=True)), queue(priority=1))
    submit(made, "small", job(step(8, processors=1000)), queue(priority=2))
    plan(made)
    names = [name for tasks in placed(made).values() for name in tasks]
    assert names == ["first.0.0.0"]


@pytest.mark.parametrize(
    ("spec", "expected"),
    [
        (step(2, processors=1000), {"w", "v"}),
        (step(1, processors=1000, data_rack="r2"), {"v"}),
        (step(1, processors=1000, label="r2"), {"v"}),
        (step(2, processors=1000, most_per_worker=1), {"w", "v"}),
        (step(2, processors=2000, gang=True, same_rack=True, label=""), {"w"}),
    ],
)
def test_where_steps_go(spec: StepSpec, expected: set[str]) -> None:
    """Labels and limits bind; racks and full workers are preferred."""
    made = board(worker("w", rack="r1"), worker("v", rack="r2"))
    if spec.count == 2 and not spec.most_per_worker and not spec.gang:
        spec = attrs.evolve(spec, count=6)
    submit(made, "a", job(spec), queue())
    plan(made)
    found = {name for name, tasks in placed(made).items() if tasks}
    assert found == expected or (spec.gang and len(found) == 1)


def test_a_filler_takes_no_processors_of_the_count() -> None:
    """It runs on what the others leave."""
    made = board(worker("w", processors=1000))
    submit(made, "full", job(step(1, processors=1000)), queue(priority=0))
    submit(made, "fill", job(step(3, processors=1000, filler=True)), queue())
    plan(made)
    assert len(placed(made)["w"]) == 4


def _silent(each: FleetWorker) -> None:
    each.standing = Standing.SILENT


def _doubted(each: FleetWorker) -> None:
    each.doubted = True


def _unlisted(each: FleetWorker) -> None:
    each.listed = False


def _leaving(each: FleetWorker) -> None:
    each.entry = attrs.evolve(each.entry, leaving=True)


def _failing(each: FleetWorker) -> None:
    for number in range(3):
        each.note_failure(f"job{number}", 0.0)


@pytest.mark.parametrize("mar", [_silent, _doubted, _unlisted, _leaving, _failing])
def test_who_draws_nothing(mar: Callable[[FleetWorker], None]) -> None:
    """Workers that cannot be trusted with work get none."""
    made = board(worker("w"))
    mar(made.fleet.workers["w"])
    submit(made, "a", job(step(1)), queue())
    plan(made)
    assert placed(made) == {"w": []}


def test_a_failing_worker_is_tried_again_with_one_task() -> None:
    """After its rest it has one task; a success sets it free."""
    made = board(worker("w"))
    _failing(made.fleet.workers["w"])
    submit(made, "a", job(step(3)), queue())
    plan(made, now=5.0)
    assert len(placed(made)["w"]) == 1
    made.fleet.workers["w"].note_success()
    plan(made, now=5.0)
    assert len(placed(made)["w"]) == 3


def test_permits_are_asked_once_and_bind() -> None:
    """Only allowed workers are used, and a known answer is not asked again."""
    made = board(worker("w"), worker("v"))
    policy = PermitPolicy(decide_s=0.1, each_s=0.0, valid_s=1.0)
    submit(made, "a", job(step(1)), queue(permits=policy))
    wishes = plan(made).wishes
    assert [set(wish.workers) for wish in wishes] == [{"w", "v"}]
    permits = made.permits["a.0.0"]
    permits.take(("w", "v"), (Permit(worker="v", ticket="t"),), 0.0)
    assert not plan(made).wishes
    assert placed(made) == {"w": [], "v": ["a.0.0.0"]}
    assert permits.valid("v", 0.5) == "t" and permits.valid("v", 0.9) == ""


def test_occurrences_open_when_they_are_due() -> None:
    """None starts before its time, and all of them run."""
    now_s = NOW_S
    made = Board(time_of_day=lambda: now_s, now=lambda: 0.0)
    spec = WorkflowSpec(
        program="p",
        steps=(step(1),),
        schedule=Schedule(runs=3, first_s=NOW_S + 5, period_s=10),
    )
    made.accept("a", queue(), spec)
    opened = []
    for seconds in range(0, 40, 5):
        now_s = NOW_S + seconds
        made.open_all_due()
        opened.append(len(made.jobs["a"].open))
    assert opened == [0, 1, 1, 2, 2, 3, 3, 3]
    assert made.next_due_s() is None


@pytest.mark.parametrize(
    ("spec", "reason"),
    [
        (step(1), ""),
        (step(9, processors=1000), ""),
        (step(1, processors=5000), "no worker has that much"),
        (step(1, label="gold"), "label"),
        (step(9, processors=1000, gang=True), "gang"),
        (step(3, gang=True, most_per_worker=1), "gang"),
    ],
)
def test_what_can_never_run_is_known(spec: StepSpec, reason: str) -> None:
    """Too large, no such label, too wide; not what only has to wait."""
    workers = [worker("w"), worker("v")]
    for each in workers:
        each.standing = Standing.SILENT
    found = why_hopeless(job(spec), workers)
    assert (reason in found) if reason else not found
    assert not why_hopeless(job(spec), [])


def test_amounts_are_counted_and_uncounted() -> None:
    """What is placed counts until it is proved to be over."""
    made = board(worker("w", processors=2000))
    submit(made, "a", job(step(3, processors=1000)), queue())
    plan(made)
    only = made.fleet.workers["w"]
    assert only.free == Amounts(processors=0, memory_mb=3800)
    first = next(iter(only.placements.values()))
    made.give_up(only, first, "test")
    assert only.free.processors == 1000
    plan(made)
    assert only.free.processors == 0


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize(
    ("names", "failures", "expected"),
    [
        (("bad", "good"), 1, "good"),
        (("bad", "good"), 0, "bad"),
        (("bad",), 1, "bad"),
    ],
    ids=["another may run it", "it has done well since", "no other may"],
)
def test_a_task_does_not_go_back_to_the_worker_that_failed_it(
    names: tuple[str, ...], failures: int, expected: str, gang: bool
) -> None:
    """That worker has room at once, and is the fuller one here."""
    workers = [worker(name) for name in names]
    workers[0].free = Amounts(processors=2000, memory_mb=4000)
    workers[0].failures = failures
    made = board(*workers)
    submit(made, "a", job(step(1, gang=gang)), queue())
    made.jobs["a"].open[0].steps[0].tasks[0].failed_on.add("bad")
    plan(made)
    assert placed(made)[expected] == ["a.0.0.0"]


@pytest.mark.parametrize(
    "spec",
    [step(3, processors=2000, gang=True), step(2, most_per_worker=1)],
    ids=["too wide for the others", "the others are at their limit"],
)
def test_a_worker_that_failed_a_task_is_used_where_it_is_needed(spec: StepSpec) -> None:
    """Otherwise the task would wait for ever."""
    workers = [worker("bad"), worker("good")]
    workers[0].failures = 1
    made = board(*workers)
    submit(made, "a", job(spec), queue())
    for task in made.jobs["a"].open[0].steps[0].tasks:
        task.failed_on.add("bad")
    plan(made)
    assert sum(len(tasks) for tasks in placed(made).values()) == spec.count


@pytest.mark.parametrize(
    ("waited_s", "goes"), [(0.5, False), (2.5, True)], ids=["waits", "goes"]
)
def test_a_task_waits_a_while_for_the_rack_of_its_data(
    waited_s: float, goes: bool
) -> None:
    """At three times the run time elsewhere, 2 s of it; then any worker will do."""
    near, far = worker("near", rack="r1"), worker("far", rack="r2")
    near.free = Amounts(processors=500, memory_mb=4000)
    made = board(near, far)
    submit(made, "a", job(step(1, data_rack="r1", estimate_s=2.0)), queue())
    rounds = Planner(board=made, spread_factor=3.0)
    found = rounds.plan(now=waited_s, now_s=NOW_S)
    assert placed(made)["far"] == (["a.0.0.0"] if goes else [])
    assert found.retry_at == (None if goes else 2.0)


@pytest.mark.parametrize(
    ("count", "waited_s", "starts"),
    [(4, 0.5, False), (4, 2.5, True), (6, 0.5, True)],
    ids=["waits for a rack", "waited long enough", "no rack could hold it"],
)
def test_a_gang_waits_a_while_for_one_rack(
    count: int, waited_s: float, starts: bool
) -> None:
    workers = [
        worker("a1", rack="r1"),
        worker("a2", rack="r1"),
        worker("b1", rack="r2"),
        worker("b2", rack="r2"),
    ]
    for each in (workers[0], workers[2]):
        each.free = Amounts(processors=2000, memory_mb=4000)
    spec = step(count, processors=2000, gang=True, same_rack=True, estimate_s=2.0)
    made = board(*workers)
    submit(made, "a", job(spec), queue())
    found = Planner(board=made, spread_factor=3.0).plan(now=waited_s, now_s=NOW_S)
    assert bool(found.groups) is starts


def test_a_gang_takes_the_rack_that_has_room() -> None:
    workers = [worker("a1", rack="r1"), worker("b1", rack="r2")]
    workers[0].free = Amounts(processors=1000, memory_mb=4000)
    made = board(*workers)
    spec = step(2, processors=2000, gang=True, same_rack=True, estimate_s=2.0)
    submit(made, "a", job(spec), queue())
    assert Planner(board=made, spread_factor=3.0).plan(now=0.0, now_s=NOW_S).groups
    assert placed(made)["b1"] == ["a.0.0.0", "a.0.0.1"]
