"""Grant named leases, each with a higher fencing token than the one before."""

from __future__ import annotations

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.state._machine_dispatch import Context, answer, execute
from wigeonreach.state._machine_state import MachineState
from wigeonreach.wire._command_messages import (
    AcquireLease,
    ReleaseLease,
    RenewLease,
    Reply,
)
from wigeonreach.wire._state_messages import LeaseRecord, ReadLease


@execute.register
def acquire_lease(action: AcquireLease, context: Context) -> Reply:
    """Grant a lease that is free, expired or held by the same holder."""
    state = context.state
    record = state.leases.get(action.name) or _unheld_lease(action.name)
    is_held = bool(record.holder) and record.ends_s > state.clock_s
    if is_held and record.holder != action.holder:
        return _refuse_not_held(context, record)
    # The current holder gets a new token too: an older process of the same
    # name may still be running.
    granted = LeaseRecord(
        name=action.name,
        holder=action.holder,
        token=record.token + 1,
        ends_s=state.clock_s + action.duration_s,
    )
    state.leases[action.name] = granted
    return context.succeeded(token=granted.token)


@execute.register
def renew_lease(action: RenewLease, context: Context) -> Reply:
    """Extend a lease that has not expired."""
    state = context.state
    record = state.leases.get(action.name) or _unheld_lease(action.name)
    if not _is_holder(record, action) or record.ends_s <= state.clock_s:
        return _refuse_not_held(context, record)
    state.leases[action.name] = msgspec.structs.replace(
        record,
        ends_s=max(record.ends_s, state.clock_s + action.duration_s),
    )
    return context.succeeded(token=record.token)


@execute.register
def release_lease(action: ReleaseLease, context: Context) -> Reply:
    """Release a lease; its token is not granted again."""
    state = context.state
    record = state.leases.get(action.name) or _unheld_lease(action.name)
    if not _is_holder(record, action):
        return _refuse_not_held(context, record)
    state.leases[action.name] = msgspec.structs.replace(record, holder='')
    return context.succeeded(token=record.token)


@answer.register
def read_lease(question: ReadLease, state: MachineState) -> LeaseRecord:
    """Return the record of a lease."""
    return state.leases.get(question.name) or _unheld_lease(question.name)


def _is_holder(
    record: LeaseRecord,
    action: RenewLease | ReleaseLease,
) -> bool:
    return (record.holder, record.token) == (action.holder, action.token)


def _unheld_lease(name: str) -> LeaseRecord:
    return LeaseRecord(name, '', 0, 0)


def _refuse_not_held(context: Context, record: LeaseRecord) -> Reply:
    return context.refused(
        ResultCode.STATE_NOT_HELD,
        f'{record.name} is held by {record.holder!r} with token {record.token} '
        f'until {record.ends_s:.0f}, now {context.state.clock_s:.0f}',
    )
