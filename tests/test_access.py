"""Authorization: keys of workspaces, revoked keys, and hosts that are partitioned."""

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
    REVOKED_KEY_MARGIN_S,
    UNKNOWN_KEY_MARGIN_S,
    Denied,
    Granted,
    KeyAuthorizer,
    Undecided,
    key_digest,
)
from cranberrycleat.workflow.config_watch import ConfigWatch
from cranberrycleat.workflow.directory import ConfigFollower
from cranberrycleat.workflow.job_frontend import JobFrontend
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peering import SubmitRequest
from cranberrycleat.workflow.ports import ClusterConfig, Snapshot, Workspace
from cranberrycleat.workflow.reachability import Reachability
from tests.cell import CONFIG, Cell, cell, job, queue, step, until
from tests.fakes import run_async

CONFIG_BOUND_S = 3.0
REVOKE_BOUND_S = 5.0
MAX_TRUSTED_AGE_S = REVOKE_BOUND_S - REVOKED_KEY_MARGIN_S


def workspace(name: str, *keys: str, quota: Amounts = Amounts()) -> Workspace:
    """Return a workspace with some keys."""
    digests = tuple(key_digest(key) for key in keys)
    return Workspace(name=name, key_digests=digests, quota=quota)


def config_of(*workspaces: Workspace, version: int = 1) -> ClusterConfig:
    """Return a configuration with workspaces."""
    return attrs.evolve(CONFIG, version=version, workspaces=workspaces)


TWO_WORKSPACES = config_of(
    workspace("one", "key-1", "key-2"), workspace("two", "key-3")
)


def access(
    config: ClusterConfig | None, *, age_s: float = 0.0, strict: bool = True
) -> KeyAuthorizer:
    """Return an authorizer with a configuration of a given age."""
    clock = ManualClock()
    clock.advance(seconds=100.0)
    return KeyAuthorizer(
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
        ("key-1", MAX_TRUSTED_AGE_S, True, "one"),
        ("key-1", MAX_TRUSTED_AGE_S + 0.01, True, Undecided),
        ("key-1", MAX_TRUSTED_AGE_S + 0.01, False, "one"),
        ("key-4", CONFIG_BOUND_S - UNKNOWN_KEY_MARGIN_S, True, Denied),
        ("key-4", CONFIG_BOUND_S, True, Undecided),
        ("key-4", CONFIG_BOUND_S, False, Undecided),
        ("", 1000.0, True, Denied),
    ],
)
def test_key_authorization(
    key: str, age_s: float, strict: bool, expected: str | type
) -> None:
    """An old configuration proves neither that a key is valid nor that it is not."""
    digest = key_digest(key) if key else ""
    found = access(TWO_WORKSPACES, age_s=age_s, strict=strict).authorize(
        queue(), digest
    )
    if isinstance(expected, str):
        assert found == Granted(workspace=expected, digest=digest, version=1)
    else:
        assert isinstance(found, expected)


@pytest.mark.parametrize(
    ("config", "public", "expected"),
    [
        (CONFIG, False, Granted(version=1)),
        (TWO_WORKSPACES, True, Granted(version=1)),
        (config_of(), False, Denied(reason="a key is needed")),
        (None, False, Undecided(reason="no configuration yet")),
    ],
    ids=["no workspaces", "a public queue", "no workspace is left", "none yet"],
)
def test_requests_that_need_no_key(
    config: ClusterConfig | None, public: bool, expected: object
) -> None:
    judged = access(config, age_s=50.0).authorize(queue(public=public), "")
    assert judged == expected


@pytest.mark.parametrize(
    ("held", "version", "expected"),
    [
        (TWO_WORKSPACES, 0, True),
        (config_of(workspace("one", "key-2"), version=2), 1, False),
        (config_of(workspace("one", "key-2"), version=2), 2, True),
        (config_of(workspace("two", "key-1"), version=2), 1, False),
        (None, 1, True),
    ],
    ids=["still there", "taken away", "judged by this one", "moved", "none here"],
)
def test_grant_is_rechecked_against_a_newer_configuration(
    held: ClusterConfig | None, version: int, expected: bool
) -> None:
    granted = Granted(workspace="one", digest=key_digest("key-1"), version=version)
    assert access(held).still_grants(granted) is expected


