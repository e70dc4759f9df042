"""Tests what the log says of attempts whose worker is lost.

A crashed worker is back as another incarnation; a partitioned one is silent, and what
runs there ends with its leases. An attempt that had only just begun may have caused the
crash, so the event says that the attempt had begun.
"""

from typing import Any

import pytest

from cranberrycleat import events
from cranberrycleat.standins.fleet import SimulatedWork
from cranberrycleat.workflow import cluster_state as cluster_state_module
from cranberrycleat.workflow.fleet import LossCause
from tests.cell import cell, job, step, submit, until
from tests.fakes import run_async


@pytest.mark.parametrize("loss", list(LossCause), ids=lambda loss: loss.name)
def test_log_distinguishes_crash_from_silence(
    loss: LossCause, monkeypatch: pytest.MonkeyPatch
) -> None:
    emitted: list[Any] = []
    monkeypatch.setattr(cluster_state_module, "emit", emitted.append)

    async def run() -> None:
        async with cell(workers=1) as env:
            env.fleet.work = lambda task, attempt: SimulatedWork(seconds=0.5)
            owner = await env.own()
            await submit(owner, "a", job(step(1)))
            await until(lambda: len(env.fleet.starts) == 1)
            worker = env.fleet.workers["w0"]
            if loss is LossCause.REPLACED:
                env.fleet.crash_and_restart(worker)
            else:
                worker.silent = True
            await until(lambda: bool(given_up(emitted)))

    run_async(run())
    first = given_up(emitted)[0]
    assert first.reason == loss.value
    assert first.began


def given_up(emitted: list[Any]) -> list[events.TaskGivenUp]:
    """Return the events of attempts that were given up."""
    return [each for each in emitted if isinstance(each, events.TaskGivenUp)]
