"""Writes log lines without ever blocking on the reader.

Lines are collected briefly and written in batches. If the reader does not keep up,
lines are queued up to a limit; beyond it the least important ones are dropped and
counted. Once the queue has been written, a line reports how many of which kind.
"""

import asyncio
import collections
import os
from collections.abc import Callable
from typing import Final

import attrs

FLUSH_DELAY_S: Final = 0.05
"""How long lines are collected: at 300 lines per second, a write has 15 lines."""
RETRY_DELAY_S: Final = 0.1
MAX_PENDING_BYTES: Final = 1024 * 1024
"""How many bytes may wait for the reader: about ten seconds of a burst."""
MAX_WRITE_BYTES: Final = 4096
"""A write of up to this size to a pipe is atomic, even with other writers (PIPE_BUF).

On the platform's bench only the first 8 KB of a longer write were kept: in an incident
with 45 hosts, a line was cut off 250 times, and everything after it was lost.
"""
REPORT_INTERVAL_S: Final = 1.0


@attrs.frozen(kw_only=True)
class _Line:
    name: str
    data: bytes
    essential: bool


@attrs.define(kw_only=True, eq=False)
class LogSink:
    """A bounded queue of lines in front of a file descriptor.

    Attributes:
        fd: The file descriptor to write to; it is made non-blocking.
        report: Returns the line that reports the dropped lines.
        max_pending_bytes: How many bytes may be queued.
        dropped: The number of lines dropped since the last report, by event name.
        dropped_total: The number of lines dropped since startup.
    """

    fd: int
    report: Callable[[dict[str, int]], bytes]
    max_pending_bytes: int = MAX_PENDING_BYTES
    dropped: dict[str, int] = attrs.field(factory=dict)
    dropped_total: int = 0
    _ordinary: "collections.deque[_Line]" = attrs.field(factory=collections.deque)
    _essential: "collections.deque[_Line]" = attrs.field(factory=collections.deque)
    _bytes: int = 0
    _unsent: bytes = b""
    _flush_scheduled: bool = False

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.fd, False)

    def put(self, name: str, data: bytes, *, essential: bool) -> None:
        """Queue a line, dropping less important lines if the queue is full."""
        self._bytes += len(data)
        (self._essential if essential else self._ordinary).append(
            _Line(name=name, data=data, essential=essential)
        )
        while self._bytes > self.max_pending_bytes:
            self._drop_line()
        self._schedule()

    def _drop_line(self) -> None:
        line = (self._ordinary or self._essential).popleft()
        self._bytes -= len(line.data)
        self.dropped[line.name] = self.dropped.get(line.name, 0) + 1
        self.dropped_total += 1

    def _schedule(self, delay_s: float = FLUSH_DELAY_S) -> None:
        if self._flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._flush_scheduled = True
        loop.call_later(delay_s, self._flush_due)

    def _flush_due(self) -> None:
        self._flush_scheduled = False
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader accepts without blocking."""
        while self._unsent or self._ordinary or self._essential:
            data = self._unsent or self._next_write()
            try:
                sent = os.write(self.fd, data)
            except BlockingIOError:
                self._unsent = data
                self._retry()
                return
            except OSError:
                # The reader is gone, so the pending lines cannot be written at all.
                self._ordinary.clear()
                self._essential.clear()
                self._unsent = b""
                self._bytes = 0
                return
            self._unsent = data[sent:]
        if self.dropped:
            report_line = self.report(self.dropped)
            self.dropped = {}
            self.put("log.left_out", report_line, essential=True)

    def _retry(self) -> None:
        try:
            asyncio.get_running_loop()
        except RuntimeError:
            return
        self._schedule(RETRY_DELAY_S)

    def _next_write(self) -> bytes:
        """Remove and return the next whole lines, essential ones first."""
        first = (self._essential or self._ordinary)[0]
        if len(first.data) > MAX_WRITE_BYTES:
            (self._essential or self._ordinary).popleft()
            self._bytes -= len(first.data)
            return first.data
        parts: list[bytes] = []
        size = 0
        for queue in (self._essential, self._ordinary):
            while queue and size + len(queue[0].data) <= MAX_WRITE_BYTES:
                line = queue.popleft()
                parts.append(line.data)
                size += len(line.data)
        self._bytes -= size
        return b"".join(parts)
