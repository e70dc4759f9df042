"""Tests what the log says of reads of the list of workers, and of starts by them."""

from collections.abc import Iterator
from typing import Any

import pytest

from cranberrycleat import events
from cranberrycleat.logs import set_observer
from tests.cell import Cell, cell, job, step, submit, until
from tests.fakes import run_async


@pytest.fixture(name="told")
def observed_events() -> Iterator[list[Any]]:
    """Return the list of emitted events."""
    told: list[Any] = []
    set_observer(told.append)
    yield told
    set_observer(None)


def test_start_tells_version_and_age_of_entry_that_it_relies_on(
    told: list[Any],
) -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            owner = await env.own()
            await submit(owner, "a", job(step(1)))
            await until(lambda: any(isinstance(e, events.TaskStarted) for e in told))
            (start,) = [e for e in told if isinstance(e, events.TaskStarted)]
            assert start.entry_version == env.table.version("servers/w0")
            assert 0 <= start.entry_age_s < 8.0

    run_async(run())


def test_failed_reads_of_list_are_reported_once_and_when_they_end(
    told: list[Any],
) -> None:
    """Only reads of the list fail; writes, and so the ownership, go on."""

    async def run() -> None:
        async with cell(workers=1) as env:
            owner = await env.own()
            env.table.faults.unreadable_feeds.add("servers")
            await until(lambda: owner.clock.now() - owner.directory.read_at > 1.0)
            env.table.faults.unreadable_feeds.clear()
            await until(
                lambda: any(isinstance(e, events.WorkersListRead) for e in told)
            )
            assert owner.lease.is_valid()

    run_async(run())
    assert sum(isinstance(e, events.WorkersListUnread) for e in told) == 1
    (read,) = [e for e in told if isinstance(e, events.WorkersListRead)]
    assert read.failed >= 1 and read.unread_s > 0.9


# Guards against a list that is too old for starts because its reads take long.
@pytest.mark.parametrize(
    ("took_s", "pause_s"),
    [(0.0, 0.5), (0.01, 0.49), (0.3, 0.2), (0.45, 0.1), (2.0, 0.1)],
)
def test_slow_reads_begin_as_often(took_s: float, pause_s: float) -> None:
    owner = Cell().make_owner("one")
    owner.worker_list_settled_at = float("-inf")
    assert owner.worker_list_pause_s(took_s) == pytest.approx(pause_s)


def test_leaving_tells_version_of_entry_and_gap_between_reads(told: list[Any]) -> None:
    async def run() -> None:
        async with cell(workers=1) as env:
            owner = await env.own()
            env.drain_worker("w0")
            version = env.table.version("servers/w0")
            await until(lambda: owner.cluster_state.fleet.workers["w0"].entry.leaving)
            (leaving,) = [e for e in told if isinstance(e, events.WorkerLeaving)]
            assert leaving.entry_version == version
            assert 0 < leaving.unread_s < 8.0

    run_async(run())
