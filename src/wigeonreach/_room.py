"""Measure what a worker has and what its work needs."""

from __future__ import annotations

import dataclasses

# Wide enough for sums of fractions, far below one byte or thread.
_ROUNDING = 1e-6


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

    def scaled(self, processors: float, memory: float) -> Room:
        """Return it with each ratio applied; accelerators are whole."""
        return Room(
            self.processors * processors,
            self.memory_bytes * memory,
            self.accelerators,
        )


NO_ROOM = Room(0.0, 0.0)  # noqa: WPS432 - zero in each unit
