"""Send orders for VMs to the platform, one at a time for each VM."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from wigeonreach.core._clock import steady_s
from wigeonreach.core._term import LeaderTerm
from wigeonreach.core._vm_holds import VmHolds
from wigeonreach.exceptions import StateError
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.scheduling._vms import OrderResult

_RETRY_S = 0.5

Order = Callable[[], Awaitable[OrderResult]]


class VmOrders:
    """Sends and tracks the orders of one term.

    Parameters
    ----------
    term
        The leader's term.
    holds
        Tracks the VMs with recent orders of earlier leaders.
    logger, metrics
        Log and count the orders.
    """

    def __init__(
        self,
        term: LeaderTerm,
        holds: VmHolds,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Begin a term without any orders."""
        self._term = term
        self._holds = holds
        self._began_s = steady_s()
        holds.begin_term(self._began_s)
        self._log = logger
        self._metrics = metrics
        self._running: dict[str, asyncio.Task[None]] = {}
        self._retry_at_s: dict[str, float] = {}

    def held_vms(self) -> set[str]:
        """Return VMs for which an earlier leader's order is too recent."""
        return self._holds.held_vms(self._began_s, steady_s())

    def settled_vms(self) -> tuple[str, ...]:
        """Return VMs of own orders for which any leader may send the next."""
        settled = self._holds.settled_vms(steady_s())
        return tuple(vm for vm in settled if vm not in self._running)

    def take_unreported_answers(self) -> tuple[str, ...]:
        """Return the VMs whose orders were answered since the last call."""
        return self._holds.take_unreported_answers()

    def may_order(self, vm: str) -> bool:
        """Whether an order for a VM may be sent now."""
        now_s = steady_s()
        if vm in self._running:
            return False
        if self._holds.is_held(vm, self._began_s, now_s):
            return False
        return now_s >= self._retry_at_s.get(vm, 0)

    def start(self, vm: str, order: Callable[[], Awaitable[None]]) -> None:
        """Run an order concurrently with those for other VMs."""
        self._holds.note_order_started(vm)
        task = asyncio.create_task(self._run(vm, order))
        self._running[vm] = task
        task.add_done_callback(lambda _: self._running.pop(vm, None))

    async def send(
        self,
        vm: str,
        kind: str,
        order: Order,
        **reasons: object,
    ) -> OrderResult:
        """Send an order after confirming that this process still leads.

        Parameters
        ----------
        vm, kind
            The VM and the kind of order, for logs and metrics.
        order
            Sends the order and returns its result.
        reasons
            Further log fields, such as the reason for the order.

        Raises
        ------
        StateError
            If leadership was not confirmed; nothing was sent in this case.
        """
        await self._term.barrier.wait()
        result = await order()
        self._metrics.count('vm_orders', f'{kind}-{result.value}')
        if result is not OrderResult.UNKNOWN:
            self._holds.note_order_answered(vm, steady_s())
        if result is OrderResult.DONE:
            self._log.info(
                LogEvent.VM_ORDERED,
                vm=vm,
                kind=kind,
                fence=self._term.term,
                **reasons,
            )
        else:
            self._note_failure(vm, kind, result.value)
        return result

    def stop(self) -> None:
        """Cancel all running orders."""
        for task in self._running.values():
            task.cancel()

    async def _run(self, vm: str, order: Callable[[], Awaitable[None]]) -> None:
        try:
            await order()
        except StateError as error:
            # A quorum confirmed neither leadership nor a record of the order.
            self._note_failure(vm, 'confirm', str(error))

    def _note_failure(self, vm: str, kind: str, reason: str) -> None:
        self._retry_at_s[vm] = steady_s() + _RETRY_S
        self._log.warning(
            LogEvent.VM_ORDER_FAILED,
            vm=vm,
            kind=kind,
            reason=reason,
        )
