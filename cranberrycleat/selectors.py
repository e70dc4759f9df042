"""Label selectors, with which operators choose workers.

A selector is a comma-separated list of terms, all of which must match::

    zone = a, tier != spot, disk in (ssd, nvme), arch not in (arm), gpu, !old

Selectors are parsed once and compared by value, so that the worker inventory can
keep a single pool of matching workers for all jobs with the same selector.
"""

import re
from collections.abc import Mapping
from typing import Final

import attrs

from cranberrycleat import errors

_NAME: Final = r"[A-Za-z0-9][A-Za-z0-9._/-]*"
_EQUALS: Final = re.compile(rf"({_NAME})\s*(=|==|!=)\s*({_NAME})")
_IN: Final = re.compile(rf"({_NAME})\s+(in|not\s+in)\s*\(([^()]*)\)")
_EXISTS: Final = re.compile(rf"(!?)\s*({_NAME})")
_SPLIT: Final = re.compile(r",(?![^()]*\))")
GRAMMAR: Final = (
    "key = value, key != value, key in (a, b), key not in (a, b), key, !key"
)


@attrs.frozen(kw_only=True)
class In:
    """The value of the label is one of a set, or none of them if negated."""

    key: str
    values: frozenset[str]
    negated: bool = False


@attrs.frozen(kw_only=True)
class Exists:
    """The label is present, or absent if negated."""

    key: str
    negated: bool = False


Term = In | Exists


@attrs.frozen(kw_only=True)
class Selector:
    """A parsed selector.

    Attributes:
        text: The text it was parsed from.
        terms: The conditions, all of which must match.
    """

    text: str = attrs.field(eq=False, default="")
    terms: frozenset[Term] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether labels match every term."""
        return all(_holds(term, labels) for term in self.terms)


def _holds(term: Term, labels: Mapping[str, str]) -> bool:
    match term:
        case In(key=key, values=values, negated=negated):
            return (labels.get(key) in values) != negated
        case Exists(key=key, negated=negated):
            return (key in labels) != negated


def parse(text: str, *, place: str) -> Selector:
    """Parse a selector.

    Args:
        text: The selector; empty matches every worker.
        place: The name of the input in findings.

    Raises:
        FindingsError: With one finding for each malformed term.
    """
    found = errors.Findings()
    terms = set()
    for part in _SPLIT.split(text) if text.strip() else ():
        term = _parse_term(part.strip())
        if term is None:
            reason = f"term {part.strip()!r} is not one of: {GRAMMAR}"
            found.add(place, errors.BAD_SELECTOR, value=text, reason=reason)
        else:
            terms.add(term)
    if found.items:
        raise errors.FindingsError(findings=found.sorted())
    return Selector(text=text, terms=frozenset(terms))


def _parse_term(part: str) -> Term | None:
    if match := _EQUALS.fullmatch(part):
        key, operator, value = match.groups()
        return In(key=key, values=frozenset({value}), negated=operator == "!=")
    if match := _IN.fullmatch(part):
        key, operator, items = match.groups()
        values = frozenset(each.strip() for each in items.split(","))
        if not all(re.fullmatch(_NAME, each) for each in values):
            return None
        return In(key=key, values=values, negated=operator != "in")
    if match := _EXISTS.fullmatch(part):
        return Exists(key=match.group(2), negated=bool(match.group(1)))
    return None
