"""Clocks, the only source of time for all other modules.

Leases are measured on a monotonic clock, which neither an operator nor a time service
can set back. Tests inject a `ManualClock`.
"""

import time
from collections.abc import Callable
from typing import Final, Protocol

import attrs

MIN_CLOCK_JUMP_S: Final = 0.25
"""A larger change of the offset between two readings, which are one or a few planning
rounds apart, is a jump and not a correction; smaller changes do not harm short jobs."""
JUMP_CONFIRMATION_S: Final = 15.0
"""How long a jump must persist to be accepted: longer than the platform's temporary
jumps (6 s), and short compared with schedules, which have a resolution of minutes."""


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> float:
        """Return seconds since an arbitrary fixed point; never decreases."""


class MonotonicClock:
    """The monotonic clock of this machine."""

    def now(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()


class BootClock:
    """A monotonic clock that also counts time while the host is suspended.

    The plain monotonic clock may stop while a host is suspended; an owner that
    resumes would then consider its expired lease still valid.
    """

    def now(self) -> float:
        """Return the time since the host's boot, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def time_of_day() -> float:
    """Return the host's wall-clock time, in seconds since 1970; it may step."""
    return time.time()


@attrs.define(kw_only=True, eq=False)
class WallClock:
    """The wall-clock time used for decisions, which accepts only persistent jumps.

    A host's clock may jump by seconds, and often back again. A process that took the
    jump for elapsed time would consider short jobs too late to be worth running. So
    the time continues on the monotonic clock; slow corrections are followed.

    Attributes:
        steady: A monotonic clock.
        wall: Returns the host's wall-clock time.
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
    """A clock that is advanced explicitly, for tests and benchmarks.

    Attributes:
        time_s: The current time in seconds.
    """

    time_s: float = 0.0

    def now(self) -> float:
        """Return the current time of this clock."""
        return self.time_s

    def advance(self, *, seconds: float) -> None:
        """Advance the clock.

        Args:
            seconds: The amount in seconds; must not be negative.
        """
        if seconds < 0:
            raise ValueError("cannot move a monotonic clock back")
        self.time_s += seconds
