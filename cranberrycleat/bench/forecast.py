"""`bench forecast`: what a load forecast costs, by the size of the pool."""

import random
import time
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.load_forecast import (
    JobDemand,
    LoadForecast,
    PoolLoad,
)
from cranberrycleat.workflow.decisions.load_snapshot import take_loads
from cranberrycleat.workflow.fleet import FleetWorker, Liveness
from cranberrycleat.workflow.ports import Queue, WorkerEntry
from cranberrycleat.workflow.spec import StepSpec, WorkflowSpec

POOL: Final = "pool"
WORKER_COUNTS: Final = (176, 2500)
RUNNING: Final = 3000
WAITING: Final = 5000
QUICK_WAITING: Final = 500
QUEUES: Final = 3
TASKS: Final = 3
CORES: Final = 32
REPEATS: Final = 20
FORECASTS: Final = 500
WORKER_CAPACITY: Final = Amounts(processors=CORES * 1000, memory_mb=CORES * 1024)
TASK_NEEDS: Final = Amounts(processors=1500, memory_mb=512)


@attrs.frozen(kw_only=True)
class ForecastFigures:
    """Times for one pool, each the median of `REPEATS` or `FORECASTS`.

    Attributes:
        workers: The workers of the pool.
        running: Running attempts.
        waiting: Waiting steps.
        snapshot_ms: Time to take a snapshot of the cluster state.
        update_ms: Time to update the forecast with it.
        forecast_ms: Time of the forecast of one job.
    """

    workers: int
    running: int
    waiting: int
    snapshot_ms: float
    update_ms: float
    forecast_ms: float


def run_forecast_bench(seed: int, *, quick: bool) -> tuple[ForecastFigures, ...]:
    """Measure the forecast for each number of workers."""
    waiting = QUICK_WAITING if quick else WAITING
    return tuple(_measure(workers, waiting, seed) for workers in WORKER_COUNTS)


def _measure(workers: int, waiting: int, seed: int) -> ForecastFigures:
    rng = random.Random(seed)
    cluster_state = _fill(workers, waiting, rng)
    forecast = LoadForecast()
    now, now_s = cluster_state.now(), cluster_state.time_of_day()
    loads = take_loads(cluster_state, now=now, now_s=now_s)
    snapshot_ms = _median_ms(
        lambda: take_loads(cluster_state, now=now, now_s=now_s), REPEATS
    )
    update_ms = _median_ms(lambda: forecast.update(loads[0]), REPEATS)
    return ForecastFigures(
        workers=workers,
        running=len(loads[0].running),
        waiting=len(loads[0].waiting),
        snapshot_ms=snapshot_ms,
        update_ms=update_ms,
        forecast_ms=_median_ms(
            lambda: _forecast_one(forecast, loads[0], rng), FORECASTS
        ),
    )


def _forecast_one(forecast: LoadForecast, load: PoolLoad, rng: random.Random) -> None:
    demand = JobDemand(job_id="new", queue=_queue(1), spec=_spec(rng))
    urgency = rng.choice(load.waiting).urgency
    forecast.forecast(demand, urgency, load.taken_at)


def _fill(workers: int, waiting: int, rng: random.Random) -> ClusterState:
    """Return a cluster state with running and waiting work."""
    cluster_state = ClusterState()
    fleet = [_worker(number) for number in range(workers)]
    for worker in fleet:
        cluster_state.fleet.add(worker)
    now = cluster_state.now()
    for number in range(RUNNING // TASKS):
        job = cluster_state.accept(f"running-{number}", _queue(number), _spec(rng))
        for task in job.open[0].steps[0].tasks:
            cluster_state.place(task, fleet[number % workers], 1, now=now).began(now)
    for number in range(waiting):
        cluster_state.accept(f"waiting-{number}", _queue(number), _spec(rng))
    return cluster_state


def _worker(number: int) -> FleetWorker:
    entry = WorkerEntry(
        worker=f"w{number}",
        pool=POOL,
        address=f"w{number}:1",
        data_centre="dc",
        leaving=False,
        capacity=WORKER_CAPACITY,
        labels=("a",),
    )
    return FleetWorker(entry=entry, liveness=Liveness.LIVE)


def _queue(number: int) -> Queue:
    return Queue(
        name=f"q{number % QUEUES}",
        host="host.example",
        prefix="/",
        pool=POOL,
        priority=number % QUEUES,
    )


def _spec(rng: random.Random) -> WorkflowSpec:
    step = StepSpec(count=TASKS, needs=TASK_NEEDS, estimate_s=rng.uniform(0.5, 5.0))
    return WorkflowSpec(program="program", steps=(step,))


def _median_ms(run: Callable[[], object], repeats: int) -> float:
    times = []
    for _ in range(repeats):
        began = time.perf_counter()
        run()
        times.append(time.perf_counter() - began)
    return round(sorted(times)[len(times) // 2] * 1000, 3)
