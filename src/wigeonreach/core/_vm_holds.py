"""Tell which VMs a new leader may not order yet.

Two leaders' orders for one VM have to be apart by the platform's time.  What a
leader is about to order is replicated first, so that each process knows which
VMs may have been ordered lately, and only those wait after a change of leader.
That an order was answered is replicated too, which holds its VM for less; and
that this is long enough ago, as a restart does not know the age of an order.
"""

from __future__ import annotations

from wigeonreach.jobs import JobStore
from wigeonreach.scheduling._vms import ORDER_LASTS_S

# Clocks and answers are late by less.
_MARGIN_S = 0.5


class VmHolds:
    """When each VM may be ordered by another leader than before.

    Parameters
    ----------
    store
        Which VMs were ordered; its news is taken from it.
    pause_s
        How long two leaders' orders for one VM must be apart.
    """

    def __init__(self, store: JobStore, pause_s: float) -> None:
        """Know of no order."""
        self._store = store
        self._apart_s = pause_s + _MARGIN_S
        # Since when each order is known here, and that it was answered.
        self._recorded_s: dict[str, float] = {}
        self._over_s: dict[str, float] = {}
        # The answers to this process's own orders, and which are replicated.
        self._answered_s: dict[str, float] = {}
        self._told: set[str] = set()

    def begin_term(self, now_s: float) -> None:
        """Take note that this process leads from now on."""
        self._answered_s.clear()
        self._told.clear()
        self.refresh(now_s)

    def note_begun(self, vm: str) -> None:
        """Take note that this process begins to order a VM."""
        self._answered_s.pop(vm, None)
        self._told.discard(vm)

    def note_answered(self, vm: str, now_s: float) -> None:
        """Take note that what was ordered is done, or refused for good."""
        self._answered_s[vm] = now_s

    def take_answered(self) -> tuple[str, ...]:
        """Return the VMs whose answers are to be replicated; take them so."""
        news = tuple(self._answered_s.keys() - self._told)
        self._told.update(news)
        return news

    def settled(self, now_s: float) -> tuple[str, ...]:
        """Return the VMs that any leader may order again, by own orders."""
        return tuple(
            vm
            for vm, answered_s in self._answered_s.items()
            if now_s >= answered_s + self._apart_s
            and vm in self._store.vm_orders
        )

    def refresh(self, now_s: float) -> None:
        """Take note of the orders that were recorded since the last call.

        They are older than that, which holds VMs for longer, not shorter.
        """
        for vm in self._store.newly_ordered:
            self._recorded_s[vm] = now_s
            self._over_s.pop(vm, None)
        for answered in self._store.newly_answered:
            self._over_s[answered] = now_s
        self._store.newly_ordered.clear()
        self._store.newly_answered.clear()
        for settled in self._recorded_s.keys() - self._store.vm_orders:
            self._recorded_s.pop(settled)
            self._over_s.pop(settled, None)
            self._answered_s.pop(settled, None)

    def held(self, began_s: float, now_s: float) -> set[str]:
        """Return the VMs that the leader of a term may not order yet.

        Parameters
        ----------
        began_s
            When its term began: no earlier leader gives an order after that.
        now_s
            Clock in seconds.
        """
        return {
            vm for vm in self._recorded_s if self.is_held(vm, began_s, now_s)
        }

    def is_held(self, vm: str, began_s: float, now_s: float) -> bool:
        """Whether one VM is among those ``held``."""
        if now_s >= began_s + self._apart_s:
            return False
        recorded_s = self._recorded_s.get(vm)
        if recorded_s is None or recorded_s > began_s:
            return False
        return now_s < self._free_s(vm)

    def _free_s(self, vm: str) -> float:
        """Return when any leader may order a VM again."""
        over_s = self._over_s.get(vm)
        if over_s is None:
            over_s = self._recorded_s[vm] + ORDER_LASTS_S
        return over_s + self._apart_s
