"""Follow one maintenance wave: its VMs, its step size and its results."""

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

_COMMANDS_KEPT = 64
_ENDED = frozenset((WaveStatus.STOPPED, WaveStatus.DONE))


class Wave:
    """One wave, owned by its planner.

    The step starts at one VM and grows by one with each VM maintained, for
    the wave and for each pool, so that a bad image costs one VM.

    Parameters
    ----------
    state
        What is known of it, from a start or from before a restart.
    vms
        Its VMs that the inventory knows.
    settings
        Limits.
    """

    def __init__(
        self,
        state: WaveState,
        vms: Iterable[Vm],
        settings: WaveSettings,
    ) -> None:
        """Take up the state."""
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
        self._commands = collections.deque(state.commands, _COMMANDS_KEPT)

    @property
    def is_ended(self) -> bool:
        """Whether the wave can't take VMs ever again."""
        return self.status in _ENDED

    @property
    def step_size(self) -> int:
        """How many VMs may be on their way at once."""
        grown = 1 + self._successes.total()
        return min(grown, self._settings.max_at_once)

    def state(self) -> WaveState:
        """Return all that must survive a restart."""
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
        """Return whether a command is new, and remember it."""
        if command_id in self._commands:
            return False
        self._commands.append(command_id)
        return True

    def has_room(self, pool: str, active_in_pool: int) -> bool:
        """Return whether the step allows one VM more of a pool."""
        if self.status is not WaveStatus.RUNNING:
            return False
        if len(self.active) >= self.step_size:
            return False
        return active_in_pool < 1 + self._successes[pool]

    def enter(self, vm: Vm, phase: Phase, now_s: float) -> None:
        """Note that a VM entered a phase."""
        track = self.tracks[vm.name]
        begins = phase is Phase.DRAINING
        self.tracks[vm.name] = Track(
            vm=vm.name,
            phase=phase,
            attempt=track.attempt + int(begins),
            since_s=now_s,
        )
        if begins:
            self.active[vm.name] = None
        elif not _is_active(phase):
            self.active.pop(vm.name, None)
        if phase is Phase.WAITING:
            self.queue.push(vm)
        self._note_result(vm.pool, phase)

    def finish_if_done(self) -> None:
        """End the wave once no VM waits or is on its way."""
        is_empty = not self.active and not len(self.queue)
        if is_empty and not self.is_ended:
            self.status = WaveStatus.DONE

    def skip(self, name: str, now_s: float) -> None:
        """Give up one VM that waited and is gone."""
        track = self.tracks[name]
        self.tracks[name] = dataclasses.replace(
            track,
            phase=Phase.SKIPPED,
            since_s=now_s,
        )

    def skip_waiting(self, now_s: float) -> None:
        """Give up all VMs that wait; linear in their number."""
        for name, track in tuple(self.tracks.items()):
            if track.phase is Phase.WAITING:
                self.skip(name, now_s)
        self.queue = WaveQueue(())

    def resume(self) -> None:
        """Run again, beginning with one VM."""
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
    """Return the state of a wave that begins."""
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
    """Return what two managers know of the same wave together.

    After a zone was cut off, each side has gone on with its own VMs.  The
    later attempt and the further phase win, so that nothing is done twice.

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
