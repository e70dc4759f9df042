"""A large write over a slow link completes, and the lease that it renews is kept.

The counterpart of `test_large_config` for writes: if a write is aborted at a time limit
and restarted, one that takes the link longer than the limit never completes.
"""

import asyncio
from typing import Final

import attrs
import pytest

from cranberrycleat.clock import MonotonicClock
from cranberrycleat.lease import Changes, OwnershipLease
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.table import ABSENT, Check, CommitReply, Put, Transaction
from cranberrycleat.workflow.options import MAX_BATCH_BYTES, batch_bytes
from cranberrycleat.workflow.ports import HostResources
from cranberrycleat.writer import BatchingWriter, Change, Committed
from tests.fakes import run_async

LINK_BYTES_S: Final = 100_000
COMMIT_TIMEOUT_S: Final = 4.0


@attrs.define(kw_only=True)
class SlowUplinkTable(MemoryFeedTable):
    """A table behind a slow uplink: a write that is aborted is never applied.

    Attributes:
        started_writes: The number of writes that were started.
    """

    started_writes: int = 0

    async def commit(self, txn: Transaction) -> CommitReply:
        """Apply the transaction after its transfer time."""
        self.started_writes += 1
        await asyncio.sleep(txn.size() / LINK_BYTES_S)
        return await MemoryFeedTable.commit(self, txn)


@pytest.mark.parametrize("size", [1_000, 60_000])
def test_write_in_progress_is_not_restarted(size: int) -> None:
    """Reading the row back shows only that the write has not been applied yet."""

    async def run() -> None:
        table = SlowUplinkTable()
        lease = OwnershipLease(
            table=table,
            clock=MonotonicClock(),
            key="owner/cell",
            holder="one",
            lease_s=5.0,
            carries_bytes_s=LINK_BYTES_S,
        )
        assert await lease.acquire()
        table.started_writes = 0
        async with asyncio.timeout(COMMIT_TIMEOUT_S):
            await lease.commit(Changes(puts=(Put(key="jobs/a", value="x" * size),)))
        assert table.started_writes == 1
        assert table.rows["jobs/a"].value == "x" * size

    run_async(run())


@pytest.mark.parametrize(
    ("link_mbps", "expected"), [(1000.0, MAX_BATCH_BYTES), (10.0, 156_250)]
)
def test_transaction_size_is_bounded_by_the_lease(
    link_mbps: float, expected: int
) -> None:
    """Every transaction of the owner renews its lease, so it must not take too long."""
    assert batch_bytes(HostResources(processors=1.0, link_mbps=link_mbps)) == expected


def test_a_group_of_large_changes_is_sent_in_parts() -> None:
    """A change larger than the limit is still sent, in a transaction of its own."""

    async def run() -> None:
        table = MemoryFeedTable()
        writer = BatchingWriter(table=table, max_bytes=1000)
        sizes = (400, 400, 400, 3000, 100)
        changes = [
            Change(
                check=Check(key=f"inbox/{number}", version=ABSENT),
                put=Put(key=f"inbox/{number}", value="x" * size),
            )
            for number, size in enumerate(sizes)
        ]
        results = await asyncio.gather(*(writer.write(each) for each in changes))
        assert all(isinstance(each, Committed) for each in results)
        assert writer.transactions == 3

    run_async(run())
