"""Job requests and responses in the platform's format."""

from typing import Final

import attrs

from cranberrycleat import codec
from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.spec import Schedule, StepSpec, WorkflowSpec

DEADLINE_HEADER: Final = b"deadline-ms"


@attrs.frozen(kw_only=True)
class _WireStep:
    count: int = 1
    cpu: float = 0.0
    mem_mb: float = 0.0
    gpu: float = 0.0
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    checkpoint: bool = False
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0


@attrs.frozen(kw_only=True)
class _WireJob:
    spec: str = ""
    steps: tuple[_WireStep, ...] = ()
    max_runs: int = 0
    first_ms: float = 0.0
    period_ms: float = 0.0


@attrs.frozen(kw_only=True)
class StateAnswer:
    """The response to a job state request."""

    state: str


@attrs.frozen(kw_only=True)
class QueueAnswer:
    """The response to a queue request."""

    waiting: int


def read_job(body: bytes) -> WorkflowSpec:
    """Return the job in a request body.

    Raises:
        FindingsError: The body does not have the platform's format.
    """
    wire = codec.decode(body, _WireJob, place="body")
    schedule = None
    if wire.max_runs > 0:
        schedule = Schedule(
            runs=wire.max_runs,
            first_s=wire.first_ms / 1000,
            period_s=wire.period_ms / 1000,
        )
    return WorkflowSpec(
        program=wire.spec,
        steps=tuple(_step(each) for each in wire.steps),
        schedule=schedule,
    )


def _step(wire: _WireStep) -> StepSpec:
    return StepSpec(
        count=wire.count,
        needs=Amounts(
            processors=round(wire.cpu),
            memory_mb=round(wire.mem_mb),
            accelerators=round(wire.gpu),
        ),
        estimate_s=wire.estimate_ms / 1000,
        after=wire.after,
        gang=wire.gang,
        same_rack=wire.same_rack,
        label=wire.required_label,
        data_rack=wire.affinity,
        most_per_worker=wire.anti_affinity,
        speculative=wire.speculative,
        service=wire.long_running,
        checkpoints=wire.checkpoint,
        image=wire.image,
        tail_limit_ms=round(wire.target_ms),
        filler=wire.fills,
        may_be_away=wire.may_miss,
    )
