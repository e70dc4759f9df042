"""Plays losses of hosts and silences of the store on real nodes that compete to own.

The hosts are processes; the store and the workers run in this one. In series, the owner
or another host is killed, restarted or paused, all but one at a time, and a worker
refuses orders of the owner's epoch. The store falls silent around takeovers, renewals
and releases, also twice in a row.

While one host is sound, the store answers and workers are idle, no accepted job may
wait for 3 s. Run it with `python -m tests.ownership_soak --seed 1 --runs 10`.
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Final

import attrs

from cranberrycleat.http_client import HttpClient, NoAnswer
from cranberrycleat.standins.fleet import SimulatedWork, StandinFleet
from cranberrycleat.workflow.links import FENCES_PER_EPOCH
from tests.cell import entry
from tests.http_workers import HttpWorker, at
from tests.store_server import OwnerWrite, PlannedSilence, Silence, StoreServer
from tests.test_node import free_port

ROOT: Final = Path(__file__).parent.parent
MAX_WAIT_S: Final = 3.0
"""The platform counts accepted work as lost once nothing of it has run for 3 s."""
SILENCE_S: Final = (0.5, 5.3)
"""The shortest and the longest silence, by the platform's documentation."""
WORKERS: Final = 4
START_LIMIT_S: Final = 30.0
START_UP_S: Final = 2.0
"""How long after its start a process counts as not yet sound."""
END_LIMIT_S: Final = 15.0
SUBMIT_INTERVAL_S: Final = (0.1, 0.3)
MAX_PRINTED: Final = 5
"""How many findings of a seed are printed; the record has all of them."""
CALLER_HOST: Final = "host.example"
SETTINGS: Final = """
node = "{name}"
ip = "127.0.0.1"
zone = "{name}"
port_range = [{peer}, {peer}]
advice = "127.0.0.1:{store}"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
grace_s = 6
config_ms = 2000
hold_max_ms = 10000
stop_ms = 200
spread_factor = 3
save_s = 1
restore_ms = 600
status_s = 120
[platform]
addr = "127.0.0.1:{store}"
row_bytes = 65536
[cloud]
addr = "127.0.0.1:{store}"
"""
CONFIG: Final = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": CALLER_HOST,
            "prefix": "/q/",
            "service": "pool",
            "priority": 1,
            "max_attempts": 2,
            "stretch": 2.0,
            "slo_ms": 1000,
        }
    ],
    "services": [{"name": "pool"}],
    "limits": {},
}
JOB: Final = {
    "spec": "program",
    "steps": [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 50}],
}


@attrs.frozen(kw_only=True)
class PlannedFault:
    """One fault, with the silences of the store that are armed with it.

    Attributes:
        at_s: When it is played, from the start of the run.
        kind: `kill`, `terminate`, `pause` or `fence`.
        back_s: After how long the host is started or resumed.
        silences: What the store does at the next writes of these kinds.
    """

    at_s: float
    kind: str
    back_s: float
    silences: tuple[PlannedSilence, ...]


def draw_plan(rng: random.Random, seconds: float) -> tuple[int, list[PlannedFault]]:
    """Return the number of hosts and the faults of a run."""
    hosts = rng.randint(1, 3)
    kinds = ["kill", "kill", "terminate", "pause", "fence"] if hosts > 1 else ["fence"]
    faults: list[PlannedFault] = []
    at_s = rng.uniform(0.0, 1.0)
    while at_s < seconds:
        # Before the first takeover nothing can be done to an owner.
        kind = rng.choice(kinds) if faults else "none"
        faults.append(
            PlannedFault(
                at_s=at_s if faults else 0.0,
                kind=kind,
                back_s=rng.choice([rng.uniform(0.3, 3.0), rng.uniform(3.0, 12.0)]),
                silences=_draw_silences(rng, kind),
            )
        )
        at_s += rng.uniform(0.5, 10.0)
    return hosts, faults


