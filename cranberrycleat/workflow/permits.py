"""Placement permits: which workers may run a step, and until when.

The permit service answers slowly, one call at a time for each calling host.
Its answer for a step does not change, only the permit ages; so each worker is
asked about once (`permit_choice` says which, and when), and a permit that has run
out is renewed only for the workers that were chosen.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from cranberrycleat.workflow.permit_choice import AllowedShare
from cranberrycleat.workflow.ports import Permit, PermitTiming

VALIDITY_MARGIN_S: Final = 0.15
"""A permit must be valid for this much longer when a start is ordered: the
start is stored first (about 10 ms) and may be sent once more."""


@attrs.define(kw_only=True, eq=False)
class StepPermits:
    """What is known of one step.

    Attributes:
        policy: The service's times for this queue.
        tickets: The newest ticket by worker; a worker in it may run the step.
        had_at: When each ticket was given, at the earliest.
        asked: Workers that were asked about.
        calls: Calls under way.
        share: What its queue's steps were allowed of late.
    """

    policy: PermitTiming
    tickets: dict[str, str] = attrs.field(factory=dict)
    issued_at: dict[str, float] = attrs.field(factory=dict)
    asked: set[str] = attrs.field(factory=set)
    calls_in_flight: int = 0
    share: AllowedShare = attrs.field(factory=AllowedShare)

    def valid_ticket(self, worker: str, now: float) -> str:
        """Return a ticket that can be used now, or nothing."""
        issued_at = self.issued_at.get(worker, float("-inf"))
        if now - issued_at > self.policy.valid_s - VALIDITY_MARGIN_S:
            return ""
        return self.tickets[worker]

    def refused(self, worker: str) -> None:
        """A worker refused its ticket: it needs another before the next start."""
        self.issued_at.pop(worker, None)

    def workers_to_renew(self, workers: Iterable[str], now: float) -> tuple[str, ...]:
        """Return the workers whose permits must be renewed to start on all of them.

        Where one has run out, so must those be renewed that run out before the call is
        answered: a call that takes 1.1 s for permits that hold 1.35 s was otherwise
        followed by another one for the rest, and a gang whose permits came in three
        calls never had all of them at once.
        """
        names = sorted(workers)
        if all(self.valid_ticket(name, now) for name in names):
            return ()
        answered_at = now + self.expected_answer_s(len(names)) + VALIDITY_MARGIN_S
        return tuple(name for name in names if not self.valid_ticket(name, answered_at))

    def record_answer(
        self, asked: tuple[str, ...], permits: tuple[Permit, ...], sent_at: float
    ) -> None:
        """Take in an answer.

        Args:
            asked: The workers that the call named.
            permits: The answer.
            sent_at: When the ticket can have been given at the earliest.
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
        """Note that a call had no answer, so that it is asked again."""
        self.asked.difference_update(set(asked) - set(self.tickets))

    def expected_answer_s(self, workers: int) -> float:
        """Return how long the service works on a call."""
        return self.policy.decide_s + self.policy.each_s * workers
