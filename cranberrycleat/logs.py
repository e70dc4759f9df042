"""Logging: short sentences behind a fixed prefix for each part.

Each part takes its logger from `part_logger`; the prefix is the part's name.
The text form is for people, the JSON form for collectors.
"""

import logging
import sys
from typing import Final

import attrs

from cranberrycleat import codec

ROOT: Final = "cranberrycleat"


@attrs.frozen(kw_only=True)
class LogLine:
    """One log line in JSON form; `time` in seconds since the epoch."""

    time: float
    level: str
    part: str
    message: str


class _TextFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        part = record.name.removeprefix(ROOT + ".")
        text = f"{self.formatTime(record)} {record.levelname.lower()} "
        text += f"{part}: {record.getMessage()}"
        if record.exc_info:
            text += "\n" + self.formatException(record.exc_info)
        return text


class _JsonFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        message = record.getMessage()
        if record.exc_info:
            message += "\n" + self.formatException(record.exc_info)
        line = LogLine(
            time=record.created,
            level=record.levelname.lower(),
            part=record.name.removeprefix(ROOT + "."),
            message=message,
        )
        return codec.encode_text(line)


def set_up(*, level: str, form: str) -> None:
    """Send the project's logs to standard error.

    Args:
        level: A level name of `logging`, in lower case.
        form: `text` or `json`.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter() if form == "json" else _TextFormatter())
    logger = logging.getLogger(ROOT)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False


def part_logger(part: str) -> logging.Logger:
    """Return the logger of one part."""
    return logging.getLogger(f"{ROOT}.{part}")
