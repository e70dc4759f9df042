"""State queries that arrive while the end of a job is being stored.

Guards against short jobs being reported as completed 0.25 s late. Callers query when
they expect a job's last task to have ended, and again 0.25 s later; nearly all first
queries arrived in the 0.02 s between a job's end and its being stored.
"""

import asyncio

import attrs
import pytest

from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.table import CommitReply, Transaction
from cranberrycleat.workflow.owner import END_STORED_TIMEOUT_S, Owner
from tests.cell import Cell, cell, job, step, submit, until
from tests.fakes import run_async

SLOW_S = 0.05


@attrs.define(kw_only=True)
class PausableTable(MemoryFeedTable):
    """A table whose transactions can be paused."""

    free: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.free.set()

    async def commit(self, txn: Transaction) -> CommitReply:
        """Apply a transaction once the table is not paused."""
        await self.free.wait()
        return await MemoryFeedTable.commit(self, txn)


async def _ended_but_not_stored(made: Cell) -> tuple[Owner, PausableTable]:
    owner = await made.own()
    table = made.table
    assert isinstance(table, PausableTable)
    await submit(owner, "a", job(step(1)))
    await until(lambda: len(made.fleet.starts) == 1)
    table.free.clear()
    await until(lambda: owner.cluster_state.jobs["a"].verdict is not None)
    assert owner.state("a").state == "running"
    return owner, table


@pytest.mark.parametrize("stored_after_s", [0.0, SLOW_S])
def test_state_query_waits_for_end_being_stored(
    stored_after_s: float,
) -> None:
    async def run() -> None:
        async with cell(workers=1, table=PausableTable()) as made:
            owner, table = await _ended_but_not_stored(made)
            asked = asyncio.create_task(owner.settled_state("a"))
            await asyncio.sleep(stored_after_s)
            table.free.set()
            assert (await asked).state == "completed"

    run_async(run())


@pytest.mark.parametrize("answers", [True, False], ids=["slow", "does not answer"])
def test_state_query_wait_is_bounded(answers: bool) -> None:
    """An end that is not stored is never reported, and the wait for it is bounded."""

    async def run() -> None:
        async with cell(workers=1, table=PausableTable()) as made:
            owner, table = await _ended_but_not_stored(made)
            owner.store_answers = answers
            began = made.clock.now()
            assert (await owner.settled_state("a")).state == "running"
            waited_s = made.clock.now() - began
            assert waited_s >= (END_STORED_TIMEOUT_S if answers else 0.0)
            assert answers or waited_s < END_STORED_TIMEOUT_S
            table.free.set()

    run_async(run())


def test_state_query_of_running_job_returns_immediately() -> None:
    async def run() -> None:
        async with cell(workers=1, table=PausableTable()) as made:
            owner = await made.own()
            await submit(owner, "a", job(step(1, processors=4000)))
            asked = asyncio.create_task(owner.settled_state("a"))
            await asyncio.sleep(0)
            assert asked.done() and asked.result().known

    run_async(run())
