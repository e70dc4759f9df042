"""The gateway daemon: routes callers' requests to service endpoints.

A request is claimed if it carries an idempotency key (`claims`), queued or refused
(`admission`) and sent (`forward`). It is retried on another endpoint only if the
outcome permits it and the retry budget allows it. One asyncio task per connection
does all this; one per peer exchanges digests (`peers`).
"""

import asyncio
import base64
import logging
import secrets
from collections.abc import Callable
from typing import Any, Final

import attrs

from cranberrycleat import codec, errors, registry
from cranberrycleat.admission import AdmissionController, PickEndpoint, RequestClass
from cranberrycleat.claims import (
    CLAIM_TIMEOUT_S,
    Claim,
    ClaimStore,
    Replay,
    claim_unavailable,
    fingerprint,
    stored_answer,
)
from cranberrycleat.clock import Clock, MonotonicClock
from cranberrycleat.config import Configuration
from cranberrycleat.endpoints import (
    EndpointCatalog,
    EndpointResult,
    EndpointState,
    ServiceEndpoints,
    record_result,
)
from cranberrycleat.forward import (
    Answered,
    AttemptOutcome,
    CallerRequest,
    Forwarder,
    NotRun,
    Unknown,
)
from cranberrycleat.http_server import HttpServer
from cranberrycleat.lifecycle import BackgroundTasks
from cranberrycleat.logs import part_logger
from cranberrycleat.messages import Digest, DigestReply
from cranberrycleat.metrics import Metrics
from cranberrycleat.options import GatewayOptions
from cranberrycleat.peers import Peers
from cranberrycleat.retry import RetryBudget
from cranberrycleat.routing import RoutingPolicy
from cranberrycleat.serve import make_app
from cranberrycleat.table_http import Platform
from cranberrycleat.watcher import ConfigWatcher
from cranberrycleat.writer import BatchingWriter

LOG: Final[logging.Logger] = part_logger("gateway")
MAX_ATTEMPTS: Final = 4
SERVER_ERROR: Final = 500
QUEUE_WAIT_FRACTION: Final = 0.5
NO_ENDPOINT_RETRY_S: Final = 2.0


@attrs.define(kw_only=True, eq=False)
class ServiceState:
    """A gateway's admission controller and retry budget for one service."""

    controller: AdmissionController
    budget: RetryBudget


