"""A fault soak over connections: random jobs and faults, judged by the workers.

    python -m tests.connection_soak --seed 1 --runs 10 --seconds 12

Several hosts, each with a client of its own, compete for the ownership of a cell whose
workers are called over HTTP and hold a limited number of connections. Hosts are cut off
and lose power, so that their connections stay open at the workers; workers reset
starts, lose answers, answer slowly and restart; the table is down. At the end every
fault is removed. Then each accepted job must be completed within a time limit, no
worker may have broken a rule or reset a connection beyond its limit, and no worker may
hold more connections than the owners so far may have left there.

The faults are drawn before a run, so that a seed repeats them. It uses real time, so
that a seed does not repeat every interleaving.
"""

import argparse
import asyncio
import contextlib
import random
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

import attrs

from cranberrycleat import errors, logs
from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.standins.fleet import SimulatedWork
from cranberrycleat.workflow.access import Granted
from cranberrycleat.workflow.job_frontend import RequestStatus
from cranberrycleat.workflow.order_slots import MAX_ORDERS
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.spec import StepSpec, WorkflowSpec
from cranberrycleat.workflow.state import JobState
from tests.cell import job, queue, step
from tests.http_cell import MAX_OPEN, HostTable, HostWorkers, HttpCell, http_cell
from tests.http_workers import HttpWorker
from tests.soak_record import Record

HOSTS: Final = 3
CALLERS: Final = 2
PROCESSORS: Final = 8000
WORKER_LEASE_S: Final = 1.5
OPEN_PER_OWNER: Final = MAX_ORDERS + 1
"""Connections of one owner to one worker: those for orders, and the one for syncs."""
MAX_OWNER_CHANGES: Final = MAX_OPEN // OPEN_PER_OWNER - 1
"""Faults of one run that end an ownership: the connections of all these owners may
stay open, and must leave room for those of the last one."""
SMALL_LIMIT_SHARE: Final = 0.5
"""Share of runs in which workers hold just what the owners drawn need."""
COMPLETION_LIMIT_S: Final = 25.0
"""How long accepted jobs may take once every fault is removed: several leases."""
QUEUE: Final = queue(max_attempts=8, objective_s=60.0)
TASK_S: Final = (0.05, 0.2, 0.6)
ANSWER_DELAYS_S: Final = (0.05, 0.2, 0.7)
"""The longest exceeds the time limit of orders."""
ORDER_PATHS: Final = frozenset({"/api/run-start", "/api/run-stop"})


@attrs.frozen(kw_only=True)
class PlannedFault:
    """A fault that is played in a run.

    Attributes:
        kind: The name of the method of `Soak` that plays it.
        at_s: When it begins.
        seconds: How long it lasts, or how long a host stays without power.
        worker: The number of the worker concerned.
        resets: Whether connections are reset at the end of a cut.
        delay_s: How long a slow worker takes to answer.
    """

    kind: str
    at_s: float
    seconds: float
    worker: int
    resets: bool
    delay_s: float

    def __str__(self) -> str:
        return (
            f"{self.kind} at {self.at_s:.2f} for {self.seconds:.2f}, w{self.worker}, "
            f"resets {self.resets}, delay {self.delay_s}"
        )


@attrs.frozen(kw_only=True)
class Plan:
    """What is drawn before a run.

    Attributes:
        workers: Number of workers.
        max_open: How many connections each of them holds.
        faults: The faults, by time.
    """

    workers: int
    max_open: int
    faults: tuple[PlannedFault, ...]


ENDED_OWNERSHIPS: Final = {
    "cut_host": 1,
    "cut_then_power_off": 2,
    "power_off": 1,
    "power_off_all": 1,
    "table_down": 1,
    "handover": 1,
}
"""How many ownerships each kind of fault may end."""
KINDS: Final = (
    *ENDED_OWNERSHIPS,
    "cut_then_power_off",
    "cut_worker",
    "cut_all_workers",
    "reset_starts",
    "lose_answers",
    "slow_worker",
    "restart_worker",
)