def _draw_silences(rng: random.Random, kind: str) -> tuple[PlannedSilence, ...]:
    first = {"none": OwnerWrite.TAKEOVER, "terminate": OwnerWrite.RELEASE}.get(
        kind, OwnerWrite.TAKEOVER
    )
    first = rng.choice([first, first, OwnerWrite.RENEWAL])
    writes = [first, rng.choice([OwnerWrite.TAKEOVER, OwnerWrite.RENEWAL])]
    return tuple(
        PlannedSilence(
            write=write,
            carried_out=rng.choice(list(Silence)),
            seconds=round(rng.uniform(*SILENCE_S), 2),
        )
        for write in writes[: rng.randint(1, 2)]
    )


@attrs.define(kw_only=True, eq=False)
class HostProcess:
    """One host of the system: a `node` process, which may be started again.

    Attributes:
        name: Its name.
        store_port: The store's port.
        folder: Where its settings and its log are.
        is_paused: Whether it is stopped by a signal.
        sound_since: From when it is neither down, paused nor draining, on the event
            loop's clock; None while it is.
        sound: Earlier times in which it was sound, with their ends.
    """

    name: str
    store_port: int
    folder: Path
    is_paused: bool = False
    sound_since: float | None = None
    sound: list[tuple[float, float]] = attrs.field(factory=list)
    front: int = attrs.field(factory=free_port)
    ready: int = attrs.field(factory=free_port)
    peer: int = attrs.field(factory=free_port)
    _process: "subprocess.Popen[bytes] | None" = None

    def start(self) -> None:
        """Start its process."""
        self.sound_since = asyncio.get_running_loop().time() + START_UP_S
        path = self.folder / f"{self.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                peer=self.peer,
                front=self.front,
                ready=self.ready,
                store=self.store_port,
            )
        )
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "cranberrycleat", "node", "--log-form", "json"],
                cwd=ROOT,
                env={**os.environ, "CRANBERRYCLEAT_NODE_FILE": str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self) -> bool:
        """Whether its process runs, paused or not."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to its process, if it runs."""
        if self.is_running and self._process is not None:
            self._process.send_signal(number)

    def is_sound(self) -> bool:
        """Return whether it is up, and has been for a while."""
        since = self.sound_since
        return since is not None and asyncio.get_running_loop().time() > since

    def mark_unsound(self) -> None:
        """Record that it stops being sound now."""
        now = asyncio.get_running_loop().time()
        if self.sound_since is not None and self.sound_since < now:
            self.sound.append((self.sound_since, now))
        self.sound_since = None

    def end(self) -> None:
        """Kill its process and wait for its end."""
        if self.is_running and self._process is not None:
            self._process.kill()
            self._process.wait()


