"""Keep how far each wave is."""

from __future__ import annotations

import msgspec

from wigeonreach.jobs._commands import RecordVmStep, StartWave, VmStep

_ENDED = frozenset((VmStep.DONE, VmStep.GONE))


class VmProgress(msgspec.Struct, array_like=True):
    """One VM of a wave; ``worker`` is the incarnation that its order ends."""

    step: VmStep = VmStep.WAITING
    worker: str = ''


class WaveRecord(msgspec.Struct, array_like=True):
    """A wave that was accepted."""

    wave: int
    due_after_s: float
    limit: int
    vms: dict[str, VmProgress]

    @property
    def is_done(self) -> bool:
        """Whether each VM was maintained, or is there no more."""
        return all(vm.step in _ENDED for vm in self.vms.values())

    @property
    def left(self) -> int:
        """How many VMs are not maintained yet."""
        return sum(vm.step not in _ENDED for vm in self.vms.values())

    @property
    def ordered(self) -> int:
        """How many VMs are, or may be, down for this wave."""
        return sum(vm.step is VmStep.ORDERED for vm in self.vms.values())


def new_wave(command: StartWave) -> WaveRecord:
    """Return a wave in which nothing was done yet."""
    return WaveRecord(
        command.wave,
        command.due_after_s,
        command.limit,
        {vm: VmProgress() for vm in command.vms},
    )


def note_step(wave: WaveRecord, command: RecordVmStep) -> None:
    """Note how far a VM is; a step is never taken back."""
    progress = wave.vms.get(command.vm)
    if progress is None or command.step <= progress.step:
        return
    progress.step = command.step
    progress.worker = command.worker or progress.worker
