"""`bench placement`: waiting times, packing and decision cost, compared with baselines.

The cases are both deployments at 24 workers, one full-size data centre, the full size,
and cases with disturbances. All policies run the same seeded workload in virtual time.
Speeds depend on the machine; all other results are reproducible by seed.
"""

import math
import random
import time
import tracemalloc
from typing import Final

import attrs

from cranberrycleat import plugins
from cranberrycleat.amounts import MILLI, NOTHING, Amounts
from cranberrycleat.bench.policies import ShortestFirst, baseline
from cranberrycleat.bench.run import BenchRun, RunFigures, make_inventory
from cranberrycleat.bench.workload import (
    BenchCell,
    BenchJob,
    Disturbances,
    WorkloadMaker,
)
from cranberrycleat.inventory import WorkerInventory
from cranberrycleat.jobs import JobRow, JobSpec, Kind, TaskRecord, TaskState
from cranberrycleat.logs import part_logger
from cranberrycleat.messages import HostEntry
from cranberrycleat.placement import PlacementRequest
from cranberrycleat.rounds import PLANNER_PROFILES, Plan, PlannerProfile, RoundPlanner
from cranberrycleat.shard import Shard

assert plugins

OURS: Final = "ours"
PACKING: Final = "ours, packing"
BOUND: Final = "bound"
BASELINES: Final = ("best-fit", "first-fit", "random", "fifo")
STATE_WORKERS: Final = 208
STATE_TASKS: Final = 3328
FULL_SIZE: Final = "full size"
QUICK_ARRIVALS_S: Final = 20.0

CELLS: Final = (
    BenchCell(
        name="haulbay",
        workers=24,
        rack_size=8,
        processors=16,
        memory_mb=32768,
        services=24,
    ),
    BenchCell(
        name="timing",
        workers=24,
        rack_size=8,
        processors=32,
        memory_mb=65536,
        services=24,
    ),
    BenchCell(
        name="one data centre",
        workers=208,
        rack_size=8,
        processors=28,
        memory_mb=65536,
        accelerators=352,
        teams=490,
        services=650,
    ),
    BenchCell(
        name=FULL_SIZE,
        workers=2500,
        rack_size=8,
        processors=28,
        memory_mb=65536,
        accelerators=4200,
        teams=490,
        services=8000,
        arrivals_s=40.0,
        wave=0.25,
    ),
)

DISTURBED_CASES: Final = {
    "sizes wrong": Disturbances(wrong_sizes=True),
    "a tenth never runs": Disturbances(never_share=0.1),
    "a third is cancelled": Disturbances(cancel_share=0.34),
    "workers that fail everything": Disturbances(failing_workers=5),
    "a rack is lost": Disturbances(rack_lost=True),
    "all of it": Disturbances(
        wrong_sizes=True,
        never_share=0.1,
        cancel_share=0.34,
        failing_workers=5,
        rack_lost=True,
    ),
}


@attrs.define(kw_only=True, eq=False)
class TimedPlanner(RoundPlanner):
    """The production planner, which also measures the time of each job's decision.

    Attributes:
        decision_s: The times in seconds.
    """

    decision_s: list[float] = attrs.field(factory=list)

    def plan_job(
        self, request: PlacementRequest, racks: dict[str, int], now: float
    ) -> Plan:
        """Decide about one job and record how long it took."""
        began = time.perf_counter()
        plan = super().plan_job(request, racks, now)
        if now > 0.0:
            self.decision_s.append(time.perf_counter() - began)
        return plan


@attrs.frozen(kw_only=True)
class CaseReport:
    """Results of one case: this project's planner, the baselines and the bound."""

    case: str
    tasks: int
    rows: tuple[RunFigures, ...]


@attrs.frozen(kw_only=True)
class PlacementSummary:
    """The key metrics, for the full size."""

    decisions_per_s: float
    decision_p99_ms: float
    over_capacity: int
    urgent_wait_p99_s: float
    wait_ratio_to_bound: float
    packing_ratio_vs_best_fit: float
    bytes_per_worker: float
    bytes_per_task: float


@attrs.frozen(kw_only=True)
class PlacementReport:
    """All results of one benchmark run."""

    seed: int
    summary: PlacementSummary
    cases: tuple[CaseReport, ...]


def run_placement_bench(seed: int, *, quick: bool) -> PlacementReport:
    """Run every case and return the report.

    Args:
        seed: The seed of the workloads.
        quick: Whether to compare the full size only with best-fit and the bound, for
            half the time, and to skip the cases with disturbances.
    """
    cases = []
    for cell in CELLS:
        names: tuple[str, ...] = BASELINES
        if quick and cell.name == FULL_SIZE:
            names = ("best-fit",)
            cell = attrs.evolve(cell, arrivals_s=QUICK_ARRIVALS_S)
        cases.append(_run_case(cell, Disturbances(), seed, names, cell.name))
    disturbed_cell = CELLS[2]
    for name, disturbances in () if quick else DISTURBED_CASES.items():
        cases.append(_run_case(disturbed_cell, disturbances, seed, ("best-fit",), name))
    full = next(case for case in cases if case.case == FULL_SIZE)
    summary = _summary(full, *state_bytes())
    return PlacementReport(seed=seed, summary=summary, cases=tuple(cases))


