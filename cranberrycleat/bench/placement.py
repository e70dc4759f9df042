"""`bench placement`: waiting, packing and the cost of deciding, beside baselines.

Cases: both deployments at 24 workers, one data centre of the full size, the
full size, and bad days. Every policy meets the same seeded workload in virtual
time; speeds are of this machine, everything else repeats exactly by seed.
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
from cranberrycleat.bench.run import BenchRun, RunFigures, make_book
from cranberrycleat.bench.workload import BadDay, BenchCell, BenchJob, WorkloadMaker
from cranberrycleat.book import CapacityBook
from cranberrycleat.jobs import JobRow, JobSpec, Kind, TaskRecord, TaskState
from cranberrycleat.logs import part_logger
from cranberrycleat.messages import HostEntry
from cranberrycleat.placement import Ask
from cranberrycleat.rounds import WEIGHTS, Plan, RoundPlanner, Weights
from cranberrycleat.shard import Shard

assert plugins

OURS: Final = "ours"
PACKING: Final = "ours, packing"
BOUND: Final = "bound"
BASELINES: Final = ("best-fit", "first-fit", "random", "fifo")
STATE_WORKERS: Final = 208
STATE_TASKS: Final = 3328
FULL: Final = "full size"
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
        name=FULL,
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

BAD_DAYS: Final = {
    "sizes wrong": BadDay(wrong_sizes=True),
    "a tenth never runs": BadDay(never_share=0.1),
    "a third is cancelled": BadDay(cancel_share=0.34),
    "workers that fail everything": BadDay(failing_workers=5),
    "a rack is lost": BadDay(rack_lost=True),
    "all of it": BadDay(
        wrong_sizes=True,
        never_share=0.1,
        cancel_share=0.34,
        failing_workers=5,
        rack_lost=True,
    ),
}


@attrs.define(kw_only=True, eq=False)
class TimedPlanner(RoundPlanner):
    """The real planner, with the time of each decision about one job.

    Attributes:
        decision_s: The times, in seconds.
    """

    decision_s: list[float] = attrs.field(factory=list)

    def decide(self, ask: Ask, racks: dict[str, int], now: float) -> Plan:
        """Decide about one job, and note how long it took."""
        began = time.perf_counter()
        plan = super().decide(ask, racks, now)
        if now > 0.0:
            self.decision_s.append(time.perf_counter() - began)
        return plan


@attrs.frozen(kw_only=True)
class CaseReport:
    """One case: our planner, the baselines and the bound."""

    case: str
    tasks: int
    rows: tuple[RunFigures, ...]


@attrs.frozen(kw_only=True)
class PlacementSummary:
    """The figures that the project is judged by, for the full size."""

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
    """Everything that one run of the bench measured."""

    seed: int
    summary: PlacementSummary
    cases: tuple[CaseReport, ...]


def run_placement_bench(seed: int, *, quick: bool) -> PlacementReport:
    """Run every case and return the report.

    Args:
        seed: The seed of the workloads.
        quick: Whether the full size meets only best-fit and the bound, for half the
            time, and the bad days are left out.
    """
    cases = []
    for cell in CELLS:
        names: tuple[str, ...] = BASELINES
        if quick and cell.name == FULL:
            names = ("best-fit",)
            cell = attrs.evolve(cell, arrivals_s=QUICK_ARRIVALS_S)
        cases.append(_case(cell, BadDay(), seed, names, cell.name))
    bad_cell = CELLS[2]
    for name, bad in () if quick else BAD_DAYS.items():
        cases.append(_case(bad_cell, bad, seed, ("best-fit",), name))
    full = next(case for case in cases if case.case == FULL)
    summary = _summary(full, *state_bytes())
    return PlacementReport(seed=seed, summary=summary, cases=tuple(cases))


def _case(
    cell: BenchCell, bad: BadDay, seed: int, names: tuple[str, ...], title: str
) -> CaseReport:
    jobs = WorkloadMaker(cell=cell, bad=bad, rng=random.Random(seed)).make()
    LOG.info("%s: %d jobs", title, len(jobs))
    rows = [_ours(cell, bad, jobs, "waiting", OURS)]
    if cell.name != FULL:
        rows.append(_ours(cell, bad, jobs, "packing", PACKING))
    rows += [_baseline(cell, bad, jobs, name) for name in names]
    rows.append(_bound(cell, bad, jobs))
    tasks = sum(job.count for job in jobs)
    return CaseReport(case=title, tasks=tasks, rows=tuple(rows))


def _ours(
    cell: BenchCell, bad: BadDay, jobs: list[BenchJob], weight: str, name: str
) -> RunFigures:
    book = make_book(cell, pooled=False)
    planner = TimedPlanner(book=book, whole=_whole(book), weights=WEIGHTS[weight])
    return _run(name, cell, bad, jobs, planner, WEIGHTS[weight].round_s)


def _baseline(
    cell: BenchCell, bad: BadDay, jobs: list[BenchJob], name: str
) -> RunFigures:
    planner = baseline(name, make_book(cell, pooled=False))
    return _run(name, cell, bad, jobs, planner, WEIGHTS["waiting"].round_s)


def _bound(cell: BenchCell, bad: BadDay, jobs: list[BenchJob]) -> RunFigures:
    """The bound meets the good day: nothing wrong, nothing failing."""
    book = make_book(cell, pooled=True)
    weights = Weights(preempts=False, reserve_after_s=math.inf)
    planner = ShortestFirst(book=book, whole=_whole(book), weights=weights)
    good = BadDay(never_share=bad.never_share, cancel_share=bad.cancel_share)
    run = BenchRun(
        policy=BOUND,
        cell=cell,
        bad=good,
        jobs=[_relaxed(job) for job in jobs if _could_run(job, cell)],
        planner=planner,
        round_s=WEIGHTS["waiting"].round_s,
        pooled=True,
    )
    return run.run()


def _could_run(job: BenchJob, cell: BenchCell) -> bool:
    """Tell whether some worker is large enough; the pooled one always is."""
    return job.needs.processors <= cell.processors * MILLI


def _relaxed(job: BenchJob) -> BenchJob:
    """Ask for processors only, task by task: no gangs, memory, accelerators."""
    needs = Amounts(processors=job.needs.processors)
    return attrs.evolve(job, kind=Kind.BATCH, needs=needs, selector="")


LOG: Final = part_logger("bench")


def _run(
    name: str,
    cell: BenchCell,
    bad: BadDay,
    jobs: list[BenchJob],
    planner: RoundPlanner,
    round_s: float,
) -> RunFigures:
    LOG.info("%s", name)
    run = BenchRun(
        policy=name, cell=cell, bad=bad, jobs=jobs, planner=planner, round_s=round_s
    )
    return run.run()


def _whole(book: CapacityBook) -> Amounts:
    whole = NOTHING
    for worker in book.workers.values():
        whole = whole.plus(worker.capacity)
    return whole


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
    """Return the bytes that a scheduler's state takes, a worker and a task."""
    tracemalloc.start()
    shard = Shard(data_centre="dc")
    before = tracemalloc.get_traced_memory()[0]
    shard.learn_hosts(_host(number) for number in range(STATE_WORKERS))
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
