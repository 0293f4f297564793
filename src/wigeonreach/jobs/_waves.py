"""Replicated state of maintenance waves."""

from __future__ import annotations

import msgspec

from wigeonreach.jobs._commands import RecordVmStep, StartWave, VmStep

_FINAL_STEPS = frozenset((VmStep.DONE, VmStep.GONE))


class VmProgress(msgspec.Struct, array_like=True):
    """State of one VM; ``worker`` is the incarnation its order terminates."""

    step: VmStep = VmStep.WAITING
    worker: str = ''


class WaveRecord(msgspec.Struct, array_like=True):
    """An accepted wave and the state of each of its VMs."""

    wave: int
    due_after_s: float
    limit: int
    vms: dict[str, VmProgress]

    @property
    def is_done(self) -> bool:
        """Whether each VM was maintained, or refused for good."""
        return all(vm.step in _FINAL_STEPS for vm in self.vms.values())

    @property
    def remaining_count(self) -> int:
        """How many VMs are not finished yet."""
        return sum(vm.step not in _FINAL_STEPS for vm in self.vms.values())

    @property
    def ordered_count(self) -> int:
        """How many VMs are, or may be, down because of this wave."""
        return sum(vm.step is VmStep.ORDERED for vm in self.vms.values())


def new_wave(command: StartWave) -> WaveRecord:
    """Return a wave whose VMs are all waiting."""
    return WaveRecord(
        command.wave,
        command.due_after_s,
        command.limit,
        {vm: VmProgress() for vm in command.vms},
    )


def apply_vm_step(wave: WaveRecord, command: RecordVmStep) -> None:
    """Advance the state of a VM; it never goes back to an earlier step."""
    progress = wave.vms.get(command.vm)
    if progress is None or command.step <= progress.step:
        return
    progress.step = command.step
    progress.worker = command.worker or progress.worker
