"""Stand-ins for the platform, its workers and its requesters, with the standard library.

They follow PROTOCOL.md and DEPLOY.md. Where the pages are silent they behave like a
sound platform, worker or requester. Everything runs in one asyncio loop of the driver;
the project's nodes are processes of their own (see `nodes`).
"""

import asyncio
import base64
import contextlib
import json
import random
import time
from urllib.parse import parse_qsl

MAX_ENTRIES = 100
MAX_TX_BYTES = 1_000_000
HISTORY_S = 20.0


def now():
    """Return the driver's steady clock in seconds."""
    return time.monotonic()


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = now()

    def add(self, event, **fields):
        """Write one line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now() - self.began:9.3f} {event} {text}\n")

    def close(self):
        """Write what is left."""
        self.file.close()


class HttpServer:
    """A small HTTP/1.1 server; `answer` returns status and body, None: no answer."""

    def __init__(self, host, port=0):
        self.host, self.port = host, port
        self.server = None
        self.open = set()

    async def answer(self, method, path, query, headers, body):
        """Answer one request."""
        raise NotImplementedError

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """IP and port."""
        return f"{self.host}:{self.port}"

    async def kill(self):
        """Stop at once: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.open):
            writer.transport.abort()
        self.open.clear()

    async def _serve(self, reader, writer):
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
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, text = target.partition("?")
                query = _query(text)
                reply = await self.answer(method, path, query, headers, body)
                if reply is None:
                    writer.transport.abort()
                    return
                status, data = reply
                raw = data if isinstance(data, bytes) else json.dumps(data).encode()
                line = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(raw)}\r\n\r\n"
                )
                writer.write(line.encode() + raw)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


def _query(text):
    return dict(parse_qsl(text, keep_blank_values=True))


class Store(HttpServer):
    """The platform's metadata store (PROTOCOL.md), linearizable, without disturbances."""

    def __init__(self, host, port=0, *, row_bytes=65536, tx_s=0.004):
        super().__init__(host, port)
        self.rows = {}
        self.version = 0
        self.history = []
        self.dropped_upto = 0
        self.row_bytes, self.tx_s = row_bytes, tx_s
        self.changed = asyncio.Condition()
        self.part_locks = {}
        self.largest_row = 0
        self.refused_rows = []
        self.on_write = lambda table, key, value: None
        self.on_refused = lambda table, key, size: None

    async def answer(self, method, path, query, headers, body):
        if path == "/api/rows-tx":
            return await self._transaction(json.loads(body))
        if path == "/api/rows-get":
            return self._get(query)
        if path == "/api/rows-feed":
            return await self._feed(query)
        if path == "/api/rows-parts":
            parts = sorted({k[1] for k in self.rows if k[0] == query.get("table", "")})
            return 200, {"parts": parts, "schema_ver": self.version}
        return 404, {}

    async def write(self, table, key, text, part=""):
        """Write a row as the operator or a worker does."""
        await self._apply([(table, part, key, text.encode())], [])

    async def drop(self, table, key, part=""):
        """Remove a row as the platform does."""
        await self._apply([], [(table, part, key)])

    def read(self, table, key, part=""):
        """Return a row's value as text, or None."""
        found = self.rows.get((table, part, key))
        return None if found is None else found[0].decode()

    async def _apply(self, writes, removes):
        self.version += 1
        at = now()
        for table, part, key, value in writes:
            self.rows[(table, part, key)] = (value, self.version)
            self.history.append((self.version, at, (table, part, key), value))
            self.on_write(table, key, value)
        for name in removes:
            if self.rows.pop(name, None) is not None:
                self.history.append((self.version, at, name, None))
        while self.history and self.history[0][1] < at - HISTORY_S:
            self.dropped_upto = self.history.pop(0)[0]
        async with self.changed:
            self.changed.notify_all()
        return self.version

    async def _transaction(self, req):
        checks = req.get("expect_rev", [])
        writes = req.get("writes", [])
        removes = req.get("remove", [])
        if len(checks) + len(writes) + len(removes) > MAX_ENTRIES + len(checks):
            return 400, {"reason": "too many entries"}
        parts = {each.get("part", "") for each in (*checks, *writes, *removes)}
        if len(parts) > 1 and not req.get("across"):
            return 400, {"reason": "several parts"}
        decoded = []
        for each in writes:
            if each["table"] in ("op", "servers"):
                return 403, {"reason": "not the system's"}
            value = base64.b64decode(each.get("value", ""))
            self.largest_row = max(self.largest_row, len(value))
            if len(value) > self.row_bytes:
                self.on_refused(each["table"], each["key"], len(value))
                self.refused_rows.append((now(), each["key"], len(value)))
                return 400, {"reason": f"row of {len(value)} bytes"}
            decoded.append((each["table"], each.get("part", ""), each["key"], value))
        if sum(len(each[3]) for each in decoded) > MAX_TX_BYTES:
            return 400, {"reason": "too large"}
        part = min(parts, default="")
        lock = self.part_locks.setdefault(part, asyncio.Lock())
        async with lock:
            await asyncio.sleep(self.tx_s)
            current = []
            failed = False
            for each in checks:
                name = (each["table"], each.get("part", ""), each["key"])
                value, version = self.rows.get(name, (b"", 0))
                failed = failed or version != each.get("schema_ver", 0)
                if version:
                    current.append(_wire(name, value, version))
            if failed:
                return 412, {"rows": current, "schema_ver": self.version}
            names = [(e["table"], e.get("part", ""), e["key"]) for e in removes]
            version = await self._apply(decoded, names)
        return 200, {"schema_ver": version, "now_ms": round(now() * 1000)}

    def _get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        low, high = query.get("from", ""), query.get("to")
        limit = min(500, int(query.get("limit", 500)))
        keys = sorted(
            k[2]
            for k in self.rows
            if k[0] == table
            and k[1] == part
            and k[2] >= low
            and (high is None or k[2] < high)
        )
        found = [
            _wire((table, part, key), *self.rows[(table, part, key)])
            for key in keys[:limit]
        ]
        return 200, {
            "rows": found,
            "truncated": len(keys) > limit,
            "schema_ver": self.version,
            "now_ms": round(now() * 1000),
        }

    async def _feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", 0))
        until = now() + min(30.0, int(query.get("wait_ms", 0)) / 1000)
        while True:
            if after < self.dropped_upto:
                return 410, {}
            found = []
            for version, _, name, value in self.history:
                if version > after and name[0] == table:
                    if value is None:
                        found.append({**_name(name), "deleted": True})
                    else:
                        found.append(_wire(name, value, version))
            left = until - now()
            if found or left <= 0:
                return 200, {"rows": found, "schema_ver": self.version}
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left):
                        await self.changed.wait()


