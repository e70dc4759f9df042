"""Tests with a real owner that accepted work begins again beside idle workers.

Observed failure (docs/incidents/retries-left-waiting.md): two tasks of a step failed on
one worker, and nothing of the step ran any more although that worker was idle and the
permit service allowed it. The other permitted workers were in use by long work, and
most of the pool was idle. Judged by the workers' own record.
"""

import attrs
import pytest

from cranberrycleat.standins.fleet import SimulatedWork, WorkerEvent
from cranberrycleat.workflow.decisions.stalls import STALL_S
from cranberrycleat.workflow.fleet import MAX_QUARANTINE_S, RESTS
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.ports import EndKind, Permit, PermitTiming, Queue
from cranberrycleat.workflow.spec import StepSpec
from tests.cell import AllPermits, Cell, cell, job, queue, step, submit, until
from tests.fakes import run_async

BAD, USED, ELSEWHERE = "bad", "used", ("w0", "w1", "w2")
"""The worker where tasks fail, the one that long work fills, and those without permits.
They keep less than half of the pool in use."""
BAD_RACK, USED_RACK = "r2", "r3"
"""Racks are labels, so that a step can ask for a worker by its rack."""
UNPERMITTED = queue(max_attempts=6)
PERMITTED = queue(
    name="p",
    permits=PermitTiming(decide_s=0.05, each_s=0.0, valid_s=60.0),
    max_attempts=6,
)
FAILS_AFTER_S = 0.2
LONG_S = 60.0
LONG, SHORT = f"{1:016x}", f"{2:016x}"
FAILING = tuple(f"{number:016x}" for number in (3, 4))


@attrs.define(kw_only=True, eq=False)
class SomePermits(AllPermits):
    """A permit service that allows some workers only."""

    allowed: frozenset[str] = frozenset({BAD, USED})

    async def ask(
        self, *, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> tuple[Permit, ...]:
        """Allow those of the workers that are in the set."""
        found = await super().ask(step=step, workers=workers, timeout_s=timeout_s)
        return tuple(each for each in found if each.worker in self.allowed)


@attrs.define(kw_only=True, eq=False)
class RunTimes:
    """When the attempts of each task began and ended, by the workers' record.

    Attributes:
        began: When the last attempt began, by task.
        failed: When the first attempt of a task ended otherwise than as done.
        again: When the next attempt after that began.
    """

    began: dict[str, float] = attrs.field(factory=dict)
    failed: dict[str, float] = attrs.field(factory=dict)
    again: dict[str, float] = attrs.field(factory=dict)

    def add(self, event: WorkerEvent) -> None:
        """Add an event on a worker."""
        match event.what:
            case "start" if event.detail.startswith("accepted"):
                self.began[event.task] = event.at
                if event.task in self.failed:
                    self.again.setdefault(event.task, event.at)
            case "end" if not event.detail.startswith(EndKind.DONE.value):
                self.failed.setdefault(event.task, event.at)
            case _:
                pass


async def fill_used_worker(env: Cell, owner: Owner) -> None:
    """Have long work take the whole of one worker."""
    spec = step(processors=4000, label=USED_RACK, estimate_s=LONG_S)
    await submit(owner, LONG, job(spec))
    await until(lambda: any(each.worker == USED for each in env.fleet.starts))


def add_workers(env: Cell, *, elsewhere: bool) -> None:
    """Add the workers; those without permits only where permits are needed.

    Less than half of the pool is in use, as the platform's rule has it.
    """
    env.add_worker(BAD, rack=BAD_RACK, processors=4000 if elsewhere else 8000)
    env.add_worker(USED, rack=USED_RACK)
    for name in ELSEWHERE if elsewhere else ():
        env.add_worker(name)


# Guards against work that waits for ever (LOST): the worker that failed its tasks is
# left out for them, and the other one that they may use stays in use.
@pytest.mark.parametrize(
    ("spec", "at", "failing"),
    [
        (step(2), PERMITTED, 2),
        (step(2), UNPERMITTED, 2),
        (step(2, gang=True), PERMITTED, 2),
        (step(2, service=True), PERMITTED, 1),
    ],
    ids=["single tasks", "without permits", "gang", "service member"],
)
def test_failed_tasks_begin_again_on_idle_worker(
    spec: StepSpec, at: Queue, failing: int
) -> None:
    tasks = [f"{SHORT}.0.0.{index}" for index in range(spec.count)]
    times = RunTimes()

    def work(task: str, attempt: int) -> SimulatedWork:
        if task in tasks[:failing] and task not in times.failed:
            return SimulatedWork(seconds=FAILS_AFTER_S, how=EndKind.FAILED)
        return SimulatedWork(seconds=LONG_S)

    async def run() -> None:
        async with cell(workers=0, permits=SomePermits()) as env:
            add_workers(env, elsewhere=at.permits is not None)
            env.fleet.work, env.fleet.on_event = work, times.add
            env.fleet.gang = lambda name: spec.gang and name.startswith(SHORT)
            owner = await env.own()
            await fill_used_worker(env, owner)
            await submit(owner, SHORT, job(spec), at)
            expected = set(tasks if spec.gang else tasks[:failing])
            await until(lambda: times.failed.keys() >= expected)
            assert {each.worker for each in env.fleet.starts} == {BAD, USED}
            await until(lambda: times.again.keys() >= expected, 2 * STALL_S)
            waited_s = {
                each: times.again[each] - times.failed[each] for each in expected
            }
            assert max(waited_s.values()) <= STALL_S, waited_s

    run_async(run())


# Guards against work that waits (LOST) while the only idle worker that it may use rests
# after failures of other jobs; its rest may be longer than the rule's 3 s.
@pytest.mark.parametrize("spec", [step(2), step(2, gang=True)], ids=["tasks", "gang"])
def test_accepted_tasks_begin_on_resting_worker(spec: StepSpec) -> None:
    tasks = {f"{SHORT}.0.0.{index}" for index in range(spec.count)}
    times = RunTimes()

    def work(task: str, attempt: int) -> SimulatedWork:
        if task.startswith(FAILING):
            return SimulatedWork(seconds=FAILS_AFTER_S, how=EndKind.FAILED)
        # Longer than the probe of a worker after its rest.
        return SimulatedWork(seconds=LONG_S)

    async def run() -> None:
        async with cell(workers=0, permits=SomePermits()) as env:
            add_workers(env, elsewhere=True)
            env.fleet.work, env.fleet.on_event = work, times.add
            env.fleet.gang = lambda name: spec.gang and name.startswith(SHORT)
            owner = await env.own()
            await fill_used_worker(env, owner)
            (bad,) = (
                each
                for each in owner.cluster_state.fleet.workers.values()
                if each.entry.worker == BAD
            )
            # As after several rests before; each is twice as long.
            bad.rest_s = MAX_QUARANTINE_S
            for name in FAILING:
                failing = step(2, label=BAD_RACK)
                await submit(owner, name, job(failing), queue(max_attempts=1))
            await until(lambda: bad.unavailable_reason(env.clock.now()) == RESTS)
            began_at = env.clock.now()
            await submit(owner, SHORT, job(spec), PERMITTED)
            await until(lambda: bool(times.began.keys() & tasks), 4 * STALL_S)
            first_at = min(times.began[task] for task in times.began.keys() & tasks)
            assert first_at - began_at <= STALL_S
            if spec.gang:
                assert times.began.keys() >= tasks

    run_async(run())
