"""Plays losses of workers, changes of owner and absences of the store, in series.

    python -m tests.loss_soak --seed 1 --runs 10 --seconds 20
        [--drains] [--cpu-share 0.5]

The hosts are processes that compete to own; the store and the workers run in this one.
Faults are drawn in series from a few kinds each, and overlap. The store turns all hosts
away, or some of them, the owner first at times: it is silent, loses answers, refuses
or resets. The owner is killed, terminated, paused or fenced. Workers fall, alone,
several at once or one after the other, and another life begins, under the same identity
or a new one; they are cut off and run on; their entries lapse while the store is away;
they drain and leave. A part of the attempts ends `failed`, and a few jobs have a task
that crashes its workers.

Callers ask all hosts for the states of jobs. No job may be shown as `failed` unless a
task has failed as often as allowed or crashes its workers, by the workers' own record
(see `tests.loss_judge`).

No task may begin on a worker later than 2 s after the store accepted its announcement
that it leaves (see `StandinFleet.leaving_since`), unless the host that sent the order
had been paused. With `--drains`, many more workers leave, several at a time; their
entries lapse and are back; hosts can't read the list of workers while all else is
answered; and another writer leaves odd entries there. With `--cpu-share`, each host
runs for that part of each tenth of a second only.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import random
import shutil
import signal
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any, Final

import attrs

from cranberrycleat.http_client import HttpClient, NoAnswer
from cranberrycleat.standins.fleet import WorkerEvent
from cranberrycleat.table import Put, Transaction
from cranberrycleat.workflow.links import FENCES_PER_EPOCH
from cranberrycleat.workflow.ports import StartOrder, WorkerEntry
from tests.cell import entry
from tests.http_workers import HttpWorker, at
from tests.loss_judge import MEMORY_MB, Fall, JudgedFleet, LossJudge, PlannedJob
from tests.ownership_soak import CALLER_HOST, MAX_PRINTED, START_LIMIT_S, HostProcess
from tests.store_server import Absence, HostAccess, StoreServer

HOSTS: Final = (3, 5)
WORKERS: Final = (8, 14)
RACKS: Final = 4
PORTS: Final = (15_000, 32_000)
"""Below those that the system gives to connections."""
MAX_ATTEMPTS: Final = (2, 3, 4)
FAILED_SHARE: Final = 0.15
CRASHING_SHARE: Final = 0.04
TASK_S: Final = (0.1, 4.0)
SPREAD_GANG_SHARE: Final = 0.15
"""Share of gangs with each member on another worker, that most losses hit."""
FALL_INTERVAL_S: Final = (0.3, 1.2)
SUBMIT_INTERVAL_S: Final = (0.1, 0.4)
ATTEMPTS: Final = 4
RETRY_AFTER_S: Final = (0.1, 0.5)
ASKERS_PER_HOST: Final = 2
ASK_INTERVAL_S: Final = (0.03, 0.15)
ANSWER_LIMIT_S: Final = 3.0
END_LIMIT_S: Final = 40.0
"""How long accepted jobs may take to end after all faults: several leases of 10 s."""
ENTRY_LAPSE_S: Final = (1.0, 2.5)
"""How long the entry of a worker that has fallen silent stays."""
ENTRY_BACK_S: Final = (0.1, 1.9)
"""Entries that lapsed are back within 2 s, by the platform's documentation."""
DRAIN_S: Final = 2.0
STAYS_S: Final = (0.0, 2.0)
"""How much longer a draining worker stays than it has to."""
SAME_IDENTITY_SHARE: Final = 0.4
OTHER_ADDRESS_SHARE: Final = 0.2
OWNER_SHARE: Final = 0.75
CONFIG: Final = {
    "version": 1,
    "routes": [
        {
            "name": f"q{number}",
            "host": CALLER_HOST,
            "prefix": f"/q{number}/",
            "service": "pool",
            "priority": 1,
            "max_attempts": number,
            "stretch": 2.0,
            "slo_ms": 1000,
        }
        for number in MAX_ATTEMPTS
    ],
    "services": [{"name": "pool"}],
    "limits": {},
}


