"""A workspace at its quota: its short jobs beside its own wide steps."""

import pytest

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.planner import Planner
from cranberrycleat.workflow.quota import QuotaLedger
from cranberrycleat.workflow.quota_reserve import HALF_LIFE_S, MOST_SHARE, QuotaReserve
from tests.cell import job, queue, step
from tests.test_planner import NOW_S, placed, worker
from tests.test_quota import limited

QUOTA = Amounts(processors=10_000, memory_mb=100_000)


def reserve(*urgent: int, later: int = 0, quota: Amounts = QUOTA) -> QuotaReserve:
    """Return what is kept after urgent and other work was seen running."""
    ledger = QuotaLedger(quotas=lambda: {"one": quota})
    for number, processors in enumerate(urgent):
        needs = Amounts(processors=processors, memory_mb=100)
        ledger.charge(("w", f"u.0.0.{number}", 1), "one", needs, 0)
    if later:
        ledger.charge(("w", "l.0.0.0", 1), "one", Amounts(processors=later), 2)
    made = QuotaReserve(ledger=ledger)
    made.look(0.0)
    for number in range(len(urgent)):
        ledger.release(("w", f"u.0.0.{number}", 1))
    return made


@pytest.mark.parametrize(
    ("urgent", "priority", "after_s", "together", "expected"),
    [
        ((1000, 1000), 2, 0.0, 1000, 2000),
        ((1000, 1000), 0, 0.0, 1000, 0),
        ((1000, 1000), 2, HALF_LIFE_S, 1000, 1000),
        ((9000,), 2, 0.0, 1000, round(MOST_SHARE * 10_000)),
        ((9000,), 2, 0.0, 7000, 0),
        ((), 2, 0.0, 1000, 0),
    ],
    ids=[
        "what urgent work had",
        "urgent work itself keeps nothing free",
        "half of it is forgotten",
        "a small part of the quota at most",
        "what would never fit beside it",
        "nothing urgent was seen",
    ],
)
def test_what_is_kept_free(
    urgent: tuple[int, ...],
    priority: int,
    after_s: float,
    together: int,
    expected: int,
) -> None:
    made = reserve(*urgent, later=500)
    made.look(after_s)
    needs = Amounts(processors=together)
    assert made.kept_from("one", priority, needs).processors == expected


def test_without_a_quota_nothing_is_kept() -> None:
    made = reserve(1000, quota=NOTHING)
    assert made.kept_from("one", 2, Amounts(processors=1000)) == NOTHING
    assert made.kept_from("other", 2, Amounts(processors=1000)) == NOTHING


def test_wide_steps_leave_room_for_the_next_short_job() -> None:
    """It begins in the round that it came in, not when one of their tasks ends."""
    made: Board = limited(
        worker("w", processors=90_000), quota=Amounts(processors=6000)
    )
    rounds = Planner(board=made)
    made.accept("u0", queue(priority=0), job(step(1)), workspace="one")
    rounds.plan(now=0.0, now_s=NOW_S)
    rounds.plan(now=0.1, now_s=NOW_S)
    made.accept("l", queue(priority=2), job(step(40)), workspace="one")
    made.cancel("u0")
    for on, placement in made.placements_of("u0"):
        made.give_up(on, placement, "over")
    rounds.plan(now=0.2, now_s=NOW_S)
    assert len(placed(made)["w"]) == 5
    made.accept("u1", queue(priority=0), job(step(1)), workspace="one")
    rounds.plan(now=0.3, now_s=NOW_S)
    assert "u1.0.0.0" in placed(made)["w"]
