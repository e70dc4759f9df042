"""Placement: table-driven decisions, and invariants under random event sequences."""

from typing import Any

import attrs
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cranberrycleat import plugins, selectors
from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.inventory import (
    CapacityError,
    InventoryWorker,
    WorkerInventory,
    WorkerState,
)
from cranberrycleat.jobs import JobRow, JobSpec, Kind, TaskRecord, TaskState
from cranberrycleat.messages import InboxEntry, JobPart, Outcome, TaskReport
from cranberrycleat.placement import PlacementRequest
from cranberrycleat.rounds import RoundPlanner, TeamUsage
from cranberrycleat.shard import Shard
from tests.fakes import host

assert plugins


def worker(name: str, cpu: int = 8, rack: str = "r1", **more: Any) -> InventoryWorker:
    """Return a worker with one gigabyte of memory per processor."""
    capacity = Amounts(processors=cpu * 1000, memory_mb=cpu * 1024, **more)
    return InventoryWorker(
        name=name, data_centre="dc", rack=rack, labels={"rack": rack}, capacity=capacity
    )


def request(
    job: str, cpu: int, count: int = 1, kind: Kind = Kind.BATCH, **more: Any
) -> PlacementRequest:
    """Return a placement request for `count` tasks of `cpu` processors each."""
    given: dict[str, Any] = {"team": "t", "rank": 1, **more}
    return PlacementRequest(
        job=job,
        kind=kind,
        needs=Amounts(processors=cpu * 1000, memory_mb=1024),
        selector=selectors.parse(given.pop("selector", ""), place="t"),
        tasks=tuple(f"{job}/{n}" for n in range(count)),
        **given,
    )


def planner(*workers: InventoryWorker) -> RoundPlanner:
    """Return a planner over the given workers."""
    inventory = WorkerInventory()
    total_capacity = NOTHING
    for each in workers:
        inventory.add_worker(each)
        total_capacity = total_capacity.plus(each.capacity)
    return RoundPlanner(inventory=inventory, total_capacity=total_capacity)


def placements(plan: Any) -> dict[str, str]:
    """Return the worker that a plan assigns to each task."""
    return {each.task: each.worker for each in plan.assignments}


PLACEMENT_CASES = [
    # name, workers, asks, expected places
    ("tightest fit", [("a", 8), ("b", 4)], [request("j", 3)], {"j/0": "b"}),
    ("next fit", [("a", 8), ("b", 4)], [request("j", 5)], {"j/0": "a"}),
    (
        "urgent first",
        [("a", 4)],
        [request("low", 4, rank=2), request("urgent", 4, rank=0)],
        {"urgent/0": "a"},
    ),
    (
        "all of a gang",
        [("a", 4), ("b", 4)],
        [request("g", 4, 2, Kind.GANG)],
        {"g/0": "a", "g/1": "b"},
    ),
    ("or none of it", [("a", 4), ("b", 4)], [request("g", 4, 3, Kind.GANG)], {}),
    (
        "small work goes past a gang that does not fit",
        [("a", 4), ("b", 4)],
        [request("g", 4, 3, Kind.GANG, rank=0), request("j", 1)],
        {"j/0": "a"},
    ),
    (
        "as many of a batch as fit",
        [("a", 4)],
        [request("j", 2, 3)],
        {"j/0": "a", "j/1": "a"},
    ),
    ("a selector", [("a", 8), ("b", 4)], [request("j", 3, selector="rack = r2")], {}),
]


@pytest.mark.parametrize(
    ("workers", "asks", "expected"),
    [case[1:] for case in PLACEMENT_CASES],
    ids=[case[0] for case in PLACEMENT_CASES],
)
def test_placement_decision(
    workers: list[tuple[str, int]],
    asks: list[PlacementRequest],
    expected: dict[str, str],
) -> None:
    """Each case yields exactly the expected assignments."""
    round_planner = planner(*[worker(name, cpu) for name, cpu in workers])
    assert placements(round_planner.plan(asks)) == expected


