"""Tests which permits are renewed before a start and when they count as valid."""

import pytest

from cranberrycleat.workflow.permits import StepPermits
from cranberrycleat.workflow.ports import Permit, PermitTiming

SLOW = PermitTiming(decide_s=1.0, each_s=0.01, valid_s=1.5)
QUICK = PermitTiming(decide_s=0.02, each_s=0.0, valid_s=1.5)


def _permits(policy: PermitTiming, had: dict[str, float]) -> StepPermits:
    permits = StepPermits(policy=policy)
    for name, at in had.items():
        permits.record_answer((name,), (Permit(worker=name, ticket=f"t-{name}"),), at)
    return permits


@pytest.mark.parametrize(
    ("policy", "had", "expected"),
    [
        (SLOW, {"a": 9.9, "b": 9.0}, ()),
        (SLOW, {"a": 8.0, "b": 9.9}, ("a",)),
        (SLOW, {"a": 8.0, "b": 9.5, "c": 9.95}, ("a", "b")),
        (QUICK, {"a": 8.0, "b": 9.5}, ("a",)),
        (QUICK, {"a": 8.0, "b": 8.7}, ("a", "b")),
    ],
    ids=["all hold", "one ran out", "another would", "a quick answer", "two ran out"],
)
def test_permits_expiring_during_call_are_renewed(
    policy: PermitTiming, had: dict[str, float], expected: tuple[str, ...]
) -> None:
    permits = _permits(policy, had)
    assert permits.workers_to_renew(set(had), 10.0) == expected


@pytest.mark.parametrize("ages", [(0.0, 0.4, 0.8), (1.3, 1.3, 0.1), (0.7, 1.4, 2.0)])
def test_gang_permits_from_several_calls_become_valid_together(
    ages: tuple[float, ...],
) -> None:
    """Guards against gangs that renew permits endlessly and never start.

    Observed for two gangs on a calm day.
    """
    permits = _permits(SLOW, {f"w{n}": 10.0 - age for n, age in enumerate(ages)})
    names = {f"w{n}" for n in range(len(ages))}
    now, calls = 10.0, 0
    while stale := permits.workers_to_renew(names, now):
        calls += 1
        assert calls <= 2
        now += SLOW.decide_s + SLOW.each_s * len(stale) + 0.04
        given = tuple(Permit(worker=name, ticket="new") for name in stale)
        permits.record_answer(stale, given, now)
        now += 0.05
