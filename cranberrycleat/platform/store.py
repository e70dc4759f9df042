"""The platform's store as a `FeedTable`.

Keys in this project have the form `TABLE/KEY`. A part is the store's unit of
partitioning. Rows that are written together share one part, since a transaction within
a single part is faster. Rows of the operator and of the workers have an empty part.
"""

import asyncio
import base64
from typing import Final

import attrs
import msgspec

from cranberrycleat import codec, errors
from cranberrycleat.clock import Clock, MonotonicClock
from cranberrycleat.http_client import HttpClient, HttpReply, NoAnswer, ResponseTooLarge
from cranberrycleat.logs import part_logger
from cranberrycleat.table import CommitReply, Row, TableLimits, Transaction
from cranberrycleat.workflow.answer_timeout import AnswerTimeout
from cranberrycleat.workflow.ports import (
    Feed,
    FeedTooLarge,
    HistoryExpired,
    Snapshot,
    TableChange,
)

SHARED_PART: Final = "cell"
DEDICATED_PART_TABLES: Final = frozenset({"inbox"})
"""Tables that are never written together with others. Transactions of one part run
sequentially, and in a slow store the inbox writes of all hosts must not delay the
owner's writes."""
FOREIGN_TABLES: Final = frozenset({"op", "servers", "status"})
"""Tables shared with the operator and the workers; their rows have an empty part."""
OK: Final = 200
CONDITION_FAILED: Final = 412
GONE: Final = 410
REJECTED_STATUSES: Final = frozenset({429, 503})
INVALID_STATUSES: Final = frozenset({400, 403, 413, 422})
"""Answers to a transaction that the store will never take, however often it is sent."""
PAGE_ROWS: Final = 200
"""Rows read per call; about 100 KB, which take 0.2 s on a link of 5 Mbit/s."""
PAGE_START_S: Final = 1.5
"""Extra time, beyond a short answer's, until the first byte of a page: pages of other
tables use the same link."""
MAX_PAGE_BYTES: Final = 64 * 1024 * 1024
"""Maximum size of an answer; 500 rows of the largest size take 44 MB (base64)."""
STALL_TIMEOUT_S: Final = 1.0
"""Maximum gap between the bytes of an answer that has begun. A slowed table sends a
whole answer in 0.5 s, and a host slowed five times receives data within this time. The
total duration is not limited, since it depends on the link: 1 MB takes 1.75 s at
5 Mbit/s. With a total limit of 1.7 s, a configuration of that size could not be loaded
until its history was gone (22 s)."""
PAGE_ATTEMPTS: Final = 4
PAGE_PAUSE_S: Final = 0.1
"""Delay before a page is retried after the store rejected a call or was cut off."""
WRITE_EXTRA_S: Final = 0.4
"""Extra time for a transaction compared with a read: it runs (4 ms) after those queued
in its part, each of which takes 0.24 s in a store slowed 60 times."""
LOG: Final = part_logger("store")


@attrs.define(kw_only=True)
class _WireRow:
    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    schema_ver: int = 0
    deleted: bool = False


@attrs.define(kw_only=True)
class _WireRows:
    rows: list[_WireRow] = attrs.field(factory=list)
    truncated: bool = False
    schema_ver: int = 0


@attrs.frozen(kw_only=True)
class _WireCheck:
    table: str
    part: str
    key: str
    schema_ver: int


@attrs.frozen(kw_only=True)
class _WirePut:
    table: str
    part: str
    key: str
    value: str


@attrs.frozen(kw_only=True)
class _WireName:
    table: str
    part: str
    key: str


@attrs.frozen(kw_only=True)
class _WireTransaction:
    expect_rev: tuple[_WireCheck, ...]
    writes: tuple[_WirePut, ...]
    remove: tuple[_WireName, ...]


