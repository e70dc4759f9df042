"""What a shard's state asks of workers, and offers to gateways.

Read-only views of `shard`: the orders that a link carries to its worker, and the
endpoints that gateways hear of. A start is ordered only once it is durable.
"""

from cranberrycleat.book import BookWorker, WorkerState
from cranberrycleat.jobs import JobRow, Kind, job_of
from cranberrycleat.messages import Endpoint, StartOrder, StopOrder
from cranberrycleat.shard import LiveTask, Shard


def start_orders(shard: Shard, worker: str) -> tuple[StartOrder, ...]:
    """Return the durable placements that the worker has not confirmed."""
    orders = []
    for task in shard.book.workers[worker].tasks:
        live = shard.live[task]
        if live.durable and not live.running and not live.stopping:
            orders.append(_start_order(shard, task))
    return tuple(orders)


def _start_order(shard: Shard, task: str) -> StartOrder:
    spec = shard.jobs[job_of(task)].spec
    return StartOrder(
        task=task,
        attempt=shard.record(task).attempt,
        needs=shard.live[task].needs,
        keeps=spec.keeps,
        program=spec.program,
    )


def stop_orders(shard: Shard, worker: str) -> tuple[StopOrder, ...]:
    """Return the attempts on the worker that are to end."""
    orders = [
        StopOrder(
            task=task,
            attempt=shard.record(task).attempt,
            how=shard.live[task].how,
        )
        for task in shard.book.workers[worker].tasks
        if shard.live[task].stopping
    ]
    for task, attempt in shard.strays.get(worker, {}).items():
        orders.append(StopOrder(task=task, attempt=attempt))
    return tuple(orders)


def endpoints(shard: Shard) -> tuple[Endpoint, ...]:
    """Return where the shard's services answer."""
    found = []
    for task, live in sorted(shard.live.items()):
        job = shard.jobs[job_of(task)]
        if job.spec.kind is not Kind.SERVICE or not live.url:
            continue
        worker = shard.book.workers[shard.record(task).worker]
        found.append(_endpoint(shard, job, live, worker))
    return tuple(found)


def _endpoint(
    shard: Shard, job: JobRow, live: LiveTask, worker: BookWorker
) -> Endpoint:
    return Endpoint(
        service=job.spec.name,
        url=live.url,
        data_centre=shard.data_centre,
        slots=max(1, job.spec.slots),
        leaving=live.stopping or worker.state is WorkerState.LEAVING,
    )
