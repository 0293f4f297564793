"""Sum up what the accepted jobs of a service ask of its pool."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping

from wigeonreach._room import Room
from wigeonreach.jobs import StepSpec

# Any worker, or any rack.
ANYWHERE = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StepWork:
    """What is left of one step of an occurrence.

    Attributes
    ----------
    tasks
        How many are not done.
    lasts_s
        Estimated time of one of them.
    workspace
        Whose job it is.
    part
        How much of it the cap of its workspace lets run.
    """

    spec: StepSpec
    tasks: int
    lasts_s: float
    workspace: str = ''
    part: float = 1.0

    def vm_s(self, vm_room: Room) -> float:
        """Return it in seconds of a whole VM of a size."""
        lasts_s = self.tasks * self.lasts_s * self.part
        return part_of(self.spec.room, vm_room) * lasts_s


@dataclasses.dataclass(slots=True)
class Backlog:
    """What the jobs of one service still need.

    All sums are in seconds of a whole VM, of which each task takes the part
    that it leaves to no other: the larger of its processors and its memory.

    Attributes
    ----------
    vm_s
        In all.
    by_label
        Of the steps that need a label.
    by_rack
        Of the steps whose data is near a rack.
    at_once
        Most VMs that one gang fills alone, by the label that it needs.
    """

    vm_s: float = 0.0
    by_label: dict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float),
    )
    by_rack: dict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float),
    )
    at_once: dict[str, int] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(int),
    )

    def add(self, work: StepWork, vm_room: Room) -> None:
        """Count a step in, on VMs of a size."""
        spec = work.spec
        vm_s = work.vm_s(vm_room)
        self.vm_s += vm_s
        if spec.label:
            self.by_label[spec.label] += vm_s
        if spec.data_rack:
            self.by_rack[spec.data_rack] += vm_s
        if spec.is_gang and work.tasks:
            filled = _vms_filled(spec, vm_room)
            self.at_once[spec.label] = max(self.at_once[spec.label], filled)


NOTHING = Backlog()


def part_of(need: Room, vm_room: Room) -> float:
    """Return the part of a VM that is taken, by what is scarcest there."""
    parts = [0.0]
    if vm_room.processors:
        parts.append(need.processors / vm_room.processors)
    if vm_room.memory_bytes:
        parts.append(need.memory_bytes / vm_room.memory_bytes)
    if vm_room.accelerators:
        parts.append(need.accelerators / vm_room.accelerators)
    return max(parts)


def backlogs(
    work: Mapping[str, Iterable[StepWork]],
    vm_room: Room,
) -> dict[str, Backlog]:
    """Return the backlog of each service."""
    found: dict[str, Backlog] = {}
    for service, steps in work.items():
        backlog = found.setdefault(service, Backlog())
        for step in steps:
            backlog.add(step, vm_room)
    return found


def _vms_filled(spec: StepSpec, vm_room: Room) -> int:
    """Return on how many empty VMs all tasks of a step fit at once."""
    part = part_of(spec.room, vm_room)
    on_one = math.floor(1 / part) if part else spec.count
    if spec.spread_limit:
        on_one = min(on_one, spec.spread_limit)
    return math.ceil(spec.count / max(on_one, 1))
