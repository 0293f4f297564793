"""Move VMs between pools only when a pool needs one."""

from __future__ import annotations

import collections
import dataclasses
import functools
from collections.abc import Iterator

from wigeonreach.fleet._budget import Budgets
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import Vm, VmState
from wigeonreach.fleet._moves_choice import Claims, MoveChoice, Wish
from wigeonreach.fleet._moves_damping import PoolDemand, VmHistory
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

_RECORDS_KEPT = 1000
_ASK_AGAIN_S = 10.0

Message = UsageReport | VmChanged | VmWork | WantSpare | MoveEnded | Tick


class MovePlanner:
    """Decides which VM goes to which pool, and why.

    A VM on its way is draining in its old pool until the move has ended, so
    it is in exactly one pool and counts nowhere.

    Parameters
    ----------
    inventory, budgets
        The VMs and what pools must keep; changed with each move.
    settings
        How much moves are damped.
    claims
        What waves have in hand, if there are any.
    """

    def __init__(
        self,
        inventory: Inventory,
        budgets: Budgets,
        settings: MoveSettings | None = None,
        claims: Claims | None = None,
    ) -> None:
        """Start with no moves."""
        self.records: collections.deque[MoveRecord] = collections.deque(
            maxlen=_RECORDS_KEPT,
        )
        self._inventory = inventory
        self._budgets = budgets
        self._settings = settings or MoveSettings()
        self._history = VmHistory(self._settings)
        self._demand: dict[str, PoolDemand] = collections.defaultdict(
            PoolDemand,
        )
        self._choice = MoveChoice(
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
        self._home: dict[str, str] = {}

    def handle(self, message: Message, now_s: float) -> list[MoveRecord]:
        """Take one message and decide on moves.

        Parameters
        ----------
        message
            A report, the end of a move, or the passing of time.
        now_s
            Time, in seconds.

        Returns
        -------
        list[MoveRecord]
            Moves to be made now.
        """
        self._take(message, now_s)
        return list(self._plan(now_s))

    def explain(self, vm: str) -> list[str]:
        """Return why a VM was moved, newest last."""
        return [record.line() for record in self.records if record.vm == vm]

    @functools.singledispatchmethod
    def _take(self, message: Message, now_s: float) -> None:
        raise TypeError(message)

    @_take.register
    def _usage(self, message: UsageReport, now_s: float) -> None:
        demand = self._demand[message.pool]
        up_slots = self._up_soon(message.pool)
        demand.note_usage(message, up_slots, self._settings)

    @_take.register
    def _changed(self, message: VmChanged, now_s: float) -> None:
        if message.is_lost:
            self._history.note_lost(message.vm, now_s)
            self._last_loss_s = now_s
            self._end(message.vm)

    @_take.register
    def _note_work(self, message: VmWork, now_s: float) -> None:
        self._choice.note_work(message)

    @_take.register
    def _want(self, message: WantSpare, now_s: float) -> None:
        self._demand[message.pool].spare_zone = message.zone

    @_take.register
    def _ended(self, message: MoveEnded, now_s: float) -> None:
        record = self._end(message.vm)
        vm = self._inventory.find(message.vm)
        if record is None or vm is None:
            return
        pool = record.to_pool if message.is_done else record.from_pool
        after = dataclasses.replace(vm, pool=pool, state=VmState.SERVING)
        self._put(vm, after, now_s)

    @_take.register
    def _tick(self, message: Tick, now_s: float) -> None:
        """Only time has passed."""

    def _plan(self, now_s: float) -> Iterator[MoveRecord]:
        for known in self._budgets.needs:
            self._note_shortage(known, now_s)
        if now_s - self._last_loss_s < self._settings.gather_s:
            return
        for pool in self._budgets.needs:
            wish = self._wish(pool, now_s)
            while wish is not None:
                record = self._serve(wish, now_s)
                if record is None:
                    break
                yield record
                wish = self._wish(pool, now_s)
        if self._settings.returns_surplus:
            yield from self._return_surplus(now_s)

    def _wish(self, pool: str, now_s: float) -> Wish | None:
        need = self._budgets.needs[pool]
        demand = self._demand[pool]
        have = self._note_shortage(pool, now_s)
        if need.is_watched or now_s < demand.asks_again_s:
            return None
        if demand.short_since_s is not None:
            if have < need.least_slots:
                return Wish(pool, MoveCause.DEPTH, have, need.slots)
            if now_s - demand.short_since_s >= self._settings.grace_s:
                return Wish(pool, MoveCause.PROMISE, have, need.slots)
        wanted = demand.used_slots / self._settings.used_ratio
        if have < wanted and demand.is_high(now_s, self._settings):
            return Wish(pool, MoveCause.USAGE, have, wanted)
        zone = demand.spare_zone
        demand.spare_zone = None
        if zone is None or self._incoming[pool]:
            return None
        return Wish(pool, MoveCause.MAINTENANCE, have, need.slots, zone)

    def _note_shortage(self, pool: str, now_s: float) -> int:
        have = self._up_soon(pool)
        is_short = have < self._budgets.needs[pool].slots
        self._demand[pool].note_short(now_s, is_short=is_short)
        return have

    def _up_soon(self, pool: str) -> int:
        """Count what is up, what comes back by itself and what is coming."""
        coming = self._incoming[pool] - self._outgoing[pool]
        held = self._inventory.held_slots(pool)
        return self._inventory.up_slots(pool) + held + coming

    def _serve(self, wish: Wish, now_s: float) -> MoveRecord | None:
        candidates = list(self._choice.candidates(wish, now_s))
        if candidates:
            cost = functools.partial(self._choice.cost, wish)
            best = min(candidates, key=cost)
            return self._move(best, wish, len(candidates), now_s)
        # Asking again on each event would cost much and change nothing.
        self._demand[wish.pool].asks_again_s = now_s + _ASK_AGAIN_S
        self._demand[wish.pool].keeps_spare = False
        offer = next(self._choice.exchanges(wish, now_s), None)
        if offer is None:
            return None
        return self._move(offer.vm, offer.wish, 1, now_s)

    def _move(
        self,
        vm: Vm,
        wish: Wish,
        candidates: int,
        now_s: float,
    ) -> MoveRecord:
        work = self._choice.work_of(vm)
        record = MoveRecord(
            at_s=now_s,
            vm=vm.name,
            from_pool=vm.pool,
            to_pool=wish.pool,
            slots=vm.slots,
            cause=wish.cause,
            have_slots=wish.have_slots,
            need_slots=wish.need_slots,
            candidates=candidates,
            in_flight=work.in_flight,
            checkpointable=work.checkpointable,
        )
        self.records.append(record)
        self._moving[vm.name] = record
        self._incoming[wish.pool] += vm.slots
        self._outgoing[vm.pool] += vm.slots
        self._history.note_moved(vm.name, now_s)
        self._demand[wish.pool].note_move(now_s)
        self._demand[wish.pool].keeps_spare = True
        self._home.setdefault(vm.name, vm.pool)
        self._put(vm, dataclasses.replace(vm, state=VmState.DRAINING), now_s)
        return record

    def _end(self, name: str) -> MoveRecord | None:
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
        for name, home in tuple(self._home.items()):
            vm = self._inventory.find(name)
            if vm is None or vm.pool == home or name in self._moving:
                continue
            have = self._up_soon(home)
            wish = Wish(home, MoveCause.SURPLUS, have, have)
            if self._choice.may_move(vm, wish, now_s):
                yield self._move(vm, wish, 1, now_s)
