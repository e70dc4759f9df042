"""Every short sequence of events of one process's lease, and the way out of each state.

docs/design/ownership-lease.md has the table of states and events that this checks.
"""

import itertools
from collections.abc import Awaitable, Callable

import pytest

from cranberrycleat import errors
from cranberrycleat.lease import ConditionFailed, LeaseLost
from tests.fakes import run_async
from tests.test_lease import LEASE_S, POLLS_TO_ACQUIRE, CandidatePair

CALLS: dict[str, Callable[[CandidatePair], Awaitable[object]]] = {
    "acquire": lambda pair: pair.a.acquire(),
    "renew": lambda pair: pair.a.commit(),
    "release": lambda pair: pair.a.release(),
}
ANSWERS = ("answered", "stored, not answered", "stored late", "not stored")
CHANGES: dict[str, Callable[[CandidatePair], None]] = {
    "abandon": lambda pair: pair.a.abandon(),
    "late writes are stored": lambda pair: pair.table.deliver(),
    "half a lease passes": lambda pair: pair.advance(LEASE_S / 2),
    "a lease passes": lambda pair: pair.advance(1.1 * LEASE_S),
}
EVENTS = (*(f"{call}, {answer}" for call in CALLS for answer in ANSWERS), *CHANGES)
LENGTH = 3
"""Enough for each pair of events after a takeover."""


async def apply(pair: CandidatePair, event: str) -> None:
    """Apply an event to the first candidate of a pair."""
    if event in CHANGES:
        CHANGES[event](pair)
        return
    call, _, answer = event.partition(", ")
    pair.table.delay_commits = answer == "stored late"
    pair.table.inner.faults.lose_replies = 9 * (answer == "stored, not answered")
    pair.table.drop_commits = 9 * (answer == "not stored")
    try:
        await CALLS[call](pair)
    except (errors.TableUnavailable, LeaseLost, ConditionFailed):
        # What the caller is told is not the matter here.
        pass
    pair.table.delay_commits = False
    pair.table.inner.faults.lose_replies = pair.table.drop_commits = 0


async def polls_until_acquired(pair: CandidatePair) -> int:
    """Return how many polls the first candidate needs when it is left alone."""
    for number in range(POLLS_TO_ACQUIRE):
        if await pair.a.acquire():
            return number + 1
        pair.advance(LEASE_S / 4)
    raise AssertionError("it never acquires the lease")


@pytest.mark.parametrize("predecessor", [False, True], ids=["no row", "a dead holder"])
@pytest.mark.parametrize("competes", [False, True], ids=["alone", "beside another"])
@pytest.mark.parametrize("first", EVENTS)
def test_every_state_has_a_way_out(
    first: str, competes: bool, predecessor: bool
) -> None:
    """Guards against a row that names a process which never acts (review/5).

    A second candidate reads the row after each event and, where it competes, takes a
    free lease over. In the end the first one is left alone.
    """

    async def run() -> None:
        for rest in itertools.product(EVENTS, repeat=LENGTH - 1):
            pair = CandidatePair()
            if predecessor:
                await pair.b.acquire()
                pair.b.abandon()
                await pair.a.look()
                pair.advance(1.1 * LEASE_S)
            for event in ("acquire, stored, not answered", first, *rest):
                await apply(pair, event)
                await (pair.b.acquire() if competes else pair.b.look())
                assert not (pair.a.is_valid() and pair.b.is_valid()), (first, rest)
            is_other = pair.b.is_holder
            polls = await polls_until_acquired(pair)
            assert polls == 1 or is_other, (first, rest, polls)

    run_async(run())
