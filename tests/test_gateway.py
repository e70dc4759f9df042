"""The gateway with misbehaving endpoints: outcomes, retries, limits."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest

from cranberrycleat import errors, plugins
from cranberrycleat.admission import AdmissionController, RequestClass
from cranberrycleat.clock import ManualClock
from cranberrycleat.config import RoutingConfig
from cranberrycleat.endpoints import (
    EndpointResult,
    EndpointState,
    ServiceEndpoints,
    record_result,
)
from cranberrycleat.forward import CallerRequest
from cranberrycleat.gateway import Gateway
from cranberrycleat.gateway_api import gateway_handlers
from cranberrycleat.messages import Digest, DigestReply, Endpoint, EndpointSet
from cranberrycleat.options import GatewayOptions
from cranberrycleat.retry import MAX_SAVED_RETRIES, RetryBudget
from cranberrycleat.slots import SlotShare, slot_share
from tests.fakes import MemoryPlatform, ScriptedEndpoint, run_async

assert plugins

HANG_TIMEOUT_S = 20.0
"""An operation that takes longer counts as hanging; not a performance limit."""


def make_gateway(name: str = "g1") -> Gateway:
    """Return a gateway without a listening server."""
    cfg = GatewayOptions(
        name=name,
        data_centre="dc-a",
        platform="http://127.0.0.1:1",
        table_client="memory",
        routing="round-robin",
    )
    return Gateway(cfg=cfg, handlers=gateway_handlers)


def endpoint_set(*urls: str, revision: int = 1, slots: int = 4) -> EndpointSet:
    """Return the endpoints of service `s`."""
    return EndpointSet(
        data_centre="dc-a",
        epoch=1,
        revision=revision,
        endpoints=tuple(
            Endpoint(service="s", url=url, data_centre="dc-a", slots=slots)
            for url in urls
        ),
    )


def request(method: str = "GET", ident: str = "r1") -> CallerRequest:
    """Return a caller's request."""
    return CallerRequest(
        method=method,
        service="s",
        target="/",
        headers=[(b"x-request-id", ident.encode())],
        body=b"",
        repeatable=method == "GET",
    )


async def send_request(
    gateway: Gateway,
    method: str = "GET",
    ident: str = "r1",
    key: str | None = None,
    wait_s: float = 0.3,
) -> str:
    """Send a request through the gateway; return `ok`, `wrong` or the error code."""
    req = request(method, ident)
    if key is not None:
        req = attrs.evolve(req, repeatable=False)
    try:
        answered = await gateway.answer(
            req, key=key, rank=RequestClass.NORMAL, wait_s=wait_s
        )
    except errors.ProblemError as exc:
        return exc.code
    return "ok" if answered.body.startswith(ident.encode() + b" ") else "wrong"


def with_endpoints(
    scripts: list[list[str]],
    work: Callable[[Gateway, list[ScriptedEndpoint]], Awaitable[None]],
) -> None:
    """Run `work` with a gateway and scripted endpoints."""

    async def scenario() -> None:
        points = [await ScriptedEndpoint(script=each).start() for each in scripts]
        gateway = make_gateway()
        gateway.catalog.merge_set(endpoint_set(*[point.url for point in points]))
        await work(gateway, points)
        await gateway.forwarder.close()
        for point in points:
            await point.stop()

    run_async(scenario())


CASES = [
    # method, scripts of two endpoints, result for the caller, number of sends
    ("GET", ["ok"], ["ok"], "ok", 1),
    ("GET", ["close"], ["ok"], "ok", 2),
    ("GET", ["partial"], ["ok"], "ok", 2),
    ("GET", ["refuse"], ["ok"], "ok", 2),
    ("GET", ["partial"], ["partial"], errors.OUTCOME_UNKNOWN, 2),
    ("POST", ["close"], ["ok"], errors.OUTCOME_UNKNOWN, 1),
    ("POST", ["partial"], ["ok"], errors.OUTCOME_UNKNOWN, 1),
    ("POST", ["slow"], ["ok"], errors.OUTCOME_UNKNOWN, 1),
    ("POST", ["refuse"], ["ok"], "ok", 2),
    ("POST", ["refuse"], ["refuse"], errors.OVERLOADED, 2),
]


