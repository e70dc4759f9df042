"""Selects the work that gives way to members of services that wait for room.

A service has value only while its members are running, and the platform expects a
lost member back within seconds, however full the pool is. Several members may be lost
at one moment and a stop takes 0.2 s, so that a round selects for all that have waited
long enough, of all services. Room that is free or that stops under way will free is
promised to one member only; for the others the least costly work is stopped, no more
than needed: the least urgent work, and work that checkpoints, goes first.
"""

import heapq
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.workflow.decisions.pool_snapshot import per_resource
from cranberrycleat.workflow.decisions.preemption_victims import RunningAttempt
from cranberrycleat.workflow.fleet import FleetWorker, Placement, how_many_fit
from cranberrycleat.workflow.state import Task, TaskState

PREEMPTION_DELAY_S: Final = 0.5
"""How long a service member waits for free resources before other work is preempted.
Most tasks end within a second or two, and the platform allows 3 s."""
SELECTION_INTERVAL_S: Final = 0.1
"""Least time between two selections for a service of which some members got no room;
rounds may follow each other within 10 ms."""
MAX_ROUND_WORK: Final = 100_000
"""Workers looked at in a round, for all services together, before it leaves further
services to the next one: it must end well within the owner's lease. With 2,500 workers
of nine tasks, 30 services of equal needs took 0.4 s."""
COMPARISON_WORK: Final = 8
"""Workers that could be looked at in the time that it takes to compare the victims on
one; what is found holds for all members of the same needs."""


def due_members(tasks: Iterable[Task], now: float) -> list[Task]:
    """Return those of a service's tasks that have waited long enough for room.

    Updates since when each has waited.
    """
    due = []
    for task in tasks:
        if task.state is not TaskState.PENDING:
            continue
        if task.waits_since is None:
            task.waits_since = now
        if now - task.waits_since >= PREEMPTION_DELAY_S:
            due.append(task)
    return due


@attrs.frozen(kw_only=True, eq=False)
class _Victim:
    """Attempts that end together: a single one, or a gang that may be stopped.

    Attributes:
        group: The name of the task or of the gang's step.
        attempts: The attempts and their workers.
        freed: What a stop frees on the worker in question.
        cost: The cost of a stop.
    """

    group: str
    attempts: tuple[RunningAttempt, ...]
    freed: Amounts
    cost: float


@attrs.frozen(kw_only=True, eq=False)
class _Offer:
    """What has to be stopped on a worker so that one more member fits."""

    room: "_WorkerRoom"
    victims: tuple[_Victim, ...]
    cost: float


@attrs.define(kw_only=True, eq=False)
class _WorkerRoom:
    """The room on a worker in one round.

    Attributes:
        worker: The worker.
        released: What attempts hold that are being stopped or selected as victims.
        promised: What waiting members are to be given.
        members: The number of these members.
        preemptible: What may be stopped, least costly first; None before it is needed.
        ceiling: What would be free if all of it were stopped.
        free: What was free there when the offers were made.
        offers: What has to be stopped for one more member, by its needs; valid while
            nothing else changes.
    """

    worker: FleetWorker
    released: Amounts
    promised: Amounts = NOTHING
    members: int = 0
    preemptible: list[Placement] | None = None
    ceiling: Amounts = NOTHING
    free: Amounts = NOTHING
    offers: dict[Amounts, _Offer | None] = attrs.field(factory=dict)

    def available(self, more: Amounts = NOTHING) -> Amounts:
        """Return what is left for further members if more is stopped."""
        free = self.worker.free
        if self.released is not NOTHING or more is not NOTHING:
            free = self.worker.free_without(self.released.plus(more))
        return free if self.promised is NOTHING else free.minus(self.promised)

    def promise(self, needs: Amounts, members: int) -> None:
        """Give room to waiting members."""
        self.promised = self.promised.plus(needs.times(members))
        self.members += members
        self.offers.clear()

    def release(self, placement: Placement) -> None:
        """Count what a victim holds as released."""
        self.released = self.released.plus(placement.needs)
        if self.preemptible is not None:
            self.preemptible = [e for e in self.preemptible if e is not placement]
        self.offers.clear()

    def preemptible_attempts(self) -> list[Placement]:
        """Return what may be stopped, least costly first."""
        if self.preemptible is None:
            attempts = self.worker.placements.values()
            self.preemptible = [each for each in attempts if _is_preemptible(each)]
            held = per_resource(sum, [each.needs for each in self.preemptible])
            self.ceiling = self.worker.free_without(self.released.plus(held))
            self.preemptible.sort(key=_preemption_cost)
        return self.preemptible


