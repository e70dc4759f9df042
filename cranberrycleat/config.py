"""The configuration document, which operators can change at run time.

The platform stores it (see `watcher`); this module defines its contents and validates
a whole document at once. Settings that a process reads at start are in `options`.
"""

from typing import Any

import attrs
from returns.result import Failure, Result, Success

from cranberrycleat import errors
from cranberrycleat.jobs import NAME, NAME_RULE, structure


@attrs.frozen(kw_only=True)
class RoutingConfig:
    """Request routing by gateways.

    Attributes:
        retry_share: Number of retries allowed per answered request.
        queue_s: Maximum time a request waits for a free slot, in seconds.
        timeout_s: Timeout of requests that specify none, in seconds.
        eject_after: Consecutive failures after which an endpoint is ejected.
        eject_s: Ejection time, in seconds.
        eject_most: Maximum fraction of a service's endpoints ejected at once.
    """

    retry_share: float = 0.1
    queue_s: float = 1.0
    timeout_s: float = 10.0
    eject_after: int = 3
    eject_s: float = 5.0
    eject_most: float = 0.5


@attrs.frozen(kw_only=True)
class PlacementConfig:
    """Placement policy of schedulers.

    Attributes:
        weight: `waiting` or `packing`: which goal takes precedence when they conflict.
        quotas: Maximum dominant share per team; a team without an entry may use all
            resources.
    """

    weight: str = "waiting"
    quotas: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the whole configuration."""

    routing: RoutingConfig = RoutingConfig()
    placement: PlacementConfig = PlacementConfig()


WEIGHTS = ("waiting", "packing")


def parse_configuration(
    data: Any, *, place: str
) -> Result[Configuration, tuple[errors.Finding, ...]]:
    """Parse and validate a configuration document.

    Args:
        data: The decoded JSON or TOML value.
        place: Name of the input in findings.

    Returns:
        The configuration, or all faults found.
    """
    match structure(data, Configuration, place=place):
        case Success(cfg):
            faults = _check_values(cfg, place)
            return Failure(faults) if faults else Success(cfg)
        case failure:
            return failure


def _check_values(cfg: Configuration, place: str) -> tuple[errors.Finding, ...]:
    found = errors.Findings()

    def require(holds: bool, path: str, value: object, allowed: str) -> None:
        if not holds:
            found.add(f"{place}.{path}", errors.BAD_VALUE, value=value, allowed=allowed)

    routing = cfg.routing
    require(
        0 <= routing.retry_share <= 1,
        "routing.retry_share",
        routing.retry_share,
        "0 to 1",
    )
    require(0 <= routing.queue_s <= 60, "routing.queue_s", routing.queue_s, "0 to 60")
    require(
        0 < routing.timeout_s <= 3600,
        "routing.timeout_s",
        routing.timeout_s,
        "more than 0, up to 3600",
    )
    require(
        1 <= routing.eject_after <= 1000,
        "routing.eject_after",
        routing.eject_after,
        "1 to 1000",
    )
    require(
        0 <= routing.eject_s <= 3600, "routing.eject_s", routing.eject_s, "0 to 3600"
    )
    require(
        0 <= routing.eject_most <= 1, "routing.eject_most", routing.eject_most, "0 to 1"
    )
    weight = cfg.placement.weight
    require(weight in WEIGHTS, "placement.weight", weight, ", ".join(WEIGHTS))
    for team, quota in cfg.placement.quotas.items():
        require(NAME.fullmatch(team) is not None, "placement.quotas", team, NAME_RULE)
        require(0 <= quota <= 1, f"placement.quotas.{team}", quota, "0 to 1")
    return found.sorted()
