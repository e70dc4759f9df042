"""Errors and findings, with all their message texts and stable codes.

A `Finding` is a fault in some input, with its location. Validation collects findings in
`Findings`, which sorts and de-duplicates them, so that users see all faults at once. A
`ProblemError` carries an RFC 9457 problem document from the code that refuses a request
to the HTTP layer.
"""

from typing import Final

import attrs

# Codes are stable, since programs may test them. Texts may be reworded.
BAD_VALUE: Final = "bad-value"
UNKNOWN_FIELD: Final = "unknown-field"
MISSING: Final = "missing"
MALFORMED: Final = "malformed"
BAD_SELECTOR: Final = "bad-selector"
TOO_LARGE: Final = "too-large"
DUPLICATE_NAME: Final = "duplicate-name"
UNKNOWN_NAME: Final = "unknown-name"
NO_HOST: Final = "no-host"
STALE_VERSION: Final = "stale-version"
STALE_EPOCH: Final = "stale-epoch"
EXPIRED_ORDER: Final = "expired-order"
TABLE_UNAVAILABLE: Final = "table-unavailable"
NOT_ACCEPTED: Final = "not-accepted"
NO_ENDPOINT: Final = "no-endpoint"
OVERLOADED: Final = "overloaded"
DEADLINE: Final = "deadline"
NOT_RUN: Final = "not-run"
OUTCOME_UNKNOWN: Final = "outcome-unknown"
KEY_IN_USE: Final = "key-in-use"
KEY_REUSED: Final = "key-reused"
DRAINING: Final = "draining"
INTERNAL: Final = "internal"

TEXTS: Final = {
    BAD_VALUE: "value {value!r} is not allowed; allowed: {allowed}",
    UNKNOWN_FIELD: "unknown field; allowed: {allowed}",
    MISSING: "a value is required; allowed: {allowed}",
    MALFORMED: "not well formed: {reason}",
    BAD_SELECTOR: "selector {value!r}: {reason}",
    TOO_LARGE: "{size} is over the limit of {limit}",
    DUPLICATE_NAME: "{kind} {name!r} exists already",
    UNKNOWN_NAME: "no {kind} is called {name!r}",
    NO_HOST: "no known worker can hold this: {reason}",
    STALE_VERSION: "made from version {ours}, but version {theirs} won",
    STALE_EPOCH: "epoch {ours} is older than epoch {theirs}",
    EXPIRED_ORDER: "the order came after its bound or for an earlier incarnation",
    TABLE_UNAVAILABLE: "the platform's table did not answer",
    NOT_ACCEPTED: "not accepted: the platform's table is out of reach",
    NO_ENDPOINT: "no endpoint of service {name!r} is known",
    OVERLOADED: "too much work is waiting; the request was not run",
    DEADLINE: "the time allowed has run out; the request was not run",
    NOT_RUN: "the request was not run: {reason}",
    OUTCOME_UNKNOWN: "the request may have run: {reason}",
    KEY_IN_USE: "a request with this idempotency key was sent; its outcome is unknown",
    KEY_REUSED: "this idempotency key belongs to a different request",
    DRAINING: "this process is shutting down",
    INTERNAL: "an internal error: {reason}",
}

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3
EXIT_REFUSED: Final = 4


@attrs.frozen(kw_only=True, order=True)
class Finding:
    """A fault and its location.

    Attributes:
        place: The location: a flag, an environment variable, or file and field path.
        code: The stable code, one of the constants of this module.
        message: The human-readable text.
    """

    place: str
    code: str
    message: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f"{self.place}: {self.message} [{self.code}]"


def finding(place: str, code: str, **details: object) -> Finding:
    """Build a finding with the text of a code.

    Args:
        place: The location of the fault.
        code: One of the codes of this module.
        **details: The values for the placeholders in the text.
    """
    return Finding(place=place, code=code, message=TEXTS[code].format(**details))


@attrs.define(kw_only=True)
class Findings:
    """A collection of faults that are reported together."""

    items: list[Finding] = attrs.field(factory=list)

    def add(self, place: str, code: str, **details: object) -> None:
        """Add a fault (see `finding` for the arguments)."""
        self.items.append(finding(place, code, **details))

    def extend(self, others: "tuple[Finding, ...]") -> None:
        """Add faults found by another check."""
        self.items.extend(others)

    def sorted(self) -> tuple[Finding, ...]:
        """Return the faults without duplicates, ordered by location."""
        return tuple(sorted(set(self.items)))


class FindingsError(Exception):
    """Raised for invalid input; carries all faults found.

    Attributes:
        findings: The faults, sorted.
    """

    def __init__(self, *, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(each) for each in findings))
        self.findings = findings


class ProblemError(Exception):
    """A refused request, to be rendered by the HTTP layer.

    Attributes:
        status: The HTTP status.
        code: The stable code.
        detail: The human-readable text.
        retry_after_s: After how many seconds to retry, or None.
        findings: Faults in the input, if any.
    """

    def __init__(
        self,
        *,
        status: int,
        code: str,
        retry_after_s: float | None = None,
        findings: tuple[Finding, ...] = (),
        **details: object,
    ) -> None:
        self.status = status
        self.code = code
        self.detail = TEXTS[code].format(**details) if details else TEXTS[code]
        self.retry_after_s = retry_after_s
        self.findings = findings
        super().__init__(self.detail)


class TableUnavailable(Exception):
    """The table did not answer; a write may or may not have been applied."""


class TableRefused(TableUnavailable):
    """The table refused a call before applying any of it."""


class TableRejected(TableUnavailable):
    """The table will never take this transaction; no part of it was applied."""


class PeerUnavailable(Exception):
    """A peer, worker or daemon was unreachable or did not answer."""


class NotSent(PeerUnavailable):
    """No connection was established, so no byte of the request was sent."""


class NotOwner(NotSent):
    """The peer answered that it is not the owner; it did nothing."""
