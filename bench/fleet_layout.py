"""Define the fleets of two users over zones, racks and pools."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType

from wigeonreach.fleet import (
    BufferSize,
    BufferWay,
    FleetShape,
    Vm,
    pool_needs,
    size_buffer,
)
from wigeonreach.text import FailureDomain, FleetText, parse_fleet_text

SPARE_POOL = 'spare'


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """One user's services and the shape of its fleet."""

    name: str
    shape: FleetShape
    promised_slots: Mapping[str, int]
    deferrable_ratio: Mapping[str, float]

    def text(
        self,
        pools: Mapping[str, list[str]] | None = None,
        more_slots: Mapping[str, int] | None = None,
    ) -> FleetText:
        """Return the text of the fleet.

        Parameters
        ----------
        pools
            Names of VMs by pool.
        more_slots
            Additional promised slots by service.
        """
        lines = [f'[fleet]\nname = "{self.name}"\nguard = ["zone"]']
        more = more_slots or {}
        for name, slots in self.promised_slots.items():
            vms = (pools or {}).get(name, [f'{name}-any'])
            ratio = self.deferrable_ratio.get(name, 0)
            lines.extend(
                (
                    f'[pools.{name}]\nvms = {vms}',
                    f'[services.{name}]\npool = "{name}"',
                    f'promised_slots = {slots + more.get(name, 0)}',
                    f'deferrable_ratio = {ratio}',
                ),
            )
        lines.append(f'[pools.{SPARE_POOL}]')
        return parse_fleet_text('\n'.join(lines))

    def size(self, way: BufferWay) -> BufferSize:
        """Return the size of the fleet under a buffer strategy."""
        needs = pool_needs(self.text()).values()
        return size_buffer(way, needs, self.shape)

    def vms(self, size: BufferSize) -> list[Vm]:
        """Return the VMs of a size, spread evenly over the zones."""
        pools = [
            pool for pool, vms in size.pool_vms.items() for _ in range(vms)
        ]
        pools.extend(SPARE_POOL for _ in range(size.reserve_vms))
        return [self._vm(number, pool) for number, pool in enumerate(pools)]

    def _vm(self, number: int, pool: str) -> Vm:
        in_zone = number // self.shape.zones
        return Vm(
            name=f'vm-{number:02}',
            zone='abcdef'[number % self.shape.zones],
            rack=f'r{in_zone // self.shape.rack_vms}',
            pool=pool,
            slots=self.shape.vm_slots,
        )


UWANJA = User(
    name='uwanja',
    shape=FleetShape(4, 4, 8, FailureDomain.ZONE),
    promised_slots=MappingProxyType(
        {'north': 56, 'south': 56, 'east': 48, 'west': 48, 'admin': 32},
    ),
    deferrable_ratio=MappingProxyType({}),
)
TONG_DAI = User(
    name='tong-dai',
    shape=FleetShape(3, 4, 8, FailureDomain.ZONE),
    promised_slots=MappingProxyType(
        {
            'voicemail': 40,
            'billing': 32,
            'recording': 40,
            'records': 24,
            'portal': 24,
        },
    ),
    # Transcripts and the nightly summaries can wait.
    deferrable_ratio=MappingProxyType({'voicemail': 0.25, 'billing': 0.25}),
)
USERS = (UWANJA, TONG_DAI)
