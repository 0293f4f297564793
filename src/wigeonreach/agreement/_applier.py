"""Apply committed entries to the state machine, in order."""

from __future__ import annotations

import asyncio

from wigeonreach.agreement._raft_types import Snapshot, SnapshotTaken
from wigeonreach.agreement._state_machine import StateMachine
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.wire._raft_messages import EntryKind, LogEntry

_SNAPSHOT_ENTRIES = 4096
_SNAPSHOT_BYTES = 4 * 1024 * 1024


class Applier:
    """The state machine and how far it is.

    Parameters
    ----------
    machine
        What is replicated.
    snapshot
        The snapshot to begin with, if there is one.
    logger
        Where events are logged.
    """

    def __init__(
        self,
        machine: StateMachine,
        snapshot: Snapshot | None,
        logger: Logger,
    ) -> None:
        """Begin with a snapshot or with nothing."""
        self._machine = machine
        self._log = logger
        self._moved = asyncio.Condition()
        self._entries_since = 0
        self._bytes_since = 0
        self._snapshot_bytes = 0
        self.index = 0
        if snapshot is not None:
            self.restore(snapshot)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot's."""
        self._machine.restore(snapshot.state)
        self.index = snapshot.index
        self._note_snapshot(len(snapshot.state))
        self._log.info(LogEvent.SNAPSHOT_RESTORED, index=snapshot.index)

    def apply(self, entry: LogEntry) -> bytes:
        """Apply one entry and return the state machine's reply."""
        reply = b''
        if entry.kind is EntryKind.COMMAND:
            reply = self._machine.apply(entry.index, entry.command)
        elif entry.kind is EntryKind.VOTERS:
            self._log.info(LogEvent.VOTERS_CHANGED, index=entry.index)
        self.index = entry.index
        self._entries_since += 1
        self._bytes_since += len(entry.command)
        return reply

    def snapshot_if_due(self) -> SnapshotTaken | None:
        """Return the whole state if the log has grown enough.

        The log may grow to the size of the last snapshot, so that snapshots
        cost at most as much as the log itself.
        """
        allowed_bytes = max(_SNAPSHOT_BYTES, self._snapshot_bytes)
        is_due = (
            self._entries_since >= _SNAPSHOT_ENTRIES
            or self._bytes_since >= allowed_bytes
        )
        if not is_due:
            return None
        state = self._machine.snapshot()
        self._note_snapshot(len(state))
        self._log.info(
            LogEvent.SNAPSHOT_TAKEN,
            index=self.index,
            size_bytes=len(state),
        )
        return SnapshotTaken(self.index, state)

    async def wait_index(self, index: int) -> int:
        """Wait until an index is applied; return how far it is then."""
        async with self._moved:
            await self._moved.wait_for(lambda: self.index >= index)
        return self.index

    async def tell_waiting(self) -> None:
        """Wake whoever waits for an index."""
        async with self._moved:
            self._moved.notify_all()

    def _note_snapshot(self, size_bytes: int) -> None:
        self._entries_since = 0
        self._bytes_since = 0
        self._snapshot_bytes = size_bytes
