"""An adaptive time limit for answers, derived from the answer times measured.

It covers two faults of the platform's table: an answer that is lost (waiting long for
it costs the owner its lease) and a table that is slow (giving up early loses every
answer). It also covers workers that leave a start unanswered and carry it out late:
with a fixed limit of 0.5 s, 126 of 28,000 starts began 0.58 s after they were
planned, which is all the time that a short job has. The limit follows the mean and the
deviation of the measured times, like the retransmission timer of a transport protocol,
and doubles with each answer that does not come.
"""

from typing import Final

import attrs

MIN_TIMEOUT_S: Final = 0.2
"""Ten times what a lightly loaded table takes including the network, and more than a
host that runs five times slower needs to receive the answer."""
MAX_TIMEOUT_S: Final = 0.7
"""A table slowed 60 times answers in 0.25 s, and two queued answers take 0.5 s. A
longer limit delays the first call after an outage, by up to 0.7 s as it stands."""
SMOOTHING_GAIN: Final = 0.2
DEVIATION_FACTOR: Final = 6.0


@attrs.define(kw_only=True)
class AnswerTimeout:
    """A time limit that follows the measured answer times.

    Attributes:
        mean_s: The smoothed answer time.
        deviation_s: Its smoothed deviation.
        misses: Number of consecutive answers that did not come.
    """

    mean_s: float = 0.02
    deviation_s: float = 0.02
    misses: int = 0

    def limit_s(self) -> float:
        """Return how long to wait for the next answer."""
        wanted = max(MIN_TIMEOUT_S, self.mean_s + DEVIATION_FACTOR * self.deviation_s)
        return min(MAX_TIMEOUT_S, wanted * 2.0**self.misses)

    def answered(self, seconds: float) -> None:
        """Record how long an answer took."""
        self.misses = 0
        error = seconds - self.mean_s
        self.mean_s += SMOOTHING_GAIN * error
        self.deviation_s += SMOOTHING_GAIN * (abs(error) - self.deviation_s)

    def missed(self) -> None:
        """Record that an answer did not come within the limit."""
        self.misses = min(self.misses + 1, 4)
