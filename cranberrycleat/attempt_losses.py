"""Distinguishes tasks of a shard that crash their workers from those that lose them.

A worker that crashes reports no failure, so its loss is the only evidence of what a
task did to it. Each loss has a kind, and `crash_attribution.EVIDENCE` says what a kind
counts for, as for jobs of several steps. A task is failed after `START_LOSS_LIMIT`
losses in a row of attempts that had just begun, `MIN_UNEXPLAINED` of which nothing but
the task explains. The third machine is not conclusive here, since a shard isolates no
attempts.

Other workers that failed at the same moment explain a loss, unless attempts had just
begun there too: several jobs that crash their workers must not pass for a common cause.
"""

import logging
import math
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat.inventory import WorkerInventory
from cranberrycleat.jobs import JobRow, TaskRecord, task_id
from cranberrycleat.logs import part_logger
from cranberrycleat.workflow.crash_attribution import (
    EVIDENCE,
    START_LOSS_LIMIT,
    Evidence,
    LossKind,
    LossRecord,
    LostWorker,
)
from cranberrycleat.workflow.worker_failures import (
    MIN_COMMON_CAUSE_FAILURES,
    WorkerFailure,
    WorkerFailures,
)

LOG: Final[logging.Logger] = part_logger("losses")
MIN_UNEXPLAINED: Final = 2
"""Number of the losses that must have no explanation but the task. The platform allows
to give up a task under which two workers have crashed."""
FAILURES_KEPT_S: Final = 60.0
"""How long the failure of a lost worker is kept, to see whether others coincide with it
that are detected later."""


@attrs.define(kw_only=True, eq=False)
class WorkerContact:
    """The incarnation of a worker that answered this owner last.

    Attributes:
        incarnation: The incarnation.
        heard_at: When it last answered.
        leaving: Whether it was leaving.
        failure: Its failure, once it is found silent or replaced.
    """

    incarnation: str
    heard_at: float = 0.0
    leaving: bool = False
    failure: WorkerFailure | None = None


