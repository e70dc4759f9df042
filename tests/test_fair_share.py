"""Fair share: tiers of jobs, their order, and a hot workspace beside others."""

import itertools
import random

import attrs
import pytest

from cranberrycleat import events, logs
from cranberrycleat.platform.records import read_config
from cranberrycleat.standins.feed_table import MemoryFeedTable
from cranberrycleat.table import Row
from cranberrycleat.workflow.batches import purge_ended_jobs, take_batch
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.fair_share import FairShare, ShareTier
from cranberrycleat.workflow.decisions.load_control import make_load_control
from cranberrycleat.workflow.decisions.load_policies import LoadPolicies
from cranberrycleat.workflow.decisions.ordering import STARVATION_BOUND_S
from cranberrycleat.workflow.directory import ConfigFollower
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.ports import (
    EndedTask,
    EndKind,
    RunningTask,
    Snapshot,
    SyncReply,
)
from cranberrycleat.workflow.state import Job
from cranberrycleat.workflow.takeover import StoredRows, restore
from tests.cell import cell, job, queue, step
from tests.fakes import run_async
from tests.test_planner import NOW_S, plan, worker
from tests.test_quota import rows_of_table

SHARE_ONLY = LoadPolicies(weighted_fair_share=True)
WITH_DELAY_COST = LoadPolicies(weighted_fair_share=True, delay_cost_order=True)
DUE, SURPLUS = ShareTier.DUE, ShareTier.SURPLUS


@attrs.define(kw_only=True, eq=False)
class Board:
    """A cluster state with fair share and clocks that the test sets."""

    weights: dict[str, float]
    policies: LoadPolicies = SHARE_ONLY
    at_s: float = 0.0
    cluster: ClusterState = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.cluster = ClusterState(
            time_of_day=lambda: NOW_S + self.at_s,
            now=lambda: self.at_s,
            load=make_load_control(self.policies, lambda: self.weights),
        )

    @property
    def share(self) -> FairShare:
        """The fair share in use."""
        assert self.cluster.load.fair_share is not None
        return self.cluster.load.fair_share

    def submit(self, job_id: str, workspace: str, at_s: float, **more: object) -> Job:
        """Accept a job with one task at a time."""
        self.at_s = at_s
        spec = job(step(1, **more))  # type: ignore[arg-type]
        return self.cluster.accept(job_id, queue(), spec, workspace=workspace)


@pytest.mark.parametrize(
    ("weight", "times_s", "tiers"),
    [
        (2.0, (0.0, 0.0, 0.0, 0.5, 0.5), "DDSDS"),
        (0.5, (0.0, 1.0, 2.0), "DSD"),
        (1.0, (0.0, 60.0, 60.0), "DDS"),
        (0.9, tuple(number / 0.9 for number in range(6)), "DDDDDD"),
        (None, (0.0, 0.0, 0.0), "DDD"),
    ],
    ids=["burst", "below one", "no saving up", "rounding", "no weight"],
)
def test_jobs_beyond_the_weight_are_surplus(
    weight: float | None, times_s: tuple[float, ...], tiers: str
) -> None:
    """Guards against an entitlement that is lost or exceeds the weight."""
    board = Board(weights={} if weight is None else {"one": weight})
    found = []
    for number, at_s in enumerate(times_s):
        expected = board.share.tier_of_next("one", NOW_S + at_s)
        found.append(board.share.tier(board.submit(f"j{number}", "one", at_s)))
        assert found[-1] is expected
    assert "".join(tier.name[0] for tier in found) == tiers


@pytest.mark.parametrize("seed", range(5))
def test_successor_derives_the_same_tiers(seed: int) -> None:
    """Guards against tiers that depend on the order of rows, or on which jobs ended."""
    rng = random.Random(seed)
    board = Board(weights={"one": 3.0, "two": 1.0})
    for at_s in sorted(rng.uniform(0.0, 8.0) for _ in range(60)):
        board.submit(f"{rng.getrandbits(64):016x}", rng.choice(("one", "two")), at_s)
    for job_id in list(board.cluster.jobs)[::3]:
        board.cluster.cancel(job_id)
    stored = {put.key: put.value for put in take_batch(board.cluster).puts}
    successor = Board(weights=board.weights, at_s=board.at_s)
    jobs = rows_of_table(dict(sorted(stored.items())), "jobs")
    restore(successor.cluster, StoredRows(specs=(), jobs=jobs, inbox=()))
    tiers = {
        each.job_id: board.share.tier(each) for each in board.cluster.jobs.values()
    }
    found = successor.cluster.jobs.values()
    assert {each.job_id: successor.share.tier(each) for each in found} == tiers
    assert len(set(tiers.values())) == 2 and len(tiers) == 60


