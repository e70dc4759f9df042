"""Tests which jobs one transaction stores and which task ends it acknowledges."""

import attrs
import pytest

from cranberrycleat.table import Row
from cranberrycleat.workflow import batches, rows
from cranberrycleat.workflow.batches import note_stored, take_batch
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.ports import EndedTask, EndKind, SyncReply
from cranberrycleat.workflow.takeover import StoredRows, restore
from tests.cell import entry, job, queue, step


def _board(jobs: int, *, program: str = "p") -> ClusterState:
    cluster_state = ClusterState(time_of_day=lambda: 1000.0, now=lambda: 0.0)
    cluster_state.fleet.workers["w"] = FleetWorker(entry=entry("w", processors=10**9))
    for number in range(jobs):
        spec = attrs.evolve(job(step()), program=program)
        cluster_state.accept(f"{number}", queue(), spec)
    return cluster_state


def _end(cluster_state: ClusterState, *numbers: int) -> None:
    """Let the worker report the jobs of these numbers as done, in this order."""
    worker = cluster_state.fleet.workers["w"]
    ended = []
    for place, number in enumerate(numbers):
        task = cluster_state.jobs[f"{number}"].open[0].steps[0].tasks[0]
        cluster_state.place(task, worker, 1, now=0.0)
        ended.append(
            EndedTask(
                number=place + 1, task=task.name, attempt=1, how=EndKind.DONE, saved=""
            )
        )
    reply = SyncReply(worker_time_ms=1, running=(), ended=tuple(ended))
    cluster_state.sync(worker, reply, sent_at=0.0, now=0.0)


@pytest.mark.parametrize(
    ("program", "expected"),
    [("p", batches.MAX_ENTRIES), ("x" * 4000, batches.MAX_ENTRIES // 2)],
    ids=["small", "the largest programs"],
)
def test_batch_is_filled_to_entry_limit(program: str, expected: int) -> None:
    """A new job needs one entry, a large one two; remaining jobs stay dirty."""
    cluster_state = _board(200, program=program)
    batch = take_batch(cluster_state)
    assert len(batch.jobs) == expected
    assert len(batch.puts) + len(batch.deletes) <= batches.MAX_ENTRIES
    assert len(cluster_state.dirty) == 200 - expected


def test_batch_respects_byte_limit() -> None:
    batch = take_batch(_board(10, program="x" * 4000), 10_000)
    assert len(batch.jobs) == 2


def test_oversized_job_is_stored_alone() -> None:
    """Otherwise it would block everything behind it from being stored."""
    assert len(take_batch(_board(2), 100).jobs) == 1


def test_ends_are_acknowledged_once_their_jobs_are_stored() -> None:
    """Guards against ends that are never acknowledged in a permanent backlog.

    Acknowledgement must not wait until no job is dirty. The third end belongs to a job
    of the second transaction; that end and the one behind it are acknowledged later.
    """
    cluster_state = _board(100)
    _end(cluster_state, 0, 1, 99, 2)
    worker = cluster_state.fleet.workers["w"]
    first = take_batch(cluster_state)
    assert first.acknowledgeable == (("w", 2),)
    note_stored(cluster_state, first)
    assert worker.ended_upto == 2
    while cluster_state.dirty:
        batch = take_batch(cluster_state)
        note_stored(cluster_state, batch)
    assert worker.ended_upto == 4 and not worker.unstored_ends


def _store_and_count_rows(cluster_state: ClusterState) -> tuple[int, int]:
    """Store the dirty jobs; return how many rows were written and deleted."""
    batch = take_batch(cluster_state)
    note_stored(cluster_state, batch)
    return len(batch.puts), len(batch.deletes)


@pytest.mark.parametrize(
    ("program", "expected"),
    [("p", [(1, 0), (1, 0)]), ("x" * 4000, [(2, 0), (1, 1)])],
    ids=["small", "large"],
)
def test_rows_written_during_job_lifetime(
    program: str, expected: list[tuple[int, int]]
) -> None:
    """In a slow store, the entries per job limit the throughput of jobs."""
    cluster_state = _board(1, program=program)
    accepted = _store_and_count_rows(cluster_state)
    _end(cluster_state, 0)
    assert [accepted, _store_and_count_rows(cluster_state)] == expected


@pytest.mark.parametrize("program", ["p", "x" * 4000], ids=["small", "large"])
def test_successor_restores_written_rows(program: str) -> None:
    """Covers jobs stored in one row and in two."""
    cluster_state = _board(1, program=program)
    written = [
        Row(key=each.key, version=1, value=each.value)
        for each in take_batch(cluster_state).puts
    ]
    successor = ClusterState(time_of_day=lambda: 1000.0, now=lambda: 0.0)
    stored = StoredRows(
        specs=tuple(row for row in written if row.key.startswith(rows.SPECS)),
        jobs=tuple(row for row in written if row.key.startswith(rows.JOBS)),
        inbox=(),
    )
    restore(successor, stored)
    found, told = successor.jobs["0"], cluster_state.jobs["0"]
    assert (found.spec, found.queue) == (told.spec, told.queue)
    assert found.accepted_s == told.accepted_s
    assert found.spec_inline is told.spec_inline
    assert "0.0.0" in successor.waiting


def test_legacy_spec_row_is_deleted_when_job_ends() -> None:
    """Earlier versions stored small jobs in two rows, which its end must handle."""
    cluster_state = _board(1)
    job_row, spec_row = rows.job_put(cluster_state.jobs["0"]), rows.spec_put(
        cluster_state.jobs["0"]
    )
    bare = job_row.value[: job_row.value.index(",{")] + "]"
    old = StoredRows(
        specs=(Row(key=spec_row.key, version=1, value=spec_row.value),),
        jobs=(Row(key=job_row.key, version=1, value=bare),),
        inbox=(),
    )
    successor = ClusterState(time_of_day=lambda: 1000.0, now=lambda: 0.0)
    successor.fleet.workers["w"] = FleetWorker(entry=entry("w", processors=10**9))
    restore(successor, old)
    take_batch(successor)
    _end(successor, 0)
    batch = take_batch(successor)
    assert batch.deletes == (spec_row.key,)
    assert [each.key for each in batch.puts] == [job_row.key]
