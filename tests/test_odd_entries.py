"""Tests rows that another writer left, which no decoder may answer with another error.

A row may be very deeply nested, have a number that is out of range, or a key that is no
worker's. Whatever reads it reports a finding and goes on with the other rows.
"""

import asyncio
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import pytest

from cranberrycleat import codec, documents, errors, explain
from cranberrycleat.http_client import HttpClient, HttpReply
from cranberrycleat.messages import HostEntry
from cranberrycleat.platform import front, machines, records, store, workers
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.table import Row
from cranberrycleat.workflow import incarnations, rows
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.ports import WorkerUnreachable
from tests.cell import entry
from tests.test_worker_rows import VALID_ROW, make_directory, put, row

NESTED = "[" * 30_000 + "]" * 30_000
HUGE_INTEGER = int("9" * 400)
HUGE_FLOAT = 1e308


def with_nested_field(valid: dict[str, Any]) -> str:
    """Return a row that is valid but for an unknown field, which is deeply nested."""
    return json.dumps(valid)[:-1] + f', "x": {NESTED}}}'


NESTED_ROW = with_nested_field(VALID_ROW)


# Guards against a reader of the list that stops at one row (processes that end by
# themselves, LOST), and so learns of no leaving any more (DRAIN).
@pytest.mark.parametrize("reader", ["follower", "new owner"])
@pytest.mark.parametrize(
    "odd",
    [
        Row(key="servers/i-9", version=1, value=NESTED_ROW),
        Row(key="servers/i-9", version=1, value=NESTED),
        row({"born": HUGE_INTEGER}, worker="i-9"),
        row({"born": -1}, worker="i-9"),
        row({"born": int("9" * 4000)}, worker="i-9"),
        row({"clock_ms": HUGE_FLOAT}, worker="i-9"),
        row({"remaining_ms": HUGE_FLOAT}, worker="i-9"),
        row({"capacity": {"cpu": HUGE_FLOAT}}, worker="i-9"),
        row({"capacity": {"cpu": 1, "mem_mb": HUGE_INTEGER}}, worker="i-9"),
        row({"addr": "10.0.0.1:99999"}, worker="i-9"),
        row({"addr": "10.0.0.1:" + "9" * 5000}, worker="i-9"),
        row({}, worker="i-9@5"),
        row({}, worker="i-9@x@"),
        row({}, worker=""),
    ],
    ids=lambda odd: odd if isinstance(odd, str) else None,
)
def test_odd_entry_hides_no_other(reader: str, odd: Row) -> None:
    table = MemoryFeedTable()
    put(table, row({}))
    found = make_directory(table)
    asyncio.run(found.read_all())
    put(table, odd)
    put(table, row({"state": "draining"}))
    if reader == "new owner":
        found = make_directory(table)
        asyncio.run(found.read_all())
    else:
        asyncio.run(found.refresh())
    assert found.entries["i-1"].leaving
    assert set(found.entries) == {"i-1"}


def test_worker_whose_row_becomes_odd_gets_no_work() -> None:
    table = MemoryFeedTable()
    put(table, row({}))
    found = make_directory(table)
    asyncio.run(found.read_all())
    put(table, Row(key="servers/i-1", version=1, value=NESTED_ROW))
    asyncio.run(found.refresh())
    assert not found.entries["i-1"].readable


@pytest.mark.parametrize("remaining_ms", [0, -5.0, 1500])
def test_worker_that_is_past_its_remaining_time_still_leaves(
    remaining_ms: float,
) -> None:
    """Its announcement counts, whatever the time says."""
    found = records.read_worker(
        row({"state": "draining", "remaining_ms": remaining_ms})
    )
    assert found.leaving
    assert found.leaves_in_s == max(0, remaining_ms) / 1000


def test_latest_start_time_that_is_read_can_be_compared() -> None:
    """No later calculation with an accepted number may overflow."""
    latest = records.MAX_NUMBER
    listed = records.read_worker(
        row(
            {
                "born": latest,
                "clock_ms": latest,
                "remaining_ms": latest,
                "capacity": {"cpu": latest, "mem_mb": latest, "gpu": latest},
            }
        )
    )
    worker = FleetWorker(entry=listed)
    assert incarnations.may_have_restarted(worker, 1e9)
    assert worker.grant(6.0, 100.0, 0.02) > 0
    assert sum([float(listed.capacity.processors)] * 10_000) < sys.float_info.max


