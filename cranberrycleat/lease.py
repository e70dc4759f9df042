"""The ownership lease: one holder at a time, by conditional write, with epochs.

Invariant: at any moment at most one process has `authority()`. The argument:

* The lease is one row: holder, epoch, sequence, length. Every write by the
  holder is conditional on the row's version and raises the sequence, so each
  commit renews the lease, fences off every earlier holder and leaves a mark by
  which a lost reply can be settled.
* The holder counts the lease from *before* it first sent the write that took
  effect. A candidate counts it from *after* it saw the row change, on its own
  clock, and adds a margin for clock drift. The candidate's count therefore
  always ends after the holder's, without a common time of day.
* `authority()` looks at the clock each time, so a holder that was paused finds
  out when it wakes, before it gives its next order.

* `is_dead` shortens the wait by other evidence. The invariant is then as good
  as that evidence; without it (the default) it rests on the lease alone. What
  never rests on the lease: a commit is conditional on the row, so that after a
  takeover nothing of an earlier holder takes effect in the table. A candidate
  that could not look at the row for a while does not trust such evidence when
  the row has changed meanwhile: it was cut off itself, and the holder renewed.

The part is importable on its own; it needs a `Clock` and a `Table`.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat import codec, errors
from cranberrycleat.clock import Clock
from cranberrycleat.table import (
    ABSENT,
    Check,
    CommitReply,
    Put,
    Row,
    Table,
    Transaction,
)

RELEASE_ATTEMPTS: Final = 3
"""A release without an answer is sent again: it saves a candidate the wait."""
ROW_CHECK_AFTER_S: Final = 0.2
"""A write without an answer for so long may have lost it: the row is looked at.
Ten times what a calm table takes with its way."""
SLOW_WRITE_S: Final = 0.15
"""A write that took longer tells of a slow table; a calm one takes 0.01 s."""
MAX_COUNTED_WRITE_S: Final = 1.0
"""Slower writes than this do not make the lease any longer: nobody else can own
while it runs, and a dead holder must be followed."""
LEASE_EXTENSION_WRITES: Final = 2.0
"""A candidate sees a change late by its own look (half a write's time) and the
next write takes a whole one; with one write's time for jitter."""
ISOLATED_AFTER_S: Final = 1.0
"""Without a look at the row for so long a candidate was cut off from the table;
looks come each 0.25 s and take 0.5 s in a slowed table."""
STRENGTH_DECAY: Final = 2 / 3
"""Of a strength that stands in the row, what a lesser host that takes over leaves of
it until it has settled. So candidates go on looking out for better hosts after a
takeover that came to nothing, but not for ever: twice where these are four times as
strong."""
MAX_CLOCK_DRIFT: Final = 0.01
"""The largest difference in clock rates that is allowed for, as a share."""


@attrs.frozen(kw_only=True)
class OwnerRow:
    """The value of a lease's row.

    Attributes:
        holder: Name and incarnation of the process that holds the lease.
        epoch: Grows by one at each takeover.
        sequence: Grows by one at each write by the holder.
        lease_s: Length in seconds, counted from each write.
        released: The holder gave it up and has stopped renewing anything.
        strength: How much the holder's host can carry, by its own word; until it has
            settled, what is still believed of better ones (see `FADES`).
        inherited_s: For how long after this write holders before this one may
            still act on what they granted, in seconds.
    """

    holder: str
    epoch: int
    sequence: int
    lease_s: float
    released: bool = False
    strength: float = 0.0
    inherited_s: float = 0.0


@attrs.frozen(kw_only=True)
class Changes:
    """Row writes to be made together with a renewal."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class LeaseLost(Exception):
    """Another process holds the lease; nothing of the write took effect."""


@attrs.define(kw_only=True)
class OwnershipLease:
    """One process's view of a lease that it holds or would like to hold.

    Attributes:
        table: Where the lease's row lives.
        clock: This process's monotonic clock.
        key: The row's key.
        holder: This process, unique for each start of it.
        lease_s: The length this process asks for, in seconds.
        epoch: The epoch held, or the highest seen.
        is_dead: Tells whether a holder is known to have ended without a
            release, so that its lease need not be waited for. See below.
        strength: Written to the row, for candidates to compare with.
        defer_s: How long to leave a free lease to other candidates, in
            seconds, by the row of who held it last.
        takeover_silent: Whether the lease was won from a holder that did not
            release it, so that it may still be acting on what it granted.
        acts_on_s: How long any holder may act beyond its lease on what it granted.
        inherited_s: For how long after the takeover any earlier holder may still
            act, in seconds. Holders may follow each other faster than the first
            one's lease runs out, so that the longest wait of the chain counts.
        carries_bytes_s: Bytes of values a second that reach the table from here.
    """

    table: Table
    clock: Clock
    key: str
    holder: str
    lease_s: float
    epoch: int = 0
    is_dead: Callable[[str], bool] = lambda holder: False
    strength: float = 0.0
    defer_s: Callable[[OwnerRow], float] = lambda row: 0.0
    takeover_unreleased: bool = False
    grants_outlive_lease_s: float = 0.0
    inherited_s: float = 0.0
    carries_bytes_s: float = float("inf")
    _inherited_until: float = float("-inf")
    _held: OwnerRow | None = None
    _held_version: int = ABSENT
    _valid_until: float = float("-inf")
    _observed_row: Row | None = None
    _observed_at: float = float("-inf")
    _last_write_s: float = 0.0
    _last_read_at: float = float("inf")
    _was_isolated: bool = False
    _free_since: float | None = None
    _pending: OwnerRow | None = None
    _pending_changes: Changes = Changes()
    _pending_since: float = float("-inf")
    _pending_unreleased: bool = False
    _last_answer_at: float = float("-inf")
    _established: bool = False

    def is_valid(self) -> bool:
        """Tell whether this process is the owner at this very moment."""
        return self.clock.now() < self.valid_until()

    def valid_until(self) -> float:
        """Return the clock time at which authority ends if nothing renews it."""
        return self._valid_until if self._held is not None else float("-inf")

    def unanswered_s(self) -> float:
        """Return for how long a write has waited while the table said nothing.

        Zero while nothing waits. Looks at the row count as answers, so that a
        table that loses answers to writes is not taken for one that is silent.
        """
        if self._pending is None:
            return 0.0
        return max(
            0.0, self.clock.now() - max(self._pending_since, self._last_answer_at)
        )

    @property
    def is_holder(self) -> bool:
        """Whether this process was the last known holder, lapsed or not."""
        return self._held is not None

    def latest_row(self) -> OwnerRow | None:
        """Return the newest row seen, this process's own or another's."""
        if self._held is not None:
            return self._held
        if self._observed_row is None:
            return None
        return codec.decode(self._observed_row.value, OwnerRow, place=self.key)

    def mark_lost(self) -> None:
        """Give up at once: evidence of a later holder was seen elsewhere."""
        self._held = None
        self._valid_until = float("-inf")

    def mark_established(self) -> None:
        """Note that the holder does what owners do: its strength is the row's now."""
        self._established = True

    async def look(self) -> None:
        """Look at the row only, to know who holds the lease.

        Raises:
            TableUnavailable: The table gave no answer.
        """
        rows = await self.table.read(keys=(self.key,))
        self._observe(rows[0] if rows else None)

    async def acquire(self) -> bool:
        """Look at the row once, and take the lease if it is free.

        Returns:
            Whether this process has authority afterwards.

        Raises:
            TableUnavailable: The table gave no answer.
        """
        rows = await self.table.read(keys=(self.key,))
        row = rows[0] if rows else None
        self._observe(row)
        if self._adopt_if_own(row):
            return self.is_valid()
        if not self._is_free(row):
            self._free_since = None
            return False
        if not self._takeover_delay_passed(row):
            return False
        await self._take_over(row)
        return self.is_valid()

    async def commit(self, changes: Changes = Changes()) -> None:
        """Write the changes and renew the lease, in one transaction.

        A write without an answer is sent again unchanged: the condition on the
        row's version lets at most one copy take effect, and the sequence in
        the row tells whether an earlier copy did.

        Raises:
            Deposed: Another process holds the lease; nothing was written.
            TableUnavailable: No answer; the effect counts as possible. The next
                call settles it first, whatever its own changes.
        """
        if self._pending is not None and self._pending_changes != changes:
            # An earlier write may have taken effect: were these changes sent
            # under its sequence, they would be taken for stored with it.
            await self._write(self._pending_changes)
        await self._write(changes)

    async def _write(self, changes: Changes) -> None:
        """Send a write, or one that had no answer once more, until it is settled."""
        if self._held is None:
            raise LeaseLost(self.key)
        first_copy = self._pending is None
        if self._pending is None:
            self._pending = attrs.evolve(
                self._held,
                sequence=self._held.sequence + 1,
                lease_s=self._length_s(),
                strength=self.strength if self._established else self._held.strength,
                inherited_s=self._inherited_remaining_s(),
            )
            self._pending_changes = changes
            self._pending_since = self.clock.now()
        txn = self._transaction(self._held_version, self._pending, changes)
        began = self.clock.now()
        reply = await self._send_and_watch(txn)
        if reply.committed:
            # A copy may have waited out an outage, which tells nothing of the
            # table's pace; a lease three times as long would keep everyone
            # waiting when its holder is lost next.
            if first_copy:
                self._last_write_s = self.clock.now() - began
            self._record_renewed(self._pending, reply.version)
            return
        await self._resolve_conflict()

    async def _send_and_watch(self, txn: Transaction) -> CommitReply:
        """Send a transaction; where no answer comes soon, look at the row too.

        The row shows whether the write took effect though its answer was lost.
        A second copy would tell as much, but in a slow table it only waits
        behind the first one, which is still under way. A table that answers the
        look at once is not slow: there the write itself was lost, or is late. But
        a large write may still be on its way there: begun anew each 0.2 s, one that
        takes the link 0.3 s would never arrive.

        Raises:
            TableUnavailable: The write is to be sent again.
        """
        sending = asyncio.ensure_future(self.table.commit(txn))
        try:
            on_its_way_s = txn.size() / self.carries_bytes_s
            await asyncio.wait({sending}, timeout=ROW_CHECK_AFTER_S + on_its_way_s)
            while not sending.done():
                began = self.clock.now()
                try:
                    found = await self._find_pending_in_row()
                except errors.TableUnavailable:
                    # The write's own answer, or its time limit, decides.
                    pass
                else:
                    if found is not None:
                        return found
                    if self.clock.now() - began < SLOW_WRITE_S and not sending.done():
                        raise errors.TableUnavailable("the row does not show the write")
                await asyncio.wait({sending}, timeout=ROW_CHECK_AFTER_S)
            return sending.result()
        finally:
            sending.cancel()

    async def _find_pending_in_row(self) -> CommitReply | None:
        """Return the answer that the row gives, if the write took effect."""
        rows = await self.table.read(keys=(self.key,))
        self._last_answer_at = self.clock.now()
        row = rows[0] if rows else None
        if row is None or codec.decode(row.value, OwnerRow) != self._pending:
            return None
        return CommitReply(committed=True, version=row.version)

    async def release(self) -> None:
        """Give the lease up, so that a candidate need not wait for it.

        The caller has stopped renewing everything it granted before this.

        Raises:
            Deposed: Another process holds the lease already.
            TableUnavailable: No answer; the lease will run out by itself.
        """
        if self._held is None:
            raise LeaseLost(self.key)
        held = self._held
        version = self._held_version
        self.mark_lost()
        done = attrs.evolve(
            held,
            sequence=held.sequence + 1,
            released=True,
            inherited_s=self._inherited_remaining_s(),
        )
        txn = self._transaction(version, done, Changes())
        for attempt in range(RELEASE_ATTEMPTS):
            try:
                reply = await self.table.commit(txn)
            except errors.TableUnavailable:
                if attempt + 1 == RELEASE_ATTEMPTS:
                    raise
                continue
            # After a lost reply a conflict may be with our own first copy.
            if not reply.committed and not attempt:
                raise LeaseLost(self.key)
            return

    def _length_s(self) -> float:
        """Return how long the next write is to hold.

        In a slow table the row changes, and is looked at, so seldom that a
        candidate would see no change within the usual length.
        """
        if self._last_write_s < SLOW_WRITE_S:
            return self.lease_s
        return self.lease_s + LEASE_EXTENSION_WRITES * min(
            self._last_write_s, MAX_COUNTED_WRITE_S
        )

    def _transaction(
        self, version: int, row: OwnerRow, changes: Changes
    ) -> Transaction:
        return Transaction(
            checks=(Check(key=self.key, version=version), *changes.checks),
            puts=(Put(key=self.key, value=codec.encode_text(row)), *changes.puts),
            deletes=changes.deletes,
        )

    def _observe(self, row: Row | None) -> None:
        """Note when this process saw the row's current version first."""
        now = self.clock.now()
        self._was_isolated = (
            row != self._observed_row and now - self._last_read_at > ISOLATED_AFTER_S
        )
        self._last_read_at = now
        if row != self._observed_row or self._observed_at == float("-inf"):
            self._observed_row = row
            self._observed_at = self.clock.now()

    def _is_free(self, row: Row | None) -> bool:
        if row is None:
            return True
        owner = codec.decode(row.value, OwnerRow, place=self.key)
        self.epoch = max(self.epoch, owner.epoch)
        if owner.released:
            return True
        if self.is_dead(owner.holder) and not self._was_isolated:
            return True
        margin = owner.lease_s * MAX_CLOCK_DRIFT
        return self.clock.now() - self._observed_at > owner.lease_s + margin

    def _takeover_delay_passed(self, row: Row | None) -> bool:
        """Tell whether a free lease was left to other candidates long enough."""
        if row is None:
            return True
        now = self.clock.now()
        if self._free_since is None:
            self._free_since = now
        owner = codec.decode(row.value, OwnerRow, place=self.key)
        return now - self._free_since >= self.defer_s(owner)

    async def _take_over(self, row: Row | None) -> None:
        version = ABSENT if row is None else row.version
        old = codec.decode(row.value, OwnerRow) if row is not None else None
        self._pending_unreleased = old is not None and not old.released
        ours = OwnerRow(
            holder=self.holder,
            epoch=1 if old is None else old.epoch + 1,
            sequence=0,
            lease_s=self.lease_s,
            strength=max(self.strength, STRENGTH_DECAY * old.strength if old else 0.0),
            inherited_s=0.0 if old is None else self._inherited_after_takeover_s(old),
        )
        self._pending_since = self.clock.now()
        reply = await self.table.commit(self._transaction(version, ours, Changes()))
        if reply.committed:
            self._record_acquired(ours, reply.version)

    def _inherited_remaining_s(self) -> float:
        """Return for how long from now on earlier holders may still act."""
        return max(0.0, self._inherited_until - self.clock.now())

    def _inherited_after_takeover_s(self, old: OwnerRow) -> float:
        """Return how long earlier holders may still act after a takeover now."""
        if old.released:
            return old.inherited_s
        return max(old.inherited_s, old.lease_s + self.grants_outlive_lease_s)

    def _adopt_if_own(self, row: Row | None) -> bool:
        """Settle a takeover whose reply was lost: the row says who won."""
        if row is None:
            return False
        owner = codec.decode(row.value, OwnerRow, place=self.key)
        if owner.holder != self.holder or owner.released:
            return False
        if self._held is None:
            self._record_acquired(owner, row.version)
        return True

    def _record_acquired(self, owner: OwnerRow, version: int) -> None:
        self._established = False
        self.takeover_unreleased = self._pending_unreleased
        self.inherited_s = owner.inherited_s
        self._inherited_until = self.clock.now() + owner.inherited_s
        self._record_renewed(owner, version)

    def _record_renewed(self, owner: OwnerRow, version: int) -> None:
        self._held = owner
        self._held_version = version
        self.epoch = owner.epoch
        self._valid_until = self._pending_since + owner.lease_s
        self._pending = None
        self._free_since = None

    async def _resolve_conflict(self) -> None:
        """Find out, after a conflict, whether an earlier copy took effect."""
        rows = await self.table.read(keys=(self.key,))
        owner = codec.decode(rows[0].value, OwnerRow) if rows else None
        if owner is not None and owner == self._pending:
            self._record_renewed(owner, rows[0].version)
            return
        ours = owner is not None and owner == self._held
        self._pending = None
        if ours:
            # Our lease stands, so a condition of the caller's own did not hold.
            raise ConditionFailed(self.key)
        self.mark_lost()
        raise LeaseLost(self.key)


class ConditionFailed(Exception):
    """A condition in the caller's changes did not hold; nothing was written."""
