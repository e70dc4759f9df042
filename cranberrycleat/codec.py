"""JSON for messages: one pair of functions over msgspec.

Messages are attrs classes (see `messages`); msgspec encodes them as JSON
objects and checks types, with the place of the fault, when decoding.
"""

from typing import TypeVar

import msgspec

from cranberrycleat import errors

T = TypeVar("T")


def encode(value: object) -> bytes:
    """Return the message as JSON bytes."""
    return msgspec.json.encode(value)


def encode_text(value: object) -> str:
    """Return the message as JSON text, the form that table rows hold."""
    return msgspec.json.encode(value).decode()


def decode(data: bytes | str, kind: type[T], *, place: str = "body") -> T:
    """Decode and check one message.

    Args:
        data: JSON text.
        kind: The class to build.
        place: What to call the input in a finding.

    Raises:
        FindingsError: The text is not JSON, or not of that shape.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as exc:
        found = errors.finding(place, errors.MALFORMED, reason=str(exc))
        raise errors.FindingsError(findings=(found,)) from None
