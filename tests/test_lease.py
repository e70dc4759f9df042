"""Ownership lease: at most one valid holder despite lost replies and late writes."""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import attrs
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cranberrycleat import codec, errors
from cranberrycleat.clock import ManualClock, MonotonicClock
from cranberrycleat.lease import (
    MAX_COUNTED_WRITE_S,
    Changes,
    LeaseLost,
    OwnerRow,
    OwnershipLease,
)
from cranberrycleat.standins.table import MemoryTable
from cranberrycleat.table import CommitReply, Put, Row, Transaction
from tests.fakes import DelayedTable, run_async

LEASE_S = 10.0
POLLS_TO_ACQUIRE = 6
"""Four polls a lease: by the sixth a lease seen at the first one is over."""


def candidate(table: DelayedTable, clock: ManualClock, name: str) -> OwnershipLease:
    """Return a candidate's view of the lease."""
    return OwnershipLease(
        table=table, clock=clock, key="lease", holder=name, lease_s=LEASE_S
    )


@attrs.define
class CandidatePair:
    """Two candidates on one table, each with its own clock."""

    table: DelayedTable = attrs.field(factory=DelayedTable)
    clock_a: ManualClock = attrs.field(factory=ManualClock)
    clock_b: ManualClock = attrs.field(factory=lambda: ManualClock(time_s=500.0))
    a: OwnershipLease = attrs.field(init=False)
    b: OwnershipLease = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.a = candidate(self.table, self.clock_a, "a")
        self.b = candidate(self.table, self.clock_b, "b")

    def advance(self, seconds: float) -> None:
        """Advance both clocks."""
        self.clock_a.advance(seconds=seconds)
        self.clock_b.advance(seconds=seconds)


def test_takeover_waits_for_lease_expiry() -> None:
    """A candidate takes over only after the holder's lease has expired."""
    pair = CandidatePair()
    assert run_async(pair.a.acquire())
    assert not run_async(pair.b.acquire())
    pair.advance(LEASE_S)
    assert not pair.a.is_valid()
    assert not run_async(pair.b.acquire())
    pair.advance(LEASE_S * 0.02)
    assert run_async(pair.b.acquire())
    assert (pair.b.epoch, pair.b.takeover_unreleased) == (2, True)
    with pytest.raises(LeaseLost):
        run_async(pair.a.commit())


def test_candidate_allows_for_clock_drift() -> None:
    """A candidate whose clock runs fast does not take over too early."""
    pair = CandidatePair()
    run_async(pair.a.acquire())
    run_async(pair.b.acquire())
    pair.clock_a.advance(seconds=LEASE_S - 0.05)
    pair.clock_b.advance(seconds=LEASE_S + 0.03)
    assert pair.a.is_valid()
    assert not run_async(pair.b.acquire())


def test_renewal_counts_from_before_the_send() -> None:
    """A slow table shortens the holder's lease, never the candidate's wait."""
    pair = CandidatePair()
    run_async(pair.a.acquire())

    async def slow_commit() -> None:
        pair.table.delay_commits = True
        with pytest.raises(errors.TableUnavailable):
            await pair.a.commit()
        pair.clock_a.advance(seconds=6)
        pair.table.delay_commits = False
        pair.table.deliver()
        await pair.a.commit()

    run_async(slow_commit())
    pair.clock_a.advance(seconds=LEASE_S - 6)
    assert not pair.a.is_valid()


def test_holder_paused_past_expiry_is_invalid() -> None:
    """A holder paused past its lease's expiry finds it invalid when it resumes."""
    pair = CandidatePair()
    run_async(pair.a.acquire())
    pair.clock_a.advance(seconds=LEASE_S * 3)
    assert not pair.a.is_valid()


def test_released_lease_is_acquired_immediately() -> None:
    """A released lease needs no wait, and the successor knows that it was released."""
    pair = CandidatePair()
    run_async(pair.a.acquire())
    run_async(pair.a.release())
    assert run_async(pair.b.acquire())
    assert not pair.b.takeover_unreleased


