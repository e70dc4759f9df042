"""Builds the stand-ins from their options, as daemons that `lifecycle` can run."""

from cranberrycleat import errors
from cranberrycleat.amounts import MILLI, Amounts
from cranberrycleat.messages import HostEntry
from cranberrycleat.options import PlatformOptions, WorkerOptions
from cranberrycleat.standins.platform import PlatformStandin
from cranberrycleat.standins.worker import WorkerStandin


def platform_part(cfg: PlatformOptions) -> PlatformStandin:
    """Return the platform stand-in."""
    return PlatformStandin(host=cfg.listen, port=cfg.port, lag_s=cfg.lag_s)


def worker_part(cfg: WorkerOptions) -> WorkerStandin:
    """Return the worker stand-in.

    Raises:
        FindingsError: The labels are malformed.
    """
    entry = HostEntry(
        name=cfg.name,
        url="",
        data_centre=cfg.data_centre,
        rack=cfg.rack,
        labels=parse_labels(cfg.labels, place="--labels"),
        capacity=Amounts(
            processors=cfg.processors * MILLI,
            memory_mb=cfg.memory_mb,
            accelerators=cfg.accelerators,
            slots=cfg.slots,
        ),
    )
    return WorkerStandin(
        entry=entry, host=cfg.listen, port=cfg.port, platform_url=cfg.platform
    )


def parse_labels(text: str, *, place: str) -> dict[str, str]:
    """Parse labels given as `key=value,key=value`.

    Raises:
        FindingsError: Contains one finding for each malformed label.
    """
    found = errors.Findings()
    labels = {}
    for part in (each.strip() for each in text.split(",") if each.strip()):
        key, equals, value = part.partition("=")
        if not key or not equals or not value:
            found.add(place, errors.BAD_VALUE, value=part, allowed="key=value")
        labels[key] = value
    if found.items:
        raise errors.FindingsError(findings=found.sorted())
    return labels
