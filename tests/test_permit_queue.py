"""Asking for permits: urgency, spread over hosts, hosts that do not answer."""

import asyncio

import attrs

from cranberrycleat.clock import MonotonicClock
from cranberrycleat.http_client import HttpClient
from cranberrycleat.workflow.peering import PeerClient, PermitRequest
from cranberrycleat.workflow.permit_queue import MAX_CALLS_PER_HOST, PermitQueue
from cranberrycleat.workflow.permits import StepPermits
from cranberrycleat.workflow.ports import Permit, PermitTiming, PermitUnavailable
from tests.fakes import run_async

POLICY = PermitTiming(decide_s=0.02, each_s=0.0, valid_s=5.0)


@attrs.define(kw_only=True, eq=False)
class SerialPermitService:
    """A permit service as one host sees it: it refuses when too many wait."""

    max_waiting: int = 0
    waiting: int = 0
    steps: list[str] = attrs.field(factory=list)
    down: bool = False

    async def ask(
        self, *, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> tuple[Permit, ...]:
        """Allow every worker, slowly."""
        if self.down:
            raise PermitUnavailable("down")
        self.waiting += 1
        self.max_waiting = max(self.max_waiting, self.waiting)
        await asyncio.sleep(POLICY.decide_s * self.waiting)
        self.waiting -= 1
        self.steps.append(step)
        return tuple(Permit(worker=name, ticket="t") for name in workers)


@attrs.define(kw_only=True, eq=False)
class Peers(PeerClient):
    """Other hosts, each with its own way to the service."""

    hosts: dict[str, SerialPermitService] = attrs.field(factory=dict)

    async def permits(self, address: str, req: PermitRequest) -> tuple[Permit, ...]:
        """Ask from another host."""
        return await self.hosts[address].ask(
            step=req.step, workers=req.workers, timeout_s=req.timeout_s
        )


def permit_queue(
    own: SerialPermitService, others: dict[str, SerialPermitService]
) -> PermitQueue:
    """Return a permit_queue with some other hosts."""
    return PermitQueue(
        own=own,
        own_address="own",
        peer_client=Peers(http=HttpClient(), hosts=others),
        peers=lambda: tuple(others),
        clock=MonotonicClock(),
    )


def test_burst_respects_host_limit_and_urgency() -> None:
    """After a takeover every waiting step asks at once, and only one host is known."""
    own = SerialPermitService()

    async def run() -> None:
        queue = permit_queue(own, {})
        asks = [
            queue.ask(
                f"s{number}",
                ("w",),
                StepPermits(policy=POLICY),
                (0, 2 if number < 8 else 0, 0.0, f"s{number}"),
            )
            for number in range(12)
        ]
        assert all(await asyncio.gather(*asks))

    run_async(run())
    assert own.max_waiting <= MAX_CALLS_PER_HOST
    # The first two lanes were taken before the urgent ones came.
    assert set(own.steps[MAX_CALLS_PER_HOST : MAX_CALLS_PER_HOST + 4]) == {
        "s8",
        "s9",
        "s10",
        "s11",
    }


def test_calls_are_balanced_over_hosts() -> None:
    """With other hosts at hand, one host does not do all the asking."""
    own, other = SerialPermitService(), SerialPermitService()

    async def run() -> None:
        queue = permit_queue(own, {"other": other})
        permits = [StepPermits(policy=POLICY) for _ in range(8)]
        asks = [
            queue.ask(f"s{n}", ("w",), each, (0, 0, 0.0, ""))
            for n, each in enumerate(permits)
        ]
        assert all(await asyncio.gather(*asks))
        assert all(each.valid_ticket("w", MonotonicClock().now()) for each in permits)

    run_async(run())
    assert len(own.steps) == len(other.steps) == 4


def test_unresponsive_host_is_skipped() -> None:
    """The call goes out again from another host."""
    own, other = SerialPermitService(), SerialPermitService(down=True)

    async def run() -> None:
        queue = permit_queue(own, {"another": other})
        for number in range(4):
            permits = StepPermits(policy=POLICY)
            assert await queue.ask(f"s{number}", ("w",), permits, (0, 0, 0.0, ""))

    run_async(run())
    assert len(own.steps) == 4


def test_nearest_idle_host_is_preferred() -> None:
    """Calls to another data centre are dear: the nearest are named first."""
    own, near, far = SerialPermitService(), SerialPermitService(), SerialPermitService()

    async def run() -> None:
        queue = permit_queue(own, {"z-near": near, "a-far": far})
        asks = [
            queue.ask(f"s{n}", ("w",), StepPermits(policy=POLICY), (0, 0, 0.0, ""))
            for n in range(2)
        ]
        assert all(await asyncio.gather(*asks))

    run_async(run())
    assert (len(own.steps), len(near.steps), len(far.steps)) == (1, 1, 0)