def test_services_spread_over_racks_and_hosts() -> None:
    """Replicas go to different racks first, then to different hosts."""
    round_planner = planner(*[worker(f"w{n}", rack=f"r{n % 3}") for n in range(6)])
    plan = round_planner.plan([request("s", 1, 6, Kind.SERVICE)])
    assert sorted(placements(plan).values()) == [f"w{n}" for n in range(6)]
    first = [each.worker for each in plan.assignments[:3]]
    assert len({int(name[1]) % 3 for name in first}) == 3


@pytest.mark.parametrize(
    ("quota", "kind", "placed"),
    [
        (1.0, Kind.BATCH, 4),
        (0.5, Kind.BATCH, 2),
        (0.0, Kind.BATCH, 0),
        (0.5, Kind.GANG, 0),
    ],
)
def test_quota(quota: float, kind: Kind, placed: int) -> None:
    """A team stays within its quota; a gang is placed within it whole or not at all."""
    round_planner = planner(worker("a", 8))
    round_planner.teams["t"] = TeamUsage(quota=quota)
    assert len(round_planner.plan([request("j", 2, 4, kind)]).assignments) == placed


def test_unsatisfiable_jobs_are_reported_with_reasons() -> None:
    """Jobs that no worker can ever run are distinguished from those that only wait."""
    round_planner = planner(worker("a", 4))
    requests = [
        request("big", 9),
        request("nobody", 1, selector="x"),
        request("fits", 4, 2),
    ]
    found = {each.job: each for each in round_planner.plan(requests).unplaced}
    assert {name: each.never for name, each in found.items()} == {
        "big": True,
        "nobody": True,
        "fits": False,
    }
    assert "processors" in found["big"].reasons[0]


@pytest.mark.parametrize(
    ("reported", "counted"), [(1, 2), (2, 2), (5, 5)], ids=["less", "same", "more"]
)
def test_task_counts_with_larger_of_declared_and_reported(
    reported: int, counted: int
) -> None:
    """A task is allocated the larger of its declared and its reported usage."""
    inventory = WorkerInventory()
    inventory.add_worker(worker("a", 4))
    declared = Amounts(processors=2000)
    inventory.allocate("a", "j/0", declared)
    inventory.report("a", "j/0", declared, Amounts(processors=reported * 1000))
    assert inventory.workers["a"].used.processors == counted * 1000
    assert inventory.workers["a"].overcommitted is (counted > 4)
    with pytest.raises(CapacityError):
        inventory.allocate("a", "j/1", Amounts(processors=(4 - counted) * 1000 + 1))


def test_new_owner_counts_running_tasks() -> None:
    """After a takeover, running tasks are allocated before new ones are placed."""
    spec = JobSpec(name="old", kind=Kind.BATCH, processors=3.0)
    record = TaskRecord(index=0, state=TaskState.PLACED, attempt=1, worker="w1")
    shard = Shard(data_centre="dc-a")
    shard._load_job(JobRow(spec=spec, data_centre="dc-a", tasks=[record]))
    shard.update_hosts([host("w1", processors=4)])
    shard.worker_responded("w1")
    more = JobSpec(name="new", kind=Kind.BATCH, processors=2.0)
    shard.apply_change(InboxEntry(id="1", submit=JobPart(spec=more, indices=(0,))))
    assert shard.plan().assignments == ()
    assert shard.inventory.workers["w1"].used.processors == 3000


@attrs.define
class Strategies:
    """Hypothesis strategies for the random event sequences."""

    cpu = st.integers(1, 6)
    count = st.integers(1, 4)
    kind = st.sampled_from(list(Kind))
    team = st.sampled_from(["t", "u"])
    number = st.integers(0, 30)


