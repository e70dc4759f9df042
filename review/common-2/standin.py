"""Stand-ins of the platform, its workers and its callers, for the scripts beside this.

They follow the users' page on the protocol and use the standard library only. The store,
the workers and the machine API run in the process of the script; the nodes are
processes of their own, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
HOST = "nony24.example"
PREFIX = "/lohu930/"


class CouldNotRun(Exception):
    """The case could not be set up."""


def free_ports(count):
    """Return ports of which each was free just now."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in socks]
    for each in socks:
        each.close()
    return ports


class Record:
    """What was sent, answered and run, with seconds since the script began."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")
        self.events = []

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, kind, **fields):
        at = round(self.now(), 3)
        self.events.append((at, kind, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:8.3f} {kind} {text}\n")
        self.file.flush()

    def of(self, kind):
        return [(at, fields) for at, found, fields in self.events if found == kind]


class NoAnswer(Exception):
    """Raised by a handler or a hook: the channel is closed without an answer."""


class Http:
    """A small HTTP/1.1 server; a subclass answers with a status and an object."""

    port = 0

    async def listen(self, port=0):
        self.open = set()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and reset all channels, as when a process is killed."""
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def answer(self, method, path, query, headers, body):
        raise NotImplementedError

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                data = await reader.readexactly(length)
                url = urlsplit(target)
                query = dict(parse_qsl(url.query, keep_blank_values=True))
                body = json.loads(data) if data else {}
                try:
                    status, found = await self.answer(
                        method, url.path, query, headers, body
                    )
                except NoAnswer:
                    break
                out = json.dumps(found).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(out)}\r\n\r\n".encode() + out
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Also when the script ends: nothing waits for this channel.
            pass
        finally:
            self.open.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.transport.abort()


