"""Real processes under failure: killed, frozen, cut, without the platform.

Every test ends with the audit of the workers' own records (`audit`).
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
from cranberrycleat.caller import OUTCOME, CallNote, Told
from cranberrycleat.standins.worker import WorkerRecord
from tests.processes import Fleet, Program, until
from tests.relay import Relay

LONG_LEASE_S: Final = 20.0
"""The product's own default."""
SHORT_LEASE_S: Final = 3.0
"""What `Fleet.scheduler` grants unless it is told otherwise."""


@attrs.define(kw_only=True, eq=False)
class World:
    """A platform, workers, schedulers and gateways as separate processes."""

    fleet: Fleet
    platform: Program
    workers: list[Program]
    notes: list[CallNote] = attrs.field(factory=list)

    def get(self, program: Program, path: str) -> Any:
        """Ask a program for something."""
        return httpx.get(program.url + path, trust_env=False, timeout=10).json()

    def faults(self, program: Program, **faults: Any) -> None:
        """Set a stand-in's faults."""
        url = program.url + "/v1/faults"
        httpx.post(url, json=faults, trust_env=False, timeout=10)

    def submit(self, scheduler: Program, name: str, **more: Any) -> httpx.Response:
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

    def tasks(self, scheduler: Program, name: str) -> list[tuple[str, int, str]]:
        """Return state, attempt and worker of a job's tasks."""
        found = self.get(scheduler, f"/v1/jobs/{name}")
        return [(t["state"], t["attempt"], t["worker"]) for t in found.get("tasks", ())]

    def wait_placed(self, scheduler: Program, name: str) -> None:
        """Wait until every task of a job has a place."""
        until(
            lambda: {t[0] for t in self.tasks(scheduler, name)} == {"placed"},
            what=f"{name} placed",
        )

    def wait_live(self, scheduler: Program, count: int) -> None:
        """Wait until a scheduler owns its shard and knows its workers."""

        def live() -> bool:
            found = self.get(scheduler, "/v1/workers")["workers"]
            return [w["state"] for w in found].count("live") == count

        until(live, what=f"{count} live workers")

    def wait_endpoints(self, gateway: Program, service: str, count: int) -> None:
        """Wait until a gateway knows so many endpoints that are not leaving."""

        def known() -> bool:
            found = self.get(gateway, "/v1/dump")["services"].get(service, [])
            return [e["leaving"] for e in found].count(False) == count

        until(known, what=f"{count} endpoints of {service}")

    def owner(self, scheduler: Program) -> bool:
        """Tell whether a scheduler owns the shard now."""
        return bool(self.get(scheduler, "/v1/status")["owner"])

    def call(
        self, gateway: Program, path: str, method: str = "GET", key: str | None = None
    ) -> CallNote:
        """Call service `s`, and note what was told."""
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
            told = Told(res.headers.get(OUTCOME, "unknown"))
            replayed = "idempotency-replayed" in res.headers
            own = told is not Told.ANSWERED or replayed
            own = own or res.text.startswith(ident)
            status = res.status_code
            retry_after = "retry-after" in res.headers
        except httpx.HTTPError:
            told, own, replayed, status, retry_after = (
                Told.UNKNOWN,
                True,
                False,
                0,
                True,
            )
        note = CallNote(
            id=ident,
            key=key,
            told=told,
            own=own,
            replayed=replayed,
            status=status,
            took_s=0,
            retry_after=retry_after,
        )
        self.notes.append(note)
        return note

    def record(self, worker: Program) -> WorkerRecord:
        """Return a worker's own record."""
        raw = httpx.get(worker.url + "/v1/record", trust_env=False).content
        return codec.decode(raw, WorkerRecord)

    def audit(self) -> None:
        """Judge the run by the workers' own records."""
        records = [self.record(each) for each in self.workers]
        assert audit(records, self.notes) == ()

    def ran(self, note: CallNote) -> int:
        """Return how often a request ran."""
        records = [self.record(each) for each in self.workers]
        return sum(log.id == note.id for r in records for log in r.requests)


