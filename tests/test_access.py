"""Who may call: keys of workspaces, keys taken away, hosts that are cut off."""

import json
from typing import Any

import attrs
import pytest

from cranberrycleat import errors
from cranberrycleat.amounts import Amounts
from cranberrycleat.clock import ManualClock
from cranberrycleat.platform import records
from cranberrycleat.platform.front import Front
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.table import Row
from cranberrycleat.workflow.access import (
    REVOKE_MARGIN_S,
    UNKNOWN_MARGIN_S,
    Access,
    Denied,
    Granted,
    Undecided,
    key_digest,
)
from cranberrycleat.workflow.config_watch import ConfigWatch
from cranberrycleat.workflow.contact import Contact
from cranberrycleat.workflow.directory import ConfigFollower
from cranberrycleat.workflow.door import Door
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peering import SubmitRequest
from cranberrycleat.workflow.ports import ClusterConfig, Snapshot, Workspace
from tests.cell import CONFIG, Cell, cell, job, queue, step, until
from tests.fakes import go

CONFIG_BOUND_S = 3.0
REVOKE_BOUND_S = 5.0
SETTLED_S = REVOKE_BOUND_S - REVOKE_MARGIN_S


def workspace(name: str, *keys: str, quota: Amounts = Amounts()) -> Workspace:
    """Return a workspace with some keys."""
    digests = tuple(key_digest(each) for each in keys)
    return Workspace(name=name, key_digests=digests, quota=quota)


def config_of(*workspaces: Workspace, version: int = 1) -> ClusterConfig:
    """Return a configuration with workspaces."""
    return attrs.evolve(CONFIG, version=version, workspaces=workspaces)


TWO = config_of(workspace("one", "key-1", "key-2"), workspace("two", "key-3"))


def access(
    config: ClusterConfig | None, *, age_s: float = 0.0, strict: bool = True
) -> Access:
    """Return what judges by a configuration of some age."""
    clock = ManualClock()
    clock.advance(seconds=100.0)
    return Access(
        config=lambda: config,
        confirmed_at=lambda: 100.0 - age_s,
        clock=clock,
        config_bound_s=CONFIG_BOUND_S,
        revoke_bound_s=REVOKE_BOUND_S if strict else None,
    )


@pytest.mark.parametrize(
    ("key", "age_s", "strict", "expected"),
    [
        ("key-1", 0.0, True, "one"),
        ("key-2", 0.0, True, "one"),
        ("key-3", 0.0, True, "two"),
        ("key-4", 0.0, True, Denied),
        ("", 0.0, True, Denied),
        ("key-1", SETTLED_S, True, "one"),
        ("key-1", SETTLED_S + 0.01, True, Undecided),
        ("key-1", SETTLED_S + 0.01, False, "one"),
        ("key-4", CONFIG_BOUND_S - UNKNOWN_MARGIN_S, True, Denied),
        ("key-4", CONFIG_BOUND_S, True, Undecided),
        ("key-4", CONFIG_BOUND_S, False, Undecided),
        ("", 1000.0, True, Denied),
    ],
)
def test_how_a_key_is_judged(
    key: str, age_s: float, strict: bool, expected: str | type
) -> None:
    """By a configuration that may be old neither a key nor its lack is certain."""
    digest = key_digest(key) if key else ""
    found = access(TWO, age_s=age_s, strict=strict).judge(queue(), digest)
    if isinstance(expected, str):
        assert found == Granted(workspace=expected, digest=digest, version=1)
    else:
        assert isinstance(found, expected)


@pytest.mark.parametrize(
    ("config", "public", "expected"),
    [
        (CONFIG, False, Granted(version=1)),
        (TWO, True, Granted(version=1)),
        (config_of(), False, Denied(reason="a key is needed")),
        (None, False, Undecided(reason="no configuration yet")),
    ],
    ids=["no workspaces", "a public queue", "no workspace is left", "none yet"],
)
def test_who_needs_no_key(
    config: ClusterConfig | None, public: bool, expected: object
) -> None:
    judged = access(config, age_s=50.0).judge(queue(public=public), "")
    assert judged == expected


@pytest.mark.parametrize(
    ("held", "version", "expected"),
    [
        (TWO, 0, True),
        (config_of(workspace("one", "key-2"), version=2), 1, False),
        (config_of(workspace("one", "key-2"), version=2), 2, True),
        (config_of(workspace("two", "key-1"), version=2), 1, False),
        (None, 1, True),
    ],
    ids=["still there", "taken away", "judged by this one", "moved", "none here"],
)
def test_a_grant_is_judged_again_by_a_newer_configuration(
    held: ClusterConfig | None, version: int, expected: bool
) -> None:
    granted = Granted(workspace="one", digest=key_digest("key-1"), version=version)
    assert access(held).still_grants(granted) is expected


