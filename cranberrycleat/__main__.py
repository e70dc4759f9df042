"""Runs the command line: `python -m cranberrycleat`."""

from cranberrycleat.cli import main

main(prog_name="cranberrycleat")