@attrs.define(kw_only=True, eq=False)
class ServicePreemption:
    """The room that one round promises to members of services.

    Attributes:
        attempts_of: Returns all attempts of a job that count on a worker.
        promised: What members of each workspace are to be given.
        work: The number of workers looked at to find victims.
    """

    attempts_of: Callable[[str], Iterable[RunningAttempt]]
    promised: dict[str, Amounts] = attrs.field(factory=dict)
    work: int = 0
    _rooms: dict[FleetWorker, _WorkerRoom] = attrs.field(factory=dict)

    def promise_room(
        self,
        needs: Amounts,
        members: int,
        workers: Sequence[FleetWorker],
        limit_on: Callable[[FleetWorker], int],
    ) -> "MemberSelection":
        """Promise waiting members of a service the room that needs no further stops.

        Args:
            needs: The resources that each member takes.
            members: The number of members.
            workers: The workers on which they may run.
            limit_on: Returns how many of them a worker may take, however empty.
        """
        selection = MemberSelection(
            preemption=self,
            needs=needs,
            missing=members,
            workers=workers,
            limit_on=limit_on,
        )
        for worker in workers:
            if selection.missing <= 0:
                break
            room = self.room_on(worker)
            available = room.available()
            if needs.fits_in(available):
                selection.promise(room, how_many_fit(needs, available))
        return selection

    def may_compare(self) -> bool:
        """Return whether the round may compare the victims of another service."""
        return self.work < MAX_ROUND_WORK

    def room_on(self, worker: FleetWorker) -> _WorkerRoom:
        """Return the room on a worker."""
        room = self._rooms.get(worker)
        if room is None:
            released = NOTHING
            for each in worker.placements.values():
                if each.stopping:
                    released = released.plus(each.needs)
            room = _WorkerRoom(worker=worker, released=released)
            self._rooms[worker] = room
        return room

    def offer(self, room: _WorkerRoom, needs: Amounts) -> _Offer | None:
        """Return the least costly victims so that one more member fits, or None."""
        self.work += 1
        if room.free is not room.worker.free:
            # Members of another service were placed there since.
            room.offers.clear()
            room.free = room.worker.free
        try:
            return room.offers[needs]
        except KeyError:
            offer = room.offers[needs] = self._compare(room, needs)
            return offer

    def _compare(self, room: _WorkerRoom, needs: Amounts) -> _Offer | None:
        attempts = room.preemptible_attempts()
        if not needs.plus(room.promised).fits_in(room.ceiling):
            return None
        self.work += COMPARISON_WORK
        chosen: dict[str, _Victim] = {}
        fits = needs.fits_in(room.available())
        for placement in attempts:
            if fits:
                break
            if _group(placement) not in chosen:
                chosen[_group(placement)] = self._victim(room.worker, placement)
                fits = needs.fits_in(room.available(_freed(chosen.values())))
        if not fits:
            return None
        for group in list(reversed(chosen))[1:]:
            others = [each for each in chosen.values() if each.group != group]
            if needs.fits_in(room.available(_freed(others))):
                del chosen[group]
        cost = sum(each.cost for each in chosen.values())
        return _Offer(room=room, victims=tuple(chosen.values()), cost=cost)

    def _victim(self, worker: FleetWorker, placement: Placement) -> _Victim:
        task = placement.tracked_task
        assert task is not None
        attempts: tuple[RunningAttempt, ...] = ((worker, placement),)
        freed = placement.needs
        if task.step.spec.gang:
            attempts = tuple(
                (found, each)
                for found, each in self.attempts_of(task.step.job.job_id)
                if each.tracked_task is not None
                and each.tracked_task.step is task.step
                and _is_preemptible(each)
            )
            here = [each.needs for found, each in attempts if found is worker]
            freed = per_resource(sum, here)
        return _Victim(
            group=_group(placement),
            attempts=attempts,
            freed=freed,
            cost=_preemption_cost(placement),
        )


