"""Reach the files of one data folder."""

from __future__ import annotations

import fcntl
import os
import pathlib
from typing import Protocol

from wigeonreach.agreement._disk_space import DiskSpace
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError

_LOCK = 'lock'


class Disk(Protocol):
    """File operations of one folder; nothing lasts before its sync.

    Every method may raise ``OSError``.
    """

    def names(self) -> set[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return a whole file."""

    def append(self, name: str, payload: bytes) -> None:
        """Write behind the end of a file, which is made if missing."""

    def cut(self, name: str, size_bytes: int) -> None:
        """Shorten a file."""

    def sync(self, name: str) -> None:
        """Make a file's content last."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any of the new name at once."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Make created, renamed and removed names last."""


class FolderDisk:
    """A folder that one process at a time may use.

    Parameters
    ----------
    folder
        The folder; it is created where it is missing.

    Raises
    ------
    StateError
        If another process uses the folder.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Create and lock the folder."""
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        # A file is synced through the descriptor that wrote it, since an
        # error of the disk is told to that one for certain.
        self._descriptors: dict[str, int] = {}
        self._lock = os.open(folder / _LOCK, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise StateError(
                ResultCode.STATE_FOLDER_IN_USE,
                f'{folder}: another process uses it; give each its own',
            ) from error
        _sync_path(folder.parent)

    def names(self) -> set[str]:
        """Return the names of all files but the lock."""
        return {
            path.name for path in self._folder.iterdir() if path.is_file()
        } - {_LOCK}

    def read(self, name: str) -> bytes:
        """Return a whole file."""
        return (self._folder / name).read_bytes()

    def append(self, name: str, payload: bytes) -> None:
        """Write behind the end of a file; on an error cut it back."""
        descriptor = self._descriptor(name)
        size_bytes = os.fstat(descriptor).st_size
        rest = memoryview(payload)
        try:
            while rest:
                rest = rest[os.write(descriptor, rest) :]
        except OSError:
            _cut_back(descriptor, size_bytes)
            raise

    def cut(self, name: str, size_bytes: int) -> None:
        """Shorten a file."""
        os.ftruncate(self._descriptor(name), size_bytes)

    def sync(self, name: str) -> None:
        """Make a file's content last."""
        os.fsync(self._descriptor(name))

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any of the new name at once."""
        (self._folder / name).replace(self._folder / new_name)
        self._forget(new_name)
        if name in self._descriptors:
            self._descriptors[new_name] = self._descriptors.pop(name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._forget(name)
        (self._folder / name).unlink()

    def sync_folder(self) -> None:
        """Make created, renamed and removed names last."""
        _sync_path(self._folder)

    def space(self) -> DiskSpace:
        """Return what is used, and what the disk has left."""
        disk = os.statvfs(self._folder)
        used_bytes = sum(
            entry.stat().st_size
            for entry in os.scandir(self._folder)
            if entry.is_file()
        )
        return DiskSpace(used_bytes, disk.f_bavail * disk.f_frsize)

    def close(self) -> None:
        """Close all files and give the folder up."""
        for name in list(self._descriptors):
            self._forget(name)
        os.close(self._lock)

    def _descriptor(self, name: str) -> int:
        known = self._descriptors.get(name)
        if known is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            known = os.open(self._folder / name, flags, 0o600)
            self._descriptors[name] = known
        return known

    def _forget(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _cut_back(descriptor: int, size_bytes: int) -> None:
    try:
        os.ftruncate(descriptor, size_bytes)
    except OSError as error:
        raise StateError(
            ResultCode.STATE_DISK_FAILED,
            f'half a write could not be taken back: {error}',
        ) from error


def _sync_path(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
