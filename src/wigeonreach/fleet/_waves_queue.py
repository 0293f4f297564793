"""Keep the waiting VMs of a wave, so that the next is found at once."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Iterable, Iterator

from wigeonreach.fleet._model import Vm


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The first VM that waits in a zone and pool."""

    zone: str
    pool: str
    name: str


class WaveQueue:
    """Waiting VMs by the zone and pool that they had when they came.

    VMs of one zone and pool are alike to the budget, so one refusal speaks
    for all of them and only the first of each needs to be asked for.

    Parameters
    ----------
    vms
        The VMs that wait, in any order.
    """

    def __init__(self, vms: Iterable[Vm]) -> None:
        """Sort the VMs by zone, pool, rack and name."""
        ordered = sorted(
            vms,
            key=lambda vm: (vm.zone, vm.pool, vm.rack, vm.name),
        )
        self._waiting: dict[tuple[str, str], collections.deque[str]] = {}
        self._in_pool: collections.Counter[str] = collections.Counter()
        for vm in ordered:
            self.push(vm)

    def __len__(self) -> int:
        """Return the number of zones and pools that have VMs waiting."""
        return len(self._waiting)

    def push(self, vm: Vm) -> None:
        """Let a VM wait behind the others of its zone and pool."""
        key = (vm.zone, vm.pool)
        self._waiting.setdefault(key, collections.deque()).append(vm.name)
        self._in_pool[vm.pool] += 1

    def is_waiting(self, pool: str) -> bool:
        """Return whether some VM of a pool waits."""
        return self._in_pool[pool] > 0

    def heads(self, most: int) -> Iterator[Head]:
        """Yield the first VM of some zones and pools.

        Each one asked for moves to the back, so that the next call goes on
        where this one ended.

        Parameters
        ----------
        most
            Zones and pools to ask for; bounds the cost of one event.
        """
        for key in list(itertools.islice(self._waiting, most)):
            names = self._waiting.pop(key)
            self._waiting[key] = names
            yield Head(*key, names[0])

    def take(self, head: Head) -> None:
        """Remove the first VM of a zone and pool."""
        key = (head.zone, head.pool)
        names = self._waiting[key]
        names.popleft()
        self._in_pool[head.pool] -= 1
        if not names:
            self._waiting.pop(key)

    def defer(self, head: Head) -> None:
        """Move the first VM of a zone and pool behind the others."""
        self._waiting[head.zone, head.pool].rotate(-1)
