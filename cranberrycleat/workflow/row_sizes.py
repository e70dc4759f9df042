"""Tells how near the largest row of a job is to the table's limit.

A job that would exceed it is stored in pages (see `job_pages`), whose sizes are bounded
by design and not counted; its head is.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from cranberrycleat import events
from cranberrycleat.logs import emit
from cranberrycleat.table import Put, value_bytes
from cranberrycleat.workflow.job_pages import PAGES

LEVELS: Final = (0.5, 0.8)
"""Shares of the limit; a line is logged when the largest row passes one of them."""


@attrs.define(kw_only=True, eq=False)
class RowSizes:
    """The sizes of the rows stored that take a good part of the limit.

    Attributes:
        large: Their sizes in bytes, by key.
        row_bytes: The limit, as last told.
    """

    large: dict[str, int] = attrs.field(factory=dict)
    row_bytes: int = 1
    _level: int = 0

    def stored(
        self, puts: Iterable[Put], deletes: Iterable[str], row_bytes: int
    ) -> None:
        """Record a stored transaction; log if the largest row passed a level."""
        self.row_bytes = row_bytes
        for put in puts:
            size = value_bytes(put.value)
            if put.key.startswith(f"{PAGES}/") or size < LEVELS[0] * row_bytes:
                self.large.pop(put.key, None)
            else:
                self.large[put.key] = size
        for key in deletes:
            self.large.pop(key, None)
        level = sum(self.share() >= each for each in LEVELS)
        if level == self._level:
            return
        self._level = level
        key = max(self.large, key=lambda each: self.large[each], default="")
        size = self.large.get(key, 0)
        emit(events.RowFill(key=key, size=size, limit=row_bytes))

    def share(self) -> float:
        """Return the size of the largest row as a share; 0 below the first level."""
        return max(self.large.values(), default=0) / self.row_bytes
