"""Process entry point, with the steps that must precede all other imports."""

import gc
import sys

from cranberrycleat import early_listen


def main() -> None:
    """Open a node's listening socket, then load and run the command line."""
    # Imports allocate without freeing, so garbage collections are useless during
    # them and take a tenth of their time. `lifecycle.run` configures the collector.
    gc.disable()
    if sys.argv[1:2] == ["node"]:
        _listen_early()
    from cranberrycleat.cli import main as command_line

    gc.enable()
    command_line(prog_name="cranberrycleat")


def _listen_early() -> None:
    from cranberrycleat.platform.early import callers_address

    address = callers_address()
    if address is not None:
        early_listen.listen_early(*address)
