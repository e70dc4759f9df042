"""Which permits are renewed before a start, and when they count as valid."""

import pytest

from cranberrycleat.workflow.permits import StepPermits
from cranberrycleat.workflow.ports import Permit, PermitPolicy

SLOW = PermitPolicy(decide_s=1.0, each_s=0.01, valid_s=1.5)
QUICK = PermitPolicy(decide_s=0.02, each_s=0.0, valid_s=1.5)


def _permits(policy: PermitPolicy, had: dict[str, float]) -> StepPermits:
    made = StepPermits(policy=policy)
    for name, at in had.items():
        made.take((name,), (Permit(worker=name, ticket=f"t-{name}"),), at)
    return made


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
def test_what_would_run_out_meanwhile_is_renewed_as_well(
    policy: PermitPolicy, had: dict[str, float], expected: tuple[str, ...]
) -> None:
    made = _permits(policy, had)
    assert made.to_renew(set(had), 10.0) == expected


@pytest.mark.parametrize("ages", [(0.0, 0.4, 0.8), (1.3, 1.3, 0.1), (0.7, 1.4, 2.0)])
def test_a_gang_whose_permits_came_in_several_calls_has_all_at_once(
    ages: tuple[float, ...],
) -> None:
    """Seen on a calm day: two gangs asked again and again and never began."""
    made = _permits(SLOW, {f"w{n}": 10.0 - age for n, age in enumerate(ages)})
    names = {f"w{n}" for n in range(len(ages))}
    now, calls = 10.0, 0
    while stale := made.to_renew(names, now):
        calls += 1
        assert calls <= 2
        now += SLOW.decide_s + SLOW.each_s * len(stale) + 0.04
        given = tuple(Permit(worker=name, ticket="new") for name in stale)
        made.take(stale, given, now)
        now += 0.05
