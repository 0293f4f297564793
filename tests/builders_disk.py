"""A fake disk that loses unsynced data in a crash, for tests."""

from __future__ import annotations

import dataclasses
import errno
import os
import random


class CrashedError(Exception):
    """The simulated host crashed in the middle of a disk operation."""


@dataclasses.dataclass(slots=True)
class _File:
    content: bytes = b''
    synced_content: bytes = b''


@dataclasses.dataclass(slots=True)
class FakeDisk:
    """A folder in memory, with a page cache that a crash may lose.

    ``operations_left`` is the number of operations until a crash, None for
    no crash.  ``is_full`` makes appends fail, ``fails_sync`` syncs of files.
    """

    operations_left: int | None = None
    is_full: bool = False
    fails_sync: bool = False
    _files: dict[str, _File] = dataclasses.field(default_factory=dict)
    _listings_since_sync: list[dict[str, _File]] = dataclasses.field(
        default_factory=lambda: [{}],
    )

    def names(self) -> set[str]:
        """Return the names of all files."""
        return set(self._files)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return self._files[name].content

    def append(self, name: str, payload: bytes) -> None:
        """Append to a file, which is created if it is missing."""
        self._count_operation()
        if self.is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if name not in self._files:
            self._files[name] = _File()
            self._record_listing()
        self._files[name].content += payload

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to a size."""
        self._count_operation()
        file = self._files[name]
        file.content = file.content[:size_bytes]

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        self._count_operation()
        if self.fails_sync:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        file = self._files[name]
        file.synced_content = file.content

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file."""
        self._count_operation()
        self._files[new_name] = self._files.pop(name)
        self._record_listing()

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._count_operation()
        self._files.pop(name)
        self._record_listing()

    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of files durable."""
        self._count_operation()
        self._listings_since_sync = [dict(self._files)]

    def crash(self, rng: random.Random) -> None:
        """Lose a random part of the unsynced changes."""
        self.operations_left = None
        self._files = dict(rng.choice(self._listings_since_sync))
        for file in self._files.values():
            file.content = _after_crash(file, rng)
            file.synced_content = file.content
        self._listings_since_sync = [dict(self._files)]

    def damage(self, name: str, offset: int) -> None:
        """Flip the bits of one byte."""
        file = self._files[name]
        changed = bytearray(file.content)
        changed[offset] ^= 0xFF
        file.content = bytes(changed)
        file.synced_content = file.content

    def wipe(self) -> None:
        """Lose all files."""
        self._files = {}
        self._listings_since_sync = [{}]
        self.operations_left = None

    def _count_operation(self) -> None:
        if self.operations_left is None:
            return
        if self.operations_left == 0:
            raise CrashedError
        self.operations_left -= 1

    def _record_listing(self) -> None:
        self._listings_since_sync.append(dict(self._files))


def _after_crash(file: _File, rng: random.Random) -> bytes:
    if not file.content.startswith(file.synced_content):
        return rng.choice((file.content, file.synced_content))
    unsynced = file.content[len(file.synced_content) :]
    kept = unsynced[: rng.randint(0, len(unsynced))]
    # A file that grew may end in zeros where no data was written back.
    if kept:
        kept += b'\0' * rng.choice((0, 0, 32))
    return file.synced_content + kept
