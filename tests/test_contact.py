"""What a host has heard, and for how long it counts."""

import pytest

from cranberrycleat.clock import ManualClock
from cranberrycleat.workflow.contact import OWNER_ALONE_S, SUSPECTED_S, Contact
from cranberrycleat.workflow.peering import DigestReply


def test_what_was_heard_ages() -> None:
    """Owner or table serve; another place only shows that this is no cut."""
    clock = ManualClock(time_s=100.0)
    contact = Contact(clock=clock)
    assert not contact.served() and not contact.connected()
    contact.heard_place()
    assert contact.connected() and not contact.served()
    contact.heard_owner()
    assert contact.served()
    clock.advance(seconds=0.95)
    assert not contact.served()
    contact.heard_table()
    assert contact.served()


def test_a_suspicion_does_not_last() -> None:
    """A holder that was suspected wrongly is not taken over again and again."""
    clock = ManualClock(time_s=100.0)
    contact = Contact(clock=clock)
    contact.suspect("a@x#1")
    assert contact.suspects("a@x#1") and not contact.suspects("a@x#2")
    clock.advance(seconds=SUSPECTED_S + 0.1)
    assert not contact.suspects("a@x#1")


def test_only_a_later_owner_is_believed() -> None:
    """Word of an earlier epoch changes nothing."""
    contact = Contact(clock=ManualClock())
    contact.take_hint(DigestReply(owner=False, epoch=3, owner_at="a:1"))
    contact.take_hint(DigestReply(owner=False, epoch=2, owner_at="b:1"))
    contact.take_hint(DigestReply(owner=False, epoch=4, owner_at=""))
    assert contact.hint.owner_at == "a:1"


def test_an_owner_that_answers_is_suspected_no_more() -> None:
    """What a cut made look like a death is over with the cut."""
    contact = Contact(clock=ManualClock(time_s=100.0))
    contact.suspect("a@x#1")
    contact.trust()
    assert not contact.suspects("a@x#1")


@pytest.mark.parametrize(
    ("answered_s", "answer_s", "silent_s", "expected"),
    [
        (5.0, 0.01, 0.0, False),
        (5.0, 0.01, OWNER_ALONE_S, False),
        (5.0, 0.01, OWNER_ALONE_S + 0.05, True),
        (5.0, 0.25, 0.6, False),
        (5.0, 0.25, 0.8, True),
        (0.3, 0.01, 2.0, False),
        (None, 0.01, 2.0, False),
    ],
    ids=["calm", "a lost answer", "alone", "slow", "alone, slow", "back", "away"],
)
def test_an_owner_that_alone_lost_the_table(
    answered_s: float | None, answer_s: float, silent_s: float, expected: bool
) -> None:
    """Told from a table that is slow for all, away for all, or just back."""
    clock = ManualClock(time_s=100.0)
    contact = Contact(clock=clock)
    contact.looked(answer_s)
    if answered_s is None:
        contact.lost_table()
    else:
        clock.advance(seconds=answered_s)
        contact.looked(answer_s)
    assert contact.owner_is_alone(silent_s) is expected


def test_a_table_that_has_just_become_slow_is_no_owner_s_loss() -> None:
    """This host's own look waits as well, and tells nothing yet."""
    clock = ManualClock(time_s=100.0)
    contact = Contact(clock=clock)
    contact.looked(0.01)
    clock.advance(seconds=5.0)
    contact.looked(0.01)
    clock.advance(seconds=0.3)
    assert contact.owner_is_alone(OWNER_ALONE_S + 0.1)
    clock.advance(seconds=0.2)
    assert not contact.owner_is_alone(OWNER_ALONE_S + 0.3)