def draw_plan(rng: random.Random, seconds: float) -> Plan:
    """Draw a run's workers and faults."""
    workers = rng.randint(3, 5)
    changes, at_s, faults = 0, rng.uniform(0.2, 0.8), []
    while at_s < seconds:
        kind = rng.choice(KINDS)
        ended = ENDED_OWNERSHIPS.get(kind, 0)
        if changes + ended <= MAX_OWNER_CHANGES:
            changes += ended
            faults.append(
                PlannedFault(
                    kind=kind,
                    at_s=at_s,
                    seconds=rng.uniform(0.2, 2.5),
                    worker=rng.randrange(workers),
                    resets=rng.random() < 0.5,
                    delay_s=rng.choice(ANSWER_DELAYS_S),
                )
            )
        # Faults in series overlap, since most last longer than these pauses.
        at_s += rng.choice((0.1, rng.uniform(0.2, 1.6)))
    small = rng.random() < SMALL_LIMIT_SHARE
    needed = (changes + 1) * OPEN_PER_OWNER
    return Plan(
        workers=workers,
        max_open=needed if small else MAX_OPEN,
        faults=tuple(faults),
    )


def draw_spec(rng: random.Random) -> WorkflowSpec:
    """Draw a job: tasks, a wide step, or a gang."""
    kind = rng.choice(("tasks", "tasks", "wide", "gang"))
    if kind == "wide":
        return job(step(rng.randint(16, 40), processors=100))
    if kind == "gang":
        return job(step(rng.randint(2, 5), gang=True, checkpoints=True))
    steps = [
        step(
            rng.randint(1, 4),
            processors=rng.choice((500, 1000)),
            after=(number - 1,) if number else (),
        )
        for number in range(rng.randint(1, 2))
    ]
    return job(*steps)


@attrs.define(kw_only=True, eq=False)
class Host:
    """A host between two losses of power.

    Attributes:
        name: Its name, which names its number of starts as well.
        client: Its connections to workers.
        table: Its access to the table.
        owner: Its newest owner; it need not hold the lease.
        task: Competes for the ownership.
    """

    name: str
    client: HostWorkers
    table: HostTable
    owner: Owner | None = None
    task: "asyncio.Task[None] | None" = None

    @property
    def owns(self) -> bool:
        """Whether it holds the ownership."""
        owner = self.owner
        return owner is not None and owner.ready.is_set() and owner.lease.is_valid()


