"""Pauses between retries that grow and differ at random.

This module can be imported on its own and needs neither clock nor table.
"""

import random
from typing import Final

import attrs

JITTER: Final = 0.25
"""Share by which a pause is longer or shorter, so that retries that began together do
not stay together."""


@attrs.define(kw_only=True)
class Backoff:
    """The pauses of one series of retries: each is twice as long as the one before.

    Attributes:
        first_s: The first pause, without jitter.
        max_s: The longest pause, without jitter.
        rng: The random source.
    """

    first_s: float
    max_s: float
    rng: random.Random = attrs.field(factory=random.Random)
    _next_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.reset()

    def next_s(self) -> float:
        """Return the next pause, in seconds."""
        pause_s = self._next_s
        self._next_s = min(self.max_s, 2 * pause_s)
        return pause_s * self.rng.uniform(1 - JITTER, 1 + JITTER)

    def reset(self) -> None:
        """Begin again with the first pause, after a success."""
        self._next_s = min(self.first_s, self.max_s)
