"""Measure what a worker has and what its work needs."""

from __future__ import annotations

import dataclasses
import math

# Wide enough for sums of fractions, far below one byte or thread.
_ROUNDING = 1e-6
# More tasks than any worker is given.
_MANY = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Processors, memory and accelerators, had or needed."""

    processors: float
    memory_bytes: float
    accelerators: int = 0

    def __add__(self, other: Room) -> Room:
        """Return both together."""
        return Room(
            self.processors + other.processors,
            self.memory_bytes + other.memory_bytes,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Room) -> Room:
        """Return what is left; it may be below zero."""
        return Room(
            self.processors - other.processors,
            self.memory_bytes - other.memory_bytes,
            self.accelerators - other.accelerators,
        )

    def holds(self, need: Room) -> bool:
        """Whether all of a need fits in."""
        return (
            self.processors + _ROUNDING >= need.processors
            and self.memory_bytes + _ROUNDING >= need.memory_bytes
            and self.accelerators >= need.accelerators
        )

    def count(self, need: Room) -> int:
        """Return how often a need fits in; what needs nothing fits always."""
        counts = [_MANY]
        if need.processors:
            counts.append(_whole(self.processors / need.processors))
        if need.memory_bytes:
            counts.append(_whole(self.memory_bytes / need.memory_bytes))
        if need.accelerators:
            counts.append(self.accelerators // need.accelerators)
        return max(min(counts), 0)

    def scaled(self, processors: float, memory: float) -> Room:
        """Return it with each ratio applied; accelerators are whole."""
        return Room(
            self.processors * processors,
            self.memory_bytes * memory,
            self.accelerators,
        )


def _whole(ratio: float) -> int:
    return math.floor(ratio + _ROUNDING)


NO_ROOM = Room(0.0, 0.0)  # noqa: WPS432 - zero in each unit
