"""Track the VMs that can move, or are moving, between pools."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from wigeonreach._resources import NO_RESOURCES, Resources
from wigeonreach.jobs import JobStore
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.scheduling._workers import Workers

# A VM whose worker sends no heartbeat within this time after the move is no
# longer counted as incoming.
_JOIN_TIMEOUT_S = 2.0
# A zone without heartbeats for longer than this may be cut off, as workers send
# at least one a second.
_ZONE_SILENT_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """The move of an empty VM to another pool.

    Attributes
    ----------
    vm
        The VM.
    from_pool, to_pool
        Names of the pools.
    reason
        For operators; it does not count when moves are compared.
    worker
        The worker incarnation that the move ends, or '' if none is known; it
        does not count when moves are compared.
    """

    vm: str
    from_pool: str
    to_pool: str
    reason: str = dataclasses.field(default='', compare=False)
    worker: str = dataclasses.field(default='', compare=False)


class PoolVms:
    """Standby and moving VMs, with the labels and zones of all VMs.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    workers
        The incarnations of the workers.
    move_s
        How long a VM is unavailable while it moves.
    """

    def __init__(
        self, store: JobStore, workers: Workers, move_s: float
    ) -> None:
        """Start without any VMs."""
        self._store = store
        self._workers = workers
        self._move_s = move_s
        self._standby: set[str] = set()
        self._incoming: dict[str, tuple[str, float]] = {}
        self._returning_s: dict[str, float] = {}
        self._labels: dict[str, tuple[str, ...]] = {}
        self._zones: dict[str, str] = {}
        self._live_zones: set[str] = set()
        self.vm_resources = NO_RESOURCES

    @property
    def standby_pool(self) -> str:
        """Name of the pool whose VMs cost nothing, or '' if there is none."""
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
        """VMs in the standby pool."""
        return set(self._standby)

    @property
    def reachable_standby(self) -> set[str]:
        """VMs in the standby pool whose zone sends heartbeats."""
        return {vm for vm in self._standby if self.is_reachable(vm)}

    @property
    def all_incoming(self) -> set[str]:
        """VMs that are moving to any pool but the standby pool."""
        return set(self._incoming)

    def incoming(self, pool: str) -> list[str]:
        """Return the VMs that are moving to a pool."""
        return [vm for vm, (to, _) in self._incoming.items() if to == pool]

    def incoming_racks(self) -> set[tuple[str, str]]:
        """Return the pools and labels of moving VMs; racks are labels too."""
        return {
            (pool, label)
            for vm, (pool, _) in self._incoming.items()
            for label in self.labels(vm)
        }

    def labels(self, vm: str) -> tuple[str, ...]:
        """Return the known labels of a VM; its rack is one of them."""
        return self._labels.get(vm, ())

    def is_reachable(self, vm: str) -> bool:
        """Whether workers in a VM's zone send heartbeats.

        A VM in a zone that is cut off would not join its new pool.
        """
        return self._zones.get(vm, '') in self._live_zones

    def count_labels(self, vms: Iterable[str]) -> collections.Counter[str]:
        """Return how many of some VMs have each label."""
        return collections.Counter(
            label for vm in vms for label in self.labels(vm)
        )

    def note_listed(self, vms: Iterable[VmRecord]) -> None:
        """Update the VMs from the platform's list."""
        standby = self.standby_pool
        self._standby.clear()
        for record in vms:
            self._labels[record.vm] = record.labels
            self._zones[record.vm] = record.zone
            if record.pool == standby and record.phase is VmPhase.UP:
                self._standby.add(record.vm)

    def note_moved(self, move: Move, now_s: float) -> None:
        """Record that the platform is executing a move."""
        self._standby.discard(move.vm)
        if move.to_pool == self.standby_pool:
            self._returning_s[move.vm] = now_s + self._move_s
        else:
            self._incoming[move.vm] = (move.to_pool, now_s)

    def note_failed(self, move: Move) -> None:
        """Record that a move was refused."""
        self._standby.discard(move.vm)

    def refresh(self, now_s: float) -> None:
        """Update labels, zones and arrivals from the heartbeats."""
        self._forget_arrived(now_s)
        incarnations = self._workers.incarnations.values()
        for incarnation in incarnations:
            report = incarnation.report
            self._labels[report.vm] = report.labels
            self._zones[report.vm] = report.zone
        self._live_zones = {
            incarnation.report.zone
            for incarnation in incarnations
            if now_s - incarnation.heard_s <= _ZONE_SILENT_S
        }
        self.vm_resources = _mean_resources(incarnations)

    def _forget_arrived(self, now_s: float) -> None:
        for vm, (pool, since_s) in list(self._incoming.items()):
            incarnation = self._workers.of_vm(vm)
            has_arrived = (
                incarnation is not None and incarnation.report.service == pool
            )
            if has_arrived or now_s - since_s > self._move_s + _JOIN_TIMEOUT_S:
                self._incoming.pop(vm)
        returned = [
            vm for vm, at_s in self._returning_s.items() if at_s <= now_s
        ]
        for vm in returned:
            self._returning_s.pop(vm)
            self._standby.add(vm)


def _mean_resources(incarnations: Iterable[Incarnation]) -> Resources:
    # Sums plain numbers: this runs for the whole fleet ten times a second.
    totals = [incarnation.resources for incarnation in incarnations]
    if not totals:
        return NO_RESOURCES
    return Resources(
        sum([total.processors for total in totals]) / len(totals),
        sum([total.memory_bytes for total in totals]) / len(totals),
        sum([total.accelerators for total in totals]) // len(totals),
    )
