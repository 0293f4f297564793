"""Keep where VMs are, as far as moves between pools go."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from wigeonreach._room import NO_ROOM, Room
from wigeonreach.jobs import JobStore
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.scheduling._workers import Workers

# A VM whose worker is not heard so long after its move is not waited for.
_JOIN_S = 2.0
# A zone from which no worker was heard for longer may be cut off: heartbeats
# come within a second.
_ZONE_SILENT_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A VM that is empty and goes to another pool.

    Attributes
    ----------
    reason
        For people; two moves of one VM between the same pools are the same.
    worker
        The incarnation that the move ends; nothing if none is known there.
    """

    vm: str
    from_pool: str
    to_pool: str
    reason: str = dataclasses.field(default='', compare=False)
    worker: str = dataclasses.field(default='', compare=False)


class PoolVms:
    """The VMs that stand by, that are on their way, and what they carry.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    workers
        The incarnations of the workers.
    move_s
        How long a VM is away while it moves.
    """

    def __init__(
        self, store: JobStore, workers: Workers, move_s: float
    ) -> None:
        """Know no VM."""
        self._store = store
        self._workers = workers
        self._move_s = move_s
        self._standby: set[str] = set()
        self._incoming: dict[str, tuple[str, float]] = {}
        self._returning_s: dict[str, float] = {}
        self._labels: dict[str, tuple[str, ...]] = {}
        self._zones: dict[str, str] = {}
        self._heard_zones: set[str] = set()
        self.room = NO_ROOM

    @property
    def standby_pool(self) -> str:
        """The pool whose VMs cost nothing, or nothing."""
        return next(
            (
                service.name
                for service in self._store.manifest.services
                if service.is_standby
            ),
            '',
        )

    @property
    def standby(self) -> set[str]:
        """VMs that stand by."""
        return set(self._standby)

    def coming_to(self, pool: str) -> list[str]:
        """Return the VMs that are on their way to a pool."""
        return [vm for vm, (to, _) in self._incoming.items() if to == pool]

    def racks_coming(self) -> set[tuple[str, str]]:
        """Return from which racks VMs are on their way, with their pools."""
        return {
            (pool, label)
            for vm, (pool, _) in self._incoming.items()
            for label in self.labels(vm)
        }

    def labels(self, vm: str) -> tuple[str, ...]:
        """Return what a VM carries, as far as is known."""
        return self._labels.get(vm, ())

    def is_reachable(self, vm: str) -> bool:
        """Whether workers are heard from a VM's zone.

        From one in a zone that is cut off nothing would be heard after a move.
        """
        return self._zones.get(vm, '') in self._heard_zones

    def count_labels(self, vms: Iterable[str]) -> collections.Counter[str]:
        """Return how many of some VMs carry each label."""
        return collections.Counter(
            label for vm in vms for label in self.labels(vm)
        )

    def note_listed(self, vms: Iterable[VmRecord]) -> None:
        """Take the platform's list."""
        standby = self.standby_pool
        self._standby.clear()
        for record in vms:
            self._labels[record.vm] = record.labels
            self._zones[record.vm] = record.zone
            if record.pool == standby and record.phase is VmPhase.UP:
                self._standby.add(record.vm)

    def note_moved(self, move: Move, now_s: float) -> None:
        """Take note that the platform carries a move out."""
        self._standby.discard(move.vm)
        if move.to_pool == self.standby_pool:
            self._returning_s[move.vm] = now_s + self._move_s
        else:
            self._incoming[move.vm] = (move.to_pool, now_s)

    def note_failed(self, move: Move) -> None:
        """Take note that a move was refused."""
        self._standby.discard(move.vm)

    def refresh(self, now_s: float) -> None:
        """Look again at what heartbeats tell."""
        self._forget_arrived(now_s)
        known = self._workers.incarnations.values()
        for incarnation in known:
            report = incarnation.report
            self._labels[report.vm] = report.labels
            self._zones[report.vm] = report.zone
        self._heard_zones = {
            incarnation.report.zone
            for incarnation in known
            if now_s - incarnation.heard_s <= _ZONE_SILENT_S
        }
        self.room = _mean_room(known)

    def _forget_arrived(self, now_s: float) -> None:
        for vm, (pool, since_s) in list(self._incoming.items()):
            incarnation = self._workers.of_vm(vm)
            is_here = (
                incarnation is not None and incarnation.report.service == pool
            )
            if is_here or now_s - since_s > self._move_s + _JOIN_S:
                self._incoming.pop(vm)
        back = [vm for vm, at_s in self._returning_s.items() if at_s <= now_s]
        for vm in back:
            self._returning_s.pop(vm)
            self._standby.add(vm)


def _mean_room(incarnations: Iterable[Incarnation]) -> Room:
    # Sums of plain numbers: this is done for the whole fleet ten times a second.
    rooms = [incarnation.room for incarnation in incarnations]
    if not rooms:
        return NO_ROOM
    return Room(
        sum([room.processors for room in rooms]) / len(rooms),
        sum([room.memory_bytes for room in rooms]) / len(rooms),
        sum([room.accelerators for room in rooms]) // len(rooms),
    )
