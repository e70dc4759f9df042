"""Forecasts when a job would begin and end, from the backlog and what runs.

The pool is modelled as a fluid of its scarcest resource (see `capacity_curve`). Three
edges are computed: as expected; optimistic, with all run times shorter by the largest
error of an estimate and half of the backlog gone; and pessimistic, with all run times
longer by that error.
"""

import math
import sys
from collections.abc import Sequence
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.workflow.decisions.capacity_curve import (
    Backlog,
    CapacityCurve,
    Resource,
    make_backlog,
    make_curve,
    scarcest,
    total,
)
from cranberrycleat.workflow.decisions.job_shape import JobShape, job_shape
from cranberrycleat.workflow.decisions.ordering import Urgency
from cranberrycleat.workflow.decisions.runtime_estimates import RuntimeEstimates
from cranberrycleat.workflow.ports import (
    MAX_WORKERS_PER_PERMIT_CALL,
    PermitTiming,
    Queue,
)
from cranberrycleat.workflow.quota import NO_LIMIT
from cranberrycleat.workflow.spec import WorkflowSpec

ESTIMATE_ERROR: Final = 1.9
"""Factor by which run times may differ from their estimates: the largest error of a
queue's estimates (docs/design/hard-load.md, "The load")."""
OPTIMISTIC_BACKLOG_SHARE: Final = 0.5
"""Share of the backlog ahead that the optimistic edge counts. Jobs ahead may fail, be
cancelled or be overtaken as ranks change; fewer than half of them do."""
START_OVERHEAD_S: Final = 0.06
"""Expected time to store a job and its placement and to send the start: two stages of
0.03 s (docs/OPERATIONS.md)."""
MAX_OVERHEAD_S: Final = 0.25
"""Pessimistic value of the same: a planning round under a backlog and a slow write."""
PERMIT_REQUEST_FACTOR: Final = 3
"""Workers named in a permit call for each task (see `permit_choice.REQUEST_FACTOR`)."""
MEAN_FRAGMENT_SHARE: Final = 0.5
"""Mean size of the fragment that a full worker leaves, as a share of a task's needs, if
the sizes of fragments are spread evenly."""
LAST_KEY: Final[Urgency] = (sys.maxsize, 0, 0.0, "")
"""A rank key behind all others."""
ARRIVAL_WINDOW_S: Final = 10.0
"""Time constant of the rate of more urgent arrivals: longer than the bursts of short
jobs (2 s), shorter than a wave of demand (30 s)."""
MAX_ARRIVAL_SHARE: Final = 0.8
"""Upper bound of the share of a pool that arrivals are assumed to take: beyond it the
rate is a burst that cannot last."""


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
        free_by_worker: What is free on each available worker.
        permit_shares: The share of workers that the permit service allows, by queue.
        mean_speed: The mean speed of the available workers.
        slowest: The lowest speed of any of them.
        fastest: The highest speed of any of them.
    """

    pool: str
    taken_at: float
    capacity: Amounts = NOTHING
    free: Amounts = NOTHING
    running: tuple[RunningWork, ...] = ()
    waiting: tuple[WaitingWork, ...] = ()
    headroom: dict[str, Amounts] = attrs.field(factory=dict)
    free_by_worker: tuple[Amounts, ...] = ()
    permit_shares: dict[str, float] = attrs.field(factory=dict)
    mean_speed: float = 1.0
    slowest: float = 1.0
    fastest: float = 1.0


@attrs.frozen(kw_only=True)
class Forecast:
    """When a job would begin and end.

    Attributes:
        start: When its first task would begin.
        end: When its last task would end.
        wait_s: How long its first task is expected to wait for resources. Its start is
            later by a permit call and the start itself.
        age_s: The age of the snapshot that it is based on.
    """

    start: Interval
    end: Interval
    wait_s: float
    age_s: float


@attrs.frozen(kw_only=True)
class _Edge:
    """Assumptions of one edge of a forecast.

    Attributes:
        time_factor: Factor on all run times.
        backlog_share: Share of the backlog ahead that is counted.
        behind_gangs: Whether single tasks wait for the gangs that rank ahead. They
            often don't: they fill gaps that are too small for a gang, and only a few
            gangs have reservations (see `planner.MAX_RESERVED_GANGS`).
        fragments: Free resources in fragments that are too small for a task, on each
            worker and as a share of the task's needs.
        whole_backlog: Whether all waiting work counts as ahead.
        gangs_drain: Whether a gang that doesn't fit waits for all that runs now. It
            collects whole workers by reservation (see `planner`), and the longest
            task may run on one of them.
    """

    time_factor: float = 1.0
    backlog_share: float = 1.0
    behind_gangs: bool = True
    fragments: float = 0.0
    whole_backlog: bool = False
    gangs_drain: bool = False


_OPTIMISTIC: Final = _Edge(
    time_factor=1 / ESTIMATE_ERROR,
    backlog_share=OPTIMISTIC_BACKLOG_SHARE,
    behind_gangs=False,
)
_EXPECTED: Final = _Edge()
_PESSIMISTIC: Final = _Edge(
    time_factor=ESTIMATE_ERROR, fragments=MEAN_FRAGMENT_SHARE, gangs_drain=True
)

_PESSIMISTIC_IF_LATE: Final = attrs.evolve(_PESSIMISTIC, whole_backlog=True)
"""A job that misses its objective while it waits ranks behind all work that is on time
(see `ordering.DeadlineOrder`), also behind work that ranks lower now."""


@attrs.frozen(kw_only=True)
class _Accepted:
    """The first steps of a job that was accepted after the snapshot.

    Attributes:
        urgency: Its rank key.
        shape: What it takes.
        workspace: Its workspace.
        at_quota: Whether the quota of that holds work back.
    """

    urgency: Urgency
    shape: JobShape
    workspace: str
    at_quota: bool


@attrs.define(kw_only=True, eq=False)
class _Limit:
    """A limit on running work: the pool itself, or the quota of one workspace.

    Attributes:
        resource: The resource that is scarcest under this limit.
        curve: What is free of it over time.
        backlog: What waits for it.
        workspace: The workspace whose quota it is; empty for the pool.
    """

    resource: Resource
    curve: CapacityCurve
    backlog: Backlog
    workspace: str = ""

    def wait_s(
        self,
        shape: JobShape,
        urgency: Urgency,
        edge: _Edge,
        *,
        accepted: dict[str, _Accepted],
        unusable: float = 0.0,
        share: float = 1.0,
        last: bool = False,
    ) -> float:
        """Return when the first task of a job, or its last first-step task, begins.

        Args:
            shape: The job.
            urgency: Its rank key.
            edge: The assumptions.
            accepted: Jobs accepted since the snapshot.
            unusable: Free resources in fragments that are too small for a task.
            share: The share of workers on which the job may run.
            last: Whether its last task is meant: its other first tasks go ahead.
        """
        if self.resource(shape.total if last else shape.first) <= 0:
            # The job does not compete for this resource.
            return 0.0
        need = self.resource(shape.first) / share
        gangs = edge.behind_gangs or shape.gang
        if edge.whole_backlog:
            urgency = LAST_KEY
        width, work = self.backlog.ahead_of(urgency, gangs=gangs)
        for each in accepted.values():
            if each.urgency < urgency and self._holds(each, gangs):
                amount = self.resource(each.shape.total)
                width, work = width + amount, work + amount * each.shape.task_s
        width, work = width * edge.backlog_share, work * edge.backlog_share
        if last:
            own = self.resource(shape.total) / share - need
            width, work = width + own, work + own * shape.task_s
        until = self.curve.time_until(need + unusable, ahead=width, work=work)
        if edge.gangs_drain and shape.gang and until > 0 and not self.workspace:
            until = max(until, self.curve.times[-1])
        return until * edge.time_factor

    def _holds(self, accepted: _Accepted, gangs: bool) -> bool:
        """Return whether an accepted job competes under this limit."""
        if accepted.shape.gang and not gangs:
            return False
        if self.workspace:
            return accepted.workspace == self.workspace
        return not accepted.at_quota


@attrs.define(kw_only=True, eq=False)
class _PoolModel:
    """The state from which the forecasts of one pool are computed.

    Attributes:
        load: The snapshot.
        pool: The limit of the pool's capacity.
        quotas: The limits of workspaces.
        at_quota: The workspaces of which a quota holds work back.
        free_by_worker: What is free on each worker of the scarcest resource.
        accepted: The jobs accepted since the snapshot, by ID.
    """

    load: PoolLoad
    pool: _Limit
    quotas: dict[str, _Limit]
    at_quota: frozenset[str]
    free_by_worker: list[int]
    accepted: dict[str, _Accepted] = attrs.field(factory=dict)
    _unusable: dict[int, int] = attrs.field(factory=dict)

    def waits_s(
        self, demand: JobDemand, shape: JobShape, urgency: Urgency, edge: _Edge
    ) -> tuple[float, float]:
        """Return when the first and the last of the job's first tasks begin."""
        optimistic = edge is _OPTIMISTIC
        share = 1.0
        if demand.queue.permits is not None and not optimistic:
            share = self.load.permit_shares.get(demand.queue.name, 1.0)
        unusable = 0.0 if optimistic else self._unusable_for(shape, edge)
        quota = self.quotas.get(demand.workspace)

        def wait_s(last: bool) -> float:
            in_pool = self.pool.wait_s(
                shape,
                urgency,
                edge,
                accepted=self.accepted,
                unusable=unusable,
                share=share,
                last=last,
            )
            if quota is None:
                return in_pool
            in_quota = quota.wait_s(
                shape, urgency, edge, accepted=self.accepted, last=last
            )
            return max(in_pool, in_quota)

        first = wait_s(False)
        return first, max(first, wait_s(True))

    def _unusable_for(self, shape: JobShape, edge: _Edge) -> float:
        """Return the free resources in fragments that are too small for a task.

        If the job does not fit now, workers will have other fragments by the time that
        it does.
        """
        need = self.pool.resource(shape.task)
        if need <= 0:
            return 0
        found = self._unusable.get(need)
        if found is None:
            found = sum(each % need for each in self.free_by_worker)
            self._unusable[need] = found
        return max(found, edge.fragments * need * len(self.free_by_worker))


