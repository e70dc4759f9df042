"""The stored form of jobs, one or two rows per job, and of learned speeds.

`jobs/ID` holds the mutable part of a job and is written on every change. A small
specification is stored inline in that row: a short job then uses three transaction
entries over its lifetime instead of five. On a slow table, which executes about 4
transactions of 96 entries per second, the number of entries limits the job throughput.
A larger specification is stored in `specs/ID`, written once and deleted when the job
ends. The platform's table charges by the byte, so `jobs` rows are encoded as arrays
without field names (msgspec's `array_like`, which attrs classes do not support): a job
with ten placed tasks takes about 300 bytes instead of 900.

A job whose state outgrows one row is stored in several (see `job_pages`).

`speeds/POOL` holds the speeds of a pool's workers, for the next owner.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import attrs
import msgspec

from cranberrycleat import codec, errors
from cranberrycleat.amounts import Amounts
from cranberrycleat.table import Put, TableLimits, value_bytes
from cranberrycleat.workflow.crash_attribution import LossKind, LossRecord, LostWorker
from cranberrycleat.workflow.decisions.speed_model import LearnedSpeed
from cranberrycleat.workflow.job_pages import (
    OTHER_SECTION,
    StoredSection,
    page_key,
    page_numbers,
    read_sections,
    write_sections,
)
from cranberrycleat.workflow.ports import Queue
from cranberrycleat.workflow.spec import WorkflowSpec
from cranberrycleat.workflow.state import (
    FailedEnd,
    Job,
    JobState,
    Occurrence,
    OrphanedAttempt,
    StepRun,
    TaskState,
    UnansweredStart,
)

JOBS: Final = "jobs"
SPECS: Final = "specs"
INBOX: Final = "inbox"
SPEEDS: Final = "speeds"
SECTION_OCCURRENCES: Final = 32
"""Occurrences of a job that are stored together if it outgrew its row. A change writes
one such section again; 32 occurrences of three steps take about 2.5 KB."""
MAX_LOG_SPEED: Final = 100.0
"""Largest logarithm of a learned speed that is believed, in either direction; the
exponential of a much larger one exceeds the range of numbers in every round."""
_VERDICTS: Final = (None, JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@attrs.frozen(kw_only=True)
class SpecRow:
    """The immutable part of a job.

    Attributes:
        queue: The settings of its queue at the time it was accepted.
        spec: The job.
        accepted_s: When it was accepted, in seconds since 1970.
        workspace: The workspace it belongs to; empty for none.
    """

    queue: Queue
    spec: WorkflowSpec
    accepted_s: float
    workspace: str = ""


class _StepRow(msgspec.Struct, array_like=True):
    """A step of an occurrence.

    `loss_details` has one entry for each of `lost`; a row of an earlier version has
    none. Fields are only ever added at the end: during a rolling upgrade both versions
    read each other's rows.
    """

    last_attempt: int = 0
    gang_failures: int = 0
    failed_attempt: int = 0
    done: tuple[int, ...] = ()
    placed: tuple[tuple[int, int, str], ...] = ()
    failures: tuple[tuple[int, int], ...] = ()
    saved: tuple[tuple[int, str], ...] = ()
    lost: tuple[tuple[int, int, str, str, bool], ...] = ()
    loss_details: tuple[tuple[str, str, int, float], ...] = ()
    failed_ends: tuple[tuple[int, int, str], ...] = ()
    placed_s: float = 0.0
    unseen: tuple[tuple[int, int], ...] = ()


class _OccurrenceRow(msgspec.Struct, array_like=True):
    number: int
    steps: tuple[_StepRow, ...]


class JobRow(msgspec.Struct, array_like=True):
    """The mutable part of a job; `verdict` is an index into `_VERDICTS`.

    `spec` is the immutable part of a small open job. `workspace` is repeated here
    because that part is deleted when the job ends. `left` lists attempts that may still
    run although their tasks are no longer placed there: attempts of a cancelled job, or
    attempts stopped because another one completed the task. `unanswered` lists starts
    that a later incarnation of their worker may carry out (see `late_starts`).
    `accepted_s` is given for ended jobs of a workspace, which count towards its share
    (see `fair_share`). `attempts` is the number of attempts placed, of an open job.
    """

    verdict: int = 0
    ended_s: int = 0
    started: bool = False
    next_occurrence: int = 0
    open: tuple[_OccurrenceRow, ...] = ()
    spec: SpecRow | None = None
    workspace: str = ""
    left: tuple[tuple[str, int, str, int, int, int], ...] = ()
    unanswered: tuple[tuple[str, int, str, str, int, int, int], ...] = ()
    accepted_s: float = 0.0
    attempts: int = 0

    def state(self) -> JobState:
        """Return the state reported to callers."""
        verdict = _VERDICTS[self.verdict]
        if verdict is not None:
            return verdict
        return JobState.RUNNING if self.started else JobState.QUEUED


class _Section(msgspec.Struct, array_like=True):
    """A section of a job that outgrew its row; its fields are those of `JobRow`.

    An occurrence without steps is one of which no task was ever placed.
    """

    open: tuple[_OccurrenceRow, ...] = ()
    left: tuple[tuple[str, int, str, int, int, int], ...] = ()
    unanswered: tuple[tuple[str, int, str, str, int, int, int], ...] = ()


class _HeadRow(msgspec.Struct):
    """The row of a job that outgrew it; `sections` names the pages of each section."""

    head: JobRow
    sections: tuple[tuple[int, tuple[int, ...]], ...]


@attrs.frozen(kw_only=True)
class JobWrite:
    """The writes that store a job's mutable part.

    Attributes:
        put: The row `jobs/ID`.
        pages: The pages to write before it or with it.
        deletes: The keys of pages that are no longer needed once it is written.
        sections: The sections as stored then.
        last_page: The highest number of any page.
    """

    put: Put
    pages: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()
    sections: Mapping[int, StoredSection] = attrs.field(factory=dict)
    last_page: int = 0


def job_key(job_id: str) -> str:
    """Return the key of a job's mutable part."""
    return f"{JOBS}/{job_id}"