@pytest.mark.parametrize(("method", "second", "first", "told", "sent"), CASES)
def test_outcome(
    method: str, first: list[str], second: list[str], told: str, sent: int
) -> None:
    """Callers get the known outcome; only requests that did not run are resent."""

    async def work(gateway: Gateway, points: list[ScriptedEndpoint]) -> None:
        assert await send_request(gateway, method) == told
        assert sum(len(point.seen) for point in points) == sent

    with_endpoints([first, second], work)


def test_refused_connection_proves_not_run() -> None:
    """If no connection was made, the request is proved not to have run."""

    async def work(gateway: Gateway, points: list[ScriptedEndpoint]) -> None:
        await points[0].stop()
        assert await send_request(gateway, "POST") in (
            errors.NOT_RUN,
            errors.OVERLOADED,
        )

    with_endpoints([["ok"]], work)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_reused_connection_that_closes(method: str) -> None:
    """The close of an idle connection leaves no request with an unknown outcome."""

    async def work(gateway: Gateway, points: list[ScriptedEndpoint]) -> None:
        assert await send_request(gateway, "GET", "first") == "ok"
        points[0].script[:] = ["close", "ok"] if method == "GET" else ["ok"]
        assert await send_request(gateway, method, "second") == "ok"

    with_endpoints([["ok"], ["ok"]], work)


def test_late_answer_is_not_delivered_to_next_caller() -> None:
    """A response that arrives after its caller timed out reaches no later caller."""

    async def work(gateway: Gateway, points: list[ScriptedEndpoint]) -> None:
        assert (
            await send_request(gateway, "GET", "one", wait_s=0.1)
            == errors.OUTCOME_UNKNOWN
        )
        points[0].script[:] = ["ok"]
        await asyncio.sleep(0.6)
        found = [await send_request(gateway, "GET", f"two{n}") for n in range(3)]
        assert found == ["ok"] * 3

    with_endpoints([["slow"]], work)


def test_caller_disconnect_frees_its_slot() -> None:
    """A disconnected caller's slot is freed, and its response reaches nobody else."""

    async def work(gateway: Gateway, points: list[ScriptedEndpoint]) -> None:
        gone = asyncio.create_task(send_request(gateway, "GET", "gone", wait_s=5))
        await asyncio.sleep(0.1)
        gone.cancel()
        await asyncio.wait([gone])
        state = gateway.catalog.services["s"].all()[0]
        assert state.share.in_flight == 0
        points[0].script[:] = ["ok"]
        await asyncio.sleep(0.5)
        assert await send_request(gateway, "GET", "next") == "ok"

    with_endpoints([["slow"]], work)


def test_many_answers_out_of_order() -> None:
    """Responses that overtake each other reach the right callers."""

    async def work(gateway: Gateway, points: list[ScriptedEndpoint]) -> None:
        asked = [send_request(gateway, "GET", f"id{n}", wait_s=9) for n in range(16)]
        assert await asyncio.gather(*asked) == ["ok"] * 16

    with_endpoints([["slow", "ok", "slow", "ok"], ["ok"]], work)


def test_key_runs_at_most_once_through_any_gateway() -> None:
    """Of two gateways with one table only one sends, whatever its attempt's outcome."""

    async def work(gateway: Gateway, points: list[ScriptedEndpoint]) -> None:
        other = make_gateway("g2")
        other.catalog.merge_set(endpoint_set(points[0].url))
        other.claims.writer.table = gateway.claims.writer.table
        asked = [send_request(each, "POST", key="k") for each in (gateway, other) * 3]
        told = await asyncio.gather(*asked)
        assert len(points[0].seen) == 1
        assert told.count("ok") <= 1
        assert set(told) <= {"ok", errors.KEY_IN_USE, errors.OUTCOME_UNKNOWN}

    for script in (["ok"], ["close"], ["partial"]):
        with_endpoints([script], work)


