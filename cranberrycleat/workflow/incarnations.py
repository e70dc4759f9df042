"""Handles work on a worker that restarts under the same identity.

A new incarnation knows nothing of the previous one, but orders for the previous one may
have reached it: they were in flight when the worker failed, or are carried out late.
Nothing placed on the previous incarnation is therefore given up until the new one has
answered its first sync. That sync carries a higher fence than any earlier order, which
makes its reply final: what it lists continues there, and no other earlier order can
start anything any more.

A restart is detected by `links`, when another incarnation answers a sync, or by
`roster`, from the platform's list. `takeover` relies on this module for work that an
earlier owner placed.
"""

from typing import Final

from cranberrycleat import events
from cranberrycleat.logs import emit
from cranberrycleat.workflow.cluster_state import MAX_ENDS_PER_SYNC, ClusterState
from cranberrycleat.workflow.fleet import AttemptKey, FleetWorker, Liveness, LossCause
from cranberrycleat.workflow.ports import SyncReply, WorkerEntry

LATE_ORDER_WINDOW_S: Final = 30.0
"""How long after a worker's start an order for the previous incarnation may still have
reached it, allowing for clocks that differ by seconds."""


def replace_incarnation(
    cluster_state: ClusterState,
    previous: FleetWorker,
    entry: WorkerEntry,
    leases_end_at: float,
) -> FleetWorker:
    """Register the next incarnation of a worker and return it.

    Args:
        cluster_state: The owner's in-memory state.
        previous: The incarnation that has ended.
        entry: The entry of the next one.
        leases_end_at: Until when an order for the previous incarnation may keep
            something running in the next one, where its leases are counted on another
            clock.
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
    # Anything it runs by earlier orders counts on the previous incarnation until the
    # new one answers.
    after.extend_leases_until(leases_end_at)
    return after


def may_have_restarted(worker: FleetWorker, now_s: float) -> bool:
    """Return whether orders of an earlier owner may have reached another incarnation.

    Args:
        worker: A worker known to a new owner.
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
    """Decide by an incarnation's first sync reply what became of earlier placements.

    Args:
        cluster_state: The owner's in-memory state.
        worker: The incarnation that answered.
        reply: Its first sync reply.
        leases_end_at: Until when earlier orders may have extended its lease: they use
            the clock of the previous incarnation, which is ahead of this one's.
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
    # A late lease renewal leaves no trace in the lists.
    worker.extend_leases_until(leases_end_at)
    emit(events.RestartSettled(worker=worker.name, found=found, lost=lost))


def _reported_attempts(reply: SyncReply) -> set[AttemptKey]:
    running = {(each.task, each.attempt) for each in reply.running}
    return running | {(each.task, each.attempt) for each in reply.ended}
