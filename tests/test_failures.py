"""Real processes under failure: killed, frozen, partitioned, without the platform.

Tests end with an audit of the workers' own records (`audit`).
"""

import secrets
import threading
import time
from collections.abc import Iterator
from typing import Any, Final

import attrs
import httpx
import pytest

from cranberrycleat import codec
from cranberrycleat.audit import audit
from cranberrycleat.caller import OUTCOME_HEADER, CallOutcome, CallResult
from cranberrycleat.standins.worker import WorkerRecord
from tests.processes import Fleet, ProgramProcess, wait_until
from tests.relay import Relay

LONG_WORKER_LEASE_S: Final = 20.0
"""The scheduler's own default."""
SHORT_WORKER_LEASE_S: Final = 3.0
"""The default of `Fleet.scheduler`."""


@attrs.define(kw_only=True, eq=False)
class Cluster:
    """A platform, workers, schedulers and gateways as separate processes."""

    fleet: Fleet
    platform: ProgramProcess
    workers: list[ProgramProcess]
    results: list[CallResult] = attrs.field(factory=list)

    def get(self, program: ProgramProcess, path: str) -> Any:
        """Send a GET request to a program; return the decoded JSON."""
        return httpx.get(program.url + path, trust_env=False, timeout=10).json()

    def faults(self, program: ProgramProcess, **faults: Any) -> None:
        """Set the faults that a stand-in injects."""
        url = program.url + "/v1/faults"
        httpx.post(url, json=faults, trust_env=False, timeout=10)

    def submit(
        self, scheduler: ProgramProcess, name: str, **more: Any
    ) -> httpx.Response:
        """Submit a job to a scheduler."""
        job = {
            "name": name,
            "kind": "service",
            "program": {"command": "serve"},
            "slots": 4,
        }
        url = scheduler.url + "/v1/jobs"
        job.update(more)
        return httpx.post(url, json=job, trust_env=False, timeout=30)

    def tasks(self, scheduler: ProgramProcess, name: str) -> list[tuple[str, int, str]]:
        """Return state, attempt and worker of a job's tasks."""
        found = self.get(scheduler, f"/v1/jobs/{name}")
        return [(t["state"], t["attempt"], t["worker"]) for t in found.get("tasks", ())]

    def wait_placed(self, scheduler: ProgramProcess, name: str) -> None:
        """Wait until every task of a job is placed."""
        wait_until(
            lambda: {t[0] for t in self.tasks(scheduler, name)} == {"placed"},
            description=f"{name} placed",
        )

    def wait_live(self, scheduler: ProgramProcess, count: int) -> None:
        """Wait until a scheduler owns its shard and `count` workers are live."""

        def live() -> bool:
            found = self.get(scheduler, "/v1/workers")["workers"]
            return [w["state"] for w in found].count("live") == count

        wait_until(live, description=f"{count} live workers")

    def wait_endpoints(self, gateway: ProgramProcess, service: str, count: int) -> None:
        """Wait until a gateway knows `count` endpoints that are not leaving."""

        def known() -> bool:
            found = self.get(gateway, "/v1/dump")["services"].get(service, [])
            return [e["leaving"] for e in found].count(False) == count

        wait_until(known, description=f"{count} endpoints of {service}")

    def owner(self, scheduler: ProgramProcess) -> bool:
        """Return whether a scheduler owns the shard now."""
        return bool(self.get(scheduler, "/v1/status")["owner"])

    def call(
        self,
        gateway: ProgramProcess,
        path: str,
        method: str = "GET",
        key: str | None = None,
    ) -> CallResult:
        """Call service `s`, and record the outcome that the caller was given."""
        ident = secrets.token_hex(8)
        headers = {"x-request-id": ident} | ({"idempotency-key": key} if key else {})
        try:
            res = httpx.request(
                method,
                f"{gateway.url}/call/s/{path}",
                headers=headers,
                content=key,
                trust_env=False,
                timeout=30,
            )
            reported_outcome = CallOutcome(res.headers.get(OUTCOME_HEADER, "unknown"))
            replayed = "idempotency-replayed" in res.headers
            response_matches = reported_outcome is not CallOutcome.ANSWERED or replayed
            response_matches = response_matches or res.text.startswith(ident)
            status = res.status_code
            retry_after = "retry-after" in res.headers
        except httpx.HTTPError:
            reported_outcome, response_matches, replayed, status, retry_after = (
                CallOutcome.UNKNOWN,
                True,
                False,
                0,
                True,
            )
        note = CallResult(
            id=ident,
            key=key,
            reported_outcome=reported_outcome,
            response_matches=response_matches,
            replayed=replayed,
            status=status,
            took_s=0,
            retry_after=retry_after,
        )
        self.results.append(note)
        return note

    def record(self, worker: ProgramProcess) -> WorkerRecord:
        """Return a worker's own record."""
        raw = httpx.get(worker.url + "/v1/record", trust_env=False).content
        return codec.decode(raw, WorkerRecord)

    def audit(self) -> None:
        """Check the run against the workers' own records."""
        records = [self.record(each) for each in self.workers]
        assert audit(records, self.results) == ()

    def ran(self, note: CallResult) -> int:
        """Return how often a request ran."""
        records = [self.record(each) for each in self.workers]
        return sum(log.id == note.id for r in records for log in r.requests)


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    """A platform and two workers."""
    with Fleet() as fleet:
        platform = fleet.platform()
        workers = [fleet.worker(f"w{n}", platform) for n in (1, 2)]
        yield Cluster(fleet=fleet, platform=platform, workers=workers)


