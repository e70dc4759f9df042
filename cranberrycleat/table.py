"""The platform's transactional table, as the project sees it.

`Table` is the one narrow interface to it; `table_http` is the adapter that the
daemons use and `standins.table` the in-memory stand-in. Every row has a version
that changes with each write to it; a transaction is a set of conditions on
versions and a set of writes, and takes effect whole or not at all.
"""

from typing import Final, Protocol

import attrs

ABSENT: Final = 0
"""The version to check for where a row must not exist."""


@attrs.frozen(kw_only=True)
class Row:
    """One row of the table.

    Attributes:
        key: The row's key, parts separated by slashes.
        version: Grows with each write to the row; never `ABSENT`.
        value: JSON text.
    """

    key: str
    version: int
    value: str


@attrs.frozen(kw_only=True)
class Check:
    """A condition: the row has this version (`ABSENT`: does not exist)."""

    key: str
    version: int


@attrs.frozen(kw_only=True)
class Put:
    """A write of one row."""

    key: str
    value: str


@attrs.frozen(kw_only=True)
class Transaction:
    """Conditions and writes that take effect together or not at all."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()

    def size(self) -> int:
        """Return about how many bytes it writes: those of its values."""
        return sum(len(put.value) for put in self.puts)


@attrs.frozen(kw_only=True)
class CommitReply:
    """The table's answer to a transaction.

    Attributes:
        committed: Whether the writes took effect.
        version: The version that every written row now has, if committed.
        conflicts: The keys whose condition did not hold, if not.
    """

    committed: bool
    version: int = ABSENT
    conflicts: tuple[str, ...] = ()


class Table(Protocol):
    """The operations the project needs of the platform's table."""

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Return the rows that exist among the keys, from one point in time.

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
            TableUnavailable: No answer; the writes may have taken effect, or
                may yet do so.
        """
