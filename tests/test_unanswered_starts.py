"""Workers that leave starts unanswered and carry them out late.

The load that it answers: for five seconds one order in twenty has no answer. Its copy
is answered at once, so that what the task loses is the time until the copy is sent. The
limit was 0.5 s; a short job has 0.6 s in all, and answers come within 0.03 s.
"""

import asyncio

import attrs
import pytest

from cranberrycleat.standins.fleet import StandinFleet, Work
from cranberrycleat.workflow.answer_timeout import LEAST_S
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.ports import OrderReply, StartOrder, Verdict, WorkerEntry
from cranberrycleat.workflow.state import JobState
from tests.cell import Cell, cell, job, step, submit, until
from tests.fakes import go


@attrs.define(kw_only=True, eq=False)
class NotingFleet(StandinFleet):
    """Notes how long each start may wait for its answer."""

    limits: list[float] = attrs.field(factory=list)

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Carry out a start, or lose it."""
        self.limits.append(limit_s)
        return await StandinFleet.start(self, entry, order, limit_s=limit_s)


@pytest.mark.parametrize("lost", [1, 2])
def test_a_start_without_answer_is_sent_again_within_what_answers_take(
    lost: int,
) -> None:
    async def run() -> None:
        fleet = NotingFleet()
        async with cell(workers=1, fleet=fleet) as made:
            owner = await made.own()
            await submit(owner, "first", job(step(4)))
            await until(lambda: len(made.fleet.starts) == 4)
            made.fleet.workers["w0"].lose_starts = lost
            began = made.clock.now()
            fleet.limits.clear()
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(made.fleet.starts) == 5)
            assert fleet.limits[:lost] == [LEAST_S * 2**n for n in range(lost)]
            assert made.clock.now() - began >= fleet.limits[0]
            assert not made.fleet.faults

    go(run())


def test_a_late_copy_does_no_harm() -> None:
    """Copy and original reach the worker in either order: it runs once."""

    async def run() -> None:
        async with cell(workers=1) as made:
            owner = await made.own()
            worker = made.fleet.workers["w0"]
            worker.lose_starts = 1
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(made.fleet.starts) == 1)
            for late in worker.late:
                made.fleet.carry_out(worker, late)
            await asyncio.sleep(0.1)
            assert len(made.fleet.starts) == 1 and not made.fleet.faults

    go(run())


async def _done_by_a_copy(made: Cell, owner: Owner) -> StartOrder:
    """Have a task done by the second copy of its start; return the first."""
    worker = made.fleet.workers["w0"]
    worker.lose_starts = 1
    await submit(owner, "a", job(step(1)))
    await until(lambda: owner.board.shown.get("a") is JobState.COMPLETED)
    await until(lambda: not worker.ended)
    return worker.late.pop()


# Guards against a task that runs again after it was done (TWICE) and against work over
# a worker's capacity (LIMIT): a stop and an end make a copy void in one process only.
def test_a_late_copy_is_refused_by_every_process_that_was_asked_since() -> None:
    async def run() -> None:
        async with cell(workers=0) as made:
            made.add_worker("w0", born_ms=1)
            owner = await made.own()
            late = await _done_by_a_copy(made, owner)
            first = made.fleet.workers["w0"]
            assert made.fleet.carry_out(first, late).verdict is Verdict.STALE_EPOCH
            asks_with = owner.links["w0@1"].fence
            await made.close()
            after = made.fleet.restart("w0")
            await made.fleet.sync(
                after.entry,
                fence=asks_with,
                ended_upto=0,
                lease_end_ms=None,
                wait_ms=0,
            )
            assert made.fleet.carry_out(after, late).verdict is Verdict.STALE_EPOCH
            assert len(made.fleet.starts) == 1 and not made.fleet.faults

    go(run())


@attrs.define(kw_only=True, eq=False)
class OvertakingFleet(StandinFleet):
    """Has a worker see a higher fence of the same owner before the first order."""

    outdate: "asyncio.Future[Owner]" = attrs.field(factory=asyncio.Future)
    overtaken: list[str] = attrs.field(factory=list)

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Carry out a start, behind what was ordered after it if it is the first."""
        if not self.overtaken:
            self._overtake("start", entry)
        return await StandinFleet.start(self, entry, order, limit_s=limit_s)

    async def stop(
        self, entry: WorkerEntry, task: str, attempt: int, fence: int
    ) -> OrderReply:
        """Carry out a stop, behind what was ordered after it if it is the first."""
        if "stop" not in self.overtaken:
            self._overtake("stop", entry)
        return await StandinFleet.stop(self, entry, task, attempt, fence)

    def _overtake(self, what: str, entry: WorkerEntry) -> None:
        self.overtaken.append(what)
        owner = self.outdate.result()
        link = owner.links[entry.incarnation]
        owner.board.fleet.outdate_orders(link.worker)
        self.workers[entry.worker].fence = link.fence


def test_an_order_that_the_owners_own_fence_overtook_is_sent_again() -> None:
    """It did nothing, and the owner is not taken for a former one."""

    async def run() -> None:
        fleet = OvertakingFleet()
        fleet.work = lambda task, attempt: Work(seconds=30.0)
        async with cell(workers=1, fleet=fleet) as made:
            owner = await made.own()
            fleet.outdate.set_result(owner)
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(fleet.starts) == 1)
            await owner.cancel("a")
            await until(lambda: not fleet.workers["w0"].runs, limit_s=0.6)
            assert fleet.overtaken == ["start", "stop"]
            assert owner.lease.authority() and owner.epoch == 1

    go(run())


@attrs.define(kw_only=True, eq=False)
class RestartingFleet(StandinFleet):
    """Has a worker start again, and answer, while the first start is on its way."""

    made: "asyncio.Future[tuple[Cell, Owner]]" = attrs.field(factory=asyncio.Future)
    restarted: bool = False

    async def start(
        self, entry: WorkerEntry, order: StartOrder, *, limit_s: float
    ) -> OrderReply:
        """Carry out a start; the first one reaches the next incarnation."""
        if not self.restarted:
            self.restarted = True
            made, owner = self.made.result()
            after = made.restart_worker(entry.worker)
            newest = owner.board.fleet.newest
            await until(lambda: newest[entry.worker].name == after.entry.incarnation)
            await until(lambda: after.fence > order.fence)
        return await StandinFleet.start(self, entry, order, limit_s=limit_s)


# Guards against owners that depose themselves: what the next incarnation refuses for
# its higher fence says nothing of a later owner.
def test_a_start_that_reaches_the_next_incarnation_deposes_nobody() -> None:
    async def run() -> None:
        fleet = RestartingFleet()
        async with cell(workers=0, fleet=fleet) as made:
            made.add_worker("w0", born_ms=1)
            owner = await made.own()
            fleet.made.set_result((made, owner))
            await submit(owner, "a", job(step(1)))
            await until(lambda: owner.board.shown.get("a") is JobState.COMPLETED)
            assert fleet.restarted
            assert owner.lease.authority() and owner.epoch == 1

    go(run())
