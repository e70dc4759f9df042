"""Clocks: where every part of the system gets its time from.

No other part calls `time` itself. Leases are counted on a monotonic clock, which no
operator and no time service can set back, and tests hand in a `ManualClock`.
"""

import time
from typing import Protocol

import attrs


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> float:
        """Return seconds since an arbitrary fixed start; never decreases."""


class MonotonicClock:
    """The monotonic clock of this machine."""

    def now(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()


class BootClock:
    """The clock that also counts time for which the host was suspended.

    The monotonic clock may stand still while a host is suspended; an owner
    that wakes would think that its lease still runs.
    """

    def now(self) -> float:
        """Return the time since the host's start, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def time_of_day() -> float:
    """Return the host's time of day, in seconds since 1970; it may step."""
    return time.time()


@attrs.define(kw_only=True)
class ManualClock:
    """A clock that moves only when it is told to, for tests and benches.

    Attributes:
        time_s: The current time in seconds.
    """

    time_s: float = 0.0

    def now(self) -> float:
        """Return the time that was last set."""
        return self.time_s

    def advance(self, *, seconds: float) -> None:
        """Move the clock forward.

        Args:
            seconds: How far, in seconds; must not be negative.
        """
        if seconds < 0:
            raise ValueError("a monotonic clock does not go back")
        self.time_s += seconds
