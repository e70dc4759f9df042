"""The scheduler's ownership loop: faults that must not stop it or lose changes."""

import asyncio

import attrs
import pytest

from cranberrycleat import codec, plugins
from cranberrycleat.jobs import JobSpec, Kind
from cranberrycleat.keys import inbox_prefix, owner_key
from cranberrycleat.lease import OwnerRow
from cranberrycleat.messages import InboxEntry, JobPart
from cranberrycleat.options import SchedulerOptions
from cranberrycleat.scheduler import Scheduler
from cranberrycleat.scheduler_api import scheduler_handlers
from cranberrycleat.table import Put, Transaction
from tests.fakes import MemoryPlatform, run_async

assert plugins


def make_scheduler() -> tuple[Scheduler, MemoryPlatform]:
    """Return a scheduler without a listening server, and its table."""
    cfg = SchedulerOptions(
        name="s1",
        data_centre="dc-a",
        platform="http://127.0.0.1:1",
        table_client="memory",
        drain_s=0.0,
    )
    scheduler = Scheduler(cfg=cfg, handlers=scheduler_handlers)
    assert isinstance(scheduler.platform, MemoryPlatform)
    return scheduler, scheduler.platform


def submission(name: str) -> str:
    """Return the inbox row value of an accepted job."""
    part = JobPart(spec=JobSpec(name=name, kind=Kind.BATCH), indices=(0,))
    return codec.encode_text(InboxEntry(id=name, submit=part))


@pytest.mark.parametrize("bad", ["{", "{}", '{"id": 3}', '"text"'])
def test_undecodable_inbox_entry_is_skipped_and_kept(bad: str) -> None:
    """A malformed inbox entry blocks no other entry and is not deleted."""
    scheduler, table = make_scheduler()
    prefix = inbox_prefix("dc-a")

    async def scenario() -> None:
        puts = (
            Put(key=prefix + "a", value=bad),
            Put(key=prefix + "b", value=submission("good")),
        )
        table.apply(Transaction(puts=puts))
        await scheduler._step()
        await scheduler._step()

    run_async(scenario())
    assert scheduler.shard is not None
    assert list(scheduler.shard.jobs) == ["good"]
    assert [key for key in table.rows if key.startswith(prefix)] == [prefix + "a"]


def test_change_and_inbox_deletion_are_one_transaction() -> None:
    """A job is stored and its inbox row deleted atomically, even if a reply is lost."""
    scheduler, table = make_scheduler()
    prefix = inbox_prefix("dc-a")

    async def scenario() -> None:
        await scheduler._step()
        table.apply(
            Transaction(puts=(Put(key=prefix + "b", value=submission("good")),))
        )
        table.faults = attrs.evolve(table.faults, lose_replies=1)
        try:
            await scheduler._step()
        except Exception as exc:
            assert "reply lost" in str(exc)
        assert prefix + "b" not in table.rows
        assert "shard/dc-a/job/good" in table.rows
        await scheduler._step()

    run_async(scenario())
    assert scheduler._pending is None
    assert scheduler.lease.is_valid()


def test_shutdown_during_a_round_releases_the_lease() -> None:
    """A round in progress is finished first; the lease is then released, not lost."""
    scheduler, table = make_scheduler()

    async def scenario() -> None:
        scheduler._owner_task = scheduler._background.spawn(scheduler._run_ownership())
        while not scheduler.lease.is_valid():
            await asyncio.sleep(0.01)
        while scheduler.shard is None or scheduler._pending is not None:
            await asyncio.sleep(0.01)
        put = Put(key=inbox_prefix("dc-a") + "c", value=submission("late"))
        table.apply(Transaction(puts=(put,)))
        table.faults.slow_s = 0.2
        scheduler.changed.set()
        while scheduler._pending is None:
            await asyncio.sleep(0.01)
        await scheduler.drain()

    run_async(scenario())
    owner = codec.decode(table.rows[owner_key("dc-a")].value, OwnerRow)
    assert owner.released
