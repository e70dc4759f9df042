"""In-memory state of one shard, held by the shard's owner.

Invariant: changes made here are written to the table before anything acts on
them. Every change marks its job dirty and `dirty_puts` returns the rows to write.
Only after the write has been confirmed does the owner order a start (`orders`) or
acknowledge an outcome to a worker.

A task stays allocated on its worker until the worker's own report, or the expiry
of every lease that could have been granted, proves that it is gone.
"""

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from cranberrycleat import codec, selectors
from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.attempt_losses import AttemptLosses
from cranberrycleat.clock import MonotonicClock
from cranberrycleat.inventory import InventoryWorker, WorkerInventory, WorkerState
from cranberrycleat.jobs import (
    FINAL_STATES,
    JobRow,
    Kind,
    PreemptionMode,
    TaskRecord,
    TaskState,
    job_of,
    task_id,
)
from cranberrycleat.keys import job_key, worker_key
from cranberrycleat.messages import (
    AttemptRef,
    HostEntry,
    HostState,
    InboxEntry,
    JobPart,
    LabelChange,
    Outcome,
    StartOrder,
    TaskReport,
)
from cranberrycleat.placement import PlacementRequest
from cranberrycleat.preemption import throttled
from cranberrycleat.rounds import Plan, RoundPlanner, TeamUsage
from cranberrycleat.table import Put, Row

STABLE_AFTER_S: Final = 1.0
"""An attempt whose worker still answers this long after it began is not considered to
crash it. When the loss is noticed tells nothing: a worker that crashes may be down for
long, and a new owner has known the attempt for a moment only."""


@attrs.define(kw_only=True)
class WorkerRow:
    """The persisted state of a worker.

    Attributes:
        labels: Labels that operators set or, if None, removed.
    """

    labels: dict[str, str | None] = attrs.field(factory=dict)


@attrs.define(kw_only=True, eq=False)
class ActiveTask:
    """In-memory state of a placed task, in addition to its persisted record.

    Attributes:
        durable: Whether the placement is stored in the table.
        ordered: Whether this owner sent a start that the worker did not refuse, or the
            worker reported it as running.
        url: Its endpoint's URL, once it runs.
        running: Whether its worker reported it as running.
        since: When it began by its worker's report, on the shard's clock.
        stopping: Whether it is to be stopped or preempted.
        how: How it is to be preempted.
        needs: The resources allocated for it.
    """

    durable: bool = False
    ordered: bool = False
    url: str = ""
    running: bool = False
    since: float = 0.0
    stopping: bool = False
    how: PreemptionMode = PreemptionMode.STOP
    needs: Amounts = NOTHING


