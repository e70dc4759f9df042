"""Slow takeovers, and the state that a successor restores from the stored rows."""

import asyncio
import logging
from typing import Any

import attrs
import msgspec
import pytest

from cranberrycleat import codec, errors
from cranberrycleat.clock import ManualClock
from cranberrycleat.http_client import HttpClient, HttpReply, NoAnswer
from cranberrycleat.lease import Changes, OwnerRow, OwnershipLease
from cranberrycleat.platform import store
from cranberrycleat.platform.store import PlatformStore
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.standins.table import MemoryTable
from cranberrycleat.table import CommitReply, Put, Row, Transaction
from cranberrycleat.workflow import options, rows
from cranberrycleat.workflow.batches import take_batch
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.fleet import FleetWorker, Liveness, Placement
from cranberrycleat.workflow.options import WorkerLeases
from cranberrycleat.workflow.ports import EndedTask, EndKind, RunningTask, SyncReply
from cranberrycleat.workflow.takeover import StoredRows, restore
from tests.cell import (
    BOUNDS,
    OWNER_LEASE_S,
    Cell,
    cell,
    entry,
    job,
    queue,
    step,
    submit,
    until,
)
from tests.fakes import run_async


@attrs.define(kw_only=True)
class SlowScanTable(MemoryFeedTable):
    """A table that is slow to read, as over a slow link."""

    scan_s: float = 0.0

    async def scan(self, *, prefix: str) -> tuple[Row, ...]:
        """Scan after a delay."""
        await asyncio.sleep(self.scan_s)
        return await MemoryFeedTable.scan(self, prefix=prefix)


def test_takeover_read_longer_than_lease_keeps_ownership() -> None:
    """Without renewals during the read, every successor on a large table is deposed."""

    async def run() -> None:
        table = SlowScanTable(scan_s=3 * OWNER_LEASE_S)
        async with cell(table=table) as env:
            owner = await asyncio.wait_for(env.own("one"), 10 * OWNER_LEASE_S)
            rival = env.make_owner("two")
            assert not await rival.lease.acquire()
            assert owner.may_order()
            await submit(owner, "a", job(step()))

    run_async(run())


@attrs.define(kw_only=True)
class SlowCommitTable(MemoryFeedTable):
    """A table in which every transaction is delayed."""

    each_s: float = 0.0

    async def commit(self, txn: Transaction) -> CommitReply:
        """Commit after a delay."""
        await asyncio.sleep(self.each_s)
        return await MemoryFeedTable.commit(self, txn)


def test_handover_does_not_wait_until_all_changes_are_stored() -> None:
    """On a slow store under a burst some change is always unstored.

    A handover that waited for all of them let the lease expire instead.
    """

    async def run() -> None:
        table = SlowCommitTable()
        async with cell(table=table) as env:
            owner = await env.own("one")
            await submit(owner, "a", job(step()))
            table.each_s = 0.1

            async def more() -> None:
                while True:
                    owner.cluster_state.dirty["a"] = owner.cluster_state.jobs["a"]
                    await asyncio.sleep(0.01)

            burst = asyncio.create_task(more())
            await owner.hand_over()
            burst.cancel()
            (row,) = await table.read(keys=("owner/cell",))
            assert codec.decode(row.value, OwnerRow).released

    run_async(run())


def test_slow_reader_releases_ownership_to_another_host() -> None:
    """A slow reader renewed its lease for 27 s and scheduled nothing (699 jobs)."""

    async def run() -> None:
        table = SlowScanTable(scan_s=60.0)
        async with cell(table=table) as env:
            slow = env.make_owner("slow")
            slow.takeover_read_timeout_s = 0.2
            assert await slow.lease.acquire()
            await asyncio.wait_for(slow.run(), 10.0)
            assert not slow.ready.is_set() and not slow.lease.is_holder
            table.scan_s = 0.0
            owner = await asyncio.wait_for(env.own("two"), 10.0)
            await submit(owner, "a", job(step()))

    run_async(run())


