"""Compute how many slots may be down and which promises are infeasible."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Iterator

from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import PoolNeed, Vm, VmState, pool_needs
from wigeonreach.text import FailureDomain, FleetText


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """A promise compared with the capacity available for it.

    Attributes
    ----------
    pool
        Name of the pool, or empty for the fleet as a whole.
    lost
        Kind of failure domain assumed to be lost; None if every VM is up.
    have_slots, need_slots
        Slots that remain and slots that are required.
    """

    pool: str
    lost: FailureDomain | None
    have_slots: float
    need_slots: float

    @property
    def missing_slots(self) -> float:
        """Number of missing slots; negative if there are slots to spare."""
        return self.need_slots - self.have_slots


def find_shortfalls(text: FleetText, vms: Iterable[Vm]) -> Iterator[Shortfall]:
    """Yield the promises that the fleet can't keep even when fully up.

    Parameters
    ----------
    text
        A validated configuration text.
    vms
        The VMs of the fleet under this text.
    """
    limits = list(_limits(text, vms))
    yield from (limit for limit in limits if limit.missing_slots > 0)


def spare_slots(text: FleetText, vms: Iterable[Vm]) -> int:
    """Return how many slots of the fleet may be under maintenance at once.

    This is the fleet's spare capacity that remains after reserving for the
    loss of the largest guarded domain.  Each pool has its own limits too.

    Parameters
    ----------
    text
        The validated configuration text in force.
    vms
        The VMs of the fleet, whatever their state.
    """
    spare = min(
        (
            -limit.missing_slots
            for limit in _limits(text, vms)
            if not limit.pool
        ),
        default=0,
    )
    return max(int(spare), 0)


def pool_part_slots(need: PoolNeed, inventory: Inventory) -> int:
    """Return how many slots of a pool may be under maintenance at once.

    This is the total that zones share as their parts, including VMs that are
    already under maintenance.  Linear in the number of VMs of the pool.

    Parameters
    ----------
    need
        Requirements of the pool.
    inventory
        The VMs of the fleet.
    """
    guard = need.guard or FailureDomain.VM
    present: collections.Counter[str] = collections.Counter()
    for vm in inventory.vms_in_pool(need.pool):
        if vm.is_up or vm.is_maintained:
            present[vm.domain(guard)] += vm.slots
    largest = max(present.values(), default=0) if need.guard else 0
    return max(int(present.total() - largest - need.min_slots), 0)


def _limits(text: FleetText, vms: Iterable[Vm]) -> Iterator[Shortfall]:
    needs = pool_needs(text)
    managed = [need for need in needs.values() if not need.is_watched]
    inventory = Inventory(
        (dataclasses.replace(vm, state=VmState.SERVING) for vm in vms),
        watched_pools=needs.keys() - {need.pool for need in managed},
    )
    for need in managed:
        yield from _pool_limits(need, inventory)
    up = inventory.fleet_up_by_domain(FailureDomain.ZONE).total_slots
    yield Shortfall('', None, up, sum(need.slots for need in managed))
    for kind in FailureDomain:
        guarded = [need for need in managed if need.guards(kind)]
        if guarded:
            left = up - inventory.fleet_up_by_domain(kind).peak()
            promised = sum(
                need.slots - need.deferrable_slots for need in guarded
            )
            yield Shortfall('', kind, left, promised)


def _pool_limits(need: PoolNeed, inventory: Inventory) -> Iterator[Shortfall]:
    up = inventory.up_slots(need.pool)
    yield Shortfall(need.pool, None, up, need.slots)
    if need.guard is not None:
        left = up - inventory.up_by_domain(need.pool, need.guard).peak()
        yield Shortfall(need.pool, need.guard, left, need.min_slots)
