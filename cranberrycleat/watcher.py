"""Each process's copy of the versioned configuration.

Invariant: `current` never goes back to a lower version, whether the source is the table
or a peer. A change is accepted only once the table has it. It names the version it was
made from, and the loser of a race is told which version won.

This module can be used as a library; it only needs a `Table`.
"""

import secrets
from typing import Final

import attrs

from cranberrycleat import codec, errors
from cranberrycleat.messages import ConfigDocument
from cranberrycleat.table import ABSENT, Check, Put, Row, Table, Transaction

HEAD_KEY: Final = "config/head"
MAX_COMMIT_ATTEMPTS: Final = 3


@attrs.define(kw_only=True)
class ConfigWatcher:
    """Holds the highest configuration version seen.

    Attributes:
        table: The table that stores the configuration.
        current: The version held, or None before the first.
    """

    table: Table
    current: ConfigDocument | None = None

    @property
    def version(self) -> int:
        """The number of the version held; 0 before the first."""
        return 0 if self.current is None else self.current.version

    def offer(self, document: ConfigDocument | None) -> bool:
        """Apply a version from any source.

        Returns:
            Whether it is newer than the version held before.
        """
        if document is None or document.version <= self.version:
            return False
        self.current = document
        return True

    async def poll(self) -> bool:
        """Read the table's version once and apply it; return whether it is newer.

        Raises:
            TableUnavailable: The table gave no answer; the held version is kept.
        """
        _, document = await self._read()
        return self.offer(document)

    async def propose(self, *, text: str, made_from: int) -> ConfigDocument:
        """Create a new version, unless another one was created since `made_from`.

        Args:
            text: The whole document, already validated.
            made_from: The version that the change is based on.

        Returns:
            The accepted version, as stored in the table.

        Raises:
            ProblemError: Another change won (409), or no answer arrived and it is
                unknown whether this change was accepted (504).
            TableUnavailable: The table could not be read; nothing was written.
        """
        row, head = await self._read()
        theirs = 0 if head is None else head.version
        if theirs != made_from:
            raise _version_conflict(made_from, theirs)
        change = secrets.token_hex(8)
        ours = ConfigDocument(version=made_from + 1, text=text, change=change)
        version = ABSENT if row is None else row.version
        txn = Transaction(
            checks=(Check(key=HEAD_KEY, version=version),),
            puts=(Put(key=HEAD_KEY, value=codec.encode_text(ours)),),
        )
        return await self._commit(txn, ours)

    async def _commit(self, txn: Transaction, ours: ConfigDocument) -> ConfigDocument:
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                reply = await self.table.commit(txn)
                if reply.committed:
                    self.offer(ours)
                    return ours
                return await self._resolve_conflict(ours)
            except errors.TableUnavailable:
                continue
        raise errors.ProblemError(
            status=504,
            code=errors.OUTCOME_UNKNOWN,
            reason="the table gave no answer; look at the version before trying again",
            retry_after_s=5,
        )

    async def _resolve_conflict(self, ours: ConfigDocument) -> ConfigDocument:
        """Check after a conflict whether an earlier copy of the write took effect."""
        _, head = await self._read()
        self.offer(head)
        if head is not None and head.change == ours.change:
            return ours
        raise _version_conflict(ours.version - 1, 0 if head is None else head.version)

    async def _read(self) -> tuple[Row | None, ConfigDocument | None]:
        rows = await self.table.read(keys=(HEAD_KEY,))
        if not rows:
            return None, None
        return rows[0], codec.decode(rows[0].value, ConfigDocument, place=HEAD_KEY)


def _version_conflict(ours: int, theirs: int) -> errors.ProblemError:
    return errors.ProblemError(
        status=409, code=errors.STALE_VERSION, ours=ours, theirs=theirs
    )
