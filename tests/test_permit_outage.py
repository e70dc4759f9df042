"""Tests the calls to a permit service that answers nobody."""

import asyncio

import attrs

from cranberrycleat import events
from cranberrycleat.logs import set_observer
from cranberrycleat.workflow.ports import Permit, PermitTiming, PermitUnavailable
from cranberrycleat.workflow.state import JobState
from tests.cell import AllPermits, cell, job, queue, step, submit, until
from tests.fakes import run_async

TIMING = PermitTiming(decide_s=0.01, each_s=0.0, valid_s=5.0)
JOBS = 10
OUTAGE_S = 2.0
MAX_CALLS = 30
"""Calls during the outage: two at a time, with pauses of 0.1 to 0.5 s in between."""


@attrs.define(kw_only=True, eq=False)
class RefusingPermits(AllPermits):
    """A permit service that refuses every call at once while it is down."""

    down: bool = True
    refused: int = 0

    async def ask(
        self, *, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> tuple[Permit, ...]:
        """Allow every worker, unless the service is down."""
        if self.down:
            self.refused += 1
            await asyncio.sleep(0)
            raise PermitUnavailable("status 503")
        return await AllPermits.ask(
            self, step=step, workers=workers, timeout_s=timeout_s
        )


# Guards against calls without pause to a service that refuses them, with a log line for
# each, and against steps that are left without permits when it answers again.
def test_refusing_permit_service_is_called_with_pauses() -> None:
    permits = RefusingPermits()
    lines: list[events.PermitsFailed] = []

    def observe(found: object) -> None:
        if isinstance(found, events.PermitsFailed):
            lines.append(found)

    async def run() -> None:
        async with cell(permits=permits) as env:
            owner = await env.own()
            for number in range(JOBS):
                await submit(
                    owner, f"j{number}", job(step(1)), at=queue(permits=TIMING)
                )
            await asyncio.sleep(OUTAGE_S)
            assert permits.refused <= MAX_CALLS
            permits.down = False
            reported = owner.cluster_state.reported
            await until(
                lambda: all(
                    reported.get(f"j{number}") is JobState.COMPLETED
                    for number in range(JOBS)
                )
            )

    set_observer(observe)
    try:
        run_async(run())
    finally:
        set_observer(None)
    assert 0 < len(lines) == permits.refused
