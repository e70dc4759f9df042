"""Where a task that may crash its workers is tried (see `suspicion`).

A trial shows who is at fault only on a worker where nothing else has just begun, and on
a machine that does not fall by itself. `FleetWorker.has_trial` keeps others from
beginning there meanwhile.
"""

from cranberrycleat.workflow.falls import FELL_S, Falls
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.state import StepRun, Task
from cranberrycleat.workflow.suspicion import LossRecord


def of(task: Task) -> LossRecord | None:
    """Return the record of a task whose next attempt is a trial."""
    record = task.step.losses_of(task)
    return record if record is not None and record.is_isolated() else None


def places(
    record: LossRecord, workers: list[FleetWorker], falls: Falls, now: float
) -> list[FleetWorker]:
    """Return the workers for a trial: of those that are fit, the emptiest.

    One that has waited too long goes to the machine that has stood longest, and decides
    nothing if it is lost beside others (`LossLedger`).
    """
    suited = fit(workers, falls, now)
    if not suited and not record.may_go_anywhere(now):
        return []
    if not suited:
        stood = {each.name: stood_s(each, falls, now) for each in workers}
        longest_s = max(stood.values(), default=0.0)
        return [each for each in workers if stood[each.name] == longest_s]
    least = min(len(each.placements) for each in suited)
    return [each for each in suited if len(each.placements) == least]


def fit(workers: list[FleetWorker], falls: Falls, now: float) -> list[FleetWorker]:
    """Return the workers where only the task itself could be at fault."""
    return [
        each
        for each in workers
        if each.is_quiet() and stood_s(each, falls, now) >= FELL_S
    ]


def stood_s(worker: FleetWorker, falls: Falls, now: float) -> float:
    """Return for how long a worker is known to have stood."""
    return min(now - worker.joined_at, falls.stood_s(worker.entry.address, now))


def lost_at(step: StepRun, tasks: list[Task]) -> set[str]:
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
