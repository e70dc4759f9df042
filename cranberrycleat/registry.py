"""Plug-in registry: plug-ins register themselves by kind and name.

A plug-in is a class or factory that its module registers on import; `plugins`
imports the modules included in the package. The built-in defaults use the same
interface as third-party plug-ins.
"""

import enum
from collections.abc import Callable
from typing import Any, Final, TypeVar

from cranberrycleat import errors


class PluginKind(enum.Enum):
    """The extension point that a plug-in implements."""

    PLACEMENT = "placement policy"
    ROUTING = "routing policy"
    TABLE = "platform client"
    WORKER = "worker client"
    METRICS = "metric reader"


F = TypeVar("F", bound=Callable[..., Any])

_PLUGINS: Final[dict[tuple[PluginKind, str], Callable[..., Any]]] = {}


def register(kind: PluginKind, name: str) -> Callable[[F], F]:
    """Return a decorator that registers a factory under a name.

    Raises:
        ValueError: Another factory is registered under the name.
    """

    def keep(factory: F) -> F:
        if _PLUGINS.setdefault((kind, name), factory) is not factory:
            raise ValueError(f"{kind.value} {name!r} is registered twice")
        return factory

    return keep


def find(kind: PluginKind, name: str) -> Callable[..., Any]:
    """Return a registered factory.

    Raises:
        FindingsError: No plug-in of that kind is registered under the name.
    """
    factory = _PLUGINS.get((kind, name))
    if factory is None:
        allowed = ", ".join(names(kind)) or "none"
        found = errors.finding(
            kind.value, errors.BAD_VALUE, value=name, allowed=allowed
        )
        raise errors.FindingsError(findings=(found,))
    return factory


def names(kind: PluginKind) -> tuple[str, ...]:
    """Return the names registered for a kind, sorted."""
    return tuple(sorted(name for each, name in _PLUGINS if each is kind))
