"""Checks the attempts that workers run against quotas that change.

Used by `soak`: the fleet stand-in calls it at every start. A quota that was replaced
recently may still be in force on a host, so the highest recent quota is the limit.
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
        clock: The clock of the test.
        quotas: The quotas in force; None while owners cannot know them.
        before: Earlier quotas, each with the time until which it was in force.
    """

    clock: Clock
    quotas: Mapping[str, Amounts] | None = attrs.field(factory=dict)
    before: list[tuple[float, Mapping[str, Amounts]]] = attrs.field(factory=list)
    _last: Mapping[str, Amounts] = attrs.field(factory=dict)

    def change(self, quotas: Mapping[str, Amounts] | None) -> None:
        """Set the quotas in force; None hides them from owners."""
        if quotas is None:
            self.quotas = None
            return
        self.before.append((self.clock.now(), self._last))
        self.quotas = self._last = quotas

    def told(self) -> Mapping[str, Amounts] | None:
        """Return the quotas that an owner sees."""
        return self.quotas

    def fault(self, workspace: str, running: list[Amounts]) -> str:
        """Return a description of a quota violation, or an empty string.

        Args:
            workspace: The name of the workspace.
            running: The resources of each of its attempts, on all workers.
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
        """Return the highest quota that may be in force; 0 means no limit."""
        since = self.clock.now() - QUOTA_GRACE_S
        found = [self._last, *(each for until, each in self.before if until > since)]
        limits = [each.get(workspace, NOTHING).processors for each in found]
        return 0 if 0 in limits else max(limits)
