"""Accepts operators' changes: written to the table before they are acknowledged.

A change for a shard becomes an inbox row. The shard's owner deletes it in the same
transaction that applies the change. Any scheduler may accept changes, whether it is
the owner or not. A submission carries an id, so that after a lost reply reading the
row back shows whether it was committed; an undetermined outcome is reported as
unknown.
"""

import secrets
from collections.abc import Iterable
from typing import Final

import attrs

from cranberrycleat import codec, errors, selectors
from cranberrycleat.jobs import JobSpec, Kind
from cranberrycleat.keys import inbox_prefix, name_key
from cranberrycleat.messages import (
    Accepted,
    HostEntry,
    InboxEntry,
    JobPart,
    LabelChange,
    NameRow,
)
from cranberrycleat.table import ABSENT, Check, Put, Table, Transaction
from cranberrycleat.table_http import Platform

COMMIT_ATTEMPTS: Final = 3
RETRY_AFTER_S: Final = 5.0


@attrs.frozen(kw_only=True)
class DataCentreCapacity:
    """A data centre's capacity for tasks of one job.

    Attributes:
        data_centre: The data centre.
        room: How many tasks its matching workers could hold if empty.
    """

    data_centre: str
    room: int


def matching_data_centres(
    spec: JobSpec, hosts: Iterable[HostEntry]
) -> tuple[DataCentreCapacity, ...]:
    """Return the data centres with matching hosts, largest capacity first."""
    selector = selectors.parse(spec.selector, place=f"{spec.name}.selector")
    room: dict[str, int] = {}
    for host in hosts:
        labels = {**host.labels, "data-centre": host.data_centre, "rack": host.rack}
        if selector.matches(labels):
            count = _count_fitting(spec, host)
            room[host.data_centre] = room.get(host.data_centre, 0) + count
    found = [
        DataCentreCapacity(data_centre=name, room=count) for name, count in room.items()
    ]
    return tuple(
        sorted(found, key=lambda candidate: (-candidate.room, candidate.data_centre))
    )