class Store(Http):
    """The platform's metadata store.

    `hook`, if set, is awaited with each call's path and body before it is carried out;
    it may raise `NoAnswer`, or return a coroutine function to await after the call.
    """

    def __init__(self, tx_s=0.004):
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.hook = None
        self.tx_s = tx_s
        self.began = time.monotonic()

    def _now(self):
        now_ms = round((time.monotonic() - self.began) * 1000)
        return {"schema_ver": self.version, "now_ms": now_ms}

    async def put(self, table, key, value, part=""):
        """Write a row as the operator or a worker does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self._apply([(table, part, key, text)], [])

    async def drop(self, table, key, part=""):
        await self._apply([], [(table, part, key)])

    async def _apply(self, writes, removes):
        async with self.changed:
            self.version += 1
            for table, part, key, value in writes:
                self.rows[table, part, key] = (value, self.version)
                self.log.append((self.version, table, part, key, value))
            for place in removes:
                if self.rows.pop(place, None) is not None:
                    self.log.append((self.version, *place, None))
            self.changed.notify_all()

    def read(self, table, key, part="cell"):
        """Return the decoded value of a row, for the script."""
        found = self.rows.get((table, part, key))
        return None if found is None else json.loads(base64.b64decode(found[0]))

    @staticmethod
    def _row(table, part, key, value, version):
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "schema_ver": version,
        }

    async def answer(self, method, path, query, headers, body):
        after = None
        if self.hook is not None:
            after = await self.hook(path, query, body)
        found = await self.carry_out(path, query, body)
        if after is not None:
            await after()
        return found

    async def carry_out(self, path, query, body):
        if path == "/api/rows-tx":
            return await self._transaction(body)
        if path == "/api/rows-get":
            return self._get(query)
        if path == "/api/rows-feed":
            return await self._feed(query)
        if path == "/api/rows-parts":
            parts = sorted({p for t, p, _ in self.rows if t == query["table"]})
            return 200, {"parts": parts, "truncated": False, **self._now()}
        return 404, {}

    async def _transaction(self, body):
        await asyncio.sleep(self.tx_s)
        writes = [
            (each["table"], each.get("part", ""), each["key"], each["value"])
            for each in body.get("writes", [])
        ]
        removes = [
            (each["table"], each.get("part", ""), each["key"])
            for each in body.get("remove", [])
        ]
        checks = [
            (each["table"], each.get("part", ""), each["key"], each["schema_ver"])
            for each in body.get("expect_rev", [])
        ]
        places = [each[:3] for each in (*writes, *removes, *checks)]
        if any(table in ("op", "servers") for table, _, _ in places):
            return 403, {}
        if len(places) > 100 or len({part for _, part, _ in places}) > 1:
            return 400, {"reason": "entries"}
        if any(len(each[3]) * 3 // 4 > 65536 for each in writes):
            return 413, {"reason": "row"}
        for table, part, key, version in checks:
            if self.rows.get((table, part, key), ("", 0))[1] != version:
                current = [
                    self._row(t, p, k, *self.rows[t, p, k])
                    for t, p, k, _ in checks
                    if (t, p, k) in self.rows
                ]
                return 412, {"rows": current, **self._now()}
        await self._apply(writes, removes)
        return 200, self._now()

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("to")
        limit = min(500, int(query.get("limit", "500")))
        keys = sorted(
            k
            for t, p, k in self.rows
            if t == table and p == part and k >= low and (not high or k < high)
        )
        rows = [
            self._row(table, part, k, *self.rows[table, part, k]) for k in keys[:limit]
        ]
        return 200, {"rows": rows, "truncated": len(keys) > limit, **self._now()}

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        limit_s = int(query.get("wait_ms", "0")) / 1000

        def changes():
            found = {}
            for version, t, part, key, value in self.log:
                if t == table and version > after:
                    row = self._row(t, part, key, value or "", version)
                    if value is None:
                        row["deleted"] = True
                    found[part, key] = row
            return sorted(found.values(), key=lambda row: row["schema_ver"])

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s), self.changed:
                while not changes():
                    await self.changed.wait()
        return 200, {"rows": changes(), **self._now()}


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, run, saved):
        self.task, self.run, self.saved = task, run, saved
        self.began = time.monotonic()
        self.stopping = False
        self.done_s = 0.0
        self.advanced = self.began
        self.pace = 100


class Worker(Http):
    """One machine with a worker, whose lives have ids of their own."""

    def __init__(
        self, world, machine, zone, rack, capacity, labels=(), service="baybook"
    ):
        self.world, self.machine, self.zone = world, machine, zone
        self.capacity, self.labels, self.service = capacity, [rack, *labels], service
        self.state = "up"
        self.life = 0
        self.alive = False
        self.draining = None
        self.silent = False
        self.address_port = 0

    async def start(self):
        """Begin a life."""
        self.life += 1
        self.id = f"i-{self.machine}-{self.life}"
        self.fence = 0
        self.until = 0
        self.runs = {}
        self.ended = []
        self.number = 0
        self.over = {}
        self.clock_zero = time.monotonic() - 5.0
        self.lapsed_at = 0.0
        self.changed = asyncio.Condition()
        self.alive = True
        self.state = "up"
        await self.listen(self.address_port)
        self.address_port = self.port
        self.world.record("worker-starts", id=self.id)
        await self.write_entry()
        self.beat = asyncio.create_task(self._beat())

    async def kill(self):
        """End the life without a word; the entry goes after three silent reports."""
        self.alive = False
        self.beat.cancel()
        self.close()
        self.world.record("worker-killed", id=self.id, ran=sorted(self.runs))
        for each in list(self.runs.values()):
            self.world.run_over(self, each, "killed")
        self.runs = {}
        asyncio.get_running_loop().create_task(self._expire(self.id))

    async def _expire(self, identity):
        await asyncio.sleep(4.5)
        await self.world.store.drop("servers", identity)

    async def write_entry(self):
        self.seq = getattr(self, "seq", 0) + 1
        entry = {
            "service": self.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready" if self.draining is None else "draining",
            "cold_left_ms": 0,
            "seq": self.seq,
            "clock_ms": self.clock_ms(),
            "capacity": self.capacity,
            "labels": self.labels,
            "machine": self.machine,
        }
        if self.draining is not None:
            entry["remaining_ms"] = max(
                0, round((self.draining - time.monotonic()) * 1000)
            )
        await self.world.store.put("servers", self.id, entry)

    def clock_ms(self):
        return round((time.monotonic() - self.clock_zero) * 1000)

    async def _beat(self):
        last = 0.0
        while True:
            await asyncio.sleep(0.02)
            if time.monotonic() - last > 1.5:
                last = time.monotonic()
                await self.write_entry()
            if self.clock_ms() > self.until:
                self.lapsed_at = time.monotonic()
                for each in list(self.runs.values()):
                    await self.end(each, "lapsed")
            for each in list(self.runs.values()):
                await self.world.advance(self, each)

    async def end(self, run, how):
        if self.runs.get((run.task, run.run)) is not run:
            return
        del self.runs[run.task, run.run]
        self.over[run.task] = max(self.over.get(run.task, 0), run.run)
        self.number += 1
        saved = run.saved if how in ("stopped", "broken") else ""
        self.ended.append([self.number, run.task, run.run, how, saved])
        self.world.run_over(self, run, how, self.number)
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, method, path, query, headers, body):
        if self.silent:
            await asyncio.sleep(60.0)
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        self.world.calls += 1
        hook = self.world.order_hook
        if hook is not None:
            await hook(self, path, body)
        return await self.carry_out(path, body)

    async def carry_out(self, path, body):
        clock = {"clock_ms": self.clock_ms()}
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {**clock, "reason": "fence"}
        self.fence = token
        if path == "/api/run-start":
            return await self._start(body, clock)
        if path == "/api/run-stop":
            return await self._stop(body, clock)
        if path == "/api/hold":
            return await self._hold(body)
        if path == "/api/pace":
            return self._pace(body, clock)
        return 404, {}

    def _extend(self, until_ms):
        longest = self.clock_ms() + self.world.bounds["hold_max_ms"]
        self.until = max(self.until, min(until_ms, longest))

    async def _start(self, body, clock):
        task, run = body["task"], body["run"]
        if body["until_ms"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self._extend(body["until_ms"])
        if (task, run) in self.runs:
            return 200, clock
        if run <= self.over.get(task, 0):
            return 409, {**clock, "reason": "old"}
        found = Run(task, run, body.get("saved", ""))
        self.runs[task, run] = found
        self.world.started(self, found, body)
        return 200, clock

    async def _stop(self, body, clock):
        task, run = body["task"], body["run"]
        self.over[task] = max(self.over.get(task, 0), run)
        found = self.runs.get((task, run))
        if found is not None and not found.stopping:
            found.stopping = True
            self.world.record("stop", worker=self.id, task=task, run=run)

            async def finish():
                await asyncio.sleep(0.9 * self.world.bounds["stop_ms"] / 1000)
                await self.end(found, "stopped")

            asyncio.get_running_loop().create_task(finish())
        return 200, clock

    def _pace(self, body, clock):
        found = self.runs.get((body["task"], body["run"]))
        if found is None:
            return 409, {**clock, "reason": "old"}
        self.world.record(
            "pace", worker=self.id, task=found.task, percent=body["percent"]
        )

        def apply():
            found.pace = body["percent"]

        delay_s = self.world.bounds["pace_ms"] / 1000
        asyncio.get_running_loop().call_later(delay_s, apply)
        return 200, clock

    async def _hold(self, body):
        if body.get("until_ms"):
            self._extend(body["until_ms"])
        seen = body.get("seen_upto", 0)
        for each in self.ended:
            if each[0] <= seen:
                self.world.noted(self, *each[1:4])
        self.ended = [each for each in self.ended if each[0] > seen]
        wait_s = body.get("wait_ms", 0) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.changed:
                while not self.ended:
                    await self.changed.wait()
        return 200, {
            "clock_ms": self.clock_ms(),
            "running": [
                [
                    each.task,
                    each.run,
                    each.saved,
                    self.world.percent(each),
                    self.world.reading(self, each),
                ]
                for each in self.runs.values()
            ],
            "ended": self.ended[:500],
        }


class Cloud(Http):
    """The machine API."""

    def __init__(self, world):
        self.world = world
        self.done = set()

    async def answer(self, method, path, query, headers, body):
        world = self.world
        if path == "/api/machines":
            return 200, {
                "machines": [
                    {
                        "machine": name,
                        "pool": each.service,
                        "state": each.state,
                        "zone": each.zone,
                        "labels": each.labels,
                        "capacity": each.capacity,
                        **({"id": each.id} if each.alive else {}),
                    }
                    for name, each in world.workers.items()
                ],
            }
        worker = world.workers.get(body.get("machine"))
        if worker is None:
            return 400, {}
        if path == "/api/machine-upkeep":
            place = (body["machine"], body["wave"])
            holder = (headers.get("lease-holder"), headers.get("fencing-token"))
            if place in self.done:
                return 200, {}
            if worker.state != "up" or worker.draining is not None:
                return 409, {"reason": "busy"}
            self.done.add(place)
            world.record(
                "upkeep",
                machine=place[0],
                wave=place[1],
                holder=holder,
                ran=sorted(worker.runs),
            )
            worker.state = "upkeep"
            await worker.kill()

            async def back():
                await asyncio.sleep(world.bounds["upkeep_s"])
                await worker.start()

            asyncio.get_running_loop().create_task(back())
            return 200, {}
        return 400, {}


class World:
    """Store, workers and machine API, and the jobs that the callers sent."""

    bounds = {
        "hold_max_ms": 10000,
        "stop_ms": 200,
        "gang_ms": 3000,
        "save_s": 1,
        "restore_ms": 600,
        "upkeep_s": 2,
        "pace_ms": 100,
    }

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.cloud = Cloud(self)
        self.workers = {}
        self.jobs = {}
        self.gangs = {}
        self.calls = 0
        self.order_hook = None
        self.config = {
            "version": 3,
            "routes": [
                {
                    "name": "q1",
                    "host": HOST,
                    "prefix": PREFIX,
                    "service": "baybook",
                    "priority": 1,
                    "max_attempts": 2,
                    "stretch": 2.2,
                    "slo_ms": 1000,
                }
            ],
            "services": [{"name": "baybook"}],
            "limits": {},
        }

    async def start(self, workers=6, cpu=16000, mem_mb=32768):
        await self.store.listen()
        await self.cloud.listen()
        await self.store.put("op", "config", self.config)
        for number in range(workers):
            name = f"m{number}"
            worker = Worker(
                self,
                name,
                f"z{number % 3 + 1}",
                f"r{number // 8}",
                {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0},
            )
            self.workers[name] = worker
            await worker.start()

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        found = self.jobs.get(job)
        return None if found is None else found["steps"][int(step)]

    def started(self, worker, run, body):
        self.record("start", worker=worker.id, task=run.task, run=run.run)
        step = self.step_of(run.task) or {}
        if run.saved:
            run.done_s = float(run.saved)
            run.advanced += self.bounds["restore_ms"] / 1000
        if step.get("gang"):
            group = (run.task.rpartition(".")[0], run.run)
            self.gangs.setdefault(group, {})[run.task] = (worker, run)

    def run_over(self, worker, run, how, number=0):
        self.record(
            "end", worker=worker.id, task=run.task, run=run.run, how=how, n=number
        )

    def noted(self, worker, task, run, how):
        """Called when an end is taken note of."""
        self.record("taken-note", worker=worker.id, task=task, run=run, how=how)

    def percent(self, run):
        step = self.step_of(run.task) or {}
        if step.get("long_running"):
            return 100 if time.monotonic() - run.began > 0.5 else 0
        work_s = step.get("work_ms", 1000) / 1000
        return min(100, round(100 * run.done_s / work_s))

    def filling(self, worker):
        """Return at what percentages tasks that fill work on a worker, added up."""
        return sum(
            each.pace
            for each in worker.runs.values()
            if (self.step_of(each.task) or {}).get("fills") and not each.stopping
        )

    def reading(self, worker, run):
        """Return the tail of a task that serves, else the processor time in use."""
        step = self.step_of(run.task) or {}
        if not step.get("target_ms"):
            return step.get("cpu", 0) * run.pace // 100
        return round(self.tail_ms(worker))

    def tail_ms(self, worker):
        """Return the tail of the response times of what serves on a worker."""
        return 40 + self.harm_ms_per_percent * self.filling(worker)

    harm_ms_per_percent = 0.0

    async def advance(self, worker, run):
        """Let a run work on; end it when its work is done."""
        step = self.step_of(run.task) or {}
        if step.get("long_running") or run.stopping:
            return
        work_s = step.get("work_ms", 1000) / 1000
        now = time.monotonic()
        members = [(worker, run)]
        if step.get("gang"):
            group = self.gangs[run.task.rpartition(".")[0], run.run]
            members = [
                (w, r) for w, r in group.values() if w.runs.get((r.task, r.run)) is r
            ]
            if len(members) < len(group):
                for w, r in members:
                    await w.end(r, "broken")
                return
            if len(group) < step["count"]:
                run.advanced = max(run.advanced, now)
                if now - run.began > self.bounds["gang_ms"] / 1000:
                    await worker.end(run, "alone")
                return
        if now > run.advanced:
            run.done_s += (now - run.advanced) * run.pace / 100
            run.advanced = now
        if step.get("checkpoint"):
            save_s = self.bounds["save_s"]
            saved_s = int(run.done_s / save_s) * save_s
            if saved_s > float(run.saved or 0):
                run.saved = f"{saved_s:.3f}"
        if run.done_s >= work_s:
            for w, r in members:
                await w.end(r, "done")


SETTINGS = """
node = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
region = "mu-north"
port_range = [{port}, {port}]
advice = "127.0.0.1:{advice}"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_ms = 2000
hold_max_ms = 10000
stop_ms = 200
gang_ms = 3000
spread_factor = 3
save_s = 1
restore_ms = 600
notice_ms = 4500
upkeep_s = 2
status_s = 120
require_fence = false
[platform]
addr = "127.0.0.1:{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 4.0
row_bytes = 65536
across = true
history_s = 20
[cloud]
addr = "127.0.0.1:{cloud}"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
"""


class Node:
    """One host of the system: the process `node` of the deploy file."""

    def __init__(self, world, folder, name, zone):
        self.world, self.name, self.folder = world, name, Path(folder)
        self.front, self.ready, self.peer = free_ports(3)
        self.path = self.folder / f"{name}.toml"
        self.path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                port=self.peer,
                advice=world.store.port,
                front=self.front,
                ready=self.ready,
                store=world.store.port,
                cloud=world.cloud.port,
            )
        )
        self.process = None
        self.log = open(self.folder / f"{name}.log", "ab")

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split(" ")
        words[0] = sys.executable if words[0] == "python3" else words[0]
        env = {
            "PATH": os.environ["PATH"],
            "CRANBERRYCLEAT_NODE_FILE": str(self.path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=env, stdout=self.log, stderr=subprocess.STDOUT
        )
        self.world.record("node-started", node=self.name)

    def send(self, number):
        self.world.record("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        """End the process that this script started, whatever state it is in."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            status, _ = await call("GET", self.ready, "/api/readyz", limit_s=1.0)
        except (OSError, TimeoutError):
            return False
        return status == 200

    async def dump(self):
        try:
            _, found = await call("GET", self.peer, "/v1/dump", limit_s=2.0)
        except (OSError, TimeoutError):
            return {}
        return found


