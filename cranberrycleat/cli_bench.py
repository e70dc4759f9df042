"""The commands `demo` and `bench`."""

import asyncio
import sys
from collections.abc import Sequence
from typing import Final

import attrs
import click

from cranberrycleat import codec, errors, logs

QUICK_ROUTING_S: Final = 2.0
FULL_ROUTING_S: Final = 10.0
QUICK_CONTROL_S: Final = 3.5
FULL_CONTROL_S: Final = 20.0


@click.group()
def bench() -> None:
    """Run benchmarks of placement, routing and control against baselines.

    Each result is compared with its baseline in the same run. --json prints one
    object, whose `summary` contains the key metrics.
    """


def _print_summary(summary: attrs.AttrsInstance) -> None:
    for name, value in attrs.asdict(summary).items():
        click.echo(f"{name:28} {value}")


def _print_rows(title: str, rows: Sequence[attrs.AttrsInstance]) -> None:
    click.echo(f"\n{title}")
    if not rows:
        return
    columns = [field.name for field in attrs.fields(type(rows[0]))]
    click.echo(" ".join(f"{name[:15]:>15}" for name in columns))
    for row in rows:
        cells = [str(getattr(row, name)) for name in columns]
        click.echo(" ".join(f"{cell[:15]:>15}" for cell in cells))


@bench.command("routing")
@click.option("--seed", default=1, help="The seed of arrivals and failures.")
@click.option("--quick", is_flag=True, help="Short phases; ends within 50 s.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def bench_routing(seed: int, quick: bool, as_json: bool) -> None:
    """Measure gateways at 0.5 to 4 times capacity against a naive proxy."""
    from cranberrycleat.bench.routing import RoutingBench

    logs.set_up(level="error", form="text")
    seconds = QUICK_ROUTING_S if quick else FULL_ROUTING_S
    report = asyncio.run(RoutingBench(seed=seed, seconds=seconds).run())
    if as_json:
        click.echo(codec.encode_text(report))
        return
    _print_summary(report.summary)
    _print_rows("gateways", report.ours)
    _print_rows("naive pass-through", report.naive)
    _print_rows("unloaded: gateways", (report.unloaded_ours,))
    _print_rows("unloaded: naive", (report.unloaded_naive,))


@bench.command("placement")
@click.option("--seed", default=1, help="The seed of the workloads.")
@click.option("--quick", is_flag=True, help="Fewer baselines; ends within 50 s.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def bench_placement(seed: int, quick: bool, as_json: bool) -> None:
    """Measure waiting, packing and decision cost against baselines and a bound."""
    from cranberrycleat.bench.placement import run_placement_bench

    logs.set_up(level="info", form="text")
    report = run_placement_bench(seed, quick=quick)
    if as_json:
        click.echo(codec.encode_text(report))
        return
    _print_summary(report.summary)
    for case in report.cases:
        _print_rows(f"{case.case}: {case.tasks} tasks", case.rows)


@bench.command("forecast")
@click.option("--seed", default=1, help="The seed of run times and demands.")
@click.option("--quick", is_flag=True, help="A backlog of 500 steps, not 5,000.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def bench_forecast(seed: int, quick: bool, as_json: bool) -> None:
    """Measure what snapshots and forecasts of a pool cost."""
    from cranberrycleat.bench.forecast import run_forecast_bench

    logs.set_up(level="error", form="text")
    rows = run_forecast_bench(seed, quick=quick)
    if as_json:
        click.echo(codec.encode_text(rows))
        return
    _print_rows("forecast, by workers", rows)


@bench.command("control")
@click.option("--quick", is_flag=True, help="Shorter measurements; ends within 50 s.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def bench_control(quick: bool, as_json: bool) -> None:
    """Measure memory, CPU time, traffic and table calls of the control plane."""
    from cranberrycleat.bench.control import ControlBench

    logs.set_up(level="error", form="text")
    seconds = QUICK_CONTROL_S if quick else FULL_CONTROL_S
    report = asyncio.run(ControlBench(seconds=seconds).run())
    if as_json:
        click.echo(codec.encode_text(report))
        return
    _print_summary(report.summary)
    _print_rows("owners, by workers", report.owners)
    _print_rows("candidate", (report.candidate,))
    _print_rows("gateways, by peers", report.gateways)


@click.command()
@click.option("--small", is_flag=True, help="Fewer workers, gateways and calls.")
@click.option("--log-level", default="error", help="Minimum level of messages to log.")
def demo(small: bool, log_level: str) -> None:
    """Run an embedded cluster with simulated workers and faults, and audit it.

    Exits with 1 if anything was lost or ran twice.
    """
    from cranberrycleat.demo import SMALL_DEMO, DemoSize, print_summaries, run_demo

    logs.set_up(level=log_level, form="text")
    summaries = asyncio.run(run_demo(SMALL_DEMO if small else DemoSize()))
    if not print_summaries(summaries):
        sys.exit(errors.EXIT_FAILED)
