"""Plan moves of VMs to pools that need another one."""

from __future__ import annotations

import collections
import dataclasses
import functools
from collections.abc import Iterator

from wigeonreach.fleet._budget import Budgets
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import Vm, VmState
from wigeonreach.fleet._moves_candidates import (
    MaintenanceView,
    MoveRequest,
    MoveSelector,
)
from wigeonreach.fleet._moves_demand import PoolDemand, VmHistory
from wigeonreach.fleet._moves_model import (
    MoveCause,
    MoveEnded,
    MoveRecord,
    MoveSettings,
    UsageReport,
    VmChanged,
    VmWork,
    WantSpare,
)
from wigeonreach.fleet._waves_model import Tick

_MAX_RECORDS = 1000
_RETRY_S = 10.0

Message = UsageReport | VmChanged | VmWork | WantSpare | MoveEnded | Tick


class MovePlanner:
    """Decides which VM moves to which pool, and records the reasons.

    A moving VM is draining in its old pool until the move has ended, so it
    belongs to exactly one pool and counts as capacity of none.

    Parameters
    ----------
    inventory, budgets
        The VMs and the budgets of the pools; updated with each move.
    settings
        Delays and limits of moves.
    claims
        VMs that waves maintain or have yet to maintain; None without waves.
    """

    def __init__(
        self,
        inventory: Inventory,
        budgets: Budgets,
        settings: MoveSettings | None = None,
        claims: MaintenanceView | None = None,
    ) -> None:
        """Start without moves."""
        self.records: collections.deque[MoveRecord] = collections.deque(
            maxlen=_MAX_RECORDS,
        )
        self._inventory = inventory
        self._budgets = budgets
        self._settings = settings or MoveSettings()
        self._history = VmHistory(self._settings)
        self._demand: dict[str, PoolDemand] = collections.defaultdict(
            PoolDemand,
        )
        self._selector = MoveSelector(
            inventory,
            budgets,
            self._settings,
            claims,
            self._history,
            self._demand,
        )
        self._moving: dict[str, MoveRecord] = {}
        self._incoming: collections.Counter[str] = collections.Counter()
        self._outgoing: collections.Counter[str] = collections.Counter()
        self._last_loss_s = float('-inf')
        self._original_pools: dict[str, str] = {}

    def handle(self, message: Message, now_s: float) -> list[MoveRecord]:
        """Process one message and decide on moves.

        Parameters
        ----------
        message
            A report, a request for spare capacity, the end of a move, or the
            passing of time.
        now_s
            Current time, in seconds.

        Returns
        -------
        list[MoveRecord]
            Moves to carry out now.
        """
        self._handle(message, now_s)
        return list(self._plan(now_s))

    def explain(self, vm: str) -> list[str]:
        """Return the explanations of a VM's moves, newest last."""
        return [record.line() for record in self.records if record.vm == vm]

    @functools.singledispatchmethod
    def _handle(self, message: Message, now_s: float) -> None:
        raise TypeError(message)

    @_handle.register
    def _on_usage(self, message: UsageReport, now_s: float) -> None:
        demand = self._demand[message.pool]
        up_slots = self._expected_slots(message.pool)
        demand.note_usage(message, up_slots, self._settings)

    @_handle.register
    def _on_vm_changed(self, message: VmChanged, now_s: float) -> None:
        if message.is_lost:
            self._history.note_lost(message.vm, now_s)
            self._last_loss_s = now_s
            self._finish_move(message.vm)

    @_handle.register
    def _on_work(self, message: VmWork, now_s: float) -> None:
        self._selector.note_work(message)

    @_handle.register
    def _on_spare_wanted(self, message: WantSpare, now_s: float) -> None:
        self._demand[message.pool].spare_zone = message.zone

    @_handle.register
    def _on_move_ended(self, message: MoveEnded, now_s: float) -> None:
        record = self._finish_move(message.vm)
        vm = self._inventory.find(message.vm)
        if record is None or vm is None:
            return
        pool = record.to_pool if message.is_done else record.from_pool
        after = dataclasses.replace(vm, pool=pool, state=VmState.SERVING)
        self._put(vm, after, now_s)

    @_handle.register
    def _on_tick(self, message: Tick, now_s: float) -> None:
        """Do nothing but let moves be planned for the new time."""

    def _plan(self, now_s: float) -> Iterator[MoveRecord]:
        for known in self._budgets.needs:
            self._note_shortage(known, now_s)
        if now_s - self._last_loss_s < self._settings.loss_delay_s:
            return
        for pool in self._budgets.needs:
            request = self._next_request(pool, now_s)
            while request is not None:
                record = self._fulfil(request, now_s)
                if record is None:
                    break
                yield record
                request = self._next_request(pool, now_s)
        if self._settings.returns_surplus:
            yield from self._return_surplus(now_s)

    def _next_request(self, pool: str, now_s: float) -> MoveRequest | None:
        need = self._budgets.needs[pool]
        demand = self._demand[pool]
        have = self._note_shortage(pool, now_s)
        if need.is_watched or now_s < demand.retry_at_s:
            return None
        if demand.short_since_s is not None:
            if have < need.min_slots:
                return MoveRequest(pool, MoveCause.DEPTH, have, need.slots)
            if now_s - demand.short_since_s >= self._settings.grace_s:
                return MoveRequest(pool, MoveCause.PROMISE, have, need.slots)
        wanted = demand.used_slots / self._settings.max_usage_ratio
        if have < wanted and demand.is_high(now_s, self._settings):
            return MoveRequest(pool, MoveCause.USAGE, have, wanted)
        zone = demand.spare_zone
        demand.spare_zone = None
        if zone is None or self._incoming[pool]:
            return None
        return MoveRequest(pool, MoveCause.MAINTENANCE, have, need.slots, zone)

    def _note_shortage(self, pool: str, now_s: float) -> int:
        have = self._expected_slots(pool)
        is_short = have < self._budgets.needs[pool].slots
        self._demand[pool].note_short(now_s, is_short=is_short)
        return have

    def _expected_slots(self, pool: str) -> int:
        """Return slots up, maintained or moving in, except those moving out."""
        incoming = self._incoming[pool] - self._outgoing[pool]
        maintained = self._inventory.pool_maintained_slots(pool)
        return self._inventory.up_slots(pool) + maintained + incoming

    def _fulfil(self, request: MoveRequest, now_s: float) -> MoveRecord | None:
        candidates = list(self._selector.candidates(request, now_s))
        if candidates:
            cost = functools.partial(self._selector.cost, request)
            best = min(candidates, key=cost)
            return self._move(best, request, len(candidates), now_s)
        # Retrying on each event would be expensive and change nothing.
        self._demand[request.pool].retry_at_s = now_s + _RETRY_S
        self._demand[request.pool].keeps_spare = False
        exchange = next(self._selector.exchanges(request, now_s), None)
        if exchange is None:
            return None
        return self._move(exchange.vm, exchange.request, 1, now_s)

    def _move(
        self,
        vm: Vm,
        request: MoveRequest,
        candidates: int,
        now_s: float,
    ) -> MoveRecord:
        work = self._selector.work_of(vm)
        record = MoveRecord(
            at_s=now_s,
            vm=vm.name,
            from_pool=vm.pool,
            to_pool=request.pool,
            slots=vm.slots,
            cause=request.cause,
            have_slots=request.have_slots,
            need_slots=request.need_slots,
            candidates=candidates,
            in_flight=work.in_flight,
            checkpointable=work.checkpointable,
        )
        self.records.append(record)
        self._moving[vm.name] = record
        self._incoming[request.pool] += vm.slots
        self._outgoing[vm.pool] += vm.slots
        self._history.note_moved(vm.name, now_s)
        self._demand[request.pool].note_move(now_s)
        self._demand[request.pool].keeps_spare = True
        self._original_pools.setdefault(vm.name, vm.pool)
        self._put(vm, dataclasses.replace(vm, state=VmState.DRAINING), now_s)
        return record

    def _finish_move(self, name: str) -> MoveRecord | None:
        record = self._moving.pop(name, None)
        if record is not None:
            self._incoming[record.to_pool] -= record.slots
            self._outgoing[record.from_pool] -= record.slots
        return record

    def _put(self, before: Vm, after: Vm, now_s: float) -> None:
        self._inventory.put(after)
        self._budgets.observe(before.pool, now_s)
        self._budgets.observe(after.pool, now_s)

    def _return_surplus(self, now_s: float) -> Iterator[MoveRecord]:
        for name, original_pool in tuple(self._original_pools.items()):
            vm = self._inventory.find(name)
            if vm is None or vm.pool == original_pool or name in self._moving:
                continue
            have = self._expected_slots(original_pool)
            request = MoveRequest(original_pool, MoveCause.SURPLUS, have, have)
            if self._selector.may_move(vm, request, now_s):
                yield self._move(vm, request, 1, now_s)
