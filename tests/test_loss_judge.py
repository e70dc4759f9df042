"""The judge of the soak of losses finds what may not happen (see `tests.loss_judge`).

Guards against a soak without findings because its judge does not see them.
"""

import asyncio
from collections.abc import Iterator

import attrs
import pytest

from cranberrycleat.standins.fleet import StartRecord
from cranberrycleat.workflow.ports import StartOrder
from tests.cell import entry
from tests.loss_judge import FailedEnd, Fall, JudgedFleet, LossJudge, PlannedJob

ID = "00000000000000aa"
OTHER = "00000000000000bb"


def planned(job_id: str = ID, **changes: object) -> PlannedJob:
    """Return a sound job of one task."""
    base = PlannedJob(
        job_id=job_id,
        queue="q2",
        max_attempts=2,
        count=1,
        processors=100,
        gang=False,
        seconds=1.0,
    )
    return attrs.evolve(base, **changes)  # type: ignore[arg-type]


@pytest.fixture
def judge() -> Iterator[LossJudge]:
    """Return a judge that knows a sound job and another one."""
    fleet = JudgedFleet()
    fleet.add(entry("w0"))
    yield LossJudge(fleet=fleet, jobs={ID: planned(), OTHER: planned(OTHER)})


def add_end(judge: LossJudge, index: int, attempt: int, *, noted: bool = True) -> None:
    """Record that an attempt ended `failed`, at its number in seconds."""
    number = len(judge.fleet.failed_ends) + 1
    judge.fleet.failed_ends["w0", 0, number] = FailedEnd(
        task=f"{ID}.0.0.{index}", attempt=attempt, at=attempt, acknowledged=noted
    )


def add_start(judge: LossJudge, at: float, attempt: int = 1, job_id: str = ID) -> None:
    """Record that an attempt began on w0."""
    judge.fleet.starts.append(
        StartRecord(
            at=at,
            worker="w0",
            task=f"{job_id}.0.0.0",
            attempt=attempt,
            fence=1,
            saved="",
        )
    )


@pytest.mark.parametrize(
    ("job", "ends", "is_finding"),
    [
        (planned(), [], True),
        (planned(), [(0, 1)], True),
        (planned(), [(0, 1), (0, 2)], False),
        (planned(), [(0, 1), (0, 1)], True),
        (planned(count=2), [(0, 1), (1, 1)], True),
        (planned(count=2, gang=True), [(0, 1), (1, 1)], True),
        (planned(count=2, gang=True), [(0, 1), (1, 2)], False),
        (planned(max_attempts=3), [(0, 1), (0, 2)], True),
        (planned(crashing=0), [], False),
    ],
)
def test_failed_job_needs_as_many_failed_attempts_as_allowed(
    judge: LossJudge, job: PlannedJob, ends: list[tuple[int, int]], is_finding: bool
) -> None:
    judge.jobs[ID] = job
    for index, attempt in ends:
        add_end(judge, index, attempt)
    judge.record_state(ID, "h0", "failed")
    assert bool(judge.findings) is is_finding


@pytest.mark.parametrize(
    ("falls", "starts_of_others", "is_finding"),
    [
        # The worker fell 0.1 s after each of two starts of this job alone.
        ([1.1, 2.1], [], False),
        ([1.1], [], True),
        ([1.1, 2.4], [], True),
        ([1.1, 2.1, 2.14], [], True),
        ([1.1, 2.1], [1.9], True),
        ([1.1, 2.1], [1.7], False),
    ],
)
def test_lone_falls_just_after_starts_are_like_crashes(
    judge: LossJudge,
    falls: list[float],
    starts_of_others: list[float],
    is_finding: bool,
) -> None:
    for at in (1.0, 2.0):
        add_start(judge, at, attempt=round(at))
    for at in starts_of_others:
        add_start(judge, at, job_id=OTHER)
    judge.falls += [Fall(worker="w0", at=at, by_task=False) for at in falls]
    judge.record_state(ID, "h0", "failed")
    assert bool(judge.findings) is is_finding
    assert bool(judge.indistinguishable) is not is_finding


@pytest.mark.parametrize(("noted", "is_finding"), [(True, True), (False, False)])
def test_no_start_follows_as_many_noted_ends_as_allowed(
    judge: LossJudge, noted: bool, is_finding: bool
) -> None:
    add_end(judge, 0, 1)
    add_end(judge, 0, 2, noted=noted)
    add_start(judge, 3.0, attempt=3)
    assert bool(judge.all_findings()) is is_finding


@pytest.mark.parametrize(("starts", "is_finding"), [(5, False), (6, True)])
def test_task_that_crashes_its_workers_has_five_starts(
    judge: LossJudge, starts: int, is_finding: bool
) -> None:
    judge.jobs[ID] = planned(crashing=0)
    for attempt in range(1, starts + 1):
        add_start(judge, attempt, attempt)
        # A repeated start of the same attempt is not another one.
        add_start(judge, attempt, attempt)
    assert bool(judge.all_findings()) is is_finding


def test_accepted_job_is_known_and_ends(judge: LossJudge) -> None:
    judge.record_accepted(ID)
    now = judge.fleet.clock.now()
    judge.record_unknown(ID, "h0", now + 2.9)
    assert not judge.findings
    judge.record_unknown(ID, "h0", now + 3.1)
    assert len(judge.findings) == 1
    assert len(judge.all_findings()) == 2


def test_completed_job_needs_all_tasks_done(judge: LossJudge) -> None:
    judge.jobs[ID] = planned(count=2)
    judge.fleet.done |= {f"{ID}.0.0.0"}
    judge.record_state(ID, "h0", "completed")
    assert len(judge.findings) == 1


def test_ends_are_noted_unless_leases_lapse_before() -> None:
    async def play() -> list[bool]:
        noted = []
        for lapses in (False, True):
            fleet = JudgedFleet()
            judge = LossJudge(fleet=fleet, jobs={ID: planned(failed_share=1.0)})
            judge.jobs[ID] = planned(failed_share=1.0, seconds=0.01)
            worker = fleet.add(entry("w0"))
            worker.lease_end_ms = fleet.now_ms(worker) + 100
            fleet.carry_out(worker, order(worker.lease_end_ms))
            await asyncio.sleep(0.15 if lapses else 0.02)
            for upto in (0, 1):
                await fleet.sync(
                    worker.entry,
                    fence=1,
                    ended_upto=upto,
                    lease_end_ms=None,
                    wait_ms=0,
                )
            (end,) = fleet.failed_ends.values()
            noted.append(end.acknowledged)
        return noted

    assert asyncio.run(play()) == [True, False]


def order(lease_end_ms: int) -> StartOrder:
    """Return an order to start the task."""
    return StartOrder(
        task=f"{ID}.0.0.0",
        attempt=1,
        program="program",
        lease_end_ms=lease_end_ms,
        fence=1,
    )