@attrs.define(kw_only=True, eq=False)
class _Arrivals:
    """The rate of accepted work of each priority, decaying with `ARRIVAL_WINDOW_S`.

    Attributes:
        at: Until when it has decayed, on the owner's clock.
        by_priority: The work of each priority, in seconds of the whole pool.
    """

    at: float = 0.0
    by_priority: dict[int, float] = attrs.field(factory=dict)

    def record(self, priority: int, pool_s: float) -> None:
        """Add accepted work."""
        self.by_priority[priority] = self.by_priority.get(priority, 0.0) + pool_s

    def advance(self, now: float) -> None:
        """Let the recorded work decay until now."""
        decay = math.exp(-max(0.0, now - self.at) / ARRIVAL_WINDOW_S)
        self.at = now
        for priority in self.by_priority:
            self.by_priority[priority] *= decay

    def share(self, below: int | None) -> float:
        """Return the share of the pool taken by arrivals below a priority, or all."""
        work = sum(
            pool_s
            for priority, pool_s in self.by_priority.items()
            if below is None or priority < below
        )
        return min(MAX_ARRIVAL_SHARE, work / ARRIVAL_WINDOW_S)


@attrs.define(kw_only=True, eq=False)
class LoadForecast:
    """Forecasts for the pools of one owner.

    Attributes:
        estimates: Corrects the callers' estimates of run times.
    """

    estimates: RuntimeEstimates | None = None
    _pools: dict[str, _PoolModel] = attrs.field(factory=dict)
    _arrivals: dict[str, _Arrivals] = attrs.field(factory=dict)

    def update(self, load: PoolLoad) -> None:
        """Replace the snapshot of a pool."""
        self._pools[load.pool] = _make_model(load)
        self._arrivals.setdefault(load.pool, _Arrivals()).advance(load.taken_at)

    def retain(self, pools: set[str]) -> None:
        """Drop the snapshots of pools that no longer have available workers."""
        for pool in self._pools.keys() - pools:
            del self._pools[pool]

    def add_accepted(self, demand: JobDemand, urgency: Urgency) -> None:
        """Count a job that was accepted after the newest snapshot; idempotent."""
        model = self._pools.get(demand.queue.pool)
        if model is None or demand.job_id in model.accepted:
            return
        shape = self._shape_of(demand, model)
        if shape is None:
            return
        at_quota = demand.workspace in model.at_quota
        model.accepted[demand.job_id] = _Accepted(
            urgency=urgency,
            shape=shape,
            workspace=demand.workspace,
            at_quota=at_quota,
        )
        if not at_quota:
            resource = model.pool.resource
            amount = resource(shape.total) / max(1, resource(model.load.capacity))
            arrivals = self._arrivals[demand.queue.pool]
            arrivals.record(demand.queue.priority, amount * shape.task_s)

    def loads(self) -> tuple[PoolLoad, ...]:
        """Return the newest snapshots, for diagnostics."""
        return tuple(model.load for model in self._pools.values())

    def forecast(
        self, demand: JobDemand, urgency: Urgency, now: float
    ) -> Forecast | None:
        """Return the forecast for a job.

        Args:
            demand: The job.
            urgency: The rank key that its first step would have if it were accepted.
            now: The owner's clock.

        Returns:
            The forecast; None without a snapshot of its pool or without capacity, and
            for services and scheduled jobs.
        """
        model = self._pools.get(demand.queue.pool)
        if model is None or model.pool.curve.levels[-1] <= 0:
            return None
        shape = self._shape_of(demand, model)
        if shape is None:
            return None
        optimistic = model.waits_s(demand, shape, urgency, _OPTIMISTIC)
        priority = demand.queue.priority
        expected = self._delayed(
            model.waits_s(demand, shape, urgency, _EXPECTED), demand, shape, priority
        )
        # Later arrivals of its own priority may overtake it as well.
        pessimistic = self._delayed(
            model.waits_s(demand, shape, urgency, _PESSIMISTIC),
            demand,
            shape,
            priority + 1,
        )
        if pessimistic[0] > shape.slack_s:
            late = model.waits_s(demand, shape, urgency, _PESSIMISTIC_IF_LATE)
            late = self._delayed(late, demand, shape, priority + 1)
            pessimistic = max(pessimistic[0], late[0]), max(pessimistic[1], late[1])
        permit_s = _permit_s(demand, shape, len(model.free_by_worker))
        start = Interval(
            optimistic_s=max(optimistic[0], permit_s.optimistic_s),
            expected_s=max(expected[0], permit_s.expected_s) + START_OVERHEAD_S,
            pessimistic_s=pessimistic[0] + permit_s.pessimistic_s + MAX_OVERHEAD_S,
        )
        load = model.load
        further = shape.depth - 1
        end = Interval(
            optimistic_s=max(start.optimistic_s, optimistic[1])
            + further * permit_s.optimistic_s
            + shape.path_s / ESTIMATE_ERROR * load.mean_speed / load.fastest,
            expected_s=start.expected_s
            + (expected[1] - expected[0])
            + further * (permit_s.expected_s + START_OVERHEAD_S)
            + shape.path_s,
            # Each further step may wait as long as the first one.
            pessimistic_s=start.pessimistic_s * shape.depth
            + (pessimistic[1] - pessimistic[0])
            + shape.path_s * ESTIMATE_ERROR * load.mean_speed / load.slowest,
        )
        return Forecast(
            start=start,
            end=end,
            wait_s=expected[0],
            age_s=max(0.0, now - load.taken_at),
        )

    def _shape_of(self, demand: JobDemand, model: _PoolModel) -> JobShape | None:
        return job_shape(
            demand.spec, demand.queue, self.estimates, model.load.mean_speed
        )

    def _delayed(
        self,
        waits_s: tuple[float, float],
        demand: JobDemand,
        shape: JobShape,
        below: int,
    ) -> tuple[float, float]:
        """Return waits stretched by the arrivals that overtake a job."""
        arrivals = self._arrivals[demand.queue.pool]
        on_time, late = arrivals.share(below), arrivals.share(None)
        first, last = (_stretch(each, shape.slack_s, on_time, late) for each in waits_s)
        return first, last


