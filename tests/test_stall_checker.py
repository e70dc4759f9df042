"""Tests the soak's check for jobs that wait beside workers with room."""

from collections.abc import Callable

import attrs
import pytest

from cranberrycleat.amounts import Amounts
from cranberrycleat.clock import ManualClock
from cranberrycleat.standins.fleet import SimulatedWork, StandinFleet
from cranberrycleat.workflow.ports import EndKind, StartOrder
from cranberrycleat.workflow.spec import StepSpec
from tests.cell import entry, job, step
from tests.stall_checker import CALM_S, SAMPLE_S, STALL_S, StallChecker

JOB, OTHER = "00000000000000aa", "00000000000000bb"
WORKERS = ("w0", "w1", "w2")
LEASE_END_MS = 10**15


@attrs.define(kw_only=True, eq=False)
class Scene:
    """Three workers of 4 processors, and a checker that has been calm for long.

    Attributes:
        clock: The clock of all parts.
        fleet: The workers.
        unlisted: Workers that the platform does not list.
        checker: The checker under test.
        needs: What each task takes.
        failing: Whether tasks fail.
        seconds: How long they run.
    """

    clock: ManualClock = attrs.field(factory=ManualClock)
    fleet: StandinFleet = attrs.field(init=False)
    unlisted: set[str] = attrs.field(factory=set)
    checker: StallChecker = attrs.field(init=False)
    needs: Amounts = Amounts(processors=1000)
    failing: bool = False
    seconds: float = 1000.0

    def __attrs_post_init__(self) -> None:
        self.fleet = StandinFleet(
            clock=self.clock,
            needs=lambda task: self.needs,
            work=lambda task, attempt: SimulatedWork(
                seconds=self.seconds,
                how=EndKind.FAILED if self.failing else EndKind.DONE,
            ),
        )
        for name in WORKERS:
            self.fleet.add(entry(name))
        self.checker = StallChecker(
            clock=self.clock,
            fleet=self.fleet,
            is_listed=lambda name: name not in self.unlisted,
            is_disturbed=lambda: False,
            is_given_up=lambda job_id: False,
        )
        self.fleet.on_event = self.checker.record
        self.wait(CALM_S)

    def accept(self, *steps: StepSpec, allowed: tuple[str, ...] = WORKERS) -> None:
        """Have a job accepted that some workers may run."""
        self.checker.submitted(JOB, job(*steps), 3, lambda worker: worker in allowed)
        self.checker.accepted(JOB)

    def start(self, task: str, worker: str, attempt: int = 1) -> None:
        """Start a task on a worker."""
        order = StartOrder(
            task=task, attempt=attempt, program="p", lease_end_ms=LEASE_END_MS, fence=1
        )
        self.fleet.carry_out(self.fleet.workers[worker], order)

    def fill(self, *names: str) -> None:
        """Fill workers with tasks of another job."""
        self.needs = Amounts(processors=4000)
        for name in names:
            self.start(f"{OTHER}.0.0.{WORKERS.index(name)}", name)
        self.needs = Amounts(processors=1000)

    def wait(self, seconds: float) -> None:
        """Let time pass, with a sample as often as in a run."""
        for _ in range(round(seconds / SAMPLE_S)):
            self.clock.advance(seconds=SAMPLE_S)
            self.checker.sample()


def accept_small(scene: Scene) -> None:
    """Have a job of two small tasks accepted."""
    scene.accept(step(2))


def fill_allowed_worker(scene: Scene) -> None:
    scene.fill("w0")
    scene.accept(step(1), allowed=("w0",))


def fill_half(scene: Scene) -> None:
    scene.fill("w0", "w1")
    accept_small(scene)


def unlist_allowed_worker(scene: Scene) -> None:
    scene.unlisted.add("w0")
    scene.accept(step(1), allowed=("w0",))


def run_step_before(scene: Scene) -> None:
    scene.accept(step(1), step(1, after=(0,)))
    scene.start(f"{JOB}.0.0.0", "w0")


def cancel(scene: Scene) -> None:
    accept_small(scene)
    scene.checker.cancelled(JOB)


def disturb_before_acceptance(scene: Scene) -> None:
    with scene.checker.disturbance():
        scene.wait(SAMPLE_S)
    accept_small(scene)


def run_briefly_meanwhile(scene: Scene) -> None:
    accept_small(scene)
    scene.wait(STALL_S / 2)
    scene.failing, scene.seconds = True, SAMPLE_S / 2
    scene.start(f"{JOB}.0.0.0", "w0")


