"""How long a host has known of no acting owner, and when that is reported."""

import pytest

from cranberrycleat.clock import ManualClock
from cranberrycleat.lease import OwnerRow
from cranberrycleat.workflow.owner_absence import REPORT_AFTER_S, OwnerAbsence

NEVER_S = 3600.0


def row(holder: str) -> OwnerRow:
    """Return a row of the owner that names a process."""
    return OwnerRow(holder=holder, epoch=2, sequence=0, lease_s=0.9)


@pytest.mark.parametrize(
    ("acts_here", "owner_age_s", "expected_s"),
    [(True, NEVER_S, 0.0), (False, 0.2, 0.2), (False, NEVER_S, 10.0)],
    ids=["here", "elsewhere", "nowhere since the start"],
)
def test_absence_counts_from_the_last_acting_owner(
    acts_here: bool, owner_age_s: float, expected_s: float
) -> None:
    clock = ManualClock()
    absence = OwnerAbsence(
        clock=clock,
        acts_here=lambda: acts_here,
        owner_age_s=lambda: owner_age_s,
        table_age_s=lambda: 0.1,
    )
    clock.advance(seconds=10.0)
    assert absence.duration_s() == expected_s


@pytest.mark.parametrize("holder", ["here", "elsewhere", None])
def test_long_absence_is_reported_once_with_the_row(holder: str | None) -> None:
    """An operator sees whether the row names the process that does not act."""
    clock, acts = ManualClock(), [True]
    absence = OwnerAbsence(
        clock=clock,
        acts_here=lambda: acts[0],
        owner_age_s=lambda: NEVER_S,
        table_age_s=lambda: 0.1,
    )
    found = None if holder is None else row(holder)
    clock.advance(seconds=2 * REPORT_AFTER_S)
    for _ in range(2):
        assert absence.check(found, "here") is None
        acts[0] = False
        clock.advance(seconds=REPORT_AFTER_S - 0.1)
        assert absence.check(found, "here") is None
        clock.advance(seconds=0.2)
        event = absence.check(found, "here")
        assert event is not None and event.for_s == REPORT_AFTER_S + 0.1
        assert event.row_holder == (holder or "")
        assert event.row_is_own is (holder == "here")
        assert absence.check(found, "here") is None
        acts[0] = True


def test_absence_is_reported_again_when_the_row_changes() -> None:
    """In an outage of the table the row that is to be known is read only later."""
    clock = ManualClock()
    absence = OwnerAbsence(
        clock=clock,
        acts_here=lambda: False,
        owner_age_s=lambda: NEVER_S,
        table_age_s=lambda: 0.1,
    )
    clock.advance(seconds=2 * REPORT_AFTER_S)
    found = [absence.check(row(name), "here") for name in ("other", "here", "here")]
    assert [event and event.row_is_own for event in found] == [False, True, None]
