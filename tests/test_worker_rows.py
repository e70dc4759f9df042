"""Tests invalid rows in the list of workers: none yields a worker to use."""

import asyncio
import json
from collections.abc import Callable

import pytest
from hypothesis import given, strategies as st

from cranberrycleat import errors, events
from cranberrycleat.clock import ManualClock
from cranberrycleat.platform.records import read_worker
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.table import Put, Row, Transaction
from cranberrycleat.workflow import (
    directory as directory_module,
    roster as roster_module,
)
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.directory import WorkerDirectory
from cranberrycleat.workflow.fleet import FleetWorker, Liveness
from cranberrycleat.workflow.membership import Membership
from cranberrycleat.workflow.roster import Roster
from tests.cell import BOUNDS

VALID_ROW: dict[str, object] = {
    "service": "s",
    "addr": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 100, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 5,
}
OMITTED = object()
INVALID_ROWS: list[tuple[dict[str, object], str]] = [
    ({"state": OMITTED}, "servers/i-1"),
    ({"state": "sleeping"}, "servers/i-1.state"),
    ({"state": 3}, "servers/i-1"),
    ({"capacity": OMITTED}, "servers/i-1"),
    ({"capacity": {"cpu": -1}}, "servers/i-1.capacity.cpu"),
    ({"capacity": {"cpu": 1, "gpu": -2}}, "servers/i-1.capacity.gpu"),
    ({"capacity": "much"}, "servers/i-1"),
    ({"addr": OMITTED}, "servers/i-1"),
    ({"addr": "somewhere"}, "servers/i-1.addr"),
    ({"addr": "10.0.0.1"}, "servers/i-1.addr"),
    ({"addr": "10.0.0.1:0"}, "servers/i-1.addr"),
    ({"addr": "10.0.0.1:70000"}, "servers/i-1.addr"),
    ({"addr": "10.0.0.1:²"}, "servers/i-1.addr"),
    ({"addr": "10.0.0.1:80/else?"}, "servers/i-1.addr"),
    ({"addr": "host.example:80"}, "servers/i-1.addr"),
    ({"service": ""}, "servers/i-1.service"),
    ({"labels": "a"}, "servers/i-1"),
    ({"clock_ms": 1e400}, "servers/i-1"),
]


def row(changes: dict[str, object], version: int = 1, worker: str = "i-1") -> Row:
    """Return a worker's row with some fields changed or left out."""
    fields = {**VALID_ROW, **changes}
    kept = {name: each for name, each in fields.items() if each is not OMITTED}
    return Row(key=f"servers/{worker}", version=version, value=json.dumps(kept))


@pytest.mark.parametrize(("changes", "place"), INVALID_ROWS)
def test_invalid_row_reports_its_location(
    changes: dict[str, object], place: str
) -> None:
    """It yields no worker."""
    with pytest.raises(errors.FindingsError) as caught:
        read_worker(row(changes))
    assert [each.place for each in caught.value.findings] == [place]


def test_all_faults_of_row_are_reported_together() -> None:
    """They can then be fixed in one go."""
    with pytest.raises(errors.FindingsError) as caught:
        read_worker(row({"state": "", "addr": "x", "capacity": {"cpu": -1}}))
    assert len(caught.value.findings) == 3


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(sorted(VALID_ROW)), inner, max_size=4),
    max_leaves=8,
)


@given(st.one_of(st.text(), json_values.map(json.dumps)))
def test_any_text_yields_entry_or_finding(text: str) -> None:
    """Whatever a row contains, no other exception may be raised."""
    _read_any(text)


@given(st.dictionaries(st.sampled_from(sorted(VALID_ROW)), json_values, max_size=3))
def test_any_field_value_yields_entry_or_finding(
    changes: dict[str, object],
) -> None:
    """The same for rows that are well formed except for some fields."""
    _read_any(json.dumps({**VALID_ROW, **changes}))


