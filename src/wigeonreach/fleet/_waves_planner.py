"""Decide the next steps of all maintenance waves over one inventory."""

from __future__ import annotations

import collections
import dataclasses
import functools
import itertools
from collections.abc import Iterable, Mapping, Sequence

from wigeonreach.fleet._budget import ALLOWED, Budgets, Refusal, Verdict
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import Vm, VmState
from wigeonreach.fleet._waves_chart import VmEvent
from wigeonreach.fleet._waves_flight import Flights
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
from wigeonreach.fleet._waves_queue import Head
from wigeonreach.fleet._waves_wave import Wave, new_wave_state
from wigeonreach.text import Maintenance

# Zones and pools asked for a VM on one event; bounds what an event costs.
_HEADS_PER_EVENT = 16
_DAY_S = 86_400.0


class WavePlanner:
    """All waves of one manager.

    Parameters
    ----------
    inventory, budgets
        The VMs and what may be down; changed with each step.
    settings
        Limits of waves.
    maintenance
        When VMs may be drained; None for always.
    gates
        Limits besides the budgets.
    """

    def __init__(
        self,
        inventory: Inventory,
        budgets: Budgets,
        settings: WaveSettings | None = None,
        maintenance: Maintenance | None = None,
        gates: Sequence[Gate] = (),
    ) -> None:
        """Start with no wave."""
        self.waves: dict[str, Wave] = {}
        self.refusals: collections.Counter[Refusal] = collections.Counter()
        self.last_refusals: dict[str, Verdict] = {}
        self._wanting: dict[str, str] = {}
        self._inventory = inventory
        self._budgets = budgets
        self._settings = settings or WaveSettings()
        self._maintenance = maintenance
        self._gates: tuple[Gate, ...] = (budgets, *gates)
        self._flights = Flights(inventory, budgets, self._settings)
        self._open: collections.deque[Wave] = collections.deque()

    def restore(
        self,
        states: Iterable[WaveState],
        now_s: float,
    ) -> list[WaveEffect]:
        """Go on with waves after a restart.

        Parameters
        ----------
        states
            What `Wave.state` gave before.
        now_s
            Time, in seconds.

        Returns
        -------
        list[WaveEffect]
            What was asked for already, under the same ids.
        """
        effects: list[WaveEffect] = []
        for state in states:
            wave = self._add(state)
            effects.extend(self._flights.adopt(wave, now_s))
        return effects

    def handle(self, message: Message, now_s: float) -> list[WaveEffect]:
        """Take one message and decide what to do next.

        Parameters
        ----------
        message
            A command, a report or the passing of time.
        now_s
            Time, in seconds.

        Returns
        -------
        list[WaveEffect]
            What the platform is asked to do.
        """
        effects = self._take(message, now_s)
        return effects + self._grant(now_s)

    def take_wanting(self) -> Mapping[str, str]:
        """Return the pools that were refused for want of spare, once.

        Another VM lent to such a pool lets its maintenance go on; best one
        in the zone given by pool, where the VM stands that waits.
        """
        wanting = self._wanting
        self._wanting = {}
        return wanting

    def is_busy(self, vm: str) -> bool:
        """Return whether some wave has a VM on its way."""
        return self._flights.wave_of(vm) is not None

    def is_waiting(self, pool: str) -> bool:
        """Return whether some running wave has VMs of a pool waiting."""
        return any(
            wave.queue.is_waiting(pool)
            for wave in self._open
            if wave.status is WaveStatus.RUNNING
        )

    @functools.singledispatchmethod
    def _take(self, message: Message, now_s: float) -> list[WaveEffect]:
        raise TypeError(message)

    @_take.register
    def _start(self, message: StartWave, now_s: float) -> list[WaveEffect]:
        if message.wave_id not in self.waves:
            wave = self._add(new_wave_state(message.wave_id, message.vms))
            wave.take_command(message.command_id)
        return []

    @_take.register
    def _pause(self, message: PauseWave, now_s: float) -> list[WaveEffect]:
        wave = self.waves.get(message.wave_id)
        if wave is None or not wave.take_command(message.command_id):
            return []
        if wave.status is WaveStatus.RUNNING:
            wave.status = WaveStatus.PAUSED
        return []

    @_take.register
    def _resume(self, message: ResumeWave, now_s: float) -> list[WaveEffect]:
        wave = self.waves.get(message.wave_id)
        if wave is None or not wave.take_command(message.command_id):
            return []
        if not wave.is_ended:
            wave.resume()
        return []

    @_take.register
    def _stop(self, message: StopWave, now_s: float) -> list[WaveEffect]:
        wave = self._known(message.wave_id)
        wave.take_command(message.command_id)
        if wave.is_ended:
            return []
        wave.status = WaveStatus.STOPPED
        wave.skip_waiting(now_s)
        steps = (
            self._flights.step(wave, vm, VmEvent.STOPPED, now_s)
            for vm in self._flights.draining()
            if vm.name in wave.active
        )
        return list(itertools.chain.from_iterable(steps))

    @_take.register
    def _drain(self, message: DrainProgress, now_s: float) -> list[WaveEffect]:
        if message.in_flight or message.open_checkpoints:
            return []
        return self._event(message.vm, VmEvent.DRAINED, now_s)

    @_take.register
    def _report(self, message: VmReport, now_s: float) -> list[WaveEffect]:
        if message.event is VmEvent.LOST:
            return self._lost(message.vm, now_s)
        # Reports may come late and twice, also those of an earlier attempt.
        if not self._flights.accepts(message.vm, message.operation_id):
            return []
        return self._event(message.vm, message.event, now_s)

    @_take.register
    def _back(self, message: VmBack, now_s: float) -> list[WaveEffect]:
        vm = self._inventory.find(message.vm)
        if vm is not None and self._flights.wave_of(vm.name) is None:
            self._flights.set_state(vm, VmState.SERVING, now_s)
        return []

    @_take.register
    def _tick(self, message: Tick, now_s: float) -> list[WaveEffect]:
        effects: list[WaveEffect] = []
        for name, is_limit in self._flights.due(now_s):
            if is_limit:
                effects += self._event(name, VmEvent.TIMED_OUT, now_s)
            else:
                effects += self._flights.resend(name, now_s)
        return effects

    def _event(
        self,
        name: str,
        event: VmEvent,
        now_s: float,
    ) -> list[WaveEffect]:
        wave = self._flights.wave_of(name)
        vm = self._inventory.find(name)
        if wave is None or vm is None:
            return []
        return self._flights.step(wave, vm, event, now_s)

    def _lost(self, name: str, now_s: float) -> list[WaveEffect]:
        vm = self._inventory.find(name)
        if vm is None:
            return []
        effects = self._event(name, VmEvent.LOST, now_s)
        if self._flights.wave_of(name) is None:
            self._flights.set_state(vm, VmState.DOWN, now_s)
        return effects + self._recall(now_s)

    def _recall(self, now_s: float) -> list[WaveEffect]:
        """Take back drains that the budget would not allow any more."""
        effects: list[WaveEffect] = []
        for vm in self._flights.draining():
            wave = self._flights.wave_of(vm.name)
            self._flights.set_state(vm, VmState.SERVING, now_s)
            serving = dataclasses.replace(vm, state=VmState.SERVING)
            if wave and not self._judge(serving, now_s).is_allowed:
                effects += self._flights.step(wave, vm, VmEvent.RECALLED, now_s)
            else:
                self._flights.set_state(vm, VmState.DRAINING, now_s)
        return effects

    def _grant(self, now_s: float) -> list[WaveEffect]:
        for wave in tuple(self._open):
            wave.finish_if_done()
            if wave.is_ended:
                self._open.remove(wave)
        if not self._is_window_open(now_s):
            return []
        # Waves take turns at being first, so that none starves another.
        self._open.rotate()
        steps = (
            self._grant_one(wave, head, now_s)
            for wave in self._open
            for head in wave.queue.heads(_HEADS_PER_EVENT)
        )
        return list(itertools.chain.from_iterable(steps))

    def _grant_one(
        self,
        wave: Wave,
        head: Head,
        now_s: float,
    ) -> list[WaveEffect]:
        vm = self._inventory.find(head.name)
        if vm is None:
            wave.queue.take(head)
            wave.skip(head.name, now_s)
            return []
        if not wave.has_room(vm.pool, self._flights.in_pool(wave, vm.pool)):
            return []
        if not vm.is_up or self._flights.wave_of(vm.name) is not None:
            wave.queue.defer(head)
            return []
        verdict = self._judge(vm, now_s)
        if verdict.refusal is not None:
            self.refusals[verdict.refusal] += 1
            self.last_refusals[wave.wave_id] = verdict
            if self._budgets.lacks_spare(vm, now_s, self._settings.expected_s):
                self._wanting[vm.pool] = vm.zone
            return []
        wave.queue.take(head)
        return self._flights.step(wave, vm, VmEvent.GRANTED, now_s)

    def _judge(self, vm: Vm, now_s: float) -> Verdict:
        expected_s = self._settings.expected_s
        for gate in self._gates:
            verdict = gate.judge(vm, now_s, expected_s)
            if not verdict.is_allowed:
                return verdict
        return ALLOWED

    def _is_window_open(self, now_s: float) -> bool:
        window = self._maintenance
        if window is None:
            return True
        into_s = (now_s - window.window_start_s) % _DAY_S
        return into_s < window.window_length_s

    def _known(self, wave_id: str) -> Wave:
        wave = self.waves.get(wave_id)
        if wave is None:
            # A stop may overtake its start, which then must not begin.
            stopped = new_wave_state(wave_id, (), WaveStatus.STOPPED)
            wave = self._add(stopped)
        return wave

    def _add(self, state: WaveState) -> Wave:
        found = (self._inventory.find(track.vm) for track in state.tracks)
        known = [vm for vm in found if vm is not None]
        wave = Wave(state, known, self._settings)
        self.waves[wave.wave_id] = wave
        if not wave.is_ended:
            self._open.append(wave)
        return wave
