"""Decide whether one more VM may go down now."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Iterator

from wigeonreach.fleet._budget_services import ServiceClocks
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import PoolNeed, Vm, pool_needs
from wigeonreach.text import FailureDomain, FleetText


class Refusal(enum.StrEnum):
    """Why a VM must not go down now."""

    WATCHED = 'watched'
    MAINTAINED = 'maintained'
    DEPTH = 'depth'
    GUARD = 'guard'
    RESTORE = 'restore'
    TIME = 'time'
    DEPENDENCY = 'dependency'
    ZONE_PART = 'zone-part'


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a VM may go down, with the figures that decided.

    Attributes
    ----------
    refusal
        None if the VM may go down.
    subject
        Pool, service or zone that refuses.
    have, need
        What would be left and what must be left: slots, or seconds of the
        budget where the refusal is ``TIME``.
    """

    refusal: Refusal | None = None
    subject: str = ''
    have: float = 0.0
    need: float = 0.0

    @property
    def is_allowed(self) -> bool:
        """Whether the VM may go down."""
        return self.refusal is None


ALLOWED = Verdict()
_POOL_REFUSALS = frozenset((Refusal.DEPTH, Refusal.GUARD))


class Budgets:
    """The availability budgets of all services over one inventory.

    Counts what is already down for any reason, what own actions hold down,
    and what would be lost besides with the largest guarded domain.  The
    depth of a budget covers the moment after such a loss; the spare of all
    pools covers the time until the domain is back.  VMs that own actions
    hold down return soon, so the budget's time can cover them instead of
    more spare.

    Parameters
    ----------
    text
        The checked text in force.
    inventory
        The VMs; told which pools are only watched.  Call `observe` after
        each change of a VM of a pool.
    """

    def __init__(self, text: FleetText, inventory: Inventory) -> None:
        """Take the needs of a text."""
        self._inventory = inventory
        self.clocks = ServiceClocks(text)
        self._take(text)

    def apply(self, text: FleetText, now_s: float) -> None:
        """Take a new text; what was spent of budgets stays spent.

        Parameters
        ----------
        text
            The checked text in force from now on.
        now_s
            Time, in seconds.
        """
        self.clocks = ServiceClocks(text, self.clocks)
        self._take(text)
        for pool in self.needs:
            self.observe(pool, now_s)

    def observe(self, pool: str, now_s: float) -> None:
        """Note the capacity of a pool from now on.

        Parameters
        ----------
        pool
            A pool of which a VM changed.
        now_s
            Time of the change, in seconds.
        """
        need = self.needs.get(pool)
        if need is not None:
            self.clocks.observe(
                need.services,
                now_s,
                is_lacking=self._inventory.up_slots(pool) < need.guarded_slots,
            )

    def judge(
        self,
        vm: Vm,
        now_s: float,
        expected_s: float,
        *,
        may_spend: bool = True,
    ) -> Verdict:
        """Decide whether a VM may go down now.

        Parameters
        ----------
        vm
            The VM as the inventory holds it.
        now_s
            Time, in seconds.
        expected_s
            For how long it will be down, in seconds.
        may_spend
            Whether the promise may be missed for that long, if the budget
            has the time left.

        Returns
        -------
        Verdict
            The first reason against it, or `ALLOWED`.
        """
        if self._inventory.is_watched(vm.pool):
            return Verdict(Refusal.WATCHED, vm.pool)
        if vm.is_maintained:
            return Verdict(Refusal.MAINTAINED, vm.name)
        if not vm.is_up:
            # It carries nothing, so taking it down costs nothing.
            return ALLOWED
        reasons = self._reasons(vm, now_s, expected_s, may_spend=may_spend)
        return next(reasons, ALLOWED)

    def lacks_spare(self, vm: Vm, now_s: float, expected_s: float) -> bool:
        """Return whether a VM lent to its pool would let this one go down.

        It would not help where the fleet as a whole, the time of a budget or
        a dependency refuses, or where the pool has a VM down already.
        """
        if self._inventory.held_slots(vm.pool):
            return False
        reasons = self._reasons(vm, now_s, expected_s, may_spend=True)
        return all(reason.refusal in _POOL_REFUSALS for reason in reasons)

    def judge_leaving(self, vm: Vm, *, is_emergency: bool) -> Verdict:
        """Decide whether a VM may leave its pool for another.

        The fleet loses nothing by it, but the pool must keep its promise.

        Parameters
        ----------
        vm
            The VM as the inventory holds it.
        is_emergency
            Whether the other pool lacks what must be left after a loss.
            Then work of this pool that can wait does so, and no second
            loss is guarded against.
        """
        if self._inventory.is_watched(vm.pool):
            return Verdict(Refusal.WATCHED, vm.pool)
        if not vm.is_up:
            return Verdict(Refusal.MAINTAINED, vm.name)
        need = self.needs.get(vm.pool)
        if need is None:
            return ALLOWED
        kept = need.guarded_slots if is_emergency else need.slots
        left = self._inventory.up_slots(vm.pool) - vm.slots
        if left < kept:
            return Verdict(Refusal.DEPTH, vm.pool, left, kept)
        if is_emergency:
            return ALLOWED
        return next(self._pool_reasons(vm, need), ALLOWED)

    def _take(self, text: FleetText) -> None:
        self.needs = pool_needs(text)
        self._managed = [
            need for need in self.needs.values() if not need.is_watched
        ]
        self._promised_slots = sum(need.slots for need in self._managed)
        self._targets = [_target(self._managed, kind) for kind in FailureDomain]
        self._inventory.watch(
            [need.pool for need in self.needs.values() if need.is_watched],
        )

    def _reasons(
        self,
        vm: Vm,
        now_s: float,
        expected_s: float,
        *,
        may_spend: bool,
    ) -> Iterator[Verdict]:
        need = self.needs.get(vm.pool)
        wanted_s = expected_s if may_spend else float('inf')
        if need is not None:
            yield from self._pool_reasons(vm, need)
            for missing in self.clocks.missing_needs(need.services):
                yield Verdict(Refusal.DEPENDENCY, missing)
            if self._inventory.up_slots(vm.pool) - vm.slots < need.slots:
                yield from self._time_reasons((need,), now_s, wanted_s)
        for shortfall in self._fleet_reasons(vm):
            if shortfall.is_final:
                yield shortfall.verdict
            else:
                yield from self._time_reasons(self._managed, now_s, wanted_s)

    def _pool_reasons(self, vm: Vm, need: PoolNeed) -> Iterator[Verdict]:
        left = self._inventory.up_slots(vm.pool) - vm.slots
        if left < need.least_slots:
            yield Verdict(Refusal.DEPTH, vm.pool, left, need.least_slots)
        if need.guard is None:
            return
        peak = self._inventory.up(vm.pool, need.guard).peak(
            vm.domain(need.guard),
            vm.slots,
        )
        if left - peak < need.least_slots:
            yield Verdict(Refusal.GUARD, vm.pool, left - peak, need.least_slots)

    def _time_reasons(
        self,
        needs: Iterable[PoolNeed],
        now_s: float,
        wanted_s: float,
    ) -> Iterator[Verdict]:
        for need in needs:
            for service in self.clocks.affected(need.services):
                left_s = self.clocks.left_s(service, now_s)
                if left_s < wanted_s:
                    yield Verdict(Refusal.TIME, service, left_s, wanted_s)

    def _fleet_reasons(self, vm: Vm) -> Iterator[_FleetReason]:
        left = self._inventory.fleet_up(FailureDomain.ZONE).total_slots
        left -= vm.slots
        if left < self._promised_slots:
            yield _FleetReason('', left, self._promised_slots, is_final=False)
        for target in self._targets:
            yield from self._domain_reasons(vm, target, left)

    def _domain_reasons(
        self,
        vm: Vm,
        target: _Target,
        left: int,
    ) -> Iterator[_FleetReason]:
        if not target.slots:
            return
        kind = target.kind
        present = self._inventory.fleet_present(kind)
        at_last = present.total_slots - present.peak()
        if at_last < target.slots:
            yield _FleetReason(kind, at_last, target.slots, is_final=True)
        up = self._inventory.fleet_up(kind)
        at_once = left - up.peak(vm.domain(kind), vm.slots)
        if at_once < target.least_slots:
            yield _FleetReason(
                kind,
                at_once,
                target.least_slots,
                is_final=True,
            )
        if at_once < target.slots:
            yield _FleetReason(kind, at_once, target.slots, is_final=False)


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    """What the fleet must keep with one domain of a kind lost."""

    kind: FailureDomain
    slots: float
    least_slots: float


@dataclasses.dataclass(frozen=True, slots=True)
class _FleetReason:
    """What speaks against it; unless final, the budget's time can pay."""

    lost: str
    have: float
    need: float
    is_final: bool

    @property
    def verdict(self) -> Verdict:
        return Verdict(Refusal.RESTORE, self.lost, self.have, self.need)


def _target(needs: Iterable[PoolNeed], kind: FailureDomain) -> _Target:
    guarded = [need for need in needs if need.guards(kind)]
    # Work that can wait gives way while the domain is lost.
    slots = sum(need.guarded_slots for need in guarded)
    least_slots = sum(need.least_slots for need in guarded)
    return _Target(kind, slots, min(slots, least_slots))