@attrs.define(kw_only=True, eq=False)
class Soak:
    """One run.

    Attributes:
        seed: The seed.
        folder: Where the hosts' settings and logs are.
        faults: The faults to play.
        record: What was played and seen, with seconds from the start.
        accepted: When each job was accepted.
        silences: The beginnings and ends of the silences of the store.
        longest_wait_s: How long a job waited at most while the store answered a host.
    """

    seed: int
    folder: Path
    faults: list[PlannedFault]
    store: StoreServer = attrs.field(factory=StoreServer)
    fleet: StandinFleet = attrs.field(factory=StandinFleet)
    http: HttpClient = attrs.field(factory=HttpClient)
    hosts: list[HostProcess] = attrs.field(factory=list)
    workers: list[HttpWorker] = attrs.field(factory=list)
    record: list[str] = attrs.field(factory=list)
    accepted: dict[str, float] = attrs.field(factory=dict)
    silences: list[tuple[float, float]] = attrs.field(factory=list)
    began: float = 0.0
    longest_wait_s: float = 0.0
    _tasks: "list[asyncio.Task[None]]" = attrs.field(factory=list)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _add(self, text: str) -> None:
        self.record.append(f"{self._now() - self.began:8.3f} {text}")

    async def run(self, hosts: int, seconds: float) -> list[str]:
        """Play jobs and faults for a time; return the findings."""
        self.began = self._now()
        self.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.05)
        self.store.on_silence = self._note_silence
        await self.store.start()
        self.store.put("op/config", CONFIG)
        for number in range(WORKERS):
            await self._start_worker(f"w{number}")
        self.hosts = [
            HostProcess(
                name=f"h{number}", store_port=self.store.port, folder=self.folder
            )
            for number in range(hosts)
        ]
        try:
            return await self._play_all(seconds)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for host in self.hosts:
                host.end()
            for worker in self.workers:
                await worker.kill()
            await self.http.close()
            await self.store.kill()

    async def _play_all(self, seconds: float) -> list[str]:
        for host in self.hosts:
            host.start()
        self._arm(self.faults[0])
        await self._until_ready()
        rng = random.Random(f"{self.seed} jobs")
        self.began = self._now()
        self._tasks = [
            asyncio.create_task(self._submit_jobs(rng)),
            *(asyncio.create_task(self._play(each)) for each in self.faults[1:]),
        ]
        await asyncio.sleep(seconds)
        for task in self._tasks:
            task.cancel()
        found = await asyncio.gather(*self._tasks, return_exceptions=True)
        problems = [repr(exc) for exc in found if isinstance(exc, Exception)]
        self._add("the last fault is over")
        self.store.planned = []
        end = self._now() + END_LIMIT_S
        while self._unstarted() and self._now() < end:
            await asyncio.sleep(0.05)
        return [*problems, *self.fleet.faults, *self._long_waits()]

    async def _until_ready(self) -> None:
        """Wait until the first host serves callers."""
        end = self._now() + START_LIMIT_S
        while True:
            try:
                reply = await self.http.call(
                    "GET",
                    f"http://127.0.0.1:{self.hosts[0].ready}/api/readyz",
                    timeout_s=1.0,
                )
                if reply.status == 200:
                    return
            except NoAnswer as exc:
                if self._now() > end:
                    raise TimeoutError("the first host is not ready") from exc
            await asyncio.sleep(0.05)

    async def _start_worker(self, name: str) -> None:
        worker = HttpWorker(fleet=self.fleet, name=name)
        await worker.start()
        self.workers.append(worker)
        listed = at(entry(name), worker.port)
        simulated = self.fleet.add(listed)
        self.store.put(
            f"servers/{name}",
            {
                "service": "pool",
                "addr": listed.address,
                "zone": "z",
                "state": "ready",
                "clock_ms": self.fleet.now_ms(simulated),
                "capacity": {"cpu": 4000, "mem_mb": 4000},
                "labels": [],
            },
        )

    # --- jobs -------------------------------------------------------------------

    async def _submit_jobs(self, rng: random.Random) -> None:
        """Submit jobs to hosts that run, without waiting for one another."""
        calls: set[asyncio.Task[None]] = set()
        try:
            while True:
                await asyncio.sleep(rng.uniform(*SUBMIT_INTERVAL_S))
                running = [
                    host
                    for host in self.hosts
                    if host.is_running and not host.is_paused
                ]
                job_id = f"{rng.getrandbits(64):016x}"
                call = asyncio.create_task(self._submit(rng.choice(running), job_id))
                calls.add(call)
                call.add_done_callback(calls.discard)
        finally:
            await asyncio.gather(*calls)

    async def _submit(self, host: HostProcess, job_id: str) -> None:
        try:
            reply = await self.http.call(
                "POST",
                f"http://127.0.0.1:{host.front}/q/{job_id}",
                body=json.dumps(JOB).encode(),
                headers={"Host": CALLER_HOST, "Deadline-Ms": "3000"},
                timeout_s=3.0,
            )
        except NoAnswer as exc:
            self._add(f"{job_id} no answer from {host.name}: {exc}")
            return
        if reply.status == 200:
            self.accepted[job_id] = self._now()
        self._add(f"{job_id} answered {reply.status} by {host.name}")

    # --- faults -----------------------------------------------------------------

    def _arm(self, fault: PlannedFault) -> None:
        self.store.planned = list(fault.silences)

    def _note_silence(self, silence: PlannedSilence) -> None:
        now = self._now()
        self.silences.append((now, now + silence.seconds))
        self._add(f"store silent: {silence}, row {self.store.owner_row()}")

    async def _play(self, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at_s)
        self._arm(fault)
        host = self._target()
        if fault.kind == "fence" or host is None:
            self._fence()
            return
        self._add(f"{fault.kind} {host.name}, back after {fault.back_s}")
        host.mark_unsound()
        match fault.kind:
            case "kill":
                host.end()
            case "terminate":
                host.send(signal.SIGTERM)
            case "pause":
                host.send(signal.SIGSTOP)
                host.is_paused = True
        await asyncio.sleep(fault.back_s)
        if fault.kind == "pause":
            host.is_paused = False
            host.send(signal.SIGCONT)
            host.sound_since = self._now()
        else:
            host.end()
            host.start()
        self._add(f"{host.name} is back")

    def _target(self) -> HostProcess | None:
        """Return the owner, or another host; None if no other would be sound."""
        sound = [host for host in self.hosts if host.is_sound()]
        row = self.store.owner_row()
        owner = "" if row is None else row.holder.partition("@")[0]
        sound.sort(key=lambda host: host.name != owner)
        return sound[0] if len(sound) > 1 else None

    def _fence(self) -> None:
        """Have a worker refuse what the owner orders in its epoch."""
        row = self.store.owner_row()
        if row is None:
            return
        self._add(f"w0 refuses epoch {row.epoch}")
        highest = (row.epoch + 1) * FENCES_PER_EPOCH - 1
        self.fleet.workers["w0"].fence = highest

    # --- the verdict ------------------------------------------------------------

    def _first_starts(self) -> dict[str, float]:
        found: dict[str, float] = {}
        for each in self.fleet.starts:
            found.setdefault(each.task.partition(".")[0], each.at)
        return found

    def _unstarted(self) -> set[str]:
        return self.accepted.keys() - self._first_starts().keys()

    def _long_waits(self) -> list[str]:
        """Return the jobs that waited too long while the store answered."""
        starts, now = self._first_starts(), self._now()
        found = []
        for job_id, accepted_at in self.accepted.items():
            until = starts.get(job_id, now)
            waited_s = self._longest_calm_s(accepted_at, until)
            self.longest_wait_s = max(self.longest_wait_s, waited_s)
            if waited_s > MAX_WAIT_S or job_id not in starts:
                began = "never ran" if job_id not in starts else "began late"
                found.append(
                    f"{job_id}, accepted at {accepted_at - self.began:.2f}, {began}: "
                    f"waited {waited_s:.2f} s while the store answered a sound host"
                )
        return found

    def _longest_calm_s(self, begin: float, end: float) -> float:
        """Return the longest time between two times in which the store answered a host.

        It counts for one host that was sound throughout.
        """
        longest = 0.0
        for host in self.hosts:
            sound = list(host.sound)
            if host.sound_since is not None:
                sound.append((host.sound_since, end))
            for first, last in sound:
                since, until = max(first, begin), min(last, end)
                for silent, answering in [*self.silences, (until, until)]:
                    longest = max(longest, min(silent, until) - since)
                    since = max(since, answering)
        return longest


