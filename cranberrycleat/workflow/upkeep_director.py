"""Executes upkeep waves for an owner; see `upkeep` for the decisions."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

import attrs

from cranberrycleat import codec, errors, events
from cranberrycleat.clock import Clock
from cranberrycleat.logs import emit, part_logger
from cranberrycleat.table import Put, Row, Table, Transaction
from cranberrycleat.workflow.cluster_state import ClusterState
from cranberrycleat.workflow.fleet import FleetWorker
from cranberrycleat.workflow.upkeep import (
    POSTPONED_S,
    Machine,
    MachineClient,
    MachinesUnavailable,
    MachineVerdict,
    Wave,
    WaveRecord,
    WaveRun,
    may_begin_upkeep,
    obstacle,
    placements_to_move,
)

LOG: Final[logging.Logger] = part_logger("upkeep")
POLL_INTERVAL_S: Final = 0.3
LIST_INTERVAL_S: Final = 1.0
"""How often the machines are listed while a wave is in progress."""
HOLD_S: Final = 3.0
"""How long a machine is held without renewal. A machine whose upkeep was accepted must
be held until its worker is found silent (0.5 s); a list that is not answered and the
next round take 1.3 s, and two such in a row should not end a hold."""
REFUSED_PAUSE_S: Final = 1.0
"""How long a machine whose upkeep was refused is not ordered again; the list of
machines is at most that old."""
SETTLE_S: Final = 3.2
"""A new owner sends no machine orders until its predecessor's are this old: the
platform treats alternating holders within 3 s as two concurrent ones."""
RUNNING: Final = "running"
COMPLETED: Final = "completed"


@attrs.define(kw_only=True, eq=False)
class UpkeepDirector:
    """Drains machines and orders their upkeep.

    Attributes:
        client: Client of the platform's machine API.
        writer: The table to which a wave's state is written for the operator.
        status: Builds the write of a wave's state.
        written_state: Decodes a row with a wave's state.
        waves: Returns the requested waves by number.
        cluster_state: The owner's in-memory state.
        holder: The holder name that the owner sends with its orders.
        epoch: Returns the owner's epoch.
        may_order: Returns whether the owner may send orders at this moment.
        stop_soon: Makes the worker links send the stops due in the cluster state.
        clock: The owner's clock.
        runs: The waves seen so far, by number.
    """

    client: MachineClient
    writer: Table
    status: Callable[[int, str], Put]
    written_state: Callable[[Row], str]
    waves: Callable[[], dict[int, Wave]]
    cluster_state: ClusterState
    holder: str
    epoch: Callable[[], int]
    may_order: Callable[[], bool]
    stop_soon: Callable[[], None]
    clock: Clock
    runs: dict[int, WaveRun] = attrs.field(factory=dict)
    _machines: dict[str, Machine] = attrs.field(factory=dict)
    _listed_at: float = float("-inf")
    _is_away: bool = False

    async def run(self) -> None:
        """Process waves until cancelled."""
        began = self.clock.now()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._register_waves()
            open_runs = [
                run for run in self.runs.values() if run.written_state != COMPLETED
            ]
            if not open_runs or self.clock.now() - began < SETTLE_S:
                continue
            try:
                for run in open_runs:
                    if not run.restored:
                        await self._restore(run)
                await self._refresh_machines()
                for run in open_runs:
                    if run.written_state != COMPLETED:
                        await self._advance_wave(run)
                self._is_away = False
            except MachinesUnavailable as exc:
                if not self._is_away:
                    LOG.info("The platform's machine API is unavailable: %s", exc)
                self._is_away = True
                await asyncio.sleep(LIST_INTERVAL_S)
            except errors.TableUnavailable as exc:
                LOG.info("The state of an upkeep wave could not be written: %s", exc)

    def _register_waves(self) -> None:
        for number, wave in self.waves().items():
            if number not in self.runs:
                emit(events.WaveSeen(wave=number, machines=len(wave.machines)))
                self.runs[number] = WaveRun(wave=wave, seen_at=self.clock.now())

    async def _restore(self, run: WaveRun) -> None:
        """Read how far earlier owners came with a wave."""
        number = run.wave.number
        status_key = self.status(number, RUNNING).key
        found = await self.writer.read(keys=(status_key, _record_key(number)))
        for row in found:
            try:
                if row.key == status_key:
                    run.written_state = self.written_state(row)
                else:
                    record = codec.decode(row.value, WaveRecord, place=row.key)
                    run.restore(
                        record, self.clock.now(), self.cluster_state.time_of_day()
                    )
            except errors.FindingsError as exc:
                # It is written again, as if there were none.
                emit(events.RowUnreadable(findings=str(exc)))
        run.restored = True
        if run.written_state == COMPLETED and run.recorded is not None:
            await self._delete_record(run)
        if found:
            emit(
                events.WaveResumed(
                    wave=number,
                    state=run.written_state,
                    begun=len(run.begun),
                    after_s=round(self.clock.now() - run.seen_at, 3),
                )
            )

    async def _refresh_machines(self) -> None:
        if self.clock.now() - self._listed_at < LIST_INTERVAL_S:
            return
        found = await self.client.machines()
        self._listed_at = self.clock.now()
        self._machines = {each.name: each for each in found}

    async def _advance_wave(self, run: WaveRun) -> None:
        if not self.may_order():
            # A late write must not replace what a successor has written.
            return
        if not run.written_state:
            await self._write_status(run, RUNNING)
        await self._write_record(run)
        now = self.clock.now()
        for name in run.already_down(self._machines, self.cluster_state.fleet, now):
            await self._start_upkeep(run, self._machines[name], None)
        run.select_machines(self._machines, self.cluster_state.fleet, now)
        for name in sorted(run.draining):
            self._renew_holds(run)
            await self._drain_machine(run, self._machines[name], now)
        if run.is_complete(self._machines):
            await self._write_status(run, COMPLETED)
            await self._delete_record(run)
        else:
            await self._write_record(run)

    async def _drain_machine(self, run: WaveRun, machine: Machine, now: float) -> None:
        worker = self._worker_on(machine.name)
        if worker is not None and self._evacuate(worker):
            run.progress_at[machine.name] = now
        wait_s = run.wait_s(now, self._machines)
        if worker is not None and not may_begin_upkeep(worker, wait_s):
            self._report_obstacle(run, machine, obstacle(worker))
        elif self.may_order():
            await self._start_upkeep(run, machine, worker)
        now = self.clock.now()
        if worker is not None and run.is_blocked(machine.name, worker, now):
            worker.release(now)
            run.postpone(machine.name, now + POSTPONED_S)

    def _report_obstacle(self, run: WaveRun, machine: Machine, what: str) -> None:
        """Log what a machine's upkeep waits for, once for each change of it."""
        if run.note_obstacle(machine.name, what):
            emit(
                events.UpkeepWaits(
                    wave=run.wave.number, machine=machine.name, waits_for=what
                )
            )

    def _renew_holds(self, run: WaveRun) -> None:
        """Hold all machines that are being drained; each order may take a second."""
        until = self.clock.now() + HOLD_S
        for name in run.draining:
            worker = self._worker_on(name)
            if worker is not None:
                worker.hold(until)

    def _worker_on(self, machine: str) -> FleetWorker | None:
        listed = self._machines[machine].worker
        return self.cluster_state.fleet.newest.get(listed)

    def _evacuate(self, worker: FleetWorker) -> bool:
        """Stop what is to move now; return whether there was anything."""
        selected = placements_to_move(worker, self.cluster_state.fleet)
        for placement in selected:
            self.cluster_state.stop(worker, placement, "upkeep")
        self.stop_soon()
        return bool(selected)

    async def _start_upkeep(
        self, run: WaveRun, machine: Machine, worker: FleetWorker | None
    ) -> None:
        try:
            verdict = await self.client.start_upkeep(
                machine=machine.name,
                wave=run.wave.number,
                holder=self.holder,
                epoch=self.epoch(),
            )
        except MachinesUnavailable:
            # The other machines are ordered all the same: it may be this one's fault.
            run.note_unanswered(machine.name, self.clock.now())
            self._report_obstacle(run, machine, "its order was not answered")
            return
        emit(
            events.UpkeepOrdered(
                wave=run.wave.number, machine=machine.name, verdict=verdict.value
            )
        )
        match verdict:
            case MachineVerdict.ACCEPTED | MachineVerdict.NO_MACHINE:
                # The answer does not tell an upkeep that begins from one that was done
                # already. The hold is not renewed any more, so it ends in either case.
                run.begun.add(machine.name)
                run.draining.discard(machine.name)
                run.unanswered.discard(machine.name)
                self._listed_at = float("-inf")
            case _ if machine.name in run.unanswered:
                # It still counts as unavailable, until the order is accepted.
                self._listed_at = float("-inf")
            case _:
                if worker is not None:
                    worker.release(self.clock.now())
                run.postpone(machine.name, self.clock.now() + REFUSED_PAUSE_S)
                self._report_obstacle(run, machine, f"refused: {verdict.value}")

    async def _write_record(self, run: WaveRun) -> None:
        """Store which machines have begun, for the next owner, where that is new."""
        if run.recorded == frozenset(run.begun):
            return
        ran_s = self.clock.now() - run.seen_at
        record = WaveRecord(
            begun=tuple(sorted(run.begun)),
            seen_s=self.cluster_state.time_of_day() - ran_s,
        )
        key = _record_key(run.wave.number)
        put = Put(key=key, value=codec.encode_text(record))
        await self.writer.commit(Transaction(puts=(put,)))
        run.recorded = frozenset(record.begun)

    async def _delete_record(self, run: WaveRun) -> None:
        key = _record_key(run.wave.number)
        await self.writer.commit(Transaction(deletes=(key,)))

    async def _write_status(self, run: WaveRun, state: str) -> None:
        put = self.status(run.wave.number, state)
        await self.writer.commit(Transaction(puts=(put,)))
        run.written_state = state
        emit(events.WaveStatusWritten(wave=run.wave.number, state=state))


def _record_key(wave: int) -> str:
    return f"upkeep/{wave}"