def spec_key(job_id: str) -> str:
    """Return the key of a job's immutable part."""
    return f"{SPECS}/{job_id}"


def inbox_key(job_id: str) -> str:
    """Return the inbox key of a job that a front end stored itself."""
    return f"{INBOX}/{job_id}"


def spec_put(job: Job) -> Put:
    """Return the write of a job's immutable part."""
    return Put(key=spec_key(job.job_id), value=codec.encode_text(_spec_row(job)))


def _spec_row(job: Job) -> SpecRow:
    return SpecRow(
        queue=job.queue,
        spec=job.spec,
        accepted_s=job.accepted_s,
        workspace=job.workspace,
    )


def job_put(
    job: Job,
    left: tuple[OrphanedAttempt, ...] = (),
    unanswered: tuple[UnansweredStart, ...] = (),
) -> Put:
    """Return the write of a job's mutable part as one row, of whatever size."""
    row = _job_row(job, left, unanswered)
    return Put(key=job_key(job.job_id), value=msgspec.json.encode(row).decode())


def job_write(
    job: Job,
    left: tuple[OrphanedAttempt, ...],
    unanswered: tuple[UnansweredStart, ...],
    row_bytes: int,
) -> JobWrite:
    """Return the writes of a job's mutable part, of which no row is too large."""
    row = _job_row(job, left, unanswered)
    text = msgspec.json.encode(row)
    key = job_key(job.job_id)
    if len(text) <= row_bytes:
        return JobWrite(
            put=Put(key=key, value=text.decode()),
            deletes=page_keys(job),
            last_page=job.last_page,
        )
    written = write_sections(
        job.job_id,
        _section_texts(job, row),
        job.sections,
        last_page=job.last_page,
        row_bytes=row_bytes,
    )
    head = _HeadRow(
        head=msgspec.structs.replace(row, open=(), left=(), unanswered=()),
        sections=tuple(
            (number, section.pages) for number, section in written.sections.items()
        ),
    )
    return JobWrite(
        put=Put(key=key, value=msgspec.json.encode(head).decode()),
        pages=written.puts,
        deletes=tuple(page_key(job.job_id, each) for each in written.replaced),
        sections=written.sections,
        last_page=written.last_page,
    )


def page_keys(job: Job) -> tuple[str, ...]:
    """Return the keys of a job's pages, as last stored."""
    return tuple(page_key(job.job_id, each) for each in page_numbers(job.sections))


