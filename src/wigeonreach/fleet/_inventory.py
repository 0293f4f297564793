"""Keep the VMs of a fleet with the counts that decisions need."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Collection, Iterable, Iterator

from wigeonreach.fleet._model import Vm
from wigeonreach.fleet._peaks import PeakCounts
from wigeonreach.text import FailureDomain

_FLEET = ''


class Inventory:
    """The known VMs, owned by one task.

    Putting a VM takes logarithmic time and every count is kept up to date,
    so that no decision walks over the fleet.

    Parameters
    ----------
    vms
        VMs to begin with.
    watched_pools
        Pools that this system only counts.  Their VMs are left out of the
        counts over the fleet, because they can help no other pool.
    """

    def __init__(
        self,
        vms: Iterable[Vm] = (),
        watched_pools: Collection[str] = (),
    ) -> None:
        """Count the first VMs."""
        self._vms: dict[str, Vm] = {}
        self._watched = frozenset(watched_pools)
        self._up: dict[tuple[str, FailureDomain], PeakCounts] = {}
        self._present = {kind: PeakCounts() for kind in FailureDomain}
        self._maintained: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._held: collections.Counter[str] = collections.Counter()
        self._members: dict[str, dict[str, None]] = {}
        for vm in vms:
            self.put(vm)

    def watch(self, pools: Collection[str]) -> None:
        """Only count the VMs of some pools; linear if that is a change."""
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
        """Walk over all VMs; linear, so for full plans only."""
        return iter(self._vms.values())

    def put(self, vm: Vm) -> None:
        """Add a VM, or replace what is known of it."""
        self.remove(vm.name)
        self._vms[vm.name] = vm
        self._members.setdefault(vm.pool, {})[vm.name] = None
        self._count(vm, 1)

    def remove(self, name: str) -> None:
        """Forget a VM; unknown names are ignored."""
        before = self._vms.pop(name, None)
        if before is not None:
            self._members[before.pool].pop(name)
            self._count(before, -1)

    def find(self, name: str) -> Vm | None:
        """Return a VM by name."""
        return self._vms.get(name)

    def members(self, pool: str) -> Iterator[Vm]:
        """Walk over the VMs of one pool."""
        for name in self._members.get(pool, ()):
            yield self._vms[name]

    def is_watched(self, pool: str) -> bool:
        """Return whether the VMs of a pool must not be touched."""
        return pool in self._watched

    def up(self, pool: str, kind: FailureDomain) -> PeakCounts:
        """Return the slots that are up in a pool, by domain of a kind."""
        return self._up.setdefault((pool, kind), PeakCounts())

    def fleet_up(self, kind: FailureDomain) -> PeakCounts:
        """Return the slots that are up in all managed pools, by domain."""
        return self.up(_FLEET, kind)

    def fleet_present(self, kind: FailureDomain) -> PeakCounts:
        """Return what is up or will be, once own actions have ended."""
        return self._present[kind]

    def up_slots(self, pool: str) -> int:
        """Return the slots that are up in a pool."""
        return self.up(pool, FailureDomain.ZONE).total_slots

    def maintained_slots(self, pool: str, zone: str) -> int:
        """Return the slots of a pool that are held down in one zone."""
        return self._maintained[pool, zone]

    def held_slots(self, pool: str) -> int:
        """Return the slots of a pool that own actions hold down."""
        return self._held[pool]

    def _count(self, vm: Vm, sign: int) -> None:
        slots = sign * vm.slots
        if vm.is_maintained:
            self._maintained[vm.pool, vm.zone] += slots
            self._held[vm.pool] += slots
        groups = [self.up(vm.pool, kind) for kind in FailureDomain]
        if not self.is_watched(vm.pool):
            groups.extend(self.fleet_up(kind) for kind in FailureDomain)
        if vm.is_up:
            _add(groups, vm, slots)
        if not self.is_watched(vm.pool) and (vm.is_up or vm.is_maintained):
            _add(self._present.values(), vm, slots)


def _add(groups: Iterable[PeakCounts], vm: Vm, slots: int) -> None:
    # Groups come in the order of the kinds, once or twice.
    kinds = itertools.cycle(FailureDomain)
    for kind, counts in zip(kinds, groups, strict=False):
        counts.add(vm.domain(kind), slots)
