"""Which hosts compete for the ownership when hosts differ in strength."""

import asyncio

import attrs
import pytest

from cranberrycleat.clock import ManualClock
from cranberrycleat.lease import STRENGTH_DECAY, OwnershipLease
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.workflow import options
from cranberrycleat.workflow.candidacy import (
    LEASE_DEFERRAL_S,
    SLOW_POLL_INTERVAL_S,
    TAKEOVER_READ_TIMEOUT_S,
    Candidacy,
    strength,
)
from cranberrycleat.workflow.membership import Membership
from cranberrycleat.workflow.peering import Heartbeat
from cranberrycleat.workflow.ports import HostResources
from tests.cell import cell, until
from tests.fakes import run_async
from tests.test_node import JOB, ask, nodes

SMALL, LARGE = 0.5, 2.0


def _heartbeat(strength_: float) -> Heartbeat:
    return Heartbeat(name="n", address="n:1", data_centre="dc", strength=strength_)


@pytest.mark.parametrize(
    ("room", "expected"),
    [
        (HostResources(processors=2.15, link_mbps=100.0), 2.15),
        (HostResources(processors=0.5, link_mbps=1000.0), 0.5),
        (HostResources(processors=2.15, link_mbps=5.0), 0.2),
    ],
    ids=["large", "slow", "narrow link"],
)
def test_strength_is_limited_by_the_scarcest_resource(
    room: HostResources, expected: float
) -> None:
    assert strength(room) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("own", "last_owner", "peer", "expected"),
    [
        (SMALL, 0.0, 0.0, 0.0),
        (SMALL, LARGE, 0.0, LEASE_DEFERRAL_S),
        (SMALL, 0.0, LARGE, LEASE_DEFERRAL_S),
        (SMALL, SMALL * 1.2, SMALL * 1.2, 0.0),
        (LARGE, SMALL, SMALL, 0.0),
    ],
    ids=["alone", "a better one owned", "a better one lives", "alike", "best"],
)
def test_weaker_hosts_defer_to_stronger_ones(
    own: float, last_owner: float, peer: float, expected: float
) -> None:
    members = Membership()
    clock = ManualClock(time_s=10.0)
    members.record_heartbeat(_heartbeat(peer), 9.0)
    candidacy = Candidacy(own=own, members=members, clock=clock)
    assert candidacy.defer_s(last_owner) == expected


@pytest.mark.parametrize(
    ("own", "address", "heard", "expected"),
    [
        (LARGE, "z:1", True, options.LEASE_POLL_INTERVAL_S),
        (SMALL, "n2x:1", True, options.LEASE_POLL_INTERVAL_S),
        (SMALL, "z:1", True, SLOW_POLL_INTERVAL_S),
        (SMALL, "z:1", False, options.LEASE_POLL_INTERVAL_S),
    ],
    ids=["the strongest", "among the first of its like", "behind many", "no owner"],
)
def test_only_the_first_candidates_poll_often(
    own: float, address: str, heard: bool, expected: float
) -> None:
    """With 45 hosts, polls of the owner's row were half of all calls to the table."""
    members = Membership()
    for number in range(8):
        digest = attrs.evolve(_heartbeat(SMALL), address=f"n{number}:1")
        members.record_heartbeat(digest, 9.0)
    clock = ManualClock(time_s=10.0)
    candidacy = Candidacy(own=own, members=members, clock=clock)
    assert candidacy.poll_interval_s(address, owner_answered_recently=heard) == expected


def test_owner_hands_over_once_and_after_a_minimum_time() -> None:
    clock = ManualClock(time_s=10.0)
    members = Membership()
    candidacy = Candidacy(own=SMALL, members=members, clock=clock)
    members.record_heartbeat(_heartbeat(LARGE), 10.0)
    assert not candidacy.should_hand_over(9.0)
    assert candidacy.should_hand_over(7.0)
    candidacy.note_handover()
    assert not candidacy.should_hand_over(7.0)
    clock.advance(seconds=20.0)
    assert not candidacy.should_hand_over(7.0), "the better host fell silent"


@pytest.mark.parametrize(
    ("own", "believed", "peer", "expected"),
    [
        (SMALL, SMALL, LARGE, TAKEOVER_READ_TIMEOUT_S),
        (SMALL, LARGE * STRENGTH_DECAY, 0.0, TAKEOVER_READ_TIMEOUT_S),
        (SMALL, SMALL, SMALL, None),
        (LARGE, LARGE, SMALL, None),
    ],
    ids=["a better one lives", "a better one owned", "alike", "best"],
)
def test_only_a_weaker_host_has_a_read_timeout(
    own: float, believed: float, peer: float, expected: float | None
) -> None:
    members = Membership()
    members.record_heartbeat(_heartbeat(peer), 9.0)
    candidacy = Candidacy(own=own, members=members, clock=ManualClock(time_s=10.0))
    assert candidacy.takeover_read_timeout_s(believed) == expected


def test_recorded_strength_decays_with_each_takeover() -> None:
    """A slow owner is better than none: after some tries the limit is lifted."""
    clock, table = ManualClock(time_s=10.0), MemoryFeedTable()
    candidacy = Candidacy(own=SMALL, members=Membership(), clock=clock)

    def candidate(name: str, carries: float) -> OwnershipLease:
        return OwnershipLease(
            table=table,
            clock=clock,
            key="owner/x",
            holder=name,
            lease_s=1.0,
            strength=carries,
            is_dead=lambda holder: True,
        )

    large = candidate("large", LARGE)
    assert run_async(large.acquire())
    large.mark_established()
    run_async(large.commit())
    limits = []
    for number in range(4):
        small = candidate(f"small{number}", SMALL)
        assert run_async(small.acquire())
        run_async(small.commit())
        row = small.latest_row()
        assert row is not None
        limits.append(candidacy.takeover_read_timeout_s(row.strength))
        run_async(small.release())
    assert limits == [TAKEOVER_READ_TIMEOUT_S, TAKEOVER_READ_TIMEOUT_S, None, None]
    settled = candidate("settled", SMALL)
    assert run_async(settled.acquire())
    settled.mark_established()
    run_async(settled.commit())
    row = settled.latest_row()
    assert row is not None and row.strength == SMALL


def test_deferral_of_a_free_lease_is_bounded() -> None:
    """The deferral is counted from when the lease is first seen to be free."""
    clock = ManualClock()
    table = MemoryFeedTable()

    def candidate(name: str, defer_s: float) -> OwnershipLease:
        return OwnershipLease(
            table=table,
            clock=clock,
            key="owner/x",
            holder=name,
            lease_s=1.0,
            defer_s=lambda row: defer_s,
        )

    first, lesser = candidate("first", 0.0), candidate("lesser", 0.6)
    assert run_async(first.acquire())
    run_async(first.release())
    assert not run_async(lesser.acquire())
    clock.advance(seconds=0.5)
    assert not run_async(lesser.acquire())
    clock.advance(seconds=0.2)
    assert run_async(lesser.acquire())


def test_small_owner_hands_over_to_a_large_host_without_loss() -> None:
    """Jobs submitted during the handover are accepted, and every task runs once."""

    async def run() -> None:
        async with cell() as env:
            async with nodes(env, processors=(SMALL, LARGE)) as (small, large):
                number = 0
                while large.owner is None:
                    reply = await ask(small, "POST", f"/q/{number:02x}", JOB)
                    assert reply.status == 200
                    number += 1
                    await asyncio.sleep(0.02)
                await until(lambda: len(env.fleet.done) == 2 * number, limit_s=10.0)
                assert env.fleet.faults == []
                assert small.owner is None

    run_async(run())
