"""Metrics of a node, derived from its logged events.

Metrics are computed from the same events that are logged, so the two cannot
disagree. Names follow OpenTelemetry's conventions: a noun and its event, with
durations in seconds.
"""

from typing import Any, Final

import attrs

from cranberrycleat import events
from cranberrycleat.amounts import MILLI
from cranberrycleat.metrics import Metrics

MIN_OUTCOME_S: Final = 0.1
"""Outcomes below this count as this long in the relative error of a forecast: a start
after 0.03 s that was expected after 0.06 s is no error that matters to anyone."""


@attrs.define(kw_only=True, eq=False)
class Telemetry:
    """Updates metrics from events.

    Attributes:
        metrics: The process's metrics.
    """

    metrics: Metrics

    def record_event(self, event: Any) -> None:
        """Update the metrics for one event."""
        self._record_job_event(event)
        self._record_task_event(event)
        self._record_owner_event(event)
        self._record_speed_event(event)

    def _record_job_event(self, event: Any) -> None:
        metrics = self.metrics
        match event:
            case events.JobAccepted(queue=queue, workspace=workspace, tier=tier):
                metrics.count("jobs.accepted", queue=queue)
                if workspace:
                    metrics.count("workspaces.jobs.accepted", workspace=workspace)
                if tier:
                    metrics.count(
                        "workspaces.jobs.tiers", workspace=workspace, tier=tier
                    )
            case events.JobRefused(queue=queue, reason=reason, workspace=workspace):
                metrics.count("jobs.refused", queue=queue, reason=reason)
                if workspace:
                    metrics.count(
                        "workspaces.jobs.refused", workspace=workspace, reason=reason
                    )
            case events.JobRejected():
                self._record_rejection(event)
            case events.JobAdmittedForSize(queue=queue):
                metrics.count("jobs.admitted_for_size", queue=queue)
            case events.CallerRejected(queue=queue, denied=denied):
                metrics.count(
                    "callers.rejected", queue=queue, denied=str(denied).lower()
                )
            case events.JobUnknown(queue=queue):
                metrics.count("jobs.unknown", queue=queue)
            case events.JobMalformed(queue=queue):
                metrics.count("jobs.malformed", queue=queue)
            case events.ConnectionsClosed(
                address=address, reason=reason, connections=number
            ):
                metrics.count(
                    "connections.closed", number, address=address, reason=reason
                )
            case events.JobStored(after_s=after_s):
                metrics.record("jobs.stored.duration", after_s)
            case events.JobEnded(queue=queue, state=state, after_s=after_s, late=late):
                metrics.count(
                    "jobs.ended", queue=queue, state=state, late=str(late).lower()
                )
                metrics.record("jobs.duration", after_s, queue=queue)
                if event.failure is not None:
                    metrics.count("jobs.failed", queue=queue, cause=event.failure.cause)
            case events.JobForecastOutcome(
                queue=queue, what=what, forecast_s=forecast_s, after_s=after_s
            ):
                self._record_forecast_outcome(queue, what, forecast_s, after_s)
            case events.JobShown(after_end_s=after_s):
                metrics.record("jobs.shown.duration", after_s)

    def _record_forecast_outcome(
        self,
        queue: str,
        what: str,
        forecast_s: tuple[float, float, float],
        after_s: float,
    ) -> None:
        """Count where an outcome lies, and record its distance from what was expected.

        The distance is relative to the outcome.
        """
        optimistic_s, expected_s, pessimistic_s = forecast_s
        position = "within"
        if after_s < optimistic_s:
            position = "before"
        elif after_s > pessimistic_s:
            position = "after"
        self.metrics.count(
            "jobs.forecast.outcomes", queue=queue, what=what, position=position
        )
        error = abs(after_s - expected_s) / max(after_s, MIN_OUTCOME_S)
        self.metrics.record("jobs.forecast.error", error, queue=queue, what=what)

    def _record_rejection(self, event: events.JobRejected) -> None:
        self.metrics.count(
            "jobs.rejected", queue=event.queue, tier=event.tier, reason=event.reason
        )
        self.metrics.record(
            "jobs.rejected.retry_after", event.retry_after_s, queue=event.queue
        )
        if event.workspace:
            self.metrics.count(
                "workspaces.jobs.rejected", workspace=event.workspace, tier=event.tier
            )

    def _record_task_event(self, event: Any) -> None:
        metrics = self.metrics
        match event:
            case events.TaskPlaced(waited_s=waited_s, saved=saved):
                cause = "resumed" if saved else "fresh"
                metrics.count("tasks.placed", cause=cause)
                metrics.record("tasks.waited.duration", max(0.0, waited_s))
            case events.TaskStarted(after_s=after_s, entry_age_s=entry_age_s):
                metrics.record("tasks.started.duration", after_s)
                if entry_age_s >= 0:
                    metrics.record("tasks.started.entry_age.duration", entry_age_s)
            case events.TaskUnanswered():
                metrics.count("tasks.unanswered")
            case events.TaskStartFenced():
                metrics.count("tasks.start_fenced")
            case events.StepStalled():
                metrics.count("steps.stalled")
            case events.TaskPreempted(service=service, cost_core_s=cost_core_s):
                cause = "service" if service else "urgent"
                metrics.count("tasks.preempted", cause=cause)
                cost_core_ms = round(cost_core_s * MILLI)
                metrics.count("tasks.preempted.core_ms", cost_core_ms, cause=cause)
            case events.TaskRefused(verdict=verdict):
                metrics.count("tasks.refused", verdict=verdict)
            case events.TaskGivenUp(reason=reason):
                metrics.count("tasks.given_up", reason=reason)
            case events.TaskLostWorker(kind=kind):
                metrics.count("tasks.lost_workers", kind=kind)
            case events.TaskCrashesWorkers():
                metrics.count("tasks.crash_workers")
            case events.TaskEnded(how=how, ran_s=ran_s):
                metrics.count("tasks.ended", how=how)
                if how != "done":
                    metrics.record("tasks.thrown_away.duration", ran_s, how=how)
            case events.PermitsHad(took_s=took_s, waited_s=waited_s):
                metrics.record("permits.duration", took_s)
                metrics.record("permits.waited.duration", waited_s)
            case events.PermitsFailed():
                metrics.count("permits.failed")

    def _record_owner_event(self, event: Any) -> None:
        metrics = self.metrics
        match event:
            case events.OwnerTookOver(took_s=took_s):
                metrics.count("owner.takeovers")
                metrics.record("owner.takeover.duration", took_s)
            case events.OwnerLost(reason=reason):
                metrics.count("owner.lost", reason=reason)
            case events.OwnerMissing(row_is_own=row_is_own):
                metrics.count("owner.missing", row_is_own=str(row_is_own).lower())
            case events.ConfigTaken(size=size, read_s=read_s):
                metrics.record("config.read.duration", read_s)
                metrics.count("config.read.bytes", size)
            case events.ConfigUnread():
                metrics.count("config.unread")
            case events.TableSilent(down=down):
                metrics.count("table.silent", down=str(down).lower())
            case events.TableRejected():
                metrics.count("table.rejected")
            case events.WorkerSilent():
                metrics.count("workers.silent")
            case events.WorkerOrdersUnanswered():
                metrics.count("workers.orders_unanswered")
            case events.WorkerOrdersAnswered(after_s=after_s):
                metrics.record("workers.orders_unanswered.duration", after_s)
            case events.WorkersConnections(opened=opened, broken=broken):
                metrics.count("workers.connections.opened", opened)
                metrics.count("workers.connections.broken", broken)
            case events.WorkersListUnread():
                metrics.count("workers.list_unread")
            case events.WorkersListRead(unread_s=unread_s):
                metrics.record("workers.list_unread.duration", unread_s)
            case events.WorkerLeasesOver(tasks=tasks):
                metrics.count("workers.leases_over.tasks", tasks)

    def _record_speed_event(self, event: Any) -> None:
        metrics = self.metrics
        match event:
            case events.StepPlacedBySpeed(queue=queue, in_time=in_time):
                metrics.count(
                    "steps.placed_by_speed", queue=queue, in_time=str(in_time).lower()
                )
                metrics.record(
                    "steps.placed_by_speed.margin.duration",
                    max(0.0, event.left_s - event.expected_s),
                    queue=queue,
                )
            case events.SpeedsUneven(uneven=uneven):
                metrics.count("speeds.uneven", uneven=str(uneven).lower())
            case events.SpeedDiscarded():
                metrics.count("speeds.discarded")
            case events.SpeedsRestored(workers=workers):
                metrics.count("speeds.restored.workers", workers)
            case events.SpeedsIgnored():
                metrics.count("speeds.ignored")