def reserved_port() -> int:
    """Return an unused port that the system gives to no other socket.

    A process that is down leaves its port unused for seconds, and connections made
    meanwhile could get it.
    """
    while True:
        port = random.SystemRandom().randint(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


@attrs.frozen(kw_only=True)
class PlannedFault:
    """A fault that is played in a run.

    Attributes:
        kind: The name of the method of `Soak` that plays it.
        number: Its place in the run, which names what it draws itself.
        at_s: When it begins.
        seconds: How long it lasts.
    """

    kind: str
    number: int
    at_s: float
    seconds: float


KINDS: Final = (
    "store_away",
    "store_away",
    "store_turns_away",
    "store_turns_away",
    "kill_host",
    "kill_host",
    "terminate_host",
    "pause_host",
    "fence_owner",
    "workers_fall",
    "workers_fall",
    "workers_fall_in_turn",
    "workers_fall_in_turn",
    "cut_workers",
    "cut_workers",
    "drain_worker",
)
KINDS_PER_SERIES: Final = 4
DRAIN_KINDS: Final = (
    "drain_workers",
    "drain_workers",
    "drain_and_lapse",
    "hide_list",
    "write_odd_entry",
)
"""Beside the others, with `--drains`."""
DRAIN_INTERVAL_S: Final = (0.3, 2.0)
CONTACT_S: Final = 3.0
"""The time bounds of the platform's rules do not hold for a host that was paused in
this time before."""
STORED_AFTER_S: Final = 0.5
"""How long after it has read the list an owner may take to store what it says."""
CPU_PERIOD_S: Final = 0.1
NESTED: Final = "[" * 30_000 + "]" * 30_000
ODD_VALUES: Final = (
    NESTED,
    '{"service": "pool", "x": ' + NESTED + "}",
    '{"service": "pool", "addr": "127.0.0.1:1", "state": "ready", "zone": "dc", '
    '"capacity": {"cpu": 4000, "mem_mb": 4000}, "born": ' + "9" * 400 + "}",
    '{"service": "pool", "addr": "127.0.0.1:99999", "state": "ready", "zone": "dc", '
    '"capacity": {"cpu": 1e308}}',
    "not JSON",
)


def draw_faults(rng: random.Random, seconds: float) -> list[PlannedFault]:
    """Draw a run's faults: series of a few kinds each, with pauses between them."""
    faults: list[PlannedFault] = []
    at_s = rng.uniform(0.5, 2.0)
    while at_s < seconds:
        kinds = rng.sample(KINDS, KINDS_PER_SERIES)
        for _ in range(rng.randint(3, 9)):
            faults.append(
                PlannedFault(
                    kind=rng.choice(kinds),
                    number=len(faults),
                    at_s=at_s,
                    seconds=rng.choice([rng.uniform(0.2, 2.0), rng.uniform(2.0, 6.0)]),
                )
            )
            # Most of them last longer than these pauses, so that they overlap.
            at_s += rng.uniform(0.05, 1.0)
        at_s += rng.uniform(0.2, 3.0)
    return [fault for fault in faults if fault.at_s < seconds]


def draw_drains(rng: random.Random, seconds: float) -> list[PlannedFault]:
    """Draw the faults that `--drains` adds to those of a run."""
    faults: list[PlannedFault] = []
    at_s = rng.uniform(*DRAIN_INTERVAL_S)
    while at_s < seconds:
        faults.append(
            PlannedFault(
                kind=rng.choice(DRAIN_KINDS),
                number=1000 + len(faults),
                at_s=at_s,
                seconds=rng.choice([rng.uniform(0.2, 2.0), rng.uniform(2.0, 5.0)]),
            )
        )
        at_s += rng.uniform(*DRAIN_INTERVAL_S)
    return faults


def draw_job(rng: random.Random) -> PlannedJob:
    """Draw a job: a task, some tasks, or a gang."""
    kind = rng.choice(("task", "task", "tasks", "gang", "gang"))
    count = {"task": 1, "tasks": rng.randint(2, 4), "gang": rng.randint(2, 6)}[kind]
    seconds = rng.choice([rng.uniform(*TASK_S), rng.uniform(0.1, 1.0)])
    processors, most_per_worker = rng.choice((300, 500, 1000)), 0
    if rng.random() < SPREAD_GANG_SHARE:
        kind, count, seconds = "gang", rng.randint(4, 7), rng.uniform(2.0, 5.0)
        processors, most_per_worker = 500, 1
    max_attempts = rng.choice(MAX_ATTEMPTS)
    crashing = rng.randrange(count) if rng.random() < CRASHING_SHARE else None
    return PlannedJob(
        job_id=f"{rng.getrandbits(64):016x}",
        queue=f"q{max_attempts}",
        max_attempts=max_attempts,
        count=count,
        processors=processors,
        most_per_worker=most_per_worker,
        gang=kind == "gang",
        seconds=seconds,
        failed_share=FAILED_SHARE,
        crashing=crashing,
    )


@attrs.define(kw_only=True, eq=False)
class Machine:
    """A machine of the workers, with one life of its worker after the other.

    Attributes:
        base: What the identities of its lives begin with.
        process: Its process.
        entry: The entry of its present life.
        lives: Number of lives so far.
        is_up: Whether that life's process runs.
        is_draining: Whether it drains.
        is_cut: Whether it is cut off from the hosts.
    """

    base: str
    process: HttpWorker
    entry: WorkerEntry
    lives: int = 1
    is_up: bool = True
    is_draining: bool = False
    is_cut: bool = False

    @property
    def name(self) -> str:
        """The identity of its present life."""
        return self.entry.worker


@attrs.define(kw_only=True, eq=False)
class Soak:
    """One run.

    Attributes:
        seed: The seed.
        folder: Where the hosts' settings and logs are.
        faults: The faults to play.
        reports_births: Whether workers tell when their lives began; otherwise each life
            has an identity of its own.
        record: What was played and seen, with seconds from the start.
        cpu_share: For which part of the time each host runs.
        losses: The number of workers lost in each way.
        problems: Unexpected exceptions, in human-readable form.
    """

    seed: int
    folder: Path
    faults: list[PlannedFault]
    reports_births: bool
    cpu_share: float = 1.0
    store: StoreServer = attrs.field(factory=StoreServer)
    fleet: JudgedFleet = attrs.field(factory=JudgedFleet)
    http: HttpClient = attrs.field(factory=HttpClient)
    judge: LossJudge = attrs.field(init=False)
    hosts: list[HostProcess] = attrs.field(factory=list)
    access: dict[str, HostAccess] = attrs.field(factory=dict)
    machines: list[Machine] = attrs.field(factory=list)
    record: list[str] = attrs.field(factory=list)
    losses: "collections.Counter[str]" = attrs.field(factory=collections.Counter)
    problems: list[str] = attrs.field(factory=list)
    began: float = 0.0
    _rng: random.Random = attrs.field(init=False)
    _played: "list[asyncio.Task[None]]" = attrs.field(factory=list)
    _submissions: "list[asyncio.Task[None]]" = attrs.field(factory=list)
    _running: "set[asyncio.Task[None]]" = attrs.field(factory=set)
    _felled: set[str] = attrs.field(factory=set)
    _owners: dict[int, str] = attrs.field(factory=dict)
    _resumed_at: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.judge = LossJudge(fleet=self.fleet)
        self.fleet.on_event = self._note_worker_event
        self.fleet.is_out_of_touch = self._was_paused
        # Lives begin anew here, which closes and opens their ports as well.
        self.fleet.restart_delay_s = 3600.0
        self._rng = random.Random(f"{self.seed} lives")

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _add(self, text: str) -> None:
        self.record.append(f"{self._now() - self.began:8.3f} {text}")

    def _spawn(self, activity: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Run an activity until the end of the run; report its exception."""
        task = asyncio.create_task(activity)
        self._running.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task: "asyncio.Task[None]") -> None:
        self._running.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            self.problems.append(repr(exc))

    async def run(self, hosts: int, workers: int, seconds: float) -> list[str]:
        """Play jobs and faults for a time; return the findings."""
        self.began = self._now()
        await self.store.start()
        self.store.put("op/config", CONFIG)
        try:
            for number in range(workers):
                await self._add_machine(number)
            for number in range(hosts):
                await self._add_host(f"h{number}")
            return await self._play_all(seconds)
        finally:
            for task in list(self._running):
                task.cancel()
            await asyncio.gather(*self._running, return_exceptions=True)
            for host in self.hosts:
                host.end()
            for machine in self.machines:
                await machine.process.kill()
            await self.http.close()
            await self.store.kill()
            for access in self.access.values():
                await access.kill()

    async def _add_host(self, name: str) -> None:
        access = self.access[name] = HostAccess(store=self.store)
        await access.start()
        host = HostProcess(
            name=name,
            store_port=access.port,
            folder=self.folder,
            front=reserved_port(),
            ready=reserved_port(),
            peer=reserved_port(),
        )
        self.hosts.append(host)
        host.start()

    async def _play_all(self, seconds: float) -> list[str]:
        unready = await self._until_ready()
        if unready:
            return [f"{unready} is not ready {START_LIMIT_S:.0f} s after its start"]
        self.began = self._now()
        self._spawn(self._note_owners())
        if self.cpu_share < 1:
            for host in self.hosts:
                self._spawn(self._limit_cpu(host))
        submitting = self._spawn(self._submit_jobs(random.Random(f"{self.seed} jobs")))
        for host in self.hosts:
            for number in range(ASKERS_PER_HOST):
                rng = random.Random(f"{self.seed} {host.name} {number}")
                self._spawn(self._ask_for_states(host, rng))
        self._played = [self._spawn(self._play(fault)) for fault in self.faults]
        await asyncio.sleep(seconds)
        for task in (submitting, *self._played):
            task.cancel()
        await asyncio.gather(submitting, *self._played, return_exceptions=True)
        await self._end_faults()
        end = self._now() + END_LIMIT_S
        # A job may be accepted after the others have ended.
        await asyncio.gather(*self._submissions, return_exceptions=True)
        while self.judge.unended() and self._now() < end:
            await asyncio.sleep(0.1)
        self._add(f"{len(self.judge.unended())} jobs have not ended")
        await self._ask_all_hosts()
        return [*self.problems, *self.judge.all_findings()]

    async def _note_owners(self) -> None:
        """Note which host has which epoch."""
        while True:
            row = self.store.owner_row()
            if row is not None:
                self._owners[row.epoch] = row.holder.partition("@")[0]
            await asyncio.sleep(0.02)

    def _was_paused(self, order: StartOrder) -> bool:
        """Return whether the host that sent an order has just been paused."""
        host = self._owners.get(order.fence // FENCES_PER_EPOCH, "")
        resumed_at = self._resumed_at.get(host, float("-inf"))
        return self._now() < resumed_at + CONTACT_S

    async def _limit_cpu(self, host: HostProcess) -> None:
        """Let a host run for a part of each period only."""
        while True:
            await asyncio.sleep(CPU_PERIOD_S * self.cpu_share)
            host.send(signal.SIGSTOP)
            await asyncio.sleep(CPU_PERIOD_S * (1 - self.cpu_share))
            if not host.is_paused:
                host.send(signal.SIGCONT)

    async def _until_ready(self) -> str:
        """Wait until all hosts serve callers; return one that does not."""
        end = self._now() + START_LIMIT_S
        for host in self.hosts:
            url = f"http://127.0.0.1:{host.ready}/api/readyz"
            while True:
                try:
                    if (await self.http.call("GET", url, timeout_s=1.0)).status == 200:
                        break
                except NoAnswer:
                    pass
                if self._now() > end:
                    return host.name
                await asyncio.sleep(0.05)
        return ""

    # --- jobs -------------------------------------------------------------------------

    async def _submit_jobs(self, rng: random.Random) -> None:
        """Submit jobs, without waiting for one another."""
        while True:
            await asyncio.sleep(rng.uniform(*SUBMIT_INTERVAL_S))
            planned = draw_job(rng)
            self.judge.jobs[planned.job_id] = planned
            call = self._spawn(self._submit(planned, random.Random(planned.job_id)))
            self._submissions.append(call)

    async def _submit(self, planned: PlannedJob, rng: random.Random) -> None:
        """Submit a job to one host after the other until one accepts it."""
        step = {
            "count": planned.count,
            "cpu": planned.processors,
            "mem_mb": MEMORY_MB,
            "estimate_ms": round(planned.seconds * 1000),
            "gang": planned.gang,
            "anti_affinity": planned.most_per_worker,
        }
        body = json.dumps({"spec": "program", "steps": [step]}).encode()
        for _ in range(ATTEMPTS):
            running = [each for each in self.hosts if each.is_running]
            host = rng.choice(running or self.hosts)
            reply = await self._call("POST", host, planned, self.http, body)
            said = "no answer" if reply is None else reply[0]
            self._add(f"{_describe(planned)} answered {said} by {host.name}")
            if reply is not None and reply[0] == 200:
                self.judge.record_accepted(planned.job_id)
                return
            await asyncio.sleep(rng.uniform(*RETRY_AFTER_S))

    async def _call(
        self,
        method: str,
        host: HostProcess,
        planned: PlannedJob,
        http: HttpClient,
        body: bytes | None = None,
    ) -> tuple[int, bytes] | None:
        try:
            reply = await http.call(
                method,
                f"http://127.0.0.1:{host.front}/{planned.queue}/{planned.job_id}",
                body=body,
                headers={"Host": CALLER_HOST, "Deadline-Ms": "3000"},
                timeout_s=ANSWER_LIMIT_S,
            )
        except NoAnswer:
            return None
        return reply.status, reply.body

    async def _ask_for_states(self, host: HostProcess, rng: random.Random) -> None:
        """Ask a host for one job's state after the other, on a kept-open connection."""
        http = HttpClient(max_connections=1)
        try:
            while True:
                await asyncio.sleep(rng.uniform(*ASK_INTERVAL_S))
                jobs = list(self.judge.jobs)
                if rng.random() < 0.7:
                    jobs = self.judge.unended() or jobs
                if jobs:
                    await self._ask(host, rng.choice(jobs), http)
        finally:
            await http.close()

    async def _ask(self, host: HostProcess, job_id: str, http: HttpClient) -> None:
        asked_at = self.fleet.clock.now()
        before = self.judge.shown.get(job_id)
        reply = await self._call("GET", host, self.judge.jobs[job_id], http)
        if reply is None:
            return
        status, body = reply
        known = len(self.judge.findings)
        if status == 200:
            state = json.loads(body)["state"]
            self.judge.record_state(job_id, host.name, state)
            if state != before:
                self._add(f"{job_id} is {state} at {host.name}")
        elif status == 410:
            self.judge.record_unknown(job_id, host.name, asked_at)
        for each in self.judge.findings[known:]:
            self._add(f"finding: {each}")

    async def _ask_all_hosts(self) -> None:
        """Ask every host for every job."""
        for host in self.hosts:
            for job_id in self.judge.jobs:
                await self._ask(host, job_id, self.http)

    # --- workers ----------------------------------------------------------------------

    async def _add_machine(self, number: int) -> None:
        base = f"w{number}"
        process = HttpWorker(fleet=self.fleet, name=base, port=reserved_port())
        await process.start()
        born_ms = 1000 + number if self.reports_births else 0
        listed = at(
            entry(base, rack=f"r{number % RACKS}", born_ms=born_ms), process.port
        )
        machine = Machine(base=base, process=process, entry=listed)
        self.machines.append(machine)
        self.fleet.add(listed)
        self._write_entry(machine)

    def _write_entry(self, machine: Machine) -> None:
        """Write the entry of a machine's present life, as the worker does."""
        found = machine.entry
        row: dict[str, object] = {
            "service": found.pool,
            "addr": found.address,
            "zone": found.data_centre,
            "state": "draining" if machine.is_draining else "ready",
            "clock_ms": self.fleet.now_ms(self.fleet.workers[machine.name]),
            "capacity": {
                "cpu": found.capacity.processors,
                "mem_mb": found.capacity.memory_mb,
            },
            "labels": list(found.labels),
        }
        if found.born_ms:
            row["born"] = found.born_ms
        if machine.is_draining:
            row["remaining_ms"] = DRAIN_S * 1000
        self.store.put(f"servers/{machine.name}", row)
        if machine.is_draining:
            self.fleet.record_leaving(found)

    async def _lapse_entry(self, machine: Machine, name: str) -> None:
        """Remove an entry after a time unless its worker runs and is connected."""
        await asyncio.sleep(self._rng.uniform(*ENTRY_LAPSE_S))
        if machine.name != name or not machine.is_up or machine.is_cut:
            self.store.drop(f"servers/{name}")
            self._add(f"the entry of {name} lapses")

    def _is_listed(self, machine: Machine) -> bool:
        return f"servers/{machine.name}" in self.store.table.rows

    def _up_machines(self) -> list[Machine]:
        return [each for each in self.machines if each.is_up and not each.is_draining]

    def _note_worker_event(self, event: WorkerEvent) -> None:
        if event.what != "list":
            task = f" {event.task}#{event.attempt}" if event.task else ""
            self._add(f"{event.worker} {event.what}{task} {event.detail}".rstrip())
        if event.what == "crashes":
            by_task = event.worker not in self._felled
            self.judge.falls.append(
                Fall(worker=event.worker, at=event.at, by_task=by_task)
            )
            self.losses["crashed" if by_task else "fallen"] += 1
            machine = next(m for m in self.machines if m.name == event.worker)
            machine.is_up = False
            self._spawn(self._begin_next_life(machine))

    async def _begin_next_life(self, machine: Machine) -> None:
        """Begin another life of a machine after a while, on the same port or not."""
        before = machine.name
        rng = self._rng
        same_identity = self.reports_births and rng.random() < SAME_IDENTITY_SHARE
        other_address = rng.random() < OTHER_ADDRESS_SHARE
        back_s = rng.choice([rng.uniform(0.1, 1.0), rng.uniform(1.0, 4.0)])
        self._end_life(machine, same_identity=same_identity)
        self._spawn(self._lapse_entry(machine, before))
        await machine.process.kill()
        await asyncio.sleep(back_s)
        if other_address and not same_identity:
            machine.process = HttpWorker(
                fleet=self.fleet, name=machine.name, port=reserved_port()
            )
        machine.process.name = machine.name
        await machine.process.start()
        machine.entry = at(machine.entry, machine.process.port)
        self.fleet.workers[machine.name].entry = machine.entry
        # It registers itself once the store is there.
        while not self._store_serves():
            await asyncio.sleep(0.05)
        machine.is_up = True
        self._write_entry(machine)
        self._add(f"{machine.name} is up at {machine.entry.address}")

    def _end_life(self, machine: Machine, *, same_identity: bool) -> None:
        """Make room for the next life in the fleet; its process does not run yet.

        At once, since the ends that nobody was told of may be made good from now on.
        """
        before = machine.name
        machine.lives += 1
        machine.is_up = machine.is_draining = False
        if same_identity:
            machine.entry = self.fleet.restart(before).entry
        else:
            machine.entry = attrs.evolve(
                machine.entry,
                worker=f"{machine.base}+{machine.lives}",
                born_ms=machine.entry.born_ms and machine.entry.born_ms + 1,
            )
            self.fleet.replace_worker(before, machine.entry)
        self.fleet.workers[machine.name].silent = machine.is_cut

    # --- faults -----------------------------------------------------------------------

    async def _play(self, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at_s)
        row = self.store.owner_row()
        owner = "nobody" if row is None else row.holder.partition("@")[0]
        self._add(f"{fault.kind} for {fault.seconds:.2f}, owner {owner}")
        play: Callable[[PlannedFault, random.Random], Awaitable[None]] = getattr(
            self, f"_{fault.kind}"
        )
        await play(fault, random.Random(f"{self.seed} fault {fault.number}"))

    def _store_serves(self) -> bool:
        """Return whether the store serves any host, and so the workers."""
        return any(each.absence is None for each in self.access.values())

    def _by_owner(self, rng: random.Random) -> list[HostProcess]:
        """Return the hosts, the owner first or in any order."""
        hosts = rng.sample(self.hosts, len(self.hosts))
        row = self.store.owner_row()
        if row is not None and rng.random() < OWNER_SHARE:
            owner = row.holder.partition("@")[0]
            hosts.sort(key=lambda host: host.name != owner)
        return hosts

    async def _store_away(self, fault: PlannedFault, rng: random.Random) -> None:
        """Turn all hosts away; the entries of some workers lapse meanwhile."""
        absence = rng.choice(list(Absence))
        lapsing = rng.choice([0, 0, 1, 2, len(self.machines)])
        await asyncio.gather(
            self._turn_away(self.hosts, absence, fault.seconds),
            self._lapse_entries(fault, rng, lapsing),
        )

    async def _lapse_entries(
        self, fault: PlannedFault, rng: random.Random, count: int
    ) -> None:
        await asyncio.sleep(fault.seconds * rng.uniform(0.3, 0.9))
        lapsed = rng.sample(self.machines, count)
        for machine in lapsed:
            self.store.drop(f"servers/{machine.name}")
            self._add(f"the entry of {machine.name} lapses while the store is away")
        self.losses["lapsed"] += len(lapsed)
        while not self._store_serves():
            await asyncio.sleep(0.05)
        for machine in lapsed:
            self._spawn(self._write_back(machine, rng.uniform(*ENTRY_BACK_S)))

    async def _write_back(self, machine: Machine, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if machine.is_up and not self._is_listed(machine):
            self._write_entry(machine)
            self._add(f"the entry of {machine.name} is back")

    async def _store_turns_away(self, fault: PlannedFault, rng: random.Random) -> None:
        """Turn some hosts away and serve the others."""
        hosts = self._by_owner(rng)[: rng.randint(1, max(1, len(self.hosts) - 1))]
        await self._turn_away(hosts, rng.choice(list(Absence)), fault.seconds)

    async def _turn_away(
        self, hosts: list[HostProcess], absence: Absence, seconds: float
    ) -> None:
        names = " ".join(host.name for host in hosts)
        self._add(f"the store {absence.value} towards {names} for {seconds:.2f}")
        for host in hosts:
            self.access[host.name].turn_away(absence)
        await asyncio.sleep(seconds)
        for host in hosts:
            if self.access[host.name].absence is absence:
                self.access[host.name].absence = None
        self._add(f"the store no longer {absence.value} towards {names}")

    async def _kill_host(self, fault: PlannedFault, rng: random.Random) -> None:
        host = self._by_owner(rng)[0]
        host.mark_unsound()
        host.end()
        await self._bring_back(host, fault)

    async def _terminate_host(self, fault: PlannedFault, rng: random.Random) -> None:
        host = self._by_owner(rng)[0]
        host.mark_unsound()
        host.send(signal.SIGTERM)
        await self._bring_back(host, fault)

    async def _bring_back(self, host: HostProcess, fault: PlannedFault) -> None:
        """Start a host that was killed or terminated, after a while."""
        self._add(f"{host.name} ends ({fault.kind})")
        await asyncio.sleep(fault.seconds)
        if host.sound_since is None and not host.is_paused:
            host.end()
            host.start()
            self._add(f"{host.name} is started")

    async def _pause_host(self, fault: PlannedFault, rng: random.Random) -> None:
        host = self._by_owner(rng)[0]
        if host.is_paused or not host.is_running:
            return
        host.mark_unsound()
        host.is_paused = True
        self._resumed_at[host.name] = float("inf")
        host.send(signal.SIGSTOP)
        self._add(f"{host.name} is paused")
        await asyncio.sleep(fault.seconds)
        self._resume(host)

    def _resume(self, host: HostProcess) -> None:
        host.is_paused = False
        self._resumed_at[host.name] = self._now()
        if host.is_running:
            host.send(signal.SIGCONT)
            host.sound_since = self._now()
        else:
            host.start()
        self._add(f"{host.name} goes on")

    async def _fence_owner(self, fault: PlannedFault, rng: random.Random) -> None:
        """Have a worker refuse what the owner orders in its epoch."""
        row = self.store.owner_row()
        up = self._up_machines()
        if row is None or not up:
            return
        name = rng.choice(up).name
        self._add(f"{name} refuses epoch {row.epoch}")
        self.fleet.workers[name].fence = (row.epoch + 1) * FENCES_PER_EPOCH - 1

    async def _workers_fall(self, fault: PlannedFault, rng: random.Random) -> None:
        """Workers fall, at the same moment or one after the other."""
        up = self._up_machines()
        count = min(len(up), rng.choice((1, 1, 2, 3)))
        gap_s = rng.choice((0.0, rng.uniform(0.1, 1.0)))
        for machine in rng.sample(up, count):
            self._fell(machine)
            await asyncio.sleep(gap_s)

    async def _workers_fall_in_turn(
        self, fault: PlannedFault, rng: random.Random
    ) -> None:
        """One worker after the other falls, while more than half are up."""
        end = self._now() + 3 * fault.seconds
        while self._now() < end:
            up = self._up_machines()
            if len(up) > len(self.machines) / 2:
                self._fell(rng.choice(up))
            await asyncio.sleep(rng.uniform(*FALL_INTERVAL_S))

    def _fell(self, machine: Machine) -> None:
        """End a worker's process, unless it has ended already."""
        if machine.is_up:
            self._felled.add(machine.name)
            self.fleet.crash_and_restart(self.fleet.workers[machine.name])
            self._felled.discard(machine.name)

    async def _cut_workers(self, fault: PlannedFault, rng: random.Random) -> None:
        """Cut workers off from the hosts; some reach the store and some do not."""
        up = [each for each in self._up_machines() if not each.is_cut]
        cut = rng.sample(up, min(len(up), rng.choice((1, 1, 2, 3))))
        for machine in cut:
            machine.is_cut = True
            self.fleet.workers[machine.name].silent = True
            self.losses["cut off"] += 1
            self._add(f"{machine.name} is cut off")
            if rng.random() < 0.5:
                self._spawn(self._lapse_entry(machine, machine.name))
        await asyncio.sleep(fault.seconds * rng.choice((1.0, 2.0)))
        for machine in cut:
            self._reconnect(machine)

    def _reconnect(self, machine: Machine) -> None:
        machine.is_cut = False
        self.fleet.workers[machine.name].silent = False
        self._add(f"{machine.name} is no longer cut off")
        self._spawn(self._write_back(machine, self._rng.uniform(*ENTRY_BACK_S)))

    async def _drain_worker(self, fault: PlannedFault, rng: random.Random) -> None:
        """Drain a worker, which leaves; another joins."""
        up = self._up_machines()
        if not up:
            return
        machine = rng.choice(up)
        machine.is_draining = True
        name = machine.name
        self._write_entry(machine)
        self._add(f"{name} is draining")
        await asyncio.sleep(DRAIN_S + rng.uniform(*STAYS_S))
        if machine.name == name and machine.is_up:
            self._leave(machine)

    async def _drain_workers(self, fault: PlannedFault, rng: random.Random) -> None:
        """Drain several workers at the same moment, while enough others stay."""
        up = self._up_machines()
        count = min(rng.randint(1, 3), len(up) - len(self.machines) // 2)
        drains = [self._drain_worker(fault, rng) for _ in range(count)]
        await asyncio.gather(*drains)

    async def _drain_and_lapse(self, fault: PlannedFault, rng: random.Random) -> None:
        """Drain a worker whose entry lapses, and is back as it was or as it is."""
        up = self._up_machines()
        if len(up) <= len(self.machines) / 2:
            return
        machine = rng.choice(up)
        name, key = machine.name, f"servers/{machine.name}"
        before = self.store.table.rows.get(key)
        machine.is_draining = True
        self._write_entry(machine)
        announced_at = self._now()
        self._add(f"{name} is draining")
        await asyncio.sleep(rng.choice((0.0, 0.05, rng.uniform(0.1, 1.0))))
        was_read = self._was_list_read(announced_at)
        self.store.drop(key)
        self._add(f"the entry of {name} lapses")
        await asyncio.sleep(STORED_AFTER_S + rng.uniform(0.0, 0.5))
        if machine.name == name and machine.is_up:
            if before is not None and was_read:
                put = Put(key=key, value=before.value)
                self.store.table.apply(Transaction(puts=(put,)))
                self._add(f"the entry of {name} is written as it was")
            else:
                self._write_entry(machine)
        await asyncio.sleep(DRAIN_S + rng.uniform(*STAYS_S))
        if machine.name == name and machine.is_up:
            self._leave(machine)

    def _was_list_read(self, since: float) -> bool:
        """Return whether a host has read the list since a time.

        Nobody can know of an announcement that was replaced before.
        """
        return any(
            read_at > since
            for each in self.access.values()
            for read_at in each.list_reads
        )

    async def _hide_list(self, fault: PlannedFault, rng: random.Random) -> None:
        """Leave the reads of the list of workers by some hosts without answer."""
        hosts = self._by_owner(rng)[: rng.randint(1, len(self.hosts))]
        absence = rng.choice((Absence.SILENT, Absence.REFUSES, Absence.RESETS))
        names = " ".join(host.name for host in hosts)
        self._add(f"{names} can't read the list: {absence.value}")
        for host in hosts:
            self.access[host.name].hidden_tables["servers"] = absence
        await asyncio.sleep(fault.seconds)
        for host in hosts:
            self.access[host.name].hidden_tables.clear()
        self._add(f"{names} can read the list")

    async def _write_odd_entry(self, fault: PlannedFault, rng: random.Random) -> None:
        """Have another writer leave an entry that no worker wrote; it stays."""
        put = Put(key=f"servers/odd-{fault.number}", value=rng.choice(ODD_VALUES))
        self.store.table.apply(Transaction(puts=(put,)))
        self._add(f"odd entry: {put.value[:60]}")

    def _leave(self, machine: Machine) -> None:
        """End a draining worker's process and remove its entry."""
        self._add(f"{machine.name} leaves")
        self.store.drop(f"servers/{machine.name}")
        self.judge.departures.append(self.fleet.clock.now())
        self.losses["left"] += 1
        machine.is_up = False
        self._spawn(self._begin_next_life(machine))

    async def _end_faults(self) -> None:
        """Remove every fault; lives that have ended are followed by others."""
        self._add("all faults are over")
        for access in self.access.values():
            access.absence = None
            access.hidden_tables.clear()
        for host in self.hosts:
            if host.is_paused:
                self._resume(host)
            elif host.sound_since is None or not host.is_running:
                host.end()
                host.start()
        for machine in self.machines:
            if machine.is_cut:
                self._reconnect(machine)
            if machine.is_draining and machine.is_up:
                self._leave(machine)
            elif machine.is_up:
                self._spawn(self._write_back(machine, 0.5))


def _describe(planned: PlannedJob) -> str:
    kind = "gang of" if planned.gang else "tasks:"
    crashing = "" if planned.crashing is None else ", crashing"
    return (
        f"{planned.job_id} ({kind} {planned.count}, {planned.seconds:.2f} s, "
        f"max_attempts {planned.max_attempts}{crashing})"
    )


@attrs.frozen(kw_only=True)
class LoggedFigures:
    """What the hosts logged.

    Attributes:
        causes: Number of failed jobs by cause.
        kinds: Number of losses of workers under tasks, by kind.
        most_recorded: The most losses on record for a task or gang.
    """

    causes: "collections.Counter[str]"
    kinds: "collections.Counter[str]"
    most_recorded: int


def read_logs(folder: Path) -> LoggedFigures:
    """Return what the hosts of a run logged."""
    causes: dict[str, str] = {}
    most_recorded = 0
    kinds: collections.Counter[str] = collections.Counter()
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            try:
                found = json.loads(line)
            except json.JSONDecodeError:
                # Not a line of the log, or one that a kill cut short.
                continue
            failure = found.get("failure")
            if found.get("event") == "job.ended" and failure:
                causes[found["job"]] = failure["cause"]
            if found.get("event") == "task.lost_worker":
                kinds[found["kind"]] += 1
                most_recorded = max(most_recorded, found["recorded"])
    return LoggedFigures(
        causes=collections.Counter(causes.values()),
        kinds=kinds,
        most_recorded=most_recorded,
    )


def _counted(counts: "collections.Counter[str]") -> str:
    found = ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
    return found or "none"


async def run_seed(
    seed: int,
    seconds: float,
    record_in: Path | None,
    hosts: int = 0,
    workers: int = 0,
    drains: bool = False,
    cpu_share: float = 1.0,
) -> list[str]:
    """Run one seed; return its findings.

    Args:
        seed: The random seed.
        seconds: How long jobs and faults are played.
        record_in: Directory for the record of a run with findings; None: no record.
        hosts: Number of hosts; 0: as drawn.
        workers: Number of workers; 0: as drawn.
        drains: Whether many workers leave while the list of workers is unreliable.
        cpu_share: For which part of the time each host runs.
    """
    rng = random.Random(seed)
    hosts = hosts or rng.randint(*HOSTS)
    workers = workers or rng.randint(*WORKERS)
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(
            seed=seed,
            folder=Path(folder),
            reports_births=rng.random() < 0.5,
            faults=draw_faults(rng, seconds),
            cpu_share=cpu_share,
        )
        if drains:
            soak.faults += draw_drains(random.Random(f"{seed} drains"), seconds)
        found = await soak.run(hosts, workers, seconds)
        logged = read_logs(Path(folder))
        if found and record_in is not None:
            kept = record_in / f"losses-{seed}"
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            (kept / "record.txt").write_text("\n".join([*found, *soak.record]) + "\n")
    row, judge = soak.store.owner_row(), soak.judge
    crashing = sum(each.crashing is not None for each in judge.jobs.values())
    shown = collections.Counter(judge.shown[job_id] for job_id in judge.accepted)
    print(
        f"seed {seed}: {hosts} hosts, {workers} workers, {len(soak.faults)} faults, "
        f"{0 if row is None else row.epoch - 1} owner changes; "
        f"workers: {_counted(soak.losses)}; "
        f"{len(soak.fleet.leaving_since)} announced leavings; losses under tasks: "
        f"{_counted(logged.kinds)}, at most {logged.most_recorded} under one; "
        f"{len(judge.jobs)} jobs, {crashing} crashing, "
        f"{len(judge.accepted)} accepted: {_counted(shown)}; "
        f"failed by cause: {_counted(logged.causes)}; "
        f"{len(judge.indistinguishable)} like crashing ones; {len(found)} findings",
        flush=True,
    )
    return found


async def _run_until_terminated(cfg: argparse.Namespace, seed: int) -> list[str]:
    """Run one seed; a SIGTERM ends it and the hosts' processes with it."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_seed(
        seed,
        cfg.seconds,
        cfg.record,
        cfg.hosts,
        cfg.workers,
        cfg.drains,
        cfg.cpu_share,
    )


def main() -> int:
    """Run the seeds and print every finding; return how many runs had any."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--hosts", type=int, default=0)
    parser.add_argument("--workers", type=int, default=0)
    parser.add_argument("--drains", action="store_true")
    parser.add_argument("--cpu-share", type=float, default=1.0)
    parser.add_argument("--record", type=Path, default=Path("soak-record"))
    cfg = parser.parse_args()
    bad = 0
    for seed in range(cfg.seed, cfg.seed + cfg.runs):
        found = asyncio.run(_run_until_terminated(cfg, seed))
        for each in found[:MAX_PRINTED]:
            print(f"  {each}", flush=True)
        bad += bool(found)
    return bad


if __name__ == "__main__":
    sys.exit(main())
