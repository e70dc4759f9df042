"""Reconstructs the timeline of a job from logs, and finds the cause of a delay or loss.

Reads JSON lines of any number of processes in any order, with or without line prefixes
such as those of a test bench. Lines that are not events are skipped.
"""

import bisect
import json
from collections.abc import Iterable
from typing import Any, Final

import attrs
import msgspec

from cranberrycleat import codec, events

PREFIX_TIME_PARTS: Final = 3
SLOW_STAGE_S: Final = 0.25
"""A stage longer than this counts as slow: short jobs have 0.5 s to spare."""
PREEMPTED_ENDS: Final = ("stopped", "member-ended")
"""How a preempted attempt ends, unless it ends by itself first."""
UNANSWERED_START: Final = "its worker did not answer the start"
FENCED_START: Final = "its worker answered no copy of the start, a fence settled it"
RANK_REASONS: Final = ("no room", "permits are being asked for")
"""Reasons for which a step waits because others go first; steps at the end of a long
queue do not ask for permits yet."""
EVENTS_BY_NAME: Final = {kind.name: cls for cls, kind in events.KINDS.items()}
CONTEXT_EVENTS: Final = (
    events.OwnerWon,
    events.OwnerLost,
    events.OwnerReleased,
    events.OwnerSuspected,
    events.OwnerTookOver,
    events.OwnerMissing,
    events.TableSilent,
    events.TableBack,
    events.WorkerSilent,
    events.WorkerLeasesOver,
)
"""Events that belong to no job but may explain why a job waited."""
ORDER_EVENTS: Final = (events.WorkerOrdersUnanswered, events.WorkerOrdersAnswered)
"""The same, for jobs that were placed on the worker."""
CONTEXT_WINDOW_S: Final = 2.0
"""How long before the first entry of a job such events are considered."""


@attrs.frozen(kw_only=True)
class Entry:
    """One event of a log.

    Attributes:
        at: The time in seconds: from the prefix of the line if it has one, otherwise
            since 1970.
        host: The host that logged it.
        event: The typed event.
    """

    at: float
    host: str
    event: Any

    def text(self) -> str:
        """Return the entry as a line of text."""
        name = events.KINDS[type(self.event)].name
        return (
            f"{self.at:14.4f} {self.host:26} {name:18} {codec.encode_text(self.event)}"
        )


@attrs.define(kw_only=True)
class JobTimeline:
    """The entries of a job in order, and context events of the same period.

    Attributes:
        job: The ID of the job.
        job_entries: Its entries.
        context: Entries that belong to no job, or to a worker that it was placed on.
        logs_end_at: The time of the last entry of all logs.
    """

    job: str
    job_entries: list[Entry] = attrs.field(factory=list)
    context: list[Entry] = attrs.field(factory=list)
    logs_end_at: float = 0.0

    def first(self, kind: type[Any]) -> Entry | None:
        """Return the first entry of the job with a kind of event."""
        return next((e for e in self.job_entries if isinstance(e.event, kind)), None)


@attrs.frozen(kw_only=True)
class Cause:
    """The cause of a job's delay or loss; `entry` is None if no line explains it."""

    text: str
    entry: Entry | None = None


def read_lines(lines: Iterable[str]) -> list[Entry]:
    """Return all events among the lines, ordered by time."""
    found = [entry for line in lines if (entry := read_line(line)) is not None]
    return sorted(found, key=lambda entry: entry.at)


