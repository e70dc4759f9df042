"""A gang that lost a member is started again, also by the next owner.

Guards against an accepted job that never ends (LOST): the rest of its gang runs on,
with leases renewed, and its lost members wait for that rest to end.
"""

import asyncio

import pytest

from cranberrycleat.standins.fleet import SimulatedWork
from cranberrycleat.workflow.state import JobState
from tests.cell import cell, entry, job, step, submit, until

JOB = "00000000000000aa"


async def play(*, changes_owner: bool) -> None:
    """Lose a member of a gang while the worker of the other one is cut off."""
    async with cell(workers=3, worker_lease_s=3.0) as env:
        fleet = env.fleet
        # A gang works only with all its members, so that its rest has no end.
        fleet.work = lambda task, attempt: SimulatedWork(
            seconds=60.0 if attempt == 1 else 0.1
        )
        fleet.gang = lambda name: True
        owner = await env.own("one")
        await submit(owner, JOB, job(step(2, gang=True, most_per_worker=1)))
        await until(lambda: len(fleet.starts) == 2)
        await asyncio.sleep(0.6)
        lost, other = (each.worker for each in fleet.starts)
        fleet.workers[other].silent = True
        after = env.entries[f"{lost}-2"] = entry(f"{lost}-2")
        fleet.replace_worker(lost, after)
        env.unlist_worker(lost)
        env.list_worker(after.worker)
        tasks = owner.cluster_state.jobs[JOB].open[0].steps[0].tasks
        await until(lambda: not all(task.worker for task in tasks))
        await asyncio.sleep(0.3)
        if changes_owner:
            env.tasks[-1].cancel()
        fleet.workers[other].silent = False
        if changes_owner:
            owner = await env.own("two")
        reported = owner.cluster_state.reported
        await until(lambda: reported.get(JOB) is JobState.COMPLETED, 12.0)


@pytest.mark.parametrize("changes_owner", [False, True])
def test_rest_of_gang_is_stopped(changes_owner: bool) -> None:
    asyncio.run(play(changes_owner=changes_owner))
