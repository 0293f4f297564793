"""Choose the VM whose move to a pool disturbs least."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterator, Mapping
from typing import Protocol

from wigeonreach.fleet._budget import Budgets
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import Vm
from wigeonreach.fleet._moves_damping import PoolDemand, VmHistory
from wigeonreach.fleet._moves_exchange import frees
from wigeonreach.fleet._moves_model import MoveCause, MoveSettings, VmWork
from wigeonreach.text import FailureDomain

# VMs of a pool compared for one move; bounds what a decision costs.
_CANDIDATES_PER_POOL = 32


class Claims(Protocol):
    """What waves have in hand."""

    def is_busy(self, vm: str) -> bool:
        """Return whether a VM is being maintained."""

    def is_waiting(self, pool: str) -> bool:
        """Return whether VMs of a pool wait for their maintenance."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """A pool wants one VM more.

    Attributes
    ----------
    zone
        Where a VM waits for its maintenance, if that is the cause.
    """

    pool: str
    cause: MoveCause
    have_slots: float
    need_slots: float
    zone: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A VM that another pool than the asking one should get first."""

    vm: Vm
    wish: Wish


class MoveChoice:
    """Ranks VMs for moves, over the state of a planner of moves.

    Parameters
    ----------
    inventory, budgets, settings, claims
        As given to the planner.
    history, demand
        What the planner remembers of VMs and pools.
    """

    def __init__(
        self,
        inventory: Inventory,
        budgets: Budgets,
        settings: MoveSettings,
        claims: Claims | None,
        history: VmHistory,
        demand: Mapping[str, PoolDemand],
    ) -> None:
        """Start with no work known."""
        self._inventory = inventory
        self._budgets = budgets
        self._settings = settings
        self._claims = claims
        self._history = history
        self._demand = demand
        self._work: dict[str, VmWork] = {}

    def note_work(self, work: VmWork) -> None:
        """Remember what a VM holds."""
        self._work[work.vm] = work

    def work_of(self, vm: Vm) -> VmWork:
        """Return what is known of a VM's work."""
        return self._work.get(vm.name, VmWork(vm.name, 0, 0))

    def candidates(self, wish: Wish, now_s: float) -> Iterator[Vm]:
        """Yield some VMs that may be moved and would help."""
        for pool in self._budgets.needs:
            if pool != wish.pool and not self._keeps_spare(pool, wish.cause):
                yield from (
                    vm
                    for vm in self._some_members(pool)
                    if self._helps(vm, wish) and self.may_move(vm, wish, now_s)
                )

    def exchanges(self, wish: Wish, now_s: float) -> Iterator[Offer]:
        """Yield spare of a pool that helps only elsewhere.

        Given to another pool it frees a VM there in the zone where the wish
        needs one, which then comes in exchange.
        """
        if wish.cause is not MoveCause.MAINTENANCE:
            return
        for vm in self._some_members(wish.pool):
            back = dataclasses.replace(wish, zone=vm.zone)
            if vm.zone != wish.zone and self.may_move(vm, back, now_s):
                yield from (
                    Offer(vm, dataclasses.replace(back, pool=need.pool))
                    for need in self._budgets.needs.values()
                    if need.pool != wish.pool
                    and not need.is_watched
                    and frees(self._inventory, need, vm, wish.zone)
                )

    def may_move(self, vm: Vm, wish: Wish, now_s: float) -> bool:
        """Return whether a VM may leave its pool for a wish."""
        if self._claims is not None and self._claims.is_busy(vm.name):
            return False
        if self._history.is_flapping(vm.name, now_s):
            return False
        stay_s = self._stay_s(wish.cause)
        if not self._history.is_settled(vm.name, now_s, stay_s):
            return False
        if wish.cause is MoveCause.USAGE and self._is_used(vm):
            return False
        need = self._budgets.needs[wish.pool]
        is_emergency = wish.have_slots < need.guarded_slots
        verdict = self._budgets.judge_leaving(vm, is_emergency=is_emergency)
        return verdict.is_allowed

    def cost(self, wish: Wish, vm: Vm) -> tuple[int, int, int, int, str]:
        """Rank by what is disturbed, then by need and spread over zones."""
        work = self.work_of(vm)
        zones = self._inventory.up(wish.pool, FailureDomain.ZONE)
        # Spare in the zone of a VM under maintenance takes its place there.
        in_zone = -1 if vm.zone == wish.zone else zones.slots(vm.zone)
        needed = self._budgets.needs[vm.pool].slots
        return work.in_flight, work.checkpointable, needed, in_zone, vm.name

    def _some_members(self, pool: str) -> list[Vm]:
        members = self._inventory.members(pool)
        return list(itertools.islice(members, _CANDIDATES_PER_POOL))

    def _helps(self, vm: Vm, wish: Wish) -> bool:
        if wish.cause is not MoveCause.MAINTENANCE:
            return True
        need = self._budgets.needs[wish.pool]
        return frees(self._inventory, need, vm, wish.zone)

    def _is_used(self, vm: Vm) -> bool:
        used = self._demand[vm.pool].used_slots / self._settings.used_ratio
        return self._inventory.up_slots(vm.pool) - vm.slots < used

    def _keeps_spare(self, pool: str, cause: MoveCause) -> bool:
        """Return whether a pool keeps what was lent for its maintenance.

        Otherwise pools would take the same VM from each other in turn.
        """
        if cause is not MoveCause.MAINTENANCE or self._claims is None:
            return False
        is_needed = self._budgets.needs[pool].slots > 0
        has_use = self._demand[pool].keeps_spare
        return is_needed and has_use and self._claims.is_waiting(pool)

    def _stay_s(self, cause: MoveCause) -> float:
        if cause is MoveCause.DEPTH:
            return 0.0
        if cause is MoveCause.MAINTENANCE:
            return self._settings.lend_s
        return self._settings.stay_s
