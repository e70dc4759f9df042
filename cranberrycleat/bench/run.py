"""Discrete-event simulation of one policy and one workload for `bench placement`.

The planner is called directly, without network, leases or a table. A task starts when
it is placed and ends after its true run time. Its actual resource usage is reported
after the lag that real workers have.
"""

import heapq
import itertools
import time
from typing import Final

import attrs

from cranberrycleat import selectors
from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.bench.workload import GPU_LABEL, BenchCell, BenchJob, Disturbances
from cranberrycleat.inventory import InventoryWorker, WorkerInventory, WorkerState
from cranberrycleat.jobs import Kind, PreemptionMode
from cranberrycleat.placement import PlacementRequest, unsatisfiable_reasons
from cranberrycleat.preemption import Preemption, throttled
from cranberrycleat.rounds import RoundPlanner

REPORT_LAG_S: Final = 5.0
FAIL_AFTER_S: Final = 0.5
MAX_DRAIN_S: Final = 400.0
RETRIES: Final = 50


@attrs.define(kw_only=True, eq=False)
class BenchTask:
    """One simulated task.

    Its waiting time is all the time in which it made no useful progress: time before
    each placement, run time lost by a stop, and slowdown when throttled.
    """

    job: BenchJob
    name: str
    waiting_since: float
    left_s: float
    worker: str = ""
    started: float = -1.0
    serial: int = 0
    waited_s: float = 0.0
    starts: int = 0


@attrs.define(kw_only=True)
class RunFigures:
    """Results of one policy for one workload."""

    policy: str
    wait_p50_s: float = 0.0
    wait_p99_s: float = 0.0
    wait_max_s: float = 0.0
    wait_mean_s: float = 0.0
    urgent_p99_s: float = 0.0
    service_p99_s: float = 0.0
    batch_p99_s: float = 0.0
    gang_p99_s: float = 0.0
    packing: float = 0.0
    touched: float = 0.0
    lost_share: float = 0.0
    decisions: int = 0
    decisions_per_s: float = 0.0
    decision_p99_ms: float = 0.0
    round_p99_ms: float = 0.0
    over_capacity: int = 0
    overfull_s: float = 0.0
    never: int = 0
    unstarted: int = 0
    quarantined: int = 0


