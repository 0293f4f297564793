"""Check whether one more VM may be taken down under availability budgets."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Iterator

from wigeonreach.fleet._budget_services import ServiceShortages
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import PoolNeed, Vm, pool_needs
from wigeonreach.text import FailureDomain, FleetText


class Refusal(enum.StrEnum):
    """Reason why a VM must not be taken down now."""

    WATCHED = 'watched'
    MAINTAINED = 'maintained'
    DEPTH = 'depth'
    GUARD = 'guard'
    RESTORE = 'restore'
    TIME = 'time'
    DEPENDENCY = 'dependency'
    ZONE_PART = 'zone-part'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a VM may be taken down, with the figures behind it.

    Attributes
    ----------
    refusal
        Reason for refusing, or None if the VM may be taken down.
    subject
        Pool, service or VM that causes the refusal; if it is ``RESTORE``, the
        kind of failure domain assumed to be lost, or empty for none.
    have, need
        What is available and what is required: slots, or seconds of the
        budget if the refusal is ``TIME``; 0 if no figures were compared.
    """

    refusal: Refusal | None = None
    subject: str = ''
    have: float = 0.0
    need: float = 0.0

    @property
    def is_allowed(self) -> bool:
        """Whether the VM may be taken down."""
        return self.refusal is None


ALLOWED = Decision()
_POOL_REFUSALS = frozenset((Refusal.DEPTH, Refusal.GUARD))


