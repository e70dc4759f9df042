"""Batched writes, claims and configuration: lost replies, races, outages."""

import asyncio

import pytest

from cranberrycleat import errors
from cranberrycleat.claims import Claim, ClaimStore, Replay, stored_answer
from cranberrycleat.clock import ManualClock
from cranberrycleat.messages import ConfigDocument
from cranberrycleat.standins.table import MemoryTable
from cranberrycleat.table import ABSENT, Check, Put
from cranberrycleat.watcher import HEAD_KEY, ConfigWatcher
from cranberrycleat.writer import (
    FAILURE_BACKOFF_S,
    BatchingWriter,
    Change,
    Committed,
    Conflicted,
    OutcomeUnknown,
)
from tests.fakes import DelayedTable, run_async


def change(key: str, value: str, version: int = ABSENT) -> Change:
    """Return a conditional change of one row."""
    return Change(
        check=Check(key=key, version=version), put=Put(key=key, value=f'"{value}"')
    )


def write_all(table: MemoryTable, *changes: Change) -> list[object]:
    """Write changes concurrently and return the types of their results."""

    async def write_concurrently() -> list[object]:
        writer = BatchingWriter(table=table, batch_window_s=0)
        return [type(r) for r in await asyncio.gather(*map(writer.write, changes))]

    return run_async(write_concurrently())


def test_many_changes_are_one_transaction() -> None:
    """Concurrent changes are combined into one write."""
    table = MemoryTable()
    assert (
        write_all(table, *[change(f"k{n}", "x") for n in range(50)]) == [Committed] * 50
    )
    assert table.counts.writes == 1


def test_a_loser_does_not_hold_up_the_others() -> None:
    """A change whose condition fails is removed; the others are still written."""
    table = MemoryTable()
    write_all(table, change("b", "first"))
    assert write_all(
        table, change("a", "x"), change("b", "second"), change("c", "x")
    ) == [Committed, Conflicted, Committed]
    assert table.rows["b"].value == '"first"'


def test_changes_of_one_row_go_into_separate_transactions() -> None:
    """The second of two equal claims loses."""
    found = write_all(MemoryTable(), change("a", "x"), change("a", "y"))
    assert found == [Committed, Conflicted]


@pytest.mark.parametrize(
    ("lost", "expected"), [(1, Committed), (2, Committed), (3, OutcomeUnknown)]
)
def test_lost_replies_are_settled(lost: int, expected: object) -> None:
    """A change that was applied but not answered is distinguished from a lost one."""
    table = MemoryTable()
    table.faults.lose_replies = lost
    if lost == 3:
        table.faults.down = True
    assert write_all(table, change("a", "x")) == [expected]


def test_writes_fail_fast_after_a_table_failure() -> None:
    """After a failure, writes are not attempted again for `FAILURE_BACKOFF_S`."""
    table, clock = MemoryTable(), ManualClock(time_s=50.0)
    writer = BatchingWriter(table=table, batch_window_s=0, clock=clock)

    async def scenario() -> None:
        table.faults.down = True
        assert isinstance(await writer.write(change("a", "x")), OutcomeUnknown)
        tried = writer.transactions
        assert isinstance(await writer.write(change("b", "x")), OutcomeUnknown)
        assert writer.transactions == tried
        table.faults.down = False
        clock.advance(seconds=FAILURE_BACKOFF_S + 0.1)
        assert isinstance(await writer.write(change("c", "x")), Committed)

    run_async(scenario())


def make_claims(table: MemoryTable) -> ClaimStore:
    """Return the claims of a gateway."""
    return ClaimStore(writer=BatchingWriter(table=table, batch_window_s=0))


def outcome(table: MemoryTable, mark: str = "m") -> str:
    """Claim key `k` as a newly started gateway; return the outcome."""
    try:
        found = run_async(make_claims(table).claim(key="k", mark=mark))
    except errors.ProblemError as exc:
        return exc.code
    return type(found).__name__


def test_a_key_is_claimed_once() -> None:
    """Only one of two gateways sends; a different request is rejected as key reuse."""
    table = MemoryTable()
    assert outcome(table) == Claim.__name__
    assert outcome(table) == errors.KEY_IN_USE
    assert outcome(table, mark="other") == errors.KEY_REUSED


@pytest.mark.parametrize(
    ("answered", "expected"), [(True, Replay.__name__), (False, Claim.__name__)]
)
def test_a_settled_claim(answered: bool, expected: str) -> None:
    """A recorded answer is replayed; a request proved not to have run may run."""
    table = MemoryTable()

    async def record_outcome() -> None:
        claims = make_claims(table)
        claim = await claims.claim(key="k", mark="m")
        assert isinstance(claim, Claim)
        answer = stored_answer(200, "text/plain", b"ok") if answered else None
        await claims.record_outcome(claim, answer)

    run_async(record_outcome())
    assert outcome(table) == expected


def test_claim_without_a_table_is_not_run() -> None:
    """During an outage the claim fails immediately with 'not run'."""
    table = MemoryTable()
    table.faults.down = True
    assert outcome(table) == errors.NOT_RUN
    assert not table.rows


def test_claim_survives_a_lost_reply() -> None:
    """A claim that was applied but not answered belongs to this gateway alone."""
    table = MemoryTable()
    table.faults.lose_replies = 1
    assert outcome(table) == Claim.__name__
    assert outcome(table) == errors.KEY_IN_USE


def propose(table: MemoryTable, text: str, made_from: int) -> int | str:
    """Propose a configuration; return its version or the error code."""
    try:
        watcher = ConfigWatcher(table=table)
        return run_async(watcher.propose(text=text, made_from=made_from)).version
    except errors.ProblemError as exc:
        return exc.code


def test_racing_operators() -> None:
    """Of two changes based on one version, one wins and the other gets an error."""
    table = MemoryTable()
    assert propose(table, "1", 0) == 1
    assert propose(table, "2", 0) == errors.STALE_VERSION
    assert propose(table, "3", 1) == 2
    assert '"text":"3"' in table.rows[HEAD_KEY].value


@pytest.mark.parametrize(("lost", "expected"), [(1, 1), (2, 1)])
def test_accepted_change_with_a_lost_reply(lost: int, expected: int) -> None:
    """A change that was applied but not answered is accepted exactly once."""
    table = MemoryTable()
    table.faults.lose_replies = lost
    assert propose(table, "1", 0) == expected
    assert propose(table, "2", 1) == 2


def test_unanswered_change_is_not_called_accepted() -> None:
    """If the table never answers, the outcome is reported as unknown."""
    late = DelayedTable(delay_commits=True)
    watcher = ConfigWatcher(table=late)
    with pytest.raises(errors.ProblemError) as caught:
        run_async(watcher.propose(text="1", made_from=0))
    assert caught.value.code == errors.OUTCOME_UNKNOWN
    assert watcher.version == 0


@pytest.mark.parametrize(
    ("offered", "held"), [([3, 1], 3), ([1, 3, 2], 3), ([2, 2], 2)]
)
def test_configuration_never_reverts(offered: list[int], held: int) -> None:
    """The highest version is kept, in whatever order versions arrive."""
    watcher = ConfigWatcher(table=MemoryTable())
    for version in offered:
        watcher.offer(ConfigDocument(version=version, text="{}"))
    assert watcher.version == held
