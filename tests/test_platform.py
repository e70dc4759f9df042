"""Tests of the platform adapter against a fake of the platform's published protocol."""

import asyncio
import base64
import contextlib
import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

import attrs
import pytest

from cranberrycleat import errors
from cranberrycleat.amounts import Amounts
from cranberrycleat.asgi import Answer, read_body, send_answer
from cranberrycleat.http_client import HttpClient
from cranberrycleat.http_server import HttpServer
from cranberrycleat.platform.adapter import make_adapter
from cranberrycleat.platform.jobs import read_job
from cranberrycleat.platform.records import read_config, read_worker
from cranberrycleat.platform.settings import read_settings
from cranberrycleat.platform.store import PlatformStore
from cranberrycleat.platform.workers import PlatformPermits, PlatformWorkers
from cranberrycleat.table import Check, Put, Row, Transaction
from cranberrycleat.workflow.ports import (
    CheckpointTiming,
    EndKind,
    HistoryExpired,
    OrderReply,
    PermitUnavailable,
    StartOrder,
    SyncReply,
    Verdict,
    WorkerEntry,
    WorkerReplaced,
    WorkerUnreachable,
)
from tests.fakes import run_async

PAGE = 3


@attrs.define(kw_only=True, eq=False)
class FakePlatform:
    """An HTTP fake: a store that follows the platform's protocol, and canned answers.

    Attributes:
        rows: The rows by table, part and key.
        version: The store's global version counter.
        canned: Answers by path, which take precedence over the store's own.
        seen: Path, body and headers of each request.
    """

    rows: dict[tuple[str, str, str], dict[str, Any]] = attrs.field(factory=dict)
    version: int = 0
    canned: dict[str, tuple[int, Any]] = attrs.field(factory=dict)
    seen: list[tuple[str, Any, dict[bytes, bytes]]] = attrs.field(factory=list)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        body = await read_body(receive) or b""
        sent = json.loads(body) if body else None
        self.seen.append((scope["path"], sent, dict(scope["headers"])))
        args = dict(parse_qsl(scope["query_string"].decode()))
        status, message = self.canned.get(scope["path"]) or self.answer(
            scope["path"], sent, args
        )
        data = json.dumps(message).encode()
        await send_answer(send, Answer(message=data, status=status))

    def answer(self, path: str, sent: Any, args: dict[str, str]) -> tuple[int, Any]:
        """Execute a call to the store."""
        match path:
            case "/api/rows-tx":
                return self.transact(sent)
            case "/api/rows-get":
                return 200, self.range(args)
            case "/api/rows-feed":
                after = int(args["after"])
                found = [
                    row
                    for key, row in sorted(self.rows.items())
                    if key[0] == args["table"] and row["schema_ver"] > after
                ]
                return 200, {"rows": found, "schema_ver": self.version}
        return 404, {}

    def transact(self, sent: Any) -> tuple[int, Any]:
        """Apply a transaction if its conditions hold."""
        for each in sent["expect_rev"]:
            key = (each["table"], each["part"], each["key"])
            if self.rows.get(key, {}).get("schema_ver", 0) != each["schema_ver"]:
                return 412, {"rows": [self.rows[key]] if key in self.rows else []}
        self.version += 1
        for each in sent["writes"]:
            key = (each["table"], each["part"], each["key"])
            self.rows[key] = {**each, "schema_ver": self.version}
        for each in sent["remove"]:
            self.rows.pop((each["table"], each["part"], each["key"]), None)
        return 200, {"schema_ver": self.version, "now_ms": 1}

    def range(self, args: dict[str, str]) -> Any:
        """Return a page of a table's part."""
        found = [
            row
            for key, row in sorted(self.rows.items())
            if key[:2] == (args["table"], args.get("part", ""))
            and key[2] >= args.get("from", "")
            and ("to" not in args or key[2] < args["to"])
        ]
        return {
            "rows": found[:PAGE],
            "truncated": len(found) > PAGE,
            "schema_ver": self.version,
        }


@contextlib.asynccontextmanager
async def workers() -> AsyncIterator[PlatformWorkers]:
    """Provide a client for workers."""
    client = PlatformWorkers()
    try:
        yield client
    finally:
        await client.close()


@contextlib.asynccontextmanager
async def run_fake_platform() -> AsyncIterator[tuple[FakePlatform, str, HttpClient]]:
    """Run a fake platform on loopback."""
    fake = FakePlatform()
    server = HttpServer(app=fake, host="127.0.0.1", port=0)
    await server.start()
    http = HttpClient()
    try:
        yield fake, f"127.0.0.1:{server.port}", http
    finally:
        await http.close()
        await server.stop()