class Budgets:
    """The availability budgets of all services over one inventory.

    Accounts for VMs that are down for any reason, VMs under maintenance, and
    the additional loss of the largest guarded failure domain.  The depth of
    a budget (its missing ratio) covers the moment right after such a loss;
    the spare capacity of all pools covers the time until the domain is back.
    VMs under maintenance return soon, so the budget's time (its missing
    seconds) can cover them instead of more spare capacity.

    Parameters
    ----------
    text
        The validated configuration text in force.
    inventory
        The VMs; its watched pools are set from the text.  Call `observe`
        with the pool of a VM after each change of the VM.
    """

    def __init__(self, text: FleetText, inventory: Inventory) -> None:
        """Load the requirements of a text."""
        self._inventory = inventory
        self.shortages = ServiceShortages(text)
        self._apply_text(text)

    def apply(self, text: FleetText, now_s: float) -> None:
        """Apply a new text; budget time already spent stays spent.

        Parameters
        ----------
        text
            The validated configuration text in force from now on.
        now_s
            Current time, in seconds.
        """
        self.shortages = ServiceShortages(text, self.shortages)
        self._apply_text(text)
        for pool in self.needs:
            self.observe(pool, now_s)

    def observe(self, pool: str, now_s: float) -> None:
        """Record whether a pool lacks capacity from now on.

        Parameters
        ----------
        pool
            Name of the pool in which a VM changed.
        now_s
            Time of the change, in seconds.
        """
        need = self.needs.get(pool)
        if need is not None:
            self.shortages.observe(
                need.services,
                now_s,
                is_short=self._inventory.up_slots(pool) < need.guarded_slots,
            )

    def check_drain(
        self,
        vm: Vm,
        now_s: float,
        expected_s: float,
        *,
        may_spend: bool = True,
    ) -> Decision:
        """Check whether a VM may be taken down now.

        Parameters
        ----------
        vm
            The VM as the inventory holds it.
        now_s
            Current time, in seconds.
        expected_s
            Expected downtime, in seconds.
        may_spend
            Whether promised slots may be missing for ``expected_s``, if the
            time budget has at least that much left.

        Returns
        -------
        Decision
            The first refusal, or `ALLOWED`.
        """
        if self._inventory.is_watched(vm.pool):
            return Decision(Refusal.WATCHED, vm.pool)
        if vm.is_maintained:
            return Decision(Refusal.MAINTAINED, vm.name)
        if not vm.is_up:
            # The VM provides no capacity, so taking it down loses none.
            return ALLOWED
        refusals = self._refusals(vm, now_s, expected_s, may_spend=may_spend)
        return next(refusals, ALLOWED)

    def would_spare_help(self, vm: Vm, now_s: float, expected_s: float) -> bool:
        """Return whether a VM lent to its pool would let this one go down.

        It does not help if the refusal comes from the fleet as a whole, the
        time of a budget or a dependency, or if the pool already has a VM
        under maintenance.
        """
        if self._inventory.pool_maintained_slots(vm.pool):
            return False
        refusals = self._refusals(vm, now_s, expected_s, may_spend=True)
        return all(reason.refusal in _POOL_REFUSALS for reason in refusals)

    def check_move(self, vm: Vm, *, is_emergency: bool) -> Decision:
        """Check whether a VM may move from its pool to another.

        The fleet loses no capacity, but the pool must keep its promise.

        Parameters
        ----------
        vm
            The VM as the inventory holds it.
        is_emergency
            Whether the receiving pool is below the slots that must remain
            after a domain loss.  Deferrable work of the VM's pool then
            waits, and that pool is not guarded against a second loss.
        """
        if self._inventory.is_watched(vm.pool):
            return Decision(Refusal.WATCHED, vm.pool)
        if not vm.is_up:
            return Decision(Refusal.MAINTAINED, vm.name)
        need = self.needs.get(vm.pool)
        if need is None:
            return ALLOWED
        kept = need.guarded_slots if is_emergency else need.slots
        left = self._inventory.up_slots(vm.pool) - vm.slots
        if left < kept:
            return Decision(Refusal.DEPTH, vm.pool, left, kept)
        if is_emergency:
            return ALLOWED
        return next(self._pool_refusals(vm, need), ALLOWED)

    def _apply_text(self, text: FleetText) -> None:
        self.needs = pool_needs(text)
        self._managed = [
            need for need in self.needs.values() if not need.is_watched
        ]
        self._promised_slots = sum(need.slots for need in self._managed)
        self._domain_requirements = [
            _domain_requirement(self._managed, kind) for kind in FailureDomain
        ]
        self._inventory.set_watched_pools(
            [need.pool for need in self.needs.values() if need.is_watched],
        )

    def _refusals(
        self,
        vm: Vm,
        now_s: float,
        expected_s: float,
        *,
        may_spend: bool,
    ) -> Iterator[Decision]:
        need = self.needs.get(vm.pool)
        needed_s = expected_s if may_spend else float('inf')
        if need is not None:
            yield from self._pool_refusals(vm, need)
            for dependency in self.shortages.short_dependencies(need.services):
                yield Decision(Refusal.DEPENDENCY, dependency)
            if self._inventory.up_slots(vm.pool) - vm.slots < need.slots:
                yield from self._time_refusals((need,), now_s, needed_s)
        for shortfall in self._fleet_shortfalls(vm):
            if shortfall.is_final:
                yield shortfall.decision
            else:
                yield from self._time_refusals(self._managed, now_s, needed_s)

    def _pool_refusals(self, vm: Vm, need: PoolNeed) -> Iterator[Decision]:
        left = self._inventory.up_slots(vm.pool) - vm.slots
        if left < need.min_slots:
            yield Decision(Refusal.DEPTH, vm.pool, left, need.min_slots)
        if need.guard is None:
            return
        peak = self._inventory.up_by_domain(vm.pool, need.guard).peak(
            vm.domain(need.guard),
            vm.slots,
        )
        if left - peak < need.min_slots:
            yield Decision(Refusal.GUARD, vm.pool, left - peak, need.min_slots)

    def _time_refusals(
        self,
        needs: Iterable[PoolNeed],
        now_s: float,
        needed_s: float,
    ) -> Iterator[Decision]:
        for need in needs:
            for service in self.shortages.with_dependents(need.services):
                left_s = self.shortages.remaining_s(service, now_s)
                if left_s < needed_s:
                    yield Decision(Refusal.TIME, service, left_s, needed_s)

    def _fleet_shortfalls(self, vm: Vm) -> Iterator[_FleetShortfall]:
        left = self._inventory.fleet_up_by_domain(
            FailureDomain.ZONE
        ).total_slots
        left -= vm.slots
        if left < self._promised_slots:
            yield _FleetShortfall(
                '', left, self._promised_slots, is_final=False
            )
        for requirement in self._domain_requirements:
            yield from self._domain_shortfalls(vm, requirement, left)

    def _domain_shortfalls(
        self,
        vm: Vm,
        requirement: _DomainRequirement,
        left: int,
    ) -> Iterator[_FleetShortfall]:
        if not requirement.slots:
            return
        kind = requirement.kind
        present = self._inventory.fleet_present_by_domain(kind)
        after_maintenance = present.total_slots - present.peak()
        if after_maintenance < requirement.slots:
            yield _FleetShortfall(
                kind, after_maintenance, requirement.slots, is_final=True
            )
        up = self._inventory.fleet_up_by_domain(kind)
        remaining = left - up.peak(vm.domain(kind), vm.slots)
        if remaining < requirement.min_slots:
            yield _FleetShortfall(
                kind,
                remaining,
                requirement.min_slots,
                is_final=True,
            )
        if remaining < requirement.slots:
            yield _FleetShortfall(
                kind, remaining, requirement.slots, is_final=False
            )


@dataclasses.dataclass(frozen=True, slots=True)
class _DomainRequirement:
    """Slots that the fleet must keep when one domain of a kind is lost."""

    kind: FailureDomain
    slots: float
    min_slots: float


@dataclasses.dataclass(frozen=True, slots=True)
class _FleetShortfall:
    """Fleet-wide shortfall; unless final, the time budget can cover it."""

    lost: str
    have: float
    need: float
    is_final: bool

    @property
    def decision(self) -> Decision:
        return Decision(Refusal.RESTORE, self.lost, self.have, self.need)


def _domain_requirement(
    needs: Iterable[PoolNeed], kind: FailureDomain
) -> _DomainRequirement:
    guarded = [need for need in needs if need.guards(kind)]
    # Deferrable work is preempted while the domain is lost.
    slots = sum(need.guarded_slots for need in guarded)
    min_slots = sum(need.min_slots for need in guarded)
    return _DomainRequirement(kind, slots, min(slots, min_slots))