def read_line(line: str) -> Entry | None:
    """Return the event in a line, or None if there is none."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
        cls = EVENTS_BY_NAME.get(fields.get("event"))
        if cls is None:
            return None
        event = msgspec.convert(fields, cls)
        at, host = float(fields["time"]), str(fields["host"])
    except (ValueError, KeyError, AttributeError, *codec.UNDECODABLE):
        return None
    prefix = line[:start].split()
    if len(prefix) == PREFIX_TIME_PARTS - 1:
        try:
            at = float(prefix[0])
        except ValueError:
            pass
    return Entry(at=at, host=host, event=event)


def job_of(event: Any) -> str:
    """Return the ID of the job that an event belongs to; empty for none."""
    name: str = getattr(event, "job", "") or getattr(event, "task", "")
    name = name or getattr(event, "step", "")
    return name.partition(".")[0]


def job_timeline(entries: list[Entry], job: str) -> JobTimeline:
    """Return the timeline of one job."""
    matching = [timeline for timeline in job_timelines(entries) if timeline.job == job]
    return matching[0] if matching else JobTimeline(job=job)


def job_timelines(entries: list[Entry]) -> list[JobTimeline]:
    """Return the timelines of all jobs, in one pass over the entries."""
    job_entries: dict[str, list[Entry]] = {}
    context: list[Entry] = []
    for entry in entries:
        name = job_of(entry.event)
        if name:
            job_entries.setdefault(name, []).append(entry)
        elif isinstance(entry.event, (*CONTEXT_EVENTS, *ORDER_EVENTS)):
            context.append(entry)
    times = [entry.at for entry in context]
    return [
        JobTimeline(
            job=job,
            job_entries=found,
            context=_relevant(
                context[
                    bisect.bisect_left(
                        times, found[0].at - CONTEXT_WINDOW_S
                    ) : bisect.bisect_right(times, found[-1].at)
                ],
                found,
            ),
            logs_end_at=entries[-1].at,
        )
        for job, found in job_entries.items()
    ]


def _relevant(context: list[Entry], job_entries: list[Entry]) -> list[Entry]:
    """Return the context without orders to workers that a job was not placed on."""
    workers = {getattr(entry.event, "worker", "") for entry in job_entries}
    return [
        entry
        for entry in context
        if not isinstance(entry.event, ORDER_EVENTS) or entry.event.worker in workers
    ]


def lost(timeline: JobTimeline) -> bool:
    """Return whether a job was refused, failed, late or unfinished."""
    ended = [e for e in timeline.job_entries if isinstance(e.event, events.JobEnded)]
    if not ended:
        return not any(
            isinstance(e.event, events.JobCancelled) for e in timeline.job_entries
        )
    event: events.JobEnded = ended[-1].event
    return event.state == "failed" or (event.state != "cancelled" and late(timeline))


def late(timeline: JobTimeline) -> bool:
    """Return whether an ended job missed its objective, based on actual run times.

    The objective is the time that the queue allows for the critical path. The logs do
    not contain the dependencies between steps, so steps are assumed to run one after
    the other. Older logs without the settings of the queue fall back to the `late` flag
    of the event, which is based on estimates.
    """
    accepted = timeline.first(events.JobAccepted)
    shown = timeline.first(events.JobShown)
    if accepted is None or shown is None or not accepted.event.stretch:
        return any(
            isinstance(e.event, events.JobEnded) and e.event.late
            for e in timeline.job_entries
        )
    took_s = shown.at - timeline.job_entries[0].at
    allowed_s = (
        accepted.event.stretch * critical_path_s(timeline) + accepted.event.slack_s
    )
    return bool(took_s > allowed_s)


def critical_path_s(timeline: JobTimeline) -> float:
    """Return the sum of the longest task run times of all steps, in seconds.

    Failed attempts are included: time lost to a task's own failure is not a delay
    caused by the system.
    """
    tasks: dict[str, float] = {}
    for entry in timeline.job_entries:
        match entry.event:
            case events.TaskEnded(task=task, how="done" | "failed", ran_s=ran_s):
                tasks[task] = tasks.get(task, 0.0) + ran_s
    steps: dict[str, float] = {}
    for task, ran_s in tasks.items():
        step = task.rpartition(".")[0]
        steps[step] = max(steps.get(step, 0.0), ran_s)
    return sum(steps.values())


def queue_of(timeline: JobTimeline) -> str:
    """Return the queue that a job was submitted to; empty if no line contains it."""
    names = (getattr(entry.event, "queue", "") for entry in timeline.job_entries)
    return next((name for name in names if name), "")


def cause(timeline: JobTimeline) -> Cause:
    """Return the main cause of a job's delay or loss."""
    accepted = any(isinstance(e.event, events.JobStored) for e in timeline.job_entries)
    if not accepted:
        return _rejection_cause(timeline)
    for entry in timeline.job_entries:
        if isinstance(entry.event, events.TaskCrashesWorkers):
            return Cause(text="given up: it crashes its workers", entry=entry)
        if isinstance(entry.event, events.JobEnded) and entry.event.failure:
            failure = entry.event.failure
            return Cause(text=f"failed, {failure.cause}: {failure.task}", entry=entry)
    return _stage_cause(timeline)


def forecast_summary(timeline: JobTimeline) -> str:
    """Return what was forecast for a job at its acceptance; empty if nothing was."""
    made = timeline.first(events.JobForecast)
    if made is None:
        return ""
    outcomes = {
        entry.event.what: entry.event.after_s
        for entry in timeline.job_entries
        if isinstance(entry.event, events.JobForecastOutcome)
    }
    start, end = (
        _compare(what, bounds, outcomes.get(what))
        for what, bounds in (("start", made.event.start_s), ("end", made.event.end_s))
    )
    return f"{start}; {end}; from data {made.event.age_s:.2f} s old"


