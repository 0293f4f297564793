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
    """Keep a zone within its own part of the budget, also when cut off.

    Attributes
    ----------
    part_slots
        The part by the newest offer, by zone; a zone without one has none.
    """

    inventory: Inventory
    part_slots: dict[str, int]

    def judge(self, vm: Vm, now_s: float, expected_s: float) -> Verdict:
        """Decide whether the VM fits into the part of its zone."""
        part = self.part_slots.get(vm.zone, 0)
        held = self.inventory.maintained_slots(vm.zone) + vm.slots
        if held <= part:
            return ALLOWED
        return Verdict(Refusal.ZONE_PART, vm.zone, part - held, 0)
