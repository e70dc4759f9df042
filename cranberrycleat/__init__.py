"""Cranberrycleat: a cluster scheduler for unlike workloads.

The package is flat: one module per concern, named by the thing it does. The
modules `lease`, `writer`, `retry`, `slots`, `watcher` and `book` are a library
that other programs may embed; they take their clock and their table as
arguments and import nothing of the daemons.
"""

from typing import Final

__version__: Final = "0.1.0"
