"""Tests the limit of orders under way."""

import asyncio

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
