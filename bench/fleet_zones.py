"""Simulate a wave over zones that plan independently while one is cut off.

Each zone has a planner and its own view of the fleet.  Changes reach the
views of connected zones at once, and those of a zone that was cut off when it
is reconnected.  Parts of the budgets are assigned to connected zones only.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from bench.fleet_check import Cause, TraceLine
from bench.fleet_layout import User
from wigeonreach.fleet import (
    Budgets,
    DrainProgress,
    EffectKind,
    Inventory,
    StartWave,
    Tick,
    Vm,
    VmEvent,
    VmReport,
    VmState,
    WaveEffect,
    WavePlanner,
    ZonePart,
    ZonePartGate,
    acknowledge,
    offer,
    pool_part_slots,
    split,
)
from wigeonreach.fleet._waves_model import Message

_TICK_S = 30.0
_DURATION_RANGES_S = MappingProxyType(
    {
        EffectKind.DRAIN: (30.0, 300.0),
        EffectKind.REBOOT: (120.0, 300.0),
        EffectKind.CHECK: (20.0, 20.0),
    }
)


class Manager:
    """The planner of one zone with its view of the fleet."""

    def __init__(
        self,
        zone: str,
        user: User,
        vms: Iterable[Vm],
        *,
        has_parts: bool,
    ) -> None:
        """Start with no part of any budget."""
        self.zone = zone
        self.view = Inventory(vms)
        self.budgets = Budgets(user.text(), self.view)
        self.gate = ZonePartGate(self.view, zone)
        self.planner = WavePlanner(
            self.view,
            self.budgets,
            gates=(self.gate,) if has_parts else (),
        )

    def apply_change(self, vm: Vm, now_s: float) -> None:
        """Apply a change made by another zone."""
        self.view.put(vm)
        self.budgets.observe(vm.pool, now_s)

    def waiting(self) -> int:
        """Return the number of the zone's VMs that are not yet final."""
        tracks = self.planner.waves['wave'].tracks.values()
        return sum(1 for track in tracks if not track.phase.is_final)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _ScheduledAction:
    at_s: float
    number: int
    action: Callable[[], None] = dataclasses.field(compare=False)