def _count_fitting(spec: JobSpec, host: HostEntry) -> int:
    needs, capacity = spec.needs, host.capacity
    counts = [capacity.processors // needs.processors]
    counts.append(capacity.memory_mb // needs.memory_mb)
    if needs.accelerators:
        counts.append(capacity.accelerators // needs.accelerators)
    if needs.slots:
        counts.append(capacity.slots // needs.slots)
    return min(counts)


def assign_data_centres(
    spec: JobSpec, found: tuple[DataCentreCapacity, ...], default: str
) -> dict[str, tuple[int, ...]]:
    """Assign each task to a data centre: a gang to one, other jobs by capacity.

    Args:
        spec: The job.
        found: The data centres with matching hosts.
        default: The data centre to use if none could hold a task; its scheduler
            then reports why nothing fits.

    Returns:
        For each data centre, the indices of the tasks assigned to it.
    """
    able = [candidate for candidate in found if candidate.room > 0]
    if not able:
        return {default: tuple(range(spec.tasks))}
    if spec.kind is Kind.GANG:
        return {able[0].data_centre: tuple(range(spec.tasks))}
    parts: dict[str, list[int]] = {candidate.data_centre: [] for candidate in able}
    for index in range(spec.tasks):
        candidate = min(able, key=lambda each: len(parts[each.data_centre]) / each.room)
        parts[candidate.data_centre].append(index)
    return {name: tuple(part) for name, part in parts.items() if part}


@attrs.define(kw_only=True, eq=False)
class Acceptance:
    """Accepts operators' changes on behalf of one scheduler.

    Attributes:
        platform: The table and the host list.
        data_centre: The data centre for jobs that fit no listed host.
    """

    platform: Platform
    data_centre: str

    async def submit(self, spec: JobSpec) -> Accepted:
        """Accept a job.

        Raises:
            ProblemError: The name exists (409), or the outcome is unknown (504).
            TableUnavailable: Nothing was accepted.
        """
        listed = await self.platform.hosts()
        parts = assign_data_centres(
            spec, matching_data_centres(spec, listed.hosts), self.data_centre
        )
        change = secrets.token_hex(8)
        name = NameRow(submission=change, data_centres=tuple(sorted(parts)))
        puts = [Put(key=name_key(spec.name), value=codec.encode_text(name))]
        for data_centre, indices in parts.items():
            entry = InboxEntry(id=change, submit=JobPart(spec=spec, indices=indices))
            puts.append(_inbox_put(data_centre, entry))
        check = Check(key=name_key(spec.name), version=ABSENT)
        txn = Transaction(checks=(check,), puts=tuple(puts))
        verified_commit = VerifiedCommit(
            table=self.platform, key=name_key(spec.name), change=change
        )
        if not await verified_commit.commit(txn):
            raise errors.ProblemError(
                status=409, code=errors.DUPLICATE_NAME, kind="job", name=spec.name
            )
        return Accepted(id=change, data_centres=name.data_centres)

    async def cancel(self, job: str) -> Accepted:
        """Accept the cancellation of a job.

        Raises:
            ProblemError: No such job (404).
            TableUnavailable: Nothing was accepted.
        """
        name = await self.find(job)
        change = secrets.token_hex(8)
        entry = InboxEntry(id=change, cancel=job)
        puts = tuple(_inbox_put(each, entry) for each in name.data_centres)
        await self._write(Transaction(puts=puts))
        return Accepted(id=change, data_centres=name.data_centres)

    async def find(self, job: str) -> NameRow:
        """Return a job's name row.

        Raises:
            ProblemError: No such job (404).
            TableUnavailable: The table gave no answer.
        """
        rows = await self.platform.read(keys=(name_key(job),))
        if not rows:
            raise errors.ProblemError(
                status=404, code=errors.UNKNOWN_NAME, kind="job", name=job
            )
        return codec.decode(rows[0].value, NameRow, place=rows[0].key)

    async def label(self, change: LabelChange) -> Accepted:
        """Accept new labels for a worker.

        Raises:
            ProblemError: No such worker (404).
            TableUnavailable: Nothing was accepted.
        """
        entry = InboxEntry(id=secrets.token_hex(8), label=change)
        return await self._write_for_worker(change.worker, entry)

    async def declare_dead(self, worker: str) -> Accepted:
        """Accept an operator's declaration that a worker is dead and runs nothing.

        Raises:
            ProblemError: No such worker (404).
            TableUnavailable: Nothing was accepted.
        """
        entry = InboxEntry(id=secrets.token_hex(8), declare_dead=worker)
        return await self._write_for_worker(worker, entry)

    async def _write_for_worker(self, worker: str, entry: InboxEntry) -> Accepted:
        listed = await self.platform.hosts()
        target = next((h.data_centre for h in listed.hosts if h.name == worker), None)
        if target is None:
            raise errors.ProblemError(
                status=404, code=errors.UNKNOWN_NAME, kind="worker", name=worker
            )
        await self._write(Transaction(puts=(_inbox_put(target, entry),)))
        return Accepted(id=entry.id, data_centres=(target,))

    async def _write(self, txn: Transaction) -> None:
        """Write idempotent changes, retrying if the table does not reply."""
        for _ in range(COMMIT_ATTEMPTS):
            try:
                await self.platform.commit(txn)
                return
            except errors.TableUnavailable:
                continue
        raise errors.ProblemError(
            status=504,
            code=errors.OUTCOME_UNKNOWN,
            reason="the table gave no answer; asking again is safe",
            retry_after_s=RETRY_AFTER_S,
        )


def _inbox_put(data_centre: str, entry: InboxEntry) -> Put:
    key = inbox_prefix(data_centre) + entry.id
    return Put(key=key, value=codec.encode_text(entry))


@attrs.frozen(kw_only=True)
class VerifiedCommit:
    """A commit that, after a lost reply, is verified by a row naming the change."""

    table: Table
    key: str
    change: str

    async def commit(self, txn: Transaction) -> bool:
        """Commit, and return whether this very change was committed.

        Raises:
            ProblemError: It is unknown whether it was (504).
        """
        for _ in range(COMMIT_ATTEMPTS):
            try:
                reply = await self.table.commit(txn)
                return reply.committed or await self._is_committed()
            except errors.TableUnavailable:
                continue
        raise errors.ProblemError(
            status=504,
            code=errors.OUTCOME_UNKNOWN,
            reason="the table gave no answer; ask for the job's status",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _is_committed(self) -> bool:
        rows = await self.table.read(keys=(self.key,))
        if not rows:
            return False
        found = codec.decode(rows[0].value, NameRow, place=self.key)
        return found.submission == self.change
