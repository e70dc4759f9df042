"""Replays a load through the real planner, on an in-memory cluster state.

There is no network, no table and no owner: a simulated clock runs from event to event,
starts take effect at once, and tasks end after their true run times.
"""

import collections
import heapq
import random
from collections.abc import Callable
from typing import Any

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.load_control import LoadControl
from cranberrycleat.workflow.decisions.load_forecast import LoadForecast
from cranberrycleat.workflow.decisions.load_snapshot import update_forecast
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.fleet import FleetWorker, Liveness, Placement
from cranberrycleat.workflow.ports import (
    EndedTask,
    EndKind,
    Queue,
    RunningTask,
    SyncReply,
)
from cranberrycleat.workflow.spec import WorkflowSpec
from tests.cell import entry

EPOCH_S = 1_000_000.0
ROUND_S = 0.1
"""Time between two planning rounds."""
REPORT_S = 0.5
"""Time between two reports of a worker on its running tasks."""

MAX_REPLAY_S = 300.0
"""A replay ends here at the latest, also if a job can never run."""

RunTime = Callable[[FleetWorker, Placement, random.Random], float]
"""Returns the true run time of an attempt on a worker."""


@attrs.frozen(kw_only=True)
class Arrival:
    """A job that is sent at a time on the simulated clock."""

    at: float
    job_id: str
    queue: Queue
    spec: WorkflowSpec
    workspace: str = ""


@attrs.define(kw_only=True, eq=False)
class Replay:
    """A pool under a load.

    Attributes:
        run_time: The true run times.
        rng: Draws them.
        load: The policies for hard load.
        admits: Whether a job is accepted; called when it arrives.
        quotas: The quota of each workspace that has one.
        cluster_state: The state on which the planner works.
        now: The simulated time.
        begun: When each accepted job began, by ID.
        ended: When each completed job ended, by ID.
    """

    run_time: RunTime
    rng: random.Random
    load: LoadControl = attrs.field(
        factory=lambda: LoadControl(forecast=LoadForecast())
    )
    admits: Callable[["Replay", Arrival], bool] = lambda replay, arrival: True
    quotas: dict[str, Amounts] = attrs.field(factory=dict)
    cluster_state: ClusterState = attrs.field(init=False)
    now: float = 0.0
    begun: dict[str, float] = attrs.field(factory=dict)
    ended: dict[str, float] = attrs.field(factory=dict)
    _ends: list[tuple[float, int, FleetWorker, Placement]] = attrs.field(factory=list)
    _started: dict[tuple[str, int], tuple[float, float]] = attrs.field(factory=dict)
    _numbers: int = 0

    def __attrs_post_init__(self) -> None:
        self.cluster_state = ClusterState(
            time_of_day=lambda: EPOCH_S + self.now, now=lambda: self.now, load=self.load
        )
        self.cluster_state.quotas.quotas = lambda: self.quotas

    @classmethod
    def of_workers(cls, count: int, **more: Any) -> "Replay":
        """Return a replay with small workers on which tasks take their estimates."""

        def run_s(worker: FleetWorker, placed: Placement, rng: random.Random) -> float:
            assert placed.tracked_task is not None
            return placed.tracked_task.step.spec.estimate_s

        replay = cls(run_time=run_s, rng=random.Random(1), **more)
        for number in range(count):
            replay.add_worker(f"w{number}", 4000)
        return replay

    def add_worker(self, name: str, processors: int) -> FleetWorker:
        """Add a live worker."""
        worker = FleetWorker(
            entry=entry(name, processors=processors), liveness=Liveness.LIVE
        )
        self.cluster_state.fleet.add(worker)
        return worker

    def run(self, arrivals: list[Arrival], until: float = MAX_REPLAY_S) -> None:
        """Run until all jobs have ended, or until a time."""
        pending = collections.deque(sorted(arrivals, key=lambda each: each.at))
        planner = Planner(cluster_state=self.cluster_state)
        report_at = self.now
        self._update_forecast()
        while self.now < until and (
            pending or self._ends or self.cluster_state.waiting
        ):
            while pending and pending[0].at <= self.now:
                self._arrive(pending.popleft())
            while self._ends and self._ends[0][0] <= self.now:
                _, _, worker, placement = heapq.heappop(self._ends)
                self._end(worker, placement)
            if self.now >= report_at:
                report_at = self.now + REPORT_S
                for worker in self.cluster_state.fleet.workers.values():
                    self._report(worker)
            plan = planner.plan(now=self.now, now_s=EPOCH_S + self.now)
            for group in plan.groups:
                for worker, placement in group.placements:
                    self._start(worker, placement)
            self._update_forecast()
            self.now += ROUND_S

    def _update_forecast(self) -> None:
        if self.load.forecast is not None:
            update_forecast(
                self.cluster_state,
                self.load.forecast,
                now=self.now,
                now_s=EPOCH_S + self.now,
            )

    def _arrive(self, arrival: Arrival) -> None:
        if self.admits(self, arrival):
            self.cluster_state.accept(
                arrival.job_id,
                arrival.queue,
                arrival.spec,
                workspace=arrival.workspace,
            )

    def _start(self, worker: FleetWorker, placement: Placement) -> None:
        assert placement.tracked_task is not None
        placement.began(self.now)
        self.cluster_state.note_begun(placement)
        self.begun.setdefault(placement.tracked_task.step.job.job_id, self.now)
        run_s = self.run_time(worker, placement, self.rng)
        self._numbers += 1
        self._started[(placement.task, placement.attempt)] = (self.now, run_s)
        heapq.heappush(self._ends, (self.now + run_s, self._numbers, worker, placement))

    def _end(self, worker: FleetWorker, placement: Placement) -> None:
        assert placement.tracked_task is not None
        if (placement.task, placement.attempt) not in worker.placements:
            return
        end = EndedTask(
            number=worker.heard_upto + 1,
            task=placement.task,
            attempt=placement.attempt,
            how=EndKind.DONE,
            saved="",
        )
        self._report(worker, end)
        job = placement.tracked_task.step.job
        if job.verdict is not None:
            self.ended.setdefault(job.job_id, self.now)

    def _report(self, worker: FleetWorker, *ends: EndedTask) -> None:
        """Apply what a worker reports; a task that has just ended is not running."""
        over = {(end.task, end.attempt) for end in ends}
        running = tuple(
            RunningTask(task=key[0], attempt=key[1], saved="", percent=percent)
            for key in worker.placements
            if key not in over
            for percent in (self._percent(key),)
        )
        reply = SyncReply(
            worker_time_ms=round(self.now * 1000), running=running, ended=ends
        )
        self.cluster_state.sync(worker, reply, sent_at=self.now, now=self.now)

    def _percent(self, key: tuple[str, int]) -> float:
        began, run_s = self._started[key]
        return min(100.0, 100 * (self.now - began) / run_s)
