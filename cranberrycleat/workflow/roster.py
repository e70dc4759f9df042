"""Adds and removes workers by the platform's list and by what the links find.

A worker stays in the fleet until nothing that was granted there can still run.
"""

import math
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat import errors, events
from cranberrycleat.logs import emit
from cranberrycleat.workflow import incarnations
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.directory import WorkerDirectory
from cranberrycleat.workflow.fleet import (
    GANG_SILENCE_LIMIT_S,
    FleetWorker,
    Liveness,
    LossCause,
)
from cranberrycleat.workflow.links import WorkerLink
from cranberrycleat.workflow.membership import Membership
from cranberrycleat.workflow.ports import DRAIN_S, LeaseBounds, WorkerEntry

UNRESPONSIVE_AFTER_S: Final = 0.4
MISSING_ENTRY_GRACE_S: Final = 2.5
"""How long a worker that answers is used although the list lacks it. Entries that
expired while the table was down are back within about 2 s of its return (platform
documentation); an entry that is missing for longer means that the worker is gone."""


@attrs.define(kw_only=True, eq=False)
class Roster:
    """Keeps the fleet in step with the platform's list of workers.

    Attributes:
        cluster_state: The owner's in-memory state.
        directory: Reads the list.
        members: The other hosts of the system.
        links: The links to workers, by incarnation name.
        bounds: The limits that workers guarantee for leases.
        join: Called to start a link to a new worker.
        changed: Called when the cluster state has changed.
        list_read_at: When the newest complete read of the platform's list was begun, on
            the owner's clock.
        drain_s: How long after a worker's announcement that it leaves tasks may still
            begin there.
        pools: Returns the pools that the configuration names; None while there is no
            configuration, when every worker gets a link.
    """

    cluster_state: ClusterState
    directory: WorkerDirectory
    members: Membership
    links: dict[str, WorkerLink]
    bounds: LeaseBounds
    join: Callable[[FleetWorker], None]
    changed: Callable[[], None]
    drain_s: float = DRAIN_S
    pools: Callable[[], frozenset[str] | None] = lambda: None
    list_read_at: float = float("-inf")
    _unconfigured: set[str] = attrs.field(factory=set)

    def refresh(self) -> None:
        """Apply the current list."""
        workers = self.cluster_state.fleet.workers
        self._unconfigured.intersection_update(self.directory.entries)
        for entry in self.directory.entries.values():
            known = workers.get(entry.incarnation)
            if known is not None:
                self._update(known, entry)
            elif self._is_configured(entry):
                self._join(entry)
        for worker in list(workers.values()):
            if self._is_listed(worker):
                worker.missing_since = None
            elif worker.listed:
                self._handle_missing_entry(worker, self.cluster_state.now())
            if worker.adopted:
                self._adopt_entry(worker)
            self._apply_announcement(worker)
        self._note_read(self.list_read_at)

    def list_was_read(self, read_at: float) -> None:
        """Record a read that showed no change.

        Args:
            read_at: When it was begun, on the owner's clock.
        """
        self.list_read_at = read_at
        self._note_read(read_at)

    def _note_read(self, read_at: float) -> None:
        """Record for each worker in the list when its entry was read last.

        A list that was applied before any read of it is dated counts from then.
        """
        if not math.isfinite(read_at):
            read_at = self.cluster_state.now()
        versions = self.directory.versions
        for worker in self.cluster_state.fleet.workers.values():
            if worker.listed and worker.missing_since is None:
                worker.entry_read_at = read_at
                worker.entry_version = versions.get(worker.entry.worker, 0)
                worker.relied_on_until = read_at + self.drain_s

    def _is_listed(self, worker: FleetWorker) -> bool:
        """Return whether the list has a worker, if only an earlier incarnation."""
        entry = self.directory.entries.get(worker.entry.worker)
        if entry is None or worker is not self._newest_incarnation(entry):
            return False
        return worker.entry.born_ms >= entry.born_ms

    def _newest_incarnation(self, entry: WorkerEntry) -> FleetWorker | None:
        return self.cluster_state.fleet.newest.get(entry.worker)

    def _adopt_listed_entry(self, worker: FleetWorker) -> None:
        """Use an earlier incarnation's entry for the incarnation that answers.

        A worker whose description has changed updates its entry within
        `MISSING_ENTRY_GRACE_S`, provided that the list can be read. Until then it may
        be of another kind and size.
        """
        if (
            worker.entry.readable
            or self.list_read_at < worker.added_at + MISSING_ENTRY_GRACE_S
        ):
            return
        self._adopt_entry(worker)

    def _adopt_entry(self, worker: FleetWorker) -> None:
        """Use the newest version of an earlier incarnation's entry.

        It may say that the worker leaves, or be unreadable by now.
        """
        entry = self.directory.entries.get(worker.entry.worker)
        if entry is None or not self._is_listed(worker):
            return
        adopted = attrs.evolve(entry, born_ms=worker.entry.born_ms)
        if adopted == worker.entry or not (entry.readable or worker.adopted):
            return
        worker.adopted = True
        if adopted.leaving and not worker.entry.leaving:
            self._report_leaving(worker)
        worker.update(adopted)
        self.changed()

    def _join(self, entry: WorkerEntry) -> None:
        """Add an incarnation that the platform lists, if it is the newest."""
        previous = self._newest_incarnation(entry)
        if previous is None:
            # The first list is read before `list_read_at` is set.
            is_new = self.list_read_at > float("-inf")
            joined_at = self.cluster_state.now() if is_new else float("-inf")
            worker = FleetWorker(entry=entry, joined_at=joined_at)
            self.cluster_state.fleet.add(worker)
        elif previous.entry.born_ms > entry.born_ms:
            # The entry was written before that incarnation ended, or the worker's clock
            # was set back; in that case its sync replies reveal the restart.
            return
        else:
            worker = self._replace_incarnation(previous, entry)
        self.join(worker)
        if entry.leaving:
            self._report_leaving(worker)
        emit(
            events.WorkerJoined(
                worker=entry.worker,
                data_centre=entry.data_centre,
                labels=entry.labels,
                processors=entry.capacity.processors,
                born_ms=entry.born_ms,
            )
        )

    def _apply_announcement(self, worker: FleetWorker) -> None:
        """Have a worker leave that announced it and whose entry is gone since."""
        announced = worker.entry.incarnation in self.directory.announced
        if announced and not worker.entry.leaving:
            self._report_leaving(worker)
            worker.update(attrs.evolve(worker.entry, leaving=True))

    def _report_leaving(self, worker: FleetWorker) -> None:
        unread_s = self.list_read_at - worker.entry_read_at
        emit(
            events.WorkerLeaving(
                worker=worker.entry.worker,
                tasks=len(worker.placements),
                entry_version=self.directory.versions.get(worker.entry.worker, 0),
                unread_s=round(unread_s, 3) if math.isfinite(unread_s) else 0.0,
            )
        )

    def _update(self, known: FleetWorker, entry: WorkerEntry) -> None:
        if known.entry == entry and known.listed:
            return
        if known is not self._newest_incarnation(entry):
            return
        if entry.leaving and not known.entry.leaving:
            self._report_leaving(known)
        known.update(entry)
        known.listed, known.adopted = True, False
        if known.name not in self.links:
            # Until now it was known only from placements of an earlier owner.
            self.join(known)

    def worker_restarted(self, worker: FleetWorker, born_ms: int) -> None:
        """Add an incarnation that answered in place of another one."""
        newest = self._newest_incarnation(worker.entry)
        if newest is not None and newest is not worker:
            # A later incarnation is already known and has a link of its own.
            self._close_link(worker)
            return
        self.join(
            self._replace_incarnation(worker, worker.entry.for_incarnation(born_ms))
        )
        self.refresh()

    def link_unlisted_incarnations(self) -> None:
        """Start links to incarnations known only from an earlier owner's placements."""
        for worker in list(self.cluster_state.fleet.newest.values()):
            if worker.previous is None or worker.name in self.links:
                continue
            self._close_link(worker.previous)
            self.join(worker)

    def _replace_incarnation(
        self, previous: FleetWorker, entry: WorkerEntry
    ) -> FleetWorker:
        self._close_link(previous)
        until = self.cluster_state.now() + self.bounds.max_run_on_s()
        return incarnations.replace_incarnation(
            self.cluster_state, previous, entry, until
        )

    def _close_link(self, worker: FleetWorker) -> None:
        link = self.links.pop(worker.name, None)
        if link is not None:
            link.closed = True

    def _handle_missing_entry(self, worker: FleetWorker, now: float) -> None:
        """Stop using a worker whose entry is gone, unless it still answers.

        Its last entry is relied on as long as it would have been without a further
        read, since it may have announced meanwhile that it leaves. Where the list could
        not be read for longer, most entries that are gone have expired because the
        table was down, and their workers have announced nothing.
        """
        if worker.missing_since is None:
            worker.missing_since = now
            if worker.relied_on_until < self.list_read_at:
                worker.relied_on_until = now + MISSING_ENTRY_GRACE_S
        answers = worker.liveness is Liveness.LIVE and not worker.unresponsive
        answers = answers or worker.previous is not None
        if answers and now - worker.missing_since <= MISSING_ENTRY_GRACE_S:
            return
        emit(events.WorkerUnlisted(worker=worker.name, tasks=len(worker.placements)))
        worker.listed = False

    def _is_configured(self, entry: WorkerEntry) -> bool:
        """Return whether a worker belongs to a pool that the configuration names.

        No work could ever be placed on any other worker, and each status check is
        charged. A worker that already has work of this system is known and stays.
        """
        pools = self.pools()
        if pools is None or entry.pool in pools:
            self._unconfigured.discard(entry.worker)
            return True
        if entry.worker not in self._unconfigured:
            self._unconfigured.add(entry.worker)
            place = f"{self.directory.table}/{entry.worker}"
            found = errors.finding(
                place, errors.UNKNOWN_NAME, kind="service", name=entry.pool
            )
            emit(events.RowUnreadable(findings=str(found)))
        return False

    def check_all(self, now: float) -> None:
        """Check for silent data centres and for workers whose leases have ended."""
        self.mark_silent_data_centres(now)
        for worker in list(self.cluster_state.fleet.workers.values()):
            self.check(worker, now)

    def mark_silent_data_centres(self, now: float) -> None:
        """Mark workers of a data centre as unresponsive if no host there is reachable.

        When a data centre is partitioned, its workers are found silent one by one over
        two seconds, and whatever is placed there in the meantime waits for a whole
        lease.
        """
        for place in self.members.silent_data_centres(now):
            for worker in self.cluster_state.fleet.workers.values():
                silent_s = now - worker.clock_read_at
                if (
                    worker.entry.data_centre == place
                    and silent_s > UNRESPONSIVE_AFTER_S
                ):
                    worker.unresponsive = True

    def check(self, worker: FleetWorker, now: float) -> None:
        """Give up what ran on a silent worker once all its leases have ended."""
        if worker.listed and worker.missing_since is not None:
            self._handle_missing_entry(worker, now)
        if worker.liveness is Liveness.LIVE:
            self._adopt_listed_entry(worker)
            return
        if self.cluster_state.fleet.silent_s(worker, now) >= GANG_SILENCE_LIMIT_S:
            if self.cluster_state.stop_blocked_gangs(worker):
                self.changed()
        if now > worker.leases_end_at or worker.liveness is Liveness.GONE:
            lost = self.cluster_state.give_up_all(worker, LossCause.SILENT)
            if lost:
                emit(events.WorkerLeasesOver(worker=worker.name, tasks=lost))
                self.changed()
            if not worker.listed or worker.liveness is Liveness.GONE:
                self.cluster_state.fleet.remove(worker)
                self._close_link(worker)
