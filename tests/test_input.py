"""Invalid input: all faults are reported at once, each with its location."""

from typing import Any

import attrs
import pytest

from cranberrycleat import errors, selectors, settings
from cranberrycleat.config import parse_configuration
from cranberrycleat.jobs import JobSpec, parse_job, unwrap
from cranberrycleat.options import GatewayOptions, SchedulerOptions

GOOD_JOB: dict[str, Any] = {"name": "a", "kind": "batch"}


def places(exc: errors.FindingsError) -> list[str]:
    """Return the locations of the findings with their codes."""
    return [f"{each.place} {each.code}" for each in exc.findings]


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"tasks": 0}, ["f.tasks bad-value"]),
        ({"tasks": "3"}, ["f.tasks malformed"]),
        ({"tasks": True}, ["f.tasks malformed"]),
        ({"colour": 1}, ["f malformed"]),
        ({"kind": "x", "tasks": []}, ["f.kind malformed", "f.tasks malformed"]),
        ({"name": "A", "run_s": -1}, ["f.name bad-value", "f.run_s bad-value"]),
        ({"selector": "a ~ b, c in ()"}, ["f.selector bad-selector"] * 2),
        ({"program": {"run": 1}}, ["f.program malformed"]),
        ({"processors": 0, "memory_mb": 0, "priority": "asap"}, 3),
    ],
)
def test_job_faults(change: dict[str, Any], expected: list[str] | int) -> None:
    """Every fault in a workload is reported with its field."""
    with pytest.raises(errors.FindingsError) as caught:
        unwrap(parse_job({**GOOD_JOB, **change}, place="f"))
    found = places(caught.value)
    assert found == expected or len(found) == expected


def test_job_defaults() -> None:
    """Integers are accepted as fractions; batch jobs are not kept when cut off."""
    spec = unwrap(parse_job({**GOOD_JOB, "processors": 2}, place="f"))
    assert spec.needs.processors == 2000
    assert not spec.keeps
    assert attrs.evolve(spec, kind=JobSpec(name="b", kind=spec.kind).kind) == spec


@pytest.mark.parametrize("data", [None, 3, [], "text"])
def test_job_is_an_object(data: Any) -> None:
    """Any input other than an object is refused as a whole."""
    with pytest.raises(errors.FindingsError):
        unwrap(parse_job(data, place="f"))


@pytest.mark.parametrize(
    ("text", "labels", "matches"),
    [
        ("", {}, True),
        ("a = b", {"a": "b"}, True),
        ("a = b", {}, False),
        ("a != b", {}, True),
        ("a != b", {"a": "b"}, False),
        ("a in (b, c)", {"a": "c"}, True),
        ("a not in (b,c)", {"a": "c"}, False),
        ("a not in (b,c)", {}, True),
        ("a", {"a": "x"}, True),
        ("!a", {"a": "x"}, False),
        ("a=b, c in (d), !e", {"a": "b", "c": "d"}, True),
        ("a=b, c in (d), !e", {"a": "b", "c": "d", "e": "f"}, False),
    ],
)
def test_selector(text: str, labels: dict[str, str], matches: bool) -> None:
    """Selectors match as their grammar specifies."""
    assert selectors.parse(text, place="f").matches(labels) is matches


@pytest.mark.parametrize("text", ["=", "a =", "a in b", "a in ()", "a,,b", "a > 3"])
def test_selector_faults(text: str) -> None:
    """A malformed selector is refused."""
    with pytest.raises(errors.FindingsError):
        selectors.parse(text, place="f")


@pytest.mark.parametrize(
    ("given", "environ", "expected"),
    [
        ({}, {}, ["--data-centre missing", "--name missing", "--platform missing"]),
        (
            {"name": "g", "data_centre": "d", "platform": "http://host:1"},
            {"CRANBERRYCLEAT_PORT": "-1", "CRANBERRYCLEAT_PEERS": "http://1.2.3.4:5,x"},
            [
                "--platform bad-value",
                "CRANBERRYCLEAT_PEERS bad-value",
                "CRANBERRYCLEAT_PORT bad-value",
            ],
        ),
    ],
)
def test_setting_faults(
    given: dict[str, str], environ: dict[str, str], expected: list[str]
) -> None:
    """Every fault in the settings is reported with its flag or variable."""
    with pytest.raises(errors.FindingsError) as caught:
        settings.load(GatewayOptions, given, environ)
    assert places(caught.value) == expected


def test_flag_goes_before_variable() -> None:
    """A flag overrides the environment, which overrides the default."""
    given = {"name": "s", "data_centre": "d", "platform": "http://1.2.3.4:5"}
    environ = {"CRANBERRYCLEAT_NAME": "t", "CRANBERRYCLEAT_LEASE_S": "3"}
    cfg = settings.load(SchedulerOptions, given, environ)
    assert (cfg.name, cfg.lease_s, cfg.sync_s) == ("s", 3.0, 1.0)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        ({"routing": {"retry_share": 2}}, ["f.routing.retry_share bad-value"]),
        ({"routing": {"retry": 2}}, ["f.routing malformed"]),
        (
            {"placement": {"weight": "x", "quotas": {"T": 2.0}}},
            [
                "f.placement.quotas bad-value",
                "f.placement.quotas.T bad-value",
                "f.placement.weight bad-value",
            ],
        ),
    ],
)
def test_configuration_faults(data: dict[str, Any], expected: list[str]) -> None:
    """Every fault in a configuration is reported with its field."""
    with pytest.raises(errors.FindingsError) as caught:
        unwrap(parse_configuration(data, place="f"))
    assert places(caught.value) == expected
