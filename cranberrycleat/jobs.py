"""Jobs and tasks: the specification submitted by an operator, and the stored state.

`JobSpec` is the content of a workload file; `parse_job` validates one and reports all
faults at once. `JobRow` is the stored form: one table row for the tasks of a job that
are assigned to one shard, with their records.
"""

import enum
import re
from typing import Any, Final, TypeVar, cast

import attrs
import cattrs
from returns.result import Failure, Result, Success

from cranberrycleat import errors, selectors
from cranberrycleat.amounts import MILLI, Amounts
from cranberrycleat.workflow.crash_attribution import LostWorker

MAX_TASKS: Final = 1000
MAX_PROCESSORS: Final = 4096
MAX_MEMORY_MB: Final = 64 * 1024 * 1024
NAME: Final = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
T = TypeVar("T")
NAME_RULE: Final = "1 to 63 of a-z, 0-9 and '-', not at either end"


class Kind(enum.Enum):
    """The type of a job, which determines how its tasks are scheduled together."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class PartitionPolicy(enum.Enum):
    """The behaviour of a job's tasks when their data centre is partitioned off."""

    KEEP = "keep"
    RELEASE = "release"


class PreemptionMode(enum.Enum):
    """How a task is preempted by more urgent work."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"
    NEVER = "never"


class Priority(enum.IntEnum):
    """The priority of a job; lower numbers are scheduled first."""

    URGENT = 0
    NORMAL = 1
    LOW = 2


class TaskState(enum.Enum):
    """The state of a task.

    PENDING waits for placement; PLACED has a stored placement; DONE, FAILED and
    CANCELLED are final; NEVER fits on no known worker.
    """

    PENDING = "pending"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NEVER = "never"


FINAL_STATES: Final = frozenset({TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED})


@attrs.frozen(kw_only=True)
class Program:
    """The program of a task, passed to the worker unchanged.

    Attributes:
        command: The program; the worker stand-in supports `serve` and `sleep`.
        run_s: The actual run time of a finite program, in seconds.
        answer_ms: The time that a service takes for one request, in milliseconds.
        fails: Whether the program fails when it ends.
    """

    command: str = "sleep"
    run_s: float = 1.0
    answer_ms: float = 0.0
    fails: bool = False


@attrs.frozen(kw_only=True)
class JobSpec:
    """The specification of a job.

    Attributes:
        name: The name of the job, which is never reused.
        kind: Service, batch or gang (all tasks start together).
        team: The team whose usage it is charged to.
        tasks: The number of tasks.
        processors: The processors that a task needs; fractions are allowed.
        memory_mb: The memory that a task needs, in mebibytes.
        accelerators: The accelerators that a task needs.
        slots: For a service, the number of requests that a task handles concurrently.
        selector: The label selector for workers that may run it.
        priority: `urgent`, `normal` or `low`.
        run_s: The expected run time of a task, in seconds; 0 for unknown.
        when_cut: What its tasks do when their data centre is partitioned off.
        gives_way: How its tasks are preempted by more urgent work.
        retries: How often a failed task is restarted.
        program: The program to run.
    """

    name: str
    kind: Kind
    team: str = "default"
    tasks: int = 1
    processors: float = 1.0
    memory_mb: int = 256
    accelerators: int = 0
    slots: int = 0
    selector: str = ""
    priority: str = "normal"
    run_s: float = 0.0
    when_cut: PartitionPolicy | None = None
    gives_way: PreemptionMode = PreemptionMode.STOP
    retries: int = 2
    program: Program = Program()

    @property
    def needs(self) -> Amounts:
        """The declared resource needs of one task."""
        return Amounts(
            processors=round(self.processors * MILLI),
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
            slots=self.slots,
        )

    @property
    def rank(self) -> Priority:
        """The priority as a number, for sorting."""
        return Priority[self.priority.upper()]

    @property
    def keeps(self) -> bool:
        """Whether its tasks keep running in a data centre that is partitioned off."""
        if self.when_cut is None:
            return self.kind is Kind.SERVICE
        return self.when_cut is PartitionPolicy.KEEP


@attrs.define(kw_only=True)
class TaskRecord:
    """The stored record of a task.

    Attributes:
        index: Its index within the job.
        state: Its state.
        attempt: The attempt number; increases by one with every start order.
        worker: The worker of its current attempt, or an empty string.
        failures: The number of attempts that failed on their own.
        crashes: The number of consecutive attempts that were lost with their worker
            just after they had started; a crashed worker cannot report a failure.
            `JobRow.losses` tells which of them are evidence against the task.
    """

    index: int
    state: TaskState = TaskState.PENDING
    attempt: int = 0
    worker: str = ""
    failures: int = 0
    crashes: int = 0


@attrs.define(kw_only=True)
class JobRow:
    """The stored record of the tasks of a job that are assigned to one shard.

    Attributes:
        spec: The specification of the job.
        data_centre: The data centre that these tasks are assigned to.
        tasks: The records of these tasks.
        cancelled: Whether an operator has cancelled the job.
        reasons: Human-readable reasons why tasks wait or can never run.
        losses: The losses that `TaskRecord.crashes` counts, by the task's index. There
            are fewer where an earlier version, which drops them, counted some.
    """

    spec: JobSpec
    data_centre: str
    tasks: list[TaskRecord]
    cancelled: bool = False
    reasons: list[str] = attrs.field(factory=list)
    losses: dict[int, list[LostWorker]] = attrs.field(factory=dict)


class JobStatusValues:
    """The values in a job's status that are final, and those that mean failure."""

    ENDED: Final = frozenset(
        {each.value for each in FINAL_STATES} | {TaskState.NEVER.value}
    )
    BAD: Final = frozenset({TaskState.FAILED.value, TaskState.NEVER.value})


