"""Judges by the workers' own record which jobs may be `failed`, and what may start.

A job may be `failed` if a task of it, or its gang, has ended `failed` `max_attempts`
times, each attempt counted once, or if a task of it crashes its workers. What the
system counts is not looked at.
"""

import random
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.standins.fleet import (
    Run,
    SimulatedWork,
    SimulatedWorker,
    StandinFleet,
    StartRecord,
)
from cranberrycleat.workflow.ports import EndKind, OrderReply, SyncReply, WorkerEntry

START_WINDOW_S: Final = 0.3
"""A worker that falls so soon after a start there may have been crashed by it."""
SIMULTANEOUS_S: Final = 0.05
MIN_LONE_FALLS: Final = 2
"""The platform allows to give up a task under which two workers have crashed."""
MAX_CRASHING_STARTS: Final = 5
"""The platform forbids a sixth start of a task that crashes its workers."""
VISIBLE_S: Final = 3.0
"""From when on an accepted job must be known to every host (`visible_ms`)."""
MEMORY_MB: Final = 64
CRASHES_AFTER_S: Final = 0.01
"""How long a task that crashes its workers runs before."""
FAILS_AFTER_SHARE: Final = 0.7
"""The part of its work that an attempt does before it fails."""


@attrs.frozen(kw_only=True)
class PlannedJob:
    """A job of one step, and how its attempts run.

    Attributes:
        job_id: Its ID.
        queue: The queue's name.
        max_attempts: How often a task of it may end `failed`.
        count: Number of tasks.
        processors: What each of them takes.
        gang: Whether they are a gang.
        most_per_worker: How many of them may run on one worker; 0: any number.
        seconds: How long an attempt runs.
        failed_share: Which part of the attempts of a task, or of the gang, ends
            `failed`.
        crashing: The index of the task that crashes its workers; None: there is none.
    """

    job_id: str
    queue: str
    max_attempts: int
    count: int
    processors: int
    gang: bool
    seconds: float
    most_per_worker: int = 0
    failed_share: float = 0.0
    crashing: int | None = None

    def work(self, task: str, attempt: int) -> SimulatedWork:
        """Return how an attempt of a task runs."""
        index = index_of(task)
        if self.crashing is not None and (self.gang or index == self.crashing):
            # A gang with such a task does not end before its worker crashes.
            after_s = CRASHES_AFTER_S if index == self.crashing else None
            return SimulatedWork(seconds=60.0, crashes_after_s=after_s)
        if self._fails(index, attempt):
            return SimulatedWork(
                seconds=self.seconds * FAILS_AFTER_SHARE, how=EndKind.FAILED
            )
        return SimulatedWork(seconds=self.seconds)

    def _fails(self, index: int, attempt: int) -> bool:
        if self.gang:
            rng = random.Random(f"{self.job_id} {attempt}")
            return rng.random() < self.failed_share and (
                rng.randrange(self.count) == index
            )
        rng = random.Random(f"{self.job_id} {index} {attempt}")
        return rng.random() < self.failed_share

    def unit(self, task: str) -> str:
        """Return what the attempts of a task are counted for: it, or its gang."""
        return task.rpartition(".")[0] if self.gang else task


def job_of(task: str) -> str:
    """Return the ID of a task's job."""
    return task.partition(".")[0]


def index_of(task: str) -> int:
    """Return a task's index in its step."""
    return int(task.rpartition(".")[2])


@attrs.define(kw_only=True, eq=False)
class FailedEnd:
    """An attempt that ended `failed`.

    Attributes:
        task: The task.
        attempt: The attempt.
        at: When it ended, on the fleet's clock.
        acknowledged: Whether the end was taken note of, before the leases of its worker
            lapsed.
        lapsed: Whether these lapsed before.
    """

    task: str
    attempt: int
    at: float
    acknowledged: bool = False
    lapsed: bool = False


@attrs.frozen(kw_only=True)
class Fall:
    """A worker's process that ended without notice.

    Attributes:
        worker: Its identity.
        at: When, on the fleet's clock.
        by_task: Whether a task crashed it.
    """

    worker: str
    at: float
    by_task: bool


