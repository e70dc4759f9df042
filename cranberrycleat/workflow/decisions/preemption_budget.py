"""Limits how much work is preempted: a budget for each pool, and a wait for each task.

The state is in the owner's memory. Another owner cannot know what its predecessor
preempted, so it begins with empty budgets and lets every task run for the full wait.
"""

from typing import Final

import attrs

POOL_FRACTION: Final = 0.01
"""Fraction of a pool's processor time that preemption may cost. Short jobs need 9% of
the pool; a cost of one tenth of that cannot become the cause of an overload."""
DEPTH_S: Final = 5.0
"""How many seconds' worth of the budget can be saved up: the length of a burst of short
jobs that waits for tasks of 3 to 5 s to end."""
VICTIM_INTERVAL_S: Final = 6.0
"""Minimum time between two preemptions of a task. Tasks that checkpoint run for 3 to
5 s, so that most of them end in between."""


@attrs.define(kw_only=True, eq=False)
class Budget:
    """A token bucket of core-seconds, empty at first.

    Attributes:
        rate: Core-seconds per second.
        tokens: What is left; negative after a preemption that cost more than the
            bucket holds.
        refilled_at: When it was last refilled, on the owner's clock.
    """

    rate: float
    refilled_at: float
    tokens: float = 0.0

    def refill(self, rate: float, now: float) -> None:
        """Add what has accrued, up to the depth however far the clock jumps."""
        self.rate = rate
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        self.tokens = min(self.depth, self.tokens + rate * elapsed_s)

    @property
    def depth(self) -> float:
        """The most that it holds."""
        return self.rate * DEPTH_S

    def affords(self, cost_core_s: float, *, is_first: bool) -> bool:
        """Return whether a cost may be incurred.

        A full bucket affords the first victims of a step at any cost and is then in
        debt. Otherwise nothing could ever be preempted in a pool that is small compared
        with its tasks.
        """
        if cost_core_s <= self.tokens:
            return True
        return is_first and self.tokens >= self.depth > 0

    def spend(self, cost_core_s: float) -> None:
        """Incur a cost."""
        self.tokens -= cost_core_s


@attrs.define(kw_only=True, eq=False)
class VictimHistory:
    """When tasks were preempted, as far as this owner knows.

    Attributes:
        since: When this owner planned first; None before.
    """

    since: float | None = None
    _preempted_at: dict[str, float] = attrs.field(factory=dict)

    def begin_round(self, now: float) -> None:
        """Forget what is older than the wait."""
        if self.since is None:
            self.since = now
        old = [
            task
            for task, at in self._preempted_at.items()
            if now - at >= VICTIM_INTERVAL_S
        ]
        for task in old:
            del self._preempted_at[task]

    def record(self, task: str, now: float) -> None:
        """Record that a task is preempted."""
        self._preempted_at[task] = now

    def allows(self, task: str, now: float) -> bool:
        """Return whether a task may be preempted."""
        if self.since is None or now - self.since < VICTIM_INTERVAL_S:
            return False
        return task not in self._preempted_at