@attrs.define(kw_only=True, eq=False)
class BenchRun:
    """One simulation run."""

    policy: str
    cell: BenchCell
    disturbances: Disturbances
    jobs: list[BenchJob]
    planner: RoundPlanner
    round_s: float
    pooled: bool = False
    now: float = 0.0
    waiting: dict[str, list[BenchTask]] = attrs.field(factory=dict)
    by_name: dict[str, BenchTask] = attrs.field(factory=dict)
    finished: list[BenchTask] = attrs.field(factory=list)
    figures: RunFigures = attrs.field(init=False)
    _events: list[tuple[float, int, str, object]] = attrs.field(factory=list)
    _event_numbers: "itertools.count[int]" = attrs.field(factory=itertools.count)
    _dirty: bool = True
    _round_times_s: list[float] = attrs.field(factory=list)
    _utilization_samples: list[tuple[float, int]] = attrs.field(factory=list)
    _lost_work: float = 0.0
    _failing: set[str] = attrs.field(factory=set)
    _asks: dict[str, PlacementRequest] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.figures = RunFigures(policy=self.policy)

    def run(self) -> RunFigures:
        """Run the simulation to its end and return the results."""
        self._schedule_initial_events()
        next_round = 0.0
        end = self.cell.arrivals_s + MAX_DRAIN_S
        while self._events and self.now < end:
            at = self._events[0][0]
            if self._dirty and at >= next_round:
                self.now = max(self.now, next_round)
                self._round()
                next_round = self.now + self.round_s
                continue
            self.now = at
            _, _, kind, what = heapq.heappop(self._events)
            self._handle(kind, what)
            if self.now > self.cell.arrivals_s and not self.waiting:
                break
        self._compute_figures()
        return self.figures

    # --- events -----------------------------------------------------------------

    def _schedule(self, when: float, kind: str, what: object) -> None:
        heapq.heappush(self._events, (when, next(self._event_numbers), kind, what))

    def _schedule_initial_events(self) -> None:
        self._failing = {
            f"w{number}" for number in range(self.disturbances.failing_workers)
        }
        for job in self.jobs:
            self._schedule(job.at, "arrive", job)
        half = self.cell.arrivals_s / 2
        if self.disturbances.cancel_share:
            self._schedule(half, "cancel", None)
        if self.disturbances.rack_lost:
            self._schedule(half, "rack", None)
        self._schedule(self.cell.arrivals_s + 0.001, "tick", None)

    def _handle(self, kind: str, what: object) -> None:
        match kind:
            case "arrive":
                assert isinstance(what, BenchJob)
                self._arrive(what)
            case "end":
                assert isinstance(what, tuple)
                self._end_task(*what)
            case "report":
                assert isinstance(what, tuple)
                self._report(*what)
            case "cancel":
                self._cancel()
            case "rack":
                self._lose_rack()
            case _:
                self._dirty = True

    def _arrive(self, job: BenchJob) -> None:
        tasks = []
        for number in range(job.count):
            task = BenchTask(
                job=job,
                name=f"{job.name}/{number}",
                waiting_since=self.now,
                left_s=job.run_s[number],
            )
            tasks.append(task)
            self.by_name[task.name] = task
        self.waiting[job.name] = tasks
        self._dirty = True

    def _end_task(self, task: BenchTask, serial: int) -> None:
        if task.serial != serial or not task.worker:
            return
        worker = task.worker
        self._release(task)
        if worker in self._failing:
            self.planner.inventory.start_failed(worker)
            self._requeue(task)
            return
        self.planner.inventory.start_succeeded(worker)
        self.planner.history.record_run(task.job.name, self.now - task.started)
        self.finished.append(task)

    def _release(self, task: BenchTask) -> None:
        self.planner.inventory.release(task.worker, task.name)
        self.planner.forget(task.name)
        team = self.planner.teams.get(task.job.team)
        if team is not None:
            team.used = team.used.minus(self._asks[task.job.name].needs)
        task.worker = ""
        self._dirty = True

    def _requeue(self, task: BenchTask) -> None:
        task.waiting_since = self.now
        self.waiting.setdefault(task.job.name, []).append(task)
        self._dirty = True

    def _report(self, task: BenchTask, serial: int) -> None:
        if task.serial == serial and task.worker:
            needs = self._asks[task.job.name].needs
            inventory = self.planner.inventory
            inventory.report(task.worker, task.name, needs, task.job.uses)
            self.planner.history.record_usage(task.job.name, task.job.uses)
            self._dirty = True

    def _cancel(self) -> None:
        """Cancel the configured share of all waiting jobs at once."""
        names = sorted(self.waiting)
        for name in names[: int(len(names) * self.disturbances.cancel_share)]:
            del self.waiting[name]
        self._dirty = True

    def _lose_rack(self) -> None:
        rack = next(reversed(self.planner.inventory.workers.values())).rack
        for worker in list(self.planner.inventory.workers.values()):
            if worker.rack == rack:
                worker.state = WorkerState.SILENT
                for name in list(worker.tasks):
                    task = self.by_name[name]
                    self._release(task)
                    self._requeue(task)

    # --- rounds -----------------------------------------------------------------

    def _round(self) -> None:
        requests = [self._ask(name, tasks) for name, tasks in self.waiting.items()]
        racks = {
            request.job: self._racks(request)
            for request in requests
            if request.kind is Kind.SERVICE
        }
        began = time.perf_counter()
        plan = self.planner.plan(requests, racks, now=self.now)
        took = time.perf_counter() - began
        self._dirty = False
        for assignment in plan.assignments:
            self._start(self.by_name[assignment.task], assignment.worker)
        for preemption in plan.preemptions:
            self._preempt(preemption)
        made = len(plan.assignments)
        if self.now > 0.0:
            self.figures.decisions += made
            self._round_times_s.append(took)
        self._drop_infeasible()
        self._sample()
        if any(w.state is WorkerState.QUARANTINED for w in self._faulty_workers()):
            self._schedule(self.now + 5.0, "tick", None)
        if self.waiting and not self._events:
            self._schedule(self.now + 1.0, "tick", None)

    def _faulty_workers(self) -> list[InventoryWorker]:
        return [self.planner.inventory.workers[name] for name in self._failing]

    def _ask(self, name: str, tasks: list[BenchTask]) -> PlacementRequest:
        known = self._asks.get(name)
        job = tasks[0].job
        history = self.planner.history
        declared = job.run_s[0] if self.pooled else job.declared_s
        run_s = history.run_s(job.name, declared)
        needs = known.needs if known else self._needs(job)
        request = PlacementRequest(
            job=job.name,
            kind=job.kind,
            team=job.team,
            rank=job.rank,
            needs=needs,
            selector=(
                known.selector
                if known
                else selectors.parse(job.selector, place="bench")
            ),
            tasks=tuple(task.name for task in tasks),
            run_s=run_s,
            gives_way=job.gives_way,
        )
        self._asks[name] = request
        return request

    def _needs(self, job: BenchJob) -> Amounts:
        learned = self.planner.history.needs(job.name, job.needs)
        limit = Amounts(
            processors=self.cell.processors * 1000,
            memory_mb=self.cell.memory_mb,
            accelerators=8,
        )
        return learned if learned.fits_in(limit) else job.needs

    def _racks(self, request: PlacementRequest) -> dict[str, int]:
        counts: dict[str, int] = {}
        for number in range(len(self._asks[request.job].tasks)):
            task = self.by_name.get(f"{request.job}/{number}")
            if task is not None and task.worker:
                rack = self.planner.inventory.workers[task.worker].rack
                counts[rack] = counts.get(rack, 0) + 1
        return counts

    def _start(self, task: BenchTask, worker: str) -> None:
        tasks = self.waiting[task.job.name]
        tasks.remove(task)
        if not tasks:
            del self.waiting[task.job.name]
        task.worker, task.started = worker, self.now
        task.serial = next(self._event_numbers)
        task.waited_s += self.now - task.waiting_since
        task.starts += 1
        if worker in self._failing:
            self._schedule(self.now + FAIL_AFTER_S, "end", (task, task.serial))
        elif task.left_s:
            self._schedule(self.now + task.left_s, "end", (task, task.serial))
        if self.disturbances.wrong_sizes:
            self._schedule(self.now + REPORT_LAG_S, "report", (task, task.serial))

    def _preempt(self, preemption: Preemption) -> None:
        task = self.by_name[preemption.task]
        ran = self.now - task.started
        if preemption.how is PreemptionMode.THROTTLE:
            needs = throttled(
                self.planner.inventory.workers[task.worker].tasks[task.name]
            )
            self.planner.inventory.set_needs(task.worker, task.name, needs)
            # It runs at half speed, so it loses as much time as it has left.
            task.waited_s += max(0.0, task.left_s - ran)
            task.left_s = 2 * max(0.0, task.left_s - ran)
            task.started, task.serial = self.now, next(self._event_numbers)
            self._schedule(self.now + task.left_s, "end", (task, task.serial))
            self._dirty = True
            return
        if preemption.how is PreemptionMode.CHECKPOINT:
            task.left_s = max(0.1, task.left_s - ran)
        else:
            self._lost_work += ran * task.job.uses.processors
            task.waited_s += ran
        self._release(task)
        self._requeue(task)

    def _drop_infeasible(self) -> None:
        """Drop jobs that can never run and count their tasks."""
        if not self.disturbances.never_share:
            return
        for name in list(self.waiting):
            if unsatisfiable_reasons(self._asks[name], self.planner.inventory):
                self.figures.never += len(self.waiting.pop(name))

    def _sample(self) -> None:
        """Sample utilization and the number of workers in use while work waits."""
        workers = self.planner.inventory.workers.values()
        over = [w for w in workers if not w.used.fits_in(w.capacity)]
        given = [w for w in over if not self.disturbances.wrong_sizes]
        self.figures.over_capacity += len(given)
        self.figures.overfull_s += len(over) * self.round_s
        if self.waiting and self.now > 0.0:
            whole = sum(w.capacity.processors for w in workers)
            used = sum(w.used.processors for w in workers)
            touched = sum(1 for w in workers if w.tasks)
            self._utilization_samples.append((used / whole, touched))

    # --- figures ----------------------------------------------------------------

    def _compute_figures(self) -> None:
        figures = self.figures
        tasks = [task for task in self.by_name.values() if task.job.at > 0]
        started = [task for task in tasks if task.starts]
        waits = sorted(task.waited_s for task in started)
        figures.unstarted = sum(len(tasks) for tasks in self.waiting.values())
        figures.wait_p50_s = percentile(waits, 0.5)
        figures.wait_p99_s = percentile(waits, 0.99)
        figures.wait_max_s = percentile(waits, 1.0)
        figures.wait_mean_s = round(sum(waits) / max(1, len(waits)), 3)
        urgent = [t for t in started if t.job.rank == 0]
        figures.urgent_p99_s = _p99(urgent)
        figures.service_p99_s = _p99([t for t in started if t.job.kind is Kind.SERVICE])
        figures.batch_p99_s = _p99([t for t in started if t.job.kind is Kind.BATCH])
        figures.gang_p99_s = _p99([t for t in started if t.job.kind is Kind.GANG])
        if self._utilization_samples:
            count = len(self._utilization_samples)
            figures.packing = round(
                sum(s[0] for s in self._utilization_samples) / count, 4
            )
            figures.touched = round(
                sum(s[1] for s in self._utilization_samples) / count, 1
            )
        work = sum(t.job.uses.processors * sum(t.job.run_s) for t in started)
        figures.lost_share = round(self._lost_work / max(1.0, work), 5)
        spent = sum(self._round_times_s)
        if spent:
            figures.decisions_per_s = round(figures.decisions / spent, 1)
        each = sorted(getattr(self.planner, "decision_s", ()))
        figures.round_p99_ms = round(
            1000 * percentile(sorted(self._round_times_s), 0.99, 6), 3
        )
        figures.decision_p99_ms = round(1000 * percentile(each, 0.99, 6), 3)
        figures.quarantined = sum(
            w.state is WorkerState.QUARANTINED or w.failures > 0
            for w in self._faulty_workers()
        )


