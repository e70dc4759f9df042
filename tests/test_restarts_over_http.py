"""Tests workers that restart in waves, over real connections and with a stale list.

The failure: with a first fix for restarts, an owner considered itself deposed every
second, opened ten times as many connections and served fewer requests than before.
"""

import asyncio
import random

import pytest

from cranberrycleat.platform.workers import PlatformWorkers
from cranberrycleat.standins.fleet import SimulatedWork
from cranberrycleat.workflow.state import JobState
from tests.cell import Cell, entry, job, step, submit, until
from tests.fakes import run_async
from tests.http_workers import HttpWorker, at

WORKERS = 6
RESTART_WAVES = 3
DOWN_S = 0.3
MAX_CONNECTIONS_PER_WORKER = 12
"""Connections to one worker: a few for each of its incarnations."""


async def start_workers(env: Cell) -> dict[str, HttpWorker]:
    """Start the workers' processes and list them."""
    found: dict[str, HttpWorker] = {}
    for number in range(WORKERS):
        name = f"w{number}"
        found[name] = HttpWorker(fleet=env.fleet, name=name)
        await found[name].start()
        env.entries[name] = at(entry(name, born_ms=1), found[name].port)
        env.fleet.add(env.entries[name])
        env.list_worker(name)
    return found


async def restart(env: Cell, worker: HttpWorker, lag_s: float | None) -> None:
    """Kill a worker and start it again; the platform lists that later, or never."""
    await worker.kill()
    await asyncio.sleep(DOWN_S)
    after = env.fleet.restart(worker.name)
    await worker.start()
    if lag_s is None:
        return
    await asyncio.sleep(lag_s)
    env.entries[worker.name] = after.entry
    env.list_worker(worker.name)


# Guards against an owner that deposes itself, and against tasks that run twice or are
# lost (TWICE, LOST), while the platform's list is stale or does not change.
@pytest.mark.parametrize("listed", [True, False], ids=["listed late", "never listed"])
def test_jobs_complete_while_workers_restart_in_waves(listed: bool) -> None:
    async def run() -> None:
        env = Cell(worker_lease_s=3.0)
        rnd = random.Random(1)
        workers = await start_workers(env)
        env.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.3)
        owner = env.make_owner("one")
        owner.client = PlatformWorkers()
        while not await owner.lease.acquire():
            await asyncio.sleep(0.02)
        env.tasks.append(asyncio.create_task(owner.run()))
        await owner.ready.wait()
        jobs = []
        for wave in range(RESTART_WAVES):
            for number in range(5):
                jobs.append(f"j{wave}-{number}")
                await submit(owner, jobs[-1], job(step(2)))
            chosen = rnd.sample(sorted(workers), k=WORKERS // 3)
            lags = [rnd.uniform(0.0, 0.8) if listed else None for _ in chosen]
            await asyncio.gather(
                *(
                    restart(env, workers[name], lag_s)
                    for name, lag_s in zip(chosen, lags, strict=True)
                )
            )
        reported = owner.cluster_state.reported
        await until(
            lambda: all(reported.get(each) is JobState.COMPLETED for each in jobs),
            limit_s=20.0,
        )
        assert owner.lease.is_valid() and not env.fleet.faults
        assert (
            max(each.connections for each in workers.values())
            <= MAX_CONNECTIONS_PER_WORKER
        )
        await env.close()
        for each in workers.values():
            await each.kill()

    run_async(run())
