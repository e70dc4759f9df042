"""Reads the settings file that the platform provides to a process."""

import os
import tomllib
from pathlib import Path
from typing import Any, Final

import attrs
import msgspec

from cranberrycleat import errors
from cranberrycleat.connection_limits import DEFAULT_MAX_FDS, DEFAULT_MEMORY_MB
from cranberrycleat.platform.early import FILE_VARIABLE
from cranberrycleat.table import TableLimits
from cranberrycleat.workflow.ports import (
    DRAIN_S,
    CheckpointTiming,
    HostResources,
    LeaseBounds,
    NodeSettings,
)

MAX_CLOCK_RATE_ERROR: Final = 0.02
"""A worker's clock may run slow by this fraction (platform documentation of leases)."""


@attrs.frozen(kw_only=True)
class _WireListen:
    front: str
    ready: str


@attrs.frozen(kw_only=True)
class _WireAddress:
    addr: str = ""


@attrs.frozen(kw_only=True)
class _WirePlatform:
    addr: str = ""
    row_bytes: int = TableLimits().row_bytes


@attrs.frozen(kw_only=True)
class _WireBounds:
    hold_max_ms: float
    stop_ms: float = 1000.0
    save_s: float = 1.0
    restore_ms: float = 600.0
    spread_factor: float = 1.0
    status_s: float = 120.0
    grace_s: float = 6.0
    drain_ms: float = 1000 * DRAIN_S
    config_ms: float = 3000.0
    strict_revoke: bool = False
    revoke_ms: float = 5000.0


@attrs.frozen(kw_only=True)
class _WireLimits:
    """Limits of the host; `cpu_share` is of one core that is `cores` times as fast."""

    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS


@attrs.frozen(kw_only=True)
class _WireSettings:
    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    listen: _WireListen
    platform: _WirePlatform
    bounds: _WireBounds
    limits: _WireLimits = _WireLimits()
    cloud: _WireAddress = _WireAddress()
    advice: str = ""


def read_settings(path: str | None = None) -> NodeSettings:
    """Return the settings in the platform's file.

    Args:
        path: The file; by default the one named in the environment.

    Raises:
        FindingsError: The file is missing or malformed.
    """
    name = path or os.environ.get(FILE_VARIABLE, "")
    if not name:
        _fail(FILE_VARIABLE, errors.MISSING, allowed="the path of the settings file")
    try:
        tables: dict[str, Any] = tomllib.loads(Path(name).read_text())
        wire = msgspec.convert(tables, _WireSettings)
    except OSError as exc:
        _fail(name, errors.MALFORMED, reason=str(exc.strerror))
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        _fail(name, errors.MALFORMED, reason=str(exc))
    bounds = wire.bounds
    return NodeSettings(
        name=wire.node,
        data_centre=wire.zone,
        ip=wire.ip,
        peer_port=wire.port_range[0],
        front=wire.listen.front,
        ready=wire.listen.ready,
        store=wire.platform.addr,
        permits=wire.advice,
        machines=wire.cloud.addr,
        bounds=LeaseBounds(
            longest_lease_s=bounds.hold_max_ms / 1000,
            clock_error=MAX_CLOCK_RATE_ERROR,
            stop_s=bounds.stop_ms / 1000,
        ),
        checkpoints=CheckpointTiming(
            interval_s=bounds.save_s, restore_s=bounds.restore_ms / 1000
        ),
        room=HostResources(
            processors=wire.limits.cpu_share * wire.limits.cores,
            link_mbps=wire.limits.link_mbps,
            memory_mb=wire.limits.memory_mb,
            max_fds=wire.limits.max_fds,
        ),
        spread_factor=bounds.spread_factor,
        status_s=bounds.status_s,
        grace_s=bounds.grace_s,
        drain_s=bounds.drain_ms / 1000,
        config_bound_s=bounds.config_ms / 1000,
        revoke_bound_s=bounds.revoke_ms / 1000 if bounds.strict_revoke else None,
        table_limits=TableLimits(row_bytes=wire.platform.row_bytes),
    )


def _fail(place: str, code: str, **details: object) -> Any:
    raise errors.FindingsError(findings=(errors.finding(place, code, **details),))
