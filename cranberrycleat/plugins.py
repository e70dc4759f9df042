"""Registers the built-in plug-ins by importing their modules.

Plug-ins of other packages are registered in the same way, by being imported before a
daemon starts.
"""

from cranberrycleat import (  # noqa: F401
    metrics,
    placement,
    routing,
    table_http,
    worker_http,
)
