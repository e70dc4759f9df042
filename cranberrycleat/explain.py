"""Tells a job's story from logs, and the decision that cost it.

Reads JSON lines of any number of processes in any order, also behind prefixes
such as a test bench's. Lines that are no events are passed over and counted.
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
"""A stage longer than this is worth naming: short work has 0.5 s to spare."""
EVENTS_BY_NAME: Final = {kind.name: cls for cls, kind in events.KINDS.items()}
CONTEXT_EVENTS: Final = (
    events.OwnerWon,
    events.OwnerLost,
    events.OwnerReleased,
    events.OwnerSuspected,
    events.OwnerTookOver,
    events.TableSilent,
    events.TableBack,
    events.WorkerSilent,
    events.WorkerLeasesOver,
)
"""Events of no job that may be why a job waited."""
CONTEXT_WINDOW_S: Final = 2.0
"""How long before a job's first entry they may lie."""


@attrs.frozen(kw_only=True)
class Entry:
    """One event of a log.

    Attributes:
        at: Seconds, by the line's prefix if it has one, else since 1970.
        host: Who logged it.
        event: The typed event.
    """

    at: float
    host: str
    event: Any

    def text(self) -> str:
        """Return the entry as one line."""
        name = events.KINDS[type(self.event)].name
        return (
            f"{self.at:14.4f} {self.host:26} {name:18} {codec.encode_text(self.event)}"
        )


@attrs.define(kw_only=True)
class JobTimeline:
    """A job's entries in order, and what else happened meanwhile."""

    job: str
    job_entries: list[Entry] = attrs.field(factory=list)
    context: list[Entry] = attrs.field(factory=list)

    def first(self, kind: type[Any]) -> Entry | None:
        """Return the job's first entry of a kind of event."""
        return next((e for e in self.job_entries if isinstance(e.event, kind)), None)


@attrs.frozen(kw_only=True)
class Cause:
    """The decision that cost a job; `entry` is None where none was found."""

    text: str
    entry: Entry | None = None


def read_lines(lines: Iterable[str]) -> list[Entry]:
    """Return every event among some lines, in the order of time."""
    found = [entry for line in lines if (entry := read_line(line)) is not None]
    return sorted(found, key=lambda entry: entry.at)


def read_line(line: str) -> Entry | None:
    """Return the event of a line, or None if it has none."""
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
    except (ValueError, KeyError, AttributeError, msgspec.ValidationError):
        return None
    prefix = line[:start].split()
    if len(prefix) == PREFIX_TIME_PARTS - 1:
        try:
            at = float(prefix[0])
        except ValueError:
            pass
    return Entry(at=at, host=host, event=event)


def job_of(event: Any) -> str:
    """Return the job that an event is about; empty for none."""
    name: str = getattr(event, "job", "") or getattr(event, "task", "")
    name = name or getattr(event, "step", "")
    return name.partition(".")[0]


def job_timeline(entries: list[Entry], job: str) -> JobTimeline:
    """Return the entries of one job and of its time."""
    matching = [timeline for timeline in job_timelines(entries) if timeline.job == job]
    return matching[0] if matching else JobTimeline(job=job)


def job_timelines(entries: list[Entry]) -> list[JobTimeline]:
    """Return the story of every job, in one pass over its own entries."""
    job_entries: dict[str, list[Entry]] = {}
    context: list[Entry] = []
    for entry in entries:
        name = job_of(entry.event)
        if name:
            job_entries.setdefault(name, []).append(entry)
        elif isinstance(entry.event, CONTEXT_EVENTS):
            context.append(entry)
    times = [entry.at for entry in context]
    return [
        JobTimeline(
            job=job,
            job_entries=found,
            context=context[
                bisect.bisect_left(
                    times, found[0].at - CONTEXT_WINDOW_S
                ) : bisect.bisect_right(times, found[-1].at)
            ],
        )
        for job, found in job_entries.items()
    ]


