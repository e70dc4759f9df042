"""Which workers the permit service is asked about, in fleets of hundreds.

The load that it answers: 270 workers and 80 steps a second. When each step asked about
every worker, an owner sent 13,500 questions a second in 210 calls, and looked through
270 answers for each step in each round.
"""

import attrs
import pytest

from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.fleet import FleetWorker, times
from cranberrycleat.workflow.permit_choice import AllowedShare, choose
from cranberrycleat.workflow.planner import PermitWish, Plan, Planner
from cranberrycleat.workflow.ports import Permit, PermitPolicy
from cranberrycleat.workflow.spec import StepSpec
from tests.cell import job, queue, step
from tests.test_planner import board, submit, worker

POLICY = PermitPolicy(decide_s=0.1, each_s=0.01, valid_s=1.5)
FLEET = 270


def _workers(free: int, count: int = FLEET) -> list[FleetWorker]:
    """Return workers of four processors that have some thousandths free."""
    made = [worker(f"w{number:03}") for number in range(count)]
    for each in made:
        each.free = attrs.evolve(each.free, processors=free)
    return made


def _choose(
    spec: StepSpec,
    *,
    unknown: list[FleetWorker],
    allowed: tuple[FleetWorker, ...] = (),
    share: float = 0.5,
    name: str = "a.0.0",
) -> list[FleetWorker]:
    return choose(
        step_name=name,
        pending=spec.count,
        allowed=allowed,
        unknown=unknown,
        seats_now=lambda each: times(spec.needs, each.free),
        seats_ever=lambda each: times(spec.needs, each.entry.capacity),
        share=share,
    )


@pytest.mark.parametrize(
    ("spec", "free", "share", "least", "most"),
    [
        # Three seats for each task that is allowed: 3 tasks at 0.7 want 13 seats.
        (step(3), 1000, 0.7, 13, 40),
        (step(3), 4000, 0.7, 4, 40),
        (step(3, gang=True), 1000, 0.7, 13, 40),
        (step(1), 1000, 1.0, 3, 40),
        # Nowhere is room: a whole call's worth is asked about ahead.
        (step(3), 0, 0.7, 100, 100),
        # More than all together could hold: all are asked.
        (step(2000), 4000, 0.5, FLEET, FLEET),
    ],
)
def test_as_many_are_asked_about_as_the_step_may_need(
    spec: StepSpec, free: int, share: float, least: int, most: int
) -> None:
    chosen = _choose(spec, unknown=_workers(free), share=share)
    assert least <= len(chosen) <= most
    assert len({each.name for each in chosen}) == len(chosen)


def test_workers_with_room_come_first() -> None:
    workers = _workers(0)
    for each in workers[100:130]:
        each.free = attrs.evolve(each.free, processors=4000)
    chosen = _choose(step(3), unknown=workers)
    assert chosen and {each.name for each in chosen} <= {
        each.name for each in workers[100:130]
    }


def test_where_room_is_scarce_one_call_asks_about_many() -> None:
    """In a backlog few have room, and others take it while a call is answered."""
    workers = _workers(0)
    for each in workers[100:102]:
        each.free = attrs.evolve(each.free, processors=1000)
    full = tuple(_workers(0, 20))
    again = _choose(step(3), allowed=full, unknown=workers)
    assert len(again) == 100
    assert {each.name for each in again[:2]} == {"w100", "w101"}


@pytest.mark.parametrize(
    ("allowed_free", "unknown_free", "asks"),
    [(1000, 1000, False), (0, 1000, True), (0, 0, False)],
    ids=["enough is allowed", "only others have room", "nobody has room"],
)
def test_more_is_asked_only_where_it_can_help(
    allowed_free: int, unknown_free: int, asks: bool
) -> None:
    allowed, unknown = _workers(allowed_free, 20), _workers(unknown_free)
    chosen = _choose(step(3), allowed=tuple(allowed), unknown=unknown)
    assert bool(chosen) is asks


def test_where_nobody_has_room_steps_ask_about_different_workers() -> None:
    workers = _workers(0)
    found = {
        frozenset(
            each.name
            for each in _choose(
                step(1), unknown=workers, share=0.7, name=f"{number}.0.0"
            )
        )
        for number in range(20)
    }
    assert len(found) > 10


