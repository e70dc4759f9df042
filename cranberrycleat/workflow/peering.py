"""Messages between processes of the system, and the calls that carry them."""

from typing import Final, TypeVar

import attrs

from cranberrycleat import codec, errors
from cranberrycleat.http_client import HttpClient, NoAnswer
from cranberrycleat.workflow.access import Granted
from cranberrycleat.workflow.ports import Permit, PermitUnavailable, Queue
from cranberrycleat.workflow.spec import WorkflowSpec

T = TypeVar("T")
NEVER_S: Final = 3600.0
"""What is told for 'never'."""
PEER_CALL_TIMEOUT_S: Final = 0.9
"""A whole answer takes about 15 ms, with a slowed store 0.5 s; a caller waits
3 s and the door has a second way to go after this one."""
HEARTBEAT_TIMEOUT_S: Final = 0.3
"""A digest waits for no store: what takes longer is a cut or a dead host."""
STATUS_OK: Final = 200
STATUS_NOT_OWNER: Final = 421


@attrs.frozen(kw_only=True)
class SubmitRequest:
    """A door hands a job to the owner; `access` is what its caller was granted."""

    job_id: str
    queue: Queue
    spec: WorkflowSpec
    access: Granted = Granted()


@attrs.frozen(kw_only=True)
class SubmitReply:
    """The owner's answer.

    Attributes:
        accepted: The job is stored.
        refused: It was not accepted and never runs.
        denied: The same, since the caller's key is good no longer.
        foreign: Another workspace's job has this identity.
        reason: Why it was refused.
        retry_after_s: When to come back.
    """

    accepted: bool = False
    refused: bool = False
    denied: bool = False
    foreign: bool = False
    reason: str = ""
    retry_after_s: float = 1.0


@attrs.frozen(kw_only=True)
class JobRequest:
    """A workspace's question for, or its cancelling of, one job."""

    job_id: str
    workspace: str = ""


@attrs.frozen(kw_only=True)
class JobReply:
    """What the owner knows of a job.

    Attributes:
        owner: Whether who answers is the owner.
        known: Whether it knows the job.
        state: The job's stored state.
    """

    owner: bool
    known: bool = False
    state: str = ""


@attrs.frozen(kw_only=True)
class Heartbeat:
    """What a process tells the owner about itself.

    Attributes:
        name: The host's name.
        address: Where it answers its peers.
        data_centre: Where it stands.
        strength: How much owning it can carry now; 0 while it lacks the table or
            is about to stop.
        peers_seen: The version of the owner's list of hosts that it has; empty:
            none.
    """

    name: str
    address: str
    data_centre: str
    strength: float = 0.0
    peers_seen: str = ""


@attrs.frozen(kw_only=True)
class QueueLength:
    """How many accepted jobs of a queue have started nothing."""

    queue: str
    waiting: int


@attrs.frozen(kw_only=True)
class PeerEntry:
    """Another host of the system, by its own word (see `Digest`)."""

    address: str
    data_centre: str
    strength: float = 0.0


@attrs.frozen(kw_only=True)
class HeartbeatReply:
    """What a process tells another, and the owner all others.

    Attributes:
        owner: Whether who answers is the owner.
        holder: Who answers: name, address and incarnation.
        epoch: The highest epoch that it knows of.
        owner_at: Where the owner of that epoch answers; empty: not known.
        lengths: The queues' lengths.
        peers_version: The version of the owner's list of live hosts.
        peers: That list; empty where who asks has this version already.
        table_silent_s: For how long the owner's table has left a write unanswered.
        config: The version of the configuration that it holds; 0: none.
        config_age_s: How long ago that was known to be the newest.
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
    """The ownership has been released: look at its row."""


@attrs.frozen(kw_only=True)
class PermitRequest:
    """The owner has another process ask the permit service."""

    step: str
    workers: tuple[str, ...]
    timeout_s: float


@attrs.frozen(kw_only=True)
class PermitReply:
    """The permit service's answer; `answered` is False where there was none."""

    answered: bool
    permits: tuple[Permit, ...] = ()


@attrs.define(kw_only=True, eq=False)
class PeerClient:
    """Calls to other processes of the system."""

    http: HttpClient
    timeout_s: float = PEER_CALL_TIMEOUT_S

    async def submit(self, address: str, req: SubmitRequest) -> SubmitReply:
        """Hand in a job; raises `errors.PeerUnavailable`."""
        return await self._call(address, "submit", req, SubmitReply)

    async def state(self, address: str, req: JobRequest) -> JobReply:
        """Ask for a job's state; raises `errors.PeerUnavailable`."""
        return await self._call(address, "state", req, JobReply)

    async def cancel(self, address: str, req: JobRequest) -> JobReply:
        """Cancel a job; raises `errors.PeerUnavailable`."""
        return await self._call(address, "cancel", req, JobReply)

    async def heartbeat(self, address: str, req: Heartbeat) -> HeartbeatReply:
        """Exchange digests; raises `errors.PeerUnavailable`."""
        return await self._call(
            address,
            "digest",
            req,
            HeartbeatReply,
            extra_timeout_s=HEARTBEAT_TIMEOUT_S - PEER_CALL_TIMEOUT_S,
        )

    async def check_lease(self, address: str) -> None:
        """Have a peer look at the owner's row now; raises `PeerUnavailable`."""
        await self._call(address, "look", LeaseCheck(), LeaseCheck)

    async def permits(self, address: str, req: PermitRequest) -> tuple[Permit, ...]:
        """Have a peer ask for permits; raises `PermitUnavailable`."""
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
