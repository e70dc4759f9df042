"""Job front end: accepts submissions, queries and cancellations on every host.

A submission is forwarded to the owner, which stores the job in the same
transaction as its other pending changes. If no owner answers, the front end
writes the job to the inbox itself, on condition that the inbox has no row for
its job ID yet; the owner picks it up from there. A refused job was never
forwarded. If it is unknown whether a job was stored, the caller is told so and
retries with the same job ID.
"""

import asyncio
import enum
import logging
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat import codec, errors, events
from cranberrycleat.clock import Clock, time_of_day
from cranberrycleat.logs import emit, part_logger
from cranberrycleat.table import ABSENT, Check, Put, Row, TableLimits, value_bytes
from cranberrycleat.workflow import rows
from cranberrycleat.workflow.access import (
    LOGGED_DIGEST_DIGITS,
    Denied,
    Granted,
    KeyAuthorizer,
    Undecided,
    may_see,
)
from cranberrycleat.workflow.answer_timeout import AnswerTimeout
from cranberrycleat.workflow.directory import ConfigFollower
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peering import (
    HeartbeatReply,
    JobReply,
    JobRequest,
    PeerClient,
    SubmitReply,
    SubmitRequest,
)
from cranberrycleat.workflow.ports import FeedTable, Queue
from cranberrycleat.workflow.spec import Schedule, StepSpec, WorkflowSpec
from cranberrycleat.workflow.state import JobState
from cranberrycleat.writer import (
    BatchingWriter,
    Change,
    Committed,
    Conflicted,
    NotAttempted,
    OutcomeUnknown,
    Rejected,
    WriteResult,
)

LOG: Final[logging.Logger] = part_logger("door")
MAX_STEPS: Final = 64
MAX_TASKS_PER_STEP: Final = 2000
MAX_PROGRAM_BYTES: Final = 4000
"""Limit given in the platform's documentation of jobs."""
MAX_QUEUE_LENGTH_AGE_S: Final = 1.6
"""Queue lengths shown to callers must be at most 2 s old."""
OUTAGE_RETRY_AFTER_S: Final = 1.0
"""Retry-After sent when a request is refused because of an outage. Callers wait
3 s in total, which leaves room for two more attempts; the length of an outage
cannot be predicted."""
RETRY_TIME_FRACTION: Final = 0.85
"""Fraction of the caller's timeout during which the front end keeps retrying; the
remainder is reserved for returning the answer."""
SUBMIT_RETRY_INTERVAL_S: Final = 0.1
INBOX_WRITE_TIMEOUT_S: Final = 0.8
"""How long a request waits for an inbox write, which takes 0.5 s on a slowed-down
table."""
MAX_JOBS_PER_INBOX_WRITE: Final = 40
"""A transaction holds 100 entries and each job needs two."""


class RequestStatus(enum.Enum):
    """Status of a caller's request."""

    DONE = "done"
    NO_QUEUE = "no-queue"
    NO_JOB = "no-job"
    MALFORMED = "malformed"
    DENIED = "denied"
    REFUSED = "refused"
    OVERLOADED = "overloaded"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class RequestResult:
    """Result of a caller's request.

    Attributes:
        status: The request's status.
        state: The job's state, if it was asked for.
        waiting: The queue's length, if it was asked for.
        reason: Human-readable reason.
        retry_after_s: When to retry after a refusal.
    """

    status: RequestStatus
    state: str = ""
    waiting: int = 0
    reason: str = ""
    retry_after_s: float = OUTAGE_RETRY_AFTER_S


NEVER_RUN_STATUSES: Final = frozenset(
    {RequestStatus.REFUSED, RequestStatus.OVERLOADED, RequestStatus.DENIED}
)
"""Statuses that promise that the job never runs. They must not be returned for a
job that may have been stored."""
JOB_ID_TAKEN: Final = RequestResult(
    status=RequestStatus.MALFORMED, reason="this identity is another job's"
)


@attrs.frozen(kw_only=True)
class _Step:
    """Result of one submit attempt; without an answer the front end retries.

    Attributes:
        answer: The answer to the caller, if the outcome is known.
        possibly_stored: The job may have been stored, or may still be stored.
        owner_is_storing: A responsive owner has the job and is storing it.
    """

    answer: RequestResult | None = None
    possibly_stored: bool = False
    owner_is_storing: bool = False


async def _wait_for_stored(attempts: "set[asyncio.Task[_Step]]") -> _Step:
    """Return the first attempt that stored the job, else a "possibly stored" result."""
    pending = attempts
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for each in done:
            answer = each.result().answer
            if answer is not None and answer.status is RequestStatus.DONE:
                for unfinished in pending:
                    unfinished.cancel()
                return each.result()
    return _Step(possibly_stored=True)


