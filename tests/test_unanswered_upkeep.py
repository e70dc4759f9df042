"""Tests upkeep orders that got no answer and may have been carried out."""

import asyncio

import attrs
import pytest

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.table import Put
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.fleet import FleetWorker, Liveness
from cranberrycleat.workflow.upkeep import (
    Machine,
    MachineState,
    MachinesUnavailable,
    MachineVerdict,
    Wave,
)
from cranberrycleat.workflow.upkeep_director import UpkeepDirector
from tests.cell import cell, entry, until
from tests.fakes import run_async


@attrs.define(kw_only=True, eq=False)
class LossyMachines:
    """A machine API that carries out the first order without answering it."""

    second: MachineVerdict
    other: FleetWorker
    orders: list[str] = attrs.field(factory=list)

    async def machines(self) -> tuple[Machine, ...]:
        """Return two machines; the first one's upkeep shows in the next list."""
        state = MachineState.UPKEEP if self.orders else MachineState.UP
        return (
            Machine(name="m0", pool="pool", state=state, worker="w0"),
            Machine(name="m1", pool="pool", state=MachineState.UP, worker="w1"),
        )

    async def start_upkeep(
        self, *, machine: str, wave: int, holder: str, epoch: int
    ) -> MachineVerdict:
        """Begin an upkeep."""
        self.orders.append(machine)
        if len(self.orders) == 1:
            # Meanwhile the other machine's work ends.
            self.other.used = NOTHING
            raise MachinesUnavailable("no answer")
        return self.second if machine == "m0" else MachineVerdict.ACCEPTED

    async def move(
        self, *, machine: str, pool: str, holder: str, epoch: int
    ) -> MachineVerdict:
        """Reject every move."""
        return MachineVerdict.BUSY


# Guards against more machines down than a wave allows (LIMIT): an upkeep without answer
# may have begun, whatever a second order is told.
@pytest.mark.parametrize("second", [MachineVerdict.BUSY, MachineVerdict.TOO_MANY_CALLS])
def test_unanswered_upkeep_counts_towards_cap(second: MachineVerdict) -> None:
    async def run() -> None:
        state = ClusterState()
        first, other = (
            FleetWorker(entry=entry(name), liveness=Liveness.LIVE)
            for name in ("w0", "w1")
        )
        state.fleet.add(first)
        state.fleet.add(other)
        first.used = Amounts(processors=1000)
        other.used = Amounts(processors=2000)
        client = LossyMachines(second=second, other=other)
        wave = Wave(number=1, machines=("m0", "m1"), due_in_s=60.0, cap=1)

        async with cell(workers=0) as env:
            director = UpkeepDirector(
                client=client,
                writer=env.table,
                status=lambda number, state: Put(key="status/wave/1", value=state),
                written_state=lambda row: row.value,
                waves=lambda: {1: wave},
                cluster_state=state,
                holder="one",
                epoch=lambda: 1,
                may_order=lambda: True,
                stop_soon=lambda: None,
                clock=env.clock,
            )
            began = asyncio.create_task(director.run())
            await until(lambda: len(client.orders) >= 3)
            began.cancel()
            assert "m1" not in client.orders[:3], client.orders

    run_async(run())
