"""Cranberrycleat: a cluster scheduler for mixed workloads.

The package has one module per concern. The modules `lease`, `writer`, `retry`, `slots`,
`watcher` and `inventory` form a library that other programs can embed: they take their
clock and table as arguments and import nothing from the daemons.
"""

from typing import Final

__version__: Final = "0.1.0"
