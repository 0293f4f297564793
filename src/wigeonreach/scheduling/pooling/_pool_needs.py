"""Compute how many VMs a pool's work needs, and with which labels."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from types import MappingProxyType

from wigeonreach.scheduling._backlog import ANY_LABEL, Backlog

# Time within which the work of a pool should be finished.  Results are of full
# use for about 5 s, and a VM ordered now works after 2 s, so a move still pays
# off for work that is to be finished within this time.
WORK_HORIZON_S = 4.0
# Share of a pool's capacity that can be used; the rest is lost to packing.
_USABLE_RATIO = 0.85
_NONE: Mapping[str, float] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class ServingNeed:
    """What the serving tasks of the services need, by service.

    Attributes
    ----------
    workers
        Number of workers over which they are to be spread.
    unmet_vms
        Number of VMs needed by serving tasks that fit on no current worker, by
        the label that they need.
    """

    workers: Mapping[str, int]
    unmet_vms: Mapping[str, Mapping[str, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class RequiredVms:
    """Number of VMs that a pool's work needs.

    Attributes
    ----------
    total
        All VMs.
    by_label
        VMs that need a label, by label; racks are labels too.
    """

    total: int
    by_label: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSize:
    """Number of VMs that a pool has, in total and by label."""

    total: int
    by_label: Mapping[str, int]


def required_vms(
    service: str,
    backlog: Backlog,
    arriving_vm_s: float,
    serving: ServingNeed,
    has: PoolSize,
    is_far_slow: bool,
) -> RequiredVms:
    """Return the VMs that the pool of one service needs.

    Parameters
    ----------
    service
        The service.
    backlog
        Remaining work of its accepted jobs.
    arriving_vm_s
        Work that is about to arrive, in VM seconds.
    serving
        Needs of the serving tasks of all services.
    has
        Current size of the pool.
    is_far_slow
        Whether tasks take longer away from their data.  If so, each rack with
        data gets as many VMs as its work needs: a job that waits for one, or
        runs remotely, is late.
    """
    unmet_vms = serving.unmet_vms.get(service, _NONE)
    by_label = {
        label: _vms_for_work(vm_s) for label, vm_s in backlog.by_label.items()
    }
    if is_far_slow:
        for rack, near_vm_s in backlog.by_rack.items():
            by_label[rack] = max(
                by_label.get(rack, 0), _vms_for_work(near_vm_s)
            )
    for gang_label, vms in backlog.gang_vms.items():
        by_label[gang_label] = max(by_label.get(gang_label, 0), vms)
    for unmet_label, unmet in unmet_vms.items():
        vms_for_label = has.by_label.get(unmet_label, 0) + _round_up(unmet)
        by_label[unmet_label] = max(by_label.get(unmet_label, 0), vms_for_label)
    total = max(
        _vms_for_work(backlog.vm_s + arriving_vm_s),
        serving.workers.get(service, 0),
        has.total + _round_up(sum(unmet_vms.values())) if unmet_vms else 0,
        by_label.pop(ANY_LABEL, 0),
    )
    return RequiredVms(total, by_label)


def _round_up(vms: float) -> int:
    """Return a positive number of VMs, rounded up to whole ones."""
    return max(math.ceil(vms), 1)


def _vms_for_work(vm_s: float) -> int:
    """Return how many VMs finish some work within the horizon."""
    return math.ceil(vm_s / (_USABLE_RATIO * WORK_HORIZON_S))
