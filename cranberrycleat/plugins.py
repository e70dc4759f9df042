"""Imports the modules whose plug-ins ship with the package.

Importing this module is what registers them. Another package's plug-ins
register in the same way, by being imported before a daemon starts.
"""

from cranberrycleat import (  # noqa: F401
    metrics,
    placement,
    routing,
    table_http,
    worker_http,
)
