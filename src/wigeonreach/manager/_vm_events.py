"""Derive events of a VM from its state as the platform reports it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeAlias

from wigeonreach.fleet import DrainProgress, Vm, VmBack, VmEvent, VmReport
from wigeonreach.provider import ActionKind, VmPhase, VmView

Report: TypeAlias = DrainProgress | VmReport | VmBack


def maintenance_reports(view: VmView) -> Iterable[Report]:
    """Yield the events of a VM that is under maintenance."""
    operation_id, _, kind = view.action_id.rpartition('/')
    if view.phase is VmPhase.DOWN:
        yield VmReport(view.name, VmEvent.LOST)
    elif kind == ActionKind.DRAIN and view.phase is VmPhase.DRAINING:
        yield DrainProgress(view.name, view.in_flight, view.open_checkpoints)
    elif view.phase is VmPhase.BOOTED:
        event = _boot_event(kind, view)
        if event is not None:
            yield VmReport(view.name, event, operation_id)


def unexpected_changes(vm: Vm, view: VmView) -> Iterable[Report]:
    """Yield the events of a VM that went down or recovered by itself."""
    is_serving = view.phase is VmPhase.SERVING
    if vm.is_up and not is_serving:
        yield VmReport(view.name, VmEvent.LOST)
    if is_serving and not vm.is_up:
        yield VmBack(view.name)


def _boot_event(kind: str, view: VmView) -> VmEvent | None:
    if kind == ActionKind.REBOOT:
        return VmEvent.REBOOTED
    if kind != ActionKind.CHECK or view.is_healthy is None:
        return None
    return VmEvent.HEALTHY if view.is_healthy else VmEvent.UNHEALTHY
