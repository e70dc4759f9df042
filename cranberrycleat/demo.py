"""The demo: both example deployments on in-process stand-ins, with fault injection.

For each deployment it submits the example workloads, calls the service through
every gateway and repeats requests with an idempotency key through other gateways.
Meanwhile it crashes a worker and takes the platform down for a while. Finally it
audits the workers' records against the outcomes reported to callers.
"""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

import attrs
import click

from cranberrycleat import codec, errors
from cranberrycleat.audit import audit
from cranberrycleat.caller import Caller, CallOutcome
from cranberrycleat.cell import Cell, CellPlan, load_plan
from cranberrycleat.documents import load_configuration, load_jobs
from cranberrycleat.jobs import JobSpec, JobStatusValues, Kind
from cranberrycleat.messages import ConfigChange, JobStatus
from cranberrycleat.operator_client import OperatorClient

EXAMPLES: Final = Path(__file__).parent / "examples"
DEPLOYMENT_NAMES: Final = ("haulbay", "timing")
WAIT_TIMEOUT_S: Final = 40.0
PLATFORM_OUTAGE_S: Final = 1.5


@attrs.frozen(kw_only=True)
class DemoSize:
    """The scale of the demo.

    Attributes:
        workers: Number of workers per deployment.
        entry_hosts: Number of gateways per deployment; 0 for the number in the
            deployment's description.
        calls: Number of rounds of calls. Each round sends one GET request, and one
            POST request with an idempotency key, which is then repeated.
        round_interval_s: Seconds between rounds.
    """

    workers: int = 24
    entry_hosts: int = 0
    calls: int = 200
    round_interval_s: float = 0.03


SMALL_DEMO: Final = DemoSize(workers=6, entry_hosts=3, calls=60, round_interval_s=0.03)


@attrs.define(kw_only=True)
class DemoSummary:
    """The results of one deployment's demo.

    The field names are the column headings of the printed table.

    Attributes:
        deployment: The deployment's name.
        served: Requests that were answered.
        not_run: Requests reported as not run.
        unknown: Requests whose outcome is unknown.
        replayed: Requests answered with the stored response of an earlier one.
        placed: Tasks that were placed at least once.
        done: Tasks that completed.
        never: Tasks that can never run, as no worker can hold them.
        unfinished: Tasks that had not ended in time; a service's tasks count
            unless they are placed.
        wait_p50_ms: Median latency of answered requests.
        wait_p99_ms: 99th percentile latency of answered requests.
        faults: The violations that the audit found.
    """

    deployment: str
    served: int = 0
    not_run: int = 0
    unknown: int = 0
    replayed: int = 0
    placed: int = 0
    done: int = 0
    never: int = 0
    unfinished: int = 0
    wait_p50_ms: float = 0.0
    wait_p99_ms: float = 0.0
    faults: tuple[errors.Finding, ...] = ()


async def run_demo(size: DemoSize) -> tuple[DemoSummary, ...]:
    """Run the demo for each deployment in turn and return the results."""
    return tuple([await _run_deployment(name, size) for name in DEPLOYMENT_NAMES])


async def _run_deployment(name: str, size: DemoSize) -> DemoSummary:
    folder = EXAMPLES / name
    plan = _scale_plan(load_plan(folder / "cell.toml"), size)
    jobs = _scale_jobs(load_jobs((folder / "workloads.toml",)), size)
    cell = Cell(plan=plan)
    await cell.start()
    try:
        return await _run_session(cell, folder, jobs, size)
    finally:
        await cell.stop()


def _scale_plan(plan: CellPlan, size: DemoSize) -> CellPlan:
    hosts = size.entry_hosts or plan.entry_hosts
    return attrs.evolve(plan, workers=size.workers, entry_hosts=hosts)


def _scale_jobs(jobs: tuple[JobSpec, ...], size: DemoSize) -> tuple[JobSpec, ...]:
    """Scale the number of tasks in proportion to the number of workers."""
    share = size.workers / DemoSize().workers
    return tuple(
        attrs.evolve(job, tasks=max(1, round(job.tasks * share))) for job in jobs
    )


async def _run_session(
    cell: Cell, folder: Path, jobs: tuple[JobSpec, ...], size: DemoSize
) -> DemoSummary:
    client = OperatorClient(urls=tuple(each.url for each in cell.schedulers))
    await _wait_for_workers(client, size.workers)
    document = codec.encode_text(load_configuration(folder / "config.toml"))
    await client.apply(ConfigChange(made_from=0, document=document))
    for job in jobs:
        await client.submit(job)
    service = next(job for job in jobs if job.kind is Kind.SERVICE)
    await _wait_for_endpoints(cell, service)
    caller = Caller(
        gateways=tuple(each.url for each in cell.gateways), service=service.name
    )
    faults = asyncio.create_task(_inject_faults(cell))
    await _send_calls(caller, size)
    await faults
    statuses = await _wait_for_jobs(client, jobs)
    await caller.close()
    return _summary(cell, caller, statuses)


