"""HTTP API that a node serves to other nodes."""

from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat import codec, errors
from cranberrycleat.asgi import Answer, RpcApp
from cranberrycleat.metrics import Metrics
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peering import (
    STATUS_NOT_OWNER,
    Heartbeat,
    HeartbeatReply,
    JobReply,
    JobRequest,
    LeaseCheck,
    PermitReply,
    PermitRequest,
    SubmitReply,
    SubmitRequest,
)
from cranberrycleat.workflow.ports import PermitClient, PermitUnavailable

STATUS_UNSETTLED: Final = 504


@attrs.define(kw_only=True, eq=False)
class PeerApi:
    """Handlers for calls from other nodes.

    Attributes:
        owner: Returns the owner if it is this process and has taken over.
        heartbeat: Answers another node's heartbeat.
        check_lease: Makes this process check the owner's row immediately.
        permits: Client for the permit service on this host.
        metrics: This process's metrics.
        dump: Returns this process's state for diagnostics.
    """

    owner: Callable[[], Owner | None]
    heartbeat: Callable[[Heartbeat], HeartbeatReply]
    check_lease: Callable[[], None]
    permits: PermitClient
    metrics: Metrics
    dump: Callable[[], object]

    def app(self) -> RpcApp:
        """Return the ASGI app."""
        return RpcApp(
            handlers={
                "/v1/submit": self._submit,
                "/v1/state": self._state,
                "/v1/cancel": self._cancel,
                "/v1/digest": self._heartbeat,
                "/v1/look": self._check_lease,
                "/v1/permits": self._permits,
                "/v1/metrics": self._metrics,
                "/metrics": self._metrics_text,
                "/v1/dump": self._dump,
            }
        )

    async def _submit(self, body: bytes) -> Answer:
        req = codec.decode(body, SubmitRequest)
        active = self.owner()
        if active is None:
            return Answer(message=SubmitReply(), status=STATUS_NOT_OWNER)
        try:
            return Answer(message=await active.submit(req))
        except errors.NotOwner:
            return Answer(message=SubmitReply(), status=STATUS_NOT_OWNER)
        except errors.PeerUnavailable:
            return Answer(message=SubmitReply())

    async def _state(self, body: bytes) -> Answer:
        req = codec.decode(body, JobRequest)
        active = self.owner()
        if active is None:
            return Answer(message=JobReply(owner=False))
        return Answer(message=await active.settled_state(req.job_id, req.workspace))

    async def _cancel(self, body: bytes) -> Answer:
        req = codec.decode(body, JobRequest)
        active = self.owner()
        if active is None:
            return Answer(message=JobReply(owner=False))
        try:
            return Answer(message=await active.cancel(req.job_id, req.workspace))
        except errors.PeerUnavailable:
            return Answer(message=JobReply(owner=True), status=STATUS_UNSETTLED)

    async def _heartbeat(self, body: bytes) -> Answer:
        return Answer(message=self.heartbeat(codec.decode(body, Heartbeat)))

    async def _check_lease(self, body: bytes) -> Answer:
        self.check_lease()
        return Answer(message=LeaseCheck())

    async def _permits(self, body: bytes) -> Answer:
        req = codec.decode(body, PermitRequest)
        try:
            found = await self.permits.ask(
                step=req.step, workers=req.workers, timeout_s=req.timeout_s
            )
        except PermitUnavailable:
            return Answer(message=PermitReply(answered=False))
        return Answer(message=PermitReply(answered=True, permits=found))

    async def _metrics(self, body: bytes) -> Answer:
        return Answer(message=self.metrics.read())

    async def _metrics_text(self, body: bytes) -> Answer:
        return Answer(message=self.metrics.text().encode())

    async def _dump(self, body: bytes) -> Answer:
        return Answer(message=self.dump())
