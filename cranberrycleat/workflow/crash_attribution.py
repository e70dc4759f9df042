"""Distinguishes tasks that crash their workers from tasks whose workers were lost.

A worker that crashes reports no task ends, so its loss is the only evidence of what a
task did to it, and workers are lost for many other reasons too. Errors in both
directions are expensive: a task that is retried for ever takes down a worker, and
everything that runs there, with each start; a healthy task that is failed is lost to
its caller. So each loss has a kind, and `EVIDENCE` says what a kind counts for. A loss
is held against its task only if all of the following hold:

- The attempt had only just begun (`CRASH_WINDOW_S`). An attempt that has run for a
  while beside other tasks is not what crashed its worker, and it clears all earlier
  suspicion of its task.
- At that moment no other worker was lost with a common cause. Where the attempt was
  isolated, no other worker at all was lost, nothing else had just begun there, and the
  machine had not failed shortly before.

A worker that answers again was partitioned and did not crash, so it is removed from the
record. The job is failed after such losses at `CRASH_ADDRESS_LIMIT` addresses, so that
a machine that fails repeatedly is not attributed to a task. The last attempt before
that is isolated: tasks that merely ran beside one that crashes its workers are lost at
the same moments and are placed together again.

A task that crashes its workers amid other failures, amid changes of owner or on few
machines is stopped by `START_LOSS_LIMIT`: it counts all attempts that were lost before
any owner saw one outlive the window. Other losses never fail a task, however many there
are. `rows` stores the record so that it survives a change of owner; the planner decides
where isolated attempts are placed.
"""

import enum
from collections.abc import Mapping
from typing import Final

import attrs

from cranberrycleat.workflow.options import OWNER_LEASE_S

CRASH_WINDOW_S: Final = 0.3
"""An attempt whose worker still answers this long after the attempt began is not held
responsible for a crash; with a longer window more coincidental failures would be
attributed to healthy tasks."""
CRASH_ADDRESS_LIMIT: Final = 3
"""Number of addresses at which a task must have crashed its worker, the last time in an
isolated attempt. The platform allows two; the third protects healthy tasks that were
beside the crashing one twice."""
START_LOSS_LIMIT: Final = 5
"""Number of attempts that may be lost just after they began, until one outlives the
crash window. The platform forbids a sixth start of a task that crashes its workers.
Nobody can tell such a task from one that other failures meet five times in a row, the
last two times isolated; several that are handed in together explain each other's."""
UNOBSERVED_S: Final = 2 * OWNER_LEASE_S
"""How long before a takeover an attempt may have been placed for the earlier owner to
have died without seeing how long the attempt ran."""
SUSPECT_LOSSES: Final = 3
"""Number of losses that may have been crashes after which attempts are isolated: while
many workers are lost, a healthy task that is retried at once would lose
`START_LOSS_LIMIT` of them to one disturbance."""
MAX_LOSSES_KEPT: Final = 8
"""How many losses a record keeps; a long task may lose workers for days."""
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
    """An owner lost sight of it before it had outlived the crash window, and the worker
    was found to have ended by a later one."""
    UNKNOWN = "unknown"
    """An earlier owner started it, and how long it ran is not known."""
    LATER = "later"
    """It had outlived the crash window."""
    OUTLIVED = "outlived"
    """Like the first four, but a later attempt has outlived the crash window."""


class Evidence(enum.IntEnum):
    """What a loss counts for; each value includes the lower ones."""

    NONE = 0
    SUSPECT = 1
    """It may have been a crash: counts towards `SUSPECT_LOSSES`."""
    AT_START = 2
    """Counts towards `START_LOSS_LIMIT`."""
    CRASH = 3
    """Its address counts towards `CRASH_ADDRESS_LIMIT`."""


EVIDENCE: Final[Mapping[LossKind, Evidence]] = {
    LossKind.CRASH: Evidence.CRASH,
    LossKind.COINCIDENT: Evidence.AT_START,
    LossKind.UNOBSERVED: Evidence.AT_START,
    LossKind.UNKNOWN: Evidence.SUSPECT,
    LossKind.LATER: Evidence.NONE,
    LossKind.OUTLIVED: Evidence.NONE,
}


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
    def evidence(self) -> Evidence:
        """What the loss counts for."""
        return EVIDENCE[self.kind]


