"""The configuration document: what operators change while everything runs.

The platform keeps it (see `watcher`); this module says what it may hold and
checks a whole document at once. Settings that a process starts with are not
here but in `options`.
"""

from typing import Any

import attrs
from returns.result import Failure, Result, Success

from cranberrycleat import errors
from cranberrycleat.jobs import NAME, NAME_RULE, structure


@attrs.frozen(kw_only=True)
class RoutingConfig:
    """How gateways treat requests.

    Attributes:
        retry_share: Retries allowed for each request that was answered.
        queue_s: The longest a request waits for a free slot, in seconds.
        timeout_s: The time allowed for a request that names none, in seconds.
        eject_after: Failures in a row before an endpoint is left out.
        eject_s: For how long, in seconds.
        eject_most: The largest share of a service's endpoints left out at once.
    """

    retry_share: float = 0.1
    queue_s: float = 1.0
    timeout_s: float = 10.0
    eject_after: int = 3
    eject_s: float = 5.0
    eject_most: float = 0.5


@attrs.frozen(kw_only=True)
class PlacementConfig:
    """How schedulers weigh placements.

    Attributes:
        weight: `waiting` or `packing`: what goes first where they conflict.
        quotas: For each team, the largest dominant share it may use; a team
            that is not named may use everything.
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
    """Check a configuration document.

    Args:
        data: The decoded JSON or TOML value.
        place: What to call the input in findings.

    Returns:
        The configuration, or every fault found.
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
