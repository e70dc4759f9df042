"""Keeps a part of a workspace's quota for its more urgent work.

Answers a workspace that is at its quota: its wide steps of seconds fill it, and each of
its short jobs, whose objective is a second, waits until one of them ends. What the
urgent ones had running of late is left free for them by those that can wait, as far as
it is a small part of the quota. The planner asks here; `quota` keeps the ledger.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from cranberrycleat.amounts import NOTHING, Amounts
from cranberrycleat.workflow.quota import QuotaLedger

HALF_LIFE_S: Final = 5.0
"""In which time half of what was running is forgotten."""
MOST_SHARE: Final = 0.4
"""Of a quota. The platform asks that a step start while its workspace has under half
of its quota."""


@attrs.define(kw_only=True, eq=False)
class QuotaReserve:
    """What urgent work of each workspace had running of late.

    Attributes:
        ledger: The charges.
        peaks: The processors and megabytes that each workspace had running at a
            priority or a more urgent one, fading.
        at: When they were worked out, on the owner's clock.
    """

    ledger: QuotaLedger
    peaks: dict[tuple[str, int], tuple[float, float]] = attrs.field(factory=dict)
    at: float = 0.0

    def look(self, now: float) -> None:
        """Take in what is running now."""
        fading = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.at = now
        running = self._running()
        for key in {*self.peaks, *running}:
            have = running.get(key, NOTHING)
            cpu, memory = self.peaks.get(key, (0.0, 0.0))
            peak = (
                max(float(have.processors), cpu * fading),
                max(float(have.memory_mb), memory * fading),
            )
            if max(peak) < 1.0:
                del self.peaks[key]
            else:
                self.peaks[key] = peak

    def _running(self) -> Mapping[tuple[str, int], Amounts]:
        """Return what runs at each priority or a more urgent one."""
        found: dict[tuple[str, int], Amounts] = {}
        for workspace, priority in sorted(self.ledger.used_at):
            found[(workspace, priority)] = self._more_urgent(workspace, priority + 1)
        return found

    def _more_urgent(self, workspace: str, priority: int) -> Amounts:
        total = NOTHING
        for (name, level), amounts in self.ledger.used_at.items():
            if name == workspace and level < priority:
                total = total.plus(amounts)
        return total

    def kept_from(self, workspace: str, priority: int, together: Amounts) -> Amounts:
        """Return what steps of a priority leave free for more urgent ones.

        Args:
            workspace: Whose.
            priority: The steps' priority; 0 is the most urgent.
            together: What must begin at once. What would never fit beside the
                reserve leaves nothing free.
        """
        quota = self.ledger.quota_of(workspace)
        levels = [p for name, p in self.peaks if name == workspace and p < priority]
        if quota is None or not levels:
            return NOTHING
        cpu, memory = self.peaks[(workspace, max(levels))]
        running = self._more_urgent(workspace, priority)
        kept = Amounts(
            processors=_part(cpu, quota.processors, running.processors),
            memory_mb=_part(memory, quota.memory_mb, running.memory_mb),
        )
        return kept if _fits_beside(together, kept, quota) else NOTHING


def _part(peak: float, quota: int, running: int) -> int:
    return max(0, min(round(peak), round(MOST_SHARE * quota)) - running)


def _fits_beside(together: Amounts, kept: Amounts, quota: Amounts) -> bool:
    return all(
        not limit or need + free <= limit
        for need, free, limit in (
            (together.processors, kept.processors, quota.processors),
            (together.memory_mb, kept.memory_mb, quota.memory_mb),
        )
    )