@pytest.fixture
def world() -> Iterator[World]:
    """A platform and two workers."""
    with Fleet() as fleet:
        platform = fleet.platform()
        workers = [fleet.worker(f"w{n}", platform) for n in (1, 2)]
        yield World(fleet=fleet, platform=platform, workers=workers)


def test_frozen_owner_wakes_after_its_lease(world: World) -> None:
    """The successor goes on; the one that wakes gives no order any more."""
    first = world.fleet.scheduler("s1", world.platform)
    world.wait_live(first, 2)
    world.submit(first, "s", tasks=2)
    world.wait_placed(first, "s")
    second = world.fleet.scheduler("s2", world.platform)
    first.freeze()
    until(lambda: world.owner(second), what="a takeover")
    world.submit(second, "more", kind="batch", tasks=4, program={"run_s": 0.3})
    until(
        lambda: {t[0] for t in world.tasks(second, "more")} == {"done"},
        what="the work of the second owner",
    )
    first.wake()
    time.sleep(1.0)
    assert not world.owner(first) and world.owner(second)
    assert [t[:2] for t in world.tasks(second, "s")] == [("placed", 1)] * 2
    world.audit()


@pytest.mark.parametrize("pause_s", [0.0, 3.5], ids=["at once", "late"])
def test_killed_owner_is_followed(world: World, pause_s: float) -> None:
    """A new owner adopts what runs, without stopping or moving it.

    Its process has to start first, which took 1.4 s up to the takeover on an idle
    machine and longer than `SHORT_LEASE_S` on a busy one; so the leases are long.
    """
    lease = ("--worker-lease-s", str(LONG_LEASE_S))
    first = world.fleet.scheduler("s1", world.platform, *lease)
    world.wait_live(first, 2)
    world.submit(first, "s", tasks=2)
    world.wait_placed(first, "s")
    gateway = world.fleet.gateway("g1", world.platform, first)
    world.wait_endpoints(gateway, "s", 2)
    first.kill()
    time.sleep(pause_s)
    second = world.fleet.scheduler("s2", world.platform, *lease)
    until(lambda: world.owner(second), what="a takeover")
    world.wait_live(second, 2)
    time.sleep(2.0)
    assert [t[:2] for t in world.tasks(second, "s")] == [("placed", 1)] * 2
    assert world.call(gateway, "x").told is Told.ANSWERED
    world.audit()


def test_an_owner_that_follows_after_the_leases_places_again(world: World) -> None:
    """What nobody renewed is over; it starts anew, in one place at a time."""
    first = world.fleet.scheduler("s1", world.platform)
    world.wait_live(first, 2)
    world.submit(first, "s", tasks=2)
    world.wait_placed(first, "s")
    first.kill()
    time.sleep(SHORT_LEASE_S + 0.5)
    second = world.fleet.scheduler("s2", world.platform)
    until(lambda: world.owner(second), what="a takeover")
    world.wait_live(second, 2)
    world.wait_placed(second, "s")
    assert [t[:2] for t in world.tasks(second, "s")] == [("placed", 2)] * 2
    gateway = world.fleet.gateway("g1", world.platform, second)
    world.wait_endpoints(gateway, "s", 2)
    assert world.call(gateway, "x").told is Told.ANSWERED
    world.audit()


def test_frozen_worker_wakes_after_its_lease(world: World) -> None:
    """Its tasks are placed elsewhere, and it runs none of them when it wakes."""
    scheduler = world.fleet.scheduler("s1", world.platform)
    world.wait_live(scheduler, 2)
    world.submit(scheduler, "s", tasks=2, slots=4)
    world.wait_placed(scheduler, "s")
    world.workers[0].freeze()
    until(
        lambda: {t[2] for t in world.tasks(scheduler, "s")} == {"w2"},
        what="both tasks on the other worker",
    )
    world.workers[0].wake()
    world.wait_live(scheduler, 2)
    world.audit()