def _stretch(wait_s: float, slack_s: float, on_time: float, late: float) -> float:
    """Return a wait during which later arrivals take a share of the pool.

    The work ahead drains with the rest, so that the wait is 1 / (1 - share) times as
    long. A job that is late yields to all work that is on time.

    Args:
        wait_s: The wait without arrivals.
        slack_s: How long the job may wait without being late.
        on_time: The share of arrivals that overtake the job while it is on time.
        late: The share that overtake it once it is late.
    """
    stretched_s = wait_s / (1 - on_time)
    if stretched_s <= slack_s:
        return stretched_s
    left_s = wait_s - max(0.0, slack_s) * (1 - on_time)
    return max(0.0, slack_s) + left_s / (1 - late)


def _permit_s(demand: JobDemand, shape: JobShape, workers: int) -> Interval:
    """Return how long the permit call of a job's first step takes.

    Permits are requested while a step waits. They may expire meanwhile, so that the
    pessimistic value has a second call.
    """
    timing: PermitTiming | None = demand.queue.permits
    if timing is None:
        return Interval(optimistic_s=0.0, expected_s=0.0, pessimistic_s=0.0)
    named = min(
        MAX_WORKERS_PER_PERMIT_CALL, workers, PERMIT_REQUEST_FACTOR * shape.tasks
    )
    call_s = timing.decide_s + timing.each_s * named
    return Interval(
        optimistic_s=timing.decide_s + timing.each_s,
        expected_s=call_s,
        pessimistic_s=2 * call_s,
    )


