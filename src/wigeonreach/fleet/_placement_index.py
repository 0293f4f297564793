"""Find a worker with enough free room without looking at all of them."""

from __future__ import annotations

import itertools
import math
from collections.abc import Container, Iterator
from typing import TypeAlias

from sortedcontainers import SortedDict, SortedList

from wigeonreach._room import Room

_PROBES = 16
# Accelerators, then processors and memory as powers of two.
_Level: TypeAlias = tuple[int, int, int]


class RoomIndex:
    """Workers by free room.

    Workers are grouped by powers of two of each quantity, so that the number
    of groups depends on the sizes of workers and not on how many there are.
    Within a group they are sorted by free processors.
    """

    def __init__(self) -> None:
        """Start with no worker."""
        self._groups: SortedDict = SortedDict()
        self._rooms: dict[str, Room] = {}

    def put(self, name: str, room: Room) -> None:
        """Set the free room of a worker."""
        old = self._rooms.get(name)
        if old == room:
            return
        if old is not None:
            self.remove(name)
        self._rooms[name] = room
        level = _level_of(room)
        group = self._groups.get(level)
        if group is None:
            group = SortedList()
            self._groups[level] = group
        group.add((room.processors, name))

    def remove(self, name: str) -> None:
        """Forget a worker; nothing happens if it is not known."""
        room = self._rooms.pop(name, None)
        if room is None:
            return
        level = _level_of(room)
        group = self._groups[level]
        group.remove((room.processors, name))
        if not group:
            self._groups.pop(level)

    def find(
        self,
        need: Room,
        excluded: Container[str] = (),
        probes: int | None = _PROBES,
    ) -> str | None:
        """Return a worker with enough room, the tightest first.

        Parameters
        ----------
        need
            What must fit in.
        excluded
            Workers that are not wanted.
        probes
            How many workers of each group to look at; all if ``None``.

        Returns
        -------
        str or None
            Its name, or nothing if none was found.
        """
        for name in self._candidates(need, probes):
            if name not in excluded and self._rooms[name].holds(need):
                return name
        return None

    def _candidates(self, need: Room, probes: int | None) -> Iterator[str]:
        wanted = _level_of(need)
        for level in self._groups.irange(minimum=wanted):
            if level[1] < wanted[1] or level[2] < wanted[2]:
                continue
            group = self._groups[level]
            # A rounding error must not hide a worker that fits exactly.
            start = group.bisect_left((need.processors - 1e-6, ''))
            for entry in itertools.islice(group.islice(start), probes):
                yield entry[1]


def _level_of(room: Room) -> _Level:
    return (
        max(room.accelerators, 0),
        _power_of_two(room.processors),
        _power_of_two(room.memory_bytes),
    )


def _power_of_two(amount: float) -> int:
    # Rounded up a little, so that sums of fractions stay in one group.
    return max(0, math.frexp(amount + 1e-6)[1])
