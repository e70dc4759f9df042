"""Serves a table in memory over HTTP, in the protocol of the platform's store.

It can fall silent around a write of the owner's row: before the write is carried out,
after it, or with the write carried out while no call is answered. Hosts that have an
address of their own can be turned away while others are served.
"""

import asyncio
import base64
import contextlib
import enum
import json
from collections.abc import Awaitable, Callable
from typing import Any, Final
from urllib.parse import parse_qsl

import attrs

from cranberrycleat import codec
from cranberrycleat.asgi import Answer, read_body, send_answer
from cranberrycleat.http_server import HttpServer
from cranberrycleat.lease import OwnerRow
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.table import Check, Put, Row, Transaction
from cranberrycleat.workflow.node import OWNER_KEY

NO_ANSWER_S: Final = 60.0
"""Longer than any caller waits."""
FEED_POLL_S: Final = 0.005
REFUSED: Final = 503
WRITE_PATH: Final = "/api/rows-tx"
WORKERS_TABLE: Final = "servers"
Responder = Callable[[str, Any, dict[str, str]], Awaitable[tuple[int, Any]]]


class OwnerWrite(enum.Enum):
    """The kinds of write of the owner's row."""

    TAKEOVER = "takeover"
    RENEWAL = "renewal"
    RELEASE = "release"


class Silence(enum.Enum):
    """When a write is carried out that the store does not answer."""

    BEFORE = "never"
    DURING = "late"
    AFTER = "at once"


@attrs.frozen(kw_only=True)
class PlannedSilence:
    """One silence of the store, which begins with a write of the owner's row.

    Attributes:
        write: The kind of write.
        carried_out: When that write is carried out.
        seconds: How long no call is answered.
    """

    write: OwnerWrite
    carried_out: Silence
    seconds: float


class Absence(enum.Enum):
    """What the store does with the calls of a host that it turns away."""

    SILENT = "silent"
    LOSES_ANSWERS = "loses answers"
    """Writes are carried out; nothing is answered."""
    REFUSES = "refuses"
    RESETS = "resets"


@attrs.define(kw_only=True, eq=False)
class StoreServer:
    """The store of a soak.

    Attributes:
        table: The rows.
        planned: Silences that are still to come, in order.
        on_silence: Called when one begins.
        silent_until: The end of the last one, on the event loop's clock.
    """

    table: MemoryFeedTable = attrs.field(factory=MemoryFeedTable)
    planned: list[PlannedSilence] = attrs.field(factory=list)
    on_silence: Callable[[PlannedSilence], None] = lambda silence: None
    silent_until: float = float("-inf")
    _server: HttpServer = attrs.field(init=False)
    _killed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self._server = HttpServer(app=self, host="127.0.0.1", port=0)

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._server.port

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def kill(self) -> None:
        """Stop, and give up the calls that get no answer."""
        self._killed.set()
        await self._server.kill()

    @property
    def answers(self) -> bool:
        """Whether calls are answered now."""
        return asyncio.get_running_loop().time() >= self.silent_until

    def put(self, key: str, value: object) -> None:
        """Write a row as the operator or a worker does."""
        self.table.apply(Transaction(puts=(Put(key=key, value=json.dumps(value)),)))

    def drop(self, key: str) -> None:
        """Remove a row as the platform does."""
        self.table.apply(Transaction(deletes=(key,)))

    def owner_row(self) -> OwnerRow | None:
        """Return the owner's row."""
        row = self.table.rows.get(OWNER_KEY)
        return None if row is None else codec.decode(row.value, OwnerRow)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request, unless the store is silent."""
        await self.serve(scope, receive, send, self.respond)

    async def serve(
        self, scope: Any, receive: Any, send: Any, respond: Responder
    ) -> None:
        """Answer one request with what `respond` returns for it."""
        body = await read_body(receive) or b""
        sent = json.loads(body) if body else {}
        args = dict(parse_qsl(scope["query_string"].decode()))
        try:
            status, message = await respond(scope["path"], sent, args)
        except asyncio.CancelledError:
            if self._killed.is_set():
                return
            raise
        data = json.dumps(message).encode()
        await send_answer(send, Answer(message=data, status=status))

    async def respond(
        self, path: str, sent: Any, args: dict[str, str]
    ) -> tuple[int, Any]:
        """Return the status and the body of an answer, unless the store is silent."""
        if self.answers:
            return await self._answer(path, sent, args)
        return await self.leave_unanswered()

    async def leave_unanswered(self) -> tuple[int, Any]:
        """Wait until the caller has given up; return what is answered then."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NO_ANSWER_S):
                await self._killed.wait()
        return 503, {}

    async def _answer(
        self, path: str, sent: Any, args: dict[str, str]
    ) -> tuple[int, Any]:
        match path:
            case "/api/rows-tx":
                return await self._transact(_transaction(sent))
            case "/api/rows-get":
                return 200, self._range(args)
            case "/api/rows-feed":
                return await self._feed(args)
            case "/api/machines":
                return 200, {"machines": []}
        return 404, {}

    async def _transact(self, txn: Transaction) -> tuple[int, Any]:
        silence = self._silence_of(txn)
        if silence is not None:
            self.planned.remove(silence)
            self.on_silence(silence)
            loop = asyncio.get_running_loop()
            self.silent_until = loop.time() + silence.seconds
            match silence.carried_out:
                case Silence.DURING:
                    loop.call_later(silence.seconds / 2, self.table.apply, txn)
                case Silence.AFTER:
                    self.table.apply(txn)
            return await self.leave_unanswered()
        reply = self.table.apply(txn)
        if not reply.committed:
            keys = [check.key for check in txn.checks]
            found = [self.table.rows[key] for key in keys if key in self.table.rows]
            return 412, {"rows": [_wire_row(row) for row in found]}
        return 200, {"schema_ver": reply.version, "now_ms": 1}

    def _silence_of(self, txn: Transaction) -> PlannedSilence | None:
        """Return the silence that a write begins, if it is the next one planned."""
        written = [put.value for put in txn.puts if put.key == OWNER_KEY]
        if not written or not self.planned:
            return None
        row = codec.decode(written[0], OwnerRow)
        kind = OwnerWrite.TAKEOVER if row.sequence == 0 else OwnerWrite.RENEWAL
        if row.released:
            kind = OwnerWrite.RELEASE
        return self.planned[0] if self.planned[0].write is kind else None

    def _range(self, args: dict[str, str]) -> Any:
        table, low, high = args["table"], args.get("from", ""), args.get("to")
        limit = int(args.get("limit", "500"))
        found = [
            row
            for key, row in sorted(self.table.rows.items())
            if key.startswith(f"{table}/")
            and key[len(table) + 1 :] >= low
            and (not high or key[len(table) + 1 :] < high)
        ]
        return {
            "rows": [_wire_row(row) for row in found[:limit]],
            "truncated": len(found) > limit,
            "schema_ver": self.table.revision,
        }

    async def _feed(self, args: dict[str, str]) -> tuple[int, Any]:
        loop = asyncio.get_running_loop()
        end = loop.time() + int(args.get("wait_ms", "0")) / 1000
        while True:
            # The table counts its waits, which on a busy machine last longer than the
            # callers' time limits.
            feed = await self.table.follow(
                table=args["table"], after=int(args["after"]), wait_s=0.0
            )
            if feed.changes or loop.time() >= end:
                break
            await asyncio.sleep(FEED_POLL_S)
        if not self.answers:
            return await self.leave_unanswered()
        rows = [
            (
                _wire_row(each.row)
                if each.row is not None
                else {**_place(each.key), "deleted": True}
            )
            for each in feed.changes
        ]
        return 200, {"rows": rows, "schema_ver": feed.version}


