"""State that the cluster state maintains incrementally instead of recomputing it."""

from collections.abc import Callable

import attrs
import pytest

from cranberrycleat import events
from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow import cluster_state as cluster_state_module
from cranberrycleat.workflow.batches import purge_ended_jobs
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.fleet import FleetWorker, LossCause
from cranberrycleat.workflow.ports import EndedTask, EndKind, RunningTask, SyncReply
from cranberrycleat.workflow.spec import Schedule
from cranberrycleat.workflow.state import Job, JobState, TaskState
from tests.cell import entry, job, queue, step

LATER = Schedule(runs=1, first_s=2000.0, period_s=1.0)


def _board(time_s: float = 1000.0) -> ClusterState:
    cluster_state = ClusterState(time_of_day=lambda: time_s, now=lambda: 0.0)
    cluster_state.fleet.workers["w"] = FleetWorker(entry=entry("w"))
    return cluster_state


def _place(cluster_state: ClusterState) -> None:
    task = cluster_state.jobs["a"].open[0].steps[0].tasks[0]
    cluster_state.place(task, cluster_state.fleet.workers["w"], 1, now=0.0)


def _restore(cluster_state: ClusterState) -> None:
    found = Job(job_id="b", queue=queue(), spec=job(step()), accepted_s=1.0)
    cluster_state.restore(found)


def _restore_half_done(cluster_state: ClusterState) -> None:
    found = Job(job_id="b", queue=queue(), spec=job(step(2)), accepted_s=1.0)
    found.open_occurrence().steps[0].tasks[0].state = TaskState.DONE
    cluster_state.restore(found)


def _hear_running(cluster_state: ClusterState) -> None:
    _place(cluster_state)
    run = RunningTask(task="a.0.0.0", attempt=1, saved="", percent=0.0)
    reply = SyncReply(worker_time_ms=1, running=(run,), ended=())
    cluster_state.sync(cluster_state.fleet.workers["w"], reply, sent_at=0.0, now=0.0)


def _hear_end(cluster_state: ClusterState) -> None:
    _place(cluster_state)
    worker = cluster_state.fleet.workers["w"]
    cluster_state.sync(worker, _done("a.0.0.0", 1), sent_at=0.0, now=0.0)


def _give_up(cluster_state: ClusterState) -> None:
    _place(cluster_state)
    cluster_state.give_up_all(cluster_state.fleet.workers["w"], LossCause.SILENT)


def _give_up_begun(cluster_state: ClusterState) -> None:
    _hear_running(cluster_state)
    cluster_state.give_up_all(cluster_state.fleet.workers["w"], LossCause.SILENT)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (lambda cluster_state: None, 1),
        (_place, 1),
        (_hear_running, 0),
        (_hear_end, 0),
        (_give_up, 1),
        (_give_up_begun, 0),
        (lambda cluster_state: cluster_state.cancel("a"), 0),
        (lambda cluster_state: cluster_state.withdraw("a"), 0),
        (_restore, 2),
        (_restore_half_done, 1),
    ],
    ids=[
        "accepted",
        "placed",
        "running",
        "a task ended",
        "given up unbegun",
        "given up begun",
        "cancelled",
        "withdrawn",
        "restored",
        "restored half done",
    ],
)
def test_queue_length_follows_each_change(
    change: Callable[[ClusterState], object], expected: int
) -> None:
    cluster_state = _board()
    cluster_state.accept("a", queue(), job(step(count=2)))
    change(cluster_state)
    assert cluster_state.queue_length("q") == expected


def test_a_scheduled_job_is_not_counted_as_waiting() -> None:
    cluster_state = _board()
    cluster_state.accept("a", queue(), attrs.evolve(job(step()), schedule=LATER))
    assert cluster_state.queue_length("q") == 0


def test_attempts_of_a_job_are_listed_until_released() -> None:
    cluster_state = _board()
    cluster_state.accept("a", queue(), job(step()))
    _place(cluster_state)
    stray = RunningTask(task="a.0.0.0", attempt=7, saved="", percent=100.0)
    reply = SyncReply(worker_time_ms=1, running=(stray,), ended=())
    worker = cluster_state.fleet.workers["w"]
    cluster_state.sync(worker, reply, sent_at=0.0, now=0.0)
    assert [placement.attempt for _, placement in cluster_state.placements_of("a")] == [
        1,
        7,
    ]
    cluster_state.cancel("a")
    assert all(placement.stopping for _, placement in cluster_state.placements_of("a"))
    cluster_state.give_up_all(worker, LossCause.SILENT)
    assert cluster_state.placements_of("a") == () and not cluster_state.placed
    assert worker.free == Amounts(processors=4000, memory_mb=4000)


