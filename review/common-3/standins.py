"""Stand-ins for the platform, its workers and its links, on loopback addresses.

They speak what the users' pages say (PROTOCOL, DEPLOY), need nothing but Python's own
library, and run in the process of the script that uses them. Where a page is silent
they behave like a sound server.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]


class Record:
    """What was sent, answered and run, with the seconds since the script began."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.lines = []
        self.path = Path(path)

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        line = f"{self.now():8.3f}  {text}"
        self.lines.append(line)

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def free_ports(count):
    """Return the first of several ports in a row that are free."""
    while True:
        first = free_port()
        if first + count > 60000:
            continue
        socks = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                socks.append(sock)
                sock.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()


class HttpServer:
    """A small HTTP/1.1 server; `handle` returns a status and a JSON body."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.open = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = b""
                length = int(headers.get("content-length", "0") or 0)
                if length:
                    body = await reader.readexactly(length)
                status, answer = await self.handle(method, target, headers, body)
                text = json.dumps(answer).encode()
                line = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                line += f"Content-Length: {len(text)}\r\n\r\n"
                writer.write(line.encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.open.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    def reset_all(self):
        for writer in list(self.open):
            writer.transport.abort()
        self.open.clear()

    async def stop(self):
        if self.server is not None:
            self.server.close()
        self.reset_all()


class Relay:
    """A link that can be cut as a partition cuts it: nothing passes, nothing is reset.

    Bytes that were sent while it was cut are delivered when it heals, unless their
    sender has reset the connection by then ("Bytes that are held up by a partition are
    lost if their sender resets the channel or loses power"). A connection that is
    opened while it is cut comes to be when it heals, unless its opener has closed it by
    then: none of its bytes was ever under way.
    """

    def __init__(self, target):
        self.target = target
        self.server = None
        self.port = 0
        self.passes = asyncio.Event()
        self.passes.set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def cut(self):
        self.passes.clear()

    def heal(self):
        self.passes.set()

    async def accept(self, reader, writer):
        sock = writer.get_extra_info("socket")
        if not self.passes.is_set():
            await self.passes.wait()
            if is_closed(sock):
                writer.transport.abort()
                return
        host, _, port = self.target.rpartition(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        with contextlib.suppress(asyncio.CancelledError):
            # Cancelled when the script ends.
            await asyncio.gather(
                self.pump(reader, up_writer, sock), self.pump(up_reader, writer, None)
            )

    async def pump(self, reader, writer, sender):
        try:
            while True:
                data = await reader.read(65536)
                if not self.passes.is_set():
                    await self.passes.wait()
                    if sender is not None and is_reset(sender):
                        writer.transport.abort()
                        return
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError):
            writer.transport.abort()
        except asyncio.CancelledError:
            # The script ends.
            writer.transport.abort()


def is_reset(sock):
    """Return whether the peer has reset a connection."""
    import select

    poll = select.poll()
    poll.register(sock.fileno(), select.POLLERR)
    return any(event & select.POLLERR for _, event in poll.poll(0))


def is_closed(sock):
    """Return whether the peer has closed or reset a connection."""
    import select

    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP | select.POLLERR)
    return bool(poll.poll(0))


class Store:
    """The platform's metadata store: rows, transactions, feeds."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Condition()
        self.began = time.monotonic()
        self.http = HttpServer(self.handle)

    def value(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row["value"]).decode()

    async def put(self, table, key, value, part=""):
        """Write a row as the operator or a worker does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.apply([{"table": table, "part": part, "key": key, "value": text}])

    async def remove(self, table, key, part=""):
        await self.apply([], [{"table": table, "part": part, "key": key}])

    async def apply(self, writes, removes=()):
        async with self.changed:
            self.version += 1
            for each in writes:
                row = {
                    "table": each["table"],
                    "part": each.get("part", ""),
                    "key": each["key"],
                    "value": each["value"],
                    "schema_ver": self.version,
                }
                self.rows[(row["table"], row["part"], row["key"])] = row
                self.history.append(row)
            for each in removes:
                name = (each["table"], each.get("part", ""), each["key"])
                if self.rows.pop(name, None) is not None:
                    gone = {
                        "table": name[0],
                        "part": name[1],
                        "key": name[2],
                        "value": "",
                        "schema_ver": self.version,
                        "deleted": True,
                    }
                    self.history.append(gone)
            self.changed.notify_all()

    def answer(self, **more):
        now_ms = round((time.monotonic() - self.began) * 1000)
        return {"schema_ver": self.version, "now_ms": now_ms, **more}

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        url = urlsplit(target)
        args = dict(parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/api/rows-get":
            return 200, self.get(args)
        if url.path == "/api/rows-feed":
            return 200, await self.feed(args)
        if url.path == "/api/rows-tx":
            return await self.transact(json.loads(body))
        return 400, {}

    def get(self, args):
        limit = min(int(args.get("limit", 500)), 500)
        found = [
            row
            for (table, part, key), row in self.rows.items()
            if table == args["table"]
            and part == args.get("part", "")
            and key.encode() >= args.get("from", "").encode()
            and ("to" not in args or key.encode() < args["to"].encode())
        ]
        found.sort(key=lambda row: row["key"].encode())
        return self.answer(rows=found[:limit], truncated=len(found) > limit)

    async def feed(self, args):
        after, table = int(args["after"]), args["table"]
        deadline = time.monotonic() + min(int(args.get("wait_ms", 0)), 30000) / 1000
        while True:
            newest = {}
            for row in self.history:
                if row["table"] == table and row["schema_ver"] > after:
                    newest[(row["part"], row["key"])] = row
            left = deadline - time.monotonic()
            if newest or left <= 0:
                rows = sorted(newest.values(), key=lambda row: row["schema_ver"])
                return self.answer(rows=rows)
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left):
                        await self.changed.wait()

    async def transact(self, txn):
        checks = txn.get("expect_rev") or []
        current = []
        for each in checks:
            name = (each["table"], each.get("part", ""), each["key"])
            row = self.rows.get(name)
            if row is not None:
                current.append(row)
            if (0 if row is None else row["schema_ver"]) != each["schema_ver"]:
                rows = [
                    self.rows[name]
                    for name in (
                        (c["table"], c.get("part", ""), c["key"]) for c in checks
                    )
                    if name in self.rows
                ]
                return 412, self.answer(rows=rows)
        for each in [*(txn.get("writes") or []), *(txn.get("remove") or [])]:
            if each["table"] in ("op", "servers"):
                return 403, self.answer()
        await self.apply(txn.get("writes") or [], txn.get("remove") or [])
        return 200, self.answer()


class Worker:
    """One life of a worker, in the platform's protocol.

    `work` returns how long a run of a task takes in seconds (None: until it is stopped)
    and how it ends. A stop takes `stop_s`.
    """

    def __init__(self, record, store, name, *, machine, zone, service, work, **more):
        self.record = record
        self.store = store
        self.name = name
        self.machine = machine
        self.zone = zone
        self.service = service
        self.work = work
        self.labels = more.get("labels", ["a", "r1"])
        self.capacity = more.get("capacity", {"cpu": 16000, "mem_mb": 32768})
        self.stop_s = more.get("stop_s", 0.15)
        self.hold_max_s = more.get("hold_max_s", 10.0)
        self.on_start = more.get("on_start", lambda worker, task, run: None)
        self.on_stop = more.get("on_stop", lambda worker, task, run: None)
        # The Unix millisecond of its start, where the platform reports births.
        self.born_ms = more.get("born_ms", 0)
        # How many of the next starts are carried out and not answered.
        self.unanswered_starts = 0
        self.born = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.void = {}
        self.noted = []
        self.seq = 0
        self.state = "ready"
        self.alive = False
        self.change = asyncio.Event()
        self.tasks = set()
        self.http = HttpServer(self.handle)

    def clock_ms(self):
        return int((time.monotonic() - self.born) * 1000)

    async def start(self, port=0):
        await self.http.start(port)
        self.alive = True
        await self.write_entry()
        self.spawn(self.tick())
        self.spawn(self.beat())

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def write_entry(self):
        self.seq += 1
        entry = {
            "service": self.service,
            "addr": self.http.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
        }
        if self.born_ms:
            entry["born"] = self.born_ms
        await self.store.put("servers", self.name, entry)

    async def beat(self):
        while self.alive:
            await asyncio.sleep(1.5)
            if self.alive:
                await self.write_entry()

    async def crash(self):
        """End this life at once; its entry goes after three intervals of silence."""
        self.record.add(f"worker {self.name} crashes; ran {sorted(self.running)}")
        self.alive = False
        await self.http.stop()
        for task in list(self.tasks):
            task.cancel()

    async def tick(self):
        while self.alive:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for task, run in list(self.running.items()):
                if run["ends_at"] is not None and now >= run["ends_at"]:
                    self.end(task, run["how"])
            if self.running and self.clock_ms() > self.until_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        self.void[task] = max(self.void.get(task, 0), run["run"])
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.record.add(f"worker {self.name}: {task} run {run['run']} ends {how}")
        self.change.set()

    def percent(self, run):
        if run["ends_at"] is None:
            return 100
        share = (time.monotonic() - run["at"]) / max(0.001, run["takes"])
        return min(99, int(100 * share))

    async def handle(self, method, target, headers, body):
        if not self.alive:
            await asyncio.sleep(3600)
        path = urlsplit(target).path
        req = json.loads(body or b"{}")
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock_ms()}
        if path == "/api/run-start":
            answer = self.start_run(req)
            if self.unanswered_starts > 0:
                self.unanswered_starts -= 1
                self.record.add(f"worker {self.name}: the answer to that start is lost")
                await asyncio.sleep(3600)
            return answer
        if path == "/api/run-stop":
            return self.stop_run(req)
        if path == "/api/hold":
            return await self.hold(req)
        if path == "/api/pace":
            return 200, {"clock_ms": self.clock_ms()}
        return 200, {"clock_ms": self.clock_ms()}

    def is_stale(self, req):
        fence = req.get("fencing_token", 0)
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def extend(self, until_ms):
        longest = self.clock_ms() + int(self.hold_max_s * 1000)
        self.until_ms = max(self.until_ms, min(until_ms, longest))

    def start_run(self, req):
        task, run = req["task"], req["run"]
        if self.is_stale(req):
            self.record.add(
                f"worker {self.name}: start {task} run {run} refused: fence"
            )
            return self.refuse("fence")
        if run <= self.void.get(task, 0):
            self.extend(req["until_ms"])
            return self.refuse("old")
        if req["until_ms"] <= self.clock_ms():
            return self.refuse("late")
        self.extend(req["until_ms"])
        known = self.running.get(task)
        if known is not None:
            if known["run"] == run:
                return 200, {"clock_ms": self.clock_ms()}
            return self.refuse("old")
        takes, how = self.work(task, run, req["spec"])
        now = time.monotonic()
        self.running[task] = {
            "run": run,
            "at": now,
            "takes": takes or 0,
            "ends_at": None if takes is None else now + takes,
            "how": how,
        }
        self.record.add(
            f"worker {self.name}: starts {task} run {run} (fence {req['fencing_token']})"
        )
        self.on_start(self, task, run)
        return 200, {"clock_ms": self.clock_ms()}

    def stop_run(self, req):
        task, run = req["task"], req["run"]
        if self.is_stale(req):
            return self.refuse("fence")
        self.void[task] = max(self.void.get(task, 0), run)
        known = self.running.get(task)
        if known is None or known["run"] > run:
            return self.refuse("old")
        self.record.add(f"worker {self.name}: stop of {task} run {run}")
        self.on_stop(self, task, run)

        async def later():
            await asyncio.sleep(self.stop_s)
            if self.running.get(task) is known:
                self.end(task, "stopped")

        self.spawn(later())
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, req):
        if self.is_stale(req):
            return self.refuse("fence")
        upto = req.get("seen_upto", 0)
        for each in self.ended:
            if each[0] <= upto:
                self.noted.append(each)
                self.record.add(
                    f"worker {self.name}: end of {each[1]} run {each[2]}"
                    f" ({each[3]}) is taken note of"
                )
        self.ended = [each for each in self.ended if each[0] > upto]
        if "until_ms" in req:
            self.extend(req["until_ms"])
        wait_s = min(req.get("wait_ms", 0), 2000) / 1000
        if wait_s and not self.ended:
            self.change.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.change.wait()
        running = [
            [task, run["run"], "", self.percent(run)]
            for task, run in self.running.items()
        ]
        lists = {
            "clock_ms": self.clock_ms(),
            "running": running,
            "ended": self.ended[:500],
        }
        if self.born_ms:
            lists["born"] = self.born_ms
        return 200, lists


class Node:
    """The project's program on one host, started with the deploy file's command."""

    def __init__(self, record, name, zone, *, store, advice, cloud="", bounds=None):
        self.record = record
        self.name = name
        self.zone = zone
        self.store = store
        self.advice = advice
        self.cloud = cloud
        self.bounds = bounds or {}
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.first_port = free_ports(4)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.process = None

    def settings(self):
        bounds = {
            "hold_max_ms": 10000,
            "stop_ms": 200,
            "contact_ms": 3000,
            "ack_ms": 4000,
            "drain_ms": 2000,
            "grace_s": 6,
            "config_ms": 2000,
            "save_s": 1,
            "restore_ms": 600,
            "spread_factor": 3,
            "status_s": 120,
            "lease_ms": 3000,
            **self.bounds,
        }
        lines = [
            f'node = "{self.name}"',
            'ip = "127.0.0.1"',
            f'zone = "{self.zone}"',
            f"port_range = [{self.first_port}, {self.first_port + 3}]",
            f'advice = "{self.advice}"',
            "[listen]",
            f'front = "{self.front}"',
            f'ready = "{self.ready}"',
            "[limits]",
            "cpu_share = 0.537",
            "cores = 2",
            "memory_mb = 300",
            "max_fds = 4100",
            "link_mbps = 1000.0",
            "[bounds]",
            *(f"{key} = {value}" for key, value in bounds.items()),
            "[platform]",
            f'addr = "{self.store}"',
            "row_bytes = 65536",
        ]
        if self.cloud:
            lines += ["[cloud]", f'addr = "{self.cloud}"']
        return "\n".join(lines) + "\n"

    async def start(self):
        path = self.folder / "settings.toml"
        path.write_text(self.settings())
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CRANBERRYCLEAT_NODE_FILE": str(path),
        }
        log = open(self.folder / "log.txt", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "cranberrycleat",
            "node",
            *node_flags(),
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        self.record.add(f"node {self.name} is started")

    def signal(self, number):
        self.process.send_signal(number)
        self.record.add(f"node {self.name} gets {signal.Signals(number).name}")

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def log(self):
        return (self.folder / "log.txt").read_text(errors="replace")


def node_flags():
    """Return the flags of the role `node` in the deploy file."""
    import tomllib

    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    words = deploy["roles"]["node"]["run"].split()
    return words[words.index("node") + 1 :]


async def call(address, method, path, *, host="", body=None, timeout_s=5.0):
    """Send one request on a connection of its own; return status and answer.

    Returns None as the status if there was no complete answer.
    """
    name, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(name, int(port))
            try:
                data = b"" if body is None else json.dumps(body).encode()
                head = f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
                head += "Content-Type: application/json\r\nDeadline-Ms: 3000\r\n"
                head += f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
                writer.write(head.encode() + data)
                answer = await reader.read()
            finally:
                writer.close()
    except (TimeoutError, OSError) as exc:
        return None, repr(exc)
    head, _, text = answer.partition(b"\r\n\r\n")
    if not head:
        return None, "no answer"
    status = int(head.split(b" ")[1])
    try:
        return status, json.loads(text or b"{}")
    except ValueError:
        return status, text.decode(errors="replace")


async def until(condition, limit_s, what):
    """Wait for a condition; the case cannot run if it does not come."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return found
        await asyncio.sleep(0.02)
    raise CannotRun(what)


class CannotRun(Exception):
    """The case could not be set up."""


def owner_of(store, nodes):
    """Return the node that the owner's row names, or None."""
    text = store.value("owner", "cell", "cell")
    if not text:
        return None
    row = json.loads(text)
    if row.get("released"):
        return None
    for node in nodes:
        if f":{node.first_port}#" in row["holder"]:
            return node
    return None


def run_case(play, folder):
    """Run a case's coroutine; exit with 1 if it returns broken rules, else 0 or 2."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = 2
    try:
        broken = asyncio.run(play(record, trouble))
        for each in broken:
            record.add(f"BROKEN: {each}")
        status = 1 if broken else 0
    except CannotRun as exc:
        record.add(f"the case could not run: {exc}")
    finally:
        record.add(f"exit {status}")
        record.write()
    print(
        "\n".join(line for line in record.lines if "BROKEN" in line or "exit" in line)
    )
    sys.exit(status)
