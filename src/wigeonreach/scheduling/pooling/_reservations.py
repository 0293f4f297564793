"""Reserve VMs for other pools until they are empty and may move."""

from __future__ import annotations

import dataclasses

from wigeonreach.jobs import JobStore
from wigeonreach.scheduling._disruption_budget import is_empty
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._workers import Workers
from wigeonreach.scheduling.pooling._pool_needs import RequiredVms
from wigeonreach.scheduling.pooling._pool_vms import Move, PoolVms

# A VM that was taken as empty and is not within this time stays in its pool.
_EMPTYING_TIMEOUT_S = 1.0
# The same for a VM whose late runs have to end first.
_BUSY_EMPTYING_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """Current state of one pool.

    Attributes
    ----------
    name
        Name of the pool, which is that of its service.
    incarnations
        Workers that accept tasks.
    required
        VMs that its work needs.
    """

    name: str
    incarnations: tuple[Incarnation, ...]
    required: RequiredVms

    @property
    def vms(self) -> list[str]:
        """VMs of the pool's workers."""
        return [worker.report.vm for worker in self.incarnations]


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingMove:
    """A move that waits for its VM to be empty.

    Attributes
    ----------
    to_pool
        Name of the new pool.
    until_s
        When it is dropped if the VM is still not empty.
    reason
        For operators.
    """

    to_pool: str
    until_s: float
    reason: str


class Reservations:
    """The VMs that are reserved for other pools and get no new tasks.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    workers
        The incarnations of the workers.
    vms
        Standby and moving VMs.
    """

    def __init__(self, store: JobStore, workers: Workers, vms: PoolVms) -> None:
        """Start without reservations."""
        self._store = store
        self._workers = workers
        self._vms = vms
        self._pending: dict[str, _PendingMove] = {}

    @property
    def reserved(self) -> set[str]:
        """All reserved VMs."""
        return set(self._pending)

    def is_reserved(self, vm: str) -> bool:
        """Whether a VM is reserved."""
        return vm in self._pending

    def add(self, vm: str, to_pool: str, now_s: float, reason: str) -> None:
        """Reserve an empty VM."""
        until_s = now_s + _EMPTYING_TIMEOUT_S
        self._pending[vm] = _PendingMove(to_pool, until_s, reason)

    def add_busy(
        self, vm: str, to_pool: str, now_s: float, reason: str
    ) -> None:
        """Reserve a VM whose runs have to end first."""
        until_s = now_s + _BUSY_EMPTYING_TIMEOUT_S
        self._pending[vm] = _PendingMove(to_pool, until_s, reason)

    def drop(self, vm: str) -> None:
        """Drop the reservation of a VM, if there is one."""
        self._pending.pop(vm, None)

    def vms_of(self, pool: PoolState) -> list[str]:
        """Return the VMs of a pool, including those reserved for it."""
        reserved = [
            vm
            for vm, move in self._pending.items()
            if move.to_pool == pool.name
        ]
        # VMs reserved for other pools since the count no longer belong to it.
        staying = [vm for vm in pool.vms if vm not in self._pending]
        return [*staying, *self._vms.incoming(pool.name), *reserved]

    def count(self, pool: PoolState) -> int:
        """Return how many VMs a pool has, with those reserved for it."""
        return len(self.vms_of(pool))

    def idle_vms(self, pool: PoolState) -> list[str]:
        """Return the empty VMs of a pool that it does not need."""
        spare = self._vms.count_labels(self.vms_of(pool))
        spare.subtract(pool.required.by_label)
        idle: list[str] = []
        for incarnation in pool.incarnations:
            vm = incarnation.report.vm
            needed = [
                label
                for label in self._vms.labels(vm)
                if label in pool.required.by_label and spare[label] <= 0
            ]
            is_idle = vm and vm not in self._pending and not needed
            if is_idle and is_empty(incarnation, self._store):
                idle.append(vm)
                spare.subtract(self._vms.labels(vm))
        return idle

    def moves_due(self, now_s: float) -> list[Move]:
        """Return the moves of empty VMs, and drop those that take too long."""
        moves: list[Move] = []
        for vm, pending in list(self._pending.items()):
            incarnation = self._workers.of_vm(vm)
            if incarnation is None or is_empty(incarnation, self._store):
                moves.append(self._move_of(vm, pending, incarnation))
            elif now_s > pending.until_s:
                self._pending.pop(vm)
        return moves

    def _move_of(
        self,
        vm: str,
        pending: _PendingMove,
        incarnation: Incarnation | None,
    ) -> Move:
        move = Move(
            vm,
            self._vms.standby_pool,
            pending.to_pool,
            pending.reason,
        )
        if incarnation is None:
            return move
        report = incarnation.report
        return dataclasses.replace(
            move,
            from_pool=report.service,
            worker=report.worker,
        )


def move_reason(pool: PoolState, have: int, label: str) -> str:
    """Return why a VM moves, as a text for the log."""
    # Both numbers are totals of the pool, also if a label is what it lacks.
    with_label = f' with {label}' if label else ''
    return f'{pool.name} needs {pool.required.total}{with_label}, has {have}'
