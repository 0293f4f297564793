"""State of one maintenance wave: its VMs, step size and results."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from wigeonreach.fleet._model import Vm
from wigeonreach.fleet._waves_chart import Phase
from wigeonreach.fleet._waves_model import (
    Track,
    WaveSettings,
    WaveState,
    WaveStatus,
)
from wigeonreach.fleet._waves_queue import WaveQueue

_MAX_COMMANDS = 64
_ENDED = frozenset((WaveStatus.STOPPED, WaveStatus.DONE))


class Wave:
    """One maintenance wave, owned by its planner.

    The step size starts at one VM and grows by one with each VM maintained,
    for the wave and for each pool, so that a bad image affects only one VM.

    Parameters
    ----------
    state
        Initial state, either new or saved before a restart.
    vms
        VMs of the wave that the inventory contains.
    settings
        Limits of waves.
    """

    def __init__(
        self,
        state: WaveState,
        vms: Iterable[Vm],
        settings: WaveSettings,
    ) -> None:
        """Load the state."""
        self.wave_id = state.wave_id
        self.status = state.status
        self.reason = state.reason
        self.tracks = {track.vm: track for track in state.tracks}
        self.active = {
            track.vm: None for track in state.tracks if _is_active(track.phase)
        }
        self.queue = WaveQueue(
            vm for vm in vms if self.tracks[vm.name].phase is Phase.WAITING
        )
        self._settings = settings
        self._results = collections.deque(
            state.results,
            maxlen=settings.halt_window,
        )
        self._successes = collections.Counter(dict(state.successes))
        self._commands = collections.deque(state.commands, _MAX_COMMANDS)

    @property
    def is_ended(self) -> bool:
        """Whether the wave is over and starts no further VMs."""
        return self.status in _ENDED

    @property
    def step_size(self) -> int:
        """Largest number of VMs that may be active at once."""
        size = 1 + self._successes.total()
        return min(size, self._settings.max_at_once)

    def state(self) -> WaveState:
        """Return the state that must survive a restart."""
        return WaveState(
            wave_id=self.wave_id,
            status=self.status,
            reason=self.reason,
            tracks=tuple(self.tracks.values()),
            results=tuple(self._results),
            successes=tuple(self._successes.items()),
            commands=tuple(self._commands),
        )

    def take_command(self, command_id: str) -> bool:
        """Return whether a command is new, and record its id."""
        if command_id in self._commands:
            return False
        self._commands.append(command_id)
        return True

    def allows_another(self, pool: str, active_in_pool: int) -> bool:
        """Return whether the step size allows one more VM of a pool."""
        if self.status is not WaveStatus.RUNNING:
            return False
        if len(self.active) >= self.step_size:
            return False
        return active_in_pool < 1 + self._successes[pool]

    def enter(self, vm: Vm, phase: Phase, now_s: float) -> None:
        """Record that a VM entered a phase."""
        track = self.tracks[vm.name]
        is_start = phase is Phase.DRAINING
        self.tracks[vm.name] = Track(
            vm=vm.name,
            phase=phase,
            attempt=track.attempt + int(is_start),
            since_s=now_s,
        )
        if is_start:
            self.active[vm.name] = None
        elif not _is_active(phase):
            self.active.pop(vm.name, None)
        if phase is Phase.WAITING:
            self.queue.push(vm)
        self._note_result(vm.pool, phase)

    def finish_if_done(self) -> None:
        """End the wave if no VM is waiting or active."""
        is_empty = not self.active and not len(self.queue)
        if is_empty and not self.is_ended:
            self.status = WaveStatus.DONE

    def skip(self, name: str, now_s: float) -> None:
        """Skip one waiting VM, such as one that no longer exists."""
        track = self.tracks[name]
        self.tracks[name] = dataclasses.replace(
            track,
            phase=Phase.SKIPPED,
            since_s=now_s,
        )

    def skip_waiting(self, now_s: float) -> None:
        """Skip all waiting VMs; linear in the number of VMs of the wave."""
        for name, track in tuple(self.tracks.items()):
            if track.phase is Phase.WAITING:
                self.skip(name, now_s)
        self.queue = WaveQueue(())

    def resume(self) -> None:
        """Resume the wave with a step size of one VM."""
        self.status = WaveStatus.RUNNING
        self.reason = ''
        self._results.clear()
        self._successes.clear()

    def _note_result(self, pool: str, phase: Phase) -> None:
        if phase is Phase.MAINTAINED:
            self._results.append(True)
            self._successes[pool] += 1
        elif phase is Phase.FAILED:
            self._note_failure()

    def _note_failure(self) -> None:
        is_first = True not in self._results
        self._results.append(False)
        self._successes.clear()
        failures = self._results.count(False)
        if is_first or failures >= self._settings.halt_failures:
            self._halt(f'{failures} of the last {len(self._results)} failed')

    def _halt(self, reason: str) -> None:
        if not self.is_ended:
            self.status = WaveStatus.HALTED
            self.reason = reason


def new_wave_state(
    wave_id: str,
    vms: Iterable[str],
    status: WaveStatus = WaveStatus.RUNNING,
) -> WaveState:
    """Return the initial state of a wave."""
    return WaveState(
        wave_id=wave_id,
        status=status,
        reason='',
        tracks=tuple(Track(vm) for vm in vms),
        results=(),
        successes=(),
        commands=(),
    )


def merge_states(one: WaveState, other: WaveState) -> WaveState:
    """Merge the states that two managers have of the same wave.

    While a zone is partitioned, each side continues with its own VMs.  For
    each VM, the later attempt wins, or the later phase of the same attempt,
    so that nothing is done twice.  Everything else is taken from the state
    whose status comes later in `WaveStatus`.

    Parameters
    ----------
    one, other
        States of the same wave.
    """
    tracks = {track.vm: track for track in one.tracks}
    for track in other.tracks:
        known = tracks.get(track.vm, track)
        tracks[track.vm] = max(known, track, key=_progress)
    further = max(one, other, key=_finality)
    return dataclasses.replace(further, tracks=tuple(tracks.values()))


def _is_active(phase: Phase) -> bool:
    return phase is not Phase.WAITING and not phase.is_final


def _progress(track: Track) -> tuple[int, int]:
    return track.attempt, tuple(Phase).index(track.phase)


def _finality(state: WaveState) -> int:
    return tuple(WaveStatus).index(state.status)
