"""Followers of the platform's worker list and configuration.

Both read the changes since a known version; if the platform no longer has that
history, everything is read again. A row that cannot be decoded is logged with
its location and leaves the previous state in place.

The list of workers is read with an overlap: a transaction may become visible after one
with a higher version, and no later read would show it. Applying a change again has no
effect.
"""

import collections
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat import errors, events
from cranberrycleat.clock import Clock, MonotonicClock
from cranberrycleat.logs import emit
from cranberrycleat.table import Row
from cranberrycleat.workflow.announcements import Announcements
from cranberrycleat.workflow.ports import (
    ClusterConfig,
    Feed,
    FeedTable,
    FeedTooLarge,
    HistoryExpired,
    Queue,
    Snapshot,
    WorkerEntry,
)
from cranberrycleat.workflow.upkeep import Wave

MAX_FEED_VERSIONS: Final = 1.5
"""Maximum size of a change feed, in multiples of the configuration version read
last; two versions exceed it. The table sends each version in full, so a host that
missed several would read superseded ones, and on a slow link fall further behind."""
MIN_FEED_LIMIT_BYTES: Final = 65_536
"""Feed size allowed regardless of the last version's size; takes 0.1 s at 5 Mbit/s."""

OVERLAP_S: Final = 0.5
"""How long before the previous read a version was reported from which changes are asked
for. A transaction takes 0.24 s in a table that is slowed 60 times."""


@attrs.define(kw_only=True, eq=False)
class WorkerDirectory:
    """The workers registered with the platform.

    Attributes:
        store: The platform's table.
        table: The name of the table of workers.
        read: Decodes a row into an entry.
        clock: The clock of `read_at`.
        entries: The entries by worker identity.
        versions: The version of each entry's newest row, by worker identity.
        announced: The incarnations that announced that they leave, whatever became of
            their entries.
        read_at: When the newest complete read was begun: what was stored by then is in
            `entries`.
    """

    store: FeedTable
    table: str
    read: Callable[[Row], WorkerEntry]
    clock: Clock = attrs.field(factory=MonotonicClock)
    entries: dict[str, WorkerEntry] = attrs.field(factory=dict)
    versions: dict[str, int] = attrs.field(factory=dict)
    announced: Announcements = attrs.field(factory=Announcements)
    read_at: float = float("-inf")
    _version: int = 0
    _reported: "collections.deque[tuple[float, int]]" = attrs.field(
        factory=collections.deque
    )
    _logged_versions: dict[str, int] = attrs.field(factory=dict)

    async def read_all(self) -> None:
        """Read the complete list; raises `errors.TableUnavailable`."""
        began = self.clock.now()
        found = await self.store.snapshot(table=self.table)
        known = self.entries
        self.entries, self.versions = {}, {}
        for row in found.rows:
            self._apply_row(row, known)
        self._note_version(found.version, began)
        self.read_at = began

    async def refresh(self) -> bool:
        """Apply all changes since the last read; return whether there were any.

        Raises:
            TableUnavailable: The table gave no answer.
        """
        began = self.clock.now()
        try:
            feed = await self._follow()
        except HistoryExpired:
            await self.read_all()
            return True
        known = dict(self.entries)
        for change in feed.changes:
            if change.row is None:
                worker = change.key.partition("/")[2]
                self.entries.pop(worker, None)
                self.versions.pop(worker, None)
            else:
                self._apply_row(change.row, self.entries)
        self._note_version(feed.version, began)
        self.read_at = began
        return self.entries != known

    async def _follow(self) -> Feed:
        """Return the changes since a version that was reported before the newest one.

        Whatever the previous read may have missed has a higher version than that, no
        matter how long ago the previous read was.

        Raises:
            HistoryExpired: Not even the changes since the newest version are kept.
        """
        reported = self._reported
        while len(reported) > 1 and reported[1][0] <= reported[-1][0] - OVERLAP_S:
            reported.popleft()
        overlapping = reported[0][1] if reported else self._version
        if overlapping < self._version:
            try:
                return await self._changes_after(overlapping)
            except HistoryExpired:
                reported.clear()
        return await self._changes_after(self._version)

    async def _changes_after(self, version: int) -> Feed:
        return await self.store.follow(table=self.table, after=version, wait_s=0.0)

    def _note_version(self, version: int, began: float) -> None:
        self._version = max(self._version, version)
        self._reported.append((began, self._version))

    def _apply_row(self, row: Row, known: dict[str, WorkerEntry]) -> None:
        """Apply a row; one that cannot be decoded adds no worker.

        A worker that was known before keeps its link, so that its tasks go on and
        are not started twice, but it gets no new work.
        """
        worker = row.key.partition("/")[2]
        self.versions[worker] = row.version
        try:
            entry = self.read(row)
        except errors.FindingsError as exc:
            self._log_unreadable_once(row, str(exc))
            if worker in known:
                self.entries[worker] = attrs.evolve(known[worker], readable=False)
            return
        self.entries[entry.worker] = self._with_announcement(entry)

    def restore_announced(self, text: str, place: str) -> None:
        """Apply the announcements that an earlier owner stored.

        Raises:
            FindingsError: The row is malformed.
        """
        self.announced.restore(text, place)
        for worker, entry in self.entries.items():
            self.entries[worker] = self._with_announcement(entry)

    def _with_announcement(self, entry: WorkerEntry) -> WorkerEntry:
        """Return an entry that leaves if its incarnation ever announced that."""
        if entry.leaving:
            self.announced.add(entry.incarnation)
        elif entry.incarnation in self.announced:
            return attrs.evolve(entry, leaving=True)
        return entry

    def _log_unreadable_once(self, row: Row, findings: str) -> None:
        """Log an unreadable row once per version, however often it is read."""
        if self._logged_versions.get(row.key, 0) < row.version:
            self._logged_versions[row.key] = row.version
            emit(events.RowUnreadable(findings=findings))