def test_quotas_are_returned_only_while_known_to_be_current() -> None:
    quota = Amounts(processors=5)
    config = config_of(workspace("one", quota=quota))
    assert access(config, age_s=CONFIG_BOUND_S).quotas() == {"one": quota}
    assert access(config, age_s=CONFIG_BOUND_S + 0.1).quotas() is None
    assert access(None).quotas() is None
    assert access(CONFIG, age_s=1000.0).quotas() == {}


# --- how old the configuration may be -----------------------------------------------


def watch(table: MemoryFeedTable, clock: ManualClock) -> ConfigWatch:
    """Return a host's watch of the configuration row."""
    follower = ConfigFollower(
        store=table,
        table="op",
        key="op/config",
        read=lambda row: attrs.evolve(TWO_WORKSPACES, version=int(row.value)),
    )
    return ConfigWatch(
        follower=follower,
        reachability=Reachability(clock=clock),
        clock=clock,
        bound_s=3.0,
    )


@pytest.mark.parametrize(
    ("version", "asked_at", "age_s", "expected"),
    [(1, 50.0, 2.0, 48.0), (2, 50.0, 0.0, 10.0), (0, 50.0, 0.0, 10.0)],
    ids=["the same version", "a newer one", "none"],
)
def test_peer_confirms_the_configuration_age(
    version: int, asked_at: float, age_s: float, expected: float
) -> None:
    """A host without the table relies on confirmation by a host that reaches it."""
    config_watch = watch(MemoryFeedTable(), ManualClock())
    config_watch.follower.install(attrs.evolve(TWO_WORKSPACES, version=1))
    config_watch.confirmed_at = 10.0
    config_watch.note_version(version, asked_at=asked_at, age_s=age_s)
    assert config_watch.confirmed_at == expected


def test_an_unreadable_configuration_confirms_nothing() -> None:
    """The configuration in force is unknown: the age of the held one keeps growing."""

    def read(row: Row) -> ClusterConfig:
        raise errors.FindingsError(findings=())

    config_watch = watch(MemoryFeedTable(), ManualClock())
    config_watch.follower.install(TWO_WORKSPACES)
    config_watch.follower.read = read
    row = Row(key="op/config", value="2", version=2)
    config_watch.follower._apply_rows((row,), Snapshot(rows=(row,), version=2))
    config_watch.note_version(1, asked_at=50.0, age_s=0.0)
    assert config_watch.confirmed_at == float("-inf")


# --- through a front end --------------------------------------------------------------


async def call(
    job_frontend: JobFrontend, method: str, path: str, key: str = "", body: bytes = b""
) -> tuple[int, Any, dict[bytes, bytes]]:
    """Call the ASGI front end as the platform does; return status, body and headers."""
    sent: list[dict[str, Any]] = []
    headers = [(b"host", b"host.example")]
    if key:
        headers.append((b"authorization", f"Token {key}".encode()))
    scope = {"type": "http", "method": method, "path": path, "headers": headers}

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    await Front(job_frontend=job_frontend, is_ready=lambda: True)(scope, receive, send)
    answer = b"".join(each.get("body", b"") for each in sent)
    return sent[0]["status"], json.loads(answer), dict(sent[0]["headers"])


JOB = json.dumps(
    {"spec": "p", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100}]}
).encode()


def job_frontend_of(
    env: Cell, owner: Owner | None, config: ClusterConfig = TWO_WORKSPACES
) -> JobFrontend:
    """Return a front end whose configuration requires keys."""
    job_frontend = env.job_frontend(lambda: owner)
    job_frontend.config.current = config
    return job_frontend


@pytest.mark.parametrize("path", ["/q/", "/q/j"])
@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
@pytest.mark.parametrize("key", ["", "key-9"])
def test_every_call_needs_a_key(method: str, path: str, key: str) -> None:
    """Nothing is forwarded; the answer gives the reason and the scheme required."""

    async def run() -> None:
        async with cell() as env:
            owner = await env.own()
            job_frontend = job_frontend_of(env, owner)
            status, body, headers = await call(job_frontend, method, path, key, JOB)
            assert (status, headers[b"www-authenticate"]) == (401, b"Token")
            assert body["reason"] and "key-9" not in json.dumps(body)
            assert not owner.cluster_state.jobs

    run_async(run())


