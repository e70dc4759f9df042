"""The scheduler's HTTP interface: operators' requests, digests, state dumps.

Each handler decodes one message, calls the scheduler, and encodes the response.
Errors are raised as `ProblemError`, which `serve` turns into problem documents.
"""

from typing import Any

import msgspec
from litestar import Request, Response, delete, get, post
from litestar.params import FromPath

from cranberrycleat import codec, errors
from cranberrycleat.config import Configuration, parse_configuration
from cranberrycleat.jobs import JobRow, JobSpec, TaskState, parse_job, unwrap
from cranberrycleat.keys import job_key
from cranberrycleat.messages import (
    ConfigChange,
    ConfigDocument,
    Digest,
    JobStatus,
    LabelChange,
    Readiness,
    SchedulerStatus,
    TaskStatus,
    WorkerList,
    WorkerStatus,
)
from cranberrycleat.scheduler import Scheduler
from cranberrycleat.serve import json_response, state_handlers

AnyRequest = Request[Any, Any, Any]


def scheduler_handlers(scheduler: Scheduler) -> list[Any]:
    """Return the route handlers of a scheduler."""
    return [
        *_job_handlers(scheduler),
        *_worker_handlers(scheduler),
        *_config_handlers(scheduler),
        *_state_handlers(scheduler),
    ]


async def _json_body(request: AnyRequest) -> Any:
    try:
        return msgspec.json.decode(await request.body())
    except codec.UNDECODABLE as exc:
        found = errors.finding("body", errors.MALFORMED, reason=str(exc))
        raise errors.FindingsError(findings=(found,)) from None


async def _job_body(request: AnyRequest) -> JobSpec:
    return unwrap(parse_job(await _json_body(request), place="body"))


def _job_handlers(scheduler: Scheduler) -> list[Any]:
    @post("/v1/jobs")
    async def submit(request: AnyRequest) -> Response[bytes]:
        _refuse_if_draining(scheduler)
        accepted = await scheduler.acceptance.submit(await _job_body(request))
        scheduler.metrics.count("jobs_accepted")
        scheduler.changed.set()
        return json_response(accepted, status=201)

    @get("/v1/jobs/{name:str}")
    async def status(name: FromPath[str]) -> Response[bytes]:
        return json_response(await job_status(scheduler, name))

    @delete("/v1/jobs/{name:str}", status_code=202)
    async def cancel(name: FromPath[str]) -> Response[bytes]:
        _refuse_if_draining(scheduler)
        accepted = await scheduler.acceptance.cancel(name)
        scheduler.changed.set()
        return json_response(accepted, status=202)

    return [submit, status, cancel]


def _refuse_if_draining(scheduler: Scheduler) -> None:
    if scheduler.draining:
        raise errors.ProblemError(status=503, code=errors.DRAINING, retry_after_s=1)


async def job_status(scheduler: Scheduler, name: str) -> JobStatus:
    """Return a job's status as stored in the table.

    Raises:
        ProblemError: No such job.
        TableUnavailable: The table did not reply.
    """
    found = await scheduler.acceptance.find(name)
    keys = tuple(job_key(each, name) for each in found.data_centres)
    rows = await scheduler.platform.read(keys=keys)
    parts = [codec.decode(row.value, JobRow, place=row.key) for row in rows]
    tasks = [
        TaskStatus(
            index=record.index,
            state=record.state.value,
            attempt=record.attempt,
            worker=record.worker,
        )
        for part in parts
        for record in part.tasks
    ]
    return JobStatus(
        name=name,
        kind=parts[0].spec.kind.value if parts else "",
        cancelled=any(part.cancelled for part in parts),
        tasks=tuple(sorted(tasks, key=lambda task: task.index)),
        reasons=tuple(reason for part in parts for reason in part.reasons),
    )


def _worker_handlers(scheduler: Scheduler) -> list[Any]:
    @get("/v1/workers")
    async def listing() -> Response[bytes]:
        return json_response(worker_list(scheduler))

    @post("/v1/workers/{name:str}/labels", status_code=202)
    async def label(name: FromPath[str], request: AnyRequest) -> Response[bytes]:
        labels = codec.decode(await request.body(), dict[str, str | None])
        change = LabelChange(worker=name, labels=labels)
        accepted = await scheduler.acceptance.label(change)
        scheduler.changed.set()
        return json_response(accepted, status=202)

    @post("/v1/workers/{name:str}/dead", status_code=202)
    async def dead(name: FromPath[str]) -> Response[bytes]:
        accepted = await scheduler.acceptance.declare_dead(name)
        scheduler.changed.set()
        return json_response(accepted, status=202)

    return [listing, label, dead]


