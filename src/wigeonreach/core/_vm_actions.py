"""Send the VM orders for waves and pools while leading."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Collection

import msgspec

from wigeonreach.core._clock import steady_s
from wigeonreach.core._decision_guard import Decision
from wigeonreach.core._term import LeaderTerm
from wigeonreach.core._vm_orders import VmOrders
from wigeonreach.exceptions import StateError
from wigeonreach.jobs import (
    CommandResult,
    JobStore,
    RecordVmOrders,
    RecordVmStep,
    VmStep,
)
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.scheduling._vms import OrderResult, VmApi
from wigeonreach.scheduling.pooling import Move

_POLL_INTERVAL_S = 0.1
_LIST_INTERVAL_S = 1.0
# Without a wave, the list only shows which VMs are on standby.
_STANDBY_LIST_INTERVAL_S = 4.0
# Interval for recording which orders are answered; short compared with the time
# for which an order holds its VM, so that it hardly extends the hold.
_REPORT_INTERVAL_S = 0.4


class VmActions:
    """Maintains the VMs of waves and moves VMs between pools.

    Parameters
    ----------
    term
        The leader's term.
    store
        The replicated state; only read here.
    api
        The platform API.
    orders
        Sends the orders.
    logger, metrics
        Log and count the decisions.
    """

    def __init__(
        self,
        term: LeaderTerm,
        store: JobStore,
        api: VmApi,
        orders: VmOrders,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Prepare; no order is sent before ``run``."""
        self._term = term
        self._store = store
        self._api = api
        self._orders = orders
        self._log = logger
        self._metrics = metrics
        self._last_listed_s = float('-inf')
        self._last_reported_s = float('-inf')

    async def run(self) -> None:
        """Maintain and move VMs until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._list_regularly())
                group.create_task(self._order_regularly())
        finally:
            self._orders.stop()

    async def _order_regularly(self) -> None:
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            with self._term.guard.contain(Decision.MAINTENANCE):
                await self._maintain()
            with self._term.guard.contain(Decision.MOVES):
                await self._try_move()

    async def _list_regularly(self) -> None:
        # Concurrent with the orders: a slow platform takes up to 2 s for each
        # page of the list, which would delay every order.
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            with self._term.guard.contain(Decision.VM_LIST):
                await self._list_if_due()

    async def _list_if_due(self) -> None:
        scheduler = self._term.scheduler
        needs_wave = scheduler.maintenance.needs_list
        interval_s = (
            _LIST_INTERVAL_S if needs_wave else _STANDBY_LIST_INTERVAL_S
        )
        now_s = steady_s()
        is_needed = needs_wave or bool(scheduler.pools.vms.standby_pool)
        if not is_needed or now_s - self._last_listed_s < interval_s:
            return
        self._last_listed_s = now_s
        vms = await self._api.list_vms()
        self._metrics.count('platform_calls', 'list')
        if vms is not None:
            scheduler.maintenance.note_vms(vms, now_s)
            scheduler.pools.note_vms(vms)

    async def _maintain(self) -> None:
        scheduler = self._term.scheduler
        if not scheduler.maintenance.is_active:
            return
        step = scheduler.maintenance.step(
            scheduler.stopping,
            steady_s(),
            self._orders.held_vms(),
        )
        if step.stops:
            scheduler.stopping.update(step.stops)
            self._term.wake.set()
        for wave, vm in step.returned:
            await self._try_record(wave, vm, VmStep.DONE)
        for wave, vm, worker in step.orders:
            if self._orders.may_order(vm):
                scheduler.crashes.note_vm_ordered(vm, worker, steady_s())
                self._orders.start(
                    vm,
                    functools.partial(self._send_maintenance, wave, vm, worker),
                )

    async def _try_move(self) -> None:
        try:
            await self._move()
        except StateError as error:
            # A move that was not recorded is not sent; the next round retries.
            self._log.warning(LogEvent.CALL_FAILED, reason=str(error))

    async def _move(self) -> None:
        held = self._orders.held_vms()
        moves = [
            move
            for move in self._term.scheduler.plan_moves(steady_s(), held)
            if self._orders.may_order(move.vm)
        ]
        # Recorded before they are sent, so that the next leader knows of them.
        record = self._build_record(moves)
        if not (record.vms or record.settled or record.answered):
            return
        if await self._term.propose(record) is not CommandResult.DONE:
            return
        for move in moves:
            self._term.scheduler.crashes.note_vm_ordered(
                move.vm,
                move.worker,
                steady_s(),
            )
            self._orders.start(
                move.vm, functools.partial(self._send_move, move)
            )

    def _build_record(self, moves: Collection[Move]) -> RecordVmOrders:
        """Return the record of new moves and, at intervals, of answers."""
        record = RecordVmOrders(
            self._term.term,
            tuple(move.vm for move in moves),
            workers=tuple(move.worker for move in moves),
        )
        now_s = steady_s()
        if now_s - self._last_reported_s < _REPORT_INTERVAL_S:
            return record
        self._last_reported_s = now_s
        return msgspec.structs.replace(
            record,
            settled=self._orders.settled_vms(),
            answered=self._orders.take_unreported_answers(),
        )

    async def _send_maintenance(self, wave: int, vm: str, worker: str) -> None:
        # Recorded before it is sent, so that the next leader knows that the VM
        # may be down.
        await self._record(wave, vm, VmStep.ORDERED, worker)
        result = await self._orders.send(
            vm,
            'maintain',
            lambda: self._api.maintain(vm, wave, self._term.term),
            wave=wave,
            worker=worker,
        )
        now_s = steady_s()
        if result is OrderResult.DONE:
            self._term.scheduler.workers.note_ordered(worker, now_s)
            self._term.scheduler.maintenance.note_confirmed(wave, vm, now_s)
        elif result is OrderResult.IMPOSSIBLE:
            await self._record(wave, vm, VmStep.GONE)

    async def _send_move(self, move: Move) -> None:
        result = await self._orders.send(
            move.vm,
            'move',
            lambda: self._api.move(move.vm, move.to_pool, self._term.term),
            from_pool=move.from_pool,
            to_pool=move.to_pool,
            reason=move.reason,
        )
        scheduler = self._term.scheduler
        if result is OrderResult.DONE:
            incarnation = scheduler.workers.of_vm(move.vm)
            if (
                incarnation is not None
                and incarnation.report.service == move.from_pool
            ):
                scheduler.workers.note_ordered(
                    incarnation.report.worker,
                    steady_s(),
                )
            scheduler.pools.note_moved(move, steady_s())
        elif result is not OrderResult.UNKNOWN:
            scheduler.pools.note_failed(move)

    async def _try_record(self, wave: int, vm: str, step: VmStep) -> None:
        try:
            await self._record(wave, vm, step)
        except StateError as error:
            # The next round detects and records it again.
            self._log.warning(
                LogEvent.CALL_FAILED,
                wave=wave,
                vm=vm,
                reason=str(error),
            )

    async def _record(
        self,
        wave: int,
        vm: str,
        step: VmStep,
        worker: str = '',
    ) -> None:
        await self._term.propose(
            RecordVmStep(self._term.term, wave, vm, step, worker),
        )
        if step is VmStep.DONE:
            self._log.info(LogEvent.VM_MAINTAINED, wave=wave, vm=vm)
            if self._store.waves[wave].is_done:
                self._log.info(LogEvent.WAVE_DONE, wave=wave)
