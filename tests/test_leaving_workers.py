"""Tests that knowledge that a worker leaves reaches every start, or that none is sent.

Knowledge of a worker may be old, incomplete, or lost on the way to a start. A task must
not begin later than `drain_s` after the platform accepted the worker's announcement.
"""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest

from cranberrycleat.table import Put, Transaction
from cranberrycleat.workflow import options
from cranberrycleat.workflow.directory import WorkerDirectory
from cranberrycleat.workflow.fleet import FleetWorker, Liveness
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.roster import Roster
from tests.cell import Cell, cell, job, step, submit, until
from tests.fakes import run_async
from tests.test_missing_entries import _roster

LEAVES_AFTER_S = 4.0
"""How long workers of these tests stay after their announcement."""


def listed_worker() -> tuple[Roster, FleetWorker, list[float]]:
    """Return a live worker that was just listed, and the time that tests advance."""
    roster, worker, time = _roster(Liveness.LIVE, False)
    roster.directory.entries["w"] = worker.entry
    read(roster, time[0])
    return roster, worker, time


def read(roster: Roster, now: float) -> None:
    """Apply a complete read of the list that was begun just now."""
    roster.list_read_at = now
    roster.refresh()


# Guards against starts on a worker that announced its leaving and lapsed between two
# reads: only the lapse was left of both, and a worker without an entry was used for
# 2.5 s while it answered.
def test_worker_that_drains_and_lapses_between_two_reads_is_not_used() -> None:
    roster, worker, time = listed_worker()
    del roster.directory.entries["w"]
    time[0] += 0.5
    read(roster, time[0])
    assert worker.may_accept_work(time[0])
    time[0] += 1.6
    roster.list_was_read(time[0])
    roster.check_all(time[0])
    assert not worker.may_accept_work(time[0])


def test_announcement_without_entry_is_applied() -> None:
    """Services on that worker move at once, as if its entry still said so."""
    roster, worker, time = listed_worker()
    roster.directory.announced.add(worker.entry.incarnation)
    del roster.directory.entries["w"]
    read(roster, time[0])
    assert worker.entry.leaving


def test_list_without_a_dated_read_is_relied_on_for_a_limited_time() -> None:
    """An owner applies the first list before it notes when that was read."""
    roster, worker, time = _roster(Liveness.LIVE, False)
    roster.directory.entries["w"] = worker.entry
    roster.refresh()
    assert worker.may_accept_work(time[0])
    time[0] += 2.1
    assert not worker.may_accept_work(time[0])


# Guards against starts on a worker whose entry was adopted for a later incarnation:
# newer versions of it were ignored, and among them the announcement.
def test_worker_used_by_an_earlier_entry_drains() -> None:
    roster, worker, time = listed_worker()
    fleet = roster.cluster_state.fleet
    fleet.workers.clear()
    fleet.newest.clear()
    listed = attrs.evolve(worker.entry, born_ms=1000)
    before = FleetWorker(entry=listed, liveness=Liveness.LIVE)
    fleet.add(before)
    roster.directory.entries["w"] = listed
    roster.worker_restarted(before, 2000)
    after = fleet.newest["w"]
    after.liveness = Liveness.LIVE
    time[0] += 3.0
    read(roster, time[0])
    roster.check(after, time[0])
    assert after.may_accept_work(time[0])
    roster.directory.entries["w"] = attrs.evolve(listed, leaving=True)
    read(roster, time[0])
    roster.check(after, time[0])
    assert not after.may_accept_work(time[0])


# Guards against starts that rely on a list that is older than `drain_s`.
@pytest.mark.parametrize(("age_s", "usable"), [(0.0, True), (1.9, True), (2.1, False)])
def test_list_that_could_not_be_read_is_relied_on_for_a_limited_time(
    age_s: float, usable: bool
) -> None:
    roster, worker, time = listed_worker()
    time[0] += age_s
    roster.check_all(time[0])
    assert worker.may_accept_work(time[0]) is usable
    roster.list_was_read(time[0])
    assert worker.may_accept_work(time[0])


async def _hide_list(env: Cell, owner: Owner) -> None:
    """The list can't be read; the owner's writes, and so its lease, are answered."""
    env.table.faults.unreadable_feeds.add("servers")
    env.drain_worker("w0")


async def _lapse(env: Cell, owner: Owner) -> None:
    """The announcement and the lapse of the entry come in one answer."""
    env.drain_worker("w0")
    env.unlist_worker("w0")


async def _lapse_unread(env: Cell, owner: Owner) -> None:
    """The same, and the list can't be read at the moment."""
    env.table.faults.unreadable_feeds.add("servers")
    await _lapse(env, owner)
    await asyncio.sleep(0.6)
    env.table.faults.unreadable_feeds.clear()


async def _return_as_ready(env: Cell, owner: Owner) -> None:
    """The entry lapses, and somebody writes the one from before."""
    ready = env.entries["w0"]
    env.drain_worker("w0")
    await until(lambda: owner.cluster_state.fleet.newest["w0"].entry.leaving)
    env.unlist_worker("w0")
    await until(lambda: "w0" not in owner.directory.entries)
    env.entries["w0"] = ready
    env.list_worker("w0")


