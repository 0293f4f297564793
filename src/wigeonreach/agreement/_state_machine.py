"""Define what is replicated and how it is reached."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """A deterministic state that every replica computes alike.

    Nothing but the index and the command may influence it: no clock, no
    random numbers, no settings of one replica.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Carry out a committed command.

        Parameters
        ----------
        index
            Place of the command in the log; it grows from call to call, with
            gaps where the log holds entries of the replicas themselves.
        command
            What was proposed.

        Returns
        -------
        bytes
            Reply for whoever proposed; a refusal is a reply too.
        """

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by one that ``snapshot`` returned."""


class Agreement(Protocol):
    """How a replica's other parts reach the replicated state."""

    @property
    def is_leader(self) -> bool:
        """Whether this replica decides on changes now."""

    @property
    def applied_index(self) -> int:
        """Index of the last command that was applied here."""

    async def propose(self, command: bytes) -> bytes:
        """Replicate a command and return the state machine's reply.

        Raises
        ------
        StateError
            With ``STATE_NO_QUORUM`` if no quorum confirmed in time: the
            command may still be applied later, or never.
        """

    async def read_barrier(self) -> None:
        """Wait until all that was acknowledged before is applied here.

        Raises
        ------
        StateError
            With ``STATE_NO_QUORUM`` if no leader confirmed in time.
        """

    async def wait_applied(self, known_index: int) -> int:
        """Wait until more than ``known_index`` is applied; return how far."""
