"""From a plan to orders: permits, stored placements, then the starts.

Takes the planner's groups through their stages. A start leaves only after its
placement is stored and while its permit is valid; what gets no permit in time
is given up before anything of it was ordered, and placed anew.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat.clock import Clock
from cranberrycleat.lifecycle import Background
from cranberrycleat.workflow import options
from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.fleet import FleetWorker, Placement
from cranberrycleat.workflow.links import WorkerLink
from cranberrycleat.workflow.ordering import Urgency, rank
from cranberrycleat.workflow.permit_queue import PermitQueue
from cranberrycleat.workflow.planner import PermitWish, PlannedGroup, Planner
from cranberrycleat.workflow.signal import Signal
from cranberrycleat.workflow.state import StepRun

PERMIT_PAUSE_S: Final = 0.05
PERMIT_TRIES: Final = 4


@attrs.define(kw_only=True, eq=False)
class Starts:
    """Plans rounds and carries their placements to the workers' links.

    Attributes:
        board: The owner's memory.
        permit_queue: Asks for permits.
        links: The links to workers, by identity.
        clock: The owner's clock.
        changed: Told when the board has changed.
        stored: Fires whenever a batch was stored.
        work: Keeps the tasks that it starts.
        plan_due: Set when a round is wanted.
        spread_factor: How much longer tasks take away from their data.
        planner: Decides.
    """

    board: Board
    permit_queue: PermitQueue
    links: dict[str, WorkerLink]
    clock: Clock
    changed: Callable[[], None]
    stored: Signal
    work: Background
    plan_due: asyncio.Event
    spread_factor: float = 1.0
    planner: Planner = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.planner = Planner(board=self.board, spread_factor=self.spread_factor)

    def plan(self) -> None:
        now = self.clock.now()
        plan = self.planner.plan(now=now, now_s=self.board.time_of_day())
        for wish in plan.wishes:
            self.work.spawn(self._ask_permits(wish))
        for group in plan.groups:
            self.work.spawn(self._order(group))
        if plan.groups:
            self.changed()
        if plan.retry_at is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(max(0.0, plan.retry_at - now), self.plan_due.set)

    async def _ask_permits(self, wish: PermitWish) -> None:
        permits = self.board.permits.get(wish.step.name)
        if permits is None:
            return
        urgency = self._urgency(wish.step)
        if not await self.permit_queue.ask(
            wish.step.name, wish.workers, permits, urgency
        ):
            await asyncio.sleep(options.TICK_S)
        self.plan_due.set()

    def _urgency(self, step: StepRun) -> Urgency:
        return rank(step, self.board.time_of_day()).key()

    async def _order(self, group: PlannedGroup) -> None:
        """Order the starts of a group once they are stored and permitted."""
        left = group.placements
        for _ in range(PERMIT_TRIES):
            await self._until_stored(left)
            left = [pair for pair in left if pair[0].counts(pair[1])]
            await self._permit(group.step, left)
            ready = [pair for pair in left if self._permitted(group.step, pair[1])]
            if group.step.spec.gang and len(ready) < len(left):
                ready = []
            self._send(ready)
            left = [pair for pair in left if pair not in ready]
            if not left:
                return
            await asyncio.sleep(PERMIT_PAUSE_S)
        for worker, placement in left:
            self.board.give_up(worker, placement, "no permits")
        self.changed()

    async def _until_stored(self, left: list[tuple[FleetWorker, Placement]]) -> None:
        """Wait until all that still counts is stored.

        What is given up first, with its worker, will never be; the rest of its
        group must not wait for it.
        """
        while any(
            worker.counts(placement) and not placement.stored
            for worker, placement in left
        ):
            await self.stored.wait()

    @staticmethod
    def _permitted(step: StepRun, placement: Placement) -> bool:
        needless = step.job.queue.permits is None
        return needless or bool(placement.permit) or placement.stopping

    def _send(self, ready: list[tuple[FleetWorker, Placement]]) -> None:
        for worker, placement in ready:
            link = self.links.get(worker.name)
            if link is not None:
                self.work.spawn(link.start(placement))

    async def _permit(
        self, step: StepRun, left: list[tuple[FleetWorker, Placement]]
    ) -> None:
        """Give every placement a permit that is valid now, as far as possible."""
        permits = self.board.permits.get(step.name)
        if step.job.queue.permits is None or permits is None:
            return
        now = self.clock.now()
        stale = permits.to_renew({worker.name for worker, _ in left}, now)
        if stale:
            await self.permit_queue.ask(step.name, stale, permits, self._urgency(step))
            now = self.clock.now()
        for worker, placement in left:
            placement.permit = permits.valid(worker.name, now)