def _compare(
    what: str, bounds: tuple[float, float, float], after_s: float | None
) -> str:
    optimistic_s, expected_s, pessimistic_s = bounds
    text = (
        f"{what} after {expected_s:.2f} s "
        f"({optimistic_s:.2f} to {pessimistic_s:.2f} s), "
    )
    if after_s is None:
        return text + "not seen"
    if after_s > pessimistic_s:
        return text + f"seen after {after_s:.2f} s, later than forecast"
    if after_s < optimistic_s:
        return text + f"seen after {after_s:.2f} s, earlier than forecast"
    return text + f"seen after {after_s:.2f} s, as forecast"


def _rejection_cause(timeline: JobTimeline) -> Cause:
    for entry in reversed(timeline.job_entries):
        match entry.event:
            case events.CallerRejected(denied=True, reason=reason):
                return Cause(text=f"the caller's key was denied: {reason}", entry=entry)
            case events.CallerRejected(reason=reason):
                text = f"the caller was told to retry later: {reason}"
                return Cause(text=text, entry=entry)
            case events.JobRefused(reason=reason):
                return Cause(text=f"refused by the front end: {reason}", entry=entry)
            case events.JobRejected(reason=reason):
                return Cause(text=f"rejected for load: {reason}", entry=entry)
            case events.JobUnknown(reason=reason):
                return Cause(text=f"given up by the front end: {reason}", entry=entry)
            case events.JobMalformed(reason=reason):
                return Cause(text=f"malformed job: {reason}", entry=entry)
            case events.JobWithdrawn():
                return Cause(text="withdrawn: never sent to the table", entry=entry)
            case events.JobUnsettled(reason=reason):
                return Cause(text=f"the owner gave no answer: {reason}", entry=entry)
            case events.JobInInbox() | events.JobAccepted():
                return Cause(text="accepted, but never stored", entry=entry)
    return Cause(text="no log line explains it")


@attrs.define(kw_only=True)
class _Stage:
    """A stage in the life of an accepted job, with its duration."""

    seconds: float
    text: str
    entry: Entry


def _stage_cause(timeline: JobTimeline) -> Cause:
    stages = [
        *_attempt_stages(timeline),
        *_unanswered_stages(timeline),
        *_gap_stages(timeline),
    ]
    worst = max(stages, key=lambda stage: stage.seconds, default=None)
    if worst is None or worst.seconds < SLOW_STAGE_S:
        ended = [
            e for e in timeline.job_entries if isinstance(e.event, events.JobEnded)
        ]
        if ended:
            accepted = timeline.first(events.JobAccepted)
            known = accepted is not None and accepted.event.stretch > 0
            by_estimate = "its tasks ran longer than estimated; no stage was slow"
            text = "small delays; no stage alone was slow" if known else by_estimate
            return Cause(text=text, entry=ended[-1])
        return _unfinished(timeline)
    return Cause(text=f"{worst.text} ({worst.seconds:.2f} s)", entry=worst.entry)


def _unfinished(timeline: JobTimeline) -> Cause:
    if not timeline.job_entries:
        return Cause(text="no log line explains it")
    last = timeline.job_entries[-1]
    return Cause(text="the logs end before it does; its last line", entry=last)


def _attempt_stages(timeline: JobTimeline) -> list[_Stage]:
    stages: list[_Stage] = []
    for entry in timeline.job_entries:
        match entry.event:
            case events.TaskEnded(how=how, ran_s=ran_s) if how != "done":
                stages.append(
                    _Stage(
                        seconds=ran_s + SLOW_STAGE_S,
                        text=_preemption_text(timeline, entry) or f"attempt {how}",
                        entry=entry,
                    )
                )
            case events.TaskPlaced(waited_s=waited_s, attempt=1):
                reason = _wait_reason(timeline, entry)
                text = f"waited for a place: {reason}{_surplus_note(timeline, reason)}"
                stages.append(_Stage(seconds=waited_s, text=text, entry=entry))
            case events.TaskStarted(after_s=after_s, sent=sent):
                late_start = "placed, but its start came late"
                text = UNANSWERED_START if sent > 1 else late_start
                stages.append(_Stage(seconds=after_s, text=text, entry=entry))
            case events.JobShown(after_end_s=after_s):
                text = "ended, but its end was stored late"
                stages.append(_Stage(seconds=after_s, text=text, entry=entry))
            case events.JobStored(after_s=after_s):
                text = "stored late"
                stages.append(_Stage(seconds=after_s, text=text, entry=entry))
            case events.PermitsHad(waited_s=waited_s, took_s=took_s):
                text = "the permit service's answer came late"
                stages.append(_Stage(seconds=waited_s + took_s, text=text, entry=entry))
    return stages