async def call(method, port, path, body=None, limit_s=3.0, host=HOST):
    """Make one HTTP call on a channel of its own; raise if there is no answer."""
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                f"Deadline-Ms: {round(limit_s * 1000)}\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}"
                "\r\n\r\n".encode() + data
            )
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            except asyncio.IncompleteReadError as exc:
                raise ConnectionError("no answer") from exc
            status = int(head.split(" ")[1])
            length = head.lower().partition("content-length: ")[2].split("\r\n")[0]
            text = await reader.readexactly(int(length or "0"))
            return status, json.loads(text) if text else {}
        finally:
            writer.close()


class Caller:
    """A requester: sends jobs, asks for them and cancels them, with its retries."""

    def __init__(self, world, nodes):
        self.world, self.nodes, self.turn = world, nodes, 0

    def _next(self):
        for _ in self.nodes:
            self.turn += 1
            node = self.nodes[self.turn % len(self.nodes)]
            if node.process is not None and node.process.poll() is None:
                return node
        raise CouldNotRun("no node runs")

    async def _once(self, method, path, body, what, limit_s):
        node = self._next()
        try:
            status, found = await call(method, node.front, path, body, limit_s)
        except (OSError, TimeoutError) as exc:
            status, found = 0, {"no answer": repr(exc)}
        self.world.record(what, path=path, node=node.name, status=status, body=found)
        return status, found

    async def submit(self, job_id, steps, spec="work", prefix=PREFIX, tries=5, **more):
        """Submit a job; return the last status (0: no answer)."""
        self.world.jobs[job_id] = {"spec": spec, "steps": steps}
        sent = [{k: v for k, v in each.items() if k != "work_ms"} for each in steps]
        body = {"spec": spec, "steps": sent, **more}
        status = 0
        for _ in range(tries):
            status, _ = await self._once("POST", prefix + job_id, body, "submit", 3.0)
            if status == 200 or status == 404:
                return status
            await asyncio.sleep(0.3)
        return status

    async def state(self, job_id, prefix=PREFIX):
        """Return the status and the state, asked for once."""
        status, found = await self._once("GET", prefix + job_id, None, "asked", 3.0)
        return status, found.get("state", "")

    async def cancel(self, job_id, prefix=PREFIX):
        return await self._once("DELETE", prefix + job_id, None, "cancel", 3.0)


