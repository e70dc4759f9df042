"""Planned maintenance of machines ("upkeep" in the platform's API).

Operators request upkeep in waves, each with a cap on the machines that are down at
once and a due time. A machine is drained before its upkeep kills everything on it:
its worker gets no new tasks; checkpointed work is moved away, and so are service
members as far as their disruption budget allows; other work may finish as long as the
wave's due time allows. A wave is reported as completed only after upkeep has begun on
every machine of it that still exists.

The platform accepts a repeated request for upkeep that was already done, so a new
owner can start over from the list of machines without any stored state.
"""

import enum
from typing import Final, Protocol

import attrs

from cranberrycleat.workflow.fleet import Fleet, FleetWorker, Liveness, Placement
from cranberrycleat.workflow.state import StepRun

DRAIN_WAIT_FRACTION: Final = 0.5
"""Fraction of a wave's time per machine during which running work may finish."""


class MachineState(enum.Enum):
    """State of a machine as reported by the platform."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@attrs.frozen(kw_only=True)
class Machine:
    """A machine as the platform lists it; `worker` is empty while it has none.

    The list contains a worker's identity, which is the same for all incarnations.
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
        machines: The machines to be maintained.
        due_in_s: How long the wave may take after it is first seen.
        cap: How many of the machines may be down at once.
    """

    number: int
    machines: tuple[str, ...]
    due_in_s: float
    cap: int


class MachineVerdict(enum.Enum):
    """The platform's answer to a machine order."""

    ACCEPTED = "accepted"
    STALE_EPOCH = "stale-epoch"
    BUSY = "busy"
    NOT_OF_WAVE = "not-of-wave"
    NO_MACHINE = "no-machine"
    TOO_MANY_CALLS = "too-many-calls"


class MachinesUnavailable(Exception):
    """No answer was received; an order may have been or may yet be carried out."""


class MachineClient(Protocol):
    """Client of the platform's machine API."""

    async def machines(self) -> tuple[Machine, ...]:
        """Return every machine; raises `MachinesUnavailable`."""

    async def start_upkeep(
        self, *, machine: str, wave: int, holder: str, epoch: int
    ) -> MachineVerdict:
        """Begin a machine's upkeep; raises `MachinesUnavailable`."""

    async def move(
        self, *, machine: str, pool: str, holder: str, epoch: int
    ) -> MachineVerdict:
        """Move a machine to another pool; raises `MachinesUnavailable`."""


@attrs.define(kw_only=True, eq=False)
class WaveRun:
    """A wave in progress.

    Attributes:
        wave: The operator's request.
        seen_at: When it was first seen, on the owner's clock.
        begun: Machines whose upkeep has begun or ended.
        draining: Machines that are being drained.
        unanswered: Machines whose upkeep was ordered without an answer, so that it may
            have begun or may yet begin.
        written_state: The state that was last written for the operator.
    """

    wave: Wave
    seen_at: float
    begun: set[str] = attrs.field(factory=set)
    draining: set[str] = attrs.field(factory=set)
    unanswered: set[str] = attrs.field(factory=set)
    written_state: str = ""

    def left(self, machines: dict[str, Machine]) -> list[str]:
        """Return the existing machines whose upkeep has not begun."""
        return [
            name
            for name in self.wave.machines
            if name not in self.begun and name in machines
        ]

    def is_complete(self, machines: dict[str, Machine]) -> bool:
        """Return whether upkeep has begun on every machine that still exists."""
        return not self.left(machines)

    def select_machines(self, machines: dict[str, Machine], fleet: Fleet) -> list[str]:
        """Select machines to drain, so that at most `cap` are unavailable at once."""
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
        """Return how long to wait for a machine's work to finish by itself."""
        left_s = self.seen_at + self.wave.due_in_s - now
        rounds = -(-len(self.left(machines)) // max(1, self.wave.cap))
        return left_s * DRAIN_WAIT_FRACTION / max(1, rounds)


def _load(machine: Machine, fleet: Fleet) -> int:
    worker = fleet.newest.get(machine.worker)
    return 0 if worker is None else worker.used.processors


def placements_to_move(worker: FleetWorker) -> list[Placement]:
    """Return the attempts to move off a machine now, before its upkeep."""
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
    """Return how many members of a service step are not in service."""
    return sum(not task.at_full_speed for task in step.tasks)


def may_begin_upkeep(worker: FleetWorker | None, wait_s: float) -> bool:
    """Return whether the upkeep of a draining machine may begin.

    It waits until no service member runs there, however late; other work is waited for
    only while there is time.
    """
    if worker is None or worker.liveness is Liveness.GONE:
        return True
    placements = list(worker.placements.values())
    if any(
        each.tracked_task and each.tracked_task.step.spec.service for each in placements
    ):
        return False
    return not placements or wait_s <= 0
