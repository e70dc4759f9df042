"""Tests that logs and metrics tell why a job was failed, whoever owned it before."""

import json
from collections.abc import Iterator

import pytest

from cranberrycleat import events, explain, logs
from cranberrycleat.metrics import Metrics
from cranberrycleat.standins.fleet import SimulatedWork
from cranberrycleat.workflow import rows
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.crash_attribution import LossKind, LostWorker
from cranberrycleat.workflow.fleet import LossCause
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.ports import EndedTask, EndKind, SyncReply
from cranberrycleat.workflow.state import FailedEnd, Job
from cranberrycleat.workflow.telemetry import Telemetry
from tests.cell import cell, job, queue, step, submit, until
from tests.fakes import run_async
from tests.test_planner import NOW_S, cluster_state, worker

EPOCH = 7


@pytest.fixture
def emitted() -> Iterator[list[object]]:
    """Return the list to which all events are added."""
    found: list[object] = []
    logs.set_observer(found.append)
    yield found
    logs.set_observer(None)


def _ended(emitted: list[object]) -> events.JobEnded:
    (found,) = [each for each in emitted if isinstance(each, events.JobEnded)]
    return found


def _taken_over(stored: Job) -> ClusterState:
    """Return the state of the next owner, with the same job as the table has it."""
    row = rows.decode_job_row(rows.job_put(stored).value, "jobs/a")
    spec = rows.SpecRow(queue=stored.queue, spec=stored.spec, accepted_s=NOW_S)
    later = cluster_state(worker("w"))
    later.losses.epoch = EPOCH
    later.restore(rows.restore("a", spec, row))
    return later


def _fail_attempt(state: ClusterState, attempt: int) -> None:
    """Have the job's only task fail on worker `w`."""
    only = state.fleet.workers["w"]
    task = state.jobs["a"].open[0].steps[0].tasks[0]
    state.place(task, only, attempt, now=0.0)
    end = EndedTask(
        number=attempt,
        task=task.name,
        attempt=attempt,
        how=EndKind.FAILED,
        saved="",
    )
    reply = SyncReply(worker_time_ms=attempt, running=(), ended=(end,))
    state.sync(only, reply, sent_at=0.0, now=0.0)


def test_used_up_attempts_are_reported_across_owners(emitted: list[object]) -> None:
    first = cluster_state(worker("w"))
    first.accept("a", queue(max_attempts=2), job(step()))
    _fail_attempt(first, 1)
    later = _taken_over(first.jobs["a"])
    _fail_attempt(later, 2)
    ended = _ended(emitted)
    assert ended.attempts == 2
    assert ended.failure == events.FailureReport(
        cause=events.ATTEMPTS_USED,
        task="a.0.0.0",
        max_attempts=2,
        ends=(
            events.CountedEnd(index=0, attempt=1, worker="w"),
            events.CountedEnd(index=0, attempt=2, worker="w"),
        ),
    )


def test_lost_workers_are_reported_across_owners(emitted: list[object]) -> None:
    first = cluster_state(worker("w"))
    first.accept("a", queue(), job(step()))
    step_run = first.jobs["a"].open[0].steps[0]
    earlier = [
        LostWorker(
            attempt=number,
            worker=f"i-{number}",
            address=f"e-{number}:1",
            kind=LossKind.CRASH,
            proof="silent",
            epoch=number,
            recorded_s=NOW_S - 10.0 * number,
        )
        for number in (1, 2)
    ]
    step_run.ensure_losses_of(step_run.tasks[0]).lost = list(earlier)
    later = _taken_over(first.jobs["a"])
    only = later.fleet.workers["w"]
    task = later.jobs["a"].open[0].steps[0].tasks[0]
    placement = later.place(task, only, 3, now=0.0)
    placement.ordered = True
    placement.began(0.0)
    later.give_up_all(only, LossCause.REPLACED)
    failure = _ended(emitted).failure
    assert failure is not None
    assert (failure.cause, failure.task) == (events.WORKERS_CRASHED, "a.0.0.0")
    assert [
        (each.attempt, each.worker, each.kind, each.proof, each.epoch, each.age_s)
        for each in failure.losses
    ] == [
        (1, "i-1", "crash", "silent", 1, 10.0),
        (2, "i-2", "crash", "silent", 2, 20.0),
        (3, "w", "crash", "replaced", EPOCH, 0.0),
    ]


