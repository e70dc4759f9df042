"""What becomes of work on a worker that starts again under its identity.

An incarnation knows nothing of the one before, but orders to that one may have reached
it: on their way when the worker fell, or carried out late. So nothing that counted on
the last one is given up until the next has answered its first list. That list is asked
for with a higher fence than any earlier order had, so that it is final: what it names
goes on there, and nothing else of before can begin any more.

`links` finds out by a list that another incarnation answered, `roster` by the
platform's list; `takeover` leaves it to this what an earlier owner placed.
"""

from typing import Final

from cranberrycleat import events
from cranberrycleat.logs import emit
from cranberrycleat.workflow.cluster_state import MAX_ENDS_PER_SYNC, ClusterState
from cranberrycleat.workflow.fleet import AttemptKey, FleetWorker, Liveness, LossCause
from cranberrycleat.workflow.ports import SyncReply, WorkerEntry

LATE_ORDER_WINDOW_S: Final = 30.0
"""How long after a worker's start an order to the incarnation before may still have
reached it, by clocks that differ by seconds."""


def replace_incarnation(
    cluster_state: ClusterState,
    previous: FleetWorker,
    entry: WorkerEntry,
    leases_end_at: float,
) -> FleetWorker:
    """Take in the next incarnation of a worker; return it.

    Args:
        board: The owner's memory.
        before: The incarnation that is over.
        entry: The next one's.
        leases_over_at: Until when any order to the last one may keep something running
            in the next: its leases are counted on another clock there.
    """
    if previous.liveness is Liveness.LIVE:
        cluster_state.fleet.record_worker_failure(previous, cluster_state.now())
    emit(
        events.WorkerRestarted(
            worker=entry.worker,
            before_ms=previous.entry.born_ms,
            born_ms=entry.born_ms,
            tasks=len(previous.placements),
            acknowledged=previous.ended_upto,
            heard_upto=previous.heard_upto,
        )
    )
    previous.extend_leases_until(leases_end_at)
    after = cluster_state.fleet.replace_incarnation(
        previous, entry, cluster_state.now()
    )
    # What it runs by orders of before counts on the last incarnation until it answers.
    after.extend_leases_until(leases_end_at)
    return after


def may_have_restarted(worker: FleetWorker, now_s: float) -> bool:
    """Tell whether orders of an earlier owner may have reached another incarnation.

    Args:
        worker: A worker that a new owner knows of.
        now_s: Seconds since 1970.
    """
    if worker.liveness is Liveness.RESTARTED:
        return True
    born_ms = worker.entry.born_ms
    return bool(born_ms) and now_s - born_ms / 1000 < LATE_ORDER_WINDOW_S


def reconcile(
    cluster_state: ClusterState,
    worker: FleetWorker,
    reply: SyncReply,
    leases_end_at: float,
) -> None:
    """Judge by an incarnation's first list what counted on those before it.

    Args:
        board: The owner's memory.
        worker: The incarnation that answered.
        reply: Its first list.
        leases_over_at: Until when orders of before may have extended its lease: by the
            clock of the last incarnation, which is ahead of this one's.
    """
    if worker.previous is None or len(reply.ended) >= MAX_ENDS_PER_SYNC:
        return
    reported = _reported_attempts(reply)
    previous: FleetWorker | None = worker.previous
    worker.previous = None
    found = lost = 0
    while previous is not None:
        for key, placement in list(previous.placements.items()):
            if key in reported:
                cluster_state.move(previous, worker, placement)
                found += 1
        lost += cluster_state.give_up_all(previous, LossCause.REPLACED)
        previous.liveness = Liveness.GONE
        previous = previous.previous
    # A renewal that came late leaves no trace in the lists.
    worker.extend_leases_until(leases_end_at)
    emit(events.RestartSettled(worker=worker.name, found=found, lost=lost))


def _reported_attempts(reply: SyncReply) -> set[AttemptKey]:
    running = {(each.task, each.attempt) for each in reply.running}
    return running | {(each.task, each.attempt) for each in reply.ended}
