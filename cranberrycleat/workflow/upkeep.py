"""Planned upkeep of machines, in waves under a cap and a due time.

Answers operators' waves beside running work: a machine is emptied before its
upkeep ends everything on it. Its worker draws nothing more; work that saves its
progress, and services as far as their budget of absent members allows, move
away; the rest is waited for as long as the wave's time allows. A wave is said
to be complete only after every machine of it that is still there has begun.

The platform answers an upkeep that was asked for before as done, so that a
successor starts over from the list of machines without any record of its own.
"""

import enum
from typing import Final, Protocol

import attrs

from cranberrycleat.workflow.fleet import Fleet, FleetWorker, Liveness, Placement
from cranberrycleat.workflow.state import StepRun

DRAIN_WAIT_FRACTION: Final = 0.5
"""Of the time that a wave leaves for each machine, the share in which running
work may end by itself."""


class MachineState(enum.Enum):
    """What a machine is doing."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@attrs.frozen(kw_only=True)
class Machine:
    """A machine as the platform lists it; `worker` is empty while it has none.

    The list names a worker by its identity, which tells no incarnations apart.
    """

    name: str
    pool: str
    state: MachineState
    worker: str


@attrs.frozen(kw_only=True)
class Wave:
    """An operator's request for upkeep.

    Attributes:
        number: The wave's number.
        machines: The machines that are to have it.
        due_in_s: How long it may take, from when it is first seen.
        cap: How many may be down for it at once.
    """

    number: int
    machines: tuple[str, ...]
    due_in_s: float
    cap: int


class MachineVerdict(enum.Enum):
    """The platform's answer to an order for a machine."""

    ACCEPTED = "accepted"
    STALE_EPOCH = "stale-epoch"
    BUSY = "busy"
    NOT_OF_WAVE = "not-of-wave"
    NO_MACHINE = "no-machine"
    TOO_MANY_CALLS = "too-many-calls"


class MachinesUnavailable(Exception):
    """No answer came; an order may have been or may yet be carried out."""


class MachineClient(Protocol):
    """The platform's interface to machines."""

    async def machines(self) -> tuple[Machine, ...]:
        """Return every machine; raises `MachinesUnavailable`."""

    async def start_upkeep(
        self, *, machine: str, wave: int, holder: str, epoch: int
    ) -> MachineVerdict:
        """Have a machine's upkeep begin; raises `MachinesUnavailable`."""

    async def move(
        self, *, machine: str, pool: str, holder: str, epoch: int
    ) -> MachineVerdict:
        """Move a machine to another pool; raises `MachinesUnavailable`."""


@attrs.define(kw_only=True, eq=False)
class WaveRun:
    """A wave that is under way.

    Attributes:
        wave: What was asked for.
        seen_at: When it was first seen, on the owner's clock.
        begun: Machines whose upkeep has begun or is over.
        chosen: Machines that are being emptied.
        told: The state that was written last.
    """

    wave: Wave
    seen_at: float
    begun: set[str] = attrs.field(factory=set)
    draining: set[str] = attrs.field(factory=set)
    written_state: str = ""

    def left(self, machines: dict[str, Machine]) -> list[str]:
        """Return the machines that still have to begin."""
        return [
            name
            for name in self.wave.machines
            if name not in self.begun and name in machines
        ]

    def is_complete(self, machines: dict[str, Machine]) -> bool:
        """Tell whether every machine that is still there has begun."""
        return not self.left(machines)

    def select_machines(self, machines: dict[str, Machine], fleet: Fleet) -> list[str]:
        """Choose machines to empty, so that at most `cap` are away at once."""
        down = sum(
            machines[name].state is not MachineState.UP
            for name in self.wave.machines
            if name in machines
        )
        self.draining &= set(self.left(machines))
        available = self.wave.cap - down - len(self.draining)
        waiting = [
            name
            for name in self.left(machines)
            if name not in self.draining and machines[name].state is MachineState.UP
        ]
        waiting.sort(key=lambda name: (_load(machines[name], fleet), name))
        newly_draining = waiting[: max(0, available)]
        self.draining.update(newly_draining)
        return newly_draining

    def wait_s(self, now: float, machines: dict[str, Machine]) -> float:
        """Return how long a machine's work may still end by itself."""
        left_s = self.seen_at + self.wave.due_in_s - now
        rounds = -(-len(self.left(machines)) // max(1, self.wave.cap))
        return left_s * DRAIN_WAIT_FRACTION / max(1, rounds)


def _load(machine: Machine, fleet: Fleet) -> int:
    worker = fleet.newest.get(machine.worker)
    return 0 if worker is None else worker.used.processors


def placements_to_move(worker: FleetWorker) -> list[Placement]:
    """Return the attempts that are to leave a machine before its upkeep, now."""
    selected: list[Placement] = []
    stopped: dict[str, int] = {}
    for each in worker.placements.values():
        task = each.tracked_task
        if task is None or each.stopping or not each.running:
            continue
        step = task.step
        if step.spec.service:
            stopped_here = stopped.get(step.name, 0)
            if absent_members(step) + stopped_here < step.spec.may_be_away:
                stopped[step.name] = stopped_here + 1
                selected.append(each)
        elif step.spec.checkpoints:
            selected.append(each)
    return selected


def absent_members(step: StepRun) -> int:
    """Return how many members of a service step are not at work."""
    return sum(not task.at_full_speed for task in step.tasks)


def may_begin_upkeep(worker: FleetWorker | None, wait_s: float) -> bool:
    """Tell whether a chosen machine's upkeep may begin.

    Services are never ended by it while their budget does not allow; anything
    else is waited for while there is time.
    """
    if worker is None or worker.liveness is Liveness.GONE:
        return True
    placements = list(worker.placements.values())
    if any(
        each.tracked_task and each.tracked_task.step.spec.service for each in placements
    ):
        return False
    return not placements or wait_s <= 0