def test_ended_jobs_are_forgotten_oldest_first_up_to_a_limit() -> None:
    cluster_state = _board()
    for number, ended_s in enumerate((30.0, 10.0, 20.0)):
        found = Job(
            job_id=f"{number}",
            queue=queue(),
            spec=job(step()),
            accepted_s=1.0,
            verdict=JobState.COMPLETED,
            ended_s=ended_s,
        )
        cluster_state.restore(found)
    assert purge_ended_jobs(cluster_state, 25.0, 1) == ("jobs/1",)
    assert purge_ended_jobs(cluster_state, 25.0, 9) == ("jobs/2",)
    assert list(cluster_state.jobs) == list(cluster_state.reported) == ["0"]


def _done(name: str, attempt: int, number: int = 1) -> SyncReply:
    end = EndedTask(
        number=number, task=name, attempt=attempt, how=EndKind.DONE, saved=""
    )
    return SyncReply(worker_time_ms=1, running=(), ended=(end,))


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("placed", [False, True], ids=["waits", "placed elsewhere"])
def test_a_given_up_attempt_that_was_done_ends_its_task(
    placed: bool, gang: bool
) -> None:
    """An earlier owner gave it up when its leases expired, but it had completed."""
    cluster_state = _board()
    cluster_state.fleet.workers["v"] = FleetWorker(entry=entry("v"))
    cluster_state.accept("a", queue(), job(step(2, gang=gang)))
    first, second = cluster_state.jobs["a"].open[0].steps[0].tasks
    if placed:
        for each in (first, second):
            cluster_state.place(each, cluster_state.fleet.workers["v"], 9, now=0.0)
    cluster_state.sync(
        cluster_state.fleet.workers["w"], _done(first.name, 3), sent_at=0.0, now=0.0
    )
    assert first.state is TaskState.DONE
    assert (second.state is TaskState.DONE) is gang
    stopping = {
        each.task for _, each in cluster_state.placements_of("a") if each.stopping
    }
    names = {first.name, second.name} if gang else {first.name}
    assert stopping == (names if placed else set())


def test_a_given_up_attempt_that_failed_changes_nothing() -> None:
    """Its failure is not counted, because its leases expired before it was known."""
    cluster_state = _board()
    cluster_state.accept("a", queue(max_attempts=1), job(step()))
    reply = _done("a.0.0.0", 3)
    failed = attrs.evolve(reply.ended[0], how=EndKind.FAILED)
    reply = attrs.evolve(reply, ended=(failed,))
    cluster_state.sync(cluster_state.fleet.workers["w"], reply, sent_at=0.0, now=0.0)
    assert cluster_state.jobs["a"].verdict is None


def test_stops_are_due_once_and_only_on_workers_of_the_job() -> None:
    """Among hundreds of workers, a cancellation visits only those that run the job."""
    cluster_state = _board()
    cluster_state.fleet.workers["v"] = FleetWorker(entry=entry("v"))
    cluster_state.accept("a", queue(), job(step()))
    cluster_state.accept("b", queue(), job(step()))
    _place(cluster_state)
    other = cluster_state.jobs["b"].open[0].steps[0].tasks[0]
    cluster_state.place(other, cluster_state.fleet.workers["v"], 1, now=0.0)
    cluster_state.cancel("a")
    assert cluster_state.take_stops_due() == {"w"}
    assert cluster_state.take_stops_due() == set()


@pytest.mark.parametrize("lapses", [True, False], ids=["given up", "ended"])
def test_a_job_ends_once(lapses: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Attempts of a cancelled job end later; that must not end the job again."""
    emitted: list[object] = []
    monkeypatch.setattr(cluster_state_module, "emit", emitted.append)
    cluster_state = _board()
    cluster_state.accept("a", queue(), job(step(count=2)))
    _place(cluster_state)
    cluster_state.cancel("a")
    worker = cluster_state.fleet.workers["w"]
    if lapses:
        cluster_state.give_up_all(worker, LossCause.SILENT)
    else:
        cluster_state.sync(worker, _done("a.0.0.0", 1), sent_at=0.0, now=0.0)
    assert len(cluster_state.ended) == 1
    assert sum(isinstance(each, events.JobEnded) for each in emitted) == 1


# Guards against two runs of a task (TWICE): the answer to a sync that was sent before
# the fence rose proves nothing, since the worker may still accept a late copy.
def test_unanswered_start_is_settled_only_by_list_for_higher_fence() -> None:
    cluster_state = _board()
    cluster_state.accept("a", queue(), job(step()))
    _place(cluster_state)
    worker = cluster_state.fleet.workers["w"]
    (placement,) = worker.placements.values()
    nothing = SyncReply(worker_time_ms=1, running=(), ended=())
    cluster_state.sync(worker, nothing, sent_at=1.0, now=1.0, fence=9)
    assert worker.counts(placement)
    placement.fenced_by = 8
    cluster_state.sync(worker, nothing, sent_at=1.0, now=1.0, fence=7)
    assert worker.counts(placement)
    cluster_state.sync(worker, nothing, sent_at=1.0, now=1.0, fence=8)
    assert not worker.counts(placement)