def _name(name):
    return {"table": name[0], "part": name[1], "key": name[2]}


def _wire(name, value, version):
    text = base64.b64encode(value).decode()
    return {**_name(name), "value": text, "schema_ver": version}


class Run:
    """A running attempt on a worker."""

    def __init__(self, task, run, saved, work_s, worker):
        self.task, self.run, self.saved = task, run, saved
        self.worker = worker
        self.began = now()
        self.work_s = work_s
        self.done_s = 0.0
        self.stopping = False
        self.timer = None


class Worker(HttpServer):
    """One lifetime of a worker. It starts whatever it is told (`admission_check` false).

    The cluster tells how long a task works and whether it fails.
    """

    def __init__(self, cluster, identity, host, port, *, zone, labels, machine):
        super().__init__(host, port)
        self.cluster, self.identity, self.zone = cluster, identity, zone
        self.labels, self.machine = labels, machine
        self.fence = 0
        self.lease_until = 0.0
        self.runs = {}
        self.void = {}
        self.ended = []
        self.last_end = 0
        self.news = asyncio.Condition()
        self.clock_at = now() - random.uniform(100, 500)
        self.gone = False
        self.draining = False
        self.seq = 0

    # --- clock, lease, capacity ---

    def clock_ms(self):
        """Return this worker's own clock."""
        return round((now() - self.clock_at) * 1000)

    def used(self):
        """Return the processor thousandths and megabytes in use."""
        cpu = mem = 0
        for each in self.runs.values():
            step = self.cluster.step_of(each.task)
            if step is not None and not step.get("fills"):
                cpu += step.get("cpu", 0)
                mem += step.get("mem_mb", 0)
        return cpu, mem

    def _renew(self, until_ms):
        if until_ms is None:
            return
        longest = self.clock_ms() + self.cluster.hold_max_ms
        until = min(until_ms, longest) / 1000 + self.clock_at
        self.lease_until = max(self.lease_until, until)

    async def watch(self):
        """End everything when the lease is over."""
        while not self.gone:
            await asyncio.sleep(0.02)
            if self.runs and now() > self.lease_until:
                for each in list(self.runs.values()):
                    await self.end(each, "lapsed")

    # --- calls ---

    async def answer(self, method, path, query, headers, body):
        if self.gone:
            return None
        if path == "/healthz":
            return 200, {}
        expected = headers.get("expect-instance", self.identity)
        if expected != self.identity:
            return 421, {"clock_ms": self.clock_ms()}
        req = json.loads(body)
        if path == "/api/hold":
            return await self._hold(req)
        if path == "/api/run-start":
            return await self._start(req)
        if path == "/api/run-stop":
            return await self._stop(req)
        if path == "/api/pace":
            return 200, {"clock_ms": self.clock_ms()}
        return 404, {}

    def _stale(self, req):
        fence = req.get("fencing_token", 0)
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def _refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    async def _hold(self, req):
        if self._stale(req):
            return self._refuse("fence")
        self._renew(req.get("until_ms"))
        seen = req.get("seen_upto", 0)
        for number, task, run, how, _ in self.ended:
            if number <= seen:
                self.cluster.noted(self, task, run, how)
        self.ended = [each for each in self.ended if each[0] > seen]
        wait_s = min(2000, req.get("wait_ms", 0)) / 1000
        last = self.last_end
        if wait_s and not self.ended:
            async with self.news:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait_s):
                        await self.news.wait_for(lambda: self.last_end > last)
        if self.gone:
            return None
        running = []
        for each in self.runs.values():
            running.append([each.task, each.run, each.saved, self._percent(each)])
        return 200, {
            "clock_ms": self.clock_ms(),
            "running": running,
            "ended": [list(each) for each in self.ended[:500]],
        }

    def _percent(self, run):
        step = self.cluster.step_of(run.task) or {}
        if step.get("long_running"):
            return 100 if now() - run.began > self.cluster.startup_s else 0
        if step.get("gang") and run.timer is None:
            return 0
        done = run.done_s + now() - run.began
        return max(0, min(99, int(100 * done / max(0.001, run.work_s))))

    async def _start(self, req):
        if self._stale(req):
            return self._refuse("fence")
        task, run = req["task"], req["run"]
        self._renew(req["until_ms"])
        known = self.runs.get(task)
        if known is not None and known.run == run:
            return 200, {"clock_ms": self.clock_ms()}
        if run <= self.void.get(task, 0) or known is not None:
            return self._refuse("old")
        if req["until_ms"] <= self.clock_ms():
            return self._refuse("late")
        saved = req.get("saved", "")
        self.cluster.begin(self, task, run, saved, req)
        return 200, {"clock_ms": self.clock_ms()}

    async def _stop(self, req):
        if self._stale(req):
            return self._refuse("fence")
        task, run = req["task"], req["run"]
        known = self.runs.get(task)
        if known is not None and known.run <= run:
            if not known.stopping:
                known.stopping = True
                asyncio.get_running_loop().call_later(
                    0.05, lambda: asyncio.ensure_future(self.end(known, "stopped"))
                )
        self.void[task] = max(run, self.void.get(task, 0))
        return 200, {"clock_ms": self.clock_ms()}

    async def end(self, run, how):
        """End an attempt and list that."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.void[run.task] = max(run.run, self.void.get(run.task, 0))
        saved = self.cluster.save(run, how)
        self.last_end += 1
        self.ended.append((self.last_end, run.task, run.run, how, saved))
        self.cluster.over(self, run, how)
        async with self.news:
            self.news.notify_all()

    async def crash(self):
        """Lose everything at once, as a machine without power."""
        self.gone = True
        runs = list(self.runs.values())
        self.runs.clear()
        for each in runs:
            if each.timer is not None:
                each.timer.cancel()
            self.cluster.over(self, each, "lost")
        await self.kill()

    # --- registration ---

    def entry(self):
        """Return its entry in the list of workers."""
        self.seq += 1
        return {
            "service": self.cluster.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "capacity": self.cluster.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "seq": self.seq,
        }


class Cluster:
    """All workers of one service, and the judge of what runs on them."""

    def __init__(self, record, store, *, service="pool-a", capacity=None, seed=1):
        self.record, self.store, self.service = record, store, service
        self.capacity = capacity or {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
        self.hold_max_ms, self.stop_s, self.startup_s = 10000, 0.2, 0.3
        self.heartbeat_s = 1.5
        self.random = random.Random(seed)
        self.workers = {}
        self.machines = {}
        self.jobs = {}
        self.starts = []
        self.ends = []
        self.running = {}
        self.done = {}
        self.noted_done = set()
        self.faults = []
        self.work_s = lambda task: 1.0
        self.how = lambda task, run: "done"
        self.saved_values = {}
        self._tasks = set()

    # --- workers ---

    async def add_worker(self, host, *, zone, labels, machine, port=0):
        """Start a worker and register it."""
        identity = f"i-{self.random.getrandbits(40):010x}"
        worker = Worker(
            self, identity, host, port, zone=zone, labels=labels, machine=machine
        )
        await worker.start()
        self.workers[identity] = worker
        self.machines[machine] = {"zone": zone, "labels": labels}
        await self.register(worker)
        self.spawn(worker.watch())
        self.spawn(self._beat(worker))
        self.record.add("worker", id=identity, addr=worker.address, machine=machine)
        return worker

    def spawn(self, work):
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def register(self, worker):
        """Write a worker's entry."""
        text = json.dumps(worker.entry())
        await self.store.write("servers", worker.identity, text)

    async def _beat(self, worker):
        while not worker.gone:
            await asyncio.sleep(self.heartbeat_s)
            if not worker.gone:
                await self.register(worker)

    async def crash_worker(self, worker, *, down_s, entry_lapses_s=4.5):
        """Crash a worker; after `down_s` a new lifetime starts at the same address."""
        self.record.add("crash", worker=worker.identity, runs=len(worker.runs))
        await worker.crash()
        del self.workers[worker.identity]
        self.spawn(self._lapse(worker.identity, entry_lapses_s))
        await asyncio.sleep(down_s)
        return await self.add_worker(
            worker.host,
            zone=worker.zone,
            labels=worker.labels,
            machine=worker.machine,
            port=worker.port,
        )

    async def _lapse(self, identity, after_s):
        await asyncio.sleep(after_s)
        await self.store.drop("servers", identity)

    # --- jobs ---

    def know(self, job_id, body):
        """Note what a requester sends."""
        self.jobs[job_id] = body

    def step_of(self, task):
        """Return the specification of a task's step."""
        parts = task.split(".")
        job = self.jobs.get(parts[0])
        if job is None or len(parts) != 4 or int(parts[2]) >= len(job["steps"]):
            return None
        return job["steps"][int(parts[2])]

    def fault(self, rule, text):
        """Note a broken rule."""
        self.faults.append((rule, text))
        self.record.add("BROKEN", rule=rule, what=text)

    # --- what runs ---

    def begin(self, worker, task, run, saved, req):
        """Begin an attempt on a worker."""
        step = self.step_of(task)
        job_id = task.split(".")[0]
        self.record.add("start", task=task, run=run, worker=worker.identity)
        if step is None:
            self.fault("UNASKED", f"{task} was never sent")
            step = {}
        elif req["spec"] != self.jobs[job_id].get("spec", ""):
            self.fault("UNASKED", f"{task} has another spec")
        if saved and saved not in self.saved_values.get(self._saved_key(task), {}):
            self.fault("UNASKED", f"{task} carries a saved value of another task")
        if not step.get("speculative"):
            for other in self.running.get(task, []):
                if not other.worker.gone:
                    self.fault("TWICE", f"{task} runs {run} beside {other.run}")
            if task in self.noted_done:
                self.fault("TWICE", f"{task} starts after its end was taken note of")
        self._check_order(task)
        new = Run(task, run, saved, self.work_s(task), worker)
        new.done_s = self.saved_values.get(self._saved_key(task), {}).get(saved, 0.0)
        worker.runs[task] = new
        self.running.setdefault(task, []).append(new)
        self.starts.append((now(), task, run, worker.identity))
        cpu, mem = worker.used()
        if cpu > self.capacity["cpu"] or mem > self.capacity["mem_mb"]:
            self.fault("LIMIT", f"{worker.identity} has {cpu} and {mem} MB")
        label = step.get("required_label", "")
        if label and label not in worker.labels:
            self.fault("ROUTE", f"{task} on {worker.identity} without {label}")
        limit = step.get("anti_affinity", 0)
        prefix = task.rpartition(".")[0] + "."
        if limit and sum(t.startswith(prefix) for t in worker.runs) > limit:
            self.fault("ROUTE", f"{prefix} more than {limit} on {worker.identity}")
        if step.get("gang"):
            self._begin_gang(task, run, step)
        elif not step.get("long_running"):
            self._set_timer(new, self.how(task, run))

    def _set_timer(self, run, how):
        left = max(0.01, run.work_s - run.done_s)
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(
            left, lambda: asyncio.ensure_future(run.worker.end(run, how))
        )

    def _members(self, task, number, step):
        prefix = task.rpartition(".")[0]
        found = []
        for index in range(step["count"]):
            for each in self.running.get(f"{prefix}.{index}", []):
                if each.run == number:
                    found.append(each)
        return found

    def _begin_gang(self, task, number, step):
        members = self._members(task, number, step)
        if len(members) < step["count"]:
            return
        how = self.how(task, number)
        for each in members:
            each.began = now()
            self._set_timer(each, how)

    def _check_order(self, task):
        job_id, occurrence, number, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None:
            return
        for earlier in job["steps"][int(number)].get("after", []):
            for index in range(job["steps"][earlier]["count"]):
                if f"{job_id}.{occurrence}.{earlier}.{index}" not in self.done:
                    self.fault("ORDER", f"{task} before {earlier}.{index}")
                    return
        if job.get("max_runs"):
            due = job["first_ms"] + int(occurrence) * job["period_ms"]
            early = due - time.time() * 1000
            if early > 250:
                self.fault("ORDER", f"{task} starts {early:.0f} ms early")

    def _saved_key(self, task):
        step = self.step_of(task) or {}
        return task.rpartition(".")[0] if step.get("gang") else task

    def save(self, run, how):
        """Return the saved value of a run that ends, as a checkpointing task writes it."""
        step = self.step_of(run.task) or {}
        if not step.get("checkpoint") or how == "done":
            return ""
        return self.checkpoint(run)

    def checkpoint(self, run):
        """Return a new saved value for the work done so far."""
        done = run.done_s + max(0.0, now() - run.began)
        value = f"{self.random.getrandbits(64):016x}"
        self.saved_values.setdefault(self._saved_key(run.task), {})[value] = done
        run.saved = value
        return value

    async def checkpoints(self, every_s=1.0):
        """Have checkpointing tasks save their progress."""
        while True:
            await asyncio.sleep(every_s)
            for runs in list(self.running.values()):
                for each in runs:
                    step = self.step_of(each.task) or {}
                    if step.get("checkpoint") and not each.stopping:
                        self.checkpoint(each)

    def over(self, worker, run, how):
        """Note the end of an attempt."""
        self.record.add(
            "end", task=run.task, run=run.run, worker=worker.identity, how=how
        )
        self.ends.append((now(), run.task, run.run, how))
        left = [each for each in self.running.get(run.task, []) if each is not run]
        if left:
            self.running[run.task] = left
        else:
            self.running.pop(run.task, None)
        step = self.step_of(run.task) or {}
        if how == "done":
            self.done[run.task] = now()
            if step.get("gang"):
                prefix = run.task.rpartition(".")[0]
                for index in range(step["count"]):
                    self.done[f"{prefix}.{index}"] = now()
        if step.get("gang") and how != "done":
            for each in self._members(run.task, run.run, step):
                asyncio.ensure_future(each.worker.end(each, "broken"))

    def noted(self, worker, task, run, how):
        """Note that an end was taken note of."""
        if how == "done":
            step = self.step_of(task) or {}
            if step.get("gang"):
                prefix = task.rpartition(".")[0]
                for index in range(step["count"]):
                    self.noted_done.add(f"{prefix}.{index}")
            self.noted_done.add(task)

    def free_share(self):
        """Return the share of the service's processors in use."""
        total = len(self.workers) * self.capacity["cpu"]
        return sum(each.used()[0] for each in self.workers.values()) / max(1, total)


