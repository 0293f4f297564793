"""Exact amounts of processors, memory and accelerators."""

from __future__ import annotations

import msgspec


class Amounts(msgspec.Struct, frozen=True, array_like=True):
    """Resources of tasks in integer units, so that sums do not drift."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Amounts) -> Amounts:
        """Return the sum."""
        return Amounts(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Amounts) -> Amounts:
        """Return the difference."""
        return Amounts(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Amounts:
        """Return the amounts multiplied by a count."""
        return Amounts(
            self.millicores * count,
            self.memory_mb * count,
            self.accelerators * count,
        )


NO_AMOUNTS = Amounts()