@attrs.define(kw_only=True, eq=False)
class LossRecord:
    """The workers that were lost under a task or a gang.

    Attributes:
        lost: The lost workers, at most one for each attempt.
        undecided: The lost workers whose losses fail the task if they are crashes,
            while that is not settled. Meanwhile the losses are recorded as coincident,
            and the task is not placed.
        changed_at: When one was added last, on the owner's clock. A takeover shifts it
            so that the remaining wait is `TAKEOVER_ISOLATION_WAIT_S`.
    """

    lost: list[LostWorker] = attrs.field(factory=list)
    undecided: set[str] = attrs.field(factory=set)
    changed_at: float = 0.0

    def add_loss(self, loss: LostWorker, now: float) -> None:
        """Record a loss; a gang that loses several workers at once counts one."""
        added = self._with(loss)
        if added is not self.lost:
            self.lost = added
            self.changed_at = now

    def _with(self, loss: LostWorker) -> list[LostWorker]:
        """Return the losses with one more; the same list if it adds nothing."""
        same = [each for each in self.lost if each.attempt == loss.attempt]
        if same and same[0].evidence >= loss.evidence:
            return self.lost
        kept = [each for each in self.lost if each not in same]
        if len(kept) >= MAX_LOSSES_KEPT:
            kept.remove(min(kept, key=lambda each: each.evidence))
        return [*kept, loss]

    def would_fail_task(self, loss: LostWorker) -> bool:
        """Return whether the task is to be failed only if a loss is a crash."""
        otherwise = attrs.evolve(loss, kind=LossKind.COINCIDENT)
        return LossRecord(lost=self._with(loss)).limit_reached() and not (
            LossRecord(lost=self._with(otherwise)).limit_reached()
        )

    def confirm(self, loss: LostWorker, now: float) -> bool:
        """Record that a loss is a crash; return whether that changes the record.

        Nothing changes if a later attempt has outlived the crash window since.
        """
        if any(
            each.attempt == loss.attempt and not each.evidence for each in self.lost
        ):
            return False
        before = self.lost
        self.add_loss(loss, now)
        return self.lost is not before

    def exonerate(self, loss: LostWorker) -> bool:
        """Record that a loss is not a crash; return whether it was recorded as one."""
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
            (attrs.evolve(each, kind=LossKind.OUTLIVED) if each.evidence else each)
            for each in before
        ]
        self.lost = [] if lasts else cleared
        return self.lost != before

    def has_evidence(self) -> bool:
        """Return whether any loss counts for anything."""
        return any(each.evidence for each in self.lost)

    def addresses(self) -> set[str]:
        """Return the addresses at which workers were lost."""
        return {each.address for each in self.lost if each.address}

    def next_crash_is_final(self) -> bool:
        """Return whether one more crash fails the task, so it must be isolated."""
        return self.crashes() >= CRASH_ADDRESS_LIMIT - 1

    def needs_isolation(self) -> bool:
        """Return whether the next attempt must be isolated from other starts."""
        return self.next_crash_is_final() or (
            self._count(Evidence.SUSPECT) >= SUSPECT_LOSSES
        )

    def isolation_wait_expired(self, now: float) -> bool:
        """Return whether an isolated attempt has waited long enough."""
        return now - self.changed_at >= ISOLATION_WAIT_S

    def limit_reached(self) -> bool:
        """Return whether the task is to be failed."""
        return (
            self.crashes() >= CRASH_ADDRESS_LIMIT
            or self._count(Evidence.AT_START) >= START_LOSS_LIMIT
        )

    def crashes(self) -> int:
        """Return at how many addresses the task appears to have crashed its worker."""
        return len(
            {each.address for each in self.lost if each.evidence is Evidence.CRASH}
        )

    def _count(self, at_least: Evidence) -> int:
        return sum(each.evidence >= at_least for each in self.lost)
