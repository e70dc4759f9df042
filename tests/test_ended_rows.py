"""The rows of jobs that ended long ago are deleted, whatever else is stored."""

from cranberrycleat.workflow.batches import (
    MAX_DELETES_BESIDE_JOBS,
    MAX_ENTRIES,
    note_rejected,
    note_stored,
    take_batch,
)
from cranberrycleat.workflow.cluster_state import ClusterState
from tests.cell import job, queue, step


def _board(*, jobs: int, discarded: int) -> ClusterState:
    cluster_state = ClusterState(time_of_day=lambda: 1000.0, now=lambda: 0.0)
    for number in range(jobs):
        cluster_state.accept(f"{number}", queue(), job(step()))
    cluster_state.discarded.update(
        dict.fromkeys(f"jobs/old{number}" for number in range(discarded))
    )
    return cluster_state


def test_rows_are_deleted_beside_a_full_transaction() -> None:
    """Guards against rows and memory that grow as long as there is work to store."""
    cluster_state = _board(jobs=300, discarded=50)
    batch = take_batch(cluster_state)
    assert len(batch.deletes) == MAX_DELETES_BESIDE_JOBS
    assert len(batch.puts) == MAX_ENTRIES - MAX_DELETES_BESIDE_JOBS
    note_stored(cluster_state, batch)
    assert len(cluster_state.discarded) == 50 - MAX_DELETES_BESIDE_JOBS


def test_rows_of_a_rejected_batch_are_deleted_later() -> None:
    """Guards against rows that stay because their transaction was rejected."""
    cluster_state = _board(jobs=10, discarded=5)
    note_rejected(cluster_state, take_batch(cluster_state))
    assert len(cluster_state.discarded) == 5
    assert len(cluster_state.dirty) == 10
    stored = 0
    while cluster_state.dirty:
        batch = take_batch(cluster_state)
        stored += len(batch.jobs)
        note_stored(cluster_state, batch)
    note_stored(cluster_state, take_batch(cluster_state))
    assert stored == 10 and not cluster_state.discarded