def test_platform_outage(world: World) -> None:
    """What runs goes on and is served; what needs the table is refused at once."""
    scheduler = world.fleet.scheduler("s1", world.platform)
    world.wait_live(scheduler, 2)
    world.submit(scheduler, "s", tasks=2)
    gateway = world.fleet.gateway("g1", world.platform, scheduler)
    world.wait_endpoints(gateway, "s", 2)
    document = codec.encode_text({"routing": {"queue_s": 0.25}})
    change = {"made_from": 0, "document": document}
    httpx.post(scheduler.url + "/v1/config", json=change, trust_env=False)
    world.faults(world.platform, down=True)
    time.sleep(4.0)
    late = world.fleet.gateway("g2", world.platform, scheduler, gateway)
    world.wait_endpoints(late, "s", 2)
    until(
        lambda: world.get(late, "/v1/dump")["config"] is not None,
        what="the configuration, from a peer",
    )
    for each in (gateway, late):
        assert world.call(each, "x").told is Told.ANSWERED
        assert world.call(each, "book", "POST", key="k1").told is Told.NOT_RUN
    refused = world.submit(scheduler, "other")
    assert (refused.status_code, refused.json()["title"]) == (503, "not-accepted")
    assert "retry-after" in refused.headers
    world.faults(world.platform, down=False)
    until(lambda: world.owner(scheduler), what="the lease renewed")
    until(
        lambda: world.call(late, "book", "POST", key="k1").told is Told.ANSWERED,
        what="the keyed request answered, once its caller came back",
    )
    assert [t[:2] for t in world.tasks(scheduler, "s")] == [("placed", 1)] * 2
    assert world.submit(scheduler, "other").status_code == 201
    world.audit()


@pytest.mark.parametrize("lost", [1, 2, 5])
def test_lost_replies(world: World, lost: int) -> None:
    """Writes that took effect unanswered are neither lost nor done twice."""
    scheduler = world.fleet.scheduler("s1", world.platform)
    world.wait_live(scheduler, 2)
    world.faults(world.platform, lose_replies=lost)
    answer = world.submit(scheduler, "s", kind="batch", tasks=3, program={"run_s": 0.3})
    assert answer.status_code in (201, 504)
    until(
        lambda: {t[0] for t in world.tasks(scheduler, "s")} == {"done"},
        what="the job done",
    )
    assert {t[1] for t in world.tasks(scheduler, "s")} == {1}
    world.audit()


def test_owner_cut_off_from_the_platform(world: World) -> None:
    """The successor fences off the one that is cut off and still alive."""
    port = int(world.platform.url.rsplit(":", 1)[1])
    relay = Relay(target=("127.0.0.1", port))
    first = world.fleet.scheduler("s1", world.platform, "--platform", relay.url)
    world.wait_live(first, 2)
    world.submit(first, "s", tasks=2)
    world.wait_placed(first, "s")
    second = world.fleet.scheduler("s2", world.platform)
    relay.sever()
    until(lambda: world.owner(second), what="a takeover")
    world.wait_live(second, 2)
    world.submit(second, "more", kind="batch", tasks=4, program={"run_s": 0.3})
    until(
        lambda: {t[0] for t in world.tasks(second, "more")} == {"done"},
        what="the work of the second owner",
    )
    relay.mend()
    time.sleep(1.0)
    assert not world.owner(first)
    assert [t[:2] for t in world.tasks(second, "s")] == [("placed", 1)] * 2
    world.audit()