@attrs.define(kw_only=True, eq=False)
class ConfigFollower:
    """Holds the highest configuration version seen.

    Attributes:
        store: The platform's table.
        table: The table that holds the configuration's row.
        key: The row's key.
        read: Decodes the row into a configuration.
        read_wave: Decodes a row into a maintenance wave, if it is one.
        current: The active configuration; None before the first.
        waves: The maintenance waves requested by the operator, by number.
        readable: Whether the newest version received could be decoded.
    """

    store: FeedTable
    table: str
    key: str
    read: Callable[[Row], ClusterConfig]
    read_wave: Callable[[Row], Wave | None] = lambda row: None
    current: ClusterConfig | None = None
    waves: dict[int, Wave] = attrs.field(factory=dict)
    readable: bool = True
    _feed_version: int | None = None
    _version_bytes: int = 0
    _newer_versions: dict[int, float] = attrs.field(factory=dict)

    async def follow(self, wait_s: float) -> bool:
        """Wait for a change and apply it; return whether there was one.

        If more than one version is pending, the changes are not read one by one;
        a snapshot of the table has only the newest.

        Raises:
            TableUnavailable: The table gave no answer.
        """
        if self._feed_version is None:
            found = await self.store.snapshot(table=self.table)
            self._feed_version = found.version
            return self._apply_rows(found.rows, found)
        try:
            feed = await self.store.follow(
                table=self.table,
                after=self._feed_version,
                wait_s=wait_s,
                max_bytes=round(MAX_FEED_VERSIONS * self._version_bytes)
                + MIN_FEED_LIMIT_BYTES,
            )
        except (HistoryExpired, FeedTooLarge):
            self._feed_version = None
            return await self.follow(wait_s)
        self._feed_version = max(self._feed_version, feed.version)
        rows = tuple(change.row for change in feed.changes if change.row is not None)
        return self._apply_rows(rows, feed)

    def _apply_rows(self, rows: tuple[Row, ...], source: Feed | Snapshot) -> bool:
        """Apply the rows of an answer, but only the newest configuration version."""
        for row in rows:
            if row.key != self.key:
                self._apply_wave(row)
        versions = [row for row in rows if row.key == self.key]
        if not versions:
            return False
        self._version_bytes = source.size // len(versions)
        return self._apply_row(versions[-1], source, len(versions))

    def _apply_row(self, row: Row, carried: Feed | Snapshot, versions: int) -> bool:
        try:
            config = self.read(row)
        except errors.FindingsError as exc:
            emit(events.ConfigUnreadable(findings=str(exc)))
            self.readable = False
            return False
        self.readable = True
        if not self.install(config):
            return False
        emit(
            events.ConfigTaken(
                version=config.version,
                queues=len(config.queues),
                versions=versions,
                size=carried.size,
                read_s=round(carried.read_s, 3),
            )
        )
        return True

    def install(self, config: ClusterConfig) -> bool:
        """Activate a configuration unless it is no newer; return whether it was."""
        if self.version >= config.version:
            return False
        self.current = config
        self._newer_versions = {
            version: at
            for version, at in self._newer_versions.items()
            if version > self.version
        }
        return True

    @property
    def version(self) -> int:
        """The active version; 0 before the first."""
        return 0 if self.current is None else self.current.version

    def note_version(self, version: int, now: float) -> None:
        """Record a version held by another host, which may be newer than this one's."""
        if version > self.version:
            self._newer_versions.setdefault(version, now)

    def late_s(self, now: float) -> float:
        """Return for how long a version newer than the active one has been known."""
        return now - min(self._newer_versions.values(), default=now)

    def _apply_wave(self, row: Row) -> None:
        try:
            wave = self.read_wave(row)
        except errors.FindingsError as exc:
            emit(events.RowUnreadable(findings=str(exc)))
            return
        if wave is not None:
            self.waves[wave.number] = wave

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching path prefix."""
        if self.current is None:
            return None
        found = [
            queue
            for queue in self.current.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(found, key=lambda queue: len(queue.prefix), default=None)
