"""A small deployment on loopback: a platform, 24 workers, three nodes, requesters.

Its figures are those of the site haulbay-plu: workers of 16 cores and 32 GB, 8 a rack,
of two kinds, in three zones; `admission_check` is false.
"""

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
from pathlib import Path

import nodes
import standins
from standins import now

BROKEN, HELD, NOT_RUN = 1, 0, 2
FINISH_S = 14.0
LOST_S = 3.0
CALM_S = 4.0
LASTING_S = 6.0
LIMIT_S = 110.0
ZONES = ("pl-harbour", "riche-terre", "pailles")
PREFIX, HOST = "/q1/", "q.example"


class NotRun(Exception):
    """The case could not be set up."""


def trouble():
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


class Deployment:
    """All parts of one run."""

    def __init__(self, case, number):
        self.number = number
        self.record = standins.Record(Path(case) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = standins.Store("127.0.0.1")
        self.store.on_refused = lambda table, key, size: self.record.add(
            "row-refused", table=table, key=key, bytes=size
        )
        self.cluster = standins.Cluster(self.record, self.store)
        self.machines = standins.Machines(self.cluster, "127.0.0.1")
        self.nodes = []
        self.requesters = None

    async def start(self, *, workers=24, kinds=lambda number: "ab"[number % 2]):
        """Start everything; wait until a job has been carried out."""
        if not nodes.build_is_there():
            raise NotRun("the build of the deploy file is missing")
        await self.store.start()
        await self.machines.start()
        for number in range(workers):
            await self.add_worker(number, kinds(number))
        await self.store.write("op", "config", json.dumps(_config()))
        for number, zone in enumerate(ZONES):
            ip = f"127.{self.number}.3.{number + 1}"
            address = self.store.address
            cloud = self.machines.address
            node = nodes.Node(
                self.folder, f"frontend-{zone}-1", ip, zone, address, cloud
            )
            self.nodes.append(node)
            node.start()
        self.requesters = standins.Requesters(
            self.record,
            self.cluster,
            lambda: [node.front for node in self.nodes if node.is_up],
            host=HOST,
            prefix=PREFIX,
        )
        self.cluster.spawn(self.cluster.checkpoints(1.0))
        await asyncio.sleep(3.0)
        began = now()
        job, status = await self.requesters.submit(small(), attempts=20)
        while (await self.requesters.state(job))[1] != "completed":
            if now() - began > 15:
                raise NotRun(f"the first job is not done, status {status}")
            await asyncio.sleep(0.2)

    async def add_worker(self, number, kind):
        """Start a worker on a machine of its own."""
        return await self.cluster.add_worker(
            f"127.{self.number}.2.{number + 1}",
            zone=ZONES[number % 3],
            labels=[kind, f"r1-{number // 8}"],
            machine=f"m-{number}",
        )

    def running(self, job):
        """Return how many tasks of a job run."""
        return sum(task.startswith(job + ".") for task in self.cluster.running)

    def fits_twice(self, step):
        """Return whether some worker has room for a task twice over."""
        label = step.get("required_label", "")
        for worker in self.cluster.workers.values():
            if label and label not in worker.labels:
                continue
            cpu, mem = worker.used()
            left = self.cluster.capacity["cpu"] - cpu
            if left >= 2 * step.get("cpu", 0) and self.cluster.capacity[
                "mem_mb"
            ] - mem >= 2 * step.get("mem_mb", 0):
                return True
        return False

    def end_nodes(self):
        """End all processes."""
        for node in self.nodes:
            node.end()

    def end(self):
        """End all processes and remove the temporary folder."""
        self.end_nodes()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def small():
    """Return a job of one short task."""
    step = {"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 1000}
    return {"spec": "small", "steps": [step]}


def _config():
    route = {
        "name": "r-one",
        "host": HOST,
        "prefix": PREFIX,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "slo_ms": 3000,
        "priority": 2,
        "service": "pool-a",
        "max_attempts": 3,
        "stretch": 4.0,
    }
    service = {
        "name": "pool-a",
        "health_path": "/healthz",
        "max_conns": 64,
        "protocol": "h1",
        "tls": False,
        "admission_check": False,
        "standby": False,
    }
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144}
    return {
        "version": 7,
        "routes": [route],
        "services": [service],
        "limits": limits,
    }


async def lost_jobs(deployment, jobs, *, watch_s=5.0):
    """Return the accepted jobs of one step that the rule LOST counts as lost.

    Called `FINISH_S` after the end of the traffic. A job is lost if it is not known or
    gets no answer in time; or if for `LOST_S` it has nothing running, although a task's
    turn has come, there is room for it twice over, and under half of the service's
    capacity is in use.
    """
    found = {}
    open_jobs = {}
    for job in jobs:
        status, state = await deployment.requesters.state(job)
        if status != 200:
            found[job] = f"asked for: status {status}"
        elif state not in ("completed", "cancelled"):
            open_jobs[job] = now()
    until = now() + watch_s
    while now() < until:
        half_free = deployment.cluster.free_share() < 0.5
        for job in list(open_jobs):
            step = deployment.cluster.jobs[job]["steps"][0]
            done = f"{job}.0.0.0" in deployment.cluster.done
            if done or not half_free or not deployment.fits_twice(step):
                open_jobs[job] = now()
            elif deployment.running(job):
                open_jobs[job] = now()
            elif now() - open_jobs[job] >= LOST_S:
                found.setdefault(job, f"nothing running for {LOST_S:.0f} s")
        await asyncio.sleep(0.1)
    return found


def main(case, number, play):
    """Run a case and exit with its verdict."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    deployment = Deployment(case, number)
    verdict = NOT_RUN
    try:
        verdict = asyncio.run(_limited(play, deployment))
    except NotRun as exc:
        deployment.record.add("NOT-RUN", reason=exc)
        print(f"not run: {exc}")
    except Exception as exc:
        deployment.record.add("NOT-RUN", reason=repr(exc))
        print(f"not run: {exc!r}")
    finally:
        deployment.end()
        names = {BROKEN: "rule broken", HELD: "rule held", NOT_RUN: "not run"}
        deployment.record.add("VERDICT", what=names[verdict])
        deployment.record.close()
    print(names[verdict])
    sys.exit(verdict)


async def _limited(play, deployment):
    try:
        async with asyncio.timeout(LIMIT_S):
            return await play(deployment)
    finally:
        deployment.end_nodes()
        for worker in list(deployment.cluster.workers.values()):
            worker.gone = True
            await worker.kill()
        await deployment.store.kill()
        await deployment.machines.kill()
        await asyncio.sleep(0.1)
