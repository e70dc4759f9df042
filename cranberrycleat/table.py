"""Interface to the platform's transactional table.

`Table` is the only interface to it; `table_http` is the adapter used by the daemons and
`standins.table` an in-memory implementation. Every row has a version that changes with
each write. A transaction is a set of version checks and a set of writes, and is applied
atomically.
"""

from typing import Final, Protocol

import attrs

ABSENT: Final = 0
"""Version used in checks that a row does not exist."""


@attrs.frozen(kw_only=True)
class Row:
    """One row of the table.

    Attributes:
        key: The row's key, with parts separated by slashes.
        version: Increases with each write to the row; never `ABSENT`.
        value: JSON text.
    """

    key: str
    version: int
    value: str


@attrs.frozen(kw_only=True)
class Check:
    """A condition that a row has this version (`ABSENT`: does not exist)."""

    key: str
    version: int


@attrs.frozen(kw_only=True)
class Put:
    """A write of one row."""

    key: str
    value: str


@attrs.frozen(kw_only=True)
class Transaction:
    """Conditions and writes that are applied atomically."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()

    def size(self) -> int:
        """Return the approximate number of bytes written: the total size of values."""
        return sum(value_bytes(put.value) for put in self.puts)


@attrs.frozen(kw_only=True)
class TableLimits:
    """What the table takes at most.

    Attributes:
        row_bytes: Bytes of one row's value.
        entries: Entries of a transaction: conditions, writes and deletions.
        transaction_bytes: Bytes of a transaction as sent.
    """

    row_bytes: int = 65_536
    entries: int = 100
    transaction_bytes: int = 1_000_000

    def violation(self, txn: Transaction) -> str:
        """Return which limit a transaction exceeds; empty if none."""
        for put in txn.puts:
            size = value_bytes(put.value)
            if size > self.row_bytes:
                return f"row {put.key} has {size} bytes, over {self.row_bytes}"
        entries = len(txn.checks) + len(txn.puts) + len(txn.deletes)
        if entries > self.entries:
            return f"{entries} entries, over {self.entries}"
        # Values are sent in base64, which takes four bytes for three.
        if txn.size() * 4 / 3 > self.transaction_bytes:
            return f"{txn.size()} bytes of values, over {self.transaction_bytes} sent"
        return ""


def value_bytes(text: str) -> int:
    """Return the number of bytes of a row's value."""
    return len(text) if text.isascii() else len(text.encode())


@attrs.frozen(kw_only=True)
class CommitReply:
    """The table's answer to a transaction.

    Attributes:
        committed: Whether the writes took effect.
        version: If committed, the new version of every written row.
        conflicts: If not committed, the keys whose condition did not hold.
    """

    committed: bool
    version: int = ABSENT
    conflicts: tuple[str, ...] = ()


class Table(Protocol):
    """The required operations of the platform's table."""

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Return the existing rows among the keys, from one consistent snapshot.

        Raises:
            TableUnavailable: The table gave no answer.
        """

    async def scan(self, *, prefix: str) -> tuple[Row, ...]:
        """Return every row whose key starts with the prefix, sorted by key.

        Raises:
            TableUnavailable: The table gave no answer.
        """

    async def commit(self, txn: Transaction) -> CommitReply:
        """Apply a transaction if all its conditions hold.

        Raises:
            TableRejected: The table will never take the transaction.
            TableUnavailable: No answer; the writes may have been applied, or may
                still be applied.
        """
