"""Grant named leases, each with a higher fencing token than the one before."""

from __future__ import annotations

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.state._machine_dispatch import Context, answer, perform
from wigeonreach.state._machine_state import MachineState
from wigeonreach.wire._command_messages import (
    AcquireLease,
    ReleaseLease,
    RenewLease,
    Reply,
)
from wigeonreach.wire._state_messages import LeaseRecord, ReadLease


@perform.register
def acquire_lease(action: AcquireLease, context: Context) -> Reply:
    """Grant a lease that is free, expired or held by the same holder."""
    state = context.state
    known = state.leases.get(action.name) or _never_held(action.name)
    is_held = bool(known.holder) and known.ends_s > state.clock_s
    if is_held and known.holder != action.holder:
        return _refused(context, known)
    # The current holder gets a new token too: an older process of the same
    # name may still be running.
    granted = LeaseRecord(
        name=action.name,
        holder=action.holder,
        token=known.token + 1,
        ends_s=state.clock_s + action.duration_s,
    )
    state.leases[action.name] = granted
    return context.done(token=granted.token)


@perform.register
def renew_lease(action: RenewLease, context: Context) -> Reply:
    """Extend a lease that has not expired."""
    state = context.state
    known = state.leases.get(action.name) or _never_held(action.name)
    if not _is_holder(known, action) or known.ends_s <= state.clock_s:
        return _refused(context, known)
    state.leases[action.name] = msgspec.structs.replace(
        known,
        ends_s=max(known.ends_s, state.clock_s + action.duration_s),
    )
    return context.done(token=known.token)


@perform.register
def release_lease(action: ReleaseLease, context: Context) -> Reply:
    """Release a lease; its token is not granted again."""
    state = context.state
    known = state.leases.get(action.name) or _never_held(action.name)
    if not _is_holder(known, action):
        return _refused(context, known)
    state.leases[action.name] = msgspec.structs.replace(known, holder='')
    return context.done(token=known.token)


@answer.register
def read_lease(question: ReadLease, state: MachineState) -> LeaseRecord:
    """Return the record of a lease."""
    return state.leases.get(question.name) or _never_held(question.name)


def _is_holder(
    known: LeaseRecord,
    action: RenewLease | ReleaseLease,
) -> bool:
    return (known.holder, known.token) == (action.holder, action.token)


def _never_held(name: str) -> LeaseRecord:
    return LeaseRecord(name, '', 0, 0)


def _refused(context: Context, known: LeaseRecord) -> Reply:
    return context.refused(
        ResultCode.STATE_NOT_HELD,
        f'{known.name} is held by {known.holder!r} with token {known.token} '
        f'until {known.ends_s:.0f}, now {context.state.clock_s:.0f}',
    )
