"""Apply committed entries to the state machine, in log order."""

from __future__ import annotations

import asyncio

from wigeonreach.agreement._raft_types import Snapshot, SnapshotTaken
from wigeonreach.agreement._state_machine import StateMachine
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.wire._raft_messages import EntryKind, LogEntry

_MAX_ENTRIES_SINCE_SNAPSHOT = 4096
_MIN_LOG_GROWTH_BYTES = 4 * 1024 * 1024


class Applier:
    """Applies entries to the state machine and tracks the applied index.

    Parameters
    ----------
    machine
        The replicated state machine.
    snapshot
        The stored snapshot, if there is one.
    logger
        Where events are logged.
    """

    def __init__(
        self,
        machine: StateMachine,
        snapshot: Snapshot | None,
        logger: Logger,
    ) -> None:
        """Restore the snapshot, if there is one."""
        self._machine = machine
        self._log = logger
        self._index_changed = asyncio.Condition()
        self._entries_since_snapshot = 0
        self._bytes_since_snapshot = 0
        self._last_snapshot_bytes = 0
        self.index = 0
        if snapshot is not None:
            self.restore(snapshot)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state with that of a snapshot."""
        self._machine.restore(snapshot.state)
        self.index = snapshot.index
        self._reset_growth(len(snapshot.state))
        self._log.info(LogEvent.SNAPSHOT_RESTORED, index=snapshot.index)

    def apply(self, entry: LogEntry) -> bytes:
        """Apply one entry and return the state machine's reply."""
        reply = b''
        if entry.kind is EntryKind.COMMAND:
            reply = self._machine.apply(entry.index, entry.command)
        elif entry.kind is EntryKind.VOTERS:
            self._log.info(LogEvent.VOTERS_CHANGED, index=entry.index)
        self.index = entry.index
        self._entries_since_snapshot += 1
        self._bytes_since_snapshot += len(entry.command)
        return reply

    def snapshot_if_due(self) -> SnapshotTaken | None:
        """Take a snapshot if the log has grown enough since the last one.

        It is due after a fixed number of entries, or once the commands are
        as large as the last snapshot (and at least a minimum size).  With the
        second limit alone, writing snapshots costs at most as much as writing
        the log itself.
        """
        allowed_bytes = max(_MIN_LOG_GROWTH_BYTES, self._last_snapshot_bytes)
        is_due = (
            self._entries_since_snapshot >= _MAX_ENTRIES_SINCE_SNAPSHOT
            or self._bytes_since_snapshot >= allowed_bytes
        )
        if not is_due:
            return None
        state = self._machine.snapshot()
        self._reset_growth(len(state))
        self._log.info(
            LogEvent.SNAPSHOT_TAKEN,
            index=self.index,
            size_bytes=len(state),
        )
        return SnapshotTaken(self.index, state)

    async def wait_index(self, index: int) -> int:
        """Wait until an index is applied; return the applied index."""
        async with self._index_changed:
            await self._index_changed.wait_for(lambda: self.index >= index)
        return self.index

    async def notify_waiters(self) -> None:
        """Wake all tasks that wait for an index."""
        async with self._index_changed:
            self._index_changed.notify_all()

    def _reset_growth(self, size_bytes: int) -> None:
        self._entries_since_snapshot = 0
        self._bytes_since_snapshot = 0
        self._last_snapshot_bytes = size_bytes