@attrs.define(kw_only=True, eq=False)
class PlatformStore:
    """The store over HTTP.

    Attributes:
        address: IP and port.
        http: The process's HTTP client.
        carries_bytes_s: Bandwidth to the store in bytes per second.
        limits: The limits of a transaction, checked before the call.
        answer_timeout: Adaptive timeout for answers.
        clock: Clock to measure answer times.
    """

    address: str
    http: HttpClient
    carries_bytes_s: float = float("inf")
    limits: TableLimits = TableLimits()
    answer_timeout: AnswerTimeout = attrs.field(factory=AnswerTimeout)
    clock: Clock = attrs.field(factory=MonotonicClock)
    _unread_tables: set[str] = attrs.field(factory=set)

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Return the existing rows among the keys, with one call per key."""
        found = await asyncio.gather(*(self._read_one(key) for key in keys))
        return tuple(row for rows in found for row in rows)

    async def _read_one(self, key: str) -> tuple[Row, ...]:
        table, name = _split(key)
        params = {"from": name, "to": name + "\0", "limit": "1"}
        page, _ = await self._read_range(table, params)
        return tuple(_row(each) for each in page.rows)

    async def scan(self, *, prefix: str) -> tuple[Row, ...]:
        """Return every row of a table; the prefix is `TABLE/`."""
        return (await self.snapshot(table=prefix.rstrip("/"))).rows

    async def snapshot(self, *, table: str) -> Snapshot:
        """Return a table's rows and the version of the first page."""
        page, reply = await self._read_page(table, {})
        rows = [_row(each) for each in page.rows]
        version = page.schema_ver
        size, read_s = len(reply.body), reply.read_s
        while page.truncated and page.rows:
            page, reply = await self._read_page(
                table, {"from": page.rows[-1].key + "\0"}
            )
            rows += [_row(each) for each in page.rows]
            size += len(reply.body)
            read_s += reply.read_s
        return Snapshot(rows=tuple(rows), version=version, size=size, read_s=read_s)

    async def _read_page(
        self, table: str, params: dict[str, str]
    ) -> tuple[_WireRows, HttpReply]:
        """Read one page of a table, with retries if there is no answer.

        A failed page discards all pages before it. Without retries a large table could
        never be read over a slow link.
        """
        place = {**params, "limit": str(PAGE_ROWS)}
        for _ in range(PAGE_ATTEMPTS - 1):
            try:
                return await self._read_page_once(table, place)
            except errors.TableUnavailable as exc:
                self._log_unread_once(table, exc)
                await asyncio.sleep(PAGE_PAUSE_S)
        return await self._read_page_once(table, place)

    async def _read_page_once(
        self, table: str, place: dict[str, str]
    ) -> tuple[_WireRows, HttpReply]:
        found = await self._read_range(table, place, PAGE_START_S)
        if table in self._unread_tables:
            self._unread_tables.remove(table)
            LOG.info("Pages of table %s are read again.", table)
        return found

    def _log_unread_once(self, table: str, exc: errors.TableUnavailable) -> None:
        """Log the first failure to read a table's pages since the last page was read.

        Callers repeat a failed read until it succeeds, and each read tries a page
        several times.
        """
        if table not in self._unread_tables:
            self._unread_tables.add(table)
            LOG.info("Retrying a page of table %s: %s", table, exc)

    async def follow(
        self, *, table: str, after: int, wait_s: float, max_bytes: int | None = None
    ) -> Feed:
        """Return the changes of a table after a version."""
        params = {
            "table": table,
            "after": str(after),
            "wait_ms": str(round(wait_s * 1000)),
        }
        reply = await self._get("/api/rows-feed", params, wait_s, max_bytes)
        if reply.status == GONE:
            raise HistoryExpired(table)
        page = self._page(reply, "rows-feed")
        changes = tuple(
            TableChange(
                key=f"{each.table or table}/{each.key}",
                row=None if each.deleted else _row(each),
            )
            for each in page.rows
        )
        # The table's newest version is not reached by a page that was cut short.
        is_cut = page.truncated and page.rows
        return Feed(
            changes=changes,
            version=page.rows[-1].schema_ver if is_cut else page.schema_ver,
            size=len(reply.body),
            read_s=reply.read_s,
        )

    async def commit(self, txn: Transaction) -> CommitReply:
        """Commit a transaction if all its conditions hold."""
        violation = self.limits.violation(txn)
        if violation:
            raise errors.TableRejected(violation)
        wire = _WireTransaction(
            expect_rev=tuple(
                _WireCheck(**_wire_key(each.key), schema_ver=each.version)
                for each in txn.checks
            ),
            writes=tuple(
                _WirePut(**_wire_key(each.key), value=_encode_value(each.value))
                for each in txn.puts
            ),
            remove=tuple(_WireName(**_wire_key(key)) for key in txn.deletes),
        )
        body = codec.encode(wire)
        transfer_s = len(body) / self.carries_bytes_s
        reply = await self._send(
            "POST", "/api/rows-tx", body=body, wait_s=WRITE_EXTRA_S + transfer_s
        )
        if reply.status == CONDITION_FAILED:
            current = {f"{r.table}/{r.key}": r for r in _decode(reply, "rows-tx").rows}
            conflicting = [
                each.key
                for each in txn.checks
                if _version(current.get(each.key)) != each.version
            ]
            return CommitReply(committed=False, conflicts=tuple(conflicting))
        if reply.status in INVALID_STATUSES:
            text = reply.body[:200].decode(errors="replace")
            raise errors.TableRejected(f"rows-tx: status {reply.status}: {text}")
        page = self._page(reply, "rows-tx")
        return CommitReply(committed=True, version=page.schema_ver)

    async def _read_range(
        self, table: str, params: dict[str, str], wait_s: float = 0.0
    ) -> tuple[_WireRows, HttpReply]:
        place = {"table": table, "part": _part(table), **params}
        reply = await self._get("/api/rows-get", place, wait_s)
        return self._page(reply, "rows-get"), reply

    async def _get(
        self,
        path: str,
        params: dict[str, str],
        wait_s: float,
        max_bytes: int | None = None,
    ) -> HttpReply:
        return await self._send(
            "GET",
            path,
            params=params,
            wait_s=wait_s,
            stall_s=STALL_TIMEOUT_S,
            max_bytes=max_bytes,
        )

    async def _send(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        params: dict[str, str] | None = None,
        wait_s: float = 0.0,
        stall_s: float | None = None,
        max_bytes: int | None = None,
    ) -> HttpReply:
        sent_at = self.clock.now()
        try:
            reply = await self.http.call(
                method,
                f"http://{self.address}{path}",
                body=body,
                params=params,
                timeout_s=self.answer_timeout.limit_s() + wait_s,
                stall_s=stall_s,
                max_bytes=max_bytes or MAX_PAGE_BYTES,
            )
        except ResponseTooLarge as exc:
            if max_bytes is None:
                raise errors.TableUnavailable(str(exc)) from exc
            raise FeedTooLarge(str(exc)) from exc
        except NoAnswer as exc:
            self.answer_timeout.missed()
            raise errors.TableUnavailable(str(exc)) from exc
        if not wait_s:
            self.answer_timeout.answered(self.clock.now() - sent_at - reply.read_s)
        return reply

    def _page(self, reply: HttpReply, place: str) -> _WireRows:
        if reply.status in REJECTED_STATUSES:
            raise errors.TableRefused(f"{place}: status {reply.status}")
        if reply.status != OK:
            text = reply.body[:200].decode(errors="replace")
            raise errors.TableUnavailable(f"{place}: status {reply.status}: {text}")
        return _decode(reply, place)


