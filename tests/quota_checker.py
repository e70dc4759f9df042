"""Judges what workspaces run by the workers' own record, while their quotas change.

Beside `soak`: the fleet stand-in asks it at each start. A quota that was in force not
long ago may still be; of those the highest counts.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.clock import Clock

QUOTA_GRACE_S: Final = 3.0
MAX_OVERSHOOT_RATIO: Final = 1.1


@attrs.define(kw_only=True, eq=False)
class QuotaChecker:
    """The quotas of some workspaces, as the operator sets them.

    Attributes:
        clock: Tells the time.
        quotas: What is in force; None while owners cannot know it.
        before: Quotas that were in force, and until when.
    """

    clock: Clock
    quotas: Mapping[str, Amounts] | None = attrs.field(factory=dict)
    before: list[tuple[float, Mapping[str, Amounts]]] = attrs.field(factory=list)
    _last: Mapping[str, Amounts] = attrs.field(factory=dict)

    def change(self, quotas: Mapping[str, Amounts] | None) -> None:
        """Have other quotas in force, or none that owners know."""
        if quotas is None:
            self.quotas = None
            return
        self.before.append((self.clock.now(), self._last))
        self.quotas = self._last = quotas

    def told(self) -> Mapping[str, Amounts] | None:
        """Return what an owner is told."""
        return self.quotas

    def fault(self, workspace: str, running: list[Amounts]) -> str:
        """Return what is wrong with what a workspace runs, or nothing.

        Args:
            workspace: Its name.
            running: What each of its attempts takes, on all workers.
        """
        used = NOTHING
        for each in running:
            used = used.plus(each)
        largest = max((each.processors for each in running), default=0)
        most = self._highest(workspace)
        if most and used.processors > most * MAX_OVERSHOOT_RATIO + largest:
            return f"{workspace} runs {used.processors} of {most}"
        return ""

    def _highest(self, workspace: str) -> int:
        """Return the highest quota that may be in force; 0 is no limit."""
        since = self.clock.now() - QUOTA_GRACE_S
        found = [self._last, *(each for until, each in self.before if until > since)]
        limits = [each.get(workspace, NOTHING).processors for each in found]
        return 0 if 0 in limits else max(limits)
