"""Tests upkeep waves over machines on which lasting tasks run."""

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest

from cranberrycleat import events, logs
from cranberrycleat.standins.fleet import SimulatedWork
from tests.cell import Cell, cell, job, step, submit, until
from tests.fakes import run_async
from tests.test_upkeep_owner_change import begins_work, machines_of
from tests.upkeep_cell import own_with_upkeep

MEMBERS = 3


@pytest.fixture(autouse=True)
def _short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cranberrycleat.workflow.upkeep_director.SETTLE_S", 0.0)
    monkeypatch.setattr("cranberrycleat.workflow.upkeep.BLOCKED_S", 1.0)


@pytest.fixture(name="emitted")
def emitted_events() -> Iterator[list[Any]]:
    """Return the list of emitted events."""
    emitted: list[Any] = []
    logs.set_observer(emitted.append)
    yield emitted
    logs.set_observer(None)


def running_members(env: Cell) -> int:
    """Return how many members of the lasting step run on workers."""
    runs = [run for each in env.fleet.workers.values() for run in each.runs.values()]
    return sum(run.task.startswith("lasts.") for run in runs)


async def record_fewest(env: Cell, fewest: list[int]) -> None:
    """Keep the smallest number of running members in a list."""
    while True:
        fewest[0] = min(fewest[0], running_members(env))
        await asyncio.sleep(0.005)


# Guards against more members away than the step allows (AVAIL): three machines of a
# wave are drained at once. And against a wave that never ends where a step has no
# budget.
@pytest.mark.parametrize(("may_be_away", "least"), [(0, 2), (1, 2), (2, 1)])
def test_wave_moves_lasting_tasks_within_budget(may_be_away: int, least: int) -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=60.0)
            machines = machines_of(env, workers=MEMBERS, cap=MEMBERS)
            machines.asked = False
            owner = await own_with_upkeep(machines, "one")
            spec = step(
                MEMBERS,
                processors=4000,
                service=True,
                may_be_away=may_be_away,
            )
            await submit(owner, "lasts", job(spec))
            await until(lambda: running_members(env) == MEMBERS)
            for number in range(MEMBERS):
                env.add_worker(f"other{number}", born_ms=1)
            fewest = [MEMBERS]
            watch = asyncio.create_task(record_fewest(env, fewest))
            machines.asked = True
            await until(lambda: machines.status == "completed", limit_s=15.0)
            await until(lambda: running_members(env) == MEMBERS)
            watch.cancel()
            assert fewest[0] >= least

    run_async(run())


# Guards against machines that are lost to other work (LOST) while a member there may
# not be moved, and against a wave that does not tell what it waits for.
def test_machine_with_member_that_may_not_be_moved_takes_other_work(
    emitted: list[Any],
) -> None:
    async def run() -> None:
        async with cell(workers=0) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(
                seconds=60.0 if task.startswith("lasts.") else 0.05
            )
            machines = machines_of(env, workers=1)
            machines.asked = False
            owner = await own_with_upkeep(machines, "one")
            # The second member finds no worker, so the first may not be away.
            spec = step(
                2, processors=100, service=True, most_per_worker=1, may_be_away=1
            )
            await submit(owner, "lasts", job(spec))
            await until(lambda: running_members(env) == 1)
            machines.asked = True
            worker = owner.cluster_state.fleet.newest["w0"]
            await until(lambda: worker.is_held(env.clock.now()))
            await begins_work(env, owner, tasks=1, processors=3000)
            assert machines.status == "running"
            assert running_members(env) == 1
            waits = [e for e in emitted if isinstance(e, events.UpkeepWaits)]
            assert [each.waits_for for each in waits] == [
                "members of lasts.0.0 that may not be away yet"
            ]

    run_async(run())
