"""The operator commands `job`, `worker`, `config`, `status` and `dump`."""

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final, TypeVar

import click

from cranberrycleat import codec, errors, settings
from cranberrycleat.cli import fail
from cranberrycleat.config import Configuration
from cranberrycleat.documents import load_configuration, load_jobs
from cranberrycleat.jobs import JobStatusValues
from cranberrycleat.messages import ConfigChange, JobStatus
from cranberrycleat.operator_client import OperatorClient
from cranberrycleat.standins.parts import parse_labels

T = TypeVar("T")
POLL_INTERVAL_S: Final = 0.2


def _scheduler_option(command: Callable[..., Any]) -> Callable[..., Any]:
    return click.option(
        "--scheduler",
        required=True,
        envvar=settings.PREFIX + "SCHEDULER",
        metavar="URL[,URL]",
        help="Schedulers to try, in order, as http://IP:PORT. "
        f"[env: {settings.PREFIX}SCHEDULER]",
    )(command)


def _make_client(text: str) -> OperatorClient:
    try:
        urls = settings.convert(settings.Urls(), text)
    except ValueError:
        allowed_values = settings.allowed(settings.Urls())
        found = errors.finding(
            "--scheduler", errors.BAD_VALUE, value=text, allowed=allowed_values
        )
        fail((found,))
    return OperatorClient(urls=urls)


def _run_or_exit(awaitable: Awaitable[T]) -> T:
    """Return the awaitable's result.

    A refused request or an unreachable scheduler is printed and ends the process
    with the exit code for it.
    """

    async def run_awaitable() -> T:
        return await awaitable

    try:
        return asyncio.run(run_awaitable())
    except errors.ProblemError as exc:
        click.echo(f"refused: {exc.detail} [{exc.code}]", err=True)
        for each in exc.findings:
            click.echo(f"  {each}", err=True)
        if exc.retry_after_s is not None:
            click.echo(f"retry after {exc.retry_after_s:g} s", err=True)
        sys.exit(errors.EXIT_REFUSED)
    except errors.PeerUnavailable as exc:
        click.echo(f"unreachable: {exc}", err=True)
        sys.exit(errors.EXIT_UNREACHABLE)


@click.group()
def job() -> None:
    """Submit, cancel and show jobs."""


@job.command("submit")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@_scheduler_option
def job_submit(files: tuple[Path, ...], scheduler: str) -> None:
    """Submit the jobs in workload FILES (TOML or JSON).

    All files are validated before the first job is submitted.
    """
    try:
        specs = load_jobs(files)
    except errors.FindingsError as exc:
        fail(exc.findings)
    client = _make_client(scheduler)
    for spec in specs:
        accepted = _run_or_exit(client.submit(spec))
        matching_data_centres = ", ".join(accepted.data_centres)
        click.echo(f"accepted {spec.name} for {matching_data_centres}")


@job.command("cancel")
@click.argument("name")
@_scheduler_option
def job_cancel(name: str, scheduler: str) -> None:
    """Cancel job NAME: pending tasks are not started, running ones are stopped."""
    _run_or_exit(_make_client(scheduler).cancel(name))
    click.echo(f"accepted the cancellation of {name}")


