"""Runs the command line: `python -m cranberrycleat`."""

from cranberrycleat.start import main

main()
