"""What a workspace may have running: charged, released, inherited, and kept to.

A random history is judged by what the workers run, never by the ledger itself.
"""

import random
from collections.abc import Callable, Mapping

import attrs
import pytest
from hypothesis import example, given, settings, strategies as st

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.table import Row
from cranberrycleat.workflow import rows
from cranberrycleat.workflow.batches import Batch, note_stored, take_batch
from cranberrycleat.workflow.board import Board
from cranberrycleat.workflow.feasibility import why_over
from cranberrycleat.workflow.fleet import FleetWorker, Loss, Placement, Standing, job_of
from cranberrycleat.workflow.planner import MOST_SCANNED, Planner
from cranberrycleat.workflow.ports import EndedTask, EndKind, RunningTask, SyncReply
from cranberrycleat.workflow.quota import UNLIMITED, QuotaLedger
from cranberrycleat.workflow.spec import StepSpec, WorkflowSpec
from cranberrycleat.workflow.state import Job
from cranberrycleat.workflow.takeover import StoredRows, restore
from tests.cell import cell, entry, job, queue, step, until
from tests.fakes import go
from tests.test_planner import NOW_S, board, placed, plan, worker

ONE = ("w", "a.0.0.0", 1)
OTHER = ("w", "a.0.0.1", 1)
TASK = Amounts(processors=1000, memory_mb=100)
QUOTA = Amounts(processors=3000)


def ledger(quotas: Mapping[str, Amounts] | None = None) -> QuotaLedger:
    """Return a ledger with a quota for one workspace."""
    given_quotas = {"one": QUOTA} if quotas is None else quotas
    return QuotaLedger(quotas=lambda: given_quotas)


# --- the ledger -----------------------------------------------------------------------


def _charged_twice(made: QuotaLedger) -> None:
    made.charge(ONE, "one", TASK)
    made.charge(ONE, "one", TASK)


def _released_twice(made: QuotaLedger) -> None:
    made.charge(ONE, "one", TASK)
    made.charge(OTHER, "one", TASK)
    made.release(OTHER)
    made.release(OTHER)


def _released_before_it_was_charged(made: QuotaLedger) -> None:
    made.release(ONE)
    made.charge(ONE, "one", TASK)


def _charged_elsewhere_meanwhile(made: QuotaLedger) -> None:
    made.charge(OTHER, "one", TASK)
    made.charge(ONE, "one", TASK)
    made.release(OTHER)


def _another_workspaces(made: QuotaLedger) -> None:
    made.charge(ONE, "one", TASK)
    made.charge(OTHER, "two", TASK)
    made.charge(("w", "b.0.0.0", 1), "", TASK)


@pytest.mark.parametrize(
    "history",
    [
        _charged_twice,
        _released_twice,
        _released_before_it_was_charged,
        _charged_elsewhere_meanwhile,
        _another_workspaces,
    ],
)
def test_one_attempt_is_charged_once(history: Callable[[QuotaLedger], None]) -> None:
    made = ledger()
    history(made)
    assert (made.used_by("one"), made.running["one"]) == (TASK, 1)
    made.release(ONE)
    assert made.used_by("one") == NOTHING and "one" not in made.used


@pytest.mark.parametrize(
    ("quotas", "charged", "needs", "count", "expected"),
    [
        ({"one": QUOTA}, 2, 1000, 1, True),
        ({"one": QUOTA}, 2, 1001, 1, False),
        ({"one": QUOTA}, 1, 1000, 2, True),
        ({"one": QUOTA}, 1, 1000, 3, False),
        ({"one": QUOTA}, 0, 9000, 1, True),
        ({"one": QUOTA}, 0, 9000, 2, False),
        ({"one": Amounts(memory_mb=300)}, 3, 1000, 1, False),
        ({"one": Amounts(memory_mb=400)}, 3, 99_000, 1, True),
        ({"one": NOTHING}, 99, 1000, 9, True),
        ({}, 99, 1000, 9, True),
    ],
    ids=[
        "the last that fits",
        "one too large",
        "a gang that fits",
        "a gang that does not",
        "a task over the quota, alone",
        "a gang over the quota, alone",
        "memory is what is short",
        "processors are not limited",
        "no limit at all",
        "no quota of its own",
    ],
)
def test_what_may_begin(
    quotas: dict[str, Amounts], charged: int, needs: int, count: int, expected: bool
) -> None:
    made = ledger(quotas)
    for number in range(charged):
        made.charge(("w", f"a.0.0.{number}", 1), "one", TASK)
    asked = Amounts(processors=needs, memory_mb=100)
    assert made.may_begin("one", asked, count) is expected