@pytest.mark.parametrize("lands", [True, False], ids=["written", "lost"])
def test_changes_after_an_unanswered_write_are_stored(lands: bool) -> None:
    """The sequence number of the earlier write must not confirm the later changes."""

    async def run() -> None:
        table = MemoryTable()
        lease = OwnershipLease(
            table=table, clock=ManualClock(), key="owner", holder="one", lease_s=5.0
        )
        assert await lease.acquire()
        table.faults.lose_replies = int(lands)
        table.faults.down = not lands
        with pytest.raises(errors.TableUnavailable):
            await lease.commit()
        table.faults.down = False
        await lease.commit(Changes(puts=(Put(key="jobs/a", value="stored"),)))
        assert [row.value for row in await table.read(keys=("jobs/a",))] == ["stored"]

    run_async(run())


@pytest.mark.parametrize(
    ("released", "lease_s", "expected"),
    [(False, 0.9, 0.9), (False, 2.5, 2.5), (True, 2.5, 0.0)],
    ids=["usual", "longer in a slow table", "released"],
)
def test_successor_waits_for_leases_its_predecessor_may_renew(
    released: bool, lease_s: float, expected: float
) -> None:
    leases = WorkerLeases(bounds=BOUNDS, length_s=4.9)
    least = 4.9 / 0.98 + BOUNDS.stop_s
    after = 0.0 if released else options.RENEW_AFTER_LAPSE_S
    first, second = _holders(2)
    first.lease_s = lease_s
    run_async(first.acquire())
    if released:
        run_async(first.release())
    assert run_async(second.acquire())
    waits_s = leases.successor_wait_s(second.inherited_s)
    assert waits_s == pytest.approx(least + after + expected)


def _holders(count: int) -> list[OwnershipLease]:
    """Return processes that each consider the previous holder dead at once."""
    clock, table = ManualClock(), MemoryTable()
    return [
        OwnershipLease(
            table=table,
            clock=clock,
            key="owner",
            holder=str(number),
            lease_s=0.9,
            grants_outlive_lease_s=options.RENEW_AFTER_LAPSE_S,
            is_dead=lambda holder: True,
        )
        for number in range(count)
    ]


@pytest.mark.parametrize("released", [False, True], ids=["dies", "releases"])
@pytest.mark.parametrize("commits", [0, 1])
def test_chained_takeovers_wait_for_the_first_owner(
    released: bool, commits: int
) -> None:
    """The successor of a short-lived owner still waits for the owner before that."""
    first, second, third = _holders(3)
    first.lease_s = 2.9
    run_async(first.acquire())
    assert run_async(second.acquire())
    second.clock.advance(seconds=0.5)  # type: ignore[attr-defined]
    for _ in range(commits):
        run_async(second.commit())
    if released:
        run_async(second.release())
    assert run_async(third.acquire())
    told_after = 0.5 if commits or released else 0.0
    left = 2.9 + options.RENEW_AFTER_LAPSE_S - told_after
    assert third.inherited_s == pytest.approx(left)
    assert third.inherited_s >= left - 1e-9, "never less than the first may act"


def test_inbox_jobs_keep_their_acceptance_time() -> None:
    """Time in the inbox counts against the objective, which orders the jobs.

    A late job must not be ranked ahead of work that can still meet its objective.
    """

    async def run() -> None:
        async with cell() as env:
            _leave_in_inbox(env, accepted_s=1234.5)
            owner = await env.own()
            await until(lambda: "a" in owner.cluster_state.reported)
            assert owner.cluster_state.jobs["a"].accepted_s == 1234.5

    run_async(run())


def _leave_in_inbox(env: Cell, *, accepted_s: float) -> None:
    row = rows.SpecRow(queue=queue(), spec=job(step()), accepted_s=accepted_s)
    put = Put(key=rows.inbox_key("a"), value=codec.encode_text(row))
    env.table.apply(Transaction(puts=(put,)))


def test_adopted_attempt_has_a_finite_run_time() -> None:
    """`running_since` is minus infinity, but the logged run time must be finite."""
    adopted = Placement(
        task="a.0.0.0",
        attempt=1,
        needs=step().needs,
        tracked_task=None,
        planned_at=10.0,
        running=True,
        running_since=float("-inf"),
    )
    assert adopted.ran_s(12.0) == 2.0


