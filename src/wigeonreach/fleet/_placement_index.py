"""Index of workers by free resources, to find one without a full scan."""

from __future__ import annotations

import itertools
import math
from collections.abc import Container, Iterator
from typing import TypeAlias

from sortedcontainers import SortedDict, SortedList

from wigeonreach._resources import Resources

_MAX_CANDIDATES = 16
# Accelerators, then processors and memory as powers of two.
_SizeClass: TypeAlias = tuple[int, int, int]


class ResourceIndex:
    """Workers indexed by free resources.

    Workers are grouped by powers of two of each resource, so that the number
    of groups depends on the sizes of the workers and not on their number.
    Within a group they are sorted by free processors.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self._groups: SortedDict = SortedDict()
        self._free: dict[str, Resources] = {}

    def put(self, name: str, free: Resources) -> None:
        """Set the free resources of a worker."""
        previous = self._free.get(name)
        if previous == free:
            return
        if previous is not None:
            self.remove(name)
        self._free[name] = free
        size_class = _size_class(free)
        group = self._groups.get(size_class)
        if group is None:
            group = SortedList()
            self._groups[size_class] = group
        group.add((free.processors, name))

    def remove(self, name: str) -> None:
        """Remove a worker; unknown names are ignored."""
        free = self._free.pop(name, None)
        if free is None:
            return
        size_class = _size_class(free)
        group = self._groups[size_class]
        group.remove((free.processors, name))
        if not group:
            self._groups.pop(size_class)

    def find(
        self,
        need: Resources,
        excluded: Container[str] = (),
        max_candidates: int | None = _MAX_CANDIDATES,
    ) -> str | None:
        """Return a worker with enough free resources, the tightest fit first.

        Parameters
        ----------
        need
            Required resources.
        excluded
            Names of workers to skip.
        max_candidates
            Number of workers to examine in each group; all if ``None``.

        Returns
        -------
        str or None
            Name of the worker, or ``None`` if none was found.
        """
        for name in self._candidates(need, max_candidates):
            if name not in excluded and self._free[name].covers(need):
                return name
        return None

    def _candidates(
        self, need: Resources, max_candidates: int | None
    ) -> Iterator[str]:
        min_class = _size_class(need)
        for size_class in self._groups.irange(minimum=min_class):
            if size_class[1] < min_class[1] or size_class[2] < min_class[2]:
                continue
            group = self._groups[size_class]
            # The tolerance keeps rounding from hiding an exact fit.
            start = group.bisect_left((need.processors - 1e-6, ''))
            for entry in itertools.islice(group.islice(start), max_candidates):
                yield entry[1]


def _size_class(free: Resources) -> _SizeClass:
    return (
        max(free.accelerators, 0),
        _power_of_two(free.processors),
        _power_of_two(free.memory_bytes),
    )


def _power_of_two(amount: float) -> int:
    # Rounded up slightly, so that rounding errors don't change the group.
    return max(0, math.frexp(amount + 1e-6)[1])