def test_outage_and_frozen_owner_together(world: World) -> None:
    """Two faults at once: nobody takes over what cannot be known to be free."""
    first = world.fleet.scheduler("s1", world.platform)
    world.wait_live(first, 2)
    world.submit(first, "s", tasks=2)
    world.wait_placed(first, "s")
    second = world.fleet.scheduler("s2", world.platform)
    world.faults(world.platform, down=True)
    first.freeze()
    time.sleep(4.0)
    assert not world.owner(second)
    world.faults(world.platform, down=False)
    until(lambda: world.owner(second), what="a takeover")
    first.wake()
    until(
        lambda: {t[0] for t in world.tasks(second, "s")} == {"placed"},
        what="the tasks placed again",
    )
    time.sleep(1.0)
    assert not world.owner(first)
    world.audit()


def test_gateway_dies_with_a_claimed_request(world: World) -> None:
    """A repeat through another gateway does not run the request again."""
    scheduler = world.fleet.scheduler("s1", world.platform)
    world.wait_live(scheduler, 2)
    world.submit(scheduler, "s", tasks=2)
    gateways = [world.fleet.gateway(f"g{n}", world.platform, scheduler) for n in (1, 2)]
    for each in gateways:
        world.wait_endpoints(each, "s", 2)
    asked = threading.Thread(
        target=world.call, args=(gateways[0], "book?ms=1500", "POST", "k1")
    )
    asked.start()
    time.sleep(0.7)
    gateways[0].kill()
    asked.join()
    again = [world.call(gateways[1], "book?ms=1500", "POST", "k1") for _ in range(3)]
    assert {note.told for note in again} == {Told.UNKNOWN}
    assert [world.ran(note) for note in world.notes] == [1, 0, 0, 0]
    world.audit()


@pytest.mark.parametrize("part", ["gateway", "worker", "scheduler"])
def test_graceful_shutdown(world: World, part: str) -> None:
    """No request in flight is interrupted, whichever part shuts down."""
    scheduler = world.fleet.scheduler("s1", world.platform)
    world.wait_live(scheduler, 2)
    world.submit(scheduler, "s", tasks=2)
    gateway = world.fleet.gateway("g1", world.platform, scheduler)
    world.wait_endpoints(gateway, "s", 2)
    asked = [
        threading.Thread(target=world.call, args=(gateway, "x?ms=1500", "POST"))
        for _ in range(4)
    ]
    for each in asked:
        each.start()
    time.sleep(0.7)
    leaver = {"gateway": gateway, "worker": world.workers[0], "scheduler": scheduler}
    assert leaver[part].terminate() == 0
    for each in asked:
        each.join()
    assert [note.told for note in world.notes] == [Told.ANSWERED] * 4


def test_leaving_worker(world: World) -> None:
    """Its endpoints get no new work, from its own word and without the list."""
    scheduler = world.fleet.scheduler("s1", world.platform)
    world.wait_live(scheduler, 2)
    world.submit(scheduler, "s", tasks=2, slots=4)
    gateway = world.fleet.gateway("g1", world.platform, scheduler)
    world.wait_endpoints(gateway, "s", 2)
    world.faults(world.workers[0], leaving=True)
    until(
        lambda: {t[2] for t in world.tasks(scheduler, "s")} == {"w2"},
        what="both tasks on the other worker",
    )
    before = len(world.record(world.workers[0]).requests)
    world.wait_endpoints(gateway, "s", 2)
    for _ in range(10):
        assert world.call(gateway, "x").told is Told.ANSWERED
    assert len(world.record(world.workers[0]).requests) == before
    world.audit()


def test_a_hangup_ends_no_process() -> None:
    """SIGHUP says that settings may have changed; its default would be the end."""
    with Fleet() as fleet:
        platform = fleet.platform()
        scheduler = fleet.scheduler("s1", platform)
        for program in (platform, scheduler):
            program.hang_up()
        until(
            lambda: httpx.get(
                scheduler.url + "/v1/dump", trust_env=False, timeout=5
            ).is_success,
            what="an answer after the hangup",
        )
        assert platform.process.poll() is None
        assert scheduler.process.poll() is None
