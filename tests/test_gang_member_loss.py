"""Tests of gangs that lose a member's worker before all members have started.

If a worker crashes just as a gang starts, the members on other workers wait for it and
hold resources without making progress until they give up after their own timeout. The
loss is known long before, so the members should be stopped earlier.
"""

import asyncio

import pytest

from cranberrycleat.standins.fleet import SimulatedWork, StandinFleet
from cranberrycleat.workflow.fleet import GANG_SILENCE_LIMIT_S
from cranberrycleat.workflow.ports import EndKind
from tests.cell import cell, job, step, submit, until
from tests.fakes import run_async

LEASE_S = 8.0


@pytest.mark.parametrize(
    ("works", "stopped"), [(False, True), (True, False)], ids=["not whole", "at work"]
)
def test_members_are_stopped_when_worker_is_lost(works: bool, stopped: bool) -> None:
    """A gang that already makes progress is not stopped; it ends by itself."""

    async def run() -> None:
        fleet = StandinFleet(reports_progress=works)
        fleet.work = lambda name, attempt: SimulatedWork(seconds=20.0)
        async with cell(workers=2, fleet=fleet, worker_lease_s=LEASE_S) as running_cell:
            owner = await running_cell.own()
            await submit(owner, "a", job(step(2, processors=3000, gang=True)))
            await until(lambda: len(fleet.starts) == 2)
            placed = owner.cluster_state.placements_of("a")
            await until(lambda: not works or any(each.percent for _, each in placed))
            fleet.workers["w0"].silent = True
            await asyncio.sleep(GANG_SILENCE_LIMIT_S + 1.0)
            ends = [end.how for end in fleet.workers["w1"].ended]
            runs = list(fleet.workers["w1"].runs)
            assert (not runs) is stopped
            assert EndKind.STOPPED not in ends or stopped
            assert not fleet.faults

    run_async(run())