@attrs.define(kw_only=True, eq=False)
class Shard:
    """One shard's jobs, workers and placements; `now` is a monotonic clock."""

    data_centre: str
    now: Callable[[], float] = attrs.field(factory=lambda: MonotonicClock().now)
    inventory: WorkerInventory = attrs.field(factory=WorkerInventory)
    jobs: dict[str, JobRow] = attrs.field(factory=dict)
    hosts: dict[str, HostEntry] = attrs.field(factory=dict)
    worker_rows: dict[str, WorkerRow] = attrs.field(factory=dict)
    active: dict[str, ActiveTask] = attrs.field(factory=dict)
    pending_acks: dict[str, list[AttemptRef]] = attrs.field(factory=dict)
    orphaned_attempts: dict[str, dict[str, int]] = attrs.field(factory=dict)
    endpoint_revision: int = 0
    _announced: set[str] = attrs.field(factory=set)
    planner: RoundPlanner = attrs.field(
        default=attrs.Factory(
            lambda self: RoundPlanner(inventory=self.inventory), takes_self=True
        )
    )
    losses: AttemptLosses = attrs.field(
        default=attrs.Factory(
            lambda self: AttemptLosses(now=self.now, inventory=self.inventory),
            takes_self=True,
        )
    )
    _dirty: set[str] = attrs.field(factory=set)
    _dirty_workers: set[str] = attrs.field(factory=set)
    _jobs_with_pending: set[str] = attrs.field(factory=set)
    _changed_jobs: set[str] = attrs.field(factory=set)
    _ended_at: dict[str, float] = attrs.field(factory=dict)

    # --- loading ------------------------------------------------------------

    def load(self, rows: Iterable[Row]) -> None:
        """Load the shard's rows at takeover."""
        for row in rows:
            part = row.key.split("/")[2]
            if part == "job":
                self._load_job(codec.decode(row.value, JobRow, place=row.key))
            elif part == "worker":
                name = row.key.split("/")[3]
                known = codec.decode(row.value, WorkerRow, place=row.key)
                self.worker_rows[name] = known

    def _load_job(self, job: JobRow) -> None:
        self.jobs[job.spec.name] = job
        for record in job.tasks:
            if record.state is TaskState.PLACED:
                self._adopt(job, record)
        self._update_pending(job)

    def _adopt(self, job: JobRow, record: TaskRecord) -> None:
        if record.worker not in self.inventory.workers:
            self.inventory.add_worker(self._placeholder_worker(record.worker))
        task = task_id(job.spec.name, record.index)
        self.inventory.adopt(record.worker, task, job.spec.needs)
        self.active[task] = ActiveTask(
            durable=True, stopping=job.cancelled, needs=job.spec.needs
        )
        self._add_team_usage(job, job.spec.needs)

    def _placeholder_worker(self, name: str) -> InventoryWorker:
        """Return a placeholder for a worker with tasks that is not listed yet."""
        return InventoryWorker(
            name=name,
            data_centre=self.data_centre,
            rack="",
            labels={},
            capacity=NOTHING,
            state=WorkerState.SILENT,
        )

    # --- workers ------------------------------------------------------------

    def update_hosts(self, entries: Iterable[HostEntry]) -> tuple[HostEntry, ...]:
        """Apply the platform's host list; return the workers that are new."""
        added = []
        for entry in entries:
            if entry.data_centre != self.data_centre:
                continue
            if entry.name not in self.hosts:
                added.append(entry)
                self._add_listed_worker(entry)
            self.hosts[entry.name] = entry
            if entry.state is HostState.LEAVING:
                self._stop_placing(entry.name)
        return tuple(added)

    def _add_listed_worker(self, entry: HostEntry) -> None:
        known = self.inventory.workers.get(entry.name)
        worker = InventoryWorker(
            name=entry.name,
            data_centre=entry.data_centre,
            rack=entry.rack,
            labels=self._labels(entry),
            capacity=entry.capacity,
            state=WorkerState.SILENT,
        )
        if known is not None:
            self.inventory.remove_worker(entry.name)
        self.inventory.add_worker(worker)
        for task, needs in (known.tasks if known else {}).items():
            self.inventory.adopt(entry.name, task, needs)
        self.planner.total_capacity = self.planner.total_capacity.plus(entry.capacity)

    def forget_worker(self, name: str) -> None:
        """Remove a worker that is gone and has no tasks."""
        worker = self.inventory.workers[name]
        self.inventory.remove_worker(name)
        self.hosts.pop(name, None)
        self._announced.discard(name)
        self.orphaned_attempts.pop(name, None)
        self.losses.forget_worker(name)
        self.planner.total_capacity = self.planner.total_capacity.minus(worker.capacity)

    def _labels(self, entry: HostEntry) -> dict[str, str]:
        labels: dict[str, str | None] = {
            **entry.labels,
            "data-centre": entry.data_centre,
            "rack": entry.rack,
            **self.worker_rows.get(entry.name, WorkerRow()).labels,
        }
        return {key: value for key, value in labels.items() if value is not None}

    def worker_responded(self, name: str, incarnation: str = "") -> None:
        """Record that a worker responded, so that it may be given tasks."""
        if self.losses.worker_responded(name, incarnation):
            for job in self.jobs.values():
                if job.losses and self.losses.clear(job, name, incarnation):
                    self._mark_dirty(job)
        self._clear_survivors(name)
        state = WorkerState.LEAVING if self.is_leaving(name) else WorkerState.LIVE
        worker = self.inventory.workers[name]
        if worker.state is not state:
            worker.state = state
            self.endpoint_revision += 1

    def worker_silent(self, name: str) -> None:
        """Record that a worker does not respond; its tasks stay allocated."""
        self._worker_failed(name)
        worker = self.inventory.workers[name]
        if worker.state is not WorkerState.SILENT:
            worker.state = WorkerState.SILENT
            self.endpoint_revision += 1

    def is_leaving(self, name: str) -> bool:
        """Return whether a worker leaves, by the list or by its own answers.

        What it answered holds for that incarnation, even if it falls silent and answers
        again, or the list says otherwise.
        """
        entry = self.hosts.get(name)
        listed = entry is not None and entry.state is HostState.LEAVING
        return listed or name in self._announced

    def worker_leaving(self, name: str) -> None:
        """Record that a worker answered that it leaves: it is given no more tasks."""
        self._announced.add(name)
        self._stop_placing(name)

    def worker_restarted(self, name: str) -> None:
        """Record that another incarnation answers, which may not leave."""
        self._announced.discard(name)

    def release_unordered(self, name: str) -> bool:
        """End the placements on a leaving worker that were not ordered yet.

        Returns:
            Whether there were any; their tasks wait for another place.
        """
        unordered = [
            task
            for task in self.inventory.workers[name].tasks
            if self.active[task].durable and not self.active[task].ordered
        ]
        for task in unordered:
            if task in self.active:
                self._attempt_ended(
                    self.jobs[job_of(task)], self.record(task), failed=False
                )
        return bool(unordered)

    def _stop_placing(self, name: str) -> None:
        self.losses.worker_leaving(name)
        worker = self.inventory.workers.get(name)
        if worker is not None and worker.state is not WorkerState.LEAVING:
            worker.state = WorkerState.LEAVING
            self.endpoint_revision += 1

    def evacuate(self, name: str) -> None:
        """Stop the services on a leaving worker, so that they are placed elsewhere."""
        for task in self.inventory.workers[name].tasks:
            if self.jobs[job_of(task)].spec.kind is Kind.SERVICE:
                self.active[task].stopping = True

    def expire_leases(self, name: str, *, keep: bool) -> None:
        """Mark tasks on a silent worker as lost after their leases have expired.

        Args:
            name: The worker.
            keep: Whether the leases of tasks of `keep` jobs have expired as well.
        """
        for task in list(self.inventory.workers[name].tasks):
            job = self.jobs[job_of(task)]
            if keep or not job.spec.keeps:
                self._attempt_lost(job, self.record(task))

    # --- operators' changes -------------------------------------------------

    def apply_change(self, entry: InboxEntry) -> None:
        """Apply an accepted change; idempotent."""
        match entry:
            case InboxEntry(submit=JobPart() as part):
                self._submit(part)
            case InboxEntry(cancel=str(job)):
                self._cancel(job)
            case InboxEntry(label=LabelChange() as change):
                self._relabel(change)

    def _submit(self, part: JobPart) -> None:
        if part.spec.name in self.jobs:
            return
        job = JobRow(
            spec=part.spec,
            data_centre=self.data_centre,
            tasks=[TaskRecord(index=index) for index in part.indices],
        )
        self.jobs[part.spec.name] = job
        self._mark_dirty(job)

    def _cancel(self, name: str) -> None:
        job = self.jobs.get(name)
        if job is None or job.cancelled:
            return
        job.cancelled = True
        job.reasons.clear()
        for record in job.tasks:
            if record.state in (TaskState.PENDING, TaskState.NEVER):
                record.state = TaskState.CANCELLED
            elif record.state is TaskState.PLACED:
                self.active[task_id(name, record.index)].stopping = True
        self.endpoint_revision += 1
        self._mark_dirty(job)

    def _relabel(self, change: LabelChange) -> None:
        row = self.worker_rows.setdefault(change.worker, WorkerRow())
        row.labels.update(change.labels)
        self._dirty_workers.add(change.worker)
        entry = self.hosts.get(change.worker)
        if entry is not None:
            self.inventory.relabel(change.worker, self._labels(entry))
            self._retry_unplaceable()

    def _retry_unplaceable(self) -> None:
        """After a label change, retry tasks that no worker could run before."""
        for job in self.jobs.values():
            for record in job.tasks:
                if record.state is TaskState.NEVER:
                    record.state = TaskState.PENDING
                    self._mark_dirty(job)

    # --- workers' reports ---------------------------------------------------

    def report(self, worker: str, report: TaskReport) -> None:
        """Apply a worker's report about one attempt."""
        record = self._find_record(report.task)
        current = (
            record is not None
            and record.state is TaskState.PLACED
            and record.worker == worker
            and record.attempt == report.attempt
        )
        if record is None or not current:
            self._report_orphaned_attempt(worker, report)
            return
        job = self.jobs[job_of(report.task)]
        match report.outcome:
            case Outcome.RUNNING:
                self._report_running(worker, report)
            case Outcome.DONE:
                self.inventory.start_succeeded(worker)
                self.planner.history.record_run(job.spec.name, report.run_s)
                self._end_placement(job, record, TaskState.DONE)
                self._queue_ack(worker, report)
            case Outcome.FAILED:
                if self.planner.history.record_failed_start(job.spec.name, worker):
                    self.inventory.start_failed(worker)
                self._attempt_ended(job, record, failed=True)
                self._queue_ack(worker, report)
            case Outcome.STOPPED | Outcome.REFUSED:
                self._attempt_ended(job, record, failed=False)
                self._queue_ack(worker, report)

    def _report_orphaned_attempt(self, worker: str, report: TaskReport) -> None:
        """Stop an orphaned attempt: one not placed on the worker that reports it."""
        orphaned_attempts = self.orphaned_attempts.setdefault(worker, {})
        if report.outcome is Outcome.RUNNING:
            orphaned_attempts[report.task] = report.attempt
            return
        orphaned_attempts.pop(report.task, None)
        self._queue_ack(worker, report)

    def _queue_ack(self, worker: str, report: TaskReport) -> None:
        mark = AttemptRef(task=report.task, attempt=report.attempt)
        self.pending_acks.setdefault(worker, []).append(mark)

    def _report_running(self, worker: str, report: TaskReport) -> None:
        active = self.active[report.task]
        active.ordered = True
        if report.throttled:
            active.stopping = False
            self.inventory.set_needs(worker, report.task, throttled(active.needs))
        else:
            self.inventory.report(worker, report.task, active.needs, report.used)
        self.planner.history.record_usage(job_of(report.task), report.used)
        if not active.running:
            active.running = True
            active.since = self.now() - report.run_s
            active.url = report.url
            self.endpoint_revision += 1

    def _worker_failed(self, name: str) -> None:
        """Record that a worker was found silent or replaced, before its tasks are."""
        tasks = self.inventory.workers[name].tasks
        just_begun = frozenset(
            job_of(task)
            for task in tasks
            if self.active[task].ordered and not self._is_stable(task, name)
        )
        self.losses.worker_failed(name, just_begun)

    def _clear_survivors(self, name: str) -> None:
        """Clear the losses of tasks that have run on a worker for a while.

        This is stored at once, since the next owner may not learn how long they ran.
        """
        for task in self.inventory.workers[name].tasks:
            job = self.jobs[job_of(task)]
            if job.losses and self._is_stable(task, name):
                if self.losses.attempt_survived(job, self.record(task)):
                    self._mark_dirty(job)

    def _is_stable(self, task: str, worker: str) -> bool:
        active = self.active[task]
        ran_s = self.losses.heard_at(worker) - active.since
        return active.running and ran_s >= STABLE_AFTER_S

    def _attempt_lost(self, job: JobRow, record: TaskRecord) -> None:
        """Handle an attempt lost with its worker, which the task may have crashed.

        If this owner neither sent a start nor was told of one, the loss tells nothing.
        """
        task = task_id(job.spec.name, record.index)
        crashes_workers = self.active[task].ordered and self.losses.record_loss(
            job, record, stable=self._is_stable(task, record.worker)
        )
        if crashes_workers and not job.cancelled:
            self._end_placement(job, record, TaskState.FAILED)
            return
        self._attempt_ended(job, record, failed=False)

    def _attempt_ended(self, job: JobRow, record: TaskRecord, *, failed: bool) -> None:
        """Handle an attempt that ended without success: retry, or fail the task."""
        if job.cancelled:
            self._end_placement(job, record, TaskState.CANCELLED)
            return
        record.failures += failed
        if record.failures > job.spec.retries and job.spec.kind is not Kind.SERVICE:
            self._end_placement(job, record, TaskState.FAILED)
            return
        self._end_placement(job, record, TaskState.PENDING)
        if job.spec.kind is Kind.GANG:
            self._stop_members(job)

    def _stop_members(self, job: JobRow) -> None:
        """After one member is lost, stop the others so that all restart together."""
        for record in job.tasks:
            if record.state is TaskState.PLACED:
                self.active[task_id(job.spec.name, record.index)].stopping = True

    def _end_placement(self, job: JobRow, record: TaskRecord, state: TaskState) -> None:
        task = task_id(job.spec.name, record.index)
        self.inventory.release(record.worker, task)
        active = self.active.pop(task, None)
        if active is not None:
            self._add_team_usage(job, NOTHING.minus(active.needs))
        self.planner.forget(task)
        record.state = state
        record.worker = ""
        self.endpoint_revision += 1
        self._mark_dirty(job)

    # --- rounds -------------------------------------------------------------

    def plan(self, now: float = 0.0) -> Plan:
        """Plan one round and record its placements, which are not durable yet."""
        requests = [
            request
            for name in self._jobs_with_pending
            if (request := self._placement_request(self.jobs[name]))
        ]
        racks = {request.job: self._tasks_per_rack(request.job) for request in requests}
        plan = self.planner.plan(requests, racks, now=now)
        needs = {request.job: request.needs for request in requests}
        for assignment in plan.assignments:
            counted = needs[job_of(assignment.task)]
            self._record_placement(assignment.task, assignment.worker, counted)
        for preemption in plan.preemptions:
            active = self.active[preemption.task]
            active.stopping, active.how = True, preemption.how
        for unplaced_job in plan.unplaced:
            self._record_unplaced(
                self.jobs[unplaced_job.job], unplaced_job.never, unplaced_job.reasons
            )
        return plan

    def _placement_request(self, job: JobRow) -> PlacementRequest | None:
        waiting = [each for each in job.tasks if each.state is TaskState.PENDING]
        placed = any(each.state is TaskState.PLACED for each in job.tasks)
        if not waiting or (job.spec.kind is Kind.GANG and placed):
            return None
        spec, history = job.spec, self.planner.history
        return PlacementRequest(
            job=spec.name,
            kind=spec.kind,
            team=spec.team,
            rank=spec.rank,
            needs=self._needs(job),
            selector=selectors.parse(spec.selector, place=spec.name),
            tasks=tuple(task_id(spec.name, each.index) for each in waiting),
            run_s=history.run_s(spec.name, spec.run_s),
            gives_way=spec.gives_way,
        )

    def _needs(self, job: JobRow) -> Amounts:
        """Return a task's needs: as learned if some worker can hold it, or declared."""
        declared = job.spec.needs
        learned = self.planner.history.needs(job.spec.name, declared)
        fits = any(
            learned.fits_in(worker.capacity)
            for worker in self.inventory.workers.values()
        )
        return learned if fits else declared

    def _tasks_per_rack(self, name: str) -> dict[str, int]:
        counts: dict[str, int] = {}
        for record in self.jobs[name].tasks:
            if record.state is TaskState.PLACED:
                rack = self.inventory.workers[record.worker].rack
                counts[rack] = counts.get(rack, 0) + 1
        return counts

    def _record_placement(self, task: str, worker: str, needs: Amounts) -> None:
        job = self.jobs[job_of(task)]
        record = self.record(task)
        record.state = TaskState.PLACED
        record.worker = worker
        record.attempt += 1
        self.active[task] = ActiveTask(needs=needs)
        job.reasons.clear()
        self._mark_dirty(job)

    def _record_unplaced(
        self, job: JobRow, never: bool, reasons: tuple[str, ...]
    ) -> None:
        if job.reasons != list(reasons):
            job.reasons[:] = reasons
            self._mark_dirty(job)
        if not never:
            return
        for record in job.tasks:
            if record.state is TaskState.PENDING:
                record.state = TaskState.NEVER
                self._mark_dirty(job)

    # --- persisting and orders ----------------------------------------------

    def dirty_puts(self) -> tuple[Put, ...]:
        """Return the rows that changed since the last call."""
        puts = []
        for name in sorted(self._dirty):
            key = job_key(self.data_centre, name)
            puts.append(Put(key=key, value=codec.encode_text(self.jobs[name])))
        for name in sorted(self._dirty_workers):
            key = worker_key(self.data_centre, name)
            value = codec.encode_text(self.worker_rows[name])
            puts.append(Put(key=key, value=value))
        self._dirty.clear()
        self._dirty_workers.clear()
        return tuple(puts)

    def confirm(self, plan: Plan) -> frozenset[str]:
        """Mark a plan as durable; return the workers that have start orders."""
        for assignment in plan.assignments:
            active = self.active.get(assignment.task)
            if active is not None:
                active.durable = True
        return frozenset(each.worker for each in plan.assignments)

    def record_sent(self, starts: Iterable[StartOrder]) -> None:
        """Record start orders that may have taken effect."""
        for start in starts:
            active = self.active.get(start.task)
            if active is not None:
                active.ordered = True

    def drop_unreported(self, worker: str, reports: Iterable[TaskReport]) -> None:
        """Mark durable tasks that a new incarnation's task list omits as lost."""
        self._worker_failed(worker)
        listed = {(each.task, each.attempt) for each in reports}
        for task in list(self.inventory.workers[worker].tasks):
            record = self.record(task)
            if self.active[task].durable and (task, record.attempt) not in listed:
                self._attempt_lost(self.jobs[job_of(task)], record)

    def take_pending_acks(self) -> dict[str, list[AttemptRef]]:
        """Return the outcomes recorded since the last call, by worker."""
        marks, self.pending_acks = self.pending_acks, {}
        return marks

    # --- helpers ------------------------------------------------------------

    def _mark_dirty(self, job: JobRow) -> None:
        self._dirty.add(job.spec.name)
        self._update_pending(job)

    def _update_pending(self, job: JobRow) -> None:
        self._changed_jobs.add(job.spec.name)
        if any(each.state is TaskState.PENDING for each in job.tasks):
            self._jobs_with_pending.add(job.spec.name)
        else:
            self._jobs_with_pending.discard(job.spec.name)

    def _find_record(self, task: str) -> TaskRecord | None:
        job = self.jobs.get(job_of(task))
        if job is None:
            return None
        index = int(task.rsplit("/", 1)[1])
        return next((each for each in job.tasks if each.index == index), None)

    def record(self, task: str) -> TaskRecord:
        """Return the record of a task that the shard has."""
        record = self._find_record(task)
        assert record is not None, task
        return record

    def _add_team_usage(self, job: JobRow, needs: Amounts) -> None:
        team = self.planner.teams.setdefault(job.spec.team, TeamUsage())
        team.used = team.used.plus(needs)

    def record_finished(self, now: float) -> None:
        """Record when jobs were first observed to have ended."""
        for name in self._changed_jobs:
            job = self.jobs.get(name)
            if job and all(each.state in FINAL_STATES for each in job.tasks):
                self._ended_at.setdefault(name, now)
        self._changed_jobs.clear()

    def remove_finished(self, before: float) -> tuple[str, ...]:
        """Remove jobs that ended before a time; return their rows' keys."""
        old = [name for name, at in self._ended_at.items() if at < before]
        for name in old:
            del self._ended_at[name]
            del self.jobs[name]
            self.planner.history.forget_job(name)
        return tuple(job_key(self.data_centre, name) for name in old)