@attrs.define(kw_only=True, eq=False)
class Gateway:
    """One gateway process.

    Attributes:
        cfg: Its options.
        handlers: Builds the route handlers of its HTTP interface (`gateway_api`).
        clock: Its clock.
        config: The current configuration.
        catalog: The known endpoints.
        draining: Whether it is shutting down.
        in_flight: Number of callers' requests not answered yet.
    """

    cfg: GatewayOptions
    handlers: Callable[["Gateway"], list[Any]]
    clock: Clock = attrs.field(factory=MonotonicClock)
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(4))
    config: Configuration = Configuration()
    draining: bool = False
    in_flight: int = 0
    catalog: EndpointCatalog = attrs.field(init=False)
    platform: Platform = attrs.field(init=False)
    claims: ClaimStore = attrs.field(init=False)
    watcher: ConfigWatcher = attrs.field(init=False)
    policy: RoutingPolicy = attrs.field(init=False)
    peers: Peers = attrs.field(init=False)
    metrics: Metrics = attrs.field(init=False)
    forwarder: Forwarder = attrs.field(factory=Forwarder)
    services: dict[str, ServiceState] = attrs.field(factory=dict)
    _server: HttpServer = attrs.field(init=False)
    _background: BackgroundTasks = attrs.field(factory=BackgroundTasks)

    def __attrs_post_init__(self) -> None:
        cfg = self.cfg
        make = registry.find(registry.PluginKind.TABLE, cfg.table_client)
        self.platform = make(url=cfg.platform, timeout_s=cfg.platform_timeout_s)
        self.policy = registry.find(registry.PluginKind.ROUTING, cfg.routing)()
        self.catalog = EndpointCatalog(
            gateway_name=cfg.name, data_centre=cfg.data_centre
        )
        writer = BatchingWriter(table=self.platform, batch_window_s=cfg.claim_batch_s)
        self.claims = ClaimStore(writer=writer)
        self.watcher = ConfigWatcher(table=self.platform)
        self.peers = Peers(
            urls=cfg.peers, gossip=self, clock=self.clock, digest_s=cfg.digest_s
        )
        self.metrics = Metrics(role="gateway", name=cfg.name)
        self.metrics.add_gauge("in_flight", lambda: float(self.in_flight))
        app = make_app(self.handlers(self))
        self._server = HttpServer(app=app, host=cfg.listen, port=cfg.port)

    @property
    def url(self) -> str:
        """The base URL of the HTTP server."""
        return self._server.url

    async def start(self) -> None:
        """Start the HTTP server and the background tasks."""
        await self._server.start()
        self._background.spawn(self._watch_config())
        for url in self.cfg.peers:
            self._background.spawn(self.peers.gossip_with(url))

    def add_peer(self, url: str) -> None:
        """Exchange digests with one more peer."""
        self._background.spawn(self.peers.gossip_with(url))

    async def drain(self) -> None:
        """Report not ready, and keep serving until the load balancer has noticed."""
        self.draining = True
        await asyncio.sleep(self.cfg.drain_s)

    async def stop(self) -> None:
        """Finish requests in flight and cancel the background tasks."""
        await self._server.stop()
        await self._background.cancel()
        await self.forwarder.close()
        await self.platform.close()

    # --- one caller's request -----------------------------------------------

    async def answer(
        self, req: CallerRequest, *, key: str | None, rank: RequestClass, wait_s: float
    ) -> Answered:
        """Route a request to an endpoint and return the response.

        Args:
            req: The request.
            key: Its idempotency key, if any.
            rank: Its class.
            wait_s: The caller's timeout, in seconds.

        Raises:
            ProblemError: Not run, or outcome unknown, according to its code.
        """
        deadline = self.clock.now() + wait_s
        self._require_service(req.service)
        if key is None:
            return await self._send_with_retries(req, rank, deadline)
        path = f"{req.service}{req.target}"
        mark = fingerprint(req.method, path, req.body)
        try:
            async with asyncio.timeout(min(wait_s, CLAIM_TIMEOUT_S)):
                claim = await self.claims.claim(key=key, mark=mark)
        except TimeoutError:
            # The claim may still be committed; the key is then taken although
            # nothing was run.
            raise claim_unavailable() from None
        if isinstance(claim, Replay):
            return _replay_response(claim)
        return await self._send_claimed(req, claim, rank, deadline)

    async def _send_claimed(
        self, req: CallerRequest, claim: Claim, rank: RequestClass, deadline: float
    ) -> Answered:
        try:
            answered = await self._send_with_retries(req, rank, deadline)
        except errors.ProblemError as exc:
            if exc.code != errors.OUTCOME_UNKNOWN:
                self._background.spawn(self.claims.record_outcome(claim, None))
            raise
        content_type = dict(answered.headers).get(b"content-type", b"").decode()
        answer = stored_answer(answered.status, content_type, answered.body)
        self._background.spawn(self.claims.record_outcome(claim, answer))
        return answered

    async def _send_with_retries(
        self, req: CallerRequest, rank: RequestClass, deadline: float
    ) -> Answered:
        """Send a request until it is answered or must not be retried."""
        tried: frozenset[str] = frozenset()
        state = self._service_state(req.service)
        last: AttemptOutcome = NotRun(reason="the time allowed has run out")
        for attempt in range(MAX_ATTEMPTS):
            left = deadline - self.clock.now()
            if left <= 0 or (attempt and not state.budget.withdraw()):
                break
            try:
                last, url = await self._attempt(req, rank, tried, left)
            except errors.ProblemError:
                if isinstance(last, NotRun):
                    raise
                break
            if isinstance(last, Answered) and last.status < SERVER_ERROR:
                state.budget.deposit()
                return last
            if isinstance(last, Answered) and not req.repeatable:
                return last
            if isinstance(last, Unknown) and not req.repeatable:
                break
            tried |= {url}
            self.metrics.count("retries_wanted")
        if isinstance(last, Answered):
            return last
        raise _failure_problem(last, self._require_service(req.service).took_s)

    async def _attempt(
        self,
        req: CallerRequest,
        rank: RequestClass,
        tried: frozenset[str],
        left_s: float,
    ) -> tuple[AttemptOutcome, str]:
        service = self._require_service(req.service)
        controller = self._service_state(req.service).controller
        # A request that could only be sent too late to be answered is refused
        # immediately. Half of the remaining time is kept for responses that take
        # longer than usual.
        wait_s = (left_s - service.took_s) * QUEUE_WAIT_FRACTION
        wait_s = min(wait_s, self.config.routing.queue_s)
        state = await controller.acquire_slot(
            service=service, rank=rank, tried=tried, wait_s=wait_s
        )
        began = self.clock.now()
        url = state.endpoint.url
        try:
            self.metrics.count("sends")
            outcome = await self.forwarder.send(req, url=url, timeout_s=left_s)
            self._record_attempt(service, state, outcome, began)
        finally:
            controller.release_slot(state)
        return outcome, url

    def _record_attempt(
        self,
        service: ServiceEndpoints,
        state: EndpointState,
        outcome: AttemptOutcome,
        began: float,
    ) -> None:
        result = EndpointResult.BAD
        took_s = self.clock.now() - began
        match outcome:
            case Answered(status=status, leaving=leaving):
                service.record_latency(took_s)
                state.record_latency(took_s)
                result = (
                    EndpointResult.GOOD if status < SERVER_ERROR else EndpointResult.BAD
                )
                self._mark_leaving(state, leaving)
            case NotRun(refused=True, leaving=leaving):
                result = EndpointResult.FULL
                self._mark_leaving(state, leaving)
            case Unknown():
                state.record_latency(took_s)
        record_result(
            service,
            state,
            result,
            now=self.clock.now(),
            cfg=self.config.routing,
        )

    def _mark_leaving(self, state: EndpointState, leaving: bool) -> None:
        if leaving:
            self.catalog.mark_leaving((state.endpoint.url,))

    def _require_service(self, name: str) -> ServiceEndpoints:
        service = self.catalog.services.get(name)
        if service is None:
            raise errors.ProblemError(
                status=503,
                code=errors.NO_ENDPOINT,
                retry_after_s=NO_ENDPOINT_RETRY_S,
                name=name,
            )
        return service

    def _service_state(self, name: str) -> ServiceState:
        state = self.services.get(name)
        if state is None:
            state = ServiceState(
                controller=AdmissionController(
                    pick=self._endpoint_picker(name),
                    max_waiters=self.cfg.max_waiting,
                    clock=self.clock,
                ),
                budget=RetryBudget(share=self.config.routing.retry_share),
            )
            self.services[name] = state
        return state

    def _endpoint_picker(self, name: str) -> PickEndpoint:
        def pick(tried: frozenset[str]) -> EndpointState | None:
            service = self.catalog.services.get(name)
            if service is None:
                return None
            return self.policy.pick(service, now=self.clock.now(), tried=tried)

        return pick

    # --- configuration and peers --------------------------------------------

    async def _watch_config(self) -> None:
        while True:
            try:
                if await self.watcher.poll():
                    self._apply_config()
            except errors.TableUnavailable:
                LOG.debug("Table unavailable; configuration not refreshed.")
            await asyncio.sleep(self.cfg.config_poll_s)

    def _apply_config(self) -> None:
        assert self.watcher.current is not None
        text = self.watcher.current.text
        self.config = codec.decode(text, Configuration, place="configuration")
        for state in self.services.values():
            state.budget.share = self.config.routing.retry_share
        LOG.info("Configuration version %d is now active.", self.watcher.version)

    def digest(self) -> Digest:
        """Return this process's digest for its peers."""
        return Digest(
            sender=self.cfg.name,
            incarnation=self.incarnation,
            role="gateway",
            data_centre=self.cfg.data_centre,
            config_version=self.watcher.version,
            leaving=tuple(sorted(self.catalog.leaving)),
            draining=self.draining,
            seen=self.catalog.seen(),
        )

    def apply_reply(self, reply: DigestReply) -> None:
        """Apply what a peer reported: endpoint sets, leaving URLs, configuration."""
        for offered in reply.sets:
            self.catalog.merge_set(offered)
        self.catalog.mark_leaving(reply.digest.leaving)
        if self.watcher.offer(reply.config):
            self._apply_config()
        self._update_gateways()
        for state in self.services.values():
            state.controller.admit_waiting()

    def _update_gateways(self) -> None:
        live = [each for each in self.peers.live("gateway") if not each.draining]
        local = {e.sender for e in live if e.data_centre == self.cfg.data_centre}
        local.add(self.cfg.name)
        names = {each.sender for each in live} | {self.cfg.name}
        self.catalog.update_gateways(tuple(sorted(local)), len(names))

    def answer_digest(self, asked: Digest) -> DigestReply:
        """Return the endpoint sets and the configuration that the sender lacks."""
        self.peers.record_digest(asked)
        self.catalog.mark_leaving(asked.leaving)
        newer = self.watcher.version > asked.config_version
        known = {(s.data_centre, s.epoch, s.revision) for s in asked.seen}
        sets = tuple(
            each
            for each in self.catalog.sets()
            if (each.data_centre, each.epoch, each.revision) not in known
        )
        return DigestReply(
            digest=self.digest(),
            sets=sets if asked.role == "gateway" else (),
            config=self.watcher.current if newer else None,
        )


def _replay_response(replay: Replay) -> Answered:
    if replay.answer.body is None:
        raise errors.ProblemError(status=409, code=errors.KEY_IN_USE)
    headers = [(b"idempotency-replayed", b"true")]
    if replay.answer.content_type:
        headers.append((b"content-type", replay.answer.content_type.encode()))
    return Answered(
        status=replay.answer.status,
        headers=headers,
        body=base64.b64decode(replay.answer.body),
        leaving=False,
    )


def _failure_problem(last: AttemptOutcome, took_s: float) -> errors.ProblemError:
    match last:
        case Unknown(reason=reason):
            return errors.ProblemError(
                status=504,
                code=errors.OUTCOME_UNKNOWN,
                retry_after_s=took_s,
                reason=reason,
            )
        case NotRun(reason=reason):
            return errors.ProblemError(
                status=503, code=errors.NOT_RUN, retry_after_s=took_s, reason=reason
            )
    raise AssertionError(last)
