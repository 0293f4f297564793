"""Track VM ownership, so that each VM belongs to one pool at a time."""

from __future__ import annotations

import msgspec

from wigeonreach.charts import load_chart
from wigeonreach.codes import ResultCode
from wigeonreach.state._machine_dispatch import Context, answer, execute
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


@execute.register
def grant_vm(action: GrantVm, context: Context) -> Reply:
    """Grant a VM to a pool, if it is free or its lease ended in a release."""
    state = context.state
    record = state.vms.get(action.vm) or _free_vm(action.vm)
    if _is_expired(record, state.clock_s):
        record = _after_event(record, 'expire')
    if CHART.step(record.phase, 'grant') is None:
        return context.refused(
            ResultCode.STATE_NOT_ALLOWED,
            f'{action.vm} is {record.phase} by pool {record.pool!r} '
            f'until {record.lease_ends_s:.0f}, now {state.clock_s:.0f}',
        )
    state.vm_token += 1
    state.vms[action.vm] = msgspec.structs.replace(
        _after_event(record, 'grant'),
        pool=action.pool,
        token=state.vm_token,
        lease_ends_s=state.clock_s + action.lease_s,
    )
    return context.succeeded(token=state.vm_token)


@execute.register
def renew_vm(action: RenewVm, context: Context) -> Reply:
    """Extend a pool's lease on a VM, unless the VM is being released."""
    ends_s = context.state.clock_s + action.lease_s
    return _transition(context, action, 'renew', ends_s)


@execute.register
def release_vm(action: ReleaseVm, context: Context) -> Reply:
    """Start the release of a VM: its lease can no longer be renewed."""
    return _transition(context, action, 'release')


@execute.register
def confirm_release(action: ConfirmRelease, context: Context) -> Reply:
    """Free a VM whose pool confirms that it no longer uses it."""
    return _transition(context, action, 'confirm')


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


def _transition(
    context: Context,
    action: RenewVm | ReleaseVm | ConfirmRelease,
    event: str,
    ends_s: float = 0,
) -> Reply:
    record = context.state.vms.get(action.vm) or _free_vm(action.vm)
    if record.token != action.token or not record.pool:
        return context.refused(
            ResultCode.STATE_NOT_HELD,
            f'token {action.token} of {action.vm} is not the newest',
        )
    if CHART.step(record.phase, event) is None:
        return context.refused(
            ResultCode.STATE_NOT_ALLOWED,
            f'{event} while {record.phase}',
        )
    context.state.vms[action.vm] = msgspec.structs.replace(
        _after_event(record, event),
        lease_ends_s=max(ends_s, record.lease_ends_s),
    )
    return context.succeeded(token=record.token)


def _free_vm(vm: str) -> VmRecord:
    return VmRecord(vm, CHART.initial, '', 0, 0)


def _is_expired(record: VmRecord, now_s: float) -> bool:
    may_expire = CHART.step(record.phase, 'expire') is not None
    return may_expire and record.lease_ends_s <= now_s


def _after_event(record: VmRecord, event: str) -> VmRecord:
    phase = CHART.step(record.phase, event) or record.phase
    pool = '' if phase == CHART.initial else record.pool
    return msgspec.structs.replace(record, phase=phase, pool=pool)
