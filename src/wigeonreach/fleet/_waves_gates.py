"""Limit what a wave may drain, besides the budgets of the fleet."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from wigeonreach.fleet._budget import ALLOWED, Refusal, Verdict
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import Vm


class Gate(Protocol):
    """One more limit on what may go down."""

    def judge(self, vm: Vm, now_s: float, expected_s: float) -> Verdict:
        """Decide whether a VM may go down now."""


@dataclasses.dataclass(slots=True)
class ZonePartGate:
    """Keep a zone within its own parts of the budgets, also when cut off.

    Attributes
    ----------
    zone
        The zone that plans for itself; other zones' VMs are refused.
    part_slots
        Its part of each pool by the newest offer; no part means none.
    """

    inventory: Inventory
    zone: str
    part_slots: dict[str, int] = dataclasses.field(default_factory=dict)

    def judge(self, vm: Vm, now_s: float, expected_s: float) -> Verdict:
        """Decide whether a VM fits into the part of the zone."""
        part = 0
        if vm.zone == self.zone:
            part = self.part_slots.get(vm.pool, 0)
        held = self.inventory.maintained_slots(vm.pool, vm.zone) + vm.slots
        if held <= part:
            return ALLOWED
        return Verdict(Refusal.ZONE_PART, vm.pool, part, held)
