"""A host left alone owns again, however its last ownership ended.

No other process is there to end what the owner's row names. Each way in which an
ownership can end has a case here.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from cranberrycleat import codec
from cranberrycleat.lease import OwnerRow
from cranberrycleat.workflow.node import OWNER_KEY, Node
from cranberrycleat.workflow.owner import Owner
from tests.cell import Cell, cell, until
from tests.fakes import run_async
from tests.test_node import JOB, FakeAdapter, PartitionableTable, ask, nodes

RETURN_LIMIT_S = 3.0
"""The platform counts accepted work as lost once nothing of it has run for 3 s."""


async def fence(node: Node, owner: Owner) -> None:
    """End an ownership as a worker does that has seen orders of a later epoch."""
    owner.fenced()


async def fail_batch(node: Node, owner: Owner) -> None:
    """End an ownership by a batch that cannot be stored; nothing reaches the table."""
    owner.cluster_state.discarded = None  # type: ignore[assignment]
    owner.changed()


@pytest.mark.parametrize("outage_s", [0.0, 0.5, 2.0])
@pytest.mark.parametrize("end", [fence, fail_batch])
def test_host_left_alone_owns_again(
    end: Callable[[Node, Owner], Awaitable[None]], outage_s: float
) -> None:
    """Guards against a row that names a process which never acts again (review/5)."""

    async def run() -> None:
        async with cell() as made, nodes(made, count=1) as (node,):
            await complete_job(node, "0a")
            last = node.owner
            assert last is not None
            epoch = last.epoch
            path = connection(node)
            path.cut = outage_s > 0.0
            await end(node, last)
            await asyncio.sleep(outage_s)
            path.cut = False
            await until(
                lambda: node.owner is not last and node._acts_as_owner(),
                limit_s=RETURN_LIMIT_S,
            )
            assert owner_row(made).epoch > epoch
            await complete_job(node, "0b")

    run_async(run())


async def complete_job(node: Node, job_id: str) -> None:
    """Submit a job at a node, and wait until it is completed."""
    assert (await ask(node, "POST", f"/q/{job_id}", JOB)).status == 200
    loop = asyncio.get_running_loop()
    end = loop.time() + RETURN_LIMIT_S
    while True:
        reply = await ask(node, "GET", f"/q/{job_id}")
        if json.loads(reply.body) == {"state": "completed"}:
            return
        assert loop.time() < end, reply.body
        await asyncio.sleep(0.05)


def connection(node: Node) -> PartitionableTable:
    """Return a node's own connection to the table."""
    assert isinstance(node.adapter, FakeAdapter)
    assert node.adapter.path is not None
    return node.adapter.path


def owner_row(made: Cell) -> OwnerRow:
    """Return the owner's row."""
    return codec.decode(made.table.rows[OWNER_KEY].value, OwnerRow)
