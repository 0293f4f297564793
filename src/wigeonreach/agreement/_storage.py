"""Keep hard state, snapshot and journal in one folder."""

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
from wigeonreach.agreement._records import RecordKind, frame, read_records
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError

_HARD_STATE = 'hard-state'
_SNAPSHOT = 'snapshot'
_JOURNAL = 'journal'
_NEW = '.new'
_FILES = frozenset((_HARD_STATE, _SNAPSHOT, _JOURNAL))
_INCARNATION_BITS = 62
_MARK_BITS = 32
_SYSTEM_RANDOM = random.SystemRandom()
_Item = TypeVar('_Item')


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """What a data folder holds.

    ``torn_bytes`` is how much of an interrupted write was cut off.
    """

    hard: HardState
    snapshot: Snapshot | None
    log: RaftLog
    commit_index: int
    torn_bytes: int = 0


class Storage:
    """The durable side of one replica.

    Parameters
    ----------
    disk
        Its folder.
    rng
        Source of incarnations.
    """

    def __init__(
        self,
        disk: Disk,
        rng: random.Random = _SYSTEM_RANDOM,
    ) -> None:
        """Touch nothing yet."""
        self._disk = disk
        self._rng = rng
        self.sync_count = 0

    def load(self, may_found: bool = True) -> Stored:
        """Return what is stored; an empty folder gets a new incarnation.

        Parameters
        ----------
        may_found
            Whether an empty folder may belong to a system that never ran.

        Raises
        ------
        StateError
            If a record is damaged or a file is missing.
        """
        for name in self._disk.names():
            if name.endswith(_NEW):
                self._disk.remove(name)
        if not self._disk.names() & _FILES:
            return self._create(may_found)
        hard = self._read_one(_HARD_STATE, RecordKind.HARD_STATE, HardState)
        if hard is None:
            raise StateError(ResultCode.STATE_DAMAGED, 'hard-state: missing')
        snapshot = self._read_one(_SNAPSHOT, RecordKind.SNAPSHOT, Snapshot)
        journal = self._load_journal(hard)
        _check_covered(snapshot, journal)
        log = journal.log
        if snapshot is not None and not _reaches(log, snapshot):
            # A crash came between the snapshot and the journal behind it.
            log = RaftLog(snapshot.index, snapshot.term, snapshot.voters)
            self._replace(_JOURNAL, encode_journal(log))
        snapshot_index = snapshot.index if snapshot else 0
        return Stored(
            hard,
            snapshot,
            log,
            max(snapshot_index, min(journal.commit_index, log.last_index)),
            journal.torn_bytes,
        )

    def set_aside(self) -> Stored:
        """Keep damaged files under other names and begin as a new disk.

        The new disk has no vote until a leader admits it, and never founds.
        """
        mark = format(self._rng.getrandbits(_MARK_BITS), 'x')
        for name in self._disk.names() & _FILES:
            self._disk.rename(name, f'damaged-{mark}-{name}')
        return self._create(may_found=False)

    def write(self, writes: Sequence[Write]) -> None:
        """Store writes in order and sync them together.

        Raises
        ------
        OSError
            If the disk does not take them; writes may be tried again unless
            a sync failed.
        SyncFailedError
            If a sync failed: what the page cache holds can't be trusted any
            more, and the process has to stop.
        """
        hard_states = [write.hard for write in writes if write.hard]
        if hard_states:
            self._replace(_HARD_STATE, _frame_hard(hard_states[-1]))
        snapshots = [write for write in writes if write.snapshot]
        if snapshots:
            self._write_snapshot(snapshots[-1])
        later = _after_snapshot(writes)
        records = encode_entries(
            entry for item in later for entry in item.entries
        )
        if later:
            records += encode_commit(later[-1].commit_index)
            self._disk.append(_JOURNAL, records)
            self._sync(_JOURNAL)

    def _create(self, may_found: bool) -> Stored:
        incarnation = self._rng.getrandbits(_INCARNATION_BITS) + 1
        hard = HardState(incarnation, may_found)
        log = RaftLog()
        self._replace(_HARD_STATE, _frame_hard(hard))
        self._replace(_JOURNAL, encode_journal(log))
        return Stored(hard, None, log, 0)

    def _read_one(
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
            # Nothing is stored before the first term.
            self._replace(_JOURNAL, encode_journal(RaftLog()))
        if _JOURNAL not in self._disk.names():
            raise StateError(ResultCode.STATE_DAMAGED, 'journal: missing')
        content = read_journal(self._disk.read(_JOURNAL), _JOURNAL)
        if content.torn_bytes:
            self._disk.cut(_JOURNAL, content.size_bytes)
            self._sync(_JOURNAL)
        return content

    def _write_snapshot(self, write: Write) -> None:
        payload = msgspec.msgpack.encode(write.snapshot)
        self._replace(_SNAPSHOT, frame(RecordKind.SNAPSHOT, payload))
        base = write.journal_base
        log = RaftLog(
            base.index,
            base.term,
            base.voters,
            list(write.journal),
        )
        content = encode_journal(log) + encode_commit(write.commit_index)
        self._replace(_JOURNAL, content)

    def _replace(self, name: str, content: bytes) -> None:
        new_name = f'{name}{_NEW}'
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
    """A sync failed, so nothing written since the last one is certain."""


def _frame_hard(hard: HardState) -> bytes:
    return frame(RecordKind.HARD_STATE, msgspec.msgpack.encode(hard))


def _after_snapshot(writes: Sequence[Write]) -> Sequence[Write]:
    """Return the writes whose entries a rewritten journal lacks."""
    later: list[Write] = []
    for write in writes:
        if write.snapshot:
            later = []
        elif write.hard is None or write.entries:
            later.append(write)
    return later


def _reaches(log: RaftLog, snapshot: Snapshot) -> bool:
    return log.term_at(snapshot.index) == snapshot.term


def _check_covered(
    snapshot: Snapshot | None,
    journal: JournalContent,
) -> None:
    snapshot_index = snapshot.index if snapshot else 0
    if journal.log.base_index > snapshot_index:
        raise StateError(
            ResultCode.STATE_DAMAGED,
            'snapshot: older than where the journal begins',
        )
