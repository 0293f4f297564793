"""Encode records with checksums; tell a torn tail from other damage."""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterator

import msgspec
import xxhash

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError

_MAGIC = 0x57A5
_HEADER_PREFIX = struct.Struct('>HBI')
_HEADER = struct.Struct('>HBIHQ')
_HEADER_CHECK_MASK = 0xFFFF
_TORN_ZEROS = b'\0' * 16


class RecordKind(enum.IntEnum):
    """Kinds of records."""

    HARD_STATE = 1
    SNAPSHOT = 2
    JOURNAL_BASE = 3
    ENTRY = 4
    COMMIT = 5


class Record(msgspec.Struct, frozen=True):
    """One record, and the offset of the next one."""

    kind: int
    payload: bytes
    end_bytes: int


def encode_record(kind: RecordKind, payload: bytes) -> bytes:
    """Return a record: a header and the payload.

    The header has a checksum of its own, so that a truncated record can be
    told from one whose length field is damaged.
    """
    header = _HEADER.pack(
        _MAGIC,
        kind,
        len(payload),
        _header_check(kind, len(payload)),
        xxhash.xxh3_64_intdigest(payload, seed=kind),
    )
    return header + payload


def read_records(stored: bytes, name: str) -> Iterator[Record]:
    """Yield the records of a file up to its end or to a torn tail.

    A torn tail is what an interrupted write leaves behind: the beginning of
    a record, or zeros where no data was written.

    Parameters
    ----------
    stored
        Content of a file.
    name
        Name of the file, for errors.

    Raises
    ------
    StateError
        If a record is damaged in any other way.
    """
    offset = 0
    while offset < len(stored):
        record = _read_record(stored, offset)
        if record is None:
            if _is_torn(stored, offset):
                return
            raise StateError(
                ResultCode.STATE_DAMAGED,
                f'{name}: damaged record at byte {offset}',
            )
        yield record
        offset = record.end_bytes


def _read_record(stored: bytes, offset: int) -> Record | None:
    start = offset + _HEADER.size
    if start > len(stored):
        return None
    magic, kind, size, check, checksum = _HEADER.unpack_from(stored, offset)
    end = start + size
    is_sound = magic == _MAGIC and check == _header_check(kind, size)
    if not is_sound or end > len(stored):
        return None
    payload = stored[start:end]
    if xxhash.xxh3_64_intdigest(payload, seed=kind) != checksum:
        return None
    return Record(kind, payload, end)


def _is_torn(stored: bytes, offset: int) -> bool:
    rest = stored[offset:]
    if len(rest) < _HEADER.size or rest.endswith(_TORN_ZEROS):
        return not _contains_record(rest)
    magic, kind, size, check, _ = _HEADER.unpack_from(rest)
    is_sound = magic == _MAGIC and check == _header_check(kind, size)
    return is_sound and bool(_HEADER.size + size > len(rest))


def _contains_record(rest: bytes) -> bool:
    lead = _MAGIC.to_bytes(2, 'big')
    place = rest.find(lead, 1)
    while place >= 0:
        if _read_record(rest, place) is not None:
            return True
        place = rest.find(lead, place + 1)
    return False


def _header_check(kind: int, size: int) -> int:
    lead = _HEADER_PREFIX.pack(_MAGIC, kind, size)
    return xxhash.xxh3_64_intdigest(lead) & _HEADER_CHECK_MASK
