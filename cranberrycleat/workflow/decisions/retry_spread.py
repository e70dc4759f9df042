"""Chooses when the caller of a rejected job should return.

Callers that were rejected together must not return together, or they would be rejected
together again. Each returns at a time that is derived from its job ID, within a window
that begins when enough of the backlog has drained and lasts at least as long again.
"""

import hashlib
import math
from typing import Final

import attrs

MIN_RETRY_AFTER_S: Final = 1.0
"""Retry-After is sent in whole seconds."""
MIN_SPREAD_S: Final = 6.0
"""With whole seconds, a shorter window would have all callers of a tier return at one
or two times."""
MAX_SPREAD_S: Final = 30.0
"""The longest spread beyond the drain time. The overloads seen so far lasted 40 s, and
their callers were rejected after the first seconds."""
DUE_FRACTION: Final = 0.75
"""The first part of a window, for due jobs."""
SURPLUS_FRACTION: Final = 0.5
"""The last part of a window, for surplus. The parts overlap, since a half for each
would have due jobs return at twice the rate where there is no surplus."""
MIN_POSITIONS: Final = 2
"""Short windows are not divided further by tier and age, since callers of one burst
would return together."""
HASH_BYTES: Final = 4


@attrs.frozen(kw_only=True)
class RetryWindow:
    """When a rejected job would fit.

    Attributes:
        drained_s: When enough of the backlog is expected to have drained, in seconds
            from now.
        worth_s: Until when a start would still be worth something, in seconds from now.
            If that is too soon for a retry, the time has no limit.
        waited_fraction: How much of the time in which it has value has passed.
        surplus: Whether it is beyond the share of its workspace.
    """

    drained_s: float
    worth_s: float
    waited_fraction: float
    surplus: bool


def retry_after_s(job_id: str, window: RetryWindow) -> float:
    """Return when to return, in whole seconds.

    Due jobs return in the first part of the window and surplus in the last. Within its
    part, a job returns the earlier the longer ago it was first sent.
    """
    latest_s = math.inf
    if window.worth_s >= MIN_RETRY_AFTER_S:
        latest_s = window.worth_s
    # A backlog that outlasts the job's worth must not send all callers back at once.
    begins_s = max(MIN_RETRY_AFTER_S, min(window.drained_s, latest_s / 2))
    # A job that does not fit after the drain time either needs its other retries later.
    spread_s = max(window.drained_s, min(window.worth_s / 2, MAX_SPREAD_S))
    ends_s = min(latest_s, begins_s + max(spread_s, MIN_SPREAD_S))
    first = min(math.ceil(begins_s), math.floor(ends_s))
    seconds = math.floor(ends_s) - first + 1
    return float(first + _position(job_id, window, seconds))


def _position(job_id: str, window: RetryWindow, seconds: int) -> int:
    """Return the position in a window of whole seconds, from 0."""
    fraction = SURPLUS_FRACTION if window.surplus else DUE_FRACTION
    part = min(seconds, max(MIN_POSITIONS, math.ceil(seconds * fraction)))
    waited = min(1.0, max(0.0, window.waited_fraction))
    positions = min(part, max(MIN_POSITIONS, round(part * (1 - waited / 2))))
    # The hash differs from attempt to attempt, so that groups do not stay together.
    key = f"{job_id} {window.waited_fraction:.3f}"
    digest = hashlib.blake2b(key.encode(), digest_size=HASH_BYTES).digest()
    hashed = int.from_bytes(digest) / 2 ** (8 * HASH_BYTES)
    return (seconds - part if window.surplus else 0) + int(hashed * positions)