@pytest.mark.parametrize("early", [True, False])
def test_losses_of_an_earlier_version_are_read(early: bool) -> None:
    """Its rows have no details; what is not known to be a crash fails no task."""
    state = cluster_state(worker("w"))
    state.accept("a", queue(), job(step()))
    step_run = state.jobs["a"].open[0].steps[0]
    step_run.ensure_losses_of(step_run.tasks[0]).lost = [
        LostWorker(
            attempt=1,
            worker="i-1",
            address="e-1:1",
            kind=LossKind.CRASH if early else LossKind.COINCIDENT,
        )
    ]
    stored = json.loads(rows.job_put(state.jobs["a"]).value)
    for packed in stored[4][0][1]:
        del packed[8:]
    spec = rows.SpecRow(queue=queue(), spec=job(step()), accepted_s=NOW_S)
    row = rows.decode_job_row(json.dumps(stored), "jobs/a")
    (loss,) = rows.restore("a", spec, row).open[0].steps[0].losses[0].lost
    assert loss.kind is (LossKind.CRASH if early else LossKind.UNKNOWN)


def test_failed_ends_are_stored() -> None:
    state = cluster_state(worker("w"))
    state.accept("a", queue(max_attempts=3), job(step()))
    _fail_attempt(state, 1)
    restored = _taken_over(state.jobs["a"]).jobs["a"].open[0].steps[0]
    assert restored.failed_ends == [FailedEnd(index=0, attempt=1, worker="w")]


COMPLETED = events.JobEnded(
    job="a",
    queue="q",
    state="completed",
    after_s=1.0,
    objective_s=1.0,
    late=False,
    attempts=1,
)
REPORT = events.FailureReport(
    cause=events.WORKERS_CRASHED,
    task="a.0.0.0",
    losses=(
        events.CountedLoss(
            attempt=1,
            worker="w",
            address="w:1",
            kind="crash",
            proof="replaced",
            epoch=1,
            age_s=0.5,
        ),
    ),
)
ENDED = events.JobEnded(
    job="a",
    queue="q",
    state="failed",
    after_s=1.0,
    objective_s=1.0,
    late=False,
    attempts=1,
    failure=REPORT,
)


def test_failed_jobs_are_counted_by_cause() -> None:
    metrics = Metrics(role="node", name="h")
    telemetry = Telemetry(metrics=metrics)
    telemetry.record_event(ENDED)
    telemetry.record_event(COMPLETED)
    counted = [
        each
        for each in metrics.text().splitlines()
        if each.startswith("cranberrycleat_jobs_failed")
    ]
    expected = 'cranberrycleat_jobs_failed{cause="workers crashed",queue="q"} 1'
    assert counted == [expected]


def test_explanation_names_the_cause_of_a_failed_job() -> None:
    lines = [
        logs.encode_event(each, events.KINDS[type(each)].name, at, "h").decode()
        for at, each in enumerate((events.JobStored(job="a", after_s=0.01), ENDED))
    ]
    (timeline,) = explain.job_timelines(explain.read_lines(lines))
    assert timeline.job_entries[-1].event == ENDED
    found = explain.cause(timeline).text
    assert found == f"failed, {events.WORKERS_CRASHED}: a.0.0.0"


@pytest.mark.parametrize("source", ["owner", "table"])
def test_host_logs_where_it_read_that_a_job_is_failed(
    source: str, emitted: list[object]
) -> None:
    async def run() -> None:
        async with cell() as made:
            made.fleet.work = lambda name, attempt: SimulatedWork(how=EndKind.FAILED)
            owner = await made.own()
            await submit(owner, "a", job(step(1)))
            await until(lambda: owner.state("a").state == "failed")
            known: Owner | None = owner if source == "owner" else None
            answer = await made.job_frontend(lambda: known).state("a")
            assert answer.state == "failed"

    run_async(run())
    told = [each for each in emitted if isinstance(each, events.JobFailureTold)]
    assert [(each.job, each.source) for each in told] == [("a", source)]
