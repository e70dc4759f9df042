"""Distinguishes tasks that crash their workers from tasks whose workers were lost.

A worker that crashes reports no task ends, so its loss is the only evidence of what a
task did to it, and workers are lost for many other reasons too. Errors in both
directions are expensive: a task that is retried for ever takes down a worker, and
everything that runs there, with each start; a healthy task that is failed is lost to
its caller. A task is therefore held responsible only if all of the following hold:

- The attempt had only just begun (`CRASH_WINDOW_S`). An attempt that has run for a
  while beside other tasks is not what crashed its worker, and it clears all earlier
  suspicion of its task.
- It happened at several addresses, so that a machine that fails repeatedly is not
  attributed to a task.
- At the last loss nothing else had just begun on the worker, no other worker was lost
  at that moment, and the machine had not failed shortly before. Such an attempt is
  called isolated. Without it, tasks that merely
  ran beside one that crashes its workers would be held responsible with it, since they
  are lost at the same moments and are placed together again; and workers that are lost
  together may have a cause in common.

A worker that answers again was partitioned and did not crash, so it is removed from the
record. Whatever the reasons, no task may lose more than `LOST_WORKER_LIMIT` workers:
this stops tasks that crash a worker only after a while, and tasks that may run on few
machines. The last attempts before that limit wait for a stable machine
(`LossRecord.needs_isolation`), so that they are not lost to the same disturbance as the
first ones. `rows` stores the record so that it survives a change of owner; the planner
decides where isolated attempts are placed.
"""

import enum
from typing import Final

import attrs

CRASH_WINDOW_S: Final = 0.3
"""An attempt whose worker still answers this long after the attempt began is not held
responsible for a crash. A task that crashes its worker later is stopped by
`LOST_WORKER_LIMIT`; with a longer window more coincidental failures would be attributed
to healthy tasks."""
CRASH_ADDRESS_LIMIT: Final = 3
"""Number of addresses at which a task must have crashed its worker, the last time in an
isolated attempt. The platform allows two; the third protects healthy tasks that were
beside the crashing one twice."""
LOST_WORKER_LIMIT: Final = 5
"""Number of workers that a task may lose for any reason. The platform forbids a sixth
start of a task that crashes its workers."""
ISOLATED_LAST_ATTEMPTS: Final = 2
"""Number of attempts before `LOST_WORKER_LIMIT` that are isolated, however the earlier
workers were lost."""
ISOLATION_WAIT_S: Final = 3.0
"""How long an isolated attempt waits for a stable worker on which nothing has just
begun."""
TAKEOVER_ISOLATION_WAIT_S: Final = 1.0
"""The same wait after a takeover. The new owner must first observe which workers are
lost, but the task must still start where owners change every few seconds."""


class LossKind(enum.Enum):
    """What is known of an attempt whose worker was lost; the values are stored."""

    CRASH = "crash"
    """It had only just begun, and nothing else explains the loss."""
    COINCIDENT = "coincident"
    """It had only just begun, but the loss may have another cause."""
    UNOBSERVED = "unobserved"
    """An earlier owner started it; this one does not know how long it ran."""
    LATER = "later"
    """It had outlived the crash window."""
    OUTLIVED = "outlived"
    """It had only just begun, but a later attempt outlived the crash window."""


@attrs.frozen(kw_only=True)
class LostWorker:
    """A worker that was lost while it ran an attempt of a task.

    Attributes:
        attempt: The attempt number.
        worker: The worker's incarnation name.
        address: The worker's address; empty if unknown.
        kind: What is known of the attempt.
        proof: How it was proved that the attempt is over.
        epoch: The epoch of the owner that recorded the loss.
        recorded_s: When it did, in seconds since 1970.
    """

    attempt: int
    worker: str
    address: str
    kind: LossKind
    proof: str = ""
    epoch: int = 0
    recorded_s: float = 0.0

    @property
    def early(self) -> bool:
        """Whether the loss suggests that the attempt crashed the worker."""
        return self.kind is LossKind.CRASH