def put(key: str, value: str = "v") -> Transaction:
    """Return a write that requires that the row does not exist."""
    return Transaction(
        checks=(Check(key=key, version=0),), puts=(Put(key=key, value=value),)
    )


def test_conditional_writes_and_paged_reads() -> None:
    """Covers conditions, conflicts, pages and deletions of the store protocol."""

    async def run() -> None:
        async with run_fake_platform() as (fake, address, http):
            store = PlatformStore(address=address, http=http)
            for number in range(7):
                reply = await store.commit(put(f"jobs/{number}", f"täxt {number}"))
                assert reply.committed and reply.version == number + 1
            again = await store.commit(put("jobs/3"))
            assert not again.committed and again.conflicts == ("jobs/3",)
            rows = await store.scan(prefix="jobs/")
            assert [row.key for row in rows] == [f"jobs/{n}" for n in range(7)]
            assert rows[2].value == "täxt 2"
            await store.commit(Transaction(deletes=("jobs/0",)))
            assert [row.key for row in await store.read(keys=("jobs/0", "jobs/1"))] == [
                "jobs/1"
            ]

    run_async(run())


def test_inbox_uses_dedicated_part() -> None:
    """Writes to the inbox must not delay the owner's transactions."""

    async def run() -> None:
        async with run_fake_platform() as (fake, address, http):
            store = PlatformStore(address=address, http=http)
            for key in ("inbox/a", "jobs/a", "owner/cell", "specs/a"):
                await store.commit(put(key))
            parts = {table: part for table, part, _ in fake.rows}
            assert parts["inbox"] != parts["jobs"]
            assert parts["jobs"] == parts["owner"] == parts["specs"]

    run_async(run())


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (429, errors.TableRefused),
        (503, errors.TableRefused),
        (500, errors.TableUnavailable),
        (410, HistoryExpired),
    ],
)
def test_store_error_statuses(status: int, expected: type[Exception]) -> None:
    """A rejected call had no effect; after any other error it may have had one."""

    async def run() -> None:
        async with run_fake_platform() as (fake, address, http):
            store = PlatformStore(address=address, http=http)
            fake.canned["/api/rows-feed"] = (status, {})
            with pytest.raises(expected):
                await store.follow(table="op", after=3, wait_s=0.0)

    run_async(run())


ENTRY = WorkerEntry(
    worker="i-1",
    pool="p",
    address="",
    data_centre="dc",
    leaving=False,
    capacity=Amounts(),
    labels=(),
)
ORDER = StartOrder(
    task="a.0.0.1", attempt=2, program="x", lease_end_ms=99, fence=7, permit="t"
)


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, {"clock_ms": 5}, OrderReply(verdict=Verdict.ACCEPTED, worker_time_ms=5)),
        (409, {"clock_ms": 5, "reason": "fence"}, Verdict.STALE_EPOCH),
        (409, {"clock_ms": 5, "reason": "old"}, Verdict.STALE_ATTEMPT),
        (409, {"clock_ms": 5, "reason": "late"}, Verdict.TOO_LATE),
        (409, {"clock_ms": 5, "reason": "room"}, Verdict.NO_ROOM),
        (409, {"clock_ms": 5, "reason": "ticket"}, Verdict.NO_PERMIT),
        (400, {"clock_ms": 5}, Verdict.MALFORMED),
        (429, {}, Verdict.UNHEALTHY),
        (503, {}, Verdict.UNHEALTHY),
        (421, {}, WorkerReplaced),
        (409, {"clock_ms": 5, "reason": "new words"}, WorkerUnreachable),
        (500, {}, WorkerUnreachable),
        (200, "no object", WorkerUnreachable),
    ],
)
def test_worker_order_replies(status: int, body: Any, expected: Any) -> None:
    """Covers every answer of the worker protocol and some that it does not define."""

    async def run() -> None:
        async with run_fake_platform() as (fake, address, _), workers() as client:
            fake.canned["/api/run-start"] = (status, body)
            entry = attrs.evolve(ENTRY, address=address)
            if isinstance(expected, type):
                with pytest.raises(expected):
                    await client.start(entry, ORDER, limit_s=0.5)
                return
            reply = await client.start(entry, ORDER, limit_s=0.5)
            assert expected in (reply, reply.verdict)
            path, sent, headers = fake.seen[0]
            assert headers[b"expect-instance"] == b"i-1"
            assert sent == {
                "task": "a.0.0.1",
                "run": 2,
                "fencing_token": 7,
                "spec": "x",
                "until_ms": 99,
                "ticket": "t",
            }

    run_async(run())


