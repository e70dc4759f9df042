"""Tests the excerpt of a soak's record that is saved for a finding."""

import random
from pathlib import Path

from cranberrycleat import events
from cranberrycleat.clock import ManualClock
from cranberrycleat.standins.fleet import WorkerEvent
from cranberrycleat.workflow.ports import StartOrder
from tests import soak
from tests.cell import cell, job, step, submit, until
from tests.fakes import run_async
from tests.soak_record import CONTEXT_WINDOW_S, Record

JOB = "00000000000000aa"
OTHER = "00000000000000bb"


def _record() -> Record:
    """Return a record of two jobs on two workers, one of which has a fault."""
    clock = ManualClock()
    record = Record(clock=clock)

    def on(worker: str, what: str, task: str = "", detail: str = "") -> None:
        clock.advance(seconds=1.0)
        seen = WorkerEvent(
            at=clock.now(),
            worker=worker,
            born_ms=7,
            what=what,
            task=task,
            attempt=1,
            detail=detail,
        )
        record.add_worker_event(seen)

    on("w1", "start", f"{OTHER}.0.0.0", "long before")
    clock.advance(seconds=2 * CONTEXT_WINDOW_S)
    on("w1", "list", detail=f"running {JOB}.0.0.0#1")
    on("w2", "crashes")
    on("w1", "start", f"{JOB}.0.0.0", "accepted")
    record.add_event(events.WorkerAnswers(worker="w1@7"))
    record.add_fault("w1 is silent")
    on("w1", "fault", f"{JOB}.0.0.0", "w1 is over its capacity")
    return record


def test_worker_finding_includes_orders_lists_and_injected_faults() -> None:
    found = "\n".join(_record().excerpt("w1 is over its capacity"))
    for said in ("list", "start", "worker.answers", "is silent", "over its capacity"):
        assert said in found
    assert "w2" not in found
    assert "long before" not in found


def test_job_finding_includes_orders_and_incarnations_of_all_workers() -> None:
    found = "\n".join(_record().excerpt(f"{JOB} is healthy but failed"))
    for said in (f"start {JOB}", "w2@7 crashes", "worker.answers", "is silent"):
        assert said in found
    assert OTHER not in found


def test_exception_finding_includes_traceback() -> None:
    record = _record()
    try:
        raise ValueError("down")
    except ValueError as exc:
        record.add_exception(exc)
    found = "\n".join(record.excerpt("ValueError('down')"))
    assert "test_soak_record.py" in found
    assert JOB not in found


def test_findings_are_written_before_the_whole_record(tmp_path: Path) -> None:
    path = tmp_path / "record" / "seed-1.txt"
    _record().write(path, ["w1 is over its capacity"])
    lines = path.read_text().splitlines()
    assert lines[0] == "finding: w1 is over its capacity"
    assert any("long before" in line for line in lines)


def test_worker_fault_includes_placements_known_to_owner() -> None:
    """A second start, which no owner ordered, exceeds the worker's capacity."""

    async def run() -> None:
        async with cell(workers=1) as harness:
            record = Record(clock=harness.clock)
            running_soak = soak.Soak(
                rng=random.Random(1), harness=harness, record=record
            )
            harness.fleet.on_event = running_soak._record_worker_event
            harness.fleet.needs = lambda task: step(processors=3000).needs
            owner = running_soak.owners["h0"] = await harness.own()
            await submit(owner, JOB, job(step(processors=3000)))
            await until(lambda: bool(harness.fleet.starts))
            order = StartOrder(
                task=f"{OTHER}.0.0.0",
                attempt=1,
                program="p",
                lease_end_ms=10**15,
                fence=10**15,
            )
            harness.fleet.carry_out(harness.fleet.workers["w0"], order)
            fault = "w0 is over its capacity"
            assert harness.fleet.faults == [fault]
            found = "\n".join(record.excerpt(fault))
            assert "owner.counts h0" in found
            assert f"{JOB}.0.0.0#1 (3000)" in found

    run_async(run())