def test_the_fullest_workers_with_room_are_asked_about_first() -> None:
    """So that short tasks fill gaps and leave wide ones whole workers."""
    workers = [worker(f"w{number:03}") for number in range(FLEET)]
    made = board(*workers)
    for number in range(40):
        submit(made, f"x{number}", job(step(1, processors=3000)), queue())
    _plan(Planner(board=made))
    gaps = {each.name for each in workers if each.placements}
    submit(made, "a", job(step(3)), queue(permits=POLICY))
    (wish,) = _plan(Planner(board=made)).wishes
    assert len(gaps) == 40 and set(wish.workers) <= gaps


def test_the_share_that_is_allowed_is_learned_and_forgotten() -> None:
    share = AllowedShare()
    for _ in range(50):
        share.take(asked=100, allowed=25)
    assert share.value() == pytest.approx(0.25, abs=0.02)
    for _ in range(50):
        share.take(asked=100, allowed=70)
    assert share.value() == pytest.approx(0.7, abs=0.02)
    for _ in range(50):
        share.take(asked=100, allowed=0)
    assert share.value() > 0


def _plan(made: Planner) -> Plan:
    return made.plan(now=0.0, now_s=1_000_000.0)


@pytest.mark.parametrize(
    "spec",
    [
        step(1, same_rack=True, gang=True),
        step(1, data_rack="r1"),
        step(1, service=True),
    ],
    ids=["same rack", "near its data", "service"],
)
def test_steps_that_choose_among_places_ask_about_all(spec: StepSpec) -> None:
    made = board(*_workers(4000))
    submit(made, "a", job(spec), queue(permits=POLICY))
    wishes = _plan(Planner(board=made)).wishes
    assert [len(wish.workers) for wish in wishes] == [FLEET]


def test_a_step_is_placed_on_what_it_asked_about_and_asks_again_for_the_rest() -> None:
    made = board(*(worker(f"w{n:03}", processors=1000) for n in range(FLEET)))
    submit(made, "a", job(step(3)), queue(permits=POLICY))
    planner = Planner(board=made)
    (first,) = _plan(planner).wishes
    permits = made.permits["a.0.0"]
    only = Permit(worker=first.workers[0], ticket="t")
    permits.take(first.workers, (only,), 0.0)
    found = _plan(planner)
    assert [worker.name for worker, _ in found.groups[0].placements] == [only.worker]
    (second,) = _plan(planner).wishes
    assert not set(first.workers) & set(second.workers)


def _answer(made: Board, wish: PermitWish, allowed: int) -> None:
    """Have the service allow the first workers of a wish."""
    permits = tuple(Permit(worker=name, ticket="t") for name in wish.workers[:allowed])
    made.permits[wish.step.name].take(wish.workers, permits, 0.0)


def test_a_step_that_is_kept_apart_asks_about_workers_that_it_may_still_use() -> None:
    """Workers that hold one of its tasks have room, and no seat for another."""
    made = board(*_workers(4000))
    spec = step(20, most_per_worker=1)
    submit(made, "a", job(spec), queue(permits=POLICY))
    planner = Planner(board=made)
    (wish,) = _plan(planner).wishes
    _answer(made, wish, 17)
    _plan(planner)
    assert len(made.jobs["a"].open[0].steps[0].pending()) == 3
    assert _plan(planner).wishes


def test_a_task_that_failed_everywhere_it_may_go_asks_about_others() -> None:
    """Its workers have room, but those that failed it are passed over."""
    made = board(*(worker(f"w{n:03}", processors=1000) for n in range(FLEET)))
    submit(made, "a", job(step(1)), queue(permits=POLICY))
    submit(made, "b", job(step(2)), queue(priority=1))
    planner = Planner(board=made)
    (wish,) = _plan(planner).wishes
    _answer(made, wish, 2)
    task = made.jobs["a"].open[0].steps[0].tasks[0]
    failed, full = (made.fleet.workers[name] for name in wish.workers[:2])
    task.failed_on.add(failed.name)
    failed.failures = 1
    other = made.jobs["b"].open[0].steps[0].tasks[0]
    made.place(other, full, 1, now=0.0)
    assert _plan(planner).wishes
