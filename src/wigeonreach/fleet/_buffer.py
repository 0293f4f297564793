"""Size the spare capacity that a fleet needs beyond the promised slots."""

from __future__ import annotations

import dataclasses
import enum
import itertools
import math
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType

from wigeonreach.fleet._model import PoolNeed
from wigeonreach.text import FailureDomain


class BufferWay(enum.StrEnum):
    """Strategies for holding spare capacity.

    Attributes
    ----------
    PER_POOL
        Each pool on its own survives the loss of its largest domain while
        one VM is under maintenance.
    SHARED
        Pools hold what the depth of their budgets requires; spare capacity
        shared by all pools covers the loss of the largest domain of the fleet
        while one VM is under maintenance.
    COVERED
        As SHARED, but deferrable work is preempted while a domain is lost.
    BORROWED
        As COVERED, but the budget's time instead of spare capacity covers
        VMs under maintenance.
    """

    PER_POOL = 'per-pool'
    SHARED = 'shared'
    COVERED = 'covered'
    BORROWED = 'borrowed'


@dataclasses.dataclass(frozen=True, slots=True)
class FleetShape:
    """Topology of a fleet of equal VMs that are spread evenly.

    Attributes
    ----------
    zones, rack_vms
        Number of availability zones, and of VMs per rack.
    vm_slots
        Slots of each VM.
    guard
        Widest failure domain whose loss must be survived.
    """

    zones: int
    rack_vms: int
    vm_slots: int
    guard: FailureDomain

    def domain_vms(self, vms: int) -> int:
        """Return how many of the given VMs the largest domain contains."""
        if self.guard is FailureDomain.ZONE:
            return math.ceil(vms / self.zones)
        if self.guard is FailureDomain.RACK:
            return min(self.rack_vms, vms)
        return min(1, vms)


@dataclasses.dataclass(frozen=True, slots=True)
class BufferSize:
    """Number of VMs that a fleet needs with one strategy.

    Attributes
    ----------
    pool_vms
        VMs of each pool.
    reserve_vms
        VMs that are not assigned to a pool initially.
    held_ratio
        Ratio of spare capacity, beyond the promised slots, to all capacity.
    floor_ratio
        Ratio of the largest guarded domain to all capacity: the lower bound
        of `held_ratio` for keeping every promise through the loss of that
        domain, unless work can wait.
    """

    way: BufferWay
    pool_vms: Mapping[str, int]
    reserve_vms: int
    held_ratio: float
    floor_ratio: float

    @property
    def vms(self) -> int:
        """All VMs of the fleet."""
        return sum(self.pool_vms.values()) + self.reserve_vms


def size_buffer(
    way: BufferWay,
    needs: Iterable[PoolNeed],
    shape: FleetShape,
) -> BufferSize:
    """Return the smallest fleet that keeps every promise with one strategy.

    Parameters
    ----------
    way
        Strategy for holding spare capacity.
    needs
        Requirements of each pool.
    shape
        Topology of the fleet.
    """
    pools = [need for need in needs if need.slots]
    is_isolated = way is BufferWay.PER_POOL
    pool_vms = {
        need.pool: _pool_vms(need, shape, is_isolated=is_isolated)
        for need in pools
    }
    own_vms = sum(pool_vms.values())
    total_vms = (
        own_vms if is_isolated else _fleet_vms(way, pools, shape, own_vms)
    )
    promised = sum(need.slots for need in pools)
    return BufferSize(
        way=way,
        pool_vms=MappingProxyType(pool_vms),
        reserve_vms=total_vms - own_vms,
        held_ratio=1 - promised / (total_vms * shape.vm_slots),
        floor_ratio=shape.domain_vms(total_vms) / total_vms,
    )


def _pool_vms(need: PoolNeed, shape: FleetShape, *, is_isolated: bool) -> int:
    fits = _is_self_sufficient if is_isolated else _keeps_depth
    return next(vms for vms in itertools.count(1) if fits(need, shape, vms))


def _is_self_sufficient(need: PoolNeed, shape: FleetShape, vms: int) -> bool:
    left = vms - shape.domain_vms(vms) - 1
    return left * shape.vm_slots >= need.slots


def _keeps_depth(need: PoolNeed, shape: FleetShape, vms: int) -> bool:
    left = vms - shape.domain_vms(vms)
    has_depth = left * shape.vm_slots >= need.min_slots
    return has_depth and vms * shape.vm_slots >= need.slots


def _fleet_vms(
    way: BufferWay,
    pools: Sequence[PoolNeed],
    shape: FleetShape,
    own_vms: int,
) -> int:
    maintained = 0 if way is BufferWay.BORROWED else 1
    promised = sum(need.slots for need in pools)
    deferrable = sum(need.deferrable_slots for need in pools)
    guarded = promised if way is BufferWay.SHARED else promised - deferrable
    # One extra VM is lent to pools whose VMs are under maintenance.
    for vms in itertools.count(own_vms + 1):
        left = vms - shape.domain_vms(vms) - maintained
        up = vms - maintained
        has_guarded = left * shape.vm_slots >= guarded
        if has_guarded and up * shape.vm_slots >= promised:
            break
    return vms
