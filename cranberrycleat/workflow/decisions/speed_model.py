"""Learns the speeds of workers from the run times of tasks of one step."""

import attrs

from cranberrycleat.workflow.fleet import FleetWorker, Placement

DEFAULT_SPEED = 1.0


@attrs.define(kw_only=True, eq=False)
class SpeedModel:
    """The speeds of workers relative to the median of their pool."""

    def record_end(
        self, worker: FleetWorker, placement: Placement, ran_s: float
    ) -> None:
        """Record the run time of an attempt that ended as done."""

    def speed_of(self, worker: FleetWorker) -> float:
        """Return a worker's speed; 1 if it is unknown."""
        return DEFAULT_SPEED

    def confidence_of(self, worker: FleetWorker) -> float:
        """Return the confidence in a worker's speed, from 0 to 1."""
        return 0.0

    def is_uneven(self, pool: str) -> bool:
        """Return whether the known speeds of a pool differ by more than their error."""
        return False
