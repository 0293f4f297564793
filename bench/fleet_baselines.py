"""Simpler wave planners that serve as baselines."""

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
    """Drain a fixed number of VMs at once, regardless of budgets.

    Parameters
    ----------
    step_vms
        Number of VMs in one step; the next starts when all have finished.
    """

    def __init__(self, step_vms: int) -> None:
        """Start with no wave."""
        self._step_vms = step_vms
        self._waiting: collections.deque[str] = collections.deque()
        self._active: set[str] = set()
        self.left_vms = 0

    def handle(self, message: Message, now_s: float) -> Sequence[WaveEffect]:
        """Handle a message like the wave planner."""
        if isinstance(message, StartWave) and not self.left_vms:
            self._waiting.extend(message.vms)
            self.left_vms = len(message.vms)
        effects = list(self._follow(message))
        if not self._active and self._waiting:
            effects.extend(self._next_step())
        return effects

    def is_busy(self, vm: str) -> bool:
        """Return whether a VM is under maintenance."""
        return vm in self._active

    def is_waiting(self, pool: str) -> bool:
        """Return False: this planner does not know pools."""
        return False

    def take_wanting(self) -> Mapping[str, str]:
        """Return no pools: this planner never requests spare VMs."""
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