@attrs.define(kw_only=True, eq=False)
class JobFrontend:
    """Handles callers' requests.

    Attributes:
        config: Follower that holds the active configuration.
        access: Checks callers' API keys.
        store: The platform's table.
        inbox: Writes jobs to the inbox in batches.
        peers: Client for calls to other hosts.
        owner: Returns the owner if it is this process and has taken over.
        owner_address: Returns the owner's address; empty if unknown.
        own_address: The address at which this process serves its peers.
        in_contact: Returns whether the owner or the table was reachable
            recently.
        config_is_late: Returns whether a newer configuration must be active by now.
        refused: Called when the connection to the owner's address is refused.
        left_in_inbox: Called when a job was written to the inbox.
        answer_timeout: Adaptive limit for waiting on the owner alone, before the
            inbox or the table is tried as well.
        clock: A monotonic clock.
        table_limits: What the table takes at most.
        heartbeat: The owner's latest heartbeat reply.
        heartbeat_at: When it was received.
    """

    config: ConfigFollower
    access: KeyAuthorizer
    store: FeedTable
    inbox: BatchingWriter
    peers: PeerClient
    owner: Callable[[], Owner | None]
    owner_address: Callable[[], str]
    own_address: str
    in_contact: Callable[[], bool]
    config_is_late: Callable[[], bool]
    refused: Callable[[], None]
    left_in_inbox: Callable[[], None]
    clock: Clock
    table_limits: TableLimits = TableLimits()
    answer_timeout: AnswerTimeout = attrs.field(factory=AnswerTimeout)
    heartbeat: HeartbeatReply | None = None
    heartbeat_at: float = float("-inf")

    def queue(self, host: str, path: str) -> Queue | RequestResult:
        """Return the queue for a path, or the result that rejects the request."""
        if self.config.current is None:
            return RequestResult(
                status=RequestStatus.REFUSED, reason="no configuration yet"
            )
        if self.config_is_late():
            reason = "a newer configuration is in force, and not read here yet"
            return RequestResult(status=RequestStatus.REFUSED, reason=reason)
        found = self.config.find(host, path)
        return found or RequestResult(status=RequestStatus.NO_QUEUE)

    def authorize(
        self, queue: Queue, job_id: str, key_digest: str
    ) -> Granted | RequestResult:
        """Check a request's key digest; return the grant or the rejection."""
        decision = self.access.authorize(queue, key_digest)
        match decision:
            case Granted():
                return decision
            case Denied(reason=reason):
                answer = RequestResult(status=RequestStatus.DENIED, reason=reason)
            case Undecided(reason=reason):
                answer = RequestResult(status=RequestStatus.REFUSED, reason=reason)
        emit(
            events.CallerRejected(
                job=job_id,
                queue=queue.name,
                key=key_digest[:LOGGED_DIGEST_DIGITS],
                denied=answer.status is RequestStatus.DENIED,
                reason=reason,
            )
        )
        return answer

    # --- submission -----------------------------------------------------------

    async def submit(
        self,
        queue: Queue,
        job_id: str,
        spec: WorkflowSpec,
        *,
        limit_s: float,
        access: Granted = Granted(),
    ) -> RequestResult:
        """Submit a job, retrying until the outcome is known or the time is up.

        Args:
            queue: The queue to submit to.
            job_id: The job ID chosen by the caller.
            spec: The job.
            limit_s: How long the caller waits for the answer.
            access: The access granted to the caller.
        """
        req = SubmitRequest(job_id=job_id, queue=queue, spec=spec, access=access)
        spec_fault = find_spec_fault(spec) or self._find_size_fault(req)
        if spec_fault:
            emit(events.JobMalformed(job=job_id, queue=queue.name, reason=spec_fault))
            return RequestResult(status=RequestStatus.MALFORMED, reason=spec_fault)
        started_at = self.clock.now()
        deadline = started_at + limit_s * RETRY_TIME_FRACTION
        possibly_stored = False
        while True:
            if not self.in_contact():
                break
            attempt = await self._submit_attempt(req)
            if attempt.answer is not None and not (
                possibly_stored and attempt.answer.status in NEVER_RUN_STATUSES
            ):
                return self._log_refusal(req, attempt.answer)
            possibly_stored = possibly_stored or attempt.possibly_stored
            if self.clock.now() > deadline:
                break
            await asyncio.sleep(SUBMIT_RETRY_INTERVAL_S)
        return self._timeout_result(req, possibly_stored, started_at)

    def _find_size_fault(self, req: SubmitRequest) -> str:
        """Return why the table cannot hold a job as submitted; empty if it can."""
        size = value_bytes(codec.encode_text(_spec_row(req)))
        limit = self.table_limits.row_bytes
        if size <= limit:
            return ""
        return f"the job takes {size} bytes, over the {limit} of a row"

    def _timeout_result(
        self, req: SubmitRequest, possibly_stored: bool, started_at: float
    ) -> RequestResult:
        reason = "not settled in time" if self.in_contact() else "cut off"
        if not possibly_stored:
            answer = RequestResult(status=RequestStatus.REFUSED, reason=reason)
            return self._log_refusal(req, answer)
        emit(
            events.JobUnknown(
                job=req.job_id,
                queue=req.queue.name,
                reason=reason,
                after_s=round(self.clock.now() - started_at, 3),
            )
        )
        return RequestResult(status=RequestStatus.UNKNOWN, reason=reason)

    @staticmethod
    def _log_refusal(req: SubmitRequest, answer: RequestResult) -> RequestResult:
        """Log the answer if it is a refusal, and return it."""
        if answer.status is RequestStatus.REFUSED:
            emit(
                events.JobRefused(
                    job=req.job_id,
                    queue=req.queue.name,
                    reason=answer.reason,
                    retry_after_s=answer.retry_after_s,
                    workspace=req.access.workspace,
                )
            )
        return answer

    async def _submit_attempt(self, req: SubmitRequest) -> "_Step":
        """Send a job to the owner and, if that is slow to answer, to the inbox too.

        Both may accept it, since a job ID identifies one job. With this hedge a
        dead owner delays the caller by one answer timeout, not by a lease.
        """
        began = self.clock.now()
        owner = asyncio.create_task(self._submit_to_owner(req))
        done, _ = await asyncio.wait({owner}, timeout=self.answer_timeout.limit_s())
        if done:
            attempt = owner.result()
            self.answer_timeout.answered(self.clock.now() - began)
            if attempt.answer is not None or attempt.owner_is_storing:
                return attempt
            from_inbox = await self._store_in_inbox(req)
            return attrs.evolve(
                from_inbox,
                possibly_stored=from_inbox.possibly_stored or attempt.possibly_stored,
            )
        self.answer_timeout.missed()
        inbox = asyncio.create_task(self._store_in_inbox(req))
        return await _wait_for_stored({owner, inbox})

    async def _submit_to_owner(self, req: SubmitRequest) -> "_Step":
        try:
            reply = await self._send_to_owner(req)
        except errors.NotOwner:
            return _Step()
        except errors.NotSent:
            self.refused()
            return _Step()
        except errors.PeerUnavailable as exc:
            emit(
                events.JobUnsettled(
                    job=req.job_id, owner=self.owner_address(), reason=str(exc)
                )
            )
            return _Step(possibly_stored=True)
        if reply is None:
            return _Step()
        if reply.accepted:
            return _Step(answer=RequestResult(status=RequestStatus.DONE))
        if reply.foreign:
            return _Step(answer=JOB_ID_TAKEN)
        if reply.denied:
            denied = RequestResult(status=RequestStatus.DENIED, reason=reply.reason)
            return _Step(answer=denied)
        if not reply.refused:
            return _Step(possibly_stored=True, owner_is_storing=True)
        return _Step(
            answer=RequestResult(
                status=(
                    RequestStatus.OVERLOADED
                    if reply.overloaded
                    else RequestStatus.REFUSED
                ),
                reason=reply.reason,
                retry_after_s=reply.retry_after_s,
            )
        )

    async def _send_to_owner(self, req: SubmitRequest) -> SubmitReply | None:
        """Return the owner's answer, or None if no owner is known."""
        owner = self.owner()
        if owner is not None:
            return await owner.submit(req)
        address = self.owner_address()
        if not address or address == self.own_address:
            return None
        return await self.peers.submit(address, req)

    async def _store_in_inbox(self, req: SubmitRequest) -> "_Step":
        row = _spec_row(req)
        key = rows.inbox_key(req.job_id)
        change = Change(
            check=Check(key=key, version=ABSENT),
            put=Put(key=key, value=codec.encode_text(row)),
        )
        match await self._write_with_timeout(change):
            case Committed():
                stored = True
            case Conflicted():
                # Written by an earlier attempt of this caller or by another workspace.
                try:
                    stored = await self._stored_by_workspace(req)
                except (errors.TableUnavailable, errors.FindingsError) as exc:
                    return self._inbox_outcome_unknown(req, str(exc))
            case NotAttempted() | Rejected():
                return _Step()
            case OutcomeUnknown():
                return self._inbox_outcome_unknown(req, "the write is not settled")
        if not stored:
            return _Step(answer=JOB_ID_TAKEN)
        emit(events.JobInInbox(job=req.job_id, outcome="stored"))
        self.left_in_inbox()
        return _Step(answer=RequestResult(status=RequestStatus.DONE))

    @staticmethod
    def _inbox_outcome_unknown(req: SubmitRequest, reason: str) -> "_Step":
        LOG.debug("Outcome of inbox write for job %s unknown: %s", req.job_id, reason)
        emit(events.JobInInbox(job=req.job_id, outcome="unknown"))
        return _Step(possibly_stored=True)

    async def _stored_by_workspace(self, req: SubmitRequest) -> bool:
        """Return whether the inbox row for a job ID belongs to the caller's workspace.

        Raises:
            TableUnavailable: The table gave no answer.
            FindingsError: The row has an unknown format.
        """
        found = await self.store.read(keys=(rows.inbox_key(req.job_id),))
        caller = req.access.workspace
        return all(may_see(caller=caller, owner=_inbox_workspace(row)) for row in found)

    async def _write_with_timeout(self, change: Change) -> WriteResult:
        """Write to the inbox; after the timeout the write continues in the background.

        The grouped writer tries three times. On a partitioned host the caller is
        better served by an early answer, and retries with the same job ID.
        """
        write = asyncio.ensure_future(self.inbox.write(change))
        done, _ = await asyncio.wait({write}, timeout=INBOX_WRITE_TIMEOUT_S)
        return write.result() if done else OutcomeUnknown()

    # --- queries and cancellation ---------------------------------------------

    async def state(self, job_id: str, workspace: str = "") -> RequestResult:
        """Return a job's state from the owner, or from the table if the owner is slow.

        For workspaces other than its own a job does not exist.
        """
        req = JobRequest(job_id=job_id, workspace=workspace)
        query = asyncio.create_task(self._query_owner(req, cancel=False))
        done, _ = await asyncio.wait({query}, timeout=self.answer_timeout.limit_s())
        if done:
            answer = query.result()
            if answer is not None and answer.known:
                self._log_failed_state(
                    job_id, answer.state, "owner", self.owner_address()
                )
                return RequestResult(status=RequestStatus.DONE, state=answer.state)
        else:
            query.cancel()
        if not self.in_contact():
            return RequestResult(status=RequestStatus.REFUSED, reason="cut off")
        try:
            found = await self._stored_state(req)
        except (errors.TableUnavailable, errors.FindingsError) as exc:
            return RequestResult(status=RequestStatus.REFUSED, reason=str(exc))
        self._log_failed_state(job_id, found.state, "table")
        return found

    @staticmethod
    def _log_failed_state(
        job_id: str, state: str, source: str, owner: str = ""
    ) -> None:
        """Log where a host read that a job is failed, before it tells its caller."""
        if state == JobState.FAILED.value:
            emit(events.JobFailureTold(job=job_id, source=source, owner=owner))

    async def _stored_state(self, req: JobRequest) -> RequestResult:
        keys = (rows.job_key(req.job_id), rows.inbox_key(req.job_id))
        found = {row.key: row for row in await self.store.read(keys=keys)}
        state, workspace = "", ""
        if keys[0] in found:
            row = rows.decode_job_row(found[keys[0]].value, keys[0])
            state, workspace = row.state().value, row.workspace
        elif keys[1] in found:
            state = JobState.QUEUED.value
            workspace = _inbox_workspace(found[keys[1]])
        if not state or not may_see(caller=req.workspace, owner=workspace):
            return RequestResult(status=RequestStatus.NO_JOB)
        return RequestResult(status=RequestStatus.DONE, state=state)

    async def cancel(
        self, job_id: str, *, limit_s: float, workspace: str = ""
    ) -> RequestResult:
        """Cancel a job, retrying until the outcome is known or the time is up."""
        req = JobRequest(job_id=job_id, workspace=workspace)
        deadline = self.clock.now() + limit_s * RETRY_TIME_FRACTION
        while True:
            answer = await self._cancel_attempt(req)
            if (
                answer.status is not RequestStatus.UNKNOWN
                or self.clock.now() > deadline
            ):
                reported = answer.state or answer.reason or answer.status.value
                emit(events.JobCancelled(job=job_id, state=reported))
                return answer
            await asyncio.sleep(SUBMIT_RETRY_INTERVAL_S)

    async def _cancel_attempt(self, req: JobRequest) -> RequestResult:
        answer = await self._query_owner(req, cancel=True)
        if answer is None:
            return RequestResult(
                status=RequestStatus.UNKNOWN, reason="no owner answers"
            )
        if answer.known:
            return RequestResult(status=RequestStatus.DONE, state=answer.state)
        try:
            stored = await self._stored_state(req)
        except (errors.TableUnavailable, errors.FindingsError) as exc:
            return RequestResult(status=RequestStatus.UNKNOWN, reason=str(exc))
        if stored.status is RequestStatus.NO_JOB:
            return stored
        return RequestResult(
            status=RequestStatus.UNKNOWN, reason="not with the owner yet"
        )

    async def _query_owner(self, req: JobRequest, *, cancel: bool) -> JobReply | None:
        """Return the owner's answer, or None if no owner answered."""
        try:
            owner = self.owner()
            if owner is not None:
                ask_here = owner.cancel if cancel else owner.settled_state
                return await ask_here(req.job_id, req.workspace)
            address = self.owner_address()
            if not address or address == self.own_address:
                return None
            ask = self.peers.cancel if cancel else self.peers.state
            answer = await ask(address, req)
        except errors.PeerUnavailable as exc:
            LOG.debug("Owner did not answer query for job %s: %s", req.job_id, exc)
            return None
        return answer if answer.owner else None

    def waiting(self, queue: Queue) -> RequestResult:
        """Return how many jobs of a queue have not started any task."""
        owner = self.owner()
        if owner is not None:
            number = owner.cluster_state.queue_length(queue.name)
            return RequestResult(status=RequestStatus.DONE, waiting=number)
        if (
            self.heartbeat is None
            or self.clock.now() - self.heartbeat_at > MAX_QUEUE_LENGTH_AGE_S
        ):
            return RequestResult(
                status=RequestStatus.REFUSED, reason="no recent word of the owner"
            )
        lengths = {each.queue: each.waiting for each in self.heartbeat.lengths}
        return RequestResult(
            status=RequestStatus.DONE, waiting=lengths.get(queue.name, 0)
        )