def test_nothing_begins_while_a_newer_quota_may_be_in_force() -> None:
    made = QuotaLedger(quotas=lambda: None)
    assert not made.may_begin("one", TASK)
    assert made.may_begin("", TASK) and made.headroom("") == UNLIMITED
    assert not made.is_over("one")


@pytest.mark.parametrize(
    ("spec", "expected"),
    [
        (job(step(3, processors=1000, gang=True)), False),
        (job(step(4, processors=1000, gang=True)), True),
        (job(step(40, processors=1000)), False),
        (job(step(1), step(1, processors=3001)), True),
    ],
    ids=["a gang that fits", "a gang that never will", "a wide step", "a task"],
)
def test_what_can_never_run_is_refused(spec: WorkflowSpec, expected: bool) -> None:
    """Its caller is told at once; a wide step runs some tasks after the others."""
    assert bool(why_over(spec, QUOTA)) is expected
    assert not why_over(spec, None) and not why_over(spec, NOTHING)


# --- the planner ----------------------------------------------------------------------


def limited(*workers: FleetWorker, quota: Amounts = QUOTA) -> Board:
    """Return a board on which one workspace has a quota."""
    made = board(*workers)
    made.quotas.quotas = lambda: {"one": quota}
    return made


def hand_in(made: Board, job_id: str, workspace: str, *steps: StepSpec) -> Job:
    """Hand in a workspace's job."""
    return made.accept(job_id, queue(), job(*steps), workspace=workspace)


def test_a_wide_step_has_as_many_tasks_running_as_its_workspace_may() -> None:
    made = limited(worker("w"), worker("v"))
    hand_in(made, "a", "one", step(6))
    hand_in(made, "b", "two", step(6))
    plan(made)
    names = [each for tasks in placed(made).values() for each in tasks]
    assert sum(each.startswith("a.") for each in names) == 3
    assert sum(each.startswith("b.") for each in names) == 5


def test_a_gang_begins_whole_or_not_at_all_and_keeps_no_room_meanwhile() -> None:
    made = limited(worker("w"))
    hand_in(made, "a", "one", step(2))
    hand_in(made, "g", "one", step(2, gang=True))
    plan(made)
    hand_in(made, "b", "two", step(2))
    plan(made)
    assert placed(made) == {"w": ["a.0.0.0", "a.0.0.1", "b.0.0.0", "b.0.0.1"]}


def test_the_backlog_of_one_workspace_does_not_fill_a_round() -> None:
    """One that sends many times its usual costs the others nothing."""
    made = limited(worker("w"), quota=TASK)
    for number in range(MOST_SCANNED + 5):
        hand_in(made, f"a{number}", "one", step(1))
    hand_in(made, "b", "two", step(1))
    plan(made)
    assert "b.0.0.0" in placed(made)["w"] and len(placed(made)["w"]) == 2


# --- a quota that falls ---------------------------------------------------------------


@pytest.mark.parametrize("lost", [0, 1], ids=["before it was sent", "unanswered"])
def test_a_start_is_held_back_once_the_quota_has_fallen(lost: int) -> None:
    """Between placing and beginning lie a transaction and maybe seconds."""

    async def run() -> None:
        async with cell(workers=1) as made:
            owner = await made.own()
            quotas = {"one": Amounts(processors=2000)}
            owner.board.quotas.quotas = lambda: quotas
            only = made.fleet.workers["w0"]
            only.lose_starts = 10_000 * lost
            made.table.faults.slow_s = 0.0 if lost else 0.3
            hand_in(owner.board, "a", "one", step(2))
            owner.changed()
            begun = (lambda: len(only.late) > 1) if lost else _is_placed(owner.board)
            await until(begun)
            quotas["one"] = Amounts(processors=1000)
            await until(lambda: not owner.board.placements_of("a"))
            only.lose_starts, made.table.faults.slow_s = 0, 0.0
            late = [made.fleet.carry_out(only, each).verdict for each in only.late]
            assert not [each for each in late if each.value == "accepted"]
            quotas["one"] = Amounts(processors=2000)
            owner.changed()
            await until(lambda: owner.state("a", "one").state == "completed")

    go(run())


def _is_placed(made: Board) -> Callable[[], bool]:
    return lambda: len(made.placements_of("a")) == 2


# --- a random history -----------------------------------------------------------------