async def until(condition, limit_s, what):
    """Wait until a condition holds; raise `CouldNotRun` if it does not in time."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return found
        await asyncio.sleep(0.1)
    raise CouldNotRun(f"not in time: {what}")


async def _run(case, record, temporary, trouble, nodes):
    try:
        return await case(record, temporary, trouble, nodes)
    finally:
        for node in nodes:
            node.end()
        await asyncio.sleep(0.05)


def main(case, folder):
    """Run a case: a coroutine function of record, world folder and trouble."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        sys.exit(COULD_NOT_RUN)
    record = Record(Path(folder) / "record.txt")
    record("case", folder=Path(folder).name, trouble=trouble)
    nodes = []
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(_run(case, record, temporary, trouble, nodes))
        except CouldNotRun as exc:
            record("could-not-run", why=exc)
            code = COULD_NOT_RUN
        except Exception as exc:
            record("could-not-run", why=repr(exc))
            code = COULD_NOT_RUN
        if os.environ.get("KEEP_LOGS"):
            for node in nodes:
                name = f"{node.name}.log"
                Path(os.environ["KEEP_LOGS"], name).write_bytes(
                    (Path(temporary) / name).read_bytes()
                )
    record("exit", code=code)
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code])
    sys.exit(code)


async def start_nodes(world, folder, nodes, count=3):
    """Start the hosts and wait until all are ready and one of them is the owner."""
    for number in range(count):
        node = Node(world, folder, f"n{number + 1}", f"z{number % 3 + 1}")
        nodes.append(node)
        node.start()
    for node in nodes:
        await until(node.is_ready, 20.0, f"{node.name} ready")
    return await until(lambda: owner_of(nodes), 10.0, "an owner")


async def owner_of(nodes):
    """Return the node that is the owner, if one is."""
    for node in nodes:
        if node.process.poll() is None and (await node.dump()).get("owned") is not None:
            return node
    return None
