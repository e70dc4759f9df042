"""Seeded workloads for `bench placement`: who comes when, and what is true.

A workload is drawn once and given to every policy alike: what runs at the
start, what arrives when, how long each task really runs and what it really
uses, whatever was declared.
"""

import random
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat.amounts import MILLI, Amounts
from cranberrycleat.jobs import Kind, PreemptionMode, Priority

GPU_LABEL: Final = "gpu"
GPU_SELECTOR: Final = "gpu = yes"
MEAN_RUN_S: Final = 60.0
MAX_ERROR_FACTOR: Final = 10.0


@attrs.frozen(kw_only=True)
class BenchCell:
    """The machines of one case.

    Attributes:
        name: The case's name.
        workers: How many workers.
        rack_size: Workers in a rack.
        processors: Processors a worker has.
        memory_mb: Memory a worker has.
        accelerators: Accelerators in the whole case, 8 a worker that has any.
        teams: How many teams.
        load: The share of the processors that work is offered for.
        services: How many service tasks run from the start.
        arrivals_s: Over how many seconds work arrives.
        wave: The share of the processors that arrives at once, as a nightly run.
        peak_starts_s: The most task starts a second that arrivals ask for.
    """

    name: str
    workers: int
    rack_size: int
    processors: int
    memory_mb: int
    accelerators: int = 0
    teams: int = 4
    load: float = 0.8
    services: int = 0
    arrivals_s: float = 60.0
    wave: float = 0.3
    peak_starts_s: float = 510.0


@attrs.frozen(kw_only=True)
class Disturbances:
    """What goes wrong in a case.

    Attributes:
        wrong_sizes: Declared sizes and run times are off by up to ten times.
        never_share: The share of jobs that can never run.
        cancel_share: The share of waiting jobs cancelled at half time.
        failing_workers: How many workers fail everything they start.
        rack_lost: Whether a rack is lost at half time.
    """

    wrong_sizes: bool = False
    never_share: float = 0.0
    cancel_share: float = 0.0
    failing_workers: int = 0
    rack_lost: bool = False


@attrs.frozen(kw_only=True)
class BenchJob:
    """One job and the truth about it.

    Attributes:
        name: Its name.
        kind: Its kind.
        team: Who it is counted against.
        rank: Its priority.
        needs: What is declared.
        uses: What a task really uses.
        count: How many tasks.
        declared_s: The run time declared; 0 for services.
        run_s: The time that each task really runs.
        selector: Which workers may run it.
        gives_way: How its tasks make room.
        at: When it arrives, in seconds.
    """

    name: str
    kind: Kind
    team: str
    rank: int
    needs: Amounts
    uses: Amounts
    count: int
    declared_s: float
    run_s: tuple[float, ...]
    selector: str
    gives_way: PreemptionMode
    at: float


@attrs.define(kw_only=True, eq=False)
class WorkloadMaker:
    """Draws a workload for a case.

    Attributes:
        cell: The case's machines.
        bad: What goes wrong.
        rng: Where chance comes from.
        jobs: The jobs drawn so far.
        asked: The processors that they ask for together.
    """

    cell: BenchCell
    disturbances: Disturbances
    rng: random.Random
    jobs: list[BenchJob] = attrs.field(factory=list)
    asked: float = 0.0

    def make(self) -> list[BenchJob]:
        """Return the jobs, in order of arrival; those at time 0 run already."""
        total = self.cell.workers * self.cell.processors
        self._services()
        running = self.cell.load * total - self.asked
        self._batch(max(0.0, running), lambda: 0.0)
        per_s = self.cell.load * total / MEAN_RUN_S
        duration_s = self.cell.arrivals_s
        steady = per_s * duration_s
        self._batch(steady, lambda: self.rng.uniform(0.5, duration_s))
        self._batch(self.cell.wave * total, lambda: duration_s / 4)
        return sorted(self.jobs, key=lambda job: (job.at, job.name))

    def _services(self) -> None:
        left = self.cell.services
        while left > 0:
            count = min(left, self.rng.choice([3, 6, 12, 24]))
            self._add(Kind.SERVICE, count, 0.0, Priority.URGENT, at=0.0)
            left -= count

    def _batch(self, processors: float, when: Callable[[], float]) -> None:
        """Add batch and gangs that ask for so many processors in all."""
        until = self.asked + processors
        while self.asked < until:
            gang = self.rng.random() < 0.1
            kind = Kind.GANG if gang else Kind.BATCH
            limit = 16 if self.cell.workers > 100 else 4
            count = self.rng.choice([1, 2, 4, 8, limit])
            rank = self.rng.choices([0, 1, 2], weights=[1, 6, 3])[0]
            mean = MEAN_RUN_S * self.rng.choice([0.25, 0.5, 1.0, 2.0])
            self._add(kind, min(count, limit), mean, Priority(rank), at=when())

    def _add(
        self, kind: Kind, count: int, mean_s: float, rank: Priority, at: float
    ) -> None:
        number = len(self.jobs)
        processors = self.rng.choice([500, 1000, 1000, 2000, 4000])
        gpu = self.cell.accelerators > 0 and self.rng.random() < 0.04
        uses = Amounts(
            processors=processors,
            memory_mb=self.rng.choice([512, 1024, 2048, 4096]) * processors // 2000,
            accelerators=1 if gpu and kind is not Kind.SERVICE else 0,
        )
        needs = self._declared(uses)
        run_s = tuple(
            mean_s * self.rng.uniform(0.8, 1.2) if mean_s else 0.0 for _ in range(count)
        )
        error_factor = (
            self.rng.uniform(1 / MAX_ERROR_FACTOR, MAX_ERROR_FACTOR)
            if self.disturbances.wrong_sizes
            else 1.0
        )
        self.jobs.append(
            BenchJob(
                name=f"family{number % 40}{'abc'[rank]}{int(mean_s)}-{number}",
                kind=kind,
                team=f"team-{number % self.cell.teams}",
                rank=rank,
                needs=needs,
                uses=uses,
                count=count,
                declared_s=mean_s * error_factor,
                run_s=run_s,
                selector=GPU_SELECTOR if uses.accelerators else "",
                gives_way=(
                    self.rng.choice(
                        [
                            PreemptionMode.CHECKPOINT,
                            PreemptionMode.THROTTLE,
                            PreemptionMode.STOP,
                        ]
                    )
                    if kind is not Kind.SERVICE
                    else PreemptionMode.NEVER
                ),
                at=at,
            )
        )
        if needs.processors <= self.cell.processors * MILLI:
            self.asked += needs.processors * count / MILLI

    def _declared(self, uses: Amounts) -> Amounts:
        if self.rng.random() < self.disturbances.never_share:
            infeasible_processors = 2 * self.cell.processors * MILLI
            return attrs.evolve(uses, processors=infeasible_processors)
        if not self.disturbances.wrong_sizes:
            return uses
        error_factor = self.rng.uniform(1 / MAX_ERROR_FACTOR, 2.0)
        most = self.cell.processors * MILLI
        return attrs.evolve(
            uses,
            processors=max(100, min(most, int(uses.processors * error_factor))),
            memory_mb=max(16, int(uses.memory_mb * error_factor)),
        )
