"""Machines with upkeep for the cell of `tests.cell`, and owners that carry it out."""

import asyncio
from typing import Final

import attrs

from cranberrycleat.table import Put
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.upkeep import (
    Machine,
    MachineState,
    MachinesUnavailable,
    MachineVerdict,
    Wave,
)
from cranberrycleat.workflow.upkeep_director import UpkeepDirector
from tests.cell import Cell

UPKEEP_S: Final = 0.3
WAVE: Final = 1
STATUS_KEY: Final = f"status/wave/{WAVE}"


@attrs.define(kw_only=True, eq=False)
class SimulatedMachines:
    """The platform's machine API: machine `m-W` has worker W.

    Attributes:
        env: The cell whose workers are on the machines.
        wave: The wave that the platform knows.
        verdicts: The answer to each order for a machine, instead of its own.
        orders: The machines for which upkeep was ordered, in order.
        begun: The machines whose upkeep has begun, in order.
        most_down: The most machines that were down at once.
        states: The states of machines that are not up.
        asked: Whether the operator has requested the wave.
        away: Whether nothing is answered.
        unanswered: The machines for which no order is answered or carried out.
    """

    env: Cell
    wave: Wave
    verdicts: dict[str, MachineVerdict] = attrs.field(factory=dict)
    orders: list[str] = attrs.field(factory=list)
    begun: list[str] = attrs.field(factory=list)
    most_down: int = 0
    states: dict[str, MachineState] = attrs.field(factory=dict)
    asked: bool = True
    away: bool = False
    unanswered: set[str] = attrs.field(factory=set)
    tasks: "set[asyncio.Task[None]]" = attrs.field(factory=set)

    async def machines(self) -> tuple[Machine, ...]:
        """Return every machine."""
        if self.away:
            raise MachinesUnavailable("away")
        return tuple(
            Machine(
                name=f"m-{worker}",
                pool="pool",
                state=self.states.get(f"m-{worker}", MachineState.UP),
                worker=worker,
            )
            for worker in sorted(self.env.fleet.workers)
        )

    async def start_upkeep(
        self, *, machine: str, wave: int, holder: str, epoch: int
    ) -> MachineVerdict:
        """Begin a machine's upkeep unless it was done already."""
        self.orders.append(machine)
        if self.away or machine in self.unanswered:
            raise MachinesUnavailable("no answer")
        if machine in self.verdicts:
            return self.verdicts[machine]
        if machine in self.begun:
            return MachineVerdict.ACCEPTED
        if machine not in self.wave.machines:
            return MachineVerdict.NOT_OF_WAVE
        if machine in self.states:
            return MachineVerdict.BUSY
        self.begun.append(machine)
        self.states[machine] = MachineState.UPKEEP
        self.most_down = max(self.most_down, len(self.states))
        self.tasks.add(asyncio.create_task(self._maintain(machine)))
        return MachineVerdict.ACCEPTED

    async def move(
        self, *, machine: str, pool: str, holder: str, epoch: int
    ) -> MachineVerdict:
        """Reject every move."""
        return MachineVerdict.BUSY

    async def _maintain(self, machine: str) -> None:
        name = machine.removeprefix("m-")
        before = self.env.fleet.workers[name]
        before.silent = True
        before.runs.clear()
        await asyncio.sleep(UPKEEP_S)
        before.silent = False
        self.env.restart_worker(name)
        del self.states[machine]

    @property
    def status(self) -> str:
        """What the system has written of the wave; empty for nothing."""
        row = self.env.table.rows.get(STATUS_KEY)
        return "" if row is None else row.value


def make_director(machines: SimulatedMachines, owner: Owner) -> UpkeepDirector:
    """Return the director of an owner."""
    return UpkeepDirector(
        client=machines,
        writer=machines.env.table,
        status=lambda number, state: Put(key=f"status/wave/{number}", value=state),
        written_state=lambda row: row.value,
        waves=lambda: {WAVE: machines.wave} if machines.asked else {},
        cluster_state=owner.cluster_state,
        holder="one",
        epoch=lambda: owner.epoch,
        may_order=owner.may_order,
        stop_soon=owner.stop_soon,
        clock=machines.env.clock,
    )


async def own_with_upkeep(machines: SimulatedMachines, name: str) -> Owner:
    """Wait for the lease, take over under a host name and carry out the wave."""
    env = machines.env
    owner = env.make_owner(name)
    owner.director = make_director(machines, owner)
    while not await owner.lease.acquire():
        await asyncio.sleep(0.02)
    env.tasks.append(asyncio.create_task(owner.run()))
    await owner.ready.wait()
    return owner


async def kill(machines: SimulatedMachines, owner: Owner) -> None:
    """End the newest owner without a handover."""
    task = machines.env.tasks[-1]
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def hand_over(machines: SimulatedMachines, owner: Owner) -> None:
    """Stop an owner; it hands the ownership over."""
    await owner.hand_over()
    await asyncio.gather(machines.env.tasks[-1], return_exceptions=True)