def test_frozen_owner_resumes_after_lease_expiry(cluster: Cluster) -> None:
    """The successor continues; the previous owner sends no order after it resumes."""
    first = cluster.fleet.scheduler("s1", cluster.platform)
    cluster.wait_live(first, 2)
    cluster.submit(first, "s", tasks=2)
    cluster.wait_placed(first, "s")
    second = cluster.fleet.scheduler("s2", cluster.platform)
    first.suspend()
    wait_until(lambda: cluster.owner(second), description="a takeover")
    cluster.submit(second, "more", kind="batch", tasks=4, program={"run_s": 0.3})
    wait_until(
        lambda: {t[0] for t in cluster.tasks(second, "more")} == {"done"},
        description="the work of the second owner",
    )
    first.resume()
    time.sleep(1.0)
    assert not cluster.owner(first) and cluster.owner(second)
    assert [t[:2] for t in cluster.tasks(second, "s")] == [("placed", 1)] * 2
    cluster.audit()


@pytest.mark.parametrize("pause_s", [0.0, 3.5], ids=["at once", "late"])
def test_killed_owner_is_replaced(cluster: Cluster, pause_s: float) -> None:
    """A new owner adopts running tasks without stopping or moving them.

    The time from its process's start to the takeover was 1.4 s on an idle machine and
    exceeded `SHORT_WORKER_LEASE_S` on a busy one, so the test uses long leases.
    """
    lease = ("--worker-lease-s", str(LONG_WORKER_LEASE_S))
    first = cluster.fleet.scheduler("s1", cluster.platform, *lease)
    cluster.wait_live(first, 2)
    cluster.submit(first, "s", tasks=2)
    cluster.wait_placed(first, "s")
    gateway = cluster.fleet.gateway("g1", cluster.platform, first)
    cluster.wait_endpoints(gateway, "s", 2)
    first.kill()
    time.sleep(pause_s)
    second = cluster.fleet.scheduler("s2", cluster.platform, *lease)
    wait_until(lambda: cluster.owner(second), description="a takeover")
    cluster.wait_live(second, 2)
    time.sleep(2.0)
    assert [t[:2] for t in cluster.tasks(second, "s")] == [("placed", 1)] * 2
    assert cluster.call(gateway, "x").reported_outcome is CallOutcome.ANSWERED
    cluster.audit()


def test_owner_after_lease_expiry_places_tasks_again(cluster: Cluster) -> None:
    """Tasks whose leases nobody renewed are restarted, on one worker at a time."""
    first = cluster.fleet.scheduler("s1", cluster.platform)
    cluster.wait_live(first, 2)
    cluster.submit(first, "s", tasks=2)
    cluster.wait_placed(first, "s")
    first.kill()
    time.sleep(SHORT_WORKER_LEASE_S + 0.5)
    second = cluster.fleet.scheduler("s2", cluster.platform)
    wait_until(lambda: cluster.owner(second), description="a takeover")
    cluster.wait_live(second, 2)
    cluster.wait_placed(second, "s")
    assert [t[:2] for t in cluster.tasks(second, "s")] == [("placed", 2)] * 2
    gateway = cluster.fleet.gateway("g1", cluster.platform, second)
    cluster.wait_endpoints(gateway, "s", 2)
    assert cluster.call(gateway, "x").reported_outcome is CallOutcome.ANSWERED
    cluster.audit()