def test_weights_change_and_jobs_go() -> None:
    """Guards against tiers that change later, lost tokens and unbounded memory."""
    board = Board(weights={"one": 1.0})
    jobs = [board.submit(f"j{number}", "one", 0.0) for number in range(2)]
    board.weights = {"one": 5.0, "two": 1.0}
    jobs.append(board.submit("j2", "one", 1.0))
    assert [board.share.tier(each) for each in jobs] == [DUE, SURPLUS, DUE]
    board.submit("gone", "two", 1.0)
    assert board.share.tier_of_next("two", NOW_S + 1.0) is SURPLUS
    assert board.cluster.withdraw("gone")
    assert board.share.tier_of_next("two", NOW_S + 1.0) is DUE
    board.cluster.cancel("j1")
    assert purge_ended_jobs(board.cluster, NOW_S + 100.0, 10)
    board.weights = {"three": 1.0}
    board.submit("j3", "three", 1.0)
    assert not board.share._surplus and set(board.share._buckets) == {"three"}


@pytest.mark.parametrize("policies", [SHARE_ONLY, WITH_DELAY_COST])
@pytest.mark.parametrize("late_s", [-1.0, 1.0, STARVATION_BOUND_S + 1.0])
def test_surplus_ranks_behind_due_work(policies: LoadPolicies, late_s: float) -> None:
    """Guards against surplus that goes first, and against surplus held back for ever.

    Past the bound, a surplus step ranks as if there were no fair share.
    """
    board = Board(weights={"one": 1.0, "two": 1.0}, policies=policies)
    _, surplus, due = (
        board.submit(name, workspace, 0.0, estimate_s=60.0).open[0].steps[0]
        for name, workspace in (("a", "one"), ("b", "one"), ("c", "two"))
    )
    unshared = make_load_control(
        attrs.evolve(policies, weighted_fair_share=False), dict
    ).order
    now_s = NOW_S + 61.0 + late_s
    key = board.cluster.load.order.rank(surplus, now_s).key()
    assert (key == unshared.rank(surplus, now_s).key()) is (late_s > STARVATION_BOUND_S)
    if late_s <= STARVATION_BOUND_S:
        assert key > board.cluster.load.order.rank(due, now_s).key()


# --- pattern: hot workspace -----------------------------------------------------------

TICK_S = 0.05
TICKS_PER_S = 20
RUN_S = 0.8
CORES = 17
"""Twenty jobs a second of 0.8 s need 16 cores; 25 a second need 20."""
WORKSPACES = 20
BURSTS = 4
BURST_TICKS = TICKS_PER_S // BURSTS
"""The others send together, four times a second, so that jobs have to wait."""
HOT_TICKS = {0, 3, 6, 10, 13, 16}
HOT_UNTIL = 150
"""The hot workspace sends six times its weight for 6.5 s, from the 20th tick on."""


@attrs.define(kw_only=True, eq=False)
class HotDay:
    """Twenty workspaces of weight 1 in a full pool; `t0` may be hot."""

    board: Board
    hot: bool
    ends: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    waits_s: dict[str, float] = attrs.field(factory=dict)
    _numbers: "itertools.count[int]" = attrs.field(factory=lambda: itertools.count(1))

    def play(self) -> dict[str, float]:
        """Return the wait of each job until it is placed."""
        pool = worker("w", processors=CORES * 1000)
        self.board.cluster.fleet.workers["w"] = pool
        for tick in range(15 * TICKS_PER_S):
            self.board.at_s = tick * TICK_S
            self._end_tasks(pool, tick)
            self._submit(tick)
            self._plan(pool, tick)
        return self.waits_s

    def _submit(self, tick: int) -> None:
        phase = tick % TICKS_PER_S
        hot = self.hot and 20 <= tick < HOT_UNTIL and phase in HOT_TICKS
        senders = [0] * (hot or not phase)
        if not phase % BURST_TICKS:
            first = phase // BURST_TICKS or BURSTS
            senders += range(first, WORKSPACES, BURSTS)
        for number in senders:
            name = f"t{number}"
            self.board.submit(f"{name}-{tick}", name, tick * TICK_S, estimate_s=RUN_S)

    def _end_tasks(self, pool: FleetWorker, tick: int) -> None:
        over = [task for task, (_, end) in self.ends.items() if end <= tick]
        ended = tuple(
            EndedTask(
                number=next(self._numbers),
                task=task,
                attempt=self.ends.pop(task)[0],
                how=EndKind.DONE,
                saved="",
            )
            for task in over
        )
        running = tuple(
            RunningTask(task=task, attempt=attempt, saved="", percent=100.0)
            for task, (attempt, _) in self.ends.items()
        )
        reply = SyncReply(worker_time_ms=1, running=running, ended=ended)
        now = self.board.at_s
        self.board.cluster.sync(pool, reply, sent_at=now, now=now)

    def _plan(self, pool: FleetWorker, tick: int) -> None:
        board = self.board
        groups = plan(board.cluster, board.at_s, NOW_S + board.at_s).groups
        for group in groups:
            task = group.placements[0][1]
            self.ends[task.task] = (task.attempt, tick + round(RUN_S / TICK_S))
            accepted_s = group.step.job.accepted_s - NOW_S
            self.waits_s[group.step.job.job_id] = board.at_s - accepted_s
        waiting = [s.job for s in board.cluster.waiting.values() if s.pending()]
        placed = [group.step.job for group in groups]
        if any(board.share.tier(each) is SURPLUS for each in placed):
            assert all(board.share.tier(each) is SURPLUS for each in waiting)
        assert not waiting or pool.free.processors < 1000, "unused share"


