"""Tell whether one VM in exchange for another keeps a pool guarded."""

from __future__ import annotations

from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import PoolNeed, Vm
from wigeonreach.text import FailureDomain


def frees(
    inventory: Inventory,
    need: PoolNeed,
    gained: Vm,
    zone: str,
) -> bool:
    """Return whether a pool that gains a VM can spare one of a zone.

    Parameters
    ----------
    inventory
        The VMs.
    need
        What the pool must keep.
    gained
        A VM of another pool.
    zone
        Where the VM of this pool stands that would go down or leave.
    """
    counts = inventory.up(need.pool, FailureDomain.ZONE)
    if not counts.slots(zone):
        return False
    # VMs of a fleet are taken to be of one size here.
    up_slots = counts.total_slots
    if up_slots < need.slots:
        return False
    if need.guard is not FailureDomain.ZONE:
        return True
    peak = counts.peak()
    if gained.zone != zone:
        in_zone = counts.slots(gained.zone) + gained.slots
        peak = max(counts.peak(zone, gained.slots), in_zone)
    return up_slots - peak >= need.least_slots
