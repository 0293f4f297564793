"""Tell how many VMs a pool's work needs, and what they have to carry."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from types import MappingProxyType

from wigeonreach.scheduling._backlog import ANYWHERE, Backlog

# Work is of full use for some 5 s; a VM that is ordered now works in 2 s, so
# what is to be had within this is worth a move.
FINISH_S = 4.0
# Part of a pool's VMs that packing leaves unused.
_USABLE_RATIO = 0.85
_NONE: Mapping[str, float] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class ServingNeed:
    """What the serving tasks of the services need, by service.

    Attributes
    ----------
    workers
        On how many workers they are to be spread.
    homeless
        VMs that those fill which found no room on the workers of now, by the
        label that they need.
    """

    workers: Mapping[str, int]
    homeless: Mapping[str, Mapping[str, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """The VMs that a pool's work needs.

    Attributes
    ----------
    total
        In all.
    by_label
        How many of them have to carry a label; racks are labels too.
    """

    total: int
    by_label: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSize:
    """How many VMs a pool has, and how many of them carry each label."""

    total: int
    by_label: Mapping[str, int]


def wanted_by(
    service: str,
    backlog: Backlog,
    arriving_vm_s: float,
    serving: ServingNeed,
    has: PoolSize,
    is_far_slow: bool,
) -> Wanted:
    """Return what one pool needs.

    Parameters
    ----------
    service
        Whose pool it is.
    backlog
        What its jobs still need.
    arriving_vm_s
        What is about to be asked for, in seconds of a VM.
    serving
        What the serving tasks of all services need.
    has
        What the pool has now.
    is_far_slow
        Whether work takes longer away from its data.  If it does, each rack
        with some gets a VM: a job that waits for one, or runs far away, is
        late.
    """
    homeless = serving.homeless.get(service, _NONE)
    by_label = {
        label: _for_work(vm_s) for label, vm_s in backlog.by_label.items()
    }
    if is_far_slow:
        for rack, near_vm_s in backlog.by_rack.items():
            by_label[rack] = max(by_label.get(rack, 0), _for_work(near_vm_s))
    for gang_label, vms in backlog.at_once.items():
        by_label[gang_label] = max(by_label.get(gang_label, 0), vms)
    for lacking_label, vms_filled in homeless.items():
        room_for = has.by_label.get(lacking_label, 0) + _whole(vms_filled)
        by_label[lacking_label] = max(by_label.get(lacking_label, 0), room_for)
    total = max(
        _for_work(backlog.vm_s + arriving_vm_s),
        serving.workers.get(service, 0),
        has.total + _whole(sum(homeless.values())) if homeless else 0,
        by_label.pop(ANYWHERE, 0),
    )
    return Wanted(total, by_label)


def _whole(vms: float) -> int:
    """Return how many VMs give room for something that needs some."""
    return max(math.ceil(vms), 1)


def _for_work(vm_s: float) -> int:
    """Return how many VMs do some work in time."""
    return math.ceil(vm_s / (_USABLE_RATIO * FINISH_S))
