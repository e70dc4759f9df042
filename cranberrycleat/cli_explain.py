"""The command `explain`."""

import sys
from typing import TextIO

import click

from cranberrycleat import errors
from cranberrycleat.explain import (
    Cause,
    Entry,
    cause,
    forecast_summary,
    job_timeline,
    job_timelines,
    read_lines,
)
from cranberrycleat.losses import CAUSE, KEYS, summarize


@click.command()
@click.argument("job", required=False)
@click.argument("files", nargs=-1, type=click.File("r"))
@click.option("--losses", is_flag=True, help="Count all jobs that were lost or late.")
@click.option(
    "--by",
    default=CAUSE,
    metavar="KEYS",
    help=f"What to count by: any of {', '.join(KEYS)}, separated by commas.",
)
@click.option("--log", "logs", multiple=True, type=click.File("r"), help="A log file.")
def explain(
    job: str | None,
    files: tuple[TextIO, ...],
    losses: bool,
    by: str,
    logs: tuple[TextIO, ...],
) -> None:
    """Print the timeline of a job from logs, and the cause of its delay or loss.

    Reads the files, or standard input: JSON lines of any number of processes in any
    order, with or without the line prefixes of a test bench. With --losses no JOB is
    given; pass files with --log.
    """
    keys = tuple(by.split(","))
    unknown = [key for key in keys if key not in KEYS]
    if unknown:
        raise click.BadParameter(f"unknown: {', '.join(unknown)}", param_hint="--by")
    sources = [*files, *logs] or [sys.stdin]
    entries = read_lines(line for source in sources for line in source)
    if losses:
        _print_losses(entries, keys)
        return
    if job is None:
        raise click.UsageError("either JOB or --losses is required")
    timeline = job_timeline(entries, job)
    if not timeline.job_entries:
        click.echo(f"error: no log line mentions job {job!r}", err=True)
        sys.exit(errors.EXIT_FAILED)
    for entry in sorted(
        [*timeline.job_entries, *timeline.context], key=lambda each: each.at
    ):
        click.echo(entry.text())
    _print_cause(cause(timeline))
    forecast = forecast_summary(timeline)
    if forecast:
        click.echo(f"forecast at its acceptance: {forecast}")


def _print_cause(found: Cause) -> None:
    click.echo(f"cause: {found.text}")
    if found.entry is not None:
        click.echo(found.entry.text())


def _print_losses(entries: list[Entry], by: tuple[str, ...]) -> None:
    losses = summarize(job_timelines(entries), by)
    for row in losses.rows:
        click.echo(f"{row.jobs:6} {'  '.join(row.values)}")
    click.echo(
        f"{losses.lost:6} jobs lost or late of {losses.jobs}; "
        f"{losses.unexplained} unexplained"
    )
