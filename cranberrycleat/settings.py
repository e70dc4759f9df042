"""Typed settings for each daemon, read once from flags and environment variables.

A setting is declared once, as an attrs field with a rule. The command-line flag, the
environment variable, the help text and the validation are derived from it. Validation
reports all faults at once, each with its flag or variable.
"""

import os
import re
from collections.abc import Callable, Mapping
from typing import Any, Final, TypeVar

import attrs

from cranberrycleat import errors
from cranberrycleat.jobs import NAME, NAME_RULE

PREFIX: Final = "CRANBERRYCLEAT_"
T = TypeVar("T")
Options = TypeVar("Options", bound=attrs.AttrsInstance)


@attrs.frozen(kw_only=True)
class Name:
    """A name as in `jobs.NAME`."""


@attrs.frozen(kw_only=True)
class Integer:
    """An integer within bounds."""

    low: int
    high: int


@attrs.frozen(kw_only=True)
class Number:
    """A number within bounds."""

    low: float
    high: float


@attrs.frozen(kw_only=True)
class Choice:
    """One of a fixed set of words."""

    choices: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Url:
    """An HTTP base URL with an IP address and a port."""


@attrs.frozen(kw_only=True)
class Urls:
    """A comma-separated list of base URLs; may be empty."""


@attrs.frozen(kw_only=True)
class Listen:
    """An IP address to listen on."""


@attrs.frozen(kw_only=True)
class Text:
    """Any text."""


Rule = Name | Integer | Number | Choice | Url | Urls | Listen | Text

_IP: Final = r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\])"
_URL: Final = re.compile(rf"https?://{_IP}:\d{{1,5}}")
_RULE: Final = "rule"
_HELP: Final = "help"
_REQUIRED: Final = "required"


def setting(rule: Rule, text: str, *, default: Any = attrs.NOTHING) -> Any:
    """Declare a setting.

    Args:
        rule: The rule for its values.
        text: One sentence for `--help`.
        default: The default value; without one the setting is required.
    """
    return attrs.field(default=default, metadata={_RULE: rule, _HELP: text})


def allowed(rule: Rule) -> str:
    """Return a human-readable description of the values a rule allows."""
    match rule:
        case Name():
            return NAME_RULE
        case Integer(low=low, high=high):
            return f"a whole number from {low} to {high}"
        case Number(low=low, high=high):
            return f"a number from {low:g} to {high:g}"
        case Choice(choices=choices):
            return ", ".join(choices)
        case Url():
            return "http://IP:PORT"
        case Urls():
            return "http://IP:PORT, joined by commas"
        case Listen():
            return "an IP number"
        case Text():
            return "any text"


def convert(rule: Rule, text: str) -> Any:
    """Convert a setting's text to its value.

    Raises:
        ValueError: The text is malformed or the rule does not allow the value.
    """
    match rule:
        case Name():
            valid = NAME.fullmatch(text) is not None
            return _require(valid, text)
        case Integer(low=low, high=high):
            whole = int(text)
            return _require(low <= whole <= high, whole)
        case Number(low=low, high=high):
            number = float(text)
            return _require(low <= number <= high, number)
        case Choice(choices=choices):
            return _require(text in choices, text)
        case Url():
            return _require(_URL.fullmatch(text) is not None, text)
        case Urls():
            urls = tuple(each.strip() for each in text.split(",") if each.strip())
            return _require(all(_URL.fullmatch(each) for each in urls), urls)
        case Listen():
            return _require(re.fullmatch(_IP, text) is not None, text)
        case Text():
            return text


def _require(holds: bool, value: T) -> T:
    if not holds:
        raise ValueError(value)
    return value


def flag(field: "attrs.Attribute[Any]") -> str:
    """Return a setting's command-line flag."""
    return "--" + field.name.replace("_", "-")


def variable(field: "attrs.Attribute[Any]") -> str:
    """Return a setting's environment variable."""
    return PREFIX + field.name.upper()


def rule_of(field: "attrs.Attribute[Any]") -> Rule:
    """Return a setting's rule."""
    rule: Rule = field.metadata[_RULE]
    return rule


def help_of(field: "attrs.Attribute[Any]") -> str:
    """Return a setting's help text with allowed values, default and variable."""
    text = f"{field.metadata[_HELP]} [{allowed(rule_of(field))}]"
    if field.default is attrs.NOTHING:
        text += " [required]"
    else:
        text += f" [default: {default_text(field)}]"
    return f"{text} [env: {variable(field)}]"


def default_text(field: "attrs.Attribute[Any]") -> str:
    """Return a setting's default as it would be written on the command line."""
    if isinstance(field.default, tuple):
        return ",".join(field.default) or "none"
    return str(field.default)


def load(
    cls: type[Options],
    given: Mapping[str, str | None],
    environ: Mapping[str, str] = os.environ,
) -> Options:
    """Build an options object from flags and environment variables.

    Args:
        cls: The attrs class whose fields are settings.
        given: Flag values by field name; None for flags not given.
        environ: The environment; flags take precedence over it.

    Raises:
        FindingsError: Lists all faults found.
    """
    found = errors.Findings()
    values: dict[str, Any] = {}
    for field in attrs.fields(cls):
        place, text = flag(field), given.get(field.name)
        if text is None and variable(field) in environ:
            place, text = variable(field), environ[variable(field)]
        if text is None:
            if field.default is attrs.NOTHING:
                allowed_values = allowed(rule_of(field))
                found.add(place, errors.MISSING, allowed=allowed_values)
            continue
        try:
            values[field.name] = convert(rule_of(field), text)
        except ValueError:
            allowed_values = allowed(rule_of(field))
            found.add(place, errors.BAD_VALUE, value=text, allowed=allowed_values)
    if found.items:
        raise errors.FindingsError(findings=found.sorted())
    cfg = cls(**values)
    check: Callable[[], tuple[errors.Finding, ...]] = getattr(cfg, "check", tuple)
    faults = check()
    if faults:
        raise errors.FindingsError(findings=faults)
    return cfg
