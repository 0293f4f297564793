"""Ask the platform about VMs and give it orders for them."""

from __future__ import annotations

from types import MappingProxyType

import msgspec

from wigeonreach.observe import Logger
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
    machines: tuple[_Machine, ...]
    next_token: str | None = None


class _Refusal(msgspec.Struct, frozen=True):
    reason: str = ''


_PAGES = msgspec.json.Decoder(_Page)
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
        self._session = PlatformSession(address, _TIMEOUT_S, logger)

    async def list_vms(self) -> tuple[VmRecord, ...] | None:
        """Return all VMs, or None if the platform did not answer."""
        found: list[VmRecord] = []
        token: str | None = ''
        while token is not None:
            page = await self._page(token)
            if page is None:
                return None
            found.extend(_record(machine) for machine in page.machines)
            token = page.next_token or None
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

    async def _page(self, token: str) -> _Page | None:
        query = f'?pageToken={token}' if token else ''
        return await self._session.get(f'/machines{query}', _decode_page)

    async def _order(
        self,
        path: str,
        body: dict[str, object],
        fence: int,
    ) -> OrderResult:
        headers = {_HOLDER: self._holder, _FENCE: str(fence)}
        result = await self._session.post(path, _result, body, headers)
        return result or OrderResult.UNKNOWN


def _decode_page(status: int, body: bytes) -> _Page:
    expect_ok(status)
    return _PAGES.decode(body)


def _result(status: int, body: bytes) -> OrderResult:
    if status == 200:
        return OrderResult.DONE
    if status == 400:
        return OrderResult.IMPOSSIBLE
    if status == 409:
        reason = _REFUSALS.decode(body).reason
        return _REASONS.get(reason, OrderResult.BUSY)
    return OrderResult.UNKNOWN


def _record(machine: _Machine) -> VmRecord:
    return VmRecord(
        vm=machine.machine,
        pool=machine.pool,
        phase=_PHASES.get(machine.state, VmPhase.DOWN),
        zone=machine.zone,
        rack=rack_of(machine.labels),
        worker=machine.id or '',
    )
