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
from cranberrycleat.lifecycle import BackgroundTasks
from cranberrycleat.workflow import options
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.fleet import FleetWorker, Placement
from cranberrycleat.workflow.links import WorkerLink
from cranberrycleat.workflow.ordering import Urgency, rank
from cranberrycleat.workflow.permit_queue import PermitQueue
from cranberrycleat.workflow.planner import PermitQuery, PlannedGroup, Planner
from cranberrycleat.workflow.repeating_event import RepeatingEvent
from cranberrycleat.workflow.state import StepRun

PERMIT_RETRY_S: Final = 0.05
PERMIT_ATTEMPTS: Final = 4


@attrs.define(kw_only=True, eq=False)
class Dispatcher:
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

    cluster_state: ClusterState
    permit_queue: PermitQueue
    links: dict[str, WorkerLink]
    clock: Clock
    changed: Callable[[], None]
    stored: RepeatingEvent
    work: BackgroundTasks
    plan_due: asyncio.Event
    spread_factor: float = 1.0
    planner: Planner = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.planner = Planner(
            cluster_state=self.cluster_state, spread_factor=self.spread_factor
        )

    def plan(self) -> None:
        now = self.clock.now()
        plan = self.planner.plan(now=now, now_s=self.cluster_state.time_of_day())
        for query in plan.permit_queries:
            self.work.spawn(self._ask_permits(query))
        for group in plan.groups:
            self.work.spawn(self._dispatch(group))
        if plan.groups:
            self.changed()
        if plan.retry_at is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(max(0.0, plan.retry_at - now), self.plan_due.set)

    async def _ask_permits(self, query: PermitQuery) -> None:
        permits = self.cluster_state.permits.get(query.step.name)
        if permits is None:
            return
        urgency = self._urgency(query.step)
        if not await self.permit_queue.ask(
            query.step.name, query.workers, permits, urgency
        ):
            await asyncio.sleep(options.TASK_LOOP_INTERVAL_S)
        self.plan_due.set()

    def _urgency(self, step: StepRun) -> Urgency:
        return rank(step, self.cluster_state.time_of_day()).key()

    async def _dispatch(self, group: PlannedGroup) -> None:
        """Order the starts of a group once they are stored and permitted."""
        pending = group.placements
        for _ in range(PERMIT_ATTEMPTS):
            await self._until_stored(pending)
            pending = [pair for pair in pending if pair[0].counts(pair[1])]
            await self._attach_permits(group.step, pending)
            ready = [pair for pair in pending if self._has_permit(group.step, pair[1])]
            if group.step.spec.gang and len(ready) < len(pending):
                ready = []
            self._send(ready)
            pending = [pair for pair in pending if pair not in ready]
            if not pending:
                return
            await asyncio.sleep(PERMIT_RETRY_S)
        for worker, placement in pending:
            self.cluster_state.give_up(worker, placement, "no permits")
        self.changed()

    async def _until_stored(self, pending: list[tuple[FleetWorker, Placement]]) -> None:
        """Wait until all that still counts is stored.

        What is given up first, with its worker, will never be; the rest of its
        group must not wait for it.
        """
        while any(
            worker.counts(placement) and not placement.stored
            for worker, placement in pending
        ):
            await self.stored.wait()

    @staticmethod
    def _has_permit(step: StepRun, placement: Placement) -> bool:
        not_required = step.job.queue.permits is None
        return not_required or bool(placement.permit) or placement.stopping

    def _send(self, ready: list[tuple[FleetWorker, Placement]]) -> None:
        for worker, placement in ready:
            link = self.links.get(worker.name)
            if link is not None:
                self.work.spawn(link.start(placement))

    async def _attach_permits(
        self, step: StepRun, pending: list[tuple[FleetWorker, Placement]]
    ) -> None:
        """Give every placement a permit that is valid now, as far as possible."""
        permits = self.cluster_state.permits.get(step.name)
        if step.job.queue.permits is None or permits is None:
            return
        now = self.clock.now()
        stale = permits.workers_to_renew({worker.name for worker, _ in pending}, now)
        if stale:
            await self.permit_queue.ask(step.name, stale, permits, self._urgency(step))
            now = self.clock.now()
        for worker, placement in pending:
            placement.permit = permits.valid_ticket(worker.name, now)
