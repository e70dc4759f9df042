"""Tells a task that crashes its workers from one whose workers were lost.

A worker that crashes tells no ends, so that nothing but its loss shows what a task did
to it; and workers are lost for many reasons. Both faults cost: a task that is tried
for ever takes a worker, and all that runs there, with each start; and one that is given
up though it is sound is lost to its caller. So three things must come together:

- the attempt had only just begun (`SETTLED_S`). What has run for a while beside
  everything else is not what crashed its worker, and all earlier suspicion is over;
- it happened on several addresses, so that a machine that falls again and again
  incriminates itself and no task;
- the last time nothing else had just begun there, and no other worker was lost at that
  moment: a trial. What only stood beside a task that crashes its workers would else
  share its verdict, as both are lost at the same moments and placed anew together; and
  workers that are lost together may have a cause of their own.

A worker that answers again was cut off and never crashed: it is taken off the record.
However they were lost, no task takes more than `MOST_LOST` workers: what crashes them
after a while, or has few machines that it may run on, ends there. The last attempts
before that wait for a sound machine (`LossRecord.is_isolated`), so that they do not
meet the same disturbance as the first. That the record outlives its owner is `rows`'
matter; who is tried where, the planner's.
"""

from typing import Final

import attrs

CRASH_WINDOW_S: Final = 0.3
"""An attempt whose worker is heard so long after its beginning does not crash it. What
crashes it later ends at `MOST_LOST`; longer, more of what falls by chance is held
against sound tasks."""
CRASH_ADDRESS_LIMIT: Final = 3
"""Addresses at which a task must have crashed its worker, the last in a trial. The
platform allows two; the third keeps sound work that was beside it twice."""
LOST_WORKER_LIMIT: Final = 5
"""Workers that a task may lose for any reason. The platform forbids a sixth start of a
task that crashes its workers."""
ISOLATED_LAST_ATTEMPTS: Final = 2
"""Attempts before `MOST_LOST` that are trials, however the earlier ones were lost."""
ISOLATION_WAIT_S: Final = 3.0
"""How long a trial waits for a worker where nothing has just begun."""
TAKEOVER_ISOLATION_WAIT_S: Final = 1.0
"""How long it waits after a takeover: the new owner has to see which workers are lost,
and where owners change every few seconds the task must still begin."""


@attrs.frozen(kw_only=True)
class LostWorker:
    """A worker that was lost under an attempt of a task.

    Attributes:
        attempt: The attempt.
        worker: The worker's identity, of one life.
        address: Where it could be reached; empty if that is not known.
        early: Whether the attempt had only just begun.
    """

    attempt: int
    worker: str
    address: str
    early: bool


@attrs.define(kw_only=True, eq=False)
class LossRecord:
    """The workers that were lost under a task, or under a gang.

    Attributes:
        lost: Each of them, one for each attempt.
        changed_at: When one was added last, on the owner's clock.
    """

    lost: list[LostWorker] = attrs.field(factory=list)
    changed_at: float = 0.0

    def add_loss(self, loss: LostWorker, now: float) -> None:
        """Take in a loss; a gang that loses several workers at once loses one."""
        same = [each for each in self.lost if each.attempt == loss.attempt]
        if same and (same[0].early or not loss.early):
            return
        self.lost = [each for each in self.lost if each not in same]
        self.lost.append(loss)
        self.changed_at = now

    def record_takeover(self, now: float) -> None:
        """Note that another owner has taken over."""
        self.changed_at = now - ISOLATION_WAIT_S + TAKEOVER_ISOLATION_WAIT_S

    def clear(self, worker: str) -> bool:
        """Take off a worker that answers again; return whether it was there."""
        left = [each for each in self.lost if each.worker != worker]
        removed = len(left) < len(self.lost)
        self.lost = left
        return removed

    def attempt_survived(self, *, lasts: bool) -> bool:
        """Note that an attempt has settled; return whether that changes anything.

        Args:
            lasts: Whether the task lasts until it is cancelled. It meets so many
                losses in its life that their number says nothing.
        """
        before = self.lost
        cleared = [attrs.evolve(each, early=False) for each in before]
        self.lost = [] if lasts else cleared
        return self.lost != before

    def addresses(self) -> set[str]:
        """Return where its workers were lost."""
        return {each.address for each in self.lost if each.address}

    def next_crash_is_final(self) -> bool:
        """Tell whether its next loss may be its last, so that it must be a trial."""
        return self.crashes() >= CRASH_ADDRESS_LIMIT - 1

    def needs_isolation(self) -> bool:
        """Tell whether its next attempt is to begin where little else is at risk.

        While many workers are lost, a sound task that is tried again at once loses
        `MOST_LOST` of them within seconds. So the last attempts wait as trials do.
        """
        return (
            self.next_crash_is_final()
            or len(self.lost) >= LOST_WORKER_LIMIT - ISOLATED_LAST_ATTEMPTS
        )

    def isolation_wait_expired(self, now: float) -> bool:
        """Tell whether a trial has waited long enough for a quiet worker."""
        return now - self.changed_at >= ISOLATION_WAIT_S

    def limit_reached(self) -> bool:
        """Tell whether its task is to be given up."""
        return (
            self.crashes() >= CRASH_ADDRESS_LIMIT or len(self.lost) >= LOST_WORKER_LIMIT
        )

    def crashes(self) -> int:
        """Return at how many addresses it seems to have crashed its worker."""
        return len({each.address for each in self.lost if each.early})
