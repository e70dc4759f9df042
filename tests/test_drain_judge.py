"""Tests that the workers' record shows starts on a worker that leaves.

All soaks report what it shows. It knows only what the platform accepted and what began,
not what the system believes.
"""

import asyncio

import attrs
import pytest

from cranberrycleat.clock import ManualClock
from cranberrycleat.standins.fleet import DRAIN_S, StandinFleet
from cranberrycleat.workflow.ports import StartOrder, WorkerEntry
from tests.cell import Cell, entry

LISTED = entry("w", born_ms=1000)


def start(fleet: StandinFleet, task: str = "a.0.0.0") -> StartOrder:
    """Return a start order that a worker accepts."""
    return StartOrder(task=task, attempt=1, program="p", lease_end_ms=10**9, fence=1)


def judged_fleet(found: WorkerEntry = LISTED) -> tuple[StandinFleet, ManualClock]:
    """Return a fleet with one worker, and its clock."""
    clock = ManualClock(time_s=100.0)
    fleet = StandinFleet(clock=clock)
    fleet.add(found)
    return fleet, clock


@pytest.mark.parametrize(
    ("after_s", "faults"), [(0.0, 0), (DRAIN_S - 0.01, 0), (DRAIN_S + 0.01, 1), (60, 1)]
)
def test_start_counts_from_drain_s_after_announcement(
    after_s: float, faults: int
) -> None:
    fleet, clock = judged_fleet()
    fleet.record_leaving(LISTED)
    clock.advance(seconds=after_s)
    asyncio.run(fleet.start(LISTED, start(fleet), limit_s=1.0))
    assert len(fleet.faults) == faults


def test_announcement_is_final_and_counts_from_the_first() -> None:
    """Another entry, a lapse or a repeated announcement does not begin anew."""
    fleet, clock = judged_fleet()
    fleet.record_leaving(LISTED)
    clock.advance(seconds=DRAIN_S)
    fleet.record_leaving(LISTED)
    clock.advance(seconds=0.1)
    asyncio.run(fleet.start(LISTED, start(fleet), limit_s=1.0))
    assert fleet.faults == [
        "a.0.0.0#1 begins on w@1000 2.100 s after it announced that it leaves"
    ]


def test_next_incarnation_does_not_leave() -> None:
    fleet, clock = judged_fleet()
    fleet.record_leaving(LISTED)
    after = fleet.restart("w")
    clock.advance(seconds=60.0)
    asyncio.run(fleet.start(after.entry, start(fleet), limit_s=1.0))
    assert not fleet.faults


def test_order_that_is_carried_out_late_does_not_count() -> None:
    """The time bounds of the platform's rules do not hold for those."""
    fleet, clock = judged_fleet()
    fleet.record_leaving(LISTED)
    clock.advance(seconds=60.0)
    fleet.carry_out(fleet.workers["w"], start(fleet))
    assert len(fleet.starts) == 1 and not fleet.faults


def test_slow_worker_is_judged_by_when_the_order_arrived() -> None:
    fleet, clock = judged_fleet()
    fleet.record_leaving(LISTED)
    clock.advance(seconds=DRAIN_S + 0.5)
    fleet.workers["w"].order_delay_s = 0.6
    asyncio.run(fleet.start(LISTED, start(fleet), limit_s=1.0))
    assert not fleet.faults


def test_host_out_of_touch_is_not_judged() -> None:
    fleet, clock = judged_fleet()
    fleet.is_out_of_touch = lambda order: order.fence == 1
    fleet.record_leaving(LISTED)
    clock.advance(seconds=60.0)
    asyncio.run(fleet.start(LISTED, start(fleet), limit_s=1.0))
    assert not fleet.faults
    order = attrs.evolve(start(fleet, "b.0.0.0"), fence=2)
    asyncio.run(fleet.start(LISTED, order, limit_s=1.0))
    assert len(fleet.faults) == 1


def test_cell_records_what_the_platform_accepts() -> None:
    env = Cell()
    env.add_worker("w0")
    assert not env.fleet.leaving_since
    env.drain_worker("w0")
    env.unlist_worker("w0")
    assert set(env.fleet.leaving_since) == {"w0"}
