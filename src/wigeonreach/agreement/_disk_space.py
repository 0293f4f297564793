"""Detect early that a disk is about to be full."""

from __future__ import annotations

import dataclasses

# A snapshot is written before the previous one and the log are removed, so
# twice the space in use now is enough for the next snapshot.
_MIN_FREE_TO_USED_RATIO = 2
# A new replica uses little space, but may write this much within seconds.
_MIN_FREE_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class DiskSpace:
    """Space that a replica uses and that its disk has left.

    Attributes
    ----------
    used_bytes
        Size of the replica's files.
    free_bytes
        Free space of the whole disk, which other programs may use too.
    """

    used_bytes: int
    free_bytes: int

    @property
    def is_low(self) -> bool:
        """Whether the next snapshot may not fit."""
        enough = max(self.used_bytes * _MIN_FREE_TO_USED_RATIO, _MIN_FREE_BYTES)
        return self.free_bytes < enough


class SpaceWatch:
    """Reports once when space becomes low, and once when it no longer is."""

    def __init__(self) -> None:
        """Start under the assumption that there is enough space."""
        self._was_low = False

    def note(self, space: DiskSpace) -> bool:
        """Record a measurement; return whether ``is_low`` changed."""
        is_news = space.is_low is not self._was_low
        self._was_low = space.is_low
        return is_news