def _decode(reply: HttpReply, place: str) -> _WireRows:
    try:
        return msgspec.json.decode(reply.body, type=_WireRows)
    except codec.UNDECODABLE as exc:
        raise errors.TableUnavailable(f"{place}: {exc}") from exc


def _split(key: str) -> tuple[str, str]:
    table, _, name = key.partition("/")
    return table, name


def _part(table: str) -> str:
    if table in FOREIGN_TABLES:
        return ""
    return table if table in DEDICATED_PART_TABLES else SHARED_PART


def _wire_key(key: str) -> dict[str, str]:
    table, name = _split(key)
    return {"table": table, "part": _part(table), "key": name}


def _version(row: _WireRow | None) -> int:
    return 0 if row is None or row.deleted else row.schema_ver


def _encode_value(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _row(wire: _WireRow) -> Row:
    return Row(
        key=f"{wire.table}/{wire.key}",
        version=wire.schema_ver,
        value=_decode_value(wire.value),
    )


def _decode_value(value: str) -> str:
    """Return a row's text; empty if it cannot be decoded.

    The reader of the row then rejects it as malformed and reports its place; one bad
    row must not hide all others.
    """
    try:
        return base64.b64decode(value).decode()
    except ValueError:
        # Neither base64 nor UTF-8, or not even ASCII.
        return ""