@pytest.mark.parametrize(
    ("down", "lose", "told", "sent"),
    [(True, 0, errors.NOT_RUN, 0), (False, 1, "ok", 1), (False, 2, "ok", 1)],
)
def test_idempotency_key_during_table_outage(
    down: bool, lose: int, told: str, sent: int
) -> None:
    """Without the table nothing is run; a claim with a lost reply is resolved."""

    async def work(gateway: Gateway, points: list[ScriptedEndpoint]) -> None:
        table = gateway.platform
        assert isinstance(table, MemoryPlatform)
        table.faults.down, table.faults.lose_replies = down, lose
        assert await send_request(gateway, "POST", key="k") == told
        assert len(points[0].seen) == sent

    with_endpoints([["ok"]], work)


def test_claim_wait_is_bounded_when_table_hangs() -> None:
    """The wait for a claim is bounded, and nothing is sent without a claim."""

    async def work(gateway: Gateway, points: list[ScriptedEndpoint]) -> None:
        table = gateway.platform
        assert isinstance(table, MemoryPlatform)
        table.faults.slow_s = 300.0
        asked = send_request(gateway, "POST", key="k", wait_s=0.1)
        assert await asyncio.wait_for(asked, HANG_TIMEOUT_S) == errors.NOT_RUN
        assert points[0].seen == []

    with_endpoints([["ok"]], work)


@pytest.mark.parametrize("source", ["answer", "peer", "scheduler"])
def test_leaving_endpoint_gets_no_new_requests(source: str) -> None:
    """The first report from any source is enough, and no endpoint set reverts it."""

    async def work(gateway: Gateway, points: list[ScriptedEndpoint]) -> None:
        first, second = points
        if source == "answer":
            await send_request(gateway)
            await send_request(gateway)
        elif source == "peer":
            gateway.apply_reply(DigestReply(digest=peer_digest(first.url)))
        else:
            left = endpoint_set(first.url, second.url, revision=2).endpoints
            gone = attrs.evolve(left[0], leaving=True)
            gateway.catalog.merge_set(
                EndpointSet(
                    data_centre="dc-a",
                    epoch=1,
                    revision=2,
                    endpoints=(gone, left[1]),
                )
            )
        gateway.catalog.merge_set(endpoint_set(first.url, second.url, revision=1))
        gateway.catalog.merge_set(endpoint_set(first.url, second.url, revision=3))
        before = len(first.seen)
        for _ in range(6):
            assert await send_request(gateway) == "ok"
        assert len(first.seen) == before
        assert first.url in gateway.digest().leaving

    with_endpoints([["leave"], ["ok"]], work)


def peer_digest(leaving: str) -> Digest:
    """Return a peer gateway's digest."""
    return Digest(
        sender="g2",
        incarnation="1",
        role="gateway",
        data_centre="dc-a",
        config_version=0,
        leaving=(leaving,),
    )


def test_retry_budget_bounds_retries() -> None:
    """If everything fails, retries are limited to a share of responses and a burst."""
    budget = RetryBudget(share=0.1)
    assert sum(budget.withdraw() for _ in range(1000)) == MAX_SAVED_RETRIES
    for _ in range(100):
        budget.deposit()
    assert sum(budget.withdraw() for _ in range(1000)) in (9, 10)


@pytest.mark.parametrize("gateways", [1, 2, 3, 5, 7, 8])
def test_shares_add_up_to_the_slots(gateways: int) -> None:
    """The shares of one list of gateways add up to exactly the slots."""
    members = tuple(f"g{n}" for n in range(gateways))
    for point in ("a", "b", "c"):
        shares = [
            slot_share(
                slots=8, members=members, gateway_name=gateway_name, endpoint=point
            )
            for gateway_name in members
        ]
        assert sum(shares) == 8


