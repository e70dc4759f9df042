"""Messages exchanged between nodes, and the client that sends them."""

from typing import Final, TypeVar

import attrs

from cranberrycleat import codec, errors
from cranberrycleat.http_client import HttpClient, NoAnswer
from cranberrycleat.workflow.access import Granted
from cranberrycleat.workflow.ports import Permit, PermitUnavailable, Queue
from cranberrycleat.workflow.spec import WorkflowSpec

T = TypeVar("T")
NEVER_S: Final = 3600.0
"""Age that stands for "never" in messages."""
PEER_CALL_TIMEOUT_S: Final = 0.9
"""A complete answer takes about 15 ms, or 0.5 s with a slowed-down table. Callers
wait 3 s, and the job front end has a fallback to try after this timeout."""
HEARTBEAT_TIMEOUT_S: Final = 0.3
"""A heartbeat waits for no table access: longer means a partition or a dead host."""
STATUS_OK: Final = 200
STATUS_NOT_OWNER: Final = 421


@attrs.frozen(kw_only=True)
class SubmitRequest:
    """Submission of a job to the owner; `access` is the caller's granted access."""

    job_id: str
    queue: Queue
    spec: WorkflowSpec
    access: Granted = Granted()


@attrs.frozen(kw_only=True)
class SubmitReply:
    """The owner's answer to a submission.

    Attributes:
        accepted: The job is stored.
        refused: The job was not accepted and never runs.
        overloaded: As `refused`, because the load would make the job too late.
        denied: As `refused`, because the caller's key is no longer valid.
        foreign: The job ID belongs to a job of another workspace.
        reason: Why the job was refused.
        retry_after_s: When to retry.
    """

    accepted: bool = False
    refused: bool = False
    overloaded: bool = False
    denied: bool = False
    foreign: bool = False
    reason: str = ""
    retry_after_s: float = 1.0


@attrs.frozen(kw_only=True)
class JobRequest:
    """A workspace's state query or cancellation for one job."""

    job_id: str
    workspace: str = ""


@attrs.frozen(kw_only=True)
class JobReply:
    """The owner's view of a job.

    Attributes:
        owner: Whether the responder is the owner.
        known: Whether it knows the job.
        state: The job's stored state.
    """

    owner: bool
    known: bool = False
    state: str = ""


@attrs.frozen(kw_only=True)
class Heartbeat:
    """A node's report about itself, sent to the owner.

    Attributes:
        name: The host's name.
        address: The address at which it serves its peers.
        data_centre: Its data centre.
        strength: Its current capacity for being the owner; 0 while it cannot reach
            the table or is about to stop.
        peers_seen: The version of the owner's peer list that it has; empty for none.
    """

    name: str
    address: str
    data_centre: str
    strength: float = 0.0
    peers_seen: str = ""


@attrs.frozen(kw_only=True)
class QueueLength:
    """Number of accepted jobs of a queue that have not started any task."""

    queue: str
    waiting: int


@attrs.frozen(kw_only=True)
class PeerEntry:
    """Another host, as reported by itself (see `Heartbeat`)."""

    address: str
    data_centre: str
    strength: float = 0.0


@attrs.frozen(kw_only=True)
class HeartbeatReply:
    """Answer to a heartbeat, from the owner or any other node.

    Attributes:
        owner: Whether the responder is the owner.
        holder: The responder's name, address and incarnation.
        epoch: The highest epoch that it knows of.
        owner_at: The address of the owner of that epoch; empty if unknown.
        lengths: The queue lengths.
        peers_version: The version of the owner's list of live hosts.
        peers: That list; empty if the sender already has this version.
        table_silent_s: For how long the table has left a write of the owner
            unanswered.
        config: The configuration version that it holds; 0 for none.
        config_age_s: How long ago that version was known to be the newest.
    """

    owner: bool
    holder: str = ""
    epoch: int = 0
    owner_at: str = ""
    lengths: tuple[QueueLength, ...] = ()
    peers_version: str = ""
    peers: tuple[PeerEntry, ...] = ()
    table_silent_s: float = 0.0
    config: int = 0
    config_age_s: float = NEVER_S


@attrs.frozen(kw_only=True)
class LeaseCheck:
    """Notice that the owner's row or the inbox has changed and should be checked."""


@attrs.frozen(kw_only=True)
class PermitRequest:
    """The owner's request that another node call the permit service."""

    step: str
    workers: tuple[str, ...]
    timeout_s: float


@attrs.frozen(kw_only=True)
class PermitReply:
    """The permit service's answer; `answered` is False if there was none."""

    answered: bool
    permits: tuple[Permit, ...] = ()


@attrs.define(kw_only=True, eq=False)
class PeerClient:
    """Client for calls to other nodes."""

    http: HttpClient
    timeout_s: float = PEER_CALL_TIMEOUT_S

    async def submit(self, address: str, req: SubmitRequest) -> SubmitReply:
        """Submit a job; raises `errors.PeerUnavailable`."""
        return await self._call(address, "submit", req, SubmitReply)

    async def state(self, address: str, req: JobRequest) -> JobReply:
        """Query a job's state; raises `errors.PeerUnavailable`."""
        return await self._call(address, "state", req, JobReply)

    async def cancel(self, address: str, req: JobRequest) -> JobReply:
        """Cancel a job; raises `errors.PeerUnavailable`."""
        return await self._call(address, "cancel", req, JobReply)

    async def heartbeat(self, address: str, req: Heartbeat) -> HeartbeatReply:
        """Send a heartbeat; raises `errors.PeerUnavailable`."""
        return await self._call(
            address,
            "digest",
            req,
            HeartbeatReply,
            extra_timeout_s=HEARTBEAT_TIMEOUT_S - PEER_CALL_TIMEOUT_S,
        )

    async def check_lease(self, address: str) -> None:
        """Ask a peer to check the owner's row now; raises `PeerUnavailable`."""
        await self._call(address, "look", LeaseCheck(), LeaseCheck)

    async def permits(self, address: str, req: PermitRequest) -> tuple[Permit, ...]:
        """Have a peer request permits; raises `PermitUnavailable`."""
        try:
            reply = await self._call(
                address, "permits", req, PermitReply, extra_timeout_s=req.timeout_s
            )
        except errors.PeerUnavailable as exc:
            raise PermitUnavailable(str(exc)) from exc
        if not reply.answered:
            raise PermitUnavailable(f"{address} got no answer from the permit service")
        return reply.permits

    async def _call(
        self,
        address: str,
        operation: str,
        message: object,
        reply_type: type[T],
        *,
        extra_timeout_s: float = 0.0,
    ) -> T:
        try:
            reply = await self.http.call(
                "POST",
                f"http://{address}/v1/{operation}",
                body=codec.encode(message),
                timeout_s=self.timeout_s + extra_timeout_s,
            )
        except NoAnswer as exc:
            error_type = errors.PeerUnavailable if exc.sent else errors.NotSent
            raise error_type(str(exc)) from exc
        if reply.status == STATUS_NOT_OWNER:
            raise errors.NotOwner(f"{address} is not the owner")
        if reply.status != STATUS_OK:
            raise errors.PeerUnavailable(f"{address}: status {reply.status}")
        try:
            return codec.decode(reply.body, reply_type, place=f"{address}/{operation}")
        except errors.FindingsError as exc:
            raise errors.PeerUnavailable(str(exc)) from exc