@attrs.define(kw_only=True, eq=False)
class AttemptLosses:
    """The worker failures that a shard's owner observed, and what they count for.

    Attributes:
        now: Returns the time on the shard's clock.
        inventory: The shard's workers.
        contacts: The workers that have answered, by name.
        failures: Their failures.
    """

    now: Callable[[], float]
    inventory: WorkerInventory
    contacts: dict[str, WorkerContact] = attrs.field(factory=dict)
    failures: WorkerFailures = attrs.field(factory=WorkerFailures)
    _failure_of: dict[str, WorkerFailure] = attrs.field(factory=dict)

    def worker_responded(self, name: str, incarnation: str) -> bool:
        """Record that an incarnation of a worker responded.

        Returns:
            Whether it may have been lost before, under this owner or an earlier one.
        """
        contact = self.contacts.get(name)
        maybe_lost = True
        if contact is None or contact.incarnation != incarnation:
            contact = self.contacts[name] = WorkerContact(incarnation=incarnation)
        else:
            maybe_lost = contact.failure is not None
        contact.heard_at, contact.failure = self.now(), None
        return maybe_lost

    @staticmethod
    def clear(job: JobRow, name: str, incarnation: str) -> bool:
        """Remove a worker that answers again from a job's losses: it did not crash.

        Returns:
            Whether it was on record.
        """
        cleared = False
        for record in job.tasks:
            held = LossRecord(lost=job.losses.get(record.index, []))
            if held.clear(_worker_id(name, incarnation)):
                record.crashes -= 1
                job.losses[record.index] = held.lost
                cleared = True
        return cleared

    def heard_at(self, name: str) -> float:
        """Return when a worker last answered; minus infinity for never."""
        contact = self.contacts.get(name)
        return contact.heard_at if contact is not None else -math.inf

    def worker_leaving(self, name: str) -> None:
        """Record that a worker is leaving."""
        if name in self.contacts:
            self.contacts[name].leaving = True

    def forget_worker(self, name: str) -> None:
        """Remove a worker that is gone."""
        self.contacts.pop(name, None)

    def worker_failed(self, name: str, just_begun: frozenset[str]) -> None:
        """Record that a worker was found silent or replaced, unless that is known.

        Args:
            name: The worker.
            just_begun: The jobs with attempts there that had just begun.
        """
        contact = self.contacts.get(name)
        if contact is None or contact.failure is not None:
            return
        contact.failure = WorkerFailure(
            last_heard_at=contact.heard_at,
            detected_at=self.now(),
            jobs=just_begun,
            racks=frozenset({self.inventory.workers[name].rack}),
        )
        self.failures.record_failure(name, contact.failure)

    @staticmethod
    def attempt_survived(job: JobRow, record: TaskRecord) -> bool:
        """Clear a task whose attempt ran for a while; return whether it had losses."""
        had_losses = record.crashes > 0
        record.crashes = 0
        job.losses.pop(record.index, None)
        return had_losses

    def record_loss(self, job: JobRow, record: TaskRecord, *, stable: bool) -> bool:
        """Record that an attempt that may have begun was lost with its worker.

        Args:
            job: The job.
            record: The task.
            stable: Whether the attempt had run for a while.

        Returns:
            Whether the task is taken to crash its workers.
        """
        kind = self._kind_of(record.worker, stable=stable)
        task, told = task_id(job.spec.name, record.index), (
            kind.value if kind else "none"
        )
        LOG.info("Lost attempt %d of %s (%s).", record.attempt, task, told)
        if kind is None:
            return False
        if EVIDENCE[kind] < Evidence.AT_START:
            self.attempt_survived(job, record)
            return False
        record.crashes += 1
        # Workers that fail together are not found to have failed at the same time. So
        # the earlier losses are judged again, and the latest is not held against the
        # task as unexplained yet.
        earlier = [self._judge_again(loss) for loss in job.losses.get(record.index, ())]
        held = LossRecord(lost=earlier)
        held.add_loss(self._lost_worker(record, kind), self.now())
        job.losses[record.index] = held.lost
        unexplained = sum(each.kind is LossKind.CRASH for each in earlier)
        if record.crashes < START_LOSS_LIMIT or unexplained < MIN_UNEXPLAINED:
            return False
        lost = ", ".join(f"{each.worker} ({each.kind.value})" for each in held.lost)
        LOG.warning("Task %s is taken to crash its workers: %s.", task, lost)
        return True

    def _kind_of(self, name: str, *, stable: bool) -> LossKind | None:
        """Return what is known of a loss; None if its worker left or never answered."""
        contact = self.contacts.get(name)
        if stable:
            return LossKind.LATER
        if contact is None or contact.failure is None or contact.leaving:
            return None
        explained = self._is_explained(name, contact.failure)
        return LossKind.COINCIDENT if explained else LossKind.CRASH

    def _is_explained(self, name: str, failure: WorkerFailure) -> bool:
        """Return whether others share the cause by which a worker failed."""
        workers = self.inventory.workers.values()
        rack = {each.name for each in workers if each.rack in failure.racks} - {name}
        correlated = self.failures.correlated_with(name, rack, failure)
        others = sum(not each.jobs for each in correlated.all_failures)
        return others >= MIN_COMMON_CAUSE_FAILURES or any(
            not each.jobs for each in correlated.rack
        )

    def _lost_worker(self, record: TaskRecord, kind: LossKind) -> LostWorker:
        contact = self.contacts[record.worker]
        name = _worker_id(record.worker, contact.incarnation)
        since = self.now() - FAILURES_KEPT_S
        self._failure_of = {
            worker: failure
            for worker, failure in self._failure_of.items()
            if failure.detected_at >= since
        }
        if contact.failure is not None:
            self._failure_of[name] = contact.failure
        return LostWorker(
            attempt=record.attempt, worker=name, address=record.worker, kind=kind
        )

    def _judge_again(self, loss: LostWorker) -> LostWorker:
        failure = self._failure_of.get(loss.worker)
        if failure is None or not self._is_explained(loss.address, failure):
            return loss
        return attrs.evolve(loss, kind=LossKind.COINCIDENT)


def _worker_id(name: str, incarnation: str) -> str:
    """Return the name of one incarnation of a worker."""
    return f"{name}#{incarnation}"
