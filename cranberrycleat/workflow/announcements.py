"""Announcements of workers that they leave, which are final for their incarnations.

They outlive the worker's entry, which may lapse or be written anew, and the owner that
read them: the owner stores them with the jobs, and the next one restores them. A host
keeps those that it read as an earlier owner and may not have been able to store.
"""

from typing import Final

import attrs

from cranberrycleat import codec
from cranberrycleat.table import Put, value_bytes

ANNOUNCED: Final = "announced"
KEY: Final = f"{ANNOUNCED}/workers"
MAX_KEPT: Final = 1_000
"""Incarnations kept, the latest ones: those of two days where 360 workers are replaced
a day."""


@attrs.frozen(kw_only=True)
class _Row:
    """The stored form: incarnations, the latest last."""

    workers: tuple[str, ...]


@attrs.define(kw_only=True, eq=False)
class Announcements:
    """The incarnations that announced that they leave.

    Attributes:
        unstored: Whether there are some that were not written yet.
    """

    unstored: bool = False
    _incarnations: dict[str, None] = attrs.field(factory=dict)

    def __contains__(self, incarnation: str) -> bool:
        """Return whether an incarnation is known to have announced it."""
        return incarnation in self._incarnations

    def __len__(self) -> int:
        """Return how many are kept."""
        return len(self._incarnations)

    def add(self, incarnation: str) -> None:
        """Keep an announcement."""
        if incarnation in self._incarnations:
            return
        self._incarnations[incarnation] = None
        while len(self._incarnations) > MAX_KEPT:
            del self._incarnations[next(iter(self._incarnations))]
        self.unstored = True

    def take_put(self, row_bytes: int) -> Put:
        """Return the write of all that fit into a row of the table, the latest ones."""
        self.unstored = False
        kept = list(self._incarnations)
        put = _put(kept)
        while value_bytes(put.value) > row_bytes:
            fitting = len(kept) * row_bytes // value_bytes(put.value)
            kept = kept[-min(fitting, len(kept) - 1) :] if fitting else []
            put = _put(kept)
        return put

    def restore(self, text: str, place: str) -> None:
        """Add what an earlier owner stored, as older than all that is known.

        Raises:
            FindingsError: The row is malformed.
        """
        stored = codec.decode(text, _Row, place=place).workers
        known, self._incarnations = self._incarnations, {}
        for incarnation in (*stored, *known):
            self.add(incarnation)
        self.unstored = not known.keys() <= set(stored)

    def store_again(self) -> None:
        """Have all that are kept be written: the table has none."""
        self.unstored = bool(self._incarnations)


def _put(incarnations: list[str]) -> Put:
    return Put(key=KEY, value=codec.encode_text(_Row(workers=tuple(incarnations))))
