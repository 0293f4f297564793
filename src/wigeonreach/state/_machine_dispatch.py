"""Dispatch actions and questions to their handlers by type."""

from __future__ import annotations

import dataclasses
import functools

from wigeonreach.codes import ResultCode
from wigeonreach.state._machine_state import Limits, MachineState
from wigeonreach.wire._command_messages import Action, Command, Reply
from wigeonreach.wire._state_messages import Answer, Question


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What a handler works with: the state, its limits and the command."""

    state: MachineState
    limits: Limits
    command: Command

    def succeeded(self, version: int = 0, token: int = 0) -> Reply:
        """Return the reply to a command that was executed."""
        return Reply(ResultCode.OK, '', self.state.revision, version, token)

    def refused(
        self,
        code: ResultCode,
        detail: str,
        version: int = 0,
    ) -> Reply:
        """Return the reply to a command that was refused."""
        return Reply(int(code), detail, self.state.revision, version)


@functools.singledispatch
def execute(action: Action, context: Context) -> Reply:
    """Execute the action of a command.

    Parameters
    ----------
    action
        The action; its type selects the handler.
    context
        The state, its limits and the command.

    Returns
    -------
    Reply
        The outcome.
    """
    return context.refused(ResultCode.WIRE_MALFORMED, type(action).__name__)


@functools.singledispatch
def answer(question: Question, state: MachineState) -> Answer:
    """Answer a question from the state, without changing it.

    Parameters
    ----------
    question
        The question; its type selects the handler.
    state
        The replicated state.

    Returns
    -------
    Answer
        The answer.
    """
    raise NotImplementedError(type(question).__name__)