@attrs.define(kw_only=True, eq=False)
class History:
    """An owner's board, the rows that are stored, and what the workers truly run.

    Attributes:
        rnd: Draws what happens.
        quota: What the one workspace may have.
        running: What each worker runs: attempts by task, with what they take.
        ended: The ends of each worker that are not acknowledged.
        late: Orders that are carried out at any later time, with their fences.
        epoch: The owner's, which fences its orders.
        fences: The highest fence that each worker has seen.
        stored: The rows.
        sent: Attempts that were ordered.
        faults: What the rule forbids.
    """

    rnd: random.Random
    quota: Amounts = QUOTA
    running: dict[str, dict[str, int]] = attrs.field(factory=dict)
    ended: dict[str, list[EndedTask]] = attrs.field(factory=dict)
    void: dict[tuple[str, str], int] = attrs.field(factory=dict)
    late: list[tuple[str, str, int, int]] = attrs.field(factory=list)
    epoch: int = 1
    fences: dict[str, int] = attrs.field(factory=dict)
    stored: dict[str, str] = attrs.field(factory=dict)
    faults: list[str] = attrs.field(factory=list)
    made: Board = attrs.field(factory=Board)
    _sent: set[tuple[str, int]] = attrs.field(factory=set)
    _sizes: dict[str, int] = attrs.field(factory=dict)
    _jobs: int = 0
    _ends: int = 0

    def __attrs_post_init__(self) -> None:
        for name in ("w", "v", "u"):
            self.running[name] = {}
            self.ended[name] = []
        self._new_board()

    def _new_board(self) -> None:
        self.made = Board(time_of_day=lambda: NOW_S, now=lambda: 0.0)
        self.made.quotas.quotas = lambda: {"one": self.quota}
        for name in self.running:
            self.made.fleet.add(
                FleetWorker(entry=entry(name), standing=Standing.SILENT)
            )
        self._sent.clear()

    def play(self, steps: int) -> None:
        """Have things happen."""
        acts = (
            self.hand_in,
            self.hand_in,
            self.plan_and_store,
            self.plan_and_store,
            self.order,
            self.order,
            self.carry_out_late,
            self.end_some,
            self.list_one,
            self.list_one,
            self.cancel,
            self.lose_worker,
            self.take_over,
            self.change_quota,
        )
        for _ in range(steps):
            self.rnd.choice(acts)()

    def hand_in(self) -> None:
        """A caller hands in a job."""
        self._jobs += 1
        gang = self.rnd.random() < 0.3
        spec = step(self.rnd.randint(1, 3), self.rnd.choice((500, 1000)), gang=gang)
        self._sizes[f"j{self._jobs}"] = spec.needs.processors
        self.made.accept(f"j{self._jobs}", queue(), job(spec), workspace="one")

    def plan_and_store(self) -> None:
        """The owner plans, and the table takes what it has to store."""
        Planner(board=self.made).plan(now=0.0, now_s=NOW_S)
        batch = take_batch(self.made)
        self._store(batch)
        note_stored(self.made, batch)

    def _store(self, batch: Batch) -> None:
        self.stored |= {put.key: put.value for put in batch.puts}
        for key in batch.deletes:
            self.stored.pop(key, None)

    def order(self) -> None:
        """Every start that is stored is sent; some come late, or never."""
        for each in list(self.made.fleet.workers.values()):
            for placement in list(each.placements.values()):
                self._order(each, placement)

    def _order(self, on: FleetWorker, placement: Placement) -> None:
        key = (placement.task, placement.attempt)
        if key in self._sent or not placement.stored or placement.ordered:
            return
        if self.made.is_over_quota(placement) or placement.stopping:
            self.made.give_up(on, placement, "not sent")
            return
        self._sent.add(key)
        placement.ordered = True
        if self.rnd.random() < 0.3:
            self.late.append((on.name, *key, self.epoch))
        else:
            placement.began(0.0)
            self._begin(on.name, *key, self.epoch)

    def carry_out_late(self) -> None:
        """A worker carries out an order that it left unanswered."""
        if self.late:
            self._begin(*self.late.pop(self.rnd.randrange(len(self.late))))

    def _begin(self, name: str, task: str, attempt: int, fence: int) -> None:
        if attempt <= self.void.get((name, task), 0):
            return
        if fence < self.fences.get(name, 0):
            return
        self.fences[name] = fence
        self.running[name][task] = attempt
        used = sum(map(self._needs, self._tasks()))
        largest = max(map(self._needs, self._tasks()))
        if used > self.quota.processors + largest and self.quota == QUOTA:
            self.faults.append(f"{used} runs of {self.quota.processors}")

    def _tasks(self) -> list[str]:
        return [task for runs in self.running.values() for task in runs]

    def _needs(self, task: str) -> int:
        return self._sizes[job_of(task)]

    def end_some(self) -> None:
        """What runs on a worker ends."""
        name = self.rnd.choice(sorted(self.running))
        for task in list(self.running[name]):
            if self.rnd.random() < 0.5:
                how = self.rnd.choice((EndKind.DONE, EndKind.FAILED))
                self._end(name, task, how)

    def _end(self, name: str, task: str, how: EndKind) -> None:
        attempt = self.running[name].pop(task)
        self.void[(name, task)] = max(attempt, self.void.get((name, task), 0))
        self._ends += 1
        end = EndedTask(
            number=self._ends, task=task, attempt=attempt, how=how, saved=""
        )
        self.ended[name].append(end)

    def list_one(self) -> None:
        """The owner hears a worker's lists, and its stops reach it."""
        name = self.rnd.choice(sorted(self.running))
        known = self.made.fleet.workers[name]
        known.standing = Standing.LIVE
        self.fences[name] = self.epoch
        for placement in list(known.placements.values()):
            if placement.stopping:
                self._stop(name, placement)
        running = tuple(
            RunningTask(task=task, attempt=attempt, saved="", percent=1.0)
            for task, attempt in self.running[name].items()
        )
        ended = tuple(self.ended[name])
        self.ended[name] = []
        reply = SyncReply(worker_time_ms=1, running=running, ended=ended)
        self.made.sync(known, reply, sent_at=1.0, now=1.0)

    def _stop(self, name: str, placement: Placement) -> None:
        task, attempt = placement.task, placement.attempt
        self.void[(name, task)] = max(attempt, self.void.get((name, task), 0))
        if self.running[name].get(task) == attempt:
            self._end(name, task, EndKind.STOPPED)
        elif not placement.running:
            placement.began(0.0)

    def cancel(self) -> None:
        """A caller cancels a job."""
        if self._jobs:
            self.made.cancel(f"j{self.rnd.randint(1, self._jobs)}")

    def lose_worker(self) -> None:
        """A worker's leases are over: nothing runs there, and no order counts."""
        name = self.rnd.choice(sorted(self.running))
        self.running[name].clear()
        self.late = [each for each in self.late if each[0] != name]
        known = self.made.fleet.workers[name]
        known.standing = Standing.SILENT
        self.made.lapse(known, Loss.SILENT)

    def take_over(self) -> None:
        """Another owner goes by the rows; it has met no worker yet."""
        self._new_board()
        self.epoch += 1
        jobs, specs = tuple(
            rows_of_table(self.stored, table) for table in (rows.JOBS, rows.SPECS)
        )
        restore(self.made, StoredRows(specs=specs, jobs=jobs, inbox=()))
        self.made.adopt(0.0)

    def change_quota(self) -> None:
        """The operator lowers the quota far, or raises it again."""
        self.quota = QUOTA if self.quota != QUOTA else Amounts(processors=500)


