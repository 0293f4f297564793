"""Represent the resources of a worker and the demand of its tasks."""

from __future__ import annotations

import dataclasses
import math

# Absorbs floating-point errors of sums; far below one byte or processor.
_ROUNDING = 1e-6
# Upper limit for a demand of zero; more tasks than any worker is given.
_MANY = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Processors, memory and accelerators, either available or required."""

    processors: float
    memory_bytes: float
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        """Return the sum of both."""
        return Resources(
            self.processors + other.processors,
            self.memory_bytes + other.memory_bytes,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Return the difference, which may be negative."""
        return Resources(
            self.processors - other.processors,
            self.memory_bytes - other.memory_bytes,
            self.accelerators - other.accelerators,
        )

    def covers(self, need: Resources) -> bool:
        """Whether a demand fits in every dimension."""
        return (
            self.processors + _ROUNDING >= need.processors
            and self.memory_bytes + _ROUNDING >= need.memory_bytes
            and self.accelerators >= need.accelerators
        )

    def count(self, need: Resources) -> int:
        """Return how many copies of a demand fit; an empty one always fits."""
        counts = [_MANY]
        if need.processors:
            counts.append(_whole(self.processors / need.processors))
        if need.memory_bytes:
            counts.append(_whole(self.memory_bytes / need.memory_bytes))
        if need.accelerators:
            counts.append(self.accelerators // need.accelerators)
        return max(min(counts), 0)

    def maximum(self, other: Resources) -> Resources:
        """Return the larger of both in every dimension."""
        return Resources(
            max(self.processors, other.processors),
            max(self.memory_bytes, other.memory_bytes),
            max(self.accelerators, other.accelerators),
        )

    def scaled(self, processors: float, memory: float) -> Resources:
        """Return processors and memory scaled; accelerators are indivisible."""
        return Resources(
            self.processors * processors,
            self.memory_bytes * memory,
            self.accelerators,
        )


def _whole(ratio: float) -> int:
    return math.floor(ratio + _ROUNDING)


NO_RESOURCES = Resources(0.0, 0.0)  # noqa: WPS432 - zero in each unit
