"""Keys revoked while a host is partitioned: complete nodes and a persistent connection.

Guards against a host that cannot know of a revocation and keeps serving the revoked key
beyond the bound, or that rejects a valid key.
"""

import attrs

from cranberrycleat.http_client import HttpClient, HttpReply
from cranberrycleat.table import Row
from cranberrycleat.workflow.access import REVOKED_KEY_MARGIN_S
from cranberrycleat.workflow.node import Node
from cranberrycleat.workflow.ports import ClusterConfig
from tests.cell import Cell, cell, until
from tests.fakes import run_async
from tests.test_access import TWO_WORKSPACES, config_of, workspace
from tests.test_late_config import holds, write
from tests.test_node import nodes

REVOKE_BOUND_S = 2.8 + REVOKED_KEY_MARGIN_S
"""Polls confirm the configuration as of when they were sent, up to 1 s earlier, and the
next answer arrives 1 s later; the confirmation by the owner adds 0.3 s."""
WITHOUT_KEY_2 = config_of(workspace("one", "key-1"), workspace("two", "key-3"))
VERSIONS = {1: TWO_WORKSPACES, 2: TWO_WORKSPACES, 3: WITHOUT_KEY_2}


def read(row: Row) -> ClusterConfig:
    """Return the configuration for the version in a row."""
    version = int(row.value)
    return attrs.evolve(VERSIONS[version], version=version)


async def require_keys(running: list[Node], env: Cell) -> None:
    """Have every node load a configuration with workspaces."""
    for node in running:
        node._config.follower.read = read
        node._access.revoke_bound_s = REVOKE_BOUND_S
    write(env, 2)
    await until(lambda: all(holds(node, 2) for node in running))


async def ask(http: HttpClient, node: Node, key: str) -> HttpReply:
    """Request a queue over a connection that stays open."""
    return await http.call(
        "GET",
        f"http://{node.adapter.settings.front}/q/",
        headers={"Host": "host.example", "Authorization": f"Token {key}"},
        timeout_s=5.0,
    )


# Guards against a revoked key that stays valid on a partitioned host (CONFIG), and
# against a host that refuses although the owner confirms its configuration.
def test_host_without_the_table_serves_until_the_revocation_bound() -> None:
    async def run() -> None:
        http = HttpClient()
        async with cell() as env, nodes(env) as running:
            await require_keys(running, env)
            owner, cut = running
            cut.adapter.path.cut = True  # type: ignore[attr-defined]
            await until(lambda: cut._config.failed_reads > 1)
            trusted_until = cut.clock.now() + REVOKE_BOUND_S
            await until(lambda: cut.clock.now() > trusted_until)
            assert (await ask(http, cut, "key-2")).status == 200
            write(env, 3)
            acked = cut.clock.now()
            await until(lambda: holds(owner, 3))
            assert (await ask(http, owner, "key-2")).status == 401
            assert (await ask(http, owner, "key-1")).status == 200
            answers = []
            while cut.clock.now() < acked + REVOKE_BOUND_S + 1.0:
                sent_s = cut.clock.now() - acked
                answers.append((sent_s, (await ask(http, cut, "key-2")).status))
            served = [sent_s for sent_s, status in answers if status == 200]
            assert served and max(served) < REVOKE_BOUND_S
            assert {status for _, status in answers} == {200, 503}, "never a false 401"
            cut.adapter.path.cut = False  # type: ignore[attr-defined]
            await until(lambda: holds(cut, 3))
            assert (await ask(http, cut, "key-2")).status == 401
            assert (await ask(http, cut, "key-1")).status == 200
        await http.close()

    run_async(run())
