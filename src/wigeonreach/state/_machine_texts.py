"""Accept configuration texts, keep past versions and restore them."""

from __future__ import annotations

import itertools

from wigeonreach.charts import load_chart
from wigeonreach.codes import ResultCode
from wigeonreach.rollout import (
    LineEdit,
    apply_edits,
    checksum_of,
    describe_changes,
    find_edits,
    split_lines,
)
from wigeonreach.state._machine_dispatch import Context, answer, execute
from wigeonreach.state._machine_state import (
    AcceptedState,
    MachineState,
    PastVersion,
)
from wigeonreach.wire._command_messages import (
    Action,
    ChangeText,
    EditText,
    Reply,
    RestoreText,
)
from wigeonreach.wire._state_messages import (
    AcceptedText,
    History,
    HistoryEntry,
    ReadAccepted,
    ReadHistory,
)

_CHART = load_chart('change')
_VALID = 'valid'
_TOO_OLD = 'too_old'
_OUTDATED = 'outdated'
_MAX_DETAIL_CHARS = 1000
_ENTRY_OVERHEAD_BYTES = 200


def text_of(accepted: AcceptedState, version: int) -> str | None:
    """Return the text of a version.

    Parameters
    ----------
    accepted
        The newest text and its past versions.
    version
        The version; 0 is the empty text before the first change.

    Returns
    -------
    str or None
        The text, or None if the version is not remembered.
    """
    steps = accepted.version - version
    if steps < 0 or steps > len(accepted.past):
        return None
    lines = split_lines(accepted.text)
    for past in itertools.islice(reversed(accepted.past), steps):
        lines = apply_edits(lines, past.back_edits)
    return ''.join(lines)


@execute.register
def change_text(action: ChangeText, context: Context) -> Reply:
    """Accept a text that is based on the newest version."""
    refusal = _refuse_outdated(context, action.base_version)
    return refusal or _accept(context, action.text, '')


@execute.register
def edit_text(action: EditText, context: Context) -> Reply:
    """Accept a text that is given as edits of the newest version."""
    refusal = _refuse_outdated(context, action.base_version)
    if refusal is not None:
        return refusal
    base = split_lines(context.state.accepted.text)
    text = ''.join(apply_edits(base, action.edits))
    if checksum_of(text) != action.checksum:
        return context.refused(
            ResultCode.STATE_DAMAGED,
            'the edits do not give the text that they were made for',
            context.state.accepted.version,
        )
    return _accept(context, text, '')


def as_edits(action: ChangeText, accepted: AcceptedState) -> Action:
    """Convert a change of the text into edits, which are smaller.

    Parameters
    ----------
    action
        The change, with its whole text.
    accepted
        The newest text on this replica.

    Returns
    -------
    Action
        The edits, or the change itself if it is based on another version.
    """
    if action.base_version != accepted.version:
        return action
    edits = find_edits(split_lines(accepted.text), split_lines(action.text))
    checksum = checksum_of(action.text)
    return EditText(action.base_version, edits, checksum)


@execute.register
def restore_text(action: RestoreText, context: Context) -> Reply:
    """Accept the text of a past version again, as a new version."""
    accepted = context.state.accepted
    refusal = _refuse_outdated(context, action.base_version)
    if refusal is not None:
        return refusal
    text = text_of(accepted, action.version)
    if text is None or action.version < 1:
        oldest = max(1, accepted.version - len(accepted.past))
        return context.refused(
            ResultCode.STATE_UNKNOWN_VERSION,
            f'{action.version}; allowed: {oldest} to {accepted.version}',
            accepted.version,
        )
    return _accept(context, text, f'restores version {action.version}; ')


@answer.register
def read_accepted(question: ReadAccepted, state: MachineState) -> AcceptedText:
    """Return the newest text, or the text of the requested version."""
    accepted = state.accepted
    wanted = question.version or accepted.version
    text = text_of(accepted, wanted)
    if text is None:
        return AcceptedText(0, '')
    return AcceptedText(wanted, text)


@answer.register
def read_history(question: ReadHistory, state: MachineState) -> History:
    """Return the changes of the text, newest first."""
    newest_first = itertools.islice(
        reversed(state.accepted.past),
        question.limit,
    )
    return History(tuple(past.entry for past in newest_first))


def _refuse_outdated(context: Context, base_version: int) -> Reply | None:
    state = context.state
    event = _VALID
    if base_version < state.results.forgotten_version:
        event = _TOO_OLD
    elif base_version != state.accepted.version:
        event = _OUTDATED
    match _CHART.step(_CHART.initial, event):
        case 'accepted':
            return None
        case 'forgotten':
            return context.refused(
                ResultCode.STATE_RESULT_FORGOTTEN,
                f'based on {base_version}; whether a change with this id was '
                'accepted is not remembered; read the history',
                state.accepted.version,
            )
    return _conflict_reply(context, base_version)


def _accept(context: Context, text: str, note: str) -> Reply:
    accepted = context.state.accepted
    back_edits = find_edits(split_lines(text), split_lines(accepted.text))
    summary = note + ' | '.join(describe_changes(accepted.text, text))
    accepted.version += 1
    accepted.text = text
    _append_history(context, back_edits, summary[:_MAX_DETAIL_CHARS])
    return context.succeeded(accepted.version)


def _append_history(
    context: Context,
    back_edits: tuple[LineEdit, ...],
    summary: str,
) -> None:
    accepted = context.state.accepted
    command = context.command
    entry = HistoryEntry(
        accepted.version,
        command.command_id,
        command.author,
        command.at_s,
        summary,
    )
    size_bytes = _ENTRY_OVERHEAD_BYTES + len(summary) + _size_bytes(back_edits)
    accepted.past.append(PastVersion(entry, back_edits, size_bytes))
    accepted.past_bytes += size_bytes
    while _exceeds_limits(context):
        accepted.past_bytes -= accepted.past.pop(0).size_bytes


def _exceeds_limits(context: Context) -> bool:
    accepted = context.state.accepted
    return len(accepted.past) > 1 and (
        len(accepted.past) > context.limits.history
        or accepted.past_bytes > context.limits.history_bytes
    )


def _size_bytes(edits: tuple[LineEdit, ...]) -> int:
    return sum(len(line) for edit in edits for line in edit.added)


def _conflict_reply(context: Context, base_version: int) -> Reply:
    accepted = context.state.accepted
    base = text_of(accepted, base_version)
    if base is None:
        changed = 'that version is not remembered'
    else:
        changed = ' | '.join(describe_changes(base, accepted.text))
    detail = (
        f'based on {base_version}, now {accepted.version}; '
        f'changed in between: {changed or "nothing"}'
    )
    return context.refused(
        ResultCode.STATE_CONFLICT,
        detail[:_MAX_DETAIL_CHARS],
        accepted.version,
    )
