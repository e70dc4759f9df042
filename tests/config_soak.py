"""Soak test of configuration changes under faults: `python -m tests.config_soak`.

Hosts follow one table, each over its own slow link, while versions of random sizes are
written singly and in series. Faults: answers are truncated, stall or are refused, the
table drops its history, and the process is paused. Checks against the versions that the
operator wrote: no host goes back to an older version, none holds a partial or mixed
one, and after the faults end all hold the newest and consider it current. A seed
repeats the random choices but not the interleaving, since the test uses real time.
"""

import asyncio
import contextlib
import random
import time
from typing import Final

import attrs
import click

from cranberrycleat import errors
from cranberrycleat.http_client import HttpClient
from cranberrycleat.platform.records import CONFIG_KEY, CONFIG_TABLE, read_config
from cranberrycleat.platform.store import PlatformStore
from cranberrycleat.workflow.directory import ConfigFollower
from tests.slow_table import WAIT_S, SlowLinkTable, slow_link

HOSTS: Final = 3
ACTIONS: Final = (
    "write",
    "write",
    "series",
    "break",
    "silent",
    "refuse",
    "forget",
    "pause",
)
"""Random actions; writes are twice as likely as each other action."""
MAX_PAUSE_S: Final = 1.3
"""Exceeds the stall timeout of a read."""
MAX_QUEUES: Final = 600
CONVERGENCE_TIMEOUT_S: Final = 20.0
"""Far longer than two reads, including a stalled one."""


@attrs.define(kw_only=True, eq=False)
class Host:
    """A host and its history of configurations.

    Attributes:
        follower: Its configuration follower.
        history: The versions that it held, each with its number of queues.
    """

    follower: ConfigFollower
    history: list[tuple[int, int]] = attrs.field(factory=list)

    async def follow(self) -> None:
        """Follow the configuration forever, recording the version held."""
        while True:
            try:
                await self.follower.follow(WAIT_S)
            except errors.TableUnavailable:
                await asyncio.sleep(WAIT_S)
            held = self.follower.current
            if held is not None:
                self.history.append((held.version, len(held.queues)))


@attrs.define(kw_only=True, eq=False)
class Soak:
    """A soak run.

    Attributes:
        seed: Seed of the random choices.
        seconds: Duration of the phase with changes and faults.
        written: The versions that the operator wrote, with their numbers of queues.
        faults: The actions performed, printed with a failure.
    """

    seed: int
    seconds: float
    written: dict[int, int] = attrs.field(factory=dict)
    faults: list[str] = attrs.field(factory=list)
    _rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self.written[1] = 1

    async def run(self) -> list[str]:
        """Run the soak; return the violations found."""
        async with slow_link(self._rng.uniform(0.05, 1.6)) as (table, store):
            hosts = [self._host(store) for _ in range(HOSTS)]
            tasks = [asyncio.create_task(host.follow()) for host in hosts]
            try:
                await self._inject_faults(table, hosts)
                await self._await_convergence(table, hosts)
                ended = [task.exception() for task in tasks if task.done()]
                return [*self._violations(hosts), *(f"ended: {exc!r}" for exc in ended)]
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                for host in hosts:
                    await _close(host)

    @staticmethod
    def _host(store: PlatformStore) -> Host:
        own = PlatformStore(address=store.address, http=HttpClient())
        follower = ConfigFollower(
            store=own, table=CONFIG_TABLE, key=CONFIG_KEY, read=read_config
        )
        return Host(follower=follower)

    async def _inject_faults(self, table: SlowLinkTable, hosts: list[Host]) -> None:
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(4.0))
            action = self._rng.choice(ACTIONS)
            self.faults.append(action)
            match action:
                case "write":
                    self._write(table, hosts)
                case "series":
                    for _ in range(self._rng.randint(2, 8)):
                        self._write(table, hosts)
                        await asyncio.sleep(self._rng.uniform(0.0, 0.1))
                case "break":
                    table.break_off_at = self._rng.randint(1, table.size)
                case "silent":
                    table.silent_at = self._rng.randint(1, table.size)
                case "refuse":
                    table.refusals = self._rng.randint(1, 5)
                case "forget":
                    table.forget()
                case _:
                    time.sleep(self._rng.uniform(0.1, MAX_PAUSE_S))

    def _write(self, table: SlowLinkTable, hosts: list[Host]) -> None:
        version = max(self.written) + self._rng.randint(1, 3)
        queues = self._rng.randint(1, MAX_QUEUES)
        self.written[version] = queues
        table.write(version, queues=queues)
        for host in hosts:
            if self._rng.random() < 0.5:
                host.follower.note_version(version, time.monotonic())

    async def _await_convergence(self, table: SlowLinkTable, hosts: list[Host]) -> None:
        """Stop the faults and wait until all hosts hold the newest version."""
        table.break_off_at = table.silent_at = table.refusals = 0
        newest = max(self.written)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
                while any(host.follower.version != newest for host in hosts):
                    await asyncio.sleep(WAIT_S)

    def _violations(self, hosts: list[Host]) -> list[str]:
        newest = max(self.written)
        found: list[str] = []
        for number, host in enumerate(hosts):
            versions = [version for version, _ in host.history]
            if versions != sorted(versions):
                found.append(f"host {number} went back: {versions}")
            for version, queues in host.history:
                if self.written.get(version) != queues:
                    found.append(f"host {number} held {queues} queues of {version}")
            if host.follower.version != newest:
                found.append(
                    f"host {number} holds {host.follower.version}, not {newest}"
                )
            elif host.follower.late_s(time.monotonic()) > 0:
                found.append(f"host {number} considers its configuration late")
        return found


async def _close(host: Host) -> None:
    store = host.follower.store
    assert isinstance(store, PlatformStore)
    await store.http.close()


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="The first seed.")
@click.option("--runs", type=int, default=10, show_default=True, help="How many seeds.")
@click.option(
    "--seconds",
    type=float,
    default=6.0,
    show_default=True,
    help="Length of each fault phase.",
)
def main(seed: int, runs: int, seconds: float) -> None:
    """Run some seeds; exits with 1 if any finds a violation."""
    failed = 0
    for each in range(seed, seed + runs):
        soak = Soak(seed=each, seconds=seconds)
        found = asyncio.run(soak.run())
        failed += bool(found)
        click.echo(f"seed {each}: {len(soak.written)} versions, {found or 'good'}")
        if found:
            click.echo(f"  {soak.faults}")
    click.echo(f"{runs - failed} good, {failed} bad")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