class ZonesRun:
    """One wave in each zone, with a cut in the middle.

    Parameters
    ----------
    user
        User that owns the fleet.
    vms
        The VMs of the fleet.
    has_parts
        Whether zones are limited to parts of the budgets; without parts each
        zone checks its own view only.
    counts_lost
        Whether the other zones consider the VMs of a cut-off zone lost;
        otherwise they assume that their state is unchanged.
    """

    def __init__(
        self,
        user: User,
        vms: list[Vm],
        *,
        has_parts: bool,
        counts_lost: bool,
    ) -> None:
        """Start all zones connected."""
        self._counts_lost = counts_lost
        zones = sorted({vm.zone for vm in vms})
        self.trace: list[TraceLine] = []
        self.operations: list[str] = []
        self._has_parts = has_parts
        self._user = user
        self._managers = {
            zone: Manager(zone, user, vms, has_parts=has_parts)
            for zone in zones
        }
        self._vms = {vm.name: vm for vm in vms}
        self._parts: dict[str, Mapping[str, ZonePart]] = {}
        self._cut_zone = ''
        self._queue: list[_ScheduledAction] = []
        self._numbers = itertools.count()
        self._now_s = 0.0
        self._rng = random.Random(1)

    def run(self, cut_zone: str, cut_s: float, healed_s: float) -> None:
        """Run for eight hours; a zone is cut off from ``cut_s`` on."""
        for zone, manager in self._managers.items():
            names = tuple(
                sorted(vm.name for vm in self._vms.values() if vm.zone == zone)
            )
            start = StartWave('start', 'wave', names)
            self._schedule_at(
                0, functools.partial(self._handle, manager, start)
            )
        self._schedule_at(1, self._tick)
        self._schedule_at(
            cut_s, functools.partial(self._cut_off_zone, cut_zone)
        )
        self._schedule_at(healed_s, self._heal)
        while self._queue and self._now_s < 8 * 3600:
            due = heapq.heappop(self._queue)
            self._now_s = due.at_s
            due.action()

    def _schedule_at(self, at_s: float, action: Callable[[], None]) -> None:
        due = _ScheduledAction(at_s, next(self._numbers), action)
        heapq.heappush(self._queue, due)

    def _tick(self) -> None:
        if self._has_parts:
            self._share_budgets()
        for manager in self._managers.values():
            self._handle(manager, Tick())
        self._schedule_at(self._now_s + _TICK_S, self._tick)

    def _cut_off_zone(self, zone: str) -> None:
        """Cut a zone off from all others."""
        self._cut_zone = zone
        for manager in self._managers.values():
            if self._counts_lost and manager.zone != zone:
                self._mark_lost(manager, zone)

    def _mark_lost(self, manager: Manager, zone: str) -> None:
        lost = [vm for vm in manager.view if vm.zone == zone]
        for vm in lost:
            down = dataclasses.replace(vm, state=VmState.DOWN)
            manager.apply_change(down, self._now_s)

    def _heal(self) -> None:
        """Reconnect all zones and broadcast the state of their VMs."""
        self._cut_zone = ''
        for manager in self._managers.values():
            self._broadcast(manager)

    def _share_budgets(self) -> None:
        reachable = [
            manager
            for manager in self._managers.values()
            if manager.zone != self._cut_zone
        ]
        view = reachable[0]
        for need in view.budgets.needs.values():
            parts = self._parts.get(need.pool, {})
            wanted = split(
                pool_part_slots(need, view.view),
                self._user.shape.vm_slots,
                {one.zone: one.waiting() for one in reachable},
            )
            parts = offer(parts, wanted, pool_part_slots(need, view.view))
            for one in reachable:
                part = parts.get(one.zone, ZonePart(one.zone))
                one.gate.part_slots[need.pool] = part.offered_slots
                # A zone acknowledges a smaller part only once it has no more
                # slots under maintenance than that.
                held = one.view.maintained_slots(need.pool, one.zone)
                if held <= part.offered_slots:
                    parts = acknowledge(parts, one.zone, part.version)
            self._parts[need.pool] = parts

    def _handle(self, manager: Manager, message: Message) -> None:
        for effect in manager.planner.handle(message, self._now_s):
            self._execute(manager, effect)
        if manager.zone != self._cut_zone:
            self._broadcast(manager)

    def _broadcast(self, manager: Manager) -> None:
        mine = [vm for vm in manager.view if vm.zone == manager.zone]
        for other in self._managers.values():
            if other.zone in {self._cut_zone, manager.zone}:
                continue
            for vm in mine:
                if other.view.find(vm.name) != vm:
                    other.apply_change(vm, self._now_s)

    def _execute(self, manager: Manager, effect: WaveEffect) -> None:
        key = f'{effect.operation_id}/{effect.kind}'
        if key in self.operations:
            return
        self.operations.append(key)
        if effect.kind not in _DURATION_RANGES_S:
            self._trace_state(effect.vm, Cause.UP)
            return
        self._trace_state(effect.vm, Cause.OWN)
        length_s = self._rng.uniform(*_DURATION_RANGES_S[effect.kind])
        answer = functools.partial(self._finish_operation, manager, effect)
        self._schedule_at(self._now_s + length_s, answer)

    def _finish_operation(self, manager: Manager, effect: WaveEffect) -> None:
        name = effect.vm
        message: Message = DrainProgress(name, 0, 0)
        if effect.kind is EffectKind.REBOOT:
            message = VmReport(name, VmEvent.REBOOTED, effect.operation_id)
        elif effect.kind is EffectKind.CHECK:
            message = VmReport(name, VmEvent.HEALTHY, effect.operation_id)
        self._handle(manager, message)

    def _trace_state(self, name: str, cause: Cause) -> None:
        vm = self._vms[name]
        line = TraceLine(self._now_s, name, vm.pool, vm.slots, cause)
        self.trace.append(line)


def guard_violations(
    user: User, vms: list[Vm], trace: list[TraceLine]
) -> list[str]:
    """Return when the loss of a zone would have violated a budget.

    Computed from the trace alone, over all zones together.
    """
    down: set[str] = set()
    found: list[str] = []
    for line in trace:
        if line.cause is not Cause.OWN:
            down.discard(line.vm)
            continue
        down.add(line.vm)
        service = user.text().services[line.pool]
        least = service.promised_slots * (1 - service.budget.missing_ratio)
        left = _left_slots(line.pool, vms, down)
        if left < least:
            found.append(f'{line.at_s:.0f} s: {line.pool} {left} < {least:g}')
    return found


def _left_slots(pool: str, vms: list[Vm], down: set[str]) -> int:
    zones: collections.Counter[str] = collections.Counter()
    for vm in vms:
        if vm.pool == pool and vm.name not in down:
            zones[vm.zone] += vm.slots
    return zones.total() - max(zones.values())