@attrs.define(kw_only=True, eq=False)
class TwoRowPages(HttpClient):
    """Returns a table in pages of two rows; some calls are not answered."""

    keys: tuple[str, ...] = ("a", "b", "c")
    unanswered: list[int] = attrs.field(factory=list)
    calls: list[str] = attrs.field(factory=list)

    async def call(self, method: str, url: str, **more: Any) -> HttpReply:
        """Return the page that begins at `from`."""
        start = more["params"].get("from", "")
        self.calls.append(start)
        if len(self.calls) in self.unanswered:
            raise NoAnswer("timeout", sent=True)
        left = [key for key in self.keys if key >= start]
        page = {
            "rows": [
                {"table": "jobs", "part": "", "key": key, "value": "", "schema_ver": 1}
                for key in left[:2]
            ],
            "truncated": len(left) > 2,
            "schema_ver": 7,
        }
        return HttpReply(status=200, body=msgspec.json.encode(page))


@pytest.mark.parametrize(
    ("unanswered", "calls"),
    [([], ["", "b\0"]), ([2], ["", "b\0", "b\0"]), ([1, 2], ["", "", "", "b\0"])],
    ids=["all answered", "second page", "first page twice"],
)
def test_only_the_unanswered_page_is_read_again(
    unanswered: list[int], calls: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A slow link that drops one page must not restart the read of the whole table."""
    monkeypatch.setattr(store, "PAGE_PAUSE_S", 0.0)
    http = TwoRowPages(unanswered=unanswered)
    found = run_async(PlatformStore(address="x:1", http=http).snapshot(table="jobs"))
    assert [row.key for row in found.rows] == ["jobs/a", "jobs/b", "jobs/c"]
    assert http.calls == calls


def test_attempts_of_unreadable_jobs_are_left_running() -> None:
    """Attempts of jobs of another version are neither stopped nor acknowledged."""
    cluster_state = ClusterState(time_of_day=lambda: 1000.0, now=lambda: 0.0)
    worker = FleetWorker(entry=entry("w"), liveness=Liveness.LIVE)
    cluster_state.fleet.add(worker)
    strange = Row(key="jobs/b", version=1, value='{"written":"by another version"}')
    restore(cluster_state, StoredRows(specs=(), jobs=(strange,), inbox=()))
    running = RunningTask(task="b.0.0.0", attempt=1, saved="", percent=5.0)
    end = EndedTask(number=1, task="b.0.0.1", attempt=1, how=EndKind.DONE, saved="")
    reply = SyncReply(worker_time_ms=1000, running=(running,), ended=(end,))
    cluster_state.sync(worker, reply, sent_at=0.1, now=0.2)
    (placement,) = worker.placements.values()
    assert not placement.stopping
    assert not worker.may_accept_work(0.3), "nobody knows what it takes"
    assert take_batch(cluster_state).acknowledgeable == ()


# Guards against log lines for every retry, from every host that reads a table, for as
# long as the store is down.
def test_unread_table_is_logged_once_until_it_is_read(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(store, "PAGE_PAUSE_S", 0.0)
    monkeypatch.setattr(store, "LOG", logging.getLogger("test.store"))
    reads = 5
    failing = reads * store.PAGE_ATTEMPTS
    http = TwoRowPages(unanswered=[*range(1, failing + 1), failing + 4])
    table = PlatformStore(address="x:1", http=http)

    async def run() -> None:
        for _ in range(reads):
            with pytest.raises(errors.TableUnavailable):
                await table.snapshot(table="jobs")
        for _ in range(2):
            assert len((await table.snapshot(table="jobs")).rows) == len(http.keys)

    with caplog.at_level(logging.INFO, logger="test.store"):
        run_async(run())
    assert [text.partition(":")[0] for text in caplog.messages] == [
        "Retrying a page of table jobs",
        "Pages of table jobs are read again.",
    ] * 2