def _unanswered_stages(timeline: JobTimeline) -> list[_Stage]:
    """Return the waits of starts without an answer that were settled otherwise."""
    placed_at: dict[tuple[str, int], float] = {}
    waits: dict[tuple[str, int], _Stage] = {}
    stages: list[_Stage] = []
    for entry in timeline.job_entries:
        key = (getattr(entry.event, "task", ""), getattr(entry.event, "attempt", 0))
        settled_at = entry.at
        match entry.event:
            case events.TaskPlaced():
                placed_at[key] = entry.at
                continue
            case events.TaskUnanswered():
                wait = _Stage(seconds=0.0, text=UNANSWERED_START, entry=entry)
                waits.setdefault(key, wait)
                continue
            case events.TaskStartFenced() if key in waits:
                waits[key].text = FENCED_START
                continue
            case events.JobEnded() | events.JobCancelled():
                settled = list(waits)
            case events.TaskStarted():
                # Its delay is a stage of its own.
                waits.pop(key, None)
                continue
            case events.TaskEnded(ran_s=ran_s):
                settled_at -= ran_s
                settled = [key]
            case events.TaskGivenUp() | events.TaskRefused():
                settled = [key]
            case _:
                continue
        stages += _settle(timeline, waits, placed_at, settled, settled_at)
    open_waits = list(waits)
    stages += _settle(timeline, waits, placed_at, open_waits, timeline.logs_end_at)
    return stages


def _settle(
    timeline: JobTimeline,
    waits: dict[tuple[str, int], _Stage],
    placed_at: dict[tuple[str, int], float],
    keys: list[tuple[str, int]],
    at: float,
) -> list[_Stage]:
    """Remove waits of attempts that are settled; return them with their durations."""
    settled = [(key, waits.pop(key)) for key in keys if key in waits]
    for key, stage in settled:
        began_at = placed_at.get(key, stage.entry.at)
        stage.seconds = at - began_at
        if any(
            isinstance(entry.event, events.WorkerSilent)
            and entry.event.worker == stage.entry.event.worker
            and began_at <= entry.at <= at
            for entry in timeline.context
        ):
            stage.text += "; the worker became silent"
    return [stage for _, stage in settled]


def _preemption_text(timeline: JobTimeline, ended: Entry) -> str:
    """Return for what the attempt that ended was preempted; empty if it was not."""
    for entry in timeline.job_entries:
        match entry.event:
            case events.TaskPreempted(task=task, attempt=attempt, beneficiary=name) if (
                task == ended.event.task
                and attempt == ended.event.attempt
                and ended.event.how in PREEMPTED_ENDS
            ):
                return f"attempt preempted for {name}"
    return ""


def _surplus_note(timeline: JobTimeline, reason: str) -> str:
    """Return a note if a job waited because others went first; otherwise empty."""
    accepted = timeline.first(events.JobAccepted)
    surplus = accepted is not None and accepted.event.tier == "surplus"
    if not surplus or reason not in RANK_REASONS:
        return ""
    return "; surplus: its workspace sent more than its weight allows"


def _wait_reason(timeline: JobTimeline, placed: Entry) -> str:
    """Return the last waiting reason that was logged before a task was placed."""
    step = placed.event.task.rpartition(".")[0]
    reasons = [
        entry.event.reason
        for entry in timeline.job_entries
        if isinstance(entry.event, events.StepWaiting)
        and entry.event.step == step
        and entry.at <= placed.at
    ]
    return reasons[-1] if reasons else "no owner planned"


def _gap_stages(timeline: JobTimeline) -> list[_Stage]:
    """Return gaps between entries of a job in which context events occurred."""
    stages: list[_Stage] = []
    for before, after in zip(
        timeline.job_entries, timeline.job_entries[1:], strict=False
    ):
        between = [
            entry
            for entry in timeline.context
            if before.at <= entry.at <= after.at
            and not isinstance(entry.event, ORDER_EVENTS)
        ]
        gap_s = after.at - before.at
        if between and gap_s > SLOW_STAGE_S:
            name = events.KINDS[type(between[0].event)].name
            stages.append(
                _Stage(seconds=gap_s, text=f"held up around {name}", entry=between[0])
            )
    return stages
