"""Short runs of the fault soaks, by fixed seeds (see `tests.soak`, `config_soak`)."""

import asyncio
import random

import pytest

from cranberrycleat.standins.fleet import StandinFleet
from cranberrycleat.workflow.ports import StartOrder, WorkerUnreachable
from tests import config_soak, soak
from tests.cell import cell, entry
from tests.soak_record import Record

SECONDS = 5.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_is_lost_or_done_twice_under_faults(seed: int) -> None:
    assert asyncio.run(soak.play(seed, SECONDS)) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_tasks_that_crash_workers_are_told_from_sound_ones(seed: int) -> None:
    assert asyncio.run(soak.play(seed, SECONDS, crashing=0.03)) == []


@pytest.mark.parametrize("crashing", [0.0, 0.03])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_is_lost_or_done_twice_when_workers_restart(
    seed: int, crashing: float
) -> None:
    found = asyncio.run(soak.play(seed, SECONDS, crashing, restarts=True))
    assert found == []


# Guards against a sound job that is given up (LOST) and against a worker that is given
# more than it has (LIMIT), each of which one of these seeds has shown.
@pytest.mark.parametrize("seed", [7029, 7352])
def test_a_seed_that_showed_a_fault_shows_none(seed: int) -> None:
    found = asyncio.run(soak.play(seed, 8.0, crashing=0.03, restarts=True))
    assert found == []


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_workspace_runs_more_than_its_quota_under_faults(
    seed: int, restarts: bool
) -> None:
    found = asyncio.run(soak.play(seed, SECONDS, restarts=restarts, quotas=True))
    assert found == []


@pytest.mark.parametrize("seed", [1, 2, 3, 5, 11, 18])
def test_the_newest_configuration_is_in_force_after_any_trouble(seed: int) -> None:
    assert asyncio.run(config_soak.Soak(seed=seed, seconds=SECONDS).run()) == []


def test_a_host_that_is_killed_twice_at_a_time_stands_once() -> None:
    """Two of them would own in turn, and the soak would see but one: 'no owner'."""

    async def run() -> None:
        async with cell(workers=0) as made:
            played = soak.Soak(
                rnd=random.Random(1), made=made, record=Record(clock=made.clock)
            )
            played._boot("h0")
            await asyncio.gather(played._kill_host(), played._kill_host())
            standing = [
                each
                for each in asyncio.all_tasks()
                if getattr(each.get_coro(), "__name__", "") == "_stand"
            ]
            assert standing == [played.hosts["h0"]]
            standing[0].cancel()
            await asyncio.gather(*standing, return_exceptions=True)

    asyncio.run(run())


def test_the_judge_carries_out_no_late_order_on_a_life_that_is_over() -> None:
    """It would count as a start of a task that is done elsewhere by then."""

    async def run() -> None:
        fleet = StandinFleet()
        worker = fleet.add(entry("w"))
        worker.lose_starts = 1
        order = StartOrder(
            task="a.0.0.0", attempt=1, program="p", lease_end_ms=10**15, fence=1
        )
        with pytest.raises(WorkerUnreachable):
            await fleet.start(worker.entry, order, limit_s=0.01)
        fleet.crash("w", entry("w2"))
        for late in worker.late:
            fleet.carry_out(worker, late)
        assert not fleet.starts

    asyncio.run(run())
