"""Take VMs through the chart of a wave, with the time limits of phases."""

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

_STATES = MappingProxyType(
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


class Flights:
    """The VMs that some wave has drained and not yet ended with.

    Keeps the inventory and the budgets in step, so that all waves and moves
    count what any of them holds down.

    Parameters
    ----------
    inventory, budgets
        What is changed with each step.
    settings
        Limits of the phases.
    """

    def __init__(
        self,
        inventory: Inventory,
        budgets: Budgets,
        settings: WaveSettings,
    ) -> None:
        """Start with no VM on its way."""
        self._inventory = inventory
        self._budgets = budgets
        self._settings = settings
        self._waves: dict[str, Wave] = {}
        self._in_pool: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._timers: list[_Timer] = []

    def wave_of(self, vm: str) -> Wave | None:
        """Return the wave that has a VM on its way."""
        return self._waves.get(vm)

    def in_pool(self, wave: Wave, pool: str) -> int:
        """Return how many VMs of a pool a wave has on their way."""
        return self._in_pool[wave.wave_id, pool]

    def draining(self) -> list[Vm]:
        """Return the VMs whose drain can still be taken back."""
        found = (
            self._inventory.find(name)
            for name, wave in self._waves.items()
            if wave.tracks[name].phase is Phase.DRAINING
        )
        return [vm for vm in found if vm is not None]

    def accepts(self, vm: str, operation_id: str) -> bool:
        """Return whether a report is about the current attempt."""
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
        """Take a VM through one transition of the chart.

        Parameters
        ----------
        wave
            The wave of the VM.
        vm
            The VM, as the inventory holds it.
        event
            What happened; changes nothing where the chart does not know it.
        now_s
            Time, in seconds.

        Returns
        -------
        list[WaveEffect]
            What the platform is asked to do.
        """
        transition = wave_table().get((wave.tracks[vm.name].phase, event))
        if transition is None:
            return []
        wave.enter(vm, transition.target, now_s)
        self._follow(wave, vm)
        self.set_state(vm, _STATES[transition.target], now_s)
        return _effects(wave, vm.name, transition.effects)

    def adopt(self, wave: Wave, now_s: float) -> list[WaveEffect]:
        """Go on with the VMs that were on their way before a restart.

        Returns
        -------
        list[WaveEffect]
            The effects of their phases again, under the same ids.
        """
        effects: list[WaveEffect] = []
        for name in wave.active:
            vm = self._inventory.find(name)
            if vm is not None:
                self._follow(wave, vm)
                phase = wave.tracks[name].phase
                self.set_state(vm, _STATES[phase], now_s)
                effects.extend(_effects(wave, name, entry_effects(phase)))
        return effects

    def due(self, now_s: float) -> Iterator[tuple[str, bool]]:
        """Yield VMs whose phase's limit, or time to resend, has passed."""
        while self._timers and self._timers[0].at_s <= now_s:
            timer = heapq.heappop(self._timers)
            wave = self._waves.get(timer.vm)
            track = wave.tracks[timer.vm] if wave else None
            if track and self._still_holds(timer, track, now_s):
                yield timer.vm, timer.is_limit

    def resend(self, vm: str, now_s: float) -> list[WaveEffect]:
        """Return the effects of a VM's phase again."""
        wave = self._waves[vm]
        track = wave.tracks[vm]
        self._arm(track, now_s + self._settings.resend_s, is_limit=False)
        return _effects(wave, vm, entry_effects(track.phase))

    def set_state(self, vm: Vm, state: VmState, now_s: float) -> None:
        """Change a known VM's state, and with it the budgets."""
        if self._inventory.find(vm.name) is not None:
            self._inventory.put(dataclasses.replace(vm, state=state))
            self._budgets.observe(vm.pool, now_s)

    def _still_holds(self, timer: _Timer, track: Track, now_s: float) -> bool:
        if (track.attempt, track.phase) != (timer.attempt, timer.phase):
            return False
        # After a long pause the limit goes before resending.
        limit_s = self._settings.limit_s(track.phase)
        return timer.is_limit or now_s < track.since_s + limit_s

    def _follow(self, wave: Wave, vm: Vm) -> None:
        track = wave.tracks[vm.name]
        if vm.name not in wave.active:
            if self._waves.pop(vm.name, None):
                self._in_pool[wave.wave_id, vm.pool] -= 1
            return
        if vm.name not in self._waves:
            self._waves[vm.name] = wave
            self._in_pool[wave.wave_id, vm.pool] += 1
        limit_s = self._settings.limit_s(track.phase)
        self._arm(track, track.since_s + limit_s, is_limit=True)
        resend_s = track.since_s + self._settings.resend_s
        self._arm(track, resend_s, is_limit=False)

    def _arm(self, track: Track, at_s: float, *, is_limit: bool) -> None:
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
