"""Apply committed commands to the state, identically on every replica."""

from __future__ import annotations

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.state import (
    _machine_leases,
    _machine_processes,
    _machine_texts,
    _machine_vms,
    _machine_waves,
)
from wigeonreach.state._machine_dispatch import Context, answer, execute
from wigeonreach.state._machine_results import (
    remember_reply,
    reply_without_execution,
)
from wigeonreach.state._machine_state import Limits, MachineState
from wigeonreach.wire._command_messages import Command, Reply
from wigeonreach.wire._state_messages import Answer, Question

# Importing these modules registers their handlers of actions and questions.
HANDLERS = (
    _machine_leases,
    _machine_processes,
    _machine_texts,
    _machine_vms,
    _machine_waves,
)
_DEFAULT_LIMITS = Limits()
_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
_STATE_DECODER = msgspec.msgpack.Decoder(MachineState)


class Machine:
    """The deterministic state machine behind the replicated log.

    Parameters
    ----------
    limits
        How much the state remembers; must be the same on every replica.
    """

    def __init__(self, limits: Limits = _DEFAULT_LIMITS) -> None:
        """Start with an empty state."""
        self._limits = limits
        self.state = MachineState()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command.

        Parameters
        ----------
        index
            Index of the command in the log.
        command
            An encoded ``Command``.

        Returns
        -------
        bytes
            An encoded ``Reply``; malformed bytes get a refusal, not an error.
        """
        self.state.revision += 1
        try:
            decoded = _COMMAND_DECODER.decode(command)
        except msgspec.MsgspecError as error:
            return msgspec.msgpack.encode(self._malformed(index, error))
        return msgspec.msgpack.encode(self._apply(decoded))

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return msgspec.msgpack.encode(self.state)

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state with that of a snapshot.

        Raises
        ------
        msgspec.MsgspecError
            If the bytes are not a snapshot.
        """
        self.state = _STATE_DECODER.decode(snapshot)

    def query(self, question: Question) -> Answer:
        """Answer a question without changing the state."""
        return answer(question, self.state)

    def known_reply(self, command: Command) -> Reply | None:
        """Return the reply to a command that must not be executed, or None."""
        return reply_without_execution(
            Context(self.state, self._limits, command)
        )

    def _apply(self, command: Command) -> Reply:
        self.state.clock_s = max(self.state.clock_s, command.at_s)
        context = Context(self.state, self._limits, command)
        reply = reply_without_execution(context)
        if reply is None:
            reply = execute(command.action, context)
            remember_reply(context, reply)
        return reply

    def _malformed(self, index: int, error: Exception) -> Reply:
        return Reply(
            ResultCode.WIRE_MALFORMED,
            f'command {index}: {error}',
            self.state.revision,
        )
