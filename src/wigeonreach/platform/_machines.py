"""Ask the platform about VMs and give it orders for them."""

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
_PHASES = MappingProxyType(
    {
        'up': VmPhase.UP,
        'moving': VmPhase.MOVING,
        'upkeep': VmPhase.MAINTAINED,
        'down': VmPhase.DOWN,
    },
)
# Why the platform refuses an order.
_REASONS = MappingProxyType(
    {
        # It has seen a higher fence.
        'fence': OrderResult.FENCED,
        # The VM is not up, or its worker leaves.
        'busy': OrderResult.BUSY,
        # The VM is not of this wave.
        'wave': OrderResult.IMPOSSIBLE,
    },
)
_HOLDER = 'X-Duty-Holder'
_FENCE = 'X-Fencing-Token'


class _Machine(msgspec.Struct, frozen=True):
    """A VM; the platform calls it a machine."""

    machine: str
    pool: str
    state: str
    zone: str = ''
    # The kind of the VM, then its rack.
    labels: tuple[str, ...] = ()
    # Of the worker's incarnation that runs on it.
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
        How many entries were left out.
    next_token
        Where the next page begins, or nothing.
    """

    vms: tuple[VmRecord, ...]
    unreadable: int
    next_token: str


class _Refusal(msgspec.Struct, frozen=True):
    reason: str = ''


_PAGES = msgspec.json.Decoder(_Page)
_MACHINES = msgspec.json.Decoder(_Machine)
_REFUSALS = msgspec.json.Decoder(_Refusal)


class MachinesApi:
    """The platform's calls for VMs.

    Parameters
    ----------
    address
        Of the platform.
    holder
        Name under which this process gives orders.
    logger
        Where failed calls are logged.
    """

    def __init__(self, address: str, holder: str, logger: Logger) -> None:
        """Connect at the first call."""
        self._holder = holder
        self._log = logger
        self._session = PlatformSession(address, _TIMEOUT_S, logger)

    async def list_vms(self) -> tuple[VmRecord, ...] | None:
        """Return all VMs, or None if the platform did not answer."""
        found: list[VmRecord] = []
        unreadable = 0
        tokens = ['']
        while tokens[-1] or len(tokens) == 1:
            page = await self._page(tokens[-1])
            if page is None or page.next_token in tokens[1:]:
                return None
            found.extend(page.vms)
            unreadable += page.unreadable
            tokens.append(page.next_token)
        self._note_unreadable(unreadable, len(found))
        return tuple(found)

    async def maintain(self, vm: str, wave: int, fence: int) -> OrderResult:
        """Maintain a VM for a wave."""
        body: dict[str, object] = {'machine': vm, 'wave': wave}
        return await self._order('/machine-upkeep', body, fence)

    async def move(self, vm: str, pool: str, fence: int) -> OrderResult:
        """Give a VM to another pool."""
        body: dict[str, object] = {'machine': vm, 'pool': pool}
        return await self._order('/machine-move', body, fence)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    def _note_unreadable(self, unreadable: int, sound: int) -> None:
        if unreadable:
            self._log.warning(
                LogEvent.ENTRIES_SKIPPED,
                call='/machines',
                unreadable=unreadable,
                sound=sound,
            )

    async def _page(self, token: str) -> VmPage | None:
        query = f'?pageToken={token}' if token else ''
        return await self._session.get(f'/machines{query}', decode_page)

    async def _order(
        self,
        path: str,
        body: dict[str, object],
        fence: int,
    ) -> OrderResult:
        headers = {_HOLDER: self._holder, _FENCE: str(fence)}
        result = await self._session.post(path, _result, body, headers)
        return result or OrderResult.UNKNOWN


def decode_page(status: int, body: bytes) -> VmPage:
    """Return the VMs of a page that can be read.

    Raises
    ------
    PlatformError
        If the platform refused to answer.
    UnreadableBodyError
        If its answer can't be read.
    """
    expect_ok(status)
    page = decode_body(_PAGES, body)
    machines = decode_entries(_MACHINES, page.machines)
    return VmPage(
        tuple(map(_record, machines.sound)),
        machines.unreadable,
        page.next_token or '',
    )


def _result(status: int, body: bytes) -> OrderResult:
    if status == 200:
        return OrderResult.DONE
    if status == 400:
        return OrderResult.IMPOSSIBLE
    if status == 409:
        reason = decode_body(_REFUSALS, body).reason
        return _REASONS.get(reason, OrderResult.BUSY)
    return OrderResult.UNKNOWN


def _record(machine: _Machine) -> VmRecord:
    return VmRecord(
        vm=machine.machine,
        pool=machine.pool,
        phase=_PHASES.get(machine.state, VmPhase.DOWN),
        zone=machine.zone,
        rack=rack_of(machine.labels),
        labels=machine.labels,
        worker=machine.id or '',
    )