def test_frozen_worker_resumes_after_lease_expiry(cluster: Cluster) -> None:
    """Its tasks are placed elsewhere, and it runs none of them after it resumes."""
    scheduler = cluster.fleet.scheduler("s1", cluster.platform)
    cluster.wait_live(scheduler, 2)
    cluster.submit(scheduler, "s", tasks=2, slots=4)
    cluster.wait_placed(scheduler, "s")
    cluster.workers[0].suspend()
    wait_until(
        lambda: {t[2] for t in cluster.tasks(scheduler, "s")} == {"w2"},
        description="both tasks on the other worker",
    )
    cluster.workers[0].resume()
    cluster.wait_live(scheduler, 2)
    cluster.audit()


def test_platform_outage(cluster: Cluster) -> None:
    """Running services stay available; what needs the table is refused immediately."""
    scheduler = cluster.fleet.scheduler("s1", cluster.platform)
    cluster.wait_live(scheduler, 2)
    cluster.submit(scheduler, "s", tasks=2)
    gateway = cluster.fleet.gateway("g1", cluster.platform, scheduler)
    cluster.wait_endpoints(gateway, "s", 2)
    document = codec.encode_text({"routing": {"queue_s": 0.25}})
    change = {"made_from": 0, "document": document}
    httpx.post(scheduler.url + "/v1/config", json=change, trust_env=False)
    cluster.faults(cluster.platform, down=True)
    time.sleep(4.0)
    late = cluster.fleet.gateway("g2", cluster.platform, scheduler, gateway)
    cluster.wait_endpoints(late, "s", 2)
    wait_until(
        lambda: cluster.get(late, "/v1/dump")["config"] is not None,
        description="the configuration, from a peer",
    )
    for each in (gateway, late):
        assert cluster.call(each, "x").reported_outcome is CallOutcome.ANSWERED
        assert (
            cluster.call(each, "book", "POST", key="k1").reported_outcome
            is CallOutcome.NOT_RUN
        )
    refused = cluster.submit(scheduler, "other")
    assert (refused.status_code, refused.json()["title"]) == (503, "not-accepted")
    assert "retry-after" in refused.headers
    cluster.faults(cluster.platform, down=False)
    wait_until(lambda: cluster.owner(scheduler), description="the lease renewed")
    wait_until(
        lambda: cluster.call(late, "book", "POST", key="k1").reported_outcome
        is CallOutcome.ANSWERED,
        description="the keyed request answered, once its caller came back",
    )
    assert [t[:2] for t in cluster.tasks(scheduler, "s")] == [("placed", 1)] * 2
    assert cluster.submit(scheduler, "other").status_code == 201
    cluster.audit()


@pytest.mark.parametrize("lost", [1, 2, 5])
def test_lost_replies(cluster: Cluster, lost: int) -> None:
    """Writes that committed without a reply are neither lost nor repeated."""
    scheduler = cluster.fleet.scheduler("s1", cluster.platform)
    cluster.wait_live(scheduler, 2)
    cluster.faults(cluster.platform, lose_replies=lost)
    answer = cluster.submit(
        scheduler, "s", kind="batch", tasks=3, program={"run_s": 0.3}
    )
    assert answer.status_code in (201, 504)
    wait_until(
        lambda: {t[0] for t in cluster.tasks(scheduler, "s")} == {"done"},
        description="the job done",
    )
    assert {t[1] for t in cluster.tasks(scheduler, "s")} == {1}
    cluster.audit()


def test_owner_partitioned_from_platform(cluster: Cluster) -> None:
    """The successor fences off an owner that is partitioned but still alive."""
    port = int(cluster.platform.url.rsplit(":", 1)[1])
    relay = Relay(target=("127.0.0.1", port))
    first = cluster.fleet.scheduler("s1", cluster.platform, "--platform", relay.url)
    cluster.wait_live(first, 2)
    cluster.submit(first, "s", tasks=2)
    cluster.wait_placed(first, "s")
    second = cluster.fleet.scheduler("s2", cluster.platform)
    relay.cut_connections()
    wait_until(lambda: cluster.owner(second), description="a takeover")
    cluster.wait_live(second, 2)
    cluster.submit(second, "more", kind="batch", tasks=4, program={"run_s": 0.3})
    wait_until(
        lambda: {t[0] for t in cluster.tasks(second, "more")} == {"done"},
        description="the work of the second owner",
    )
    relay.restore()
    time.sleep(1.0)
    assert not cluster.owner(first)
    assert [t[:2] for t in cluster.tasks(second, "s")] == [("placed", 1)] * 2
    cluster.audit()


