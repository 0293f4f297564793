"""Sum up the work of a service's accepted jobs for its pool."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping

from wigeonreach._resources import Resources
from wigeonreach.jobs import StepSpec

# Stands for VMs with any label, or on any rack.
ANY_LABEL = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StepWork:
    """Remaining work of one step of an occurrence.

    Attributes
    ----------
    spec
        The step.
    tasks
        Number of unfinished tasks.
    task_duration_s
        Estimated run time of one task.
    workspace
        The workspace that submitted the job.
    allowed_ratio
        Share of the work that the cap of the workspace lets run.
    """

    spec: StepSpec
    tasks: int
    task_duration_s: float
    workspace: str = ''
    allowed_ratio: float = 1.0

    def vm_s(self, vm_resources: Resources) -> float:
        """Return the work in VM seconds, for VMs of a given capacity."""
        total_s = self.tasks * self.task_duration_s * self.allowed_ratio
        return vm_share(self.spec.resources, vm_resources) * total_s


@dataclasses.dataclass(slots=True)
class Backlog:
    """Remaining work of the jobs of one service.

    All sums are in VM seconds.  A task counts with its dominant share of a VM:
    the largest of its shares of processors, memory and accelerators.

    Attributes
    ----------
    vm_s
        Total work.
    by_label
        Work of the steps that need a label, by label.
    by_rack
        Work of the steps with data on a rack, by rack.
    gang_vms
        Number of VMs that the widest gang fills, by the label that it needs.
    """

    vm_s: float = 0.0
    by_label: dict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float),
    )
    by_rack: dict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float),
    )
    gang_vms: dict[str, int] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(int),
    )

    def add(self, work: StepWork, vm_resources: Resources) -> None:
        """Add the work of a step, for VMs of a given capacity."""
        spec = work.spec
        vm_s = work.vm_s(vm_resources)
        self.vm_s += vm_s
        if spec.label:
            self.by_label[spec.label] += vm_s
        if spec.data_rack:
            self.by_rack[spec.data_rack] += vm_s
        if spec.is_gang and work.tasks:
            gang_vms = _vms_for_gang(spec, vm_resources)
            self.gang_vms[spec.label] = max(self.gang_vms[spec.label], gang_vms)


EMPTY_BACKLOG = Backlog()


def vm_share(needed: Resources, vm_resources: Resources) -> float:
    """Return the dominant share of a VM's capacity that is needed."""
    shares = [0.0]
    if vm_resources.processors:
        shares.append(needed.processors / vm_resources.processors)
    if vm_resources.memory_bytes:
        shares.append(needed.memory_bytes / vm_resources.memory_bytes)
    if vm_resources.accelerators:
        shares.append(needed.accelerators / vm_resources.accelerators)
    return max(shares)


def backlog_by_service(
    work: Mapping[str, Iterable[StepWork]],
    vm_resources: Resources,
) -> dict[str, Backlog]:
    """Return the backlog of each service."""
    backlogs: dict[str, Backlog] = {}
    for service, steps in work.items():
        backlog = backlogs.setdefault(service, Backlog())
        for step in steps:
            backlog.add(step, vm_resources)
    return backlogs


def _vms_for_gang(spec: StepSpec, vm_resources: Resources) -> int:
    """Return how many empty VMs fit all tasks of a step at once."""
    share = vm_share(spec.resources, vm_resources)
    tasks_per_vm = math.floor(1 / share) if share else spec.count
    if spec.spread_limit:
        tasks_per_vm = min(tasks_per_vm, spec.spread_limit)
    return math.ceil(spec.count / max(tasks_per_vm, 1))