@pytest.mark.parametrize("lost", [1, 2])
def test_commit_with_lost_reply_is_resolved(lost: int) -> None:
    """A write whose reply was lost commits once and renews the lease."""
    pair = CandidatePair()
    run_async(pair.a.acquire())
    changes = Changes(puts=(Put(key="row", value='"x"'),))
    pair.table.inner.faults.lose_replies = lost
    for _ in range(lost):
        with pytest.raises(errors.TableUnavailable):
            run_async(pair.a.commit(changes))
    run_async(pair.a.commit(changes))
    assert pair.a.is_valid()
    assert pair.table.inner.counts.writes == 2


def test_takeover_with_lost_reply_is_resolved() -> None:
    """A candidate that lost the reply to its takeover learns that it is the holder."""
    pair = CandidatePair()
    pair.table.inner.faults.lose_replies = 1
    with pytest.raises(errors.TableUnavailable):
        run_async(pair.a.acquire())
    assert run_async(pair.a.acquire())
    assert not run_async(pair.b.acquire())


@pytest.mark.parametrize("pause_s", [0.0, LEASE_S / 2, 3 * LEASE_S])
@pytest.mark.parametrize("is_late", [False, True], ids=["stored", "stored late"])
@pytest.mark.parametrize("renewals_lost", [0, 1, 2])
@pytest.mark.parametrize("predecessor", ["none", "dead", "released"])
def test_unanswered_takeover_makes_its_process_the_holder(
    pause_s: float, is_late: bool, renewals_lost: int, predecessor: str
) -> None:
    """Guards against a stall: the row named a process that never acted (review/5).

    The lease of a takeover without an answer may be over before the row is read. With
    no other process left, nobody else ends it.
    """
    pair = CandidatePair()
    if predecessor != "none":
        run_async(pair.b.acquire())
        run_async(pair.a.look())
    if predecessor == "released":
        run_async(pair.b.release())
    pair.advance(1.1 * LEASE_S)
    _lose_answer(pair.table, pair.a.acquire(), is_late=is_late)
    pair.advance(pause_s)
    pair.table.deliver()
    for _ in range(renewals_lost):
        # Only a lease that is over by then needs a write.
        if pause_s > LEASE_S:
            _lose_answer(pair.table, pair.a.acquire(), is_late=is_late)
            pair.advance(pause_s)
            pair.table.deliver()
    assert run_async(pair.a.acquire())
    assert not run_async(pair.b.acquire())
    assert pair.a.epoch == (1 if predecessor == "none" else 2)


def _lose_answer(
    table: DelayedTable, call: Coroutine[Any, Any, object], *, is_late: bool
) -> None:
    """Make a call whose write gets no answer; it is stored now, or when delivered."""
    table.delay_commits = is_late
    table.inner.faults.lose_replies = int(not is_late)
    with pytest.raises(errors.TableUnavailable):
        run_async(call)
    table.delay_commits = False
    table.inner.faults.lose_replies = 0


def test_expired_lease_that_was_taken_over_meanwhile_is_not_renewed() -> None:
    """The row changes between the read of the expired lease and its renewal."""
    pair = CandidatePair()
    _lose_answer(pair.table, pair.a.acquire(), is_late=False)
    run_async(pair.b.look())
    pair.advance(1.1 * LEASE_S)
    rival = TableWithRival(table=pair.table, rival=pair.b)
    pair.a.table = rival
    assert not run_async(pair.a.acquire())
    assert pair.b.is_valid() and pair.b.epoch == 2


