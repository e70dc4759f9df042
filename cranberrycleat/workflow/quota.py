"""Accounts for the resources that each workspace uses, and enforces its quota.

An attempt is charged from its placement until it is proved to be over, exactly as its
capacity is reserved on the worker (see `fleet`). It stays charged while its start is
unanswered, while its worker is silent or has restarted, and while it is being stopped.
The cluster state charges and releases attempts; the planner checks the quota before it
places a task, and a link checks again before it sends a start. A successor rebuilds all
charges from the rows (see `rows.JobRow`) before it starts anything.

The limit enforced is the quota itself. The overshoot that a platform tolerates is left
for attempts that no owner could know of.
"""

import collections
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts

NO_LIMIT: Final = 1 << 60
"""A larger amount of a resource than any cell has."""
UNLIMITED: Final = Amounts(
    processors=NO_LIMIT, memory_mb=NO_LIMIT, accelerators=NO_LIMIT
)

ChargeKey = tuple[str, str, int]
"""The worker's incarnation, the name of the task and the number of the attempt."""


@attrs.frozen(kw_only=True)
class Charge:
    """The resources that one attempt is charged to its workspace."""

    workspace: str
    amounts: Amounts


@attrs.define(kw_only=True, eq=False)
class QuotaLedger:
    """The charges of one owner.

    Attributes:
        quotas: Returns the quota of each workspace, where 0 means no limit; None while
            a newer quota may be in force.
        charges: The current charges, by worker and attempt.
        used: The sum of the charges of each workspace.
        running: The number of charges of each workspace.
    """

    quotas: Callable[[], Mapping[str, Amounts] | None] = dict
    charges: dict[ChargeKey, Charge] = attrs.field(factory=dict)
    used: dict[str, Amounts] = attrs.field(factory=dict)
    running: "collections.Counter[str]" = attrs.field(factory=collections.Counter)

    def charge(self, key: ChargeKey, workspace: str, amounts: Amounts) -> None:
        """Charge an attempt to its workspace; idempotent."""
        if not workspace or key in self.charges:
            return
        self.charges[key] = Charge(workspace=workspace, amounts=amounts)
        self.used[workspace] = self.used_by(workspace).plus(amounts)
        self.running[workspace] += 1

    def release(self, key: ChargeKey) -> None:
        """Release the charge of an attempt that is proved to be over; idempotent."""
        charge = self.charges.pop(key, None)
        if charge is None:
            return
        workspace = charge.workspace
        self.used[workspace] = self.used[workspace].minus(charge.amounts)
        self.running[workspace] -= 1
        if not self.running[workspace]:
            del self.running[workspace], self.used[workspace]

    def used_by(self, workspace: str) -> Amounts:
        """Return the resources charged to a workspace."""
        return self.used.get(workspace, NOTHING)

    def quota_of(self, workspace: str) -> Amounts | None:
        """Return the quota of a workspace; None if it has none or it is not known."""
        return (self.quotas() or {}).get(workspace)

    def headroom(self, workspace: str) -> Amounts:
        """Return the unused quota of a workspace; amounts may be negative."""
        if not workspace:
            return UNLIMITED
        quotas = self.quotas()
        if quotas is None:
            return NOTHING
        return remaining_quota(quotas.get(workspace, NOTHING), self.used_by(workspace))

    def may_begin(
        self,
        workspace: str,
        needs: Amounts,
        count: int = 1,
        promised: Amounts = NOTHING,
    ) -> bool:
        """Return whether `count` identical tasks may start together.

        A single task may always start if nothing else of its workspace is charged.
        Otherwise it would wait forever once the quota is lowered below its needs.

        Args:
            workspace: Their workspace.
            needs: The resources that each takes.
            count: Their number.
            promised: What other tasks of the workspace are to be given.
        """
        if not workspace:
            return True
        room = self.headroom(workspace).minus(promised)
        if needs.times(count).fits_in(room):
            return True
        is_alone = not self.running[workspace] and promised == NOTHING
        return count == 1 and is_alone and self.quotas() is not None

    def allows_more(self, workspace: str) -> bool:
        """Return whether an attempt of a workspace that is stopped may start again."""
        if not workspace:
            return True
        return self.quotas() is not None and not self.is_over(workspace)

    def is_over(self, workspace: str) -> bool:
        """Return whether a workspace exceeds its quota, which may have been lowered."""
        quota = self.quota_of(workspace)
        if quota is None or self.running[workspace] <= 1:
            return False
        return not NOTHING.fits_in(remaining_quota(quota, self.used_by(workspace)))


def remaining_quota(quota: Amounts, used: Amounts = NOTHING) -> Amounts:
    """Return the part of a quota that is not used; 0 in the quota means no limit."""
    return Amounts(
        processors=_remaining_part(quota.processors, used.processors),
        memory_mb=_remaining_part(quota.memory_mb, used.memory_mb),
        accelerators=_remaining_part(quota.accelerators, used.accelerators),
    )


def _remaining_part(quota: int, used: int) -> int:
    return quota - used if quota else NO_LIMIT
