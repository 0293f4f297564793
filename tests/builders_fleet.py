"""Builders of VMs, inventories and fleet texts for tests."""

from __future__ import annotations

import dataclasses
from typing import Any

from wigeonreach.fleet import Inventory, Vm
from wigeonreach.text import FleetText, parse_fleet_text

ZONES = ('a', 'b', 'c')
FLEET_TEXT = """
[fleet]
name = "sample"
guard = ["zone"]

[pools.desk]
vms = ["a0", "b0", "c0", "a1", "b1", "c1"]

[pools.spare]
vms = ["a2", "b2", "c2"]

[services.desk]
pool = "desk"
promised_slots = 40

[services.desk.budget]
missing_ratio = 0.5
"""

_VM = Vm(name='a0', zone='a', rack='r0', pool='desk')


def build_vm(**changes: Any) -> Vm:
    """Return a serving VM with some fields changed."""
    return dataclasses.replace(_VM, **changes)


def build_inventory(text: FleetText) -> Inventory:
    """Return the VMs of a text; the first letter of a name is the zone."""
    return Inventory(
        build_vm(name=name, zone=name[0], pool=pool.name)
        for pool in text.pools.values()
        for name in pool.vms
    )


def build_fleet_text(source: str = FLEET_TEXT) -> FleetText:
    """Return a parsed text, by default of a fleet of three zones."""
    return parse_fleet_text(source)
