"""Seeded random workloads for `bench placement`.

A workload is generated once and used for all policies. It specifies which jobs run at
the start, when others arrive, and each task's actual run time and resource usage, which
may differ from the declared ones.
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
    """The cluster and load of one case.

    Attributes:
        name: The case's name.
        workers: Number of workers.
        rack_size: Workers per rack.
        processors: Processors per worker.
        memory_mb: Memory per worker.
        accelerators: Accelerators in total; workers with accelerators have 8 each.
        teams: Number of teams.
        load: Offered load as a share of all processors.
        services: Number of service tasks that run from the start.
        arrivals_s: Period in seconds during which jobs arrive.
        wave: Load that arrives at one instant, like a nightly run, as a share of all
            processors.
        peak_starts_s: Maximum task starts per second required by the arrivals.
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
    """Faults injected in a case.

    Attributes:
        wrong_sizes: Whether declared sizes and run times are off by up to ten times.
        never_share: The share of jobs that can never run.
        cancel_share: The share of waiting jobs cancelled halfway through the arrivals.
        failing_workers: Number of workers that fail all tasks they start.
        rack_lost: Whether a rack is lost halfway through the arrivals.
    """

    wrong_sizes: bool = False
    never_share: float = 0.0
    cancel_share: float = 0.0
    failing_workers: int = 0
    rack_lost: bool = False


@attrs.frozen(kw_only=True)
class BenchJob:
    """One job with its declared and actual properties.

    Attributes:
        name: Its name.
        kind: Its kind.
        team: The team that it is accounted to.
        rank: Its priority.
        needs: Declared resources per task.
        uses: Actual resource usage per task.
        count: Number of tasks.
        declared_s: Declared run time; 0 for services.
        run_s: Actual run time of each task.
        selector: Selector of the workers that may run it.
        gives_way: How its tasks may be preempted.
        at: Arrival time in seconds.
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
    """Generates a workload for a case.

    Attributes:
        cell: The case's cluster and load.
        disturbances: Faults to inject.
        rng: Random number generator.
        jobs: The jobs generated so far.
        asked: Processors that these jobs request in total.
    """

    cell: BenchCell
    disturbances: Disturbances
    rng: random.Random
    jobs: list[BenchJob] = attrs.field(factory=list)
    asked: float = 0.0

    def make(self) -> list[BenchJob]:
        """Return the jobs in order of arrival; those at time 0 run from the start."""
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
        """Add batch jobs and gangs that request this many processors in total."""
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
