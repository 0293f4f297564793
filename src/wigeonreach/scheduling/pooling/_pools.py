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

from wigeonreach.jobs import JobStore, Run
from wigeonreach.scheduling._backlog import (
    ANY_LABEL,
    EMPTY_BACKLOG,
    StepWork,
    backlog_by_service,
)
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._ready import AcceptedWork
from wigeonreach.scheduling._settings import SchedulingSettings
from wigeonreach.scheduling._vms import VmRecord
from wigeonreach.scheduling._workers import Workers
from wigeonreach.scheduling.placing._locality import DataLocality
from wigeonreach.scheduling.pooling._demand import ServiceDemand
from wigeonreach.scheduling.pooling._filling import PoolFilling
from wigeonreach.scheduling.pooling._pool_needs import (
    PoolSize,
    ServingNeed,
    required_vms,
)
from wigeonreach.scheduling.pooling._pool_vms import Move, PoolVms
from wigeonreach.scheduling.pooling._reservations import (
    PoolState,
    Reservations,
    move_reason,
)
from wigeonreach.scheduling.pooling._short_pools import (
    busy_vms,
    pools_with_shares,
)
from wigeonreach.scheduling.shortage import (
    EmptyingVm,
    FleetCapacity,
    FleetFigures,
    FleetWork,
)

