"""How long to wait for an answer, learned from the answers that came.

Answers two patterns of the platform's store: an answer that is lost (waiting
long for it costs the owner its lease) and a store that is slow (giving up early
loses every answer). And workers that leave a start unanswered and carry it out
late: with a fixed limit of 0.5 s, 126 of 28,000 starts of a day came 0.58 s after
they were planned, which is all that a short job has. The limit follows the mean and
the deviation of the times seen, as a transport protocol's retransmission timer does,
and doubles with each answer that did not come.
"""

from typing import Final

import attrs

MIN_TIMEOUT_S: Final = 0.2
"""Ten times what a calm store takes with its way, and more than a host that
works five times slower needs to see the answer."""
MAX_TIMEOUT_S: Final = 0.7
"""A store slowed 60 times answers in 0.25 s, two of them queued in 0.5 s. Longer
limits delay the first call after an outage: 0.7 s is what that costs now."""
SMOOTHING_GAIN: Final = 0.2
DEVIATION_FACTOR: Final = 6.0


@attrs.define(kw_only=True)
class AnswerTimeout:
    """A time limit that follows what was measured.

    Attributes:
        mean_s: The smoothed time of an answer.
        deviation_s: Its smoothed deviation.
        misses: Answers in a row that did not come.
    """

    mean_s: float = 0.02
    deviation_s: float = 0.02
    misses: int = 0

    def limit_s(self) -> float:
        """Return how long to wait for the next answer."""
        wanted = max(MIN_TIMEOUT_S, self.mean_s + DEVIATION_FACTOR * self.deviation_s)
        return min(MAX_TIMEOUT_S, wanted * 2.0**self.misses)

    def answered(self, seconds: float) -> None:
        """Take in how long an answer took."""
        self.misses = 0
        error = seconds - self.mean_s
        self.mean_s += SMOOTHING_GAIN * error
        self.deviation_s += SMOOTHING_GAIN * (abs(error) - self.deviation_s)

    def missed(self) -> None:
        """Note that an answer did not come within the limit."""
        self.misses = min(self.misses + 1, 4)