NESTED_BODY = ('{"x": ' + NESTED + "}").encode()
REPLY = HttpReply(status=200, body=NESTED_BODY)


# Guards against a decoder that raises what its callers do not expect, at any of the
# places where rows, answers and bodies of others are decoded.
@pytest.mark.parametrize(
    ("decode", "expected"),
    [
        (lambda: codec.decode(NESTED_BODY, HostEntry), errors.FindingsError),
        (
            lambda: records.read_config(
                Row(
                    key="op/config",
                    version=1,
                    value='{"version": 1, "x": ' + NESTED + "}",
                )
            ),
            errors.FindingsError,
        ),
        (
            lambda: machines.read_wave(
                Row(
                    key="op/wave/1", version=1, value='{"wave": 1, "x": ' + NESTED + "}"
                )
            ),
            errors.FindingsError,
        ),
        (lambda: store._decode(REPLY, "rows-get"), errors.TableUnavailable),
        (
            lambda: workers._decode(REPLY, workers._WireLists, entry("w")),
            WorkerUnreachable,
        ),
        (
            lambda: rows.decode_speeds('{"x": ' + NESTED + "}", "speeds/p"),
            errors.FindingsError,
        ),
        (
            lambda: rows.decode_whole_job('{"x": ' + NESTED + "}", {}, "jobs/a"),
            errors.FindingsError,
        ),
    ],
)
def test_deeply_nested_text_is_rejected_by_each_decoder(
    decode: Callable[[], object], expected: type[Exception]
) -> None:
    with pytest.raises(expected):
        decode()


def test_value_that_is_no_base64_is_an_empty_row() -> None:
    """Text outside ASCII raises another error than other invalid text does."""
    assert store._decode_value("é") == ""
    assert store._decode_value("a") == ""


def test_odd_value_hides_no_other_row() -> None:
    body = json.dumps(
        {"rows": [{"table": "servers", "key": "i-1", "value": "é", "schema_ver": 3}]}
    )
    page = store._decode(HttpReply(status=200, body=body.encode()), "rows-get")
    assert [attrs.asdict(store._row(each)) for each in page.rows] == [
        {"key": "servers/i-1", "version": 3, "value": ""}
    ]


def test_deeply_nested_document_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "document.json"
    path.write_bytes(NESTED_BODY)
    with pytest.raises(errors.FindingsError):
        documents.read_document(path)


def test_deeply_nested_log_line_is_skipped() -> None:
    """`cranberrycleat explain` reads whatever stands in a log."""
    assert explain.read_line(NESTED_BODY.decode()) is None


@pytest.mark.parametrize("value", ["²", "9" * 5000, "-1", "", "1e3"])
def test_odd_time_limit_of_caller_counts_as_none(value: str) -> None:
    headers = {b"deadline-ms": value.encode()}
    assert front._limit_s(headers) == front.DEFAULT_DEADLINE_S


@attrs.define(kw_only=True, eq=False)
class CannedHttp(HttpClient):
    """Answers each call with the same body."""

    body: bytes

    async def call(self, *args: object, **kwargs: object) -> HttpReply:
        """Return the body."""
        return HttpReply(status=200, body=self.body)


# Guards against an announcement (DRAIN) beyond the end of a page that was cut short:
# the next read would begin behind it.
@pytest.mark.parametrize(("truncated", "version"), [(False, 9), (True, 4)])
def test_feed_continues_where_its_page_ends(truncated: bool, version: int) -> None:
    listed = {"table": "servers", "key": "i-1", "value": "", "schema_ver": 4}
    page = {"rows": [listed], "schema_ver": 9, "truncated": truncated}
    table = store.PlatformStore(
        address="127.0.0.1:1", http=CannedHttp(body=json.dumps(page).encode())
    )
    feed = asyncio.run(table.follow(table="servers", after=3, wait_s=0.0))
    assert feed.version == version
