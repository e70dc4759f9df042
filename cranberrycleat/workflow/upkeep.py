"""Planned maintenance of machines ("upkeep" in the platform's API).

Operators request upkeep in waves, each with a cap on the machines that are down at
once and a due time. A machine is drained before its upkeep kills everything on it:
its worker gets no new tasks; checkpointed work is moved away, and so are service
members as far as their disruption budget allows; other work may finish as long as the
wave's due time allows. A machine with a service member that may not be moved for a
while is used as before and drained again later. A wave is reported as completed only
after upkeep has begun on every machine of it that still exists.

The platform accepts a repeated request for upkeep that was already done, but its
answer does not tell so, and a machine must be drained before the request. A new owner
therefore reads the state written for the operator and `upkeep/N`, the record of the
machines whose upkeep has begun. Where the record is behind, a machine is drained once
more than needed.
"""

import enum
from typing import Final, Protocol

import attrs

from cranberrycleat.workflow.fleet import Fleet, FleetWorker, Liveness, Placement
from cranberrycleat.workflow.state import StepRun, Task

BLOCKED_S: Final = 5.0
"""How long a machine is drained while none of its service members may be moved. A moved
member is in service again within 2 s if there is room."""
POSTPONED_S: Final = 10.0
"""For how long such a machine is used as before."""
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