def worker_list(scheduler: Scheduler) -> WorkerList:
    """Return the workers of the shard that this process owns, or an empty list."""
    workers = scheduler.shard.inventory.workers.values() if scheduler.shard else ()
    return WorkerList(
        data_centre=scheduler.cfg.data_centre,
        workers=tuple(
            WorkerStatus(
                name=each.name,
                data_centre=each.data_centre,
                rack=each.rack,
                labels=each.labels,
                state=each.state.value,
                capacity=each.capacity,
                used=each.used,
                tasks=len(each.tasks),
            )
            for each in workers
        ),
    )


def _config_handlers(scheduler: Scheduler) -> list[Any]:
    @get("/v1/config")
    async def show() -> Response[bytes]:
        await scheduler.watcher.poll()
        empty = ConfigDocument(version=0, text=codec.encode_text(Configuration()))
        return json_response(scheduler.watcher.current or empty)

    @post("/v1/config")
    async def apply(request: AnyRequest) -> Response[bytes]:
        change = codec.decode(await request.body(), ConfigChange)
        checked = codec.encode_text(_checked(change.document))
        document = await scheduler.watcher.propose(
            text=checked, made_from=change.made_from
        )
        scheduler._apply_config()
        return json_response(document, status=201)

    return [show, apply]


def _checked(text: str) -> Configuration:
    try:
        data = msgspec.json.decode(text)
    except codec.UNDECODABLE as exc:
        found = errors.finding("document", errors.MALFORMED, reason=str(exc))
        raise errors.FindingsError(findings=(found,)) from None
    return unwrap(parse_configuration(data, place="document"))


def _state_handlers(scheduler: Scheduler) -> list[Any]:
    @post("/v1/digest")
    async def digest(request: AnyRequest) -> Response[bytes]:
        asked = codec.decode(await request.body(), Digest)
        return json_response(scheduler.answer_digest(asked))

    @get("/v1/status")
    async def status() -> Response[bytes]:
        return json_response(scheduler_status(scheduler))

    @get("/v1/ready")
    async def ready() -> Response[bytes]:
        state = Readiness(
            ready=not scheduler.draining,
            reason="draining" if scheduler.draining else "",
        )
        return json_response(state, status=200 if state.ready else 503)

    shown = state_handlers(scheduler.metrics, lambda: scheduler_dump(scheduler))
    return [digest, status, ready, *shown]


def scheduler_status(scheduler: Scheduler) -> SchedulerStatus:
    """Return a summary of the scheduler's state."""
    jobs = scheduler.shard.jobs.values() if scheduler.shard else ()
    states = [record.state for job in jobs for record in job.tasks]
    return SchedulerStatus(
        name=scheduler.cfg.name,
        data_centre=scheduler.cfg.data_centre,
        owner=scheduler.lease.is_valid(),
        epoch=scheduler.lease.epoch,
        table_reachable=scheduler.table_reachable,
        config_version=scheduler.watcher.version,
        workers=len(scheduler.links),
        pending=states.count(TaskState.PENDING),
        placed=states.count(TaskState.PLACED),
    )


def scheduler_dump(scheduler: Scheduler) -> dict[str, Any]:
    """Return the scheduler's state for debugging."""
    shard = scheduler.shard
    return {
        "status": scheduler_status(scheduler),
        "options": scheduler.cfg,
        "lease": {
            "holder": scheduler.lease.holder,
            "epoch": scheduler.lease.epoch,
            "left_s": (
                scheduler.lease.valid_until() - scheduler.clock.now()
                if scheduler.lease.is_holder
                else None
            ),
        },
        "workers": worker_list(scheduler).workers,
        "links": {
            name: {"misses": link.misses, "settled": len(link.settled)}
            for name, link in scheduler.links.items()
        },
        "jobs": shard.jobs if shard else {},
        "live": shard.active if shard else {},
        "config": scheduler.watcher.current,
        "peers": [peer.last for peer in scheduler.peers.known.values()],
    }
