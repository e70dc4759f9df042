"""Places attempts of tasks that may crash their workers (see `crash_attribution`).

Such an attempt shows who is at fault only on a worker where nothing else has just
begun, and on a machine that does not fail by itself. Meanwhile
`FleetWorker.has_isolated_attempt` keeps other attempts from starting there.
"""

from cranberrycleat.workflow.crash_attribution import LossRecord
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.state import StepRun, Task
from cranberrycleat.workflow.worker_failures import (
    FAILED_MACHINE_COOLDOWN_S,
    WorkerFailures,
)


def record_for(task: Task) -> LossRecord | None:
    """Return the loss record of a task whose next attempt must be isolated, or None."""
    record = task.step.losses_of(task)
    return record if record is not None and record.needs_isolation() else None


def candidates_for(
    record: LossRecord,
    workers: list[FleetWorker],
    worker_failures: WorkerFailures,
    now: float,
) -> list[FleetWorker]:
    """Return the workers for an isolated attempt: the least loaded of the stable ones.

    An attempt that has waited too long goes to the machine that has been stable for
    longest; it is inconclusive if that machine is unstable (see `is_known_unstable`) or
    if it is lost beside others (see `LossTracker`).
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
    """Return the workers on which only the task itself could be at fault."""
    return [
        each
        for each in workers
        if each.has_no_recent_starts()
        and stable_for_s(each, worker_failures, now) >= FAILED_MACHINE_COOLDOWN_S
    ]


def is_known_unstable(
    worker: FleetWorker, worker_failures: WorkerFailures, now: float
) -> bool:
    """Return whether a worker may fail again by itself.

    Unlike `stable_for_s`, a takeover does not count, as a new owner would otherwise
    reach no verdict for `FAILED_MACHINE_COOLDOWN_S`.
    """
    failure = worker_failures.by_address.get(worker.entry.address)
    failed_at = float("-inf") if failure is None else failure.detected_at
    return now - max(failed_at, worker.joined_at) < FAILED_MACHINE_COOLDOWN_S


def stable_for_s(
    worker: FleetWorker, worker_failures: WorkerFailures, now: float
) -> float:
    """Return for how long a worker is known not to have failed."""
    return min(
        now - worker.joined_at, worker_failures.stable_for_s(worker.entry.address, now)
    )


def lost_worker_addresses(step: StepRun, tasks: list[Task]) -> set[str]:
    """Return the addresses at which workers were lost under some tasks of a step."""
    if not step.losses:
        return set()
    records = [step.losses_of(task) for task in tasks]
    return {
        address
        for record in records
        if record is not None
        for address in record.addresses()
    }
