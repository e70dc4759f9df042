"""Forecasts when a job would begin and end, from the backlog and what runs."""

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.workflow.decisions.ordering import Urgency
from cranberrycleat.workflow.ports import Queue
from cranberrycleat.workflow.spec import WorkflowSpec


@attrs.frozen(kw_only=True)
class Interval:
    """A forecast time with its bounds, in seconds from now."""

    optimistic_s: float
    expected_s: float
    pessimistic_s: float


@attrs.frozen(kw_only=True)
class JobDemand:
    """A job that is to be forecast.

    Attributes:
        job_id: Its ID.
        queue: Its queue.
        spec: The job.
        workspace: Its workspace; empty for none.
        surplus: Whether it is beyond the share of its workspace.
        sent_s: When its caller first sent it, since 1970, as far as known.
    """

    job_id: str
    queue: Queue
    spec: WorkflowSpec
    workspace: str = ""
    surplus: bool = False
    sent_s: float = 0.0


@attrs.frozen(kw_only=True)
class WaitingWork:
    """One waiting step of the backlog.

    Attributes:
        name: The step's name.
        urgency: Its rank's key at the time of the snapshot.
        needs: What its waiting tasks take together.
        task_s: The expected run time of a task, in seconds.
        workspace: Its workspace.
        gang: Whether its tasks start together.
    """

    name: str
    urgency: Urgency
    needs: Amounts
    task_s: float
    workspace: str = ""
    gang: bool = False


@attrs.frozen(kw_only=True)
class RunningWork:
    """Resources that become free.

    Attributes:
        needs: What is released.
        in_s: In how many seconds, as expected.
        workspace: The workspace that it is charged to.
    """

    needs: Amounts
    in_s: float
    workspace: str = ""


@attrs.frozen(kw_only=True)
class PoolLoad:
    """Snapshot of the load of one pool.

    Attributes:
        pool: The pool's name.
        taken_at: When it was taken, on the owner's clock.
        capacity: What all available workers have.
        free: What is free on them, all together.
        running: What runs, in any order.
        waiting: The backlog, in rank order.
        headroom: The unused quota of each workspace that has a quota.
    """

    pool: str
    taken_at: float
    capacity: Amounts = NOTHING
    free: Amounts = NOTHING
    running: tuple[RunningWork, ...] = ()
    waiting: tuple[WaitingWork, ...] = ()
    headroom: dict[str, Amounts] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Forecast:
    """When a job would begin and end.

    Attributes:
        start: When its first task would begin.
        end: When its last task would end.
        age_s: The age of the snapshot that it is based on.
    """

    start: Interval
    end: Interval
    age_s: float


@attrs.define(kw_only=True, eq=False)
class LoadForecast:
    """Forecasts for the pools of one owner."""

    def update(self, load: PoolLoad) -> None:
        """Replace the snapshot of a pool."""

    def forecast(
        self, demand: JobDemand, urgency: Urgency, now: float
    ) -> Forecast | None:
        """Return the forecast for a job; None without a snapshot of its pool.

        Args:
            demand: The job.
            urgency: The rank key that its first step would have if it were accepted.
            now: The owner's clock.
        """
        return None
