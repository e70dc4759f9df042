"""What each workspace has on workers, and whether more of it may begin.

A charge begins when an attempt is placed and ends when it is proved to be over, exactly
as the room on its worker (see `fleet`): placed, ordered without an answer, on a worker
that is silent or has started again, being stopped. The board charges and releases, the
planner asks before it places, a link once more before an order leaves. A successor
inherits every charge from the rows (see `rows.JobRow`), before its first start.

The quota itself is the aim. What a platform lets pass above it is left for attempts of
which nobody could know.
"""

import collections
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts

NO_LIMIT: Final = 1 << 60
"""More of a resource than any cell has."""
UNLIMITED: Final = Amounts(
    processors=NO_LIMIT, memory_mb=NO_LIMIT, accelerators=NO_LIMIT
)

ChargeKey = tuple[str, str, int]
"""A worker's incarnation, a task's name and the number of an attempt."""


@attrs.frozen(kw_only=True)
class Charge:
    """What one attempt takes of its workspace's quota."""

    workspace: str
    amounts: Amounts


@attrs.define(kw_only=True, eq=False)
class QuotaLedger:
    """The charges of one owner.

    Attributes:
        quotas: Tells each workspace's quota, 0 for no limit; None while a newer one
            may be in force.
        charges: What counts, by worker and attempt.
        used: The sum for each workspace.
        running: How many charges each workspace has.
    """

    quotas: Callable[[], Mapping[str, Amounts] | None] = dict
    charges: dict[ChargeKey, Charge] = attrs.field(factory=dict)
    used: dict[str, Amounts] = attrs.field(factory=dict)
    running: "collections.Counter[str]" = attrs.field(factory=collections.Counter)

    def charge(self, key: ChargeKey, workspace: str, amounts: Amounts) -> None:
        """Begin to count an attempt; idempotent."""
        if not workspace or key in self.charges:
            return
        self.charges[key] = Charge(workspace=workspace, amounts=amounts)
        self.used[workspace] = self.used_by(workspace).plus(amounts)
        self.running[workspace] += 1

    def release(self, key: ChargeKey) -> None:
        """Stop counting an attempt that is proved to be over; idempotent."""
        charge = self.charges.pop(key, None)
        if charge is None:
            return
        workspace = charge.workspace
        self.used[workspace] = self.used[workspace].minus(charge.amounts)
        self.running[workspace] -= 1
        if not self.running[workspace]:
            del self.running[workspace], self.used[workspace]

    def used_by(self, workspace: str) -> Amounts:
        """Return what a workspace has on workers."""
        return self.used.get(workspace, NOTHING)

    def quota_of(self, workspace: str) -> Amounts | None:
        """Return a workspace's quota; None where it has no limit, or is not known."""
        return (self.quotas() or {}).get(workspace)

    def headroom(self, workspace: str) -> Amounts:
        """Return what a workspace may have besides; parts may be negative."""
        if not workspace:
            return UNLIMITED
        quotas = self.quotas()
        if quotas is None:
            return NOTHING
        return remaining_quota(quotas.get(workspace, NOTHING), self.used_by(workspace))

    def may_begin(self, workspace: str, needs: Amounts, count: int = 1) -> bool:
        """Tell whether so many like tasks may begin together.

        A single task may where its workspace has nothing else: else it would wait for
        ever once the quota has fallen below it.
        """
        if not workspace:
            return True
        room = self.headroom(workspace)
        if needs.times(count).fits_in(room):
            return True
        return count == 1 and not self.running[workspace] and self.quotas() is not None

    def is_over(self, workspace: str) -> bool:
        """Tell whether a workspace has more than its quota, which may have fallen."""
        quota = self.quota_of(workspace)
        if quota is None or self.running[workspace] <= 1:
            return False
        return not NOTHING.fits_in(remaining_quota(quota, self.used_by(workspace)))


def remaining_quota(quota: Amounts, used: Amounts = NOTHING) -> Amounts:
    """Return what a quota leaves beside what is used; 0 in it is no limit."""
    return Amounts(
        processors=_remaining_part(quota.processors, used.processors),
        memory_mb=_remaining_part(quota.memory_mb, used.memory_mb),
        accelerators=_remaining_part(quota.accelerators, used.accelerators),
    )


def _remaining_part(quota: int, used: int) -> int:
    return quota - used if quota else NO_LIMIT
