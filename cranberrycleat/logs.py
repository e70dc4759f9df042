"""Logging: typed events, and messages of the components' loggers.

`emit` logs a typed event (see `events`); `part_logger` returns the logger of a
component for everything else. In JSON form both are written to standard output through
one bounded sink that never blocks the process. In text form, for people at a terminal,
both are written to standard error.
"""

import logging
import sys
import time
from collections.abc import Callable
from typing import Any, Final

import attrs

from cranberrycleat import codec, events
from cranberrycleat.log_sink import LogSink

ROOT: Final = "cranberrycleat"
EVENTS: Final[logging.Logger] = logging.getLogger(f"{ROOT}.events")
LIBRARY_LOGGERS: Final = ("uvicorn.error", "asyncio")
"""Loggers of the libraries that handle connections."""
MAX_REPEATS: Final = 5
"""How many messages of a library that begin alike are written in an interval."""
REPEAT_INTERVAL_S: Final = 10.0
MESSAGE_START: Final = 40
MAX_MESSAGES: Final = 50
OTHER_MESSAGES: Final = ""
"""Counts the messages beyond `MAX_MESSAGES` different ones, which share a limit."""
MESSAGE: Final = "message"
"""The event name of a log message that is not a typed event."""


@attrs.frozen(kw_only=True)
class LogLine:
    """A log message in JSON form; `time` is in seconds since 1970."""

    time: float
    event: str
    host: str
    level: str
    part: str
    message: str


@attrs.define(kw_only=True)
class _State:
    """The log destination of this process, set once at startup."""

    sink: LogSink | None = None
    host: str = ""
    observer: Callable[[Any], None] | None = None


_STATE: Final = _State()


@attrs.define(kw_only=True, eq=False)
class _RepeatFilter(logging.Filter):
    """Drops repeated messages of a library, which a client may cause at will.

    Attributes:
        clock: Returns the time in seconds.
    """

    clock: Callable[[], float]
    _since: float = float("-inf")
    _counts: dict[str, int] = attrs.field(factory=dict)

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a message."""
        now = self.clock()
        if now - self._since > REPEAT_INTERVAL_S:
            dropped = sum(max(0, n - MAX_REPEATS) for n in self._counts.values())
            self._since = now
            self._counts = {}
            if dropped:
                record.msg = f"{record.getMessage()} ({dropped} earlier ones left out)"
                record.args = ()
        start = str(record.msg)[:MESSAGE_START]
        if len(self._counts) >= MAX_MESSAGES and start not in self._counts:
            start = OTHER_MESSAGES
        self._counts[start] = self._counts.get(start, 0) + 1
        return self._counts[start] <= MAX_REPEATS


class _TextFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        part = record.name.removeprefix(ROOT + ".")
        text = f"{self.formatTime(record)} {record.levelname.lower()} "
        text += f"{part}: {record.getMessage()}"
        if record.exc_info:
            text += "\n" + self.formatException(record.exc_info)
        return text


class _SinkHandler(logging.Handler):
    """Writes log messages to the sink as JSON lines."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one log message."""
        message = record.getMessage()
        if record.exc_info:
            message += "\n" + logging.Formatter().formatException(record.exc_info)
        line = LogLine(
            time=record.created,
            event=MESSAGE,
            host=_STATE.host,
            level=record.levelname.lower(),
            part=record.name.removeprefix(ROOT + "."),
            message=message,
        )
        essential = record.levelno >= logging.WARNING
        if _STATE.sink is not None:
            _STATE.sink.put(MESSAGE, codec.encode(line) + b"\n", essential=essential)


def set_up(*, level: str, form: str, host: str = "") -> None:
    """Configure the log output of this process.

    Args:
        level: A level name of `logging`, in lower case.
        form: `text` or `json`.
        host: The name of this process, added to every JSON line.
    """
    handler: logging.Handler
    _STATE.host = host
    if form == "json":
        _STATE.sink = LogSink(fd=sys.stdout.fileno(), report=_dropped_report)
        handler = _SinkHandler()
    else:
        _STATE.sink = None
        handler = logging.StreamHandler(sys.stderr)
        handler.setFormatter(_TextFormatter())
    logger = logging.getLogger(ROOT)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
    # Without a handler, Python writes their warnings to standard error as bare text.
    for name in LIBRARY_LOGGERS:
        library = logging.getLogger(name)
        library.handlers[:] = [handler]
        library.filters[:] = [_RepeatFilter(clock=time.monotonic)]
        library.setLevel(logging.WARNING)
        library.propagate = False


def set_host_name(host: str) -> None:
    """Set the process name that is added to every JSON line."""
    _STATE.host = host


def set_observer(observer: Callable[[Any], None] | None) -> None:
    """Set a function that receives every event, such as the metrics; None for none."""
    _STATE.observer = observer


def flush() -> None:
    """Write the pending lines, as far as the reader accepts them."""
    if _STATE.sink is not None:
        _STATE.sink.flush()


def dropped_lines() -> int:
    """Return how many lines were dropped since startup."""
    return 0 if _STATE.sink is None else _STATE.sink.dropped_total


def part_logger(part: str) -> logging.Logger:
    """Return the logger of a component."""
    return logging.getLogger(f"{ROOT}.{part}")


def emit(event: Any) -> None:
    """Log one typed event of `events`."""
    kind = events.KINDS[type(event)]
    if _STATE.observer is not None:
        _STATE.observer(event)
    if _STATE.sink is not None:
        if EVENTS.isEnabledFor(logging.INFO):
            line = encode_event(event, kind.name, time.time(), _STATE.host)
            _STATE.sink.put(kind.name, line, essential=kind.essential)
    elif EVENTS.isEnabledFor(logging.INFO):
        EVENTS.info("%s %s", kind.name, codec.encode_text(event))


def encode_event(event: Any, name: str, at: float, host: str) -> bytes:
    """Encode an event as a line: time, name and host, followed by its fields."""
    head = f'{{"time":{at:.4f},"event":"{name}","host":"{host}"'
    fields = codec.encode(event)
    separator = b"" if fields == b"{}" else b","
    return head.encode() + separator + fields[1:] + b"\n"


def _dropped_report(by_event: dict[str, int]) -> bytes:
    event = events.LogLeftOut(lines=sum(by_event.values()), by_event=by_event)
    kind = events.KINDS[events.LogLeftOut]
    return encode_event(event, kind.name, time.time(), _STATE.host)
