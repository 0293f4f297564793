"""Feed event lists to the planners and trace the state of VMs.

No cluster is simulated: drains and reboots take seeded times, moves a fixed
one, and the trace holds what the platform did, not what the planners believe.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from types import MappingProxyType

from bench.fleet_baselines import FixedSteps
from bench.fleet_check import Cause, TraceLine
from bench.fleet_events import Event, Kind
from bench.fleet_layout import User

from wigeonreach.fleet import (
    Budgets,
    DrainProgress,
    EffectKind,
    Inventory,
    MoveEnded,
    MovePlanner,
    MoveRecord,
    MoveSettings,
    StartWave,
    StopWave,
    Tick,
    UsageReport,
    Vm,
    VmBack,
    VmChanged,
    VmEvent,
    VmReport,
    VmState,
    WantSpare,
    WavePlanner,
)
from wigeonreach.fleet._moves_planner import Message as MoveMessage
from wigeonreach.fleet._waves_model import Message, WaveEffect
from wigeonreach.text import FleetText

_TICK_S = 30.0
_MOVE_S = 60.0
_DURATION_RANGES_S = MappingProxyType(
    {
        EffectKind.DRAIN: (30.0, 300.0),
        EffectKind.REBOOT: (120.0, 300.0),
        EffectKind.CHECK: (20.0, 20.0),
    }
)
_USAGE_LAG_S = 90.0
_LOSS_KINDS = frozenset((Kind.VM_LOST, Kind.RACK_LOST, Kind.ZONE_LOST))
_RECOVERY_KINDS = frozenset((Kind.VM_BACK, Kind.RACK_BACK, Kind.ZONE_BACK))


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The planners to use.

    Attributes
    ----------
    moves
        Damping of moves.
    fixed_step_vms
        Size of a fixed step; None for the wave planner.
    """

    moves: MoveSettings = MoveSettings()
    fixed_step_vms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The result of one run."""

    initial: tuple[TraceLine, ...]
    trace: tuple[TraceLine, ...]
    moves: tuple[MoveRecord, ...]
    maintained: int
    last_maintained_s: float
    refusals: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _ScheduledAction:
    at_s: float
    number: int
    action: Callable[[], None] = dataclasses.field(compare=False)


class Driver:
    """Simulates one fleet under one policy and one event list."""

    def __init__(
        self,
        user: User,
        vms: Iterable[Vm],
        policy: Policy,
        seed: int = 1,
    ) -> None:
        """Create the planners and the inventory of the fleet."""
        self._vms = {vm.name: vm for vm in vms}
        self._names = sorted(self._vms)
        self._user = user
        self._pools = tuple(user.promised_slots)
        self._rng = random.Random(seed)
        self._queue: list[_ScheduledAction] = []
        self._numbers = itertools.count()
        self._now_s = 0.0
        self._trace: list[TraceLine] = []
        self._moves: list[MoveRecord] = []
        self._failed: set[str] = set()
        self._attempts: dict[str, tuple[str, EffectKind]] = {}
        self._maintained: dict[str, float] = {}
        self._is_image_bad = False
        self.text: FleetText = user.text(self._by_pool())
        self._inventory = Inventory(self._vms.values())
        self._budgets = Budgets(self.text, self._inventory)
        self._waves: WavePlanner | FixedSteps
        self._is_fixed = policy.fixed_step_vms is not None
        if policy.fixed_step_vms is None:
            self._waves = WavePlanner(self._inventory, self._budgets)
        else:
            self._waves = FixedSteps(policy.fixed_step_vms)
        self._mover = MovePlanner(
            self._inventory,
            self._budgets,
            policy.moves,
            self._waves,
        )

    def run(self, events: Sequence[Event], end_s: float) -> Run:
        """Run until ``end_s``, in seconds."""
        first = tuple(_line(vm, 0, Cause.UP) for vm in self._vms.values())
        for event in events:
            self._schedule_at(
                event.at_s, functools.partial(self._apply_event, event)
            )
        self._schedule_at(0, functools.partial(self._tick, end_s))
        while self._queue:
            due = heapq.heappop(self._queue)
            if due.at_s > end_s:
                break
            self._now_s = due.at_s
            due.action()
        refusals = getattr(self._waves, 'refusals', {})
        return Run(
            first,
            tuple(self._trace),
            tuple(self._moves),
            len(self._maintained),
            max(self._maintained.values(), default=0),
            {str(reason): times for reason, times in refusals.items()},
        )

    def _by_pool(self) -> dict[str, list[str]]:
        pools: dict[str, list[str]] = {}
        for vm in self._vms.values():
            pools.setdefault(vm.pool, []).append(vm.name)
        return pools

    def _schedule_at(self, at_s: float, action: Callable[[], None]) -> None:
        due = _ScheduledAction(at_s, next(self._numbers), action)
        heapq.heappush(self._queue, due)

    def _schedule_after(
        self, wait_s: float, action: Callable[[], None]
    ) -> None:
        self._schedule_at(self._now_s + wait_s, action)

    def _tick(self, end_s: float) -> None:
        self._wave(Tick())
        self._move(Tick())
        if self._now_s < end_s:
            self._schedule_after(_TICK_S, functools.partial(self._tick, end_s))

    def _apply_event(self, event: Event) -> None:
        changes = {
            **dict.fromkeys(_LOSS_KINDS, self._fail_vm),
            **dict.fromkeys(_RECOVERY_KINDS, self._recover_vm),
        }
        change = changes.get(event.kind)
        if change is None:
            self._apply_command(event)
            return
        for name in self._affected_vms(event):
            change(name)

    def _apply_command(self, event: Event) -> None:
        pool = self._pools[event.subject % len(self._pools)]
        if event.kind is Kind.PROMISE:
            more_slots = {pool: int(event.amount)}
            text = self._user.text(self._by_pool(), more_slots)
            self._budgets.apply(text, self._now_s)
            self._move(Tick())
        elif event.kind is Kind.USAGE:
            report = UsageReport(pool, event.amount, event.at_s)
            self._schedule_after(
                _USAGE_LAG_S, functools.partial(self._move, report)
            )
        else:
            self._control_wave(event)

    def _control_wave(self, event: Event) -> None:
        if event.kind is Kind.START:
            self._wave(StartWave('start', 'wave', tuple(self._names)))
        elif event.kind is Kind.STOP:
            self._wave(StopWave('stop', 'wave'))
        elif event.kind is Kind.BAD_IMAGE:
            self._is_image_bad = True

    def _affected_vms(self, event: Event) -> list[str]:
        if event.kind in {Kind.VM_LOST, Kind.VM_BACK}:
            return [self._names[event.subject % len(self._names)]]
        if event.kind in {Kind.ZONE_LOST, Kind.ZONE_BACK}:
            zone = 'abcdef'[event.subject]
            return [vm.name for vm in self._vms.values() if vm.zone == zone]
        racks = sorted({(vm.zone, vm.rack) for vm in self._vms.values()})
        rack = racks[event.subject % len(racks)]
        return [
            vm.name for vm in self._vms.values() if (vm.zone, vm.rack) == rack
        ]

    def _fail_vm(self, name: str) -> None:
        if name in self._failed:
            return
        self._failed.add(name)
        self._attempts.pop(name, None)
        self._trace_state(name, Cause.FAILED)
        self._set_inventory_state(name, VmState.DOWN)
        self._wave(VmReport(name, VmEvent.LOST))
        self._move(VmChanged(name, is_lost=True))

    def _recover_vm(self, name: str) -> None:
        if name not in self._failed:
            return
        self._failed.remove(name)
        self._trace_state(name, Cause.UP)
        self._set_inventory_state(name, VmState.SERVING)
        self._wave(VmReport(name, VmEvent.REBOOTED))
        self._wave(VmBack(name))
        self._move(VmChanged(name))

    def _set_inventory_state(self, name: str, state: VmState) -> None:
        """Update the inventory if the policy does not do so itself."""
        vm = self._inventory.find(name)
        if self._is_fixed and vm is not None:
            self._inventory.put(dataclasses.replace(vm, state=state))
            self._budgets.observe(vm.pool, self._now_s)

    def _wave(self, message: Message) -> None:
        for effect in self._waves.handle(message, self._now_s):
            self._execute(effect)
        for pool, zone in self._waves.take_wanting().items():
            self._move(WantSpare(pool, zone))

    def _move(self, message: MoveMessage) -> None:
        for record in self._mover.handle(message, self._now_s):
            self._moves.append(record)
            self._trace_state(record.vm, Cause.OWN)
            done = functools.partial(self._finish_move, record)
            self._schedule_after(_MOVE_S, done)

    def _finish_move(self, record: MoveRecord) -> None:
        if record.vm in self._failed:
            return
        vm = self._vms[record.vm]
        self._vms[vm.name] = dataclasses.replace(vm, pool=record.to_pool)
        self._trace_state(vm.name, Cause.UP)
        self._move(MoveEnded(vm.name, is_done=True))

    def _execute(self, effect: WaveEffect) -> None:
        """Execute an effect of the planner, each operation once."""
        name = effect.vm
        asked = (effect.operation_id, effect.kind)
        if name in self._failed or self._attempts.get(name) == asked:
            return
        self._attempts[name] = asked
        if effect.kind in _DURATION_RANGES_S:
            self._start_operation(effect)
            return
        self._trace_state(name, Cause.UP)
        self._set_inventory_state(name, VmState.SERVING)
        if effect.kind is EffectKind.RESTORE:
            self._maintained[name] = self._now_s

    def _start_operation(self, effect: WaveEffect) -> None:
        is_reboot = effect.kind is EffectKind.REBOOT
        operation = effect.operation_id if is_reboot else ''
        self._trace_state(effect.vm, Cause.OWN, operation)
        self._set_inventory_state(effect.vm, VmState.DRAINING)
        length_s = self._rng.uniform(*_DURATION_RANGES_S[effect.kind])
        self._schedule_after(
            length_s, functools.partial(self._finish_operation, effect)
        )

    def _finish_operation(self, effect: WaveEffect) -> None:
        name = effect.vm
        if self._attempts.get(name) != (effect.operation_id, effect.kind):
            return
        if effect.kind is EffectKind.DRAIN:
            self._wave(DrainProgress(name, 0, 0))
            return
        event = VmEvent.REBOOTED
        if effect.kind is EffectKind.CHECK:
            event = VmEvent.HEALTHY
            if self._is_image_bad:
                event = VmEvent.UNHEALTHY
                self._trace_state(name, Cause.FAILED)
                self._set_inventory_state(name, VmState.DOWN)
        self._wave(VmReport(name, event, effect.operation_id))

    def _trace_state(
        self, name: str, cause: Cause, operation: str = ''
    ) -> None:
        self._trace.append(
            _line(self._vms[name], self._now_s, cause, operation)
        )


def _line(vm: Vm, at_s: float, cause: Cause, operation: str = '') -> TraceLine:
    return TraceLine(at_s, vm.name, vm.pool, vm.slots, cause, operation)
