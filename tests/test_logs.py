"""Events, the non-blocking log sink, metrics from events, and `explain`."""

import asyncio
import json
import logging
import os
import re
import signal
from pathlib import Path

import attrs
import pytest
from click.testing import CliRunner

from cranberrycleat import events, lifecycle, logs
from cranberrycleat.cli import main
from cranberrycleat.explain import (
    cause,
    job_timeline,
    job_timelines,
    read_line,
    read_lines,
)
from cranberrycleat.log_sink import LogSink
from cranberrycleat.logs import encode_event
from cranberrycleat.losses import summarize
from cranberrycleat.metrics import Metrics
from cranberrycleat.workflow.telemetry import Telemetry

PIPE_BUF = 4096
DOCS = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"


def test_documented_events_match_the_module() -> None:
    """docs/OPERATIONS.md lists all events with their doc lines, and no others."""
    text = DOCS.read_text()
    table = text[text.index("### Logs") : text.index("### Finding a cause")]
    rows = re.findall(r"^\| `([a-z]+\.[a-z_]+)` \| (.+?) \|$", table, re.M)
    assert dict(rows) == {kind.name: kind.doc for kind in events.KINDS.values()}


def test_event_names_are_unique_and_fields_do_not_shadow_line_fields() -> None:
    """Every line starts with time, event and host; no event may have such a field."""
    names = [kind.name for kind in events.KINDS.values()]
    assert len(names) == len(set(names))
    for cls in events.KINDS:
        fields = {field.name for field in attrs.fields(cls)}
        assert not fields & {"time", "event", "host"}, cls


def _report(by_event: dict[str, int]) -> bytes:
    return json.dumps({"event": "log.left_out", "by_event": by_event}).encode() + b"\n"


def test_unread_pipe_does_not_block_the_process() -> None:
    """Writing never blocks; the least important lines are dropped and counted."""
    reader, writer = os.pipe()

    async def run() -> None:
        sink = LogSink(fd=writer, report=_report, max_pending_bytes=50_000)
        line = b"x" * 99 + b"\n"
        for number in range(20_000):
            sink.put("often", line, essential=False)
            if number % 1000 == 0:
                sink.put("refused", b"kept %d\n" % number, essential=True)
                await asyncio.sleep(0)
        assert sink.dropped_total > 15_000
        assert set(sink.dropped) == {"often"}
        os.set_blocking(reader, False)
        seen = b""
        for _ in range(200):
            try:
                seen += os.read(reader, 1 << 20)
            except BlockingIOError:
                await asyncio.sleep(0.02)
            if b"left_out" in seen and b"kept 19000\n" in seen:
                break
        for number in range(0, 20_000, 1000):
            assert b"kept %d\n" % number in seen
        assert b'"often"' in seen

    asyncio.run(run())
    os.close(reader)
    os.close(writer)


