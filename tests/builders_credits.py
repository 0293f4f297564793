"""Build entries that share targets, and simulate a faulty network."""

from __future__ import annotations

import dataclasses
import enum
import functools
import random
from collections.abc import Callable, Sequence
from typing import Any

from tests.builders import build_record
from wigeonreach.entry._credits import Outgoing, Sharer
from wigeonreach.entry._membership import Membership
from wigeonreach.entry._routing import Ending, Router, Slot
from wigeonreach.wire._credit_messages import (
    SlotsAsked,
    SlotsLent,
    SlotsReturned,
)
from wigeonreach.wire._target_messages import TargetRecord

WORK_BOUND_S = 2.5
FAR_FUTURE_S = 1e9
LONG_AGO_S = -100.0

_WAITS_S = (0.01, 0.1, 0.3, 0.6, 0.9, 1.1, 2.6, 3.6)
_CONNECT_INTERVAL_S = 0.3
_MAX_ACQUIRED = 20


def build_membership(*records: TargetRecord) -> Membership:
    """Return a membership that contains the given targets."""
    membership = Membership()
    for record in records or (build_record(),):
        membership.merge(record, 0)
    return membership


def build_router(
    name: str = 'a0',
    zone_peers: Sequence[str] = ('a1',),
    foreign_peers: Sequence[str] = (),
    zone: str = 'a',
    incarnation_ns: int = 1,
    started_s: float = LONG_AGO_S,
    membership: Membership | None = None,
) -> Router:
    """Return a router that by default was started long ago."""
    sharer = Sharer(
        name=name,
        zone=zone,
        incarnation_ns=incarnation_ns,
        started_s=started_s,
        zone_peers=tuple(zone_peers),
        foreign_peers=tuple(foreign_peers),
    )
    return Router(
        sharer,
        membership or build_membership(build_forever()),
        random.Random(name),  # noqa: S311
        lambda _service: WORK_BOUND_S,
    )


def build_forever(**changes: Any) -> TargetRecord:
    """Return the record of a target whose lease never ends."""
    return build_record(lease_s=FAR_FUTURE_S, **changes)


def acquire_all(router: Router, now_s: float) -> list[Slot]:
    """Acquire as many slots as possible and return them."""
    asked = [router.acquire('records', now_s) for _ in range(_MAX_ACQUIRED)]
    return [slot for slot in asked if slot is not None]


def exchange(routers: dict[str, Router], now_s: float) -> None:
    """Let every router tick and deliver all messages immediately."""
    for name, router in routers.items():
        for outgoing in router.tick(now_s):
            deliver(routers, name, outgoing, now_s)


def deliver(
    routers: dict[str, Router],
    source: str,
    outgoing: Outgoing,
    now_s: float,
) -> None:
    """Deliver a message, and its reply if there is one."""
    reply = deliver_message(routers[outgoing.peer], outgoing, now_s)
    if reply is not None:
        deliver_message(routers[source], Outgoing(source, reply), now_s)


def deliver_message(
    router: Router,
    outgoing: Outgoing,
    now_s: float,
) -> SlotsLent | None:
    """Deliver a message to a router and return its reply."""
    message = outgoing.message
    if isinstance(message, SlotsAsked):
        return router.credits.on_asked(message, now_s)
    if isinstance(message, SlotsLent):
        router.credits.on_lent(message, now_s)
    if isinstance(message, SlotsReturned):
        router.credits.on_returned(message)
    return None


class Step(enum.Enum):
    """Steps of a simulation."""

    WAIT = enum.auto()
    ACQUIRE = enum.auto()
    SETTLE = enum.auto()
    TICK = enum.auto()
    DELIVER = enum.auto()
    REPEAT = enum.auto()
    LOSE = enum.auto()
    FREEZE = enum.auto()
    KILL = enum.auto()
    RESTART = enum.auto()
    WATCH = enum.auto()


LIKELY_STEPS = (
    *Step,
    Step.WAIT,
    Step.ACQUIRE,
    Step.ACQUIRE,
    Step.SETTLE,
    Step.SETTLE,
)


@dataclasses.dataclass(slots=True)
class TargetRequest:
    """A request at the target, and the slot that it occupies."""

    entry: str
    incarnation: int
    slot: Slot
    ends_s: float
    abandoned_s: float
    is_released: bool = False


