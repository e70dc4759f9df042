"""Tests the limit of orders under way and the pauses between retries."""

import asyncio
import random

import pytest

from cranberrycleat.backoff import JITTER, Backoff
from cranberrycleat.workflow.order_slots import OrderSlots
from tests.fakes import run_async


async def hold(slots: OrderSlots, seen: list[str], name: str, urgent: bool) -> None:
    """Hold a slot for a moment, and note when it was got."""
    async with slots.slot(urgent=urgent):
        seen.append(name)
        await asyncio.sleep(0.01)


# Guards against stops that wait behind a queue of starts (UNASKED).
def test_urgent_orders_are_served_first_and_others_in_turn() -> None:
    async def run() -> None:
        slots, seen = OrderSlots(limit=1), list[str]()
        names = ("a", "b", "c", "stop")
        await asyncio.gather(
            *(hold(slots, seen, name, name == "stop") for name in names)
        )
        assert seen == ["a", "stop", "b", "c"]

    run_async(run())


def test_limit_holds_and_cancelled_waits_leave_no_slot_taken() -> None:
    async def run() -> None:
        slots, seen = OrderSlots(limit=2), list[str]()
        tasks = [
            asyncio.create_task(hold(slots, seen, str(n), False)) for n in range(6)
        ]
        await asyncio.sleep(0)
        assert len(seen) == 2
        for task in tasks[2:4]:
            task.cancel()
        # Cancelled when the slot has just been handed over.
        await asyncio.wait(tasks[:2])
        tasks[4].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        async with slots.slot(), slots.slot():
            assert seen[-1] == "5"

    run_async(run())


@pytest.mark.parametrize(
    ("first_s", "max_s", "expected"),
    [(0.05, 0.4, [0.05, 0.1, 0.2, 0.4, 0.4]), (2.0, 1.0, [1.0, 1.0])],
)
def test_pauses_grow_up_to_their_maximum(
    first_s: float, max_s: float, expected: list[float]
) -> None:
    backoff = Backoff(first_s=first_s, max_s=max_s, rng=random.Random(1))
    for _ in range(2):
        for pause_s in expected:
            assert abs(backoff.next_s() - pause_s) <= JITTER * pause_s
        backoff.reset()