def task_id(job: str, index: int) -> str:
    """Return the name of a task."""
    return f"{job}/{index}"


def job_of(task: str) -> str:
    """Return the job that a task belongs to."""
    return task.rsplit("/", 1)[0]


def _strict(value: object, kind: type) -> object:
    if isinstance(value, bool) != (kind is bool):
        raise TypeError(f"expected {kind.__name__}")
    if kind is float and isinstance(value, int):
        return float(value)
    if not isinstance(value, kind):
        raise TypeError(f"expected {kind.__name__}")
    return value


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (int, float, str, bool):
        converter.register_structure_hook(kind, _strict)
    return converter


_CONVERTER: Final = _converter()


def structure(
    data: Any, kind: type[T], *, place: str
) -> Result[T, tuple[errors.Finding, ...]]:
    """Build an object from decoded JSON or TOML with strict type checks.

    Args:
        data: The decoded value.
        kind: The attrs class to build.
        place: The name of the input in findings.

    Returns:
        The object, or all faults in structure and types.
    """
    if not isinstance(data, dict):
        found = errors.finding(place, errors.MALFORMED, reason="not an object")
        return Failure((found,))
    try:
        return Success(_CONVERTER.structure(data, kind))
    except Exception as exc:
        return Failure(_structure_findings(exc, place))


def unwrap(result: Result[T, tuple[errors.Finding, ...]]) -> T:
    """Return the object that a validation built.

    Raises:
        FindingsError: The validation found faults.
    """
    match result:
        case Success(value):
            return cast(T, value)
        case Failure(findings):
            raise errors.FindingsError(findings=findings)
    raise AssertionError(result)


def parse_job(data: Any, *, place: str) -> Result[JobSpec, tuple[errors.Finding, ...]]:
    """Validate a workload and build its specification.

    Args:
        data: The decoded JSON or TOML value.
        place: The name of the input in findings, such as a file name.

    Returns:
        The specification, or all faults found.
    """
    match structure(data, JobSpec, place=place):
        case Success(spec):
            faults = _check_values(spec, place)
            return Failure(faults) if faults else Success(spec)
        case failure:
            return failure


def _structure_findings(exc: Exception, place: str) -> tuple[errors.Finding, ...]:
    found = errors.Findings()
    for line in cattrs.transform_error(exc):
        reason, _, path = line.partition(" @ ")
        found.add(place + path.lstrip("$"), errors.MALFORMED, reason=reason)
    return found.sorted()


def _check_values(spec: JobSpec, place: str) -> tuple[errors.Finding, ...]:
    found = errors.Findings()

    def require(holds: bool, field: str, allowed: str) -> None:
        if not holds:
            value = getattr(spec, field)
            found.add(
                f"{place}.{field}", errors.BAD_VALUE, value=value, allowed=allowed
            )

    require(NAME.fullmatch(spec.name) is not None, "name", NAME_RULE)
    require(NAME.fullmatch(spec.team) is not None, "team", NAME_RULE)
    require(1 <= spec.tasks <= MAX_TASKS, "tasks", f"1 to {MAX_TASKS}")
    require(
        0 < spec.processors <= MAX_PROCESSORS,
        "processors",
        f"more than 0, up to {MAX_PROCESSORS}",
    )
    require(0 < spec.memory_mb <= MAX_MEMORY_MB, "memory_mb", f"1 to {MAX_MEMORY_MB}")
    require(0 <= spec.accelerators <= 64, "accelerators", "0 to 64")
    require(0 <= spec.slots <= 4096, "slots", "0 to 4096")
    require(0 <= spec.run_s, "run_s", "0 or more seconds")
    require(0 <= spec.retries <= 100, "retries", "0 to 100")
    ranks = [each.name.lower() for each in Priority]
    require(spec.priority in ranks, "priority", ", ".join(ranks))
    try:
        selectors.parse(spec.selector, place=f"{place}.selector")
    except errors.FindingsError as exc:
        found.extend(exc.findings)
    return found.sorted()
