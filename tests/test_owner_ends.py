"""A host left alone owns again, however its last ownership ended.

No other process is there to end what the owner's row names. Each way in which an
ownership can end has a case here.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from cranberrycleat import events
from cranberrycleat.logs import set_observer
from cranberrycleat.workflow.node import Node
from cranberrycleat.workflow.owner import Owner
from tests.cell import cell, until
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


async def fail_takeover(node: Node, owner: Owner) -> None:
    """End an ownership, and let the next takeover of the host fail as well."""
    connection(node).scans_to_fail = 1
    owner.fenced()


async def hand_over(node: Node, owner: Owner) -> None:
    """End an ownership by a handover, which the table may leave without an answer."""
    await owner.hand_over()


@pytest.mark.parametrize("outage_s", [0.0, 0.5, 2.0])
@pytest.mark.parametrize("end", [fence, fail_batch, fail_takeover, hand_over])
def test_host_left_alone_owns_again(
    end: Callable[[Node, Owner], Awaitable[None]], outage_s: float
) -> None:
    """Guards against a row that names a process which never acts again (review/5).

    No two ownerships have one epoch: workers tell their orders apart by it.
    """
    won: list[int] = []

    def observe(found: object) -> None:
        if isinstance(found, events.OwnerWon):
            won.append(found.epoch)

    async def run() -> None:
        async with cell() as made, nodes(made, count=1) as (node,):
            set_observer(observe)
            await complete_job(node, "0a")
            last = node.owner
            assert last is not None
            won.append(last.epoch)
            path = connection(node)
            path.cut = outage_s > 0.0
            await end(node, last)
            await asyncio.sleep(outage_s)
            path.cut = False
            await until(
                lambda: node.owner is not last and node._acts_as_owner(),
                limit_s=RETURN_LIMIT_S,
            )
            await complete_job(node, "0b")
            assert len(set(won)) == len(won), won

    try:
        run_async(run())
    finally:
        set_observer(None)


def test_host_whose_takeovers_fail_leaves_the_ownership_to_another() -> None:
    """Guards against a host that takes over again and again, and never acts."""

    async def run() -> None:
        async with cell() as made, nodes(made) as (first, second):
            connection(first).scans_to_fail = 1000
            owner = first.owner
            assert owner is not None
            owner.fenced()
            await until(second._acts_as_owner, limit_s=RETURN_LIMIT_S)
            await complete_job(second, "0b")

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