def test_worker_sync_reply() -> None:
    """Covers running and ended tasks, with and without the optional fifth field."""

    async def run() -> None:
        async with run_fake_platform() as (fake, address, _), workers() as client:
            fake.canned["/api/hold"] = (
                200,
                {
                    "clock_ms": 10,
                    "running": [["a.0.0.0", 1, "s", 40], ["a.0.0.1", 1, "", 100, 250]],
                    "ended": [[3, "b.0.0.0", 2, "broken", ""]],
                },
            )
            entry = attrs.evolve(ENTRY, address=address)
            reply = await client.sync(
                entry, fence=1, ended_upto=2, lease_end_ms=None, wait_ms=0
            )
            assert isinstance(reply, SyncReply)
            assert [each.reading for each in reply.running] == [None, 250]
            assert reply.ended[0].how is EndKind.MEMBER_ENDED
            assert "until_ms" not in fake.seen[0][1]

    run_async(run())


@pytest.mark.parametrize(
    "lists",
    [
        {"running": [["a.0.0.0", 1]]},
        {"running": [["a.0.0.0", "x", "", 1]]},
        {"ended": [[3, "b.0.0.0", 2, "some new word", ""]]},
        {"ended": [[3, "b.0.0.0"]]},
        {"ended": "none"},
    ],
)
def test_malformed_sync_reply_is_unreachable(lists: dict[str, Any]) -> None:
    """A malformed list counts as no answer; the error names the worker."""

    async def run() -> None:
        async with run_fake_platform() as (fake, address, _), workers() as client:
            fake.canned["/api/hold"] = (200, {"clock_ms": 10, **lists})
            entry = attrs.evolve(ENTRY, address=address)
            with pytest.raises(WorkerUnreachable, match="i-1"):
                await client.sync(
                    entry, fence=1, ended_upto=0, lease_end_ms=None, wait_ms=0
                )

    run_async(run())


def test_undecodable_row_does_not_hide_others() -> None:
    """The undecodable row itself is rejected with its place."""

    async def run() -> None:
        async with run_fake_platform() as (fake, address, http):
            store = PlatformStore(address=address, http=http)
            for number, value in enumerate(["/w==", "not base64!", "e30="]):
                key = ("servers", "", f"i-{number}")
                fake.rows[key] = {
                    "table": "servers",
                    "part": "",
                    "key": f"i-{number}",
                    "value": value,
                    "schema_ver": 1,
                }
            found = await store.scan(prefix="servers/")
            assert [each.value for each in found] == ["", "", "{}"]
            with pytest.raises(errors.FindingsError) as caught:
                read_worker(found[0])
            assert caught.value.findings[0].place == "servers/i-0"

    run_async(run())


def test_permit_replies() -> None:
    """Allowed workers get tickets; an error status raises."""

    async def run() -> None:
        async with run_fake_platform() as (fake, address, http):
            client = PlatformPermits(address=address, http=http)
            fake.canned["/api/advise"] = (200, {"good": [["i-1", "t-1"]]})
            found = await client.ask(step="a.0.0", workers=("i-1",), timeout_s=1)
            assert found[0].ticket == "t-1"
            fake.canned["/api/advise"] = (429, {})
            with pytest.raises(PermitUnavailable):
                await client.ask(step="a.0.0", workers=("i-1",), timeout_s=1)

    run_async(run())


def row(key: str, value: object) -> Row:
    """Return a row as the store returns it."""
    text = value if isinstance(value, str) else json.dumps(value)
    return Row(key=key, version=1, value=text)


def test_read_configuration_and_worker_rows() -> None:
    """Omitted fields are zero, and unknown fields are ignored."""
    config = read_config(
        row(
            "op/config",
            {
                "version": 7,
                "routes": [
                    {
                        "name": "r",
                        "host": "h",
                        "prefix": "/p/",
                        "service": "s",
                        "slo_ms": 250,
                        "advice": {"decide_ms": 8.7, "each_ms": 0.1, "valid_ms": 1500},
                        "new": 1,
                    }
                ],
                "services": [{"name": "s"}],
            },
        )
    )
    assert config.queues[0].objective_s == 0.25
    assert config.queues[0].permits is not None
    assert config.queues[0].permits.valid_s == 1.5
    entry = read_worker(
        row(
            "servers/i-1",
            {
                "service": "s",
                "addr": "10.0.0.1:80",
                "zone": "z",
                "state": "draining",
                "capacity": {"cpu": 16000, "mem_mb": 100},
                "labels": ["a", "r1-3"],
            },
        )
    )
    assert entry.worker == "i-1" and entry.leaving
    assert entry.capacity == Amounts(processors=16000, memory_mb=100)


