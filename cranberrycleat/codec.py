"""JSON encoding and decoding of messages with msgspec.

Messages are attrs classes (see `messages`). msgspec encodes them as JSON objects; when
decoding, it checks types and reports the path of a fault.
"""

from typing import Final, TypeVar

import msgspec

from cranberrycleat import errors

T = TypeVar("T")
MAX_INTEGER: Final = 2**53 - 1
"""The largest integer that every reader of JSON represents exactly."""
UNDECODABLE: Final = (msgspec.DecodeError, RecursionError)
"""What decoding any text may raise. Text that is nested too deeply, also within a field
that is ignored, raises an error of its own."""


def encode(value: object) -> bytes:
    """Encode a message as JSON bytes."""
    return msgspec.json.encode(value)


def encode_text(value: object) -> str:
    """Encode a message as JSON text, the form used in table rows."""
    return msgspec.json.encode(value).decode()


def decode(data: bytes | str, kind: type[T], *, place: str = "body") -> T:
    """Decode and validate a message.

    Args:
        data: JSON text.
        kind: The class to build.
        place: The name of the input in a finding.

    Raises:
        FindingsError: The text is not JSON, or does not match the class.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except UNDECODABLE as exc:
        found = errors.finding(place, errors.MALFORMED, reason=str(exc))
        raise errors.FindingsError(findings=(found,)) from None