@attrs.define(kw_only=True, eq=False)
class LossRecord:
    """The workers that were lost under a task or a gang.

    Attributes:
        lost: The lost workers, at most one for each attempt.
        undecided: The lost workers whose losses fail the task if they are crashes,
            while that is not settled. Meanwhile the losses are not recorded as early,
            and the task is not placed.
        changed_at: When one was added last, on the owner's clock. A takeover shifts it
            so that the remaining wait is `TAKEOVER_ISOLATION_WAIT_S`.
    """

    lost: list[LostWorker] = attrs.field(factory=list)
    undecided: set[str] = attrs.field(factory=set)
    changed_at: float = 0.0

    def add_loss(self, loss: LostWorker, now: float) -> None:
        """Record a loss; a gang that loses several workers at once counts one."""
        same = [each for each in self.lost if each.attempt == loss.attempt]
        if same and (same[0].early or not loss.early):
            return
        self.lost = [each for each in self.lost if each not in same]
        self.lost.append(loss)
        self.changed_at = now

    def would_fail_task(self, loss: LostWorker) -> bool:
        """Return whether the task is to be failed only if a loss is a crash."""
        addresses = {each.address for each in self.lost if each.early}
        return (
            len(addresses | {loss.address}) >= CRASH_ADDRESS_LIMIT
            and len({loss.attempt, *(each.attempt for each in self.lost)})
            < LOST_WORKER_LIMIT
        )

    def exonerate(self, loss: LostWorker) -> bool:
        """Record that an early loss is not a crash; return whether it was recorded."""
        if loss not in self.lost:
            return False
        at = self.lost.index(loss)
        self.lost[at] = attrs.evolve(loss, kind=LossKind.COINCIDENT)
        return True

    def record_takeover(self, now: float) -> None:
        """Shorten the isolation wait after another owner has taken over."""
        self.changed_at = now - ISOLATION_WAIT_S + TAKEOVER_ISOLATION_WAIT_S

    def clear(self, worker: str) -> bool:
        """Remove a worker that answers again; return whether it was recorded."""
        self.undecided.discard(worker)
        left = [each for each in self.lost if each.worker != worker]
        removed = len(left) < len(self.lost)
        self.lost = left
        return removed

    def attempt_survived(self, *, lasts: bool) -> bool:
        """Record that an attempt survived; return whether that changes the record.

        Args:
            lasts: Whether the task runs until it is cancelled. Such a task runs
                through so many losses that their number means nothing.
        """
        before = self.lost
        cleared = [
            attrs.evolve(each, kind=LossKind.OUTLIVED) if each.early else each
            for each in before
        ]
        self.lost = [] if lasts else cleared
        return self.lost != before

    def addresses(self) -> set[str]:
        """Return the addresses at which workers were lost."""
        return {each.address for each in self.lost if each.address}

    def next_crash_is_final(self) -> bool:
        """Return whether one more crash fails the task, so it must be isolated."""
        return self.crashes() >= CRASH_ADDRESS_LIMIT - 1

    def needs_isolation(self) -> bool:
        """Return whether the next attempt must be isolated from other starts.

        While many workers are lost, a healthy task that is retried at once loses
        `LOST_WORKER_LIMIT` of them within seconds. So the last attempts before that
        limit are isolated as well.
        """
        return (
            self.next_crash_is_final()
            or len(self.lost) >= LOST_WORKER_LIMIT - ISOLATED_LAST_ATTEMPTS
        )

    def isolation_wait_expired(self, now: float) -> bool:
        """Return whether an isolated attempt has waited long enough."""
        return now - self.changed_at >= ISOLATION_WAIT_S

    def limit_reached(self) -> bool:
        """Return whether the task is to be failed."""
        return (
            self.crashes() >= CRASH_ADDRESS_LIMIT or len(self.lost) >= LOST_WORKER_LIMIT
        )

    def crashes(self) -> int:
        """Return at how many addresses the task appears to have crashed its worker."""
        return len({each.address for each in self.lost if each.early})
