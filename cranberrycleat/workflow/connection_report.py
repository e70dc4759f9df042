"""Reports how many connections orders to workers need.

A worker accepts a limited number of connections, from all hosts together, and resets
those beyond it. The report shows which owner opened how many, and to which workers.
"""

from collections import Counter
from collections.abc import Mapping
from typing import Final

import attrs

from cranberrycleat import events
from cranberrycleat.workflow.ports import ConnectionUse

MAX_WORKERS_NAMED: Final = 5


@attrs.define(kw_only=True, eq=False)
class ConnectionReport:
    """Compares the connections to each worker with the last report."""

    _last: dict[str, ConnectionUse] = attrs.field(factory=dict)

    def update(
        self, current: Mapping[str, ConnectionUse]
    ) -> events.WorkersConnections | None:
        """Return what has changed since the last report, or None if nothing has.

        Args:
            current: The connections to each worker so far, by the worker's name.
        """
        opened: Counter[str] = Counter()
        broken: Counter[str] = Counter()
        for name, use in current.items():
            before = self._last.get(name, ConnectionUse())
            opened[name] = use.opened - before.opened
            broken[name] = use.broken - before.broken
        self._last = dict(current)
        if not any(opened.values()) and not any(broken.values()):
            return None
        return events.WorkersConnections(
            opened=opened.total(),
            broken=broken.total(),
            most_opened=_most(opened),
            most_broken=_most(broken),
        )


def _most(counts: Counter[str]) -> dict[str, int]:
    return {name: n for name, n in counts.most_common(MAX_WORKERS_NAMED) if n}
