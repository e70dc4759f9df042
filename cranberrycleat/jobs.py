"""Jobs and tasks: what an operator asks for, and what became of it.

`JobSpec` is what a workload file holds; `parse_job` checks one and reports
every fault at once. `JobRow` is the durable form: one row of the table for the
part of a job that one shard is home to, with its tasks' records.
"""

import enum
import re
from typing import Any, Final, TypeVar, cast

import attrs
import cattrs
from returns.result import Failure, Result, Success

from cranberrycleat import errors, selectors
from cranberrycleat.amounts import MILLI, Amounts

MAX_TASKS: Final = 1000
MAX_PROCESSORS: Final = 4096
MAX_MEMORY_MB: Final = 64 * 1024 * 1024
NAME: Final = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
T = TypeVar("T")
NAME_RULE: Final = "1 to 63 of a-z, 0-9 and '-', not at either end"


class Kind(enum.Enum):
    """How a job's tasks belong together."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class PartitionPolicy(enum.Enum):
    """What a job's tasks do when their data centre is cut off."""

    KEEP = "keep"
    RELEASE = "release"


class PreemptionMode(enum.Enum):
    """How a task makes room for more urgent work."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"
    NEVER = "never"


class Priority(enum.IntEnum):
    """How urgent a job is; the lower number goes first."""

    URGENT = 0
    NORMAL = 1
    LOW = 2


class TaskState(enum.Enum):
    """Where a task stands.

    PENDING waits for a place; PLACED has one, durably; DONE, FAILED and
    CANCELLED are final; NEVER fits no worker there is.
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
    """What a task runs, passed to the worker as it is.

    Attributes:
        command: The program; the worker stand-in knows `serve` and `sleep`.
        run_s: How long a finite program really runs, in seconds.
        answer_ms: How long a service takes for one request, in milliseconds.
        fails: Whether the program fails when it ends.
    """

    command: str = "sleep"
    run_s: float = 1.0
    answer_ms: float = 0.0
    fails: bool = False


@attrs.frozen(kw_only=True)
class JobSpec:
    """What an operator asks for.

    Attributes:
        name: The job's name, unique for ever.
        kind: Service, batch or gang (all tasks start together).
        team: Who it is counted against.
        tasks: How many tasks.
        processors: Processors a task needs; parts of one are allowed.
        memory_mb: Memory a task needs, in mebibytes.
        accelerators: Accelerators a task needs.
        slots: For a service, requests a task answers at once.
        selector: Which workers may run it.
        priority: `urgent`, `normal` or `low`.
        run_s: How long a task is expected to run, in seconds; 0 for unknown.
        when_cut: What its tasks do when their data centre is cut off.
        gives_way: How its tasks make room for more urgent work.
        retries: How often a task that failed is started again.
        program: What to run.
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
        """What one task needs, as declared."""
        return Amounts(
            processors=round(self.processors * MILLI),
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
            slots=self.slots,
        )

    @property
    def rank(self) -> Priority:
        """The priority as a number to sort by."""
        return Priority[self.priority.upper()]

    @property
    def keeps(self) -> bool:
        """Whether its tasks go on in a data centre that is cut off."""
        if self.when_cut is None:
            return self.kind is Kind.SERVICE
        return self.when_cut is PartitionPolicy.KEEP


@attrs.define(kw_only=True)
class TaskRecord:
    """One task's durable record.

    Attributes:
        index: Its number within the job.
        state: Where it stands.
        attempt: Grows by one at each start order.
        worker: Where its current attempt runs, or an empty string.
        failures: How many attempts failed by themselves.
        crashes: How many attempts in a row were lost with a worker just after they
            had begun; a worker that crashes tells of no failure.
    """

    index: int
    state: TaskState = TaskState.PENDING
    attempt: int = 0
    worker: str = ""
    failures: int = 0
    crashes: int = 0


@attrs.define(kw_only=True)
class JobRow:
    """The durable record of the part of a job that one shard is home to.

    Attributes:
        spec: What was asked for.
        data_centre: The home of these tasks.
        tasks: The records of the tasks that live here.
        cancelled: An operator has cancelled it.
        reasons: Why tasks wait or can never run, for people.
    """

    spec: JobSpec
    data_centre: str
    tasks: list[TaskRecord]
    cancelled: bool = False
    reasons: list[str] = attrs.field(factory=list)


class JobStatusValues:
    """The words of a job's status that end it, and those that are bad."""

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
    """Build an object from decoded JSON or TOML, strictly.

    Args:
        data: The decoded value.
        kind: The attrs class to build.
        place: What to call the input in findings.

    Returns:
        The object, or every fault of shape and type.
    """
    if not isinstance(data, dict):
        found = errors.finding(place, errors.MALFORMED, reason="not an object")
        return Failure((found,))
    try:
        return Success(_CONVERTER.structure(data, kind))
    except Exception as exc:
        return Failure(_structure_findings(exc, place))


def unwrap(result: Result[T, tuple[errors.Finding, ...]]) -> T:
    """Return what a check built.

    Raises:
        FindingsError: The check found faults.
    """
    match result:
        case Success(value):
            return cast(T, value)
        case Failure(findings):
            raise errors.FindingsError(findings=findings)
    raise AssertionError(result)


def parse_job(data: Any, *, place: str) -> Result[JobSpec, tuple[errors.Finding, ...]]:
    """Check a workload and build its spec.

    Args:
        data: The decoded JSON or TOML value.
        place: What to call the input in findings, such as a file name.

    Returns:
        The spec, or every fault found.
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