class CreditSimulation:
    """Entries that share one target of zone ``a``, with a common clock.

    Parameters
    ----------
    names
        Names of the entries; the first letter of each is its zone.
    slots
        Number of slots of the target.
    """

    def __init__(self, names: Sequence[str], slots: int) -> None:
        """Create entries that were started long ago."""
        self._names = tuple(names)
        self._record = build_forever(slots=slots)
        self.now_s = 0.0
        self._incarnations = dict.fromkeys(names, 1)
        self._frozen: set[str] = set()
        self._dead: set[str] = set()
        self._messages: list[Outgoing] = []
        self._requests: list[TargetRequest] = []
        self._routers = {name: self._router(name, LONG_AGO_S) for name in names}
        for name in names:
            for peer in names:
                self._routers[name].credits.note_connected(peer)
        self._actions: dict[Step, Callable[[str, int], None]] = {
            Step.WAIT: self._wait,
            Step.ACQUIRE: self._acquire,
            Step.SETTLE: self._settle,
            Step.TICK: self._tick,
            Step.DELIVER: self._deliver,
            Step.REPEAT: functools.partial(self._deliver, keep=True),
            Step.LOSE: self._drop_message,
            Step.FREEZE: self._freeze,
            Step.KILL: self._kill,
            Step.RESTART: self._restart,
            Step.WATCH: self._try_connections,
        }

    @property
    def running(self) -> int:
        """Number of requests that the target is working on."""
        return sum(request.ends_s > self.now_s for request in self._requests)

    def apply(self, step: Step, which: int, amount: int) -> None:
        """Apply one step of the simulation.

        Parameters
        ----------
        step
            The step.
        which
            Selects the entry.
        amount
            Size of the step, or the message to act on.
        """
        self._actions[step](self._names[which % len(self._names)], amount)
        self._release_ended()

    def _router(self, name: str, started_s: float) -> Router:
        peers = [peer for peer in self._names if peer != name]
        return build_router(
            name=name,
            zone_peers=[peer for peer in peers if peer[0] == name[0]],
            foreign_peers=[peer for peer in peers if peer[0] != name[0]],
            zone=name[0],
            incarnation_ns=self._incarnations[name],
            started_s=started_s,
            membership=build_membership(self._record),
        )

    def _is_running(self, name: str) -> bool:
        return name not in self._frozen and name not in self._dead

    def _wait(self, _name: str, amount: int) -> None:
        self.now_s += _WAITS_S[amount % len(_WAITS_S)]

    def _acquire(self, name: str, amount: int) -> None:
        if not self._is_running(name):
            return
        for number in range(amount + 1):
            slot = self._routers[name].acquire('records', self.now_s)
            if slot is None:
                return
            # Some requests last for the maximum duration, and the entry abandons
            # some early.
            length_s = WORK_BOUND_S / (1 + number % 3)
            abandoned_s = FAR_FUTURE_S if number % 2 else self.now_s + 0.2
            self._requests.append(
                TargetRequest(
                    name,
                    self._incarnations[name],
                    slot,
                    self.now_s + length_s,
                    abandoned_s,
                ),
            )

    def _tick(self, name: str, _amount: int) -> None:
        if self._is_running(name):
            self._messages.extend(self._routers[name].tick(self.now_s))

    def _settle(self, _name: str, amount: int) -> None:
        for name in self._names:
            self._tick(name, amount)
        for _ in range(3 * len(self._messages)):
            self._deliver('', 0)

    def _deliver(
        self,
        _name: str,
        amount: int,
        *,
        keep: bool = False,
    ) -> None:
        if not self._messages:
            return
        index = amount % len(self._messages)
        outgoing = self._messages[index]
        if not self._is_running(outgoing.peer):
            return
        if not keep:
            self._messages.pop(index)
        router = self._routers[outgoing.peer]
        reply = deliver_message(router, outgoing, self.now_s)
        if reply is not None:
            assert isinstance(outgoing.message, SlotsAsked)
            borrower = outgoing.message.borrower
            self._messages.append(Outgoing(borrower, reply))

    def _drop_message(self, _name: str, amount: int) -> None:
        if self._messages:
            self._messages.pop(amount % len(self._messages))

    def _freeze(self, name: str, _amount: int) -> None:
        self._frozen.symmetric_difference_update({name})

    def _kill(self, name: str, _amount: int) -> None:
        self._dead.add(name)
        self._frozen.discard(name)

    def _restart(self, name: str, amount: int) -> None:
        self._kill(name, amount)
        self._dead.remove(name)
        self._incarnations[name] += 1
        self._routers[name] = self._router(name, self.now_s)

    def _try_connections(self, name: str, amount: int) -> None:
        for _ in range(2 * amount + 1):
            self.now_s += _CONNECT_INTERVAL_S
            self._release_ended()
            for peer in self._names:
                if peer != name and self._is_running(name):
                    self._try_connection(name, peer)

    def _try_connection(self, name: str, peer: str) -> None:
        credits_ = self._routers[name].credits
        if peer in self._dead:
            credits_.note_refused(peer, self.now_s)
        elif peer not in self._frozen:
            credits_.note_connected(peer)

    def _release_ended(self) -> None:
        for request in self._requests:
            ended_s = min(request.ends_s, request.abandoned_s)
            if request.is_released or ended_s > self.now_s:
                continue
            if self._incarnations[request.entry] != request.incarnation:
                request.is_released = True
            elif self._is_running(request.entry):
                self._release(request)

    def _release(self, request: TargetRequest) -> None:
        request.is_released = True
        is_answered = request.ends_s <= self.now_s
        ending = Ending.ANSWERED if is_answered else Ending.GIVEN_UP
        self._routers[request.entry].release(request.slot, ending, self.now_s)