@attrs.define(kw_only=True, eq=False)
class JudgedFleet(StandinFleet):
    """A fleet that keeps what is needed to judge failed jobs.

    Attributes:
        failed_ends: The attempts that ended `failed`, by worker's life and number.
    """

    failed_ends: dict[tuple[str, int, int], FailedEnd] = attrs.field(factory=dict)

    async def sync(
        self,
        entry: WorkerEntry,
        *,
        fence: int,
        ended_upto: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> SyncReply | OrderReply:
        """Note which failed ends a sync acknowledges, and answer it."""
        worker = self._reachable(entry)
        if fence >= worker.fence:
            self._advance(worker)
            for each in worker.ended:
                end = self.failed_ends.get(_end_key(worker, each.number))
                if end is not None and each.number <= ended_upto:
                    end.acknowledged = not end.lapsed
        return await super().sync(
            entry,
            fence=fence,
            ended_upto=ended_upto,
            lease_end_ms=lease_end_ms,
            wait_ms=wait_ms,
        )

    def crash_and_restart(self, worker: SimulatedWorker) -> None:
        """Crash a worker; gangs that it ran members of do not work any more."""
        self._halt_gangs(worker)
        super().crash_and_restart(worker)

    def _end_incarnation(self, name: str) -> SimulatedWorker:
        self._halt_gangs(self.workers[name])
        return super()._end_incarnation(name)

    def _halt_gangs(self, lost: SimulatedWorker) -> None:
        """Have the other members of a worker's gangs run on without an end.

        A gang works only while all its members are there; otherwise it would end
        `done` without the member that was lost.
        """
        halted = {
            (run.task.rpartition(".")[0], run.attempt) for run in lost.runs.values()
        }
        for worker in self.workers.values():
            self._advance(worker)
            for run in worker.runs.values():
                step = run.task.rpartition(".")[0]
                if self.gang(step) and (step, run.attempt) in halted:
                    run.ends_at = float("inf")

    def _end_one(self, worker: SimulatedWorker, run: Run, how: EndKind) -> None:
        super()._end_one(worker, run, how)
        if how is EndKind.FAILED:
            self.failed_ends[_end_key(worker, worker.last_end)] = FailedEnd(
                task=run.task, attempt=run.attempt, at=self.clock.now()
            )

    def _allow_reruns(self, worker: SimulatedWorker) -> None:
        """Note that the leases of a worker lapsed before its ends were noted."""
        super()._allow_reruns(worker)
        for each in worker.ended:
            end = self.failed_ends.get(_end_key(worker, each.number))
            if end is not None:
                end.lapsed = True


def _end_key(worker: SimulatedWorker, number: int) -> tuple[str, int, int]:
    return (worker.entry.worker, worker.entry.born_ms, number)


@attrs.define(kw_only=True, eq=False)
class LossJudge:
    """Judges what hosts answer and what workers start.

    Attributes:
        fleet: The workers and their record.
        jobs: Every job that was submitted, by ID.
        accepted: When a caller was told that a job is accepted, on the fleet's clock.
        shown: The last state that each job was shown in, by any host.
        falls: The workers that fell.
        departures: When other workers left.
        findings: What may not happen.
        indistinguishable: The sound jobs that were shown as failed and cannot be told
            from jobs that crash their workers.
    """

    fleet: JudgedFleet
    jobs: dict[str, PlannedJob] = attrs.field(factory=dict)
    accepted: dict[str, float] = attrs.field(factory=dict)
    shown: dict[str, str] = attrs.field(factory=dict)
    falls: list[Fall] = attrs.field(factory=list)
    departures: list[float] = attrs.field(factory=list)
    findings: list[str] = attrs.field(factory=list)
    indistinguishable: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.fleet.work = lambda task, attempt: self.jobs[job_of(task)].work(
            task, attempt
        )
        self.fleet.needs = self._needs
        self.fleet.gang = lambda step: self.jobs[job_of(step)].gang

    def _needs(self, task: str) -> Amounts:
        found = self.jobs.get(job_of(task))
        if found is None:
            return NOTHING
        return Amounts(processors=found.processors, memory_mb=MEMORY_MB)

    # --- what hosts answer ------------------------------------------------------------

    def record_accepted(self, job_id: str) -> None:
        """Record that a caller was told that a job is accepted."""
        self.accepted.setdefault(job_id, self.fleet.clock.now())

    def record_unknown(self, job_id: str, host: str, asked_at: float) -> None:
        """Judge the answer that there is no such job."""
        accepted_at = self.accepted.get(job_id)
        if accepted_at is not None and asked_at - accepted_at > VISIBLE_S:
            self._add(f"{job_id} is accepted and {host} does not know it")

    def record_state(self, job_id: str, host: str, state: str) -> None:
        """Judge the state that a host shows a job in."""
        self.shown[job_id] = state
        found = self.jobs[job_id]
        self.fleet.advance_all()
        if state == "completed":
            missing = self._not_done(found)
            if missing:
                self._add(f"{job_id} is completed at {host}, and {missing} is not done")
        if state != "failed" or found.crashing is not None:
            return
        attempts = self._failed_attempts(found)
        most = max(map(len, attempts.values()), default=0)
        if most >= found.max_attempts:
            return
        if self._lone_falls(job_id) >= MIN_LONE_FALLS:
            self.indistinguishable.add(job_id)
            return
        self._add(
            f"{job_id} is failed at {host}, and {most} attempts of "
            f"{found.max_attempts} ended failed"
        )

    def _add(self, finding: str) -> None:
        if finding not in self.findings:
            self.findings.append(finding)

    def _failed_attempts(self, found: PlannedJob) -> dict[str, set[int]]:
        attempts: dict[str, set[int]] = {}
        for end in self.fleet.failed_ends.values():
            if job_of(end.task) == found.job_id:
                attempts.setdefault(found.unit(end.task), set()).add(end.attempt)
        return attempts

    def _not_done(self, found: PlannedJob) -> str:
        """Return a task of a job that never ended `done`; empty: there is none."""
        tasks = [f"{found.job_id}.0.0.{index}" for index in range(found.count)]
        done = [task for task in tasks if task in self.fleet.done]
        if found.gang and done:
            # Members end together, and one end `done` stands for all of them.
            return ""
        return next((task for task in tasks if task not in done), "")

    def _lone_falls(self, job_id: str) -> int:
        """Return how many workers fell just after starts of one job, and nothing else.

        Nobody can tell that from crashes that the job caused.
        """
        ends = [*(each.at for each in self.falls), *self.departures]
        count = 0
        for fall in self.falls:
            jobs = {job_of(start.task) for start in self._begun(fall)}
            alone = sum(abs(at - fall.at) < SIMULTANEOUS_S for at in ends) == 1
            count += alone and jobs == {job_id}
        return count

    def _begun(self, fall: Fall) -> list[StartRecord]:
        """Return what began on a worker just before it fell."""
        return [
            start
            for start in self.fleet.starts
            if start.worker == fall.worker and 0 <= fall.at - start.at <= START_WINDOW_S
        ]

    # --- what workers start -----------------------------------------------------------

    def unended(self) -> list[str]:
        """Return the accepted jobs that are not shown in a final state."""
        final = ("completed", "failed")
        return [
            job_id for job_id in self.accepted if self.shown.get(job_id) not in final
        ]

    def all_findings(self) -> list[str]:
        """Return all findings at the end of a run."""
        self.fleet.advance_all()
        return [
            *self.findings,
            *self._late_starts(),
            *self._crashing_starts(),
            *(
                f"{job_id}, max_attempts {self.jobs[job_id].max_attempts}, is "
                f"{self.shown.get(job_id)} at the end"
                for job_id in self.unended()
            ),
            *self.fleet.faults,
            *self.fleet.late_copies,
        ]

    def _late_starts(self) -> list[str]:
        """Return the starts after as many acknowledged failed ends as allowed."""
        found = []
        for start in self.fleet.starts:
            planned = self.jobs[job_of(start.task)]
            failed = {
                end.attempt
                for end in self.fleet.failed_ends.values()
                if end.acknowledged
                and end.at < start.at
                and job_of(end.task) == planned.job_id
                and planned.unit(end.task) == planned.unit(start.task)
            }
            if len(failed) >= planned.max_attempts:
                found.append(
                    f"{start.task}#{start.attempt} starts after attempts "
                    f"{sorted(failed)} of {planned.max_attempts} ended failed"
                )
        return found

    def _crashing_starts(self) -> list[str]:
        found = []
        for planned in self.jobs.values():
            if planned.crashing is None:
                continue
            task = f"{planned.job_id}.0.0.{planned.crashing}"
            begun = {each.attempt for each in self.fleet.starts if each.task == task}
            if len(begun) > MAX_CRASHING_STARTS:
                found.append(f"{task} crashes its workers and had {len(begun)} starts")
        return found
