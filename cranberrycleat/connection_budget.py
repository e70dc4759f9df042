"""Counts what the client connections of a process hold, and closes some of them.

All servers of a process share one `ConnectionBudget`. Each connection reports the phase
that it is in and the bytes that it holds. A connection that stays in a phase for too
long is closed. If connections or bytes run short, those that have waited longest
without a whole request are closed; a request that is being handled is never cut off.
"""

import asyncio
import collections
import enum
from typing import Final, Protocol

import attrs

from cranberrycleat import events
from cranberrycleat.connection_limits import FREE_BYTES, READ_BYTES, ConnectionLimits
from cranberrycleat.logs import emit

MAX_SWEEP_INTERVAL_S: Final = 1.0
SWEEPS_PER_TIMEOUT: Final = 4


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = "idle"
    """The first byte of a request."""
    HEAD = "head"
    """The rest of a request's head."""
    BODY = "body"
    """The rest of a request's body."""
    REQUEST = "request"
    """The answer to a whole request, from this process."""
    ANSWER = "answer"
    """The client, to read an answer."""
    CLOSING = "closing"
    """The client, to read the last answer and to close."""


class CloseReason(enum.Enum):
    """Why a connection was closed by this process."""

    HEAD_TOO_LARGE = "head too large"
    TOO_MANY_FIELDS = "too many fields"
    FRAMING_TOO_LARGE = "chunk extension or trailers too large"
    BODY_TOO_LARGE = "body too large"
    MALFORMED = "malformed"
    TOO_MANY_CONNECTIONS = "too many connections"
    TOO_MANY_BYTES = "too many bytes"
    IDLE = "idle"
    HEAD_LATE = "head late"
    BODY_LATE = "body late"
    ANSWER_UNREAD = "answer unread"
    CLOSE_LATE = "close late"


ROUTINE_REASONS: Final = frozenset({CloseReason.IDLE, CloseReason.CLOSE_LATE})
"""Reasons that say nothing about a client's behaviour; counted, but not logged."""
CLOSED_FOR_CONNECTIONS: Final = (
    Phase.IDLE,
    Phase.HEAD,
    Phase.BODY,
    Phase.ANSWER,
    Phase.CLOSING,
)
CLOSED_FOR_BYTES: Final = (Phase.HEAD, Phase.BODY, Phase.ANSWER)


class Connection(Protocol):
    """A connection as the budget sees it."""

    def end(self) -> None:
        """Close the connection immediately."""


@attrs.define(kw_only=True, eq=False)
class _Entry:
    address: str
    phase: Phase
    held_bytes: int = 0