def rows_of_table(stored: Mapping[str, str], table: str) -> tuple[Row, ...]:
    """Return a table's rows."""
    return tuple(
        Row(key=key, value=value, version=1)
        for key, value in stored.items()
        if key.startswith(f"{table}/")
    )


# Guards against a workspace that runs more than it may after a takeover (QUOTA): a job
# that was cancelled has attempts at work until they are heard to have stopped.
def test_a_successor_counts_and_stops_what_an_ended_job_still_has() -> None:
    history = History(rnd=random.Random(1))
    for each in history.made.fleet.workers.values():
        each.standing = Standing.LIVE
    history.made.accept("a", queue(), job(step(3)), workspace="one")
    history.plan_and_store()
    assert history.made.quotas.used_by("one") == TASK.times(3)
    history.made.cancel("a")
    history.plan_and_store()
    history.take_over()
    assert history.made.quotas.used_by("one") == TASK.times(3)
    left = [each for _, each in history.made.placements_of("a")]
    assert len(left) == 3 and all(each.stopping and each.ordered for each in left)
    assert not history.made.quotas.may_begin("one", TASK)
    for name in history.running:
        history.made.lapse(history.made.fleet.workers[name], Loss.SILENT)
    assert history.made.quotas.may_begin("one", TASK.times(3))


@given(seed=st.integers(min_value=0, max_value=2**32))
@example(seed=23_401)
@example(seed=329)
@settings(max_examples=60, deadline=None)
def test_no_history_has_a_workspace_run_more_than_it_may(seed: int) -> None:
    """Through starts, ends, losses, takeovers, cancellings and late orders."""
    history = History(rnd=random.Random(seed))
    history.play(150)
    assert not history.faults
    for name in history.running:
        history.rnd = random.Random(0)
        history.running[name].clear()
        history.made.lapse(history.made.fleet.workers[name], Loss.SILENT)
    assert not history.made.quotas.charges, "a charge is never released"
