"""Track which VMs a new leader may not send orders for yet.

The platform requires a minimum time between orders of two leaders for one VM.
Orders are replicated before they are sent, so that each process knows which VMs
may have had a recent order; only those are held after a change of leader.
The reply to an order is replicated too, which shortens the hold.  Once any
leader may send the next order, the last one is recorded as settled, which
removes it: a restarted process does not know its age and would hold the VM
again.
"""

from __future__ import annotations

from wigeonreach.jobs import JobStore
from wigeonreach.scheduling._vms import ORDER_TIMEOUT_S

# Upper bound of the clock error plus the delay of a reply.
_MARGIN_S = 0.5


class VmHolds:
    """Determines when a new leader may send orders for each VM.

    Parameters
    ----------
    store
        The replicated state; ``refresh`` clears its sets of new orders.
    pause_s
        Minimum time in seconds between orders of two leaders for one VM.
    """

    def __init__(self, store: JobStore, pause_s: float) -> None:
        """Start without any orders."""
        self._store = store
        self._min_gap_s = pause_s + _MARGIN_S
        # When this process learned of each order, and of the reply to it.
        self._recorded_s: dict[str, float] = {}
        self._answer_recorded_s: dict[str, float] = {}
        # When this process's own orders were answered, and which of these
        # answers were handed out for replication.
        self._answered_s: dict[str, float] = {}
        self._reported: set[str] = set()

    def begin_term(self, now_s: float) -> None:
        """Forget the answers to orders of this process's earlier term."""
        self._answered_s.clear()
        self._reported.clear()
        self.refresh(now_s)

    def note_order_started(self, vm: str) -> None:
        """Record that this process starts to send an order for a VM."""
        self._answered_s.pop(vm, None)
        self._reported.discard(vm)

    def note_order_answered(self, vm: str, now_s: float) -> None:
        """Record that the platform carried out or refused an order for a VM."""
        self._answered_s[vm] = now_s

    def take_unreported_answers(self) -> tuple[str, ...]:
        """Return VMs with answers to replicate, each answer only once."""
        unreported = tuple(self._answered_s.keys() - self._reported)
        self._reported.update(unreported)
        return unreported

    def settled_vms(self, now_s: float) -> tuple[str, ...]:
        """Return VMs of own orders for which any leader may send the next."""
        return tuple(
            vm
            for vm, answered_s in self._answered_s.items()
            if now_s >= answered_s + self._min_gap_s
            and vm in self._store.vm_orders
        )

    def refresh(self, now_s: float) -> None:
        """Process the orders and answers recorded since the last call.

        They are dated at this call although they are older, so that VMs are
        held for longer than necessary, never for less.
        """
        for vm in self._store.newly_ordered:
            self._recorded_s[vm] = now_s
            self._answer_recorded_s.pop(vm, None)
        for answered in self._store.newly_answered:
            self._answer_recorded_s[answered] = now_s
        self._store.newly_ordered.clear()
        self._store.newly_answered.clear()
        for settled in self._recorded_s.keys() - self._store.vm_orders:
            self._recorded_s.pop(settled)
            self._answer_recorded_s.pop(settled, None)
            self._answered_s.pop(settled, None)

    def held_vms(self, began_s: float, now_s: float) -> set[str]:
        """Return the VMs that the leader of a term may not send orders for.

        Parameters
        ----------
        began_s
            Clock at the beginning of the term, in seconds: no earlier leader
            sends an order after that.
        now_s
            Clock in seconds.
        """
        return {
            vm for vm in self._recorded_s if self.is_held(vm, began_s, now_s)
        }

    def is_held(self, vm: str, began_s: float, now_s: float) -> bool:
        """Whether a VM is among the ``held_vms``."""
        if now_s >= began_s + self._min_gap_s:
            return False
        recorded_s = self._recorded_s.get(vm)
        if recorded_s is None or recorded_s > began_s:
            return False
        return now_s < self._held_until_s(vm)

    def _held_until_s(self, vm: str) -> float:
        """Return the time at which any leader may send an order for a VM."""
        answered_s = self._answer_recorded_s.get(vm)
        if answered_s is None:
            answered_s = self._recorded_s[vm] + ORDER_TIMEOUT_S
        return answered_s + self._min_gap_s