@pytest.mark.parametrize("policies", [SHARE_ONLY, WITH_DELAY_COST])
def test_hot_workspace_does_not_delay_others(policies: LoadPolicies) -> None:
    """Guards against a hot workspace that takes the pool from the others.

    Surplus runs in the unused share, so a due job may have to wait until a running task
    ends: no longer than a task runs.
    """
    weights = {f"t{number}": 1.0 for number in range(WORKSPACES)}
    waits = [
        HotDay(board=Board(weights=weights, policies=policies), hot=hot).play()
        for hot in (False, True)
    ]
    others = [name for name in waits[0] if not name.startswith("t0-")]
    assert len(others) == 15 * 19
    worse = max(waits[1][name] - waits[0][name] for name in others)
    assert worse <= RUN_S
    assert len(waits[1]) > len(waits[0]), "surplus is served as well"


# --- configuration, dump --------------------------------------------------------------


@pytest.mark.parametrize(
    ("weights", "place"),
    [
        ('[{"weight":2},{"weight":-1}]', "op/config.tenants[1].weight"),
        ('[{"weight":"2"}]', "$.tenants[0].weight"),
        ('[{"weight":NaN}]', "op/config"),
        ('[{"weight":1e999}]', "$.tenants[0].weight"),
    ],
)
def test_invalid_weight_leaves_the_configuration_in_force(
    weights: str, place: str
) -> None:
    """Guards against shares by a weight that nobody meant; the fault has its place."""
    found: list[object] = []
    follower = ConfigFollower(
        store=MemoryFeedTable(), table="op", key="op/config", read=read_config
    )
    logs.set_observer(found.append)
    try:
        for version, tenants in enumerate(('[{"weight":2}]', weights), start=1):
            tenants = tenants.replace("{", '{"name":"t",').replace(",}", "}")
            value = f'{{"version":{version},"tenants":{tenants}}}'
            row = Row(key="op/config", value=value, version=version)
            follower._apply_rows((row,), Snapshot(rows=(row,), version=version))
    finally:
        logs.set_observer(None)
    assert follower.current is not None and follower.current.workspaces is not None
    assert [each.weight for each in follower.current.workspaces] == [2.0]
    assert place in str(found[-1]) and not follower.readable


@pytest.mark.parametrize("enabled", [True, False])
def test_tiers_are_shown_to_operators(enabled: bool) -> None:
    """Guards against surplus that nobody can see, and against effects of `off`."""

    async def run() -> None:
        async with cell(workers=0) as env:
            owner = env.make_owner("one")
            policies = SHARE_ONLY if enabled else LoadPolicies()
            owner.cluster_state.load = make_load_control(policies, lambda: {"one": 1.0})
            found: list[object] = []
            logs.set_observer(found.append)
            for name in ("a", "b"):
                owner.cluster_state.accept(name, queue(), job(step()), workspace="one")
            logs.set_observer(None)
            tiers = [e.tier for e in found if isinstance(e, events.JobAccepted)]
            assert tiers == (["due", "surplus"] if enabled else ["", ""])
            shown = owner.workspaces()["one"]
            assert shown["tasks_waiting"] == 2
            assert shown["surplus_tasks_waiting"] == int(enabled)

    run_async(run())


# Guards against a configuration that the platform accepted and that is not in force
# because one of its workspaces states no weight.
@pytest.mark.parametrize(
    "weights", ['[{"weight":2},{}]', '[{"weight":0},{"weight":2}]']
)
def test_workspace_without_weight_is_not_classified(weights: str) -> None:
    tenants = weights.replace("{", '{"name":"t",').replace(",}", "}")
    row = Row(key="op/config", value=f'{{"version":1,"tenants":{tenants}}}', version=1)
    config = read_config(row)
    assert config.workspaces is not None
    assert sorted(each.weight for each in config.workspaces) == [0.0, 2.0]
