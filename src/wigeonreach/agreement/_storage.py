"""Store the hard state, the snapshot and the journal in one folder."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence
from typing import TypeVar

import msgspec

from wigeonreach.agreement._disk import Disk
from wigeonreach.agreement._journal import (
    JournalContent,
    encode_commit,
    encode_entries,
    encode_journal,
    read_journal,
)
from wigeonreach.agreement._raft_log import RaftLog
from wigeonreach.agreement._raft_types import HardState, Snapshot, Write
from wigeonreach.agreement._records import (
    RecordKind,
    encode_record,
    read_records,
)
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError

_HARD_STATE = 'hard-state'
_SNAPSHOT = 'snapshot'
_JOURNAL = 'journal'
_TEMPORARY_SUFFIX = '.new'
_FILES = frozenset((_HARD_STATE, _SNAPSHOT, _JOURNAL))
_INCARNATION_BITS = 62
_DAMAGED_ID_BITS = 32
_SYSTEM_RANDOM = random.SystemRandom()
_Item = TypeVar('_Item')


@dataclasses.dataclass(frozen=True, slots=True)
class StoredState:
    """Content of a data folder.

    ``torn_bytes`` is the size of an interrupted write that was removed from
    the journal.
    """

    hard: HardState
    snapshot: Snapshot | None
    log: RaftLog
    commit_index: int
    torn_bytes: int = 0


class Storage:
    """Durable storage of one replica.

    Parameters
    ----------
    disk
        The data folder.
    rng
        Source of random incarnations and of names for damaged files.
    """

    def __init__(
        self,
        disk: Disk,
        rng: random.Random = _SYSTEM_RANDOM,
    ) -> None:
        """Create a storage; the folder is not accessed yet."""
        self._disk = disk
        self._rng = rng
        self.sync_count = 0

    def load(self, may_found: bool = True) -> StoredState:
        """Load the stored state; an empty folder is initialized first.

        Parameters
        ----------
        may_found
            Whether a replica with an empty folder may take part in
            bootstrapping a cluster.

        Raises
        ------
        StateError
            If a record is damaged or a file is missing.
        """
        for name in self._disk.names():
            if name.endswith(_TEMPORARY_SUFFIX):
                self._disk.remove(name)
        if not self._disk.names() & _FILES:
            return self._initialize(may_found)
        hard = self._read_single_record(
            _HARD_STATE, RecordKind.HARD_STATE, HardState
        )
        if hard is None:
            raise StateError(ResultCode.STATE_DAMAGED, 'hard-state: missing')
        snapshot = self._read_single_record(
            _SNAPSHOT, RecordKind.SNAPSHOT, Snapshot
        )
        journal = self._load_journal(hard)
        _check_journal_follows(snapshot, journal)
        log = journal.log
        if snapshot is not None and not _contains_end_of(log, snapshot):
            # The process crashed after it wrote the snapshot and before it
            # replaced the journal.
            log = RaftLog(snapshot.index, snapshot.term, snapshot.voters)
            self._replace_file(_JOURNAL, encode_journal(log))
        snapshot_index = snapshot.index if snapshot else 0
        return StoredState(
            hard,
            snapshot,
            log,
            max(snapshot_index, min(journal.commit_index, log.last_index)),
            journal.torn_bytes,
        )

    def move_damaged_files(self) -> StoredState:
        """Rename all files of a damaged folder, and initialize it anew.

        The folder then counts as a new disk: it has no vote until a leader
        makes it a voter, and must not bootstrap a cluster.
        """
        damage_id = format(self._rng.getrandbits(_DAMAGED_ID_BITS), 'x')
        for name in self._disk.names() & _FILES:
            self._disk.rename(name, f'damaged-{damage_id}-{name}')
        return self._initialize(may_found=False)

    def write(self, writes: Sequence[Write]) -> None:
        """Store writes in order, and sync them together.

        Raises
        ------
        OSError
            If the disk refuses a write; the writes may be retried.
        SyncFailedError
            If a sync failed; the content of the page cache can't be trusted
            any more, and the process must exit.
        StateError
            If a partial write could not be undone; the process must exit.
        """
        hard_states = [write.hard for write in writes if write.hard]
        if hard_states:
            self._replace_file(_HARD_STATE, _encode_hard_state(hard_states[-1]))
        snapshots = [write for write in writes if write.snapshot]
        if snapshots:
            self._write_snapshot(snapshots[-1])
        later = _writes_after_snapshot(writes)
        records = encode_entries(
            entry for item in later for entry in item.entries
        )
        if later:
            records += encode_commit(later[-1].commit_index)
            self._disk.append(_JOURNAL, records)
            self._sync(_JOURNAL)

    def _initialize(self, may_found: bool) -> StoredState:
        incarnation = self._rng.getrandbits(_INCARNATION_BITS) + 1
        hard = HardState(incarnation, may_found)
        log = RaftLog()
        self._replace_file(_HARD_STATE, _encode_hard_state(hard))
        self._replace_file(_JOURNAL, encode_journal(log))
        return StoredState(hard, None, log, 0)

    def _read_single_record(
        self,
        name: str,
        kind: RecordKind,
        item_type: type[_Item],
    ) -> _Item | None:
        if name not in self._disk.names():
            return None
        records = list(read_records(self._disk.read(name), name))
        if len(records) != 1 or records[0].kind != kind:
            raise StateError(ResultCode.STATE_DAMAGED, f'{name}: incomplete')
        return msgspec.msgpack.decode(records[0].payload, type=item_type)

    def _load_journal(self, hard: HardState) -> JournalContent:
        if _JOURNAL not in self._disk.names() and hard.term == 0:
            # No entries are stored before the first term, so none are lost.
            self._replace_file(_JOURNAL, encode_journal(RaftLog()))
        if _JOURNAL not in self._disk.names():
            raise StateError(ResultCode.STATE_DAMAGED, 'journal: missing')
        content = read_journal(self._disk.read(_JOURNAL), _JOURNAL)
        if content.torn_bytes:
            self._disk.truncate(_JOURNAL, content.size_bytes)
            self._sync(_JOURNAL)
        return content

    def _write_snapshot(self, write: Write) -> None:
        payload = msgspec.msgpack.encode(write.snapshot)
        self._replace_file(
            _SNAPSHOT, encode_record(RecordKind.SNAPSHOT, payload)
        )
        base = write.journal_base
        log = RaftLog(
            base.index,
            base.term,
            base.voters,
            list(write.journal),
        )
        content = encode_journal(log) + encode_commit(write.commit_index)
        self._replace_file(_JOURNAL, content)

    def _replace_file(self, name: str, content: bytes) -> None:
        new_name = f'{name}{_TEMPORARY_SUFFIX}'
        if new_name in self._disk.names():
            self._disk.remove(new_name)
        self._disk.append(new_name, content)
        self._sync(new_name)
        self._disk.rename(new_name, name)
        self._sync(None)

    def _sync(self, name: str | None) -> None:
        self.sync_count += 1
        try:
            if name is None:
                self._disk.sync_folder()
            else:
                self._disk.sync(name)
        except OSError as error:
            raise SyncFailedError(
                ResultCode.STATE_DISK_FAILED,
                f'{name or "folder"}: {error}',
            ) from error


class SyncFailedError(StateError):
    """A sync failed; writes since the last successful one may be lost."""


def _encode_hard_state(hard: HardState) -> bytes:
    return encode_record(RecordKind.HARD_STATE, msgspec.msgpack.encode(hard))


def _writes_after_snapshot(writes: Sequence[Write]) -> Sequence[Write]:
    """Return the writes to append to the journal, after any snapshot."""
    later: list[Write] = []
    for write in writes:
        if write.snapshot:
            later = []
        elif write.hard is None or write.entries:
            later.append(write)
    return later


def _contains_end_of(log: RaftLog, snapshot: Snapshot) -> bool:
    return log.term_at(snapshot.index) == snapshot.term


def _check_journal_follows(
    snapshot: Snapshot | None,
    journal: JournalContent,
) -> None:
    snapshot_index = snapshot.index if snapshot else 0
    if journal.log.base_index > snapshot_index:
        raise StateError(
            ResultCode.STATE_DAMAGED,
            'snapshot: older than the beginning of the journal',
        )
