"""A host that knows its configuration to be out of date must not serve callers with it.

Guards against the failure described in `test_large_config`, for any cause of an
incomplete read: a caller is served by a configuration that is no longer active. The
host learns of newer versions from other hosts.
"""

import asyncio
import json
from typing import Any

import attrs
import pytest

from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.table import Put, Row, Transaction
from cranberrycleat.workflow.directory import ConfigFollower
from cranberrycleat.workflow.node import Node
from cranberrycleat.workflow.ports import ClusterConfig, Feed
from tests.cell import CONFIG, Cell, cell, until
from tests.fakes import run_async
from tests.test_node import JOB, ask, nodes

BOUND_S = 1.0


def read(row: Row) -> ClusterConfig:
    """Return the configuration of a version."""
    return attrs.evolve(CONFIG, version=int(row.value))


@attrs.define(kw_only=True, eq=False)
class StalledFeed:
    """A connection to the table that never delivers configuration changes.

    Attributes:
        table: The table behind it.
        calls: How often changes were requested.
    """

    table: Any
    calls: int = 0

    def __getattr__(self, name: str) -> Any:
        """Return a method of the table."""
        return getattr(self.table, name)

    async def follow(self, *, after: int, wait_s: float, **_: Any) -> Feed:
        """Return no change."""
        self.calls += 1
        await asyncio.sleep(wait_s)
        return Feed(changes=(), version=after)


async def follow_config_row(running: list[Node], made: Cell) -> None:
    """Have every node follow the configuration's row, which has version 2."""
    for node in running:
        node._config.bound_s = BOUND_S
        node._config.follower.read = read
    write(made, 2)
    await until(lambda: all(holds(node, 2) for node in running))


def write(made: Cell, version: int) -> None:
    """Write a version, as the operator does."""
    put = Put(key="op/config", value=str(version))
    made.table.apply(Transaction(puts=(put,)))


def holds(node: Node, version: int) -> bool:
    """Return whether a version is active on a node."""
    held = node._config.follower.current
    return held is not None and held.version == version


def test_node_that_cannot_read_newest_config_refuses_callers() -> None:
    """It reaches the table and the owner, which has version 3; callers are refused."""

    async def run() -> None:
        async with cell() as made, nodes(made) as running:
            await follow_config_row(running, made)
            late = running[1]
            real_table = late._config.follower.store
            stalled = StalledFeed(table=real_table)
            late._config.follower.store = stalled
            await until(lambda: stalled.calls > 0)
            write(made, 3)
            await until(lambda: holds(running[0], 3))
            assert (
                await ask(late, "GET", "/q/")
            ).status == 200, "still within the bound"
            await until(lambda: not late.is_ready())
            for method, path in (("GET", "/q/"), ("POST", "/q/0a"), ("GET", "/no/")):
                body = JOB if method == "POST" else None
                reply = await ask(late, method, path, body)
                assert reply.status == 503
                assert "configuration" in json.loads(reply.body)["reason"]
            assert "jobs/0a" not in made.table.rows, "a refused job must not be stored"
            assert (await ask(running[0], "GET", "/q/")).status == 200
            late._config.follower.store = real_table
            await until(lambda: holds(late, 3) and late.is_ready())
            assert (await ask(late, "GET", "/q/")).status == 200

    run_async(run())


def test_node_without_table_keeps_serving() -> None:
    """It cannot read the newest row; the owner, which can, handles its requests."""

    async def run() -> None:
        async with cell() as made, nodes(made) as running:
            await follow_config_row(running, made)
            late = running[1]
            late.adapter.path.cut = True  # type: ignore[attr-defined]
            await until(lambda: late._config.failed_reads > 0)
            write(made, 3)
            await until(lambda: late._config.late_s() > 2 * BOUND_S)
            assert holds(late, 2)
            assert (await ask(late, "POST", "/q/0a", JOB)).status == 200

    run_async(run())


@pytest.mark.parametrize(
    ("heard", "taken", "late_s"),
    [
        ((), 0, 0.0),
        (((2, 1.0),), 0, 9.0),
        (((2, 1.0), (2, 5.0)), 0, 9.0),
        (((2, 1.0), (4, 5.0)), 0, 9.0),
        (((2, 1.0), (4, 5.0)), 2, 5.0),
        (((2, 1.0), (4, 5.0)), 3, 5.0),
        (((2, 1.0), (4, 5.0)), 4, 0.0),
        (((2, 1.0), (4, 5.0)), 9, 0.0),
        (((4, 1.0), (2, 5.0)), 3, 9.0),
        (((1, 1.0),), 0, 0.0),
    ],
)
def test_lateness_counts_from_oldest_unread_version(
    heard: tuple[tuple[int, float], ...], taken: int, late_s: float
) -> None:
    """The delay starts with the first report of the oldest unread newer version."""
    held = ConfigFollower(
        store=MemoryFeedTable(), table="op", key="op/config", read=read
    )
    held.install(attrs.evolve(CONFIG, version=1))
    for version, at in heard:
        held.note_version(version, at)
    if taken:
        held.install(attrs.evolve(CONFIG, version=taken))
    assert held.late_s(10.0) == late_s