@pytest.mark.parametrize("with_owner", [True, False])
def test_job_is_visible_only_to_its_workspace(with_owner: bool) -> None:
    """With the key of another workspace it is not found, and cannot be cancelled."""

    async def run() -> None:
        async with cell(workers=0) as env:
            owner = await env.own() if with_owner else None
            job_frontend = job_frontend_of(env, owner)
            assert (await call(job_frontend, "POST", "/q/j", "key-1", JOB))[0] == 200
            assert (await call(job_frontend, "GET", "/q/j", "key-3"))[0] == 410
            assert (await call(job_frontend, "GET", "/q/j", "key-2"))[0] == 200
            if with_owner:
                assert (await call(job_frontend, "DELETE", "/q/j", "key-3"))[0] == 410
                assert (await call(job_frontend, "GET", "/q/j", "key-1"))[1][
                    "state"
                ] == "queued"
                assert (await call(job_frontend, "DELETE", "/q/j", "key-1"))[0] == 200

    run_async(run())


@pytest.mark.parametrize("with_owner", [True, False])
def test_job_id_of_another_workspace_is_not_a_duplicate(
    with_owner: bool,
) -> None:
    """If it were reported as accepted, the caller would wait for a job never stored."""

    async def run() -> None:
        async with cell(workers=0) as env:
            owner = await env.own() if with_owner else None
            job_frontend = job_frontend_of(env, owner)
            assert (await call(job_frontend, "POST", "/q/j", "key-1", JOB))[0] == 200
            assert (await call(job_frontend, "POST", "/q/j", "key-3", JOB))[0] == 400
            assert (await call(job_frontend, "POST", "/q/j", "key-2", JOB))[0] == 200

    run_async(run())


def test_job_keeps_its_workspace_after_it_ends_and_its_owner_dies() -> None:
    async def run() -> None:
        async with cell() as env:
            owner = await env.own()
            job_frontend = job_frontend_of(env, owner)
            await call(job_frontend, "POST", "/q/j", "key-1", JOB)
            await until(lambda: owner.state("j", "one").state == "completed")
            await env.close()
            env.tasks.clear()
            for again in (None, await env.own("two")):
                job_frontend = job_frontend_of(env, again)
                assert (await call(job_frontend, "GET", "/q/j", "key-3"))[0] == 410
                status, body, _ = await call(job_frontend, "GET", "/q/j", "key-1")
                assert (status, body["state"]) == (200, "completed")

    run_async(run())


def test_each_request_is_authorized_separately() -> None:
    """A revoked key is rejected even on connections opened before the revocation."""

    async def run() -> None:
        async with cell() as env:
            job_frontend = job_frontend_of(env, await env.own())
            assert (await call(job_frontend, "POST", "/q/j", "key-1", JOB))[0] == 200
            job_frontend.config.current = config_of(
                workspace("one", "key-2"), version=2
            )
            assert (await call(job_frontend, "GET", "/q/j", "key-1"))[0] == 401
            assert (await call(job_frontend, "GET", "/q/j", "key-2"))[0] == 200

    run_async(run())


def test_host_with_a_stale_configuration_answers_unavailable() -> None:
    """It neither runs a job with a key that may be revoked nor rejects the key."""

    async def run() -> None:
        async with cell() as env:
            job_frontend = job_frontend_of(env, await env.own())
            job_frontend.access = access(TWO_WORKSPACES, age_s=60.0)
            for key in ("key-1", "key-9"):
                status, _, headers = await call(job_frontend, "POST", "/q/j", key, JOB)
                assert status == 503 and int(headers[b"retry-after"]) >= 1
            assert not [each for each in env.table.rows if each.startswith("inbox/")]

    run_async(run())


def test_owner_rechecks_grants_against_a_newer_configuration() -> None:
    """A host that has not seen a revocation yet may forward a request it would deny."""

    async def run() -> None:
        async with cell() as env:
            owner = await env.own()
            owner.access = access(config_of(workspace("one", "key-2"), version=2))
            job_frontend = job_frontend_of(env, owner)
            answer = await call(job_frontend, "POST", "/q/j", "key-1", JOB)
            assert answer[0] == 401 and not owner.cluster_state.jobs
            granted = Granted(workspace="one", digest=key_digest("key-2"), version=1)
            req = SubmitRequest(
                job_id="k", queue=queue(), spec=job(step()), access=granted
            )
            assert (await owner.submit(req)).accepted

    run_async(run())


def test_decoded_configuration_holds_no_plain_text_key() -> None:
    """Dumps, logs and messages are built from the decoded configuration."""
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
