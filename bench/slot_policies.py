"""Policies to share targets among entries, with simpler ones as baselines."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bench.slot_fleet import SLOTS, Clock, Hold
from wigeonreach.entry._credits import Outgoing, Sharer
from wigeonreach.entry._membership import Membership
from wigeonreach.entry._routing import Ending, Router, Slot
from wigeonreach.wire._credit_messages import (
    SlotsAsked,
    SlotsLent,
    SlotsReturned,
)
from wigeonreach.wire._target_messages import TargetRecord, TargetState

SERVICE = 'records'
_ZONE = 'a'
_FAR_FUTURE_S = 1e9
_LONG_AGO_S = -1000.0
_HOP_S = 0.001
_REPORT_S = 0.5
_CHOICES = 2


class Routers:
    """The real routers; without lending they keep to fixed shares.

    Parameters
    ----------
    entries
        Number of entries that share the targets.
    targets
        Number of targets.
    work_bound_s
        The longest run, in seconds.
    is_lending
        Whether entries lend each other slots.
    """

    def __init__(
        self,
        entries: int,
        targets: int,
        work_bound_s: float,
        *,
        is_lending: bool = True,
    ) -> None:
        """Start as if every entry had been up for a long time."""
        self._is_lending = is_lending
        names = [str(number) for number in range(entries)]
        self._routers = {
            name: _router(name, names, targets, work_bound_s) for name in names
        }

    def acquire(self, entry: int, now_s: float) -> Hold | None:
        """Take a slot from the entry's router."""
        slot = self._routers[str(entry)].acquire(SERVICE, now_s)
        if slot is None:
            return None
        return Hold(int(slot.target_id), slot)

    def release(
        self,
        entry: int,
        hold: Hold,
        ending: Ending,
        now_s: float,
    ) -> None:
        """Give the slot back."""
        assert isinstance(hold.policy_data, Slot)
        self._routers[str(entry)].release(hold.policy_data, ending, now_s)

    def tick(self, clock: Clock) -> None:
        """Deliver messages about loans between the entries."""
        if not self._is_lending:
            return
        for router in self._routers.values():
            for outgoing in router.tick(clock.now_s):
                self._send(clock, outgoing)

    def _send(self, clock: Clock, outgoing: Outgoing) -> None:
        clock.after(_HOP_S, lambda: self._deliver(clock, outgoing))

    def _deliver(self, clock: Clock, outgoing: Outgoing) -> None:
        credits_ = self._routers[outgoing.peer].credits
        message = outgoing.message
        if isinstance(message, SlotsAsked):
            lent = credits_.on_asked(message, clock.now_s)
            if lent is not None:
                self._send(clock, Outgoing(message.borrower, lent))
        elif isinstance(message, SlotsLent):
            credits_.on_lent(message, clock.now_s)
        elif isinstance(message, SlotsReturned):
            credits_.on_returned(message)


class LocalView:
    """Each entry fills all slots of a target, counting only its own."""

    def __init__(self, entries: int, targets: int) -> None:
        """Start with nothing in flight."""
        self._in_flight = [_zeros(targets) for _ in range(entries)]

    def acquire(self, entry: int, now_s: float) -> Hold | None:
        """Take the target on which this entry has least in flight."""
        mine = self._in_flight[entry]
        target = min(range(len(mine)), key=mine.__getitem__)
        if mine[target] >= SLOTS:
            return None
        mine[target] += 1
        return Hold(target)

    def release(
        self,
        entry: int,
        hold: Hold,
        ending: Ending,
        now_s: float,
    ) -> None:
        """Count one less."""
        self._in_flight[entry][hold.target] -= 1

    def tick(self, clock: Clock) -> None:
        """Do nothing: entries know nothing of each other."""


class TwoChoices:
    """Power of two choices: of two random targets, the less loaded one.

    Targets report their load every 0.5 s; an entry adds its own requests
    sent since the last report.
    """

    def __init__(self, targets: int) -> None:
        """Start with nothing reported."""
        self._rng = random.Random(3)  # noqa: S311
        self._running = _zeros(targets)
        self._reported = _zeros(targets)
        self._since: dict[int, list[int]] = {}
        self._reported_s = 0.0

    def acquire(self, entry: int, now_s: float) -> Hold | None:
        """Take the better of two targets, if its report leaves a slot."""
        since = self._sent_since(entry)
        targets = range(len(self._running))
        chosen = self._rng.sample(targets, min(_CHOICES, len(targets)))
        target = min(chosen, key=lambda one: self._reported[one] + since[one])
        if self._reported[target] + since[target] >= SLOTS:
            return None
        since[target] += 1
        self._running[target] += 1
        return Hold(target)

    def release(
        self,
        entry: int,
        hold: Hold,
        ending: Ending,
        now_s: float,
    ) -> None:
        """Count one less on this entry's own account."""
        self._running[hold.target] -= 1
        self._sent_since(entry)[hold.target] -= 1

    def tick(self, clock: Clock) -> None:
        """Let targets report when it is time."""
        if clock.now_s - self._reported_s >= _REPORT_S:
            self._reported_s = clock.now_s
            self._reported = list(self._running)
            self._since.clear()

    def _sent_since(self, entry: int) -> list[int]:
        return self._since.setdefault(entry, _zeros(len(self._running)))


class RandomTargets:
    """A random target that has a free slot of the entry's fixed share."""

    def __init__(self, entries: int, targets: int) -> None:
        """Start with nothing in flight."""
        self._rng = random.Random(5)  # noqa: S311
        self._share = SLOTS // entries
        self._in_flight = [_zeros(targets) for _ in range(entries)]

    def acquire(self, entry: int, now_s: float) -> Hold | None:
        """Take one of them."""
        mine = self._in_flight[entry]
        free = [
            target
            for target, in_flight in enumerate(mine)
            if in_flight < self._share
        ]
        if not free:
            return None
        target = self._rng.choice(free)
        mine[target] += 1
        return Hold(target)

    def release(
        self,
        entry: int,
        hold: Hold,
        ending: Ending,
        now_s: float,
    ) -> None:
        """Count one less."""
        self._in_flight[entry][hold.target] -= 1

    def tick(self, clock: Clock) -> None:
        """Do nothing."""


def _zeros(count: int) -> list[int]:
    return [0 for _ in range(count)]


def _router(
    name: str,
    names: Sequence[str],
    targets: int,
    work_bound_s: float,
) -> Router:
    membership = Membership()
    for number in range(targets):
        membership.merge(_record(number), 0)
    sharer = Sharer(
        name=name,
        zone=_ZONE,
        incarnation_ns=1,
        started_s=_LONG_AGO_S,
        zone_peers=tuple(peer for peer in names if peer != name),
        foreign_peers=(),
    )
    rng = random.Random(name)  # noqa: S311
    return Router(sharer, membership, rng, lambda _service: work_bound_s)


def _record(number: int) -> TargetRecord:
    return TargetRecord(
        target_id=str(number),
        service=SERVICE,
        zone=_ZONE,
        address=f'127.0.0.1:{number + 1}',
        incarnation_ns=1,
        sequence=1,
        state=TargetState.SERVING,
        slots=SLOTS,
        connections=64,
        lease_s=_FAR_FUTURE_S,
    )