def _read_any(text: str) -> None:
    try:
        entry = read_worker(Row(key="servers/i-1", version=1, value=text))
    except errors.FindingsError as exc:
        assert exc.findings
    else:
        assert entry.address.count(":") == 1
        assert entry.capacity.processors >= 0


@pytest.fixture(name="told")
def emitted_events(monkeypatch: pytest.MonkeyPatch) -> list[object]:
    """Return the list of emitted events."""
    told: list[object] = []
    monkeypatch.setattr(directory_module, "emit", told.append)
    monkeypatch.setattr(roster_module, "emit", told.append)
    return told


def count_unreadable(told: list[object]) -> int:
    """Return how many findings about rows were logged."""
    return sum(isinstance(each, events.RowUnreadable) for each in told)


def put(table: MemoryFeedTable, found: Row) -> None:
    """Write a row."""
    table.apply(Transaction(puts=(Put(key=found.key, value=found.value),)))


def make_directory(table: MemoryFeedTable) -> WorkerDirectory:
    """Return a reader of the list of workers."""
    return WorkerDirectory(store=table, table="servers", read=read_worker)


@pytest.mark.parametrize("place", range(3))
@pytest.mark.parametrize("changes", [bad for bad, _ in INVALID_ROWS])
def test_invalid_row_does_not_hide_others(
    place: int, changes: dict[str, object], told: list[object]
) -> None:
    """Its position in the list does not matter."""
    table = MemoryFeedTable()
    for number in range(3):
        put(table, row(changes if number == place else {}, worker=f"i-{number}"))
    found = make_directory(table)
    asyncio.run(found.read_all())
    asyncio.run(found.read_all())
    assert set(found.entries) == {f"i-{n}" for n in range(3) if n != place}
    assert count_unreadable(told) == 1


def test_worker_whose_row_becomes_unreadable_keeps_its_tasks(
    told: list[object],
) -> None:
    """It is given no work, but what runs there is neither forgotten nor duplicated."""
    table = MemoryFeedTable()
    put(table, row({}))
    found = make_directory(table)
    asyncio.run(found.read_all())
    worker = FleetWorker(entry=found.entries["i-1"], liveness=Liveness.LIVE)
    assert worker.may_accept_work(0.0) and worker.may_start(0.0)
    put(table, row({"state": "sleeping"}))
    assert asyncio.run(found.refresh())
    worker.update(found.entries["i-1"])
    assert not worker.may_accept_work(0.0) and not worker.may_start(0.0)
    assert worker.entry.address == VALID_ROW["addr"] and not worker.entry.leaving
    put(table, row({}))
    asyncio.run(found.refresh())
    worker.update(found.entries["i-1"])
    assert worker.may_accept_work(0.0)
    assert count_unreadable(told) == 1


def make_roster(
    found: WorkerDirectory,
    joined: list[str],
    pools: Callable[[], frozenset[str] | None],
) -> Roster:
    """Return a roster that records the links it starts."""
    return Roster(
        cluster_state=ClusterState(),
        directory=found,
        members=Membership(),
        links={},
        bounds=BOUNDS,
        join=lambda worker: joined.append(worker.name),
        changed=lambda: None,
        pools=pools,
    )


def test_worker_of_unconfigured_service_gets_no_link(
    told: list[object],
) -> None:
    """It gets one as soon as a configuration names its service."""
    table = MemoryFeedTable()
    put(table, row({"service": "other"}))
    put(table, row({}, worker="i-2"))
    found = make_directory(table)
    asyncio.run(found.read_all())
    named = {"s"}
    joined: list[str] = []
    fleet_roster = make_roster(found, joined, lambda: frozenset(named))
    fleet_roster.refresh()
    fleet_roster.refresh()
    assert joined == ["i-2"]
    assert count_unreadable(told) == 1
    named.add("other")
    fleet_roster.refresh()
    assert joined == ["i-2", "i-1"]


