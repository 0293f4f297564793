"""Track when VMs were last ordered, as an order explains a worker's loss."""

from __future__ import annotations

from collections.abc import Mapping

from wigeonreach.jobs import VmOrder
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._losses import SETTLE_WITHIN_S
from wigeonreach.scheduling._vms import ORDER_TIMEOUT_S

_NEVER_S = float('-inf')


class VmOrderTimes:
    """When each worker was last ordered to end.

    Orders are kept by worker, or by VM if its worker was not known.

    Parameters
    ----------
    inherited
        The orders of former leaders, by VM.
    inherited_s
        When these are taken to be given, as the time is not known: the time
        by which all running workers are heard.
    """

    def __init__(
        self, inherited: Mapping[str, VmOrder], inherited_s: float
    ) -> None:
        """Start with the orders of former leaders."""
        self._inherited = frozenset(
            order.worker or vm for vm, order in inherited.items()
        )
        self._ordered_s = dict.fromkeys(self._inherited, inherited_s)

    def note(self, worker_or_vm: str, now_s: float) -> None:
        """Record an order, and forget those that explain nothing any more."""
        self._ordered_s = {
            ordered: ordered_s
            for ordered, ordered_s in self._ordered_s.items()
            if now_s - ordered_s <= SETTLE_WITHIN_S
        }
        self._ordered_s[worker_or_vm] = now_s

    def is_inherited(self, worker: str, vm: str) -> bool:
        """Whether a former leader ordered a worker, or its VM."""
        return not self._inherited.isdisjoint((vm, worker))

    def last_s(self, worker: str, vm: str) -> float:
        """Return when an order was last given for a worker, or for its VM."""
        return max(
            self._ordered_s.get(worker, _NEVER_S),
            self._ordered_s.get(vm, _NEVER_S),
        )

    def may_have_ended(self, incarnation: Incarnation) -> bool:
        """Whether an order for its VM may have ended a worker."""
        report = incarnation.report
        ordered_s = self.last_s(report.worker, report.vm)
        was_up = incarnation.first_heard_s <= ordered_s
        return was_up and incarnation.heard_s < ordered_s + ORDER_TIMEOUT_S
