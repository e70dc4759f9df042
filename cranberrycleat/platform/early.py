"""Finds where callers connect, before the product's libraries are loaded.

A second, smaller reader of the file that `settings` reads whole: that one needs
attrs and msgspec, a tenth of a second of a start.
"""

import os
import tomllib

FILE_VARIABLE = "CRANBERRYCLEAT_NODE_FILE"


def callers_address() -> tuple[str, int] | None:
    """Return the host and port at which callers connect.

    Returns:
        None where the settings do not tell; `settings.read_settings` then
        reports what is wrong with them.
    """
    try:
        with open(os.environ.get(FILE_VARIABLE, ""), "rb") as file:
            front = tomllib.load(file)["listen"]["front"]
        host, _, port = front.rpartition(":")
        return host, int(port)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