# Work that arrives within this time is counted in, as a VM ordered now starts
# to work only after it.
_LOOKAHEAD_S = 1.5
# How long a pool keeps surplus VMs, as the next burst may need them.
_IDLE_TIMEOUT_S = 1.5
# How long a new leader keeps surplus VMs, as it knows too little of the demand.
_SETTLE_S = 8.0
# Until a new leader has heard the workers, which send a heartbeat within 1 s of
# learning of it, the fleet looks smaller than it is.
_HEARD_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolPlan:
    """What is to be done for the pools now.

    Attributes
    ----------
    moves
        Moves to be ordered.
    stops
        Late batch runs to be stopped, on VMs that are to move.
    figures
        VMs that there are, and that the work needs; None as long as the leader
        has not heard all workers.
    """

    moves: list[Move]
    stops: tuple[Run, ...]
    figures: FleetFigures | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Sizing:
    """What decides the size of the pools, besides accepted batch work.

    Attributes
    ----------
    serving
        What the serving tasks need.
    incarnations
        Workers of each service that accept tasks.
    arriving_vm_s
        Work of each service that is about to arrive, in VM seconds.
    """

    serving: ServingNeed
    incarnations: Mapping[str, list[Incarnation]]
    arriving_vm_s: Mapping[str, float]

    def for_in_time(self, work: FleetWork) -> _Sizing:
        """Return the same for work in time: of what arrives, its share."""
        return dataclasses.replace(
            self,
            arriving_vm_s={
                name: vm_s * work.in_time_share(name)
                for name, vm_s in self.arriving_vm_s.items()
            },
        )


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
        self._move_s = settings.move_s
        self._settled_s = now_s + _SETTLE_S
        self._heard_s = now_s + _HEARD_AFTER_S
        self._demand: dict[str, ServiceDemand] = collections.defaultdict(
            ServiceDemand,
        )
        self._reservations = Reservations(store, workers, self.vms)
        self._surplus_since_s: dict[str, float] = {}

    @property
    def cordoned(self) -> set[str]:
        """VMs that get no new tasks."""
        return self._reservations.reserved

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
        self._reservations.drop(move.vm)
        self.vms.note_moved(move, now_s)

    def note_failed(self, move: Move) -> None:
        """Record that a move was refused."""
        self._reservations.drop(move.vm)
        self.vms.note_failed(move)

    def capacity(self, now_s: float) -> FleetCapacity:
        """Return the processors of the fleet, now and after moves."""
        per_vm = self.vms.vm_resources.processors
        coming = self.vms.reachable_standby | self.vms.all_incoming
        return FleetCapacity(
            sum(self._workers.processors(now_s).values()),
            len(coming) * per_vm,
            self._move_s,
        )

    def plan_moves(
        self,
        work: FleetWork,
        serving: ServingNeed,
        excluded_vms: set[str],
        now_s: float,
    ) -> PoolPlan:
        """Return the moves to be ordered now.

        Parameters
        ----------
        work
            Remaining work of the accepted jobs.
        serving
            What the serving tasks need.
        excluded_vms
            VMs that must not move, such as those in a maintenance wave.
        now_s
            Clock in seconds.
        """
        self.vms.refresh(now_s)
        incarnations = self._available_workers(excluded_vms, now_s)
        sizing = _Sizing(serving, incarnations, self._arriving_vm_s(now_s))
        pools = self._pools(work.steps, sizing)
        fleet_vms = self._fleet_vms(pools, excluded_vms)
        in_time = pools
        if work.late:
            in_time = self._pools(work.in_time_steps, sizing.for_in_time(work))
        figures = FleetFigures(
            fleet_vms,
            _needed_vms(pools),
            _needed_vms(in_time),
            len(work.late),
        )
        filling = PoolFilling(self._reservations, self.vms, excluded_vms, now_s)
        emptied: list[EmptyingVm] = []
        if figures.is_short and work.late and now_s >= self._heard_s:
            shares = pools_with_shares(pools, in_time, figures.vms)
            busy = busy_vms(shares, self._store, work.late)
            filling.fill(shares)
            emptied = filling.fill_from_busy(shares, busy)
        filling.fill(pools)
        self._release_idle(pools, now_s)
        return PoolPlan(
            self._reservations.moves_due(now_s),
            tuple(run for vm in emptied for run in vm.stops),
            figures if now_s >= self._heard_s else None,
        )

    def _arriving_vm_s(self, now_s: float) -> dict[str, float]:
        """Return the work of each service that is about to arrive."""
        return {
            name: demand.rate_at(now_s) * _LOOKAHEAD_S
            for name, demand in self._demand.items()
        }

    def _fleet_vms(
        self, pools: Mapping[str, PoolState], excluded_vms: set[str]
    ) -> int:
        """Return how many VMs the pools have, with those that can join."""
        standby = self.vms.reachable_standby.difference(
            excluded_vms, self._reservations.reserved
        )
        return len(standby) + sum(map(self._reservations.count, pools.values()))

    def _pools(
        self,
        steps: Mapping[str, Iterable[StepWork]],
        sizing: _Sizing,
    ) -> dict[str, PoolState]:
        backlog = backlog_by_service(steps, self.vms.vm_resources)
        pools: dict[str, PoolState] = {}
        for service in self._store.manifest.services:
            if service.is_standby:
                continue
            name = service.name
            workers = tuple(sizing.incarnations[name])
            vms = [incarnation.report.vm for incarnation in workers]
            required = required_vms(
                name,
                backlog.get(name, EMPTY_BACKLOG),
                sizing.arriving_vm_s.get(name, 0),
                sizing.serving,
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
            is_free = (
                vm not in excluded_vms
                and not self._reservations.is_reserved(vm)
            )
            if is_free and incarnation.accepts_work(now_s):
                by_service[incarnation.report.service].append(incarnation)
        return by_service

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
            count = self._reservations.count(pool)
            surplus = count - pool.required.total
            if surplus <= 0:
                self._surplus_since_s.pop(pool.name, None)
                continue
            since_s = self._surplus_since_s.setdefault(pool.name, now_s)
            if now_s - since_s >= _IDLE_TIMEOUT_S:
                reason = move_reason(pool, count, ANY_LABEL)
                idle = sorted(self._reservations.idle_vms(pool))[:surplus]
                for vm in idle:
                    self._reservations.add(vm, standby_pool, now_s, reason)


def _needed_vms(pools: Mapping[str, PoolState]) -> int:
    return sum(pool.required.total for pool in pools.values())