@attrs.define(kw_only=True, eq=False)
class ConnectionBudget:
    """What the client connections of a process hold.

    Attributes:
        limits: The limits.
        held_bytes: The bytes that all connections hold.
        read_buffer: The buffer into which every connection is read, one at a time.
        closed: The number of connections closed since startup, by reason.
    """

    limits: ConnectionLimits
    held_bytes: int = 0
    read_buffer: memoryview = attrs.field(
        factory=lambda: memoryview(bytearray(READ_BYTES))
    )
    closed: "collections.Counter[CloseReason]" = attrs.field(
        factory=collections.Counter
    )
    _entries: dict[Connection, _Entry] = attrs.field(factory=dict)
    _waiting: dict[str, dict[Phase, dict[Connection, float]]] = attrs.field(
        factory=dict
    )
    """Since when each connection of an address is in a phase, longest first."""
    _numbers: "collections.Counter[str]" = attrs.field(factory=collections.Counter)
    _unreported: "collections.Counter[tuple[str, CloseReason]]" = attrs.field(
        factory=collections.Counter
    )
    _reported_at: float = float("-inf")
    _sweep_timer: asyncio.TimerHandle | None = None

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._entries)

    # --- reports of connections -----------------------------------------------

    def add(self, conn: Connection, address: str) -> bool:
        """Add a new connection, closing another one if there are too many.

        Args:
            conn: The connection.
            address: The name of the address that it was accepted on.

        Returns:
            False if there are too many and none can be closed. The connection was not
            added, and is to be closed.
        """
        limits = self.limits
        phases = self._waiting.get(address)
        if phases is None:
            phases = self._waiting[address] = {phase: {} for phase in Phase}
        if self._numbers[address] >= limits.max_address_connections:
            admitted = self._close_longest_waiting([address])
        elif len(self._entries) >= limits.max_connections:
            largest_first = [name for name, _ in self._numbers.most_common()]
            admitted = self._close_longest_waiting(largest_first)
        else:
            admitted = True
        if not admitted:
            self.count(address, CloseReason.TOO_MANY_CONNECTIONS)
            return False
        self._entries[conn] = _Entry(address=address, phase=Phase.IDLE)
        self._numbers[address] += 1
        phases[Phase.IDLE][conn] = _now()
        if self._sweep_timer is None:
            self._schedule_sweep()
        return True

    def remove(self, conn: Connection) -> None:
        """Remove a connection that is closed, or is closed now."""
        entry = self._entries.pop(conn, None)
        if entry is None:
            return
        self.held_bytes -= entry.held_bytes
        self._numbers[entry.address] -= 1
        self._waiting[entry.address][entry.phase].pop(conn, None)

    def enter(self, conn: Connection, phase: Phase) -> None:
        """Note that a connection has entered a phase; no change if it is in it."""
        entry = self._entries.get(conn)
        if entry is None or entry.phase is phase:
            return
        phases = self._waiting[entry.address]
        del phases[entry.phase][conn]
        phases[phase][conn] = _now()
        entry.phase = phase

    def hold(self, conn: Connection, held_bytes: int) -> bool:
        """Note how many bytes a connection holds now; a few of them are free.

        Closes other connections if all hold too much together.

        Returns:
            False if the connection may not hold them, and is to be closed.
        """
        entry = self._entries.get(conn)
        if entry is None:
            return False
        counted = max(0, held_bytes - FREE_BYTES)
        more = counted - entry.held_bytes
        entry.held_bytes = counted
        self.held_bytes += more
        while more > 0 and self.held_bytes > self.limits.max_held_bytes:
            found = self._longest_waiting(self._waiting, CLOSED_FOR_BYTES)
            if found is None or found is conn:
                return False
            self._close(found, CloseReason.TOO_MANY_BYTES)
        return True

    def count(self, address: str, reason: CloseReason) -> None:
        """Count a connection that is closed for a reason."""
        self.closed[reason] += 1
        if reason not in ROUTINE_REASONS:
            self._unreported[address, reason] += 1

    # --- closing --------------------------------------------------------------

    def _close(self, conn: Connection, reason: CloseReason) -> None:
        self.count(self._entries[conn].address, reason)
        self.remove(conn)
        conn.end()

    def _close_longest_waiting(self, addresses: list[str]) -> bool:
        for address in addresses:
            found = self._longest_waiting([address], CLOSED_FOR_CONNECTIONS)
            if found is not None:
                self._close(found, CloseReason.TOO_MANY_CONNECTIONS)
                return True
        return False

    def _longest_waiting(
        self,
        addresses: "list[str] | dict[str, dict[Phase, dict[Connection, float]]]",
        phases: tuple[Phase, ...],
    ) -> Connection | None:
        """Return the connection that has been in its phase for the longest time."""
        found: Connection | None = None
        found_since = float("inf")
        for address in addresses:
            for phase in phases:
                for conn, since in self._waiting[address][phase].items():
                    if since < found_since:
                        found, found_since = conn, since
                    break
        return found

    def _schedule_sweep(self) -> None:
        limits = self.limits
        shortest = min(
            limits.head_timeout_s,
            limits.body_timeout_s,
            limits.answer_timeout_s,
            limits.idle_timeout_s,
            limits.linger_s,
        )
        interval = min(MAX_SWEEP_INTERVAL_S, shortest / SWEEPS_PER_TIMEOUT)
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(interval, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that have been in a phase for too long."""
        limits = self.limits
        now = _now()
        for phases in self._waiting.values():
            for phase, limit_s, reason in (
                (Phase.IDLE, limits.idle_timeout_s, CloseReason.IDLE),
                (Phase.HEAD, limits.head_timeout_s, CloseReason.HEAD_LATE),
                (Phase.BODY, limits.body_timeout_s, CloseReason.BODY_LATE),
                (Phase.ANSWER, limits.answer_timeout_s, CloseReason.ANSWER_UNREAD),
                (Phase.CLOSING, limits.linger_s, CloseReason.CLOSE_LATE),
            ):
                waiting = phases[phase]
                while waiting:
                    conn, since = next(iter(waiting.items()))
                    if now - since < limit_s:
                        break
                    self._close(conn, reason)
        self._report(now)
        self._sweep_timer = None
        if self._entries or self._unreported:
            self._schedule_sweep()

    def _report(self, now: float) -> None:
        """Log how many connections were closed, at most one line per reason."""
        if now - self._reported_at < self.limits.report_s or not self._unreported:
            return
        self._reported_at = now
        unreported, self._unreported = self._unreported, collections.Counter()
        for (address, reason), number in unreported.items():
            emit(
                events.ConnectionsClosed(
                    address=address,
                    reason=reason.value,
                    connections=number,
                    open_connections=len(self._entries),
                    held_bytes=self.held_bytes,
                )
            )


def _now() -> float:
    return asyncio.get_running_loop().time()