def test_quotas_are_told_only_while_none_newer_may_be_in_force() -> None:
    quota = Amounts(processors=5)
    config = config_of(workspace("one", quota=quota))
    assert access(config, age_s=CONFIG_BOUND_S).quotas() == {"one": quota}
    assert access(config, age_s=CONFIG_BOUND_S + 0.1).quotas() is None
    assert access(None).quotas() is None
    assert access(CONFIG, age_s=1000.0).quotas() == {}


# --- how old the configuration may be -----------------------------------------------


def watch(table: MemoryFeedTable, clock: ManualClock) -> ConfigWatch:
    """Return a host's watch over a configuration's row."""
    follower = ConfigFollower(
        store=table,
        table="op",
        key="op/config",
        read=lambda row: attrs.evolve(TWO, version=int(row.value)),
    )
    return ConfigWatch(
        follower=follower, contact=Contact(clock=clock), clock=clock, bound_s=3.0
    )


@pytest.mark.parametrize(
    ("version", "asked_at", "age_s", "expected"),
    [(1, 50.0, 2.0, 48.0), (2, 50.0, 0.0, 10.0), (0, 50.0, 0.0, 10.0)],
    ids=["the same version", "a newer one", "none"],
)
def test_what_another_host_tells_of_the_configurations_age(
    version: int, asked_at: float, age_s: float, expected: float
) -> None:
    """A host that lost the table goes on by the word of one that hears it."""
    made = watch(MemoryFeedTable(), ManualClock())
    made.follower.take(attrs.evolve(TWO, version=1))
    made.confirmed_at = 10.0
    made.hear(version, asked_at=asked_at, age_s=age_s)
    assert made.confirmed_at == expected


def test_an_unreadable_configuration_confirms_nothing() -> None:
    """What is in force may be anything: the age of what is held goes on growing."""

    def read(row: Row) -> ClusterConfig:
        raise errors.FindingsError(findings=())

    made = watch(MemoryFeedTable(), ManualClock())
    made.follower.take(TWO)
    made.follower.read = read
    row = Row(key="op/config", value="2", version=2)
    made.follower._take_all((row,), Snapshot(rows=(row,), version=2))
    made.hear(1, asked_at=50.0, age_s=0.0)
    assert made.confirmed_at == float("-inf")


# --- over a door ----------------------------------------------------------------------


async def call(
    door: Door, method: str, path: str, key: str = "", body: bytes = b""
) -> tuple[int, Any, dict[bytes, bytes]]:
    """Call the front as the platform does; return status, body and headers."""
    sent: list[dict[str, Any]] = []
    headers = [(b"host", b"host.example")]
    if key:
        headers.append((b"authorization", f"Token {key}".encode()))
    scope = {"type": "http", "method": method, "path": path, "headers": headers}

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    await Front(door=door, is_ready=lambda: True)(scope, receive, send)
    answer = b"".join(each.get("body", b"") for each in sent)
    return sent[0]["status"], json.loads(answer), dict(sent[0]["headers"])


JOB = json.dumps(
    {"spec": "p", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100}]}
).encode()


def door_of(made: Cell, owner: Owner | None, config: ClusterConfig = TWO) -> Door:
    """Return a door by whose configuration callers need keys."""
    door = made.door(lambda: owner)
    door.config.current = config
    return door


@pytest.mark.parametrize("path", ["/q/", "/q/j"])
@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
@pytest.mark.parametrize("key", ["", "key-9"])
def test_every_call_needs_a_key(method: str, path: str, key: str) -> None:
    """Nothing is handed on; the answer says why and what is wanted."""

    async def run() -> None:
        async with cell() as made:
            owner = await made.own()
            door = door_of(made, owner)
            status, body, headers = await call(door, method, path, key, JOB)
            assert (status, headers[b"www-authenticate"]) == (401, b"Token")
            assert body["reason"] and "key-9" not in json.dumps(body)
            assert not owner.board.jobs

    go(run())