async def run_seed(seed: int, seconds: float, record_in: Path | None) -> list[str]:
    """Run one seed; return its findings.

    Args:
        seed: The random seed.
        seconds: How long jobs and faults are played.
        record_in: Directory for the record of a run with findings; None: no record.
    """
    hosts, faults = draw_plan(random.Random(seed), seconds)
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed=seed, folder=Path(folder), faults=faults)
        found = await soak.run(hosts, seconds)
        if found and record_in is not None:
            kept = record_in / f"ownership-{seed}"
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            (kept / "record.txt").write_text("\n".join([*found, *soak.record]) + "\n")
    row = soak.store.owner_row()
    print(
        f"seed {seed}: {hosts} hosts, {len(faults)} faults, "
        f"{len(soak.silences)} silences, epoch {0 if row is None else row.epoch}, "
        f"{len(soak.accepted)} jobs accepted, longest wait "
        f"{soak.longest_wait_s:.2f} s, {len(found)} findings",
        flush=True,
    )
    return found


def main() -> int:
    """Run the seeds and print every finding; return how many runs had any."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--record", type=Path, default=Path("soak-record"))
    cfg = parser.parse_args()
    bad = 0
    for seed in range(cfg.seed, cfg.seed + cfg.runs):
        found = asyncio.run(run_seed(seed, cfg.seconds, cfg.record))
        for each in found[:MAX_PRINTED]:
            print(f"  {each}", flush=True)
        bad += bool(found)
    return bad


if __name__ == "__main__":
    sys.exit(main())
