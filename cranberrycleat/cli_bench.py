"""The commands `demo` and `bench`."""

import click


@click.group()
def bench() -> None:
    """Measure placement, routing and control, beside baselines."""


@click.command()
def demo() -> None:
    """Run the whole path on embedded stand-ins."""
