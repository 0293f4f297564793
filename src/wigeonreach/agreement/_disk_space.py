"""Tell in time that a disk is about to be full."""

from __future__ import annotations

import dataclasses

# A snapshot is written beside the one before and the log, so twice what is used
# now carries the replica over the next one.
_ENOUGH_TIMES = 2
# Logs of a new replica are small; some seconds of work need as much.
_ENOUGH_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class DiskSpace:
    """What a replica uses of its disk, and what is left for it.

    Attributes
    ----------
    free_bytes
        Of the whole disk, whoever fills it.
    """

    used_bytes: int
    free_bytes: int

    @property
    def is_low(self) -> bool:
        """Whether the next snapshot may not fit."""
        enough = max(self.used_bytes * _ENOUGH_TIMES, _ENOUGH_BYTES)
        return self.free_bytes < enough


class SpaceWatch:
    """Tell once when space becomes low, and once when it is back."""

    def __init__(self) -> None:
        """Take the space for enough."""
        self._was_low = False

    def note(self, space: DiskSpace) -> bool:
        """Take what was found; tell whether it is news."""
        is_news = space.is_low is not self._was_low
        self._was_low = space.is_low
        return is_news
