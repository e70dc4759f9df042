"""Claims: at most one gateway sends a request with an idempotency key, once.

Invariant: a request with a key is sent to an endpoint only after the table holds a
claim row for the key that names this very request. The row is written on condition
that no row exists, or only one whose holder recorded that nothing was run. Of any
number of gateways, in any data centre, before or after a membership change or a
crash, at most one therefore sends the request.

Without the table no claim can be made, and the response is 'not run' immediately. A
request whose claim has an unknown outcome is never sent; its key may stay taken, so
the failure mode is a request that is not run.
"""

import base64
import hashlib
import secrets
from typing import Final

import attrs

from cranberrycleat import codec, errors
from cranberrycleat.table import ABSENT, Check, Put, Row
from cranberrycleat.writer import (
    BatchingWriter,
    Change,
    Committed,
    Conflicted,
    OutcomeUnknown,
)

MAX_STORED_BODY_BYTES: Final = 16 * 1024
"""Responses up to this size are stored for repeats of the request."""
CLAIM_RETRY_AFTER_S: Final = 2.0
CLAIM_TIMEOUT_S: Final = 1.0
"""Maximum time to wait for a claim."""
SENT: Final = "sent"
ANSWERED: Final = "answered"
NOT_RUN: Final = "not-run"


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """A response as stored in a claim row.

    Attributes:
        status: The HTTP status.
        content_type: The response's content type.
        body: The body in base64, or None if it was too large to store.
    """

    status: int
    content_type: str
    body: str | None


@attrs.frozen(kw_only=True)
class ClaimRow:
    """The value of a claim's row.

    Attributes:
        claim: Random id of the request that holds the claim.
        fingerprint: Hash of the request's method, service, path and body.
        state: `sent`, `answered` or `not-run`.
        answer: The response, once there is one.
    """

    claim: str
    fingerprint: str
    state: str
    answer: StoredAnswer | None = None


@attrs.define(kw_only=True)
class Claim:
    """A claim that this gateway holds for one request.

    Attributes:
        key: The row's key.
        version: The row's version.
        row: The row's value.
    """

    key: str
    version: int
    row: ClaimRow


@attrs.frozen(kw_only=True)
class Replay:
    """The request was answered before; `answer` is the stored response."""

    answer: StoredAnswer


def claim_key(idempotency_key: str) -> str:
    """Return the key of a claim's row, hashed to bound its length."""
    digest = hashlib.blake2b(idempotency_key.encode(), digest_size=20).hexdigest()
    return f"claim/{digest}"


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a hash that distinguishes requests under the same idempotency key."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


@attrs.define(kw_only=True, eq=False)
class ClaimStore:
    """Acquires claims and records their outcomes through the batching writer."""

    writer: BatchingWriter

    async def claim(self, *, key: str, mark: str) -> Claim | Replay:
        """Claim a key for a request.

        Args:
            key: The caller's idempotency key.
            mark: The request's fingerprint.

        Raises:
            ProblemError: The key is taken by a request whose outcome is unknown
                (409) or by a different request (422), or no safe claim could be
                made (503, not run).
        """
        row = ClaimRow(claim=secrets.token_hex(8), fingerprint=mark, state=SENT)
        found = await self._write(claim_key(key), ABSENT, row)
        if isinstance(found, Claim):
            return found
        return await self._resolve_existing(found, row)

    async def _resolve_existing(self, found: Row, row: ClaimRow) -> Claim | Replay:
        """Handle an existing row: replay it, take it over if not run, or refuse."""
        held = codec.decode(found.value, ClaimRow, place=found.key)
        if held.fingerprint != row.fingerprint:
            raise errors.ProblemError(status=422, code=errors.KEY_REUSED)
        if held.state == ANSWERED and held.answer is not None:
            return Replay(answer=held.answer)
        if held.state == NOT_RUN:
            again = await self._write(found.key, found.version, row)
            if isinstance(again, Claim):
                return again
        raise errors.ProblemError(
            status=409, code=errors.KEY_IN_USE, retry_after_s=CLAIM_RETRY_AFTER_S
        )

    async def _write(self, key: str, version: int, row: ClaimRow) -> Claim | Row:
        change = Change(
            check=Check(key=key, version=version),
            put=Put(key=key, value=codec.encode_text(row)),
        )
        match await self.writer.write(change):
            case Committed(version=now):
                return Claim(key=key, version=now, row=row)
            case Conflicted(row=Row() as found):
                return found
            case Conflicted() | OutcomeUnknown():
                raise claim_unavailable()

    async def record_outcome(self, claim: Claim, answer: StoredAnswer | None) -> None:
        """Record the outcome of a claimed request; best effort.

        Args:
            claim: The claim.
            answer: The response, or None if the request is proved not to have run.
        """
        state = NOT_RUN if answer is None else ANSWERED
        row = attrs.evolve(claim.row, state=state, answer=answer)
        change = Change(
            check=Check(key=claim.key, version=claim.version),
            put=Put(key=claim.key, value=codec.encode_text(row)),
        )
        await self.writer.write(change)


def stored_answer(status: int, content_type: str, body: bytes) -> StoredAnswer:
    """Return a response in the form in which a claim row stores it."""
    text = (
        base64.b64encode(body).decode() if len(body) <= MAX_STORED_BODY_BYTES else None
    )
    return StoredAnswer(status=status, content_type=content_type, body=text)


def claim_unavailable() -> errors.ProblemError:
    """Return the error for when no safe claim could be made: nothing was run."""
    return errors.ProblemError(
        status=503,
        code=errors.NOT_RUN,
        retry_after_s=CLAIM_RETRY_AFTER_S,
        reason="no claim could be made for its idempotency key",
    )