def _p99(tasks: list[BenchTask]) -> float:
    return percentile(sorted(t.waited_s for t in tasks), 0.99)


def percentile(values: list[float], share: float, digits: int = 3) -> float:
    """Return a percentile of sorted values, or 0 if there are none."""
    if not values:
        return 0.0
    index = min(len(values) - 1, int(len(values) * share))
    return round(values[index], digits)


def make_inventory(cell: BenchCell, pooled: bool) -> WorkerInventory:
    """Return the workers of a case, or one pooled worker of the same total size."""
    inventory = WorkerInventory()
    with_gpu = cell.accelerators // 8
    whole = NOTHING
    for number in range(cell.workers):
        has_gpu = number >= cell.workers - with_gpu
        capacity = Amounts(
            processors=cell.processors * 1000,
            memory_mb=cell.memory_mb,
            accelerators=8 if has_gpu else 0,
        )
        whole = whole.plus(capacity)
        if not pooled:
            rack = f"r{number // cell.rack_size}"
            inventory.add_worker(_worker(f"w{number}", rack, capacity, has_gpu))
    if pooled:
        inventory.add_worker(_worker("pool", "r0", whole, True))
    return inventory


def _worker(name: str, rack: str, capacity: Amounts, has_gpu: bool) -> InventoryWorker:
    labels = {GPU_LABEL: "yes"} if has_gpu else {}
    return InventoryWorker(
        name=name, data_centre="dc", rack=rack, labels=labels, capacity=capacity
    )