def lost(timeline: JobTimeline) -> bool:
    """Tell whether a job earned less than it could: refused, late, unfinished."""
    ended = [e for e in timeline.job_entries if isinstance(e.event, events.JobEnded)]
    if not ended:
        return not any(
            isinstance(e.event, events.JobCancelled) for e in timeline.job_entries
        )
    event: events.JobEnded = ended[-1].event
    return event.state == "failed" or (event.state != "cancelled" and late(timeline))


def late(timeline: JobTimeline) -> bool:
    """Tell whether an ended job missed its objective, by run times as they were.

    The objective is what the queue allows for the longest chain of work. Logs
    do not tell which steps wait for which: they count one after the other. Logs
    of before the queue's figures stood in them are judged by the estimates.
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
    """Return the run time of a job's longest tasks, step after step, in seconds.

    Attempts that failed count, since a task's own fault is nobody's delay.
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
    """Return the queue that a job was handed in at; empty where no line tells."""
    names = (getattr(entry.event, "queue", "") for entry in timeline.job_entries)
    return next((name for name in names if name), "")


def cause(timeline: JobTimeline) -> Cause:
    """Return the decision that cost a job most."""
    accepted = any(isinstance(e.event, events.JobStored) for e in timeline.job_entries)
    if not accepted:
        return _rejection_cause(timeline)
    for entry in timeline.job_entries:
        if isinstance(entry.event, events.TaskCrashesWorkers):
            return Cause(text="given up: it crashes its workers", entry=entry)
    return _stage_cause(timeline)


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
            case events.JobUnknown(reason=reason):
                return Cause(text=f"given up by the front end: {reason}", entry=entry)
            case events.JobMalformed(reason=reason):
                return Cause(text=f"malformed job: {reason}", entry=entry)
            case events.JobWithdrawn():
                return Cause(text="withdrawn: never sent to the table", entry=entry)
            case events.JobUnsettled(reason=reason):
                return Cause(text=f"the owner gave no answer: {reason}", entry=entry)
            case events.JobInInbox() | events.JobAccepted():
                return Cause(text="taken in, but nobody stored it", entry=entry)
    return Cause(text="no line of it says why")


@attrs.define(kw_only=True)
class _Stage:
    """A stage of an accepted job, with the time that it took too long."""

    seconds: float
    text: str
    entry: Entry


def _stage_cause(timeline: JobTimeline) -> Cause:
    stages = [*_attempt_stages(timeline), *_gap_stages(timeline)]
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
        return Cause(text="no line of it says why")
    last = timeline.job_entries[-1]
    return Cause(text="the logs end before it does; its last line", entry=last)


def _attempt_stages(timeline: JobTimeline) -> list[_Stage]:
    stages: list[_Stage] = []
    for entry in timeline.job_entries:
        match entry.event:
            case events.TaskEnded(how=how, ran_s=ran_s) if how != "done":
                stages.append(
                    _Stage(
                        seconds=ran_s + SLOW_STAGE_S, text=f"attempt {how}", entry=entry
                    )
                )
            case events.TaskPlaced(waited_s=waited_s, attempt=1):
                text = f"waited for a place: {_wait_reason(timeline, entry)}"
                stages.append(_Stage(seconds=waited_s, text=text, entry=entry))
            case events.TaskStarted(after_s=after_s):
                text = "placed, but its start came late"
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


def _wait_reason(timeline: JobTimeline, placed: Entry) -> str:
    """Return the reason that was logged last before a task was placed."""
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
    """Return times without an owner or a table within the job's time."""
    stages: list[_Stage] = []
    for before, after in zip(
        timeline.job_entries, timeline.job_entries[1:], strict=False
    ):
        between = [
            entry for entry in timeline.context if before.at <= entry.at <= after.at
        ]
        gap_s = after.at - before.at
        if between and gap_s > SLOW_STAGE_S:
            name = events.KINDS[type(between[0].event)].name
            stages.append(
                _Stage(seconds=gap_s, text=f"held up around {name}", entry=between[0])
            )
    return stages
