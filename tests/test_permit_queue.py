"""Tests of the permit queue: urgency, balancing over hosts, unresponsive hosts."""

import asyncio

import attrs
import pytest

from cranberrycleat.clock import MonotonicClock
from cranberrycleat.http_client import HttpClient
from cranberrycleat.lifecycle import BackgroundTasks
from cranberrycleat.workflow.decisions.ordering import Urgency
from cranberrycleat.workflow.dispatcher import NO_TASK_WAITS, Dispatcher
from cranberrycleat.workflow.peering import PeerClient, PermitRequest
from cranberrycleat.workflow.permit_queue import MAX_CALLS_PER_HOST, PermitQueue
from cranberrycleat.workflow.permits import StepPermits
from cranberrycleat.workflow.ports import Permit, PermitTiming, PermitUnavailable
from cranberrycleat.workflow.repeating_event import RepeatingEvent
from cranberrycleat.workflow.state import StepRun
from tests.cell import job, queue, step
from tests.fakes import run_async
from tests.test_planner import cluster_state

POLICY = PermitTiming(decide_s=0.02, each_s=0.0, valid_s=5.0)


@attrs.define(kw_only=True, eq=False)
class SerialPermitService:
    """Fake permit service for one host; processes calls slowly and counts waiters."""

    max_waiting: int = 0
    waiting: int = 0
    steps: list[str] = attrs.field(factory=list)
    down: bool = False

    async def ask(
        self, *, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> tuple[Permit, ...]:
        """Allow every worker after a delay that grows with the waiting calls."""
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
    """Fake peer client; each other host has its own permit service."""

    hosts: dict[str, SerialPermitService] = attrs.field(factory=dict)

    async def permits(self, address: str, req: PermitRequest) -> tuple[Permit, ...]:
        """Forward a call through another host."""
        return await self.hosts[address].ask(
            step=req.step, workers=req.workers, timeout_s=req.timeout_s
        )


def permit_queue(
    own: SerialPermitService, others: dict[str, SerialPermitService]
) -> PermitQueue:
    """Return a permit queue with some other hosts."""
    return PermitQueue(
        own=own,
        own_address="own",
        peer_client=Peers(http=HttpClient(), hosts=others),
        peers=lambda: tuple(others),
        clock=MonotonicClock(),
    )


def test_burst_respects_host_limit_and_urgency() -> None:
    """After a takeover all waiting steps request permits, with one host known."""
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
    # The first two calls were already in flight when the urgent ones arrived.
    assert set(own.steps[MAX_CALLS_PER_HOST : MAX_CALLS_PER_HOST + 4]) == {
        "s8",
        "s9",
        "s10",
        "s11",
    }


def test_calls_are_balanced_over_hosts() -> None:
    """If other hosts are available, calls are shared equally."""
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
    """A failed call is repeated through another host."""
    own, other = SerialPermitService(), SerialPermitService(down=True)

    async def run() -> None:
        queue = permit_queue(own, {"another": other})
        for number in range(4):
            permits = StepPermits(policy=POLICY)
            assert await queue.ask(f"s{number}", ("w",), permits, (0, 0, 0.0, ""))

    run_async(run())
    assert len(own.steps) == 4


def test_nearest_idle_host_is_preferred() -> None:
    """Calls between data centres are expensive, so hosts are listed nearest first."""
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


# Guards against short steps that wait behind the call of a wide gang (1.3 s) through
# one host although another is free earlier.
@pytest.mark.parametrize(("yields", "in_flight"), [(False, 4), (True, 2)])
def test_long_call_blocks_its_host_only_if_set(yields: bool, in_flight: int) -> None:
    own, other = SerialPermitService(), SerialPermitService()
    slow = PermitTiming(decide_s=1.0, each_s=0.0, valid_s=5.0)

    async def run() -> int:
        queue = permit_queue(own, {"other": other})
        queue.yield_to_urgent = yields
        asks = [
            asyncio.ensure_future(
                queue.ask(f"s{n}", ("w",), StepPermits(policy=slow), (0, 2, 0.0, ""))
            )
            for n in range(4)
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        sent = own.waiting + other.waiting
        await asyncio.gather(*asks)
        return sent

    found: list[int] = []

    async def collect() -> None:
        found.append(await run())

    run_async(collect())
    assert found == [in_flight]


# Guards against calls that keep the urgency they were queued with: a step that has
# become urgent waited behind every new one, and ended jobs still used the service.
def test_waiting_calls_are_ranked_by_present_urgency() -> None:
    own = SerialPermitService()
    ranks: dict[str, Urgency | None] = {
        "s0": (0, 0, 0.0, ""),
        "s1": (0, 0, 0.0, ""),
        "was-urgent": None,
        "now-urgent": (0, 0, 0.0, ""),
        "patient": (0, 2, 0.0, ""),
    }

    async def run() -> None:
        queue = permit_queue(own, {})
        queue.current_urgency = ranks.__getitem__
        queue.rerank_interval_s = 0.0
        asks = [
            queue.ask(
                name,
                ("w",),
                StepPermits(policy=POLICY),
                (0, 0 if name == "was-urgent" else 3, 0.0, name),
            )
            for name in ("s0", "s1", "patient", "was-urgent", "now-urgent")
        ]
        assert sum(await asyncio.gather(*asks)) == 4

    run_async(run())
    assert own.steps == ["s0", "s1", "now-urgent", "patient"]


@attrs.define(kw_only=True, eq=False)
class FailingQueue(PermitQueue):
    """Records the workers of calls, none of which is answered."""

    asked: list[tuple[str, ...]] = attrs.field(factory=list)

    async def ask(
        self,
        step: str,
        workers: tuple[str, ...],
        permits: StepPermits,
        urgency: Urgency,
    ) -> bool:
        """Record a call that is not answered."""
        self.asked.append(workers)
        await asyncio.sleep(0)
        return False


def dispatcher_of_one_job(calls: PermitQueue) -> tuple[Dispatcher, StepRun]:
    """Return a dispatcher, and a waiting step of three tasks that needs permits."""
    state = cluster_state()
    state.accept("j", attrs.evolve(queue(), permits=POLICY), job(step(3)))
    dispatcher = Dispatcher(
        cluster_state=state,
        permit_queue=calls,
        links={},
        clock=MonotonicClock(),
        changed=lambda: None,
        stored=RepeatingEvent(),
        work=BackgroundTasks(),
        plan_due=asyncio.Event(),
    )
    (run,) = state.jobs["j"].open[0].steps
    state.permits_of(run)
    return dispatcher, run


def failing_queue() -> FailingQueue:
    """Return a permit queue whose calls fail."""
    return FailingQueue(
        own=SerialPermitService(),
        own_address="own",
        peer_client=Peers(http=HttpClient()),
        peers=tuple,
        clock=MonotonicClock(),
    )


# Guards against a renewal that asks for no worker and uses up one of the few attempts
# of its placements, after the call that included its workers has failed.
def test_renewal_after_a_failed_one_names_its_workers() -> None:
    calls = failing_queue()

    async def run() -> None:
        dispatcher, waiting = dispatcher_of_one_job(calls)
        permits = dispatcher.cluster_state.permits[waiting.name]
        renewals = [
            dispatcher._renew_together(waiting, permits, {name})
            for name in ("a", "b", "c")
        ]
        await asyncio.gather(*renewals)

    run_async(run())
    assert calls.asked == [("a",), ("b", "c"), ("c",)]


# Guards against queries for further workers of a step that is placed already, which
# went before all other calls as if its placements waited for them.
def test_only_renewals_go_first_once_all_tasks_are_placed() -> None:
    async def run() -> None:
        dispatcher, waiting = dispatcher_of_one_job(failing_queue())
        state = dispatcher.cluster_state
        urgency = dispatcher._urgency(waiting)
        assert dispatcher._urgency_of_step(waiting.name) == urgency
        del state.waiting[waiting.name]
        assert dispatcher._urgency_of_step(waiting.name) is None
        async with state.permits[waiting.name].renewing:
            assert dispatcher._urgency_of_step(waiting.name) == NO_TASK_WAITS
        del state.permits[waiting.name]
        assert dispatcher._urgency_of_step(waiting.name) is None

    run_async(run())
