"""Decide which VMs move between pools, for some seconds at a time.

Answers turns of demand: the queue of one pool asks for more than its workers
hold while others are nearly idle, or asks for what none of its workers
carries.  VMs come from pools that need them least, or from the standby pool,
where they cost nothing, and go back there once they idle.  A VM is emptied
first; one with serving tasks on it stays.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from wigeonreach.jobs import JobStore
from wigeonreach.scheduling._backlog import (
    ANYWHERE,
    NOTHING,
    Backlog,
    StepWork,
    backlogs,
)
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._moving_out import is_empty
from wigeonreach.scheduling._near import NearRooms
from wigeonreach.scheduling._ready import AcceptedWork
from wigeonreach.scheduling._settings import SchedulingSettings
from wigeonreach.scheduling._vms import VmRecord
from wigeonreach.scheduling._workers import Workers
from wigeonreach.scheduling.pooling._demand import ServiceDemand
from wigeonreach.scheduling.pooling._pool_vms import Move, PoolVms
from wigeonreach.scheduling.pooling._pool_wants import (
    PoolSize,
    ServingNeed,
    Wanted,
    wanted_by,
)

# What arrives before a VM that is ordered now works.
_LOOKAHEAD_S = 1.5
# A VM that is not needed stays for this, as the next turn may need it.
_IDLE_S = 1.5
# What a term knows of demand at its start is too little to send VMs away.
_SETTLE_S = 8.0
# A VM that can't be emptied in this time stays where it is.
_EMPTY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Emptying:
    """A VM that is about to move."""

    to_pool: str
    since_s: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """One pool now.

    Attributes
    ----------
    incarnations
        Workers that may take work.
    wanted
        VMs that its work needs.
    """

    name: str
    incarnations: tuple[Incarnation, ...]
    wanted: Wanted

    @property
    def vms(self) -> list[str]:
        """VMs of its workers."""
        return [worker.report.vm for worker in self.incarnations]


class PoolPlanner:
    """Follow the pools, for the leader of one term.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    workers
        The incarnations of the workers.
    settings
        What is known of the platform.
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
        """Move nothing yet."""
        self.vms = PoolVms(store, workers, settings.move_s)
        self._store = store
        self._workers = workers
        self._far_factor = settings.far_factor
        self._settled_s = now_s + _SETTLE_S
        self._demand: dict[str, ServiceDemand] = collections.defaultdict(
            ServiceDemand,
        )
        self._emptying: dict[str, _Emptying] = {}
        self._surplus_since_s: dict[str, float] = {}

    @property
    def cordoned(self) -> set[str]:
        """VMs that get nothing new."""
        return set(self._emptying)

    def near_rooms(self, now_s: float) -> NearRooms:
        """Return what tells which work waits for room near its data."""
        return NearRooms(self._far_factor, self.vms.racks_coming(), now_s)

    def note_accepted(self, work: AcceptedWork, now_s: float) -> None:
        """Take work that was just accepted."""
        vm_s = sum(step.vm_s(self.vms.room) for step in work.steps)
        self._demand[work.service].note(vm_s, now_s)

    def note_vms(self, vms: Iterable[VmRecord]) -> None:
        """Take the platform's list of VMs."""
        self.vms.note_listed(vms)

    def note_moved(self, move: Move, now_s: float) -> None:
        """Take note that the platform carries a move out."""
        self._emptying.pop(move.vm, None)
        self.vms.note_moved(move, now_s)

    def note_failed(self, move: Move) -> None:
        """Take note that a move was refused."""
        self._emptying.pop(move.vm, None)
        self.vms.note_failed(move)

    def step(
        self,
        work: Mapping[str, Iterable[StepWork]],
        serving: Mapping[str, int],
        homeless: Mapping[str, Mapping[str, float]],
        taken: set[str],
        now_s: float,
    ) -> list[Move]:
        """Return the moves to be ordered now.

        Parameters
        ----------
        work
            What is left of the accepted jobs of each service.
        serving
            On how many workers the serving tasks of each are to be spread.
        homeless
            VMs that those fill which found no room, by service and label.
        taken
            VMs that waves have in hand.
        now_s
            Clock in seconds.
        """
        self.vms.refresh(now_s)
        backlog = backlogs(work, self.vms.room)
        need = ServingNeed(serving, homeless)
        pools = self._pools(backlog, need, taken, now_s)
        self._fill(pools, taken, now_s)
        self._give_back(pools, now_s)
        return self._due(now_s)

    def _pools(
        self,
        backlog: Mapping[str, Backlog],
        serving: ServingNeed,
        taken: set[str],
        now_s: float,
    ) -> dict[str, PoolState]:
        incarnations = self._takers(taken, now_s)
        pools: dict[str, PoolState] = {}
        for service in self._store.manifest.services:
            if service.is_standby:
                continue
            name = service.name
            there = tuple(incarnations[name])
            vms = [incarnation.report.vm for incarnation in there]
            arriving_vm_s = self._demand[name].rate_at(now_s) * _LOOKAHEAD_S
            wanted = wanted_by(
                name,
                backlog.get(name, NOTHING),
                arriving_vm_s,
                serving,
                PoolSize(len(vms), self.vms.count_labels(vms)),
                self._far_factor > 1,
            )
            pools[name] = PoolState(name, there, wanted)
        return pools

    def _takers(
        self,
        taken: set[str],
        now_s: float,
    ) -> dict[str, list[Incarnation]]:
        """Return the workers of each service that may take work."""
        found: dict[str, list[Incarnation]] = collections.defaultdict(list)
        for incarnation in self._workers.incarnations.values():
            vm = incarnation.report.vm
            is_free = vm not in taken and vm not in self._emptying
            if is_free and incarnation.may_take(now_s):
                found[incarnation.report.service].append(incarnation)
        return found

    def _fill(
        self,
        pools: Mapping[str, PoolState],
        taken: set[str],
        now_s: float,
    ) -> None:
        """Find VMs for the pools that lack most."""
        lacking = sorted(
            pools.values(),
            key=lambda pool: self._have(pool) - pool.wanted.total,
        )
        for pool in lacking:
            # What carries something goes first, and counts for the rest too.
            for label in pool.wanted.by_label:
                self._promise(pool, pools, taken, label, now_s)
            self._promise(pool, pools, taken, ANYWHERE, now_s)

    def _promise(
        self,
        pool: PoolState,
        pools: Mapping[str, PoolState],
        taken: set[str],
        label: str,
        now_s: float,
    ) -> None:
        """Promise a pool the VMs with a label that it lacks, if there are."""
        for _ in range(self._missing(pool, label)):
            vm = self._donor(pool, pools, taken, label)
            if vm is None:
                return
            reason = _why(pool, self._have(pool), label)
            self._emptying[vm] = _Emptying(pool.name, now_s, reason)

    def _missing(self, pool: PoolState, label: str) -> int:
        """Return how many VMs with a label, or at all, a pool lacks."""
        if not label:
            return max(pool.wanted.total - self._have(pool), 0)
        has = self.vms.count_labels(self._vms_of(pool))
        return max(pool.wanted.by_label[label] - has[label], 0)

    def _vms_of(self, pool: PoolState) -> list[str]:
        """Return the VMs that a pool has, or that are promised to it."""
        promised = [
            vm
            for vm, emptying in self._emptying.items()
            if emptying.to_pool == pool.name
        ]
        # What was promised to others since they were counted is theirs.
        staying = [vm for vm in pool.vms if vm not in self._emptying]
        return [*staying, *self.vms.coming_to(pool.name), *promised]

    def _have(self, pool: PoolState) -> int:
        return len(self._vms_of(pool))

    def _donor(
        self,
        wanting: PoolState,
        pools: Mapping[str, PoolState],
        taken: set[str],
        label: str,
    ) -> str | None:
        """Return a VM with a label for a pool, if there is one to spare."""
        spare = [
            vm
            for pool in pools.values()
            if pool.name != wanting.name
            and self._have(pool) > pool.wanted.total
            for vm in self._idle_vms(pool)
        ]
        standby = self.vms.standby - taken - self._emptying.keys()
        return self._most_useful(spare, wanting, label) or self._most_useful(
            standby, wanting, label
        )

    def _most_useful(
        self,
        vms: Iterable[str],
        pool: PoolState,
        label: str,
    ) -> str | None:
        """Return the VM with a label that carries most of what is needed.

        One in a zone from which nobody is heard comes last: the zone may be cut
        off, and the VM of no use.
        """
        fitting = [
            vm for vm in vms if not label or label in self.vms.labels(vm)
        ]
        fitting.sort(
            key=lambda vm: (
                not self.vms.is_reachable(vm),
                -self._use(vm, pool),
                vm,
            ),
        )
        return next(iter(fitting), None)

    def _use(self, vm: str, pool: PoolState) -> int:
        """Return how many of the labels that a pool's work needs a VM has."""
        return sum(
            label in pool.wanted.by_label for label in self.vms.labels(vm)
        )

    def _give_back(
        self,
        pools: Mapping[str, PoolState],
        now_s: float,
    ) -> None:
        """Send VMs that idle to the standby pool."""
        standby_pool = self.vms.standby_pool
        if not standby_pool or now_s < self._settled_s:
            return
        for pool in pools.values():
            surplus = self._have(pool) - pool.wanted.total
            if surplus <= 0:
                self._surplus_since_s.pop(pool.name, None)
                continue
            since_s = self._surplus_since_s.setdefault(pool.name, now_s)
            if now_s - since_s >= _IDLE_S:
                reason = _why(pool, self._have(pool), ANYWHERE)
                back = _Emptying(standby_pool, now_s, reason)
                idle = sorted(self._idle_vms(pool))[:surplus]
                self._emptying.update(dict.fromkeys(idle, back))

    def _due(self, now_s: float) -> list[Move]:
        moves: list[Move] = []
        for vm, emptying in list(self._emptying.items()):
            incarnation = self._workers.of_vm(vm)
            if incarnation is None or is_empty(incarnation, self._store):
                moves.append(self._move_of(vm, emptying, incarnation))
            elif now_s - emptying.since_s > _EMPTY_S:
                self._emptying.pop(vm)
        return moves

    def _move_of(
        self,
        vm: str,
        emptying: _Emptying,
        incarnation: Incarnation | None,
    ) -> Move:
        move = Move(
            vm,
            self.vms.standby_pool,
            emptying.to_pool,
            emptying.reason,
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
        """Return a pool's VMs with nothing on them that it does not need."""
        spare = self.vms.count_labels(self._vms_of(pool))
        spare.subtract(pool.wanted.by_label)
        idle: list[str] = []
        for incarnation in pool.incarnations:
            vm = incarnation.report.vm
            needed = [
                label
                for label in self.vms.labels(vm)
                if label in pool.wanted.by_label and spare[label] <= 0
            ]
            is_idle = vm and vm not in self._emptying and not needed
            if is_idle and is_empty(incarnation, self._store):
                idle.append(vm)
                spare.subtract(self.vms.labels(vm))
        return idle


def _why(pool: PoolState, have: int, label: str) -> str:
    carrying = f' with {label}' if label else ''
    return f'{pool.name} wants {pool.wanted.total}{carrying}, has {have}'
