"""Tests upkeep waves whose owner changes, and what ends the hold on a machine."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cranberrycleat.standins.fleet import SimulatedWork
from cranberrycleat.table import Put, Transaction
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.upkeep import MachineVerdict, Wave, WaveRecord, WaveRun
from tests.cell import Cell, cell, job, step, submit, until
from tests.fakes import run_async
from tests.upkeep_cell import WAVE, SimulatedMachines, hand_over, kill, own_with_upkeep

Change = Callable[[SimulatedMachines, Owner], Awaitable[None]]
ROUNDS_S = 1.5
"""Several rounds of a director, which take 0.3 s each."""


@pytest.fixture(autouse=True)
def _no_settling(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cranberrycleat.workflow.upkeep_director.SETTLE_S", 0.0)


def machines_of(env: Cell, workers: int = 3, cap: int = 1) -> SimulatedMachines:
    """Return machines with a worker each and a wave of all of them."""
    names = [f"w{number}" for number in range(workers)]
    for name in names:
        env.add_worker(name, born_ms=1)
    asked = tuple(f"m-{name}" for name in names)
    wave = Wave(number=WAVE, machines=asked, due_in_s=20.0, cap=cap)
    return SimulatedMachines(env=env, wave=wave)


async def begins_work(
    env: Cell, owner: Owner, tasks: int, processors: int = 4000
) -> None:
    """Check that a job that needs every worker is carried out."""
    await submit(owner, "after", job(step(tasks, processors=processors)))
    await until(lambda: owner.state("after").state == "completed", limit_s=6.0)


# Guards against machines that are held for good (LOST): the new owner carried a
# finished wave out anew, was told "already done", and held every machine on.
@pytest.mark.parametrize("change", [kill, hand_over])
def test_owner_change_after_completed_wave_holds_no_machine(change: Change) -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            machines = machines_of(env)
            first = await own_with_upkeep(machines, "one")
            await until(lambda: machines.status == "completed", limit_s=15.0)
            await change(machines, first)
            second = await own_with_upkeep(machines, "two")
            await asyncio.sleep(ROUNDS_S)
            await begins_work(env, second, tasks=3)
            assert len(machines.orders) == 3, machines.orders

    run_async(run())


# Guards against a hold that outlasts the order it was for, whatever the answer was.
@pytest.mark.parametrize(
    "verdict",
    [
        MachineVerdict.ACCEPTED,
        MachineVerdict.NO_MACHINE,
        MachineVerdict.NOT_OF_WAVE,
        MachineVerdict.BUSY,
        MachineVerdict.STALE_EPOCH,
        MachineVerdict.TOO_MANY_CALLS,
    ],
)
def test_machine_works_on_after_answer_without_upkeep(verdict: MachineVerdict) -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            machines = machines_of(env, workers=1)
            machines.verdicts["m-w0"] = verdict
            owner = await own_with_upkeep(machines, "one")
            await until(lambda: bool(machines.orders))
            await begins_work(env, owner, tasks=1)

    run_async(run())


def _is_asked_for(machines: SimulatedMachines, owner: Owner) -> bool:
    return True


def _is_draining(machines: SimulatedMachines, owner: Owner) -> bool:
    state = owner.cluster_state
    return any(each.is_held(state.now()) for each in state.fleet.newest.values())


def _has_begun(machines: SimulatedMachines, owner: Owner) -> bool:
    return bool(machines.states)


def _is_done_on_one(machines: SimulatedMachines, owner: Owner) -> bool:
    return bool(machines.begun) and machines.begun[0] not in machines.states


def _is_written(machines: SimulatedMachines, owner: Owner) -> bool:
    return machines.status == "completed"


# Guards against a wave that is lost, carried out twice or beyond its cap, and against
# machines that stay held, whenever the owner changes. A machine is ordered once more
# only if the owner ended before it had recorded the answer.
@pytest.mark.parametrize("change", [kill, hand_over])
@pytest.mark.parametrize(
    ("reached", "repeated"),
    [
        (_is_asked_for, 0),
        (_is_draining, 0),
        (_has_begun, 1),
        (_is_done_on_one, 0),
        (_is_written, 0),
    ],
)
def test_wave_goes_on_after_owner_change(
    reached: Callable[[SimulatedMachines, Owner], bool], repeated: int, change: Change
) -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.5)
            machines = machines_of(env)
            first = await own_with_upkeep(machines, "one")
            await submit(first, "before", job(step(3, processors=4000)))
            await until(lambda: reached(machines, first), limit_s=15.0)
            await change(machines, first)
            second = await own_with_upkeep(machines, "two")
            await until(lambda: machines.status == "completed", limit_s=15.0)
            assert sorted(machines.begun) == ["m-w0", "m-w1", "m-w2"]
            assert machines.most_down == 1
            assert len(machines.orders) <= 3 + repeated, machines.orders
            await until(lambda: second.state("before").state == "completed")
            await begins_work(env, second, tasks=3)
            assert "upkeep/1" not in env.table.rows

    run_async(run())


# Guards against a wave that begins its time anew with each owner and is late.
def test_new_owner_counts_time_from_first_sight_of_wave() -> None:
    run = WaveRun(
        wave=Wave(number=WAVE, machines=("a", "b"), due_in_s=20.0, cap=1), seen_at=50.0
    )
    record = WaveRecord(begun=("a",), seen_s=1000.0)
    run.restore(record, now=50.0, now_s=1008.0)
    assert run.begun == {"a"}
    assert run.seen_at == 42.0
    run.restore(record, now=50.0, now_s=990.0)
    assert run.seen_at == 50.0
    run.restore(record, now=50.0, now_s=9000.0)
    assert run.seen_at == 30.0


# Guards against a state in a row that nobody can read, which must not end the director.
def test_unreadable_record_is_written_again() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            machines = machines_of(env, workers=1)
            put = Put(key="upkeep/1", value="{")
            env.table.apply(Transaction(puts=(put,)))
            await own_with_upkeep(machines, "one")
            await until(lambda: machines.status == "completed", limit_s=15.0)

    run_async(run())


# Guards against a hold whose end depends on an answer that may never come.
@pytest.mark.parametrize("listed", [True, False])
def test_machine_works_on_while_machine_api_does_not_answer(
    monkeypatch: pytest.MonkeyPatch, listed: bool
) -> None:
    monkeypatch.setattr("cranberrycleat.workflow.upkeep.BLOCKED_S", 1.0)

    async def run() -> None:
        async with cell(workers=0) as env:
            machines = machines_of(env, workers=1)
            machines.unanswered = {"m-w0"}
            owner = await own_with_upkeep(machines, "one")
            await until(lambda: bool(machines.orders))
            machines.away = not listed
            await begins_work(env, owner, tasks=1)

    run_async(run())


# Guards against a wave in which one machine without answers keeps all others waiting.
def test_unanswered_order_does_not_delay_other_machines() -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            machines = machines_of(env, workers=3, cap=2)
            machines.unanswered = {"m-w0"}
            await own_with_upkeep(machines, "one")
            await until(lambda: machines.begun == ["m-w1", "m-w2"], limit_s=15.0)
            assert machines.most_down == 1

    run_async(run())
