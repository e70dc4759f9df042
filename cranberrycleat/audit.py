"""Checks the system's guarantees against the worker stand-ins' own records.

Compares what workers executed with the outcomes reported to callers. It is
independent of the scheduler's own state. Each violation is a `Finding`.
"""

import math
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from cranberrycleat import errors
from cranberrycleat.caller import CallOutcome, CallResult
from cranberrycleat.standins.worker import WorkerRecord

OVERLAPPING_RUNS: Final = "two-places"
OVER_CAPACITY: Final = "over-capacity"
RAN_TWICE: Final = "ran-twice"
RAN_AFTER_NOT_RUN: Final = "ran-after-not-run"
MISMATCHED_RESPONSE: Final = "not-own-answer"
NO_RETRY_AFTER: Final = "no-retry-after"


@attrs.frozen(kw_only=True, order=True)
class TaskRun:
    """One run of a task attempt on a worker, timed on the clock all workers share.

    Attributes:
        began: When the run began.
        ended: When the run ended; infinity where its end was not recorded.
        worker: The worker's name.
        attempt: The number of the attempt.
    """

    began: float
    ended: float
    worker: str
    attempt: int


def audit(
    records: Sequence[WorkerRecord], results: Iterable[CallResult] = ()
) -> tuple[errors.Finding, ...]:
    """Return every violated guarantee, sorted and without duplicates.

    Args:
        records: The records of all workers. Their timestamps must come from the
            clock of a single machine, because runs are compared across workers.
        results: The calls made, with the outcomes reported to the callers.
    """
    found: list[errors.Finding] = []
    found.extend(_check_capacity(records))
    found.extend(_check_overlaps(records))
    found.extend(_check_calls(records, results))
    return tuple(sorted(set(found)))


def _finding(place: str, code: str, message: str) -> errors.Finding:
    return errors.Finding(place=place, code=code, message=message)


def _check_capacity(records: Sequence[WorkerRecord]) -> Iterable[errors.Finding]:
    for record in records:
        if not record.most_used.fits_in(record.capacity):
            yield _finding(
                record.worker, OVER_CAPACITY, f"peak usage was {record.most_used}"
            )


def runs_by_task(records: Sequence[WorkerRecord]) -> dict[str, list[TaskRun]]:
    """Return the runs of each task, by task."""
    found: dict[str, list[TaskRun]] = {}
    for record in records:
        open_runs: dict[tuple[str, int], float] = {}
        for line in record.lines:
            attempt_key = (line.task, line.attempt)
            if line.event == "started":
                open_runs[attempt_key] = line.at
            elif attempt_key in open_runs:
                task_run = _task_run(
                    record, attempt_key, open_runs.pop(attempt_key), line.at
                )
                found.setdefault(line.task, []).append(task_run)
        for attempt_key, began in open_runs.items():
            task_run = _task_run(record, attempt_key, began, math.inf)
            found.setdefault(attempt_key[0], []).append(task_run)
    return found


def _task_run(
    record: WorkerRecord, attempt_key: tuple[str, int], began: float, ended: float
) -> TaskRun:
    return TaskRun(
        began=began, ended=ended, worker=record.worker, attempt=attempt_key[1]
    )


def _check_overlaps(records: Sequence[WorkerRecord]) -> Iterable[errors.Finding]:
    for task, runs in runs_by_task(records).items():
        runs.sort()
        for previous_run, next_run in zip(runs, runs[1:]):
            if next_run.began < previous_run.ended:
                worker_names = f"{previous_run.worker} and {next_run.worker}"
                yield _finding(
                    task, OVERLAPPING_RUNS, f"ran concurrently on {worker_names}"
                )


def _check_calls(
    records: Sequence[WorkerRecord], results: Iterable[CallResult]
) -> Iterable[errors.Finding]:
    run_counts: dict[str, int] = {}
    for record in records:
        for request_log in record.requests:
            run_counts[request_log.id] = run_counts.get(request_log.id, 0) + 1
    run_counts_by_key: dict[str, int] = {}
    for result in results:
        yield from _check_call(result, run_counts.get(result.id, 0))
        if result.key is not None:
            run_counts_by_key[result.key] = run_counts_by_key.get(
                result.key, 0
            ) + run_counts.get(result.id, 0)
    for key, run_count in run_counts_by_key.items():
        if run_count > 1:
            yield _finding(f"key {key}", RAN_TWICE, f"ran {run_count} times")


def _check_call(result: CallResult, run_count: int) -> Iterable[errors.Finding]:
    place = f"request {result.id}"
    if result.reported_outcome is CallOutcome.NOT_RUN and run_count:
        yield _finding(place, RAN_AFTER_NOT_RUN, f"ran {run_count} times")
    if not result.response_matches:
        yield _finding(
            place, MISMATCHED_RESPONSE, "response belongs to another request"
        )
    if result.status == 503 and not result.retry_after:
        yield _finding(place, NO_RETRY_AFTER, "rejected without a Retry-After header")
