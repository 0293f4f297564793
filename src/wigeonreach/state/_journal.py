"""Append changes to a checksummed file and sync each batch."""

from __future__ import annotations

import os
import pathlib
import struct
from collections.abc import Sequence

import xxhash

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError

_HEADER = struct.Struct('>IQ')


class Journal:
    """One append-only file of accepted changes.

    Parameters
    ----------
    path
        The file; it is created where it is missing.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Open the file and make its folder entry durable."""
        path.parent.mkdir(parents=True, exist_ok=True)
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        _sync_folder(path.parent)

    def load(self) -> list[bytes]:
        """Return all stored changes and cut a torn tail off.

        Raises
        ------
        StateError
            If a record before the last one is damaged.
        """
        stored = self._read_all()
        changes: list[bytes] = []
        offset = 0
        while offset < len(stored):
            end, change = _read_record(stored, offset)
            if change is None:
                break
            changes.append(change)
            offset = end
        os.ftruncate(self._descriptor, offset)
        os.lseek(self._descriptor, offset, os.SEEK_SET)
        return changes

    def append(self, changes: Sequence[bytes]) -> None:
        """Write changes behind the last one and sync them.

        Raises
        ------
        StateError
            If the disk does not take them.
        """
        batch = b''.join(map(_record, changes))
        try:
            self._write_synced(batch)
        except OSError as error:
            raise StateError(
                ResultCode.STATE_DISK_FAILED,
                str(error),
            ) from error

    def _write_synced(self, batch: bytes) -> None:
        os.write(self._descriptor, batch)
        os.fsync(self._descriptor)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _read_all(self) -> bytes:
        size = os.fstat(self._descriptor).st_size
        return os.pread(self._descriptor, size, 0)


def _record(payload: bytes) -> bytes:
    return _HEADER.pack(len(payload), xxhash.xxh3_64_intdigest(payload)) + (
        payload
    )


def _read_record(stored: bytes, offset: int) -> tuple[int, bytes | None]:
    start = offset + _HEADER.size
    if start > len(stored):
        return offset, None
    size, checksum = _HEADER.unpack_from(stored, offset)
    end = start + size
    if end > len(stored):
        return offset, None
    payload = stored[start:end]
    if xxhash.xxh3_64_intdigest(payload) == checksum:
        return end, payload
    if end == len(stored):
        return offset, None
    raise StateError(
        ResultCode.STATE_DAMAGED,
        f'bad checksum at byte {offset}; restore this replica from a peer',
    )


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
