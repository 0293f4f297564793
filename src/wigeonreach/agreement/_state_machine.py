"""Interfaces of the replicated state machine and of the consensus."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """A deterministic state machine, run by every replica.

    Its state may depend only on the indexes and commands applied: not on a
    clock, on random numbers or on the settings of one replica.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command.

        Parameters
        ----------
        index
            Index of the command in the log.  It grows from call to call, with
            gaps where the log holds internal entries of Raft.
        command
            The proposed command.

        Returns
        -------
        bytes
            Reply for the proposer; a refusal is a reply too.
        """

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with one that ``snapshot`` returned."""


class Agreement(Protocol):
    """Access to the replicated log for the other parts of a replica."""

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader."""

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied on this replica."""

    async def propose(self, command: bytes) -> bytes:
        """Replicate a command and return the state machine's reply.

        Raises
        ------
        StateError
            With ``STATE_TOO_LARGE`` if the command is too large.  With
            ``STATE_NO_QUORUM`` if no quorum confirmed in time; the command
            may still be applied later, or never.
        """

    async def read_barrier(self) -> None:
        """Wait until every command acknowledged so far is applied here.

        Raises
        ------
        StateError
            With ``STATE_NO_QUORUM`` if no leader confirmed in time, or this
            replica did not catch up in time.
        """

    async def wait_applied(self, known_index: int) -> int:
        """Wait until an entry after ``known_index`` is applied.

        Returns
        -------
        int
            Index of the last applied entry.
        """