def _section_texts(job: Job, row: JobRow) -> dict[int, bytes]:
    sections: dict[int, list[_OccurrenceRow]] = {}
    for packed in row.open:
        if job.open[packed.number].is_unbegun():
            packed = _OccurrenceRow(number=packed.number, steps=())
        number = packed.number // SECTION_OCCURRENCES
        sections.setdefault(number, []).append(packed)
    texts = {
        number: msgspec.json.encode(_Section(open=tuple(found)))
        for number, found in sections.items()
    }
    if row.left or row.unanswered:
        other = _Section(left=row.left, unanswered=row.unanswered)
        texts[OTHER_SECTION] = msgspec.json.encode(other)
    return texts


def _job_row(
    job: Job,
    left: tuple[OrphanedAttempt, ...],
    unanswered: tuple[UnansweredStart, ...],
) -> JobRow:
    """Return a job's mutable part, with the spec inline if it is small."""
    inline = job.spec_inline and job.verdict is None
    return JobRow(
        verdict=_VERDICTS.index(job.verdict),
        ended_s=round(job.ended_s),
        started=job.started,
        next_occurrence=job.next_occurrence,
        open=() if job.verdict else tuple(_pack(each) for each in job.open.values()),
        spec=_spec_row(job) if inline else None,
        workspace=job.workspace,
        left=tuple(_pack_orphaned_attempt(each) for each in left),
        unanswered=tuple(_pack_unanswered_start(each) for each in unanswered),
        accepted_s=job.accepted_s if job.verdict and job.workspace else 0.0,
        attempts=0 if job.verdict else job.attempts,
    )


def _pack(occurrence: Occurrence) -> _OccurrenceRow:
    steps = []
    for step in occurrence.steps:
        tasks = step.tasks
        steps.append(
            _StepRow(
                last_attempt=step.last_attempt,
                gang_failures=step.gang_failures,
                failed_attempt=step.failed_attempt,
                done=tuple(t.index for t in tasks if t.state is TaskState.DONE),
                placed=tuple(
                    (t.index, t.attempt, t.worker)
                    for t in tasks
                    if t.state is TaskState.PLACED
                ),
                failures=tuple((t.index, t.failures) for t in tasks if t.failures),
                saved=tuple(
                    (t.index, t.saved)
                    for t in tasks
                    if t.saved and t.state is not TaskState.DONE
                ),
                lost=tuple(_pack_losses(step)),
                loss_details=tuple(_pack_loss_details(step)),
                failed_ends=tuple(
                    (each.index, each.attempt, each.worker)
                    for each in step.failed_ends
                    if tasks[each.index].state is not TaskState.DONE
                ),
                placed_s=round(step.placed_s, 1),
                unseen=tuple(
                    (t.index, t.attempt)
                    for t in tasks
                    if t.state is TaskState.PLACED
                    and (t.index, t.attempt) in step.unseen
                ),
            )
        )
    return _OccurrenceRow(number=occurrence.number, steps=tuple(steps))


def _pack_orphaned_attempt(
    orphaned: OrphanedAttempt,
) -> tuple[str, int, str, int, int, int]:
    needs = orphaned.needs
    return (
        orphaned.task,
        orphaned.attempt,
        orphaned.worker,
        needs.processors,
        needs.memory_mb,
        needs.accelerators,
    )


def _unpack_orphaned_attempts(row: JobRow) -> tuple[OrphanedAttempt, ...]:
    return tuple(
        OrphanedAttempt(
            task=task,
            attempt=attempt,
            worker=worker,
            needs=Amounts(processors=cpu, memory_mb=memory, accelerators=accelerators),
        )
        for task, attempt, worker, cpu, memory, accelerators in row.left
    )


def _pack_unanswered_start(
    start: UnansweredStart,
) -> tuple[str, int, str, str, int, int, int]:
    needs = start.needs
    return (
        start.task,
        start.attempt,
        start.worker,
        start.group,
        needs.processors,
        needs.memory_mb,
        needs.accelerators,
    )


def _unpack_unanswered_starts(row: JobRow) -> tuple[UnansweredStart, ...]:
    return tuple(
        UnansweredStart(
            task=task,
            attempt=attempt,
            worker=worker,
            group=group,
            needs=Amounts(processors=cpu, memory_mb=memory, accelerators=accelerators),
        )
        for task, attempt, worker, group, cpu, memory, accelerators in row.unanswered
    )