@pytest.mark.parametrize("value", ["", "{", "[]", {"version": "x"}, {"routes": [1]}])
def test_malformed_configuration_reports_its_row(value: object) -> None:
    """The error names the row."""
    with pytest.raises(errors.FindingsError) as caught:
        read_config(row("op/config", value))
    assert caught.value.findings[0].place == "op/config"


def test_job_body_fields_are_mapped() -> None:
    """Each field of the platform's job format is translated."""
    spec = read_job(
        json.dumps(
            {
                "spec": "x",
                "max_runs": 3,
                "first_ms": 5000,
                "period_ms": 2000,
                "steps": [
                    {
                        "count": 4,
                        "cpu": 500,
                        "mem_mb": 256,
                        "gpu": 1,
                        "estimate_ms": 900,
                        "affinity": "r1-3",
                        "required_label": "a",
                        "anti_affinity": 2,
                        "gang": True,
                        "same_rack": True,
                        "long_running": True,
                        "may_miss": 1,
                        "checkpoint": True,
                        "image": "i",
                        "target_ms": 80,
                        "fills": True,
                        "speculative": True,
                    }
                ],
            }
        ).encode()
    )
    step = spec.steps[0]
    assert spec.schedule is not None and spec.schedule.due_s(2) == 9.0
    assert step.needs == Amounts(processors=500, memory_mb=256, accelerators=1)
    assert (step.data_rack, step.label, step.most_per_worker) == ("r1-3", "a", 2)
    assert step.gang and step.same_rack and step.service and step.filler
    assert (step.may_be_away, step.tail_limit_ms, step.estimate_s) == (1, 80, 0.9)


SETTINGS = """
node = "n1"
ip = "10.1.0.13"
zone = "z1"
port_range = [7720, 7735]
advice = "10.200.1.9:8169"
[listen]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[bounds]
hold_max_ms = 10000
stop_ms = 200
[platform]
addr = "10.200.1.7:8169"
"""


def test_read_settings(tmp_path: Path) -> None:
    """Omitted settings get their defaults."""
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    cfg = read_settings(str(path))
    assert cfg.peer_port == 7720 and cfg.bounds.longest_lease_s == 10.0
    assert cfg.grace_s == 6.0 and cfg.machines == ""
    assert cfg.drain_s == 2.0


def test_read_drain_bound(tmp_path: Path) -> None:
    """Deployments differ in how long tasks may begin on a worker that leaves."""
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace("[bounds]", "[bounds]\ndrain_ms = 3000"))
    assert read_settings(str(path)).drain_s == 3.0


# Guards against resuming that is timed by the figures of another deployment.
def test_checkpoint_timing_is_read(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    bounds = "[bounds]\nsave_s = 0.5\nrestore_ms = 100"
    path.write_text(SETTINGS.replace("[bounds]", bounds))
    timing = read_settings(str(path)).checkpoints
    assert timing == CheckpointTiming(interval_s=0.5, restore_s=0.1)


def test_reread_settings(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A change is applied; a malformed file changes nothing."""
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    monkeypatch.setenv("CRANBERRYCLEAT_NODE_FILE", str(path))
    adapter = make_adapter(HttpClient())
    assert adapter.reload_settings() == ()
    path.write_text(SETTINGS.replace("10.200.1.7", "10.200.1.8"))
    assert adapter.reload_settings() == ("store",)
    assert adapter.store.address == "10.200.1.8:8169"
    path.write_text("= broken")
    with pytest.raises(errors.FindingsError):
        adapter.reload_settings()
    assert adapter.store.address == "10.200.1.8:8169"


@pytest.mark.parametrize(
    "text", ["", "node = 1", "= x", SETTINGS.replace("[platform]", "[other]")]
)
def test_malformed_settings_report_their_file(tmp_path: Path, text: str) -> None:
    """The error names the file."""
    path = tmp_path / "settings.toml"
    path.write_text(text)
    with pytest.raises(errors.FindingsError) as caught:
        read_settings(str(path))
    assert caught.value.findings[0].place == str(path)


def test_values_are_base64_on_the_wire() -> None:
    """Rows contain text, which the platform stores as bytes."""

    async def run() -> None:
        async with run_fake_platform() as (fake, address, http):
            store = PlatformStore(address=address, http=http)
            await store.commit(put("jobs/a", "text"))
            sent = fake.seen[0][1]["writes"][0]["value"]
            assert base64.b64decode(sent) == b"text"
            await asyncio.sleep(0)

    run_async(run())
