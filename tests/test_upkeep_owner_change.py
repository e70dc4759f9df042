"""Tests upkeep waves whose owner changes, and what ends the hold on a machine."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.upkeep import MachineVerdict, Wave
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


async def begins_work(env: Cell, owner: Owner, tasks: int) -> None:
    """Check that a job that needs every worker is carried out."""
    await submit(owner, "after", job(step(tasks, processors=4000)))
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
