"""Placement permits: which workers may run a step, and until when.

The permit service is slow and processes one call at a time per calling host. Its
decision for a step and a worker does not change; only the permit expires. Each worker
is therefore queried once (`permit_choice` decides which and when), and an expired
permit is renewed only for the workers on which tasks were placed.
"""

import asyncio
from collections.abc import Iterable
from typing import Final

import attrs

from cranberrycleat.workflow.decisions.permit_choice import AllowedShare
from cranberrycleat.workflow.ports import Permit, PermitTiming

VALIDITY_MARGIN_S: Final = 0.15
"""Minimum remaining validity when a start is ordered, since the start is stored
first (about 10 ms) and may be sent once more."""


@attrs.define(kw_only=True, eq=False)
class StepPermits:
    """Permit state of one step.

    Attributes:
        policy: The permit service's timing for this queue.
        tickets: The newest ticket (the token of a permit) by worker; only these workers
            may run the step.
        issued_at: Earliest time at which each ticket may have been issued.
        asked: Workers that were queried.
        calls_in_flight: Number of calls in flight, or waited for after a failure.
        share: Estimated share of workers allowed to the steps of its queue.
        renewing: Held while a renewal is in flight, so that placements made meanwhile
            share the next one.
        to_renew: Workers whose permits are to be renewed by the next call.
    """

    policy: PermitTiming
    tickets: dict[str, str] = attrs.field(factory=dict)
    issued_at: dict[str, float] = attrs.field(factory=dict)
    asked: set[str] = attrs.field(factory=set)
    calls_in_flight: int = 0
    share: AllowedShare = attrs.field(factory=AllowedShare)
    renewing: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    to_renew: set[str] = attrs.field(factory=set)

    def valid_ticket(self, worker: str, now: float) -> str:
        """Return a ticket that can be used now; empty if there is none."""
        issued_at = self.issued_at.get(worker, float("-inf"))
        if now - issued_at > self.policy.valid_s - VALIDITY_MARGIN_S:
            return ""
        return self.tickets[worker]

    def refused(self, worker: str) -> None:
        """Invalidate a ticket that its worker refused, so that it is renewed."""
        self.issued_at.pop(worker, None)

    def workers_to_renew(self, workers: Iterable[str], now: float) -> tuple[str, ...]:
        """Return the workers whose permits must be renewed to start on all of them.

        If any permit has expired, those that expire before the call is answered are
        renewed as well. Otherwise a call of 1.1 s for permits usable for 1.35 s was
        followed by another call for the rest, and a gang whose permits came in three
        calls never had all of them valid at the same time.
        """
        names = sorted(workers)
        if all(self.valid_ticket(name, now) for name in names):
            return ()
        answered_at = now + self.expected_answer_s(len(names)) + VALIDITY_MARGIN_S
        return tuple(name for name in names if not self.valid_ticket(name, answered_at))

    def record_answer(
        self, asked: tuple[str, ...], permits: tuple[Permit, ...], sent_at: float
    ) -> None:
        """Record an answer of the permit service.

        Args:
            asked: The workers that the call named.
            permits: The permits in the answer.
            sent_at: Earliest time at which the tickets may have been issued.
        """
        fresh = sum(worker not in self.tickets for worker in asked)
        known = len(self.tickets)
        self.asked.update(asked)
        for permit in permits:
            self.tickets[permit.worker] = permit.ticket
            self.issued_at[permit.worker] = sent_at
        if fresh:
            self.share.record(asked=fresh, allowed=len(self.tickets) - known)

    def failed(self, asked: tuple[str, ...]) -> None:
        """Record that a call was not answered; its workers will be queried again."""
        self.asked.difference_update(set(asked) - set(self.tickets))

    def expected_answer_s(self, workers: int) -> float:
        """Return the service's processing time of a call for some number of workers."""
        return self.policy.decide_s + self.policy.each_s * workers
