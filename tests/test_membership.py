"""Cluster membership: the owner's peer list, and the choice of hosts from it."""

import pytest

from cranberrycleat.workflow.membership import Membership
from cranberrycleat.workflow.peering import Heartbeat, HeartbeatReply


def _membership_of(*names: str, at: float = 0.0) -> Membership:
    members = Membership()
    for name in names:
        members.record_heartbeat(
            Heartbeat(name=name, address=f"{name}:1", data_centre="dc"), at
        )
    return members


def _reply(owner: Membership, other: Membership, now: float) -> HeartbeatReply:
    version, peers = owner.peer_list(now, other.peer_list_version)
    return HeartbeatReply(owner=True, peers_version=version, peers=peers)


def test_peer_list_is_sent_once_per_version() -> None:
    owner, other = _membership_of("a", "b"), Membership()
    first = _reply(owner, other, 1.0)
    other.apply_peer_list(first, 1.0)
    again = _reply(owner, other, 7.0)
    other.apply_peer_list(again, 7.0)
    assert (len(first.peers), len(again.peers)) == (2, 0)
    assert {peer.address for peer in other.live(14.0)} == {"a:1", "b:1"}


@pytest.mark.parametrize(
    ("names", "now", "expected"),
    [(("a", "b", "c"), 1.0, {"a:1", "b:1", "c:1"}), (("a",), 1.0, {"a:1"})],
    ids=["one more", "one less"],
)
def test_changed_peer_list_is_sent(
    names: tuple[str, ...], now: float, expected: set[str]
) -> None:
    other = Membership()
    other.apply_peer_list(_reply(_membership_of("a", "b"), other, now), now)
    other.apply_peer_list(_reply(_membership_of(*names, at=now), other, now), now)
    assert {peer.address for peer in other._received_peers} == expected


def test_empty_peer_list_of_new_owner_replaces_the_old_list() -> None:
    """A new owner may not know any host yet; its empty list is applied as it is."""
    other = Membership()
    other.apply_peer_list(_reply(_membership_of("a"), other, 0.0), 0.0)
    other.apply_peer_list(_reply(Membership(), other, 0.0), 0.0)
    assert other._received_peers == ()


def _heartbeat(name: str, place: str) -> Heartbeat:
    return Heartbeat(name=name, address=f"{name}:1", data_centre=place)


@pytest.mark.parametrize(
    ("heard", "expected"),
    [
        ((("far", "there", 9.5), ("near", "here", 9.4)), ("near:1", "far:1")),
        ((("cut", "here", 8.5), ("far", "there", 9.5)), ("far:1",)),
        # An owner that has just taken over may have no recent heartbeats.
        ((("far", "there", 5.0), ("near", "here", 4.0)), ("near:1", "far:1")),
        ((("gone", "here", 0.0),), ()),
    ],
    ids=["near first", "a silent host is left out", "none is fresh", "long silent"],
)
def test_permit_peers_prefer_fresh_and_local_hosts(
    heard: tuple[tuple[str, str, float], ...], expected: tuple[str, ...]
) -> None:
    members = Membership()
    for name, place, at in heard:
        members.record_heartbeat(_heartbeat(name, place), at)
    assert members.permit_peers(10.0, "here") == expected


def test_new_host_is_listed_after_cache_expiry() -> None:
    """The list is cached, not rebuilt for each of a hundred hosts that ask."""
    owner, other = _membership_of("a"), Membership()
    other.apply_peer_list(_reply(owner, other, 0.0), 0.0)
    owner.record_heartbeat(_heartbeat("b", "dc"), 0.05)
    other.apply_peer_list(_reply(owner, other, 0.05), 0.05)
    assert {peer.address for peer in other.live(0.05)} == {"a:1"}
    other.apply_peer_list(_reply(owner, other, 0.1), 0.1)
    assert {peer.address for peer in other.live(0.1)} == {"a:1", "b:1"}