def _run_case(
    cell: BenchCell,
    disturbances: Disturbances,
    seed: int,
    names: tuple[str, ...],
    title: str,
) -> CaseReport:
    jobs = WorkloadMaker(
        cell=cell, disturbances=disturbances, rng=random.Random(seed)
    ).make()
    LOG.info("%s: %d jobs", title, len(jobs))
    rows = [_run_ours(cell, disturbances, jobs, "waiting", OURS)]
    if cell.name != FULL_SIZE:
        rows.append(_run_ours(cell, disturbances, jobs, "packing", PACKING))
    rows += [_run_baseline(cell, disturbances, jobs, name) for name in names]
    rows.append(_run_bound(cell, disturbances, jobs))
    tasks = sum(job.count for job in jobs)
    return CaseReport(case=title, tasks=tasks, rows=tuple(rows))


def _run_ours(
    cell: BenchCell,
    disturbances: Disturbances,
    jobs: list[BenchJob],
    weight: str,
    name: str,
) -> RunFigures:
    inventory = make_inventory(cell, pooled=False)
    planner = TimedPlanner(
        inventory=inventory,
        total_capacity=_total_capacity(inventory),
        profile=PLANNER_PROFILES[weight],
    )
    return _run_policy(
        name, cell, disturbances, jobs, planner, PLANNER_PROFILES[weight].round_s
    )


def _run_baseline(
    cell: BenchCell, disturbances: Disturbances, jobs: list[BenchJob], name: str
) -> RunFigures:
    planner = baseline(name, make_inventory(cell, pooled=False))
    return _run_policy(
        name, cell, disturbances, jobs, planner, PLANNER_PROFILES["waiting"].round_s
    )


def _run_bound(
    cell: BenchCell, disturbances: Disturbances, jobs: list[BenchJob]
) -> RunFigures:
    """Run the bound, without wrong sizes, failing workers or a lost rack."""
    inventory = make_inventory(cell, pooled=True)
    profile = PlannerProfile(preempts=False, reserve_after_s=math.inf)
    planner = ShortestFirst(
        inventory=inventory, total_capacity=_total_capacity(inventory), profile=profile
    )
    good = Disturbances(
        never_share=disturbances.never_share, cancel_share=disturbances.cancel_share
    )
    run = BenchRun(
        policy=BOUND,
        cell=cell,
        disturbances=good,
        jobs=[_relax(job) for job in jobs if _fits_some_worker(job, cell)],
        planner=planner,
        round_s=PLANNER_PROFILES["waiting"].round_s,
        pooled=True,
    )
    return run.run()


def _fits_some_worker(job: BenchJob, cell: BenchCell) -> bool:
    """Return whether a real worker is large enough; the pooled one always is."""
    return job.needs.processors <= cell.processors * MILLI


def _relax(job: BenchJob) -> BenchJob:
    """Return the job with processors as its only constraint, and without gangs."""
    needs = Amounts(processors=job.needs.processors)
    return attrs.evolve(job, kind=Kind.BATCH, needs=needs, selector="")


LOG: Final = part_logger("bench")


def _run_policy(
    name: str,
    cell: BenchCell,
    disturbances: Disturbances,
    jobs: list[BenchJob],
    planner: RoundPlanner,
    round_s: float,
) -> RunFigures:
    LOG.info("%s", name)
    run = BenchRun(
        policy=name,
        cell=cell,
        disturbances=disturbances,
        jobs=jobs,
        planner=planner,
        round_s=round_s,
    )
    return run.run()


def _total_capacity(inventory: WorkerInventory) -> Amounts:
    total_capacity = NOTHING
    for worker in inventory.workers.values():
        total_capacity = total_capacity.plus(worker.capacity)
    return total_capacity


def _summary(
    full: CaseReport, bytes_per_worker: float, bytes_per_task: float
) -> PlacementSummary:
    rows = {row.policy: row for row in full.rows}
    ours, best, bound = rows[OURS], rows["best-fit"], rows[BOUND]
    return PlacementSummary(
        decisions_per_s=ours.decisions_per_s,
        decision_p99_ms=ours.decision_p99_ms,
        over_capacity=ours.over_capacity,
        urgent_wait_p99_s=ours.urgent_p99_s,
        wait_ratio_to_bound=round(ours.wait_mean_s / max(0.001, bound.wait_mean_s), 3),
        packing_ratio_vs_best_fit=round(ours.packing / max(0.001, best.packing), 3),
        bytes_per_worker=bytes_per_worker,
        bytes_per_task=bytes_per_task,
    )


def state_bytes() -> tuple[float, float]:
    """Return the memory of a scheduler's state in bytes per worker and per task."""
    tracemalloc.start()
    shard = Shard(data_centre="dc")
    before = tracemalloc.get_traced_memory()[0]
    shard.update_hosts(_host(number) for number in range(STATE_WORKERS))
    after_workers = tracemalloc.get_traced_memory()[0]
    for number in range(0, STATE_TASKS, 8):
        shard._load_job(_running_job(number))
    after_tasks = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    per_worker = (after_workers - before) / STATE_WORKERS
    per_task = (after_tasks - after_workers) / STATE_TASKS
    return round(per_worker), round(per_task)


def _host(number: int) -> HostEntry:
    return HostEntry(
        name=f"w{number}",
        url=f"http://10.0.0.{number}:7000",
        data_centre="dc",
        rack=f"r{number // 8}",
        labels={"tier": "live"},
        capacity=Amounts(processors=28000, memory_mb=65536),
    )


def _running_job(number: int) -> JobRow:
    spec = JobSpec(name=f"job-{number}", kind=Kind.BATCH, tasks=8)
    records = [
        TaskRecord(
            index=index,
            state=TaskState.PLACED,
            attempt=1,
            worker=f"w{(number + index) % STATE_WORKERS}",
        )
        for index in range(8)
    ]
    return JobRow(spec=spec, data_centre="dc", tasks=records)
