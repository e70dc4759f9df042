"""Tests what a host concludes from its recent contacts, and for how long."""

import pytest

from cranberrycleat.clock import ManualClock
from cranberrycleat.workflow.peering import HeartbeatReply
from cranberrycleat.workflow.reachability import (
    OWNER_CUT_OFF_S,
    SUSPICION_HOLD_S,
    Reachability,
)


def test_contact_expires() -> None:
    """Owner or table suffice to serve; another data centre rules out a partition."""
    clock = ManualClock(time_s=100.0)
    reachability = Reachability(clock=clock)
    assert (
        not reachability.reaches_owner_or_table() and not reachability.reaches_outside()
    )
    reachability.record_remote_answer()
    assert reachability.reaches_outside() and not reachability.reaches_owner_or_table()
    reachability.record_owner_answer()
    assert reachability.reaches_owner_or_table()
    clock.advance(seconds=0.95)
    assert not reachability.reaches_owner_or_table()
    reachability.record_table_answer()
    assert reachability.reaches_owner_or_table()


def test_suspicion_expires() -> None:
    """A lease holder that was suspected wrongly is not taken over again and again."""
    clock = ManualClock(time_s=100.0)
    reachability = Reachability(clock=clock)
    reachability.suspect_owner("a@x#1")
    assert reachability.is_suspected("a@x#1") and not reachability.is_suspected("a@x#2")
    clock.advance(seconds=SUSPICION_HOLD_S + 0.1)
    assert not reachability.is_suspected("a@x#1")


def test_owner_hint_of_earlier_epoch_is_ignored() -> None:
    """A hint with an earlier epoch, or without an address, changes nothing."""
    reachability = Reachability(clock=ManualClock())
    reachability.update_owner_hint(HeartbeatReply(owner=False, epoch=3, owner_at="a:1"))
    reachability.update_owner_hint(HeartbeatReply(owner=False, epoch=2, owner_at="b:1"))
    reachability.update_owner_hint(HeartbeatReply(owner=False, epoch=4, owner_at=""))
    assert reachability.owner_hint.owner_at == "a:1"


def test_owner_answer_clears_suspicion() -> None:
    """An owner that only seemed dead during a partition is trusted again after it."""
    reachability = Reachability(clock=ManualClock(time_s=100.0))
    reachability.suspect_owner("a@x#1")
    reachability.clear_suspicion()
    assert not reachability.is_suspected("a@x#1")


@pytest.mark.parametrize(
    ("answered_s", "answer_s", "silent_s", "expected"),
    [
        (5.0, 0.01, 0.0, False),
        (5.0, 0.01, OWNER_CUT_OFF_S, False),
        (5.0, 0.01, OWNER_CUT_OFF_S + 0.05, True),
        (5.0, 0.25, 0.6, False),
        (5.0, 0.25, 0.8, True),
        (0.3, 0.01, 2.0, False),
        (None, 0.01, 2.0, False),
    ],
    ids=["calm", "a lost answer", "alone", "slow", "cut off, slow", "back", "away"],
)
def test_owner_that_lost_table_is_detected(
    answered_s: float | None, answer_s: float, silent_s: float, expected: bool
) -> None:
    """Not to be confused with a table that is slow, down for all, or just back."""
    clock = ManualClock(time_s=100.0)
    reachability = Reachability(clock=clock)
    reachability.record_row_read(answer_s)
    if answered_s is None:
        reachability.record_table_failure()
    else:
        clock.advance(seconds=answered_s)
        reachability.record_row_read(answer_s)
    assert reachability.owner_lost_table(silent_s) is expected


def test_newly_slow_table_is_not_attributed_to_owner() -> None:
    """This host's own read waits as well and shows nothing yet."""
    clock = ManualClock(time_s=100.0)
    reachability = Reachability(clock=clock)
    reachability.record_row_read(0.01)
    clock.advance(seconds=5.0)
    reachability.record_row_read(0.01)
    clock.advance(seconds=0.3)
    assert reachability.owner_lost_table(OWNER_CUT_OFF_S + 0.1)
    clock.advance(seconds=0.2)
    assert not reachability.owner_lost_table(OWNER_CUT_OFF_S + 0.3)
