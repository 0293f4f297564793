"""Decide which VMs move between pools, for some seconds at a time.

Answers turns of demand: the queue of one pool asks for more than its workers
hold while others are nearly idle.  VMs come from pools that need them least,
or from the standby pool, where they cost nothing, and go back there once they
idle.  A VM is emptied first; one with serving tasks on it stays.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping

from wigeonreach.jobs import JobStore
from wigeonreach.scheduling._demand import ServiceDemand
from wigeonreach.scheduling._moving_out import is_empty
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.scheduling._workers import Incarnation, Workers

# Work is of full use for some 5 s; a VM that is ordered now works in 2 s, so
# what is to be had within this is worth a move.
_FINISH_S = 4.0
_LOOKAHEAD_S = 1.5
# Part of a pool's processors that packing leaves unused.
_USABLE_RATIO = 0.85
# A VM that is not needed stays for this, as the next turn may need it.
_IDLE_S = 1.5
# A move that is not confirmed by a heartbeat within this is forgotten.
_MOVE_LASTS_S = 6.0
# What a term knows of demand at its start is too little to send VMs away.
_SETTLE_S = 8.0
# A VM that can't be emptied in this time stays where it is.
_EMPTY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A VM that is empty and goes to another pool.

    Attributes
    ----------
    reason
        For people; two moves of one VM between the same pools are the same.
    """

    vm: str
    from_pool: str
    to_pool: str
    reason: str = dataclasses.field(default='', compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class _Emptying:
    """A VM that is about to move."""

    to_pool: str
    since_s: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServingNeed:
    """What the serving tasks of the services need, by service.

    Attributes
    ----------
    workers
        On how many workers they are to be spread.
    homeless
        Processors of those that found no room on the workers of now.
    """

    workers: Mapping[str, int]
    homeless: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """One pool now.

    Attributes
    ----------
    incarnations
        Workers that may take work.
    wanted
        Workers that its work needs.
    """

    name: str
    incarnations: tuple[Incarnation, ...]
    wanted: int


class PoolPlanner:
    """Follow the pools, for the leader of one term.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    workers
        The incarnations of the workers.
    move_s
        How long a VM is away while it moves.
    now_s
        When the term began.
    """

    def __init__(
        self,
        store: JobStore,
        workers: Workers,
        move_s: float,
        now_s: float,
    ) -> None:
        """Move nothing yet."""
        self._store = store
        self._workers = workers
        self._move_s = move_s
        self._settled_s = now_s + _SETTLE_S
        self._returning_s: dict[str, float] = {}
        self._demand: dict[str, ServiceDemand] = collections.defaultdict(
            ServiceDemand,
        )
        self._standby: set[str] = set()
        self._emptying: dict[str, _Emptying] = {}
        self._incoming: dict[str, tuple[str, float]] = {}
        self._surplus_since_s: dict[str, float] = {}
        self._processors = 0.0

    @property
    def cordoned(self) -> set[str]:
        """VMs that get nothing new."""
        return set(self._emptying)

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

    def note_accepted(self, service: str, work_s: float, now_s: float) -> None:
        """Take work that was just accepted, in processor seconds."""
        self._demand[service].note(work_s, now_s)

    def note_vms(self, vms: Iterable[VmRecord]) -> None:
        """Take the platform's list of VMs."""
        standby = self.standby_pool
        self._standby = {
            record.vm
            for record in vms
            if record.pool == standby and record.phase is VmPhase.UP
        }

    def note_moved(self, move: Move, now_s: float) -> None:
        """Take note that the platform carries a move out."""
        self._emptying.pop(move.vm, None)
        self._standby.discard(move.vm)
        if move.to_pool == self.standby_pool:
            self._returning_s[move.vm] = now_s + self._move_s
        else:
            self._incoming[move.vm] = (move.to_pool, now_s)

    def note_failed(self, move: Move) -> None:
        """Take note that a move was refused."""
        self._emptying.pop(move.vm, None)
        self._standby.discard(move.vm)

    def step(
        self,
        backlog: Mapping[str, float],
        serving: ServingNeed,
        taken: set[str],
        now_s: float,
    ) -> list[Move]:
        """Return the moves to be ordered now.

        Parameters
        ----------
        backlog
            Processor seconds that the accepted jobs of each service need.
        serving
            What the serving tasks of each service need.
        taken
            VMs that waves have in hand.
        now_s
            Clock in seconds.
        """
        self._forget_arrived(now_s)
        self._note_sizes()
        pools = self._pools(backlog, serving, taken, now_s)
        self._fill(pools, taken, now_s)
        self._give_back(pools, now_s)
        return self._due(now_s)

    def _pools(
        self,
        backlog: Mapping[str, float],
        serving: ServingNeed,
        taken: set[str],
        now_s: float,
    ) -> dict[str, PoolState]:
        incarnations: dict[str, list[Incarnation]] = collections.defaultdict(
            list
        )
        for incarnation in self._workers.incarnations.values():
            vm = incarnation.report.vm
            is_free = vm not in taken and vm not in self._emptying
            if is_free and incarnation.may_take(now_s):
                incarnations[incarnation.report.service].append(incarnation)
        return {
            service.name: PoolState(
                service.name,
                tuple(incarnations[service.name]),
                max(
                    self._wanted_by_work(service.name, backlog, now_s),
                    serving.workers.get(service.name, 0),
                    self._wanted_by_homeless(
                        serving.homeless.get(service.name, 0),
                        len(incarnations[service.name]),
                    ),
                ),
            )
            for service in self._store.manifest.services
            if not service.is_standby
        }

    def _note_sizes(self) -> None:
        for incarnation in self._workers.incarnations.values():
            self._processors = max(
                self._processors, incarnation.room.processors
            )

    def _wanted_by_work(
        self,
        service: str,
        backlog: Mapping[str, float],
        now_s: float,
    ) -> int:
        arriving_s = self._demand[service].rate_at(now_s) * _LOOKAHEAD_S
        work_s = backlog.get(service, 0) + arriving_s
        usable = self._processors * _USABLE_RATIO
        return math.ceil(work_s / (usable * _FINISH_S)) if usable else 0

    def _wanted_by_homeless(self, homeless: float, workers: int) -> int:
        """Return how many workers give room to tasks that found none."""
        if not homeless or not self._processors:
            return 0
        return workers + math.ceil(homeless / self._processors)

    def _fill(
        self,
        pools: Mapping[str, PoolState],
        taken: set[str],
        now_s: float,
    ) -> None:
        """Find VMs for the pools that lack most."""
        lacking = sorted(
            pools.values(),
            key=lambda pool: self._have(pool) - pool.wanted,
        )
        for pool in lacking:
            have = self._have(pool)
            reason = f'wants {pool.wanted}, has {have}'
            for _ in range(max(pool.wanted - have, 0)):
                vm = self._donor(pool, pools, taken)
                if vm is None:
                    return
                self._emptying[vm] = _Emptying(pool.name, now_s, reason)

    def _have(self, pool: PoolState) -> int:
        coming = sum(name == pool.name for name, _ in self._incoming.values())
        promised = sum(
            emptying.to_pool == pool.name
            for emptying in self._emptying.values()
        )
        return len(pool.incarnations) + coming + promised

    def _donor(
        self,
        wanting: PoolState,
        pools: Mapping[str, PoolState],
        taken: set[str],
    ) -> str | None:
        spare = [
            vm
            for pool in pools.values()
            if pool.name != wanting.name and self._have(pool) > pool.wanted
            for vm in self._idle_vms(pool)
        ]
        standby = [
            vm
            for vm in self._standby
            if vm not in taken and vm not in self._emptying
        ]
        return min(spare, default=None) or min(standby, default=None)

    def _give_back(
        self,
        pools: Mapping[str, PoolState],
        now_s: float,
    ) -> None:
        """Send VMs that idle to the standby pool."""
        if not self.standby_pool or now_s < self._settled_s:
            return
        for pool in pools.values():
            surplus = self._have(pool) - pool.wanted
            if surplus <= 0:
                self._surplus_since_s.pop(pool.name, None)
                continue
            since_s = self._surplus_since_s.setdefault(pool.name, now_s)
            if now_s - since_s >= _IDLE_S:
                back = _Emptying(
                    self.standby_pool,
                    now_s,
                    f'{pool.name} wants {pool.wanted}, has {self._have(pool)}',
                )
                idle = sorted(self._idle_vms(pool))[:surplus]
                self._emptying.update(dict.fromkeys(idle, back))

    def _due(self, now_s: float) -> list[Move]:
        moves: list[Move] = []
        for vm, emptying in list(self._emptying.items()):
            incarnation = self._workers.of_vm(vm)
            pool = (
                incarnation.report.service if incarnation else self.standby_pool
            )
            if incarnation is None or is_empty(incarnation, self._store):
                move = Move(vm, pool, emptying.to_pool, emptying.reason)
                moves.append(move)
            elif now_s - emptying.since_s > _EMPTY_S:
                self._emptying.pop(vm)
        return moves

    def _forget_arrived(self, now_s: float) -> None:
        for vm, (pool, since_s) in list(self._incoming.items()):
            incarnation = self._workers.of_vm(vm)
            is_here = (
                incarnation is not None and incarnation.report.service == pool
            )
            if is_here or now_s - since_s > _MOVE_LASTS_S:
                self._incoming.pop(vm)
        back = [vm for vm, at_s in self._returning_s.items() if at_s <= now_s]
        for vm in back:
            self._returning_s.pop(vm)
            self._standby.add(vm)

    def _idle_vms(self, pool: PoolState) -> list[str]:
        return [
            incarnation.report.vm
            for incarnation in pool.incarnations
            if incarnation.report.vm
            and incarnation.report.vm not in self._emptying
            and is_empty(incarnation, self._store)
        ]
