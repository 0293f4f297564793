"""Build a disk that loses what was not synced."""

from __future__ import annotations

import dataclasses
import errno
import os
import random


class CrashedError(Exception):
    """The machine stopped in the middle of a disk operation."""


@dataclasses.dataclass(slots=True)
class _File:
    content: bytes = b''
    durable: bytes = b''


@dataclasses.dataclass(slots=True)
class FakeDisk:
    """A folder in memory, with a page cache that a crash loses.

    ``operations_left`` counts down to a crash in the middle of a write;
    ``is_full`` and ``fails_sync`` make the disk refuse.
    """

    operations_left: int | None = None
    is_full: bool = False
    fails_sync: bool = False
    _live: dict[str, _File] = dataclasses.field(default_factory=dict)
    _names_since_sync: list[dict[str, _File]] = dataclasses.field(
        default_factory=lambda: [{}],
    )

    def names(self) -> set[str]:
        """Return the names of all files."""
        return set(self._live)

    def read(self, name: str) -> bytes:
        """Return a whole file."""
        return self._live[name].content

    def append(self, name: str, payload: bytes) -> None:
        """Write behind the end of a file."""
        self._operate()
        if self.is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if name not in self._live:
            self._live[name] = _File()
            self._note_names()
        self._live[name].content += payload

    def truncate(self, name: str, size_bytes: int) -> None:
        """Shorten a file."""
        self._operate()
        file = self._live[name]
        file.content = file.content[:size_bytes]

    def sync(self, name: str) -> None:
        """Make a file's content last."""
        self._operate()
        if self.fails_sync:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        file = self._live[name]
        file.durable = file.content

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file."""
        self._operate()
        self._live[new_name] = self._live.pop(name)
        self._note_names()

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._operate()
        self._live.pop(name)
        self._note_names()

    def sync_folder(self) -> None:
        """Make names last."""
        self._operate()
        self._names_since_sync = [dict(self._live)]

    def crash(self, rng: random.Random) -> None:
        """Lose a part of what was not synced."""
        self.operations_left = None
        self._live = dict(rng.choice(self._names_since_sync))
        for file in self._live.values():
            file.content = _after_crash(file, rng)
            file.durable = file.content
        self._names_since_sync = [dict(self._live)]

    def damage(self, name: str, offset: int) -> None:
        """Flip the bits of one byte."""
        file = self._live[name]
        changed = bytearray(file.content)
        changed[offset] ^= 0xFF
        file.content = bytes(changed)
        file.durable = file.content

    def wipe(self) -> None:
        """Lose everything."""
        self._live = {}
        self._names_since_sync = [{}]
        self.operations_left = None

    def _operate(self) -> None:
        if self.operations_left is None:
            return
        if self.operations_left == 0:
            raise CrashedError
        self.operations_left -= 1

    def _note_names(self) -> None:
        self._names_since_sync.append(dict(self._live))


def _after_crash(file: _File, rng: random.Random) -> bytes:
    if not file.content.startswith(file.durable):
        return rng.choice((file.content, file.durable))
    unsynced = file.content[len(file.durable) :]
    kept = unsynced[: rng.randint(0, len(unsynced))]
    # A grown file may hold zeros where nothing was written back.
    if kept:
        kept += b'\0' * rng.choice((0, 0, 32))
    return file.durable + kept