def test_outage_and_frozen_owner_together(cluster: Cluster) -> None:
    """With both faults at once, nobody takes over a lease not known to be free."""
    first = cluster.fleet.scheduler("s1", cluster.platform)
    cluster.wait_live(first, 2)
    cluster.submit(first, "s", tasks=2)
    cluster.wait_placed(first, "s")
    second = cluster.fleet.scheduler("s2", cluster.platform)
    cluster.faults(cluster.platform, down=True)
    first.suspend()
    time.sleep(4.0)
    assert not cluster.owner(second)
    cluster.faults(cluster.platform, down=False)
    wait_until(lambda: cluster.owner(second), description="a takeover")
    first.resume()
    wait_until(
        lambda: {t[0] for t in cluster.tasks(second, "s")} == {"placed"},
        description="the tasks placed again",
    )
    time.sleep(1.0)
    assert not cluster.owner(first)
    cluster.audit()


def test_gateway_dies_with_a_claimed_request(cluster: Cluster) -> None:
    """A repeat through another gateway does not run the request again."""
    scheduler = cluster.fleet.scheduler("s1", cluster.platform)
    cluster.wait_live(scheduler, 2)
    cluster.submit(scheduler, "s", tasks=2)
    gateways = [
        cluster.fleet.gateway(f"g{n}", cluster.platform, scheduler) for n in (1, 2)
    ]
    for each in gateways:
        cluster.wait_endpoints(each, "s", 2)
    asked = threading.Thread(
        target=cluster.call, args=(gateways[0], "book?ms=1500", "POST", "k1")
    )
    asked.start()
    time.sleep(0.7)
    gateways[0].kill()
    asked.join()
    again = [cluster.call(gateways[1], "book?ms=1500", "POST", "k1") for _ in range(3)]
    assert {note.reported_outcome for note in again} == {CallOutcome.UNKNOWN}
    assert [cluster.ran(note) for note in cluster.results] == [1, 0, 0, 0]
    cluster.audit()


@pytest.mark.parametrize("part", ["gateway", "worker", "scheduler"])
def test_graceful_shutdown(cluster: Cluster, part: str) -> None:
    """No request in flight is interrupted, whichever component shuts down."""
    scheduler = cluster.fleet.scheduler("s1", cluster.platform)
    cluster.wait_live(scheduler, 2)
    cluster.submit(scheduler, "s", tasks=2)
    gateway = cluster.fleet.gateway("g1", cluster.platform, scheduler)
    cluster.wait_endpoints(gateway, "s", 2)
    asked = [
        threading.Thread(target=cluster.call, args=(gateway, "x?ms=1500", "POST"))
        for _ in range(4)
    ]
    for each in asked:
        each.start()
    time.sleep(0.7)
    leaver = {"gateway": gateway, "worker": cluster.workers[0], "scheduler": scheduler}
    assert leaver[part].terminate() == 0
    for each in asked:
        each.join()
    assert [note.reported_outcome for note in cluster.results] == [
        CallOutcome.ANSWERED
    ] * 4


def test_leaving_worker(cluster: Cluster) -> None:
    """A worker's own report is enough for its endpoints to get no new requests."""
    scheduler = cluster.fleet.scheduler("s1", cluster.platform)
    cluster.wait_live(scheduler, 2)
    cluster.submit(scheduler, "s", tasks=2, slots=4)
    gateway = cluster.fleet.gateway("g1", cluster.platform, scheduler)
    cluster.wait_endpoints(gateway, "s", 2)
    cluster.faults(cluster.workers[0], leaving=True)
    wait_until(
        lambda: {t[2] for t in cluster.tasks(scheduler, "s")} == {"w2"},
        description="both tasks on the other worker",
    )
    before = len(cluster.record(cluster.workers[0]).requests)
    cluster.wait_endpoints(gateway, "s", 2)
    for _ in range(10):
        assert cluster.call(gateway, "x").reported_outcome is CallOutcome.ANSWERED
    assert len(cluster.record(cluster.workers[0]).requests) == before
    cluster.audit()


def test_sighup_terminates_no_process() -> None:
    """SIGHUP means that settings may have changed; its default action would kill."""
    with Fleet() as fleet:
        platform = fleet.platform()
        scheduler = fleet.scheduler("s1", platform)
        for program in (platform, scheduler):
            program.send_sighup()
        wait_until(
            lambda: httpx.get(
                scheduler.url + "/v1/dump", trust_env=False, timeout=5
            ).is_success,
            description="an answer after the hangup",
        )
        assert platform.process.poll() is None
        assert scheduler.process.poll() is None
