"""File operations in one data folder."""

from __future__ import annotations

import fcntl
import os
import pathlib
from typing import Protocol

from wigeonreach.agreement._disk_space import DiskSpace
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError

_LOCK_NAME = 'lock'


class Disk(Protocol):
    """File operations in one folder; changes are durable only once synced.

    Every method may raise ``OSError``.
    """

    def names(self) -> set[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append(self, name: str, payload: bytes) -> None:
        """Append to a file, which is created if it is missing."""

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to a size."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, atomically replacing one of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of files durable."""


class FolderDisk:
    """A folder of the file system, locked for one process at a time.

    Parameters
    ----------
    folder
        The folder; it is created if it is missing.

    Raises
    ------
    StateError
        If another process uses the folder.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Create and lock the folder."""
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        # A file is synced through the descriptor that wrote it, since only
        # that descriptor is certain to report a write error of the disk.
        self._descriptors: dict[str, int] = {}
        self._lock = os.open(folder / _LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise StateError(
                ResultCode.STATE_FOLDER_IN_USE,
                f'{folder}: another process uses this folder; '
                'give each process its own',
            ) from error
        _sync_directory(folder.parent)

    def names(self) -> set[str]:
        """Return the names of all files except the lock."""
        return {
            path.name for path in self._folder.iterdir() if path.is_file()
        } - {_LOCK_NAME}

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self._folder / name).read_bytes()

    def append(self, name: str, payload: bytes) -> None:
        """Append to a file; on an error, undo a partial write."""
        descriptor = self._descriptor(name)
        size_bytes = os.fstat(descriptor).st_size
        rest = memoryview(payload)
        try:
            while rest:
                rest = rest[os.write(descriptor, rest) :]
        except OSError:
            _undo_partial_append(descriptor, size_bytes)
            raise

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to a size."""
        os.ftruncate(self._descriptor(name), size_bytes)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fsync(self._descriptor(name))

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, atomically replacing one of the new name."""
        (self._folder / name).replace(self._folder / new_name)
        self._close_descriptor(new_name)
        if name in self._descriptors:
            self._descriptors[new_name] = self._descriptors.pop(name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_descriptor(name)
        (self._folder / name).unlink()

    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of files durable."""
        _sync_directory(self._folder)

    def space(self) -> DiskSpace:
        """Return the space used by the folder and the free space of its disk."""
        disk = os.statvfs(self._folder)
        used_bytes = sum(
            entry.stat().st_size
            for entry in os.scandir(self._folder)
            if entry.is_file()
        )
        return DiskSpace(used_bytes, disk.f_bavail * disk.f_frsize)

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._descriptors):
            self._close_descriptor(name)
        os.close(self._lock)

    def _descriptor(self, name: str) -> int:
        known = self._descriptors.get(name)
        if known is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            known = os.open(self._folder / name, flags, 0o600)
            self._descriptors[name] = known
        return known

    def _close_descriptor(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _undo_partial_append(descriptor: int, size_bytes: int) -> None:
    try:
        os.ftruncate(descriptor, size_bytes)
    except OSError as error:
        raise StateError(
            ResultCode.STATE_DISK_FAILED,
            f'an incomplete write could not be undone: {error}',
        ) from error


def _sync_directory(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
