"""Client of the platform's API for VMs: lists them and orders changes."""

from __future__ import annotations

import dataclasses

from types import MappingProxyType

import msgspec

from wigeonreach.observe import LogEvent, Logger
from wigeonreach.platform._bodies import decode_body, decode_entries
from wigeonreach.platform._session import PlatformSession, expect_ok
from wigeonreach.platform._workers import rack_of
from wigeonreach.scheduling._vms import OrderResult, VmPhase, VmRecord

_TIMEOUT_S = 2.0
_PHASE_BY_STATE = MappingProxyType(
    {
        'up': VmPhase.UP,
        'moving': VmPhase.MOVING,
        'upkeep': VmPhase.MAINTAINED,
        'down': VmPhase.DOWN,
    },
)
# Result for each reason for which the platform refuses an order.
_RESULT_BY_REASON = MappingProxyType(
    {
        # The platform has seen a higher fencing token.
        'fence': OrderResult.FENCED,
        # The VM is not up, or its worker is shutting down.
        'busy': OrderResult.BUSY,
        # The VM is not part of this wave.
        'wave': OrderResult.IMPOSSIBLE,
    },
)
_HOLDER_HEADER = 'X-Duty-Holder'
_FENCE_HEADER = 'X-Fencing-Token'


class _Machine(msgspec.Struct, frozen=True):
    """A VM, which the platform calls a machine."""

    machine: str
    pool: str
    state: str
    zone: str = ''
    # The kind of the VM, then its rack.
    labels: tuple[str, ...] = ()
    # Id of the worker incarnation that runs on the VM.
    id: str | None = None  # noqa: WPS125 - the platform's name


class _Page(msgspec.Struct, frozen=True, rename='camel'):
    machines: tuple[msgspec.Raw, ...]
    next_token: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class VmPage:
    """One page of the platform's list of VMs.

    Attributes
    ----------
    unreadable
        Number of entries that could not be decoded.
    next_token
        Token for requesting the next page; empty on the last page.
    """

    vms: tuple[VmRecord, ...]
    unreadable: int
    next_token: str


class _Refusal(msgspec.Struct, frozen=True):
    reason: str = ''


_PAGE_DECODER = msgspec.json.Decoder(_Page)
_MACHINE_DECODER = msgspec.json.Decoder(_Machine)
_REFUSAL_DECODER = msgspec.json.Decoder(_Refusal)


class MachinesClient:
    """HTTP client of the platform's API for VMs.

    Parameters
    ----------
    address
        Address of the API.
    holder
        Name of this process, sent with each order.
    logger
        Logs failed calls and skipped entries.
    """

    def __init__(self, address: str, holder: str, logger: Logger) -> None:
        """Create a client that connects on its first call."""
        self._holder = holder
        self._log = logger
        self._session = PlatformSession(address, _TIMEOUT_S, logger)

    async def list_vms(self) -> tuple[VmRecord, ...] | None:
        """Return all VMs, or None if a page is missing or tokens repeat."""
        vms: list[VmRecord] = []
        unreadable = 0
        tokens = ['']
        while tokens[-1] or len(tokens) == 1:
            page = await self._fetch_page(tokens[-1])
            if page is None or page.next_token in tokens[1:]:
                return None
            vms.extend(page.vms)
            unreadable += page.unreadable
            tokens.append(page.next_token)
        self._log_unreadable(unreadable, len(vms))
        return tuple(vms)

    async def maintain(self, vm: str, wave: int, fence: int) -> OrderResult:
        """Order maintenance of a VM as part of a wave.

        Parameters
        ----------
        vm
            Name of the VM.
        wave
            Number of the wave.
        fence
            Fencing token of this process.
        """
        body: dict[str, object] = {'machine': vm, 'wave': wave}
        return await self._send_order('/machine-upkeep', body, fence)

    async def move(self, vm: str, pool: str, fence: int) -> OrderResult:
        """Order the move of a VM to another pool.

        Parameters
        ----------
        vm
            Name of the VM.
        pool
            Pool that the VM moves to.
        fence
            Fencing token of this process.
        """
        body: dict[str, object] = {'machine': vm, 'pool': pool}
        return await self._send_order('/machine-move', body, fence)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    def _log_unreadable(self, unreadable: int, readable: int) -> None:
        if unreadable:
            self._log.warning(
                LogEvent.ENTRIES_SKIPPED,
                call='/machines',
                unreadable=unreadable,
                sound=readable,
            )

    async def _fetch_page(self, token: str) -> VmPage | None:
        query = f'?pageToken={token}' if token else ''
        return await self._session.get(f'/machines{query}', decode_page)

    async def _send_order(
        self,
        path: str,
        body: dict[str, object],
        fence: int,
    ) -> OrderResult:
        headers = {_HOLDER_HEADER: self._holder, _FENCE_HEADER: str(fence)}
        result = await self._session.post(path, _order_result, body, headers)
        return result or OrderResult.UNKNOWN


def decode_page(status: int, body: bytes) -> VmPage:
    """Decode a page, skipping entries that can't be decoded.

    Parameters
    ----------
    status, body
        HTTP status and body of the platform's response.

    Raises
    ------
    PlatformError
        If the platform rejected the request.
    UnreadableBodyError
        If the body as a whole can't be decoded.
    """
    expect_ok(status)
    page = decode_body(_PAGE_DECODER, body)
    machines = decode_entries(_MACHINE_DECODER, page.machines)
    return VmPage(
        tuple(map(_vm_record, machines.readable)),
        machines.unreadable,
        page.next_token or '',
    )


def _order_result(status: int, body: bytes) -> OrderResult:
    if status == 200:
        return OrderResult.DONE
    if status == 400:
        return OrderResult.IMPOSSIBLE
    if status == 409:
        reason = decode_body(_REFUSAL_DECODER, body).reason
        # An unknown reason counts as busy: the order may be sent again.
        return _RESULT_BY_REASON.get(reason, OrderResult.BUSY)
    return OrderResult.UNKNOWN


def _vm_record(machine: _Machine) -> VmRecord:
    return VmRecord(
        vm=machine.machine,
        pool=machine.pool,
        # A VM in an unknown state counts as down.
        phase=_PHASE_BY_STATE.get(machine.state, VmPhase.DOWN),
        zone=machine.zone,
        rack=rack_of(machine.labels),
        labels=machine.labels,
        worker=machine.id or '',
    )
