"""Reads the rows that the operator and the workers write to the platform's store.

A malformed row raises an error with its place, and the reader keeps the previous
version.
"""

import ipaddress
from typing import Final

import attrs

from cranberrycleat import codec, errors
from cranberrycleat.amounts import Amounts
from cranberrycleat.table import Row
from cranberrycleat.workflow.access import key_digest
from cranberrycleat.workflow.ports import (
    ClusterConfig,
    PermitTiming,
    PoolConfig,
    Queue,
    WorkerEntry,
    Workspace,
)

CONFIG_TABLE = "op"
CONFIG_KEY = "op/config"
WORKERS_TABLE = "servers"
LEAVING_BY_STATE: Final = {"ready": False, "draining": True}
"""Whether a worker is leaving, for each state that it may write."""
MAX_PORT: Final = 65535
MAX_NUMBER: Final = codec.MAX_INTEGER
INCARNATION_SEPARATOR: Final = "@"
"""Separates a worker's identity from its start time in names of incarnations."""


@attrs.frozen(kw_only=True)
class _WireAdvice:
    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


@attrs.frozen(kw_only=True)
class _WireRoute:
    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: float = 0.0
    advice: _WireAdvice | None = None
    public: bool = False


@attrs.frozen(kw_only=True)
class _WireService:
    name: str
    standby: bool = False


@attrs.frozen(kw_only=True)
class WireAmounts:
    """Resource amounts in the platform's format; `cpu` in thousandths of a core."""

    cpu: float = 0.0
    mem_mb: float = 0.0
    gpu: float = 0.0

    def amounts(self) -> Amounts:
        """Return the amounts in this project's type."""
        return Amounts(
            processors=round(self.cpu),
            memory_mb=round(self.mem_mb),
            accelerators=round(self.gpu),
        )


@attrs.frozen(kw_only=True)
class _WireTenant:
    name: str
    api_keys: tuple[str, ...] = ()
    weight: float = 0.0
    cap: WireAmounts = WireAmounts()


@attrs.frozen(kw_only=True)
class _WireConfig:
    version: int
    routes: tuple[_WireRoute, ...] = ()
    services: tuple[_WireService, ...] = ()
    tenants: tuple[_WireTenant, ...] | None = None


@attrs.frozen(kw_only=True)
class _WireWorker:
    service: str
    addr: str
    state: str
    capacity: WireAmounts
    zone: str = ""
    labels: tuple[str, ...] = ()
    clock_ms: float = 0.0
    born: int = 0
    remaining_ms: float | None = None


def read_config(row: Row) -> ClusterConfig:
    """Return the operator's configuration.

    Raises:
        FindingsError: The row does not have the platform's format, or a tenant's weight
            is invalid.
    """
    wire = codec.decode(row.value, _WireConfig, place=row.key)
    found = errors.Findings()
    _check_weights(f"{row.key}.tenants", wire.tenants or (), found)
    if found.items:
        raise errors.FindingsError(findings=found.sorted())
    return ClusterConfig(
        version=wire.version,
        queues=tuple(_queue(route) for route in wire.routes),
        pools=tuple(
            PoolConfig(name=each.name, standby=each.standby) for each in wire.services
        ),
        workspaces=(
            None
            if wire.tenants is None
            else tuple(_workspace(each) for each in wire.tenants)
        ),
    )


def _check_weights(
    place: str, tenants: tuple[_WireTenant, ...], found: errors.Findings
) -> None:
    """Check that no tenant has a negative weight.

    The format leaves out fields that are zero. A tenant without a weight has no
    entitlement stated, and its jobs are not classified.
    """
    for number, tenant in enumerate(tenants):
        if tenant.weight < 0:
            field = f"{place}[{number}].weight"
            found.add(field, errors.BAD_VALUE, value=tenant.weight, allowed=">= 0")


def _workspace(tenant: _WireTenant) -> Workspace:
    return Workspace(
        name=tenant.name,
        key_digests=tuple(key_digest(each) for each in tenant.api_keys),
        weight=tenant.weight,
        quota=tenant.cap.amounts(),
    )


def _queue(route: _WireRoute) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        pool=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        objective_s=route.slo_ms / 1000,
        permits=_permits(route.advice),
        public=route.public,
    )


def _permits(advice: _WireAdvice | None) -> PermitTiming | None:
    if advice is None:
        return None
    return PermitTiming(
        decide_s=advice.decide_ms / 1000,
        each_s=advice.each_ms / 1000,
        valid_s=advice.valid_ms / 1000,
    )


def read_worker(row: Row) -> WorkerEntry:
    """Return a worker's entry.

    An entry may come from another writer or from a later version of the platform. An
    entry with any invalid field is rejected as a whole, and every error is reported
    with its place in the row.

    Raises:
        FindingsError: The row does not have the platform's format.
    """
    wire = codec.decode(row.value, _WireWorker, place=row.key)
    found = errors.Findings()
    worker = row.key.partition("/")[2]
    if not worker or INCARNATION_SEPARATOR in worker:
        found.add(
            row.key, errors.BAD_VALUE, value=worker, allowed="a worker's identity"
        )
    _check_address(f"{row.key}.addr", wire.addr, found)
    _check_amounts(f"{row.key}.capacity", wire.capacity, found)
    _check_number(f"{row.key}.born", wire.born, 0, found)
    _check_number(f"{row.key}.clock_ms", wire.clock_ms, -MAX_NUMBER, found)
    _check_number(
        f"{row.key}.remaining_ms", wire.remaining_ms or 0.0, -MAX_NUMBER, found
    )
    if not wire.service:
        found.add(f"{row.key}.service", errors.MISSING, allowed="a service's name")
    if wire.state not in LEAVING_BY_STATE:
        found.add(
            f"{row.key}.state",
            errors.BAD_VALUE,
            value=wire.state,
            allowed=", ".join(LEAVING_BY_STATE),
        )
    if found.items:
        raise errors.FindingsError(findings=found.sorted())
    return WorkerEntry(
        worker=worker,
        pool=wire.service,
        address=wire.addr,
        data_centre=wire.zone,
        leaving=LEAVING_BY_STATE[wire.state],
        capacity=wire.capacity.amounts(),
        labels=wire.labels,
        worker_time_ms=round(wire.clock_ms),
        leaves_in_s=(
            None if wire.remaining_ms is None else max(0.0, wire.remaining_ms / 1000)
        ),
        born_ms=wire.born,
    )


def _check_address(place: str, address: str, found: errors.Findings) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        valid = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        found.add(place, errors.BAD_VALUE, value=address, allowed="IP:PORT")


def _check_amounts(place: str, amounts: WireAmounts, found: errors.Findings) -> None:
    for field in attrs.fields(WireAmounts):
        _check_number(f"{place}.{field.name}", getattr(amounts, field.name), 0, found)


def _check_number(
    place: str, value: float, least: float, found: errors.Findings
) -> None:
    """Check that later calculations with a number can't overflow."""
    if value < least:
        found.add(place, errors.BAD_VALUE, value=value, allowed=f">= {least}")
    elif value > MAX_NUMBER:
        found.add(place, errors.BAD_VALUE, value=value, allowed=f"<= {MAX_NUMBER}")
