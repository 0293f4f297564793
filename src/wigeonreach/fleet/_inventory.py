"""Inventory of the VMs of a fleet, with incrementally updated counts."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Collection, Iterable, Iterator

from wigeonreach.fleet._model import Vm
from wigeonreach.fleet._peaks import PeakCounts
from wigeonreach.text import FailureDomain

_ALL_POOLS = ''


class Inventory:
    """The known VMs, owned by a single task.

    Adding a VM takes logarithmic time and updates every count, so that no
    decision iterates over the fleet.

    Parameters
    ----------
    vms
        Initial VMs.
    watched_pools
        Pools that this system only observes.  Their VMs are excluded from
        the fleet-wide counts, because they can't be lent to another pool.
    """

    def __init__(
        self,
        vms: Iterable[Vm] = (),
        watched_pools: Collection[str] = (),
    ) -> None:
        """Add the initial VMs."""
        self._vms: dict[str, Vm] = {}
        self._watched = frozenset(watched_pools)
        self._up: dict[tuple[str, FailureDomain], PeakCounts] = {}
        self._present = {kind: PeakCounts() for kind in FailureDomain}
        self._maintained_by_zone: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._maintained_by_pool: collections.Counter[str] = (
            collections.Counter()
        )
        self._names_by_pool: dict[str, dict[str, None]] = {}
        for vm in vms:
            self.put(vm)

    def set_watched_pools(self, pools: Collection[str]) -> None:
        """Set the watched pools; linear in the number of VMs on a change."""
        if self._watched == frozenset(pools):
            return
        vms = tuple(self._vms.values())
        for gone in vms:
            self.remove(gone.name)
        self._watched = frozenset(pools)
        for vm in vms:
            self.put(vm)

    def __len__(self) -> int:
        """Return the number of VMs."""
        return len(self._vms)

    def __iter__(self) -> Iterator[Vm]:
        """Iterate over all VMs; linear, so not meant for single decisions."""
        return iter(self._vms.values())

    def put(self, vm: Vm) -> None:
        """Add a VM, or replace the one of the same name."""
        self.remove(vm.name)
        self._vms[vm.name] = vm
        self._names_by_pool.setdefault(vm.pool, {})[vm.name] = None
        self._count(vm, 1)

    def remove(self, name: str) -> None:
        """Remove a VM; unknown names are ignored."""
        before = self._vms.pop(name, None)
        if before is not None:
            self._names_by_pool[before.pool].pop(name)
            self._count(before, -1)

    def find(self, name: str) -> Vm | None:
        """Return a VM by name, or None if it is unknown."""
        return self._vms.get(name)

    def vms_in_pool(self, pool: str) -> Iterator[Vm]:
        """Iterate over the VMs of one pool."""
        for name in self._names_by_pool.get(pool, ()):
            yield self._vms[name]

    def is_watched(self, pool: str) -> bool:
        """Return whether the VMs of a pool must not be drained or moved."""
        return pool in self._watched

    def up_by_domain(self, pool: str, kind: FailureDomain) -> PeakCounts:
        """Return the slots that are up in a pool, by failure domain."""
        return self._up.setdefault((pool, kind), PeakCounts())

    def fleet_up_by_domain(self, kind: FailureDomain) -> PeakCounts:
        """Return the slots that are up in all managed pools, by domain."""
        return self.up_by_domain(_ALL_POOLS, kind)

    def fleet_present_by_domain(self, kind: FailureDomain) -> PeakCounts:
        """Return the slots that are up or under maintenance, by domain."""
        return self._present[kind]

    def up_slots(self, pool: str) -> int:
        """Return the slots that are up in a pool."""
        return self.up_by_domain(pool, FailureDomain.ZONE).total_slots

    def maintained_slots(self, pool: str, zone: str) -> int:
        """Return the slots of a pool under maintenance in one zone."""
        return self._maintained_by_zone[pool, zone]

    def pool_maintained_slots(self, pool: str) -> int:
        """Return the slots of a pool under maintenance in all zones."""
        return self._maintained_by_pool[pool]

    def _count(self, vm: Vm, sign: int) -> None:
        slots = sign * vm.slots
        if vm.is_maintained:
            self._maintained_by_zone[vm.pool, vm.zone] += slots
            self._maintained_by_pool[vm.pool] += slots
        groups = [self.up_by_domain(vm.pool, kind) for kind in FailureDomain]
        if not self.is_watched(vm.pool):
            groups.extend(
                self.fleet_up_by_domain(kind) for kind in FailureDomain
            )
        if vm.is_up:
            _add_slots(groups, vm, slots)
        if not self.is_watched(vm.pool) and (vm.is_up or vm.is_maintained):
            _add_slots(self._present.values(), vm, slots)


def _add_slots(groups: Iterable[PeakCounts], vm: Vm, slots: int) -> None:
    # The groups follow the order of FailureDomain, once or twice.
    kinds = itertools.cycle(FailureDomain)
    for kind, counts in zip(kinds, groups, strict=False):
        counts.add(vm.domain(kind), slots)
