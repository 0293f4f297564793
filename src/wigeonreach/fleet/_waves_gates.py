"""Additional limits on the VMs that a wave may drain."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from wigeonreach.fleet._budget import ALLOWED, Decision, Refusal
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import Vm


class Gate(Protocol):
    """Limit on the VMs that may be taken down."""

    def check_drain(self, vm: Vm, now_s: float, expected_s: float) -> Decision:
        """Check whether a VM may be taken down now."""


@dataclasses.dataclass(slots=True)
class ZonePartGate:
    """Limits a zone to its parts of the budgets, even while partitioned.

    Attributes
    ----------
    inventory
        The VMs of the fleet.
    zone
        The zone that plans on its own; VMs of other zones are refused.
    part_slots
        Slots by pool that the zone may take down, from the newest offer; zero
        for pools that are left out.
    """

    inventory: Inventory
    zone: str
    part_slots: dict[str, int] = dataclasses.field(default_factory=dict)

    def check_drain(self, vm: Vm, now_s: float, expected_s: float) -> Decision:
        """Check whether taking a VM down stays within the zone's part."""
        part = 0
        if vm.zone == self.zone:
            part = self.part_slots.get(vm.pool, 0)
        used = self.inventory.maintained_slots(vm.pool, vm.zone) + vm.slots
        if used <= part:
            return ALLOWED
        return Decision(Refusal.ZONE_PART, vm.pool, part, used)