@attrs.define(kw_only=True, eq=False)
class TableWithRival:
    """A table in which a rival acquires the lease before the next commit."""

    table: DelayedTable
    rival: OwnershipLease | None

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Read from the table."""
        return await self.table.read(keys=keys)

    async def scan(self, *, prefix: str) -> tuple[Row, ...]:
        """Scan the table."""
        return await self.table.scan(prefix=prefix)

    async def commit(self, txn: Transaction) -> CommitReply:
        """Let the rival acquire the lease, then commit."""
        rival, self.rival = self.rival, None
        if rival is not None:
            assert await rival.acquire()
        return await self.table.commit(txn)


@pytest.mark.parametrize("pause_s", [0.0, LEASE_S / 2, 3 * LEASE_S])
@pytest.mark.parametrize(
    "how", ["fenced", "release lost", "release late", "renewal late", "row deleted"]
)
def test_abandoned_lease_is_taken_over_in_a_new_epoch(pause_s: float, how: str) -> None:
    """Guards against a lease that goes on in the epoch of orders sent before.

    Workers refuse the orders of a second owner in one epoch; once the lease had
    expired, nothing renewed it at all.
    """
    pair = CandidatePair()
    assert run_async(pair.a.acquire())
    _abandon(pair, how)
    assert not pair.a.is_valid()
    pair.advance(pause_s)
    assert run_async(pair.a.acquire())
    assert pair.a.epoch == 2
    pair.table.deliver()
    run_async(pair.a.commit())
    assert not run_async(pair.b.acquire())


def _abandon(pair: CandidatePair, how: str) -> None:
    """End the first candidate's use of the lease, with its last write as named."""
    pair.table.delay_commits = how.endswith("late")
    pair.table.inner.faults.lose_replies = 3 if how == "release lost" else 0
    if how.startswith("release"):
        with pytest.raises(errors.TableUnavailable):
            run_async(pair.a.release())
    elif how.startswith("renewal"):
        with pytest.raises(errors.TableUnavailable):
            run_async(pair.a.commit())
    elif how == "row deleted":
        pair.table.inner.rows.clear()
    pair.a.abandon()
    pair.table.delay_commits = False
    pair.table.inner.faults.lose_replies = 0


def test_late_release_does_not_end_a_later_tenure_of_its_process() -> None:
    """Two valid leases: the released row is free at once for every candidate."""
    pair = CandidatePair()
    assert run_async(pair.a.acquire())
    _abandon(pair, "release late")
    run_async(pair.a.acquire())
    pair.table.deliver()
    run_async(pair.b.acquire())
    assert not (pair.a.is_valid() and pair.b.is_valid())


@pytest.mark.parametrize("pause_s", [0.0, LEASE_S / 2, 0.8 * LEASE_S, 3 * LEASE_S])
@pytest.mark.parametrize("second", ["conflict", "conflict lost", "late"])
def test_adopted_lease_counts_from_the_first_copy_of_its_takeover(
    pause_s: float, second: str
) -> None:
    """Guards against two valid leases after a takeover that is stored late.

    The first copy is stored between the read of the row and the second copy, and a
    candidate counts from there. The read takes long, or the process is paused.
    """
    pair = CandidatePair()
    _lose_answer(pair.table, pair.a.acquire(), is_late=True)
    slow = SlowReadTable(table=pair.table, lose_replies=second == "conflict lost")
    pair.a.table = slow

    async def while_reading() -> None:
        pair.table.deliver()
        await pair.b.look()
        pair.advance(pause_s)

    slow.while_reading = while_reading
    pair.table.delay_commits = second == "late"
    try:
        run_async(pair.a.acquire())
    except errors.TableUnavailable:
        pass
    pair.table.delay_commits = False
    pair.a.table = pair.table
    # A step shorter than the rest of the pause, so that every order of ends is seen.
    for _ in range(12):
        run_async(pair.b.acquire())
        assert not (pair.a.is_valid() and pair.b.is_valid())
        if not pair.b.is_holder:
            run_async(pair.a.acquire())
        assert not (pair.a.is_valid() and pair.b.is_valid())
        pair.advance(LEASE_S / 10)
    pair.table.deliver()
    assert run_async(pair.a.acquire()) is not run_async(pair.b.acquire())


