"""Give the platform orders for VMs, one at a time for each, as the leader."""

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
    """The orders of one term.

    Parameters
    ----------
    term
        Under which orders are given.
    holds
        Which VMs an earlier leader may have ordered lately.
    logger, metrics
        Where orders are logged and counted.
    """

    def __init__(
        self,
        term: LeaderTerm,
        holds: VmHolds,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Order nothing yet."""
        self._term = term
        self._holds = holds
        self._began_s = steady_s()
        holds.begin_term(self._began_s)
        self._log = logger
        self._metrics = metrics
        self._running: dict[str, asyncio.Task[None]] = {}
        self._retry_s: dict[str, float] = {}

    def held(self) -> set[str]:
        """Return the VMs that an earlier leader may have ordered lately."""
        return self._holds.held(self._began_s, steady_s())

    def settled(self) -> tuple[str, ...]:
        """Return the VMs whose last order is over for long."""
        settled = self._holds.settled(steady_s())
        return tuple(vm for vm in settled if vm not in self._running)

    def take_answered(self) -> tuple[str, ...]:
        """Return the VMs whose orders were answered since the last call."""
        return self._holds.take_answered()

    def is_free(self, vm: str) -> bool:
        """Whether an order for a VM may be given now."""
        now_s = steady_s()
        if vm in self._running:
            return False
        if self._holds.is_held(vm, self._began_s, now_s):
            return False
        return now_s >= self._retry_s.get(vm, 0)

    def start(self, vm: str, order: Callable[[], Awaitable[None]]) -> None:
        """Carry an order out beside all others."""
        self._holds.note_begun(vm)
        task = asyncio.create_task(self._run(vm, order))
        self._running[vm] = task
        task.add_done_callback(lambda _: self._running.pop(vm, None))

    async def give(
        self,
        vm: str,
        kind: str,
        order: Order,
        **why: object,
    ) -> OrderResult:
        """Send an order, once it is sure that this process still leads.

        Parameters
        ----------
        vm, kind
            What is ordered for which VM.
        order
            Sends it.
        why
            What decided it, for the log.

        Raises
        ------
        StateError
            If that can't be confirmed; nothing was sent then.
        """
        await self._term.barrier.wait()
        result = await order()
        self._metrics.count('vm_orders', f'{kind}-{result.value}')
        if result is not OrderResult.UNKNOWN:
            self._holds.note_answered(vm, steady_s())
        if result is OrderResult.DONE:
            self._log.info(
                LogEvent.VM_ORDERED,
                vm=vm,
                kind=kind,
                fence=self._term.term,
                **why,
            )
        else:
            self._note_failure(vm, kind, result.value)
        return result

    def stop(self) -> None:
        """Drop what is under way."""
        for task in self._running.values():
            task.cancel()

    async def _run(self, vm: str, order: Callable[[], Awaitable[None]]) -> None:
        try:
            await order()
        except StateError as error:
            self._note_failure(vm, 'confirm', str(error))

    def _note_failure(self, vm: str, kind: str, reason: str) -> None:
        self._retry_s[vm] = steady_s() + _RETRY_S
        self._log.warning(
            LogEvent.VM_ORDER_FAILED,
            vm=vm,
            kind=kind,
            reason=reason,
        )
