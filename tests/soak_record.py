"""Records the events that led to a finding of the soak.

Owners' events, events on each worker and injected faults are kept in one record,
ordered by time. `excerpt` returns the part relevant to a finding: the jobs and workers
that it names, and the workers that had attempts of these jobs.
"""

import re
import traceback
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import attrs

from cranberrycleat import events
from cranberrycleat.clock import Clock
from cranberrycleat.standins.fleet import WorkerEvent

CONTEXT_WINDOW_S: Final = 6.0
"""How much of a worker's record before its finding is shown."""
MAX_EXCERPT_LINES: Final = 400
_JOB: Final = re.compile(r"\b[0-9a-f]{16}\b")
_WORKER: Final = re.compile(r"\bw-?\d+(?:\+\d+)?\b")


@attrs.frozen(kw_only=True)
class Entry:
    """One line of the record.

    Attributes:
        at: When it happened, in seconds, on the clock of the run.
        kind: `owner`, `worker`, `played` (a fault injected by the soak), `fault` (a
            violation that the workers' record shows) or `raised` (an unhandled
            exception).
        text: What happened.
        what: The kind of worker event; empty for other entries.
    """

    at: float
    kind: str
    text: str
    what: str = ""

    def is_raised(self, finding: str) -> bool:
        """Return whether it is the exception that a finding names."""
        return self.kind == "raised" and self.text.startswith(finding)

    def __str__(self) -> str:
        return f"{self.at:9.3f} {self.kind:6} {self.text}"


@attrs.define(kw_only=True, eq=False)
class Record:
    """All events of one run.

    Attributes:
        clock: The clock of the run.
        entries: The events, oldest first.
    """

    clock: Clock
    entries: list[Entry] = attrs.field(factory=list)

    def add_event(self, event: Any) -> None:
        """Add an event of an owner."""
        name = events.KINDS[type(event)].name
        fields = attrs.asdict(event)
        said = ", ".join(f"{key}={value}" for key, value in fields.items())
        self._add("owner", f"{name} {said}")

    def add_worker_event(self, record: WorkerEvent) -> None:
        """Add an event on a worker."""
        task = f" {record.task}#{record.attempt}" if record.task else ""
        text = f"{record.worker}@{record.born_ms} {record.what}{task} {record.detail}"
        kind = "fault" if record.what == "fault" else "worker"
        self._add(kind, text.rstrip(), record.what)

    def add_fault(self, text: str) -> None:
        """Add a fault that the soak injects."""
        self._add("played", text)

    def add_exception(self, exc: BaseException) -> None:
        """Add an exception that reached a caller of the system."""
        self._add("raised", "\n".join((repr(exc), *traceback.format_exception(exc))))

    def add_placements(self, text: str) -> None:
        """Add what an owner has placed on a worker."""
        self._add("owner", text)

    def _add(self, kind: str, text: str, what: str = "") -> None:
        self.entries.append(Entry(at=self.clock.now(), kind=kind, text=text, what=what))

    def excerpt(self, finding: str) -> list[str]:
        """Return the lines relevant to a finding; the newest ones if there are many."""
        jobs = set(_JOB.findall(finding))
        add_exception = [each for each in self.entries if each.is_raised(finding)]
        if add_exception:
            found = add_exception
        elif jobs:
            found = list(self._excerpt_of_jobs(jobs))
        else:
            found = list(
                self._excerpt_of_workers(set(_WORKER.findall(finding)), finding)
            )
        return [str(each) for each in found[-MAX_EXCERPT_LINES:]]

    def _excerpt_of_jobs(self, jobs: set[str]) -> Iterator[Entry]:
        """Yield the entries about jobs, and worker incarnations in that time."""
        named = [each for each in self.entries if jobs & set(_JOB.findall(each.text))]
        if not named:
            return
        first, last = named[0].at - CONTEXT_WINDOW_S, named[-1].at
        incarnation_events = {"incarnation begins", "incarnation ends", "crashes"}
        for each in self.entries:
            meanwhile = first <= each.at <= last
            if each.what == "list":
                continue
            if jobs & set(_JOB.findall(each.text)):
                yield each
            elif meanwhile and (
                each.what in incarnation_events or each.kind == "played"
            ):
                yield each
            elif meanwhile and each.text.startswith(("worker.", "owner.")):
                yield each

    def _excerpt_of_workers(self, workers: set[str], finding: str) -> Iterator[Entry]:
        """Yield the events on workers shortly before a fault there."""
        faults = [
            each.at
            for each in self.entries
            if each.kind == "fault" and finding in each.text
        ]
        for each in self.entries:
            near = any(at - CONTEXT_WINDOW_S <= each.at <= at + 0.1 for at in faults)
            named = workers & set(_WORKER.findall(each.text))
            if near and (named or each.kind in ("played", "fault")):
                yield each

    def write(self, path: Path, findings: list[str]) -> None:
        """Write the findings, the excerpt for each, and then the whole record."""
        path.parent.mkdir(parents=True, exist_ok=True)
        lines: list[str] = []
        for each in findings:
            lines += [f"finding: {each}", *self.excerpt(each), ""]
        lines += ["the whole record", *map(str, self.entries)]
        path.write_text("\n".join(lines) + "\n")
