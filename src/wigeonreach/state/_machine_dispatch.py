"""Choose by type what a command does and how a question is answered."""

from __future__ import annotations

import dataclasses
import functools

from wigeonreach.codes import ResultCode
from wigeonreach.state._machine_state import Limits, MachineState
from wigeonreach.wire._command_messages import Action, Command, Reply
from wigeonreach.wire._state_messages import Answer, Question


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What an action works on: the state, its limits and the command."""

    state: MachineState
    limits: Limits
    command: Command

    def done(self, version: int = 0, token: int = 0) -> Reply:
        """Build the reply to a command that was done."""
        return Reply(ResultCode.OK, '', self.state.revision, version, token)

    def refused(
        self,
        code: ResultCode,
        detail: str,
        version: int = 0,
    ) -> Reply:
        """Build the reply to a command that changed nothing."""
        return Reply(int(code), detail, self.state.revision, version)


@functools.singledispatch
def perform(action: Action, context: Context) -> Reply:
    """Do what a command asks.

    Parameters
    ----------
    action
        What to do; its type chooses the function.
    context
        What it works on.

    Returns
    -------
    Reply
        What became of it.
    """
    return context.refused(ResultCode.WIRE_MALFORMED, type(action).__name__)


@functools.singledispatch
def answer(question: Question, state: MachineState) -> Answer:
    """Answer a question from the state, without changing it.

    Parameters
    ----------
    question
        The question; its type chooses the function.
    state
        All state.

    Returns
    -------
    Answer
        The answer.
    """
    raise NotImplementedError(type(question).__name__)
