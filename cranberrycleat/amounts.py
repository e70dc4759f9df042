"""Resource amounts: the capacity of workers and the needs of tasks."""

from typing import Final

import attrs

MILLI: Final = 1000
"""Processors are counted in thousandths, as integers, so that sums are exact."""


@attrs.frozen(kw_only=True)
class Amounts:
    """An amount of each resource, all integers.

    Attributes:
        processors: In thousandths of a processor.
        memory_mb: In mebibytes.
        accelerators: The number of accelerators.
        slots: The number of requests that a service handles concurrently.
    """

    processors: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0

    def plus(self, other: "Amounts") -> "Amounts":
        """Return the sum."""
        return Amounts(
            processors=self.processors + other.processors,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
            slots=self.slots + other.slots,
        )

    def minus(self, other: "Amounts") -> "Amounts":
        """Return the difference; amounts may be negative."""
        return Amounts(
            processors=self.processors - other.processors,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
            slots=self.slots - other.slots,
        )

    def times(self, count: int) -> "Amounts":
        """Return the amounts multiplied by a count."""
        return Amounts(
            processors=self.processors * count,
            memory_mb=self.memory_mb * count,
            accelerators=self.accelerators * count,
            slots=self.slots * count,
        )

    def fits_in(self, free: "Amounts") -> bool:
        """Return whether every amount is available in `free`."""
        return (
            self.processors <= free.processors
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
            and self.slots <= free.slots
        )

    def elementwise_max(self, other: "Amounts") -> "Amounts":
        """Return the larger amount of each resource."""
        return Amounts(
            processors=max(self.processors, other.processors),
            memory_mb=max(self.memory_mb, other.memory_mb),
            accelerators=max(self.accelerators, other.accelerators),
            slots=max(self.slots, other.slots),
        )


NOTHING: Final = Amounts()


def dominant_share(part: Amounts, whole: Amounts) -> float:
    """Return the largest share of `part` in `whole` over all resources."""
    return max(
        part.processors / max(1, whole.processors),
        part.memory_mb / max(1, whole.memory_mb),
        part.accelerators / max(1, whole.accelerators) if part.accelerators else 0.0,
    )
