"""The list of hosts that an owner tells: once for each version."""

import pytest

from cranberrycleat.workflow.membership import Membership
from cranberrycleat.workflow.peering import Digest, DigestReply


def _heard(*names: str, at: float = 0.0) -> Membership:
    members = Membership()
    for name in names:
        members.hear(Digest(name=name, address=f"{name}:1", data_centre="dc"), at)
    return members


def _reply(owner: Membership, other: Membership, now: float) -> DigestReply:
    version, peers = owner.listing(now, other.learned)
    return DigestReply(owner=True, peers_version=version, peers=peers)


def test_the_list_is_sent_once_and_stays_fresh_by_its_version() -> None:
    owner, other = _heard("a", "b"), Membership()
    first = _reply(owner, other, 1.0)
    other.learn(first, 1.0)
    again = _reply(owner, other, 7.0)
    other.learn(again, 7.0)
    assert (len(first.peers), len(again.peers)) == (2, 0)
    assert {peer.address for peer in other.live(14.0)} == {"a:1", "b:1"}


@pytest.mark.parametrize(
    ("names", "now", "expected"),
    [(("a", "b", "c"), 1.0, {"a:1", "b:1", "c:1"}), (("a",), 1.0, {"a:1"})],
    ids=["one more", "one less"],
)
def test_a_change_of_the_list_is_sent(
    names: tuple[str, ...], now: float, expected: set[str]
) -> None:
    other = Membership()
    other.learn(_reply(_heard("a", "b"), other, now), now)
    other.learn(_reply(_heard(*names, at=now), other, now), now)
    assert {peer.address for peer in other._learned_from} == expected


def test_another_owner_s_equal_version_without_a_list_is_not_trusted_blindly() -> None:
    """An owner that took over may know nobody yet: its empty list is taken as it is."""
    other = Membership()
    other.learn(_reply(_heard("a"), other, 0.0), 0.0)
    other.learn(_reply(Membership(), other, 0.0), 0.0)
    assert other._learned_from == ()


def _word(name: str, place: str) -> Digest:
    return Digest(name=name, address=f"{name}:1", data_centre=place)


@pytest.mark.parametrize(
    ("heard", "expected"),
    [
        ((("far", "there", 9.5), ("near", "here", 9.4)), ("near:1", "far:1")),
        ((("cut", "here", 8.5), ("far", "there", 9.5)), ("far:1",)),
        # Whoever has just taken over may have heard of nobody of late.
        ((("far", "there", 5.0), ("near", "here", 4.0)), ("near:1", "far:1")),
        ((("gone", "here", 0.0),), ()),
    ],
    ids=["near first", "a silent host is left out", "none is fresh", "long silent"],
)
def test_who_is_asked_for_help(
    heard: tuple[tuple[str, str, float], ...], expected: tuple[str, ...]
) -> None:
    members = Membership()
    for name, place, at in heard:
        members.hear(_word(name, place), at)
    assert members.helpers(10.0, "here") == expected


def test_a_host_that_comes_is_told_within_a_third_of_a_digest() -> None:
    """The list is not made anew for each of a hundred hosts that ask."""
    owner, other = _heard("a"), Membership()
    other.learn(_reply(owner, other, 0.0), 0.0)
    owner.hear(_word("b", "dc"), 0.05)
    other.learn(_reply(owner, other, 0.05), 0.05)
    assert {peer.address for peer in other.live(0.05)} == {"a:1"}
    other.learn(_reply(owner, other, 0.1), 0.1)
    assert {peer.address for peer in other.live(0.1)} == {"a:1", "b:1"}
