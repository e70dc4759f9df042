"""Turns plans into start orders: requests permits, waits for storage, sends the starts.

Takes the planner's groups through these stages. A start is sent only after its
placement is stored and while its permit is valid. Placements that get no permit in time
are given up before any of them was ordered, and are planned again.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat.clock import Clock
from cranberrycleat.lifecycle import BackgroundTasks
from cranberrycleat.workflow import options
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.load_snapshot import update_forecast
from cranberrycleat.workflow.decisions.ordering import SERVICE_BAND, Urgency
from cranberrycleat.workflow.decisions.planner import PermitQuery, PlannedGroup, Planner
from cranberrycleat.workflow.fleet import FleetWorker, Placement
from cranberrycleat.workflow.links import WorkerLink
from cranberrycleat.workflow.permit_queue import PermitQueue
from cranberrycleat.workflow.permits import StepPermits
from cranberrycleat.workflow.repeating_event import RepeatingEvent
from cranberrycleat.workflow.state import StepRun

PERMIT_RETRY_S: Final = 0.05
PERMIT_ATTEMPTS: Final = 4
NO_TASK_WAITS: Final[Urgency] = (SERVICE_BAND, 0, 0.0, "")
"""Urgency of a step all of whose tasks are placed: resources are held for them."""
FORECAST_INTERVAL_S: Final = 0.1
"""Minimum time between two snapshots for the load forecast."""
FORECAST_TIME_SHARE: Final = 0.1
"""Share of its time that the owner spends on these snapshots; on a weak host with a
long backlog they are taken less often, up to `FORECAST_MAX_INTERVAL_S`."""
FORECAST_MAX_INTERVAL_S: Final = 0.7
"""Admission control accepts every job while the snapshot is older than 1 s. With 5,000
waiting steps, a snapshot takes 0.08 s of a whole core and more of a weaker one, so that
at a tenth of the time it would be too old for most of the time."""


@attrs.define(kw_only=True, eq=False)
class Dispatcher:
    """Runs planning rounds and hands their placements to the workers' links.

    Attributes:
        cluster_state: The owner's in-memory state.
        permit_queue: Requests permits.
        links: The links to workers, by incarnation name.
        clock: The owner's clock.
        changed: Called when the cluster state has changed.
        stored: Fires whenever a batch was stored.
        work: Holds the asyncio tasks that it spawns.
        plan_due: Set when a planning round is wanted.
        spread_factor: How many times as long a task takes that runs away from its
            data.
        planner: Makes the placement decisions.
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
    _forecast_due_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        self.planner = Planner(
            cluster_state=self.cluster_state, spread_factor=self.spread_factor
        )
        if self.cluster_state.load.batch_permits:
            self.permit_queue.yield_to_urgent = True
            self.permit_queue.current_urgency = self._urgency_of_step

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
        self._update_forecast()

    def _update_forecast(self) -> None:
        """Update the load forecast if it is enabled and its snapshot is old enough."""
        forecast, began = self.cluster_state.load.forecast, self.clock.now()
        if forecast is None or began < self._forecast_due_at:
            return
        now_s = self.cluster_state.time_of_day()
        update_forecast(self.cluster_state, forecast, now=began, now_s=now_s)
        took_s = self.clock.now() - began
        pause_s = max(FORECAST_INTERVAL_S, took_s / FORECAST_TIME_SHARE)
        pause_s = min(pause_s, FORECAST_MAX_INTERVAL_S)
        self._forecast_due_at = began + pause_s

    async def _ask_permits(self, query: PermitQuery) -> None:
        permits = self.cluster_state.permits.get(query.step.name)
        if permits is None:
            return
        urgency = self._urgency(query.step)
        if not await self.permit_queue.ask(
            query.step.name, query.workers, permits, urgency
        ):
            # It counts as a call in flight: otherwise any planning round in the
            # meantime would request the same permits again.
            permits.calls_in_flight += 1
            try:
                await asyncio.sleep(options.TASK_LOOP_INTERVAL_S)
            finally:
                permits.calls_in_flight -= 1
        self.plan_due.set()

    def _urgency(self, step: StepRun) -> Urgency:
        order = self.cluster_state.load.order
        return order.rank(step, self.cluster_state.time_of_day()).key()

    def _urgency_of_step(self, name: str) -> Urgency | None:
        """Return a step's urgency; None if its permits are not needed any more."""
        permits = self.cluster_state.permits.get(name)
        if permits is None:
            return None
        step = self.cluster_state.waiting.get(name)
        if step is not None:
            return self._urgency(step)
        # A query for further workers is of no use once all tasks are placed.
        return NO_TASK_WAITS if permits.renewing.locked() else None

    async def _dispatch(self, group: PlannedGroup) -> None:
        """Send the starts of a group once they are stored and have permits."""
        pending = group.placements
        for _ in range(PERMIT_ATTEMPTS):
            await self._until_stored(pending)
            pending = [pair for pair in pending if pair[0].counts(pair[1])]
            await self._attach_permits(group.step, pending)
            ready = [pair for pair in pending if self._has_permit(group.step, pair[1])]
            if group.step.spec.gang and len(ready) < len(pending):
                ready = []
            self._send(ready)
            pending = without(pending, ready)
            if not pending:
                return
            await asyncio.sleep(PERMIT_RETRY_S)
        for worker, placement in pending:
            self.cluster_state.give_up(worker, placement, "no permits")
        self.changed()

    async def _until_stored(self, pending: list[tuple[FleetWorker, Placement]]) -> None:
        """Wait until every placement that still counts is stored.

        A placement that was given up before, together with its worker, will never be
        stored; the rest of its group must not wait for it.
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
        """Give every placement a currently valid permit, as far as possible."""
        permits = self.cluster_state.permits.get(step.name)
        if step.job.queue.permits is None or permits is None:
            return
        workers = {worker.name for worker, _ in pending}
        if self.cluster_state.load.batch_permits:
            await self._renew_together(step, permits, workers)
        else:
            stale = permits.workers_to_renew(workers, self.clock.now())
            if stale:
                await self.permit_queue.ask(
                    step.name, stale, permits, self._urgency(step)
                )
        now = self.clock.now()
        for worker, placement in pending:
            placement.permit = permits.valid_ticket(worker.name, now)

    async def _renew_together(
        self, step: StepRun, permits: StepPermits, workers: set[str]
    ) -> None:
        """Renew permits of a step with at most one call at a time.

        A call has a fixed cost of up to 0.7 s at the service, and 10 ms at most for
        each worker. Under load, half of the calls of patient steps renewed permits for
        one or two placements.
        """
        permits.to_renew |= workers
        async with permits.renewing:
            if not permits.workers_to_renew(workers, self.clock.now()):
                permits.to_renew -= workers
                return
            # An earlier call that failed has already taken these workers.
            together, permits.to_renew = permits.to_renew | workers, set()
            stale = permits.workers_to_renew(together, self.clock.now())
            await self.permit_queue.ask(step.name, stale, permits, self._urgency(step))


def without(
    pending: list[tuple[FleetWorker, Placement]],
    sent: list[tuple[FleetWorker, Placement]],
) -> list[tuple[FleetWorker, Placement]]:
    """Return the pending placements that were not sent."""
    placements = {placement for _, placement in sent}
    return [pair for pair in pending if pair[1] not in placements]