def _make_model(load: PoolLoad) -> _PoolModel:
    backlog = total(each.needs for each in load.waiting)
    demand = load.capacity.minus(load.free).plus(backlog)
    resource = scarcest(demand, load.capacity)
    counted, blocked = _split_by_quota(load, resource)
    pool = _Limit(
        resource=resource,
        curve=make_curve(
            resource(load.free), _unblocked_releases(load, resource, blocked)
        ),
        backlog=counted,
    )
    return _PoolModel(
        load=load,
        pool=pool,
        quotas=_make_quota_limits(load),
        at_quota=frozenset(blocked),
        free_by_worker=[max(0, resource(each)) for each in load.free_by_worker],
    )


def _split_by_quota(
    load: PoolLoad, resource: Resource
) -> tuple[Backlog, dict[str, float]]:
    """Return the backlog that may begin now, and what quotas hold back by workspace.

    A workspace at its quota gets only what its own work releases, so that its backlog
    does not delay others.
    """
    widths: list[float] = [resource(each.needs) for each in load.waiting]
    room = {name: max(0, resource(each)) for name, each in load.headroom.items()}
    blocked: dict[str, float] = {}
    for position, waiting in enumerate(load.waiting if room else ()):
        left = room.get(waiting.workspace)
        if left is None:
            continue
        within = min(widths[position], left)
        room[waiting.workspace] = left - round(within)
        if within < widths[position]:
            held = blocked.get(waiting.workspace, 0.0)
            blocked[waiting.workspace] = held + widths[position] - within
            widths[position] = within
    return _make_backlog(load.waiting, widths), blocked


