"""Carry out what the waves and pools need, as the leader."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Collection

import msgspec

from wigeonreach.core._clock import steady_s
from wigeonreach.core._term import LeaderTerm
from wigeonreach.core._vm_orders import VmOrders
from wigeonreach.exceptions import StateError
from wigeonreach.jobs import (
    JobStore,
    RecordVmOrders,
    RecordVmStep,
    Verdict,
    VmStep,
)
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.scheduling._vms import OrderResult, VmApi
from wigeonreach.scheduling.pooling import Move

_ROUND_S = 0.1
_LIST_S = 1.0
# Without a wave, the list only tells which VMs stand by.
_STANDBY_LIST_S = 4.0
# How often is recorded which orders are over; a small part of the time for
# which they hold a VM.
_TOLD_S = 0.4


class VmActions:
    """Maintain the VMs of waves and move VMs between pools.

    Parameters
    ----------
    term
        Under which orders are given.
    store
        The replicated state; it is only read here.
    api
        The platform.
    orders
        How orders are given.
    logger, metrics
        Where decisions are logged and counted.
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
        """Order nothing yet."""
        self._term = term
        self._store = store
        self._api = api
        self._orders = orders
        self._log = logger
        self._metrics = metrics
        self._listed_s = float('-inf')
        self._told_s = float('-inf')

    async def run(self) -> None:
        """Follow waves and pools until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow_list())
                group.create_task(self._follow_orders())
        finally:
            self._orders.stop()

    async def _follow_orders(self) -> None:
        while True:
            await asyncio.sleep(_ROUND_S)
            await self._maintain()
            await self._move_safely()

    async def _follow_list(self) -> None:
        # Beside the orders: a platform that takes its time over a list would
        # hold each of them up for as long, up to 2 s a page.
        while True:
            await asyncio.sleep(_ROUND_S)
            await self._list_if_due()

    async def _list_if_due(self) -> None:
        scheduler = self._term.scheduler
        needs_wave = scheduler.maintenance.needs_list
        pause_s = _LIST_S if needs_wave else _STANDBY_LIST_S
        asked_s = steady_s()
        is_needed = needs_wave or bool(scheduler.pools.vms.standby_pool)
        if not is_needed or asked_s - self._listed_s < pause_s:
            return
        self._listed_s = asked_s
        vms = await self._api.list_vms()
        self._metrics.count('platform_calls', 'list')
        if vms is not None:
            scheduler.maintenance.note_vms(vms, asked_s)
            scheduler.pools.note_vms(vms)

    async def _maintain(self) -> None:
        scheduler = self._term.scheduler
        if not scheduler.maintenance.is_active:
            return
        step = scheduler.maintenance.step(
            scheduler.stopping,
            steady_s(),
            self._orders.held(),
        )
        if step.stops:
            scheduler.stopping.update(step.stops)
            self._term.wake.set()
        for wave, vm in step.returned:
            await self._record_safely(wave, vm, VmStep.DONE)
        for wave, vm, worker in step.orders:
            if self._orders.is_free(vm):
                scheduler.crashes.note_vm_ordered(vm, worker, steady_s())
                self._orders.start(
                    vm,
                    functools.partial(self._maintain_vm, wave, vm, worker),
                )

    async def _move_safely(self) -> None:
        try:
            await self._move()
        except StateError as error:
            # What was not recorded is not ordered, but found again.
            self._log.warning(LogEvent.CALL_FAILED, reason=str(error))

    async def _move(self) -> None:
        held = self._orders.held()
        moves = [
            move
            for move in self._term.scheduler.moves(steady_s(), held)
            if self._orders.is_free(move.vm)
        ]
        # First recorded, so that a next leader knows of them.
        record = self._record_of(moves)
        if not (record.vms or record.settled or record.answered):
            return
        if await self._term.propose(record) is not Verdict.DONE:
            return
        for move in moves:
            self._term.scheduler.crashes.note_vm_ordered(
                move.vm,
                move.worker,
                steady_s(),
            )
            self._orders.start(move.vm, functools.partial(self._move_vm, move))

    def _record_of(self, moves: Collection[Move]) -> RecordVmOrders:
        """Return what is to be replicated of the VMs now."""
        record = RecordVmOrders(
            self._term.term,
            tuple(move.vm for move in moves),
            workers=tuple(move.worker for move in moves),
        )
        now_s = steady_s()
        if now_s - self._told_s < _TOLD_S:
            return record
        self._told_s = now_s
        return msgspec.structs.replace(
            record,
            settled=self._orders.settled(),
            answered=self._orders.take_answered(),
        )

    async def _maintain_vm(self, wave: int, vm: str, worker: str) -> None:
        # First recorded, so that a next leader knows it may be down.
        await self._record(wave, vm, VmStep.ORDERED, worker)
        result = await self._orders.give(
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

    async def _move_vm(self, move: Move) -> None:
        result = await self._orders.give(
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

    async def _record_safely(self, wave: int, vm: str, step: VmStep) -> None:
        try:
            await self._record(wave, vm, step)
        except StateError as error:
            # It is seen again in the next round.
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
