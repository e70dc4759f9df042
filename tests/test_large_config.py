"""A configuration that takes long to read must still become active.

Failure: a caller was served on a queue that the newest configuration had removed,
seconds after that configuration was acknowledged. 6 hosts with fast links had it active
within 0.3 s; 39 hosts with links of 5 Mbit/s took 22 s or more, with full links, idle
processors and nothing in their logs.

Cause: the configuration had grown to 4,245 queues, 1,019 KB as sent by the table, which
takes 1.74 s on such a link. A read had a total limit of the long-poll time (1 s) plus
that of a short answer (at most 0.7 s), whatever its size. So each read was aborted,
discarded what it had received and restarted, until the table dropped its history and
the whole table was read, which was allowed 1.5 s more. In the logs of a run with such a
configuration each read ended at 1.70 s with 982,964 of 1,036,780 bytes received. The
first test below reproduces the failure with only a slow link.
"""

import asyncio
import time

import pytest

from cranberrycleat import errors
from cranberrycleat.platform.records import CONFIG_KEY, CONFIG_TABLE, read_config
from cranberrycleat.platform.store import PlatformStore
from cranberrycleat.workflow.directory import ConfigFollower
from tests.fakes import run_async
from tests.slow_table import READ_DEADLINE_S, WAIT_S, slow_link


def follower(store: PlatformStore) -> ConfigFollower:
    """Return a follower that has not read anything yet."""
    return ConfigFollower(
        store=store, table=CONFIG_TABLE, key=CONFIG_KEY, read=read_config
    )


async def follow_until_version(held: ConfigFollower, version: int) -> None:
    """Follow the configuration as a host does until a version is active.

    Raises:
        TimeoutError: The version did not become active.
    """
    async with asyncio.timeout(READ_DEADLINE_S):
        while not holds(held, version):
            try:
                await held.follow(WAIT_S)
            except errors.TableUnavailable:
                await asyncio.sleep(WAIT_S)


def holds(held: ConfigFollower, version: int) -> bool:
    """Return whether a version is active."""
    return held.current is not None and held.current.version == version


def test_slow_config_read_completes() -> None:
    """The link takes 2 s for it, longer than the timeout of a short answer."""

    async def run() -> None:
        async with slow_link(2.0) as (table, store):
            held = follower(store)
            await follow_until_version(held, 1)
            table.write(2)
            table.sent = 0
            await follow_until_version(held, 2)
            assert table.sent < 2 * table.size, "the configuration was sent repeatedly"

    run_async(run())


def test_slow_first_config_read_completes() -> None:
    """The first read is a snapshot instead of changes, but had the same time limit."""

    async def run() -> None:
        async with slow_link(3.0) as (table, store):
            table.write(2)
            held = follower(store)
            await follow_until_version(held, 2)
            assert table.sent < 2 * table.size

    run_async(run())


def test_progressing_read_is_never_restarted() -> None:
    """A total limit of 20 s caused the same failure at a larger size.

    The configuration soak found it, on a link of 250 bytes per second.
    """

    async def run() -> None:
        async with slow_link(22.0) as (table, store):
            table.write(2)
            async with asyncio.timeout(4 * READ_DEADLINE_S):
                rows = (await store.snapshot(table="op")).rows
            assert [row.version for row in rows] == [2]
            assert table.asked == ["/api/rows-get"]

    run_async(run())


def test_superseded_versions_are_not_read() -> None:
    """In a series of versions a host reads the newest, however many it has missed.

    Each version is sent in full, so a host that reads one after the other falls
    further behind the longer the series lasts.
    """

    async def run() -> None:
        async with slow_link(0.8) as (table, store):
            held = follower(store)
            await follow_until_version(held, 1)
            table.sent = 0
            table.write(2)
            reading = asyncio.create_task(follow_until_version(held, 12))
            for version in range(3, 13):
                await asyncio.sleep(0.05)
                table.write(version)
            await reading
            assert table.sent < 3.5 * table.size, "superseded versions were read"

    run_async(run())


@pytest.mark.parametrize("fault", ["break_off_at", "silent_at"])
def test_partial_config_is_never_applied(fault: str) -> None:
    """A read that fails halfway keeps the active version, and is retried."""

    async def run() -> None:
        async with slow_link(0.4) as (table, store):
            held = follower(store)
            await follow_until_version(held, 1)
            table.write(2)
            setattr(table, fault, table.size // 2)
            with pytest.raises(errors.TableUnavailable):
                await held.follow(1.0)
            assert holds(held, 1)
            await follow_until_version(held, 2)

    run_async(run())


def test_read_continues_after_process_pause() -> None:
    """Its timeout expired while the process was paused, but the bytes have arrived."""

    async def run() -> None:
        async with slow_link(1.5) as (table, store):
            held = follower(store)
            await follow_until_version(held, 1)
            table.write(2)
            table.sent = 0
            reading = asyncio.create_task(follow_until_version(held, 2))
            for _ in range(2):
                await asyncio.sleep(0.3)
                time.sleep(1.5)
            await reading
            assert table.sent < 1.2 * table.size, "the read was restarted"

    run_async(run())


@pytest.mark.parametrize("way", ["workers", "rows", "one row"])
def test_other_large_reads_complete(way: str) -> None:
    """The worker list, all rows at a takeover and a single row use the same client.

    Reading all rows at a takeover decides whether a weak host can ever be the owner.
    """

    async def run() -> None:
        async with slow_link(3.0) as (table, store):
            table.write(2)
            table.asked = []
            async with asyncio.timeout(READ_DEADLINE_S):
                match way:
                    case "workers":
                        feed = await store.follow(table="op", after=1, wait_s=0.0)
                        rows = [change.row for change in feed.changes]
                    case "rows":
                        rows = list((await store.snapshot(table="op")).rows)
                    case _:
                        rows = list(await store.read(keys=("op/config",)))
            assert [row.version for row in rows if row is not None] == [2]
            assert len(table.asked) == 1, "the read was repeated"

    run_async(run())
