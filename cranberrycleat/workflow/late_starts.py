"""Tracks start orders that may still be carried out although their outcome is known.

A start that got no answer may be carried out seconds later. The incarnation that was
asked ignores it once the attempt has ended or was stopped there. A later incarnation
knows of neither, and carries it out unless it has received an order with a higher fence
(see `links`). Nothing prevents that in an incarnation that nobody has called yet, so
its effects are excluded instead, for as long as the platform may delay an order:

- the ends of the task are not acknowledged (`batches`), so that its completion is not
  final for the worker;
- the task is not placed again (`planner`);
- the attempt's resources stay reserved on the worker's identity (`fleet`) and charged
  to its workspace (`quota`), and it counts towards its step's limit per worker.

An order is carried out at most once. A start is stored as unanswered before a second
copy is sent (`links`), so a new owner knows that an attempt without such a row has at
most one start: once a worker lists the attempt, no other can be carried out.

A start that carries a permit is not tracked: a permit is valid for one incarnation. Nor
is one for a worker whose platform does not report births: such a worker gets another
identity when it restarts, and refuses orders for the previous one.

`cluster_state` adds, releases and expires the entries.
"""

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.workflow.quota import ChargeKey
from cranberrycleat.workflow.state import UnansweredStart

LateStartKey = tuple[str, str, int]
"""The worker's identity, the name of the task and the number of the attempt."""


def step_of(task: str) -> str:
    """Return the name of the step to which a task belongs."""
    return task.rpartition(".")[0]


@attrs.define(kw_only=True, eq=False)
class LateStart:
    """A start order that may still be carried out.

    Attributes:
        worker: The identity of the worker that was asked.
        start: The start, as it is stored.
        until: Until when it may be carried out, on the owner's clock.
        is_unanswered: Whether an answer failed to arrive; otherwise one may arrive yet.
        is_inherited: Whether an earlier owner sent it, at most once, and it is not
            known to be unanswered.
        charge: The quota charge that was kept when the attempt was released; None while
            the attempt still counts on its worker.
    """

    worker: str
    start: UnansweredStart
    until: float
    is_unanswered: bool = False
    is_inherited: bool = False
    charge: ChargeKey | None = None

    @property
    def key(self) -> LateStartKey:
        """The key of this entry."""
        return (self.worker, self.start.task, self.start.attempt)

    @property
    def job_id(self) -> str:
        """The job of the attempt."""
        return self.start.task.partition(".")[0]

    @property
    def is_released(self) -> bool:
        """Whether the attempt no longer counts on its worker."""
        return self.charge is not None


Index = dict[str, dict[LateStartKey, LateStart]]


@attrs.define(kw_only=True, eq=False)
class LateStarts:
    """The start orders of one owner that may still be carried out.

    Attributes:
        bound_s: How long after it was sent an order may still be carried out.
        run_on_s: How long what was carried out may run without a further order.
        entries: The entries, by key.
    """

    bound_s: float = 0.0
    run_on_s: float = 0.0
    entries: dict[LateStartKey, LateStart] = attrs.field(factory=dict)
    _by_group: Index = attrs.field(factory=dict)
    _by_worker: Index = attrs.field(factory=dict)
    _by_job: Index = attrs.field(factory=dict)

    def add(self, entry: LateStart) -> LateStart:
        """Add an entry, or extend the one for the same attempt; return it."""
        known = self.entries.get(entry.key)
        if known is not None:
            known.until = max(known.until, entry.until)
            return known
        self.entries[entry.key] = entry
        for index, name in self._indexes(entry):
            index.setdefault(name, {})[entry.key] = entry
        return entry

    def remove(self, key: LateStartKey) -> None:
        """Remove an entry; idempotent."""
        entry = self.entries.pop(key, None)
        if entry is None:
            return
        for index, name in self._indexes(entry):
            del index[name][key]
            if not index[name]:
                del index[name]

    def _indexes(self, entry: LateStart) -> tuple[tuple[Index, str], ...]:
        return (
            (self._by_group, entry.start.group),
            (self._by_worker, entry.worker),
            (self._by_job, entry.job_id),
        )

    def until(self, group: str) -> float:
        """Return until when a start of a task or gang may be carried out."""
        found = self._by_group.get(group, {}).values()
        return max((each.until for each in found), default=float("-inf"))

    def may_follow_end(self, task: str, now: float) -> bool:
        """Return whether a task that has ended may be started by an earlier order.

        Args:
            task: The task's name.
            now: The owner's clock.
        """
        return now < max(self.until(task), self.until(step_of(task)))

    def of_group(self, group: str) -> list[LateStart]:
        """Return the entries of a task or gang."""
        return list(self._by_group.get(group, {}).values())

    def of_worker(self, worker: str) -> list[LateStart]:
        """Return the entries of a worker's identity."""
        return list(self._by_worker.get(worker, {}).values())

    def reserved_on(self, worker: str) -> Amounts:
        """Return what the released attempts on a worker's identity still reserve."""
        total = NOTHING
        for entry in self.of_worker(worker):
            if entry.is_released:
                total = total.plus(entry.start.needs)
        return total

    def released_on(self, worker: str, step: str) -> set[str]:
        """Return the tasks of a step that a late start may begin on a worker."""
        return {
            entry.start.task
            for entry in self.of_worker(worker)
            if entry.is_released and step_of(entry.start.task) == step
        }

    def unanswered_of(self, job_id: str) -> tuple[UnansweredStart, ...]:
        """Return the starts of a job that are known to be unanswered."""
        entries = self._by_job.get(job_id, {}).values()
        return tuple(entry.start for entry in entries if entry.is_unanswered)
