"""Which workers the retries of a step avoid, and until when.

A worker that fails every task it starts has free resources again at once and would
receive the same task until its attempts are used up. The same holds for the next
incarnation of a lost worker. Each exclusion has an end of its own, since what would
lift it, a success on that worker, may never come: the worker may be given nothing else.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from cranberrycleat.workflow.decisions import isolation
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.state import StepRun, Task

FAILED_WORKER_EXCLUSION_S: Final = 10.0
"""How long a task waits for room elsewhere rather than use a worker that failed it.
Disturbances of workers last 3 to 10 s on the platform. It yields earlier to a job of
which nothing runs (see `stalls`)."""
LOST_ADDRESS_EXCLUSION_S: Final = 10.0
"""The same for an address where a worker was lost under the task: as long as such a
machine is not used for isolated attempts."""


@attrs.frozen(kw_only=True)
class Exclusions:
    """The workers that some tasks of a step avoid.

    Attributes:
        failed: When the exclusion of each worker that failed them ends, by its name.
        lost: The addresses at which workers were lost under them.
        lost_until: When the exclusion of these addresses ends.
    """

    failed: Mapping[str, float]
    lost: frozenset[str]
    lost_until: float

    def __bool__(self) -> bool:
        return bool(self.failed or self.lost)

    def ends_at(self, worker: FleetWorker) -> float | None:
        """Return when a worker's exclusion ends or ended; None if there is none."""
        ends: list[float] = []
        if worker.failures and worker.name in self.failed:
            ends.append(self.failed[worker.name])
        if worker.entry.address in self.lost:
            ends.append(self.lost_until)
        return max(ends, default=None)


def exclusions_of(step: StepRun, tasks: list[Task]) -> Exclusions:
    """Return the workers that some tasks of a step avoid."""
    failed: dict[str, float] = {}
    for task in tasks:
        for name, failed_at in task.failed_on.items():
            until = failed_at + FAILED_WORKER_EXCLUSION_S
            failed[name] = max(until, failed.get(name, until))
    return Exclusions(
        failed=failed,
        lost=frozenset(isolation.lost_worker_addresses(step, tasks)),
        lost_until=lost_exclusion_ends_at(step, tasks),
    )


def lost_exclusion_ends_at(step: StepRun, tasks: list[Task]) -> float:
    """Return when addresses where workers were lost under some tasks may be used."""
    records = [step.losses_of(task) for task in tasks]
    lost_at = [record.changed_at for record in records if record is not None]
    return max(lost_at, default=float("-inf")) + LOST_ADDRESS_EXCLUSION_S
