"""Where a process begins: what has to happen before anything is imported."""

import gc
import sys

from cranberrycleat import early_listen


def main() -> None:
    """Open a node's door, then load and run the command line."""
    # Imports allocate and free nothing: collections would only look at them
    # (a tenth of their time). `lifecycle.run` sets the collector for good.
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
