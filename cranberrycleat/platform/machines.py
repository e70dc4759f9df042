"""Client of the platform's machine API, and its rows for upkeep waves."""

from typing import Any, Final

import attrs
import msgspec

from cranberrycleat import codec
from cranberrycleat.http_client import HttpClient, HttpReply, NoAnswer
from cranberrycleat.table import Put, Row
from cranberrycleat.workflow.upkeep import (
    Machine,
    MachineState,
    MachinesUnavailable,
    MachineVerdict,
    Wave,
)

TIMEOUT_S: Final = 1.0
OK: Final = 200
WAVE_PREFIX: Final = "op/wave/"
REASONS: Final = {
    "fence": MachineVerdict.STALE_EPOCH,
    "busy": MachineVerdict.BUSY,
    "wave": MachineVerdict.NOT_OF_WAVE,
}
VERDICTS: Final = {
    200: MachineVerdict.ACCEPTED,
    400: MachineVerdict.NO_MACHINE,
    429: MachineVerdict.TOO_MANY_CALLS,
}


@attrs.frozen(kw_only=True)
class _WireMachine:
    machine: str
    pool: str = ""
    state: str = "up"
    id: str | None = None


@attrs.frozen(kw_only=True)
class _WirePage:
    machines: tuple[_WireMachine, ...] = ()
    next_token: str | int | None = None


@attrs.frozen(kw_only=True)
class _WireReason:
    reason: str = ""


@attrs.frozen(kw_only=True)
class _WireWave:
    wave: int
    machines: tuple[str, ...] = ()
    complete_by_s: float = 0.0
    cap: int = 1


@attrs.frozen(kw_only=True)
class _WireStatus:
    wave: int
    state: str


@attrs.define(kw_only=True, eq=False)
class PlatformMachines:
    """Machine API over HTTP.

    Attributes:
        address: IP and port; empty if the platform has no machine API.
        http: The process's HTTP client.
    """

    address: str
    http: HttpClient

    async def machines(self) -> tuple[Machine, ...]:
        """Return every machine, page by page."""
        found: list[Machine] = []
        params: dict[str, str] = {}
        while True:
            reply = await self._call("GET", "/api/machines", params=params)
            if reply.status != OK:
                raise MachinesUnavailable(f"status {reply.status}")
            page = _decode(reply, _WirePage)
            try:
                found += [_machine(each) for each in page.machines]
            except ValueError as exc:
                raise MachinesUnavailable(f"invalid machine state: {exc}") from exc
            if page.next_token is None:
                return tuple(found)
            params = {"page_token": str(page.next_token)}

    async def start_upkeep(
        self, *, machine: str, wave: int, holder: str, epoch: int
    ) -> MachineVerdict:
        """Begin a machine's upkeep."""
        body = {"machine": machine, "wave": wave}
        return await self._order("/api/machine-upkeep", body, holder, epoch)

    async def move(
        self, *, machine: str, pool: str, holder: str, epoch: int
    ) -> MachineVerdict:
        """Move a machine to another pool."""
        body = {"machine": machine, "pool": pool}
        return await self._order("/api/machine-move", body, holder, epoch)

    async def _order(
        self, path: str, body: object, holder: str, epoch: int
    ) -> MachineVerdict:
        headers = {"Lease-Holder": holder, "Fencing-Token": str(epoch)}
        reply = await self._call("POST", path, body=codec.encode(body), headers=headers)
        if reply.status in VERDICTS:
            return VERDICTS[reply.status]
        reason = _decode(reply, _WireReason).reason
        if reason not in REASONS:
            raise MachinesUnavailable(f"status {reply.status} {reason}")
        return REASONS[reason]

    async def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        params: dict[str, str] | None = None,
    ) -> HttpReply:
        try:
            return await self.http.call(
                method,
                f"http://{self.address}{path}",
                body=body,
                headers=headers,
                params=params,
                timeout_s=TIMEOUT_S,
            )
        except NoAnswer as exc:
            raise MachinesUnavailable(str(exc)) from exc


def _machine(wire: _WireMachine) -> Machine:
    return Machine(
        name=wire.machine,
        pool=wire.pool,
        state=MachineState(wire.state),
        worker=wire.id or "",
    )


def _decode(reply: HttpReply, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(reply.body or b"{}", type=kind)
    except codec.UNDECODABLE as exc:
        raise MachinesUnavailable(str(exc)) from exc


def read_wave(row: Row) -> Wave | None:
    """Return the wave in an operator's row; None if the row is not a wave.

    Raises:
        FindingsError: The row does not have the platform's format.
    """
    if not row.key.startswith(WAVE_PREFIX):
        return None
    wire = codec.decode(row.value, _WireWave, place=row.key)
    return Wave(
        number=wire.wave,
        machines=wire.machines,
        due_in_s=wire.complete_by_s,
        cap=wire.cap,
    )


def wave_status(number: int, state: str) -> Put:
    """Return the write that reports a wave's state to the operator."""
    status = _WireStatus(wave=number, state=state)
    return Put(key=f"status/wave/{number}", value=codec.encode_text(status))


def wave_state(row: Row) -> str:
    """Return the state in a row written by `wave_status`.

    Raises:
        FindingsError: The row does not have that format.
    """
    return codec.decode(row.value, _WireStatus, place=row.key).state