def test_without_configuration_every_worker_gets_a_link(
    told: list[object],
) -> None:
    """An earlier owner's leases must be renewed before a configuration is read."""
    table = MemoryFeedTable()
    put(table, row({}))
    found = make_directory(table)
    asyncio.run(found.read_all())
    joined: list[str] = []
    make_roster(found, joined, lambda: None).refresh()
    assert joined == ["i-1"]
    assert not count_unreadable(told)


# Guards against starts on a worker that leaves (DRAIN): its announcement was forgotten.
@pytest.mark.parametrize(
    ("rows", "leaving"),
    [
        ([row({"state": "draining"}), row({})], True),
        ([row({"state": "draining"}), None, row({})], True),
        ([row({"state": "draining"}), row({"state": "odd"}), row({})], True),
        ([row({"state": "draining", "born": 5}), row({"born": 5})], True),
        ([row({"state": "draining", "born": 5}), row({"born": 6})], False),
        ([row({}), row({})], False),
    ],
)
@pytest.mark.parametrize("reads", ["one", "each", "all"])
def test_announcement_is_final_for_its_incarnation(
    rows: list[Row | None], leaving: bool, reads: str
) -> None:
    """However the rows were read: in one answer, one after the other, or as a whole."""
    table = MemoryFeedTable()
    found = make_directory(table)
    asyncio.run(found.read_all())
    for each in rows:
        if each is None:
            table.apply(Transaction(deletes=("servers/i-1",)))
        else:
            put(table, each)
        if reads == "each":
            asyncio.run(found.refresh())
        elif reads == "all":
            asyncio.run(found.read_all())
    asyncio.run(found.refresh())
    assert found.entries["i-1"].leaving is leaving


# Guards against an announcement (DRAIN) that becomes visible after a later change: no
# read after the reported version would show it.
@pytest.mark.parametrize("history", ["kept", "dropped before"])
@pytest.mark.parametrize("unread_s", [0.1, 0.5, 5.0])
def test_change_that_is_shown_out_of_order_is_read(
    history: str, unread_s: float
) -> None:
    """However long after the read that missed it the next one succeeds."""
    clock = ManualClock()
    table = MemoryFeedTable()
    put(table, row({}))
    found = make_directory(table)
    found.clock = clock
    asyncio.run(found.read_all())
    clock.advance(seconds=0.5)
    announcement = row({"state": "draining"})
    if history == "dropped before":
        table.forget_history()
    show = table.hold_back(
        Transaction(puts=(Put(key=announcement.key, value=announcement.value),))
    )
    put(table, row({}, worker="i-2"))
    assert asyncio.run(found.refresh())
    assert not found.entries["i-1"].leaving
    show()
    clock.advance(seconds=unread_s)
    assert asyncio.run(found.refresh())
    assert found.entries["i-1"].leaving
    assert not asyncio.run(found.refresh())


def test_overlap_ends_after_a_while() -> None:
    """Otherwise each read would return all changes that the table still keeps."""
    clock = ManualClock()
    table = MemoryFeedTable()
    found = make_directory(table)
    found.clock = clock
    asyncio.run(found.read_all())
    put(table, row({}))
    asyncio.run(found.refresh())
    version = table.revision
    asked: list[int] = []
    for _ in range(4):
        clock.advance(seconds=0.4)
        asyncio.run(found.refresh())
        asked.append(found._reported[0][1])
    assert asked[-1] == version
    assert len(found._reported) <= 4


def test_history_without_the_overlap_is_enough() -> None:
    """A table that has just dropped its history is not read as a whole each time."""
    table = MemoryFeedTable()
    found = make_directory(table)
    asyncio.run(found.read_all())
    put(table, row({}))
    asyncio.run(found.refresh())
    table.forget_history()
    reads = table.counts.reads
    put(table, row({"state": "draining"}))
    assert asyncio.run(found.refresh())
    assert found.entries["i-1"].leaving
    assert table.counts.reads == reads