class ShardStateMachine(RuleBasedStateMachine):
    """Random sequences of submissions, rounds, reports, cancellations and losses."""

    def __init__(self) -> None:
        super().__init__()
        self.shard = Shard(data_centre="dc-a")
        self.shard.update_hosts([host(f"w{n}", processors=4 + 2 * n) for n in range(4)])
        for name in self.shard.inventory.workers:
            self.shard.worker_responded(name)
        self.shard.planner.teams["u"] = TeamUsage(quota=0.4)
        self.count = 0

    @rule(
        cpu=Strategies.cpu,
        count=Strategies.count,
        kind=Strategies.kind,
        team=Strategies.team,
    )
    def submit(self, cpu: int, count: int, kind: Kind, team: str) -> None:
        """Submit a job."""
        self.count += 1
        spec = JobSpec(
            name=f"j{self.count}", kind=kind, team=team, processors=float(cpu)
        )
        part = JobPart(spec=spec, indices=tuple(range(count)))
        self.shard.apply_change(InboxEntry(id="x", submit=part))

    @rule()
    def round(self) -> None:
        """Plan a round and confirm it as durable."""
        self.shard.confirm(self.shard.plan())

    @rule(
        number=Strategies.number,
        outcome=st.sampled_from(list(Outcome)),
        cpu=st.integers(0, 3),
    )
    def report(self, number: int, outcome: Outcome, cpu: int) -> None:
        """Let a worker report on one of its tasks."""
        placed = sorted(self.shard.active)
        if placed:
            task = placed[number % len(placed)]
            record = self.shard.record(task)
            used = Amounts(processors=cpu * 100)
            self.shard.report(
                record.worker,
                TaskReport(
                    task=task, attempt=record.attempt, outcome=outcome, used=used
                ),
            )

    @rule(number=Strategies.number)
    def cancel(self, number: int) -> None:
        """Cancel a job."""
        self.shard.apply_change(InboxEntry(id="y", cancel=f"j{number}"))

    @rule(number=st.integers(0, 3))
    def expire_worker(self, number: int) -> None:
        """Let a worker go silent, its leases expire, and the worker return."""
        self.shard.worker_silent(f"w{number}")
        self.shard.expire_leases(f"w{number}", keep=True)
        self.shard.worker_responded(f"w{number}")

    @invariant()
    def capacity_is_not_exceeded(self) -> None:
        """Check that no worker exceeds its capacity and that the sums are right."""
        for each in self.shard.inventory.workers.values():
            total = NOTHING
            for needs in each.tasks.values():
                total = total.plus(needs)
            assert total == each.used
            assert not each.overcommitted
            assert each.state in (WorkerState.LIVE, WorkerState.QUARANTINED)

    @invariant()
    def every_placement_is_counted_once(self) -> None:
        """Check that each placed task is allocated on its worker and nowhere else."""
        placed = {
            f"{job.spec.name}/{record.index}": record.worker
            for job in self.shard.jobs.values()
            for record in job.tasks
            if record.state is TaskState.PLACED
        }
        counted = {
            task: each.name
            for each in self.shard.inventory.workers.values()
            for task in each.tasks
        }
        assert placed == counted

    @invariant()
    def no_partial_gang_placement(self) -> None:
        """Check that a gang with pending members has no placed ones except stopping."""
        for job in self.shard.jobs.values():
            if job.spec.kind is not Kind.GANG:
                continue
            states = {each.state for each in job.tasks}
            if {TaskState.PENDING, TaskState.PLACED} <= states:
                stopping = [
                    self.shard.active[f"{job.spec.name}/{each.index}"].stopping
                    for each in job.tasks
                    if each.state is TaskState.PLACED
                ]
                assert all(stopping)

    @invariant()
    def quota_is_not_exceeded(self) -> None:
        """Check that a team with a quota never exceeds it."""
        total_capacity = self.shard.planner.total_capacity.processors
        used = self.shard.planner.teams["u"].used.processors
        assert used <= 0.4 * total_capacity
        counted = sum(
            record.state is TaskState.PLACED and job.spec.needs.processors
            for job in self.shard.jobs.values()
            if job.spec.team == "u"
            for record in job.tasks
        )
        assert counted == used


ShardStateMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
test_any_order_of_events = ShardStateMachine.TestCase
