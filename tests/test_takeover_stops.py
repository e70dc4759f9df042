"""Tests which stops a new owner sends.

The row of a job that was cancelled or failed names the attempts that still counted when
it was written; it is not written again when they have ended. On a day with many
cancellations a new owner sent 353 stops in its first 0.2 s, all for attempts that were
over, and opened up to 40 connections to one worker.
"""

import asyncio
from typing import Any

import attrs
import pytest

from cranberrycleat.backoff import Backoff
from cranberrycleat.standins.fleet import SimulatedWork, StandinFleet, WorkerEvent
from cranberrycleat.workflow.links import STOP_RESEND_S
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.ports import OrderReply, SyncReply, WorkerEntry
from tests.cell import Cell, cell, job, step, submit, until
from tests.fakes import run_async

TASKS = 12
SYNC_S = 0.05


@attrs.define(kw_only=True, eq=False)
class DelayedFleet(StandinFleet):
    """Workers whose answers to syncs take a while on the network."""

    async def sync(self, entry: WorkerEntry, **more: Any) -> SyncReply | OrderReply:
        """Delay the request."""
        await asyncio.sleep(SYNC_S)
        return await StandinFleet.sync(self, entry, **more)


def set_silent(env: Cell, silent: bool) -> None:
    """Make all workers silent, or have them answer."""
    for worker in env.fleet.workers.values():
        worker.silent = silent


def running(env: Cell) -> int:
    """Return how many tasks run."""
    return sum(len(worker.runs) for worker in env.fleet.workers.values())


def record_stops(env: Cell) -> list[WorkerEvent]:
    """Return a list of the stops that workers receive from now on."""
    stops: list[WorkerEvent] = []
    env.fleet.on_event = lambda each: (
        stops.append(each) if each.what == "stop" else None
    )
    return stops


async def cancel_while_silent(env: Cell) -> None:
    """Run and cancel a job while its workers are silent: its row names its attempts."""
    owner = await env.own("one")
    env.fleet.work = lambda task, attempt: SimulatedWork(seconds=30.0)
    await submit(owner, "a", job(step(TASKS)))
    await until(lambda: len(env.fleet.starts) == TASKS)
    set_silent(env, True)
    await owner.cancel("a")


# Guards against a burst of useless orders at a takeover, which left no connections for
# starts (LOST).
def test_new_owner_sends_no_stops_for_attempts_that_are_over() -> None:
    async def run() -> None:
        async with cell(fleet=DelayedFleet(), worker_lease_s=3.0) as env:
            await cancel_while_silent(env)
            set_silent(env, False)
            await until(lambda: running(env) == 0)
            await env.close()
            stops = record_stops(env)
            owner = await env.own("two")
            workers = owner.cluster_state.fleet.workers
            assert any(worker.placements for worker in workers.values())
            await until(lambda: not any(w.placements for w in workers.values()))
            assert stops == []

    run_async(run())


# Guards against a cancelled task that runs on (UNASKED) because its worker could not be
# reached when it was to be stopped.
@pytest.mark.parametrize("silent_s", [0.0, 0.6])
def test_attempt_that_still_runs_is_stopped_once_its_worker_answers(
    silent_s: float,
) -> None:
    async def run() -> None:
        async with cell(fleet=DelayedFleet(), worker_lease_s=3.0) as env:
            await cancel_while_silent(env)
            await env.close()
            await env.own("two")
            await asyncio.sleep(silent_s)
            set_silent(env, False)
            await until(lambda: running(env) == 0, limit_s=2.0)

    run_async(run())


# Guards against a cancelled task that runs on (UNASKED): pauses between stops must not
# grow while the owner may send none.
def test_stop_is_sent_soon_after_authority_is_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        async with cell(workers=1, worker_lease_s=9.0) as env:
            owner = await env.own("one")
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=30.0)
            await submit(owner, "a", job(step(1)))
            await until(lambda: running(env) == 1)
            stops = record_stops(env)
            # Any pause that grows is longer than the test.
            monkeypatch.setattr(Backoff, "next_s", lambda _: 60.0)
            with monkeypatch.context() as patch:
                patch.setattr(Owner, "may_order", lambda _: False)
                for worker, placement in owner.cluster_state.placements_of("a"):
                    owner.cluster_state.stop(worker, placement, "cancelled")
                owner.stop_soon()
                await asyncio.sleep(STOP_RESEND_S)
            # Its task is placed again at once, since the job is not cancelled.
            await until(lambda: bool(stops))

    run_async(run())