async def _change_owner(env: Cell, owner: Owner) -> None:
    """The same, and another owner takes over in between, who never saw it leave."""
    ready = env.entries["w0"]
    env.drain_worker("w0")
    await until(lambda: owner.cluster_state.fleet.newest["w0"].entry.leaving)
    env.unlist_worker("w0")
    await until(lambda: "announced/workers" in env.table.rows)
    await owner.hand_over()
    env.entries["w0"] = ready
    env.list_worker("w0")


async def _lose_update(env: Cell, owner: Owner) -> None:
    """Applying an answer to the fleet fails once; the next answer has no change."""
    refresh = Roster.refresh
    failed = asyncio.Event()

    def fail_once(roster: Roster) -> None:
        if not failed.is_set():
            failed.set()
            raise RuntimeError("injected")
        refresh(roster)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Roster, "refresh", fail_once)
        env.drain_worker("w0")
        await failed.wait()


async def _show_out_of_order(env: Cell, owner: Owner) -> None:
    """The list shows a later change, with a higher version, before the announcement."""
    env.mark_leaving("w0")
    show = env.table.hold_back(Transaction(puts=(env.entry_put("w0"),)))
    env.table.apply(Transaction(puts=(Put(key="other/1", value="1"),)))
    version = env.table.revision
    await until(lambda: owner.directory._version >= version)
    show()
    env.fleet.record_leaving(env.entries["w0"])


# Guards against starts on a worker later than `drain_s` after its announcement (DRAIN),
# for each way on which the announcement was missed.
@pytest.mark.parametrize(
    "announce",
    [
        _hide_list,
        _lapse,
        _lapse_unread,
        _return_as_ready,
        _change_owner,
        _lose_update,
        _show_out_of_order,
    ],
)
def test_no_task_begins_on_worker_that_announced_its_leaving(
    announce: Callable[[Cell, Owner], Awaitable[None]],
) -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            owner = await env.own()
            worker = owner.cluster_state.fleet.newest["w0"]
            await until(lambda: worker.may_accept_work(owner.clock.now()))
            owner.worker_list_settled_at = float("-inf")
            await asyncio.sleep(2 * options.DIRECTORY_FAST_POLL_INTERVAL_S)
            await announce(env, owner)
            if not owner.lease.is_valid():
                owner = await env.own("two")
            for number in range(int(LEAVES_AFTER_S / 0.1)):
                await submit(owner, f"{number}", job(step(1)))
                await asyncio.sleep(0.1)
            assert env.fleet.faults == []

    run_async(run())


# Guards against a start that was checked before it waited for a slot or a copy, and is
# sent after the list has become too old.
def test_start_that_waits_is_checked_again_before_it_is_sent() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            owner = await env.own()
            worker = owner.cluster_state.fleet.newest["w0"]
            await until(lambda: worker.may_accept_work(owner.clock.now()))
            slots = owner.links["w0"].slots
            held = [slots.slot() for _ in range(slots.limit)]
            for each in held:
                await each.__aenter__()
            await submit(owner, "a", job(step(1)))
            await until(lambda: bool(worker.placements))
            env.table.faults.unreadable_feeds.add("servers")
            env.drain_worker("w0")
            await asyncio.sleep(2.5)
            for each in held:
                await each.__aexit__(None, None, None)
            await asyncio.sleep(0.5)
            assert env.fleet.starts == []
            env.table.faults.unreadable_feeds.clear()
            env.add_worker("w1")
            await until(lambda: [s.worker for s in env.fleet.starts] == ["w1"])

    run_async(run())


# Guards against starts by a new owner whose read of the list took long.
def test_new_owner_does_not_rely_on_list_that_it_read_long_ago() -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            owner = env.make_owner("one")
            assert await owner.lease.acquire()
            await owner.directory.read_all()
            env.table.faults.unreadable_feeds.add("servers")
            env.drain_worker("w0")
            await asyncio.sleep(2.1)

            async def nothing(directory: WorkerDirectory) -> None:
                await asyncio.sleep(0)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(WorkerDirectory, "read_all", nothing)
                env.tasks.append(asyncio.create_task(owner.run()))
                await owner.ready.wait()
            await submit(owner, "a", job(step(1)))
            await asyncio.sleep(0.5)
            assert env.fleet.starts == []

    run_async(run())


def test_owner_uses_workers_again_once_the_list_is_read() -> None:
    """Jobs that came meanwhile are accepted, and begin."""

    async def run() -> None:
        async with cell(workers=1) as env:
            owner = await env.own()
            env.table.faults.unreadable_feeds.add("servers")
            await asyncio.sleep(2.5)
            await submit(owner, "a", job(step(1)))
            await asyncio.sleep(0.3)
            assert env.fleet.starts == []
            env.table.faults.unreadable_feeds.clear()
            await until(lambda: len(env.fleet.starts) == 1, limit_s=2.0)

    run_async(run())