def _pack_losses(step: StepRun) -> Iterator[tuple[int, int, str, str, bool]]:
    """Yield the lost workers; a successor continues the count from them."""
    for index, losses in _stored_losses(step):
        for each in losses:
            is_crash = each.kind is LossKind.CRASH
            yield index, each.attempt, each.worker, each.address, is_crash


def _stored_losses(step: StepRun) -> Iterator[tuple[int, list[LostWorker]]]:
    """Yield the losses that count for something, by task, of tasks that are not done.

    An earlier version counts every loss that it reads.
    """
    for index, record in step.losses.items():
        if step.tasks[index].state is not TaskState.DONE:
            yield index, [each for each in record.lost if each.evidence]


def _pack_loss_details(step: StepRun) -> Iterator[tuple[str, str, int, float]]:
    """Yield the rest of each lost worker, in the same order."""
    for _, losses in _stored_losses(step):
        for each in losses:
            at_s = round(each.recorded_s, 1)
            yield each.kind.value, each.proof, each.epoch, at_s


def decode_job_row(text: str, place: str) -> JobRow:
    """Decode the mutable part of a job; without its sections if it has any.

    Raises:
        FindingsError: The row is malformed.
    """
    return _decode_head(text, place).head


def decode_whole_job(
    text: str, pages: Mapping[int, str], place: str
) -> tuple[JobRow, dict[int, StoredSection]]:
    """Decode the mutable part of a job with its sections, and return these as well.

    Args:
        text: The row `jobs/ID`.
        pages: The texts of the job's pages by number.
        place: The row's key.

    Raises:
        FindingsError: The row or a section is malformed, or a page is missing.
    """
    head = _decode_head(text, place)
    row, sections = head.head, {}
    for number, (section, found) in read_sections(head.sections, pages, place).items():
        sections[number] = section
        try:
            decoded = msgspec.json.decode(found, type=_Section)
        except codec.UNDECODABLE as exc:
            raise _malformed(place, exc) from None
        row.open += decoded.open
        row.left += decoded.left
        row.unanswered += decoded.unanswered
    row.open = tuple(sorted(row.open, key=lambda each: each.number))
    return row, sections


def _decode_head(text: str, place: str) -> _HeadRow:
    try:
        if text.startswith("{"):
            return msgspec.json.decode(text, type=_HeadRow)
        return _HeadRow(head=msgspec.json.decode(text, type=JobRow), sections=())
    except codec.UNDECODABLE as exc:
        raise _malformed(place, exc) from None


def _malformed(place: str, exc: Exception) -> errors.FindingsError:
    found = errors.finding(place, errors.MALFORMED, reason=str(exc))
    return errors.FindingsError(findings=(found,))


def restore(job_id: str, spec: SpecRow, row: JobRow) -> Job:
    """Rebuild a job from its rows."""
    job = Job(
        job_id=job_id,
        queue=spec.queue,
        spec=spec.spec,
        accepted_s=spec.accepted_s,
        verdict=_VERDICTS[row.verdict],
        ended_s=row.ended_s,
        started=row.started,
        spec_stored=True,
        spec_inline=row.spec is not None,
        attempts=row.attempts,
        workspace=spec.workspace,
        left=_unpack_orphaned_attempts(row),
        unanswered=_unpack_unanswered_starts(row),
    )
    for packed in row.open:
        job.next_occurrence = packed.number
        _unpack(job.open_occurrence(), packed)
    job.next_occurrence = row.next_occurrence
    return job


def ended_job(job_id: str, row: JobRow) -> Job:
    """Rebuild a final job, of which only the mutable part is still stored."""
    return Job(
        job_id=job_id,
        queue=Queue(name="", host="", prefix="", pool=""),
        spec=WorkflowSpec(program="", steps=()),
        accepted_s=row.accepted_s,
        verdict=_VERDICTS[row.verdict],
        ended_s=row.ended_s,
        started=row.started,
        spec_stored=True,
        workspace=row.workspace,
        left=_unpack_orphaned_attempts(row),
        unanswered=_unpack_unanswered_starts(row),
    )


