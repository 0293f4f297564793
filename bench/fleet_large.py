"""Build large fleets and run maintenance waves over them."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random
import time
from collections.abc import Iterator

from wigeonreach.fleet import (
    Budgets,
    DrainProgress,
    EffectKind,
    Inventory,
    MovePlanner,
    StartWave,
    Tick,
    Vm,
    VmEvent,
    VmReport,
    WaveEffect,
    WavePlanner,
)
from wigeonreach.fleet._waves_model import Message
from wigeonreach.text import FleetText, parse_fleet_text

_RACK_VMS = 4
_SLOTS = 8
_TICK_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class LargeFleet:
    """A fleet whose promises leave one and a half zones spare per pool."""

    vms: int
    zones: int
    pools: int

    def text(self) -> FleetText:
        """Return the text of the fleet."""
        per_pool = self.vms / self.pools * _SLOTS
        promised = int(per_pool * (1 - 1.5 / self.zones))
        lines = ['[fleet]\nname = "large"\nguard = ["zone"]']
        for pool in range(self.pools):
            lines.append(
                f'[pools.p{pool}]\nvms = ["any-{pool}"]\n'
                f'[services.s{pool}]\npool = "p{pool}"\n'
                f'promised_slots = {promised}',
            )
        return parse_fleet_text('\n'.join(lines))

    def inventory(self) -> Inventory:
        """Return the VMs, spread over zones and pools."""
        return Inventory(self._vm(number) for number in range(self.vms))

    def _vm(self, number: int) -> Vm:
        zone = number % self.zones
        in_zone = number // self.zones
        return Vm(
            name=f'vm-{number:05}',
            zone=f'z{zone}',
            rack=f'r{in_zone // _RACK_VMS}',
            pool=f'p{in_zone % self.pools}',
            slots=_SLOTS,
        )


@dataclasses.dataclass(slots=True)
class WaveRun:
    """A wave over a large fleet, with the time of each decision."""

    fleet: LargeFleet
    planner: WavePlanner
    mover: MovePlanner
    rng: random.Random
    now_s: float = 0.0
    decisions_s: list[float] = dataclasses.field(default_factory=list)
    restored: set[str] = dataclasses.field(default_factory=set)

    @property
    def maintained(self) -> int:
        """Number of VMs that were restored to their pools."""
        return len(self.restored)

    def run(self, max_vms: int) -> None:
        """Run until ``max_vms`` VMs are maintained or the wave has ended."""
        names = tuple(f'vm-{number:05}' for number in range(self.fleet.vms))
        due: list[tuple[float, int, Message]] = [
            (0.0, 0, StartWave('start', 'w', names)),
        ]
        numbers = iter(range(1, 10**9))
        while due and self.maintained < max_vms:
            at_s, _, message = heapq.heappop(due)
            self.now_s = at_s
            for effect in self._decide(message):
                for wait_s, answer in self._answers(effect):
                    at_s = self.now_s + wait_s
                    heapq.heappush(due, (at_s, next(numbers), answer))
            if isinstance(message, Tick | StartWave):
                at_s = self.now_s + _TICK_S
                heapq.heappush(due, (at_s, next(numbers), Tick()))

    def _decide(self, message: Message) -> list[WaveEffect]:
        start_s = time.perf_counter()
        effects = self.planner.handle(message, self.now_s)
        self.mover.handle(Tick(), self.now_s)
        if not isinstance(message, StartWave):
            self.decisions_s.append(time.perf_counter() - start_s)
        return effects

    def _answers(self, effect: WaveEffect) -> Iterator[tuple[float, Message]]:
        name = effect.vm
        operation = effect.operation_id
        if effect.kind is EffectKind.DRAIN:
            yield self.rng.uniform(30, 300), DrainProgress(name, 0, 0)
        elif effect.kind is EffectKind.REBOOT:
            report = VmReport(name, VmEvent.REBOOTED, operation)
            yield self.rng.uniform(120, 300), report
        elif effect.kind is EffectKind.CHECK:
            yield 20.0, VmReport(name, VmEvent.HEALTHY, operation)
        elif effect.kind is EffectKind.RESTORE:
            self.restored.add(effect.operation_id)


def large_run(fleet: LargeFleet) -> WaveRun:
    """Return a wave over a fleet, ready to start."""
    inventory = fleet.inventory()
    budgets = Budgets(fleet.text(), inventory)
    planner = WavePlanner(inventory, budgets)
    mover = MovePlanner(inventory, budgets, claims=planner)
    return WaveRun(fleet, planner, mover, random.Random(1))


def sizes() -> collections.OrderedDict[int, LargeFleet]:
    """Return the fleets to be compared, by size."""
    return collections.OrderedDict(
        (
            (40, LargeFleet(40, 4, 5)),
            (400, LargeFleet(400, 11, 40)),
            (4000, LargeFleet(4000, 11, 40)),
            (22_000, LargeFleet(22_000, 11, 40)),
        ),
    )
