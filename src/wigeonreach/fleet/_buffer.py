"""Work out how many VMs a fleet needs beyond what is promised."""

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
    """Ways to hold spare capacity.

    Attributes
    ----------
    PER_POOL
        Each pool survives its worst domain on its own, beside one VM that
        is being maintained.
    SHARED
        Pools hold what the depth of their budgets asks for; spare that all
        share is sized by the worst domain of the fleet and one VM that is
        being maintained.
    COVERED
        As shared, but work that can wait gives way while a domain is lost.
    BORROWED
        As covered, and the budget's time instead of spare covers VMs that
        are being maintained.
    """

    PER_POOL = 'per-pool'
    SHARED = 'shared'
    COVERED = 'covered'
    BORROWED = 'borrowed'


@dataclasses.dataclass(frozen=True, slots=True)
class FleetShape:
    """What VMs of a fleet look like and where they stand, evenly spread.

    Attributes
    ----------
    zones, rack_vms
        Availability zones, and VMs of one rack.
    vm_slots
        Slots of each VM.
    guard
        The widest domain guarded against.
    """

    zones: int
    rack_vms: int
    vm_slots: int
    guard: FailureDomain

    def domain_vms(self, vms: int) -> int:
        """Return how many of some spread VMs the largest domain holds."""
        if self.guard is FailureDomain.ZONE:
            return math.ceil(vms / self.zones)
        if self.guard is FailureDomain.RACK:
            return min(self.rack_vms, vms)
        return min(1, vms)


@dataclasses.dataclass(frozen=True, slots=True)
class BufferSize:
    """The VMs that a fleet needs by one way.

    Attributes
    ----------
    pool_vms
        VMs of each pool.
    reserve_vms
        VMs that no pool needs at first.
    held_ratio
        Share of the capacity beyond what is promised.
    floor_ratio
        Share that the largest guarded domain takes; no way that keeps every
        promise through its loss can hold less, unless work can wait.
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
    """Return the fewest VMs that keep every promise by one way.

    Parameters
    ----------
    way
        How spare is held.
    needs
        What each pool promises.
    shape
        The VMs and their domains.
    """
    pools = [need for need in needs if need.slots]
    is_alone = way is BufferWay.PER_POOL
    pool_vms = {
        need.pool: _pool_vms(need, shape, is_alone=is_alone) for need in pools
    }
    own_vms = sum(pool_vms.values())
    total_vms = own_vms if is_alone else _fleet_vms(way, pools, shape, own_vms)
    promised = sum(need.slots for need in pools)
    return BufferSize(
        way=way,
        pool_vms=MappingProxyType(pool_vms),
        reserve_vms=total_vms - own_vms,
        held_ratio=1 - promised / (total_vms * shape.vm_slots),
        floor_ratio=shape.domain_vms(total_vms) / total_vms,
    )


def _pool_vms(need: PoolNeed, shape: FleetShape, *, is_alone: bool) -> int:
    fits = _fits_alone if is_alone else _fits_depth
    return next(vms for vms in itertools.count(1) if fits(need, shape, vms))


def _fits_alone(need: PoolNeed, shape: FleetShape, vms: int) -> bool:
    left = vms - shape.domain_vms(vms) - 1
    return left * shape.vm_slots >= need.slots


def _fits_depth(need: PoolNeed, shape: FleetShape, vms: int) -> bool:
    left = vms - shape.domain_vms(vms)
    has_depth = left * shape.vm_slots >= need.least_slots
    return has_depth and vms * shape.vm_slots >= need.slots


def _fleet_vms(
    way: BufferWay,
    pools: Sequence[PoolNeed],
    shape: FleetShape,
    own_vms: int,
) -> int:
    maintained = 0 if way is BufferWay.BORROWED else 1
    promised = sum(need.slots for need in pools)
    waiting = sum(need.deferrable_slots for need in pools)
    guarded = promised if way is BufferWay.SHARED else promised - waiting
    # One VM must be there to be lent to pools whose VMs are maintained.
    for vms in itertools.count(own_vms + 1):
        left = vms - shape.domain_vms(vms) - maintained
        up = vms - maintained
        has_guarded = left * shape.vm_slots >= guarded
        if has_guarded and up * shape.vm_slots >= promised:
            break
    return vms