@attrs.define(kw_only=True, eq=False)
class SlowReadTable:
    """A table of which the answer to a read arrives late.

    Attributes:
        table: The table.
        while_reading: Called once between a read and its answer.
        lose_replies: Whether the answers of commits are lost.
    """

    table: DelayedTable
    while_reading: Callable[[], Awaitable[None]] | None = None
    lose_replies: bool = False

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Read from the table; the answer arrives after `while_reading`."""
        rows = await self.table.read(keys=keys)
        wait, self.while_reading = self.while_reading, None
        if wait is not None:
            await wait()
        return rows

    async def scan(self, *, prefix: str) -> tuple[Row, ...]:
        """Scan the table."""
        return await self.table.scan(prefix=prefix)

    async def commit(self, txn: Transaction) -> CommitReply:
        """Commit to the table."""
        reply = await self.table.commit(txn)
        if self.lose_replies:
            raise errors.TableUnavailable("reply lost")
        return reply


@pytest.mark.parametrize("pause_s", [0.0, 3 * LEASE_S])
def test_lease_is_renewed_after_its_row_was_rewritten_unchanged(pause_s: float) -> None:
    """Guards against a stall after the table's rows were restored from a copy.

    The row names this process and has a version that it does not know.
    """
    pair = CandidatePair()
    assert run_async(pair.a.acquire())
    row = pair.table.inner.rows["lease"]
    pair.table.inner.apply(Transaction(puts=(Put(key=row.key, value=row.value),)))
    pair.advance(pause_s)
    assert run_async(pair.a.acquire())
    run_async(pair.a.commit())
    assert pair.a.epoch == 1


def test_lease_found_in_the_hands_of_another_is_abandoned() -> None:
    """On evidence of its death another process may win before a holder's lease ends."""
    pair = CandidatePair()
    assert run_async(pair.a.acquire())
    pair.b.is_dead = lambda holder: True
    assert run_async(pair.b.acquire())
    assert not run_async(pair.a.acquire())
    assert not pair.a.is_holder


def test_late_write_of_previous_holder_has_no_effect() -> None:
    """A previous holder's write that arrives after a takeover has no effect."""
    pair = CandidatePair()
    run_async(pair.a.acquire())
    pair.table.delay_commits = True
    with pytest.raises(errors.TableUnavailable):
        run_async(pair.a.commit(Changes(puts=(Put(key="row", value='"late"'),))))
    pair.table.delay_commits = False
    run_async(pair.b.acquire())
    pair.advance(LEASE_S * 1.02)
    assert run_async(pair.b.acquire())
    pair.table.deliver()
    assert "row" not in pair.table.inner.rows


