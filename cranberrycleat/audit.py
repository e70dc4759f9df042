"""The audit: judges the system by the worker stand-ins' own records.

It compares what workers did with what callers were told, and knows nothing of
the system's own books. Each fault is a finding.
"""

import math
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from cranberrycleat import errors
from cranberrycleat.caller import CallNote, Told
from cranberrycleat.standins.worker import WorkerRecord

TWO_PLACES: Final = "two-places"
OVER_CAPACITY: Final = "over-capacity"
RAN_TWICE: Final = "ran-twice"
RAN_AFTER_NOT_RUN: Final = "ran-after-not-run"
NOT_OWN_ANSWER: Final = "not-own-answer"
NO_RETRY_AFTER: Final = "no-retry-after"


@attrs.frozen(kw_only=True, order=True)
class Span:
    """When one attempt of a task ran on one worker, on the shared clock."""

    began: float
    ended: float
    worker: str
    attempt: int


def audit(
    records: Sequence[WorkerRecord], notes: Iterable[CallNote] = ()
) -> tuple[errors.Finding, ...]:
    """Return every promise that was broken.

    Args:
        records: The records of all workers; their clocks must be one machine's.
        notes: What callers were told.
    """
    found: list[errors.Finding] = []
    found.extend(_capacity(records))
    found.extend(_places(records))
    found.extend(_calls(records, notes))
    return tuple(sorted(set(found)))


def _fault(place: str, code: str, message: str) -> errors.Finding:
    return errors.Finding(place=place, code=code, message=message)


def _capacity(records: Sequence[WorkerRecord]) -> Iterable[errors.Finding]:
    for record in records:
        if not record.most_used.fits_in(record.capacity):
            yield _fault(record.worker, OVER_CAPACITY, f"used {record.most_used}")


def spans(records: Sequence[WorkerRecord]) -> dict[str, list[Span]]:
    """Return when and where each task ran."""
    found: dict[str, list[Span]] = {}
    for record in records:
        open_at: dict[tuple[str, int], float] = {}
        for line in record.lines:
            mark = (line.task, line.attempt)
            if line.event == "started":
                open_at[mark] = line.at
            elif mark in open_at:
                span = _span(record, mark, open_at.pop(mark), line.at)
                found.setdefault(line.task, []).append(span)
        for mark, began in open_at.items():
            span = _span(record, mark, began, math.inf)
            found.setdefault(mark[0], []).append(span)
    return found


def _span(
    record: WorkerRecord, mark: tuple[str, int], began: float, ended: float
) -> Span:
    return Span(began=began, ended=ended, worker=record.worker, attempt=mark[1])


def _places(records: Sequence[WorkerRecord]) -> Iterable[errors.Finding]:
    for task, runs in spans(records).items():
        runs.sort()
        for earlier, later in zip(runs, runs[1:]):
            if later.began < earlier.ended:
                where = f"{earlier.worker} and {later.worker}"
                yield _fault(task, TWO_PLACES, f"ran at once on {where}")


def _calls(
    records: Sequence[WorkerRecord], notes: Iterable[CallNote]
) -> Iterable[errors.Finding]:
    ran: dict[str, int] = {}
    for record in records:
        for log in record.requests:
            ran[log.id] = ran.get(log.id, 0) + 1
    by_key: dict[str, int] = {}
    for note in notes:
        yield from _call(note, ran.get(note.id, 0))
        if note.key is not None:
            by_key[note.key] = by_key.get(note.key, 0) + ran.get(note.id, 0)
    for key, times in by_key.items():
        if times > 1:
            yield _fault(f"key {key}", RAN_TWICE, f"ran {times} times")


def _call(note: CallNote, times: int) -> Iterable[errors.Finding]:
    place = f"request {note.id}"
    if note.told is Told.NOT_RUN and times:
        yield _fault(place, RAN_AFTER_NOT_RUN, f"ran {times} times")
    if not note.own:
        yield _fault(place, NOT_OWN_ANSWER, "the answer was not this request's")
    if note.status == 503 and not note.retry_after:
        yield _fault(place, NO_RETRY_AFTER, "refused without saying when to return")
