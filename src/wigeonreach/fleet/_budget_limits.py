"""Work out how much may be down at once, and what can't be kept at all."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Iterator

from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import PoolNeed, Vm, VmState, pool_needs
from wigeonreach.text import FailureDomain, FleetText


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """A promise that the VMs can't keep.

    Attributes
    ----------
    pool
        Empty for the fleet as a whole.
    lost
        Failure domain whose loss breaks it; None if it is broken with every
        VM up.
    have_slots, need_slots
        What is left and what must be left.
    """

    pool: str
    lost: FailureDomain | None
    have_slots: float
    need_slots: float

    @property
    def missing_slots(self) -> float:
        """How many slots are too few."""
        return self.need_slots - self.have_slots


def find_shortfalls(text: FleetText, vms: Iterable[Vm]) -> Iterator[Shortfall]:
    """Yield the promises that could not be kept even with every VM up.

    Parameters
    ----------
    text
        A checked text.
    vms
        The VMs that it would have.
    """
    limits = list(_limits(text, vms))
    yield from (limit for limit in limits if limit.missing_slots > 0)


def spare_slots(text: FleetText, vms: Iterable[Vm]) -> int:
    """Return how many slots own actions may hold down at once.

    This is what is left of the fleet's spare while the largest guarded
    domain can be lost at any time.  Each pool has limits of its own too.

    Parameters
    ----------
    text
        The checked text in force.
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
    """Return how many slots of a pool own actions may hold down at once.

    This is what zones share as their parts.  VMs that own actions hold down
    already count as part of it.  Linear in the VMs of the pool.

    Parameters
    ----------
    need
        What the pool must keep.
    inventory
        The VMs.
    """
    guard = need.guard or FailureDomain.VM
    present: collections.Counter[str] = collections.Counter()
    for vm in inventory.members(need.pool):
        if vm.is_up or vm.is_maintained:
            present[vm.domain(guard)] += vm.slots
    largest = max(present.values(), default=0) if need.guard else 0
    return max(int(present.total() - largest - need.least_slots), 0)


def _limits(text: FleetText, vms: Iterable[Vm]) -> Iterator[Shortfall]:
    needs = pool_needs(text)
    managed = [need for need in needs.values() if not need.is_watched]
    inventory = Inventory(
        (dataclasses.replace(vm, state=VmState.SERVING) for vm in vms),
        watched_pools=needs.keys() - {need.pool for need in managed},
    )
    for need in managed:
        yield from _pool_limits(need, inventory)
    up = inventory.fleet_up(FailureDomain.ZONE).total_slots
    yield Shortfall('', None, up, sum(need.slots for need in managed))
    for kind in FailureDomain:
        guarded = [need for need in managed if need.guards(kind)]
        if guarded:
            left = up - inventory.fleet_up(kind).peak()
            promised = sum(
                need.slots - need.deferrable_slots for need in guarded
            )
            yield Shortfall('', kind, left, promised)


def _pool_limits(need: PoolNeed, inventory: Inventory) -> Iterator[Shortfall]:
    up = inventory.up_slots(need.pool)
    yield Shortfall(need.pool, None, up, need.slots)
    if need.guard is not None:
        left = up - inventory.up(need.pool, need.guard).peak()
        yield Shortfall(need.pool, need.guard, left, need.least_slots)
