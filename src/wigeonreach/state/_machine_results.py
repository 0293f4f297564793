"""Deduplicate commands: a resent command gets its first reply."""

from __future__ import annotations

from wigeonreach.codes import ResultCode
from wigeonreach.state._machine_dispatch import Context
from wigeonreach.state._machine_state import KnownResult, Limits, MachineState
from wigeonreach.wire._command_messages import (
    ChangeText,
    EditText,
    ForgetProcess,
    RegisterProcess,
    RenewLease,
    RenewVm,
    Reply,
    RestoreText,
)

_TEXT_ACTIONS = (ChangeText, EditText, RestoreText)
# Idempotent actions; their replies need not be remembered.
_IDEMPOTENT_ACTIONS = (ForgetProcess, RegisterProcess, RenewLease, RenewVm)


def reply_without_execution(context: Context) -> Reply | None:
    """Return the reply to a command that must not be executed.

    Parameters
    ----------
    context
        The command and the state.

    Returns
    -------
    Reply or None
        The first reply if the command was resent; a refusal if it is so old
        that its reply may have been dropped; None if it is to be executed.
    """
    command = context.command
    if isinstance(command.action, _IDEMPOTENT_ACTIONS):
        return None
    table = context.state.results
    result = table.results.get(command.command_id)
    if result is not None:
        return result.reply
    if command.seen_revision >= table.forgotten_revision:
        return None
    return context.refused(
        ResultCode.STATE_RESULT_FORGOTTEN,
        f'made at revision {command.seen_revision}, results are known from '
        f'{table.forgotten_revision}; read the state, then ask anew',
    )


def remember_reply(context: Context, reply: Reply) -> None:
    """Store a reply in case the command is resent, and drop old replies.

    Parameters
    ----------
    context
        The command and the state.
    reply
        The reply to the command.
    """
    state = context.state
    command = context.command
    if not isinstance(command.action, _IDEMPOTENT_ACTIONS):
        is_text = isinstance(command.action, _TEXT_ACTIONS)
        is_accepted = is_text and reply.code == ResultCode.OK
        state.results.results[command.command_id] = KnownResult(
            state.revision,
            reply,
            reply.version if is_accepted else 0,
        )
    _drop_old_results(state, context.limits)


def _drop_old_results(state: MachineState, limits: Limits) -> None:
    table = state.results
    oldest_kept = state.revision - limits.result_age
    while table.results:
        command_id, oldest = next(iter(table.results.items()))
        is_few = len(table.results) <= limits.results
        if is_few and oldest.revision > oldest_kept:
            return
        table.results.pop(command_id)
        table.forgotten_revision = oldest.revision
        table.forgotten_version = max(
            table.forgotten_version,
            oldest.text_version,
        )
