"""The part of a soak's record that is kept for a finding."""

import random
from pathlib import Path

from cranberrycleat import events
from cranberrycleat.clock import ManualClock
from cranberrycleat.standins.fleet import WorkerRecord
from cranberrycleat.workflow.ports import StartOrder
from tests import soak
from tests.cell import cell, job, step, submit, until
from tests.fakes import go
from tests.soak_record import BEFORE_S, Record

JOB = "00000000000000aa"
OTHER = "00000000000000bb"


def _record() -> Record:
    """Return a record of two jobs on two workers, one of which has a fault."""
    clock = ManualClock()
    record = Record(clock=clock)

    def on(worker: str, what: str, task: str = "", detail: str = "") -> None:
        clock.advance(seconds=1.0)
        seen = WorkerRecord(
            at=clock.now(),
            worker=worker,
            born_ms=7,
            what=what,
            task=task,
            attempt=1,
            detail=detail,
        )
        record.take_worker(seen)

    on("w1", "start", f"{OTHER}.0.0.0", "long before")
    clock.advance(seconds=2 * BEFORE_S)
    on("w1", "list", detail=f"running {JOB}.0.0.0#1")
    on("w2", "crashes")
    on("w1", "start", f"{JOB}.0.0.0", "accepted")
    record.take_event(events.WorkerAnswers(worker="w1@7"))
    record.played("w1 is silent")
    on("w1", "fault", f"{JOB}.0.0.0", "w1 is over its capacity")
    return record


def test_a_finding_about_a_worker_has_its_orders_lists_and_the_faults_played() -> None:
    found = "\n".join(_record().about("w1 is over its capacity"))
    for said in ("list", "start", "worker.answers", "is silent", "over its capacity"):
        assert said in found
    assert "w2" not in found
    assert "long before" not in found


def test_a_finding_about_a_job_has_its_orders_and_the_lives_of_all_workers() -> None:
    found = "\n".join(_record().about(f"{JOB} is sound and failed"))
    for said in (f"start {JOB}", "w2@7 crashes", "worker.answers", "is silent"):
        assert said in found
    assert OTHER not in found


def test_an_exception_that_reached_a_caller_has_its_traceback() -> None:
    record = _record()
    try:
        raise ValueError("down")
    except ValueError as exc:
        record.raised(exc)
    found = "\n".join(record.about("ValueError('down')"))
    assert "test_soak_record.py" in found
    assert JOB not in found


def test_everything_is_written_with_the_findings_first(tmp_path: Path) -> None:
    path = tmp_path / "record" / "seed-1.txt"
    _record().write(path, ["w1 is over its capacity"])
    lines = path.read_text().splitlines()
    assert lines[0] == "finding: w1 is over its capacity"
    assert any("long before" in line for line in lines)


def test_a_fault_on_a_worker_keeps_what_its_owner_counts_there() -> None:
    """Two starts that no owner gave take more than the worker has."""

    async def run() -> None:
        async with cell(workers=1) as made:
            record = Record(clock=made.clock)
            played = soak.Soak(rnd=random.Random(1), made=made, record=record)
            made.fleet.recorded = played._take_record
            made.fleet.needs = lambda task: step(processors=3000).needs
            owner = played.owners["h0"] = await made.own()
            await submit(owner, JOB, job(step(processors=3000)))
            await until(lambda: bool(made.fleet.starts))
            order = StartOrder(
                task=f"{OTHER}.0.0.0",
                attempt=1,
                program="p",
                lease_end_ms=10**15,
                fence=10**15,
            )
            made.fleet.carry_out(made.fleet.workers["w0"], order)
            fault = "w0 is over its capacity"
            assert made.fleet.faults == [fault]
            found = "\n".join(record.about(fault))
            assert "owner.counts h0" in found
            assert f"{JOB}.0.0.0#1 (3000)" in found

    go(run())
