"""Count processors, memory and accelerators exactly."""

from __future__ import annotations

import msgspec


class Amounts(msgspec.Struct, frozen=True, array_like=True):
    """What tasks take, in whole units: sums of it never drift."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Amounts) -> Amounts:
        """Return both together."""
        return Amounts(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Amounts) -> Amounts:
        """Return what is left."""
        return Amounts(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Amounts:
        """Return it so many times."""
        return Amounts(
            self.millicores * count,
            self.memory_mb * count,
            self.accelerators * count,
        )


NO_AMOUNTS = Amounts()
