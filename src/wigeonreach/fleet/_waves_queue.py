"""Queue of the waiting VMs of a wave, grouped by zone and pool."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Iterable, Iterator

from wigeonreach.fleet._model import Vm


@dataclasses.dataclass(frozen=True, slots=True)
class QueueHead:
    """The first waiting VM of a zone and pool."""

    zone: str
    pool: str
    name: str


class WaveQueue:
    """Waiting VMs by the zone and pool that they had when queued.

    The budgets treat VMs of one zone and pool alike, so a refusal applies to
    all of them and only the first of each group needs to be checked.

    Parameters
    ----------
    vms
        The waiting VMs, in any order.
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
        """Return the number of groups of zone and pool with waiting VMs."""
        return len(self._waiting)

    def push(self, vm: Vm) -> None:
        """Append a VM to the queue of its zone and pool."""
        key = (vm.zone, vm.pool)
        self._waiting.setdefault(key, collections.deque()).append(vm.name)
        self._in_pool[vm.pool] += 1

    def is_waiting(self, pool: str) -> bool:
        """Return whether any VM of a pool is waiting."""
        return self._in_pool[pool] > 0

    def heads(self, limit: int) -> Iterator[QueueHead]:
        """Yield the first VM of each of the next groups of zone and pool.

        Each yielded group moves to the back, so that the next call continues
        where this one ended.

        Parameters
        ----------
        limit
            Largest number of groups; bounds the cost of one event.
        """
        for key in list(itertools.islice(self._waiting, limit)):
            names = self._waiting.pop(key)
            self._waiting[key] = names
            yield QueueHead(*key, names[0])

    def take(self, head: QueueHead) -> None:
        """Remove the first VM of a zone and pool."""
        key = (head.zone, head.pool)
        names = self._waiting[key]
        names.popleft()
        self._in_pool[head.pool] -= 1
        if not names:
            self._waiting.pop(key)

    def defer(self, head: QueueHead) -> None:
        """Move the first VM of a zone and pool behind the others."""
        self._waiting[head.zone, head.pool].rotate(-1)
