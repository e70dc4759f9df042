"""Where a task that may crash its workers is tried (see `suspicion`).

A trial shows who is at fault only on a worker where nothing else has just begun, and on
a machine that does not fall by itself. `FleetWorker.has_trial` keeps others from
beginning there meanwhile.
"""

from cranberrycleat.workflow.crash_attribution import LossRecord
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.state import StepRun, Task
from cranberrycleat.workflow.worker_failures import (
    FAILED_MACHINE_COOLDOWN_S,
    WorkerFailures,
)


def record_for(task: Task) -> LossRecord | None:
    """Return the record of a task whose next attempt is a trial."""
    record = task.step.losses_of(task)
    return record if record is not None and record.needs_isolation() else None


def candidates_for(
    record: LossRecord,
    workers: list[FleetWorker],
    worker_failures: WorkerFailures,
    now: float,
) -> list[FleetWorker]:
    """Return the workers for a trial: of those that are fit, the emptiest.

    One that has waited too long goes to the machine that has stood longest, and decides
    nothing if it is lost beside others (`LossLedger`).
    """
    stable = stable_workers(workers, worker_failures, now)
    if not stable and not record.isolation_wait_expired(now):
        return []
    if not stable:
        durations = {
            each.name: stable_for_s(each, worker_failures, now) for each in workers
        }
        longest_s = max(durations.values(), default=0.0)
        return [each for each in workers if durations[each.name] == longest_s]
    fewest = min(len(each.placements) for each in stable)
    return [each for each in stable if len(each.placements) == fewest]


def stable_workers(
    workers: list[FleetWorker], worker_failures: WorkerFailures, now: float
) -> list[FleetWorker]:
    """Return the workers where only the task itself could be at fault."""
    return [
        each
        for each in workers
        if each.has_no_recent_starts()
        and stable_for_s(each, worker_failures, now) >= FAILED_MACHINE_COOLDOWN_S
    ]


def stable_for_s(
    worker: FleetWorker, worker_failures: WorkerFailures, now: float
) -> float:
    """Return for how long a worker is known to have stood."""
    return min(
        now - worker.joined_at, worker_failures.stable_for_s(worker.entry.address, now)
    )


def lost_worker_addresses(step: StepRun, tasks: list[Task]) -> set[str]:
    """Return the addresses at which workers were lost under some of a step's tasks."""
    if not step.losses:
        return set()
    records = [step.losses_of(task) for task in tasks]
    return {
        address
        for record in records
        if record is not None
        for address in record.addresses()
    }
