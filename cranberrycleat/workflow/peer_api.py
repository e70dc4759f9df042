"""The calls that other processes of the system make to this one."""

from collections.abc import Callable
from typing import Any, Final

import litestar
from litestar import Request, Response, post

from cranberrycleat import codec, errors
from cranberrycleat.metrics import Metrics
from cranberrycleat.serve import json_response, make_app, state_handlers
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peering import (
    Digest,
    DigestReply,
    JobAnswer,
    JobQuestion,
    Look,
    PermitReply,
    PermitRequest,
    SubmitReply,
    SubmitRequest,
)
from cranberrycleat.workflow.ports import PermitClient, PermitUnavailable

Req = Request[Any, Any, Any]
NO_OWNER: Final = 421
UNSETTLED: Final = 504


def peer_app(
    *,
    owner: Callable[[], Owner | None],
    digest: Callable[[Digest], DigestReply],
    look: Callable[[], None],
    permits: PermitClient,
    metrics: Metrics,
    dump: Callable[[], object],
) -> litestar.Litestar:
    """Build the app on a host's peer address.

    Args:
        owner: Tells the owner if it is this process and has taken over.
        digest: Exchanges digests with another process.
        look: Makes this process look at the owner's row at once.
        permits: The permit service as called from this host.
        metrics: This process's metrics.
        dump: Returns this process's state.
    """

    @post("/v1/submit", status_code=200)
    async def submit(request: Req) -> Response[bytes]:
        req = codec.decode(await request.body(), SubmitRequest)
        held = owner()
        if held is None:
            return json_response(SubmitReply(), status=NO_OWNER)
        try:
            return json_response(await held.submit(req))
        except errors.PeerUnavailable:
            return json_response(SubmitReply())

    @post("/v1/state", status_code=200)
    async def state(request: Req) -> Response[bytes]:
        req = codec.decode(await request.body(), JobQuestion)
        held = owner()
        if held is None:
            return json_response(JobAnswer(owner=False))
        return json_response(held.state(req.job_id))

    @post("/v1/cancel", status_code=200)
    async def cancel(request: Req) -> Response[bytes]:
        req = codec.decode(await request.body(), JobQuestion)
        held = owner()
        if held is None:
            return json_response(JobAnswer(owner=False))
        try:
            return json_response(await held.cancel(req.job_id))
        except errors.PeerUnavailable:
            return json_response(JobAnswer(owner=True), status=UNSETTLED)

    @post("/v1/digest", status_code=200)
    async def take_digest(request: Req) -> Response[bytes]:
        req = codec.decode(await request.body(), Digest)
        return json_response(digest(req))

    @post("/v1/look", status_code=200)
    async def look_now() -> Response[bytes]:
        look()
        return json_response(Look())

    @post("/v1/permits", status_code=200)
    async def ask_permits(request: Req) -> Response[bytes]:
        req = codec.decode(await request.body(), PermitRequest)
        try:
            found = await permits.ask(
                step=req.step, workers=req.workers, timeout_s=req.timeout_s
            )
        except PermitUnavailable:
            return json_response(PermitReply(answered=False))
        return json_response(PermitReply(answered=True, permits=found))

    handlers = [submit, state, cancel, take_digest, look_now, ask_permits]
    return make_app([*handlers, *state_handlers(metrics, dump)])