# Guards against a log that grows by megabytes a second, in bare text: asyncio logs a
# traceback for each refused connection.
@pytest.mark.parametrize("name", logs.LIBRARY_LOGGERS)
@pytest.mark.parametrize("start", ["", "different each time"])
def test_messages_of_libraries_are_structured_and_limited(
    name: str, start: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    library = logging.getLogger(name)
    before = library.handlers[:], library.filters[:], library.level, library.propagate
    out = open(tmp_path / "log", "w+b", buffering=0)
    monkeypatch.setattr("sys.stdout", out)
    root = logging.getLogger(logs.ROOT)
    root_before = root.handlers[:], root.level, root.propagate
    try:
        logs.set_up(level="info", form="json")
        for number in range(2_000):
            text = f"{number} {start}" if start else "out of descriptors"
            library.warning(text)
        logs.flush()
    finally:
        library.handlers[:], library.filters[:], library.level, library.propagate = (
            before
        )
        root.handlers[:], root.level, root.propagate = root_before
        logs._STATE.sink = None
    out.seek(0)
    lines = out.read().splitlines()
    assert 1 <= len(lines) <= 300
    assert json.loads(lines[0])["part"] == name


def test_closed_reader_is_tolerated() -> None:
    """A closed pipe must not stop the process."""
    reader, writer = os.pipe()
    os.close(reader)

    async def run() -> None:
        sink = LogSink(fd=writer, report=_report)
        for _ in range(10):
            sink.put("a", b"line\n", essential=True)
            await asyncio.sleep(0.06)

    asyncio.run(run())
    os.close(writer)


def line(event: object, at: float = 1.0, host: str = "h1") -> str:
    """Return the log line of an event, as a process writes it."""
    return encode_event(event, events.KINDS[type(event)].name, at, host).decode()


ACCEPTED = events.JobAccepted(
    job="a", queue="q", steps=1, tasks=1, runs=1, due_in_s=0, labels=(), objective_s=1
)
SURPLUS = events.JobAccepted(
    job="a",
    queue="r",
    steps=1,
    tasks=1,
    runs=1,
    due_in_s=0,
    labels=(),
    objective_s=1,
    workspace="one",
    tier="surplus",
)
STORED = events.JobStored(job="a", after_s=0.01)
ENDED = events.JobEnded(
    job="a",
    queue="q",
    state="completed",
    after_s=4.0,
    objective_s=1.0,
    late=True,
    attempts=1,
)


def placed(waited_s: float) -> events.TaskPlaced:
    """Return a placement event with a waiting time."""
    return events.TaskPlaced(
        task="a.0.0.0", attempt=1, worker="w", waited_s=waited_s, saved=False
    )


REJECTED = events.JobRejected(
    job="a",
    queue="q",
    tier="due",
    reason="too late",
    start_s=8.0,
    end_s=9.0,
    bound_s=5.0,
    age_s=None,
    sent_ago_s=0.0,
    retry_after_s=3.0,
)


UNANSWERED = events.TaskUnanswered(
    task="a.0.0.0", attempt=1, worker="w", reason="connection reset"
)
FENCED = events.TaskStartFenced(
    task="a.0.0.0", attempt=1, worker="w", sent=4, after_s=1.0
)
NOT_STARTED = events.TaskGivenUp(
    task="a.0.0.0", attempt=1, worker="w", reason="its start was not carried out"
)


def started(after_s: float, sent: int) -> events.TaskStarted:
    """Return the event of a start that was accepted."""
    return events.TaskStarted(
        task="a.0.0.0", attempt=1, worker="w", after_s=after_s, sent=sent
    )


def waiting(reason: str) -> events.StepWaiting:
    """Return an event of a step that keeps waiting."""
    return events.StepWaiting(
        step="a.0.0",
        reason=reason,
        pending=1,
        candidates=0,
        waited_s=0,
        slack_s=1,
        obstacles={},
        held_back={},
    )


@pytest.mark.parametrize(
    ("told", "expected"),
    [
        (
            [events.JobRefused(job="a", queue="q", reason="cut off", retry_after_s=1)],
            "refused by the front end: cut off",
        ),
        (
            [events.JobUnknown(job="a", queue="q", reason="no time", after_s=2.5)],
            "given up by the front end: no time",
        ),
        ([REJECTED], "rejected for load: too late"),
        ([events.JobMalformed(job="a", queue="q", reason="x")], "malformed job: x"),
        ([events.JobWithdrawn(job="a", after_s=1)], "withdrawn"),
        (
            [ACCEPTED, STORED, waiting("no room"), placed(3.0), ENDED],
            "waited for a place: no room",
        ),
        (
            [
                SURPLUS,
                STORED,
                waiting("no room"),
                placed(3.0),
                ENDED,
            ],
            "waited for a place: no room; surplus: its workspace sent more",
        ),
        (
            [
                ACCEPTED,
                STORED,
                placed(0.01),
                events.TaskEnded(
                    task="a.0.0.0",
                    attempt=1,
                    worker="w",
                    how="failed",
                    ran_s=2.0,
                    current=True,
                ),
                ENDED,
            ],
            "attempt failed",
        ),
        (
            [
                ACCEPTED,
                STORED,
                placed(0.01),
                events.OwnerWon(epoch=2, silent=True),
                ENDED,
            ],
            "held up around owner.won",
        ),
        (
            [ACCEPTED, STORED, placed(0.01), ENDED],
            "its tasks ran longer than estimated",
        ),
        ([ACCEPTED, STORED, placed(0.01)], "the logs end before it does"),
        (
            [
                ACCEPTED,
                STORED,
                ENDED,
                events.JobShown(job="a", state="completed", after_end_s=2.0),
            ],
            "its end was stored late",
        ),
        (
            [
                ACCEPTED,
                STORED,
                placed(0.01),
                events.WorkerSilent(worker="w", tasks=1, reason="closed"),
                events.TaskCrashesWorkers(task="a.0.0.0", workers=("u", "v", "w")),
                ENDED,
            ],
            "it crashes its workers",
        ),
        (
            [ACCEPTED, STORED, placed(0.01), UNANSWERED, started(2.0, sent=4), ENDED],
            "its worker did not answer the start (2.00 s)",
        ),
        (
            [ACCEPTED, STORED, placed(0.01), UNANSWERED, FENCED, NOT_STARTED, ENDED],
            "a fence settled it (3.00 s)",
        ),
        (
            [
                ACCEPTED,
                STORED,
                placed(0.01),
                UNANSWERED,
                events.OwnerSuspected(holder="h2", evidence="nobody listens"),
                events.WorkerSilent(worker="w", tasks=1, reason="closed"),
                FENCED,
                NOT_STARTED,
                ENDED,
            ],
            "a fence settled it; the worker became silent (5.00 s)",
        ),
        (
            [
                ACCEPTED,
                STORED,
                placed(0.01),
                UNANSWERED,
                events.WorkersDrawing(drawing=0, obstacles={}, steps_waiting=0),
            ],
            "its worker did not answer the start (2.00 s)",
        ),
    ],
)
def test_explain_finds_the_deciding_line(told: list[object], expected: str) -> None:
    """Every cause of a lost job is found from its lines, in any order."""
    lines = [line(event, at=float(at)) for at, event in enumerate(told)]
    found = cause(job_timeline(read_lines(reversed(lines)), "a"))
    assert expected in found.text
    assert found.entry is not None


@pytest.mark.parametrize(
    "text",
    ["", "no json", "{", "[1]", '{"event":"job.stored"}', '{"event":"what.is.it"}'],
)
def test_lines_that_are_no_events_are_skipped(text: str) -> None:
    """This includes truncated lines and lines of other programs."""
    assert read_line(text) is None


def test_bench_time_prefix_is_parsed() -> None:
    """The simulated time in the prefix takes precedence over the process's own."""
    entry = read_line("  12.5 frontend-1 " + line(STORED, at=99.0))
    assert entry is not None and entry.at == 12.5


def test_explain_command_reads_files_and_summarizes_losses(tmp_path: Path) -> None:
    """Prints the timeline of one job, and a summary of all losses."""
    path = tmp_path / "log"
    path.write_text(line(ACCEPTED) + line(STORED) + line(placed(3.0)) + line(ENDED))
    one = CliRunner().invoke(main, ["explain", "a", str(path)])
    assert one.exit_code == 0 and "cause: waited for a place" in one.output
    none = CliRunner().invoke(main, ["explain", "zz", str(path)])
    assert none.exit_code == 1
    summed = CliRunner().invoke(main, ["explain", "--losses", "--log", str(path)])
    assert "1 jobs lost or late of 1; 0 unexplained" in summed.output


def test_explain_prints_orders_only_of_workers_that_a_job_was_placed_on(
    tmp_path: Path,
) -> None:
    """Otherwise the lines of a job drown in those of other workers."""
    told = [
        ACCEPTED,
        placed(0.01),
        *(
            event
            for name in ("w", "v")
            for event in (
                events.WorkerOrdersUnanswered(
                    worker=name, reason="reset", opened=1, broken=1
                ),
                events.WorkerOrdersAnswered(worker=name, missed=3, after_s=2.0),
            )
        ),
        ENDED,
    ]
    path = tmp_path / "log"
    path.write_text("".join(line(each, at=float(at)) for at, each in enumerate(told)))
    output = CliRunner().invoke(main, ["explain", "a", str(path)]).output
    for name in ("worker.orders_unanswered", "worker.orders_answered"):
        assert output.count(name) == 1
    assert '"worker":"v"' not in output


def shown(at: float) -> str:
    """Return the log line of a completed job's state being reported."""
    event = events.JobShown(job="a", state="completed", after_end_s=0.01)
    return line(event, at=at)


@pytest.mark.parametrize(
    ("runs", "shown_at", "expected"),
    [
        ([("a.0.0.0", "done", 4.0)], 8.4, 0),
        ([("a.0.0.0", "done", 4.0)], 8.6, 1),
        ([("a.0.0.0", "failed", 1.0), ("a.0.0.0", "done", 3.0)], 8.4, 0),
        ([("a.0.0.0", "done", 2.0), ("a.0.1.0", "done", 2.0)], 8.4, 0),
        ([("a.0.0.0", "done", 2.0), ("a.0.0.1", "done", 2.0)], 8.4, 1),
        ([("a.0.0.0", "lapsed", 4.0)], 8.4, 1),
    ],
    ids=["in time", "late", "own failure", "chain", "side by side", "not its own"],
)
def test_lateness_is_computed_from_actual_run_times(
    runs: list[tuple[str, str, float]], shown_at: float, expected: int
) -> None:
    """Allowed are twice the critical path plus 0.5 s, whatever the estimate says."""
    accepted = events.JobAccepted(
        job="a",
        queue="q",
        steps=1,
        tasks=1,
        runs=1,
        due_in_s=0,
        labels=(),
        objective_s=1,
        stretch=2.0,
        slack_s=0.5,
    )
    ends = [
        events.TaskEnded(
            task=task, attempt=1, worker="w", how=how, ran_s=ran_s, current=True
        )
        for task, how, ran_s in runs
    ]
    lines = [line(each, at=0.0) for each in (accepted, STORED, *ends)]
    lines += [line(ENDED, at=shown_at), shown(shown_at)]
    assert summarize(job_timelines(read_lines(lines)), ("queue",)).lost == expected


def test_losses_by_window_and_queue(tmp_path: Path) -> None:
    """Rows are ordered by time; an unknown key is rejected."""
    refused = [
        events.JobRefused(job=job, queue=queue, reason="cut off", retry_after_s=1)
        for job, queue in (("a", "q"), ("b", "q"), ("c", "r"), ("d", "q"))
    ]
    times = (31.9, 30.1, 4.0, 30.4)
    path = tmp_path / "log"
    path.write_text(
        "".join(line(each, at=at) for each, at in zip(refused, times, strict=True))
    )
    by = ["explain", "--losses", "--log", str(path), "--by"]
    found = CliRunner().invoke(main, [*by, "window,queue"])
    assert [row.split() for row in found.output.splitlines()[:2]] == [
        ["1", "4", "r"],
        ["3", "30", "q"],
    ]
    bad = CliRunner().invoke(main, [*by, "window,weather"])
    assert bad.exit_code == 2 and "weather" in bad.output


def test_events_are_counted_as_metrics() -> None:
    """Counters have labels and histograms are in seconds, in the text format."""
    metrics = Metrics(role="node", name="n")
    telemetry = Telemetry(metrics=metrics)
    for event in (ACCEPTED, SURPLUS, ENDED, placed(0.2), waiting("no room"), REJECTED):
        telemetry.record_event(event)
    text = metrics.text()
    assert 'cranberrycleat_jobs_accepted{queue="q"} 1' in text
    assert 'workspaces_jobs_tiers{tier="surplus",workspace="one"} 1' in text
    assert 'jobs_rejected{queue="q",reason="too late",tier="due"} 1' in text
    assert 'jobs_ended{late="true",queue="q",state="completed"} 1' in text
    assert 'cranberrycleat_tasks_waited_duration_bucket{le="0.25"} 1' in text
    assert "cranberrycleat_tasks_waited_duration_count 1" in text


def test_lines_are_written_whole_and_in_atomic_pipe_writes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A longer write may be truncated, or interleaved with another process's."""
    written: list[bytes] = []

    def write(fd: int, data: bytes) -> int:
        written.append(data)
        return len(data)

    async def run() -> None:
        reader, writer = os.pipe()
        sink = LogSink(fd=writer, report=_report)
        for number in range(300):
            sink.put(
                "often", b"%d:" % number + b"x" * 200 + b"\n", essential=number % 7 == 0
            )
        sink.put("large", b"y" * 9000 + b"\n", essential=False)
        monkeypatch.setattr(os, "write", write)
        sink.flush()
        os.close(reader)
        os.close(writer)

    asyncio.run(run())
    assert all(data.endswith(b"\n") for data in written)
    assert sorted(len(data) for data in written)[-2] <= PIPE_BUF
    assert b"".join(written).count(b"\n") == 301


@attrs.define(kw_only=True, eq=False)
class _StopsImmediately:
    """A component that is told to stop as soon as it has started."""

    url: str = "http://127.0.0.1:1"

    async def start(self) -> None:
        os.kill(os.getpid(), signal.SIGTERM)

    async def drain(self) -> None:
        pass

    async def stop(self) -> None:
        pass


def test_pending_lines_are_written_at_shutdown(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Lines are collected before they are written; a stopping process flushes them."""
    logs.set_up(level="info", form="json")
    try:
        asyncio.run(lifecycle.run(_StopsImmediately(), announce="brief"))
    finally:
        logs.set_up(level="info", form="text")
    assert "Stopped." in capfd.readouterr().out
