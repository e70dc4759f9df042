"""Chooses when the caller of a rejected job should return.

Callers that were rejected together must not return together, or they would be rejected
together again. Each returns at a time that is derived from its job ID, within a window
that begins when enough of the backlog has drained and lasts as long again.
"""

import math
import zlib
from typing import Final

import attrs

MIN_RETRY_AFTER_S: Final = 1.0
"""Retry-After is sent in whole seconds."""
MIN_SPREAD_S: Final = 3.0
"""With whole seconds, a shorter window would have all callers return at one or two
times."""
HASH_RANGE: Final = 2**32


@attrs.frozen(kw_only=True)
class RetryWindow:
    """When a rejected job would fit.

    Attributes:
        drained_s: When enough of the backlog is expected to have drained, in seconds
            from now.
        worth_s: Until when a start would still be worth something, in seconds from now.
        waited_fraction: How much of the time in which it has value has passed.
        surplus: Whether it is beyond the share of its workspace.
    """

    drained_s: float
    worth_s: float
    waited_fraction: float
    surplus: bool


def retry_after_s(job_id: str, window: RetryWindow) -> float:
    """Return when to return, in seconds, to be rounded up to whole seconds.

    Due jobs have the first half of the window and surplus the second. Within its half,
    a job returns the earlier the longer ago it was first sent.
    """
    latest_s = max(MIN_RETRY_AFTER_S, math.floor(window.worth_s))
    spread_s = max(window.drained_s, MIN_SPREAD_S)
    # A backlog that outlasts the job's worth must not send all callers back at once.
    begins_s = max(MIN_RETRY_AFTER_S, min(window.drained_s, latest_s / 2))
    ends_s = min(latest_s, begins_s + spread_s)
    return begins_s + _position(job_id, window) * (ends_s - begins_s)


def _position(job_id: str, window: RetryWindow) -> float:
    """Return the position in the window, from 0 to 1."""
    hashed = zlib.crc32(job_id.encode()) / HASH_RANGE
    left = 1.0 - min(1.0, max(0.0, window.waited_fraction))
    return (hashed * left + float(window.surplus)) / 2