def test_share_adapts_to_refusals() -> None:
    """Refusals lower the limit; responses raise it again, up to the share."""
    share = SlotShare(share=4)
    for _ in range(9):
        share.refused()
    assert share.allowed == 1
    for _ in range(30):
        share.answered()
    assert share.allowed == 4


def service_of(count: int) -> ServiceEndpoints:
    """Return a service with `count` local endpoints."""
    listed = endpoint_set(*[f"http://127.0.0.1:{n}" for n in range(count)]).endpoints
    return ServiceEndpoints(
        local=[EndpointState(endpoint=e, share=SlotShare(share=4)) for e in listed]
    )


@pytest.mark.parametrize(("count", "left"), [(1, 1), (2, 1), (4, 2), (5, 3)])
def test_ejection_keeps_some_endpoints(count: int, left: int) -> None:
    """Even if all endpoints fail, some are not ejected."""
    service, cfg = service_of(count), RoutingConfig()
    for state in service.all() * 10:
        record_result(service, state, EndpointResult.BAD, now=1.0, cfg=cfg)
    assert sum(state.usable(2.0) for state in service.all()) == left
    assert all(state.usable(1.0 + cfg.eject_s) for state in service.all())


@attrs.define
class BusyController:
    """An admission controller whose single slot is in use, and the order served."""

    service: ServiceEndpoints
    controller: AdmissionController
    order: list[str] = attrs.field(factory=list)

    async def acquire_slot(self, name: str, rank: RequestClass, wait_s: float) -> None:
        """Acquire a slot, record it, and release it."""
        state = await self.controller.acquire_slot(
            service=self.service,
            rank=rank,
            tried=frozenset(),
            wait_s=wait_s,
        )
        self.order.append(name)
        self.controller.release_slot(state)


def make_busy_controller(max_waiters: int) -> BusyController:
    """Return an admission controller whose only slot is in use."""
    service, clock = service_of(1), ManualClock()
    state = service.all()[0]
    state.share.resize(1)
    state.share.in_flight = 1

    def pick(tried: frozenset[str]) -> EndpointState | None:
        return state if state.usable(clock.now()) else None

    return BusyController(
        service, AdmissionController(pick=pick, max_waiters=max_waiters, clock=clock)
    )


@pytest.mark.parametrize(
    ("most", "arrivals", "expected"),
    [
        (9, "bulk normal urgent bulk", "urgent normal bulk bulk"),
        (2, "bulk bulk urgent", "urgent bulk refused"),
        (2, "urgent urgent bulk", "urgent urgent refused"),
        (1, "bulk normal urgent", "urgent refused refused"),
        (0, "urgent", "refused"),
    ],
)
def test_admission_by_class(most: int, arrivals: str, expected: str) -> None:
    """The most urgent class is served first; a full queue refuses the least urgent."""

    async def scenario() -> list[str]:
        waiting = make_busy_controller(most)
        tasks = []
        for name in arrivals.split():
            rank = RequestClass[name.upper()]
            tasks.append(asyncio.create_task(waiting.acquire_slot(name, rank, 9.0)))
            await asyncio.sleep(0)
        waiting.controller.release_slot(waiting.service.all()[0])
        done = await asyncio.gather(*tasks, return_exceptions=True)
        refused = [each for each in done if isinstance(each, errors.ProblemError)]
        assert all(each.retry_after_s for each in refused)
        return waiting.order + ["refused"] * len(refused)

    assert run_async(scenario()) == expected.split()


def test_request_that_would_miss_its_deadline_is_refused_immediately() -> None:
    """A request that could not be served in time is refused immediately."""

    async def scenario() -> None:
        waiting = make_busy_controller(9)
        waiting.service.took_s = 5.0
        asked = asyncio.create_task(waiting.acquire_slot("x", RequestClass.URGENT, 1.0))
        await asyncio.sleep(0)
        assert asked.done(), "held back"
        exc = asked.exception()
        assert isinstance(exc, errors.ProblemError) and exc.retry_after_s == 5.0
        assert waiting.controller.waiting() == 0

    run_async(scenario())