@attrs.define(kw_only=True, eq=False)
class Soak:
    """One run.

    Attributes:
        seed: The random seed.
        env: The workers, the table, and the connections.
        plan: The faults to be played.
        record: What happened, to trace findings.
        hosts: The hosts, by number.
        owners: Number of owners so far.
        submitted: Every job, by id.
        accepted: The jobs that a caller was told are accepted.
        problems: Unexpected exceptions, in human-readable form.
        most_open: The most connections that a worker held at the end.
    """

    seed: int
    env: HttpCell
    plan: Plan
    record: Record
    hosts: dict[int, Host] = attrs.field(factory=dict)
    owners: int = 0
    submitted: dict[str, WorkflowSpec] = attrs.field(factory=dict)
    accepted: set[str] = attrs.field(factory=set)
    problems: list[str] = attrs.field(factory=list)
    most_open: int = 0
    _starts_of_hosts: int = 0
    _restarting: set[str] = attrs.field(factory=set)

    async def run(self, seconds: float) -> list[str]:
        """Play jobs and faults for a time; return the findings."""
        self._configure_fleet()
        for number in range(HOSTS):
            self._start_host(number)
        activities = [
            asyncio.create_task(self._submit_jobs(random.Random(f"{self.seed} {each}")))
            for each in range(CALLERS)
        ]
        activities += [
            asyncio.create_task(self._play(fault)) for fault in self.plan.faults
        ]
        await asyncio.sleep(seconds)
        for task in activities:
            task.cancel()
        for exc in await asyncio.gather(*activities, return_exceptions=True):
            if isinstance(exc, Exception):
                self._add_problem(exc)
        await self._end_faults()
        await self._wait_until_finished()
        findings = self._findings()
        for host in self.hosts.values():
            await self._stop_host(host)
        return findings

    def _add_problem(self, exc: Exception) -> None:
        self.problems.append(repr(exc))
        self.record.add_exception(exc)

    # --- jobs -------------------------------------------------------------------

    def _step_of(self, task: str) -> StepSpec | None:
        parts = task.split(".")
        spec = self.submitted.get(parts[0])
        return None if spec is None else spec.steps[int(parts[2])]

    def _configure_fleet(self) -> None:
        def needs(task: str) -> Amounts:
            found = self._step_of(task)
            return NOTHING if found is None else found.needs

        def gang(name: str) -> bool:
            found = self._step_of(name)
            return found is not None and found.gang

        def work(task: str, attempt: int) -> SimulatedWork:
            rng = random.Random(f"{task}#{attempt}")
            return SimulatedWork(seconds=rng.choice(TASK_S))

        fleet = self.env.cell.fleet
        fleet.needs, fleet.gang, fleet.work = needs, gang, work
        fleet.on_event = self.record.add_worker_event

    async def _submit_jobs(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            job_id = f"{rng.getrandbits(64):016x}"
            spec = self.submitted[job_id] = draw_spec(rng)
            frontend = self.env.cell.job_frontend(self._current_owner)
            answer = await frontend.submit(
                QUEUE, job_id, spec, limit_s=1.0, access=Granted(workspace="")
            )
            if answer.status is RequestStatus.DONE:
                self.accepted.add(job_id)

    # --- hosts --------------------------------------------------------------------

    def _start_host(self, number: int) -> None:
        self._starts_of_hosts += 1
        host = self.hosts[number] = Host(
            name=f"h{number}-{self._starts_of_hosts}",
            client=self.env.add_client(),
            table=HostTable(table=self.env.cell.table),
        )
        host.task = asyncio.create_task(self._compete(host))

    async def _compete(self, host: Host) -> None:
        incarnation = 0
        while True:
            incarnation += 1
            owner = host.owner = self.env.cell.make_owner(
                f"{host.name}-{incarnation}", table=host.table, client=host.client
            )
            won = False
            while not won:
                with contextlib.suppress(errors.TableUnavailable):
                    won = await owner.lease.acquire()
                await asyncio.sleep(0.05)
            self.owners += 1
            await owner.run()

    async def _stop_host(self, host: Host) -> None:
        assert host.task is not None
        host.task.cancel()
        for exc in await asyncio.gather(host.task, return_exceptions=True):
            if isinstance(exc, Exception):
                self._add_problem(exc)

    def _owning_host(self) -> Host | None:
        for host in self.hosts.values():
            if host.owns:
                return host
        return None

    async def _await_owning_host(self) -> Host:
        while (host := self._owning_host()) is None:
            await asyncio.sleep(0.05)
        return host

    def _current_owner(self) -> Owner | None:
        host = self._owning_host()
        return None if host is None else host.owner

    # --- faults -------------------------------------------------------------------

    async def _play(self, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at_s)
        play: Callable[[PlannedFault], Awaitable[None]] = getattr(
            self, f"_{fault.kind}"
        )
        host = self._owning_host()
        self.record.add_fault(f"{fault}, owner {host.name if host else 'none'}")
        await play(fault)
        self.record.add_fault(f"{fault} is over")

    def _process(self, fault: PlannedFault) -> HttpWorker:
        return self.env.workers[f"w{fault.worker}"]

    async def _cut_worker(self, fault: PlannedFault) -> None:
        await self._cut_workers(fault, [self._process(fault).name])

    async def _cut_all_workers(self, fault: PlannedFault) -> None:
        await self._cut_workers(fault, list(self.env.workers))

    async def _cut_workers(self, fault: PlannedFault, workers: list[str]) -> None:
        """Cut the owner off from workers for a time."""
        host = await self._await_owning_host()
        for name in workers:
            host.client.cut(name)
        await asyncio.sleep(fault.seconds)
        await self._heal(host, workers, fault.resets)

    async def _heal(self, host: Host, workers: list[str], resets: bool) -> None:
        for name in workers:
            if resets:
                entry = self.env.cell.fleet.workers[name].entry
                await host.client.heal_with_reset(entry)
            else:
                await host.client.heal(name)

    async def _cut_host(self, fault: PlannedFault) -> None:
        """Cut the owner off from everything for a time; another host takes over."""
        host = await self._cut_owner()
        await asyncio.sleep(fault.seconds)
        host.table.cut_off = False
        await self._heal(host, list(self.env.workers), fault.resets)

    async def _cut_owner(self) -> Host:
        host = await self._await_owning_host()
        host.table.cut_off = True
        for name in self.env.workers:
            host.client.cut(name)
        return host

    async def _cut_then_power_off(self, fault: PlannedFault) -> None:
        """Cut the owner off; when another owns, all hosts lose power."""
        cut = await self._cut_owner()
        while await self._await_owning_host() is cut:
            await asyncio.sleep(0.05)
        # The next owner has sent its first orders by then.
        await asyncio.sleep(0.3)
        await self._power_off_all(fault)

    async def _power_off(self, fault: PlannedFault) -> None:
        host = await self._await_owning_host()
        number = next(n for n, each in self.hosts.items() if each is host)
        await self._power_off_hosts([number], fault.seconds)

    async def _power_off_all(self, fault: PlannedFault) -> None:
        await self._await_owning_host()
        await self._power_off_hosts(list(self.hosts), fault.seconds)

    async def _power_off_hosts(self, numbers: list[int], seconds: float) -> None:
        """Cut the power of hosts; nothing is closed. They start again after a time."""
        stopped = {number: self.hosts[number] for number in numbers}
        for host in stopped.values():
            host.client.has_power = False
        for host in stopped.values():
            await self._stop_host(host)
        await asyncio.sleep(seconds / 2)
        for number, host in stopped.items():
            if self.hosts[number] is host:
                self._start_host(number)

    async def _handover(self, fault: PlannedFault) -> None:
        owner = (await self._await_owning_host()).owner
        assert owner is not None
        await owner.hand_over()

    async def _table_down(self, fault: PlannedFault) -> None:
        faults = self.env.cell.table.faults
        faults.down = True
        await asyncio.sleep(fault.seconds / 2)
        faults.down = False

    async def _reset_starts(self, fault: PlannedFault) -> None:
        process = self._process(fault)
        process.reset_paths = {"/api/run-start"}
        await asyncio.sleep(fault.seconds)
        process.reset_paths = set()

    async def _lose_answers(self, fault: PlannedFault) -> None:
        process = self._process(fault)
        process.lost_answers = set(ORDER_PATHS)
        await asyncio.sleep(fault.seconds)
        process.lost_answers = set()

    async def _slow_worker(self, fault: PlannedFault) -> None:
        process = self._process(fault)
        process.answer_delay_s = fault.delay_s
        await asyncio.sleep(fault.seconds)
        process.answer_delay_s = 0.0

    async def _restart_worker(self, fault: PlannedFault) -> None:
        """Kill a worker's process; its next incarnation has the same address."""
        process = self._process(fault)
        if process.name in self._restarting:
            return
        self._restarting.add(process.name)
        await process.kill()
        after = self.env.cell.fleet.restart(process.name)
        self.env.cell.entries[process.name] = after.entry
        await asyncio.sleep(fault.seconds / 4)
        await self._start_worker(process)

    async def _start_worker(self, process: HttpWorker) -> None:
        await process.start()
        self._restarting.discard(process.name)
        self.env.cell.list_worker(process.name)

    async def _end_faults(self) -> None:
        """Remove every fault; what lost power is started again, and stays so."""
        self.record.add_fault("all faults are over")
        self.env.cell.table.faults.down = False
        for process in self.env.workers.values():
            process.reset_paths, process.lost_answers = set(), set()
            process.answer_delay_s = 0.0
            if process.name in self._restarting:
                await self._start_worker(process)
        for number, host in list(self.hosts.items()):
            host.table.cut_off = False
            await self._heal(host, sorted(host.client.cut_off), resets=False)
            assert host.task is not None
            if not host.client.has_power or host.task.done():
                await self._stop_host(host)
                self._start_host(number)

    # --- the verdict --------------------------------------------------------------

    def _unfinished_jobs(self) -> list[str]:
        owner = self._current_owner()
        if owner is None:
            return ["no owner"]
        reported = owner.cluster_state.reported
        return [
            f"{job_id} is {reported.get(job_id)} {COMPLETION_LIMIT_S:.0f} s after the "
            "last fault"
            for job_id in sorted(self.accepted)
            if reported.get(job_id) is not JobState.COMPLETED
        ]

    async def _wait_until_finished(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + COMPLETION_LIMIT_S
        while self._unfinished_jobs() and loop.time() < end:
            await asyncio.sleep(0.1)

    def resets(self) -> int:
        """Return how many connections workers reset because of their limit."""
        return sum(each.resets for each in self.env.workers.values())

    def _findings(self) -> list[str]:
        fleet = self.env.cell.fleet
        fleet.advance_all()
        allowed = self.owners * OPEN_PER_OWNER
        connections = []
        for name, each in self.env.workers.items():
            if each.resets:
                connections.append(f"{name} reset {each.resets} connections")
            held = each.open_connections
            self.most_open = max(self.most_open, held)
            if held > allowed:
                connections.append(
                    f"{name} holds {held} connections of {self.owners} owners, "
                    f"{allowed} allowed"
                )
        return [
            *self.problems,
            *fleet.faults,
            *fleet.late_copies,
            *self._unfinished_jobs(),
            *connections,
        ]


async def run_seed(seed: int, seconds: float, record_in: Path | None) -> list[str]:
    """Run one seed; return its findings.

    Args:
        seed: The random seed.
        seconds: How long jobs and faults are played.
        record_in: Directory for the record of a run with findings; None: no record.
    """
    plan = draw_plan(random.Random(seed), seconds)
    loop = asyncio.get_running_loop()
    async with http_cell(
        workers=plan.workers,
        processors=PROCESSORS,
        max_open=plan.max_open,
        born_ms=1,
        worker_lease_s=WORKER_LEASE_S,
    ) as env:
        env.cell.fleet.keeps_identity = True
        soak = Soak(seed=seed, env=env, plan=plan, record=Record(clock=env.cell.clock))
        logs.set_observer(soak.record.add_event)
        began = loop.time()
        try:
            found = await soak.run(seconds)
        finally:
            logs.set_observer(None)
        if found and record_in is not None:
            soak.record.write(record_in / f"connections-{seed}.txt", found)
        print(
            f"seed {seed}: {plan.workers} workers of {plan.max_open} connections, "
            f"{len(plan.faults)} faults, {soak.owners} owners, "
            f"{len(soak.accepted)} of {len(soak.submitted)} jobs accepted, "
            f"{len(env.cell.fleet.starts)} starts, {soak.most_open} open at most, "
            f"{soak.resets()} reset, {loop.time() - began:.1f} s, "
            f"{len(found)} findings",
            flush=True,
        )
        return found


def main() -> int:
    """Run the seeds and print every finding; return how many runs had any."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--record", type=Path, default=Path("soak-record"))
    cfg = parser.parse_args()
    bad = 0
    for seed in range(cfg.seed, cfg.seed + cfg.runs):
        found = asyncio.run(run_seed(seed, cfg.seconds, cfg.record))
        for each in found:
            print(f"  {each}", flush=True)
        bad += bool(found)
    return bad


if __name__ == "__main__":
    sys.exit(main())
