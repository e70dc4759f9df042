"""The commands `demo` and `bench`."""

import asyncio
import sys

import click

from cranberrycleat import errors, logs


@click.group()
def bench() -> None:
    """Measure placement, routing and control, beside baselines."""


@click.command()
@click.option("--small", is_flag=True, help="Fewer workers, gateways and calls.")
@click.option("--log-level", default="error", help="The least severe level to log.")
def demo(small: bool, log_level: str) -> None:
    """Run the whole path on embedded stand-ins, with faults, and audit it.

    Exits with 1 where something was lost or ran twice.
    """
    from cranberrycleat.demo import SMALL, DemoSize, print_summaries, run_demo

    logs.set_up(level=log_level, form="text")
    summaries = asyncio.run(run_demo(SMALL if small else DemoSize()))
    if not print_summaries(summaries):
        sys.exit(errors.EXIT_FAILED)