@attrs.frozen(kw_only=True)
class WaveRecord:
    """What is stored of a wave in progress for the next owner.

    Attributes:
        begun: The machines whose upkeep has begun or ended, sorted.
        seen_s: When the wave was first seen, in seconds since 1970.
    """

    begun: tuple[str, ...]
    seen_s: float


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
        restored: Whether the state and the record written by earlier owners were read.
        recorded: The machines that the stored record contains; None without a record.
        postponed_until: Until when a machine is not drained again.
        progress_at: When a machine began to be drained or a member there was last told
            to stop, on the owner's clock.
        obstacles: What each machine that is left waits for, as last logged.
    """

    wave: Wave
    seen_at: float
    begun: set[str] = attrs.field(factory=set)
    draining: set[str] = attrs.field(factory=set)
    unanswered: set[str] = attrs.field(factory=set)
    written_state: str = ""
    restored: bool = False
    recorded: frozenset[str] | None = None
    postponed_until: dict[str, float] = attrs.field(factory=dict)
    progress_at: dict[str, float] = attrs.field(factory=dict)
    obstacles: dict[str, str] = attrs.field(factory=dict)

    def restore(self, record: WaveRecord, now: float, now_s: float) -> None:
        """Adopt the record of an earlier owner.

        Args:
            record: The record.
            now: The time on the owner's clock.
            now_s: The time in seconds since 1970.
        """
        self.begun.update(record.begun)
        self.recorded = frozenset(record.begun)
        # The clocks of two hosts may differ.
        ran_s = min(max(0.0, now_s - record.seen_s), self.wave.due_in_s)
        self.seen_at = now - ran_s

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

    def already_down(
        self, machines: dict[str, Machine], fleet: Fleet, now: float
    ) -> list[str]:
        """Return the machines in upkeep of which it is not known for which wave.

        Ordering the upkeep of such a machine ends nothing that runs, unless the list is
        out of date and its next worker has work already.
        """
        return [
            name
            for name in self.left(machines)
            if machines[name].state is MachineState.UPKEEP
            and name not in self.draining
            and not _has_work(machines[name], fleet)
            and not self._is_postponed(name, now)
        ]

    def select_machines(
        self, machines: dict[str, Machine], fleet: Fleet, now: float
    ) -> list[str]:
        """Select machines to drain, so that at most `cap` are unavailable at once."""
        down = sum(
            machines[name].state is not MachineState.UP
            for name in self.wave.machines
            if name in machines
        )
        left = set(self.left(machines))
        self.draining &= left
        self.unanswered &= left
        unavailable = self.draining | self.unanswered
        available = self.wave.cap - down - len(unavailable)
        waiting = [
            name
            for name in self.left(machines)
            if name not in self.draining
            and machines[name].state is MachineState.UP
            and not self._is_postponed(name, now)
        ]
        waiting.sort(key=lambda name: (_load(machines[name], fleet), name))
        # Machines with an unanswered order count already.
        newly_draining = [name for name in waiting if name in self.unanswered]
        others = [name for name in waiting if name not in self.unanswered]
        newly_draining += others[: max(0, available)]
        self.draining.update(newly_draining)
        self.progress_at.update(dict.fromkeys(newly_draining, now))
        return newly_draining

    def postpone(self, machine: str, until: float) -> None:
        """Stop draining a machine; it is not drained again before a time."""
        self.draining.discard(machine)
        self.postponed_until[machine] = until

    def note_unanswered(self, machine: str, now: float) -> None:
        """Record that a machine's order was not answered."""
        if machine not in self.unanswered:
            self.progress_at[machine] = now
        self.unanswered.add(machine)

    def is_blocked(self, machine: str, worker: FleetWorker, now: float) -> bool:
        """Return whether no member was moved, or no order answered, for long."""
        since = self.progress_at.get(machine, now)
        waits = has_service_members(worker) or machine in self.unanswered
        return waits and now - since > BLOCKED_S

    def note_obstacle(self, machine: str, obstacle: str) -> bool:
        """Record what a machine waits for; return whether that has changed."""
        if self.obstacles.get(machine, "") == obstacle:
            return False
        self.obstacles[machine] = obstacle
        return True

    def _is_postponed(self, machine: str, now: float) -> bool:
        return now < self.postponed_until.get(machine, now)

    def wait_s(self, now: float, machines: dict[str, Machine]) -> float:
        """Return how long to wait for a machine's work to finish by itself."""
        left_s = self.seen_at + self.wave.due_in_s - now
        rounds = -(-len(self.left(machines)) // max(1, self.wave.cap))
        return left_s * DRAIN_WAIT_FRACTION / max(1, rounds)


def _has_work(machine: Machine, fleet: Fleet) -> bool:
    worker = fleet.newest.get(machine.worker)
    return worker is not None and bool(worker.placements)


def _load(machine: Machine, fleet: Fleet) -> int:
    worker = fleet.newest.get(machine.worker)
    return 0 if worker is None else worker.used.processors


def placements_to_move(worker: FleetWorker, fleet: Fleet) -> list[Placement]:
    """Return the attempts to move off a machine now, before its upkeep.

    Args:
        worker: The worker on the machine.
        fleet: All workers.
    """
    selected: list[Placement] = []
    stopped: dict[str, int] = {}
    for each in worker.placements.values():
        task = each.tracked_task
        if task is None or each.stopping or not each.running:
            continue
        step = task.step
        if step.spec.service:
            stopped_here = stopped.get(step.name, 0)
            if stopped_here < may_be_stopped(step, fleet):
                stopped[step.name] = stopped_here + 1
                selected.append(each)
        elif step.spec.checkpoints:
            selected.append(each)
    return selected


def may_be_stopped(step: StepRun, fleet: Fleet) -> int:
    """Return how many members of a service step may be stopped now for an upkeep.

    A step without a disruption budget is moved one member at a time: its members never
    end by themselves, and their machines could not be maintained at all.
    """
    return max(1, step.spec.may_be_away) - absent_members(step, fleet)


def absent_members(step: StepRun, fleet: Fleet) -> int:
    """Return how many members of a service step are not, or soon not, in service.

    A member that is to be stopped works on until its worker receives the stop, and one
    on a silent worker counts as running until its lease is over.
    """
    return sum(not _is_in_service(task, fleet) for task in step.tasks)


def _is_in_service(task: Task, fleet: Fleet) -> bool:
    worker = fleet.workers.get(task.worker)
    if worker is None or worker.liveness is not Liveness.LIVE or worker.unresponsive:
        return False
    return task.at_full_speed and not task.is_stopping


def may_begin_upkeep(worker: FleetWorker | None, wait_s: float) -> bool:
    """Return whether the upkeep of a draining machine may begin.

    It waits until no service member runs there, however late; other work is waited for
    only while there is time.
    """
    if worker is None or worker.liveness is Liveness.GONE:
        return True
    if has_service_members(worker):
        return False
    return not worker.placements or wait_s <= 0


def has_service_members(worker: FleetWorker) -> bool:
    """Return whether members of service steps count on a worker."""
    return any(
        each.tracked_task is not None and each.tracked_task.step.spec.service
        for each in worker.placements.values()
    )


def obstacle(worker: FleetWorker) -> str:
    """Return what the upkeep of a worker's machine waits for, for logs."""
    if not has_service_members(worker):
        return "work that may finish"
    steps = {
        each.tracked_task.step.name
        for each in worker.placements.values()
        if each.tracked_task is not None and each.tracked_task.step.spec.service
    }
    return f"members of {min(steps)} that may not be away yet"
