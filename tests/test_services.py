"""Tests of services, fillers, leaving workers and upkeep waves."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import attrs
import pytest

from cranberrycleat.clock import MonotonicClock
from cranberrycleat.standins.fleet import SimulatedWork, StandinFleet
from cranberrycleat.table import Put
from cranberrycleat.workflow import links
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.evacuation import placements_to_stop
from cranberrycleat.workflow.decisions.filler_throttling import throttle_orders
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.fleet import FleetWorker, Liveness, Placement
from cranberrycleat.workflow.links import WorkerLink
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.ports import (
    EndKind,
    OrderReply,
    WorkerEntry,
    WorkerUnreachable,
)
from cranberrycleat.workflow.spec import StepSpec
from cranberrycleat.workflow.upkeep import (
    Machine,
    MachineState,
    MachineVerdict,
    Wave,
    WaveRun,
    may_begin_upkeep,
    placements_to_move,
)
from cranberrycleat.workflow.upkeep_director import UpkeepDirector
from tests.cell import BOUNDS, Cell, cell, job, queue, step, submit, until
from tests.fakes import run_async
from tests.test_planner import NOW_S, cluster_state, placed, worker
from tests.test_service_preemption import select_victims


def mark_all_running(
    worker_under_test: FleetWorker, *, percent: float = 50.0
) -> list[Placement]:
    """Mark every placement on a worker as running."""
    for each in worker_under_test.placements.values():
        each.stored = each.ordered = each.running = True
        each.percent = percent
        assert each.tracked_task is not None
        each.tracked_task.at_full_speed = percent >= 100
    return list(worker_under_test.placements.values())


# --- fillers next to serving tasks -----------------------------------------------


def worker_with_fillers(reading: float) -> FleetWorker:
    """Return a worker with a serving task and two fillers."""
    only = worker("w")
    owner_board = cluster_state(only)
    serving = step(1, service=True, tail_limit_ms=100)
    owner_board.accept("s", queue(priority=0), job(serving))
    owner_board.accept("f", queue(priority=2), job(step(2, filler=True)))
    Planner(cluster_state=owner_board).plan(now=0.0, now_s=NOW_S)
    for each in mark_all_running(only, percent=100):
        each.reading = reading if each.task.startswith("s.") else 500.0
    return only


@attrs.define(kw_only=True, eq=False)
class UnansweringFleet(StandinFleet):
    """Workers that leave throttle orders unanswered.

    Attributes:
        throttles: Number of throttle orders sent.
    """

    throttles: int = 0

    async def throttle(
        self, entry: WorkerEntry, task: str, attempt: int, percent: int, fence: int
    ) -> OrderReply:
        """Count the order and give no answer."""
        self.throttles += 1
        raise WorkerUnreachable("the connection was reset")


# Guards against throttle orders that are sent again after every sync, each over a new
# connection, to a worker at its limit of connections.
def test_unanswered_throttle_is_sent_again_after_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        fleet = UnansweringFleet()
        owner: Any = SimpleNamespace(epoch=1, may_order=lambda: True)
        link = WorkerLink(
            worker=worker_with_fillers(100.0),
            cluster_state=cluster_state(),
            client=fleet,
            owner=owner,
            clock=MonotonicClock(),
            bounds=BOUNDS,
            lease_s=1.0,
        )
        monkeypatch.setattr(links, "THROTTLE_RESEND_S", 0.2)
        began = link.clock.now()
        while fleet.throttles < 6:
            link._order_throttles()
            await asyncio.sleep(0.01)
        await link.orders.cancel()
        # Two fillers, three orders for each.
        assert link.clock.now() - began >= 2 * links.THROTTLE_RESEND_S

    run_async(run())


@pytest.mark.parametrize(
    ("reading", "expected"), [(40, None), (70, None), (90, 50), (100, 0), (400, 0)]
)
def test_fillers_are_throttled_near_latency_limit(
    reading: float, expected: int | None
) -> None:
    """They are slowed down near the limit and paused beyond it, at once."""
    orders = throttle_orders(worker_with_fillers(reading), now=100.0)
    assert {each.percent for each in orders} == (
        set() if expected is None else {expected}
    )
    assert all(each.placement.task.startswith("f.") for each in orders)


def test_fillers_recover_in_steps() -> None:
    """Once latency is low again, their speed rises in steps."""
    only = worker_with_fillers(400)
    for order in throttle_orders(only, now=100.0):
        order.placement.throttle = order.percent
    for each in only.placements.values():
        if each.task.startswith("s."):
            each.reading = 30
    assert not throttle_orders(only, now=101.0)
    assert {each.percent for each in throttle_orders(only, now=102.0)} == {20}


# --- services --------------------------------------------------------------------


def test_service_preempts_batch_work_on_full_pool() -> None:
    """On a full pool, one service member preempts just one batch task."""
    only = worker("w", processors=3000)
    owner_board = cluster_state(only)
    owner_board.accept("b", queue(priority=2), job(step(3, processors=1000)))
    planner = Planner(cluster_state=owner_board)
    planner.plan(now=0.0, now_s=NOW_S)
    mark_all_running(only)
    owner_board.accept(
        "s", queue(priority=1), job(step(1, processors=1000, service=True))
    )
    planner.plan(now=1.0, now_s=NOW_S)
    assert not any(each.stopping for each in only.placements.values())
    planner.plan(now=2.0, now_s=NOW_S)
    planner.plan(now=2.1, now_s=NOW_S)
    assert sum(each.stopping for each in only.placements.values()) == 1


def test_preemption_delay_restarts_with_each_loss() -> None:
    """A member that is lost later waits for the full preemption delay as well."""
    only = worker("w", processors=2000)
    owner_board = cluster_state(only)
    planner = Planner(cluster_state=owner_board)
    owner_board.accept("a", queue(), job(step(1, processors=1000)))
    owner_board.accept("b", queue(), job(step(1, processors=1000)))
    planner.plan(now=0.0, now_s=NOW_S)
    owner_board.accept("s", queue(), job(step(1, processors=1000, service=True)))
    planner.plan(now=1.0, now_s=NOW_S)
    owner_board.give_up(only, mark_all_running(only)[0], "test")
    owner_board.jobs["a"].open[0].steps[0].tasks[0].not_before = 900.0
    planner.plan(now=1.2, now_s=NOW_S)
    placement = next(each for each in mark_all_running(only) if each.task == "s.0.0.0")
    planner.plan(now=1.4, now_s=NOW_S)
    owner_board.give_up(only, placement, "test")
    owner_board.accept("c", queue(priority=0), job(step(1, processors=1000)))
    assert placement.tracked_task is not None
    placement.tracked_task.not_before = 50.0
    planner.plan(now=49.0, now_s=NOW_S)
    planner.plan(now=50.0, now_s=NOW_S)
    assert not any(each.stopping for each in only.placements.values())
    planner.plan(now=50.6, now_s=NOW_S)
    assert sum(each.stopping for each in only.placements.values()) == 1


def test_preemption_prefers_checkpointed_low_priority_work() -> None:
    """The cheapest stop is chosen; services are never preempted."""
    only = worker("w", processors=4000)
    owner_board = cluster_state(only)
    owner_board.accept("urgent", queue(priority=0), job(step(1)))
    owner_board.accept("plain", queue(priority=2), job(step(1)))
    owner_board.accept("saves", queue(priority=2), job(step(1, checkpoints=True)))
    owner_board.accept("serves", queue(priority=2), job(step(1, service=True)))
    Planner(cluster_state=owner_board).plan(now=0.0, now_s=NOW_S)
    mark_all_running(only)
    chosen = select_victims(step(1, processors=1000).needs, 1, [only])
    assert chosen == ["saves.0.0.0"]
    more = select_victims(step(1, processors=4000).needs, 1, [only])
    assert more == []


def test_service_member_is_always_restarted() -> None:
    """Failures are not counted, and the job runs until it is cancelled."""

    def work(task: str, attempt: int) -> SimulatedWork:
        return SimulatedWork(
            seconds=0.05, how=EndKind.FAILED if attempt % 2 else EndKind.DONE
        )

    async def run() -> None:
        async with cell() as running_cell:
            running_cell.fleet.work = work
            running_cell.fleet.forbids_reruns = False
            owner = await running_cell.own()
            await submit(owner, "s", job(step(1, service=True)))
            await until(lambda: len(running_cell.fleet.starts) >= 5)
            assert owner.state("s").state == "running"
            assert (await owner.cancel("s")).state == "cancelled"

    run_async(run())


# --- leaving workers -----------------------------------------------------------------


@pytest.mark.parametrize(
    ("spec", "percent", "moves"),
    [
        (step(1, service=True), 100, True),
        (step(1, checkpoints=True), 10, True),
        (step(1, checkpoints=True), 95, False),
        (step(1), 10, False),
    ],
)
def test_tasks_evacuated_from_leaving_worker(
    spec: StepSpec, percent: float, moves: bool
) -> None:
    """Services move, checkpointed work moves unless it ends in time, the rest stays."""
    only = worker("w")
    owner_board = cluster_state(only)
    owner_board.accept("a", queue(), job(attrs.evolve(spec, estimate_s=9.0)))
    Planner(cluster_state=owner_board).plan(now=0.0, now_s=NOW_S)
    mark_all_running(only, percent=percent)
    assert not placements_to_stop(only, now=4.0)
    only.entry = attrs.evolve(only.entry, leaving=True, leaves_in_s=3.0)
    assert bool(placements_to_stop(only, now=4.0)) is moves


# --- upkeep ------------------------------------------------------------------


def make_machine(name: str, state: MachineState = MachineState.UP) -> Machine:
    """Return a machine with a worker of corresponding name."""
    return Machine(name=name, pool="pool", state=state, worker=f"w-{name}")


def make_wave_run(*machines: str, cap: int = 1) -> WaveRun:
    """Return a wave that was first seen at time 0."""
    found = Wave(number=1, machines=machines, due_in_s=20.0, cap=cap)
    return WaveRun(wave=found, seen_at=0.0)


def test_wave_never_exceeds_its_cap() -> None:
    """Machines that are down and machines being drained both count."""
    run = make_wave_run("a", "b", "c", "d", cap=2)
    machines = {name: make_machine(name) for name in "abcd"}
    fleet = cluster_state().fleet
    assert run.select_machines(machines, fleet, now=0.0) == ["a", "b"]
    assert run.select_machines(machines, fleet, now=0.0) == []
    run.begun.add("a")
    machines["a"] = make_machine("a", MachineState.UPKEEP)
    assert run.select_machines(machines, fleet, now=0.0) == []
    machines["a"] = make_machine("a")
    assert run.select_machines(machines, fleet, now=0.0) == ["c"]


# Guards against an upkeep that ends work: the list of machines may be a second old, and
# a machine in another wave's upkeep may be back and have work.
@pytest.mark.parametrize(("tasks", "expected"), [(0, ["a"]), (1, [])])
def test_machine_in_upkeep_is_ordered_without_draining_if_it_has_no_work(
    tasks: int, expected: list[str]
) -> None:
    owner_board = cluster_state()
    owner_board.fleet.add(worker("w-a"))
    for number in range(tasks):
        owner_board.accept(f"j{number}", queue(), job(step(1)))
    Planner(cluster_state=owner_board).plan(now=0.0, now_s=NOW_S)
    machines = {
        "a": make_machine("a", MachineState.UPKEEP),
        "b": make_machine("b"),
    }
    run = make_wave_run("a", "b")
    assert run.already_down(machines, owner_board.fleet, now=0.0) == expected


def test_wave_completes_when_remaining_machines_have_begun() -> None:
    """A removed machine does not count; a busy one does."""
    run = make_wave_run("a", "b")
    machines = {"a": make_machine("a"), "b": make_machine("b", MachineState.MOVING)}
    run.begun.add("a")
    assert not run.is_complete(machines)
    assert run.is_complete({"a": make_machine("a")})


def test_services_are_evacuated_within_disruption_budget() -> None:
    """With a budget of one, the second member waits until the first is back."""
    one, two = worker("w", processors=2000), worker("v", processors=2000)
    owner_board = cluster_state(one, two)
    spec = step(3, processors=1000, service=True, may_be_away=1)
    owner_board.accept("s", queue(), job(spec))
    Planner(cluster_state=owner_board).plan(now=0.0, now_s=NOW_S)
    crowd = max((one, two), key=lambda each: len(each.placements))
    for each in (one, two):
        mark_all_running(each, percent=100)
    assert len(placements_to_move(crowd, owner_board.fleet)) == 1
    assert not may_begin_upkeep(crowd, wait_s=-5.0)
    first = placements_to_move(crowd, owner_board.fleet)[0]
    assert first.tracked_task is not None
    first.tracked_task.at_full_speed = False
    assert placements_to_move(crowd, owner_board.fleet) == []


def _stop(state: ClusterState, worker_of: FleetWorker, placement: Placement) -> None:
    state.stop(worker_of, placement, "upkeep")


def _silence(state: ClusterState, worker_of: FleetWorker, placement: Placement) -> None:
    worker_of.liveness = Liveness.SILENT


# Guards against more members away than their step allows (AVAIL): three members were
# stopped within a millisecond, on three machines of a wave, where one may miss.
@pytest.mark.parametrize("away", [_stop, _silence])
def test_members_told_to_stop_on_other_machines_count_as_absent(
    away: Callable[[ClusterState, FleetWorker, Placement], None],
) -> None:
    workers = [worker(name, processors=1000) for name in ("u", "v", "w")]
    owner_board = cluster_state(*workers)
    spec = step(3, processors=1000, service=True, may_be_away=1)
    owner_board.accept("s", queue(), job(spec))
    Planner(cluster_state=owner_board).plan(now=0.0, now_s=NOW_S)
    for each in workers:
        mark_all_running(each, percent=100)
    (first,) = placements_to_move(workers[0], owner_board.fleet)
    away(owner_board, workers[0], first)
    assert placements_to_move(workers[1], owner_board.fleet) == []
    assert placements_to_move(workers[2], owner_board.fleet) == []


@attrs.define(kw_only=True, eq=False)
class FakeMachineClient:
    """Fake machine API; accepts every upkeep and records it."""

    cell: Cell
    begun: list[str] = attrs.field(factory=list)
    epochs: set[int] = attrs.field(factory=set)

    async def machines(self) -> tuple[Machine, ...]:
        """Return a machine for each worker, all up."""
        return tuple(
            Machine(name=f"m-{n}", pool="pool", state=MachineState.UP, worker=n)
            for n in sorted(self.cell.fleet.workers)
        )

    async def start_upkeep(
        self, *, machine: str, wave: int, holder: str, epoch: int
    ) -> MachineVerdict:
        """Record that the upkeep has begun."""
        self.begun.append(machine)
        self.epochs.add(epoch)
        return MachineVerdict.ACCEPTED

    async def move(
        self, *, machine: str, pool: str, holder: str, epoch: int
    ) -> MachineVerdict:
        """Reject every move as busy."""
        return MachineVerdict.BUSY


def make_director(
    running_cell: Cell, owner: Owner, client: FakeMachineClient, run: Wave
) -> UpkeepDirector:
    """Return a director for one wave."""
    return UpkeepDirector(
        client=client,
        writer=running_cell.table,
        status=lambda number, state: Put(key=f"status/wave/{number}", value=state),
        written_state=lambda row: row.value,
        waves=lambda: {run.number: run},
        cluster_state=owner.cluster_state,
        holder="one",
        epoch=lambda: owner.epoch,
        may_order=owner.may_order,
        stop_soon=owner.stop_soon,
        clock=running_cell.clock,
    )


def test_wave_drains_machine_and_reports_completion(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Checkpointed work is moved first; both states are written for the operator."""
    monkeypatch.setattr("cranberrycleat.workflow.upkeep_director.SETTLE_S", 0.0)

    async def run() -> None:
        async with cell(workers=2) as running_cell:
            running_cell.fleet.work = lambda task, attempt: SimulatedWork(seconds=1.5)
            owner = await running_cell.own()
            spec = step(2, processors=3000, checkpoints=True)
            await submit(owner, "a", job(spec))
            await until(lambda: len(running_cell.fleet.starts) == 2)
            asked = Wave(number=4, machines=("m-w0",), due_in_s=30.0, cap=1)
            client = FakeMachineClient(cell=running_cell)
            director = make_director(running_cell, owner, client, asked)
            task = asyncio.create_task(director.run())
            await until(lambda: "status/wave/4" in running_cell.table.rows)
            assert running_cell.table.rows["status/wave/4"].value == "running"
            await until(lambda: client.begun == ["m-w0"])
            assert not running_cell.fleet.workers["w0"].runs
            await until(
                lambda: running_cell.table.rows["status/wave/4"].value == "completed"
            )
            task.cancel()
            assert client.epochs == {owner.epoch}

    run_async(run())


def test_serving_tasks_are_spread_over_workers() -> None:
    """A worker without serving tasks is preferred for a serving task."""
    owner_board = cluster_state(worker("w"), worker("v"))
    spec = step(2, processors=500, service=True, tail_limit_ms=100)
    owner_board.accept("s", queue(), job(spec))
    Planner(cluster_state=owner_board).plan(now=0.0, now_s=NOW_S)
    assert sorted(len(tasks) for tasks in placed(owner_board).values()) == [1, 1]
