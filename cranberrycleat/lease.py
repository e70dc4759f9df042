"""Ownership lease: single holder, conditional writes, fencing by epoch.

Invariant: at any moment at most one process has a valid lease (`is_valid()`):

* The lease is one row: holder, epoch, sequence, duration. Every write by the
  holder is conditional on the row's version and increments the sequence. Each
  commit therefore renews the lease, fences off every earlier holder and makes
  it possible to find out later whether a write whose reply was lost committed.
* The holder counts the duration from *before* it first sent the write that
  committed. A candidate counts it from *after* it observed the row change, on
  its own clock, plus a margin for clock drift. The candidate's wait therefore
  always ends after the holder's lease, without synchronized clocks.
* `is_valid()` reads the clock on every call, so a holder that was paused
  detects expiry when it resumes, before it issues its next order.

* `is_dead` shortens the wait by external evidence of the holder's death. The
  invariant is then only as reliable as that evidence; without it (the default)
  it depends on the lease alone. Independent of both: a commit is conditional on
  the row, so after a takeover no write of an earlier holder takes effect in the
  table. A candidate that could not read the row for a while ignores such
  evidence if the row has changed since: the candidate itself was isolated while
  the holder went on renewing.

What a process may do next with the row as it was read is a `RowStatus`, decided in one
place; docs/design/ownership-lease.md lists the states and the way out of each.

This module can be imported on its own; it needs a `Clock` and a `Table`.
"""

import asyncio
import enum
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
"""A release without a reply is resent, since it saves candidates the full wait."""
ROW_CHECK_AFTER_S: Final = 0.2
"""After this long without a reply to a write the reply may be lost, so the row is
read. Ten times the round trip of a table under normal load."""
SLOW_WRITE_S: Final = 0.15
"""Writes above this indicate a slow table; under normal load they take 0.01 s."""
MAX_COUNTED_WRITE_S: Final = 1.0
"""Write times above this do not extend the lease further: nobody else can become
owner while it lasts, and a dead holder must be replaced."""
LEASE_EXTENSION_WRITES: Final = 2.0
"""By how many write times the lease is extended in a slow table. A candidate
observes a change late by its own read (half a write time), and the next write takes
a whole write time; the rest is a margin for jitter."""
ISOLATED_AFTER_S: Final = 1.0
"""A candidate that has not read the row for this long was isolated from the table;
reads are made every 0.25 s and take 0.5 s in a slow table."""
STRENGTH_DECAY: Final = 2 / 3
"""Factor applied to the strength in the row when a weaker host takes over, until it
is established as owner. Candidates therefore keep waiting for stronger hosts after a
takeover that failed, but not indefinitely: twice if those are four times as strong."""
MAX_CLOCK_DRIFT: Final = 0.01
"""Largest relative difference between two clocks' rates that is allowed for."""


@attrs.frozen(kw_only=True)
class OwnerRow:
    """The value of a lease's row.

    Attributes:
        holder: Name and incarnation of the process that holds the lease.
        epoch: Incremented at each takeover.
        sequence: Incremented at each write by the holder.
        lease_s: Duration in seconds, counted from each write.
        released: The holder released the lease and has stopped renewing anything.
        strength: Capacity of the holder's host as reported by itself; until the
            holder is established, the decayed strength of earlier, stronger holders
            (see `STRENGTH_DECAY`).
        inherited_s: For how long after this write earlier holders may still act on
            leases that they granted, in seconds.
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
    """Row writes to commit in the same transaction as a renewal."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class _Takeover:
    """A takeover that was sent; until it is resolved, a copy of it may be stored.

    Attributes:
        row: The row that it writes.
        replaces: The version of the row that it replaces.
        unreleased: Whether the holder before had not released the lease.
        sent_at: When the first copy was sent.
    """

    row: OwnerRow
    replaces: int
    unreleased: bool
    sent_at: float


class RowStatus(enum.Enum):
    """What a process may do next with the lease's row as it was read."""

    HELD = "Use it: the row names this process. If the lease has expired, renew it."
    FREE = "Take it over, in a new epoch: nobody may act on the row any more."
    TAKEN = "Wait: another process may have a valid lease."


class LeaseLost(Exception):
    """Another process holds the lease; no part of the write took effect."""


