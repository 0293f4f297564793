"""Select the VM whose move to a pool disturbs the least work."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterator, Mapping
from typing import Protocol

from wigeonreach.fleet._budget import Budgets
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import Vm
from wigeonreach.fleet._moves_demand import PoolDemand, VmHistory
from wigeonreach.fleet._moves_exchange import frees_vm_in_zone
from wigeonreach.fleet._moves_model import MoveCause, MoveSettings, VmWork
from wigeonreach.text import FailureDomain

# VMs of each pool compared for one move; bounds the cost of a decision.
_CANDIDATES_PER_POOL = 32


class MaintenanceView(Protocol):
    """VMs that maintenance waves maintain now or have yet to maintain."""

    def is_busy(self, vm: str) -> bool:
        """Return whether a VM is under maintenance."""

    def is_waiting(self, pool: str) -> bool:
        """Return whether VMs of a pool are waiting for maintenance."""


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRequest:
    """A pool's request for one more VM.

    Attributes
    ----------
    have_slots, need_slots
        Slots that the pool has and needs.
    zone
        Zone of the VM waiting for maintenance, if that is the cause.
    """

    pool: str
    cause: MoveCause
    have_slots: float
    need_slots: float
    zone: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """A VM of the requesting pool that another pool should get first."""

    vm: Vm
    request: MoveRequest


class MoveSelector:
    """Ranks VMs for moves, based on the state of a `MovePlanner`.

    Parameters
    ----------
    inventory, budgets, settings, claims
        As given to the planner.
    history, demand
        Records of the planner about VMs and pools.
    """

    def __init__(
        self,
        inventory: Inventory,
        budgets: Budgets,
        settings: MoveSettings,
        claims: MaintenanceView | None,
        history: VmHistory,
        demand: Mapping[str, PoolDemand],
    ) -> None:
        """Start without known work."""
        self._inventory = inventory
        self._budgets = budgets
        self._settings = settings
        self._claims = claims
        self._history = history
        self._demand = demand
        self._work: dict[str, VmWork] = {}

    def note_work(self, work: VmWork) -> None:
        """Record the work on a VM."""
        self._work[work.vm] = work

    def work_of(self, vm: Vm) -> VmWork:
        """Return the recorded work on a VM; none if unknown."""
        return self._work.get(vm.name, VmWork(vm.name, 0, 0))

    def candidates(self, request: MoveRequest, now_s: float) -> Iterator[Vm]:
        """Yield VMs that may be moved and would help the request."""
        for pool in self._budgets.needs:
            if pool != request.pool and not self._keeps_spare(
                pool, request.cause
            ):
                yield from (
                    vm
                    for vm in self._candidates_in_pool(pool)
                    if self._helps(vm, request)
                    and self.may_move(vm, request, now_s)
                )

    def exchanges(
        self, request: MoveRequest, now_s: float
    ) -> Iterator[Exchange]:
        """Yield spare VMs of the requesting pool that help via an exchange.

        Such a VM is in another zone than requested.  Moving it to another
        pool frees a VM of that pool in the requested zone, which can then be
        moved to the requesting pool.
        """
        if request.cause is not MoveCause.MAINTENANCE:
            return
        for vm in self._candidates_in_pool(request.pool):
            zone_request = dataclasses.replace(request, zone=vm.zone)
            if vm.zone != request.zone and self.may_move(
                vm, zone_request, now_s
            ):
                yield from (
                    Exchange(
                        vm, dataclasses.replace(zone_request, pool=need.pool)
                    )
                    for need in self._budgets.needs.values()
                    if need.pool != request.pool
                    and not need.is_watched
                    and frees_vm_in_zone(
                        self._inventory, need, vm, request.zone
                    )
                )

    def may_move(self, vm: Vm, request: MoveRequest, now_s: float) -> bool:
        """Return whether a VM may leave its pool for a request."""
        if self._claims is not None and self._claims.is_busy(vm.name):
            return False
        if self._history.is_flapping(vm.name, now_s):
            return False
        min_stay_s = self._min_stay_s(request.cause)
        if not self._history.is_settled(vm.name, now_s, min_stay_s):
            return False
        if request.cause is MoveCause.USAGE and self._is_used(vm):
            return False
        need = self._budgets.needs[request.pool]
        is_emergency = request.have_slots < need.guarded_slots
        decision = self._budgets.check_move(vm, is_emergency=is_emergency)
        return decision.is_allowed

    def cost(
        self, request: MoveRequest, vm: Vm
    ) -> tuple[int, int, int, int, str]:
        """Return a sort key: disturbed work, old pool's need, zone spread."""
        work = self.work_of(vm)
        zones = self._inventory.up_by_domain(request.pool, FailureDomain.ZONE)
        # A VM in the zone of the one waiting for maintenance is best.
        in_zone = -1 if vm.zone == request.zone else zones.slots(vm.zone)
        needed = self._budgets.needs[vm.pool].slots
        return work.in_flight, work.checkpointable, needed, in_zone, vm.name

    def _candidates_in_pool(self, pool: str) -> list[Vm]:
        vms = self._inventory.vms_in_pool(pool)
        return list(itertools.islice(vms, _CANDIDATES_PER_POOL))

    def _helps(self, vm: Vm, request: MoveRequest) -> bool:
        if request.cause is not MoveCause.MAINTENANCE:
            return True
        need = self._budgets.needs[request.pool]
        return frees_vm_in_zone(self._inventory, need, vm, request.zone)

    def _is_used(self, vm: Vm) -> bool:
        used = self._demand[vm.pool].used_slots / self._settings.max_usage_ratio
        return self._inventory.up_slots(vm.pool) - vm.slots < used

    def _keeps_spare(self, pool: str, cause: MoveCause) -> bool:
        """Return whether a pool keeps VMs lent for its maintenance.

        Otherwise pools would take the same VM from each other in turn.
        """
        if cause is not MoveCause.MAINTENANCE or self._claims is None:
            return False
        is_needed = self._budgets.needs[pool].slots > 0
        has_use = self._demand[pool].keeps_spare
        return is_needed and has_use and self._claims.is_waiting(pool)

    def _min_stay_s(self, cause: MoveCause) -> float:
        if cause is MoveCause.DEPTH:
            return 0.0
        if cause is MoveCause.MAINTENANCE:
            return self._settings.min_loan_s
        return self._settings.min_stay_s
