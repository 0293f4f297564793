"""Check whether a pool stays guarded when it exchanges one VM for another."""

from __future__ import annotations

from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import PoolNeed, Vm
from wigeonreach.text import FailureDomain


def frees_vm_in_zone(
    inventory: Inventory,
    need: PoolNeed,
    gained: Vm,
    zone: str,
) -> bool:
    """Return whether a pool that gains a VM can spare one of a zone.

    Parameters
    ----------
    inventory
        The VMs of the fleet.
    need
        Requirements of the pool.
    gained
        A VM of another pool.
    zone
        Zone of the VM of this pool that would be taken down or leave.
    """
    counts = inventory.up_by_domain(need.pool, FailureDomain.ZONE)
    if not counts.slots(zone):
        return False
    # Assumes that all VMs of the fleet have the same number of slots.
    up_slots = counts.total_slots
    if up_slots < need.slots:
        return False
    if need.guard is not FailureDomain.ZONE:
        return True
    peak = counts.peak()
    if gained.zone != zone:
        in_zone = counts.slots(gained.zone) + gained.slots
        peak = max(counts.peak(zone, gained.slots), in_zone)
    return up_slots - peak >= need.min_slots