def _spec_row(req: SubmitRequest) -> rows.SpecRow:
    return rows.SpecRow(
        queue=req.queue,
        spec=req.spec,
        accepted_s=time_of_day(),
        workspace=req.access.workspace,
    )


def _inbox_workspace(row: Row) -> str:
    """Return the workspace that owns an inbox row; raises `errors.FindingsError`."""
    return codec.decode(row.value, rows.SpecRow, place=row.key).workspace


def find_spec_fault(spec: WorkflowSpec) -> str:
    """Return a description of the first fault in a job spec, or an empty string."""
    if not spec.steps or len(spec.steps) > MAX_STEPS:
        return f"a job has 1 to {MAX_STEPS} steps"
    if len(spec.program.encode()) > MAX_PROGRAM_BYTES:
        return f"the program's text is over {MAX_PROGRAM_BYTES} bytes"
    for number, step in enumerate(spec.steps):
        if step.count < 1 or step.count > MAX_TASKS_PER_STEP:
            return f"step {number}: 1 to {MAX_TASKS_PER_STEP} tasks"
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"step {number}: 'after' names a step that is not earlier"
        fault = _find_number_fault(_step_numbers(step))
        if fault:
            return f"step {number}: {fault}"
    return "" if spec.schedule is None else _find_schedule_fault(spec.schedule)


def _step_numbers(step: StepSpec) -> dict[str, float]:
    return {
        "processors": step.needs.processors,
        "memory": step.needs.memory_mb,
        "accelerators": step.needs.accelerators,
        "the estimate": step.estimate_s,
        "the tasks per worker": step.most_per_worker,
        "the tail latency": step.tail_limit_ms,
        "the tasks that may be away": step.may_be_away,
    }


def _find_schedule_fault(schedule: Schedule) -> str:
    numbers = {
        "the number of runs": schedule.runs,
        "the first time": schedule.first_s,
        "the period": schedule.period_s,
    }
    fault = _find_number_fault(numbers)
    return f"the schedule: {fault}" if fault else ""


def _find_number_fault(numbers: dict[str, float]) -> str:
    """Return a description of the first number out of range, or an empty string."""
    for name, value in numbers.items():
        if not 0 <= value <= codec.MAX_INTEGER:
            return f"{name}: 0 to {codec.MAX_INTEGER}"
    return ""
