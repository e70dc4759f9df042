"""Clocks: where every part of the system gets its time from.

No other part calls `time` itself. Leases are counted on a monotonic clock, which no
operator and no time service can set back, and tests hand in a `ManualClock`.
"""

import time
from collections.abc import Callable
from typing import Final, Protocol

import attrs

MIN_CLOCK_JUMP_S: Final = 0.25
"""A larger difference between two looks at the time of day, a planning round or a few
apart, is no correction but a jump; smaller ones cost short work nothing."""
JUMP_CONFIRMATION_S: Final = 15.0
"""How long a jump must have stayed: longer than the platform's jumps that are taken
back (6 s), short against schedules, which go by minutes."""


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


@attrs.define(kw_only=True, eq=False)
class WallClock:
    """The time of day as one process decides by it: a jump counts once it has stayed.

    A host whose clock jumps by seconds, and often back again, would take the jump for
    time that has passed, and short work for worthless. The time goes on by the steady
    clock instead; slow corrections are followed.

    Attributes:
        steady: Counts the time that passes.
        wall: Tells the host's time of day.
    """

    steady: Clock = attrs.field(factory=BootClock)
    wall: Callable[[], float] = time_of_day
    _offset_s: float = attrs.field(init=False)
    _jumped_at: float | None = None

    def __attrs_post_init__(self) -> None:
        self._offset_s = self.wall() - self.steady.now()

    def now_s(self) -> float:
        """Return the time in seconds since 1970."""
        now = self.steady.now()
        current_offset_s = self.wall() - now
        if abs(current_offset_s - self._offset_s) < MIN_CLOCK_JUMP_S:
            self._set_offset(current_offset_s)
        elif self._jumped_at is None:
            self._jumped_at = now
        elif now - self._jumped_at > JUMP_CONFIRMATION_S:
            self._set_offset(current_offset_s)
        return now + self._offset_s

    def _set_offset(self, offset_s: float) -> None:
        self._offset_s = offset_s
        self._jumped_at = None


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
