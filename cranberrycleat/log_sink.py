"""Writes log lines without ever waiting for whoever reads them.

Lines gather for a moment and go out in one write. Where the reader does not
keep up, lines wait up to a bound; past it the least important are left out and
counted, and a line a second says how many of which kind.
"""

import asyncio
import collections
import os
from collections.abc import Callable
from typing import Final

import attrs

GATHER_S: Final = 0.05
"""Lines of this long share a write: at 300 lines a second one of 15 lines."""
AGAIN_S: Final = 0.1
MOST_BYTES: Final = 1024 * 1024
"""What may wait for a reader; about ten seconds of a burst."""
MOST_A_WRITE: Final = 4096
"""A write of whole lines up to this size reaches a pipe in one piece, whoever else
writes there (PIPE_BUF). Measured on the platform's bench: of a longer write only
the first 8 KB are kept; 250 times on an incident of 45 hosts a line was cut and
all behind it was lost."""
REPORT_S: Final = 1.0


@attrs.frozen(kw_only=True)
class _Line:
    name: str
    data: bytes
    kept: bool


@attrs.define(kw_only=True, eq=False)
class LogSink:
    """A bounded queue of lines before a file descriptor.

    Attributes:
        fd: Where lines are written; it is made non-blocking.
        report: Returns the line that tells what was left out.
        most_bytes: How many bytes may wait.
        left_out: What was left out since the last report, by name.
        left_out_ever: How many lines were left out in all.
    """

    fd: int
    report: Callable[[dict[str, int]], bytes]
    most_bytes: int = MOST_BYTES
    left_out: dict[str, int] = attrs.field(factory=dict)
    left_out_ever: int = 0
    _lines: "collections.deque[_Line]" = attrs.field(factory=collections.deque)
    _kept: "collections.deque[_Line]" = attrs.field(factory=collections.deque)
    _bytes: int = 0
    _rest: bytes = b""
    _due: bool = False

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.fd, False)

    def put(self, name: str, data: bytes, *, kept: bool) -> None:
        """Take a line, or leave out one that matters less."""
        self._bytes += len(data)
        (self._kept if kept else self._lines).append(
            _Line(name=name, data=data, kept=kept)
        )
        while self._bytes > self.most_bytes:
            self._leave_out()
        self._schedule()

    def _leave_out(self) -> None:
        line = (self._lines or self._kept).popleft()
        self._bytes -= len(line.data)
        self.left_out[line.name] = self.left_out.get(line.name, 0) + 1
        self.left_out_ever += 1

    def _schedule(self, delay_s: float = GATHER_S) -> None:
        if self._due:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._due = True
        loop.call_later(delay_s, self._flush_due)

    def _flush_due(self) -> None:
        self._due = False
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self._rest or self._lines or self._kept:
            data = self._rest or self._next()
            try:
                sent = os.write(self.fd, data)
            except BlockingIOError:
                self._rest = data
                self._retry()
                return
            except OSError:
                # Nobody reads any more: there is no one to tell.
                self._lines.clear()
                self._kept.clear()
                self._rest = b""
                self._bytes = 0
                return
            self._rest = data[sent:]
        if self.left_out:
            told = self.report(self.left_out)
            self.left_out = {}
            self.put("log.left_out", told, kept=True)

    def _retry(self) -> None:
        try:
            asyncio.get_running_loop()
        except RuntimeError:
            return
        self._schedule(AGAIN_S)

    def _next(self) -> bytes:
        """Take the next whole lines; what must not be lost goes first."""
        longest = (self._kept or self._lines)[0]
        if len(longest.data) > MOST_A_WRITE:
            (self._kept or self._lines).popleft()
            self._bytes -= len(longest.data)
            return longest.data
        parts: list[bytes] = []
        size = 0
        for queue in (self._kept, self._lines):
            while queue and size + len(queue[0].data) <= MOST_A_WRITE:
                line = queue.popleft()
                parts.append(line.data)
                size += len(line.data)
        self._bytes -= size
        return b"".join(parts)