@pytest.mark.parametrize("with_owner", [True, False])
def test_a_job_is_only_shown_to_its_workspace(with_owner: bool) -> None:
    """To the key of another one it does not exist, and is not cancelled either."""

    async def run() -> None:
        async with cell(workers=0) as made:
            owner = await made.own() if with_owner else None
            door = door_of(made, owner)
            assert (await call(door, "POST", "/q/j", "key-1", JOB))[0] == 200
            assert (await call(door, "GET", "/q/j", "key-3"))[0] == 410
            assert (await call(door, "GET", "/q/j", "key-2"))[0] == 200
            if with_owner:
                assert (await call(door, "DELETE", "/q/j", "key-3"))[0] == 410
                assert (await call(door, "GET", "/q/j", "key-1"))[1][
                    "state"
                ] == "queued"
                assert (await call(door, "DELETE", "/q/j", "key-1"))[0] == 200

    go(run())


@pytest.mark.parametrize("with_owner", [True, False])
def test_an_identity_of_another_workspace_is_not_taken_for_a_repeat(
    with_owner: bool,
) -> None:
    """Told that it was accepted, its caller would wait for a job that nobody has."""

    async def run() -> None:
        async with cell(workers=0) as made:
            owner = await made.own() if with_owner else None
            door = door_of(made, owner)
            assert (await call(door, "POST", "/q/j", "key-1", JOB))[0] == 200
            assert (await call(door, "POST", "/q/j", "key-3", JOB))[0] == 400
            assert (await call(door, "POST", "/q/j", "key-2", JOB))[0] == 200

    go(run())


def test_a_job_stays_its_workspaces_after_it_ended_and_its_owner_died() -> None:
    async def run() -> None:
        async with cell() as made:
            owner = await made.own()
            door = door_of(made, owner)
            await call(door, "POST", "/q/j", "key-1", JOB)
            await until(lambda: owner.state("j", "one").state == "completed")
            await made.close()
            made.tasks.clear()
            for again in (None, await made.own("two")):
                door = door_of(made, again)
                assert (await call(door, "GET", "/q/j", "key-3"))[0] == 410
                status, body, _ = await call(door, "GET", "/q/j", "key-1")
                assert (status, body["state"]) == (200, "completed")

    go(run())


def test_each_request_is_judged_by_itself() -> None:
    """A key that is taken away is good no longer on connections opened before."""

    async def run() -> None:
        async with cell() as made:
            door = door_of(made, await made.own())
            assert (await call(door, "POST", "/q/j", "key-1", JOB))[0] == 200
            door.config.current = config_of(workspace("one", "key-2"), version=2)
            assert (await call(door, "GET", "/q/j", "key-1"))[0] == 401
            assert (await call(door, "GET", "/q/j", "key-2"))[0] == 200

    go(run())


def test_a_host_that_may_have_missed_a_change_refuses_for_now() -> None:
    """Neither run by a key that may be gone nor told that the key is bad."""

    async def run() -> None:
        async with cell() as made:
            door = door_of(made, await made.own())
            door.access = access(TWO, age_s=60.0)
            for key in ("key-1", "key-9"):
                status, _, headers = await call(door, "POST", "/q/j", key, JOB)
                assert status == 503 and int(headers[b"retry-after"]) >= 1
            assert not [each for each in made.table.rows if each.startswith("inbox/")]

    go(run())


def test_the_owner_judges_by_a_newer_configuration() -> None:
    """A host that has not heard of the change yet hands on what is good no more."""

    async def run() -> None:
        async with cell() as made:
            owner = await made.own()
            owner.access = access(config_of(workspace("one", "key-2"), version=2))
            door = door_of(made, owner)
            answer = await call(door, "POST", "/q/j", "key-1", JOB)
            assert answer[0] == 401 and not owner.board.jobs
            granted = Granted(workspace="one", digest=key_digest("key-2"), version=1)
            req = SubmitRequest(
                job_id="k", queue=queue(), spec=job(step()), access=granted
            )
            assert (await owner.submit(req)).accepted

    go(run())


def test_no_key_stands_in_what_a_host_holds() -> None:
    """Dumps, logs and messages are written from what the adapter decodes."""
    tenants = [{"name": "one", "api_keys": ["secret-key"], "cap": {"cpu": 2000}}]
    value = json.dumps({"version": 1, "tenants": tenants})
    config = records.read_config(Row(key="op/config", value=value, version=1))
    assert "secret-key" not in repr(config)
    assert config.workspaces == (
        workspace("one", "secret-key", quota=Amounts(processors=2000)),
    )


def test_a_configuration_without_workspaces_needs_no_keys() -> None:
    row = Row(key="op/config", value='{"version":1}', version=1)
    assert records.read_config(row).workspaces is None