class Machines(HttpServer):
    """The platform's machine API (PROTOCOL.md): the list, and upkeep."""

    def __init__(self, cluster, host, port=0, *, upkeep_s=2.0):
        super().__init__(host, port)
        self.cluster, self.upkeep_s = cluster, upkeep_s
        self.states = {}
        self.done = set()
        self.waves = {}

    async def answer(self, method, path, query, headers, body):
        if path == "/api/machines":
            return 200, {"machines": self._list(), "next_token": None}
        if path == "/api/machine-upkeep":
            return self._upkeep(json.loads(body), headers)
        return 404, {}

    def _worker_on(self, machine):
        for worker in self.cluster.workers.values():
            if worker.machine == machine:
                return worker
        return None

    def _list(self):
        found = []
        for machine, place in self.cluster.machines.items():
            worker = self._worker_on(machine)
            state = self.states.get(machine, "up" if worker else "down")
            entry = {
                "machine": machine,
                "pool": self.cluster.service,
                "state": state,
                "zone": place["zone"],
                "labels": place["labels"],
                "capacity": self.cluster.capacity,
            }
            if worker is not None:
                entry["id"] = worker.identity
            found.append(entry)
        return found

    def _upkeep(self, req, headers):
        machine, wave = req["machine"], req["wave"]
        status, reason = self._judge(machine, wave)
        self.cluster.record.add(
            "upkeep",
            machine=machine,
            wave=wave,
            holder=headers.get("lease-holder"),
            fence=headers.get("fencing-token"),
            status=status,
            note=reason,
        )
        return status, ({} if status == 200 else {"reason": reason})

    def _judge(self, machine, wave):
        if machine not in self.cluster.machines:
            return 400, "no such machine"
        if (machine, wave) in self.done:
            return 200, "already done"
        if machine not in self.waves.get(wave, ()):
            return 409, "wave"
        worker = self._worker_on(machine)
        if worker is None or worker.draining or machine in self.states:
            return 409, "busy"
        self.done.add((machine, wave))
        self.states[machine] = "upkeep"
        self.cluster.spawn(self._keep_up(machine, worker))
        return 200, "begins"

    async def _keep_up(self, machine, worker):
        after = asyncio.ensure_future(
            self.cluster.crash_worker(worker, down_s=self.upkeep_s, entry_lapses_s=0.1)
        )
        await after
        del self.states[machine]


