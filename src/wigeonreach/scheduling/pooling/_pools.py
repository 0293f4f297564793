"""Move VMs between pools as demand changes.

Demand comes in bursts of some seconds: one pool may need more than its workers
can run while others are nearly idle, or need a label that none of its workers
has.  VMs come from pools with a surplus, or from the standby pool, where they
cost nothing, and return to it once they are idle.  Only empty VMs are chosen,
so one with serving tasks stays; a chosen VM gets no new tasks until it moves.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from wigeonreach.jobs import JobStore
from wigeonreach.scheduling._backlog import (
    ANY_LABEL,
    EMPTY_BACKLOG,
    Backlog,
    StepWork,
    backlog_by_service,
)
from wigeonreach.scheduling._disruption_budget import is_empty
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._locality import DataLocality
from wigeonreach.scheduling._ready import AcceptedWork
from wigeonreach.scheduling._settings import SchedulingSettings
from wigeonreach.scheduling._vms import VmRecord
from wigeonreach.scheduling._workers import Workers
from wigeonreach.scheduling.pooling._demand import ServiceDemand
from wigeonreach.scheduling.pooling._pool_needs import (
    PoolSize,
    RequiredVms,
    ServingNeed,
    required_vms,
)
from wigeonreach.scheduling.pooling._pool_vms import Move, PoolVms

# Work that arrives within this time is counted in, as a VM ordered now starts
# to work only after it.
_LOOKAHEAD_S = 1.5
# How long a pool keeps surplus VMs, as the next burst may need them.
_IDLE_TIMEOUT_S = 1.5
# How long a new leader keeps surplus VMs, as it knows too little of the demand.
_SETTLE_S = 8.0
# A VM that is not empty within this time stays in its pool.
_EMPTYING_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingMove:
    """A move that waits for its VM to be empty.

    Attributes
    ----------
    to_pool
        Name of the new pool.
    since_s
        When the move was planned.
    reason
        For operators.
    """

    to_pool: str
    since_s: float
    reason: str


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


class PoolPlanner:
    """Plans the moves between pools, for the leader of one term.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    workers
        The incarnations of the workers.
    settings
        Properties of the platform.
    now_s
        When the term began.
    """

    def __init__(
        self,
        store: JobStore,
        workers: Workers,
        settings: SchedulingSettings,
        now_s: float,
    ) -> None:
        """Start without any moves."""
        self.vms = PoolVms(store, workers, settings.move_s)
        self._store = store
        self._workers = workers
        self._far_factor = settings.far_factor
        self._settled_s = now_s + _SETTLE_S
        self._demand: dict[str, ServiceDemand] = collections.defaultdict(
            ServiceDemand,
        )
        self._pending_moves: dict[str, _PendingMove] = {}
        self._surplus_since_s: dict[str, float] = {}

    @property
    def cordoned(self) -> set[str]:
        """VMs that get no new tasks."""
        return set(self._pending_moves)

    def data_locality(self, now_s: float) -> DataLocality:
        """Return the data locality rules for one plan."""
        return DataLocality(self._far_factor, self.vms.incoming_racks(), now_s)

    def note_accepted(self, work: AcceptedWork, now_s: float) -> None:
        """Record work that was just accepted."""
        vm_s = sum(step.vm_s(self.vms.vm_resources) for step in work.steps)
        self._demand[work.service].note(vm_s, now_s)

    def note_vms(self, vms: Iterable[VmRecord]) -> None:
        """Update the VMs from the platform's list."""
        self.vms.note_listed(vms)

    def note_moved(self, move: Move, now_s: float) -> None:
        """Record that the platform is executing a move."""
        self._pending_moves.pop(move.vm, None)
        self.vms.note_moved(move, now_s)

    def note_failed(self, move: Move) -> None:
        """Record that a move was refused."""
        self._pending_moves.pop(move.vm, None)
        self.vms.note_failed(move)

    def plan_moves(
        self,
        work: Mapping[str, Iterable[StepWork]],
        serving: Mapping[str, int],
        unmet_vms: Mapping[str, Mapping[str, float]],
        excluded_vms: set[str],
        now_s: float,
    ) -> list[Move]:
        """Return the moves to be ordered now.

        Parameters
        ----------
        work
            Remaining work of the accepted jobs of each service.
        serving
            Number of workers for the serving tasks of each service.
        unmet_vms
            Number of VMs needed by serving tasks that fit on no worker, by
            service and label.
        excluded_vms
            VMs that must not move, such as those in a maintenance wave.
        now_s
            Clock in seconds.
        """
        self.vms.refresh(now_s)
        backlog = backlog_by_service(work, self.vms.vm_resources)
        need = ServingNeed(serving, unmet_vms)
        pools = self._pools(backlog, need, excluded_vms, now_s)
        self._fill_pools(pools, excluded_vms, now_s)
        self._release_idle(pools, now_s)
        return self._moves_due(now_s)

    def _pools(
        self,
        backlog: Mapping[str, Backlog],
        serving: ServingNeed,
        excluded_vms: set[str],
        now_s: float,
    ) -> dict[str, PoolState]:
        incarnations = self._available_workers(excluded_vms, now_s)
        pools: dict[str, PoolState] = {}
        for service in self._store.manifest.services:
            if service.is_standby:
                continue
            name = service.name
            workers = tuple(incarnations[name])
            vms = [incarnation.report.vm for incarnation in workers]
            arriving_vm_s = self._demand[name].rate_at(now_s) * _LOOKAHEAD_S
            required = required_vms(
                name,
                backlog.get(name, EMPTY_BACKLOG),
                arriving_vm_s,
                serving,
                PoolSize(len(vms), self.vms.count_labels(vms)),
                self._far_factor > 1,
            )
            pools[name] = PoolState(name, workers, required)
        return pools

    def _available_workers(
        self,
        excluded_vms: set[str],
        now_s: float,
    ) -> dict[str, list[Incarnation]]:
        """Return the workers of each service that accept tasks."""
        by_service: dict[str, list[Incarnation]] = collections.defaultdict(list)
        for incarnation in self._workers.incarnations.values():
            vm = incarnation.report.vm
            is_free = vm not in excluded_vms and vm not in self._pending_moves
            if is_free and incarnation.accepts_work(now_s):
                by_service[incarnation.report.service].append(incarnation)
        return by_service

    def _fill_pools(
        self,
        pools: Mapping[str, PoolState],
        excluded_vms: set[str],
        now_s: float,
    ) -> None:
        """Reserve VMs for the pools, largest shortage first."""
        by_shortage = sorted(
            pools.values(),
            key=lambda pool: self._vm_count(pool) - pool.required.total,
        )
        for pool in by_shortage:
            # VMs with labels go first, as they also count toward the total.
            for label in pool.required.by_label:
                self._reserve_vms(pool, pools, excluded_vms, label, now_s)
            self._reserve_vms(pool, pools, excluded_vms, ANY_LABEL, now_s)

    def _reserve_vms(
        self,
        pool: PoolState,
        pools: Mapping[str, PoolState],
        excluded_vms: set[str],
        label: str,
        now_s: float,
    ) -> None:
        """Reserve VMs with a label that a pool lacks, if any can be spared."""
        for _ in range(self._missing(pool, label)):
            vm = self._donor(pool, pools, excluded_vms, label)
            if vm is None:
                return
            reason = _move_reason(pool, self._vm_count(pool), label)
            self._pending_moves[vm] = _PendingMove(pool.name, now_s, reason)

    def _missing(self, pool: PoolState, label: str) -> int:
        """Return how many VMs with a label, or in total, a pool lacks."""
        if not label:
            return max(pool.required.total - self._vm_count(pool), 0)
        has = self.vms.count_labels(self._vms_of(pool))
        return max(pool.required.by_label[label] - has[label], 0)

    def _vms_of(self, pool: PoolState) -> list[str]:
        """Return the VMs of a pool, including those reserved for it."""
        reserved = [
            vm
            for vm, move in self._pending_moves.items()
            if move.to_pool == pool.name
        ]
        # VMs reserved for other pools since the count no longer belong to it.
        staying = [vm for vm in pool.vms if vm not in self._pending_moves]
        return [*staying, *self.vms.incoming(pool.name), *reserved]

    def _vm_count(self, pool: PoolState) -> int:
        return len(self._vms_of(pool))

    def _donor(
        self,
        receiver: PoolState,
        pools: Mapping[str, PoolState],
        excluded_vms: set[str],
        label: str,
    ) -> str | None:
        """Return a VM with a label that can be spared for a pool, or None."""
        spare = [
            vm
            for pool in pools.values()
            if pool.name != receiver.name
            and self._vm_count(pool) > pool.required.total
            for vm in self._idle_vms(pool)
        ]
        standby = self.vms.standby - excluded_vms - self._pending_moves.keys()
        return self._best_match(spare, receiver, label) or self._best_match(
            standby, receiver, label
        )

    def _best_match(
        self,
        vms: Iterable[str],
        pool: PoolState,
        label: str,
    ) -> str | None:
        """Return the VM with a label that has most of the required labels.

        A VM in a zone without heartbeats comes last: the zone may be cut off,
        and the VM of no use.
        """
        fitting = [
            vm for vm in vms if not label or label in self.vms.labels(vm)
        ]
        fitting.sort(
            key=lambda vm: (
                not self.vms.is_reachable(vm),
                -self._matching_labels(vm, pool),
                vm,
            ),
        )
        return next(iter(fitting), None)

    def _matching_labels(self, vm: str, pool: PoolState) -> int:
        """Return how many of the labels required by a pool a VM has."""
        return sum(
            label in pool.required.by_label for label in self.vms.labels(vm)
        )

    def _release_idle(
        self,
        pools: Mapping[str, PoolState],
        now_s: float,
    ) -> None:
        """Return idle VMs to the standby pool."""
        standby_pool = self.vms.standby_pool
        if not standby_pool or now_s < self._settled_s:
            return
        for pool in pools.values():
            surplus = self._vm_count(pool) - pool.required.total
            if surplus <= 0:
                self._surplus_since_s.pop(pool.name, None)
                continue
            since_s = self._surplus_since_s.setdefault(pool.name, now_s)
            if now_s - since_s >= _IDLE_TIMEOUT_S:
                reason = _move_reason(pool, self._vm_count(pool), ANY_LABEL)
                pending = _PendingMove(standby_pool, now_s, reason)
                idle = sorted(self._idle_vms(pool))[:surplus]
                self._pending_moves.update(dict.fromkeys(idle, pending))

    def _moves_due(self, now_s: float) -> list[Move]:
        moves: list[Move] = []
        for vm, pending in list(self._pending_moves.items()):
            incarnation = self._workers.of_vm(vm)
            if incarnation is None or is_empty(incarnation, self._store):
                moves.append(self._move_of(vm, pending, incarnation))
            elif now_s - pending.since_s > _EMPTYING_TIMEOUT_S:
                self._pending_moves.pop(vm)
        return moves

    def _move_of(
        self,
        vm: str,
        pending: _PendingMove,
        incarnation: Incarnation | None,
    ) -> Move:
        move = Move(
            vm,
            self.vms.standby_pool,
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

    def _idle_vms(self, pool: PoolState) -> list[str]:
        """Return the empty VMs of a pool that it does not need."""
        spare = self.vms.count_labels(self._vms_of(pool))
        spare.subtract(pool.required.by_label)
        idle: list[str] = []
        for incarnation in pool.incarnations:
            vm = incarnation.report.vm
            needed = [
                label
                for label in self.vms.labels(vm)
                if label in pool.required.by_label and spare[label] <= 0
            ]
            is_idle = vm and vm not in self._pending_moves and not needed
            if is_idle and is_empty(incarnation, self._store):
                idle.append(vm)
                spare.subtract(self.vms.labels(vm))
        return idle


def _move_reason(pool: PoolState, have: int, label: str) -> str:
    # Both numbers are totals of the pool, also if a label is what it lacks.
    with_label = f' with {label}' if label else ''
    return f'{pool.name} needs {pool.required.total}{with_label}, has {have}'
