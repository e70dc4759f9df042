"""Takes the snapshots of a cluster state on which the load forecast is based."""

from collections.abc import Iterable

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.capacity_curve import total
from cranberrycleat.workflow.decisions.evacuation import remaining_runtime_s
from cranberrycleat.workflow.decisions.load_forecast import (
    LoadForecast,
    PoolLoad,
    RunningWork,
    WaitingWork,
)
from cranberrycleat.workflow.fleet import FleetWorker, Placement, reserved_resources
from cranberrycleat.workflow.state import StepRun, TaskState


def update_forecast(
    cluster_state: ClusterState, forecast: LoadForecast, *, now: float, now_s: float
) -> None:
    """Give a forecast new snapshots of all pools that have available workers.

    Args:
        cluster_state: The owner's in-memory state.
        forecast: The forecast.
        now: The owner's clock.
        now_s: Unix time in seconds.
    """
    loads = take_loads(cluster_state, now=now, now_s=now_s)
    for load in loads:
        forecast.update(load)
    forecast.retain({load.pool for load in loads})


def take_loads(
    cluster_state: ClusterState, *, now: float, now_s: float
) -> tuple[PoolLoad, ...]:
    """Return a snapshot of every pool that has available workers.

    Args:
        cluster_state: The owner's in-memory state.
        now: The owner's clock.
        now_s: Unix time in seconds.
    """
    workers: dict[str, list[FleetWorker]] = {}
    for worker in cluster_state.fleet.workers.values():
        if worker.may_accept_work(now):
            workers.setdefault(worker.entry.pool, []).append(worker)
    waiting = _waiting_by_pool(cluster_state, workers)
    return tuple(
        _take_load(cluster_state, pool, available, waiting[pool], now, now_s)
        for pool, available in workers.items()
    )


def _take_load(
    cluster_state: ClusterState,
    pool: str,
    workers: list[FleetWorker],
    waiting: list[StepRun],
    now: float,
    now_s: float,
) -> PoolLoad:
    speeds = _speeds(cluster_state, workers)
    mean_speed = sum(speeds) / len(speeds)
    rank = cluster_state.load.order.rank
    backlog = [
        _waiting_work(cluster_state, step, rank(step, now_s).key(), mean_speed)
        for step in waiting
    ]
    backlog.sort(key=lambda each: each.urgency)
    free = tuple(each.free for each in workers)
    running = tuple(
        work
        for worker, speed in zip(workers, speeds, strict=True)
        for each in worker.placements.values()
        if (work := _running_work(cluster_state, each, speed, now)) is not None
    )
    return PoolLoad(
        pool=pool,
        taken_at=now,
        capacity=total(each.entry.capacity for each in workers),
        free=total(free),
        running=running,
        waiting=tuple(backlog),
        headroom=_headroom(cluster_state),
        free_by_worker=free,
        permit_shares={
            queue: share.value() for queue, share in cluster_state.permit_shares.items()
        },
        mean_speed=mean_speed,
        slowest=min(speeds),
        fastest=max(speeds),
    )


def _waiting_by_pool(
    cluster_state: ClusterState, pools: Iterable[str]
) -> dict[str, list[StepRun]]:
    waiting: dict[str, list[StepRun]] = {pool: [] for pool in pools}
    for step in cluster_state.waiting.values():
        of_pool = waiting.get(step.job.queue.pool)
        if of_pool is not None and _pending(step):
            of_pool.append(step)
    return waiting


def _pending(step: StepRun) -> int:
    """Return how many tasks of a step wait; cheap for one that was never placed."""
    if not step.last_attempt:
        return len(step.tasks)
    return sum(task.state is TaskState.PENDING for task in step.tasks)


def _waiting_work(
    cluster_state: ClusterState,
    step: StepRun,
    urgency: tuple[int, int, float, str],
    speed: float,
) -> WaitingWork:
    estimates = cluster_state.load.estimates
    spec, queue = step.spec, step.job.queue.name
    return WaitingWork(
        name=step.name,
        urgency=urgency,
        needs=reserved_resources(spec).times(_pending(step)),
        task_s=(
            spec.estimate_s / speed
            if estimates is None
            else estimates.expected_s(queue, spec, speed)
        ),
        workspace=step.job.workspace,
        gang=spec.gang,
    )


def _running_work(
    cluster_state: ClusterState, placement: Placement, speed: float, now: float
) -> RunningWork | None:
    """Return what an attempt releases; None for a service, which does not end.

    An attempt that is being stopped, or that belongs to no task, ends soon.
    """
    task = placement.tracked_task
    if task is None or placement.stopping:
        return RunningWork(needs=placement.needs, in_s=0.0)
    if task.step.spec.service:
        return None
    in_s = remaining_runtime_s(placement, now)
    if not placement.percent:
        # Without progress it is the estimate, which applies to a speed of 1.
        in_s = _expected_s(cluster_state, task.step, speed) - placement.ran_s(now)
    return RunningWork(
        needs=placement.needs, in_s=max(0.0, in_s), workspace=task.step.job.workspace
    )


def _expected_s(cluster_state: ClusterState, step: StepRun, speed: float) -> float:
    estimates = cluster_state.load.estimates
    if estimates is None:
        return step.spec.estimate_s / speed
    return estimates.expected_s(step.job.queue.name, step.spec, speed)


def _speeds(cluster_state: ClusterState, workers: list[FleetWorker]) -> list[float]:
    model = cluster_state.load.speeds
    if model is None:
        return [1.0] * len(workers)
    return [model.speed_of(each) for each in workers]


def _headroom(cluster_state: ClusterState) -> dict[str, Amounts]:
    """Return the unused quota of each workspace with a quota; none while unknown."""
    ledger = cluster_state.quotas
    quotas = ledger.quotas() or {}
    return {name: ledger.headroom(name) for name in quotas}
