"""Drive VMs through the state chart of a wave, with timeouts per phase."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from collections.abc import Iterator
from types import MappingProxyType

from wigeonreach.fleet._budget import Budgets
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import Vm, VmState
from wigeonreach.fleet._waves_chart import (
    EffectKind,
    Phase,
    VmEvent,
    entry_effects,
    wave_table,
)
from wigeonreach.fleet._waves_model import Track, WaveEffect, WaveSettings
from wigeonreach.fleet._waves_wave import Wave

_VM_STATES = MappingProxyType(
    {
        Phase.WAITING: VmState.SERVING,
        Phase.DRAINING: VmState.DRAINING,
        Phase.REBOOTING: VmState.REBOOTING,
        Phase.CHECKING: VmState.CHECKING,
        Phase.SETTLING: VmState.SERVING,
        Phase.MAINTAINED: VmState.SERVING,
        Phase.FAILED: VmState.DOWN,
        Phase.SKIPPED: VmState.SERVING,
    }
)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Timer:
    at_s: float
    vm: str
    attempt: int
    phase: Phase
    is_limit: bool


class ActiveVms:
    """The VMs that waves have started to maintain and not yet finished.

    Keeps the inventory and the budgets up to date, so that all waves and
    moves account for the VMs under maintenance by any of them.

    Parameters
    ----------
    inventory, budgets
        Updated with each transition.
    settings
        Time limits of the phases.
    """

    def __init__(
        self,
        inventory: Inventory,
        budgets: Budgets,
        settings: WaveSettings,
    ) -> None:
        """Start without active VMs."""
        self._inventory = inventory
        self._budgets = budgets
        self._settings = settings
        self._waves: dict[str, Wave] = {}
        self._in_pool: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._timers: list[_Timer] = []

    def wave_of(self, vm: str) -> Wave | None:
        """Return the wave in which a VM is active, or None."""
        return self._waves.get(vm)

    def in_pool(self, wave: Wave, pool: str) -> int:
        """Return the number of active VMs of a wave in a pool."""
        return self._in_pool[wave.wave_id, pool]

    def draining(self) -> list[Vm]:
        """Return the VMs whose drain can still be cancelled."""
        found = (
            self._inventory.find(name)
            for name, wave in self._waves.items()
            if wave.tracks[name].phase is Phase.DRAINING
        )
        return [vm for vm in found if vm is not None]

    def accepts(self, vm: str, operation_id: str) -> bool:
        """Return whether a report refers to the current attempt or to none."""
        wave = self._waves.get(vm)
        if wave is None:
            return False
        return operation_id in {'', _operation_id(wave, wave.tracks[vm])}

    def step(
        self,
        wave: Wave,
        vm: Vm,
        event: VmEvent,
        now_s: float,
    ) -> list[WaveEffect]:
        """Apply one event to a VM.

        Parameters
        ----------
        wave
            The wave of the VM.
        vm
            The VM, as the inventory holds it.
        event
            Ignored if the chart has no transition for it.
        now_s
            Current time, in seconds.

        Returns
        -------
        list[WaveEffect]
            Requests to the platform.
        """
        transition = wave_table().get((wave.tracks[vm.name].phase, event))
        if transition is None:
            return []
        wave.enter(vm, transition.target, now_s)
        self._update_active(wave, vm)
        self.set_state(vm, _VM_STATES[transition.target], now_s)
        return _effects(wave, vm.name, transition.effects)

    def resume(self, wave: Wave, now_s: float) -> list[WaveEffect]:
        """Resume the VMs that were active before a restart.

        Returns
        -------
        list[WaveEffect]
            The effects of their phases again, with the same operation ids.
        """
        effects: list[WaveEffect] = []
        for name in wave.active:
            vm = self._inventory.find(name)
            if vm is not None:
                self._update_active(wave, vm)
                phase = wave.tracks[name].phase
                self.set_state(vm, _VM_STATES[phase], now_s)
                effects.extend(_effects(wave, name, entry_effects(phase)))
        return effects

    def due_timers(self, now_s: float) -> Iterator[tuple[str, bool]]:
        """Yield VMs with a due timer, and whether it is a phase timeout."""
        while self._timers and self._timers[0].at_s <= now_s:
            timer = heapq.heappop(self._timers)
            wave = self._waves.get(timer.vm)
            track = wave.tracks[timer.vm] if wave else None
            if track and self._is_current(timer, track, now_s):
                yield timer.vm, timer.is_limit

    def resend(self, vm: str, now_s: float) -> list[WaveEffect]:
        """Return the effects of a VM's phase again."""
        wave = self._waves[vm]
        track = wave.tracks[vm]
        self._set_timer(track, now_s + self._settings.resend_s, is_limit=False)
        return _effects(wave, vm, entry_effects(track.phase))

    def set_state(self, vm: Vm, state: VmState, now_s: float) -> None:
        """Change the state of a known VM and update the budgets."""
        if self._inventory.find(vm.name) is not None:
            self._inventory.put(dataclasses.replace(vm, state=state))
            self._budgets.observe(vm.pool, now_s)

    def _is_current(self, timer: _Timer, track: Track, now_s: float) -> bool:
        if (track.attempt, track.phase) != (timer.attempt, timer.phase):
            return False
        # After a long pause, the timeout takes precedence over resending.
        limit_s = self._settings.limit_s(track.phase)
        return timer.is_limit or now_s < track.since_s + limit_s

    def _update_active(self, wave: Wave, vm: Vm) -> None:
        track = wave.tracks[vm.name]
        if vm.name not in wave.active:
            if self._waves.pop(vm.name, None):
                self._in_pool[wave.wave_id, vm.pool] -= 1
            return
        if vm.name not in self._waves:
            self._waves[vm.name] = wave
            self._in_pool[wave.wave_id, vm.pool] += 1
        limit_s = self._settings.limit_s(track.phase)
        self._set_timer(track, track.since_s + limit_s, is_limit=True)
        resend_s = track.since_s + self._settings.resend_s
        self._set_timer(track, resend_s, is_limit=False)

    def _set_timer(self, track: Track, at_s: float, *, is_limit: bool) -> None:
        heapq.heappush(
            self._timers,
            _Timer(at_s, track.vm, track.attempt, track.phase, is_limit),
        )


def _operation_id(wave: Wave, track: Track) -> str:
    return f'{wave.wave_id}/{track.vm}/{track.attempt}'


def _effects(
    wave: Wave,
    vm: str,
    kinds: tuple[EffectKind, ...],
) -> list[WaveEffect]:
    operation_id = _operation_id(wave, wave.tracks[vm])
    return [WaveEffect(kind, vm, operation_id) for kind in kinds]
