"""Plan waves in simpler ways, to compare with."""

from __future__ import annotations

import collections
from collections.abc import Mapping, Sequence

from wigeonreach.fleet import (
    DrainProgress,
    EffectKind,
    StartWave,
    VmEvent,
    VmReport,
    WaveEffect,
)
from wigeonreach.fleet._waves_model import Message


class FixedSteps:
    """Drain so many VMs at once, whatever the budgets say.

    Parameters
    ----------
    step_vms
        VMs of one step; the next begins when all have ended.
    """

    def __init__(self, step_vms: int) -> None:
        """Start with no wave."""
        self._step_vms = step_vms
        self._waiting: collections.deque[str] = collections.deque()
        self._active: set[str] = set()
        self.left_vms = 0

    def handle(self, message: Message, now_s: float) -> Sequence[WaveEffect]:
        """Take a message as the planner does."""
        if isinstance(message, StartWave) and not self.left_vms:
            self._waiting.extend(message.vms)
            self.left_vms = len(message.vms)
        effects = list(self._follow(message))
        if not self._active and self._waiting:
            effects.extend(self._next_step())
        return effects

    def is_busy(self, vm: str) -> bool:
        """Return whether a VM is on its way."""
        return vm in self._active

    def is_waiting(self, pool: str) -> bool:
        """Return whether a pool waits: it does not know pools."""
        return False

    def take_wanting(self) -> Mapping[str, str]:
        """Return the pools that want spare: it does not know any."""
        return {}

    def _follow(self, message: Message) -> Sequence[WaveEffect]:
        if isinstance(message, DrainProgress):
            return (_effect(EffectKind.REBOOT, message.vm),)
        if not isinstance(message, VmReport) or message.vm not in self._active:
            return ()
        if message.event is VmEvent.REBOOTED:
            return (_effect(EffectKind.CHECK, message.vm),)
        self._active.discard(message.vm)
        self.left_vms -= 1
        if message.event is VmEvent.HEALTHY:
            return (_effect(EffectKind.RESTORE, message.vm),)
        return ()

    def _next_step(self) -> Sequence[WaveEffect]:
        count = min(self._step_vms, len(self._waiting))
        names = [self._waiting.popleft() for _ in range(count)]
        self._active.update(names)
        return [_effect(EffectKind.DRAIN, name) for name in names]


def _effect(kind: EffectKind, vm: str) -> WaveEffect:
    return WaveEffect(kind, vm, f'fixed/{vm}/1')
