"""A configuration that takes long to read comes into force all the same.

What was seen: a caller was served on a queue that the newest configuration no longer
had, seconds after that configuration had been acknowledged. 6 hosts with fast links
had it in force within 0.3 s, 39 with links of 5 Mbit/s not for 22 s and more; their
links were full all the while, their processors idle, and their logs silent.

How it came about: the configuration had grown to 4,245 queues, 1,019 KB as the table
sends it, 1.74 s on such a link. A reading was given what the question may wait (1 s)
and what a short answer may take (0.7 s at most), for all that it carried. So each was
cut off, threw away what had come and began anew, until the table forgot its history
and was read as a whole, which had 1.5 s more.

What proved it: logs of a run with such a configuration, in which each reading ended at
1.70 s with 982,964 of 1,036,780 bytes there; and the first test below, which needs
nothing but a slow link.
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
    """Return a follower that has read nothing yet."""
    return ConfigFollower(
        store=store, table=CONFIG_TABLE, key=CONFIG_KEY, read=read_config
    )


async def follow_until_version(held: ConfigFollower, version: int) -> None:
    """Follow as a host does until a version is in force.

    Raises:
        TimeoutError: It did not come into force.
    """
    async with asyncio.timeout(READ_DEADLINE_S):
        while not holds(held, version):
            try:
                await held.follow(WAIT_S)
            except errors.TableUnavailable:
                await asyncio.sleep(WAIT_S)


def holds(held: ConfigFollower, version: int) -> bool:
    """Tell whether a version is in force."""
    return held.current is not None and held.current.version == version


def test_slow_config_read_completes() -> None:
    """A link that takes 2 s for it, which a short answer is never given."""

    async def run() -> None:
        async with slow_link(2.0) as (table, store):
            held = follower(store)
            await follow_until_version(held, 1)
            table.write(2)
            table.sent = 0
            await follow_until_version(held, 2)
            assert table.sent < 2 * table.size, "the link was filled again and again"

    run_async(run())


def test_slow_first_config_read_completes() -> None:
    """The first reading is of the whole table, not of changes: the same limit."""

    async def run() -> None:
        async with slow_link(3.0) as (table, store):
            table.write(2)
            held = follower(store)
            await follow_until_version(held, 2)
            assert table.sent < 2 * table.size

    run_async(run())


def test_progressing_read_is_never_restarted() -> None:
    """A limit on the whole, of 20 s, was the same fault at another size.

    The soak of the configuration found it, on a link of 250 bytes a second.
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
    """In a series a host reads the newest, however many it has missed.

    Each version goes over the link in full, so that a host which reads one after
    the other is the further behind the longer the series lasts.
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
            assert table.sent < 3.5 * table.size, "one in progress, then the newest"

    run_async(run())


@pytest.mark.parametrize("fault", ["break_off_at", "silent_at"])
def test_partial_config_is_never_applied(fault: str) -> None:
    """A reading that ends halfway leaves what is held, and is begun again."""

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
    """Its time was over while it stood still, but the bytes are there."""

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
            assert table.sent < 1.2 * table.size, "it began anew"

    run_async(run())


@pytest.mark.parametrize("way", ["workers", "rows", "one row"])
def test_other_large_reads_complete(way: str) -> None:
    """A list of workers, rows at a takeover, one row: they share the way to the table.

    Rows at a takeover decide whether a weak host can ever own.
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
            assert len(table.asked) == 1, "nothing was read again"

    run_async(run())
