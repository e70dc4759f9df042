"""The demo: both deployments on embedded stand-ins, with faults, then an audit.

For each deployment it submits the example workloads, calls the service through
every gateway, repeats requests that may run only once through other gateways,
crashes a worker and takes the platform down for a while, and finally compares
what the workers recorded with what the callers were told.
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
from cranberrycleat.caller import Caller, Told
from cranberrycleat.cell import Cell, CellPlan, load_plan
from cranberrycleat.documents import load_configuration, load_jobs
from cranberrycleat.jobs import JobSpec, JobStatusWords, Kind
from cranberrycleat.messages import ConfigChange, JobStatus
from cranberrycleat.operator_client import OperatorClient

EXAMPLES: Final = Path(__file__).parent / "examples"
DEPLOYMENTS: Final = ("haulbay", "timing")
WAIT_S: Final = 40.0
OUTAGE_S: Final = 1.5


@attrs.frozen(kw_only=True)
class DemoSize:
    """How much the demo does.

    Attributes:
        workers: Workers of a deployment.
        entry_hosts: Gateways of a deployment, or 0 for as many as it has.
        calls: Rounds of calls; each is one read and one run-once request.
        gap_s: Seconds between rounds.
    """

    workers: int = 24
    entry_hosts: int = 0
    calls: int = 200
    gap_s: float = 0.03


SMALL: Final = DemoSize(workers=6, entry_hosts=3, calls=60, gap_s=0.03)


@attrs.define(kw_only=True)
class Summary:
    """What came of one deployment's demo."""

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


async def run_demo(size: DemoSize) -> tuple[Summary, ...]:
    """Run every deployment in turn and return what came of each."""
    return tuple([await _deployment(name, size) for name in DEPLOYMENTS])


async def _deployment(name: str, size: DemoSize) -> Summary:
    folder = EXAMPLES / name
    plan = _sized(load_plan(folder / "cell.toml"), size)
    jobs = _scaled(load_jobs((folder / "workloads.toml",)), size)
    cell = Cell(plan=plan)
    await cell.start()
    try:
        return await _session(cell, folder, jobs, size)
    finally:
        await cell.stop()


def _sized(plan: CellPlan, size: DemoSize) -> CellPlan:
    hosts = size.entry_hosts or plan.entry_hosts
    return attrs.evolve(plan, workers=size.workers, entry_hosts=hosts)


def _scaled(jobs: tuple[JobSpec, ...], size: DemoSize) -> tuple[JobSpec, ...]:
    """Ask for fewer tasks where there are fewer workers."""
    share = size.workers / DemoSize().workers
    return tuple(
        attrs.evolve(job, tasks=max(1, round(job.tasks * share))) for job in jobs
    )


async def _session(
    cell: Cell, folder: Path, jobs: tuple[JobSpec, ...], size: DemoSize
) -> Summary:
    client = OperatorClient(urls=tuple(each.url for each in cell.schedulers))
    await _all_workers_known(client, size.workers)
    document = codec.encode_text(load_configuration(folder / "config.toml"))
    await client.apply(ConfigChange(made_from=0, document=document))
    for job in jobs:
        await client.submit(job)
    service = next(job for job in jobs if job.kind is Kind.SERVICE)
    await _endpoints_known(cell, service)
    caller = Caller(
        gateways=tuple(each.url for each in cell.gateways), service=service.name
    )
    faults = asyncio.create_task(_bring_faults(cell))
    await _call(caller, size)
    await faults
    statuses = await _wait_for_jobs(client, jobs)
    await caller.close()
    return _summary(cell, caller, statuses)


async def _all_workers_known(client: OperatorClient, count: int) -> None:
    async def known() -> bool:
        lists = await client.workers()
        live = [w for each in lists for w in each.workers if w.state == "live"]
        return len(live) == count

    await _until(known)


async def _endpoints_known(cell: Cell, service: JobSpec) -> None:
    async def known() -> bool:
        books = [each.book.services.get(service.name) for each in cell.gateways]
        return all(book and len(book.all()) >= service.tasks for book in books)

    await _until(known)


