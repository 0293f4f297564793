"""Track VM ownership, so that each VM belongs to one pool at a time."""

from __future__ import annotations

import msgspec

from wigeonreach.charts import load_chart
from wigeonreach.codes import ResultCode
from wigeonreach.state._machine_dispatch import Context, answer, perform
from wigeonreach.state._machine_state import MachineState
from wigeonreach.wire._command_messages import (
    ConfirmRelease,
    GrantVm,
    ReleaseVm,
    RenewVm,
    Reply,
)
from wigeonreach.wire._state_messages import ReadVms, VmRecord, Vms

CHART = load_chart('vm_ownership')


@perform.register
def grant_vm(action: GrantVm, context: Context) -> Reply:
    """Grant a VM to a pool, if it is free or its release has expired."""
    state = context.state
    known = state.vms.get(action.vm) or _new(action.vm)
    if _is_expired(known, state.clock_s):
        known = _moved(known, 'expire')
    if CHART.step(known.phase, 'grant') is None:
        return context.refused(
            ResultCode.STATE_NOT_ALLOWED,
            f'{action.vm} is {known.phase} by pool {known.pool!r} '
            f'until {known.lease_ends_s:.0f}, now {state.clock_s:.0f}',
        )
    state.vm_token += 1
    state.vms[action.vm] = msgspec.structs.replace(
        _moved(known, 'grant'),
        pool=action.pool,
        token=state.vm_token,
        lease_ends_s=state.clock_s + action.lease_s,
    )
    return context.done(token=state.vm_token)


@perform.register
def renew_vm(action: RenewVm, context: Context) -> Reply:
    """Extend a pool's lease on a VM, unless the VM is being released."""
    ends_s = context.state.clock_s + action.lease_s
    return _step(context, action, 'renew', ends_s)


@perform.register
def release_vm(action: ReleaseVm, context: Context) -> Reply:
    """Start the release of a VM: its lease can no longer be renewed."""
    return _step(context, action, 'release')


@perform.register
def confirm_release(action: ConfirmRelease, context: Context) -> Reply:
    """Free a VM whose pool confirms that it no longer uses it."""
    return _step(context, action, 'confirm')


@answer.register
def read_vms(question: ReadVms, state: MachineState) -> Vms:
    """Return the VMs of one pool or of all pools, sorted by name."""
    return Vms(
        tuple(
            record
            for _, record in sorted(state.vms.items())
            if not question.pool or record.pool == question.pool
        ),
    )


def _step(
    context: Context,
    action: RenewVm | ReleaseVm | ConfirmRelease,
    event: str,
    ends_s: float = 0,
) -> Reply:
    known = context.state.vms.get(action.vm) or _new(action.vm)
    if known.token != action.token or not known.pool:
        return context.refused(
            ResultCode.STATE_NOT_HELD,
            f'token {action.token} of {action.vm} is not the newest',
        )
    if CHART.step(known.phase, event) is None:
        return context.refused(
            ResultCode.STATE_NOT_ALLOWED,
            f'{event} while {known.phase}',
        )
    context.state.vms[action.vm] = msgspec.structs.replace(
        _moved(known, event),
        lease_ends_s=max(ends_s, known.lease_ends_s),
    )
    return context.done(token=known.token)


def _new(vm: str) -> VmRecord:
    return VmRecord(vm, CHART.initial, '', 0, 0)


def _is_expired(known: VmRecord, now_s: float) -> bool:
    may_expire = CHART.step(known.phase, 'expire') is not None
    return may_expire and known.lease_ends_s <= now_s


def _moved(known: VmRecord, event: str) -> VmRecord:
    phase = CHART.step(known.phase, event) or known.phase
    pool = '' if phase == CHART.initial else known.pool
    return msgspec.structs.replace(known, phase=phase, pool=pool)
