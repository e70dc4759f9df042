"""Reads the address for callers before the third-party libraries are imported.

This is a second, minimal reader of the file that `settings` reads in full. That module
imports attrs and msgspec, which takes a tenth of a second at startup.
"""

import os
import tomllib

FILE_VARIABLE = "CRANBERRYCLEAT_NODE_FILE"


def callers_address() -> tuple[str, int] | None:
    """Return the host and port to which callers connect.

    Returns:
        None if the settings do not contain it; `settings.read_settings` then reports
        the error.
    """
    try:
        with open(os.environ.get(FILE_VARIABLE, ""), "rb") as file:
            front = tomllib.load(file)["listen"]["front"]
        host, _, port = front.rpartition(":")
        return host, int(port)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