@attrs.define(kw_only=True, eq=False)
class HostAccess:
    """One host's access to the store, at an address of its own.

    Attributes:
        store: The store.
        absence: How the store turns the host away; None: it serves it.
        hidden_tables: What the store does with the host's reads of some tables, while
            it serves it otherwise.
        list_reads: When its reads of the list of workers were answered, on the event
            loop's clock.
    """

    store: StoreServer
    absence: Absence | None = None
    hidden_tables: dict[str, Absence] = attrs.field(factory=dict)
    list_reads: list[float] = attrs.field(factory=list)
    _server: "_ResettableServer" = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._server = _ResettableServer(app=self, host="127.0.0.1", port=0)

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._server.port

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def kill(self) -> None:
        """Stop; the store is killed first, which gives up the unanswered calls."""
        await self._server.kill()

    def turn_away(self, absence: Absence) -> None:
        """Turn the host away, including the calls under way."""
        self.absence = absence
        if absence is Absence.RESETS:
            self._server.reset_connections()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request, unless the host is turned away."""
        await self.store.serve(scope, receive, send, self._respond)

    async def _respond(
        self, path: str, sent: Any, args: dict[str, str]
    ) -> tuple[int, Any]:
        absence = self.absence or self.hidden_tables.get(args.get("table", ""))
        is_lost = self.absence is Absence.LOSES_ANSWERS and path == WRITE_PATH
        if absence is None or is_lost:
            answer = await self.store.respond(path, sent, args)
            absence = self.absence or self.hidden_tables.get(args.get("table", ""))
            if absence is None:
                if args.get("table") == WORKERS_TABLE:
                    self.list_reads.append(asyncio.get_running_loop().time())
                return answer
        if absence is Absence.REFUSES:
            return REFUSED, {}
        if absence is Absence.RESETS:
            self._server.reset_connections()
        return await self.store.leave_unanswered()


class _ResettableServer(HttpServer):
    """A server that can reset its connections and go on listening."""

    def reset_connections(self) -> None:
        """Reset every open connection."""
        if self._server is not None:
            for conn in list(self._server.server_state.connections):
                conn.transport.abort()


def _transaction(sent: Any) -> Transaction:
    return Transaction(
        checks=tuple(
            Check(key=_key(each), version=each["schema_ver"])
            for each in sent["expect_rev"]
        ),
        puts=tuple(
            Put(key=_key(each), value=base64.b64decode(each["value"]).decode())
            for each in sent["writes"]
        ),
        deletes=tuple(_key(each) for each in sent["remove"]),
    )


def _key(wire: Any) -> str:
    return f"{wire['table']}/{wire['key']}"


def _place(key: str) -> dict[str, Any]:
    table, _, name = key.partition("/")
    return {"table": table, "key": name}


def _wire_row(row: Row) -> dict[str, Any]:
    value = base64.b64encode(row.value.encode()).decode()
    return {**_place(row.key), "value": value, "schema_ver": row.version}