@job.command("status")
@click.argument("name")
@click.option(
    "--wait", type=float, default=0.0, help="Seconds to wait for the job to end."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@_scheduler_option
def job_status(name: str, wait: float, as_json: bool, scheduler: str) -> None:
    """Show the status of job NAME.

    Exits with 1 if a task failed, can never run, or, with --wait, has not ended
    in time.
    """
    found = _run_or_exit(_wait_for_job(_make_client(scheduler), name, wait))
    if as_json:
        click.echo(codec.encode_text(found))
    else:
        _print_job(found)
    states = {each.state for each in found.tasks}
    if states & JobStatusValues.BAD or (wait and not states <= JobStatusValues.ENDED):
        sys.exit(errors.EXIT_FAILED)


async def _wait_for_job(client: OperatorClient, name: str, wait_s: float) -> JobStatus:
    loop = asyncio.get_running_loop()
    end = loop.time() + wait_s
    while True:
        found = await client.job(name)
        done = found.tasks and {t.state for t in found.tasks} <= JobStatusValues.ENDED
        if done or loop.time() >= end:
            return found
        await asyncio.sleep(POLL_INTERVAL_S)


def _print_job(found: JobStatus) -> None:
    click.echo(f"{found.name} ({found.kind}){' cancelled' * found.cancelled}")
    for task in found.tasks:
        worker_text = f" on {task.worker}" if task.worker else ""
        click.echo(f"  {task.index}: {task.state}{worker_text}, attempt {task.attempt}")
    for reason in found.reasons:
        click.echo(f"  why: {reason}")


@click.group()
def worker() -> None:
    """List workers, label them, declare one dead."""


@worker.command("list")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@_scheduler_option
def worker_list(as_json: bool, scheduler: str) -> None:
    """List the workers of every shard owned by one of the given schedulers."""
    worker_lists = _run_or_exit(_make_client(scheduler).workers())
    if as_json:
        click.echo(codec.encode_text(worker_lists))
        return
    for each in sorted(
        (w for group in worker_lists for w in group.workers), key=_worker_name
    ):
        used, total = each.used, each.capacity
        click.echo(
            f"{each.name:20} {each.data_centre:16} {each.rack:10} {each.state:11} "
            f"cpu {used.processors / 1000:g}/{total.processors / 1000:g} "
            f"mem {used.memory_mb}/{total.memory_mb} "
            f"acc {used.accelerators}/{total.accelerators} tasks {each.tasks}"
        )


def _worker_name(each: Any) -> str:
    return str(each.name)


@worker.command("label")
@click.argument("name")
@click.argument("labels", nargs=-1, required=True)
@_scheduler_option
def worker_label(name: str, labels: tuple[str, ...], scheduler: str) -> None:
    """Set LABELS (key=value) of worker NAME, or remove them (key-)."""
    changes: dict[str, str | None] = {}
    for text in labels:
        if text.endswith("-") and "=" not in text:
            changes[text[:-1]] = None
            continue
        try:
            changes.update(parse_labels(text, place=f"label {text}"))
        except errors.FindingsError as exc:
            fail(exc.findings)
    _run_or_exit(_make_client(scheduler).label(name, changes))
    click.echo(f"accepted the labels of {name}")


@worker.command("dead")
@click.argument("name")
@click.confirmation_option(prompt="Is it certain that the worker runs no tasks?")
@_scheduler_option
def worker_dead(name: str, scheduler: str) -> None:
    """Declare worker NAME dead, so that its tasks are placed elsewhere at once.

    If the worker still runs, its tasks run in two places.
    """
    _run_or_exit(_make_client(scheduler).declare_dead(name))
    click.echo(f"accepted the declaration that {name} is dead")


@click.group()
def config() -> None:
    """Validate, apply and show the configuration."""


def load_config(path: Path) -> Configuration:
    """Read and validate a configuration file; on errors, print them and exit."""
    try:
        return load_configuration(path)
    except errors.FindingsError as exc:
        fail(exc.findings)


@config.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def config_check(file: Path) -> None:
    """Validate configuration FILE without applying it."""
    load_config(file)
    click.echo(f"{file}: no errors found")


@config.command("apply")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--made-from",
    type=int,
    default=None,
    help="The version that the change is based on; default: the newest.",
)
@_scheduler_option
def config_apply(file: Path, made_from: int | None, scheduler: str) -> None:
    """Apply configuration FILE; refused if another change was applied first."""
    cfg = load_config(file)
    client = _make_client(scheduler)
    if made_from is None:
        made_from = _run_or_exit(client.config()).version
    change = ConfigChange(made_from=made_from, document=codec.encode_text(cfg))
    accepted = _run_or_exit(client.apply(change))
    click.echo(f"accepted version {accepted.version}")


@config.command("show")
@_scheduler_option
def config_show(scheduler: str) -> None:
    """Show the current configuration and its version."""
    found = _run_or_exit(_make_client(scheduler).config())
    click.echo(f"version {found.version}")
    click.echo(json.dumps(json.loads(found.text), indent=2))


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@_scheduler_option
def status(as_json: bool, scheduler: str) -> None:
    """Show the status of each scheduler, one per line."""
    found = _run_or_exit(_make_client(scheduler).statuses())
    if as_json:
        click.echo(codec.encode_text(found))
        return
    for each in found:
        role = f"owner, epoch {each.epoch}" if each.owner else "candidate"
        table = "table reachable" if each.table_reachable else "TABLE OUT OF REACH"
        click.echo(
            f"{each.name:16} {each.data_centre:16} {role:18} {table}, "
            f"configuration {each.config_version}, workers {each.workers}, "
            f"pending {each.pending}, placed {each.placed}"
        )


@click.command()
@click.argument("url")
def dump(url: str) -> None:
    """Print the state of the process at URL as JSON."""
    found = _run_or_exit(OperatorClient(urls=()).dump(url.rstrip("/")))
    click.echo(json.dumps(found, indent=2))