async def _until(holds: Callable[[], Awaitable[bool]], wait_s: float = WAIT_S) -> bool:
    """Wait until something holds; return whether it did in time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + wait_s
    while loop.time() < end:
        if await holds():
            return True
        await asyncio.sleep(0.1)
    return False


async def _bring_faults(cell: Cell) -> None:
    """Crash a worker, then take the platform down for a while."""
    await asyncio.sleep(1.0)
    await next(iter(cell.workers.values())).crash()
    await asyncio.sleep(1.0)
    cell.platform.table.faults.down = True
    await asyncio.sleep(OUTAGE_S)
    cell.platform.table.faults.down = False


async def _call(caller: Caller, size: DemoSize) -> None:
    """Call the service; each run-once request goes out twice."""
    calls: list[asyncio.Task[object]] = []
    for number in range(size.calls):
        key = secrets.token_hex(8)
        calls.append(asyncio.create_task(caller.read(f"bay/{number}")))
        calls.append(asyncio.create_task(_once_and_again(caller, key)))
        await asyncio.sleep(size.gap_s)
    await asyncio.gather(*calls)


async def _once_and_again(caller: Caller, key: str) -> None:
    """Send a run-once request, and repeat it through the next gateway."""
    await caller.once(key, "book")
    await caller.once(key, "book")


async def _wait_for_jobs(
    client: OperatorClient, jobs: tuple[JobSpec, ...]
) -> tuple[JobStatus, ...]:
    async def ended() -> bool:
        for job in jobs:
            words = {each.state for each in (await client.job(job.name)).tasks}
            wanted = {"placed"} if job.kind is Kind.SERVICE else JobStatusWords.ENDED
            if not words or not words <= wanted:
                return False
        return True

    await _until(ended)
    return tuple([await client.job(job.name) for job in jobs])


def _summary(cell: Cell, caller: Caller, statuses: tuple[JobStatus, ...]) -> Summary:
    summary = Summary(deployment=cell.plan.name)
    records = [worker.record() for worker in cell.workers.values()]
    summary.faults = audit(records, caller.notes)
    told = [note.told for note in caller.notes]
    summary.served = told.count(Told.ANSWERED)
    summary.not_run = told.count(Told.NOT_RUN)
    summary.unknown = told.count(Told.UNKNOWN)
    summary.replayed = sum(1 for note in caller.notes if note.replayed)
    waits = sorted(n.took_s * 1000 for n in caller.notes if n.told is Told.ANSWERED)
    if waits:
        summary.wait_p50_ms = waits[len(waits) // 2]
        summary.wait_p99_ms = waits[int(len(waits) * 0.99)]
    for status in statuses:
        words = [each.state for each in status.tasks]
        running = words.count("placed") if status.kind == Kind.SERVICE.value else 0
        summary.placed += sum(1 for each in status.tasks if each.attempt)
        summary.done += words.count("done")
        summary.never += words.count("never")
        ended = sum(words.count(word) for word in JobStatusWords.ENDED)
        summary.unfinished += len(words) - ended - running
    return summary


def print_summaries(summaries: tuple[Summary, ...]) -> bool:
    """Print the table; return whether nothing was lost or ran twice."""
    columns = [field.name for field in attrs.fields(Summary) if field.name != "faults"]
    click.echo(" ".join(f"{name:>11}" for name in columns))
    for each in summaries:
        cells = [getattr(each, name) for name in columns]
        click.echo(" ".join(f"{_cell(value):>11}" for value in cells))
    for each in summaries:
        for fault in each.faults:
            click.echo(f"FAULT {each.deployment}: {fault}")
    good = all(not each.faults and not each.unfinished for each in summaries)
    click.echo("nothing was lost, nothing ran twice" if good else "NOT GOOD")
    return good


def _cell(value: object) -> str:
    return f"{value:.1f}" if isinstance(value, float) else str(value)
