"""Plan the next steps of all maintenance waves over one inventory."""

from __future__ import annotations

import collections
import dataclasses
import functools
import itertools
from collections.abc import Iterable, Mapping, Sequence

from wigeonreach.fleet._budget import ALLOWED, Budgets, Decision, Refusal
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import Vm, VmState
from wigeonreach.fleet._waves_chart import VmEvent
from wigeonreach.fleet._waves_execution import ActiveVms
from wigeonreach.fleet._waves_gates import Gate
from wigeonreach.fleet._waves_model import (
    DrainProgress,
    Message,
    PauseWave,
    ResumeWave,
    StartWave,
    StopWave,
    Tick,
    VmBack,
    VmReport,
    WaveEffect,
    WaveSettings,
    WaveState,
    WaveStatus,
)
from wigeonreach.fleet._waves_queue import QueueHead
from wigeonreach.fleet._waves_wave import Wave, new_wave_state
from wigeonreach.text import Maintenance

# Groups of zone and pool checked per wave on one event; bounds its cost.
_GROUPS_PER_EVENT = 16
_DAY_S = 86_400.0


class WavePlanner:
    """All maintenance waves of one manager.

    Parameters
    ----------
    inventory, budgets
        The VMs and the availability budgets; updated with each step.
    settings
        Limits of waves.
    maintenance
        Daily window in which VMs may be drained; None for always.
    gates
        Limits in addition to the budgets.
    """

    def __init__(
        self,
        inventory: Inventory,
        budgets: Budgets,
        settings: WaveSettings | None = None,
        maintenance: Maintenance | None = None,
        gates: Sequence[Gate] = (),
    ) -> None:
        """Start without waves."""
        self.waves: dict[str, Wave] = {}
        self.refusals: collections.Counter[Refusal] = collections.Counter()
        self.last_refusals: dict[str, Decision] = {}
        self._pools_short_of_spare: dict[str, str] = {}
        self._inventory = inventory
        self._budgets = budgets
        self._settings = settings or WaveSettings()
        self._maintenance = maintenance
        self._gates: tuple[Gate, ...] = (budgets, *gates)
        self._active_vms = ActiveVms(inventory, budgets, self._settings)
        self._open_waves: collections.deque[Wave] = collections.deque()

    def restore(
        self,
        states: Iterable[WaveState],
        now_s: float,
    ) -> list[WaveEffect]:
        """Resume waves after a restart.

        Parameters
        ----------
        states
            States returned by `Wave.state` before the restart.
        now_s
            Current time, in seconds.

        Returns
        -------
        list[WaveEffect]
            Outstanding requests again, with the same operation ids.
        """
        effects: list[WaveEffect] = []
        for state in states:
            wave = self._add_wave(state)
            effects.extend(self._active_vms.resume(wave, now_s))
        return effects

    def handle(self, message: Message, now_s: float) -> list[WaveEffect]:
        """Process one message and decide the next steps.

        Parameters
        ----------
        message
            A command, a report or the passing of time.
        now_s
            Current time, in seconds.

        Returns
        -------
        list[WaveEffect]
            Requests to the platform.
        """
        effects = self._handle(message, now_s)
        return effects + self._grant_drains(now_s)

    def take_wanting(self) -> Mapping[str, str]:
        """Return and clear the pools blocked by a lack of spare capacity.

        Lending another VM to such a pool lets its maintenance continue.  Each
        pool maps to the zone of its waiting VM, where a lent VM helps most.
        """
        pools = self._pools_short_of_spare
        self._pools_short_of_spare = {}
        return pools

    def is_busy(self, vm: str) -> bool:
        """Return whether a VM is active in some wave."""
        return self._active_vms.wave_of(vm) is not None

    def is_waiting(self, pool: str) -> bool:
        """Return whether VMs of a pool are waiting in some running wave."""
        return any(
            wave.queue.is_waiting(pool)
            for wave in self._open_waves
            if wave.status is WaveStatus.RUNNING
        )

    @functools.singledispatchmethod
    def _handle(self, message: Message, now_s: float) -> list[WaveEffect]:
        raise TypeError(message)

    @_handle.register
    def _on_start(self, message: StartWave, now_s: float) -> list[WaveEffect]:
        if message.wave_id not in self.waves:
            wave = self._add_wave(new_wave_state(message.wave_id, message.vms))
            wave.take_command(message.command_id)
        return []

    @_handle.register
    def _on_pause(self, message: PauseWave, now_s: float) -> list[WaveEffect]:
        wave = self.waves.get(message.wave_id)
        if wave is None or not wave.take_command(message.command_id):
            return []
        if wave.status is WaveStatus.RUNNING:
            wave.status = WaveStatus.PAUSED
        return []

    @_handle.register
    def _on_resume(self, message: ResumeWave, now_s: float) -> list[WaveEffect]:
        wave = self.waves.get(message.wave_id)
        if wave is None or not wave.take_command(message.command_id):
            return []
        if not wave.is_ended:
            wave.resume()
        return []

    @_handle.register
    def _on_stop(self, message: StopWave, now_s: float) -> list[WaveEffect]:
        wave = self._find_or_add_stopped(message.wave_id)
        wave.take_command(message.command_id)
        if wave.is_ended:
            return []
        wave.status = WaveStatus.STOPPED
        wave.skip_waiting(now_s)
        steps = (
            self._active_vms.step(wave, vm, VmEvent.STOPPED, now_s)
            for vm in self._active_vms.draining()
            if vm.name in wave.active
        )
        return list(itertools.chain.from_iterable(steps))

    @_handle.register
    def _on_drain_progress(
        self, message: DrainProgress, now_s: float
    ) -> list[WaveEffect]:
        if message.in_flight or message.open_checkpoints:
            return []
        return self._apply_event(message.vm, VmEvent.DRAINED, now_s)

    @_handle.register
    def _on_report(self, message: VmReport, now_s: float) -> list[WaveEffect]:
        if message.event is VmEvent.LOST:
            return self._handle_lost(message.vm, now_s)
        # Reports may be late or duplicated, or refer to an earlier attempt.
        if not self._active_vms.accepts(message.vm, message.operation_id):
            return []
        return self._apply_event(message.vm, message.event, now_s)

    @_handle.register
    def _on_vm_back(self, message: VmBack, now_s: float) -> list[WaveEffect]:
        vm = self._inventory.find(message.vm)
        if vm is not None and self._active_vms.wave_of(vm.name) is None:
            self._active_vms.set_state(vm, VmState.SERVING, now_s)
        return []

    @_handle.register
    def _on_tick(self, message: Tick, now_s: float) -> list[WaveEffect]:
        effects: list[WaveEffect] = []
        for name, is_limit in self._active_vms.due_timers(now_s):
            if is_limit:
                effects += self._apply_event(name, VmEvent.TIMED_OUT, now_s)
            else:
                effects += self._active_vms.resend(name, now_s)
        return effects

    def _apply_event(
        self,
        name: str,
        event: VmEvent,
        now_s: float,
    ) -> list[WaveEffect]:
        wave = self._active_vms.wave_of(name)
        vm = self._inventory.find(name)
        if wave is None or vm is None:
            return []
        return self._active_vms.step(wave, vm, event, now_s)

    def _handle_lost(self, name: str, now_s: float) -> list[WaveEffect]:
        vm = self._inventory.find(name)
        if vm is None:
            return []
        effects = self._apply_event(name, VmEvent.LOST, now_s)
        if self._active_vms.wave_of(name) is None:
            self._active_vms.set_state(vm, VmState.DOWN, now_s)
        return effects + self._recall_drains(now_s)

    def _recall_drains(self, now_s: float) -> list[WaveEffect]:
        """Cancel drains that the budgets or another gate no longer allow."""
        effects: list[WaveEffect] = []
        for vm in self._active_vms.draining():
            wave = self._active_vms.wave_of(vm.name)
            self._active_vms.set_state(vm, VmState.SERVING, now_s)
            serving = dataclasses.replace(vm, state=VmState.SERVING)
            if wave and not self._check_gates(serving, now_s).is_allowed:
                effects += self._active_vms.step(
                    wave, vm, VmEvent.RECALLED, now_s
                )
            else:
                self._active_vms.set_state(vm, VmState.DRAINING, now_s)
        return effects

    def _grant_drains(self, now_s: float) -> list[WaveEffect]:
        for wave in tuple(self._open_waves):
            wave.finish_if_done()
            if wave.is_ended:
                self._open_waves.remove(wave)
        if not self._is_window_open(now_s):
            return []
        # Rotated so that each wave is first in turn and none is starved.
        self._open_waves.rotate()
        steps = (
            self._try_grant(wave, head, now_s)
            for wave in self._open_waves
            for head in wave.queue.heads(_GROUPS_PER_EVENT)
        )
        return list(itertools.chain.from_iterable(steps))

    def _try_grant(
        self,
        wave: Wave,
        head: QueueHead,
        now_s: float,
    ) -> list[WaveEffect]:
        vm = self._inventory.find(head.name)
        if vm is None:
            wave.queue.take(head)
            wave.skip(head.name, now_s)
            return []
        if not wave.allows_another(
            vm.pool, self._active_vms.in_pool(wave, vm.pool)
        ):
            return []
        if not vm.is_up or self._active_vms.wave_of(vm.name) is not None:
            wave.queue.defer(head)
            return []
        decision = self._check_gates(vm, now_s)
        if decision.refusal is not None:
            self.refusals[decision.refusal] += 1
            self.last_refusals[wave.wave_id] = decision
            if self._budgets.would_spare_help(
                vm, now_s, self._settings.expected_s
            ):
                self._pools_short_of_spare[vm.pool] = vm.zone
            return []
        wave.queue.take(head)
        return self._active_vms.step(wave, vm, VmEvent.GRANTED, now_s)

    def _check_gates(self, vm: Vm, now_s: float) -> Decision:
        expected_s = self._settings.expected_s
        for gate in self._gates:
            decision = gate.check_drain(vm, now_s, expected_s)
            if not decision.is_allowed:
                return decision
        return ALLOWED

    def _is_window_open(self, now_s: float) -> bool:
        window = self._maintenance
        if window is None:
            return True
        into_s = (now_s - window.window_start_s) % _DAY_S
        return into_s < window.window_length_s

    def _find_or_add_stopped(self, wave_id: str) -> Wave:
        wave = self.waves.get(wave_id)
        if wave is None:
            # A stop may arrive before its start, which must then be ignored.
            stopped = new_wave_state(wave_id, (), WaveStatus.STOPPED)
            wave = self._add_wave(stopped)
        return wave

    def _add_wave(self, state: WaveState) -> Wave:
        found = (self._inventory.find(track.vm) for track in state.tracks)
        known = [vm for vm in found if vm is not None]
        wave = Wave(state, known, self._settings)
        self.waves[wave.wave_id] = wave
        if not wave.is_ended:
            self._open_waves.append(wave)
        return wave