@attrs.define(kw_only=True, eq=False)
class MemberSelection:
    """The room and the victims of the waiting members of one service.

    Attributes:
        preemption: The room of the round.
        needs: The resources that each member takes.
        missing: The number of members that have no room yet.
        workers: The workers on which they may run.
        limit_on: Returns how many of them a worker may take, however empty.
    """

    preemption: ServicePreemption
    needs: Amounts
    missing: int
    workers: Sequence[FleetWorker]
    limit_on: Callable[[FleetWorker], int]
    _members: dict[FleetWorker, int] = attrs.field(factory=dict)

    def promise(self, room: _WorkerRoom, members: int) -> None:
        """Give room on a worker to as many members as wait and as it may take."""
        members = min(members, self.missing, self._limit(room))
        if members > 0:
            room.promise(self.needs, members)
            self._members[room.worker] = self._members.get(room.worker, 0) + members
            self.missing -= members

    def select_victims(self) -> list[RunningAttempt]:
        """Return what to stop so that the others fit, as far as that is possible."""
        if self.missing <= 0:
            return []
        victims: list[RunningAttempt] = []
        position = {worker: at for at, worker in enumerate(self.workers)}
        offers = [self._offer(worker) for worker in self.workers]
        queue = [
            (offer.cost, at) for at, offer in enumerate(offers) if offer is not None
        ]
        heapq.heapify(queue)
        while queue and self.missing > 0:
            cost, at = heapq.heappop(queue)
            offer = offers[at]
            if offer is None or offer.cost != cost:
                # It was replaced, and the one that replaces it is in the queue.
                continue
            changed = {offer.room.worker}
            for victim in offer.victims:
                for worker, placement in victim.attempts:
                    self.preemption.room_on(worker).release(placement)
                    victims.append((worker, placement))
                    changed.add(worker)
            self.promise(offer.room, 1)
            for at in sorted(position[each] for each in changed if each in position):
                offer = offers[at] = self._offer(self.workers[at])
                if offer is not None:
                    heapq.heappush(queue, (offer.cost, at))
        return victims

    def _limit(self, room: _WorkerRoom) -> int:
        """Return how many more members a worker may take, however empty."""
        taken = self._members.get(room.worker, 0)
        limit = self.limit_on(room.worker) - taken
        # A worker is probed with one task at a time, whatever its service.
        return min(limit, 1 - room.members) if room.worker.is_probed else limit

    def _offer(self, worker: FleetWorker) -> _Offer | None:
        room = self.preemption.room_on(worker)
        return (
            self.preemption.offer(room, self.needs) if self._limit(room) > 0 else None
        )


def _group(placement: Placement) -> str:
    """Return the name of an attempt's task, or of the step of its gang."""
    task = placement.tracked_task
    is_member = task is not None and task.step.spec.gang
    return task.step.name if task is not None and is_member else placement.task


def _freed(victims: Collection[_Victim]) -> Amounts:
    return per_resource(sum, [each.freed for each in victims])


def _is_preemptible(placement: Placement) -> bool:
    task = placement.tracked_task
    if task is None or placement.stopping or not placement.is_current:
        return False
    return not task.step.spec.service


def _preemption_cost(placement: Placement) -> float:
    """Return the cost of a stop: higher for urgent, gang and non-checkpointed work."""
    task = placement.tracked_task
    assert task is not None
    spec = task.step.spec
    urgency = 4.0 / (1 + task.step.job.queue.priority)
    lost = 0.2 if spec.checkpoints else 1.0
    members = spec.count if spec.gang else 1
    return urgency * lost * members * max(1, placement.needs.processors)
