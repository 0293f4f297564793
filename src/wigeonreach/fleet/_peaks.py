"""Count slots by failure domain, with constant-time access to the maximum."""

from __future__ import annotations

from sortedcontainers import SortedList


class PeakCounts:
    """Slot counts by key, with the largest count available in constant time.

    Updating a count takes logarithmic time, so the cost of a decision about
    one VM hardly grows with the fleet.
    """

    def __init__(self) -> None:
        """Start with no keys."""
        self._slots: dict[str, int] = {}
        self._ordered: SortedList = SortedList()
        self.total_slots = 0

    def add(self, key: str, slots: int) -> None:
        """Add slots to a key; a negative number subtracts."""
        before = self._slots.pop(key, 0)
        if before:
            self._ordered.remove((before, key))
        after = before + slots
        if after:
            self._slots[key] = after
            self._ordered.add((after, key))
        self.total_slots += slots

    def slots(self, key: str) -> int:
        """Return the slots of a key."""
        return self._slots.get(key, 0)

    def peak(self, without_key: str = '', without_slots: int = 0) -> int:
        """Return the largest count.

        Parameters
        ----------
        without_key, without_slots
            Key, and number of its slots to subtract before comparing.
        """
        if not self._ordered:
            return 0
        largest, key = self._ordered[-1]
        if key != without_key:
            return int(largest)
        second = self._ordered[-2][0] if len(self._ordered) > 1 else 0
        return max(int(largest) - without_slots, int(second))