@attrs.define(kw_only=True)
class OwnershipLease:
    """One process's view of a lease that it holds or is a candidate for.

    Attributes:
        table: The table with the lease's row.
        clock: This process's monotonic clock.
        key: The row's key.
        holder: This process's identity, unique for each start.
        lease_s: The duration this process requests, in seconds.
        epoch: The epoch held, or the highest observed.
        is_dead: Whether a holder is known to have ended without a release, so
            that its lease need not be waited for. See the module's documentation.
        strength: Written to the row for candidates to compare with.
        defer_s: How long to leave a free lease to other candidates, in seconds,
            given the row of the last holder.
        takeover_unreleased: Whether the previous holder did not release the lease,
            so that it may still be acting on leases that it granted.
        grants_outlive_lease_s: For how long after its own lease any holder may
            still act on leases that it granted.
        inherited_s: For how long after the takeover any earlier holder may still
            act, in seconds. Takeovers may follow each other faster than the first
            holder's lease expires, so the longest wait of the chain counts.
        carries_bytes_s: Throughput to the table, in bytes of values per second.
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
    _takeover: _Takeover | None = None
    _last_answer_at: float = float("-inf")
    _established: bool = False
    _abandoned_epoch: int = 0

    def is_valid(self) -> bool:
        """Return whether this process holds an unexpired lease right now."""
        return self.clock.now() < self.valid_until()

    def valid_until(self) -> float:
        """Return the clock time at which the lease expires unless renewed."""
        return self._valid_until if self._held is not None else float("-inf")

    def unanswered_s(self) -> float:
        """Return how long a pending write has had no reply of any kind.

        Zero if no write is pending. Successful reads of the row count as replies,
        so that a table that loses replies to writes does not count as unresponsive.
        """
        if self._pending is None:
            return 0.0
        return max(
            0.0, self.clock.now() - max(self._pending_since, self._last_answer_at)
        )

    @property
    def is_holder(self) -> bool:
        """Whether this process is the last known holder, expired or not."""
        return self._held is not None

    def latest_row(self) -> OwnerRow | None:
        """Return the newest row observed, written by this process or another."""
        if self._held is not None:
            return self._held
        if self._observed_row is None:
            return None
        return codec.decode(self._observed_row.value, OwnerRow, place=self.key)

    def abandon(self) -> None:
        """Stop using the lease immediately, for example on evidence of a later holder.

        It is never used again in its epoch, even if the row still names this process:
        a release or a renewal that is under way may be stored at any later time, and
        orders of a later epoch are told apart from those that were sent already.
        """
        if self._held is not None:
            self._abandoned_epoch = self._held.epoch
        self._held = None
        self._pending = None
        self._valid_until = float("-inf")

    def mark_established(self) -> None:
        """Mark the holder as working owner; its own strength goes to the row now."""
        self._established = True

    async def look(self) -> None:
        """Read the row to learn the holder, without trying to acquire the lease.

        Raises:
            TableUnavailable: The table did not reply.
        """
        rows = await self.table.read(keys=(self.key,))
        self._observe(rows[0] if rows else None)

    async def acquire(self) -> bool:
        """Read the row once, and acquire the lease if it is free.

        A lease that this process holds already, or took over without an answer, is
        renewed if it has expired: no other process may be there to end it.

        Returns:
            Whether this process holds a valid lease afterwards.

        Raises:
            TableUnavailable: The table did not reply.
        """
        rows = await self.table.read(keys=(self.key,))
        row = rows[0] if rows else None
        self._observe(row)
        status = self._status(row)
        if status is not RowStatus.HELD:
            self.abandon()
        match status:
            case RowStatus.HELD:
                self._reconcile(row)
                if not self.is_valid():
                    await self._renew_expired()
            case RowStatus.FREE:
                if self._takeover_delay_passed(row):
                    await self._take_over(row)
            case RowStatus.TAKEN:
                self._free_since = None
        return self.is_valid()

    async def _renew_expired(self) -> None:
        """Renew an expired lease, unless another process has taken it over."""
        unanswered = self._pending is not None
        try:
            await self.commit()
            if unanswered and not self.is_valid():
                # That only found out that an earlier renewal was stored.
                await self.commit()
        except (LeaseLost, ConditionFailed):
            # The row changed after it was read; the next call reads it again.
            return

    async def commit(self, changes: Changes = Changes()) -> None:
        """Write the changes and renew the lease in one transaction.

        A write without a reply is resent unchanged: the condition on the row's
        version lets at most one copy commit, and the sequence in the row shows
        whether an earlier copy did.

        Raises:
            LeaseLost: Another process holds the lease; nothing was written.
            TableRejected: The table never takes these changes; nothing was written.
            TableUnavailable: No reply; the write may have committed. The next
                call resolves it first, whatever changes that call is given.
        """
        if self._pending is not None and self._pending_changes != changes:
            # The earlier write may have committed. If these changes were sent under
            # its sequence number, they would wrongly be considered stored with it.
            await self._write(self._pending_changes)
        await self._write(changes)

    async def _write(self, changes: Changes) -> None:
        """Send a write, or resend the pending one, and resolve its outcome."""
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
        try:
            reply = await self._send_and_watch(txn)
        except errors.TableRejected:
            # No copy of it was or will be applied, so that it is no longer pending.
            self._pending = None
            raise
        if reply.committed:
            # A resent copy may have waited for an outage to end, which says
            # nothing about the table's speed. A lease three times as long would
            # delay the takeover when its holder is lost next.
            if first_copy:
                self._last_write_s = self.clock.now() - began
            self._record_renewed(self._pending, reply.version)
            return
        await self._resolve_conflict()

    async def _send_and_watch(self, txn: Transaction) -> CommitReply:
        """Send a transaction; if no reply comes soon, also check the row.

        The row shows whether the write committed although its reply was lost. A
        second copy would show the same, but in a slow table it only queues behind
        the first one, which is still in progress. A table that replies to the read
        quickly is not slow: there the write itself was lost or is late. A large
        write may still be in transit, however: if it were restarted every 0.2 s, a
        write that takes 0.3 s on the link would never arrive.

        Raises:
            TableUnavailable: The write is to be resent.
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
                    # The write's own reply or timeout decides.
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
        """Read the row; return a commit reply if it holds the pending write."""
        rows = await self.table.read(keys=(self.key,))
        self._last_answer_at = self.clock.now()
        row = rows[0] if rows else None
        if row is None or codec.decode(row.value, OwnerRow) != self._pending:
            return None
        return CommitReply(committed=True, version=row.version)

    async def release(self) -> None:
        """Release the lease, so that candidates need not wait for its expiry.

        The caller must have stopped renewing everything it granted.

        Raises:
            LeaseLost: Another process holds the lease already.
            TableUnavailable: No reply; the lease will expire by itself.
        """
        if self._held is None:
            raise LeaseLost(self.key)
        held, version = self._held, self._held_version
        inherited_s = self._inherited_remaining_s()
        self.abandon()
        unanswered = 0
        # Only this process writes in its epoch: an earlier copy of the release, or one
        # renewal, may have been stored without an answer.
        while not held.released:
            done = attrs.evolve(
                held,
                sequence=held.sequence + 1,
                released=True,
                inherited_s=inherited_s,
            )
            try:
                reply = await self.table.commit(
                    self._transaction(version, done, Changes())
                )
                if reply.committed:
                    return
                found = await self._read_own_row(held.epoch)
            except errors.TableUnavailable:
                unanswered += 1
                if unanswered == RELEASE_ATTEMPTS:
                    raise
                continue
            if found is None:
                raise LeaseLost(self.key)
            held, version = found

    async def _read_own_row(self, epoch: int) -> tuple[OwnerRow, int] | None:
        """Read the row and its version; None if it is not of this process's epoch."""
        rows = await self.table.read(keys=(self.key,))
        owner = codec.decode(rows[0].value, OwnerRow, place=self.key) if rows else None
        if owner is None or (owner.holder, owner.epoch) != (self.holder, epoch):
            return None
        return owner, rows[0].version

    def _length_s(self) -> float:
        """Return the lease duration for the next write.

        In a slow table the row is written and read so rarely that a candidate
        would observe no change within the usual duration.
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
        """Record when this process first observed the row's current version."""
        now = self.clock.now()
        self._was_isolated = (
            row != self._observed_row and now - self._last_read_at > ISOLATED_AFTER_S
        )
        self._last_read_at = now
        if row != self._observed_row or self._observed_at == float("-inf"):
            self._observed_row = row
            self._observed_at = self.clock.now()

    def _status(self, row: Row | None) -> RowStatus:
        """Return what this process may do next with the row as read."""
        if row is None:
            return RowStatus.FREE
        owner = codec.decode(row.value, OwnerRow, place=self.key)
        self.epoch = max(self.epoch, owner.epoch)
        if owner.released:
            return RowStatus.FREE
        if owner.holder == self.holder:
            is_abandoned = owner.epoch <= self._abandoned_epoch
            return RowStatus.FREE if is_abandoned else RowStatus.HELD
        return RowStatus.FREE if self._has_expired(owner) else RowStatus.TAKEN

    def _has_expired(self, owner: OwnerRow) -> bool:
        if self.is_dead(owner.holder) and not self._was_isolated:
            return True
        margin = owner.lease_s * MAX_CLOCK_DRIFT
        return self.clock.now() - self._observed_at > owner.lease_s + margin

    def _takeover_delay_passed(self, row: Row | None) -> bool:
        """Return whether a free lease was left to other candidates long enough."""
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
        ours = OwnerRow(
            holder=self.holder,
            epoch=self.epoch + 1,
            sequence=0,
            lease_s=self.lease_s,
            strength=max(self.strength, STRENGTH_DECAY * old.strength if old else 0.0),
            inherited_s=0.0 if old is None else self._inherited_after_takeover_s(old),
        )
        copy = _Takeover(
            row=ours,
            replaces=version,
            unreleased=old is not None and not old.released,
            sent_at=self.clock.now(),
        )
        first = self._takeover
        if first is None or (first.row, first.replaces) != (ours, version):
            self._takeover = copy
        reply = await self.table.commit(self._transaction(version, ours, Changes()))
        if reply.committed:
            # No earlier copy was stored, or this one would have met a conflict.
            self._record_acquired(copy, reply.version)

    def _inherited_remaining_s(self) -> float:
        """Return for how long from now earlier holders may still act."""
        return max(0.0, self._inherited_until - self.clock.now())

    def _inherited_after_takeover_s(self, old: OwnerRow) -> float:
        """Return how long earlier holders may act if the lease is taken over now."""
        if old.released:
            return old.inherited_s
        return max(old.inherited_s, old.lease_s + self.grants_outlive_lease_s)

    def _reconcile(self, row: Row | None) -> None:
        """Bring the lease held into line with the row, which names this process.

        If none is held, a takeover whose reply was lost has committed.

        The row does not show which copy was stored, and candidates may have counted
        from the first one. A copy that is no longer known of gives no valid lease.
        """
        if row is None:
            return
        owner = codec.decode(row.value, OwnerRow, place=self.key)
        if self._held is not None:
            if owner == self._held:
                # Its version differs if the table's rows were restored from a copy.
                self._held_version = row.version
            return
        sent = self._takeover
        if sent is None or sent.row != owner:
            sent = _Takeover(
                row=owner, replaces=ABSENT, unreleased=True, sent_at=float("-inf")
            )
        self._record_acquired(sent, row.version)

    def _record_acquired(self, sent: _Takeover, version: int) -> None:
        self._established = False
        self.takeover_unreleased = sent.unreleased
        self.inherited_s = sent.row.inherited_s
        self._inherited_until = self.clock.now() + sent.row.inherited_s
        self._pending_since = sent.sent_at
        self._takeover = None
        self._record_renewed(sent.row, version)

    def _record_renewed(self, owner: OwnerRow, version: int) -> None:
        self._held = owner
        self._held_version = version
        self.epoch = owner.epoch
        self._valid_until = self._pending_since + owner.lease_s
        self._pending = None
        self._free_since = None

    async def _resolve_conflict(self) -> None:
        """Determine, after a conflict, whether an earlier copy committed."""
        rows = await self.table.read(keys=(self.key,))
        owner = codec.decode(rows[0].value, OwnerRow) if rows else None
        if owner is not None and owner == self._pending:
            self._record_renewed(owner, rows[0].version)
            return
        ours = owner is not None and owner == self._held
        self._pending = None
        if ours:
            # We still hold the lease, so one of the caller's own checks failed.
            raise ConditionFailed(self.key)
        self.abandon()
        raise LeaseLost(self.key)


class ConditionFailed(Exception):
    """A check in the caller's changes failed; nothing was written."""
