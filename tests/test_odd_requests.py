"""Tests of requests inside the limits of size whose values cannot be served.

They are refused at once, with a reason; what the documentation allows is not.
"""

import json
from typing import Any

import pytest

from cranberrycleat import errors
from cranberrycleat.codec import MAX_INTEGER
from cranberrycleat.connection_limits import MAX_DEADLINE_S
from cranberrycleat.gateway_api import TIMEOUT_HEADER, _timeout
from cranberrycleat.platform.front import _limit_s
from cranberrycleat.platform.jobs import DEADLINE_HEADER, read_job
from cranberrycleat.workflow.job_frontend import find_spec_fault
from tests.cell import cell
from tests.fakes import run_async
from tests.test_node import ask, nodes

HUGE_INTEGER = int("9" * 300)
TIMED = {"max_runs": 3, "first_ms": 1_000, "period_ms": 1_000}


def fault_of(step: dict[str, Any], job: dict[str, Any]) -> str:
    """Return the fault found in a job, as its caller is told."""
    body = {"spec": "program", "steps": [{"count": 1, **step}], **job}
    return find_spec_fault(read_job(json.dumps(body).encode()))


# Guards against numbers that end the owner when it reads its own rows (overflow), or
# that raise a worker's room.
@pytest.mark.parametrize(
    ("step", "job"),
    [
        ({"cpu": -1}, {}),
        ({"cpu": 1e300}, {}),
        ({"cpu": HUGE_INTEGER}, {}),
        ({"mem_mb": -1}, {}),
        ({"mem_mb": 1e300}, {}),
        ({"gpu": -3}, {}),
        ({"gpu": MAX_INTEGER * 2}, {}),
        ({"estimate_ms": 1e300}, {}),
        ({"estimate_ms": -1e9}, {}),
        ({"target_ms": 1e300}, {}),
        ({"target_ms": -1}, {}),
        ({"anti_affinity": -1}, {}),
        ({"may_miss": -1}, {}),
        ({}, {**TIMED, "first_ms": 1e300}),
        ({}, {**TIMED, "first_ms": -1}),
        ({}, {**TIMED, "period_ms": -5}),
        ({}, {**TIMED, "max_runs": 10**18}),
    ],
    ids=str,
)
def test_number_that_cannot_be_served_is_refused(
    step: dict[str, Any], job: dict[str, Any]
) -> None:
    assert fault_of(step, job)


@pytest.mark.parametrize(
    ("step", "job"),
    [
        ({}, {}),
        ({"cpu": 0, "mem_mb": 0, "gpu": 0, "estimate_ms": 0}, {}),
        ({"cpu": 1.5, "estimate_ms": 0.5, "target_ms": 0.1}, {}),
        ({"cpu": MAX_INTEGER, "mem_mb": MAX_INTEGER}, {}),
        ({"count": 2000, "anti_affinity": 1, "may_miss": 3}, {}),
        ({}, TIMED),
        ({}, {**TIMED, "period_ms": 0, "max_runs": 1_000_000}),
        ({}, {"max_runs": 0, "first_ms": 0, "period_ms": 0}),
    ],
    ids=str,
)
def test_number_that_the_documentation_allows_is_accepted(
    step: dict[str, Any], job: dict[str, Any]
) -> None:
    assert fault_of(step, job) == ""


# Guards against a request that is kept for as long as its caller likes.
@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"3000", 3.0),
        (b"60000", 60.0),
        (b"999999999999999", MAX_DEADLINE_S),
        (b"9" * 400, 3.0),
        (b"-5", 3.0),
    ],
)
def test_deadline_of_a_caller_is_limited(text: bytes, expected: float) -> None:
    assert _limit_s({DEADLINE_HEADER: text}) == expected


# Guards against an error of the gateway itself (500) instead of a finding.
@pytest.mark.parametrize("text", ["9" * 5000, "\u00b2", "1\u00b9", "x", "-1", "0"])
def test_odd_timeout_is_a_finding(text: str) -> None:
    found = errors.Findings()
    _timeout({TIMEOUT_HEADER: text.encode("latin-1")}, 1.0, found)
    assert len(found.items) == 1
    assert len(str(found.items[0])) < 200


def test_long_job_identity_is_refused() -> None:
    """It would be written into rows and log lines."""

    async def run() -> int:
        async with cell() as made, nodes(made, 1) as running:
            return (await ask(running[0], "GET", "/q/" + "0" * 65)).status

    assert run_async(run()) == 400