async def _wait_for_workers(client: OperatorClient, count: int) -> None:
    async def known() -> bool:
        worker_lists = await client.workers()
        live_workers = [
            w for each in worker_lists for w in each.workers if w.state == "live"
        ]
        return len(live_workers) == count

    await _wait_until(known)


async def _wait_for_endpoints(cell: Cell, service: JobSpec) -> None:
    async def known() -> bool:
        catalogs = [each.catalog.services.get(service.name) for each in cell.gateways]
        return all(
            catalog and len(catalog.all()) >= service.tasks for catalog in catalogs
        )

    await _wait_until(known)


async def _wait_until(
    condition: Callable[[], Awaitable[bool]], wait_s: float = WAIT_TIMEOUT_S
) -> bool:
    """Poll until a condition holds; return whether it did in time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + wait_s
    while loop.time() < end:
        if await condition():
            return True
        await asyncio.sleep(0.1)
    return False


async def _inject_faults(cell: Cell) -> None:
    """Crash a worker, then take the platform down for `PLATFORM_OUTAGE_S`."""
    await asyncio.sleep(1.0)
    await next(iter(cell.workers.values())).crash()
    await asyncio.sleep(1.0)
    cell.platform.table.faults.down = True
    await asyncio.sleep(PLATFORM_OUTAGE_S)
    cell.platform.table.faults.down = False


async def _send_calls(caller: Caller, size: DemoSize) -> None:
    """Call the service; each request with an idempotency key is sent twice."""
    calls: list[asyncio.Task[object]] = []
    for number in range(size.calls):
        key = secrets.token_hex(8)
        calls.append(asyncio.create_task(caller.send_get(f"bay/{number}")))
        calls.append(asyncio.create_task(_send_twice(caller, key)))
        await asyncio.sleep(size.round_interval_s)
    await asyncio.gather(*calls)


async def _send_twice(caller: Caller, key: str) -> None:
    """Send a request with an idempotency key and repeat it through the next gateway."""
    await caller.send_keyed_post(key, "book")
    await caller.send_keyed_post(key, "book")


async def _wait_for_jobs(
    client: OperatorClient, jobs: tuple[JobSpec, ...]
) -> tuple[JobStatus, ...]:
    async def ended() -> bool:
        for job in jobs:
            states = {each.state for each in (await client.job(job.name)).tasks}
            expected_states = (
                {"placed"} if job.kind is Kind.SERVICE else JobStatusValues.ENDED
            )
            if not states or not states <= expected_states:
                return False
        return True

    await _wait_until(ended)
    return tuple([await client.job(job.name) for job in jobs])


def _summary(
    cell: Cell, caller: Caller, statuses: tuple[JobStatus, ...]
) -> DemoSummary:
    summary = DemoSummary(deployment=cell.plan.name)
    records = [worker.record() for worker in cell.workers.values()]
    summary.faults = audit(records, caller.results)
    reported_outcome = [result.reported_outcome for result in caller.results]
    summary.served = reported_outcome.count(CallOutcome.ANSWERED)
    summary.not_run = reported_outcome.count(CallOutcome.NOT_RUN)
    summary.unknown = reported_outcome.count(CallOutcome.UNKNOWN)
    summary.replayed = sum(1 for result in caller.results if result.replayed)
    latencies_ms = sorted(
        n.took_s * 1000
        for n in caller.results
        if n.reported_outcome is CallOutcome.ANSWERED
    )
    if latencies_ms:
        summary.wait_p50_ms = latencies_ms[len(latencies_ms) // 2]
        summary.wait_p99_ms = latencies_ms[int(len(latencies_ms) * 0.99)]
    for status in statuses:
        states = [each.state for each in status.tasks]
        running = states.count("placed") if status.kind == Kind.SERVICE.value else 0
        summary.placed += sum(1 for each in status.tasks if each.attempt)
        summary.done += states.count("done")
        summary.never += states.count("never")
        ended = sum(states.count(ended_state) for ended_state in JobStatusValues.ENDED)
        summary.unfinished += len(states) - ended - running
    return summary


def print_summaries(summaries: tuple[DemoSummary, ...]) -> bool:
    """Print the results as a table; return whether every deployment was sound.

    A deployment is sound if the audit found no violation and no task is unfinished.
    """
    columns = [
        field.name for field in attrs.fields(DemoSummary) if field.name != "faults"
    ]
    click.echo(" ".join(f"{name:>11}" for name in columns))
    for each in summaries:
        row_values = [getattr(each, name) for name in columns]
        click.echo(" ".join(f"{_format_value(value):>11}" for value in row_values))
    for each in summaries:
        for fault in each.faults:
            click.echo(f"FAULT {each.deployment}: {fault}")
    good = all(not each.faults and not each.unfinished for each in summaries)
    click.echo(
        "no work was lost or run twice"
        if good
        else "FAILED: violations or unfinished tasks"
    )
    return good


def _format_value(value: object) -> str:
    return f"{value:.1f}" if isinstance(value, float) else str(value)
