"""Encode and decode the journal, the file that stores the Raft log.

The file is only ever appended to or replaced as a whole.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

import msgspec

from wigeonreach.agreement._raft_log import RaftLog
from wigeonreach.agreement._raft_types import JournalBase
from wigeonreach.agreement._records import (
    Record,
    RecordKind,
    encode_record,
    read_records,
)
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError
from wigeonreach.wire._raft_messages import LogEntry

_ENTRY_DECODER = msgspec.msgpack.Decoder(LogEntry)
_BASE_DECODER = msgspec.msgpack.Decoder(JournalBase)
_COMMIT_BYTES = 8


@dataclasses.dataclass(slots=True)
class JournalContent:
    """Content of a journal.

    ``size_bytes`` is the length of its complete records, ``torn_bytes`` of
    the incomplete record after them.
    """

    log: RaftLog
    commit_index: int = 0
    size_bytes: int = 0
    torn_bytes: int = 0


def encode_journal(log: RaftLog) -> bytes:
    """Return a journal that holds a whole log."""
    base = JournalBase(log.base_index, log.base_term, log.base_voters)
    header = encode_record(
        RecordKind.JOURNAL_BASE, msgspec.msgpack.encode(base)
    )
    return header + encode_entries(log.entries)


def encode_entries(entries: Iterable[LogEntry]) -> bytes:
    """Return the records of entries.

    An entry replaces all earlier entries of the same or a higher index, so
    that resolving a conflict needs no change in the middle of the file.
    """
    return b''.join(
        encode_record(RecordKind.ENTRY, msgspec.msgpack.encode(entry))
        for entry in entries
    )


def encode_commit(commit_index: int) -> bytes:
    """Return the record of a commit index."""
    return encode_record(
        RecordKind.COMMIT, commit_index.to_bytes(_COMMIT_BYTES)
    )


def read_journal(stored: bytes, name: str) -> JournalContent:
    """Decode a journal up to its end or to a torn tail.

    Parameters
    ----------
    stored
        Content of the file.
    name
        Name of the file, for errors.

    Raises
    ------
    StateError
        If the journal is damaged.
    """
    records = read_records(stored, name)
    first = next(records, None)
    if first is None or first.kind != RecordKind.JOURNAL_BASE:
        raise _damaged(name, 'the first record is not the journal base')
    base = _BASE_DECODER.decode(first.payload)
    content = JournalContent(
        RaftLog(base.index, base.term, base.voters),
        base.index,
        first.end_bytes,
    )
    for record in records:
        _apply_record(content, record, name)
    content.torn_bytes = len(stored) - content.size_bytes
    return content


def _apply_record(content: JournalContent, record: Record, name: str) -> None:
    content.size_bytes = record.end_bytes
    if record.kind == RecordKind.COMMIT:
        stored_index = int.from_bytes(record.payload)
        content.commit_index = max(content.commit_index, stored_index)
        return
    entry = _ENTRY_DECODER.decode(record.payload)
    log = content.log
    if not log.base_index < entry.index <= log.last_index + 1:
        raise _damaged(name, f'entry {entry.index} follows {log.last_index}')
    if entry.index <= content.commit_index:
        known_term = log.term_at(entry.index)
        if known_term != entry.term:
            raise _damaged(name, f'committed entry {entry.index} is replaced')
    log.store((entry,))


def _damaged(name: str, detail: str) -> StateError:
    return StateError(ResultCode.STATE_DAMAGED, f'{name}: {detail}')
