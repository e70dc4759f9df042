"""Clocks: where every part of the system gets its time from.

No part calls `time` itself. Leases are counted on a monotonic clock, which no
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