class Requesters:
    """Requesters that hand jobs in through the platform's entry and repeat attempts."""

    def __init__(self, record, cluster, fronts, *, host, prefix):
        self.record, self.cluster, self.fronts = record, cluster, fronts
        self.host, self.prefix = host, prefix
        self.random = random.Random(7)
        self.accepted = {}
        self.states = {}

    def new_id(self):
        """Return a new job ID."""
        return f"{self.random.getrandbits(64):016x}"

    async def call(self, method, front, path, body=b"", limit_s=3.0):
        """Send one request on a connection of its own; return status and body."""
        host, _, port = front.rpartition(":")
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    head = (
                        f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\n"
                        f"Deadline-Ms: {round(limit_s * 1000)}\r\n"
                        "Content-Type: application/json\r\nConnection: close\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n"
                    )
                    writer.write(head.encode() + body)
                    await writer.drain()
                    raw = await reader.read(-1)
                finally:
                    writer.close()
        except (OSError, TimeoutError) as exc:
            return 0, repr(exc)
        line, _, rest = raw.partition(b"\r\n\r\n")
        if not line.startswith(b"HTTP/1.1 "):
            return 0, "no answer"
        return int(line.split(b" ")[1]), rest.decode()

    async def submit(self, body, job_id=None, *, attempts=5, pause_s=0.3):
        """Hand a job in; return its ID and the last status."""
        job_id = job_id or self.new_id()
        self.cluster.know(job_id, body)
        raw = json.dumps(body).encode()
        status, text = 0, ""
        for attempt in range(attempts):
            front = self.random.choice(self.fronts())
            status, text = await self.call(
                "POST", front, self.prefix + job_id, raw, limit_s=3.0
            )
            self.record.add(
                "post", job=job_id, attempt=attempt + 1, front=front, status=status
            )
            if 200 <= status < 300:
                self.accepted[job_id] = now()
                break
            if status in (400, 404):
                break
            await asyncio.sleep(pause_s)
        return job_id, status

    async def state(self, job_id):
        """Ask for a job's state; return status and state."""
        front = self.random.choice(self.fronts())
        status, text = await self.call("GET", front, self.prefix + job_id)
        state = ""
        if status == 200:
            state = json.loads(text).get("state", "")
        if self.states.get(job_id) != (status, state):
            self.states[job_id] = (status, state)
            self.record.add("get", job=job_id, status=status, state=state or text[:80])
        return status, state

    async def cancel(self, job_id):
        """Cancel a job; return the status."""
        front = self.random.choice(self.fronts())
        status, _ = await self.call("DELETE", front, self.prefix + job_id, limit_s=4.0)
        self.record.add("delete", job=job_id, status=status)
        return status
