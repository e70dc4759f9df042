"""Tests workers that leave starts unanswered and carry them out late.

The load: for five seconds one order in twenty gets no answer. Its copy is answered at
once, so the task loses the time until the copy is sent. The time limit was 0.5 s, while
a short job has 0.6 s in all and answers arrive within 0.03 s.
"""

import asyncio

import attrs
import pytest

from cranberrycleat.standins.fleet import StandinFleet
from cranberrycleat.workflow.answer_timeout import MIN_TIMEOUT_S
from cranberrycleat.workflow.ports import OrderReply, StartOrder, WorkerEntry
from tests.cell import cell, job, step, submit, until
from tests.fakes import run_async


@attrs.define(kw_only=True, eq=False)
class TimeoutRecordingFleet(StandinFleet):
    """Records the time limit with which each start waits for its answer."""

    limits: list[float] = attrs.field(factory=list)

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Carry out a start, or lose it."""
        self.limits.append(limit_s)
        return await StandinFleet.start(self, entry, order, limit_s=limit_s)


@pytest.mark.parametrize("lost", [1, 2])
def test_unanswered_start_is_resent_after_adaptive_timeout(
    lost: int,
) -> None:
    async def run() -> None:
        fleet = TimeoutRecordingFleet()
        async with cell(workers=1, fleet=fleet) as env:
            owner = await env.own()
            await submit(owner, "first", job(step(4)))
            await until(lambda: len(env.fleet.starts) == 4)
            env.fleet.workers["w0"].unanswered_starts = lost
            began = env.clock.now()
            fleet.limits.clear()
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(env.fleet.starts) == 5)
            assert fleet.limits[:lost] == [MIN_TIMEOUT_S * 2**n for n in range(lost)]
            assert env.clock.now() - began >= fleet.limits[0]
            assert not env.fleet.faults

    run_async(run())


def test_late_copy_of_start_runs_once() -> None:
    """Copy and original reach the worker in either order."""

    async def run() -> None:
        async with cell(workers=1) as env:
            owner = await env.own()
            worker = env.fleet.workers["w0"]
            worker.unanswered_starts = 1
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(env.fleet.starts) == 1)
            for late in worker.late:
                env.fleet.carry_out(worker, late)
            await asyncio.sleep(0.1)
            assert len(env.fleet.starts) == 1 and not env.fleet.faults

    run_async(run())