def _make_backlog(waiting: Sequence[WaitingWork], widths: list[float]) -> Backlog:
    return make_backlog(
        [each.urgency for each in waiting],
        widths,
        [each.task_s for each in waiting],
        [each.gang for each in waiting],
    )


def _unblocked_releases(
    load: PoolLoad, resource: Resource, blocked: dict[str, float]
) -> list[tuple[float, int]]:
    """Return the releases, without those that a workspace at its quota takes again."""
    if not blocked:
        return [(each.in_s, resource(each.needs)) for each in load.running]
    held = dict(blocked)
    releases = []
    for running in sorted(load.running, key=lambda each: each.in_s):
        amount = resource(running.needs)
        taken = min(held.get(running.workspace, 0.0), amount)
        if taken:
            held[running.workspace] -= taken
        releases.append((running.in_s, round(amount - taken)))
    return releases


def _make_quota_limits(load: PoolLoad) -> dict[str, _Limit]:
    """Return the limit of each workspace that has a quota."""
    running: dict[str, list[RunningWork]] = {name: [] for name in load.headroom}
    for run in load.running:
        if run.workspace in running:
            running[run.workspace].append(run)
    waiting: dict[str, list[WaitingWork]] = {name: [] for name in load.headroom}
    for step in load.waiting:
        if step.workspace in waiting:
            waiting[step.workspace].append(step)
    return {
        name: _make_quota_limit(name, room, running[name], waiting[name])
        for name, room in load.headroom.items()
    }


def _make_quota_limit(
    workspace: str,
    room: Amounts,
    running: list[RunningWork],
    waiting: list[WaitingWork],
) -> _Limit:
    used = total(each.needs for each in running)
    demand = total(each.needs for each in waiting)
    resource = scarcest(used.plus(demand), used.plus(room))
    return _Limit(
        resource=resource,
        curve=make_curve(
            min(NO_LIMIT, resource(room)),
            [(each.in_s, resource(each.needs)) for each in running],
        ),
        backlog=_make_backlog(waiting, [resource(each.needs) for each in waiting]),
        workspace=workspace,
    )