def use_room_for_a_moment(scene: Scene) -> None:
    scene.accept(step(1, processors=4000), allowed=("w0", "w1"))
    scene.wait(STALL_S / 2)
    scene.seconds = SAMPLE_S / 2
    scene.start(f"{OTHER}.0.0.0", "w0")


def pause_process(scene: Scene) -> None:
    accept_small(scene)
    scene.clock.advance(seconds=2 * STALL_S)


def use_up_attempts(scene: Scene) -> None:
    scene.accept(step(1))
    scene.failing, scene.seconds = True, SAMPLE_S / 2
    for attempt in (1, 2, 3):
        scene.start(f"{JOB}.0.0.0", "w0", attempt)
        scene.wait(SAMPLE_S)


def lack_room_for_gang_twice(scene: Scene) -> None:
    scene.accept(step(3, processors=2000, gang=True), allowed=("w0", "w1"))


def lack_room_beside_limit(scene: Scene) -> None:
    scene.accept(step(3, gang=True, most_per_worker=1))


def lack_label(scene: Scene) -> None:
    scene.accept(step(1, label="elsewhere"))


@pytest.mark.parametrize(
    ("prepare", "finds"),
    [
        (accept_small, True),
        (lambda scene: scene.accept(step(1), allowed=("w0",)), True),
        (lambda scene: scene.accept(step(3, gang=True)), True),
        (fill_allowed_worker, False),
        (fill_half, False),
        (unlist_allowed_worker, False),
        (run_step_before, False),
        (cancel, False),
        (disturb_before_acceptance, False),
        (pause_process, False),
        (use_up_attempts, False),
        (lack_room_for_gang_twice, False),
        (lack_room_beside_limit, False),
        (lack_label, False),
    ],
)
def test_only_work_that_waits_beside_room_is_found(
    prepare: Callable[[Scene], None], finds: bool
) -> None:
    """Guards against a check that misses waits, or finds those that the rule allows."""
    scene = Scene()
    prepare(scene)
    scene.wait(STALL_S + 2 * SAMPLE_S)
    assert bool(scene.checker.findings) is finds, scene.checker.findings


# Guards against a finding where the rule's conditions did not hold for 3 s on end, also
# if that lasted for less than the time between two samples.
@pytest.mark.parametrize("prepare", [run_briefly_meanwhile, use_room_for_a_moment])
def test_interrupted_wait_begins_anew(prepare: Callable[[Scene], None]) -> None:
    scene = Scene()
    prepare(scene)
    scene.wait(STALL_S - 2 * SAMPLE_S)
    assert not scene.checker.findings
    scene.wait(4 * SAMPLE_S)
    assert len(scene.checker.findings) == 1


# Guards against a wait that is missed for good because it began before it was calm, and
# against a pause of the process that is taken for a wait.
@pytest.mark.parametrize("prepare", [disturb_before_acceptance, pause_process])
def test_wait_is_found_once_it_has_been_calm(
    prepare: Callable[[Scene], None],
) -> None:
    scene = Scene()
    prepare(scene)
    scene.wait(CALM_S + 2 * SAMPLE_S)
    assert len(scene.checker.findings) == 1


def test_next_step_is_due_once_all_tasks_before_it_are_done() -> None:
    scene = Scene()
    scene.accept(step(2), step(1, after=(0,)))
    scene.seconds = SAMPLE_S / 2
    scene.start(f"{JOB}.0.0.0", "w0")
    scene.start(f"{JOB}.0.0.1", "w1")
    scene.wait(STALL_S + 2 * SAMPLE_S)
    (finding,) = scene.checker.findings
    assert finding.startswith(f"{JOB}.0.1 ")


def test_completed_job_is_not_found() -> None:
    scene = Scene()
    scene.accept(step(1))
    scene.seconds = SAMPLE_S / 2
    scene.start(f"{JOB}.0.0.0", "w0")
    scene.wait(2 * STALL_S)
    assert not scene.checker.findings


# Guards against a finding for a job that has ended: a member of a gang may have been
# done before the start of another one arrived.
def test_gang_is_done_once_a_member_is_done() -> None:
    scene = Scene()
    scene.accept(step(2, gang=True))
    scene.seconds = SAMPLE_S / 2
    scene.start(f"{JOB}.0.0.0", "w0")
    scene.wait(2 * STALL_S)
    assert not scene.checker.findings
