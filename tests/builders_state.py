"""Commands and a replicated state in memory, for tests."""

from __future__ import annotations

import itertools
from typing import TypeVar

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError
from wigeonreach.state._machine import Machine
from wigeonreach.state._machine_state import Limits
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._command_messages import Action, Command, Reply
from wigeonreach.wire._state_messages import Question

_Answer = TypeVar('_Answer', bound=WireMessage)
_DECODER = msgspec.msgpack.Decoder(Reply)


def build_command(
    action: Action,
    command_id: str = 'c-1',
    seen_revision: int = 0,
    at_s: float = 0,
) -> Command:
    """Return a command of a sample operator."""
    return Command(command_id, seen_revision, 'amina', at_s, action)


def apply_command(machine: Machine, command: Command) -> Reply:
    """Apply a command as a replica does and return its reply."""
    encoded = msgspec.msgpack.encode(command)
    return _DECODER.decode(machine.apply(machine.state.revision + 1, encoded))


class FakeState:
    """A state without replicas, used in place of ``StateClient``.

    ``now_s`` is the time that commands carry, in seconds; while
    ``is_reachable`` is False every call fails as it does without a quorum.
    """

    def __init__(self, author: str = 'amina', limits: Limits | None = None):
        """Start with an empty state."""
        self.machine = Machine(limits or Limits())
        self.now_s = 1000.0
        self.is_reachable = True
        self._author = author
        self._ids = itertools.count(1)

    def sharing(self, author: str) -> FakeState:
        """Return another client of the same state."""
        other = FakeState(author)
        other.machine = self.machine
        other.now_s = self.now_s
        return other

    async def submit(
        self,
        action: Action,
        command_id: str | None = None,
    ) -> Reply:
        """Apply an action at once."""
        self._check_reachable()
        command = Command(
            command_id or f'{self._author}-{next(self._ids)}',
            self.machine.state.revision,
            self._author,
            self.now_s,
            action,
        )
        return apply_command(self.machine, command)

    async def read(
        self,
        question: Question,
        answer_type: type[_Answer],
        *,
        is_local: bool = False,
    ) -> _Answer:
        """Answer a question at once."""
        if not is_local:
            self._check_reachable()
        answer = self.machine.query(question)
        assert isinstance(answer, answer_type)
        return answer

    def _check_reachable(self) -> None:
        if not self.is_reachable:
            raise StateError(ResultCode.STATE_NO_QUORUM, 'no replica answers')
