"""Orders for workers and endpoints for gateways, derived from a shard's state.

Read-only views of `shard`: the orders that a link sends to its worker, and the
endpoints that are published to gateways. A start is ordered only once the placement
is durable.
"""

from cranberrycleat.inventory import InventoryWorker, WorkerState
from cranberrycleat.jobs import JobRow, Kind, job_of
from cranberrycleat.messages import Endpoint, StartOrder, StopOrder
from cranberrycleat.shard import ActiveTask, Shard


def start_orders(shard: Shard, worker: str) -> tuple[StartOrder, ...]:
    """Return start orders for durable placements that the worker has not confirmed.

    A worker that leaves gets none, not even of placements from before.
    """
    if shard.is_leaving(worker):
        return ()
    orders = []
    for task in shard.inventory.workers[worker].tasks:
        active = shard.active[task]
        if active.durable and not active.running and not active.stopping:
            orders.append(_start_order(shard, task))
    return tuple(orders)


def _start_order(shard: Shard, task: str) -> StartOrder:
    spec = shard.jobs[job_of(task)].spec
    return StartOrder(
        task=task,
        attempt=shard.record(task).attempt,
        needs=shard.active[task].needs,
        keeps=spec.keeps,
        program=spec.program,
    )


def stop_orders(shard: Shard, worker: str) -> tuple[StopOrder, ...]:
    """Return stop orders for the attempts on the worker that are to end."""
    orders = [
        StopOrder(
            task=task,
            attempt=shard.record(task).attempt,
            how=shard.active[task].how,
        )
        for task in shard.inventory.workers[worker].tasks
        if shard.active[task].stopping
    ]
    for task, attempt in shard.orphaned_attempts.get(worker, {}).items():
        orders.append(StopOrder(task=task, attempt=attempt))
    return tuple(orders)


def endpoints(shard: Shard) -> tuple[Endpoint, ...]:
    """Return the endpoints of the shard's services."""
    found = []
    for task, active in sorted(shard.active.items()):
        job = shard.jobs[job_of(task)]
        if job.spec.kind is not Kind.SERVICE or not active.url:
            continue
        worker = shard.inventory.workers[shard.record(task).worker]
        found.append(_endpoint(shard, job, active, worker))
    return tuple(found)


def _endpoint(
    shard: Shard, job: JobRow, active: ActiveTask, worker: InventoryWorker
) -> Endpoint:
    return Endpoint(
        service=job.spec.name,
        url=active.url,
        data_centre=shard.data_centre,
        slots=max(1, job.spec.slots),
        leaving=active.stopping or worker.state is WorkerState.LEAVING,
    )