def _unpack(occurrence: Occurrence, packed: _OccurrenceRow) -> None:
    if not packed.steps:
        return
    for step, step_row in zip(occurrence.steps, packed.steps, strict=True):
        step.last_attempt = step_row.last_attempt
        step.gang_failures = step_row.gang_failures
        step.failed_attempt = step_row.failed_attempt
        for index, failures in step_row.failures:
            step.tasks[index].failures = failures
        step.placed_s = step_row.placed_s
        step.unseen = set(step_row.unseen)
        _unpack_losses(step, step_row)
        step.failed_ends = [
            FailedEnd(index=index, attempt=attempt, worker=worker)
            for index, attempt, worker in step_row.failed_ends
        ]
        for index, saved in step_row.saved:
            step.tasks[index].saved = saved
        for index in step_row.done:
            step.tasks[index].state = TaskState.DONE
            step.done += 1
        for index, attempt, worker in step_row.placed:
            task = step.tasks[index]
            task.state = TaskState.PLACED
            task.attempt = attempt
            task.worker = worker


def _unpack_losses(step: StepRun, step_row: _StepRow) -> None:
    for number, (index, attempt, worker, address, early) in enumerate(step_row.lost):
        # An earlier version stored no more than whether the loss was a crash.
        kind = LossKind.CRASH if early else LossKind.UNKNOWN
        proof, epoch, recorded_s = "", 0, 0.0
        if number < len(step_row.loss_details):
            name, proof, epoch, recorded_s = step_row.loss_details[number]
            kind = _loss_kind(name, kind)
        loss = LostWorker(
            attempt=attempt,
            worker=worker,
            address=address,
            kind=kind,
            proof=proof,
            epoch=epoch,
            recorded_s=recorded_s,
        )
        step.losses.setdefault(index, LossRecord()).lost.append(loss)


def _loss_kind(name: str, otherwise: LossKind) -> LossKind:
    """Return a stored kind of loss; `otherwise` for one that a later version wrote."""
    try:
        return LossKind(name)
    except ValueError:
        return otherwise


class SpeedsRow(msgspec.Struct, array_like=True):
    """The learned speeds of a pool's workers, and when they were written (Unix time).

    A worker has its identity, start time, kind, capacity (three amounts), logarithm of
    its speed, and samples.
    """

    written_s: float
    workers: tuple[tuple[str, int, str, int, int, int, float, float], ...]


def speeds_put(
    pool: str,
    speeds: Iterable[LearnedSpeed],
    now_s: float,
    row_bytes: int = TableLimits().row_bytes,
) -> Put:
    """Return the write of the learned speeds of a pool at a Unix time in seconds.

    Of more workers than fit into a row, those with the fewest samples are left out.
    """
    found = list(speeds)
    put = _speeds_put(pool, found, now_s)
    if value_bytes(put.value) > row_bytes:
        found.sort(key=lambda each: -each.samples)
    while found and value_bytes(put.value) > row_bytes:
        fitting = len(found) * row_bytes // value_bytes(put.value)
        found = found[: min(fitting, len(found) - 1)]
        put = _speeds_put(pool, found, now_s)
    return put


def _speeds_put(pool: str, speeds: Iterable[LearnedSpeed], now_s: float) -> Put:
    row = SpeedsRow(
        written_s=round(now_s, 1),
        workers=tuple(
            (
                each.worker,
                each.born_ms,
                each.kind,
                each.capacity.processors,
                each.capacity.memory_mb,
                each.capacity.accelerators,
                each.log_speed,
                each.samples,
            )
            for each in speeds
        ),
    )
    return Put(key=f"{SPEEDS}/{pool}", value=msgspec.json.encode(row).decode())


def decode_speeds(text: str, place: str) -> tuple[float, tuple[LearnedSpeed, ...]]:
    """Decode the learned speeds of a pool, and when they were written (Unix time).

    Raises:
        FindingsError: The row is malformed.
    """
    try:
        row = msgspec.json.decode(text, type=SpeedsRow)
        for worker, *_, log_speed, _ in row.workers:
            if not abs(log_speed) <= MAX_LOG_SPEED:
                raise msgspec.ValidationError(f"speed of {worker}: e^{log_speed}")
    except codec.UNDECODABLE as exc:
        found = errors.finding(place, errors.MALFORMED, reason=str(exc))
        raise errors.FindingsError(findings=(found,)) from None
    return row.written_s, tuple(
        LearnedSpeed(
            worker=worker,
            born_ms=born_ms,
            kind=kind,
            capacity=Amounts(
                processors=cpu, memory_mb=memory, accelerators=accelerators
            ),
            log_speed=log_speed,
            samples=samples,
        )
        for worker, born_ms, kind, cpu, memory, accelerators, log_speed, samples in (
            row.workers
        )
    )
