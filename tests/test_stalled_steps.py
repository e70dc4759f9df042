"""Tests of waits beside workers with room, and of what yields to a stalled step."""

from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.decisions.planner import Planner
from cranberrycleat.workflow.decisions.stalls import STALL_S
from cranberrycleat.workflow.fleet import FleetWorker
from tests.cell import job, queue, step
from tests.test_planner import cluster_state, submit, worker
from tests.test_retries_left_waiting import ROUND_S, rounds_until, step_of


def occupy(
    owner_board: ClusterState, at: FleetWorker, name: str, processors: int = 0
) -> None:
    """Fill a worker with a task that runs until the end of the test."""
    spec = step(1, processors=processors or at.entry.capacity.processors)
    submit(owner_board, name, job(spec), queue())
    (task,) = step_of(owner_board, name).tasks
    owner_board.place(task, at, 1, now=0.0).began(0.0)


# Guards against a rack wait that by itself takes as long as the platform lets a job
# have nothing running beside room (LOST).
def test_rack_wait_ends_before_the_step_counts_as_lost() -> None:
    near = worker("near", rack="r1")
    far = [worker(f"far-{number}", rack="r2") for number in range(2)]
    owner_board = cluster_state(near, *far)
    occupy(owner_board, near, "long")
    spec = step(1, estimate_s=60.0, data_rack="r1")
    submit(owner_board, "a", job(spec), queue(max_attempts=3))
    waiting = step_of(owner_board, "a")
    planner = Planner(cluster_state=owner_board, spread_factor=5.0)
    placed_at, _ = rounds_until(planner, waiting, 0.0, 2 * STALL_S)
    assert placed_at is not None and placed_at < STALL_S - 2 * ROUND_S, placed_at