class LeaseStateMachine(RuleBasedStateMachine):
    """Random sequences of steps, lost replies, delayed writes, restarts and pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.table = DelayedTable()
        self.clocks = [ManualClock(), ManualClock(time_s=1e4), ManualClock()]
        self.leases = [self._fresh(number) for number in range(3)]
        self.starts = 0
        self.tenures: collections.Counter[str] = collections.Counter()
        self.used_epochs: dict[int, tuple[str, int]] = {}

    def _fresh(self, number: int) -> OwnershipLease:
        self.starts = getattr(self, "starts", 0) + 1
        return candidate(self.table, self.clocks[number], f"c{number}#{self.starts}")

    @rule(seconds=st.sampled_from([0.5, 3.0, 6.0, 10.0, 10.2]))
    def advance(self, seconds: float) -> None:
        """Advance the clocks, whose rates differ by 0.5 %."""
        for clock, rate in zip(self.clocks, (1.0, 1.005, 0.995)):
            clock.advance(seconds=seconds * rate)

    @rule(number=st.integers(0, 2))
    def acquire(self, number: int) -> None:
        """Let one candidate read the row and acquire the lease if it is free."""
        try:
            run_async(self.leases[number].acquire())
        except errors.TableUnavailable:
            pass

    @rule(number=st.integers(0, 2))
    def renew(self, number: int) -> None:
        """Let one process renew the lease, if it believes to hold it."""
        try:
            run_async(self.leases[number].commit())
        except (errors.TableUnavailable, LeaseLost):
            pass

    @rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        """Replace one process by a new one, as after a crash and restart."""
        self.leases[number] = self._fresh(number)

    @invariant()
    def each_epoch_is_used_once(self) -> None:
        """Check that no epoch is used by two processes, or again once it is over."""
        for lease in self.leases:
            if lease.is_valid():
                tenure = (lease.holder, self.tenures[lease.holder])
                assert self.used_epochs.setdefault(lease.epoch, tenure) == tenure

    @rule(number=st.integers(0, 2))
    def release(self, number: int) -> None:
        """Let one process release the lease, if it holds it."""
        self.tenures[self.leases[number].holder] += 1
        try:
            run_async(self.leases[number].release())
        except (errors.TableUnavailable, LeaseLost):
            pass

    @rule(number=st.integers(0, 2))
    def abandon(self, number: int) -> None:
        """Let one process stop using the lease, as after evidence of a later one."""
        self.tenures[self.leases[number].holder] += 1
        self.leases[number].abandon()

    @rule(lost=st.integers(0, 2))
    def lose_replies(self, lost: int) -> None:
        """Lose the next replies after their writes committed."""
        self.table.inner.faults.lose_replies = lost

    @rule(delay_commits=st.booleans())
    def delay_commits(self, delay_commits: bool) -> None:
        """Begin or stop delaying writes."""
        self.table.delay_commits = delay_commits

    @rule()
    def deliver(self) -> None:
        """Deliver the delayed writes."""
        self.table.deliver()

    def teardown(self) -> None:
        """Check that each process, left alone without faults, acquires the lease."""
        self.table.inner.faults.lose_replies = 0
        self.table.delay_commits = False
        for number, lease in enumerate(self.leases):
            if self._acquires_alone(number):
                # The next process is alone once this one has been killed.
                continue
            raise AssertionError(f"{lease.holder} never acquires the lease")

    def _acquires_alone(self, number: int) -> bool:
        for _ in range(POLLS_TO_ACQUIRE):
            if run_async(self.leases[number].acquire()):
                return True
            self.clocks[number].advance(seconds=LEASE_S / 4)
        return False

    @invariant()
    def at_most_one_valid_lease(self) -> None:
        """Check that at most one process has a valid lease."""
        assert sum(lease.is_valid() for lease in self.leases) <= 1


LeaseStateMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
test_any_order_of_events = LeaseStateMachine.TestCase


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_release_without_reply_is_retried(lost: int) -> None:
    """Lost replies to a release do not make candidates wait for the lease to expire."""

    async def run() -> None:
        table = MemoryTable()
        clock = ManualClock()
        leases = [
            OwnershipLease(
                table=table, clock=clock, key="owner", holder=name, lease_s=5.0
            )
            for name in ("one", "two")
        ]
        assert await leases[0].acquire()
        table.faults.lose_replies = lost
        await leases[0].release()
        assert await leases[1].acquire()
        assert not leases[1].takeover_unreleased

    run_async(run())


@pytest.mark.parametrize("is_late", [False, True], ids=["stored", "never stored"])
@pytest.mark.parametrize("lost", [0, 1, 2])
def test_release_settles_an_unanswered_renewal(is_late: bool, lost: int) -> None:
    """Guards against a release that takes a renewal of its own for another's write.

    The owner of a takeover that exceeds its time limit is cut off in a renewal; the
    stronger hosts, for which it releases the lease, had to wait until it expired.
    """
    pair = CandidatePair()
    assert run_async(pair.a.acquire())
    _lose_answer(pair.table, pair.a.commit(), is_late=is_late)
    pair.table.inner.faults.lose_replies = lost
    run_async(pair.a.release())
    assert run_async(pair.b.acquire())
    assert not pair.b.takeover_unreleased


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_release_after_takeover_by_another_is_reported(lost: int) -> None:
    """A conflict with another process must not pass for this one's first copy."""
    pair = CandidatePair()
    assert run_async(pair.a.acquire())
    pair.b.is_dead = lambda holder: True
    assert run_async(pair.b.acquire())
    pair.table.drop_commits = lost
    with pytest.raises(LeaseLost):
        run_async(pair.a.release())
    assert pair.b.is_valid()


@pytest.mark.parametrize(
    ("away_s", "renewed", "expected"),
    [
        (0.25, True, True),
        (3.0, True, False),
        (3.0, False, True),
    ],
    ids=["reads continue", "isolated, holder renewed", "isolated, holder silent"],
)
def test_isolated_candidate_ignores_evidence_of_holder_death(
    away_s: float, renewed: bool, expected: bool
) -> None:
    """An isolated candidate hears nothing from a holder that may still be alive."""
    pair = CandidatePair()
    run_async(pair.a.acquire())
    assert not run_async(pair.b.acquire())
    pair.b.is_dead = lambda holder: True
    pair.advance(away_s)
    if renewed:
        run_async(pair.a.commit())
    assert run_async(pair.b.acquire()) is expected


@attrs.define(kw_only=True)
class SerialSlowTable(MemoryTable):
    """A table that executes transactions one at a time, each slowly."""

    each_s: float = 0.0
    lose: int = 0
    sent: int = 0
    slow_reads: bool = True
    _turn: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Read in half the time of a transaction if reads are slow as well."""
        if self.slow_reads:
            await asyncio.sleep(self.each_s / 2)
        return await MemoryTable.read(self, keys=keys)

    async def commit(self, txn: Transaction) -> CommitReply:
        """Commit in order of arrival; the first `lose` replies never arrive."""
        self.sent += 1
        async with self._turn:
            await asyncio.sleep(self.each_s)
            reply = await MemoryTable.commit(self, txn)
        if self.lose:
            self.lose -= 1
            await asyncio.sleep(60)
        return reply


def _lease_on(table: MemoryTable) -> OwnershipLease:
    return OwnershipLease(
        table=table, clock=MonotonicClock(), key="owner", holder="a", lease_s=0.9
    )


def test_lost_reply_is_found_in_row_without_resending() -> None:
    """The row shows the commit; a second copy would only queue behind the first."""

    async def run() -> None:
        table = SerialSlowTable()
        lease = _lease_on(table)
        assert await lease.acquire()
        table.lose, table.sent = 1, 0
        await asyncio.wait_for(lease.commit(), 2.0)
        assert table.sent == 1 and lease.is_valid()

    run_async(run())


def test_slow_table_gets_one_copy_and_a_longer_lease() -> None:
    """Candidates observe changes so late that the usual duration would look expired."""

    async def run() -> None:
        table = SerialSlowTable()
        lease = _lease_on(table)
        assert await lease.acquire()
        table.each_s, table.sent = 0.45, 0
        await lease.commit()
        await lease.commit()
        assert table.sent == 2
        row = codec.decode(table.rows["owner"].value, OwnerRow)
        assert 0.9 + 2 * 0.45 <= row.lease_s <= 0.9 + 2 * MAX_COUNTED_WRITE_S
        table.each_s = 0.0
        await lease.commit()
        await lease.commit()
        row = codec.decode(table.rows["owner"].value, OwnerRow)
        assert row.lease_s == 0.9

    run_async(run())


def test_outage_does_not_extend_lease() -> None:
    """The time of a resent write is the length of the outage, not the table's speed."""

    async def run() -> None:
        table = SerialSlowTable()
        lease = _lease_on(table)
        assert await lease.acquire()
        table.faults.down = True
        with pytest.raises(errors.TableUnavailable):
            await lease.commit()
        table.faults.down = False
        table.each_s = 0.45
        await lease.commit()
        table.each_s = 0.0
        await lease.commit()
        row = codec.decode(table.rows["owner"].value, OwnerRow)
        assert row.lease_s == 0.9

    run_async(run())


def test_delayed_write_to_responsive_table_is_resent() -> None:
    """The write is not queued behind anything; its late copy has no effect."""

    async def run() -> None:
        table = SerialSlowTable(slow_reads=False)
        lease = _lease_on(table)
        assert await lease.acquire()
        table.each_s = 5.0
        late = Changes(puts=(Put(key="row", value='"x"'),))
        with pytest.raises(errors.TableUnavailable):
            await asyncio.wait_for(lease.commit(late), 2.0)
        assert lease.is_valid()
        table.each_s = 0.0
        await lease.commit(late)
        assert lease.is_valid() and table.version("row")

    run_async(run())


def test_successor_inherits_predecessor_lease_length() -> None:
    """The predecessor's last lease may be longer than this process would request."""
    pair = CandidatePair()
    pair.a.lease_s = 2.5
    run_async(pair.a.acquire())
    pair.b.is_dead = lambda holder: True
    assert run_async(pair.b.acquire())
    assert pair.b.inherited_s == 2.5
